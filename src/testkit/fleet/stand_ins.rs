//! The stand-in engines and coordinators of a fleet.
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::Readiness;
use crate::testkit::coordinator::{Coordinator, known, ready_endpoint};
use crate::testkit::daemon::{MACHINE_TYPES, ZONES};
use crate::testkit::engines::{Engine, EngineOptions, EngineProtocol};
use crate::testkit::{ExecutionLog, Executor};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::Range;

/// The number of stand-in engines of a fleet.
pub const ENGINES: usize = 2;

/// The stand-ins of a fleet. Each manager has its own coordinator, so that it can miss an event
/// that the others receive, and reaches each engine at a separate address, so that the execution
/// log shows which manager used the engine.
pub struct StandIns {
    /// The coordinators, by the index of the manager.
    pub coordinators: Vec<Coordinator>,
    /// The engines, by the index of the manager and then of the engine. The engines' ids start at
    /// 1.
    pub engines: Vec<Vec<Engine>>,
    /// The log of the queries and probes that the engines received.
    pub execution_log: ExecutionLog,
}

impl StandIns {
    pub(super) fn start(executor: &Executor, managers: usize) -> StandIns {
        let execution_log = ExecutionLog::default();
        let start_engine = |manager, engine| {
            let name = engine_name(manager, engine);
            let options = EngineOptions::new(EngineProtocol::Platform);
            Engine::start(executor, &name, options, execution_log.clone())
        };
        let engines_of = |manager| {
            (0..ENGINES)
                .map(|engine| start_engine(manager, engine))
                .collect()
        };
        StandIns {
            engines: (0..managers).map(engines_of).collect(),
            coordinators: (0..managers)
                .map(|_| Coordinator::start(executor))
                .collect(),
            execution_log,
        }
    }

    fn listed_endpoint(
        &self,
        manager: usize,
        engine: usize,
        readiness: Readiness,
    ) -> ListedEndpoint {
        let addr = self.engines[manager][engine].addr;
        let mut listed = ready_endpoint(engine as u32 + 1, addr);
        listed.endpoint.readiness = readiness;
        listed
    }

    /// The endpoint list in a manager's initial configuration.
    fn initial_list(&self, manager: usize) -> Value {
        let endpoints: Vec<ListedEndpoint> = (0..ENGINES)
            .map(|engine| self.listed_endpoint(manager, engine, Readiness::Ready))
            .collect();
        known(&endpoints, &ZONES, &MACHINE_TYPES)
    }

    pub(super) fn addresses(&self) -> StandInAddresses {
        let managers = 0..self.coordinators.len();
        StandInAddresses {
            coordinators: self.coordinators.iter().map(|it| it.addr).collect(),
            initial_lists: managers.map(|it| self.initial_list(it)).collect(),
        }
    }

    /// Notifies a range of managers of an engine's readiness.
    pub fn announce(&self, managers: Range<usize>, engine: usize, readiness: Readiness) {
        for manager in managers {
            let endpoint = self.listed_endpoint(manager, engine, readiness);
            self.coordinators[manager].send_changes(&[endpoint]);
        }
    }

    /// The number of health checks and load probes that an engine received from a manager.
    pub fn probe_count(&self, manager: usize, engine: usize) -> usize {
        self.execution_log
            .probe_count(&engine_name(manager, engine))
    }
}

/// The name in the execution log of an engine as a manager reaches it.
fn engine_name(manager: usize, engine: usize) -> String {
    format!("m{manager}/e{engine}")
}

/// The data of the stand-ins that the managers' configurations contain.
pub(super) struct StandInAddresses {
    /// The addresses of the coordinators, by the index of the manager.
    pub(super) coordinators: Vec<SocketAddr>,
    /// The endpoint lists in the initial configurations, by the index of the manager.
    pub(super) initial_lists: Vec<Value>,
}
