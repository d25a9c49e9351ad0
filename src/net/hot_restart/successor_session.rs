//! The successor's connection to its predecessor: reports that this process serves, adopts the
//! predecessor's client connections, and forwards the responses to requests that are still open at
//! the predecessor.
use super::descriptors::receive;
use super::endpoint_list_exchange::{DiscoveryChannels, EndpointListExchange, Role};
use super::request_id_exchange::RequestIdExchange;
use super::successor::TransferredState;
use super::{POLL_INTERVAL, RESPONSE_TIMEOUT};
use crate::dispatcher::{Failure, Response};
use crate::hot_restart::message::{
    EXCHANGE_ANNOUNCEMENT, HotRestartMessage, MessageReader, TransferredConnection,
};
use crate::lifecycle::{PredecessorList, PredecessorState};
use crate::log;
use crate::net::client::AdoptedConnection;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{CountGuard, Shared};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The size of the buffer for reads from the predecessor, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Starts the actor of an adopted client connection, and returns the sender of the predecessor's
/// responses for it, each with its request's tag.
pub type AdoptConnection = Box<dyn Fn(TcpStream, AdoptedConnection) -> Sender<(u64, Response)>>;

/// An adopted connection that may have requests open at the predecessor.
struct AdoptedClient {
    responses: Sender<(u64, Response)>,
    /// The requests without a response from the predecessor, by their tags. The guards count them,
    /// so that this process does not exit before they have one.
    open_requests: BTreeMap<u64, CountGuard>,
}

/// Runs until the connection to the predecessor is closed. Calls `start_serving` once the lifecycle
/// reports that this process can serve; if that is later than the end of the connection, it runs
/// until then.
pub async fn follow_predecessor(
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    discovery: DiscoveryChannels,
    transferred: TransferredState,
    adopt: AdoptConnection,
    start_serving: impl FnOnce(),
) {
    let (to_predecessor, outgoing) = async_channel::unbounded();
    let mut session = SuccessorSession {
        shared: &shared,
        peer: transferred.peer,
        reader: transferred.reader,
        descriptors: VecDeque::new(),
        clients: BTreeMap::new(),
        adopt,
        to_predecessor,
        outgoing,
        start_serving: Some(start_serving),
        stop_announced: false,
        request_ids: RequestIdExchange::start(&dispatcher).await,
        endpoint_lists: EndpointListExchange::start(Role::Successor, &discovery).await,
        list_expected_until: Instant::now() + Duration::from_micros(RESPONSE_TIMEOUT),
        next_poll_at: Instant::now() + POLL_INTERVAL,
    };
    let announcement = HotRestartMessage::RequestAdmitted {
        id: EXCHANGE_ANNOUNCEMENT,
    };
    session.send(announcement).await;
    for message in transferred.received {
        session.handle(message).await;
    }
    let start_serving = session.run().await;
    if let Some(start_serving) = start_serving {
        while !shared.lifecycle.borrow().can_serve() {
            Timer::after(POLL_INTERVAL).await;
        }
        start_serving();
    }
}

/// Why the session woke up.
enum WakeReason {
    Received(io::Result<usize>),
    Outgoing(HotRestartMessage),
    /// Encoded messages with the ids of requests, or with an event of the coordinator.
    Exchange(Vec<u8>),
    Poll,
}

struct SuccessorSession<'a, F> {
    shared: &'a Shared,
    peer: Async<UnixStream>,
    reader: MessageReader,
    /// Received descriptors whose messages are still incomplete.
    descriptors: VecDeque<OwnedFd>,
    /// The adopted clients, by their connections' numbers at the predecessor.
    clients: BTreeMap<u64, AdoptedClient>,
    adopt: AdoptConnection,
    /// The sender of `outgoing`. Each adopted connection gets a clone, to report that its client
    /// disconnected or cancelled a request.
    to_predecessor: Sender<HotRestartMessage>,
    outgoing: Receiver<HotRestartMessage>,
    /// `None` once this process serves.
    start_serving: Option<F>,
    /// Whether the predecessor was told that this process was asked to stop.
    stop_announced: bool,
    request_ids: RequestIdExchange,
    endpoint_lists: EndpointListExchange,
    /// After this time a predecessor that has sent no endpoint list is taken for one of an earlier
    /// version, which never sends it.
    list_expected_until: Instant,
    /// When the lifecycle is checked again, however many messages arrive before.
    next_poll_at: Instant,
}

impl<F: FnOnce()> SuccessorSession<'_, F> {
    /// Runs until the connection is closed; returns `start_serving` if it was not called yet.
    async fn run(mut self) -> Option<F> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match self.next_wake(&mut buffer).await {
                WakeReason::Poll => {
                    self.next_poll_at = Instant::now() + POLL_INTERVAL;
                    self.stop_expecting_list();
                    self.report_ready_if_able().await;
                    self.announce_stop().await;
                    // This process closes its connections while requests are open at the
                    // predecessor only if its time has ended.
                    if self.shared.lifecycle.borrow().is_closing() {
                        self.fail_open_requests();
                    }
                }
                WakeReason::Outgoing(message) => self.send(message).await,
                WakeReason::Exchange(bytes) => {
                    // A failure is reported by the next read.
                    let _ = self.peer.write_all(&bytes).await;
                }
                WakeReason::Received(Ok(length)) if length > 0 => {
                    let Ok(messages) = self.reader.feed(&buffer[..length]) else {
                        break;
                    };
                    for message in messages {
                        self.handle(message).await;
                    }
                }
                WakeReason::Received(_) => break,
            }
            self.record_adopted_list();
        }
        self.endpoint_lists.wait_until_applied().await;
        self.record_adopted_list();
        log!(
            "hot restart: the connection to the predecessor is closed, this process may use all capacity"
        );
        self.record_predecessor_exit();
        self.fail_open_requests();
        self.start_serving
    }

    /// Once the dispatcher has the list that the predecessor sent, this process knows as much of the
    /// engines as the predecessor does.
    fn record_adopted_list(&self) {
        if self.endpoint_lists.has_applied_received() {
            let mut lifecycle = self.shared.lifecycle.borrow_mut();
            lifecycle.set_predecessor_list(PredecessorList::InForce);
        }
    }

    fn stop_expecting_list(&self) {
        let mut lifecycle = self.shared.lifecycle.borrow_mut();
        let is_awaited = lifecycle.predecessor_list() == PredecessorList::Awaited;
        if is_awaited && Instant::now() >= self.list_expected_until {
            log!(
                "hot restart: the predecessor sends no endpoint list, waiting for the coordinator"
            );
            lifecycle.set_predecessor_list(PredecessorList::Unavailable);
        }
    }

    fn record_predecessor_exit(&self) {
        let mut lifecycle = self.shared.lifecycle.borrow_mut();
        lifecycle.set_predecessor(PredecessorState::None);
        lifecycle.set_predecessor_share(0.0);
    }

    async fn next_wake(&mut self, buffer: &mut [u8]) -> WakeReason {
        let peer = &self.peer;
        let descriptors = &mut self.descriptors;
        let outgoing = &self.outgoing;
        let has_open_requests = self.shared.requests_at_predecessor.get() > 0;
        let needs_poll = self.start_serving.is_some() || !self.stop_announced || has_open_requests;
        let received = async { WakeReason::Received(receive(peer, buffer, descriptors).await) };
        let outgoing = async {
            match outgoing.recv().await {
                Ok(message) => WakeReason::Outgoing(message),
                // Not reached: the session has a sender itself, so the channel stays open.
                Err(_) => std::future::pending().await,
            }
        };
        let next_poll_at = self.next_poll_at;
        let poll = async {
            if !needs_poll {
                std::future::pending::<()>().await;
            }
            Timer::at(next_poll_at).await;
            WakeReason::Poll
        };
        let request_ids = &self.request_ids;
        let request_ids = async { WakeReason::Exchange(request_ids.next_messages().await) };
        let endpoint_lists = &self.endpoint_lists;
        let lists = async { WakeReason::Exchange(endpoint_lists.next_message(self.shared).await) };
        or(poll, or(received, or(lists, or(outgoing, request_ids)))).await
    }

    async fn report_ready_if_able(&mut self) {
        if !self.shared.lifecycle.borrow().can_serve() {
            return;
        }
        if let Some(start_serving) = self.start_serving.take() {
            start_serving();
            self.send(HotRestartMessage::Ready).await;
        }
    }

    /// Once this process was asked to stop, the predecessor has to accept and close the listeners
    /// and must transfer nothing more.
    async fn announce_stop(&mut self) {
        if !self.stop_announced && self.shared.lifecycle.borrow().is_stopping() {
            self.stop_announced = true;
            self.send(HotRestartMessage::Draining).await;
        }
    }

    /// Ignores a failure to send: the connection is closed then, and the next read reports that.
    async fn send(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::ClientDisconnected { conn } => {
                self.clients.remove(&conn);
            }
            HotRestartMessage::Cancel { conn, tag } => {
                let client = self.clients.get_mut(&conn);
                client.and_then(|client| client.open_requests.remove(&tag));
            }
            _ => {}
        }
        let _ = self.peer.write_all(&message.encode()).await;
    }

    async fn handle(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::ReservedShare { share } => {
                let mut lifecycle = self.shared.lifecycle.borrow_mut();
                lifecycle.set_predecessor_share(share);
            }
            HotRestartMessage::Draining => {
                let mut lifecycle = self.shared.lifecycle.borrow_mut();
                lifecycle.set_predecessor(PredecessorState::Stopping);
            }
            HotRestartMessage::Connection { conn, state } => self.adopt_connection(conn, state),
            HotRestartMessage::RequestAdmitted { id } => self.request_ids.received(id).await,
            HotRestartMessage::EndpointList { numbering, frame } => {
                self.adopt_endpoints(numbering, &frame).await;
            }
            HotRestartMessage::Response { conn, tag, bytes } => {
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.open_requests.remove(&tag);
                    let response = Response::Preformatted(bytes);
                    let _ = client.responses.try_send((tag, response));
                }
            }
            _ => {}
        }
    }

    async fn adopt_endpoints(&self, numbering: u64, frame: &[u8]) {
        let lists = &self.endpoint_lists;
        if lists.received(self.shared, numbering, frame).await.is_err() {
            let mut lifecycle = self.shared.lifecycle.borrow_mut();
            lifecycle.set_predecessor_list(PredecessorList::Unavailable);
        }
    }

    /// Starts the actor of a client connection. A message without a descriptor is ignored.
    fn adopt_connection(&mut self, conn: u64, state: TransferredConnection) {
        let Some(socket) = self.descriptors.pop_front() else {
            return;
        };
        let open_count = &self.shared.requests_at_predecessor;
        let open_requests = state
            .open_requests
            .iter()
            .map(|tag| (*tag, CountGuard::new(open_count)))
            .collect();
        let adopted = AdoptedConnection {
            number: conn,
            state,
            predecessor: self.to_predecessor.clone(),
        };
        let client = AdoptedClient {
            responses: (self.adopt)(TcpStream::from(socket), adopted),
            open_requests,
        };
        self.clients.insert(conn, client);
    }

    /// Fails the requests that are still open at the predecessor, as no response to them can be
    /// received after the end of either process. Their clients receive the failure at once.
    fn fail_open_requests(&mut self) {
        for client in self.clients.values_mut() {
            for (tag, _guard) in std::mem::take(&mut client.open_requests) {
                let failure = Response::Failed(Failure::NotSent);
                let _ = client.responses.try_send((tag, failure));
            }
        }
    }
}
