//! Parsing and validation of messages: from JSON to a request for the dispatcher.
use super::error::MessageError;
use crate::clock::{MS, Micros};
use crate::config::process::Names;
use crate::dispatcher::message::MAX_REPORTED_VALUE;
use crate::dispatcher::{ClientRequest, Origin};
use crate::policy::api::{ClassId, TenantId};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use serde::Deserialize;
use serde_json::Value;
use std::rc::Rc;

/// The JSON-RPC version that each message has to state.
const PROTOCOL_VERSION: &str = "2.0";
/// The maximum length of an id that is returned to the client, and of an idempotency key; in bytes.
const MAX_ID_BYTES: usize = 64;
/// The length of the client's identifier for a request, in hex digits.
const CLIENT_REQUEST_ID_DIGITS: usize = 16;

/// A JSON-RPC message from a client.
#[derive(Deserialize)]
pub(super) struct Message {
    #[serde(default)]
    jsonrpc: String,
    id: Option<Value>,
    #[serde(default)]
    pub(super) method: String,
    #[serde(default)]
    pub(super) params: Value,
}

impl Message {
    /// Parses a line that is not blank.
    pub(super) fn parse(line: &[u8]) -> Result<Message, MessageError> {
        // Batches are not supported. serde would accept an array as a message with its fields in
        // order.
        if line.trim_ascii_start().starts_with(b"[") {
            return Err(MessageError::Batch);
        }
        let message: Message = serde_json::from_slice(line).map_err(|error| {
            if error.is_data() {
                MessageError::NotARequest
            } else {
                MessageError::NotJson
            }
        })?;
        if message.jsonrpc != PROTOCOL_VERSION {
            return Err(MessageError::WrongVersion);
        }
        Ok(message)
    }

    /// Parses a line as a cancellation; `None` if it is another message or invalid.
    pub(super) fn parse_cancellation(line: &[u8]) -> Option<Message> {
        let message: Message = serde_json::from_slice(line).ok()?;
        let is_cancellation =
            message.method == super::CANCEL_METHOD && message.jsonrpc == PROTOCOL_VERSION;
        is_cancellation.then_some(message)
    }

    /// The id for the response: the id of the message if it is a number or a string of at most
    /// [`MAX_ID_BYTES`], else null.
    pub(super) fn response_id(&self) -> Value {
        match &self.id {
            Some(id @ Value::Number(_)) => id.clone(),
            Some(Value::String(text)) if text.len() <= MAX_ID_BYTES => Value::from(text.as_str()),
            _ => Value::Null,
        }
    }

    /// The tag of the request that this message cancels.
    pub(super) fn cancelled_tag(&self) -> Option<u64> {
        let id = match &self.params {
            Value::Object(params) => params.get("id").or_else(|| params.get("rpc")),
            Value::Array(params) => params.first(),
            id => Some(id),
        };
        id.and_then(Value::as_u64)
    }
}

/// The parameters of a request. Renamed fields have other names in the protocol.
#[derive(Deserialize)]
pub(super) struct Params {
    #[serde(rename = "id")]
    client_request_id: String,
    #[serde(rename = "wait")]
    timeout_ms: f64,
    #[serde(default)]
    tenant: String,
    #[serde(rename = "cost")]
    work_estimate_ms: Option<f64>,
    #[serde(rename = "kb")]
    memory_mb: Option<f64>,
    /// True or a positive number if the request is a retry of an earlier one.
    #[serde(default)]
    retry: Value,
    #[serde(default, rename = "once")]
    idempotency_key: Value,
    #[serde(rename = "arg")]
    statement_base64: String,
}

impl Params {
    /// Parses the parameters, and validates those whose validity does not depend on the
    /// configuration.
    pub(super) fn parse(params: Value) -> Result<Params, MessageError> {
        let params: Params =
            serde_json::from_value(params).map_err(|_| MessageError::InvalidParams)?;
        if !is_client_request_id(&params.client_request_id) {
            return Err(MessageError::InvalidClientRequestId);
        }
        let numbers = [
            Some(params.timeout_ms),
            params.work_estimate_ms,
            params.memory_mb,
        ];
        let in_range = |number: f64| (0.0..=MAX_REPORTED_VALUE).contains(&number);
        if params.timeout_ms <= 0.0 || !numbers.into_iter().flatten().all(in_range) {
            return Err(MessageError::NumberOutOfRange);
        }
        Ok(params)
    }

    /// Converts the parameters to a request for the dispatcher, and validates the others.
    pub(super) fn into_request(
        self,
        now: Micros,
        origin: Origin,
        class: ClassId,
        names: &Names,
    ) -> Result<ClientRequest, MessageError> {
        let idempotency_key = self.idempotency_key(class, names)?;
        let tenant = self.tenant_id(names)?;
        let is_retry = self.is_retry();
        let statement = BASE64_STANDARD
            .decode(&self.statement_base64)
            .map_err(|_| MessageError::InvalidStatementEncoding)?;
        Ok(ClientRequest {
            origin,
            client_request_id: self.client_request_id.into(),
            class,
            tenant,
            deadline: now + micros_from_ms(self.timeout_ms),
            work_estimate: self
                .work_estimate_ms
                .filter(|estimate| *estimate > 0.0)
                .map(micros_from_ms),
            memory_mb: self.memory_mb.filter(|estimate| *estimate > 0.0),
            is_retry,
            statement: statement.into(),
            session: None,
            idempotency_key,
        })
    }

    /// The idempotency key. A value that cannot be forwarded to an engine unchanged is an error for
    /// a class with idempotency keys, and is ignored for other classes.
    fn idempotency_key(
        &self,
        class: ClassId,
        names: &Names,
    ) -> Result<Option<Rc<str>>, MessageError> {
        match &self.idempotency_key {
            Value::Null => Ok(None),
            Value::String(key) if is_idempotency_key(key) => Ok(Some(key.as_str().into())),
            _ if names.keyed_classes.contains(&class.0) => Err(MessageError::InvalidIdempotencyKey),
            _ => Ok(None),
        }
    }

    /// The tenant. If no tenants are configured, every request belongs to tenant 0.
    fn tenant_id(&self, names: &Names) -> Result<TenantId, MessageError> {
        if names.tenants.is_empty() {
            return Ok(TenantId(0));
        }
        names
            .tenant(&self.tenant)
            .ok_or(MessageError::UnknownTenant)
    }

    fn is_retry(&self) -> bool {
        match &self.retry {
            Value::Bool(is_retry) => *is_retry,
            count => count.as_u64().is_some_and(|count| count > 0),
        }
    }
}

fn micros_from_ms(milliseconds: f64) -> Micros {
    (milliseconds * MS as f64) as Micros
}

fn is_client_request_id(text: &str) -> bool {
    let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == CLIENT_REQUEST_ID_DIGITS && text.bytes().all(is_lower_hex)
}

/// Whether an idempotency key can be forwarded unchanged: the engines' protocol transmits it as one
/// token of a line.
fn is_idempotency_key(key: &str) -> bool {
    let is_token =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    (1..=MAX_ID_BYTES).contains(&key.len()) && key.bytes().all(is_token)
}
