//! The client side: the listeners of the frontends, and the actor of each client connection.
mod accept_claim;
mod buffers;
mod connection;
mod connection_registry;
mod events;
mod graceful_close;
mod listener;
mod listener_close;
mod message_pacing;
mod transfer;
mod wait;

pub use connection_registry::{ConnectionStatus, begin_shutdown, close_idle_connections};
pub use listener::{bind, bind_shared, listen, permit_sharing};
pub use listener_close::count_unaccepted;

use super::dispatcher::DispatcherEvent;
use super::{ByteQuota, CountGuard, Shared};
use crate::clock::{self, MS, Micros};
use crate::dispatcher::Response;
use crate::dispatcher::termination::Termination;
use crate::frontend::Frontend;
use crate::hot_restart::message::{HotRestartMessage, TransferredConnection};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use buffers::{DeferredInput, OutputBuffer};
use connection::{ClientConnection, PredecessorLink};
use message_pacing::MessagePacing;
use std::net::TcpStream;
use std::rc::Rc;

/// The capacity of a connection's mailbox for responses: larger than the number of open requests
/// that a frontend permits on one connection.
const RESPONSE_MAILBOX_CAPACITY: usize = 64;
/// A connection that was just accepted, or just received a response, has this long to send a
/// request before it can be shed, however many other clients wait.
const SHED_GRACE_PERIOD: Micros = 100 * MS;

/// A connection that another process transferred to this one.
pub struct AdoptedConnection {
    /// The connection's number in that process.
    pub number: u64,
    /// The protocol state: input that is not parsed, and output that is not written.
    pub state: TransferredConnection,
    /// Messages to that process.
    pub predecessor: Sender<HotRestartMessage>,
}

/// The initial state of a connection's actor.
struct NewConnection<F> {
    id: u64,
    stream: Async<TcpStream>,
    socket_guard: CountGuard,
    frontend: F,
    adopted: Option<AdoptedConnection>,
    responses_sender: Sender<(u64, Response)>,
    responses: Receiver<(u64, Response)>,
}

/// Starts the actor of a connection, and returns the mailbox for its responses: each with the tag
/// of its request.
pub fn start<F: Frontend + 'static>(
    shared: &Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    stream: Async<TcpStream>,
    id: u64,
    frontend: F,
    adopted: Option<AdoptedConnection>,
) -> Sender<(u64, Response)> {
    let (responses_sender, responses) = bounded(RESPONSE_MAILBOX_CAPACITY);
    let connection = NewConnection {
        id,
        stream,
        socket_guard: CountGuard::new(&shared.client_sockets),
        frontend,
        adopted,
        responses_sender: responses_sender.clone(),
        responses,
    };
    let actor_shared = Rc::clone(shared);
    shared.spawn(async move {
        serve(&actor_shared, &dispatcher, connection).await;
    });
    responses_sender
}

/// Registers the connection, runs it to its end, and reports both to the dispatcher.
async fn serve<F: Frontend>(
    shared: &Shared,
    dispatcher: &Sender<DispatcherEvent>,
    connection: NewConnection<F>,
) {
    let id = connection.id;
    let (close_check_sender, close_checks) = bounded(1);
    let stream = Rc::new(connection.stream);
    let status = Rc::new(ConnectionStatus::new(
        clock::read(),
        close_check_sender,
        Rc::downgrade(&stream),
    ));
    shared.clients.borrow_mut().insert(id, Rc::clone(&status));
    // The dispatcher's mailbox is closed only while the process exits.
    let _ = dispatcher
        .send(DispatcherEvent::ClientConnected {
            conn: id,
            responses: connection.responses_sender,
        })
        .await;
    let (predecessor, unwritten) = match connection.adopted {
        Some(adopted) => {
            let link = PredecessorLink {
                connection_number: adopted.number,
                messages: adopted.predecessor,
            };
            (Some(link), adopted.state.unwritten)
        }
        None => (None, Vec::new()),
    };
    let now = clock::now();
    let running = ClientConnection {
        shared,
        dispatcher,
        stream,
        socket_guard: connection.socket_guard,
        output_guard: None,
        id,
        status: &status,
        responses: &connection.responses,
        close_checks: &close_checks,
        frontend: connection.frontend,
        events: Vec::new(),
        output: OutputBuffer::new(unwritten, ByteQuota::new(&shared.unwritten_bytes)),
        deferred: DeferredInput::default(),
        input_quota: ByteQuota::new(&shared.unread_bytes),
        predecessor: predecessor.clone(),
        accepted_at: now,
        active_at: now,
        pacing: MessagePacing::default(),
        has_unread_input: false,
        rejects_requests: false,
    };
    let served = shared.contain_panic("the actor of a client connection", running.run());
    let reason = served.await.unwrap_or(Termination::Dropped);
    if let Some(predecessor) = predecessor {
        notify_predecessor(&predecessor);
    }
    shared.clients.borrow_mut().remove(&id);
    log_unexpected_termination(reason);
    let _ = dispatcher
        .send(DispatcherEvent::ClientDisconnected(id))
        .await;
}

/// Notifies the process that transferred the connection that its client has disconnected.
fn notify_predecessor(predecessor: &PredecessorLink) {
    let message = HotRestartMessage::ClientDisconnected {
        conn: predecessor.connection_number,
    };
    // A predecessor that has exited needs no notification.
    let _ = predecessor.messages.try_send(message);
}

/// Logs why a connection ended, unless it is a reason that ordinary clients and limits cause.
fn log_unexpected_termination(reason: Termination) {
    let expected = matches!(
        reason,
        Termination::Closed | Termination::Idle | Termination::Done | Termination::LocalLimit
    );
    if !expected {
        log!("a client connection ended: {reason}");
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_client.rs"]
pub(super) mod tests;

#[cfg(test)]
#[path = "../../../tests/unit/net_client_input.rs"]
mod input_tests;
