//! The ClickHouse HTTP interface for clients: one query at a time on a connection that is kept
//! alive.
use super::{DisconnectReason, Front, FrontendEvent};
use crate::clock::{MS, Micros, SEC};
use crate::config::clickhouse::{ClassRules, Users};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{ClientRequest, Failure, Origin, Response, Session};
use crate::http::{self, Body, Fault, Head};
use crate::policy::api::{ClassId, TenantId};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use std::cell::RefCell;
use std::rc::Rc;

/// A longer statement is refused.
const MOST_STATEMENT: usize = 256 * 1024;
/// What a client may have sent behind a request that is still open.
const MOST_AHEAD: usize = 64 * 1024;
/// What an idle connection keeps of its buffer.
const SMALL: usize = 4 * 1024;
/// Bytes of one chunk of an answer.
const CHUNK: usize = 32 * 1024;
const SERVER: &str = "X-ClickHouse-Server-Display-Name: yokelift\r\nX-ClickHouse-Timezone: UTC\r\n";

/// What all connections of this front share.
pub struct ClickHouseShared {
    /// Which statements belong to which class.
    pub rules: RefCell<ClassRules>,
    /// Who belongs to which tenant.
    pub users: RefCell<Users>,
    /// How long a class's clients wait over all their tries.
    pub deadlines: RefCell<Vec<Micros>>,
    /// The load classes, which change what they touch.
    pub loads: RefCell<Vec<bool>>,
    /// Whether all engines of the pool know databases, not only qualified names.
    pub databases: Box<dyn Fn() -> bool>,
    /// Whether clients are sent away: each answer says that its connection ends.
    pub stopping: Box<dyn Fn() -> bool>,
    /// Makes a name for a request: 16 hex digits, never the same.
    pub new_key: Box<dyn Fn() -> String>,
}

/// A refusal or an error of this front: status, ClickHouse's code and its name, and what was wrong.
type RequestError = (u16, u32, &'static str, &'static str);

const MALFORMED: RequestError = (
    400,
    27,
    "CANNOT_PARSE_INPUT_ASSERTION_FAILED",
    "the request is not HTTP/1.1",
);
const TOO_LONG: RequestError = (413, 307, "TOO_MANY_BYTES", "the statement is too long");
const HEAD_TOO_LONG: RequestError = (
    431,
    307,
    "TOO_MANY_BYTES",
    "the head of the request is too long",
);
const TOO_SLOW: RequestError = (
    408,
    209,
    "SOCKET_TIMEOUT",
    "the request did not come whole in time",
);
const NO_ROOM: RequestError = (
    503,
    202,
    "TOO_MANY_SIMULTANEOUS_QUERIES",
    "there is no room for long statements now: try again later",
);
const UNSUPPORTED: RequestError = (
    501,
    48,
    "NOT_IMPLEMENTED",
    "this transfer coding is not supported",
);
const NO_PAGE: RequestError = (404, 60, "UNKNOWN_TABLE", "there is no such page");
const NO_METHOD: RequestError = (405, 48, "NOT_IMPLEMENTED", "use GET or POST");
const NO_QUERY: RequestError = (400, 62, "SYNTAX_ERROR", "empty query");
const BAD_NUMBER: RequestError = (
    400,
    27,
    "CANNOT_PARSE_INPUT_ASSERTION_FAILED",
    "a setting is not a number",
);
const BAD_URL: RequestError = (
    400,
    27,
    "CANNOT_PARSE_INPUT_ASSERTION_FAILED",
    "the URL can't be read",
);
const NO_FORMAT: RequestError = (
    400,
    73,
    "UNKNOWN_FORMAT",
    "use TabSeparated, CSV or JSONCompactEachRow",
);
const NO_DATABASES: RequestError = (
    400,
    48,
    "NOT_IMPLEMENTED",
    "some engines take qualified names only: name the schema in the statement",
);
const READONLY: RequestError = (405, 164, "READONLY", "a statement that writes needs POST");
const UNKNOWN_USER: RequestError = (
    401,
    516,
    "AUTHENTICATION_FAILED",
    "the user is unknown or the key is wrong",
);
const NO_TENANT: RequestError = (403, 497, "ACCESS_DENIED", "the user belongs to no tenant");

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Tabs,
    Commas,
    JsonRows,
}

impl Format {
    fn named(name: &str) -> Option<(Format, &'static str, &'static str)> {
        match name {
            "" | "TabSeparated" | "TSV" => Some((
                Format::Tabs,
                "TabSeparated",
                "text/tab-separated-values; charset=UTF-8",
            )),
            "CSV" => Some((Format::Commas, "CSV", "text/csv; charset=UTF-8")),
            "JSONCompactEachRow" => Some((
                Format::JsonRows,
                "JSONCompactEachRow",
                "application/x-ndjson",
            )),
            _ => None,
        }
    }

    /// Rows come with tabs between columns and ClickHouse's escapes within them.
    fn put(self, rows: Vec<u8>) -> Vec<u8> {
        if self == Format::Tabs {
            return rows;
        }
        let mut out = Vec::with_capacity(rows.len() * 5 / 4);
        for row in rows.split_inclusive(|c| *c == b'\n') {
            let row = row.strip_suffix(b"\n").unwrap_or(row);
            out.extend_from_slice(if self == Format::JsonRows { b"[" } else { b"" });
            for (at, column) in row.split(|c| *c == b'\t').enumerate() {
                out.extend_from_slice(match (self, at) {
                    (_, 0) => b"",
                    (Format::JsonRows, _) => b", ",
                    _ => b",",
                });
                let value = unescape(column);
                match self {
                    Format::JsonRows => {
                        let value = value.map(|v| String::from_utf8_lossy(&v).into_owned());
                        out.extend(serde_json::to_vec(&value).unwrap_or_default());
                    }
                    _ => match value {
                        None => out.extend_from_slice(b"\\N"),
                        Some(value) => {
                            let doubled = |c: &u8| {
                                if *c == b'"' {
                                    vec![b'"', b'"']
                                } else {
                                    vec![*c]
                                }
                            };
                            out.push(b'"');
                            out.extend(value.iter().flat_map(doubled));
                            out.push(b'"');
                        }
                    },
                }
            }
            out.extend_from_slice(if self == Format::JsonRows {
                b"]\n"
            } else {
                b"\n"
            });
        }
        out
    }
}

/// A column's value without its escapes; `None` for null.
fn unescape(column: &[u8]) -> Option<Vec<u8>> {
    if column == b"\\N" {
        return None;
    }
    let (mut out, mut bytes) = (Vec::with_capacity(column.len()), column.iter().copied());
    while let Some(c) = bytes.next() {
        out.push(match c {
            b'\\' => match bytes.next() {
                Some(b't') => b'\t',
                Some(b'n') => b'\n',
                Some(b'r') => b'\r',
                Some(b'0') => 0,
                Some(b'b') => 8,
                Some(b'f') => 12,
                Some(other) => other,
                None => b'\\',
            },
            other => other,
        });
    }
    Some(out)
}

/// What the answer to the open request needs to know of it.
struct Busy {
    tag: u64,
    keep: bool,
    chunks: bool,
    query_id: String,
    format: (Format, &'static str, &'static str),
}

enum State {
    /// Before a request's head or within it.
    Head,
    /// In a request's body.
    Body(Head, Body, Vec<u8>),
    /// A request is open.
    Busy(Busy),
    /// Nothing more is read.
    Last,
}

/// One client connection.
pub struct ClickHouse {
    conn: u64,
    service: Rc<ClickHouseShared>,
    input: Vec<u8>,
    state: State,
    tags: u64,
    /// Since when the request has begun that is not whole, and how many were whole before it.
    began: Option<Micros>,
    seen: u64,
    useful: bool,
    strikes: u64,
}

impl ClickHouse {
    /// A new connection.
    pub fn new(conn: u64, service: Rc<ClickHouseShared>) -> ClickHouse {
        let (input, state, tags) = (Vec::new(), State::Head, 0);
        ClickHouse {
            conn,
            service,
            input,
            state,
            tags,
            began: None,
            seen: 0,
            useful: false,
            strikes: 0,
        }
    }

    /// Reads on until a request is open or more bytes are needed.
    fn advance(&mut self, now: Micros, said: &mut Vec<FrontendEvent>, replies: &mut Vec<u8>) {
        loop {
            match std::mem::replace(&mut self.state, State::Head) {
                State::Head => match http::head(&self.input) {
                    Ok(None) => return,
                    Ok(Some((head, used))) => {
                        self.input.drain(..used);
                        if !head.first[2].starts_with("HTTP/1.") {
                            return self.give_up(MALFORMED, replies);
                        }
                        match head.body(Body::Length(0)) {
                            // Said before its bytes are read, and before they are asked for.
                            Ok(Body::Length(n)) if n > MOST_STATEMENT as u64 => {
                                return self.give_up(TOO_LONG, replies);
                            }
                            Ok(body) => {
                                let waits = head.has_word("expect", "100-continue");
                                replies.extend_from_slice(match waits && body != Body::Length(0) {
                                    true => b"HTTP/1.1 100 Continue\r\n\r\n",
                                    false => b"",
                                });
                                self.state = State::Body(head, body, Vec::new());
                            }
                            Err(fault) => return self.give_up(wrong(fault), replies),
                        }
                    }
                    Err(fault) => return self.give_up(wrong(fault), replies),
                },
                State::Body(head, mut body, mut text) => {
                    match body.read(&self.input, &mut text, MOST_STATEMENT) {
                        Ok((used, whole)) => {
                            self.input.drain(..used);
                            if !whole {
                                self.state = State::Body(head, body, text);
                                return;
                            }
                            self.request(now, &head, text, said, replies);
                        }
                        Err(fault) => return self.give_up(wrong(fault), replies),
                    }
                }
                state @ (State::Busy(_) | State::Last) => {
                    self.state = state;
                    return;
                }
            }
        }
    }

    /// Reads on, and notes since when the request has begun that is not whole.
    fn read_on(&mut self, now: Micros, said: &mut Vec<FrontendEvent>, replies: &mut Vec<u8>) {
        let before = self.seen;
        self.advance(now, said, replies);
        let began = self.began.filter(|_| self.seen == before).unwrap_or(now);
        self.began = match self.state {
            State::Head if self.input.is_empty() => None,
            State::Head | State::Body(..) => Some(began),
            State::Busy(_) | State::Last => None,
        };
        if self.input.is_empty() {
            self.input.shrink_to(SMALL);
        }
    }

    /// Answers what can't be read, and reads nothing more: where the next request begins is not
    /// known.
    fn give_up(&mut self, what: RequestError, replies: &mut Vec<u8>) {
        self.strikes += 1;
        error(replies, what, "", false, (what == NO_ROOM).then_some(SEC));
        (self.input, self.state) = (Vec::new(), State::Last);
    }

    fn request(
        &mut self,
        now: Micros,
        head: &Head,
        body: Vec<u8>,
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) {
        self.seen += 1;
        let keep = head.keeps_alive(&head.first[2]) && !(self.service.stopping)();
        self.state = if keep { State::Head } else { State::Last };
        let method = head.first[0].as_str();
        let Some((path, pairs)) = http::target(&head.first[1]) else {
            self.strikes += 1;
            return error(replies, BAD_URL, "", keep, None);
        };
        let param = |name: &str| {
            pairs
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.as_str())
        };
        let answer_at = replies.len();
        match (method, path) {
            ("GET" | "POST", "/")
                if param("query").is_none() && body.is_empty() && method == "GET" =>
            {
                plain(replies, keep, "Ok.\n");
            }
            ("GET", "/ping") => plain(replies, keep, "Ok.\n"),
            ("HEAD", "/" | "/ping") => {
                let connection = if keep { "keep-alive" } else { "close" };
                let text = format!(
                    "HTTP/1.1 200 OK\r\nConnection: {connection}\r\nContent-Length: 4\r\n\r\n"
                );
                replies.extend_from_slice(text.as_bytes());
            }
            ("GET" | "POST", "/") => match self.ask(now, head, &pairs, body) {
                Ok((ask, busy)) => {
                    self.state = State::Busy(Busy { keep, ..busy });
                    said.push(FrontendEvent::Ask(ask));
                }
                Err(what) => error(
                    replies,
                    what,
                    param("query_id").unwrap_or_default(),
                    keep,
                    None,
                ),
            },
            (_, "/" | "/ping") => error(replies, NO_METHOD, "", keep, None),
            _ => error(replies, NO_PAGE, "", keep, None),
        }
        match replies.get(answer_at..answer_at + 10) {
            Some(b"HTTP/1.1 4" | b"HTTP/1.1 5") => self.strikes += 1,
            _ => self.useful = true,
        }
    }

    fn tenant(
        &self,
        head: &Head,
        pairs: &[(String, String)],
    ) -> Result<(String, TenantId), RequestError> {
        let param = |name: &str| {
            pairs
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.clone())
        };
        let basic = head.field("authorization").map(|value| {
            let (scheme, coded) = value.split_once(' ').unwrap_or((value, ""));
            let text = BASE64_STANDARD
                .decode(coded.trim())
                .ok()
                .and_then(|t| String::from_utf8(t).ok());
            let text = text
                .filter(|_| scheme.eq_ignore_ascii_case("basic"))
                .ok_or(UNKNOWN_USER)?;
            let (user, key) = text.split_once(':').ok_or(UNKNOWN_USER)?;
            Ok((user.to_owned(), key.to_owned()))
        });
        let field = |name: &str| head.field(name).map(str::to_owned);
        let (user, key) = match (field("x-clickhouse-user"), basic) {
            (Some(user), _) => (user, field("x-clickhouse-key").unwrap_or_default()),
            (None, Some(basic)) => basic?,
            (None, None) => (
                param("user").unwrap_or_else(|| "default".into()),
                param("password").unwrap_or_default(),
            ),
        };
        let users = self.service.users.borrow();
        let known = users.find(&user, &key).ok_or(UNKNOWN_USER)?;
        let tenant = known.ok_or(NO_TENANT)?;
        Ok((user, tenant))
    }

    fn ask(
        &mut self,
        now: Micros,
        head: &Head,
        pairs: &[(String, String)],
        body: Vec<u8>,
    ) -> Result<(ClientRequest, Busy), RequestError> {
        let param = |name: &str| {
            pairs
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.as_str())
        };
        let (user, tenant) = self.tenant(head, pairs)?;
        // The statement begins in the URL and goes on in the body.
        let mut statement = param("query").unwrap_or_default().as_bytes().to_vec();
        if !statement.is_empty() && !body.is_empty() {
            statement.push(b'\n');
        }
        statement.extend(body);
        if statement.iter().all(u8::is_ascii_whitespace) {
            return Err(NO_QUERY);
        }
        if statement.len() > MOST_STATEMENT {
            return Err(TOO_LONG);
        }
        let named = param("default_format")
            .or(head.field("x-clickhouse-format"))
            .unwrap_or_default();
        let format = Format::named(named).ok_or(NO_FORMAT)?;
        let number = |name: &str| match param(name).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(Some(n).filter(|n| *n > 0.0)),
            Some(_) => Err(BAD_NUMBER),
        };
        let database = param("database").or(head.field("x-clickhouse-database"));
        let database = database.filter(|d| !d.is_empty() && *d != "default");
        if database.is_some() && !(self.service.databases)() {
            return Err(NO_DATABASES);
        }
        let class = self.service.rules.borrow().class(&user, &statement);
        let at = usize::from(class.0);
        // Both kinds of statement may come by POST; GET is for what only reads, as caches and
        // proxies hold it.
        if head.first[0] == "GET"
            && self
                .service
                .loads
                .borrow()
                .get(at)
                .copied()
                .unwrap_or(false)
        {
            return Err(READONLY);
        }
        let deadline = self
            .service
            .deadlines
            .borrow()
            .get(at)
            .copied()
            .unwrap_or(SEC);
        let limit = number("max_execution_time")?.map(|s| (s.min(1e6) * SEC as f64) as Micros);
        let memory_mb = number("max_memory_usage")?.map(|bytes| bytes / f64::from(1 << 20));
        let key = (self.service.new_key)();
        let query_id = param("query_id")
            .filter(|id| !id.is_empty())
            .unwrap_or(&key)
            .to_owned();
        self.tags += 1;
        let session = Session {
            database: database.map(Into::into),
            query_id: Some(query_id.as_str().into()),
        };
        let ask = ClientRequest {
            origin: Origin {
                conn: self.conn,
                tag: self.tags,
            },
            client_request_id: key.into(),
            class: ClassId(class.0),
            tenant,
            deadline: now + limit.unwrap_or(deadline).min(deadline).max(MS),
            work_estimate: None,
            memory_mb,
            is_retry: false,
            statement: statement.into(),
            session: Some(Rc::new(session)),
            idempotency_key: None,
        };
        let chunks = head.first[2] != "HTTP/1.0";
        Ok((
            ask,
            Busy {
                tag: self.tags,
                keep: true,
                chunks,
                query_id,
                format,
            },
        ))
    }
}

fn wrong(fault: Fault) -> RequestError {
    match fault {
        Fault::Malformed => MALFORMED,
        Fault::HeadTooLong => HEAD_TOO_LONG,
        Fault::BodyTooLong => TOO_LONG,
        Fault::Unsupported => UNSUPPORTED,
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        405 => "Method Not Allowed",
        413 => "Payload Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}

/// A value from a client goes back in a header only without what could end the header.
fn clean(value: &str) -> String {
    value
        .chars()
        .filter(|c| !c.is_control())
        .take(256)
        .collect()
}

fn start(replies: &mut Vec<u8>, status: u16, keep: bool, query_id: &str) {
    let connection = if keep { "keep-alive" } else { "close" };
    let line = format!(
        "HTTP/1.1 {status} {}\r\nConnection: {connection}\r\n{SERVER}",
        reason(status)
    );
    replies.extend_from_slice(line.as_bytes());
    if !query_id.is_empty() {
        replies.extend_from_slice(
            format!("X-ClickHouse-Query-Id: {}\r\n", clean(query_id)).as_bytes(),
        );
    }
}

fn plain(replies: &mut Vec<u8>, keep: bool, text: &str) {
    start(replies, 200, keep, "");
    let rest = format!(
        "Content-Type: text/html; charset=UTF-8\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    replies.extend_from_slice(rest.as_bytes());
}

fn error(
    replies: &mut Vec<u8>,
    what: RequestError,
    query_id: &str,
    keep: bool,
    after: Option<Micros>,
) {
    let (status, code, name, text) = what;
    start(replies, status, keep, query_id);
    let body = format!("Code: {code}. DB::Exception: {text}. ({name})\n");
    let mut fields = format!("X-ClickHouse-Exception-Code: {code}\r\n");
    if status == 401 {
        fields += "WWW-Authenticate: Basic realm=\"yokelift\"\r\n";
    }
    if let Some(after) = after {
        fields += &format!("Retry-After: {}\r\n", after.div_ceil(SEC).max(1));
    }
    let length = body.len();
    let rest = format!(
        "{fields}Content-Type: text/plain; charset=UTF-8\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    replies.extend_from_slice(rest.as_bytes());
}

impl Front for ClickHouse {
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if matches!(self.state, State::Last) {
            return Ok(());
        }
        self.input.extend_from_slice(input);
        self.read_on(now, said, replies);
        let ahead = matches!(self.state, State::Busy(_)) && self.input.len() > MOST_AHEAD;
        if ahead {
            Err(Termination::LocalLimit)
        } else {
            Ok(())
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        tag: u64,
        answer: Response,
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) {
        let busy = match std::mem::replace(&mut self.state, State::Head) {
            State::Busy(busy) if busy.tag == tag => busy,
            state => {
                self.state = state;
                return;
            }
        };
        let (id, keep) = (
            busy.query_id.as_str(),
            busy.keep && !(self.service.stopping)(),
        );
        match answer {
            Response::Completed(rows) => {
                let (format, name, mime) = busy.format;
                let count = rows.iter().filter(|c| **c == b'\n').count();
                let summary = format!(
                    "{{\"result_rows\":\"{count}\",\"result_bytes\":\"{}\"}}",
                    rows.len()
                );
                let rows = format.put(rows);
                start(replies, 200, keep, id);
                let fields = format!(
                    "Content-Type: {mime}\r\nX-ClickHouse-Format: {name}\r\nX-ClickHouse-Summary: {summary}\r\n"
                );
                replies.extend_from_slice(fields.as_bytes());
                if busy.chunks {
                    // If the connection ends within the answer, no last chunk tells that it is not
                    // whole.
                    replies.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                    for chunk in rows.chunks(CHUNK) {
                        replies.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                        replies.extend_from_slice(chunk);
                        replies.extend_from_slice(b"\r\n");
                    }
                    replies.extend_from_slice(b"0\r\n\r\n");
                } else {
                    replies.extend_from_slice(
                        format!("Content-Length: {}\r\n\r\n", rows.len()).as_bytes(),
                    );
                    replies.extend_from_slice(&rows);
                }
            }
            Response::Rejected(after) => {
                let text = "the pool is full, the query did not run: try again later";
                let what = (503, 202, "TOO_MANY_SIMULTANEOUS_QUERIES", text);
                error(replies, what, id, keep, Some(after.unwrap_or(SEC)));
            }
            Response::Failed(why) => error(replies, failure(why), id, keep, None),
            // Connections of this front are not passed on.
            Response::Preformatted(_) => {}
        }
        self.state = if keep { State::Head } else { State::Last };
        self.read_on(now, said, replies);
    }

    fn open(&self) -> usize {
        usize::from(matches!(self.state, State::Busy(_)))
    }

    fn began(&self) -> Option<Micros> {
        self.began
    }

    fn held(&self) -> usize {
        self.input.len()
            + if let State::Body(_, _, text) = &self.state {
                text.len()
            } else {
                0
            }
    }

    fn cut_off(&mut self, why: DisconnectReason, replies: &mut Vec<u8>) {
        self.began = None;
        // What is ahead of its turn is dropped; the connection ends behind the answer that is owed.
        if let State::Busy(busy) = &mut self.state {
            (busy.keep, self.input) = (false, Vec::new());
            return;
        }
        self.give_up(
            if why == DisconnectReason::Late {
                TOO_SLOW
            } else {
                NO_ROOM
            },
            replies,
        );
    }

    fn useful(&self) -> bool {
        self.useful
    }

    fn strikes(&self) -> u64 {
        self.strikes
    }

    fn last(&self) -> bool {
        matches!(self.state, State::Last)
    }
}

/// What has failed may have run, so no status here is one that client libraries repeat by
/// themselves.
fn failure(why: Failure) -> RequestError {
    match why {
        Failure::Deadline => (
            500,
            159,
            "TIMEOUT_EXCEEDED",
            "the time for the query was up",
        ),
        Failure::InUse => (
            500,
            216,
            "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING",
            "the name of the query is in use",
        ),
        Failure::NotSent => (500, 439, "CANNOT_SCHEDULE_TASK", "the query was not sent"),
        Failure::Attempt(Termination::EngineError) => (
            500,
            1002,
            "UNKNOWN_EXCEPTION",
            "the engine reported an error",
        ),
        Failure::Attempt(_) => (
            500,
            279,
            "ALL_CONNECTION_TRIES_FAILED",
            "the connection to the engine broke",
        ),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/clickhouse.rs"]
mod tests;
