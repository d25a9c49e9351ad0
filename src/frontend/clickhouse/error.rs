//! The errors of the ClickHouse interface, each with its HTTP status and ClickHouse's error code
//! and name.
use crate::dispatcher::Failure;
use crate::dispatcher::termination::Termination;
use crate::http::ParseError;
use thiserror::Error;

/// An error that is sent to the client. `Display` writes the text of the exception.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum QueryError {
    #[error("the request is not HTTP/1.1")]
    Malformed,
    #[error("the statement is too long")]
    StatementTooLong,
    #[error("the head of the request is too long")]
    HeadTooLong,
    #[error("the request did not come whole in time")]
    Incomplete,
    #[error("there is no room for long statements now: try again later")]
    OutOfMemory,
    #[error("this transfer coding is not supported")]
    UnsupportedTransferCoding,
    #[error("there is no such page")]
    UnknownPath,
    #[error("use GET or POST")]
    MethodNotAllowed,
    #[error("empty query")]
    EmptyQuery,
    #[error("a setting is not a number")]
    InvalidNumber,
    #[error("the URL can't be read")]
    InvalidUrl,
    #[error("use TabSeparated, CSV or JSONCompactEachRow")]
    UnknownFormat,
    #[error("some engines take qualified names only: name the schema in the statement")]
    DatabaseUnsupported,
    #[error("a statement that writes needs POST")]
    WriteNeedsPost,
    #[error("the user is unknown or the key is wrong")]
    AuthenticationFailed,
    #[error("the user belongs to no tenant")]
    UserWithoutTenant,
    #[error("the pool is full, the query did not run: try again later")]
    PoolFull,
    #[error("the time for the query was up")]
    DeadlineExceeded,
    #[error("the name of the query is in use")]
    QueryIdInUse,
    #[error("the query was not sent")]
    NotSent,
    #[error("the engine reported an error")]
    EngineError,
    #[error("the connection to the engine broke")]
    EngineConnectionLost,
}

/// How an error is reported over HTTP.
pub(super) struct ErrorReport {
    pub(super) status: u16,
    /// ClickHouse's error code.
    pub(super) code: u32,
    /// ClickHouse's name of the error code.
    pub(super) name: &'static str,
}

impl ErrorReport {
    fn new(status: u16, code: u32, name: &'static str) -> ErrorReport {
        ErrorReport { status, code, name }
    }
}

impl QueryError {
    /// The HTTP status and ClickHouse's error code. A query that failed may have run, so its status
    /// is never one on which client libraries retry automatically.
    pub(super) fn report(self) -> ErrorReport {
        match self {
            QueryError::Malformed | QueryError::InvalidNumber | QueryError::InvalidUrl => {
                ErrorReport::new(400, 27, "CANNOT_PARSE_INPUT_ASSERTION_FAILED")
            }
            QueryError::StatementTooLong => ErrorReport::new(413, 307, "TOO_MANY_BYTES"),
            QueryError::HeadTooLong => ErrorReport::new(431, 307, "TOO_MANY_BYTES"),
            QueryError::Incomplete => ErrorReport::new(408, 209, "SOCKET_TIMEOUT"),
            QueryError::OutOfMemory | QueryError::PoolFull => {
                ErrorReport::new(503, 202, "TOO_MANY_SIMULTANEOUS_QUERIES")
            }
            QueryError::UnsupportedTransferCoding => ErrorReport::new(501, 48, "NOT_IMPLEMENTED"),
            QueryError::UnknownPath => ErrorReport::new(404, 60, "UNKNOWN_TABLE"),
            QueryError::MethodNotAllowed => ErrorReport::new(405, 48, "NOT_IMPLEMENTED"),
            QueryError::EmptyQuery => ErrorReport::new(400, 62, "SYNTAX_ERROR"),
            QueryError::UnknownFormat => ErrorReport::new(400, 73, "UNKNOWN_FORMAT"),
            QueryError::DatabaseUnsupported => ErrorReport::new(400, 48, "NOT_IMPLEMENTED"),
            QueryError::WriteNeedsPost => ErrorReport::new(405, 164, "READONLY"),
            QueryError::AuthenticationFailed => ErrorReport::new(401, 516, "AUTHENTICATION_FAILED"),
            QueryError::UserWithoutTenant => ErrorReport::new(403, 497, "ACCESS_DENIED"),
            QueryError::DeadlineExceeded => ErrorReport::new(500, 159, "TIMEOUT_EXCEEDED"),
            QueryError::QueryIdInUse => {
                ErrorReport::new(500, 216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING")
            }
            QueryError::NotSent => ErrorReport::new(500, 439, "CANNOT_SCHEDULE_TASK"),
            QueryError::EngineError => ErrorReport::new(500, 1002, "UNKNOWN_EXCEPTION"),
            QueryError::EngineConnectionLost => {
                ErrorReport::new(500, 279, "ALL_CONNECTION_TRIES_FAILED")
            }
        }
    }
}

impl From<ParseError> for QueryError {
    fn from(error: ParseError) -> QueryError {
        match error {
            ParseError::Malformed => QueryError::Malformed,
            ParseError::HeadTooLong => QueryError::HeadTooLong,
            ParseError::BodyTooLong => QueryError::StatementTooLong,
            ParseError::UnsupportedTransferCoding => QueryError::UnsupportedTransferCoding,
        }
    }
}

impl From<Failure> for QueryError {
    fn from(failure: Failure) -> QueryError {
        match failure {
            Failure::Deadline => QueryError::DeadlineExceeded,
            Failure::InUse => QueryError::QueryIdInUse,
            Failure::NotSent => QueryError::NotSent,
            Failure::Attempt(Termination::EngineError) => QueryError::EngineError,
            Failure::Attempt(_) => QueryError::EngineConnectionLost,
        }
    }
}
