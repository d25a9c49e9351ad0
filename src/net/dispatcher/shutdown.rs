//! The phases of a shutdown.
use super::{DispatcherActor, Schedule};
use crate::clock::{self, MS, Micros};
use crate::log;
use crate::net::client;
use async_channel::Sender;

/// How long connections have for a graceful close once every request has its response.
const GRACEFUL_CLOSE_TIMEOUT: Micros = 300 * MS;

/// The longest time that connections have for a close after the forced end: the process is about to
/// be killed then.
const FORCED_CLOSE_TIMEOUT: Micros = 150 * MS;

/// Time between two checks whether a shutdown can proceed.
const CHECK_INTERVAL: Micros = 5 * MS;

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No shutdown, or one that waits for the responses to the requests in flight.
    Serving,
    /// Every request has its response, or the forced end is due; listeners and client connections
    /// are being closed.
    ClosingConnections {
        /// When the process exits at the latest.
        deadline: Micros,
    },
    /// The process can exit.
    Finished,
}

impl DispatcherActor {
    /// When to check again whether the shutdown can proceed; `None` if there is none.
    pub(super) fn next_shutdown_check(&self, accepts_until: Option<Micros>) -> Option<Micros> {
        let next_check = clock::now() + CHECK_INTERVAL;
        match self.shutdown_phase {
            ShutdownPhase::Serving => accepts_until.map(|at| at.max(next_check)),
            ShutdownPhase::ClosingConnections { .. } | ShutdownPhase::Finished => Some(next_check),
        }
    }

    /// Enters the next phases of the shutdown if their conditions are met.
    pub(super) fn advance_shutdown(&mut self, now: Micros, schedule: &Schedule) {
        let is_serving = self.shutdown_phase == ShutdownPhase::Serving;
        // This runs in every iteration of the actor's loop, and the conditions below iterate over
        // all clients.
        if is_serving && schedule.accepts_until.is_none() {
            return;
        }
        let responses_delivered = self.all_responses_delivered();
        let accepting_ended = schedule.accepts_until.is_some_and(|at| at <= now);
        let is_complete =
            accepting_ended && responses_delivered && !self.keeps_client_connections();
        // The forced end does not wait for a moment without open requests: there may never be one.
        if is_serving && (is_complete || self.requests_ended) {
            self.begin_closing(now, schedule.forced_end_at);
        }
        if let ShutdownPhase::ClosingConnections { deadline } = self.shutdown_phase {
            let all_closed = responses_delivered && self.all_connections_closed();
            if all_closed || deadline <= now {
                if !all_closed {
                    self.log_unfinished_close();
                }
                self.log_unaccepted();
                self.shutdown_phase = ShutdownPhase::Finished;
            }
        }
    }

    /// Logs what remains once the time to close the connections is over.
    fn log_unfinished_close(&self) {
        log!(
            "shutdown: closing the connections timed out, exiting with {} client connections open, {} bytes of their input unread, {} with unwritten responses, {} requests open at the predecessor",
            self.shared.client_sockets.get(),
            self.shared.unread_bytes.get(),
            self.shared.connections_with_unwritten_output.get(),
            self.shared.requests_at_predecessor.get()
        );
    }

    /// Logs how many connections are established but were never accepted: the exit resets them.
    fn log_unaccepted(&self) {
        let unaccepted = client::count_unaccepted(&self.shared);
        if unaccepted > 0 {
            log!(
                "shutdown: exiting with {unaccepted} client connections in the backlog, which are reset"
            );
        }
    }

    /// Whether no request waits for its response, here or at the predecessor of a hot restart, and no
    /// response waits in a client's mailbox or output buffer: the process must not exit before a
    /// response that was decided has been written.
    fn all_responses_delivered(&self) -> bool {
        self.dispatcher.counters.open() == 0
            && self.shared.requests_at_predecessor.get() == 0
            && self.mailbox.is_empty()
            && self.shared.connections_with_unwritten_output.get() == 0
            && self.clients.values().all(Sender::is_empty)
    }

    /// Whether clients may continue to use their connections to this process while a successor
    /// accepts the new ones.
    fn keeps_client_connections(&self) -> bool {
        self.shared.lifecycle.borrow().successor_took_over()
            && self.shared.client_sockets.get() > 0
            && !self.requests_ended
    }

    /// Closes the listeners and all client connections. Requests that are still in the listeners'
    /// queues and the sockets' buffers are rejected, or their connections closed gracefully.
    fn begin_closing(&mut self, now: Micros, forced_end_at: Option<Micros>) {
        self.shared.lifecycle.borrow_mut().begin_closing();
        self.shared.stop_accepting();
        client::begin_shutdown(&self.shared);
        let graceful = now + GRACEFUL_CLOSE_TIMEOUT;
        let forced = forced_end_at.map_or(graceful, |at| at.max(now) + FORCED_CLOSE_TIMEOUT);
        self.shutdown_phase = ShutdownPhase::ClosingConnections {
            deadline: graceful.min(forced),
        };
    }

    fn all_connections_closed(&self) -> bool {
        let counts = [
            &self.shared.listening,
            &self.shared.client_sockets,
            &self.shared.closing_sockets,
        ];
        counts.iter().all(|count| count.get() == 0) && self.backlogs_are_handled()
    }

    /// Whether no connection can remain unaccepted in a backlog: the listeners are closed, or
    /// another process accepts.
    fn backlogs_are_handled(&self) -> bool {
        self.shared.open_listeners.get() == 0 || self.shared.listeners_are_shared()
    }
}
