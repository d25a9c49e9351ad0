//! A stand-in engine of the ClickHouse HTTP interface.
use super::{EngineBehavior, EngineState, Stream, reset, rows, write};
use crate::http::{self, Body};
use crate::testkit::execution_log::{RunId, RunOutcome};
use crate::testkit::http_reader::read_http;
use crate::testkit::pause;
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The code of the exception `TOO_MANY_SIMULTANEOUS_QUERIES`.
const TOO_MANY_SIMULTANEOUS_QUERIES: u32 = 202;
/// The code of the exception `MEMORY_LIMIT_EXCEEDED`.
const MEMORY_LIMIT_EXCEEDED: u32 = 241;

/// Whether a connection stays open after a query.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterQuery {
    Continue,
    Close,
}

/// Serves the queries of a connection one after the other until the connection ends.
pub(super) async fn serve(state: &Rc<EngineState>, stream: &Stream) {
    let mut input = Vec::new();
    while let Some((head, body)) = read_http(stream, &mut input, Body::Length(0)).await {
        if head.start_line[1] == "/ping" {
            write(stream, &response("200 OK", "", "Ok.\n")).await;
            continue;
        }
        let query_id = query_id(&head.start_line[1]);
        let fields = BTreeMap::new();
        let run = state
            .log
            .record_start(&state.name, &query_id, &body, fields);
        let query = Query {
            state,
            stream,
            run,
            query_id,
        };
        if query.run(state.next_behavior()).await == AfterQuery::Close {
            break;
        }
    }
}

/// The parameter `query_id` of a request's target, empty if there is none.
fn query_id(target: &str) -> String {
    let (_, parameters) = http::parse_target(target).unwrap_or_default();
    let mut parameters = parameters.into_iter();
    let found = parameters.find(|(name, _)| name == "query_id");
    found.map_or(String::new(), |(_, value)| value)
}

/// A running query.
struct Query<'a> {
    state: &'a EngineState,
    stream: &'a Stream,
    run: RunId,
    query_id: String,
}

impl Query<'_> {
    async fn run(&self, behavior: EngineBehavior) -> AfterQuery {
        match behavior {
            EngineBehavior::Complete { after_millis, rows } => {
                return self.complete(after_millis, rows).await;
            }
            EngineBehavior::Reject => {
                let code = TOO_MANY_SIMULTANEOUS_QUERIES;
                let response = exception("503 Service Unavailable", code);
                self.finish(RunOutcome::Rejected, &response).await;
            }
            EngineBehavior::Fail => {
                let response = exception("500 Internal Server Error", MEMORY_LIMIT_EXCEEDED);
                self.finish(RunOutcome::Responded, &response).await;
            }
            EngineBehavior::FailWithinResponse => {
                // Rows, then the connection is closed without the last chunk.
                let response =
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\tb\n\r\n";
                self.finish(RunOutcome::Responded, response).await;
                return AfterQuery::Close;
            }
            EngineBehavior::ViolateProtocol => {
                self.finish(RunOutcome::Responded, b"what is this\r\n\r\n")
                    .await;
                return AfterQuery::Close;
            }
            EngineBehavior::Reset => {
                self.end(RunOutcome::Cancelled);
                reset(self.stream);
                return AfterQuery::Close;
            }
            EngineBehavior::Hang => {
                self.next_input().await;
                self.end(RunOutcome::Cancelled);
                return AfterQuery::Close;
            }
        }
        AfterQuery::Continue
    }

    /// Waits until the connection ends or further input arrives. Returns whether there is input.
    async fn next_input(&self) -> bool {
        let mut byte = [0; 1];
        matches!((&**self.stream).read(&mut byte).await, Ok(count) if count > 0)
    }

    /// Responds after a delay. If the client closes the connection before that, the query is
    /// cancelled.
    async fn complete(&self, after_millis: u64, row_count: usize) -> AfterQuery {
        let is_closed = async { !self.next_input().await };
        let is_done = async {
            pause(after_millis).await;
            false
        };
        if or(is_done, is_closed).await {
            self.end(RunOutcome::Cancelled);
            return AfterQuery::Close;
        }
        let rows = rows(&self.state.log.run(self.run).query, row_count);
        let response = chunked_response(&rows, &self.query_id);
        self.finish(RunOutcome::Responded, &response).await;
        AfterQuery::Continue
    }

    fn end(&self, outcome: RunOutcome) {
        self.state.log.record_end(self.run, outcome);
    }

    async fn finish(&self, outcome: RunOutcome, response: &[u8]) {
        self.end(outcome);
        write(self.stream, response).await;
    }
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn exception(status: &str, code: u32) -> Vec<u8> {
    let headers = format!("X-ClickHouse-Exception-Code: {code}\r\n");
    let body = format!("Code: {code}. DB::Exception: no\n");
    response(status, &headers, &body)
}

/// A result, which names its query as engines of this interface do. Exceptions may lack the name.
fn chunked_response(rows: &str, query_id: &str) -> Vec<u8> {
    let headers = "Transfer-Encoding: chunked\r\nX-ClickHouse-Format: TabSeparated\r\n";
    let query_id = format!("X-ClickHouse-Query-Id: {query_id}\r\n");
    let mut text = format!("HTTP/1.1 200 OK\r\n{headers}{query_id}\r\n");
    if !rows.is_empty() {
        text += &format!("{:x}\r\n{rows}\r\n", rows.len());
    }
    text += "0\r\n\r\n";
    text.into_bytes()
}
