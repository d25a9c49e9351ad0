//! What a complete response to a query says about its end: a result, an exception, or corrupted
//! rows.
use super::SUCCESS_STATUS;
use crate::dispatcher::termination::Termination;
use crate::http::Head;

/// The header that holds the code of an exception.
const EXCEPTION_CODE_HEADER: &str = "x-clickhouse-exception-code";
/// The exception `TOO_MANY_SIMULTANEOUS_QUERIES`: the engine did not start the query.
const TOO_MANY_SIMULTANEOUS_QUERIES: u32 = 202;
/// The start of an exception's text in a response body.
const EXCEPTION_PREFIX: &[u8] = b"Code: ";
/// Part of an exception's text that is unlikely to occur in rows.
const EXCEPTION_MARKER: &[u8] = b". DB::Exception: ";

/// The termination of a query with a complete response.
pub(super) fn query_termination(status: &str, exception: Option<u32>, rows: &[u8]) -> Termination {
    match (status, exception) {
        (SUCCESS_STATUS, None) if has_uniform_columns(rows) => Termination::Done,
        // This exception means that the engine did not start the query. After any other error the
        // query may have been started.
        ("503", Some(TOO_MANY_SIMULTANEOUS_QUERIES)) => Termination::Rejected,
        _ => Termination::EngineError,
    }
}

/// The code of the exception that a response reports, in its head or in its body.
pub(super) fn exception_code(head: &Head, success: bool, body: &[u8]) -> Option<u32> {
    let in_head = head
        .field(EXCEPTION_CODE_HEADER)
        .and_then(|code| code.parse().ok());
    in_head.or_else(|| {
        if success {
            late_exception_code(body)
        } else {
            exception_code_in(body)
        }
    })
}

/// The code of an exception that occurred after the first rows were sent. Some versions of the
/// engine write it as the last line after the rows, and end the body as they do after a success.
fn late_exception_code(body: &[u8]) -> Option<u32> {
    let lines = body.strip_suffix(b"\n").unwrap_or(body);
    let last_line = lines.rsplit(|byte| *byte == b'\n').next()?;
    if contains(last_line, EXCEPTION_MARKER) {
        exception_code_in(last_line)
    } else {
        None
    }
}

/// The code of an exception whose text is `text`.
fn exception_code_in(text: &[u8]) -> Option<u32> {
    let digits = text.strip_prefix(EXCEPTION_PREFIX)?;
    let end = digits.iter().position(|byte| !byte.is_ascii_digit())?;
    std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
}

/// Whether all rows are complete and have the same number of columns. Keeps corrupted bytes from
/// being passed on as a result.
fn has_uniform_columns(rows: &[u8]) -> bool {
    if rows.is_empty() {
        return true;
    }
    let Some(lines) = rows.strip_suffix(b"\n") else {
        return false;
    };
    let columns = |row: &[u8]| row.iter().filter(|byte| **byte == b'\t').count();
    let mut counts = lines.split(|byte| *byte == b'\n').map(columns);
    let first = counts.next();
    counts.all(|count| Some(count) == first)
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
