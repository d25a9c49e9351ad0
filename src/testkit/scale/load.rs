//! The stand-in clients of a point: idle clients that request the status at intervals, and a few
//! busy clients that send statements at a constant rate.
use crate::testkit::clients::{ClientOutcome, STATUS, parse_rpc_response, read_line};
use crate::testkit::{Executor, pause};
use async_executor::Task;
use async_io::{Async, Timer};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which an idle client requests the status: shorter than the 10 s without input after
/// which the daemon closes a connection.
pub const STATUS_INTERVAL: Duration = Duration::from_secs(8);
/// Number of clients that send statements, each on one connection.
pub const BUSY_CLIENTS: u64 = 8;
/// Estimated work of a statement, in thread milliseconds: about what 910 engines of ten cores at
/// half load can spend on each of 280,000 statements per second.
const STATEMENT_COST_MS: f64 = 15.0;
/// Deadline of a statement, in milliseconds after it is sent.
const STATEMENT_DEADLINE_MS: u64 = 6_000;
/// Number of data sets that the statements read, so that each engine has affinity to some of them.
const DATA_SETS: u64 = 997;
/// Percentage of the statements that the first tenant sends, equal to its share.
const FIRST_TENANT_PERCENT: u64 = 62;
/// Number of clients that connect without a pause between them.
const CONNECT_BATCH: u64 = 25;
/// Pause before the next batch of clients connects, in milliseconds.
const CONNECT_PAUSE_MS: u64 = 10;

/// Counters that all clients of a point share.
#[derive(Debug, Default)]
pub struct ClientCounters {
    /// Idle clients that received at least one response.
    pub ready_idle_clients: Cell<u64>,
    /// Status calls that received a response.
    pub calls: Cell<u64>,
    /// Statements sent.
    pub sent: Cell<u64>,
    /// Statements completed.
    pub completed: Cell<u64>,
    /// Statements rejected.
    pub rejected: Cell<u64>,
    /// Statements that failed in any other way.
    pub failed: Cell<u64>,
    /// Set to make the busy clients stop sending statements.
    pub stop: Cell<bool>,
    /// The first failure of any client.
    pub failure: RefCell<Option<String>>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl ClientCounters {
    fn record_failure(&self, failure: &str) {
        self.failure
            .borrow_mut()
            .get_or_insert_with(|| failure.to_owned());
    }

    /// Returns the number of statements that received a response.
    pub fn responses(&self) -> u64 {
        self.completed.get() + self.rejected.get() + self.failed.get()
    }
}

/// Starts this many idle clients in small batches. A client ends when its task is dropped.
pub async fn start_idle_clients(
    executor: &Executor,
    addr: SocketAddr,
    count: u64,
    counters: &Rc<ClientCounters>,
) -> Vec<Task<()>> {
    let mut clients = Vec::with_capacity(count as usize);
    for index in 0..count {
        if index % CONNECT_BATCH == CONNECT_BATCH - 1 {
            pause(CONNECT_PAUSE_MS).await;
        }
        // The second calls are spread over a whole interval, so that the rate of calls is the same
        // in any window.
        let first_interval = STATUS_INTERVAL.mul_f64((index + 1) as f64 / count as f64);
        let counters = counters.clone();
        clients.push(executor.spawn(async move {
            if let Err(failure) = run_idle_client(addr, first_interval, &counters).await {
                counters.record_failure(failure);
            }
        }));
    }
    clients
}

async fn run_idle_client(
    addr: SocketAddr,
    first_interval: Duration,
    counters: &ClientCounters,
) -> Result<(), &'static str> {
    let stream = Async::<TcpStream>::connect(addr)
        .await
        .map_err(|_| "an idle client could not connect")?;
    let mut input = Vec::new();
    call_status(&stream, &mut input, counters).await?;
    increment(&counters.ready_idle_clients);
    wait_while_open(&stream, first_interval).await?;
    loop {
        call_status(&stream, &mut input, counters).await?;
        wait_while_open(&stream, STATUS_INTERVAL).await?;
    }
}

async fn call_status(
    mut stream: &Async<TcpStream>,
    input: &mut Vec<u8>,
    counters: &ClientCounters,
) -> Result<(), &'static str> {
    stream
        .write_all(STATUS)
        .await
        .map_err(|_| "sending on an idle client's connection failed")?;
    let line = read_line(stream, input)
        .await
        .ok_or("an idle client received no response")?;
    if !String::from_utf8_lossy(&line).contains("\"green\":true") {
        return Err("the daemon reported to an idle client that it is not ready");
    }
    increment(&counters.calls);
    Ok(())
}

/// Waits for `duration`; returns an error if the daemon closes the connection meanwhile.
async fn wait_while_open(
    mut stream: &Async<TcpStream>,
    duration: Duration,
) -> Result<(), &'static str> {
    let waited = async {
        Timer::after(duration).await;
        Ok(())
    };
    let closed = async {
        let _ = stream.read(&mut [0; 1]).await;
        Err("the daemon closed an idle client's connection")
    };
    or(waited, closed).await
}

/// Returns statement `number` as a line of the platform's protocol, with a unique id.
fn statement_line(number: u64) -> Vec<u8> {
    let id = format!("{number:016x}");
    let data_set = number % DATA_SETS;
    let statement =
        format!("SELECT count() FROM ops_{data_set}.calls WHERE id = {number} /* {id} */");
    let tenant = if number % 100 < FIRST_TENANT_PERCENT {
        "billing-desk"
    } else {
        "channel-desk"
    };
    let params = json!({
        "id": id, "wait": STATEMENT_DEADLINE_MS, "tenant": tenant, "cost": STATEMENT_COST_MS,
        "kb": 8, "arg": BASE64_STANDARD.encode(statement),
    });
    let request = json!({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params});
    let mut line = request.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// One of the busy clients.
#[derive(Clone, Copy)]
struct BusyClient {
    addr: SocketAddr,
    started: Instant,
    /// Statements per second of all busy clients together.
    rate: f64,
    /// The client's number, from 0.
    index: u64,
}

/// Starts the busy clients, which together send this many statements per second until
/// [`ClientCounters::stop`] is set.
pub fn start_busy_clients(
    executor: &Executor,
    addr: SocketAddr,
    rate: f64,
    counters: &Rc<ClientCounters>,
) -> Vec<Task<()>> {
    let started = Instant::now();
    let count = if rate > 0.0 { BUSY_CLIENTS } else { 0 };
    let start_client = |index| {
        let counters = counters.clone();
        let client = BusyClient {
            addr,
            started,
            rate,
            index,
        };
        executor.spawn(async move {
            if let Err(failure) = client.run(&counters).await {
                counters.record_failure(failure);
            }
        })
    };
    (0..count).map(start_client).collect()
}

impl BusyClient {
    async fn run(self, counters: &ClientCounters) -> Result<(), &'static str> {
        let stream = Async::<TcpStream>::connect(self.addr)
            .await
            .map_err(|_| "a busy client could not connect")?;
        let _ = stream.get_ref().set_nodelay(true);
        let send = self.send_statements(&stream, counters);
        let receive = receive_responses(&stream, counters);
        or(send, receive).await
    }

    /// Sends every [`BUSY_CLIENTS`]th statement when it is due. Returns only with an error, because
    /// the client still receives responses after it sent its last statement.
    async fn send_statements(
        self,
        mut stream: &Async<TcpStream>,
        counters: &ClientCounters,
    ) -> Result<(), &'static str> {
        let mut number = self.index + 1;
        while !counters.stop.get() {
            let due_at = self.started + Duration::from_secs_f64(number as f64 / self.rate);
            Timer::at(due_at).await;
            if counters.stop.get() {
                break;
            }
            increment(&counters.sent);
            stream
                .write_all(&statement_line(number))
                .await
                .map_err(|_| "sending on a busy client's connection failed")?;
            number += BUSY_CLIENTS;
        }
        std::future::pending().await
    }
}

async fn receive_responses(
    stream: &Async<TcpStream>,
    counters: &ClientCounters,
) -> Result<(), &'static str> {
    let mut input = Vec::new();
    loop {
        let line = read_line(stream, &mut input)
            .await
            .ok_or("the daemon closed a busy client's connection")?;
        increment(match parse_rpc_response(&line) {
            ClientOutcome::Completed(_) => &counters.completed,
            ClientOutcome::Rejected(_) => &counters.rejected,
            _ => &counters.failed,
        });
    }
}
