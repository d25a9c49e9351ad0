//! Stand-in clients of both fronts: one request on a connection of its own, and how it ended.
use super::Executor;
use super::engines::read_http;
use crate::http::{self, Body};
use async_channel::Sender;
use async_io::Async;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// All rows.
    Served(String),
    /// Refused, and when to come back in milliseconds, if that was said.
    Refused(Option<u64>),
    /// Failed, since its time was up.
    Deadline,
    /// Failed, with a code.
    Failed(i64),
    /// Not let in, or not understood: a code of JSON-RPC or a status of HTTP.
    Rejected(i64),
    /// The connection ended with no whole answer.
    Cut,
}

impl fmt::Display for ClientOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ClientOutcome::Served(rows) => write!(f, "served, {} rows", rows.lines().count()),
            ClientOutcome::Refused(Some(ms)) => write!(f, "refused, come back after {ms} ms"),
            ClientOutcome::Refused(None) => write!(f, "refused"),
            ClientOutcome::Deadline => write!(f, "failed: its time was up"),
            ClientOutcome::Failed(code) => write!(f, "failed: code {code}"),
            ClientOutcome::Rejected(code) => write!(f, "rejected: {code}"),
            ClientOutcome::Cut => write!(f, "cut off with no whole answer"),
        }
    }
}

/// Reads one line, or up to the end of the connection.
pub async fn read_line(stream: &Async<TcpStream>, input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 8192];
    loop {
        if let Some(end) = input.iter().position(|c| *c == b'\n') {
            return Some(input.drain(..=end).collect());
        }
        match (&*stream).read(&mut buffer).await {
            Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

/// A request of the platform's protocol, as a line.
pub fn rpc_line(
    id: u64,
    class: &str,
    key: &str,
    tenant: &str,
    wait_ms: u64,
    statement: &str,
) -> Vec<u8> {
    let arg = BASE64_STANDARD.encode(statement);
    let params =
        json!({"id": key, "wait": wait_ms, "tenant": tenant, "cost": 500.0, "kb": 8, "arg": arg});
    let mut line = json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params})
        .to_string()
        .into_bytes();
    line.push(b'\n');
    line
}

/// The same for a keyed class: the key that all tries of one request carry.
pub fn keyed_line(once: &str, line: &[u8]) -> Vec<u8> {
    let mut message: Value = serde_json::from_slice(line).unwrap_or_default();
    message["params"]["once"] = once.into();
    format!("{message}\n").into_bytes()
}

/// What a line of the platform's protocol says.
pub fn rpc_got(line: &[u8]) -> ClientOutcome {
    let Ok(answer) = serde_json::from_slice::<Value>(line) else {
        return ClientOutcome::Cut;
    };
    if let Some(arg) = answer["result"]["arg"].as_str() {
        let rows = BASE64_STANDARD.decode(arg).unwrap_or_default();
        return ClientOutcome::Served(String::from_utf8_lossy(&rows).into_owned());
    }
    match answer["error"]["code"].as_i64() {
        Some(-32050) => ClientOutcome::Refused(answer["error"]["data"]["after"].as_u64()),
        Some(-32052) => ClientOutcome::Deadline,
        Some(code @ ..=-32600) => ClientOutcome::Rejected(code),
        Some(code) => ClientOutcome::Failed(code),
        None => ClientOutcome::Cut,
    }
}

/// Whether the client has had its byte and hangs up.
async fn left(stream: &Async<TcpStream>, leaves: &Cell<bool>, input: &mut Vec<u8>) -> bool {
    let mut byte = [0; 1];
    let some = matches!((&*stream).read(&mut byte).await, Ok(1));
    input.extend_from_slice(if some { &byte } else { b"" });
    leaves.get()
}

/// Sends the lines on a new connection and reads the first answer.
pub async fn rpc(addr: SocketAddr, lines: &[u8]) -> ClientOutcome {
    rpc_or_leave(addr, lines, &Cell::new(false)).await
}

/// The same, but the client may hang up within the answer.
pub async fn rpc_or_leave(addr: SocketAddr, lines: &[u8], leaves: &Cell<bool>) -> ClientOutcome {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return ClientOutcome::Cut;
    };
    if stream.write_all(lines).await.is_err() {
        return ClientOutcome::Cut;
    }
    let mut input = Vec::new();
    if left(&stream, leaves, &mut input).await {
        return ClientOutcome::Cut;
    }
    read_line(&stream, &mut input)
        .await
        .map_or(ClientOutcome::Cut, |line| rpc_got(&line))
}

/// How a request ended, once it has.
pub type End = Rc<RefCell<Option<ClientOutcome>>>;
type Ends = Rc<RefCell<BTreeMap<u64, End>>>;

/// A connection of the platform's protocol that is kept, with several requests open on it.
pub struct PersistentClient {
    out: Sender<Vec<u8>>,
    open: Ends,
    closed: Rc<Cell<bool>>,
    next: Cell<u64>,
}

impl PersistentClient {
    /// Connects.
    pub fn open(executor: &Executor, addr: SocketAddr) -> PersistentClient {
        let (out, lines) = async_channel::unbounded::<Vec<u8>>();
        let (open, closed) = (Ends::default(), Rc::default());
        let kept = PersistentClient {
            out,
            open: Rc::clone(&open),
            closed: Rc::clone(&closed),
            next: Cell::new(1),
        };
        let task = async move {
            if let Ok(stream) = Async::<TcpStream>::connect(addr).await {
                let mut input = Vec::new();
                loop {
                    let line = async { Ok(read_line(&stream, &mut input).await) };
                    let next = async { Err(lines.recv().await) };
                    match or(line, next).await {
                        Ok(Some(line)) => {
                            let id = serde_json::from_slice::<Value>(&line)
                                .ok()
                                .and_then(|v| v["id"].as_u64());
                            let end = id.and_then(|id| open.borrow_mut().remove(&id));
                            if let Some(end) = end {
                                *end.borrow_mut() = Some(rpc_got(&line));
                            }
                        }
                        Err(Ok(bytes)) if (&stream).write_all(&bytes).await.is_ok() => {}
                        _ => break,
                    }
                }
            }
            // What is still open is cut off.
            open.borrow()
                .values()
                .for_each(|end| *end.borrow_mut() = Some(ClientOutcome::Cut));
            closed.set(true);
        };
        executor.spawn(task).detach();
        kept
    }

    /// Sends a request, or the first part of it; what is left is given back.
    pub fn ask(&self, words: (&str, &str, &str, u64, &str), end: End, part: usize) -> Vec<u8> {
        let (class, key, tenant, wait, statement) = words;
        let id = self.next.replace(self.next.get() + 1);
        let mut line = rpc_line(id, class, key, tenant, wait, statement);
        let rest = line.split_off(line.len() / part.max(1));
        if self.closed.get() {
            *end.borrow_mut() = Some(ClientOutcome::Cut);
        } else {
            self.open.borrow_mut().insert(id, end);
        }
        self.send(line);
        rest
    }

    /// Sends bytes as they are.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.out.try_send(bytes);
    }

    /// Whether the daemon has closed it.
    pub fn closed(&self) -> bool {
        self.closed.get()
    }
}

/// Calls the second address: the status, and the body.
pub async fn call(addr: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = Async::<TcpStream>::connect(addr).await.ok()?;
    let call = format!("{method} {path} HTTP/1.1\r\nHost: yokelift\r\n\r\n");
    stream.write_all(call.as_bytes()).await.ok()?;
    let (head, body) = read_http(&stream, &mut Vec::new(), Body::UntilClose).await?;
    Some((
        head.first[1].parse().ok()?,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Connects, says this and nothing more, and waits for the connection's end.
pub async fn mute(addr: SocketAddr, hello: &'static [u8]) {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return;
    };
    let _ = stream.write_all(hello).await;
    let mut buffer = [0; 256];
    while matches!((&stream).read(&mut buffer).await, Ok(n) if n > 0) {}
}

/// The question whether the daemon is ready.
pub const STATUS: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";
/// The same over HTTP.
pub const PING: &[u8] = b"GET /ping HTTP/1.1\r\n\r\n";

/// Whether the daemon says that it is ready.
pub async fn green(addr: SocketAddr) -> bool {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return false;
    };
    let asked = stream.write_all(STATUS).await;
    let mut input = Vec::new();
    let line = if asked.is_ok() {
        read_line(&stream, &mut input).await
    } else {
        None
    };
    line.is_some_and(|line| String::from_utf8_lossy(&line).contains("\"green\":true"))
}

/// A query over HTTP, as a request with the statement in its body.
pub fn http_request(user: &str, key: &str, params: &str, statement: &str) -> Vec<u8> {
    let login = BASE64_STANDARD.encode(format!("{user}:{key}"));
    let head =
        format!("POST /?{params} HTTP/1.1\r\nHost: yokelift\r\nAuthorization: Basic {login}\r\n");
    let chunk = format!("{:x}\r\n{statement}\r\n0\r\n\r\n", statement.len());
    format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}").into_bytes()
}

/// Sends a request on a new connection and reads its answer.
pub async fn http(addr: SocketAddr, request: &[u8]) -> ClientOutcome {
    http_or_leave(addr, request, &Cell::new(false)).await
}

/// The same, but the client may hang up within the answer.
pub async fn http_or_leave(addr: SocketAddr, request: &[u8], leaves: &Cell<bool>) -> ClientOutcome {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return ClientOutcome::Cut;
    };
    if stream.write_all(request).await.is_err() {
        return ClientOutcome::Cut;
    }
    let mut input = Vec::new();
    if left(&stream, leaves, &mut input).await {
        return ClientOutcome::Cut;
    }
    match read_http(&stream, &mut input, Body::UntilClose).await {
        Some((head, body)) => http_got(&head, &body),
        None => ClientOutcome::Cut,
    }
}

/// What an answer over HTTP says.
pub fn http_got(head: &http::Head, body: &[u8]) -> ClientOutcome {
    let code = head
        .field("x-clickhouse-exception-code")
        .and_then(|c| c.parse::<i64>().ok())
        .unwrap_or(0);
    let after = || {
        head.field("retry-after")
            .and_then(|s| s.parse::<u64>().ok())
            .map(|s| s * 1000)
    };
    match (head.first[1].as_str(), code) {
        ("200", _) => ClientOutcome::Served(String::from_utf8_lossy(body).into_owned()),
        ("503", 202) => ClientOutcome::Refused(after()),
        ("500", 159) => ClientOutcome::Deadline,
        ("500" | "503", code) => ClientOutcome::Failed(code),
        (status, _) => ClientOutcome::Rejected(status.parse().unwrap_or(0)),
    }
}
