//! Test and rehearsal kit: stand-ins for all that the daemon talks to, on loopback, and short
//! scripted scenarios. The repository's own tests use the same stand-ins.
pub mod audit;
pub mod blocked_links;
pub mod clients;
pub mod coordinator;
pub mod daemon;
pub mod directory;
pub mod engines;
pub mod fault_proxy;
pub mod fleet;
pub mod membership_simulation;
pub mod plot;
pub mod probe_simulation;
pub mod scale;
pub mod scenario;

use crate::clock::{self, Micros};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
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
    /// What stood with it, where the wire has fields: its key, its grant, its priority.
    pub fields: BTreeMap<String, String>,
    /// A repeat that the engines knew by its key: it changed nothing.
    pub dropped: bool,
    /// Priorities that it was given while it ran, in order.
    pub bumps: Vec<String>,
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
pub struct ExecutionLog {
    runs: Rc<RefCell<Vec<Run>>>,
    drains: Rc<RefCell<Vec<Drain>>>,
    probes: Rc<RefCell<Vec<(String, Micros)>>>,
    /// When the first run under each key began.
    keys: Rc<RefCell<BTreeMap<String, Micros>>>,
    terms: Rc<Cell<Terms>>,
    /// What whichever engine gets the next query does with it.
    any: Rc<RefCell<VecDeque<engines::EngineBehavior>>>,
}

/// What the settings allow, as the rules need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Attempts of a request that may be out together.
    pub copies: usize,
    /// Attempts that it may have.
    pub attempts: usize,
    /// How long all engines together know a key.
    pub window: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            copies: 1,
            attempts: 3,
            window: 0,
        }
    }
}

/// The drain rule's time, with the extra that sockets have.
const DRAIN_GRACE: Micros = 300_000;

impl ExecutionLog {
    /// A query came; the number of its run.
    pub fn begin(&self, engine: &str, statement: &[u8]) -> usize {
        self.begin_with(engine, statement, BTreeMap::new())
    }

    /// What the settings allow.
    pub fn allow(&self, terms: Terms) {
        self.terms.set(terms);
    }

    /// A query came with fields; the number of its run.
    pub fn begin_with(
        &self,
        engine: &str,
        statement: &[u8],
        fields: BTreeMap<String, String>,
    ) -> usize {
        let text = String::from_utf8_lossy(statement);
        let query = text
            .rsplit("/* ")
            .next()
            .and_then(|t| t.split(" */").next())
            .unwrap_or_default()
            .to_owned();
        let load = text.trim_start().to_ascii_lowercase().starts_with("insert");
        let from = clock::turn();
        let known = |key: &String| {
            let mut keys = self.keys.borrow_mut();
            keys.retain(|_, at| *at + self.terms.get().window > from);
            let known = keys.contains_key(key);
            keys.entry(key.clone()).or_insert(from);
            known
        };
        let dropped = fields.get("nonce").is_some_and(known);
        let engine = engine.to_owned();
        let run = Run {
            query,
            engine,
            load,
            fields,
            dropped,
            bumps: Vec::new(),
            from,
            end: None,
        };
        self.runs.borrow_mut().push(run);
        self.runs.borrow().len() - 1
    }

    /// Its run ended; the first end counts.
    pub fn end(&self, run: usize, how: RunEnd) {
        let end = &mut self.runs.borrow_mut()[run].end;
        *end = end.or(Some((clock::turn(), how)));
    }

    /// Whichever engine gets the next query does this with it.
    pub fn next(&self, act: engines::EngineBehavior) {
        self.any.borrow_mut().push_back(act);
    }

    /// It was given a new priority.
    pub fn bump(&self, run: usize, urgency: &str) {
        self.runs.borrow_mut()[run].bumps.push(urgency.to_owned());
    }

    /// It was turned away after all: its key is not known by it.
    pub fn unknown(&self, run: usize) {
        let runs = self.runs.borrow();
        if let Some(key) = runs[run].fields.get("nonce").filter(|_| !runs[run].dropped) {
            self.keys.borrow_mut().remove(key);
        }
    }

    /// Whether it still runs.
    pub fn runs_on(&self, run: usize) -> bool {
        self.runs.borrow()[run].end.is_none()
    }

    /// The runs of a query.
    pub fn of(&self, query: &str) -> Vec<Run> {
        self.runs
            .borrow()
            .iter()
            .filter(|r| r.query == query)
            .cloned()
            .collect()
    }

    /// An engine was asked for its load.
    pub fn probed(&self, engine: &str) {
        self.probes
            .borrow_mut()
            .push((engine.to_owned(), clock::turn()));
    }

    /// How often that engine was asked for its load.
    pub fn probes(&self, engine: &str) -> usize {
        self.probes
            .borrow()
            .iter()
            .filter(|(name, _)| name == engine)
            .count()
    }

    /// The daemon was told that an engine drains or is gone.
    pub fn drained(&self, engine: &str) {
        let drain = Drain {
            engine: engine.to_owned(),
            told: clock::turn(),
            resumed: None,
        };
        self.drains.borrow_mut().push(drain);
    }

    /// It was told that the engine takes work again.
    pub fn resumed(&self, engine: &str) {
        let now = clock::turn();
        for drain in self
            .drains
            .borrow_mut()
            .iter_mut()
            .filter(|d| d.engine == engine && d.resumed.is_none())
        {
            drain.resumed = Some(now);
        }
    }

    /// The rules that were broken, one line each.
    pub fn broken(&self) -> Vec<String> {
        let (runs, mut broken) = (self.runs.borrow(), Vec::new());
        for (at, run) in runs.iter().enumerate() {
            let others = || runs.iter().take(at).filter(|o| o.query == run.query);
            let Terms {
                copies,
                attempts,
                window,
            } = self.terms.get();
            let open = |o: &&Run| o.end.is_none_or(|(end, _)| end > run.from);
            if others().filter(open).count() >= copies {
                broken.push(format!(
                    "{}: more attempts were out at once than may be",
                    run.query
                ));
            }
            let ran = |o: &&Run| o.end.is_none_or(|(_, how)| how != RunEnd::TurnedAway);
            // Under one key, and while engines know it, a repeat changes nothing.
            let key = |run: &Run| run.fields.get("nonce").cloned();
            let known =
                |o: &Run| key(o).is_some() && key(o) == key(run) && run.from < o.from + window;
            if run.load && others().any(|o| ran(&o) && !known(o)) {
                broken.push(format!(
                    "{}: a load was sent again after it may have run",
                    run.query
                ));
            }
            if others().count() >= attempts {
                broken.push(format!("{}: more than {attempts} attempts", run.query));
            }
            let late = |d: &&Drain| {
                d.engine == run.engine
                    && run.from > d.told + DRAIN_GRACE
                    && d.resumed.is_none_or(|resumed| run.from < resumed)
            };
            if self.drains.borrow().iter().any(|d| late(&d)) {
                broken.push(format!(
                    "{}: sent to {} after its drain",
                    run.query, run.engine
                ));
            }
        }
        broken
    }
}
