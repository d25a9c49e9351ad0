//! The stand-in engines and the coordinator of a run, and their events.
use super::plan::Fault;
use serde_json::Value;
use std::net::SocketAddr;
use yokelift::net::discovery::ListedEndpoint;
use yokelift::policy::api::Readiness;
use yokelift::testkit::coordinator::{Coordinator, known, ready_endpoint};
use yokelift::testkit::daemon::{MACHINE_TYPES, ZONES};
use yokelift::testkit::engines::{Engine, EngineBehavior, EngineOptions, EngineProtocol};
use yokelift::testkit::execution_log::{ExecutionLimits, Run, Violation};
use yokelift::testkit::{ExecutionLog, Executor};

/// The number of rows of a slow query.
const SLOW_ROWS: usize = 3;

/// An engine with its name in the execution log and its id in the endpoint list.
struct ListedEngine {
    engine: Engine,
    name: String,
    id: u32,
}

impl ListedEngine {
    fn start(executor: &Executor, id: u32, log: &ExecutionLog) -> ListedEngine {
        let name = format!("e{id}");
        let options = EngineOptions::new(EngineProtocol::Platform);
        let engine = Engine::start(executor, &name, options, log.clone());
        ListedEngine { engine, name, id }
    }

    fn listed(&self, readiness: Readiness) -> ListedEndpoint {
        let mut listed = ready_endpoint(self.id, self.engine.addr);
        listed.endpoint.readiness = readiness;
        listed
    }
}

/// The stand-ins of a run.
pub(crate) struct StandIns {
    engines: Vec<ListedEngine>,
    last_id: u32,
    coordinator: Coordinator,
    log: ExecutionLog,
}

impl StandIns {
    pub(crate) fn start(executor: &Executor, engines: usize, limits: ExecutionLimits) -> StandIns {
        let log = ExecutionLog::default();
        log.set_limits(limits);
        let ids = 1..=engines as u32;
        StandIns {
            engines: ids
                .map(|id| ListedEngine::start(executor, id, &log))
                .collect(),
            last_id: engines as u32,
            coordinator: Coordinator::start(executor),
            log,
        }
    }

    /// The endpoint list in the managers' initial configurations.
    pub(crate) fn initial_list(&self) -> Value {
        let listed: Vec<ListedEndpoint> = self
            .engines
            .iter()
            .map(|engine| engine.listed(Readiness::Ready))
            .collect();
        known(&listed, &ZONES, &MACHINE_TYPES)
    }

    pub(crate) fn coordinator_addr(&self) -> SocketAddr {
        self.coordinator.addr
    }

    /// Injects these faults into the next queries, at whichever engine they arrive.
    pub(crate) fn push_faults(&self, faults: &[Fault]) {
        for fault in faults {
            self.log.push_behavior(match *fault {
                Fault::Hang => EngineBehavior::Hang,
                Fault::Reject => EngineBehavior::Reject,
                Fault::Fail => EngineBehavior::Fail,
                Fault::Reset => EngineBehavior::Reset,
                Fault::FailWithinResponse => EngineBehavior::FailWithinResponse,
                Fault::ViolateProtocol => EngineBehavior::ViolateProtocol,
                Fault::Slow(after_millis) => EngineBehavior::Complete {
                    after_millis,
                    rows: SLOW_ROWS,
                },
            });
        }
    }

    pub(crate) fn drain(&self, engine: usize) {
        let engine = &self.engines[engine];
        self.coordinator
            .send_changes(&[engine.listed(Readiness::Draining)]);
        self.log.record_drained(&engine.name);
    }

    pub(crate) fn resume(&self, engine: usize) {
        let engine = &self.engines[engine];
        self.log.record_resumed(&engine.name);
        self.coordinator
            .send_changes(&[engine.listed(Readiness::Ready)]);
    }

    /// Ends an engine's process and lists a new engine in its place.
    pub(crate) fn replace(&mut self, executor: &Executor, engine: usize) {
        self.last_id += 1;
        let new = ListedEngine::start(executor, self.last_id, &self.log);
        let mut old = std::mem::replace(&mut self.engines[engine], new);
        old.engine.shut_down();
        let changes = [
            old.listed(Readiness::Removed),
            self.engines[engine].listed(Readiness::Ready),
        ];
        self.coordinator.send_changes(&changes);
        self.log.record_drained(&old.name);
    }

    pub(crate) fn stall_watches(&self) {
        self.coordinator.stall_connections();
    }

    pub(crate) fn close_watches(&self) {
        self.coordinator.close_connections();
    }

    /// Replaces the coordinator by another one that continues the events. Returns its address.
    pub(crate) fn move_coordinator(&mut self, executor: &Executor) -> SocketAddr {
        let successor = self.coordinator.successor(executor);
        self.coordinator.shut_down();
        self.coordinator = successor;
        self.coordinator.addr
    }

    /// The runs of a query on the engines.
    pub(crate) fn runs(&self, query: &str) -> Vec<Run> {
        self.log.runs_of(query)
    }

    /// The violations of invariants in the engines' log.
    pub(crate) fn violations(&self) -> Vec<String> {
        let violations = self.log.violations();
        violations.iter().map(|it| self.describe(it)).collect()
    }

    /// The text of a violation with the runs of its query.
    fn describe(&self, violation: &Violation) -> String {
        let text = violation.to_string();
        let query = text.split(':').next().unwrap_or_default();
        let runs = self.log.runs_of(query);
        format!("{text}: {runs:?}")
    }
}
