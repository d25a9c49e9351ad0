//! Clients that go on sending on every connection that stays open, and a record of what became of
//! each request. They run on a thread of their own, so that a test can signal the daemon meanwhile.
use super::{
    ClientOutcome, RpcRequest, http_request, keyed_line, parse_http_response, parse_rpc_response,
};
use crate::http::{self, Body, Head};
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
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
/// Between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest body of a response over HTTP.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Between two looks at whether the load is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The size of a read from a socket, in bytes.
const READ_BYTES: usize = 8192;

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

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The daemon closed its side.
    Closed,
    /// The connection was reset.
    Reset,
    /// The client left.
    Left,
    /// The load's end: the client stopped waiting.
    GivenUp,
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
    /// Whether it was the first one on its connection.
    pub is_first: bool,
    /// When the client cancelled it. No response is owed from then on.
    pub cancelled_at: Option<Instant>,
    /// How its connection ended without a response, and when the client saw that.
    pub connection_end: Option<(Instant, ConnectionEnd)>,
}

impl SustainedRequest {
    /// Whether it has no response and its connection's end does not excuse that. `lag` is by how
    /// much the client's own clock may be late in seeing that end.
    pub fn is_lost(&self, lag: Duration) -> bool {
        if !self.responses.is_empty() || self.cancelled_at.is_some() {
            return false;
        }
        match self.connection_end {
            Some((at, ConnectionEnd::Closed)) => at - self.sent_at > CLOSE_CROSSING + lag,
            Some((_, ConnectionEnd::Left)) => false,
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
    /// The positions in the record by the ids on the present connection.
    sent: BTreeMap<u64, usize>,
    open: usize,
    input: Vec<u8>,
    /// The response that is being read, over HTTP.
    partial: Option<PartialResponse>,
}

/// A response over HTTP of which the head has been read.
struct PartialResponse {
    head: Head,
    framing: Body,
    body: Vec<u8>,
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
            partial: None,
        }
    }

    /// Uses one connection after the other until the load's end.
    async fn run(mut self, addr: SocketAddr) {
        while !self.control.stopped.load(Ordering::Relaxed) {
            if self.control.front_closed.load(Ordering::Relaxed) {
                Timer::after(POLL_INTERVAL).await;
                continue;
            }
            let Ok(stream) = Async::<TcpStream>::connect(addr).await else {
                Timer::after(RECONNECT_INTERVAL).await;
                continue;
            };
            // Without this option requests only arrive later.
            let _ = stream.get_ref().set_nodelay(true);
            let end = self.exchange(&stream).await;
            self.record_end(end);
            self.sent.clear();
            self.open = 0;
            self.input.clear();
            self.partial = None;
        }
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
                    return ConnectionEnd::GivenUp;
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
                    if let Some(end) = self.act(stream).await {
                        return end;
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

    /// Sends a request, cancels one, or leaves; gives the connection's end, if this is it.
    async fn act(&mut self, stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
        let max_open = match self.plan.protocol {
            SustainedProtocol::JsonRpc => MAX_OPEN_REQUESTS,
            SustainedProtocol::ClickHouse { .. } => 1,
        };
        if self.open >= max_open {
            return None;
        }
        if !self.send(stream).await {
            return Some(ConnectionEnd::Reset);
        }
        if self.draw_percent(self.plan.left_percent) {
            return Some(ConnectionEnd::Left);
        }
        let can_cancel = self.plan.protocol == SustainedProtocol::JsonRpc;
        if can_cancel && self.draw_percent(self.plan.cancelled_percent) {
            return self.cancel(stream).await;
        }
        None
    }

    fn draw_percent(&mut self, percent: u64) -> bool {
        self.random.next_u64() % 100 < percent
    }

    /// Cancels the last request.
    async fn cancel(&mut self, mut stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
        let id = self.next_id;
        let message = json!({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": id}});
        let line = format!("{message}\n");
        if stream.write_all(line.as_bytes()).await.is_err() {
            return Some(ConnectionEnd::Reset);
        }
        let position = self.sent[&id];
        self.record.borrow_mut().requests[position].cancelled_at = Some(Instant::now());
        self.open -= 1;
        None
    }

    /// Sends a request; gives whether its bytes were taken.
    async fn send(&mut self, mut stream: &Async<TcpStream>) -> bool {
        self.next_id += 1;
        let draw = self.random.next_u64() as usize % self.plan.classes.len();
        let class = self.plan.classes[draw];
        let (least, most) = (*self.plan.wait_ms.start(), *self.plan.wait_ms.end());
        let wait_ms = least + self.random.next_u64() % (most - least + 1);
        let key = request_key(self.plan.seed, self.index, self.next_id);
        let bytes = self.request_bytes(class, &key, wait_ms);
        let sent = stream.write_all(&bytes).await.is_ok();
        if sent {
            self.record_request(class.name, key, Duration::from_millis(wait_ms));
        }
        sent
    }

    fn request_bytes(&self, class: SustainedClass, key: &str, wait_ms: u64) -> Vec<u8> {
        let statement = format!("{} /* {key} */", class.statement);
        if let SustainedProtocol::ClickHouse {
            user,
            key: password,
        } = self.plan.protocol
        {
            let parameters = format!("max_execution_time={}", wait_ms as f64 / 1e3);
            return http_request(user, password, &parameters, &statement);
        }
        let request = RpcRequest {
            class: class.name,
            key,
            tenant: self.plan.tenant,
            wait_ms,
            statement: &statement,
        };
        let line = request.line(self.next_id);
        if class.is_keyed {
            keyed_line(key, &line)
        } else {
            line
        }
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
            is_first: self.sent.len() == 1,
            cancelled_at: None,
            responses: Vec::new(),
            connection_end: None,
        });
    }

    fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        if self.plan.protocol != SustainedProtocol::JsonRpc {
            while let Some(outcome) = self.take_http_response() {
                self.record_outcome(Some(self.next_id), outcome);
            }
            return;
        }
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            self.record_response(&line);
        }
    }

    /// The next whole response over HTTP; one that can't be read counts as cut.
    fn take_http_response(&mut self) -> Option<ClientOutcome> {
        if self.partial.is_none() {
            let Ok(head) = http::head(&self.input) else {
                self.input.clear();
                return Some(ClientOutcome::Cut);
            };
            let (head, used) = head?;
            self.input.drain(..used);
            let framing = head.body(Body::UntilClose).ok()?;
            self.partial = Some(PartialResponse {
                head,
                framing,
                body: Vec::new(),
            });
        }
        let partial = self.partial.as_mut()?;
        let read = partial
            .framing
            .read(&self.input, &mut partial.body, MAX_RESPONSE_BYTES);
        let Ok((used, is_complete)) = read else {
            return Some(ClientOutcome::Cut);
        };
        self.input.drain(..used);
        if !is_complete {
            return None;
        }
        let partial = self.partial.take()?;
        Some(parse_http_response(&partial.head, &partial.body))
    }

    fn record_response(&mut self, line: &[u8]) {
        let message: Option<Value> = serde_json::from_slice(line).ok();
        let id = message.and_then(|message| message["id"].as_u64());
        self.record_outcome(id, parse_rpc_response(line));
    }

    fn record_outcome(&mut self, id: Option<u64>, outcome: ClientOutcome) {
        let mut record = self.record.borrow_mut();
        let Some(position) = id.and_then(|id| self.sent.get(&id).copied()) else {
            record.unexpected_responses += 1;
            return;
        };
        let request = &mut record.requests[position];
        if request.responses.is_empty() && request.cancelled_at.is_none() {
            self.open -= 1;
        }
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
