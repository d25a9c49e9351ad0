//! The predecessor's connection to one successor: passes the listeners, then client connections and
//! the responses that this process still owes them.
use super::descriptors::send;
use super::predecessor::{Predecessor, SuccessorConnection, SuccessorTable};
use super::{POLL_INTERVAL, RESPONSE_TIMEOUT};
use crate::clock;
use crate::hot_restart::message::{
    HotRestartMessage, MessageError, MessageReader, TransferredConnection,
};
use crate::lifecycle::SuccessorState;
use crate::log;
use crate::net::{CountGuard, Shared, read_some, sleep_until};
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use thiserror::Error;

/// Items that wait to be sent to the successor.
const MAILBOX: usize = 256;
/// Bytes read from the successor at a time.
const BUFFER_BYTES: usize = 256;
/// Change of the reserved share that is reported to the successor.
const MIN_REPORTED_SHARE_CHANGE: f64 = 0.01;

/// What is passed to the successor. The guard counts it as unwritten output until it is sent, so
/// that the process does not end earlier.
pub enum TransferredItem {
    /// A client connection.
    Connection {
        /// Its number in this process.
        conn: u64,
        /// Its descriptor.
        socket: OwnedFd,
        /// What the successor needs to continue it.
        state: TransferredConnection,
        /// Where the successor's messages about it are sent.
        messages: Sender<HotRestartMessage>,
        /// Counts it as unwritten output.
        guard: CountGuard,
    },
    /// The response to a request that was open when its connection was passed.
    Response {
        /// The connection's number in this process.
        conn: u64,
        /// The request's tag.
        tag: u64,
        /// The encoded response.
        bytes: Vec<u8>,
        /// Counts it as unwritten output.
        guard: CountGuard,
    },
}

/// Why a session ended.
#[derive(Debug, Error)]
enum SessionError {
    #[error("the successor ended")]
    Disconnected,
    #[error("can't send: {0}")]
    Send(#[from] io::Error),
    #[error("the successor sent {0}")]
    Message(#[from] MessageError),
}

/// Runs until the successor has ended.
pub(super) async fn run(
    shared: &Shared,
    predecessor: &Predecessor,
    successors: &SuccessorTable,
    SuccessorConnection { id, peer }: SuccessorConnection,
) {
    let mut reader = MessageReader::default();
    let expected = HotRestartMessage::Hello {
        name: predecessor.name.clone(),
    };
    if read_first_message(&peer, &mut reader).await != Some(expected) {
        return log!(
            "a process that wants to follow is left aside: it is of another version or name"
        );
    }
    if shared.listeners_closing.get() {
        return log!("a process that wants to follow is left aside: the listeners are closed");
    }
    let (to_successor, outgoing) = bounded(MAILBOX);
    successors.set(shared, id, SuccessorState::Starting, &to_successor);
    let reserved_share = shared.lifecycle.borrow().share_reserved_for_predecessors();
    let passed = pass_listeners(shared, predecessor, &peer, reserved_share).await;
    if passed.is_err() {
        return;
    }
    log!("a process follows: the listeners are passed to it");
    let session = PredecessorSession {
        shared,
        successors,
        id,
        peer,
        reader,
        to_successor,
        outgoing,
        clients: BTreeMap::new(),
        work_at_takeover: None,
        reported_share: reserved_share,
    };
    if let Err(SessionError::Disconnected) = session.run().await {
        log!("the process that followed has gone");
    }
}

/// The first message, or `None` if it is invalid or late.
async fn read_first_message(
    peer: &Async<UnixStream>,
    reader: &mut MessageReader,
) -> Option<HotRestartMessage> {
    let deadline = clock::turn() + RESPONSE_TIMEOUT;
    let message = async {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let length = read_some(peer, &mut buffer).await.ok()?;
            if length == 0 {
                return None;
            }
            if let Some(message) = reader.feed(&buffer[..length]).ok()?.pop() {
                return Some(message);
            }
        }
    };
    let timeout = async {
        sleep_until(Some(deadline)).await;
        None
    };
    or(message, timeout).await
}

/// Sends the listeners with their descriptors, whether operators drain this process, and the first
/// reserved share.
async fn pass_listeners(
    shared: &Shared,
    predecessor: &Predecessor,
    peer: &Async<UnixStream>,
    reserved_share: f64,
) -> io::Result<()> {
    let addresses = predecessor
        .listeners
        .iter()
        .map(|(addr, _)| *addr)
        .collect();
    let mut bytes = HotRestartMessage::Listeners { addresses }.encode();
    if shared.lifecycle.borrow().is_draining() {
        bytes.extend(HotRestartMessage::Draining.encode());
    }
    let share = HotRestartMessage::ReservedShare {
        share: reserved_share,
    };
    bytes.extend(share.encode());
    let descriptors: Vec<_> = predecessor
        .listeners
        .iter()
        .map(|(_, descriptor)| descriptor.as_fd())
        .collect();
    send(peer, &bytes, &descriptors).await
}

/// The work that was open when the successor took over.
#[derive(Clone, Copy)]
struct OpenWork {
    client_connections: f64,
    requests: f64,
}

impl OpenWork {
    fn now(shared: &Shared) -> OpenWork {
        OpenWork {
            client_connections: shared.client_sockets.get() as f64,
            requests: shared.metrics.borrow().concurrent as f64,
        }
    }

    /// The larger of the fractions of connections and of requests that remain of `start`.
    fn fraction_of(self, start: OpenWork) -> f64 {
        let fraction = |now: f64, start: f64| if start > 0.0 { now / start } else { 0.0 };
        let client_connections = fraction(self.client_connections, start.client_connections);
        client_connections.max(fraction(self.requests, start.requests))
    }
}

/// What the session reacts to.
enum Wakeup {
    Received(io::Result<usize>),
    Outgoing(TransferredItem),
    Poll,
}

struct PredecessorSession<'a> {
    shared: &'a Shared,
    successors: &'a SuccessorTable,
    id: u64,
    peer: Async<UnixStream>,
    reader: MessageReader,
    /// Made known to the client connections once the successor serves.
    to_successor: Sender<TransferredItem>,
    outgoing: Receiver<TransferredItem>,
    /// Where the successor's messages about passed connections are sent, by their numbers here. A
    /// closed mailbox makes the connection's actor abandon its open requests.
    clients: BTreeMap<u64, Sender<HotRestartMessage>>,
    /// Set once the successor took over.
    work_at_takeover: Option<OpenWork>,
    /// The reserved share that the successor knows.
    reported_share: f64,
}

impl PredecessorSession<'_> {
    async fn run(mut self) -> Result<(), SessionError> {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            match self.next_wakeup(&mut buffer).await {
                Wakeup::Received(Ok(length)) if length > 0 => {
                    for message in self.reader.feed(&buffer[..length])? {
                        self.handle(message);
                    }
                }
                Wakeup::Received(_) => return Err(SessionError::Disconnected),
                Wakeup::Outgoing(item) => self.transfer(item).await?,
                Wakeup::Poll => {}
            }
            self.update_remaining_work();
            self.report_share().await?;
        }
    }

    async fn next_wakeup(&self, buffer: &mut [u8]) -> Wakeup {
        let received = async { Wakeup::Received(read_some(&self.peer, buffer).await) };
        let outgoing = async {
            match self.outgoing.recv().await {
                Ok(item) => Wakeup::Outgoing(item),
                // The session holds a sender itself, so that the channel stays open.
                Err(_) => std::future::pending().await,
            }
        };
        let poll = async {
            Timer::after(POLL_INTERVAL).await;
            Wakeup::Poll
        };
        or(received, or(outgoing, poll)).await
    }

    fn handle(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::Ready => {
                log!("the process that follows serves");
                let ready = SuccessorState::Ready;
                self.successors
                    .set(self.shared, self.id, ready, &self.to_successor);
            }
            HotRestartMessage::Cancel { conn, .. } => {
                if let Some(client) = self.clients.get(&conn) {
                    let _ = client.try_send(message);
                }
            }
            HotRestartMessage::ClientGone { conn } => drop(self.clients.remove(&conn)),
            _ => {}
        }
    }

    async fn transfer(&mut self, item: TransferredItem) -> io::Result<()> {
        match item {
            TransferredItem::Connection {
                conn,
                socket,
                state,
                messages,
                guard,
            } => {
                self.clients.insert(conn, messages);
                let message = HotRestartMessage::Connection { conn, state };
                send(&self.peer, &message.encode(), &[socket.as_fd()]).await?;
                drop((socket, guard));
            }
            TransferredItem::Response {
                conn,
                tag,
                bytes,
                guard,
            } => {
                self.write(HotRestartMessage::Response { conn, tag, bytes })
                    .await?;
                drop(guard);
            }
        }
        Ok(())
    }

    /// Once the successor took over, this process's capacity share decreases with its clients and
    /// their requests.
    fn update_remaining_work(&mut self) {
        if !self.shared.lifecycle.borrow().successor_took_over() {
            return;
        }
        let now = OpenWork::now(self.shared);
        let start = *self.work_at_takeover.get_or_insert(now);
        let mut lifecycle = self.shared.lifecycle.borrow_mut();
        lifecycle.set_remaining_work(now.fraction_of(start));
    }

    async fn report_share(&mut self) -> io::Result<()> {
        let share = self
            .shared
            .lifecycle
            .borrow()
            .share_reserved_for_predecessors();
        if (share - self.reported_share).abs() > MIN_REPORTED_SHARE_CHANGE {
            self.reported_share = share;
            self.write(HotRestartMessage::ReservedShare { share })
                .await?;
        }
        Ok(())
    }

    async fn write(&self, message: HotRestartMessage) -> io::Result<()> {
        (&self.peer).write_all(&message.encode()).await
    }
}
