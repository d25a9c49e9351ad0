//! The errors of the platform's client protocol: their codes and texts.
use crate::clock::{MS, Micros};
use thiserror::Error;

/// The request was rejected before it ran, so a retry cannot run it twice.
pub(super) const REJECTED: i64 = -32050;
/// The request failed, possibly after it ran.
pub(super) const FAILED: i64 = -32051;
/// The request's deadline passed.
pub(super) const DEADLINE_EXCEEDED: i64 = -32052;
/// JSON-RPC 2.0: the message is not valid JSON.
pub(super) const PARSE_ERROR: i64 = -32700;
/// JSON-RPC 2.0: the JSON is not a valid request.
pub(super) const INVALID_REQUEST: i64 = -32600;
/// JSON-RPC 2.0: the method is unknown. In this protocol the method names a class.
pub(super) const METHOD_NOT_FOUND: i64 = -32601;
/// JSON-RPC 2.0: the parameters are invalid.
pub(super) const INVALID_PARAMS: i64 = -32602;

/// The Retry-After of a message that this frontend rejects because a limit is reached.
const CAPACITY_RETRY_AFTER: Micros = 100 * MS;

/// Why this frontend itself rejects a message. The texts are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum MessageError {
    #[error("no batches")]
    Batch,
    #[error("not a message")]
    NotJson,
    /// The message is JSON, but does not have the structure of a request.
    #[error("not a message")]
    NotARequest,
    #[error("not JSON-RPC 2.0")]
    WrongVersion,
    #[error("the line is too long")]
    LineTooLong,
    #[error("the message did not end in time")]
    Incomplete,
    #[error("there is no room for long messages now")]
    OutOfMemory,
    #[error("no such class")]
    UnknownClass,
    #[error("the id is not a number")]
    InvalidId,
    #[error("the id is in use")]
    IdInUse,
    #[error("too many requests are open on this connection")]
    TooManyOpenRequests,
    #[error("unusable params")]
    InvalidParams,
    #[error("params.id is not 16 hex digits")]
    InvalidClientRequestId,
    #[error("a figure is out of range")]
    NumberOutOfRange,
    #[error("params.once is no key")]
    InvalidIdempotencyKey,
    #[error("no such tenant")]
    UnknownTenant,
    #[error("arg is not base64")]
    InvalidStatementEncoding,
}

impl MessageError {
    /// The JSON-RPC error code.
    pub(super) fn code(self) -> i64 {
        match self {
            MessageError::NotJson | MessageError::Incomplete => PARSE_ERROR,
            MessageError::Batch
            | MessageError::NotARequest
            | MessageError::WrongVersion
            | MessageError::LineTooLong
            | MessageError::InvalidId
            | MessageError::IdInUse => INVALID_REQUEST,
            MessageError::OutOfMemory | MessageError::TooManyOpenRequests => REJECTED,
            MessageError::UnknownClass => METHOD_NOT_FOUND,
            MessageError::InvalidParams
            | MessageError::InvalidClientRequestId
            | MessageError::NumberOutOfRange
            | MessageError::InvalidIdempotencyKey
            | MessageError::UnknownTenant
            | MessageError::InvalidStatementEncoding => INVALID_PARAMS,
        }
    }

    /// After which time the client should retry. Every rejection because of a limit has one; other
    /// errors have none.
    pub(super) fn retry_after(self) -> Option<Micros> {
        (self.code() == REJECTED).then_some(CAPACITY_RETRY_AFTER)
    }
}
