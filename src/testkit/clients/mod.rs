//! Stand-in clients of the frontends and of the admin endpoint.
mod http;
mod persistent;
mod rpc;
mod sustained;

pub use http::{PING, call_admin, http, http_request, http_with_disconnect, parse_http_response};
pub use persistent::{PendingOutcome, PersistentClient};
pub use rpc::{
    RpcRequest, STATUS, is_ready, keyed_line, parse_rpc_response, rpc, rpc_line,
    rpc_with_disconnect,
};
pub use sustained::{
    CLOSE_CROSSING, ConnectionEnd, SustainedClass, SustainedLoad, SustainedLoadPlan,
    SustainedLoadReport, SustainedProtocol, SustainedRequest,
};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::fmt;
use std::net::{SocketAddr, TcpStream};

/// The size of a read from a socket, in bytes.
const READ_BYTES: usize = 8192;

/// How a request ended, as observed by its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It completed with these rows.
    Completed(String),
    /// It was rejected for lack of capacity, with the delay before a retry in milliseconds if the
    /// response has one.
    Rejected(Option<u64>),
    /// It failed at its deadline.
    Deadline,
    /// It failed with this code.
    Failed(i64),
    /// It was not authenticated or not valid: a JSON-RPC error code or an HTTP status.
    Invalid(i64),
    /// The connection ended without a complete response, or the response can't be parsed.
    Interrupted,
}

impl fmt::Display for ClientOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientOutcome::Completed(rows) => {
                write!(formatter, "served, {} rows", rows.lines().count())
            }
            ClientOutcome::Rejected(Some(ms)) => {
                write!(formatter, "refused, come back after {ms} ms")
            }
            ClientOutcome::Rejected(None) => write!(formatter, "refused"),
            ClientOutcome::Deadline => write!(formatter, "failed: its time was up"),
            ClientOutcome::Failed(code) => write!(formatter, "failed: code {code}"),
            ClientOutcome::Invalid(code) => write!(formatter, "rejected: {code}"),
            ClientOutcome::Interrupted => write!(formatter, "cut off with no whole answer"),
        }
    }
}

/// Reads one line, or returns `None` if the connection ends before its line feed.
pub async fn read_line(stream: &Async<TcpStream>, input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        if let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            return Some(input.drain(..=end).collect());
        }
        match (&*stream).read(&mut buffer).await {
            Ok(count) if count > 0 => input.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// A new connection after the request was sent and the first byte of the response was awaited.
struct StartedExchange {
    stream: Async<TcpStream>,
    /// The bytes received so far.
    input: Vec<u8>,
}

/// Connects, sends the request, and waits for the first byte of the response. Returns `None` if
/// connecting or sending failed, or if `disconnects` is set by then.
async fn start_exchange(
    addr: SocketAddr,
    request: &[u8],
    disconnects: &Cell<bool>,
) -> Option<StartedExchange> {
    let mut stream = Async::<TcpStream>::connect(addr).await.ok()?;
    stream.write_all(request).await.ok()?;
    let mut first_byte = [0; 1];
    let received = matches!(stream.read(&mut first_byte).await, Ok(1));
    let input = if received {
        first_byte.to_vec()
    } else {
        Vec::new()
    };
    (!disconnects.get()).then_some(StartedExchange { stream, input })
}

/// Connects, sends these bytes and nothing more, and waits until the connection ends.
pub async fn send_and_wait_for_close(addr: SocketAddr, bytes: &'static [u8]) {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return;
    };
    // If the connection has already ended, the read below returns.
    let _ = stream.write_all(bytes).await;
    let mut buffer = [0; 256];
    while matches!((&stream).read(&mut buffer).await, Ok(count) if count > 0) {}
}
