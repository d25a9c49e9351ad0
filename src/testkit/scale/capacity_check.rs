//! Whether this machine has the descriptors and the memory for a run, checked before anything is
//! started.
use super::fleet::Plan;
use super::load::BUSY_CLIENTS;
use super::{Options, Point, daemons, proc};
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

/// Upper bound on the memory of a run in MiB, however much is available.
const MAX_MEMORY_MIB: u64 = 12 * 1024;
/// Descriptors of this process beside those of its stand-ins or nodes: its reactor, its output, its
/// temporary folder.
const OWN_DESCRIPTORS: u64 = 64;

/// Memory of the daemon and of this process without stand-ins, in MiB.
const DAEMON_BASE_MIB: u64 = 128;
/// Memory for each engine, in KiB; a generous estimate.
const ENGINE_KIB: u64 = 256;
/// Memory for both ends of each connection, in KiB; a generous estimate.
const CONNECTION_KIB: u64 = 96;
/// Memory that the stand-ins' execution log takes for each statement, in KiB.
const STATEMENT_KIB: u64 = 4;

/// Memory of this process without hollow nodes, in MiB.
const FLEET_BASE_MIB: u64 = 32;
/// Memory of a hollow node without what it knows of others, in KiB.
const NODE_KIB: u64 = 400;
/// Memory that a hollow node takes for each other member, in KiB.
const MEMBER_KIB: u64 = 2;

/// Why a run is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// A measured point needs more than there is.
    #[error(
        "{} engines with {} clients need {} descriptors here and {} in the daemon, and {} MiB of memory; \
        there are {}, {} and {} MiB; {}",
        engines, clients, required.own_descriptors, required.daemon_descriptors, required.memory_mib,
        available.own_descriptors, available.daemon_descriptors, available.memory_mib,
        advice(*fitting)
    )]
    PointTooLarge {
        /// The point's engines.
        engines: u64,
        /// The point's idle clients.
        clients: u64,
        /// What it needs.
        required: Resources,
        /// What there is.
        available: Resources,
        /// Engines and clients that would fit, if any do.
        fitting: Option<(u64, u64)>,
    },
    /// The limit on open descriptors is too low.
    #[error("needs {required} descriptors, and there are {available} (RLIMIT_NOFILE)")]
    TooFewDescriptors {
        /// What the run needs.
        required: u64,
        /// What this process may have.
        available: u64,
    },
    /// There is too little memory.
    #[error(
        "needs {required_mib} MB of memory, and there are {available_mib} MB (MemAvailable, \
        {MAX_MEMORY_MIB} MB at most)"
    )]
    TooLittleMemory {
        /// What the run needs.
        required_mib: u64,
        /// What there is, up to the bound.
        available_mib: u64,
    },
}

fn advice(fitting: Option<(u64, u64)>) -> String {
    fitting.map_or("nothing fits".to_owned(), |(engines, clients)| {
        format!("{engines} engines with {clients} clients would fit")
    })
}

/// The resources of a run with one daemon between stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Descriptors of this process.
    pub own_descriptors: u64,
    /// Descriptors of the daemon.
    pub daemon_descriptors: u64,
    /// Memory of both processes, in MiB.
    pub memory_mib: u64,
}

impl Resources {
    /// What this machine has. The daemon inherits the limits of this process.
    pub fn available() -> Resources {
        let limit = getrlimit(Resource::Nofile);
        let descriptors = limit
            .current
            .into_iter()
            .chain(limit.maximum)
            .min()
            .unwrap_or(u64::MAX);
        Resources {
            own_descriptors: descriptors,
            daemon_descriptors: descriptors,
            memory_mib: proc::available_memory_mib().min(MAX_MEMORY_MIB),
        }
    }

    /// What a point needs where the daemon may have this many descriptors.
    pub fn required_by(point: &Point, daemon_descriptors: u64, options: &Options) -> Resources {
        let duration = options.settle(point) + options.window;
        let statements = (point.rate * duration.as_secs_f64()).ceil() as u64;
        // The daemon uses at most a quarter of its descriptors for engines; the other end of each of
        // these connections is in this process.
        let connections = point.clients + BUSY_CLIENTS + daemon_descriptors / 4;
        let memory_kib =
            point.engines * ENGINE_KIB + connections * CONNECTION_KIB + statements * STATEMENT_KIB;
        Resources {
            own_descriptors: point.engines + connections + OWN_DESCRIPTORS,
            daemon_descriptors,
            memory_mib: DAEMON_BASE_MIB + memory_kib.div_ceil(1024),
        }
    }

    /// Whether `required` fits within these resources.
    pub fn cover(&self, required: &Resources) -> bool {
        required.own_descriptors <= self.own_descriptors
            && required.daemon_descriptors <= self.daemon_descriptors
            && required.memory_mib <= self.memory_mib
    }

    /// The largest part of a point that fits, in steps of a hundredth: with fewer clients first, then
    /// with fewer engines and no clients.
    pub fn largest_fitting(&self, point: &Point, options: &Options) -> Option<Point> {
        let percent_of = |count: u64, percent: u64| count * percent / 100;
        let fewer_clients = (0..100).rev().map(|percent| Point {
            clients: percent_of(point.clients, percent),
            ..*point
        });
        let fewer_engines = (1..100).rev().map(|percent| Point {
            clients: 0,
            engines: percent_of(point.engines, percent),
            ..*point
        });
        fewer_clients
            .chain(fewer_engines)
            .filter(|part| part.engines > 0)
            .find(|part| {
                let descriptors = daemons::daemon_descriptors(&[*part]);
                self.cover(&Resources::required_by(part, descriptors, options))
            })
    }

    /// Refuses points that do not fit; the error names the largest of them.
    pub fn check(&self, points: &[Point], options: &Options) -> Result<(), CapacityError> {
        let daemon_descriptors = daemons::daemon_descriptors(points);
        let required = |point: &Point| Resources::required_by(point, daemon_descriptors, options);
        // The daemon has the same descriptors at all points: the one that needs most of them counts
        // as the largest.
        let size = |point: &&Point| {
            let descriptors = daemons::daemon_descriptors(&[**point]);
            (descriptors, required(point).memory_mib)
        };
        let largest = points
            .iter()
            .filter(|point| !self.cover(&required(point)))
            .max_by_key(size);
        let Some(point) = largest else {
            return Ok(());
        };
        Err(CapacityError::PointTooLarge {
            engines: point.engines,
            clients: point.clients,
            required: required(point),
            available: *self,
            fitting: self
                .largest_fitting(point, options)
                .map(|part| (part.engines, part.clients)),
        })
    }
}

/// What a run with a fleet of hollow nodes needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRequirements {
    /// Descriptors: two for each node, because its socket is kept open between its incarnations.
    pub descriptors: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
}

impl FleetRequirements {
    /// The requirements of a plan.
    pub fn of(plan: &Plan) -> FleetRequirements {
        let nodes = plan.managers as u64;
        let memory_kib = nodes * (NODE_KIB + nodes * MEMBER_KIB);
        FleetRequirements {
            descriptors: 2 * nodes + OWN_DESCRIPTORS,
            memory_mib: FLEET_BASE_MIB + memory_kib / 1024,
        }
    }

    /// Refuses a run that needs more than this machine has.
    pub fn check_machine(&self) -> Result<(), CapacityError> {
        self.check(proc::descriptor_limit(), proc::available_memory_mib())
    }

    /// Refuses a run that needs more than this.
    pub fn check(&self, descriptors: u64, memory_mib: u64) -> Result<(), CapacityError> {
        if self.descriptors > descriptors {
            return Err(CapacityError::TooFewDescriptors {
                required: self.descriptors,
                available: descriptors,
            });
        }
        let available_mib = memory_mib.min(MAX_MEMORY_MIB);
        if self.memory_mib > available_mib {
            return Err(CapacityError::TooLittleMemory {
                required_mib: self.memory_mib,
                available_mib,
            });
        }
        Ok(())
    }
}
