//! Steps about queries whose client has a connection of its own.
use super::error::{StepError, expect};
use super::{Query, Stage, count, number, text_after};
use crate::testkit::clients::{self, ClientOutcome};
use crate::testkit::engines::rows;
use crate::testkit::wait_until;
use async_executor::Task;
use std::cell::Cell;
use std::rc::Rc;

/// The idempotency key of a query without one.
const NO_KEY: &str = "-";

/// A protocol of the daemon's clients.
#[derive(Clone, Copy)]
pub(super) enum ClientProtocol {
    JsonRpc,
    Http,
}

/// The outcome that a step expects.
pub(super) enum ExpectedOutcome {
    /// All rows, at least one.
    Served,
    /// That many rows.
    ServedRows(usize),
    /// Rejected with advice when to retry.
    Refused,
    Failed,
    Deadline,
    Disconnected,
    /// Not accepted, with a code of JSON-RPC or a status of HTTP.
    Rejected(i64),
}

/// A step about a query.
pub(super) enum QueryStep<'a> {
    AskJsonRpc {
        name: &'a str,
        idempotency_key: Option<&'a str>,
        class: &'a str,
        tenant: &'a str,
        wait_millis: u64,
        statement: String,
    },
    AskHttp {
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
    DisconnectWithinResponse {
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
            ["ask", name, ref query @ ..] => QueryStep::parse_ask(name, query)?,
            ["raw", name, protocol, ..] => QueryStep::SendRaw {
                name,
                protocol: match protocol {
                    "http" => ClientProtocol::Http,
                    _ => ClientProtocol::JsonRpc,
                },
                text: text_after(line, 3),
            },
            ["drop", name] => QueryStep::Disconnect { name },
            ["leave", name] => QueryStep::DisconnectWithinResponse { name },
            ["expect", name, ref outcome @ ..] => QueryStep::Expect {
                name,
                outcome: ExpectedOutcome::parse(outcome)?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }

    fn parse_ask(name: &'a str, words: &[&'a str]) -> Result<QueryStep<'a>, StepError> {
        match *words {
            ["rpc", class, tenant, wait, ref statement @ ..] => Ok(QueryStep::AskJsonRpc {
                name,
                idempotency_key: None,
                class,
                tenant,
                wait_millis: number(wait)?,
                statement: named_statement(name, statement),
            }),
            ["keyed", key, class, tenant, wait, ref statement @ ..] => Ok(QueryStep::AskJsonRpc {
                name,
                idempotency_key: (key != NO_KEY).then_some(key),
                class,
                tenant,
                wait_millis: number(wait)?,
                statement: named_statement(name, statement),
            }),
            ["http", user, key, seconds, ref statement @ ..] => Ok(QueryStep::AskHttp {
                name,
                user,
                key,
                seconds,
                statement: named_statement(name, statement),
            }),
            _ => Err(StepError::UnknownQueryForm),
        }
    }
}

/// The statement of a query, with its name in a comment by which engines know it.
pub(super) fn named_statement(name: &str, words: &[&str]) -> String {
    format!("{} /* {name} */", words.join(" "))
}

impl ExpectedOutcome {
    fn parse(words: &[&str]) -> Result<ExpectedOutcome, StepError> {
        match *words {
            ["served"] => Ok(ExpectedOutcome::Served),
            ["served", rows] => Ok(ExpectedOutcome::ServedRows(count(rows)?)),
            ["refused"] => Ok(ExpectedOutcome::Refused),
            ["failed"] => Ok(ExpectedOutcome::Failed),
            ["deadline"] => Ok(ExpectedOutcome::Deadline),
            ["cut"] => Ok(ExpectedOutcome::Disconnected),
            ["rejected", code] => match code.parse() {
                Ok(code) => Ok(ExpectedOutcome::Rejected(code)),
                Err(_) => Err(StepError::NotANumber(code.to_owned())),
            },
            _ => Err(StepError::UnknownOutcome),
        }
    }

    /// Whether a query had this outcome; rows have to be complete, in order, and its own.
    fn matches(&self, query: &str, outcome: &ClientOutcome) -> bool {
        match (self, outcome) {
            (ExpectedOutcome::Served, ClientOutcome::Completed(text)) => {
                !text.is_empty() && *text == rows(query, text.lines().count())
            }
            (ExpectedOutcome::ServedRows(count), ClientOutcome::Completed(text)) => {
                *text == rows(query, *count)
            }
            (ExpectedOutcome::Refused, ClientOutcome::Rejected(retry_after)) => {
                retry_after.is_some()
            }
            (ExpectedOutcome::Failed, ClientOutcome::Failed(_))
            | (ExpectedOutcome::Deadline, ClientOutcome::Deadline)
            | (ExpectedOutcome::Disconnected, ClientOutcome::Interrupted) => true,
            (ExpectedOutcome::Rejected(code), ClientOutcome::Invalid(found)) => code == found,
            _ => false,
        }
    }
}

impl Stage<'_> {
    pub(super) async fn execute_query(&mut self, step: QueryStep<'_>) -> Result<(), StepError> {
        match step {
            QueryStep::AskJsonRpc {
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
                self.ask_json_rpc(name, line)
            }
            QueryStep::AskHttp {
                name,
                user,
                key,
                seconds,
                statement,
            } => {
                let params = format!("query_id={name}&max_execution_time={seconds}");
                let request = clients::http_request(user, key, &params, &statement);
                self.ask_http(name, request)
            }
            QueryStep::SendRaw {
                name,
                protocol,
                text,
            } => self.send_raw(name, protocol, text),
            QueryStep::Disconnect { name } => self.disconnect(name),
            QueryStep::DisconnectWithinResponse { name } => {
                self.query_mut(name)?.disconnects.set(true);
                Ok(())
            }
            QueryStep::Expect { name, outcome } => self.expect_outcome(name, &outcome).await,
        }
    }

    fn query_mut(&mut self, name: &str) -> Result<&mut Query, StepError> {
        self.queries.get_mut(name).ok_or(StepError::UnknownQuery)
    }

    /// The client's identifier of the next query.
    pub(super) fn next_client_request_id(&self) -> String {
        format!("{:016x}", self.queries.len() + 1)
    }

    fn ask_json_rpc(&mut self, name: &str, line: Vec<u8>) -> Result<(), StepError> {
        let addr = self.daemon()?.listen;
        let (outcome, disconnects) = (
            clients::PendingOutcome::default(),
            Rc::<Cell<bool>>::default(),
        );
        let (result, leaves) = (outcome.clone(), disconnects.clone());
        let task = self.executor.spawn(async move {
            let ended = clients::rpc_with_disconnect(addr, &line, &leaves).await;
            *result.borrow_mut() = Some(ended);
        });
        self.add_query(name, task, outcome, disconnects);
        Ok(())
    }

    fn ask_http(&mut self, name: &str, request: Vec<u8>) -> Result<(), StepError> {
        self.daemon()?;
        let addr = self.http_addr;
        let (outcome, disconnects) = (
            clients::PendingOutcome::default(),
            Rc::<Cell<bool>>::default(),
        );
        let (result, leaves) = (outcome.clone(), disconnects.clone());
        let task = self.executor.spawn(async move {
            let ended = clients::http_with_disconnect(addr, &request, &leaves).await;
            *result.borrow_mut() = Some(ended);
        });
        self.add_query(name, task, outcome, disconnects);
        Ok(())
    }

    fn add_query(
        &mut self,
        name: &str,
        task: Task<()>,
        outcome: clients::PendingOutcome,
        disconnects: Rc<Cell<bool>>,
    ) {
        let query = Query {
            task: Some(task),
            outcome,
            disconnects,
            reported: false,
        };
        self.queries.insert(name.to_owned(), query);
    }

    /// Sends bytes as they are, with the escapes of a line replaced.
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
            ClientProtocol::JsonRpc => self.ask_json_rpc(name, bytes),
            ClientProtocol::Http => self.ask_http(name, bytes),
        }
    }

    fn disconnect(&mut self, name: &str) -> Result<(), StepError> {
        self.query_mut(name)?.task = None;
        Ok(())
    }

    /// Waits for the outcome of a query and compares it.
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
