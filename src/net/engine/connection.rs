//! The task of one connection to an engine: establishes it, and moves bytes between its socket and
//! its [`ConnectionState`].
use super::connection_handle::ConnectionStatus;
use super::{EngineCommand, MailboxSender, Peer, report_unsent};
use crate::backend::Protocol;
use crate::backend::connection_state::{ConnectionEvent, ConnectionState, StartingAttempt};
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::ProbeOutcome;
use crate::dispatcher::termination::Termination;
use crate::log;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{CountGuard, Shared, sleep_until};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::pin::pin;
use std::rc::Rc;

/// A connection whose engine accepts no bytes for this long is closed.
const WRITE_STALL_TIMEOUT_MICROS: Micros = 5 * SEC;
/// Bytes read from the socket at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// One connection to an engine, from before it is established.
pub(super) struct Connection<P> {
    pub(super) state: ConnectionState<P>,
    pub(super) mailbox: Receiver<EngineCommand>,
    pub(super) dispatcher: Sender<DispatcherEvent>,
    pub(super) peer: Rc<Peer>,
    pub(super) status: Rc<ConnectionStatus>,
    /// Events that are not reported yet.
    pub(super) events: Vec<ConnectionEvent>,
}

/// Why the task of an established connection woke up.
enum WakeReason {
    /// A command was received; `None` if the mailbox was closed.
    Command(Option<EngineCommand>),
    /// Bytes were written.
    Written(io::Result<usize>),
    /// Bytes were read.
    Read(io::Result<usize>),
    /// A timeout expired.
    Timeout,
}

/// Why the task of a connection that is being established woke up.
enum ConnectWakeReason {
    /// A command was received; `None` if the mailbox was closed.
    Command(Option<EngineCommand>),
    /// The connection was established, or could not be.
    Connected(io::Result<Async<TcpStream>>),
    /// The timeout for establishing it expired.
    Timeout,
}

/// When an established connection is to be closed unless there is progress before.
#[derive(Clone, Copy)]
struct CloseTimeouts {
    /// Set while the connection is idle.
    idle_at: Option<Micros>,
    /// Set while output waits to be written.
    write_stall_at: Option<Micros>,
}

impl<P: Protocol> Connection<P> {
    /// Runs the connection until it is closed, which is reported to the engine's actor.
    pub(super) async fn run(mut self, shared: &Shared, actor: &MailboxSender<EngineCommand>) {
        let max_sockets = shared.max_engine_sockets.get();
        let socket = CountGuard::up_to(&shared.engine_sockets, max_sockets);
        let reason = match socket {
            Some(_) => {
                let serve = self.connect_and_serve(shared);
                let served = shared.contain_panic("a connection to an engine", serve);
                served.await.unwrap_or(Termination::Dropped)
            }
            None => Termination::LocalLimit,
        };
        self.close(reason).await;
        // Not needed if the actor's mailbox is full or closed: the actor removes closed connections
        // whenever it wakes up.
        let _ = actor.try_send(EngineCommand::ConnectionEnded);
    }

    /// Ends all attempts and load probes on the connection. Attempts that are still in the mailbox
    /// were never sent.
    async fn close(&mut self, reason: Termination) {
        let now = clock::read();
        self.mailbox.close();
        self.state.close(now, reason, &mut self.events);
        while let Ok(command) = self.mailbox.try_recv() {
            if let EngineCommand::Start(request) = command {
                report_unsent(&self.dispatcher, request.attempt_id(), reason).await;
            }
        }
        self.report_events().await;
    }

    async fn connect_and_serve(&mut self, shared: &Shared) -> Termination {
        match self.connect().await {
            Ok(stream) => self.serve(&stream, shared).await,
            Err(reason) => reason,
        }
    }

    /// Establishes the connection. Commands are processed meanwhile, so that a drain ends the
    /// attempts that wait for it.
    async fn connect(&mut self) -> Result<Async<TcpStream>, Termination> {
        let mut connecting = pin!(Async::<TcpStream>::connect(self.peer.addr));
        let timeout_at = clock::read() + self.peer.options.connect_timeout;
        loop {
            self.report_events().await;
            let command = async { ConnectWakeReason::Command(self.mailbox.recv().await.ok()) };
            let connected = async { ConnectWakeReason::Connected(connecting.as_mut().await) };
            let timer = async {
                sleep_until(Some(timeout_at)).await;
                ConnectWakeReason::Timeout
            };
            let reason = or(command, or(connected, timer)).await;
            let now = clock::read();
            match reason {
                ConnectWakeReason::Command(Some(command)) => self.handle_command(now, command),
                ConnectWakeReason::Command(None) => return Err(Termination::Dropped),
                ConnectWakeReason::Connected(Ok(stream)) => return Ok(stream),
                ConnectWakeReason::Connected(Err(error)) => {
                    return Err(Termination::from_connect_error(&error));
                }
                ConnectWakeReason::Timeout => return Err(Termination::ConnectTimeout),
            }
        }
    }

    /// Serves the established connection until it has to be closed, and returns the reason.
    async fn serve(&mut self, stream: &Async<TcpStream>, shared: &Shared) -> Termination {
        // An error is ignored: without this option commands are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut last_progress_at = clock::now();
        loop {
            if let Some(reason) = self.state.close_reason() {
                return reason;
            }
            self.cancel_for_disconnected_clients(shared).await;
            self.report_events().await;
            let timeouts = self.close_timeouts(last_progress_at);
            let reason = self.next_wake(stream, &mut buffer, timeouts).await;
            let now = clock::read();
            let written = matches!(reason, WakeReason::Written(Ok(_)));
            if written || timeouts.write_stall_at.is_none() {
                last_progress_at = now;
            }
            let outcome = match reason {
                WakeReason::Command(command) => self.on_command(now, command, timeouts),
                WakeReason::Written(written) => self.on_written(now, written, shared),
                WakeReason::Read(read) => self.on_read(now, read, &buffer),
                WakeReason::Timeout => self.on_timeout(now, timeouts),
            };
            if let ControlFlow::Break(reason) = outcome {
                return reason;
            }
        }
    }

    fn close_timeouts(&self, last_progress_at: Micros) -> CloseTimeouts {
        let idle_timeout = self.peer.options.keepalive * 3 / 4;
        let idle_since = self.state.idle_since();
        let has_output = self.state.pending_output().is_some();
        CloseTimeouts {
            idle_at: idle_since.map(|since| since + idle_timeout),
            write_stall_at: has_output.then_some(last_progress_at + WRITE_STALL_TIMEOUT_MICROS),
        }
    }

    async fn next_wake(
        &self,
        mut stream: &Async<TcpStream>,
        buffer: &mut [u8],
        timeouts: CloseTimeouts,
    ) -> WakeReason {
        let mut writer = stream;
        let timeout_at = self
            .state
            .next_timeout()
            .into_iter()
            .chain(timeouts.idle_at)
            .chain(timeouts.write_stall_at)
            .min();
        let command = async { WakeReason::Command(self.mailbox.recv().await.ok()) };
        let write = async {
            match self.state.pending_output() {
                Some(bytes) => WakeReason::Written(writer.write(bytes).await),
                None => std::future::pending().await,
            }
        };
        let read = async { WakeReason::Read(stream.read(buffer).await) };
        let timer = async {
            sleep_until(timeout_at).await;
            WakeReason::Timeout
        };
        or(command, or(write, or(read, timer))).await
    }

    fn on_command(
        &mut self,
        now: Micros,
        command: Option<EngineCommand>,
        timeouts: CloseTimeouts,
    ) -> ControlFlow<Termination> {
        match command {
            None => ControlFlow::Break(Termination::Dropped),
            Some(EngineCommand::CloseIdle) if timeouts.idle_at.is_some() => {
                ControlFlow::Break(Termination::Idle)
            }
            Some(command) => {
                self.handle_command(now, command);
                ControlFlow::Continue(())
            }
        }
    }

    fn on_written(
        &mut self,
        now: Micros,
        written: io::Result<usize>,
        shared: &Shared,
    ) -> ControlFlow<Termination> {
        let Ok(count) = written else {
            return ControlFlow::Break(Termination::Reset);
        };
        self.state.advance_output(now, count);
        let dispatches = shared.dispatches.get() + self.state.take_commands_written();
        shared.dispatches.set(dispatches);
        ControlFlow::Continue(())
    }

    fn on_read(
        &mut self,
        now: Micros,
        read: io::Result<usize>,
        buffer: &[u8],
    ) -> ControlFlow<Termination> {
        let Ok(count) = read else {
            return ControlFlow::Break(Termination::Reset);
        };
        self.status.has_received.set(true);
        self.state.receive(now, &buffer[..count], &mut self.events);
        ControlFlow::Continue(())
    }

    fn on_timeout(&mut self, now: Micros, timeouts: CloseTimeouts) -> ControlFlow<Termination> {
        if timeouts.idle_at.is_some_and(|at| at <= now) {
            return ControlFlow::Break(Termination::Idle);
        }
        if timeouts.write_stall_at.is_some_and(|at| at <= now) {
            return ControlFlow::Break(Termination::Unresponsive);
        }
        self.state.on_timeout(now, &mut self.events);
        if self.state.close_reason() == Some(Termination::Unresponsive) {
            log!(
                "engine {}: a response did not arrive in time, closing its connection",
                self.peer.id.0
            );
        }
        ControlFlow::Continue(())
    }

    fn handle_command(&mut self, now: Micros, command: EngineCommand) {
        match command {
            EngineCommand::Start(request) => {
                self.events.extend(self.state.start_attempt(now, &request));
            }
            EngineCommand::Cancel { id, attempt } => {
                self.state
                    .cancel_attempt(now, id, attempt, &mut self.events);
            }
            EngineCommand::MarkSlow { id, attempt } => self.state.mark_slow(id, attempt),
            EngineCommand::SetPriority {
                id,
                attempt,
                priority,
            } => self.state.set_priority(id, attempt, priority),
            // Checked here too: the command may have waited until the connection was established,
            // or the process may have been suspended meanwhile.
            EngineCommand::Probe { not_after } if now >= not_after => {
                self.events.push(ConnectionEvent::unsent_probe());
            }
            EngineCommand::Probe { .. } => self.events.extend(self.state.send_probe(now)),
            EngineCommand::Drain => self.state.drain(now, &mut self.events),
            EngineCommand::CloseIdle | EngineCommand::Remove | EngineCommand::ConnectionEnded => {}
        }
        self.publish_used_streams();
    }

    /// Publishes streams that are in use now before any other task runs, so that the actor does not
    /// assign them again while the reports of this connection wait. Streams that became free are
    /// published once their ends are reported.
    fn publish_used_streams(&self) {
        let published = self.status.free_streams.get();
        let free_streams = published.min(self.state.free_streams());
        self.status.free_streams.set(free_streams);
    }

    /// Cancels attempts that are about to be sent for a client that has disconnected. The
    /// disconnect is reported first, so that the dispatcher does not retry them.
    async fn cancel_for_disconnected_clients(&mut self, shared: &Shared) {
        while let Some(starting) = self.next_for_disconnected_client(shared) {
            let event = DispatcherEvent::ClientDisconnected(starting.client_connection);
            let _ = self.dispatcher.send(event).await;
            self.state.cancel_attempt(
                clock::now(),
                starting.id,
                starting.attempt,
                &mut self.events,
            );
        }
    }

    fn next_for_disconnected_client(&self, shared: &Shared) -> Option<StartingAttempt> {
        let starting = self.state.next_starting_attempt()?;
        shared
            .client_disconnected(starting.client_connection)
            .then_some(starting)
    }

    /// Reports events to the dispatcher. While its mailbox is full, only this connection waits.
    async fn report_events(&mut self) {
        if !self.events.is_empty() {
            // Updated before the events are reported: the dispatcher may retry at once.
            let abandoned = self.state.abandoned_requests().collect();
            *self.status.abandoned_requests.borrow_mut() = abandoned;
        }
        for event in std::mem::take(&mut self.events) {
            let event = self.dispatcher_event(event);
            let _ = self.dispatcher.send(event).await;
        }
        self.status.free_streams.set(self.state.free_streams());
    }

    fn dispatcher_event(&self, event: ConnectionEvent) -> DispatcherEvent {
        match event {
            ConnectionEvent::AttemptEnded(result) => {
                self.status.attempts.borrow_mut().remove(&result.id);
                DispatcherEvent::AttemptFinished(result)
            }
            ConnectionEvent::ProbeCompleted {
                kind,
                latency,
                load,
            } => DispatcherEvent::ProbeCompleted(ProbeOutcome {
                engine: self.peer.id,
                kind,
                latency,
                load,
            }),
        }
    }
}
