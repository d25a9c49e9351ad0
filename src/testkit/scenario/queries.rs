//! Steps for queries that are sent on a separate connection each.
use super::error::{StepError, expect};
use super::{Query, ScenarioRun, parse_count, parse_number, text_after};
use crate::testkit::clients::{self, ClientOutcome};
use crate::testkit::engines::rows;
use crate::testkit::wait_until;
use async_executor::Task;
use std::cell::Cell;
use std::rc::Rc;

/// The key argument of a query without an idempotency key.
const NO_KEY: &str = "-";

/// A protocol of the daemon's clients.
#[derive(Clone, Copy)]
pub(super) enum ClientProtocol {
    JsonRpc,
    Http,
}

/// The outcome that a step expects.
pub(super) enum ExpectedOutcome {
    /// Completed with all rows, at least one.
    Completed,
    /// Completed with this number of rows.
    CompletedRows(usize),
    /// Rejected with a time after which to retry.
    RejectedWithRetryAfter,
    Failed,
    Deadline,
    Interrupted,
    /// Not authenticated or not valid: rejected with a JSON-RPC error code or an HTTP status.
    RejectedWithCode(i64),
}

/// A step for a query.
pub(super) enum QueryStep<'a> {
    SendJsonRpc {
        name: &'a str,
        idempotency_key: Option<&'a str>,
        class: &'a str,
        tenant: &'a str,
        wait_millis: u64,
        statement: String,
    },
    SendHttp {
        name: &'a str,
        user: &'a str,
        key: &'a str,
        seconds: &'a str,
        statement: String,
    },
    SendRaw {
        name: &'a str,
        protocol: ClientProtocol,
        text: &'a str,
    },
    Disconnect {
        name: &'a str,
    },
    DisconnectOnResponse {
        name: &'a str,
    },
    Expect {
        name: &'a str,
        outcome: ExpectedOutcome,
    },
}

impl<'a> QueryStep<'a> {
    pub(super) fn parse(
        line: &'a str,
        words: &[&'a str],
    ) -> Result<Option<QueryStep<'a>>, StepError> {
        let step = match *words {
            ["ask", name, ref query @ ..] => QueryStep::parse_send(name, query)?,
            ["raw", name, protocol, ..] => QueryStep::SendRaw {
                name,
                protocol: match protocol {
                    "http" => ClientProtocol::Http,
                    _ => ClientProtocol::JsonRpc,
                },
                text: text_after(line, 3),
            },
            ["drop", name] => QueryStep::Disconnect { name },
            ["leave", name] => QueryStep::DisconnectOnResponse { name },
            ["expect", name, ref outcome @ ..] => QueryStep::Expect {
                name,
                outcome: ExpectedOutcome::parse(outcome)?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }

    fn parse_send(name: &'a str, words: &[&'a str]) -> Result<QueryStep<'a>, StepError> {
        match *words {
            ["rpc", class, tenant, wait, ref statement @ ..] => Ok(QueryStep::SendJsonRpc {
                name,
                idempotency_key: None,
                class,
                tenant,
                wait_millis: parse_number(wait)?,
                statement: named_statement(name, statement),
            }),
            ["keyed", key, class, tenant, wait, ref statement @ ..] => Ok(QueryStep::SendJsonRpc {
                name,
                idempotency_key: (key != NO_KEY).then_some(key),
                class,
                tenant,
                wait_millis: parse_number(wait)?,
                statement: named_statement(name, statement),
            }),
            ["http", user, key, seconds, ref statement @ ..] => Ok(QueryStep::SendHttp {
                name,
                user,
                key,
                seconds,
                statement: named_statement(name, statement),
            }),
            _ => Err(StepError::InvalidAsk),
        }
    }
}

/// The statement of a query with the query's name in a comment, by which the stand-in engines
/// identify it.
pub(super) fn named_statement(name: &str, words: &[&str]) -> String {
    format!("{} /* {name} */", words.join(" "))
}

impl ExpectedOutcome {
    fn parse(words: &[&str]) -> Result<ExpectedOutcome, StepError> {
        match *words {
            ["served"] => Ok(ExpectedOutcome::Completed),
            ["served", rows] => Ok(ExpectedOutcome::CompletedRows(parse_count(rows)?)),
            ["refused"] => Ok(ExpectedOutcome::RejectedWithRetryAfter),
            ["failed"] => Ok(ExpectedOutcome::Failed),
            ["deadline"] => Ok(ExpectedOutcome::Deadline),
            ["cut"] => Ok(ExpectedOutcome::Interrupted),
            ["rejected", code] => match code.parse() {
                Ok(code) => Ok(ExpectedOutcome::RejectedWithCode(code)),
                Err(_) => Err(StepError::NotANumber(code.to_owned())),
            },
            _ => Err(StepError::UnknownOutcome),
        }
    }

    /// Whether a query has this outcome; its rows must be complete, in order, and those of this
    /// query.
    fn matches(&self, query: &str, outcome: &ClientOutcome) -> bool {
        match (self, outcome) {
            (ExpectedOutcome::Completed, ClientOutcome::Completed(text)) => {
                !text.is_empty() && *text == rows(query, text.lines().count())
            }
            (ExpectedOutcome::CompletedRows(count), ClientOutcome::Completed(text)) => {
                *text == rows(query, *count)
            }
            (ExpectedOutcome::RejectedWithRetryAfter, ClientOutcome::Rejected(retry_after)) => {
                retry_after.is_some()
            }
            (ExpectedOutcome::Failed, ClientOutcome::Failed(_))
            | (ExpectedOutcome::Deadline, ClientOutcome::Deadline)
            | (ExpectedOutcome::Interrupted, ClientOutcome::Interrupted) => true,
            (ExpectedOutcome::RejectedWithCode(code), ClientOutcome::Invalid(found)) => {
                code == found
            }
            _ => false,
        }
    }
}

impl ScenarioRun<'_> {
    pub(super) async fn execute_query_step(
        &mut self,
        step: QueryStep<'_>,
    ) -> Result<(), StepError> {
        match step {
            QueryStep::SendJsonRpc {
                name,
                idempotency_key,
                class,
                tenant,
                wait_millis,
                statement,
            } => {
                let key = self.next_client_request_id();
                let line = clients::rpc_line(1, class, &key, tenant, wait_millis, &statement);
                let line = match idempotency_key {
                    Some(key) => clients::keyed_line(key, &line),
                    None => line,
                };
                self.send_json_rpc(name, line)
            }
            QueryStep::SendHttp {
                name,
                user,
                key,
                seconds,
                statement,
            } => {
                let params = format!("query_id={name}&max_execution_time={seconds}");
                let request = clients::http_request(user, key, &params, &statement);
                self.send_http(name, request)
            }
            QueryStep::SendRaw {
                name,
                protocol,
                text,
            } => self.send_raw(name, protocol, text),
            QueryStep::Disconnect { name } => self.disconnect(name),
            QueryStep::DisconnectOnResponse { name } => {
                self.query_mut(name)?.disconnect_on_response.set(true);
                Ok(())
            }
            QueryStep::Expect { name, outcome } => self.expect_outcome(name, &outcome).await,
        }
    }

    fn query_mut(&mut self, name: &str) -> Result<&mut Query, StepError> {
        self.queries.get_mut(name).ok_or(StepError::UnknownQuery)
    }

    /// The request id that the client sends with the next query.
    pub(super) fn next_client_request_id(&self) -> String {
        format!("{:016x}", self.queries.len() + 1)
    }

    fn send_json_rpc(&mut self, name: &str, line: Vec<u8>) -> Result<(), StepError> {
        let addr = self.daemon()?.listen;
        let (outcome, disconnect_on_response) = (
            clients::PendingOutcome::default(),
            Rc::<Cell<bool>>::default(),
        );
        let (result, disconnect) = (outcome.clone(), disconnect_on_response.clone());
        let task = self.executor.spawn(async move {
            let ended = clients::rpc_with_disconnect(addr, &line, &disconnect).await;
            *result.borrow_mut() = Some(ended);
        });
        self.add_query(name, task, outcome, disconnect_on_response);
        Ok(())
    }

    fn send_http(&mut self, name: &str, request: Vec<u8>) -> Result<(), StepError> {
        self.daemon()?;
        let addr = self.http_addr;
        let (outcome, disconnect_on_response) = (
            clients::PendingOutcome::default(),
            Rc::<Cell<bool>>::default(),
        );
        let (result, disconnect) = (outcome.clone(), disconnect_on_response.clone());
        let task = self.executor.spawn(async move {
            let ended = clients::http_with_disconnect(addr, &request, &disconnect).await;
            *result.borrow_mut() = Some(ended);
        });
        self.add_query(name, task, outcome, disconnect_on_response);
        Ok(())
    }

    fn add_query(
        &mut self,
        name: &str,
        task: Task<()>,
        outcome: clients::PendingOutcome,
        disconnect_on_response: Rc<Cell<bool>>,
    ) {
        let query = Query {
            task: Some(task),
            outcome,
            disconnect_on_response,
            reported: false,
        };
        self.queries.insert(name.to_owned(), query);
    }

    /// Sends text unchanged, except that the escapes `\r`, `\n` and `\0` are replaced.
    fn send_raw(
        &mut self,
        name: &str,
        protocol: ClientProtocol,
        text: &str,
    ) -> Result<(), StepError> {
        let bytes = text
            .replace("\\r", "\r")
            .replace("\\n", "\n")
            .replace("\\0", "\0")
            .into_bytes();
        match protocol {
            ClientProtocol::JsonRpc => self.send_json_rpc(name, bytes),
            ClientProtocol::Http => self.send_http(name, bytes),
        }
    }

    fn disconnect(&mut self, name: &str) -> Result<(), StepError> {
        self.query_mut(name)?.task = None;
        Ok(())
    }

    /// Waits for the outcome of a query, reports it, and checks it.
    async fn expect_outcome(
        &mut self,
        name: &str,
        expected: &ExpectedOutcome,
    ) -> Result<(), StepError> {
        let query = self.query_mut(name)?;
        query.reported = true;
        let outcome = query.outcome.clone();
        wait_until(|| outcome.borrow().is_some()).await;
        let outcome = outcome.borrow().clone().ok_or(StepError::Timeout)?;
        (self.report)(&format!("{name}: {outcome}"));
        expect(expected.matches(name, &outcome), || format!("{outcome:?}"))
    }
}
