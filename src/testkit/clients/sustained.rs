//! Clients that go on sending on every connection that stays open, and a record of what became of
//! each request. They run on a thread of their own, so that a test can signal the daemon meanwhile.
use super::{ClientOutcome, RpcRequest, parse_rpc_response};
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request that crosses the close of its connection within this time is to be sent again by the
/// client, as the platform's protocol says.
pub const CLOSE_CROSSING: Duration = Duration::from_millis(50);
/// Requests that may be open on a connection, as the platform's protocol says.
const MAX_OPEN_REQUESTS: usize = 32;
/// How long [`SustainedLoad::finish`] waits for outstanding responses.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two looks at whether the load is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The size of a read from a socket, in bytes.
const READ_BYTES: usize = 8192;

/// What the clients send.
#[derive(Clone, Debug)]
pub struct SustainedLoadPlan {
    /// The connections.
    pub connections: usize,
    /// The mean time between two requests on one connection.
    pub interval: Duration,
    /// The classes and their statements, drawn for each request.
    pub classes: Vec<(&'static str, &'static str)>,
    /// The tenant of all requests.
    pub tenant: &'static str,
    /// How long clients wait for a response, in milliseconds; drawn for each request.
    pub wait_ms: RangeInclusive<u64>,
    /// Of the draws, and of the names of the requests: two loads on one daemon need different ones.
    pub seed: u64,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The daemon closed its side.
    Closed,
    /// The connection was reset.
    Reset,
    /// It was never made.
    NotConnected,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct SustainedRequest {
    /// The index of its connection.
    pub connection: usize,
    /// Its class.
    pub class: &'static str,
    /// The client's name for it, which its statement carries too.
    pub key: String,
    /// How long the client waits.
    pub wait: Duration,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// Its final responses, each with its time. There is to be one.
    pub responses: Vec<(Instant, ClientOutcome)>,
    /// How its connection ended without a response, and when the client saw that.
    pub connection_end: Option<(Instant, ConnectionEnd)>,
}

impl SustainedRequest {
    /// Whether it has no response and its connection's end does not excuse that. `lag` is by how
    /// much the client's own clock may be late in seeing that end.
    pub fn is_lost(&self, lag: Duration) -> bool {
        if !self.responses.is_empty() {
            return false;
        }
        match self.connection_end {
            Some((at, ConnectionEnd::Closed)) => at - self.sent_at > CLOSE_CROSSING + lag,
            _ => true,
        }
    }
}

/// What became of all requests.
#[derive(Clone, Debug, Default)]
pub struct SustainedLoadReport {
    /// In the order in which they were sent.
    pub requests: Vec<SustainedRequest>,
    /// Responses under an id that was never requested on the connection.
    pub unexpected_responses: usize,
    /// The longest time by which the clients' thread was late, from its own timer.
    pub lag: Duration,
}

impl SustainedLoadReport {
    /// The requests that are lost: without a response, and not excused.
    pub fn lost(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.is_lost(self.lag)).collect()
    }

    /// The requests with more than one final response.
    pub fn answered_twice(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.responses.len() > 1).collect()
    }
}

/// What the test tells the clients.
#[derive(Default)]
struct Control {
    /// No more requests.
    stopped: AtomicBool,
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

/// What wakes a connection's task.
enum Wake {
    Read(std::io::Result<usize>),
    Timer,
}

/// One client connection.
struct SustainedConnection<'a> {
    index: usize,
    plan: &'a SustainedLoadPlan,
    control: &'a Control,
    record: Record,
    random: Pcg32,
    next_id: u64,
    /// The positions in the record by the ids on this connection.
    sent: BTreeMap<u64, usize>,
    open: usize,
    input: Vec<u8>,
}

impl<'a> SustainedConnection<'a> {
    fn new(
        index: usize,
        plan: &'a SustainedLoadPlan,
        control: &'a Control,
        record: Record,
    ) -> SustainedConnection<'a> {
        SustainedConnection {
            index,
            plan,
            control,
            record,
            random: Pcg32::seed_from_u64(plan.seed.wrapping_add(index as u64)),
            next_id: 0,
            sent: BTreeMap::new(),
            open: 0,
            input: Vec::new(),
        }
    }

    async fn run(mut self, addr: SocketAddr) {
        let Ok(stream) = Async::<TcpStream>::connect(addr).await else {
            return;
        };
        // Without this option requests only arrive later.
        let _ = stream.get_ref().set_nodelay(true);
        let end = self.exchange(&stream).await;
        self.record_end(end);
    }

    /// Sends and receives until the connection ends, or nothing more is owed after the load's end.
    async fn exchange(&mut self, stream: &Async<TcpStream>) -> ConnectionEnd {
        let mut next_send_at = Instant::now() + self.next_pause();
        let mut stopped_at = None;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let stopped = self.control.stopped.load(Ordering::Relaxed);
            if stopped {
                let stopped_at = *stopped_at.get_or_insert_with(Instant::now);
                if self.open == 0 || stopped_at.elapsed() > FINAL_RESPONSE_TIMEOUT {
                    return ConnectionEnd::NotConnected;
                }
            }
            let read = async { Wake::Read((&*stream).read(&mut buffer).await) };
            let wake_at = next_send_at.min(Instant::now() + POLL_INTERVAL);
            let timer = async {
                Timer::at(wake_at).await;
                Wake::Timer
            };
            match or(read, timer).await {
                Wake::Read(Ok(0)) => return ConnectionEnd::Closed,
                Wake::Read(Ok(count)) => self.receive(&buffer[..count]),
                Wake::Read(Err(_)) => return ConnectionEnd::Reset,
                Wake::Timer if !stopped && Instant::now() >= next_send_at => {
                    next_send_at = Instant::now() + self.next_pause();
                    if self.open < MAX_OPEN_REQUESTS && !self.send(stream).await {
                        return ConnectionEnd::Reset;
                    }
                }
                Wake::Timer => {}
            }
        }
    }

    /// A draw between half and one and a half times the interval.
    fn next_pause(&mut self) -> Duration {
        let half = self.plan.interval.as_micros() as u64 / 2;
        Duration::from_micros(half + self.random.next_u64() % (2 * half).max(1))
    }

    /// Sends a request; gives whether its bytes were taken.
    async fn send(&mut self, mut stream: &Async<TcpStream>) -> bool {
        self.next_id += 1;
        let draw = self.random.next_u64() as usize % self.plan.classes.len();
        let (class, statement) = self.plan.classes[draw];
        let (least, most) = (*self.plan.wait_ms.start(), *self.plan.wait_ms.end());
        let wait_ms = least + self.random.next_u64() % (most - least + 1);
        let key = request_key(self.plan.seed, self.index, self.next_id);
        let statement = format!("{statement} /* {key} */");
        let request = RpcRequest {
            class,
            key: &key,
            tenant: self.plan.tenant,
            wait_ms,
            statement: &statement,
        };
        let line = request.line(self.next_id);
        let sent = stream.write_all(&line).await.is_ok();
        if sent {
            self.record_request(class, key.clone(), Duration::from_millis(wait_ms));
        }
        sent
    }

    fn record_request(&mut self, class: &'static str, key: String, wait: Duration) {
        let requests = &mut self.record.borrow_mut().requests;
        self.sent.insert(self.next_id, requests.len());
        self.open += 1;
        requests.push(SustainedRequest {
            connection: self.index,
            class,
            key,
            wait,
            sent_at: Instant::now(),
            responses: Vec::new(),
            connection_end: None,
        });
    }

    fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            self.record_response(&line);
        }
    }

    fn record_response(&mut self, line: &[u8]) {
        let message: Option<Value> = serde_json::from_slice(line).ok();
        let id = message.and_then(|message| message["id"].as_u64());
        let mut record = self.record.borrow_mut();
        let Some(position) = id.and_then(|id| self.sent.get(&id).copied()) else {
            record.unexpected_responses += 1;
            return;
        };
        let request = &mut record.requests[position];
        if request.responses.is_empty() {
            self.open -= 1;
        }
        let outcome = parse_rpc_response(line);
        request.responses.push((Instant::now(), outcome));
    }

    /// Notes the end at each request that has no response.
    fn record_end(&self, end: ConnectionEnd) {
        let now = Instant::now();
        let requests = &mut self.record.borrow_mut().requests;
        for position in self.sent.values() {
            let request = &mut requests[*position];
            if request.responses.is_empty() {
                request.connection_end = Some((now, end));
            }
        }
    }
}

/// The client's name for a request: 16 hex digits.
fn request_key(seed: u64, connection: usize, id: u64) -> String {
    let seed = seed & 0xffff_ffff;
    let connection = connection as u64 & 0xfff;
    let id = id & 0xf_ffff;
    format!("{seed:08x}{connection:03x}{id:05x}")
}
