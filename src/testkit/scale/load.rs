//! The clients of a point: idle ones that say a little now and then, and a few busy ones that send
//! statements at a steady rate.
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

/// An idle client asks for the status this often: the daemon lets go who says nothing for 10 s.
pub const CALL_EVERY: Duration = Duration::from_secs(8);
/// Connections that carry the statements.
pub const BUSY: u64 = 8;
/// The work that a statement is said to cost, in thread milliseconds: what 910 engines of ten cores
/// have for each of 280,000 statements a second, at half their time.
const COST_MS: f64 = 15.0;
/// Data sets that the statements read, so that each engine is near to some.
const SETS: u64 = 997;
/// Clients that connect in one go, and the pause to the next ones, in milliseconds.
const AT_ONCE: u64 = 25;
const BETWEEN_MS: u64 = 10;

/// What all clients of a point count.
#[derive(Debug, Default)]
pub struct Tally {
    /// Idle clients that were answered at least once.
    pub answered: Cell<u64>,
    /// Calls for the status that were answered.
    pub calls: Cell<u64>,
    /// Statements sent.
    pub asked: Cell<u64>,
    /// Statements served.
    pub served: Cell<u64>,
    /// Statements refused.
    pub refused: Cell<u64>,
    /// Statements that failed in any other way.
    pub failed: Cell<u64>,
    /// Statements are to be sent no more.
    pub stop: Cell<bool>,
    /// What went wrong with a client first.
    pub fault: RefCell<Option<String>>,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Tally {
    fn wrong(&self, what: &str) {
        self.fault
            .borrow_mut()
            .get_or_insert_with(|| what.to_owned());
    }

    /// Statements that have had their answer.
    pub fn ended(&self) -> u64 {
        self.served.get() + self.refused.get() + self.failed.get()
    }
}

/// Starts that many idle clients, a few at a time. They end with their tasks.
pub async fn idle(
    executor: &Executor,
    addr: SocketAddr,
    count: u64,
    tally: &Rc<Tally>,
) -> Vec<Task<()>> {
    let mut all = Vec::with_capacity(count as usize);
    for i in 0..count {
        if i % AT_ONCE == AT_ONCE - 1 {
            pause(BETWEEN_MS).await;
        }
        // Spread over the whole time between two calls, so that any window sees the same rate.
        let gap = CALL_EVERY.mul_f64((i + 1) as f64 / count as f64);
        let tally = tally.clone();
        all.push(executor.spawn(async move {
            if let Err(why) = one_idle(addr, gap, &tally).await {
                tally.wrong(why);
            }
        }));
    }
    all
}

async fn one_idle(addr: SocketAddr, gap: Duration, tally: &Tally) -> Result<(), &'static str> {
    let stream = Async::<TcpStream>::connect(addr)
        .await
        .map_err(|_| "an idle client could not connect")?;
    let (mut input, mut gap) = (Vec::new(), Some(gap));
    loop {
        (&stream)
            .write_all(STATUS)
            .await
            .map_err(|_| "an idle client's connection broke")?;
        let line = read_line(&stream, &mut input)
            .await
            .ok_or("an idle client got no answer")?;
        if !String::from_utf8_lossy(&line).contains("\"green\":true") {
            return Err("an idle client was told that the daemon is not ready");
        }
        add(&tally.calls);
        if gap.is_some() {
            add(&tally.answered);
        }
        let rest = Timer::after(gap.take().unwrap_or(CALL_EVERY));
        let mut byte = [0; 1];
        let rested = async {
            rest.await;
            true
        };
        let closed = async {
            let _ = (&stream).read(&mut byte).await;
            false
        };
        if !or(rested, closed).await {
            return Err("an idle client's connection was closed");
        }
    }
}

/// A statement of the platform's protocol, as a line. Each has a name of its own.
fn line(number: u64) -> Vec<u8> {
    let key = format!("{number:016x}");
    let statement = format!(
        "SELECT count() FROM ops_{}.calls WHERE id = {number} /* {key} */",
        number % SETS
    );
    // Tenants in the proportion of their shares.
    let tenant = if number % 100 < 62 {
        "billing-desk"
    } else {
        "channel-desk"
    };
    let arg = BASE64_STANDARD.encode(statement);
    let params =
        json!({"id": key, "wait": 6_000, "tenant": tenant, "cost": COST_MS, "kb": 8, "arg": arg});
    let mut line = json!({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params})
        .to_string()
        .into_bytes();
    line.push(b'\n');
    line
}

/// Starts the busy clients, which send that many statements a second together until they are told
/// to stop.
pub fn busy(executor: &Executor, addr: SocketAddr, rate: f64, tally: &Rc<Tally>) -> Vec<Task<()>> {
    let start = Instant::now();
    let one = |i: u64| {
        let tally = tally.clone();
        executor.spawn(async move {
            if let Err(why) = one_busy(addr, (start, rate, i), &tally).await {
                tally.wrong(why);
            }
        })
    };
    (0..if rate > 0.0 { BUSY } else { 0 }).map(one).collect()
}

async fn one_busy(
    addr: SocketAddr,
    (start, rate, i): (Instant, f64, u64),
    tally: &Tally,
) -> Result<(), &'static str> {
    let stream = Async::<TcpStream>::connect(addr)
        .await
        .map_err(|_| "a busy client could not connect")?;
    let _ = stream.get_ref().set_nodelay(true);
    let send = async {
        let mut number = i + 1;
        while !tally.stop.get() {
            Timer::at(start + Duration::from_secs_f64(number as f64 / rate)).await;
            if tally.stop.get() {
                break;
            }
            add(&tally.asked);
            (&stream)
                .write_all(&line(number))
                .await
                .map_err(|_| "a busy client's connection broke")?;
            number += BUSY;
        }
        // What is open is still answered.
        std::future::pending().await
    };
    let read = async {
        let mut input = Vec::new();
        loop {
            let line = read_line(&stream, &mut input)
                .await
                .ok_or("a busy client's connection was closed")?;
            add(match parse_rpc_response(&line) {
                ClientOutcome::Served(_) => &tally.served,
                ClientOutcome::Refused(_) => &tally.refused,
                _ => &tally.failed,
            });
        }
    };
    or(send, read).await
}
