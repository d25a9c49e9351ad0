//! Clients that keep sending requests over their connections, and a record of how each request
//! ended. They run on a separate thread, so that a test can signal the daemon in the meantime.
mod connection;
mod record;

pub use record::{CLOSE_CROSSING, ConnectionEnd, SustainedLoadReport, SustainedRequest};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use connection::SustainedConnection;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval between two checks whether the load is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A class of the requests.
#[derive(Clone, Copy, Debug)]
pub struct SustainedClass {
    /// The class's name.
    pub name: &'static str,
    /// The statement, to which the client's identifier for the request is added as a comment.
    pub statement: &'static str,
    /// Whether its requests carry an idempotency key.
    pub is_keyed: bool,
}

/// The protocol of the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SustainedProtocol {
    /// The platform's protocol, with several requests open on a connection.
    JsonRpc,
    /// The ClickHouse interface, with one open request per connection.
    ClickHouse {
        /// The user.
        user: &'static str,
        /// The user's key.
        key: &'static str,
    },
}

/// The requests and the behavior of the clients.
#[derive(Clone, Debug)]
pub struct SustainedLoadPlan {
    /// The number of connections.
    pub connections: usize,
    /// The mean time between two requests on one connection.
    pub interval: Duration,
    /// The protocol of all connections.
    pub protocol: SustainedProtocol,
    /// The classes, one of which is drawn for each request.
    pub classes: Vec<SustainedClass>,
    /// The tenant of all requests.
    pub tenant: &'static str,
    /// How long clients wait for a response, in milliseconds, drawn for each request.
    pub wait_ms: RangeInclusive<u64>,
    /// The percentage of requests that are cancelled right after they are sent, if the protocol
    /// supports that.
    pub cancelled_percent: u64,
    /// The percentage of requests after which the client disconnects without waiting for the open
    /// requests.
    pub disconnected_percent: u64,
    /// The seed of the random draws and of the requests' identifiers: two loads on one daemon need
    /// different seeds.
    pub seed: u64,
}

/// Flags by which the test controls the clients.
#[derive(Default)]
struct Control {
    /// The clients send no more requests.
    stopped: AtomicBool,
    /// Clients whose connection has ended do not reconnect.
    reconnect_disabled: AtomicBool,
}

/// A running load. If the handle is dropped, the clients run until the end of the process.
pub struct SustainedLoad {
    control: Arc<Control>,
    thread: JoinHandle<SustainedLoadReport>,
}

impl SustainedLoad {
    /// Connects the clients and starts to send.
    pub fn start(addr: SocketAddr, plan: SustainedLoadPlan) -> SustainedLoad {
        let control = Arc::new(Control::default());
        let thread_control = control.clone();
        let thread = std::thread::spawn(move || run(addr, &plan, &thread_control));
        SustainedLoad { control, thread }
    }

    /// Sets whether clients reconnect when their connection ends. They do by default; tests disable
    /// it during a planned restart.
    pub fn set_reconnect_enabled(&self, is_enabled: bool) {
        self.control
            .reconnect_disabled
            .store(!is_enabled, Ordering::Relaxed);
    }

    /// Stops sending, waits until each request has its response or its connection has ended, and
    /// returns the record of all requests.
    ///
    /// # Panics
    /// The clients' thread has panicked.
    pub fn finish(self) -> SustainedLoadReport {
        self.control.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the clients do not panic")
    }
}

/// The record that all connections write to.
type Record = Rc<RefCell<SustainedLoadReport>>;

fn run(addr: SocketAddr, plan: &SustainedLoadPlan, control: &Control) -> SustainedLoadReport {
    let executor = LocalExecutor::new();
    let record = Record::default();
    let connections: Vec<_> = (0..plan.connections)
        .map(|index| {
            let connection = SustainedConnection::new(index, plan, control, record.clone());
            executor.spawn(connection.run(addr))
        })
        .collect();
    let measure_lag = executor.spawn(measure_lag(record.clone()));
    block_on(executor.run(async {
        for connection in connections {
            connection.await;
        }
        measure_lag.cancel().await;
    }));
    drop(executor);
    Rc::try_unwrap(record)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

/// Records the largest delay of this thread's timers.
async fn measure_lag(record: Record) {
    loop {
        let due_at = Instant::now() + POLL_INTERVAL;
        Timer::at(due_at).await;
        let mut record = record.borrow_mut();
        record.lag = record.lag.max(due_at.elapsed());
    }
}
