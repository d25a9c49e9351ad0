//! Stand-in engines of the platform's protocol and of the ClickHouse HTTP interface. For both, the
//! test sets how they handle each query.
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

/// How an engine handles a query for which the test has set nothing else.
const DEFAULT_BEHAVIOR: EngineBehavior = EngineBehavior::Complete {
    after_millis: 1,
    rows: 3,
};

/// A client's connection.
type Stream = Rc<Async<TcpStream>>;

/// How an engine handles a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    /// The query completes after a delay.
    Complete {
        /// The delay in milliseconds.
        after_millis: u64,
        /// The number of rows in the result.
        rows: usize,
    },
    /// The engine rejects the query, which does not run.
    Reject,
    /// The engine responds with an error.
    Fail,
    /// The engine never responds.
    Hang,
    /// The engine resets the connection once it has received the whole query.
    Reset,
    /// The engine starts a response and fails before its end.
    FailWithinResponse,
    /// The engine responds with bytes that are not valid in its protocol.
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

/// The options that an engine is started with.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// The protocol.
    pub protocol: EngineProtocol,
    /// The limit on running queries of an engine of the platform's protocol, which rejects further
    /// queries.
    pub max_sessions: usize,
}

impl EngineOptions {
    /// Options without a limit on running queries.
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
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// Its protocol.
    pub protocol: EngineProtocol,
    state: Rc<EngineState>,
    /// Accepts and serves connections; `None` once the engine is shut down.
    task: Option<Task<()>>,
}

/// The rows of a query's result. Each contains the query's name, so that a test detects rows of
/// another query.
pub fn rows(query: &str, count: usize) -> String {
    (0..count)
        .map(|number| format!("{query}\t{number}\tvalue\n"))
        .collect()
}

impl Engine {
    /// Starts an engine that records the queries and probes that it receives in `log`.
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

    /// Adds a behavior to the queue; each query takes the next one from it.
    pub fn push_behavior(&self, behavior: EngineBehavior) {
        self.state.behaviors.borrow_mut().push_back(behavior);
    }

    /// The number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.state.streams.borrow().len()
    }

    /// The number of open connections.
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

    /// Simulates the end of its process: open connections are reset, new ones are refused, and
    /// running queries end.
    pub fn shut_down(&mut self) {
        self.task = None;
        self.state.log.record_engine_end(&self.state.name);
        let streams = self.state.streams.borrow();
        for stream in streams.iter().filter_map(Weak::upgrade) {
            reset(&stream);
        }
    }
}

/// Accepts connections and serves each in a separate task. When the engine ends, its tasks are
/// dropped and their sockets are closed.
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
    /// The behavior for the next query: the one set in the log, else the one set for this engine,
    /// else the default.
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

/// Writes bytes. Errors are ignored, because the peer may have closed the connection.
async fn write(stream: &Stream, bytes: &[u8]) {
    let _ = (&**stream).write_all(bytes).await;
}
