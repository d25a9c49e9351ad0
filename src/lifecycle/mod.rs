//! Where the process stands in its life. Pure: told of what happens, with the time; asked by the
//! sockets what to do.
//!
//! It is the one source of what `status` and `GET /ready` say, of whether the listeners accept, and
//! of when a kept connection of a client is let go.

use crate::clock::{MS, Micros};

/// Clients still come this long after the first no: the front asks ten times a second, and then
/// takes 0.2 s.
const LEARNS: Micros = 500 * MS;
/// Kept connections are let go over this time after that, lest all their clients connect elsewhere
/// at once.
const SPREAD: Micros = 1_200 * MS;
/// The same behind a successor, which takes the clients in the same moment: the front learns
/// nothing.
const SPREAD_OVER: Micros = 600 * MS;
/// From here on a process gives up what comes on a connection that is never quiet: it must be let
/// go.
const CLOSES: Micros = 2_200 * MS;
/// The same behind a successor.
const CLOSES_OVER: Micros = 800 * MS;
/// How long after it was asked to end the program goes on taking requests: connections that clients
/// are making then still bring some.
const LINGER: Micros = 900 * MS;
/// So long a connection that is to be let go has to have been quiet: one that was just answered,
/// one that never asked; and so long this is waited for.
const REST: Micros = 40 * MS;
const FIRST_REST: Micros = 300 * MS;
const PATIENCE: Micros = 800 * MS;
/// What is open is given up this long after the request to end and the longest deadline, which
/// counts as at most so much; more where a successor lives.
const LAST_CALL: Micros = 450 * MS;
const LONGEST: Micros = 3_000 * MS;
const LONGEST_OVER: Micros = 5_000 * MS;
/// A process that ends keeps at least this part of its work's room while anything is open. Guards
/// what it still holds: with next to no room it would wait until it is given up.
const LEAST_LEFT: f64 = 0.4;
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

/// A process that follows this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuccessorState {
    /// There is none.
    #[default]
    None,
    /// It has the clients' listener and gets ready.
    Coming,
    /// It serves.
    Ready,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    listed: bool,
    drained_at: Option<Micros>,
    stopping_at: Option<Micros>,
    /// All is answered: what is left is to let clients go.
    closing: bool,
    /// The part of the manager that older processes still have.
    older: f64,
    next: SuccessorState,
    /// What is left of the work that was open when it was asked to end, as a part of it.
    left: f64,
    /// Behind the fleet's majority for too long: it says it is not ready.
    shut_out: bool,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        let (drained_at, stopping_at) = (None, None);
        Lifecycle {
            listed: false,
            drained_at,
            stopping_at,
            closing: false,
            older: 0.0,
            next: SuccessorState::None,
            left: 1.0,
            shut_out: false,
        }
    }
}

impl Lifecycle {
    /// The list of engines is known, or has to do.
    pub fn endpoint_list_received(&mut self) {
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
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.stopping_at = self.stopping_at.or(Some(now));
    }

    /// All is answered after the request to end: from now on no connection is kept and no request
    /// is taken.
    pub fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Whether that is so.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Older processes of this name have that part of the manager; none once they are gone.
    pub fn set_predecessor_share(&mut self, part: f64) {
        self.older = if part.is_finite() {
            part.clamp(0.0, 1.0)
        } else {
            0.0
        };
    }

    /// A process that follows this one came, is ready, or went.
    pub fn set_successor(&mut self, next: SuccessorState) {
        self.next = next;
    }

    /// Asked to end, it has that part of its work left.
    pub fn set_remaining_work(&mut self, left: f64) {
        self.left = if left.is_finite() {
            left.clamp(LEAST_LEFT.min(self.left), self.left)
        } else {
            self.left
        };
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        match (self.stopping_at, self.drained_at, self.listed, self.next) {
            (Some(_), ..) => Stage::Stopping,
            (_, Some(_), ..) => Stage::Draining,
            (_, _, false, _) => Stage::Starting,
            (_, _, true, SuccessorState::Ready) => Stage::HandingOver,
            (_, _, true, SuccessorState::None | SuccessorState::Coming) => Stage::Ready,
        }
    }

    /// Whether it says that it takes clients.
    pub fn is_ready(&self) -> bool {
        matches!(self.stage(), Stage::Ready | Stage::HandingOver) && !self.shut_out
    }

    /// The fleet's majority acts on newer settings or a newer list than this manager: it is shut
    /// out until it catches up, or back in.
    pub fn set_excluded(&mut self, out: bool) {
        self.shut_out = out;
    }

    /// Whether it is shut out.
    pub fn is_excluded(&self) -> bool {
        self.shut_out
    }

    /// Whether it can serve, also if operators send its clients away.
    pub fn can_serve(&self) -> bool {
        self.listed && self.stopping_at.is_none()
    }

    /// Whether operators sent its clients away.
    pub fn is_draining(&self) -> bool {
        self.drained_at.is_some()
    }

    /// Whether it was asked to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping_at.is_some()
    }

    /// Whether a client is better told with its answer that the connection ends, where its protocol
    /// has a word for it.
    pub fn announces_close(&self) -> bool {
        self.is_stopping() || self.is_draining()
    }

    /// Until when it accepts connections: forever unless it was asked to end. With a successor at
    /// the same line nothing that waits there is lost.
    pub fn accepts_until(&self) -> Option<Micros> {
        let linger = if self.next == SuccessorState::Ready {
            0
        } else {
            LINGER
        };
        self.stopping_at.map(|at| at + linger)
    }

    /// Whether kept connections of clients are to be let go, now or soon.
    pub fn closes_idle_connections(&self) -> bool {
        self.is_draining() || self.successor_took_over()
    }

    /// When a kept connection of a client is to be let go, at the next moment that it is quiet, if
    /// ever.
    pub fn idle_close_at(&self, conn: u64) -> Option<Micros> {
        let spread = |most: Micros| conn.wrapping_mul(MIX) % most;
        let drained = self.drained_at.map(|at| at + LEARNS + spread(SPREAD));
        let stopped = self
            .stopping_at
            .filter(|_| self.next == SuccessorState::Ready)
            .map(|at| at + spread(SPREAD_OVER));
        drained.into_iter().chain(stopped).min()
    }

    /// Whether requests on kept connections are given up at once, so that none is held on and on.
    pub fn rejects_new_requests(&self, now: Micros) -> bool {
        let drained = self.drained_at.map(|at| at + CLOSES);
        let over = self
            .stopping_at
            .filter(|_| self.next == SuccessorState::Ready)
            .map(|at| at + CLOSES_OVER);
        self.closing || drained.into_iter().chain(over).any(|at| at <= now)
    }

    /// How long a connection that is to be let go has to have been quiet: a client that just
    /// connected, or just got an answer, is likely to ask. Longer it is not held back.
    pub fn required_quiet_time(&self, conn: u64, now: Micros, useful: bool) -> Micros {
        match self.idle_close_at(conn).filter(|_| !self.closing) {
            Some(at) if now < at + PATIENCE => {
                if useful {
                    REST
                } else {
                    FIRST_REST
                }
            }
            _ => 0,
        }
    }

    /// Whether the process that follows this one takes the clients: then it ends once it holds
    /// none.
    pub fn successor_took_over(&self) -> bool {
        self.stopping_at.is_some() && self.next == SuccessorState::Ready
    }

    /// When what is still open is given up, so that its client hears of it before the kill, which
    /// comes no sooner than the longest deadline, within the bounds of the platform, and 0.7 s
    /// more.
    pub fn forced_end_at(&self, longest: Micros) -> Option<Micros> {
        let most = if self.next == SuccessorState::Ready {
            LONGEST_OVER
        } else {
            LONGEST
        };
        self.stopping_at
            .map(|at| at + longest.min(most) + LAST_CALL)
    }

    /// What part of the limits and shares of this manager is this process's.
    pub fn capacity_share(&self) -> f64 {
        let mine = if self.next == SuccessorState::Ready {
            0.5 * self.left
        } else {
            1.0
        };
        (1.0 - self.older) * mine
    }

    /// What part a process that follows this one has to leave to those before it.
    pub fn share_reserved_for_predecessors(&self) -> f64 {
        let mine = if self.next == SuccessorState::Ready {
            self.capacity_share()
        } else {
            (1.0 - self.older) * 0.5
        };
        (self.older + mine).min(1.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lifecycle.rs"]
mod model;
