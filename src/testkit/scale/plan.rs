//! The parameters of a run with a fleet of hollow nodes.
use super::capacity_check::{CapacityError, FleetRequirements};
use crate::config::fleet::{FleetConfig, LeaseConfig};
use crate::lease::{LeaseTiming, LeaseTimingError};
use crate::membership::{Timing, TimingError};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Valid number of nodes in a fleet.
const NODES: RangeInclusive<usize> = 3..=5_000;
/// Maximum number of voters.
const MAX_VOTERS: usize = 15;
/// Valid rate at which a node's module requests engine loads, per second.
const LOAD_REQUESTS_PER_S: RangeInclusive<f64> = 0.0..=1e3;
/// Minimum number of nodes per thread, if there are enough nodes.
const MIN_NODES_PER_THREAD: usize = 16;

/// Reason why a plan is rejected.
#[derive(Clone, Debug, Error)]
pub enum PlanError {
    /// There are too few or too many nodes, or no thread.
    #[error("a run needs 3 to 5000 managers and at least one thread")]
    NodesOrThreads,
    /// The number of voters is even or too large.
    #[error("the number of voters must be odd, at most 15, and at most the number of managers")]
    Voters,
    /// The rate of load requests or the number of restarts is out of range.
    #[error(
        "load requests must be from 0 to 1000 per second, and restarts at most the number of managers"
    )]
    Rates,
    /// The timing of the membership protocol is invalid.
    #[error("{0}")]
    Timing(#[from] TimingError),
    /// The timing of the leases is invalid.
    #[error(transparent)]
    LeaseTiming(#[from] LeaseTimingError),
    /// The machine lacks the descriptors or the memory for the run.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of hollow nodes, each in place of a manager.
    pub managers: usize,
    /// Number of engines whose loads the nodes request.
    pub engines: u64,
    /// Number of nodes that are voters; without voters there are no leases.
    pub voters: usize,
    /// How often per second the module of each node requests the load of an engine.
    pub load_requests_per_s: f64,
    /// Random seed: the same seed picks the same engines and the same node to stop.
    pub seed: u64,
    /// Number of threads.
    pub threads: usize,
    /// Timing of the membership protocol.
    pub timing: Timing,
    /// Timing of the leases.
    pub lease_timing: LeaseTiming,
    /// Whether the nodes publish their leases, as daemons with an admin endpoint do.
    pub admin_enabled: bool,
    /// Addresses of real daemons that each node contacts at its start, in addition to the
    /// seed nodes.
    pub extra_seeds: Vec<SocketAddr>,
    /// Settling time between the start and quiet traffic, and after each disturbance.
    pub settle: Duration,
    /// How long quiet traffic is measured.
    pub quiet: Duration,
    /// How long a third of the nodes is partitioned; zero for no partition.
    pub partition_duration: Duration,
    /// Number of nodes that are restarted one after the other.
    pub restarts: usize,
    /// Maximum time to wait until all nodes have observed an event.
    pub event_timeout: Duration,
    /// Maximum duration of the run, after which it fails.
    pub limit: Duration,
    /// Whether to write a progress line to standard error every second.
    pub progress: bool,
}

impl Plan {
    /// Returns the default plan for this many managers and engines.
    pub fn new(managers: usize, engines: u64) -> Plan {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let useful_threads = managers.div_ceil(MIN_NODES_PER_THREAD);
        Plan {
            managers,
            engines,
            voters: 5,
            load_requests_per_s: 1.0,
            seed: 1,
            threads: cores.min(useful_threads).max(1),
            timing: Timing::default(),
            lease_timing: LeaseTiming::default(),
            admin_enabled: false,
            extra_seeds: Vec::new(),
            settle: Duration::from_secs(10),
            quiet: Duration::from_secs(20),
            partition_duration: Duration::ZERO,
            restarts: 0,
            event_timeout: Duration::from_secs(120),
            limit: Duration::from_secs(300),
            progress: false,
        }
    }

    /// Returns the member name of a node.
    pub fn name(&self, node: usize) -> String {
        format!("m{node:04}")
    }

    /// Returns the numbers of the nodes that are voters, spread evenly over the fleet.
    pub fn voter_nodes(&self) -> Vec<usize> {
        (0..self.voters)
            .map(|voter| voter * self.managers / self.voters)
            .collect()
    }

    /// Returns whether a node is in the third of the fleet that is partitioned from the others.
    pub fn in_partition(&self, node: usize) -> bool {
        node < self.managers / 3
    }

    /// Returns the fleet configuration that all nodes use.
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
                timing: self.lease_timing,
            }),
        }
    }

    /// Returns an error if the plan is invalid or this machine lacks the capacity for it.
    pub fn check(&self) -> Result<(), PlanError> {
        if !NODES.contains(&self.managers) || self.threads == 0 {
            return Err(PlanError::NodesOrThreads);
        }
        let is_even = self.voters > 0 && self.voters.is_multiple_of(2);
        if is_even || self.voters > self.managers.min(MAX_VOTERS) {
            return Err(PlanError::Voters);
        }
        if !LOAD_REQUESTS_PER_S.contains(&self.load_requests_per_s) || self.restarts > self.managers
        {
            return Err(PlanError::Rates);
        }
        self.timing.validate()?;
        self.lease_timing.validate()?;
        Ok(FleetRequirements::of(self).check_machine()?)
    }
}
