//! Formatting of responses: one JSON-RPC message per line.
use super::error::{self, MessageError};
use crate::clock::{MS, Micros};
use crate::dispatcher::{Failure, Response};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde_json::{Value, json};

/// Formats the result of a readiness query.
pub(super) fn write_status(output: &mut Vec<u8>, id: &Value, ready: bool) {
    write_result(output, id, &json!({"green": ready}));
}

/// Formats the error response to a message that the frontend itself rejects.
pub(super) fn write_message_error(output: &mut Vec<u8>, id: &Value, cause: MessageError) {
    write_error(
        output,
        id,
        cause.code(),
        &cause.to_string(),
        cause.retry_after(),
    );
}

/// Formats the dispatcher's response to a request.
pub(super) fn write_response(output: &mut Vec<u8>, id: &Value, response: Response) {
    match response {
        Response::Completed(rows) => {
            let rows = BASE64_STANDARD.encode(rows);
            write_result(output, id, &json!({"arg": rows}));
        }
        Response::Preformatted(line) => output.extend_from_slice(&line),
        Response::Rejected(retry_after) => {
            let text = "refused: try again later";
            write_error(output, id, error::REJECTED, text, retry_after);
        }
        Response::Failed(failure) => write_failure(output, id, failure),
    }
}

fn write_failure(output: &mut Vec<u8>, id: &Value, failure: Failure) {
    let (code, text) = match failure {
        Failure::Deadline => (error::DEADLINE_EXCEEDED, "failed: time is up".to_owned()),
        Failure::InUse => (error::INVALID_PARAMS, "params.id is in use".to_owned()),
        Failure::NotSent => (error::FAILED, "failed: not sent".to_owned()),
        Failure::Attempt(termination) => (error::FAILED, format!("failed: {termination}")),
    };
    write_error(output, id, code, &text, None);
}

fn write_result(output: &mut Vec<u8>, id: &Value, result: &Value) {
    write_line(
        output,
        &json!({"jsonrpc": "2.0", "id": id, "result": result}),
    );
}

fn write_error(
    output: &mut Vec<u8>,
    id: &Value,
    code: i64,
    message: &str,
    retry_after: Option<Micros>,
) {
    let mut error = json!({"code": code, "message": message});
    if let Some(retry_after) = retry_after {
        error["data"] = json!({"after": retry_after.div_ceil(MS)});
    }
    write_line(output, &json!({"jsonrpc": "2.0", "id": id, "error": error}));
}

fn write_line(output: &mut Vec<u8>, message: &Value) {
    serde_json::to_writer(&mut *output, message)
        .expect("a JSON value with string keys can be written to memory");
    output.push(b'\n');
}
