//! The state machine of the process: starting, ready, draining, hot restart, stopping.
//!
//! It performs no I/O. The actors report events to it with the time at which they happened, and
//! query the resulting state. It is the only source of the stage that `status` and `GET /ready`
//! report, of whether the listeners accept connections, and of when an idle client connection is
//! closed.

mod peer_state;
mod stage;

pub use peer_state::{PredecessorList, PredecessorState, SuccessorState};
pub use stage::Stage;

use crate::clock::{MS, Micros};

/// Time from the start of a drain until clients stop connecting: the platform's front, which
/// directs clients to ready managers, polls readiness ten times a second and takes about 0.2 s to
/// act on the result. Idle connections are not closed earlier, because their clients would
/// reconnect to this process.
const CLIENT_DISCOVERY_DELAY: Micros = 500 * MS;
/// Period over which a drain closes idle connections, so that their clients do not all reconnect to
/// other managers at the same time.
const DRAIN_CLOSE_SPREAD: Micros = 1_200 * MS;
/// Period over which idle connections are closed if a successor serves. It starts with the request
/// to stop: the successor accepts new connections at the same address, so the front does not have
/// to detect a change first.
const HOT_RESTART_CLOSE_SPREAD: Micros = 600 * MS;
/// Time from the start of a drain after which requests on the remaining connections are rejected.
/// Otherwise a connection that is never idle could not be closed.
const DRAIN_REJECT_DELAY: Micros = 2_200 * MS;
/// Time from the request to stop after which requests are rejected if a successor serves.
const HOT_RESTART_REJECT_DELAY: Micros = 800 * MS;
/// Time for which the listeners continue to accept connections after the request to stop, since
/// connections that clients are opening at that time may still carry requests.
const ACCEPT_LINGER: Micros = 900 * MS;
/// Minimum idle time of a connection after its last response before it is closed. A client that
/// just received a response is likely to send its next request.
const MIN_IDLE_AFTER_RESPONSE: Micros = 40 * MS;
/// Minimum idle time of a connection before it is closed if it never carried a request.
const MIN_IDLE_BEFORE_FIRST_REQUEST: Micros = 300 * MS;
/// Time after a connection is due to be closed for which the minimum idle time applies. After that,
/// the connection is closed as soon as it is idle.
const MAX_IDLE_WAIT: Micros = 800 * MS;
/// Time between the longest request deadline and the forced end. The platform kills the process no
/// earlier than 0.7 s after that deadline, and the connections get 0.15 s to close. The remaining
/// 0.3 s are for a machine on which this process has to wait for a processor. Requests arrive up to
/// 0.6 s after the request to stop. Of these, only requests that arrive in the last 0.35 s and need
/// their whole deadline end early.
const FORCED_END_SLACK: Micros = 250 * MS;
/// Upper limit of the request deadline for which a shutdown waits.
const MAX_DEADLINE_WAIT: Micros = 3_000 * MS;
/// Upper limit of the request deadline for which a shutdown waits if a successor serves new
/// requests in the meantime.
const HOT_RESTART_MAX_DEADLINE_WAIT: Micros = 5_000 * MS;
/// Minimum of the remaining fraction of work that determines the capacity share of a stopping
/// process. With almost no capacity, the requests that it still queues would wait until the forced
/// end.
const MIN_REMAINING_WORK: f64 = 0.4;
/// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio), which maps consecutive
/// connection numbers to evenly distributed values.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The state machine of the process. See the [module](self).
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Whether the coordinator has sent something, or the timeout for it has passed.
    endpoint_list_received: bool,
    predecessor_list: PredecessorList,
    /// When the current drain started.
    drained_at: Option<Micros>,
    /// When the process was asked to stop.
    stopping_at: Option<Micros>,
    /// Whether the remaining connections are closed.
    closing: bool,
    /// The fraction of the manager's capacity that its predecessors hold.
    predecessor_share: f64,
    predecessor: PredecessorState,
    successor: SuccessorState,
    /// The remaining fraction of the work that was open when the process was asked to stop.
    remaining_work: f64,
    /// Whether this manager has been a straggler for too long and therefore reports that it is not
    /// ready.
    excluded: bool,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            endpoint_list_received: false,
            predecessor_list: PredecessorList::NotExpected,
            drained_at: None,
            stopping_at: None,
            closing: false,
            predecessor_share: 0.0,
            predecessor: PredecessorState::None,
            successor: SuccessorState::None,
            remaining_work: 1.0,
            excluded: false,
        }
    }
}

impl Lifecycle {
    /// Records that the coordinator has sent something, or that the timeout for it has passed.
    pub fn endpoint_list_received(&mut self) {
        self.endpoint_list_received = true;
    }

    /// Sets what this process has of its predecessor's endpoint list. A list that is in force
    /// stays so.
    pub fn set_predecessor_list(&mut self, list: PredecessorList) {
        if self.predecessor_list != PredecessorList::InForce {
            self.predecessor_list = list;
        }
    }

    /// What this process has of its predecessor's endpoint list.
    pub fn predecessor_list(&self) -> PredecessorList {
        self.predecessor_list
    }

    /// Whether the process may serve without having heard from the coordinator. While a predecessor
    /// serves with a list that this process does not have, it may know of drains of which this
    /// process knows nothing.
    pub fn may_serve_without_coordinator(&self) -> bool {
        matches!(
            self.predecessor_list,
            PredecessorList::NotExpected | PredecessorList::InForce
        )
    }

    fn endpoint_list_known(&self) -> bool {
        self.endpoint_list_received && self.predecessor_list != PredecessorList::Awaited
    }

    /// Starts a drain. A drain that is already active keeps its start time.
    pub fn drain(&mut self, now: Micros) {
        self.drained_at = self.drained_at.or(Some(now));
    }

    /// Ends the drain. Returns `false` without a change if the process is stopping.
    pub fn undrain(&mut self) -> bool {
        if self.is_stopping() {
            return false;
        }
        self.drained_at = None;
        true
    }

    /// Records a request to stop the process. Only the first one has an effect.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.stopping_at = self.stopping_at.or(Some(now));
    }

    /// Starts to close all connections and to reject all requests. Called after the request to
    /// stop, when all requests have their response or the forced end is due.
    pub fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Whether [`Lifecycle::begin_closing`] was called.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Sets the fraction of the manager's capacity that predecessors hold: 0 once they have exited.
    /// A value that is not finite counts as 0.
    pub fn set_predecessor_share(&mut self, share: f64) {
        self.predecessor_share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
    }

    /// Sets the state of the predecessor when its listeners are adopted, when it is asked to stop,
    /// or when it exits; from then on no endpoint list is expected of it. If both processes are asked to stop, the first one leaves the listeners to
    /// the other: a predecessor that is asked later stays [`PredecessorState::Serving`].
    pub fn set_predecessor(&mut self, predecessor: PredecessorState) {
        if predecessor == PredecessorState::Stopping && self.is_stopping() {
            return;
        }
        self.predecessor = predecessor;
        if predecessor == PredecessorState::None {
            self.set_predecessor_list(PredecessorList::NotExpected);
        }
    }

    /// Sets the state of the successor when it connects, becomes ready, is asked to stop, or exits.
    /// If this process was asked to stop before it, the listeners stay the successor's, see
    /// [`Lifecycle::set_predecessor`].
    pub fn set_successor(&mut self, successor: SuccessorState) {
        if successor == SuccessorState::Stopping && self.is_stopping() && self.has_successor() {
            return;
        }
        self.successor = successor;
    }

    /// Sets the fraction of its work that a stopping process still has to finish. The fraction
    /// never increases, and is at least 0.4. A value that is not finite is ignored.
    pub fn set_remaining_work(&mut self, fraction: f64) {
        if fraction.is_finite() {
            let minimum = MIN_REMAINING_WORK.min(self.remaining_work);
            self.remaining_work = fraction.clamp(minimum, self.remaining_work);
        }
    }

    /// The stage that is reported to operators.
    pub fn stage(&self) -> Stage {
        if self.is_stopping() {
            Stage::Stopping
        } else if self.is_draining() {
            Stage::Draining
        } else if !self.endpoint_list_known() {
            Stage::Starting
        } else if self.successor == SuccessorState::Ready {
            Stage::HotRestart
        } else {
            Stage::Ready
        }
    }

    /// Whether the process reports that it accepts clients.
    pub fn is_ready(&self) -> bool {
        matches!(self.stage(), Stage::Ready | Stage::HotRestart) && !self.excluded
    }

    /// Excludes this manager while the fleet's majority uses other settings or a newer endpoint
    /// list, or includes it again.
    pub fn set_excluded(&mut self, excluded: bool) {
        self.excluded = excluded;
    }

    /// Whether this manager is excluded as a straggler.
    pub fn is_excluded(&self) -> bool {
        self.excluded
    }

    /// Whether the process can serve requests. It also does so while it is draining.
    pub fn can_serve(&self) -> bool {
        self.endpoint_list_known() && !self.is_stopping()
    }

    /// Whether a drain is active.
    pub fn is_draining(&self) -> bool {
        self.drained_at.is_some()
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_at.is_some()
    }

    /// Whether responses should announce that the connection will be closed, if the protocol
    /// supports that.
    pub fn announces_close(&self) -> bool {
        self.is_stopping() || self.is_draining()
    }

    /// When the listeners stop accepting connections; `None` unless the process was asked to stop.
    /// A successor that serves accepts from the same listen queue, so no connection is lost if this
    /// process stops accepting at once.
    pub fn accepts_until(&self) -> Option<Micros> {
        let linger = match self.successor {
            SuccessorState::Ready => 0,
            SuccessorState::None | SuccessorState::Starting | SuccessorState::Stopping => {
                ACCEPT_LINGER
            }
        };
        self.stopping_at.map(|stopping_at| stopping_at + linger)
    }

    /// Whether idle client connections are closed, now or at a later time.
    pub fn closes_idle_connections(&self) -> bool {
        self.is_draining() || self.is_stopping()
    }

    /// The time from which connection number `conn` is closed as soon as it is idle; `None` if it
    /// is kept open.
    pub fn idle_close_at(&self, conn: u64) -> Option<Micros> {
        let offset_within = |spread: Micros| conn.wrapping_mul(FIBONACCI_MULTIPLIER) % spread;
        let by_drain = self
            .drained_at
            .map(|at| at + CLIENT_DISCOVERY_DELAY + offset_within(DRAIN_CLOSE_SPREAD));
        let by_hot_restart = self
            .took_over_at()
            .map(|at| at + offset_within(HOT_RESTART_CLOSE_SPREAD));
        let by_shutdown = self.accept_linger_ends_at();
        [by_drain, by_hot_restart, by_shutdown]
            .into_iter()
            .flatten()
            .min()
    }

    /// The time from which new requests on open connections are rejected. Otherwise clients that
    /// continue to send could keep their connections open, and delay a shutdown, without limit.
    pub fn rejects_from(&self) -> Option<Micros> {
        let by_closing = self.closing.then_some(0);
        let by_drain = self.drained_at.map(|at| at + DRAIN_REJECT_DELAY);
        let by_hot_restart = self.took_over_at().map(|at| at + HOT_RESTART_REJECT_DELAY);
        let by_shutdown = self.accept_linger_ends_at();
        [by_closing, by_drain, by_hot_restart, by_shutdown]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether [`Lifecycle::rejects_from`] has passed.
    pub fn rejects_new_requests(&self, now: Micros) -> bool {
        self.rejects_from().is_some_and(|at| at <= now)
    }

    /// Minimum idle time of connection number `conn` before it is closed. A client that just
    /// connected, or just received a response, is likely to send a request. `has_valid_message` is
    /// whether the client has sent at least one valid message. The result is 0 if the connection is
    /// kept open, if the process already closes all connections, or once `MAX_IDLE_WAIT` has passed
    /// since the connection was due to be closed.
    pub fn min_idle_time(&self, conn: u64, now: Micros, has_valid_message: bool) -> Micros {
        if self.closing {
            return 0;
        }
        match self.idle_close_at(conn) {
            Some(close_at) if now < close_at + MAX_IDLE_WAIT && has_valid_message => {
                MIN_IDLE_AFTER_RESPONSE
            }
            Some(close_at) if now < close_at + MAX_IDLE_WAIT => MIN_IDLE_BEFORE_FIRST_REQUEST,
            _ => 0,
        }
    }

    /// Whether this process is stopping and its successor serves. The successor then takes over the
    /// clients, and this process exits once it has none left.
    pub fn successor_took_over(&self) -> bool {
        self.took_over_at().is_some()
    }

    /// Whether a successor shares this process's listeners, and accepts from them now or once it
    /// serves.
    pub fn has_successor(&self) -> bool {
        matches!(
            self.successor,
            SuccessorState::Starting | SuccessorState::Ready
        )
    }

    /// Whether a predecessor shares this process's listeners and accepts from them.
    pub fn has_serving_predecessor(&self) -> bool {
        self.predecessor == PredecessorState::Serving
    }

    /// Whether another process shares this process's listeners and accepts from them, so that this
    /// process must not close them for both.
    pub fn shares_listeners(&self) -> bool {
        self.has_successor() || self.has_serving_predecessor()
    }

    /// When the process was asked to stop, if its successor serves.
    fn took_over_at(&self) -> Option<Micros> {
        self.stopping_at
            .filter(|_| self.successor == SuccessorState::Ready)
    }

    /// When clients stop sending according to the platform's rules, if the process was asked to
    /// stop and no successor serves. Idle connections are closed from then on.
    fn accept_linger_ends_at(&self) -> Option<Micros> {
        self.stopping_at
            .filter(|_| self.successor != SuccessorState::Ready)
            .map(|at| at + ACCEPT_LINGER)
    }

    /// When the remaining open requests are ended, so that their clients receive a response before
    /// the process is killed. The platform kills a process no earlier than the longest deadline,
    /// within the platform's limits, plus 0.7 s after the request to stop.
    pub fn forced_end_at(&self, longest_deadline: Micros) -> Option<Micros> {
        let max_wait = match self.successor {
            SuccessorState::Ready => HOT_RESTART_MAX_DEADLINE_WAIT,
            SuccessorState::None | SuccessorState::Starting | SuccessorState::Stopping => {
                MAX_DEADLINE_WAIT
            }
        };
        self.stopping_at
            .map(|stopping_at| stopping_at + longest_deadline.min(max_wait) + FORCED_END_SLACK)
    }

    /// The fraction of the manager's limits and quotas that this process may use.
    pub fn capacity_share(&self) -> f64 {
        let own_fraction = match self.successor {
            SuccessorState::Ready | SuccessorState::Stopping => 0.5 * self.remaining_work,
            SuccessorState::None | SuccessorState::Starting => 1.0,
        };
        (1.0 - self.predecessor_share) * own_fraction
    }

    /// The fraction of the manager's limits and quotas that a successor has to leave to this
    /// process and its predecessors.
    pub fn share_reserved_for_predecessors(&self) -> f64 {
        let own_share = match self.successor {
            SuccessorState::Ready | SuccessorState::Stopping => self.capacity_share(),
            SuccessorState::None | SuccessorState::Starting => (1.0 - self.predecessor_share) * 0.5,
        };
        (self.predecessor_share + own_share).min(1.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lifecycle.rs"]
mod tests;
