//! Stand-in engines: one speaks the platform's lines, the other the ClickHouse HTTP interface. Both
//! do with the next query what they were told to.
use super::{ExecutionLog, Executor, RunEnd, listener, pause};
use crate::http::{self, Body, Head};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// What an engine does with a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Answers after some milliseconds with so many rows.
    Rows(u64, usize),
    /// Turns it away: it never ran.
    Full,
    /// Answers with an error.
    Break,
    /// Never answers.
    Hang,
    /// Resets the connection once the query has come whole.
    Reset,
    /// Begins an answer and fails within it.
    Late,
    /// Answers with what is not its protocol.
    Garble,
}

struct State {
    name: String,
    http: bool,
    /// Queries that it runs at once, and those that it runs.
    sessions: usize,
    running: Cell<usize>,
    script: RefCell<VecDeque<EngineBehavior>>,
    book: ExecutionLog,
    /// Its connections.
    streams: RefCell<Vec<std::rc::Weak<Async<TcpStream>>>>,
}

/// A stand-in engine.
pub struct Engine {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it speaks HTTP.
    pub http: bool,
    state: Rc<State>,
    /// Its processes, so to speak: without them it is down.
    task: Option<async_executor::Task<()>>,
}

/// The rows that a query gets: its name in each, so that a mix-up shows.
pub fn rows(query: &str, count: usize) -> String {
    (0..count)
        .map(|n| format!("{query}\t{n}\tvalue\n"))
        .collect()
}

/// Pages hold whole rows, a few each.
const SHEET: usize = 4;

type Stream = Rc<Async<TcpStream>>;

impl Engine {
    /// Starts one.
    pub fn start(executor: &Executor, name: &str, http: bool, book: ExecutionLog) -> Engine {
        Engine::with(executor, name, http, book, usize::MAX)
    }

    /// Starts one of a model that runs so many queries at once and turns away what is more.
    pub fn with(
        executor: &Executor,
        name: &str,
        http: bool,
        book: ExecutionLog,
        sessions: usize,
    ) -> Engine {
        let (listener, addr) = listener();
        let state = Rc::new(State {
            name: name.to_owned(),
            http,
            sessions,
            running: Cell::new(0),
            script: RefCell::default(),
            book,
            streams: RefCell::default(),
        });
        let (all, spawner) = (state.clone(), executor.clone());
        let task = executor.spawn(async move {
            let mut conns = Vec::new();
            let mut incoming = Box::pin(listener.incoming());
            while let Some(Ok(stream)) = incoming.next().await {
                let (state, stream, executor) = (all.clone(), Rc::new(stream), spawner.clone());
                state.streams.borrow_mut().push(Rc::downgrade(&stream));
                // Dropped with the engine, and with them the sockets.
                conns.push(spawner.spawn(async move {
                    match state.http {
                        true => serve_http(&state, &stream).await,
                        false => serve_lines(&state, &stream, &executor).await,
                    }
                }));
            }
        });
        Engine {
            addr,
            http,
            state,
            task: Some(task),
        }
    }

    /// What to do with the next query that has nothing else to wait for.
    pub fn next(&self, act: EngineBehavior) {
        self.state.script.borrow_mut().push_back(act);
    }

    /// Connections that it has accepted.
    pub fn connects(&self) -> usize {
        self.state.streams.borrow().len()
    }

    /// Those of them that are open.
    pub fn open(&self) -> usize {
        self.state
            .streams
            .borrow()
            .iter()
            .filter(|stream| stream.strong_count() > 0)
            .count()
    }

    /// Whether it takes connections.
    pub fn serves(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// The process ends: its connections with it, and new ones are refused.
    pub fn down(&mut self) {
        self.task = None;
        let streams = self.state.streams.borrow();
        streams
            .iter()
            .filter_map(std::rc::Weak::upgrade)
            .for_each(|stream| hang_up(&stream));
    }
}

impl State {
    fn act(&self) -> EngineBehavior {
        let any = self.book.any.borrow_mut().pop_front();
        any.or_else(|| self.script.borrow_mut().pop_front())
            .unwrap_or(EngineBehavior::Rows(1, 3))
    }
}

fn hang_up(stream: &Stream) {
    // Linger of no time makes the close a reset.
    let _ =
        rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(std::time::Duration::ZERO));
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
}

async fn say(stream: &Stream, bytes: &[u8]) {
    let _ = (&**stream).write_all(bytes).await;
}

#[derive(Default)]
struct Lines {
    runs: BTreeMap<String, usize>,
    sheets: BTreeMap<String, Vec<String>>,
}

async fn serve_lines(state: &Rc<State>, stream: &Stream, executor: &Executor) {
    let (mut input, mut buffer) = (Vec::new(), vec![0; 8192]);
    let lines: Rc<RefCell<Lines>> = Rc::default();
    loop {
        let Some(end) = input.windows(2).position(|w| w == b"\r\n") else {
            match (&**stream).read(&mut buffer).await {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                _ => break,
            }
            continue;
        };
        let line = String::from_utf8_lossy(&input[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let mut used = end + 2;
        match words[..] {
            ["do", id, fields, length] => {
                let length: usize = length.parse().unwrap_or(0);
                while input.len() < used + length + 2 {
                    match (&**stream).read(&mut buffer).await {
                        Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                        _ => break,
                    }
                }
                if input.len() < used + length + 2 {
                    break;
                }
                let fields = fields.split(',').filter_map(|f| f.split_once('='));
                let fields = fields
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect();
                let run = state
                    .book
                    .begin_with(&state.name, &input[used..used + length], fields);
                let query = state.book.runs.borrow()[run].query.clone();
                used += length + 2;
                lines.borrow_mut().runs.insert(id.to_owned(), run);
                let act = if state.running.get() < state.sessions {
                    state.act()
                } else {
                    EngineBehavior::Full
                };
                if act == EngineBehavior::Reset {
                    hang_up(stream);
                    break;
                }
                let (state, stream, lines, id) =
                    (state.clone(), stream.clone(), lines.clone(), id.to_owned());
                executor
                    .spawn(
                        async move { answer(&state, &stream, &lines, &id, run, &query, act).await },
                    )
                    .detach();
            }
            ["undo", id] => {
                let run = lines.borrow_mut().runs.remove(id);
                run.into_iter()
                    .for_each(|run| state.book.end(run, RunEnd::GivenUp));
            }
            ["bump", id, urgency] => {
                let run = lines.borrow().runs.get(id).copied();
                run.into_iter()
                    .for_each(|run| state.book.bump(run, urgency));
            }
            ["page", id, n] => {
                let n: usize = n.parse().unwrap_or(0);
                let sheet = lines
                    .borrow()
                    .sheets
                    .get(id)
                    .and_then(|s| s.get(n))
                    .cloned();
                match sheet {
                    Some(text) => {
                        say(
                            stream,
                            format!("{id} MORE sheet={n} {}\r\n{text}\r\n", text.len()).as_bytes(),
                        )
                        .await
                    }
                    None => say(stream, format!("{id} BROKE - 0\r\n\r\n").as_bytes()).await,
                }
            }
            ["forget", id] => drop(lines.borrow_mut().sheets.remove(id)),
            ["ping" | "top", tag] => {
                state.book.probed(&state.name);
                let text = format!("{tag} FIT meter=queue:0;util:0.25 0\r\n\r\n");
                say(stream, text.as_bytes()).await;
            }
            _ => break,
        }
        input.drain(..used);
    }
    for run in lines.borrow().runs.values() {
        state.book.end(*run, RunEnd::GivenUp);
    }
}

async fn answer(
    state: &State,
    stream: &Stream,
    lines: &RefCell<Lines>,
    id: &str,
    run: usize,
    query: &str,
    act: EngineBehavior,
) {
    let (text, how) = match act {
        EngineBehavior::Rows(ms, count) => {
            // What it knows by its key it does not run again: the answer is there.
            let ms = if state.book.runs.borrow()[run].dropped {
                0
            } else {
                ms
            };
            state.running.set(state.running.get() + 1);
            pause(ms).await;
            state.running.set(state.running.get() - 1);
            if !state.book.runs_on(run) {
                return;
            }
            let rows = rows(query, count);
            let all: Vec<&str> = rows.split_inclusive('\n').collect();
            let sheets: Vec<String> = all.chunks(SHEET).map(<[&str]>::concat).collect();
            let first = sheets.first().cloned().unwrap_or_default();
            let fields = format!("sheets={},toil={ms},room=8", sheets.len().max(1));
            lines.borrow_mut().sheets.insert(id.to_owned(), sheets);
            (
                format!("{id} DONE {fields} {}\r\n{first}\r\n", first.len()),
                RunEnd::Answered,
            )
        }
        // More pages than there are: the engine has lost them by the time they are asked for.
        EngineBehavior::Late => (
            format!("{id} DONE sheets=3 6\r\na\tb\tc\n\r\n"),
            RunEnd::Answered,
        ),
        EngineBehavior::Full => {
            state.book.unknown(run);
            (format!("{id} WAIT - 0\r\n\r\n"), RunEnd::TurnedAway)
        }
        EngineBehavior::Break => (format!("{id} BROKE - 0\r\n\r\n"), RunEnd::Answered),
        EngineBehavior::Garble => ("what is this\r\n".to_owned(), RunEnd::Answered),
        EngineBehavior::Hang | EngineBehavior::Reset => return,
    };
    lines.borrow_mut().runs.remove(id);
    state.book.end(run, how);
    say(stream, text.as_bytes()).await;
}

/// Reads one HTTP message; `None` once the peer has closed.
pub async fn read_http(
    stream: &Async<TcpStream>,
    input: &mut Vec<u8>,
    without: Body,
) -> Option<(Head, Vec<u8>)> {
    let (mut buffer, mut body) = (vec![0; 8192], Vec::new());
    let mut head: Option<(Head, Body)> = None;
    loop {
        if head.is_none()
            && let Some((found, used)) = http::head(input).ok()?
        {
            input.drain(..used);
            let framing = found.body(without).ok()?;
            head = Some((found, framing));
        }
        if let Some((_, framing)) = &mut head {
            let (used, whole) = framing.read(input, &mut body, 1 << 22).ok()?;
            input.drain(..used);
            if whole {
                return head.map(|(head, _)| (head, body));
            }
        }
        match (&*stream).read(&mut buffer).await {
            Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

fn whole(status: &str, fields: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn serve_http(state: &Rc<State>, stream: &Stream) {
    let mut input = Vec::new();
    while let Some((head, body)) = read_http(stream, &mut input, Body::Length(0)).await {
        if head.first[1] == "/ping" {
            say(stream, &whole("200 OK", "", "Ok.\n")).await;
            continue;
        }
        let run = state.book.begin(&state.name, &body);
        let query = state.book.runs.borrow()[run].query.clone();
        let error = |code: u32| {
            (
                format!("X-ClickHouse-Exception-Code: {code}\r\n"),
                format!("Code: {code}. DB::Exception: no\n"),
            )
        };
        let act = state.act();
        match act {
            EngineBehavior::Rows(ms, count) => {
                // A closed connection gives the query up.
                let mut byte = [0; 1];
                let closed = async { !matches!((&**stream).read(&mut byte).await, Ok(n) if n > 0) };
                let done = async {
                    pause(ms).await;
                    false
                };
                if futures_lite::future::or(done, closed).await {
                    return state.book.end(run, RunEnd::GivenUp);
                }
                let rows = rows(&query, count);
                let fields = "Transfer-Encoding: chunked\r\nX-ClickHouse-Format: TabSeparated\r\n";
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{fields}\r\n{:x}\r\n{rows}\r\n0\r\n\r\n",
                    rows.len()
                );
                let empty = format!("HTTP/1.1 200 OK\r\n{fields}\r\n0\r\n\r\n");
                state.book.end(run, RunEnd::Answered);
                say(
                    stream,
                    if rows.is_empty() {
                        empty.as_bytes()
                    } else {
                        text.as_bytes()
                    },
                )
                .await;
            }
            EngineBehavior::Full => {
                let (fields, text) = error(202);
                state.book.end(run, RunEnd::TurnedAway);
                say(stream, &whole("503 Service Unavailable", &fields, &text)).await;
            }
            EngineBehavior::Break => {
                let (fields, text) = error(241);
                state.book.end(run, RunEnd::Answered);
                say(stream, &whole("500 Internal Server Error", &fields, &text)).await;
            }
            EngineBehavior::Late => {
                // Rows, then the end of the connection and no last chunk.
                state.book.end(run, RunEnd::Answered);
                say(
                    stream,
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\tb\n\r\n",
                )
                .await;
                return;
            }
            EngineBehavior::Garble => {
                state.book.end(run, RunEnd::Answered);
                return say(stream, b"what is this\r\n\r\n").await;
            }
            EngineBehavior::Reset => {
                state.book.end(run, RunEnd::GivenUp);
                return hang_up(stream);
            }
            EngineBehavior::Hang => {
                let mut byte = [0; 1];
                let _ = (&**stream).read(&mut byte).await;
                return state.book.end(run, RunEnd::GivenUp);
            }
        }
    }
}
