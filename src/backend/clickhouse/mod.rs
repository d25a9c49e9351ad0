//! Engines that speak the ClickHouse HTTP interface: one query at a time on a connection that is
//! kept alive.
mod result;

use super::{AttemptEnd, BackendEvent, ProbeId, Protocol, ProtocolError, ProtocolOutput};
use crate::clock::{MS, Micros, SEC};
use crate::dispatcher::AttemptRequest;
use crate::dispatcher::termination::Termination;
use crate::http::{self, Body, Head};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};
use result::{exception_code, query_termination};
use std::rc::Rc;

/// Limit on the size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Longest time without further bytes of an incomplete response. The engine writes a response only
/// once the query has ended, so long pauses within one are not expected.
const RESPONSE_GAP_TIMEOUT_MICROS: Micros = 2 * SEC;
/// The status of a result, and of the response to a ping.
const SUCCESS_STATUS: &str = "200";
/// The header with the identifier of the query that a response belongs to.
const QUERY_ID_HEADER: &str = "x-clickhouse-query-id";
const MEGABYTE_BYTES: u64 = 1 << 20;

/// The credentials with which the proxy authenticates to engines.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The user; empty to send no credentials.
    pub user: String,
    /// The user's key.
    pub key: String,
}

/// The request in progress on the connection.
enum Exchange {
    /// A query, with the identifier that was sent to the engine.
    Query { id: RequestId, query_id: Rc<str> },
    /// A health check, the only kind of probe in this protocol.
    Ping(ProbeId),
    /// A cancelled query: its response is discarded.
    Cancelled,
}

/// A response whose head was read and whose body is incomplete.
struct PendingResponse {
    head: Head,
    body: Body,
}

/// Result of reading the head of a response.
enum HeadStatus {
    /// More bytes are needed.
    Incomplete,
    /// An interim response (1xx) was skipped.
    Interim,
    /// The head of the final response was read; its body follows.
    Final,
}

/// The protocol of one connection to a ClickHouse engine.
pub struct ClickHouse {
    credentials: Rc<Credentials>,
    exchange: Option<Exchange>,
    input: Vec<u8>,
    response: Option<PendingResponse>,
    rows: Vec<u8>,
    reusable: bool,
    /// Whether the engine has identified a response by [`QUERY_ID_HEADER`].
    identifies_responses: bool,
    /// When the latest bytes of an incomplete response were received.
    partial_response_at: Option<Micros>,
}

impl ClickHouse {
    /// Creates the protocol state of a new connection.
    pub fn new(credentials: Rc<Credentials>) -> ClickHouse {
        ClickHouse {
            credentials,
            exchange: None,
            input: Vec::new(),
            response: None,
            rows: Vec::new(),
            reusable: true,
            identifies_responses: false,
            partial_response_at: None,
        }
    }

    /// The headers of every request.
    fn headers(&self) -> String {
        let Credentials { user, key } = &*self.credentials;
        let mut headers = "Host: engine\r\nUser-Agent: yokelift\r\n".to_owned();
        if !user.is_empty() {
            headers += &format!("X-ClickHouse-User: {user}\r\nX-ClickHouse-Key: {key}\r\n");
        }
        headers
    }

    /// The path and the parameters of the request that runs a query.
    fn query_path(now: Micros, request: &AttemptRequest, query_id: &str) -> String {
        let remaining_micros = request.deadline.saturating_sub(now).max(MS);
        let remaining_seconds = remaining_micros as f64 / SEC as f64;
        let mut path = format!(
            "/?query_id={}&max_execution_time={remaining_seconds:.3}&default_format=TabSeparated",
            http::percent_encode(query_id)
        );
        // The first parameter makes the engine report an error in the status where possible. The
        // second one makes it cancel a read-only query when the connection is closed.
        path += "&wait_end_of_query=1&cancel_http_readonly_queries_on_client_close=1";
        let session = request.session.as_deref();
        if let Some(database) = session.and_then(|session| session.database.as_deref()) {
            path += &format!("&database={}", http::percent_encode(database));
        }
        if request.memory_mb > 0.0 {
            let megabytes = request.memory_mb.ceil() as u64;
            let bytes = megabytes.saturating_mul(MEGABYTE_BYTES);
            path += &format!("&max_memory_usage={bytes}");
        }
        path
    }

    /// Reads the head of a response from the input.
    fn receive_head(&mut self, output: &mut ProtocolOutput) -> Result<HeadStatus, ProtocolError> {
        let head = http::parse_head(&self.input).map_err(|_| ProtocolError::Violation)?;
        let Some((head, used)) = head else {
            return Ok(HeadStatus::Incomplete);
        };
        let [version, status, _] = &head.start_line;
        // After a response without a request, responses can no longer be matched with requests.
        let supported = matches!(version.as_str(), "HTTP/1.1" | "HTTP/1.0");
        if self.exchange.is_none() || !supported {
            return Err(ProtocolError::Violation);
        }
        self.input.drain(..used);
        if status.starts_with('1') {
            return Ok(HeadStatus::Interim);
        }
        let default_body = match status.as_str() {
            "204" | "304" => Body::Length(0),
            _ => Body::UntilClose,
        };
        let body = head
            .body_framing(default_body)
            .map_err(|_| ProtocolError::Violation)?;
        self.check_query_id(&head)?;
        if matches!(body, Body::Length(length) if length > MAX_RESPONSE_BYTES as u64) {
            return Err(self.reject_large_response(output));
        }
        self.response = Some(PendingResponse { head, body });
        Ok(HeadStatus::Final)
    }

    /// Detects a duplicate response, or one to an earlier request. An engine that has identified a
    /// response by [`QUERY_ID_HEADER`] identifies all results; its exceptions may lack the header,
    /// and other engines never send it.
    fn check_query_id(&mut self, head: &Head) -> Result<(), ProtocolError> {
        let Some(Exchange::Query { query_id, .. }) = &self.exchange else {
            return Ok(());
        };
        let [_, status, _] = &head.start_line;
        match head.field(QUERY_ID_HEADER) {
            Some(found) if *found == **query_id => self.identifies_responses = true,
            Some(_) => return Err(ProtocolError::Violation),
            None if self.identifies_responses && status == SUCCESS_STATUS => {
                return Err(ProtocolError::Violation);
            }
            None => {}
        }
        Ok(())
    }

    /// Whether a second copy of the response in progress would be noticed if it came after the next
    /// query was written. Otherwise it would be taken for the response to that query, so the
    /// connection must not be reused.
    fn would_notice_copy(&self, head: &Head) -> bool {
        match &self.exchange {
            // Its copy has status 200 and no identifier.
            Some(Exchange::Ping(_)) => self.identifies_responses,
            // The identifier of another query was refused.
            _ => head.field(QUERY_ID_HEADER).is_some(),
        }
    }

    /// Reads the body of a response from the input. Returns whether the body is complete.
    fn receive_body(&mut self, output: &mut ProtocolOutput) -> Result<bool, ProtocolError> {
        let Some(response) = &mut self.response else {
            return Ok(false);
        };
        let read = response
            .body
            .read(&self.input, &mut self.rows, MAX_RESPONSE_BYTES);
        match read {
            Ok((used, complete)) => {
                self.input.drain(..used);
                if complete {
                    self.complete_response(output);
                }
                Ok(complete)
            }
            Err(http::ParseError::BodyTooLong) => Err(self.reject_large_response(output)),
            Err(_) => Err(ProtocolError::Violation),
        }
    }

    /// Ends the exchange as failed and returns the error with which the connection is closed.
    fn reject_large_response(&mut self, output: &mut ProtocolOutput) -> ProtocolError {
        self.fail_exchange(output);
        ProtocolError::ResponseTooLarge
    }

    /// Ends the exchange with its complete response.
    fn complete_response(&mut self, output: &mut ProtocolOutput) {
        let Some(PendingResponse { head, .. }) = self.response.take() else {
            return;
        };
        self.partial_response_at = None;
        let rows = std::mem::take(&mut self.rows);
        let [version, status, _] = &head.start_line;
        self.reusable &= head.keeps_alive(version) && self.would_notice_copy(&head);
        let success = status == SUCCESS_STATUS;
        match self.exchange.take() {
            Some(Exchange::Query { id, .. }) => {
                let exception = exception_code(&head, success, &rows);
                let termination = query_termination(status, exception, &rows);
                let mut end = AttemptEnd::without_result(id, termination);
                if termination == Termination::Done {
                    end.rows = rows;
                }
                output.events.push(BackendEvent::AttemptEnded(end));
            }
            Some(Exchange::Ping(probe)) => {
                let kind = if success {
                    OutcomeKind::Ok
                } else {
                    OutcomeKind::Error
                };
                output.events.push(BackendEvent::ProbeCompleted {
                    probe,
                    kind,
                    load: LoadReport::default(),
                });
            }
            Some(Exchange::Cancelled) | None => {}
        }
    }

    /// Ends the query in flight, if there is one, as failed.
    fn fail_exchange(&mut self, output: &mut ProtocolOutput) {
        self.reusable = false;
        if let Some(Exchange::Query { id, .. }) = self.exchange.take() {
            let end = AttemptEnd::without_result(id, Termination::EngineError);
            output.events.push(BackendEvent::AttemptEnded(end));
        }
    }
}

impl Protocol for ClickHouse {
    fn max_streams(&self) -> usize {
        1
    }

    /// A response belongs to the request before it: that to a ping has no identifier at all.
    fn awaits_unidentified_response(&self) -> bool {
        self.exchange.is_some()
    }

    fn start_attempt(&mut self, now: Micros, request: &AttemptRequest) -> Vec<u8> {
        let session = request.session.as_deref();
        let query_id = session
            .and_then(|session| session.query_id.as_deref())
            .unwrap_or(&request.client_request_id);
        let path = ClickHouse::query_path(now, request, query_id);
        let headers = self.headers();
        let length = request.statement.len();
        let head = format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut command = head.into_bytes();
        command.extend_from_slice(&request.statement);
        self.exchange = Some(Exchange::Query {
            id: request.id,
            query_id: query_id.into(),
        });
        command
    }

    /// The protocol has no cancel command: closing the connection cancels a query.
    fn cancel_attempt(&mut self, _: RequestId) -> Option<Vec<u8>> {
        self.exchange = Some(Exchange::Cancelled);
        self.reusable = false;
        None
    }

    fn send_probe(&mut self, probe: ProbeId) -> Vec<u8> {
        self.exchange = Some(Exchange::Ping(probe));
        format!("GET /ping HTTP/1.1\r\n{}\r\n", self.headers()).into_bytes()
    }

    fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        self.partial_response_at = Some(now);
        self.input.extend_from_slice(input);
        while !self.input.is_empty() {
            if self.response.is_none() {
                match self.receive_head(output)? {
                    HeadStatus::Incomplete => break,
                    HeadStatus::Interim => continue,
                    HeadStatus::Final => {}
                }
            }
            if !self.receive_body(output)? {
                break;
            }
        }
        // A response with an empty body is complete with its head.
        if self
            .response
            .as_ref()
            .is_some_and(|response| response.body == Body::Length(0))
        {
            self.complete_response(output);
        }
        if self.response.is_none() && self.input.is_empty() {
            self.partial_response_at = None;
        }
        Ok(())
    }

    fn next_timeout(&self) -> Option<Micros> {
        let at = self.partial_response_at?;
        Some(at + RESPONSE_GAP_TIMEOUT_MICROS)
    }

    fn on_timeout(&mut self, now: Micros, _: &mut ProtocolOutput) -> Result<(), ProtocolError> {
        if self.next_timeout().is_some_and(|at| at <= now) {
            return Err(ProtocolError::Timeout);
        }
        Ok(())
    }

    /// The end of the stream completes a body that has no length of its own. A body that announced
    /// its length or chunks was truncated, so its query has failed.
    fn on_end_of_input(&mut self, output: &mut ProtocolOutput) {
        match &self.response {
            Some(response) if response.body == Body::UntilClose => self.complete_response(output),
            Some(_) => self.fail_exchange(output),
            None => {}
        }
        self.reusable = false;
    }

    fn is_reusable(&self) -> bool {
        self.reusable
    }
}
