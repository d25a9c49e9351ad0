//! A persistent connection of the platform's protocol, with several requests open at the same time.
use super::rpc::{RpcRequest, parse_rpc_response};
use super::{ClientOutcome, read_line};
use crate::testkit::Executor;
use async_channel::{Receiver, RecvError, Sender};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The outcome of a request, set once the request has ended.
pub type PendingOutcome = Rc<RefCell<Option<ClientOutcome>>>;

/// The open requests of a connection, by their ids.
type OpenRequests = Rc<RefCell<BTreeMap<u64, PendingOutcome>>>;

/// A client with a connection that stays open.
pub struct PersistentClient {
    output: Sender<Vec<u8>>,
    open: OpenRequests,
    closed: Rc<Cell<bool>>,
    next_id: Cell<u64>,
}

/// An event that wakes the connection's task.
enum WakeEvent {
    /// A line from the daemon, or `None` if the connection has ended.
    Line(Option<Vec<u8>>),
    /// Bytes to send, or an error if the client was dropped.
    Output(Result<Vec<u8>, RecvError>),
}

impl PersistentClient {
    /// Starts to connect; requests are queued until the connection is open.
    pub fn open(executor: &Executor, addr: SocketAddr) -> PersistentClient {
        let (output, queued) = async_channel::unbounded();
        let client = PersistentClient {
            output,
            open: OpenRequests::default(),
            closed: Rc::default(),
            next_id: Cell::new(1),
        };
        let (open, closed) = (Rc::clone(&client.open), Rc::clone(&client.closed));
        let task = async move {
            run(addr, &queued, &open).await;
            for outcome in open.borrow().values() {
                *outcome.borrow_mut() = Some(ClientOutcome::Interrupted);
            }
            closed.set(true);
        };
        executor.spawn(task).detach();
        client
    }

    /// Sends the first of `parts` equal parts of a request and returns the remaining bytes; with
    /// one part, the whole request is sent. `outcome` is set once the request has ended.
    pub fn request(
        &self,
        request: &RpcRequest<'_>,
        outcome: PendingOutcome,
        parts: usize,
    ) -> Vec<u8> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let mut line = request.line(id);
        let rest = line.split_off(line.len() / parts.max(1));
        if self.closed.get() {
            *outcome.borrow_mut() = Some(ClientOutcome::Interrupted);
        } else {
            self.open.borrow_mut().insert(id, outcome);
        }
        self.send(line);
        rest
    }

    /// Sends raw bytes.
    pub fn send(&self, bytes: Vec<u8>) {
        // Bytes for a connection that has ended are dropped, as a socket would drop them.
        let _ = self.output.try_send(bytes);
    }

    /// Whether the connection has ended.
    pub fn closed(&self) -> bool {
        self.closed.get()
    }
}

/// Sends the queued bytes and records the outcomes until the connection ends.
async fn run(addr: SocketAddr, queued: &Receiver<Vec<u8>>, open: &OpenRequests) {
    let Ok(stream) = Async::<TcpStream>::connect(addr).await else {
        return;
    };
    let mut input = Vec::new();
    loop {
        let line = async { WakeEvent::Line(read_line(&stream, &mut input).await) };
        let output = async { WakeEvent::Output(queued.recv().await) };
        match or(line, output).await {
            WakeEvent::Line(Some(line)) => record_outcome(open, &line),
            WakeEvent::Output(Ok(bytes)) if (&stream).write_all(&bytes).await.is_ok() => {}
            WakeEvent::Line(None) | WakeEvent::Output(_) => return,
        }
    }
}

fn record_outcome(open: &OpenRequests, line: &[u8]) {
    let response: Option<Value> = serde_json::from_slice(line).ok();
    let id = response.and_then(|response| response["id"].as_u64());
    if let Some(outcome) = id.and_then(|id| open.borrow_mut().remove(&id)) {
        *outcome.borrow_mut() = Some(parse_rpc_response(line));
    }
}
