//! The listeners of the fronts and the actor of each client connection.
mod connection;
mod connection_registry;
mod graceful_close;
mod listener;
mod rejection_penalty;

pub use connection_registry::{ConnectionStatus, let_go, send_away};
pub use listener::{bind, bind_shared, listen};

use super::dispatcher::DispatcherEvent;
use super::{ByteQuota, CountGuard, Shared};
use crate::clock::{self, MS, Micros};
use crate::dispatcher::Response;
use crate::dispatcher::termination::Termination;
use crate::frontend::Front;
use crate::hot_restart::message::{HotRestartMessage, TransferredConnection};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use connection::Peer;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

/// Answers that wait for a client's connection: more than a front lets be open on it.
const MAILBOX: usize = 64;
/// However many come, one that just came or was just answered has this long to ask.
const GRACE: Micros = 100 * MS;

/// A connection that another process passed on: its number there, and where to say what is meant
/// for it.
pub struct AdoptedConnection {
    /// The number.
    pub number: u64,
    /// What was read there and not used, and not written yet.
    pub handed: TransferredConnection,
    /// To the other process.
    pub older: Sender<HotRestartMessage>,
}

/// Both ends of a connection's mailbox, with the mark of the request that each answer is for.
type Mailbox = (Sender<(u64, Response)>, Receiver<(u64, Response)>);

/// Starts the actor of a connection, and gives its mailbox.
pub fn start<F: Front + 'static>(
    shared: &Rc<Shared>,
    core: Sender<DispatcherEvent>,
    stream: Async<TcpStream>,
    conn: u64,
    front: F,
    adopted: Option<AdoptedConnection>,
) -> Sender<(u64, Response)> {
    let (answers, mailbox) = bounded(MAILBOX);
    let (all, mine, socket) = (
        shared.clone(),
        answers.clone(),
        CountGuard::new(&shared.client_sockets),
    );
    shared.spawn(async move {
        actor(
            &all,
            core,
            (stream, socket, conn),
            front,
            adopted,
            (mine, mailbox),
        )
        .await;
    });
    answers
}

async fn actor(
    shared: &Shared,
    core: Sender<DispatcherEvent>,
    (stream, socket, conn): (Async<TcpStream>, CountGuard, u64),
    front: impl Front,
    adopted: Option<AdoptedConnection>,
    (answers, mailbox): Mailbox,
) {
    let (shed, shedding) = bounded(1);
    let (useful, idle_since) = (Cell::new(false), Cell::new(Some(clock::turn())));
    let (leaving, passes) = (Cell::new(false), Cell::new(false));
    let stream = Rc::new(stream);
    let at = Rc::downgrade(&stream);
    let standing = Rc::new(ConnectionStatus {
        useful,
        idle_since,
        leaving,
        passes,
        shed,
        stream: at,
    });
    shared.clients.borrow_mut().insert(conn, standing.clone());
    let _ = core
        .send(DispatcherEvent::ClientConnected {
            conn,
            responses: answers,
        })
        .await;
    let (held, unread) = (
        ByteQuota::new(&shared.unwritten_bytes),
        ByteQuota::new(&shared.unread_bytes),
    );
    let (mut unwritten, said, waiting, skimmed) = (Vec::new(), Vec::new(), Vec::new(), 0);
    let older = adopted.map(|adopted| {
        unwritten = adopted.handed.unwritten;
        (adopted.number, adopted.older)
    });
    let (core, written) = (&core, 0);
    let peer = Peer {
        shared,
        core,
        stream,
        socket,
        conn,
        front,
        unwritten,
        written,
        held,
        unread,
        said,
        waiting,
        skimmed,
        older,
    };
    let passed_by = peer.older.clone();
    let end = peer.serve(&standing, &mailbox, &shedding).await;
    if let Some((number, older)) = passed_by {
        let _ = older.try_send(HotRestartMessage::ClientGone(number));
    }
    shared.clients.borrow_mut().remove(&conn);
    if !matches!(
        end,
        Termination::Closed | Termination::Idle | Termination::Done | Termination::LocalLimit
    ) {
        log!("a client's connection ended: {end:?}");
    }
    let _ = core.send(DispatcherEvent::ClientDisconnected(conn)).await;
}

#[cfg(test)]
#[path = "../../../tests/unit/net_client.rs"]
pub(super) mod tests;
