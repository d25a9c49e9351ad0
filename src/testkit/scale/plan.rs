//! The plan of a run with a fleet of hollow nodes.
use super::capacity_check::{CapacityError, FleetRequirements};
use crate::config::fleet::{FleetConfig, LeaseConfig};
use crate::lease::{LeaseTiming, LeaseTimingError};
use crate::membership::{Timing, TimingError};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Sizes of fleets that can be run.
const NODES: RangeInclusive<usize> = 3..=5_000;
/// Upper bound on the voters.
const MAX_VOTERS: usize = 15;
/// Rates at which a node's module may want engine loads, per second.
const WANTS_PER_S: RangeInclusive<f64> = 0.0..=1e3;
/// Nodes that a thread has at least, if there are enough of them.
const MIN_NODES_PER_THREAD: usize = 16;

/// Why a plan can't be run.
#[derive(Clone, Debug, Error)]
pub enum PlanError {
    /// There are too few or too many nodes, or no thread.
    #[error("a run takes 3 to 5000 managers and a thread at least")]
    Size,
    /// The number of voters is even or too large.
    #[error("voters have to be an odd number, 15 and all managers at most")]
    Voters,
    /// The rate of wanted loads or the number of restarts is out of range.
    #[error("wants from 0 to 1000 a second, and no more restarts than managers")]
    Rates,
    /// The membership's timing is invalid.
    #[error("{0}")]
    Timing(#[from] TimingError),
    /// The leases' timing is invalid.
    #[error(transparent)]
    LeaseTiming(#[from] LeaseTimingError),
    /// The machine has too little for the run.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Hollow nodes, each in place of a manager.
    pub managers: usize,
    /// Engines, whose loads they want.
    pub engines: u64,
    /// Nodes that are voters; without any there are no leases.
    pub voters: usize,
    /// How often a second the module of each node wants the load of some engine.
    pub wants: f64,
    /// The same seed picks the same engines and the same node to stop.
    pub seed: u64,
    /// Threads.
    pub threads: usize,
    /// The membership's timing.
    pub timing: Timing,
    /// The leases' timing.
    pub terms: LeaseTiming,
    /// Whether the nodes publish their leases, as daemons with an admin endpoint do.
    pub console: bool,
    /// Further members that each node contacts at its start: real daemons.
    pub greet: Vec<SocketAddr>,
    /// Time between the start and quiet traffic, and after each disturbance.
    pub settle: Duration,
    /// How long quiet traffic is counted.
    pub quiet: Duration,
    /// How long a third of the nodes is partitioned; zero for no partition.
    pub cut: Duration,
    /// Nodes that are restarted one after the other.
    pub rolling: usize,
    /// How long one event is waited for.
    pub patience: Duration,
    /// The run fails after this time.
    pub limit: Duration,
    /// Whether progress is written to standard error, a line a second.
    pub progress: bool,
}

impl Plan {
    /// The default plan for this many managers and engines.
    pub fn new(managers: usize, engines: u64) -> Plan {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let useful_threads = managers.div_ceil(MIN_NODES_PER_THREAD);
        Plan {
            managers,
            engines,
            voters: 5,
            wants: 1.0,
            seed: 1,
            threads: cores.min(useful_threads).max(1),
            timing: Timing::default(),
            terms: LeaseTiming::default(),
            console: false,
            greet: Vec::new(),
            settle: Duration::from_secs(10),
            quiet: Duration::from_secs(20),
            cut: Duration::ZERO,
            rolling: 0,
            patience: Duration::from_secs(120),
            limit: Duration::from_secs(300),
            progress: false,
        }
    }

    /// The name of a node.
    pub fn name(&self, node: usize) -> String {
        format!("m{node:04}")
    }

    /// The nodes that are voters, spread evenly over the fleet.
    pub fn voter_nodes(&self) -> Vec<usize> {
        (0..self.voters)
            .map(|voter| voter * self.managers / self.voters)
            .collect()
    }

    /// Whether a node is in the third that is partitioned from the others.
    pub fn in_partition(&self, node: usize) -> bool {
        node < self.managers / 3
    }

    /// The fleet configuration of each node.
    pub fn fleet_config(&self, seeds: &[SocketAddr]) -> FleetConfig {
        let voters: Vec<String> = self
            .voter_nodes()
            .into_iter()
            .map(|node| self.name(node))
            .collect();
        FleetConfig {
            bind: None,
            advertise: None,
            port: 0,
            seeds: seeds.to_vec(),
            timing: self.timing.clone(),
            audit: None,
            leases: (!voters.is_empty()).then_some(LeaseConfig {
                voters,
                terms: self.terms,
            }),
        }
    }

    /// Refuses a plan that can't be run, or not on this machine.
    pub fn check(&self) -> Result<(), PlanError> {
        if !NODES.contains(&self.managers) || self.threads == 0 {
            return Err(PlanError::Size);
        }
        let is_even = self.voters > 0 && self.voters.is_multiple_of(2);
        if is_even || self.voters > self.managers.min(MAX_VOTERS) {
            return Err(PlanError::Voters);
        }
        if !WANTS_PER_S.contains(&self.wants) || self.rolling > self.managers {
            return Err(PlanError::Rates);
        }
        self.timing.validate()?;
        self.terms.validate()?;
        Ok(FleetRequirements::of(self).check_machine()?)
    }
}
