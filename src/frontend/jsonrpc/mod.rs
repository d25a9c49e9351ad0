//! The platform's client protocol: JSON-RPC 2.0 over TCP with one message per line. A connection
//! can have several open requests.
mod error;
mod request;
mod response;

use super::input_buffer::InputBuffer;
use super::{DisconnectReason, Frontend, FrontendEvent};
use crate::clock::Micros;
use crate::config::process::LiveNames;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{ClientRequest, Failure, Origin, Response};
use crate::hot_restart::message::TransferredConnection;
use crate::policy::api::ClassId;
use error::MessageError;
use request::{Message, Params};
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The maximum length of a line, in bytes. A longer line closes the connection.
const MAX_LINE_BYTES: usize = 256 * 1024;
/// The maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// The method that queries whether the gateway is ready.
const STATUS_METHOD: &str = "status";
/// The method that cancels a request.
const CANCEL_METHOD: &str = "withdraw";
/// Every line with a cancellation contains these bytes.
const CANCEL_MARKER: &[u8] = b"\"withdraw\"";

/// One client connection.
pub struct JsonRpc {
    connection: u64,
    names: LiveNames,
    /// Returns whether this process is ready for requests.
    is_ready: Rc<dyn Fn() -> bool>,
    input: InputBuffer,
    /// The number of bytes at the start of `input` that are known to contain no line feed.
    scanned_bytes: usize,
    /// Tags of the requests in flight in this process.
    open_tags: BTreeSet<u64>,
    /// Tags of the requests in flight in the predecessor, which transferred this connection.
    open_at_predecessor: BTreeSet<u64>,
    has_valid_message: bool,
    parsed_messages: u64,
    /// Nothing more is parsed, and the connection is closed once the open requests have their
    /// responses.
    closing: bool,
}

impl JsonRpc {
    /// The state of a new connection with this number. `is_ready` returns whether this process is
    /// ready, for the connection's readiness queries.
    pub fn new(connection: u64, names: LiveNames, is_ready: Rc<dyn Fn() -> bool>) -> JsonRpc {
        JsonRpc {
            connection,
            names,
            is_ready,
            input: InputBuffer::default(),
            scanned_bytes: 0,
            open_tags: BTreeSet::new(),
            open_at_predecessor: BTreeSet::new(),
            has_valid_message: false,
            parsed_messages: 0,
            closing: false,
        }
    }

    /// Resumes a connection that the predecessor transferred at `now`, from the initial state
    /// `new`.
    pub fn resume(now: Micros, state: &TransferredConnection, new: JsonRpc) -> JsonRpc {
        JsonRpc {
            open_at_predecessor: state.open_requests.iter().copied().collect(),
            input: InputBuffer::resume(state.input.clone(), now),
            has_valid_message: true,
            ..new
        }
    }

    /// Writes the error response to a message.
    fn reject(&mut self, output: &mut Vec<u8>, id: &Value, cause: MessageError) {
        response::write_message_error(output, id, cause);
    }

    /// Rejects input that is not a message, and stops parsing: input of another protocol has no
    /// message boundary at which parsing could resume.
    fn reject_and_close(&mut self, output: &mut Vec<u8>, cause: MessageError) {
        self.reject(output, &Value::Null, cause);
        self.input.discard_message();
        self.closing = true;
    }

    /// Handles each complete line of the input. Returns whether there was at least one.
    fn handle_lines(
        &mut self,
        now: Micros,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> bool {
        let mut buffer = self.input.take_bytes();
        let mut consumed = 0;
        while !self.closing {
            let search_from = consumed.max(self.scanned_bytes);
            let rest = &buffer[search_from..];
            let Some(length) = rest.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            let line_end = search_from + length;
            self.handle_line(now, &buffer[consumed..line_end], events, output);
            consumed = line_end + 1;
            self.scanned_bytes = 0;
        }
        if !self.closing {
            buffer.drain(..consumed);
            self.scanned_bytes = buffer.len();
            self.input.restore_bytes(buffer);
        }
        consumed > 0
    }

    fn handle_line(
        &mut self,
        now: Micros,
        line: &[u8],
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        self.parsed_messages += 1;
        let message = match Message::parse(line) {
            Ok(message) => message,
            Err(cause) => return self.reject_and_close(output, cause),
        };
        match message.method.as_str() {
            STATUS_METHOD => {
                self.has_valid_message = true;
                response::write_status(output, &message.response_id(), (self.is_ready)());
            }
            CANCEL_METHOD => self.cancel(&message, events),
            _ => self.handle_request(now, message, events, output),
        }
    }

    fn handle_request(
        &mut self,
        now: Micros,
        message: Message,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) {
        let id = message.response_id();
        let class = self.names.borrow().class(&message.method);
        match self.parse_request(now, class, &id, message.params) {
            Ok(request) => {
                self.open_tags.insert(request.origin.tag);
                self.has_valid_message = true;
                events.push(FrontendEvent::Request(request));
            }
            Err(cause) => {
                if let Some(class) = class {
                    let response = response_for_metrics(cause);
                    events.push(FrontendEvent::RequestRejected { class, response });
                }
                // An error with the id of an open request would be taken for that request's
                // response.
                let id_in_use = id.as_u64().is_some_and(|tag| self.is_open(tag));
                let error_id = if id_in_use { &Value::Null } else { &id };
                self.reject(output, error_id, cause);
            }
        }
    }

    fn parse_request(
        &self,
        now: Micros,
        class: Option<ClassId>,
        id: &Value,
        params: Value,
    ) -> Result<ClientRequest, MessageError> {
        let class = class.ok_or(MessageError::UnknownClass)?;
        let tag = id
            .as_u64()
            .filter(|tag| *tag > 0)
            .ok_or(MessageError::InvalidId)?;
        if self.is_open(tag) {
            return Err(MessageError::IdInUse);
        }
        if self.open_requests() >= MAX_OPEN_REQUESTS {
            return Err(MessageError::TooManyOpenRequests);
        }
        let origin = Origin {
            conn: self.connection,
            tag,
        };
        Params::parse(params)?.into_request(now, origin, class, &self.names.borrow())
    }

    /// Cancels an open request, to which no response follows. It is not an error if the request is
    /// not open: its response may have been sent before the cancellation arrived.
    fn cancel(&mut self, message: &Message, events: &mut Vec<FrontendEvent>) {
        let Some(tag) = message.cancelled_tag() else {
            return;
        };
        if self.open_tags.remove(&tag) {
            events.push(FrontendEvent::RequestCancelled { tag });
        } else if self.open_at_predecessor.remove(&tag) {
            events.push(FrontendEvent::TransferredRequestCancelled { tag });
        }
    }

    fn is_open(&self, tag: u64) -> bool {
        self.open_tags.contains(&tag) || self.open_at_predecessor.contains(&tag)
    }
}

/// The response as which the class's metrics count a request that this frontend rejected.
fn response_for_metrics(cause: MessageError) -> Response {
    if cause.code() == error::REJECTED {
        Response::Rejected(None)
    } else {
        Response::Failed(Failure::NotSent)
    }
}

fn contains_bytes(line: &[u8], pattern: &[u8]) -> bool {
    line.windows(pattern.len()).any(|window| window == pattern)
}

impl Frontend for JsonRpc {
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if self.closing {
            return Ok(());
        }
        self.input.extend(input);
        let completed_line = self.handle_lines(now, events, output);
        if self.closing {
            return Ok(());
        }
        let incomplete_line = !self.input.is_empty();
        self.input
            .update_message_start(now, completed_line, incomplete_line);
        if self.input.len() > MAX_LINE_BYTES {
            self.input.discard_message();
            self.reject_and_close(output, MessageError::LineTooLong);
        }
        Ok(())
    }

    fn scan_deferred_input(
        &mut self,
        deferred: &[u8],
        from: usize,
        events: &mut Vec<FrontendEvent>,
    ) -> usize {
        let mut line_start = from;
        while let Some(length) = deferred[line_start..]
            .iter()
            .position(|byte| *byte == b'\n')
            .filter(|_| !self.closing)
        {
            let line_end = line_start + length;
            let line = &deferred[line_start..line_end];
            // The first line may have started in the input that is not deferred.
            let joined_line;
            let line = if line_start == 0 {
                joined_line = [self.input.bytes(), line].concat();
                &joined_line[..]
            } else {
                line
            };
            if contains_bytes(line, CANCEL_MARKER)
                && let Some(cancellation) = Message::parse_cancellation(line)
            {
                self.cancel(&cancellation, events);
            }
            line_start = line_end + 1;
        }
        line_start
    }

    fn write_response(
        &mut self,
        _now: Micros,
        tag: u64,
        response: Response,
        _events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) {
        // A request that has been cancelled gets no response.
        if self.open_tags.remove(&tag) || self.open_at_predecessor.remove(&tag) {
            response::write_response(output, &Value::from(tag), response);
        }
    }

    fn open_requests(&self) -> usize {
        self.open_tags.len() + self.open_at_predecessor.len()
    }

    fn transfer_state(&self) -> Option<TransferredConnection> {
        // A second transfer has to wait until the requests of the first one have their responses:
        // the new process would have no connection to the predecessor that runs them.
        let can_transfer = !self.closing && self.open_at_predecessor.is_empty();
        can_transfer.then(|| TransferredConnection {
            open_requests: self.open_tags.iter().copied().collect(),
            input: self.input.bytes().to_vec(),
            unwritten: Vec::new(),
        })
    }

    fn remove_cancelled(&mut self, tag: u64) {
        self.open_tags.remove(&tag);
    }

    fn message_started_at(&self) -> Option<Micros> {
        self.input.message_started_at()
    }

    fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    fn stop_reading(&mut self, reason: DisconnectReason, output: &mut Vec<u8>) {
        self.input.discard_message();
        // The client has already received an error.
        if self.closing {
            return;
        }
        let cause = match reason {
            DisconnectReason::MessageTimeout => MessageError::Incomplete,
            DisconnectReason::OutOfMemory => MessageError::OutOfMemory,
        };
        self.reject_and_close(output, cause);
    }

    fn has_valid_message(&self) -> bool {
        self.has_valid_message
    }

    fn parsed_messages(&self) -> u64 {
        self.parsed_messages
    }

    fn closes_after_output(&self) -> bool {
        self.closing && self.open_requests() == 0
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/jsonrpc.rs"]
mod tests;
