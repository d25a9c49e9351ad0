//! Formatting of HTTP responses.
use super::error::QueryError;
use super::format::Format;
use crate::clock::{Micros, SEC};

/// Headers of every response except those to HEAD requests.
const SERVER_HEADERS: &str =
    "X-ClickHouse-Server-Display-Name: yokelift\r\nX-ClickHouse-Timezone: UTC\r\n";
/// The maximum size of a chunk of a response, in bytes.
const CHUNK_BYTES: usize = 32 * 1024;
/// The length to which a returned query id is truncated, in characters.
const MAX_QUERY_ID_CHARS: usize = 256;

/// How a response is framed, and whether the connection is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Framing {
    /// The connection stays open after the response.
    pub(super) keep_alive: bool,
    /// The client supports the chunked transfer coding (HTTP/1.1).
    pub(super) chunked: bool,
}

fn connection_token(keep_alive: bool) -> &'static str {
    if keep_alive { "keep-alive" } else { "close" }
}

/// Formats a successful response with a text body.
pub(super) fn write_text(output: &mut Vec<u8>, keep_alive: bool, text: &str) {
    write_head(output, 200, keep_alive, "");
    let length = text.len();
    let rest =
        format!("Content-Type: text/html; charset=UTF-8\r\nContent-Length: {length}\r\n\r\n{text}");
    output.extend_from_slice(rest.as_bytes());
}

/// Formats the response to a HEAD request for a resource whose body has `length` bytes.
pub(super) fn write_head_only(output: &mut Vec<u8>, keep_alive: bool, length: usize) {
    let connection = connection_token(keep_alive);
    let text =
        format!("HTTP/1.1 200 OK\r\nConnection: {connection}\r\nContent-Length: {length}\r\n\r\n");
    output.extend_from_slice(text.as_bytes());
}

/// Formats the response to a completed query from rows in the format that engines deliver.
pub(super) fn write_rows(
    output: &mut Vec<u8>,
    framing: Framing,
    query_id: &str,
    format: Format,
    rows: Vec<u8>,
) {
    let row_count = rows.iter().filter(|byte| **byte == b'\n').count();
    let byte_count = rows.len();
    let encoded = format.encode(rows);
    write_head(output, 200, framing.keep_alive, query_id);
    let headers = format!(
        "Content-Type: {}\r\nX-ClickHouse-Format: {}\r\nX-ClickHouse-Summary: {{\"result_rows\":\"{row_count}\",\"result_bytes\":\"{byte_count}\"}}\r\n",
        format.content_type(),
        format.name(),
    );
    output.extend_from_slice(headers.as_bytes());
    if framing.chunked {
        write_chunked(output, &encoded);
    } else {
        let length = format!("Content-Length: {}\r\n\r\n", encoded.len());
        output.extend_from_slice(length.as_bytes());
        output.extend_from_slice(&encoded);
    }
}

/// Writes a body in chunks. If the connection ends within the response, the client detects it by
/// the missing last chunk.
fn write_chunked(output: &mut Vec<u8>, body: &[u8]) {
    output.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    for chunk in body.chunks(CHUNK_BYTES) {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        output.extend_from_slice(chunk);
        output.extend_from_slice(b"\r\n");
    }
    output.extend_from_slice(b"0\r\n\r\n");
}

/// Formats an error response. `retry_after` is rounded up to whole seconds, and at least one.
pub(super) fn write_error(
    output: &mut Vec<u8>,
    error: QueryError,
    query_id: &str,
    keep_alive: bool,
    retry_after: Option<Micros>,
) {
    let report = error.report();
    let code = report.code;
    write_head(output, report.status, keep_alive, query_id);
    let mut headers = format!("X-ClickHouse-Exception-Code: {code}\r\n");
    if report.status == 401 {
        headers += "WWW-Authenticate: Basic realm=\"yokelift\"\r\n";
    }
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.div_ceil(SEC).max(1);
        headers += &format!("Retry-After: {seconds}\r\n");
    }
    let body = format!("Code: {code}. DB::Exception: {error}. ({})\n", report.name);
    let length = body.len();
    let rest = format!(
        "{headers}Content-Type: text/plain; charset=UTF-8\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    output.extend_from_slice(rest.as_bytes());
}

/// Writes the status line and the headers that all responses share.
fn write_head(output: &mut Vec<u8>, status: u16, keep_alive: bool, query_id: &str) {
    let reason = reason_phrase(status);
    let connection = connection_token(keep_alive);
    let head =
        format!("HTTP/1.1 {status} {reason}\r\nConnection: {connection}\r\n{SERVER_HEADERS}");
    output.extend_from_slice(head.as_bytes());
    if !query_id.is_empty() {
        let query_id = header_value(query_id);
        output.extend_from_slice(format!("X-ClickHouse-Query-Id: {query_id}\r\n").as_bytes());
    }
}

/// Makes a text from the client safe as a header value: removes control characters, which could end
/// the header, and truncates the text to [`MAX_QUERY_ID_CHARS`].
fn header_value(text: &str) -> String {
    text.chars()
        .filter(|character| !character.is_control())
        .take(MAX_QUERY_ID_CHARS)
        .collect()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Payload Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
