//! Clients that go on sending on every connection that stays open, and a record of what became of
//! each request. They run on a thread of their own, so that a test can signal the daemon meanwhile.
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

/// Between two looks at whether the load is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A class of the requests.
#[derive(Clone, Copy, Debug)]
pub struct SustainedClass {
    /// Its name.
    pub name: &'static str,
    /// The statement, to which the request's name is added.
    pub statement: &'static str,
    /// Whether its requests carry an idempotency key.
    pub is_keyed: bool,
}

/// The protocol of the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SustainedProtocol {
    /// The platform's, with several requests open on a connection.
    JsonRpc,
    /// The ClickHouse interface, with one at a time.
    ClickHouse {
        /// The user.
        user: &'static str,
        /// The user's key.
        key: &'static str,
    },
}

/// What the clients send.
#[derive(Clone, Debug)]
pub struct SustainedLoadPlan {
    /// The connections.
    pub connections: usize,
    /// The mean time between two requests on one connection.
    pub interval: Duration,
    /// The protocol of all of them.
    pub protocol: SustainedProtocol,
    /// Drawn for each request.
    pub classes: Vec<SustainedClass>,
    /// The tenant of all requests.
    pub tenant: &'static str,
    /// How long clients wait for a response, in milliseconds; drawn for each request.
    pub wait_ms: RangeInclusive<u64>,
    /// How many in a hundred requests are cancelled before their response, where the protocol can.
    pub cancelled_percent: u64,
    /// How many in a hundred requests make their client leave, without waiting for what is open.
    pub left_percent: u64,
    /// Of the draws, and of the names of the requests: two loads on one daemon need different ones.
    pub seed: u64,
}

/// What the test tells the clients.
#[derive(Default)]
struct Control {
    /// No more requests.
    stopped: AtomicBool,
    /// A client whose connection ended makes no other one.
    front_closed: AtomicBool,
}

/// Clients at work. Dropping it leaves them running to the end of the process.
pub struct SustainedLoad {
    control: Arc<Control>,
    thread: JoinHandle<SustainedLoadReport>,
}

impl SustainedLoad {
    /// Connects, and begins to send.
    pub fn start(addr: SocketAddr, plan: SustainedLoadPlan) -> SustainedLoad {
        let control = Arc::new(Control::default());
        let thread_control = control.clone();
        let thread = std::thread::spawn(move || run(addr, &plan, &thread_control));
        SustainedLoad { control, thread }
    }

    /// Whether clients whose connections end make new ones: so they do but for a planned restart.
    pub fn set_front_open(&self, is_open: bool) {
        self.control.front_closed.store(!is_open, Ordering::Relaxed);
    }

    /// Sends no more, waits until each request has its response or its connection has ended, and
    /// returns what became of all.
    ///
    /// # Panics
    /// The clients' thread has panicked.
    pub fn finish(self) -> SustainedLoadReport {
        self.control.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the clients do not panic")
    }
}

/// The record that all connections write.
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

/// Records by how much this thread's timers are late.
async fn measure_lag(record: Record) {
    loop {
        let due_at = Instant::now() + POLL_INTERVAL;
        Timer::at(due_at).await;
        let mut record = record.borrow_mut();
        record.lag = record.lag.max(due_at.elapsed());
    }
}
