//! Test and rehearsal kit: stand-ins for all that the daemon talks to, on loopback, and short scripted scenarios.
//! The repository's own tests use the same stand-ins.
pub mod audit;
pub mod clients;
pub mod coordinator;
pub mod daemon;
pub mod directory;
pub mod emulator;
pub mod engines;
pub mod fleet;
pub mod plot;
pub mod relay;
pub mod script;
pub mod soundings;

use crate::clock::{self, Micros};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Where the stand-ins run.
pub type Executor = Rc<LocalExecutor<'static>>;

/// A listener on a free port of the loopback.
pub fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free loopback port");
    let addr = listener.get_ref().local_addr().expect("the port's address");
    (listener, addr)
}

/// Waits until it holds, for as long as a slow machine may need. Tells whether it came to hold.
pub async fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    for _ in 0..6_000 {
        if holds() {
            return true;
        }
        pause(5).await;
    }
    false
}

/// Waits for some milliseconds.
pub async fn pause(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// Gives up on what does not come in a time that no machine needs.
pub async fn in_time<T>(what: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(what.await) }, async {
        pause(30_000).await;
        None
    })
    .await
}

/// How a query's run on an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The engine's answer was written whole, or its error.
    Answered,
    /// It was turned away and did not run.
    TurnedAway,
    /// It was given up: by word, or by closing the connection.
    GivenUp,
}

/// A query on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The query's name, from the comment at the end of its statement.
    pub query: String,
    /// The engine.
    pub engine: String,
    /// It changes what it touches.
    pub load: bool,
    /// When it had come whole.
    pub from: Micros,
    /// When and how it ended.
    pub end: Option<(Micros, RunEnd)>,
}

struct Drain {
    engine: String,
    told: Micros,
    resumed: Option<Micros>,
}

/// What all stand-in engines saw, in one book, and what the rules say of it.
#[derive(Clone, Default)]
pub struct Book {
    runs: Rc<RefCell<Vec<Run>>>,
    drains: Rc<RefCell<Vec<Drain>>>,
    probes: Rc<RefCell<Vec<(String, Micros)>>>,
}

/// The drain rule's time, with the extra that sockets have.
const DRAIN_GRACE: Micros = 300_000;

impl Book {
    /// A query came; the number of its run.
    pub fn begin(&self, engine: &str, statement: &[u8]) -> usize {
        let text = String::from_utf8_lossy(statement);
        let query =
            text.rsplit("/* ").next().and_then(|t| t.split(" */").next()).unwrap_or_default().to_owned();
        let load = text.trim_start().to_ascii_lowercase().starts_with("insert");
        let run = Run { query, engine: engine.to_owned(), load, from: clock::turn(), end: None };
        self.runs.borrow_mut().push(run);
        self.runs.borrow().len() - 1
    }

    /// Its run ended; the first end counts.
    pub fn end(&self, run: usize, how: RunEnd) {
        let end = &mut self.runs.borrow_mut()[run].end;
        *end = end.or(Some((clock::turn(), how)));
    }

    /// Whether it still runs.
    pub fn runs_on(&self, run: usize) -> bool {
        self.runs.borrow()[run].end.is_none()
    }

    /// The runs of a query.
    pub fn of(&self, query: &str) -> Vec<Run> {
        self.runs.borrow().iter().filter(|r| r.query == query).cloned().collect()
    }

    /// An engine was asked for its load.
    pub fn probed(&self, engine: &str) {
        self.probes.borrow_mut().push((engine.to_owned(), clock::turn()));
    }

    /// How often that engine was asked for its load.
    pub fn probes(&self, engine: &str) -> usize {
        self.probes.borrow().iter().filter(|(name, _)| name == engine).count()
    }

    /// The daemon was told that an engine drains or is gone.
    pub fn drained(&self, engine: &str) {
        let drain = Drain { engine: engine.to_owned(), told: clock::turn(), resumed: None };
        self.drains.borrow_mut().push(drain);
    }

    /// It was told that the engine takes work again.
    pub fn resumed(&self, engine: &str) {
        let now = clock::turn();
        for drain in self.drains.borrow_mut().iter_mut().filter(|d| d.engine == engine && d.resumed.is_none())
        {
            drain.resumed = Some(now);
        }
    }

    /// The rules that were broken, one line each.
    pub fn broken(&self) -> Vec<String> {
        let (runs, mut broken) = (self.runs.borrow(), Vec::new());
        for (at, run) in runs.iter().enumerate() {
            let others = || runs.iter().take(at).filter(|o| o.query == run.query);
            if others().any(|o| o.end.is_none_or(|(end, _)| end > run.from)) {
                broken.push(format!("{}: two attempts were out at once", run.query));
            }
            let ran = |o: &&Run| o.end.is_none_or(|(_, how)| how != RunEnd::TurnedAway);
            if run.load && others().any(|o| ran(&o)) {
                broken.push(format!("{}: a load was sent again after it may have run", run.query));
            }
            if others().count() >= 3 {
                broken.push(format!("{}: more than three attempts", run.query));
            }
            let late = |d: &&Drain| {
                d.engine == run.engine
                    && run.from > d.told + DRAIN_GRACE
                    && d.resumed.is_none_or(|resumed| run.from < resumed)
            };
            if self.drains.borrow().iter().any(|d| late(&d)) {
                broken.push(format!("{}: sent to {} after its drain", run.query, run.engine));
            }
        }
        broken
    }
}
