//! The successor's connection to its predecessor: reports that this process serves, adopts the
//! predecessor's client connections, and hands over its late responses.
use super::POLL_INTERVAL;
use super::descriptors::receive;
use super::successor::TransferredState;
use crate::dispatcher::{Failure, Response};
use crate::hot_restart::message::{HotRestartMessage, MessageReader, TransferredConnection};
use crate::log;
use crate::net::Shared;
use crate::net::client::AdoptedConnection;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Bytes read from the predecessor at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Starts the actor of an adopted client connection, and returns where responses for it are sent,
/// each with its request's tag.
pub type AdoptConnection = Box<dyn Fn(TcpStream, AdoptedConnection) -> Sender<(u64, Response)>>;

/// An adopted connection that may have requests open at the predecessor.
struct AdoptedClient {
    responses: Sender<(u64, Response)>,
    /// The tags of the requests that the predecessor has still to answer.
    open_requests: BTreeSet<u64>,
}

/// Runs until the predecessor has ended. `start_serving` is called once the lifecycle reports that this
/// process can serve, also if that is after the predecessor's end.
pub async fn follow_predecessor(
    shared: Rc<Shared>,
    transferred: TransferredState,
    adopt: AdoptConnection,
    start_serving: impl FnOnce(),
) {
    let (to_predecessor, outgoing) = async_channel::unbounded();
    let session = SuccessorSession {
        shared: &shared,
        peer: transferred.peer,
        reader: transferred.reader,
        descriptors: VecDeque::new(),
        clients: BTreeMap::new(),
        adopt,
        to_predecessor,
        outgoing,
        start_serving: Some(start_serving),
    };
    let start_serving = session.run().await;
    if let Some(start_serving) = start_serving {
        while !shared.lifecycle.borrow().can_serve() {
            Timer::after(POLL_INTERVAL).await;
        }
        start_serving();
    }
}

/// What the session reacts to.
enum Wakeup {
    Received(io::Result<usize>),
    Outgoing(HotRestartMessage),
    Poll,
}

struct SuccessorSession<'a, F> {
    shared: &'a Shared,
    peer: Async<UnixStream>,
    reader: MessageReader,
    /// Received descriptors whose messages are still incomplete.
    descriptors: VecDeque<OwnedFd>,
    /// By their numbers at the predecessor.
    clients: BTreeMap<u64, AdoptedClient>,
    adopt: AdoptConnection,
    /// Given to each adopted connection, to report what its client does.
    to_predecessor: Sender<HotRestartMessage>,
    outgoing: Receiver<HotRestartMessage>,
    /// Taken once this process serves.
    start_serving: Option<F>,
}

impl<F: FnOnce()> SuccessorSession<'_, F> {
    /// Runs until the predecessor has ended; returns `start_serving` if it was not called yet.
    async fn run(mut self) -> Option<F> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match self.next_wakeup(&mut buffer).await {
                Wakeup::Poll => self.report_ready_if_able().await,
                Wakeup::Outgoing(message) => self.send(message).await,
                Wakeup::Received(Ok(length)) if length > 0 => {
                    let Ok(messages) = self.reader.feed(&buffer[..length]) else {
                        break;
                    };
                    for message in messages {
                        self.handle(message);
                    }
                }
                Wakeup::Received(_) => break,
            }
        }
        log!("the process before this one has gone");
        self.shared
            .lifecycle
            .borrow_mut()
            .set_predecessor_share(0.0);
        self.fail_open_requests();
        self.start_serving
    }

    async fn next_wakeup(&mut self, buffer: &mut [u8]) -> Wakeup {
        let peer = &self.peer;
        let descriptors = &mut self.descriptors;
        let outgoing = &self.outgoing;
        let waits_to_serve = self.start_serving.is_some();
        let received = async { Wakeup::Received(receive(peer, buffer, descriptors).await) };
        let outgoing = async {
            match outgoing.recv().await {
                Ok(message) => Wakeup::Outgoing(message),
                // The session holds a sender itself, so that the channel stays open.
                Err(_) => std::future::pending().await,
            }
        };
        let poll = async {
            if !waits_to_serve {
                std::future::pending::<()>().await;
            }
            Timer::after(POLL_INTERVAL).await;
            Wakeup::Poll
        };
        or(received, or(outgoing, poll)).await
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

    /// A failure to send is ignored: the predecessor has ended then, and the next read reports that.
    async fn send(&mut self, message: HotRestartMessage) {
        if let HotRestartMessage::ClientGone { conn } = message {
            self.clients.remove(&conn);
        }
        let _ = self.peer.write_all(&message.encode()).await;
    }

    fn handle(&mut self, message: HotRestartMessage) {
        match message {
            HotRestartMessage::ReservedShare { share } => {
                let mut lifecycle = self.shared.lifecycle.borrow_mut();
                lifecycle.set_predecessor_share(share);
            }
            HotRestartMessage::Connection { conn, state } => self.adopt_connection(conn, state),
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

    /// Starts the actor of a client connection; ignored if its descriptor was not passed.
    fn adopt_connection(&mut self, conn: u64, state: TransferredConnection) {
        let Some(socket) = self.descriptors.pop_front() else {
            return;
        };
        let open_requests = state.open_requests.iter().copied().collect();
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

    /// Requests that the predecessor had open and did not answer are lost with it: their clients
    /// receive the failure at once.
    fn fail_open_requests(&mut self) {
        for client in std::mem::take(&mut self.clients).into_values() {
            for tag in client.open_requests {
                let failure = Response::Failed(Failure::NotSent);
                let _ = client.responses.try_send((tag, failure));
            }
        }
    }
}
