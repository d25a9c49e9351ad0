//! HTTP clients of the ClickHouse interface and of the admin endpoint, with one request per
//! connection.
use super::{ClientOutcome, start_exchange};
use crate::http::{Body, Head};
use crate::testkit::http_reader::read_http;
use async_io::Async;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use futures_lite::AsyncWriteExt;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};

/// The health check of the ClickHouse interface.
pub const PING: &[u8] = b"GET /ping HTTP/1.1\r\n\r\n";

/// Encodes a query as an HTTP request with the statement in its body.
pub fn http_request(user: &str, key: &str, parameters: &str, statement: &str) -> Vec<u8> {
    let login = BASE64_STANDARD.encode(format!("{user}:{key}"));
    let length = statement.len();
    format!(
        "POST /?{parameters} HTTP/1.1\r\n\
         Host: yokelift\r\n\
         Authorization: Basic {login}\r\n\
         Transfer-Encoding: chunked\r\n\
         \r\n\
         {length:x}\r\n{statement}\r\n0\r\n\r\n"
    )
    .into_bytes()
}

/// Sends a request on a new connection and reads the response.
pub async fn http(addr: SocketAddr, request: &[u8]) -> ClientOutcome {
    http_with_disconnect(addr, request, &Cell::new(false)).await
}

/// Like [`http`], but the client disconnects after the first byte of the response if `disconnects`
/// is set by then.
pub async fn http_with_disconnect(
    addr: SocketAddr,
    request: &[u8],
    disconnects: &Cell<bool>,
) -> ClientOutcome {
    let Some(mut exchange) = start_exchange(addr, request, disconnects).await else {
        return ClientOutcome::Interrupted;
    };
    match read_http(&exchange.stream, &mut exchange.input, Body::UntilClose).await {
        Some((head, body)) => parse_http_response(&head, &body),
        None => ClientOutcome::Interrupted,
    }
}

/// The outcome that a response of the ClickHouse interface reports.
pub fn parse_http_response(head: &Head, body: &[u8]) -> ClientOutcome {
    let number = |field: &str| head.field(field).and_then(|text| text.parse::<u64>().ok());
    let exception_code = head
        .field("x-clickhouse-exception-code")
        .and_then(|text| text.parse::<i64>().ok())
        .unwrap_or(0);
    match (head.start_line[1].as_str(), exception_code) {
        ("200", _) => ClientOutcome::Completed(String::from_utf8_lossy(body).into_owned()),
        ("503", 202) => {
            ClientOutcome::Rejected(number("retry-after").map(|seconds| seconds * 1000))
        }
        ("500", 159) => ClientOutcome::Deadline,
        ("500" | "503", code) => ClientOutcome::Failed(code),
        (status, _) => ClientOutcome::Invalid(status.parse().unwrap_or(0)),
    }
}

/// Calls the admin endpoint and returns the status and the body, or `None` if there was no complete
/// response.
pub async fn call_admin(addr: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = Async::<TcpStream>::connect(addr).await.ok()?;
    let request = format!("{method} {path} HTTP/1.1\r\nHost: yokelift\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let (head, body) = read_http(&stream, &mut Vec::new(), Body::UntilClose).await?;
    let status = head.start_line[1].parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
