//! The actor of one engine and its pool of connections, each with a task of its own. The actor
//! exists only while something is in flight or queued for the engine: see [`EndpointHandle`].
mod actor;
mod connection;
mod connection_handle;
mod endpoint;

pub use endpoint::{EndpointHandle, StartActor};

use super::dispatcher::DispatcherEvent;
use super::mailbox::{Sender as MailboxSender, bounded};
use super::{CountGuard, Shared};
use crate::backend::Protocol;
use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptId, AttemptRequest, AttemptResult};
use crate::policy::api::{AttemptNo, EngineId, RequestId};
use actor::EngineActor;
use async_channel::Sender;
use std::net::SocketAddr;
use std::rc::Rc;

/// Capacity of an actor's mailbox in commands. More than the dispatcher issues in one step, which
/// is sufficient as the actor never blocks.
const MAILBOX_CAPACITY: usize = 1_024;

/// A command to the actor of an engine, which passes it on to a connection where needed.
#[derive(Clone, Debug)]
pub enum EngineCommand {
    /// Start an attempt.
    Start(AttemptRequest),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt takes longer than expected and is being hedged elsewhere.
    MarkSlow {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Send a load probe, unless this time has been reached: from then on another gateway may hold
    /// the lease under which the probe is sent.
    Probe {
        /// The end of the lease on the monotonic clock; `Micros::MAX` for a probe that needs none.
        not_after: Micros,
    },
    /// Close idle connections.
    CloseIdle,
    /// The engine is draining: start nothing new.
    Drain,
    /// The engine was removed from the endpoint list: start nothing new, and close after a grace
    /// period.
    Remove,
    /// A connection to the engine was closed.
    ConnectionEnded,
}

/// How connections to an engine are used.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Time allowed for establishing a connection.
    pub connect_timeout: Micros,
    /// Time after which the engine closes an idle connection. This side closes it earlier, so that
    /// no request crosses the close.
    pub keepalive: Micros,
    /// Whether the engine resolves names in the database of a session. Otherwise statements must
    /// use qualified names.
    pub supports_databases: bool,
}

/// The engine that an actor and its connections serve.
pub(super) struct Peer {
    pub(super) id: EngineId,
    pub(super) addr: SocketAddr,
    pub(super) options: ConnectionOptions,
}

/// Starts the actor of an engine and returns its mailbox. `new_protocol` creates the protocol of
/// each new connection; events are sent to `dispatcher`.
pub fn spawn<P: Protocol + 'static>(
    shared: &Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    endpoint: &Rc<EndpointHandle>,
    options: ConnectionOptions,
    new_protocol: impl Fn() -> P + 'static,
) -> MailboxSender<EngineCommand> {
    let (commands, mailbox) = bounded(MAILBOX_CAPACITY);
    let peer = Peer {
        id: endpoint.id,
        addr: endpoint.addr,
        options,
    };
    let actor = EngineActor {
        shared: shared.clone(),
        dispatcher,
        endpoint: endpoint.clone(),
        peer: Rc::new(peer),
        new_protocol: Box::new(new_protocol),
        commands: commands.clone(),
        mailbox,
        connections: Vec::new(),
        assigning: None,
        close_at: None,
    };
    let (shared_by_task, endpoint) = (shared.clone(), endpoint.clone());
    shared.spawn(async move {
        let _active = CountGuard::new(&shared_by_task.engine_actors);
        actor.run().await;
        endpoint.release_actor();
    });
    commands
}

/// Reports an attempt that ended before a byte of it was sent.
async fn report_unsent(
    dispatcher: &Sender<DispatcherEvent>,
    attempt: AttemptId,
    termination: Termination,
) {
    let result = AttemptResult::unsent(attempt, termination);
    let event = DispatcherEvent::AttemptFinished(result);
    // Fails only while the process exits.
    let _ = dispatcher.send(event).await;
}

#[cfg(test)]
#[path = "../../../tests/unit/net_engine.rs"]
mod tests;

#[cfg(test)]
#[path = "../../../tests/unit/net_engine_http.rs"]
mod http_tests;

#[cfg(test)]
#[path = "../../../tests/unit/net_engine_endpoint.rs"]
mod endpoint_tests;
