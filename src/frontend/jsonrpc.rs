//! The platform's protocol for clients: JSON-RPC 2.0 over TCP, one message per line.
use super::{DisconnectReason, Front, FrontendEvent};
use crate::clock::{MS, Micros};
use crate::config::process::LiveNames;
use crate::dispatcher::message::MAX_REPORTED_FIGURE;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{ClientRequest, Failure, Origin, Response};
use crate::hot_restart::message::TransferredConnection;
use crate::policy::api::{ClassId, TenantId};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::rc::Rc;

/// When to come back to a connection that has no place for one more request.
const FULL_AFTER: Micros = 100 * MS;
/// A longer line ends the connection.
const MOST_LINE: usize = 256 * 1024;
/// Requests that may be open on a connection.
const MOST_OPEN: usize = 32;
/// What an idle connection keeps of its buffer.
const SMALL: usize = 4 * 1024;
/// A longer id goes back as null.
const MOST_ID: usize = 64;

/// What a line that withdraws has in it.
const WITHDRAW: &[u8] = b"\"withdraw\"";

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
    #[serde(default)]
    once: Value,
    arg: String,
}

/// One client connection.
pub struct JsonRpc {
    conn: u64,
    names: LiveNames,
    /// Whether this program is ready to serve.
    ready: Rc<dyn Fn() -> bool>,
    input: Vec<u8>,
    /// Where to look on for the end of the line.
    looked: usize,
    open: BTreeSet<u64>,
    /// Open at the process that passed this connection on.
    elsewhere: BTreeSet<u64>,
    /// Since when the line in `input` has begun.
    began: Option<Micros>,
    useful: bool,
    strikes: u64,
    /// Nothing more is read: the connection ends once what is open is answered.
    closing: bool,
}

impl JsonRpc {
    /// A new connection.
    pub fn new(conn: u64, names: LiveNames, ready: Rc<dyn Fn() -> bool>) -> JsonRpc {
        let (input, open) = (Vec::new(), BTreeSet::new());
        let (began, useful, strikes, closing) = (None, false, 0, false);
        let elsewhere = BTreeSet::new();
        JsonRpc {
            conn,
            names,
            ready,
            input,
            looked: 0,
            open,
            elsewhere,
            began,
            useful,
            strikes,
            closing,
        }
    }

    /// Goes on with one that another process passed on.
    pub fn resume(now: Micros, handed: &TransferredConnection, mut fresh: JsonRpc) -> JsonRpc {
        fresh.elsewhere = handed.open.iter().copied().collect();
        fresh.input = handed.input.clone();
        fresh.began = (!fresh.input.is_empty()).then_some(now);
        fresh.useful = true;
        fresh
    }

    /// Turns a message away.
    fn error(&mut self, replies: &mut Vec<u8>, id: &Value, code: i64, message: &str) {
        self.strikes += 1;
        // The time to come back goes with every refusal.
        error(
            replies,
            id,
            code,
            message,
            (code == REFUSED).then_some(FULL_AFTER),
        );
    }

    /// Turns away what is no message. Guards against noise, which has no end and no meaning:
    /// nothing more of it is read.
    fn no_message(&mut self, replies: &mut Vec<u8>, code: i64, message: &str) {
        self.error(replies, &Value::Null, code, message);
        self.closing = true;
    }

    fn line(
        &mut self,
        now: Micros,
        line: &[u8],
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        // Batches are not spoken; nor may an array pass for a message with its fields in order.
        if line.trim_ascii_start().starts_with(b"[") {
            return self.no_message(replies, INVALID_REQUEST, "no batches");
        }
        let message: Message = match serde_json::from_slice(line) {
            Ok(message) => message,
            Err(e) => {
                // Text that is JSON, but no message, is an invalid request.
                let code = if e.is_data() {
                    INVALID_REQUEST
                } else {
                    PARSE_ERROR
                };
                return self.no_message(replies, code, "not a message");
            }
        };
        let id = message.id.unwrap_or(Value::Null);
        let id = if plain(&id) { id } else { Value::Null };
        if message.jsonrpc != "2.0" {
            return self.no_message(replies, INVALID_REQUEST, "not JSON-RPC 2.0");
        }
        match message.method.as_str() {
            "status" => {
                let green = (self.ready)();
                self.useful = true;
                reply(
                    replies,
                    &json!({"jsonrpc": "2.0", "id": id, "result": {"green": green}}),
                );
            }
            "withdraw" => {
                self.strikes += 1;
                self.withdraw(&message.params, said);
            }
            method => match self.ask(now, method, &id, message.params) {
                Ok(ask) => {
                    self.open.insert(ask.origin.tag);
                    self.useful = true;
                    said.push(FrontendEvent::Ask(ask));
                }
                Err((code, what)) => {
                    if let Some(class) = self.class(method) {
                        let refused = code == REFUSED;
                        let answer = if refused {
                            Response::Rejected(None)
                        } else {
                            Response::Failed(Failure::NotSent)
                        };
                        said.push(FrontendEvent::TurnedAway(class, answer));
                    }
                    // Guards the answer to the first request under a number: the second one's error
                    // is not for it.
                    let taken = id.as_u64().is_some_and(|tag| self.in_use(tag));
                    self.error(replies, if taken { &Value::Null } else { &id }, code, what);
                }
            },
        }
    }

    /// One that was answered a moment ago is no fault, and no answer is owed.
    fn withdraw(&mut self, params: &Value, said: &mut Vec<FrontendEvent>) {
        let named = match params {
            Value::Object(params) => params.get("id").or_else(|| params.get("rpc")),
            Value::Array(params) => params.first(),
            other => Some(other),
        };
        let named = named.and_then(Value::as_u64);
        if let Some(tag) = named.filter(|tag| self.open.remove(tag)) {
            said.push(FrontendEvent::Withdraw(tag));
        } else if let Some(tag) = named.filter(|tag| self.elsewhere.remove(tag)) {
            said.push(FrontendEvent::WithdrawElsewhere(tag));
        }
    }

    fn in_use(&self, tag: u64) -> bool {
        self.open.contains(&tag) || self.elsewhere.contains(&tag)
    }

    fn class(&self, method: &str) -> Option<ClassId> {
        self.names.borrow().class(method)
    }

    fn ask(
        &self,
        now: Micros,
        method: &str,
        id: &Value,
        params: Value,
    ) -> Result<ClientRequest, (i64, &'static str)> {
        let class = self.class(method).ok_or((NO_METHOD, "no such class"))?;
        let tag = id
            .as_u64()
            .filter(|tag| *tag > 0)
            .ok_or((INVALID_REQUEST, "the id is not a number"))?;
        if self.in_use(tag) {
            return Err((INVALID_REQUEST, "the id is in use"));
        }
        if self.open() >= MOST_OPEN {
            return Err((REFUSED, "too many requests are open on this connection"));
        }
        let params: Params =
            serde_json::from_value(params).map_err(|_| (INVALID_PARAMS, "unusable params"))?;
        let hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if params.id.len() != 16 || !params.id.bytes().all(hex) {
            return Err((INVALID_PARAMS, "params.id is not 16 hex digits"));
        }
        let figure = |value: f64| (0.0..=MAX_REPORTED_FIGURE).contains(&value);
        if params.wait <= 0.0
            || ![Some(params.wait), params.cost, params.kb]
                .into_iter()
                .flatten()
                .all(figure)
        {
            return Err((INVALID_PARAMS, "a figure is out of range"));
        }
        let names = self.names.borrow();
        let once = match &params.once {
            Value::Null => None,
            Value::String(key) if well_formed(key) => Some(key.as_str().into()),
            // One that no engine could be given unchanged. Where the class has no keys it means
            // nothing.
            _ if names.keyed.contains(&class.0) => {
                return Err((INVALID_PARAMS, "params.once is no key"));
            }
            _ => None,
        };
        let tenant = names.tenants.iter().position(|t| *t == params.tenant);
        let tenant = match tenant {
            None if names.tenants.is_empty() => 0,
            None => return Err((INVALID_PARAMS, "no such tenant")),
            Some(tenant) => tenant,
        };
        let statement = BASE64_STANDARD
            .decode(&params.arg)
            .map_err(|_| (INVALID_PARAMS, "arg is not base64"))?;
        Ok(ClientRequest {
            origin: Origin {
                conn: self.conn,
                tag,
            },
            client_request_id: params.id.into(),
            class,
            tenant: TenantId(tenant as u16),
            deadline: now + (params.wait * MS as f64) as Micros,
            work_estimate: params
                .cost
                .filter(|c| *c > 0.0)
                .map(|c| (c * MS as f64) as Micros),
            memory_mb: params.kb.filter(|mb| *mb > 0.0),
            is_retry: matches!(&params.retry, Value::Bool(true))
                || params.retry.as_u64().is_some_and(|n| n > 0),
            statement: statement.into(),
            session: None,
            idempotency_key: once,
        })
    }
}

/// Whether a key can pass on unchanged: it stands as a word among others on an engine's line.
fn well_formed(key: &str) -> bool {
    let word = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_' | b'.' | b':');
    (1..=MOST_ID).contains(&key.len()) && key.bytes().all(word)
}

/// Whether an id may go back as it came.
fn plain(id: &Value) -> bool {
    match id {
        Value::Null | Value::Number(_) => true,
        Value::String(text) => text.len() <= MOST_ID,
        Value::Bool(_) | Value::Array(_) | Value::Object(_) => false,
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
    reply(
        replies,
        &json!({"jsonrpc": "2.0", "id": id, "error": error}),
    );
}

impl Front for JsonRpc {
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if self.closing {
            return Ok(());
        }
        self.input.extend_from_slice(input);
        let mut buffer = std::mem::take(&mut self.input);
        let mut used = 0;
        while !self.closing
            && let Some(end) = buffer[used.max(self.looked)..]
                .iter()
                .position(|c| *c == b'\n')
        {
            let end = used.max(self.looked) + end;
            self.line(now, &buffer[used..end], said, replies);
            (used, self.looked) = (end + 1, 0);
        }
        if self.closing {
            return Ok(());
        }
        buffer.drain(..used);
        // What is left began with these bytes, or is still the same line.
        let began = if used > 0 { None } else { self.began };
        self.began = (!buffer.is_empty()).then(|| began.unwrap_or(now));
        if buffer.is_empty() {
            buffer.shrink_to(SMALL);
        }
        (self.looked, self.input) = (buffer.len(), buffer);
        if self.input.len() > MOST_LINE {
            (self.input, self.began) = (Vec::new(), None);
            self.no_message(replies, INVALID_REQUEST, "the line is too long");
        }
        Ok(())
    }

    fn skim(&mut self, waiting: &[u8], from: usize, said: &mut Vec<FrontendEvent>) -> usize {
        let mut at = from;
        while let Some(end) = waiting[at..]
            .iter()
            .position(|c| *c == b'\n')
            .filter(|_| !self.closing)
        {
            let line = &waiting[at..at + end];
            // The first one may have begun before.
            let whole = if at == 0 {
                [&self.input, line].concat()
            } else {
                Vec::new()
            };
            let line = if at == 0 { &whole[..] } else { line };
            let withdraws = line.windows(WITHDRAW.len()).any(|w| w == WITHDRAW);
            let message = withdraws
                .then(|| serde_json::from_slice::<Message>(line).ok())
                .flatten();
            if let Some(message) = message.filter(|m| m.method == "withdraw" && m.jsonrpc == "2.0")
            {
                self.withdraw(&message.params, said);
            }
            at += end + 1;
        }
        at
    }

    fn answer(
        &mut self,
        _: Micros,
        tag: u64,
        answer: Response,
        _: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) {
        // Withdrawn a moment ago: no answer is owed.
        if !self.open.remove(&tag) && !self.elsewhere.remove(&tag) {
            return;
        }
        let id = Value::from(tag);
        match answer {
            Response::Completed(rows) => {
                let arg = BASE64_STANDARD.encode(rows);
                reply(
                    replies,
                    &json!({"jsonrpc": "2.0", "id": id, "result": {"arg": arg}}),
                );
            }
            Response::Preformatted(line) => replies.extend_from_slice(&line),
            Response::Rejected(after) => {
                error(replies, &id, REFUSED, "refused: try again later", after)
            }
            Response::Failed(Failure::Deadline) => {
                error(replies, &id, DEADLINE, "failed: time is up", None)
            }
            Response::Failed(Failure::InUse) => {
                error(replies, &id, INVALID_PARAMS, "params.id is in use", None)
            }
            Response::Failed(Failure::NotSent) => {
                error(replies, &id, FAILED, "failed: not sent", None)
            }
            Response::Failed(Failure::Attempt(end)) => {
                error(replies, &id, FAILED, &format!("failed: {end}"), None);
            }
        }
    }

    fn open(&self) -> usize {
        self.open.len() + self.elsewhere.len()
    }

    fn hand_over(&self) -> Option<TransferredConnection> {
        let open = self.open.iter().chain(&self.elsewhere).copied().collect();
        // Twice over there is nobody to ask: what an older process has open is waited for here.
        let may = !self.closing && self.elsewhere.is_empty();
        may.then(|| TransferredConnection {
            open,
            input: self.input.clone(),
            unwritten: Vec::new(),
        })
    }

    fn withdrawn(&mut self, tag: u64) {
        self.open.remove(&tag);
    }

    fn began(&self) -> Option<Micros> {
        self.began
    }

    fn held(&self) -> usize {
        self.input.len()
    }

    fn cut_off(&mut self, why: DisconnectReason, replies: &mut Vec<u8>) {
        (self.input, self.began) = (Vec::new(), None);
        match why {
            DisconnectReason::Late => {
                self.no_message(replies, PARSE_ERROR, "the message did not end in time")
            }
            DisconnectReason::Room => {
                self.no_message(replies, REFUSED, "there is no room for long messages now")
            }
        }
    }

    fn useful(&self) -> bool {
        self.useful
    }

    fn strikes(&self) -> u64 {
        self.strikes
    }

    fn last(&self) -> bool {
        self.closing && self.open.is_empty()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/jsonrpc.rs"]
mod tests;
