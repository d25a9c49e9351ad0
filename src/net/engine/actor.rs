//! The actor of one engine: assigns attempts to its connections, and opens new connections.
use super::connection::Connection;
use super::connection_handle::{ConnectionHandle, ConnectionStatus};
use super::{EndpointHandle, EngineCommand, MailboxSender, Peer, bounded, report_unsent};
use crate::backend::Protocol;
use crate::backend::connection_state::ConnectionState;
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptId, AttemptRequest, ProbeOutcome};
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{Shared, sleep_until};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use std::cell::Cell;
use std::rc::Rc;

/// How long an engine that was removed from the endpoint list may still respond to attempts in
/// flight.
const REMOVAL_GRACE_MICROS: Micros = SEC;
/// Capacity of a connection's mailbox in commands, in addition to two for each of its streams.
const EXTRA_CONNECTION_COMMANDS: usize = 64;

/// Why the actor woke up.
enum WakeReason {
    /// A command was received.
    Command(EngineCommand),
    /// The grace period of a removed engine has expired.
    RemovalDue,
    /// The mailbox was closed: the endpoint was closed or aborted.
    MailboxClosed,
}

/// The actor of one engine.
pub(super) struct EngineActor<P> {
    pub(super) shared: Rc<Shared>,
    pub(super) dispatcher: Sender<DispatcherEvent>,
    pub(super) endpoint: Rc<EndpointHandle>,
    pub(super) peer: Rc<Peer>,
    /// Creates the protocol of a new connection.
    pub(super) new_protocol: Box<dyn Fn() -> P>,
    /// The sending end of `mailbox`, for the tasks of connections.
    pub(super) commands: MailboxSender<EngineCommand>,
    pub(super) mailbox: Receiver<EngineCommand>,
    pub(super) connections: Vec<ConnectionHandle>,
    /// The attempt that is being assigned to a connection. It is reported as unsent if this actor
    /// panics.
    pub(super) assigning: Option<AttemptId>,
    /// When a removed engine's connections are closed.
    pub(super) close_at: Option<Micros>,
}

impl<P> EngineActor<P>
where
    P: Protocol + 'static,
{
    /// Runs until no connection and no command is left, the engine is removed, or the mailbox is
    /// closed. The connections are closed when the actor ends.
    pub(super) async fn run(mut self) {
        let shared = self.shared.clone();
        let serve = self.serve();
        shared.contain_panic("the actor of an engine", serve).await;
        self.close_mailbox().await;
    }

    async fn serve(&mut self) {
        loop {
            self.remove_closed_connections();
            // No other task runs between this check and the closing of the mailbox, so no command
            // is lost: the next command finds no actor and starts one.
            if self.connections.is_empty() && self.mailbox.is_empty() {
                break;
            }
            match self.next_wake().await {
                WakeReason::Command(command) => {
                    self.remove_closed_connections();
                    self.handle(command).await;
                }
                WakeReason::RemovalDue | WakeReason::MailboxClosed => break,
            }
        }
    }

    async fn next_wake(&self) -> WakeReason {
        let command = async {
            match self.mailbox.recv().await {
                Ok(command) => WakeReason::Command(command),
                Err(_) => WakeReason::MailboxClosed,
            }
        };
        let removal = async {
            sleep_until(self.close_at).await;
            WakeReason::RemovalDue
        };
        or(command, removal).await
    }

    /// Closes the mailbox, and reports the attempts that are still in it, as they were never sent.
    async fn close_mailbox(self) {
        self.mailbox.close();
        if let Some(attempt) = self.assigning {
            report_unsent(&self.dispatcher, attempt, Termination::LocalLimit).await;
        }
        while let Ok(command) = self.mailbox.try_recv() {
            if let EngineCommand::Start(request) = command {
                report_unsent(&self.dispatcher, request.attempt_id(), Termination::Drained).await;
            }
        }
    }

    fn remove_closed_connections(&mut self) {
        self.connections
            .retain(|connection| !connection.commands.is_closed());
    }

    async fn handle(&mut self, command: EngineCommand) {
        match command {
            EngineCommand::Start(request) => {
                self.assigning = Some(request.attempt_id());
                self.start_attempt(request).await;
                self.assigning = None;
            }
            EngineCommand::Cancel { id, .. } => self.cancel_attempt(id, command),
            EngineCommand::MarkSlow { id, .. } | EngineCommand::SetPriority { id, .. } => {
                self.update_attempt(id, command);
            }
            EngineCommand::Probe { .. } => self.probe(command).await,
            EngineCommand::CloseIdle => self.close_idle_connections(),
            EngineCommand::Drain => self.drain(),
            EngineCommand::Remove => self.remove(),
            // The connection was removed when the actor woke up.
            EngineCommand::ConnectionEnded => {}
        }
    }

    async fn start_attempt(&mut self, request: AttemptRequest) {
        if self.endpoint.is_draining() {
            report_unsent(&self.dispatcher, request.attempt_id(), Termination::Drained).await;
            return;
        }
        // Otherwise the statement would run on the tables of another database.
        if selects_database(&request) && !self.peer.options.supports_databases {
            report_unsent(
                &self.dispatcher,
                request.attempt_id(),
                Termination::LocalLimit,
            )
            .await;
            return;
        }
        let connection = match self.select_connection(&request) {
            Some(index) => &self.connections[index],
            None => self.open_connection(),
        };
        if let Err(request) = connection.start_attempt(request) {
            report_unsent(
                &self.dispatcher,
                request.attempt_id(),
                Termination::LocalLimit,
            )
            .await;
        }
    }

    /// The index of the connection that is to carry an attempt, or `None` if it needs a new one.
    fn select_connection(&self, request: &AttemptRequest) -> Option<usize> {
        let used_sockets = self.shared.engine_sockets.get();
        let sockets_available = used_sockets < self.shared.max_engine_sockets.get() * 3 / 4;
        self.connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.accepts(request, sockets_available))
            .min_by_key(|(_, connection)| connection.preference(request))
            .map(|(index, _)| index)
    }

    fn connection_of(&self, id: RequestId) -> Option<&ConnectionHandle> {
        self.connections
            .iter()
            .find(|connection| connection.carries(id))
    }

    /// If the cancellation cannot be passed on, the connection is closed, so that no more attempts
    /// of a request are in flight than the dispatcher counts.
    fn cancel_attempt(&self, id: RequestId, command: EngineCommand) {
        if let Some(connection) = self.connection_of(id) {
            connection.send_or_close(command);
        }
    }

    /// If the connection's mailbox is full, the command is dropped: the attempt keeps its priority,
    /// or its connection does not become suspect.
    fn update_attempt(&self, id: RequestId, command: EngineCommand) {
        if let Some(connection) = self.connection_of(id) {
            connection.send_best_effort(command);
        }
    }

    async fn probe(&mut self, command: EngineCommand) {
        let free = self
            .connections
            .iter()
            .position(ConnectionHandle::has_free_stream);
        let connection = match free {
            Some(index) => &self.connections[index],
            None => self.open_connection(),
        };
        if connection.commands.try_send(command).is_err() {
            let event = DispatcherEvent::ProbeCompleted(ProbeOutcome {
                engine: self.peer.id,
                kind: OutcomeKind::NeverSent,
                latency: 0,
                load: LoadReport::default(),
            });
            let _ = self.dispatcher.send(event).await;
        }
    }

    fn close_idle_connections(&self) {
        for connection in &self.connections {
            connection.send_best_effort(EngineCommand::CloseIdle);
        }
    }

    fn drain(&self) {
        for connection in &self.connections {
            connection.send_or_close(EngineCommand::Drain);
        }
    }

    /// The grace period limits memory and descriptors where engines are replaced continually, and
    /// ends attempts that wait for an engine that disappeared without closing its connections.
    fn remove(&mut self) {
        self.close_at
            .get_or_insert_with(|| clock::now() + REMOVAL_GRACE_MICROS);
        self.drain();
    }

    /// Adds a connection, and starts the task that establishes it.
    fn open_connection(&mut self) -> &ConnectionHandle {
        let protocol = (self.new_protocol)();
        let max_streams = protocol.max_streams();
        let (commands, mailbox) = bounded(max_streams * 2 + EXTRA_CONNECTION_COMMANDS);
        let status = Rc::new(ConnectionStatus {
            free_streams: Cell::new(max_streams),
            ..ConnectionStatus::default()
        });
        let handle = ConnectionHandle {
            commands,
            status: status.clone(),
            exclusive: Cell::new(false),
        };
        let (shared, actor) = (self.shared.clone(), self.commands.clone());
        let (dispatcher, peer) = (self.dispatcher.clone(), self.peer.clone());
        let task = async move {
            let connection = Connection {
                state: ConnectionState::new(clock::read(), protocol),
                mailbox,
                dispatcher,
                peer,
                status,
                events: Vec::new(),
            };
            connection.run(&shared, &actor).await;
        };
        self.shared.executor.spawn(task).detach();
        self.connections.push(handle);
        let index = self.connections.len() - 1;
        &self.connections[index]
    }
}

fn selects_database(request: &AttemptRequest) -> bool {
    let session = request.session.as_ref();
    session.is_some_and(|session| session.database.is_some())
}
