//! A client of a sustained load, which reconnects when its connection ends.
use super::record::{ConnectionEnd, SustainedRequest};
use super::{Control, POLL_INTERVAL, Record, SustainedClass, SustainedLoadPlan, SustainedProtocol};
use crate::http::Body;
use crate::testkit::clients::{
    ClientOutcome, READ_BYTES, RpcRequest, http_request, keyed_line, parse_http_response,
    parse_rpc_response,
};
use crate::testkit::http_reader::HttpReader;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The limit on open requests per connection in the platform's protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// How long a client waits for outstanding responses at the end of the load.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum length of an HTTP response's body.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// An event that wakes a connection's task.
enum WakeEvent {
    Read(std::io::Result<usize>),
    Timer,
}

/// A client with its present connection.
pub(super) struct SustainedConnection<'a> {
    index: usize,
    plan: &'a SustainedLoadPlan,
    control: &'a Control,
    record: Record,
    random: Pcg32,
    next_id: u64,
    /// The positions in the record, by the request's id on the present connection.
    sent: BTreeMap<u64, usize>,
    open: usize,
    input: Vec<u8>,
    /// Parses the HTTP responses.
    http: HttpReader,
}

impl<'a> SustainedConnection<'a> {
    pub(super) fn new(
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
            http: new_http_reader(),
        }
    }

    /// Connects and exchanges messages, and reconnects, until the load ends.
    pub(super) async fn run(mut self, addr: SocketAddr) {
        while !self.control.stopped.load(Ordering::Relaxed) {
            if self.control.reconnect_disabled.load(Ordering::Relaxed) {
                Timer::after(POLL_INTERVAL).await;
                continue;
            }
            let Ok(stream) = Async::<TcpStream>::connect(addr).await else {
                Timer::after(RECONNECT_INTERVAL).await;
                continue;
            };
            // If the option can't be set, requests only arrive later.
            let _ = stream.get_ref().set_nodelay(true);
            let end = self.exchange(&stream).await;
            self.record_end(end);
            self.sent.clear();
            self.open = 0;
            self.input.clear();
            self.http = new_http_reader();
        }
    }

    /// Sends and receives until the connection ends or, after the end of the load, no request is
    /// open or the timeout has passed.
    async fn exchange(&mut self, stream: &Async<TcpStream>) -> ConnectionEnd {
        let mut next_send_at = Instant::now() + self.next_pause();
        let mut stopped_at = None;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let stopped = self.control.stopped.load(Ordering::Relaxed);
            if stopped {
                let stopped_at = *stopped_at.get_or_insert_with(Instant::now);
                if self.open == 0 || stopped_at.elapsed() > FINAL_RESPONSE_TIMEOUT {
                    return ConnectionEnd::LoadEnded;
                }
            }
            let read = async { WakeEvent::Read((&*stream).read(&mut buffer).await) };
            let poll_at = Instant::now() + POLL_INTERVAL;
            // A client that has stopped sends no more requests: the time of the next one would stay
            // in the past, and the loop would not wait.
            let wake_at = if stopped {
                poll_at
            } else {
                next_send_at.min(poll_at)
            };
            let timer = async {
                Timer::at(wake_at).await;
                WakeEvent::Timer
            };
            match or(read, timer).await {
                WakeEvent::Read(Ok(0)) => return ConnectionEnd::Closed,
                WakeEvent::Read(Ok(count)) => self.receive(&buffer[..count]),
                WakeEvent::Read(Err(_)) => return ConnectionEnd::Reset,
                WakeEvent::Timer if !stopped && Instant::now() >= next_send_at => {
                    next_send_at = Instant::now() + self.next_pause();
                    if let Some(end) = self.send_next(stream).await {
                        return end;
                    }
                }
                WakeEvent::Timer => {}
            }
        }
    }

    /// Draws a pause between half and one and a half times the interval.
    fn next_pause(&mut self) -> Duration {
        let half = self.plan.interval.as_micros() as u64 / 2;
        Duration::from_micros(half + self.random.next_u64() % (2 * half).max(1))
    }

    /// Sends a request unless too many are open, then draws whether to disconnect or to cancel the
    /// request. Returns how the connection ended if it did.
    async fn send_next(&mut self, stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
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
        if self.draw_percent(self.plan.disconnected_percent) {
            return Some(ConnectionEnd::Disconnected);
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

    /// Cancels the last request. Returns how the connection ended if it did.
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

    /// Sends a request. Returns whether its bytes were written.
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

    /// Takes the next complete HTTP response from the input; a malformed one counts as interrupted.
    fn take_http_response(&mut self) -> Option<ClientOutcome> {
        match self.http.take(&mut self.input) {
            Ok(message) => message.map(|(head, body)| parse_http_response(&head, &body)),
            Err(_) => {
                self.input.clear();
                self.http = new_http_reader();
                Some(ClientOutcome::Interrupted)
            }
        }
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

    /// Records the connection's end for each request that has no response.
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

fn new_http_reader() -> HttpReader {
    HttpReader::new(Body::UntilClose, MAX_RESPONSE_BYTES)
}

/// The client's identifier for a request, which is also the idempotency key if the class has one:
/// 16 hex digits.
fn request_key(seed: u64, connection: usize, id: u64) -> String {
    let seed = seed & 0xffff_ffff;
    let connection = connection as u64 & 0xfff;
    let id = id & 0xf_ffff;
    format!("{seed:08x}{connection:03x}{id:05x}")
}
