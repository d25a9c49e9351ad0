//! Where the process stands in its life. Pure: told of what happens, with the time; asked by the sockets what to do.
//!
//! It is the one source of what `status` and `GET /ready` say, of whether the listeners accept, and of when a kept
//! connection of a client is let go.
use crate::clock::{MS, Micros};

/// Clients still come this long after the first no: the front asks ten times a second, and then takes 0.2 s.
const LEARNS: Micros = 500 * MS;
/// Kept connections are let go over this time after that, lest all their clients connect elsewhere at once.
const SPREAD: Micros = 1_200 * MS;
/// The same behind a successor, which takes the clients in the same moment: the front learns nothing.
const SPREAD_OVER: Micros = 600 * MS;
/// From here on a drained process gives up what comes on a connection that is never quiet: it must be let go.
const CLOSES: Micros = 2_200 * MS;
/// How long after it was asked to end the program goes on taking requests: connections that clients are making
/// then still bring some.
const LINGER: Micros = 900 * MS;
/// Spreads numbers of connections evenly.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where the process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The list of engines is not known yet.
    Starting,
    /// Serving.
    Ready,
    /// Told to send clients away.
    Draining,
    /// A successor lives: two processes are one manager.
    HandingOver,
    /// Asked to end.
    Stopping,
}

/// What else lives under the same name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Other {
    /// Nothing.
    #[default]
    None,
    /// The process that this one follows.
    Predecessor,
    /// One that follows this one, and has the clients' listener too, or not.
    Successor {
        /// What waits to be accepted is its to accept.
        shares: bool,
    },
}

/// The machine.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    listed: bool,
    drained_at: Option<Micros>,
    stopping_at: Option<Micros>,
    other: Other,
}

impl Lifecycle {
    /// The list of engines is known, or has to do.
    pub fn listed(&mut self) {
        self.listed = true;
    }

    /// Send clients away. Again while it drains: the first call counts.
    pub fn drain(&mut self, now: Micros) {
        self.drained_at = self.drained_at.or(Some(now));
    }

    /// End of the drain. A process that ends goes on ending: then it is refused.
    pub fn undrain(&mut self) -> bool {
        if self.stopping_at.is_none() {
            self.drained_at = None;
        }
        self.stopping_at.is_none()
    }

    /// Asked to end. Again: the first time counts.
    pub fn stop(&mut self, now: Micros) {
        self.stopping_at = self.stopping_at.or(Some(now));
    }

    /// Another process of this name came, or went. One that was asked to end takes no further successor into
    /// account: what it owes is settled.
    pub fn meets(&mut self, other: Other) {
        if self.stopping_at.is_none() || other == Other::None {
            self.other = other;
        }
    }

    /// What else lives under this name.
    pub fn other(&self) -> Other {
        self.other
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        match (self.stopping_at, self.drained_at, self.listed, self.other) {
            (Some(_), ..) => Stage::Stopping,
            (_, Some(_), ..) => Stage::Draining,
            (_, _, false, _) => Stage::Starting,
            (_, _, _, Other::Successor { .. }) => Stage::HandingOver,
            (_, _, true, Other::None | Other::Predecessor) => Stage::Ready,
        }
    }

    /// Whether it says that it takes clients.
    pub fn ready(&self) -> bool {
        matches!(self.stage(), Stage::Ready | Stage::HandingOver)
    }

    /// Whether it was asked to end.
    pub fn stopping(&self) -> bool {
        self.stopping_at.is_some()
    }

    /// Until when it accepts connections: forever unless it was asked to end. With a successor at the same line
    /// nothing that waits there is lost.
    pub fn accepts_until(&self) -> Option<Micros> {
        let linger = if self.other == (Other::Successor { shares: true }) { 0 } else { LINGER };
        self.stopping_at.map(|at| at + linger)
    }

    /// When a kept connection of a client is to be let go, at the next moment that it is quiet, if ever.
    pub fn lets_go_at(&self, conn: u64) -> Option<Micros> {
        let spread = |most: Micros| conn.wrapping_mul(MIX) % most;
        let drained = self.drained_at.map(|at| at + LEARNS + spread(SPREAD));
        let followed = matches!(self.other, Other::Successor { .. });
        let stopped = self.stopping_at.filter(|_| followed).map(|at| at + spread(SPREAD_OVER));
        drained.into_iter().chain(stopped).min()
    }

    /// Whether requests on kept connections are given up at once, so that none is held on and on.
    pub fn closes(&self, now: Micros) -> bool {
        self.drained_at.is_some_and(|at| at + CLOSES <= now)
    }

    /// What part of the limits and shares of this manager is this process's.
    pub fn part(&self) -> f64 {
        if self.other == Other::None { 1.0 } else { 0.5 }
    }
}

#[cfg(test)]
#[path = "../../tests/inside/lifecycle.rs"]
mod model;
