//! A log of the queries and probes that all stand-in engines received, and the checks of invariants
//! on it.
use super::engines::EngineBehavior;
use crate::clock::{self, MS, Micros};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long after its announcement a drain has to take effect, with an allowance for socket delays.
const DRAIN_GRACE_MICROS: Micros = 300 * MS;
/// The field that holds the idempotency key of a query.
const KEY_FIELD: &str = "nonce";

/// How a run of a query on an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The engine wrote a response, or an error.
    Responded,
    /// The engine rejected the query, which did not run.
    Rejected,
    /// The query was cancelled, by a command or by the end of the connection.
    Cancelled,
}

/// The end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// When it ended.
    pub at: Micros,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// Identifies a run in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(usize);

/// A run of a query on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The query's name, from the comment at the end of its statement.
    pub query: String,
    /// The identifier under which the daemon sent it.
    pub request_id: String,
    /// The engine.
    pub engine: String,
    /// Whether the query changes data, so that it may not run twice.
    pub is_load: bool,
    /// The fields that were sent with it, if the protocol has fields: idempotency key, memory grant
    /// and priority.
    pub fields: BTreeMap<String, String>,
    /// Whether its idempotency key was used before, so that it changed nothing.
    pub deduplicated: bool,
    /// The priorities that it was assigned while it ran, in order.
    pub priorities: Vec<String>,
    /// When the engine had received the whole query.
    pub started_at: Micros,
    /// Its end, once it has ended.
    pub end: Option<RunEnd>,
}

impl Run {
    fn idempotency_key(&self) -> Option<&String> {
        self.fields.get(KEY_FIELD)
    }

    fn was_in_flight_at(&self, at: Micros) -> bool {
        self.end.is_none_or(|end| end.at > at)
    }

    /// Whether the engine may have executed the query.
    fn may_have_run(&self) -> bool {
        self.end
            .is_none_or(|end| end.outcome != RunOutcome::Rejected)
    }

    /// Whether this run has the idempotency key of an earlier one, within the time for which the
    /// engines store it.
    fn repeats_by_key(&self, earlier: &Run, key_window: Micros) -> bool {
        let has_same_key =
            self.idempotency_key().is_some() && self.idempotency_key() == earlier.idempotency_key();
        has_same_key && self.started_at < earlier.started_at + key_window
    }
}

/// A period in which the daemon may not send queries to an engine.
struct Drain {
    engine: String,
    announced_at: Micros,
    resumed_at: Option<Micros>,
}

impl Drain {
    fn forbids(&self, run: &Run) -> bool {
        let took_effect = run.started_at > self.announced_at + DRAIN_GRACE_MICROS;
        let is_resumed = self.resumed_at.is_some_and(|at| run.started_at >= at);
        self.engine == run.engine && took_effect && !is_resumed
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More attempts of a query were in flight at the same time than the settings allow.
    #[error("{query}: more concurrent attempts than allowed")]
    ConcurrentAttempts {
        /// The query.
        query: String,
    },
    /// A query that changes data was retried although it may have run.
    #[error("{query}: a load was retried although it may have run")]
    RepeatedLoad {
        /// The query.
        query: String,
    },
    /// A query had more attempts than the settings allow.
    #[error("{query}: more than {max_attempts} attempts")]
    TooManyAttempts {
        /// The query.
        query: String,
        /// The number of attempts that the settings allow.
        max_attempts: usize,
    },
    /// Two queries were sent under one identifier, by which engines tell queries apart.
    #[error("{query}: sent under the identifier of {other}")]
    SharedRequestId {
        /// The query.
        query: String,
        /// The query that had the identifier before.
        other: String,
    },
    /// A query was sent to an engine that was draining or removed.
    #[error("{query}: sent to {engine} after its drain")]
    SentAfterDrain {
        /// The query.
        query: String,
        /// The engine.
        engine: String,
    },
}

/// The limits that the settings set on attempts and keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionLimits {
    /// The number of attempts of a request that may be in flight at the same time.
    pub max_concurrent: usize,
    /// The total number of attempts of a request.
    pub max_attempts: usize,
    /// How long the engines store an idempotency key. All engines share one set of keys.
    pub key_window: Micros,
}

impl ExecutionLimits {
    /// The limits in a daemon's settings.
    pub fn of_settings(settings: &Value) -> ExecutionLimits {
        let limits = &settings["limits"];
        let hedging = limits["second_copies"] == true;
        let classes = settings["classes"].as_array().into_iter().flatten();
        let key_window_nanos = classes
            .filter(|class| class["semantics"] == "token")
            .filter_map(|class| class["window_ns"].as_u64())
            .max();
        ExecutionLimits {
            max_concurrent: if hedging { 2 } else { 1 },
            max_attempts: limits["send_cap"].as_u64().unwrap_or(1) as usize,
            key_window: clock::micros(key_window_nanos.unwrap_or(0)),
        }
    }
}

impl Default for ExecutionLimits {
    fn default() -> ExecutionLimits {
        ExecutionLimits {
            max_concurrent: 1,
            max_attempts: 3,
            key_window: 0,
        }
    }
}

/// A health check or load probe that an engine received.
pub(super) struct ReceivedProbe {
    engine: String,
}

/// The log of all stand-in engines. Clones share one log.
#[derive(Clone, Default)]
pub struct ExecutionLog {
    pub(super) runs: Rc<RefCell<Vec<Run>>>,
    pub(super) probes: Rc<RefCell<Vec<ReceivedProbe>>>,
    drains: Rc<RefCell<Vec<Drain>>>,
    /// The stored idempotency keys, each with the start of the first run that had it.
    keys: Rc<RefCell<BTreeMap<String, Micros>>>,
    limits: Rc<Cell<ExecutionLimits>>,
    /// How the next queries are handled, at whichever engine they arrive.
    behaviors: Rc<RefCell<VecDeque<EngineBehavior>>>,
}

impl ExecutionLog {
    /// Sets the limits that are checked.
    pub fn set_limits(&self, limits: ExecutionLimits) {
        self.limits.set(limits);
    }

    /// Records that an engine received a query under this identifier.
    pub fn record_start(
        &self,
        engine: &str,
        request_id: &str,
        statement: &[u8],
        fields: BTreeMap<String, String>,
    ) -> RunId {
        let statement = String::from_utf8_lossy(statement);
        let started_at = clock::read();
        let key = fields.get(KEY_FIELD);
        let deduplicated = key.is_some_and(|key| self.store_key(key, started_at));
        let run = Run {
            query: query_name(&statement).to_owned(),
            request_id: request_id.to_owned(),
            engine: engine.to_owned(),
            is_load: is_load(&statement),
            fields,
            deduplicated,
            priorities: Vec::new(),
            started_at,
            end: None,
        };
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        RunId(runs.len() - 1)
    }

    /// Stores an idempotency key. Returns whether it was already stored.
    fn store_key(&self, key: &str, now: Micros) -> bool {
        let key_window = self.limits.get().key_window;
        let mut keys = self.keys.borrow_mut();
        keys.retain(|_, first_at| *first_at + key_window > now);
        let is_known = keys.contains_key(key);
        keys.entry(key.to_owned()).or_insert(now);
        is_known
    }

    /// Records the end of a run, unless it has already ended.
    pub fn record_end(&self, run: RunId, outcome: RunOutcome) {
        let end = &mut self.runs.borrow_mut()[run.0].end;
        let at = clock::read();
        end.get_or_insert(RunEnd { at, outcome });
    }

    /// Records that an engine's process ended, which cancelled its running queries.
    pub fn record_engine_end(&self, engine: &str) {
        let end = RunEnd {
            at: clock::read(),
            outcome: RunOutcome::Cancelled,
        };
        let mut runs = self.runs.borrow_mut();
        for run in runs.iter_mut().filter(|run| run.engine == engine) {
            run.end.get_or_insert(end);
        }
    }

    /// Records a new priority of a run.
    pub fn record_priority(&self, run: RunId, priority: &str) {
        let mut runs = self.runs.borrow_mut();
        runs[run.0].priorities.push(priority.to_owned());
    }

    /// Removes the idempotency key of a rejected run, unless an earlier run had it as well.
    pub fn remove_key(&self, run: RunId) {
        let runs = self.runs.borrow();
        let run = &runs[run.0];
        if let Some(key) = run.idempotency_key().filter(|_| !run.deduplicated) {
            self.keys.borrow_mut().remove(key);
        }
    }

    /// Returns a copy of a run.
    pub fn run(&self, run: RunId) -> Run {
        self.runs.borrow()[run.0].clone()
    }

    /// Whether a run has not ended.
    pub fn is_running(&self, run: RunId) -> bool {
        self.runs.borrow()[run.0].end.is_none()
    }

    /// Returns copies of all runs, in order.
    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Returns copies of the runs of a query, in order.
    pub fn runs_of(&self, query: &str) -> Vec<Run> {
        let runs = self.runs.borrow();
        runs.iter()
            .filter(|run| run.query == query)
            .cloned()
            .collect()
    }

    /// Records that an engine received a health check or load probe.
    pub fn record_probe(&self, engine: &str) {
        let engine = engine.to_owned();
        self.probes.borrow_mut().push(ReceivedProbe { engine });
    }

    /// The number of health checks and load probes that an engine has received.
    pub fn probe_count(&self, engine: &str) -> usize {
        let probes = self.probes.borrow();
        probes.iter().filter(|probe| probe.engine == engine).count()
    }

    /// Records that the daemon was notified that an engine is draining or removed.
    pub fn record_drained(&self, engine: &str) {
        self.drains.borrow_mut().push(Drain {
            engine: engine.to_owned(),
            announced_at: clock::read(),
            resumed_at: None,
        });
    }

    /// Records that the daemon was notified that an engine is ready again.
    pub fn record_resumed(&self, engine: &str) {
        let now = clock::read();
        for drain in self.drains.borrow_mut().iter_mut() {
            if drain.engine == engine {
                drain.resumed_at.get_or_insert(now);
            }
        }
    }

    /// Adds a behavior to the queue; each query takes the next one, at whichever engine it arrives.
    pub fn push_behavior(&self, behavior: EngineBehavior) {
        self.behaviors.borrow_mut().push_back(behavior);
    }

    pub(super) fn next_behavior(&self) -> Option<EngineBehavior> {
        self.behaviors.borrow_mut().pop_front()
    }

    /// Returns the violations of invariants.
    pub fn violations(&self) -> Vec<Violation> {
        let runs = self.runs.borrow();
        let mut violations = Vec::new();
        for (index, run) in runs.iter().enumerate() {
            let earlier = runs[..index]
                .iter()
                .filter(|earlier| earlier.query == run.query);
            let earlier: Vec<&Run> = earlier.collect();
            violations.extend(self.attempt_violations(run, &earlier));
            violations.extend(self.drain_violation(run));
            violations.extend(shared_id_violation(run, &runs[..index]));
        }
        violations
    }

    fn attempt_violations(&self, run: &Run, earlier: &[&Run]) -> Vec<Violation> {
        let limits = self.limits.get();
        let query = run.query.clone();
        let mut violations = Vec::new();
        let in_flight = earlier
            .iter()
            .filter(|earlier| earlier.was_in_flight_at(run.started_at))
            .count();
        if in_flight >= limits.max_concurrent {
            violations.push(Violation::ConcurrentAttempts {
                query: query.clone(),
            });
        }
        // A repetition whose idempotency key is stored changes nothing.
        let repeats = |earlier: &&Run| {
            earlier.may_have_run() && !run.repeats_by_key(earlier, limits.key_window)
        };
        if run.is_load && earlier.iter().any(repeats) {
            violations.push(Violation::RepeatedLoad {
                query: query.clone(),
            });
        }
        if earlier.len() >= limits.max_attempts {
            let max_attempts = limits.max_attempts;
            violations.push(Violation::TooManyAttempts {
                query,
                max_attempts,
            });
        }
        violations
    }

    fn drain_violation(&self, run: &Run) -> Option<Violation> {
        let drains = self.drains.borrow();
        let is_forbidden = drains.iter().any(|drain| drain.forbids(run));
        is_forbidden.then(|| Violation::SentAfterDrain {
            query: run.query.clone(),
            engine: run.engine.clone(),
        })
    }
}

fn shared_id_violation(run: &Run, earlier: &[Run]) -> Option<Violation> {
    let other = earlier
        .iter()
        .find(|earlier| earlier.request_id == run.request_id && earlier.query != run.query)?;
    Some(Violation::SharedRequestId {
        query: run.query.clone(),
        other: other.query.clone(),
    })
}

/// The name of a query, from the last comment in its statement.
fn query_name(statement: &str) -> &str {
    let comment = statement.rsplit("/* ").next();
    comment
        .and_then(|comment| comment.split(" */").next())
        .unwrap_or_default()
}

fn is_load(statement: &str) -> bool {
    let statement = statement.trim_start().to_ascii_lowercase();
    statement.starts_with("insert")
}
