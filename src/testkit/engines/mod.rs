//! Stand-in engines of the platform's protocol and of the ClickHouse HTTP interface. Both do with
//! each query what the test has set.
mod clickhouse;
mod platform;

use super::{ExecutionLog, Executor, listener};
use async_executor::Task;
use async_io::Async;
use futures_lite::{AsyncWriteExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// What an engine does with a query for which nothing else was set.
const DEFAULT_BEHAVIOR: EngineBehavior = EngineBehavior::Complete {
    after_millis: 1,
    rows: 3,
};

/// The connection of a client.
type Stream = Rc<Async<TcpStream>>;

/// What an engine does with a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Answers after a while.
    Complete {
        /// The time until it answers.
        after_millis: u64,
        /// The number of rows in the result.
        rows: usize,
    },
    /// Rejects it: it never ran.
    Reject,
    /// Answers with an error.
    Fail,
    /// Never answers.
    Hang,
    /// Resets the connection once it has received the whole query.
    Reset,
    /// Begins a response and fails within it.
    FailWithinResponse,
    /// Answers with bytes that are not its protocol.
    ViolateProtocol,
}

/// The protocol of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineProtocol {
    /// The platform's protocol.
    Platform,
    /// The ClickHouse HTTP interface.
    ClickHouse,
}

/// How an engine is made.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Its protocol.
    pub protocol: EngineProtocol,
    /// The queries that an engine of the platform runs at the same time; more are rejected.
    pub max_sessions: usize,
}

impl EngineOptions {
    /// An engine that runs any number of queries.
    pub fn new(protocol: EngineProtocol) -> EngineOptions {
        EngineOptions {
            protocol,
            max_sessions: usize::MAX,
        }
    }
}

/// The state that the connections of an engine share.
struct EngineState {
    name: String,
    options: EngineOptions,
    running: Cell<usize>,
    behaviors: RefCell<VecDeque<EngineBehavior>>,
    log: ExecutionLog,
    streams: RefCell<Vec<Weak<Async<TcpStream>>>>,
}

/// A stand-in engine.
pub struct Engine {
    /// The address where it listens.
    pub addr: SocketAddr,
    /// Its protocol.
    pub protocol: EngineProtocol,
    state: Rc<EngineState>,
    /// Accepts and serves connections; without it the engine is down.
    task: Option<Task<()>>,
}

/// The rows of a query's result: its name is in each, so that a mix-up shows.
pub fn rows(query: &str, count: usize) -> String {
    (0..count)
        .map(|number| format!("{query}\t{number}\tvalue\n"))
        .collect()
}

impl Engine {
    /// Starts an engine that records in `log` what it sees.
    pub fn start(
        executor: &Executor,
        name: &str,
        options: EngineOptions,
        log: ExecutionLog,
    ) -> Engine {
        let (listener, addr) = listener();
        let state = Rc::new(EngineState {
            name: name.to_owned(),
            options,
            running: Cell::new(0),
            behaviors: RefCell::default(),
            log,
            streams: RefCell::default(),
        });
        let serve = accept_connections(state.clone(), executor.clone(), listener);
        Engine {
            addr,
            protocol: options.protocol,
            state,
            task: Some(executor.spawn(serve)),
        }
    }

    /// Sets what to do with the next query for which nothing is set yet.
    pub fn push_behavior(&self, behavior: EngineBehavior) {
        self.state.behaviors.borrow_mut().push_back(behavior);
    }

    /// The number of connections that it has accepted.
    pub fn accepted_connections(&self) -> usize {
        self.state.streams.borrow().len()
    }

    /// The number of its connections that are open.
    pub fn open_connections(&self) -> usize {
        let streams = self.state.streams.borrow();
        streams
            .iter()
            .filter(|stream| stream.strong_count() > 0)
            .count()
    }

    /// Whether it accepts connections.
    pub fn is_serving(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Ends its process: its connections are reset, new ones are refused, and what it runs has ended.
    pub fn shut_down(&mut self) {
        self.task = None;
        self.state.log.record_engine_end(&self.state.name);
        let streams = self.state.streams.borrow();
        for stream in streams.iter().filter_map(Weak::upgrade) {
            reset(&stream);
        }
    }
}

/// Accepts connections and serves each in a task of its own. The tasks, and with them the sockets,
/// end with the engine.
async fn accept_connections(
    state: Rc<EngineState>,
    executor: Executor,
    listener: Async<TcpListener>,
) {
    let mut tasks = Vec::new();
    let mut incoming = Box::pin(listener.incoming());
    while let Some(Ok(stream)) = incoming.next().await {
        let stream = Rc::new(stream);
        state.streams.borrow_mut().push(Rc::downgrade(&stream));
        let (state, spawner) = (state.clone(), executor.clone());
        tasks.push(executor.spawn(async move {
            match state.options.protocol {
                EngineProtocol::ClickHouse => clickhouse::serve(&state, &stream).await,
                EngineProtocol::Platform => platform::serve(&state, &stream, &spawner).await,
            }
        }));
    }
}

impl EngineState {
    /// What to do with the next query.
    fn next_behavior(&self) -> EngineBehavior {
        self.log
            .next_behavior()
            .or_else(|| self.behaviors.borrow_mut().pop_front())
            .unwrap_or(DEFAULT_BEHAVIOR)
    }
}

/// Resets a connection.
fn reset(stream: &Stream) {
    // With a linger time of zero the close is a reset.
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

/// Writes bytes; the peer may have closed the connection.
async fn write(stream: &Stream, bytes: &[u8]) {
    let _ = (&**stream).write_all(bytes).await;
}
