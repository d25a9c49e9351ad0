//! The predecessor's connection to one successor: transfers the listeners, then client connections
//! and the responses to the requests that were open on them.
use super::descriptors::send;
use super::endpoint_list_exchange::{EndpointListExchange, Role};
use super::open_work::OpenWork;
use super::predecessor::{Predecessor, SuccessorConnection, SuccessorTable};
use super::request_id_exchange::RequestIdExchange;
use super::{POLL_INTERVAL, RESPONSE_TIMEOUT};
use crate::clock;
use crate::hot_restart::message::{
    EXCHANGE_ANNOUNCEMENT, HotRestartMessage, MessageError, MessageReader, TransferredConnection,
};
use crate::lifecycle::SuccessorState;
use crate::log;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{CountGuard, Shared, read_some, sleep_until};
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Instant;
use thiserror::Error;

/// The maximum number of queued items for the successor.
const MAX_QUEUED_ITEMS: usize = 256;
/// The size of the buffer for reads from the successor, in bytes.
const BUFFER_BYTES: usize = 256;
/// The change of the reserved share, as a fraction of the manager's capacity, above which it is
/// reported to the successor.
const MIN_REPORTED_SHARE_CHANGE: f64 = 0.01;

/// An item to transfer to the successor. The guard counts it as unwritten output until it is sent,
/// so that the process does not exit before that.
pub enum TransferredItem {
    /// A client connection.
    Connection {
        /// The connection's number in this process.
        conn: u64,
        /// Its descriptor.
        socket: OwnedFd,
        /// The state with which the successor continues it.
        state: TransferredConnection,
        /// Receives the successor's messages about it.
        messages: Sender<HotRestartMessage>,
        /// Counts the item as unwritten output.
        guard: CountGuard,
    },
    /// The response to a request that was open when its connection was transferred.
    Response {
        /// The connection's number in this process.
        conn: u64,
        /// The request's tag.
        tag: u64,
        /// The encoded response.
        bytes: Vec<u8>,
        /// Counts the item as unwritten output.
        guard: CountGuard,
    },
}

/// Why a session ended.
#[derive(Debug, Error)]
enum SessionError {
    #[error("the successor closed the connection")]
    Disconnected,
    #[error("can't send to the successor: {0}")]
    Send(#[from] io::Error),
    #[error("invalid message from the successor: {0}")]
    Message(#[from] MessageError),
}

/// Runs until the session ends: the successor is rejected, its connection is closed, or an exchange
/// with it fails.
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
            "hot restart: rejected a connection without a valid first message: another manager name or \
             protocol version, or the message was late"
        );
    }
    if shared.listeners_closing.get() {
        return log!("hot restart: rejected a successor, as this process is closing its listeners");
    }
    let (to_successor, outgoing) = bounded(MAX_QUEUED_ITEMS);
    successors.set(shared, id, SuccessorState::Starting, &to_successor);
    let reserved_share = shared.lifecycle.borrow().share_reserved_for_predecessors();
    let transferred = transfer_listeners(shared, predecessor, &peer, reserved_share).await;
    if transferred.is_err() {
        return;
    }
    log!("hot restart: transferred the listeners to a successor");
    let endpoint_lists =
        EndpointListExchange::start(Role::Predecessor, &predecessor.discovery).await;
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
        stop_announced: false,
        dispatcher: &predecessor.dispatcher,
        request_ids: None,
        endpoint_lists,
        next_poll_at: Instant::now() + POLL_INTERVAL,
    };
    if let Err(SessionError::Disconnected) = session.run().await {
        log!("hot restart: the connection to the successor is closed");
    }
}

/// The first message; `None` if it is invalid, or not received within [`RESPONSE_TIMEOUT`].
async fn read_first_message(
    peer: &Async<UnixStream>,
    reader: &mut MessageReader,
) -> Option<HotRestartMessage> {
    let deadline = clock::read() + RESPONSE_TIMEOUT;
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

/// Sends the listeners with their descriptors, [`HotRestartMessage::Draining`] if operators are
/// draining this process, and the first reserved share.
async fn transfer_listeners(
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

/// Why the session woke up.
enum WakeReason {
    Received(io::Result<usize>),
    Outgoing(TransferredItem),
    /// Encoded messages with the ids of requests, or with an event of the coordinator.
    Exchange(Vec<u8>),
    Poll,
}

struct PredecessorSession<'a> {
    shared: &'a Shared,
    successors: &'a SuccessorTable,
    id: u64,
    peer: Async<UnixStream>,
    reader: MessageReader,
    /// The sender of `outgoing`, which client connections use once the successor serves.
    to_successor: Sender<TransferredItem>,
    outgoing: Receiver<TransferredItem>,
    /// The receivers of the successor's messages about transferred connections, by the connections'
    /// numbers in this process. If a sender is dropped, the connection's actor abandons its open
    /// requests.
    clients: BTreeMap<u64, Sender<HotRestartMessage>>,
    /// Set once the successor has taken over.
    work_at_takeover: Option<OpenWork>,
    /// The reserved share that was last sent to the successor.
    reported_share: f64,
    /// Whether the successor was told that this process was asked to stop.
    stop_announced: bool,
    dispatcher: &'a Sender<DispatcherEvent>,
    /// Set once the successor has announced that it exchanges request ids.
    request_ids: Option<RequestIdExchange>,
    endpoint_lists: EndpointListExchange,
    /// When the lifecycle is checked again, however many messages arrive before.
    next_poll_at: Instant,
}

impl PredecessorSession<'_> {
    async fn run(mut self) -> Result<(), SessionError> {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            match self.next_wake(&mut buffer).await {
                WakeReason::Received(Ok(length)) if length > 0 => {
                    for message in self.reader.feed(&buffer[..length])? {
                        self.handle(message).await;
                    }
                }
                WakeReason::Received(_) => return Err(SessionError::Disconnected),
                WakeReason::Outgoing(item) => self.transfer(item).await?,
                WakeReason::Exchange(bytes) => (&self.peer).write_all(&bytes).await?,
                WakeReason::Poll => {
                    self.next_poll_at = Instant::now() + POLL_INTERVAL;
                    self.announce_stop().await?;
                }
            }
            self.update_remaining_work();
            self.report_share().await?;
        }
    }

    async fn next_wake(&self, buffer: &mut [u8]) -> WakeReason {
        let received = async { WakeReason::Received(read_some(&self.peer, buffer).await) };
        let outgoing = async {
            match self.outgoing.recv().await {
                Ok(item) => WakeReason::Outgoing(item),
                // Not reached: the session has a sender itself, so the channel stays open.
                Err(_) => std::future::pending().await,
            }
        };
        let poll = async {
            Timer::at(self.next_poll_at).await;
            WakeReason::Poll
        };
        let request_ids = async {
            match &self.request_ids {
                Some(exchange) => WakeReason::Exchange(exchange.next_messages().await),
                None => std::future::pending().await,
            }
        };
        let endpoint_lists = &self.endpoint_lists;
        let lists = async { WakeReason::Exchange(endpoint_lists.next_message(self.shared).await) };
        or(poll, or(received, or(lists, or(outgoing, request_ids)))).await
    }

    async fn handle(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::Ready => {
                log!("hot restart: the successor serves");
                let ready = SuccessorState::Ready;
                self.successors
                    .set(self.shared, self.id, ready, &self.to_successor);
            }
            HotRestartMessage::Draining => {
                log!("hot restart: the successor was asked to stop");
                self.successors.set_stopping(self.shared, self.id);
            }
            HotRestartMessage::Cancel { conn, .. } => {
                if let Some(client) = self.clients.get(&conn) {
                    let _ = client.try_send(message);
                }
            }
            HotRestartMessage::ClientDisconnected { conn } => drop(self.clients.remove(&conn)),
            HotRestartMessage::RequestAdmitted { id } => self.request_admitted(id).await,
            HotRestartMessage::EndpointList { numbering, frame } => {
                // The exchange logs an event that it ignores.
                let lists = &self.endpoint_lists;
                let _ = lists.received(self.shared, numbering, &frame).await;
            }
            _ => {}
        }
    }

    /// The successor has admitted a request, or announced that it exchanges ids.
    async fn request_admitted(&mut self, id: u64) {
        if self.request_ids.is_none() {
            self.request_ids = Some(RequestIdExchange::start(self.dispatcher).await);
        }
        if let Some(exchange) = self
            .request_ids
            .as_ref()
            .filter(|_| id != EXCHANGE_ANNOUNCEMENT)
        {
            exchange.received(id).await;
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

    /// Once the successor has taken over, this process's share of the capacity decreases with its
    /// remaining client connections and requests.
    fn update_remaining_work(&mut self) {
        if !self.shared.lifecycle.borrow().successor_took_over() {
            return;
        }
        let now = OpenWork::now(self.shared);
        let start = *self.work_at_takeover.get_or_insert(now);
        let mut lifecycle = self.shared.lifecycle.borrow_mut();
        lifecycle.set_remaining_work(now.fraction_of(start));
    }

    /// Once this process was asked to stop, the successor has to close the listeners in the end.
    async fn announce_stop(&mut self) -> io::Result<()> {
        if self.stop_announced || !self.shared.lifecycle.borrow().is_stopping() {
            return Ok(());
        }
        self.stop_announced = true;
        self.write(HotRestartMessage::Draining).await
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
