//! A stand-in engine of the platform's protocol.
use super::{EngineBehavior, EngineState, Stream, reset, rows, write};
use crate::testkit::execution_log::{RunId, RunOutcome};
use crate::testkit::{Executor, pause};
use futures_lite::AsyncReadExt;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The number of rows in a page.
const PAGE_ROWS: usize = 4;
const READ_BUFFER_BYTES: usize = 8_192;
const LINE_END: &[u8] = b"\r\n";

/// The queries of a connection, by the client's identifier.
#[derive(Default)]
struct Queries {
    runs: BTreeMap<String, RunId>,
    pages: BTreeMap<String, Vec<String>>,
}

/// A client's connection.
struct Connection<'a> {
    state: &'a Rc<EngineState>,
    stream: &'a Stream,
    executor: &'a Executor,
    queries: Rc<RefCell<Queries>>,
    input: Vec<u8>,
}

/// Whether the connection stays open after a command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterCommand {
    Continue,
    Close,
}

/// Serves a connection until it ends, which cancels its queries.
pub(super) async fn serve(state: &Rc<EngineState>, stream: &Stream, executor: &Executor) {
    let mut connection = Connection {
        state,
        stream,
        executor,
        queries: Rc::default(),
        input: Vec::new(),
    };
    while let Some(line) = connection.read_line().await {
        if connection.execute(&line).await == AfterCommand::Close {
            break;
        }
    }
    for run in connection.queries.borrow().runs.values() {
        state.log.record_end(*run, RunOutcome::Cancelled);
    }
}

impl Connection<'_> {
    /// Reads more input. Returns whether there was any.
    async fn read_more(&mut self) -> bool {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        match (&**self.stream).read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.input.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    /// Takes the next line from the input, without its line end.
    async fn read_line(&mut self) -> Option<String> {
        loop {
            let end = self.input.windows(2).position(|bytes| bytes == LINE_END);
            if let Some(end) = end {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + LINE_END.len());
                return Some(line);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Takes a body of this length and the line end after it from the input. Returns the body.
    async fn read_body(&mut self, length: usize) -> Option<Vec<u8>> {
        let total = length + LINE_END.len();
        while self.input.len() < total {
            if !self.read_more().await {
                return None;
            }
        }
        let mut body: Vec<u8> = self.input.drain(..total).collect();
        body.truncate(length);
        Some(body)
    }

    async fn execute(&mut self, line: &str) -> AfterCommand {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["do", id, fields, length] => {
                let Some(statement) = self.read_body(length.parse().unwrap_or(0)).await else {
                    return AfterCommand::Close;
                };
                return self.start_query(id, fields, &statement);
            }
            ["undo", id] => self.cancel_query(id),
            ["bump", id, priority] => self.set_priority(id, priority),
            ["page", id, number] => self.send_page(id, number.parse().unwrap_or(0)).await,
            ["forget", id] => {
                self.queries.borrow_mut().pages.remove(id);
            }
            ["ping" | "top", id] => self.respond_to_probe(id).await,
            _ => return AfterCommand::Close,
        }
        AfterCommand::Continue
    }

    fn start_query(&self, id: &str, fields: &str, statement: &[u8]) -> AfterCommand {
        let fields = fields
            .split(',')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let log = &self.state.log;
        let run = log.record_start(&self.state.name, id, statement, fields);
        self.queries.borrow_mut().runs.insert(id.to_owned(), run);
        let has_free_session = self.state.running.get() < self.state.options.max_sessions;
        let behavior = if has_free_session {
            self.state.next_behavior()
        } else {
            EngineBehavior::Reject
        };
        if behavior == EngineBehavior::Reset {
            reset(self.stream);
            return AfterCommand::Close;
        }
        let query = RunningQuery {
            state: self.state.clone(),
            stream: self.stream.clone(),
            queries: self.queries.clone(),
            id: id.to_owned(),
            run,
        };
        self.executor.spawn(query.run(behavior)).detach();
        AfterCommand::Continue
    }

    fn cancel_query(&self, id: &str) {
        if let Some(run) = self.queries.borrow_mut().runs.remove(id) {
            self.state.log.record_end(run, RunOutcome::Cancelled);
        }
    }

    fn set_priority(&self, id: &str, priority: &str) {
        if let Some(run) = self.queries.borrow().runs.get(id) {
            self.state.log.record_priority(*run, priority);
        }
    }

    async fn send_page(&self, id: &str, number: usize) {
        let page = self.page(id, number);
        let message = match page {
            Some(page) => format!("{id} MORE sheet={number} {}\r\n{page}\r\n", page.len()),
            None => format!("{id} BROKE - 0\r\n\r\n"),
        };
        write(self.stream, message.as_bytes()).await;
    }

    fn page(&self, id: &str, number: usize) -> Option<String> {
        let queries = self.queries.borrow();
        let pages = queries.pages.get(id)?;
        pages.get(number).cloned()
    }

    async fn respond_to_probe(&self, id: &str) {
        self.state.log.record_probe(&self.state.name);
        let message = format!("{id} FIT meter=queue:0;util:0.25 0\r\n\r\n");
        write(self.stream, message.as_bytes()).await;
    }
}

/// A running query.
struct RunningQuery {
    state: Rc<EngineState>,
    stream: Stream,
    queries: Rc<RefCell<Queries>>,
    /// The client's identifier of the query.
    id: String,
    run: RunId,
}

impl RunningQuery {
    async fn run(self, behavior: EngineBehavior) {
        let id = &self.id;
        match behavior {
            EngineBehavior::Complete { after_millis, rows } => {
                self.complete(after_millis, rows).await;
            }
            // The response announces more pages than exist: a request for one of them fails.
            EngineBehavior::FailWithinResponse => {
                let message = format!("{id} DONE sheets=3 6\r\na\tb\tc\n\r\n");
                self.finish(RunOutcome::Responded, &message).await;
            }
            EngineBehavior::Reject => {
                self.state.log.remove_key(self.run);
                let message = format!("{id} WAIT - 0\r\n\r\n");
                self.finish(RunOutcome::Rejected, &message).await;
            }
            EngineBehavior::Fail => {
                let message = format!("{id} BROKE - 0\r\n\r\n");
                self.finish(RunOutcome::Responded, &message).await;
            }
            EngineBehavior::ViolateProtocol => {
                self.finish(RunOutcome::Responded, "what is this\r\n").await;
            }
            EngineBehavior::Hang | EngineBehavior::Reset => {}
        }
    }

    async fn complete(&self, after_millis: u64, row_count: usize) {
        let run = self.state.log.run(self.run);
        // A query whose idempotency key was used before does not run again: its result is available
        // at once.
        let work_millis = if run.deduplicated { 0 } else { after_millis };
        let running = &self.state.running;
        running.set(running.get() + 1);
        pause(work_millis).await;
        running.set(running.get() - 1);
        if !self.state.log.is_running(self.run) {
            return;
        }
        let pages = pages(&rows(&run.query, row_count));
        let first = pages.first().cloned().unwrap_or_default();
        let fields = format!("sheets={},toil={work_millis},room=8", pages.len().max(1));
        let message = format!("{} DONE {fields} {}\r\n{first}\r\n", self.id, first.len());
        self.queries
            .borrow_mut()
            .pages
            .insert(self.id.clone(), pages);
        self.finish(RunOutcome::Responded, &message).await;
    }

    async fn finish(&self, outcome: RunOutcome, message: &str) {
        self.queries.borrow_mut().runs.remove(&self.id);
        self.state.log.record_end(self.run, outcome);
        write(&self.stream, message.as_bytes()).await;
    }
}

/// Splits rows into pages of [`PAGE_ROWS`] rows.
fn pages(rows: &str) -> Vec<String> {
    let rows: Vec<&str> = rows.split_inclusive('\n').collect();
    rows.chunks(PAGE_ROWS).map(<[&str]>::concat).collect()
}
