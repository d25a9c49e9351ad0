//! The platform's protocol for clients: JSON-RPC 2.0 over TCP, one message per line.
use super::{Front, Said};
use crate::clock::{MS, Micros};
use crate::config::Names;
use crate::interface::{ClassId, TenantId};
use crate::manager::ends::End;
use crate::manager::{Answer, Ask, Failure, Origin};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A longer line ends the connection.
const MOST_LINE: usize = 256 * 1024;
/// Requests that may be open on a connection.
const MOST_OPEN: usize = 32;
/// A client can't ask to wait longer than this.
const MOST_WAIT: f64 = 3_600_000.0;

/// Refused: trying again is harmless.
const REFUSED: i64 = -32050;
const FAILED: i64 = -32051;
const DEADLINE: i64 = -32052;
const PARSE_ERROR: i64 = -32700;
const INVALID_REQUEST: i64 = -32600;
const NO_METHOD: i64 = -32601;
const INVALID_PARAMS: i64 = -32602;

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    jsonrpc: String,
    id: Option<Value>,
    #[serde(default)]
    method: String,
    #[serde(default)]
    params: Value,
}

#[derive(Deserialize)]
struct Params {
    id: String,
    wait: f64,
    #[serde(default)]
    tenant: String,
    cost: Option<f64>,
    kb: Option<f64>,
    #[serde(default)]
    retry: Value,
    arg: String,
}

/// One client connection.
pub struct JsonRpc {
    conn: u64,
    names: Rc<Names>,
    /// Whether this program is ready to serve.
    ready: Rc<dyn Fn() -> bool>,
    input: Vec<u8>,
    /// Where to look on for the end of the line.
    looked: usize,
    open: BTreeSet<u64>,
}

impl JsonRpc {
    /// A new connection.
    pub fn new(conn: u64, names: Rc<Names>, ready: Rc<dyn Fn() -> bool>) -> JsonRpc {
        JsonRpc { conn, names, ready, input: Vec::new(), looked: 0, open: BTreeSet::new() }
    }

    fn line(&mut self, now: Micros, line: &[u8], said: &mut Vec<Said>, replies: &mut Vec<u8>) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        // Batches are not spoken; nor may an array pass for a message with its fields in order.
        if line.trim_ascii_start().starts_with(b"[") {
            return error(replies, &Value::Null, INVALID_REQUEST, "no batches", None);
        }
        let message: Message = match serde_json::from_slice(line) {
            Ok(message) => message,
            Err(e) => {
                // Text that is JSON, but no message, is an invalid request.
                let code = if e.is_data() { INVALID_REQUEST } else { PARSE_ERROR };
                return error(replies, &Value::Null, code, "not a message", None);
            }
        };
        let id = message.id.unwrap_or(Value::Null);
        if message.jsonrpc != "2.0" {
            return error(replies, &id, INVALID_REQUEST, "not JSON-RPC 2.0", None);
        }
        match message.method.as_str() {
            "status" => {
                let green = (self.ready)();
                reply(replies, &json!({"jsonrpc": "2.0", "id": id, "result": {"green": green}}));
            }
            "withdraw" => {
                let named = match &message.params {
                    Value::Object(params) => params.get("id").or_else(|| params.get("rpc")),
                    Value::Array(params) => params.first(),
                    other => Some(other),
                };
                match named.and_then(Value::as_u64) {
                    Some(tag) if self.open.remove(&tag) => said.push(Said::Withdraw(tag)),
                    Some(_) => {}
                    None => crate::log!("withdraw names no request: {}", String::from_utf8_lossy(line)),
                }
            }
            method => match self.ask(now, method, &id, message.params) {
                Ok(ask) => {
                    self.open.insert(ask.origin.tag);
                    said.push(Said::Ask(ask));
                }
                Err((code, what)) => error(replies, &id, code, what, None),
            },
        }
    }

    fn ask(&self, now: Micros, method: &str, id: &Value, params: Value) -> Result<Ask, (i64, &'static str)> {
        let class =
            self.names.classes.iter().position(|c| c == method).ok_or((NO_METHOD, "no such class"))?;
        let tag = id.as_u64().filter(|tag| *tag > 0).ok_or((INVALID_REQUEST, "the id is not a number"))?;
        if self.open.contains(&tag) {
            return Err((INVALID_REQUEST, "the id is in use"));
        }
        if self.open.len() >= MOST_OPEN {
            return Err((REFUSED, "too many requests are open on this connection"));
        }
        let params: Params =
            serde_json::from_value(params).map_err(|_| (INVALID_PARAMS, "unusable params"))?;
        let hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if params.id.len() != 16 || !params.id.bytes().all(hex) {
            return Err((INVALID_PARAMS, "params.id is not 16 hex digits"));
        }
        let wait = Some(params.wait).filter(|w| *w > 0.0).ok_or((INVALID_PARAMS, "wait is not positive"))?;
        let tenant = self.names.tenants.iter().position(|t| *t == params.tenant);
        let tenant = match tenant {
            None if self.names.tenants.is_empty() => 0,
            None => return Err((INVALID_PARAMS, "no such tenant")),
            Some(tenant) => tenant,
        };
        let statement =
            BASE64_STANDARD.decode(&params.arg).map_err(|_| (INVALID_PARAMS, "arg is not base64"))?;
        Ok(Ask {
            origin: Origin { conn: self.conn, tag },
            key: params.id.into(),
            class: ClassId(class as u16),
            tenant: TenantId(tenant as u16),
            give_up_at: now + (wait.min(MOST_WAIT) * MS as f64) as Micros,
            cost: params.cost.filter(|c| *c > 0.0).map(|c| (c.min(MOST_WAIT) * MS as f64) as Micros),
            memory_mb: params.kb.filter(|mb| *mb > 0.0),
            repeated: matches!(&params.retry, Value::Bool(true))
                || params.retry.as_u64().is_some_and(|n| n > 0),
            statement: statement.into(),
            session: None,
        })
    }
}

fn reply(replies: &mut Vec<u8>, message: &Value) {
    // Writing JSON to memory can't fail.
    let _ = serde_json::to_writer(&mut *replies, message);
    replies.push(b'\n');
}

fn error(replies: &mut Vec<u8>, id: &Value, code: i64, message: &str, after: Option<Micros>) {
    let mut error = json!({"code": code, "message": message});
    if let Some(after) = after {
        error["data"] = json!({"after": after.div_ceil(MS)});
    }
    reply(replies, &json!({"jsonrpc": "2.0", "id": id, "error": error}));
}

impl Front for JsonRpc {
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<Said>,
        replies: &mut Vec<u8>,
    ) -> Result<(), End> {
        self.input.extend_from_slice(input);
        let buffer = std::mem::take(&mut self.input);
        let mut used = 0;
        while let Some(end) = buffer[used.max(self.looked)..].iter().position(|c| *c == b'\n') {
            let end = used.max(self.looked) + end;
            self.line(now, &buffer[used..end], said, replies);
            (used, self.looked) = (end + 1, 0);
        }
        self.input = buffer;
        self.input.drain(..used);
        self.looked = self.input.len();
        if self.input.len() > MOST_LINE { Err(End::Garbled) } else { Ok(()) }
    }

    fn answer(&mut self, _: Micros, tag: u64, answer: Answer, _: &mut Vec<Said>, replies: &mut Vec<u8>) {
        // Withdrawn a moment ago: no answer is owed.
        if !self.open.remove(&tag) {
            return;
        }
        let id = Value::from(tag);
        match answer {
            Answer::Served(rows) => {
                let arg = BASE64_STANDARD.encode(rows);
                reply(replies, &json!({"jsonrpc": "2.0", "id": id, "result": {"arg": arg}}));
            }
            Answer::Refused(after) => error(replies, &id, REFUSED, "refused: try again later", after),
            Answer::Failed(Failure::Deadline) => error(replies, &id, DEADLINE, "failed: time is up", None),
            Answer::Failed(Failure::NotSent) => error(replies, &id, FAILED, "failed: not sent", None),
            Answer::Failed(Failure::Attempt(end)) => {
                error(replies, &id, FAILED, &format!("failed: {end:?}"), None);
            }
        }
    }

    fn open(&self) -> usize {
        self.open.len()
    }

    fn last(&self) -> bool {
        false
    }
}

#[cfg(test)]
#[path = "../../tests/inside/jsonrpc.rs"]
mod tests;
