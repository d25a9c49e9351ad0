//! Engines that speak the ClickHouse HTTP interface: one query at a time on a connection that is
//! kept alive.
use super::{BackendEvent, Protocol};
use crate::clock::{MS, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::http::{self, Body, Head};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};
use std::rc::Rc;

/// An answer longer than this is not gathered.
const MOST_ROWS: usize = 256 * 1024;
/// Between two pieces of one answer no more time than this passes: it is written once the query has
/// ended.
const GAP: Micros = 2 * SEC;
/// The field that tells whose answer it is.
const QUERY_ID: &str = "x-clickhouse-query-id";
/// The code of an engine that has too many queries: it has not looked at this one.
const TOO_MANY_QUERIES: u32 = 202;
/// An exception's text in a body begins so.
const CODE: &[u8] = b"Code: ";

/// Who the manager is to an engine.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The user; empty for none.
    pub user: String,
    /// The user's key.
    pub key: String,
}

enum Asked {
    /// With the name that it goes by there.
    Query(RequestId, Rc<str>),
    Ping(u64),
    /// Given up: what comes is for nobody.
    Nobody,
}

/// One connection to a ClickHouse engine.
pub struct ClickHouse {
    login: Rc<Credentials>,
    asked: Option<Asked>,
    input: Vec<u8>,
    answer: Option<(Head, Body)>,
    rows: Vec<u8>,
    reusable: bool,
    /// When the last bytes of an answer came that is not whole.
    heard_at: Option<Micros>,
}

impl ClickHouse {
    /// A new connection.
    pub fn new(login: Rc<Credentials>) -> ClickHouse {
        let (input, rows) = (Vec::new(), Vec::new());
        ClickHouse {
            login,
            asked: None,
            input,
            answer: None,
            rows,
            reusable: true,
            heard_at: None,
        }
    }

    fn headers(&self) -> String {
        let Credentials { user, key } = &*self.login;
        let login = match user.is_empty() {
            true => String::new(),
            false => format!("X-ClickHouse-User: {user}\r\nX-ClickHouse-Key: {key}\r\n"),
        };
        format!("Host: engine\r\nUser-Agent: yokelift\r\n{login}")
    }

    /// An answer is whole: what does it say?
    fn whole(&mut self, said: &mut Vec<BackendEvent>) {
        let Some((head, _)) = self.answer.take() else {
            return;
        };
        self.heard_at = None;
        let rows = std::mem::take(&mut self.rows);
        self.reusable &= head.keeps_alive(&head.first[0]);
        let code = head
            .field("x-clickhouse-exception-code")
            .and_then(|c| c.parse().ok());
        // Some versions write a late error behind the rows and end the body as if all were well.
        let lines = rows.strip_suffix(b"\n").unwrap_or(&rows);
        let last = lines.rsplit(|c| *c == b'\n').next().unwrap_or_default();
        let late = || {
            Some(last)
                .filter(|l| contains(l, b". DB::Exception: "))
                .and_then(code_in)
        };
        let code = code.or_else(|| {
            if head.first[1] == "200" {
                late()
            } else {
                code_in(&rows)
            }
        });
        let load = LoadReport::default();
        match (self.asked.take(), head.first[1].as_str(), code) {
            (Some(Asked::Query(id, _)), "200", None) if same_columns(&rows) => said.push(
                BackendEvent::Ended(id, Termination::Done, rows, load, Cost::default()),
            ),
            // Its own word that it took nothing on. Any other error may come after the query began.
            (Some(Asked::Query(id, _)), "503", Some(TOO_MANY_QUERIES)) => {
                said.push(BackendEvent::Ended(
                    id,
                    Termination::Rejected,
                    Vec::new(),
                    load,
                    Cost::default(),
                ));
            }
            (Some(Asked::Query(id, _)), _, _) => said.push(BackendEvent::Ended(
                id,
                Termination::EngineError,
                Vec::new(),
                load,
                Cost::default(),
            )),
            (Some(Asked::Ping(n)), "200", _) => {
                said.push(BackendEvent::Probed(n, OutcomeKind::Ok, load))
            }
            (Some(Asked::Ping(n)), _, _) => {
                said.push(BackendEvent::Probed(n, OutcomeKind::Error, load))
            }
            (Some(Asked::Nobody) | None, _, _) => {}
        }
    }

    fn end(&mut self, end: Termination, said: &mut Vec<BackendEvent>) {
        self.reusable = false;
        if let Some(Asked::Query(id, _)) = self.asked.take() {
            said.push(BackendEvent::Ended(
                id,
                end,
                Vec::new(),
                LoadReport::default(),
                Cost::default(),
            ));
        }
    }
}

/// Whether rows are whole and have the same columns. Guards against passing noise on as an answer.
fn same_columns(rows: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|c| **c == b'\t').count();
    let lines = rows
        .strip_suffix(b"\n")
        .map(|all| all.split(|c| *c == b'\n').map(columns));
    rows.is_empty()
        || lines.is_some_and(|mut lines| lines.next().is_none_or(|n| lines.all(|m| m == n)))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|w| w == part)
}

fn code_in(body: &[u8]) -> Option<u32> {
    let digits = body.strip_prefix(CODE)?;
    let end = digits.iter().position(|c| !c.is_ascii_digit())?;
    std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
}

impl Protocol for ClickHouse {
    fn streams(&self) -> usize {
        1
    }

    fn start(&mut self, now: Micros, job: &AttemptRequest) -> Vec<u8> {
        let seconds = job.deadline.saturating_sub(now).max(MS) as f64 / SEC as f64;
        let session = job.session.as_deref();
        let id = session
            .and_then(|s| s.query_id.as_deref())
            .unwrap_or(&job.client_request_id);
        self.asked = Some(Asked::Query(job.id, id.into()));
        let id = http::escape(id);
        let mut path =
            format!("/?query_id={id}&max_execution_time={seconds:.3}&default_format=TabSeparated");
        // So an error shows in the status where it can, and a closed connection ends a query that
        // only reads.
        path += "&wait_end_of_query=1&cancel_http_readonly_queries_on_client_close=1";
        if let Some(database) = session.and_then(|s| s.database.as_deref()) {
            path += &format!("&database={}", http::escape(database));
        }
        if job.memory_mb > 0.0 {
            path += &format!(
                "&max_memory_usage={}",
                (job.memory_mb.ceil() as u64).saturating_mul(1 << 20)
            );
        }
        let (headers, length) = (self.headers(), job.statement.len());
        let head = format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&job.statement);
        bytes
    }

    /// Only closing the connection gives a query up.
    fn stop(&mut self, _: RequestId) -> Option<Vec<u8>> {
        self.asked = Some(Asked::Nobody);
        self.reusable = false;
        None
    }

    fn probe(&mut self, number: u64) -> Vec<u8> {
        self.asked = Some(Asked::Ping(number));
        format!("GET /ping HTTP/1.1\r\n{}\r\n", self.headers()).into_bytes()
    }

    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<BackendEvent>,
        _: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        self.heard_at = Some(now);
        self.input.extend_from_slice(input);
        while !self.input.is_empty() {
            if self.answer.is_none() {
                let Some((head, used)) =
                    http::head(&self.input).map_err(|_| Termination::ProtocolViolation)?
                else {
                    break;
                };
                let version = head.first[0].as_str();
                // An answer that nobody asked for: the two sides no longer agree on what belongs to
                // what.
                if self.asked.is_none() || !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
                    return Err(Termination::ProtocolViolation);
                }
                self.input.drain(..used);
                if head.first[1].starts_with('1') {
                    continue;
                }
                let bare = matches!(head.first[1].as_str(), "204" | "304");
                let without = if bare {
                    Body::Length(0)
                } else {
                    Body::UntilClose
                };
                let body = head
                    .body(without)
                    .map_err(|_| Termination::ProtocolViolation)?;
                // Guards against a second copy, or an answer to an earlier query: where it tells
                // whose it is.
                if let (Some(Asked::Query(_, mine)), Some(theirs)) =
                    (&self.asked, head.field(QUERY_ID))
                    && **mine != *theirs
                {
                    return Err(Termination::ProtocolViolation);
                }
                if matches!(body, Body::Length(n) if n > MOST_ROWS as u64) {
                    self.end(Termination::EngineError, said);
                    return Err(Termination::Dropped);
                }
                self.answer = Some((head, body));
            }
            let Some((_, body)) = &mut self.answer else {
                break;
            };
            match body.read(&self.input, &mut self.rows, MOST_ROWS) {
                Ok((used, whole)) => {
                    self.input.drain(..used);
                    match whole {
                        true => self.whole(said),
                        false => break,
                    }
                }
                Err(http::Fault::BodyTooLong) => {
                    self.end(Termination::EngineError, said);
                    return Err(Termination::Dropped);
                }
                Err(_) => return Err(Termination::ProtocolViolation),
            }
        }
        // A body of no bytes is whole with its head.
        if let Some((_, Body::Length(0))) = self.answer {
            self.whole(said);
        }
        let partial = self.answer.is_some() || !self.input.is_empty();
        self.heard_at = self.heard_at.filter(|_| partial);
        Ok(())
    }

    fn next_due(&self) -> Option<Micros> {
        self.heard_at.map(|at| at + GAP)
    }

    fn due(
        &mut self,
        now: Micros,
        _: &mut Vec<BackendEvent>,
        _: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if self.heard_at.is_some_and(|at| at + GAP <= now) {
            Err(Termination::Unresponsive)
        } else {
            Ok(())
        }
    }

    /// Guards against a cut-off answer that passes for a whole one: only a body with no length of
    /// its own may end with the connection; one that promised more has failed.
    fn finish(&mut self, said: &mut Vec<BackendEvent>) {
        match self.answer {
            Some((_, Body::UntilClose)) => self.whole(said),
            Some(_) => self.end(Termination::EngineError, said),
            None => {}
        }
        self.reusable = false;
    }

    fn reusable(&self) -> bool {
        self.reusable
    }
}
