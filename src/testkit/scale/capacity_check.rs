//! Checks before a run starts whether this machine has the descriptors and the memory for it.
use super::fleet::Plan;
use super::load::BUSY_CLIENTS;
use super::{MeasurementPoint, Options, daemons, proc};
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

/// Maximum memory of a run in MiB, even if more is available.
const MAX_MEMORY_MIB: u64 = 12 * 1024;
/// Descriptors of this process in addition to those of its stand-ins or nodes: its reactor, its
/// output, its temporary folder.
const BASE_DESCRIPTORS: u64 = 64;

/// Memory of the daemon and of this process without stand-ins, in MiB.
const DAEMON_BASE_MIB: u64 = 128;
/// Memory for each engine, in KiB; an estimate on the high side.
const ENGINE_KIB: u64 = 256;
/// Memory for both ends of each connection, in KiB; an estimate on the high side.
const CONNECTION_KIB: u64 = 96;
/// Memory that the stand-ins' execution log takes for each statement, in KiB.
const STATEMENT_KIB: u64 = 4;

/// Memory of this process without hollow nodes, in MiB.
const FLEET_BASE_MIB: u64 = 32;
/// Memory of a hollow node without its records of other members, in KiB.
const NODE_KIB: u64 = 400;
/// Memory of a hollow node for each other member, in KiB.
const MEMBER_KIB: u64 = 2;

/// Reason why a run is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// A measurement point needs more than this machine has.
    #[error(
        "{} engines with {} clients need {} descriptors in the test kit, {} in the daemon, and {} MiB of \
        memory; {}, {} and {} MiB are available; {}",
        engines, clients, required.own_descriptors, required.daemon_descriptors, required.memory_mib,
        available.own_descriptors, available.daemon_descriptors, available.memory_mib,
        describe_fitting(*fitting)
    )]
    PointTooLarge {
        /// The point's engines.
        engines: u64,
        /// The point's idle clients.
        clients: u64,
        /// The resources that the point needs.
        required: Resources,
        /// The available resources.
        available: Resources,
        /// Engines and clients of the largest part of the point that fits, if any does.
        fitting: Option<(u64, u64)>,
    },
    /// The limit on open descriptors is too low.
    #[error(
        "the run needs {required} descriptors, but only {available} are available (RLIMIT_NOFILE)"
    )]
    TooFewDescriptors {
        /// Descriptors that the run needs.
        required: u64,
        /// Limit on open descriptors of this process.
        available: u64,
    },
    /// Too little memory is available.
    #[error(
        "the run needs {required_mib} MB of memory, but only {available_mib} MB are available \
        (MemAvailable, at most {MAX_MEMORY_MIB} MB)"
    )]
    TooLittleMemory {
        /// Memory that the run needs, in MiB.
        required_mib: u64,
        /// Available memory up to the maximum of a run, in MiB.
        available_mib: u64,
    },
}

fn describe_fitting(fitting: Option<(u64, u64)>) -> String {
    fitting.map_or("nothing fits".to_owned(), |(engines, clients)| {
        format!("{engines} engines with {clients} clients would fit")
    })
}

/// The resources that a run with one daemon between stand-ins needs or may use.
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
    /// Returns the resources that this machine has. The daemon inherits the limits of this process.
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

    /// Returns the resources that a point needs if the daemon may open this many descriptors.
    pub fn required_by(
        point: &MeasurementPoint,
        daemon_descriptors: u64,
        options: &Options,
    ) -> Resources {
        let duration = options.settle(point) + options.window;
        let statements = (point.rate * duration.as_secs_f64()).ceil() as u64;
        // The daemon uses at most a quarter of its descriptors for engines; the other end of each
        // of these connections is in this process.
        let connections = point.clients + BUSY_CLIENTS + daemon_descriptors / 4;
        let memory_kib =
            point.engines * ENGINE_KIB + connections * CONNECTION_KIB + statements * STATEMENT_KIB;
        Resources {
            own_descriptors: point.engines + connections + BASE_DESCRIPTORS,
            daemon_descriptors,
            memory_mib: DAEMON_BASE_MIB + memory_kib.div_ceil(1024),
        }
    }

    /// Returns whether `required` fits within these resources.
    pub fn covers(&self, required: &Resources) -> bool {
        required.own_descriptors <= self.own_descriptors
            && required.daemon_descriptors <= self.daemon_descriptors
            && required.memory_mib <= self.memory_mib
    }

    /// Returns the largest part of a point that fits, in steps of one percent: first with fewer
    /// clients, then with fewer engines and no clients.
    pub fn largest_fitting(
        &self,
        point: &MeasurementPoint,
        options: &Options,
    ) -> Option<MeasurementPoint> {
        let percent_of = |count: u64, percent: u64| count * percent / 100;
        let fewer_clients = (0..100).rev().map(|percent| MeasurementPoint {
            clients: percent_of(point.clients, percent),
            ..*point
        });
        let fewer_engines = (1..100).rev().map(|percent| MeasurementPoint {
            clients: 0,
            engines: percent_of(point.engines, percent),
            ..*point
        });
        fewer_clients
            .chain(fewer_engines)
            .filter(|part| part.engines > 0)
            .find(|part| {
                let descriptors = daemons::daemon_descriptors(&[*part]);
                self.covers(&Resources::required_by(part, descriptors, options))
            })
    }

    /// Returns an error if any of the points does not fit; the error names the largest of them.
    pub fn check(
        &self,
        points: &[MeasurementPoint],
        options: &Options,
    ) -> Result<(), CapacityError> {
        let daemon_descriptors = daemons::daemon_descriptors(points);
        let required =
            |point: &MeasurementPoint| Resources::required_by(point, daemon_descriptors, options);
        // The daemon's descriptor limit is the same at all points, so the largest point is the one
        // that on its own needs the most descriptors.
        let size = |point: &&MeasurementPoint| {
            let descriptors = daemons::daemon_descriptors(&[**point]);
            (descriptors, required(point).memory_mib)
        };
        let largest = points
            .iter()
            .filter(|point| !self.covers(&required(point)))
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

/// The resources that a run with a fleet of hollow nodes needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRequirements {
    /// Descriptors: two for each node, one for its socket, which stays open between incarnations,
    /// and one for the duplicate of it that the node's actors use.
    pub descriptors: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
}

impl FleetRequirements {
    /// Returns the requirements of a plan.
    pub fn of(plan: &Plan) -> FleetRequirements {
        let nodes = plan.managers as u64;
        let memory_kib = nodes * (NODE_KIB + nodes * MEMBER_KIB);
        FleetRequirements {
            descriptors: 2 * nodes + BASE_DESCRIPTORS,
            memory_mib: FLEET_BASE_MIB + memory_kib / 1024,
        }
    }

    /// Returns an error if the run needs more than this machine has.
    pub fn check_machine(&self) -> Result<(), CapacityError> {
        self.check(proc::descriptor_limit(), proc::available_memory_mib())
    }

    /// Returns an error if the run needs more than this many descriptors or this much memory in
    /// MiB.
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
