//! The actor of one client connection: reads requests, writes responses, and decides when to close.
use super::buffers::{DEFERRED_CHUNK_BYTES, DeferredInput, OutputBuffer};
use super::connection_registry::ConnectionStatus;
use super::message_pacing::MessagePacing;
use super::wait::{WaitPlan, WakeReason, has_passed};
use crate::clock::{self, Micros};
use crate::dispatcher::Response;
use crate::dispatcher::termination::Termination;
use crate::frontend::{DisconnectReason, Frontend, FrontendEvent};
use crate::hot_restart::message::HotRestartMessage;
use crate::idle_buffer::IDLE_CAPACITY_BYTES;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{ByteQuota, CountGuard, Shared};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::yield_now;
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::rc::Rc;

/// Input for the frontend: just read into the buffer that all connections share, or deferred
/// earlier.
enum Received<'a> {
    InSharedBuffer(usize),
    Deferred(&'a [u8]),
}

/// How the connection is closed when the actor's loop ends.
enum CloseMode {
    /// Close the socket without writing pending output.
    Immediate(Termination),
    /// Write pending output, then close gracefully.
    Graceful(Termination),
}

/// Reads into the buffer that all connections share, so that an idle connection needs no buffer of
/// its own.
pub(super) async fn read_into_shared_buffer(
    stream: &Async<TcpStream>,
    shared: &Shared,
) -> io::Result<usize> {
    stream
        .read_with(|stream| io::Read::read(&mut &*stream, &mut shared.buffer.borrow_mut()))
        .await
}

/// The process that transferred this connection in a hot restart.
#[derive(Clone)]
pub(super) struct PredecessorLink {
    /// The connection's number there.
    pub(super) connection_number: u64,
    /// Messages to that process.
    pub(super) messages: Sender<HotRestartMessage>,
}

/// A client connection with its frontend.
pub(super) struct ClientConnection<'a, F> {
    pub(super) shared: &'a Shared,
    pub(super) dispatcher: &'a Sender<DispatcherEvent>,
    pub(super) stream: Rc<Async<TcpStream>>,
    /// Counts this connection among the client sockets.
    pub(super) socket_guard: CountGuard,
    /// Counts this connection among those with unwritten output. The process does not exit while
    /// there are any.
    pub(super) output_guard: Option<CountGuard>,
    pub(super) id: u64,
    /// The connection's entry in the registry.
    pub(super) status: &'a ConnectionStatus,
    /// Responses from the dispatcher, with the tags of their requests.
    pub(super) responses: &'a Receiver<(u64, Response)>,
    /// A message requests a check whether the connection should close; a closed channel sheds it.
    pub(super) close_checks: &'a Receiver<()>,
    pub(super) frontend: F,
    /// Events of the frontend that are not forwarded yet.
    pub(super) events: Vec<FrontendEvent>,
    pub(super) output: OutputBuffer<'a>,
    pub(super) deferred: DeferredInput,
    /// Counts buffered input against the limit over all connections, which limits the memory that
    /// many clients can occupy with long messages.
    pub(super) input_quota: ByteQuota<'a>,
    pub(super) predecessor: Option<PredecessorLink>,
    pub(super) accepted_at: Micros,
    /// The last time at which the client sent something, or bytes of its responses were written.
    pub(super) active_at: Micros,
    pub(super) pacing: MessagePacing,
    /// The socket has input that is not read yet, so that the connection is not quiet.
    pub(super) has_unread_input: bool,
    /// New requests are rejected, because the memory limit for input was exceeded: the connection
    /// is to be closed.
    pub(super) rejects_requests: bool,
}

impl<F: Frontend> ClientConnection<'_, F> {
    /// Serves the client until the connection ends, and returns why it ended.
    pub(super) async fn run(mut self) -> Termination {
        // An error is ignored: without this option responses are only delayed.
        let _ = self.stream.get_ref().set_nodelay(true);
        self.accepted_at = clock::read();
        self.active_at = self.accepted_at;
        // A connection that was transferred to this process may have an incomplete message.
        self.count_input();
        loop {
            if !self.is_writing() && self.frontend.closes_after_output() {
                return self.close_gracefully(Termination::Done).await;
            }
            self.update_output_guard();
            if let Some((successor, state)) = self.transfer_target() {
                return self.transfer(successor, state).await;
            }
            let step = self.step().await;
            match step {
                ControlFlow::Continue(()) => {}
                ControlFlow::Break(CloseMode::Immediate(reason)) => return reason,
                ControlFlow::Break(CloseMode::Graceful(reason)) => {
                    return self.close_gracefully(reason).await;
                }
            }
        }
    }

    /// Parses a chunk of deferred input, or waits for the next event and handles it.
    async fn step(&mut self) -> ControlFlow<CloseMode> {
        let now = clock::now();
        let throttle = self.throttle(now);
        if !throttle.is_active() && self.can_feed_deferred_input() {
            // A response that is ready is written before more input is parsed.
            let Ok((tag, response)) = self.responses.try_recv() else {
                return self.feed_deferred_chunk(now).await;
            };
            self.on_response(now, tag, response).await;
            return ControlFlow::Continue(());
        }
        self.forward_deferred_cancellations(now).await;
        let plan = self.plan_wait(now, &throttle);
        self.publish_status(&plan);
        let reason = self.wait(now, &plan).await;
        let now = clock::read();
        match reason {
            WakeReason::Response(Some((tag, response))) => {
                self.on_response(now, tag, response).await;
                ControlFlow::Continue(())
            }
            WakeReason::Response(None) => {
                ControlFlow::Break(CloseMode::Immediate(Termination::LocalLimit))
            }
            WakeReason::CloseCheck => self.on_close_check(now, &plan),
            WakeReason::Written(Ok(count)) => {
                self.output.mark_written(count);
                self.active_at = now;
                ControlFlow::Continue(())
            }
            WakeReason::Read(Ok(0)) => {
                ControlFlow::Break(CloseMode::Immediate(Termination::Closed))
            }
            WakeReason::Read(Ok(count)) => self.on_read(now, count, &plan).await,
            WakeReason::Read(Err(_)) | WakeReason::Written(Err(_)) => {
                ControlFlow::Break(CloseMode::Immediate(Termination::Reset))
            }
            WakeReason::Deadline => self.on_deadline(now, &plan),
        }
    }

    pub(super) fn is_writing(&self) -> bool {
        !self.output.pending().is_empty()
    }

    fn update_output_guard(&mut self) {
        if self.is_writing() {
            self.hold_output_guard();
        } else {
            self.output_guard = None;
        }
    }

    fn hold_output_guard(&mut self) {
        self.output_guard
            .get_or_insert_with(|| CountGuard::new(&self.shared.connections_with_unwritten_output));
    }

    /// Records activity of the client. While it has responses to read, only reading them counts.
    fn note_activity(&mut self, now: Micros) {
        if !self.is_writing() {
            self.active_at = now;
        }
    }

    async fn on_response(&mut self, now: Micros, tag: u64, response: Response) {
        self.note_activity(now);
        self.hold_output_guard();
        let completed = matches!(response, Response::Completed(_) | Response::Preformatted(_));
        let parsed_before = self.frontend.parsed_messages();
        self.frontend
            .write_response(now, tag, response, &mut self.events, &mut self.output.bytes);
        let parsed = self.frontend.parsed_messages() - parsed_before;
        self.pacing.add(now, parsed);
        if completed {
            self.pacing.request_completed();
        }
        self.forward_events(now).await;
    }

    /// Closes an idle connection that is shed or has been quiet for long enough, unless input has
    /// arrived that is not read yet: a request in it is to be served.
    fn on_close_check(&mut self, now: Micros, plan: &WaitPlan) -> ControlFlow<CloseMode> {
        let may_close = self.close_checks.is_closed() || plan.quiet_close_is_due(now);
        if !plan.idle || !may_close {
            return ControlFlow::Continue(());
        }
        self.has_unread_input = self.peek_unread_input();
        if self.has_unread_input {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(CloseMode::Graceful(if self.close_checks.is_closed() {
            Termination::LocalLimit
        } else {
            Termination::Idle
        }))
    }

    async fn on_read(
        &mut self,
        now: Micros,
        count: usize,
        plan: &WaitPlan,
    ) -> ControlFlow<CloseMode> {
        self.note_activity(now);
        self.has_unread_input = false;
        // Input that exceeds a chunk is parsed chunk by chunk, so that the actors of other
        // connections run in between.
        if plan.defers_input || count > DEFERRED_CHUNK_BYTES {
            self.defer_input(count);
        } else if let Err(reason) = self
            .feed_frontend(now, Received::InSharedBuffer(count))
            .await
        {
            return ControlFlow::Break(CloseMode::Graceful(reason));
        }
        if let Err(reason) = self.enforce_input_memory_limit(now).await {
            return ControlFlow::Break(CloseMode::Graceful(reason));
        }
        // The socket of a client that sends continuously is always readable: yielding lets the
        // actors of other connections run.
        yield_now().await;
        ControlFlow::Continue(())
    }

    fn on_deadline(&mut self, now: Micros, plan: &WaitPlan) -> ControlFlow<CloseMode> {
        let message_overdue = has_passed(plan.message_due_at, now);
        let unresponsive = has_passed(plan.unresponsive_at, now);
        if plan.writing && unresponsive {
            return ControlFlow::Break(CloseMode::Immediate(Termination::Unresponsive));
        }
        if message_overdue && self.frontend.message_started_at().is_some() {
            // Open requests still get their responses.
            self.frontend
                .stop_reading(DisconnectReason::MessageTimeout, &mut self.output.bytes);
            return ControlFlow::Continue(());
        }
        if message_overdue || unresponsive {
            // Unread input does not keep the connection open once the deferred input has reached
            // its limit without a valid message.
            self.has_unread_input = self.peek_unread_input() && !plan.input_blocked;
            if !self.has_unread_input {
                return ControlFlow::Break(CloseMode::Graceful(Termination::Idle));
            }
        } else if plan.input_blocked && self.status.disconnected() {
            return ControlFlow::Break(CloseMode::Immediate(Termination::Closed));
        }
        ControlFlow::Continue(())
    }

    /// If all clients together exceed the memory limit for input, and this connection buffers more
    /// than an idle one may keep, rejects the requests that wait to be parsed, discards the
    /// incomplete message, and stops reading.
    async fn enforce_input_memory_limit(&mut self, now: Micros) -> Result<(), Termination> {
        let over_limit = self.shared.unread_bytes.get() > self.shared.max_unread_bytes.get();
        if !over_limit || self.held_input_bytes() <= IDLE_CAPACITY_BYTES {
            return Ok(());
        }
        self.rejects_requests = true;
        while !self.deferred.is_empty() {
            let chunk = self.deferred.take_chunk();
            self.feed_frontend(now, Received::Deferred(&chunk)).await?;
        }
        self.frontend
            .stop_reading(DisconnectReason::OutOfMemory, &mut self.output.bytes);
        self.count_input();
        Ok(())
    }

    /// The memory that input occupies until it is processed.
    fn held_input_bytes(&self) -> usize {
        self.frontend.held_memory_bytes() + self.deferred.len()
    }

    /// Counts that memory against the limit over all connections.
    fn count_input(&mut self) {
        self.input_quota.set(self.held_input_bytes());
    }

    /// Whether the socket has unread input: closing it now would reset the connection and lose it.
    fn peek_unread_input(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Ok(count) if count > 0)
    }

    /// Whether there is deferred input that the frontend can parse now.
    fn can_feed_deferred_input(&self) -> bool {
        !self.deferred.is_empty() && !self.frontend.awaits_response()
    }

    async fn feed_deferred_chunk(&mut self, now: Micros) -> ControlFlow<CloseMode> {
        let chunk = self.deferred.take_chunk();
        if let Err(reason) = self.feed_frontend(now, Received::Deferred(&chunk)).await {
            return ControlFlow::Break(CloseMode::Graceful(reason));
        }
        // Deferred input can hold many messages: yielding lets the actors of other connections run.
        yield_now().await;
        ControlFlow::Continue(())
    }

    /// Has the frontend parse input, and forwards the events that result.
    async fn feed_frontend(
        &mut self,
        now: Micros,
        received: Received<'_>,
    ) -> Result<(), Termination> {
        let parsed_before = self.frontend.parsed_messages();
        let result = match received {
            Received::InSharedBuffer(count) => {
                let buffer = self.shared.buffer.borrow();
                self.frontend.feed(
                    now,
                    &buffer[..count],
                    &mut self.events,
                    &mut self.output.bytes,
                )
            }
            Received::Deferred(bytes) => {
                self.frontend
                    .feed(now, bytes, &mut self.events, &mut self.output.bytes)
            }
        };
        let parsed = self.frontend.parsed_messages() - parsed_before;
        self.pacing.add(now, parsed);
        // The deferred input may contain the cancellation of a request that was just parsed.
        if self.events.iter().any(FrontendEvent::is_request) {
            self.deferred.restart_search();
        }
        self.count_input();
        self.forward_events(now).await;
        result
    }

    /// Appends the input in the shared buffer to the deferred input.
    fn defer_input(&mut self, count: usize) {
        self.deferred.append(&self.shared.buffer.borrow()[..count]);
        self.count_input();
    }

    /// Forwards the cancellations in the deferred input, which is not parsed yet.
    async fn forward_deferred_cancellations(&mut self, now: Micros) {
        if self.deferred.is_empty() {
            return;
        }
        self.deferred.search(&mut self.frontend, &mut self.events);
        self.forward_events(now).await;
    }
}
