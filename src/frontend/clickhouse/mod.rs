//! The ClickHouse HTTP interface for clients. Connections are persistent, and each runs one query
//! at a time.
mod error;
mod format;
mod request;
mod response;
mod service;

pub use service::ClickHouseShared;

use super::input_buffer::InputBuffer;
use super::{DisconnectReason, Frontend, FrontendEvent};
use crate::clock::{Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{Origin, Response};
use crate::http::{self, Body, Head};
use error::QueryError;
use format::Format;
use request::RequestHead;
use response::Framing;
use std::rc::Rc;

/// The maximum length of a statement, in bytes.
const MAX_STATEMENT_BYTES: usize = 256 * 1024;
/// The maximum length of the input that a client may send while a query is open, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The Retry-After of a rejection for which no estimate exists.
const DEFAULT_RETRY_AFTER: Micros = SEC;
/// The body of the responses at `/` and `/ping`.
const PING_TEXT: &str = "Ok.\n";

/// A request whose body is being read.
struct PartialRequest {
    head: Head,
    framing: Body,
    body: Vec<u8>,
}

/// The query in flight on a connection, with the data that its response needs.
struct OpenQuery {
    tag: u64,
    query_id: String,
    format: Format,
    framing: Framing,
}

enum State {
    /// Reading the head of a request, or waiting for one.
    Head,
    /// Reading the body of a request.
    Body(PartialRequest),
    /// A query is in flight.
    Open(OpenQuery),
    /// Nothing more is parsed, and the connection has to be closed.
    Closing,
}

/// Why a request is rejected, and the query id for the response.
struct Rejection {
    error: QueryError,
    query_id: String,
}

impl From<QueryError> for Rejection {
    fn from(error: QueryError) -> Rejection {
        Rejection {
            error,
            query_id: String::new(),
        }
    }
}

/// One client connection.
pub struct ClickHouse {
    connection: u64,
    shared: Rc<ClickHouseShared>,
    input: InputBuffer,
    state: State,
    last_tag: u64,
    /// The number of requests that were read completely, valid or not.
    complete_requests: u64,
    has_valid_message: bool,
}

impl ClickHouse {
    /// The state of a new connection with this number.
    pub fn new(connection: u64, shared: Rc<ClickHouseShared>) -> ClickHouse {
        ClickHouse {
            connection,
            shared,
            input: InputBuffer::default(),
            state: State::Head,
            last_tag: 0,
            complete_requests: 0,
            has_valid_message: false,
        }
    }

    /// Parses the buffered input until a query is in flight or more input is needed, and updates
    /// the start time of the incomplete request.
    fn parse(&mut self, now: Micros, events: &mut Vec<FrontendEvent>, output: &mut Vec<u8>) {
        let complete_before = self.complete_requests;
        while self.parse_part(now, events, output) {}
        let completed = self.complete_requests != complete_before;
        let incomplete = match self.state {
            State::Head => !self.input.is_empty(),
            State::Body(_) => true,
            State::Open(_) | State::Closing => false,
        };
        self.input.update_message_start(now, completed, incomplete);
    }

    /// Parses a head or a body. Returns whether there may be more to parse.
    fn parse_part(
        &mut self,
        now: Micros,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> bool {
        match std::mem::replace(&mut self.state, State::Head) {
            State::Head => match self.parse_head(output) {
                Ok(Some(partial)) => {
                    self.state = State::Body(partial);
                    true
                }
                Ok(None) => false,
                Err(error) => {
                    self.reject_and_close(error, output);
                    false
                }
            },
            State::Body(partial) => self.parse_body(now, partial, events, output),
            state @ (State::Open(_) | State::Closing) => {
                self.state = state;
                false
            }
        }
    }

    /// Parses a head; `None` if it is incomplete.
    fn parse_head(&mut self, output: &mut Vec<u8>) -> Result<Option<PartialRequest>, QueryError> {
        let Some((head, length)) = http::parse_head(self.input.bytes())? else {
            return Ok(None);
        };
        self.input.consume(length);
        if !head.start_line[2].starts_with("HTTP/1.") {
            return Err(QueryError::Malformed);
        }
        let framing = head.body_framing(Body::Length(0))?;
        // A body that is too long is rejected before it is read, and before `100 Continue` would
        // make the client send it.
        if matches!(framing, Body::Length(length) if length > MAX_STATEMENT_BYTES as u64) {
            return Err(QueryError::StatementTooLong);
        }
        if head.list_contains("expect", "100-continue") && framing != Body::Length(0) {
            output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(Some(PartialRequest {
            head,
            framing,
            body: Vec::new(),
        }))
    }

    /// Reads the next part of a body, and handles the request once the body is complete. Returns
    /// whether it is complete.
    fn parse_body(
        &mut self,
        now: Micros,
        mut partial: PartialRequest,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> bool {
        let read = partial
            .framing
            .read(self.input.bytes(), &mut partial.body, MAX_STATEMENT_BYTES);
        match read {
            Ok((used, true)) => {
                self.input.consume(used);
                self.handle_request(now, &partial.head, partial.body, events, output);
                true
            }
            Ok((used, false)) => {
                self.input.consume(used);
                self.state = State::Body(partial);
                false
            }
            Err(error) => {
                self.reject_and_close(error.into(), output);
                false
            }
        }
    }

    /// Writes an error response and stops parsing, because the start of the next request is
    /// unknown.
    fn reject_and_close(&mut self, error: QueryError, output: &mut Vec<u8>) {
        let retry_after = (error == QueryError::OutOfMemory).then_some(DEFAULT_RETRY_AFTER);
        response::write_error(output, error, "", false, retry_after);
        self.input.discard_message();
        self.state = State::Closing;
    }

    fn handle_request(
        &mut self,
        now: Micros,
        head: &Head,
        body: Vec<u8>,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) {
        self.complete_requests += 1;
        let version = &head.start_line[2];
        let framing = Framing {
            keep_alive: head.keeps_alive(version) && !(self.shared.is_draining)(),
            chunked: version != "HTTP/1.0",
        };
        self.state = state_after_response(framing.keep_alive);
        match self.route(now, head, body, framing, events, output) {
            Ok(()) => self.has_valid_message = true,
            Err(Rejection { error, query_id }) => {
                response::write_error(output, error, &query_id, framing.keep_alive, None);
            }
        }
    }

    fn route(
        &mut self,
        now: Micros,
        head: &Head,
        body: Vec<u8>,
        framing: Framing,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> Result<(), Rejection> {
        let (path, parameters) =
            http::parse_target(&head.start_line[1]).ok_or(QueryError::InvalidUrl)?;
        let request = RequestHead {
            head,
            parameters: &parameters,
        };
        let without_query = request.parameter("query").is_none() && body.is_empty();
        match (head.start_line[0].as_str(), path) {
            ("GET", "/") if without_query => {
                response::write_text(output, framing.keep_alive, PING_TEXT);
            }
            ("GET", "/ping") => response::write_text(output, framing.keep_alive, PING_TEXT),
            ("HEAD", "/" | "/ping") => {
                response::write_head_only(output, framing.keep_alive, PING_TEXT.len());
            }
            ("GET" | "POST", "/") => self.start_query(now, &request, body, framing, events)?,
            (_, "/" | "/ping") => return Err(QueryError::MethodNotAllowed.into()),
            _ => return Err(QueryError::UnknownPath.into()),
        }
        Ok(())
    }

    fn start_query(
        &mut self,
        now: Micros,
        request: &RequestHead<'_>,
        body: Vec<u8>,
        framing: Framing,
        events: &mut Vec<FrontendEvent>,
    ) -> Result<(), Rejection> {
        let tag = self.last_tag + 1;
        let origin = Origin {
            conn: self.connection,
            tag,
        };
        let query = self
            .shared
            .parse_query(now, origin, request, body)
            .map_err(|error| Rejection {
                error,
                query_id: request.parameter("query_id").unwrap_or_default().to_owned(),
            })?;
        self.last_tag = tag;
        self.state = State::Open(OpenQuery {
            tag,
            query_id: query.query_id,
            format: query.format,
            framing,
        });
        events.push(FrontendEvent::Request(query.request));
        Ok(())
    }

    /// Takes the open query out of the state if it has this tag.
    fn take_open_query(&mut self, tag: u64) -> Option<OpenQuery> {
        match std::mem::replace(&mut self.state, State::Head) {
            State::Open(query) if query.tag == tag => Some(query),
            state => {
                self.state = state;
                None
            }
        }
    }
}

fn state_after_response(keep_alive: bool) -> State {
    if keep_alive {
        State::Head
    } else {
        State::Closing
    }
}

impl Frontend for ClickHouse {
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if matches!(self.state, State::Closing) {
            return Ok(());
        }
        self.input.extend(input);
        self.parse(now, events, output);
        let exceeds_pipeline_limit =
            matches!(self.state, State::Open(_)) && self.input.len() > MAX_PIPELINED_BYTES;
        if exceeds_pipeline_limit {
            return Err(Termination::LocalLimit);
        }
        Ok(())
    }

    fn write_response(
        &mut self,
        now: Micros,
        tag: u64,
        response: Response,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) {
        let Some(query) = self.take_open_query(tag) else {
            return;
        };
        let query_id = query.query_id.as_str();
        let keep_alive = query.framing.keep_alive && !(self.shared.is_draining)();
        match response {
            Response::Completed(rows) => {
                let framing = Framing {
                    keep_alive,
                    ..query.framing
                };
                response::write_rows(output, framing, query_id, query.format, rows);
            }
            Response::Rejected(retry_after) => {
                let retry_after = Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
                let error = QueryError::PoolFull;
                response::write_error(output, error, query_id, keep_alive, retry_after);
            }
            Response::Failed(failure) => {
                response::write_error(output, failure.into(), query_id, keep_alive, None);
            }
            // Only transferred connections get preformatted responses, and connections of this
            // frontend are not transferred.
            Response::Preformatted(_) => {}
        }
        self.state = state_after_response(keep_alive);
        self.parse(now, events, output);
    }

    fn open_requests(&self) -> usize {
        usize::from(matches!(self.state, State::Open(_)))
    }

    fn message_started_at(&self) -> Option<Micros> {
        self.input.message_started_at()
    }

    fn buffered_bytes(&self) -> usize {
        let body = match &self.state {
            State::Body(partial) => partial.body.len(),
            State::Head | State::Open(_) | State::Closing => 0,
        };
        self.input.len() + body
    }

    fn held_memory_bytes(&self) -> usize {
        let head = match &self.state {
            State::Body(partial) => partial.head.memory_bytes(),
            State::Head | State::Open(_) | State::Closing => 0,
        };
        self.buffered_bytes() + head
    }

    fn stop_reading(&mut self, reason: DisconnectReason, output: &mut Vec<u8>) {
        match &mut self.state {
            // Requests after an open query are discarded; the connection closes after the query's
            // response.
            State::Open(query) => {
                query.framing.keep_alive = false;
                self.input.discard_message();
                return;
            }
            // The client has already received an error, or its last response.
            State::Closing => return self.input.discard_message(),
            State::Head | State::Body(_) => {}
        }
        let error = match reason {
            DisconnectReason::MessageTimeout => QueryError::Incomplete,
            DisconnectReason::OutOfMemory => QueryError::OutOfMemory,
        };
        self.reject_and_close(error, output);
    }

    fn has_valid_message(&self) -> bool {
        self.has_valid_message
    }

    fn parsed_messages(&self) -> u64 {
        self.complete_requests
    }

    fn awaits_response(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    fn closes_after_output(&self) -> bool {
        matches!(self.state, State::Closing)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/clickhouse.rs"]
mod tests;
