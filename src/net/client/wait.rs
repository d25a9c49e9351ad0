//! What a client connection waits for: its deadlines, and the event that wakes it.
use super::connection::{ClientConnection, read_into_shared_buffer};
use crate::clock::{MS, Micros, SEC};
use crate::dispatcher::Response;
use crate::frontend::Frontend;
use crate::idle_buffer::IDLE_CAPACITY_BYTES;
use crate::net::sleep_until;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::future::pending;
use std::io;

/// Input from a client is deferred while more bytes than this wait to be written to it.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// The deferred input that a connection may always buffer.
const MIN_DEFERRED_BYTES: usize = 64 * 1024;
/// The most deferred input that a connection buffers while there is memory. Once the limit is reached
/// nothing is read, and the client's disconnect is detected by polling instead: that detects it only
/// if the system has received the end of the stream, which is behind all that the client has sent.
const MAX_DEFERRED_BYTES: usize = 4 * 1024 * 1024;
/// The interval of that polling.
const DISCONNECT_POLL_INTERVAL: Micros = 20 * MS;
/// A client without open requests is disconnected after this time without activity. Ordinary
/// clients close their side after 4 s.
const IDLE_TIMEOUT: Micros = 10 * SEC;
/// A client has to send its first valid message, and the rest of a message that it began, within
/// this time. Otherwise clients that connect in large numbers, and send nothing or a part of a
/// message, would exclude others.
const MESSAGE_TIMEOUT: Micros = 2_500 * MS;
/// A client that does not read its responses is disconnected after this time.
const WRITE_STALL_TIMEOUT: Micros = 10 * SEC;

/// Why the connection woke up.
pub(super) enum WakeReason {
    /// The dispatcher sent the response to the request with that tag; `None` if it closed the
    /// mailbox.
    Response(Option<(u64, Response)>),
    /// The connection is to check whether it should close: it is shed, its drain began, or it has
    /// been quiet for long enough.
    CloseCheck,
    /// Bytes were read into the shared buffer; zero if the client closed its side.
    Read(io::Result<usize>),
    /// Bytes were written to the socket.
    Written(io::Result<usize>),
    /// A deadline of the [`WaitPlan`] passed.
    Deadline,
}

/// Whether input from this client is deferred now, and until when.
pub(super) struct Throttle {
    /// The pacing of its messages defers them until this time.
    pub(super) resumes_at: Option<Micros>,
    /// Too many bytes wait to be written: to this client, or to all clients together while this one
    /// does not keep up with reading.
    pub(super) output_is_full: bool,
}

impl Throttle {
    pub(super) fn is_active(&self) -> bool {
        self.output_is_full || self.resumes_at.is_some()
    }
}

/// The state of a connection before it waits, and the deadlines that follow from it.
pub(super) struct WaitPlan {
    /// New input is deferred instead of parsed.
    pub(super) defers_input: bool,
    /// No input is read at all: the deferred input has reached its limit.
    pub(super) input_blocked: bool,
    /// Bytes wait to be written.
    pub(super) writing: bool,
    /// No request is open, no input is deferred, and no output is to be written.
    pub(super) idle: bool,
    /// When the client's first valid message, or the rest of an incomplete message, is due.
    pub(super) message_due_at: Option<Micros>,
    /// When the client counts as unresponsive, unless there is activity before.
    pub(super) unresponsive_at: Option<Micros>,
    /// When a draining connection closes if it stays quiet.
    quiet_close_at: Option<Micros>,
    wake_at: Option<Micros>,
}

impl WaitPlan {
    /// Whether the connection has been quiet for as long as a drain requires.
    pub(super) fn quiet_close_is_due(&self, now: Micros) -> bool {
        has_passed(self.quiet_close_at, now)
    }
}

/// Whether that deadline exists and has passed.
pub(super) fn has_passed(deadline: Option<Micros>, now: Micros) -> bool {
    deadline.is_some_and(|at| at <= now)
}

fn earliest(deadlines: [Option<Micros>; 5]) -> Option<Micros> {
    deadlines.into_iter().flatten().min()
}

impl<F: Frontend> ClientConnection<'_, F> {
    /// Whether the client's input is deferred now; also updates the count of unwritten bytes.
    pub(super) fn throttle(&mut self, now: Micros) -> Throttle {
        let unwritten = self.output.update_quota();
        let over_shared_limit =
            self.shared.unwritten_bytes.get() > self.shared.max_unwritten_bytes.get();
        // A client that reads its responses is not throttled because others do not read theirs.
        let reads_slowly = unwritten > IDLE_CAPACITY_BYTES;
        let lifecycle = self.shared.lifecycle.borrow();
        // Pacing ends when new requests are rejected: deferred requests are rejected at once, so
        // that the connection becomes quiet.
        let rejects_from = lifecycle.rejects_from().unwrap_or(Micros::MAX);
        let resumes_at = self.pacing.resumes_at(now).map(|at| at.min(rejects_from));
        Throttle {
            resumes_at: resumes_at.filter(|at| *at > now),
            output_is_full: unwritten > MAX_UNWRITTEN_BYTES
                || over_shared_limit && reads_slowly && !lifecycle.is_closing(),
        }
    }

    /// Computes the deadlines before the connection waits.
    pub(super) fn plan_wait(&self, now: Micros, throttle: &Throttle) -> WaitPlan {
        let writing = self.is_writing();
        let open_requests = self.frontend.open_requests();
        let idle = !writing && open_requests == 0 && self.deferred.is_empty();
        // Input that is already deferred is parsed first.
        let defers_input =
            throttle.is_active() || !self.deferred.is_empty() || self.frontend.awaits_response();
        let input_blocked = defers_input && self.deferred.len() >= self.max_deferred_bytes();
        let message_due_at = self.message_due_at();
        let unresponsive_at = match (writing, idle) {
            (true, _) => Some(self.active_at + WRITE_STALL_TIMEOUT),
            (false, true) => Some(self.active_at + IDLE_TIMEOUT),
            (false, false) => None,
        };
        let poll_disconnect_at =
            (input_blocked && open_requests > 0).then_some(now + DISCONNECT_POLL_INTERVAL);
        let quiet_close_at = self.quiet_close_at(now);
        WaitPlan {
            defers_input,
            input_blocked,
            writing,
            idle,
            message_due_at,
            unresponsive_at,
            quiet_close_at,
            wake_at: earliest([
                unresponsive_at,
                message_due_at,
                throttle.resumes_at,
                poll_disconnect_at,
                quiet_close_at.filter(|at| idle && *at > now),
            ]),
        }
    }

    /// The deferred input that this connection may buffer now. Clients may use half of the memory for
    /// input in this way; the rest is for requests that are being read.
    fn max_deferred_bytes(&self) -> usize {
        let has_memory = 2 * self.shared.unread_bytes.get() < self.shared.max_unread_bytes.get();
        if has_memory {
            MAX_DEFERRED_BYTES
        } else {
            MIN_DEFERRED_BYTES
        }
    }

    /// When the client's first valid message, or the rest of the incomplete one, is due.
    fn message_due_at(&self) -> Option<Micros> {
        let first_message_since = (!self.frontend.has_valid_message()).then_some(self.accepted_at);
        let waiting_since = self
            .frontend
            .message_started_at()
            .into_iter()
            .chain(first_message_since)
            .min();
        waiting_since.map(|since| since + MESSAGE_TIMEOUT)
    }

    /// When the connection closes because of a drain or the exit of the process, provided that it
    /// is quiet then. An incomplete message keeps it open during a drain, but not when the process
    /// is about to exit.
    fn quiet_close_at(&self, now: Micros) -> Option<Micros> {
        let lifecycle = self.shared.lifecycle.borrow();
        let closing = lifecycle.is_closing();
        let no_message_begun =
            self.frontend.message_started_at().is_none() && self.frontend.buffered_bytes() == 0;
        let quiet = (closing || no_message_begun) && !self.has_unread_input;
        let closes_when_quiet = quiet && (closing || self.status.draining.get());
        closes_when_quiet.then(|| {
            let has_valid_message = self.frontend.has_valid_message();
            self.active_at + lifecycle.min_idle_time(self.id, now, has_valid_message)
        })
    }

    /// Waits for the next event. Where several are ready, responses come first, then the check
    /// whether to close, then writing before reading.
    pub(super) async fn wait(&self, now: Micros, plan: &WaitPlan) -> WakeReason {
        let response = async { WakeReason::Response(self.responses.recv().await.ok()) };
        let close_check = self.wait_for_close_check(now, plan);
        let write = async {
            if !plan.writing {
                return pending().await;
            }
            let mut socket = &*self.stream;
            WakeReason::Written(socket.write(self.output.pending()).await)
        };
        let read = async {
            if plan.input_blocked {
                return pending().await;
            }
            WakeReason::Read(read_into_shared_buffer(&self.stream, self.shared).await)
        };
        let deadline = async {
            sleep_until(plan.wake_at).await;
            WakeReason::Deadline
        };
        or(response, or(close_check, or(write, or(read, deadline)))).await
    }

    /// Returns at once if an idle connection has been quiet for long enough, otherwise when a check
    /// is requested through the connection's status. Unread input is handled first: while there is
    /// any, this never returns for an idle connection that is not yet due to close.
    ///
    /// A connection that is not idle wakes up as well: its deferred input may now have to be
    /// parsed.
    async fn wait_for_close_check(&self, now: Micros, plan: &WaitPlan) -> WakeReason {
        if !plan.idle {
            if self.close_checks.recv().await.is_err() {
                // A closed channel means that the connection is shed, once it is idle again.
                return pending().await;
            }
            return WakeReason::CloseCheck;
        }
        if !plan.quiet_close_is_due(now) {
            if self.has_unread_input {
                return pending().await;
            }
            // An error means that the channel is closed: the connection is shed.
            let _ = self.close_checks.recv().await;
        }
        WakeReason::CloseCheck
    }

    /// Publishes to the connection registry the state that the listeners and the lifecycle use.
    pub(super) fn publish_status(&self, plan: &WaitPlan) {
        self.status
            .has_valid_message
            .set(self.frontend.has_valid_message());
        self.status
            .idle_since
            .set(plan.idle.then_some(self.active_at));
    }
}
