//! A client of the platform's protocol: one request per connection.
use super::{ClientOutcome, read_line, start_exchange};
use async_io::Async;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use futures_lite::AsyncWriteExt;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};

/// The request for the daemon's status, which reports whether it is ready.
pub const STATUS: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";

/// The highest of JSON-RPC's own error codes: this code and all below it count as invalid requests.
const HIGHEST_PROTOCOL_ERROR: i64 = -32600;

/// A request without its id on the connection.
#[derive(Clone, Copy, Debug)]
pub struct RpcRequest<'a> {
    /// The class, sent as the method.
    pub class: &'a str,
    /// The client's identifier for the request: 16 hex digits.
    pub key: &'a str,
    /// The tenant's name.
    pub tenant: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// The statement.
    pub statement: &'a str,
}

impl RpcRequest<'_> {
    /// Encodes the request as a line of the protocol.
    pub fn line(&self, id: u64) -> Vec<u8> {
        rpc_line(
            id,
            self.class,
            self.key,
            self.tenant,
            self.wait_ms,
            self.statement,
        )
    }
}

/// Encodes a request as a line of the protocol.
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
    let message = json!({"jsonrpc": "2.0", "id": id, "method": class, "params": params});
    format!("{message}\n").into_bytes()
}

/// Adds an idempotency key, which all attempts of one request carry, to an encoded request.
pub fn keyed_line(idempotency_key: &str, line: &[u8]) -> Vec<u8> {
    let mut message: Value = serde_json::from_slice(line).unwrap_or_default();
    message["params"]["once"] = idempotency_key.into();
    format!("{message}\n").into_bytes()
}

/// The outcome that a response of the protocol reports.
pub fn parse_rpc_response(line: &[u8]) -> ClientOutcome {
    let Ok(response) = serde_json::from_slice::<Value>(line) else {
        return ClientOutcome::Interrupted;
    };
    if let Some(arg) = response["result"]["arg"].as_str() {
        let rows = BASE64_STANDARD.decode(arg).unwrap_or_default();
        return ClientOutcome::Completed(String::from_utf8_lossy(&rows).into_owned());
    }
    match response["error"]["code"].as_i64() {
        Some(-32050) => ClientOutcome::Rejected(response["error"]["data"]["after"].as_u64()),
        Some(-32052) => ClientOutcome::Deadline,
        Some(code) if code <= HIGHEST_PROTOCOL_ERROR => ClientOutcome::Invalid(code),
        Some(code) => ClientOutcome::Failed(code),
        None => ClientOutcome::Interrupted,
    }
}

/// Sends lines on a new connection and reads the first response.
pub async fn rpc(addr: SocketAddr, lines: &[u8]) -> ClientOutcome {
    rpc_with_disconnect(addr, lines, &Cell::new(false)).await
}

/// Like [`rpc`], but the client disconnects after the first byte of the response if `disconnects`
/// is set by then.
pub async fn rpc_with_disconnect(
    addr: SocketAddr,
    lines: &[u8],
    disconnects: &Cell<bool>,
) -> ClientOutcome {
    let Some(mut exchange) = start_exchange(addr, lines, disconnects).await else {
        return ClientOutcome::Interrupted;
    };
    match read_line(&exchange.stream, &mut exchange.input).await {
        Some(line) => parse_rpc_response(&line),
        None => ClientOutcome::Interrupted,
    }
}

/// Whether the daemon reports that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = Async::<TcpStream>::connect(addr).await else {
        return false;
    };
    if stream.write_all(STATUS).await.is_err() {
        return false;
    }
    let response = read_line(&stream, &mut Vec::new()).await;
    response.is_some_and(|line| String::from_utf8_lossy(&line).contains("\"green\":true"))
}
