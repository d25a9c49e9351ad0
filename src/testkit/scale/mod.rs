//! Scale measurements on real loopback sockets: the resource use of one real daemon by the number
//! of engines, clients and statements ([`daemons`]), and fleets of many hollow nodes in one process
//! ([`fleet`]).
pub mod capacity_check;
pub mod daemons;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod hollow_batch;
pub mod hollow_module;
pub mod hollow_node;
pub mod load;
pub mod measurements;
pub mod observations;
mod plan;
pub mod proc;
pub mod report;
mod testbed;

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Valid number of engines of a point.
const ENGINES: RangeInclusive<u64> = 1..=10_000;
/// Valid number of idle clients of a point.
const CLIENTS: RangeInclusive<u64> = 0..=100_000;
/// Valid statement rate of a point, per second.
const RATES: RangeInclusive<f64> = 0.0..=100_000.0;

/// One combination of engines, idle clients and statement rate at which a daemon is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasurementPoint {
    /// Engines in the endpoint list.
    pub engines: u64,
    /// Idle connected clients.
    pub clients: u64,
    /// Statements per second.
    pub rate: f64,
}

/// The text is not a measurement point.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text:?} is not ENGINES:CLIENTS:STATEMENTS, or out of range")]
pub struct InvalidMeasurementPoint {
    /// The invalid text.
    text: String,
}

impl MeasurementPoint {
    /// Creates a point with this many engines, idle clients, and statements per second.
    pub const fn new(engines: u64, clients: u64, rate: f64) -> MeasurementPoint {
        MeasurementPoint {
            engines,
            clients,
            rate,
        }
    }

    fn parse(text: &str) -> Option<MeasurementPoint> {
        let fields: Vec<&str> = text.split(':').collect();
        let [engines, clients, rate] = fields[..] else {
            return None;
        };
        let point = MeasurementPoint::new(
            engines.parse().ok()?,
            clients.parse().ok()?,
            rate.parse().ok()?,
        );
        let in_range = ENGINES.contains(&point.engines)
            && CLIENTS.contains(&point.clients)
            && RATES.contains(&point.rate);
        in_range.then_some(point)
    }
}

impl FromStr for MeasurementPoint {
    type Err = InvalidMeasurementPoint;

    fn from_str(text: &str) -> Result<MeasurementPoint, InvalidMeasurementPoint> {
        MeasurementPoint::parse(text).ok_or_else(|| InvalidMeasurementPoint {
            text: text.to_owned(),
        })
    }
}

/// The sizes that the default points combine.
struct GridSizes {
    engines: &'static [u64],
    clients: &'static [u64],
    rates: &'static [f64],
}

const FULL_GRID: GridSizes = GridSizes {
    engines: &[10, 114, 228, 455, 910],
    clients: &[650, 1300, 2600],
    rates: &[150.0, 300.0, 609.0],
};
const QUICK_GRID: GridSizes = GridSizes {
    engines: &[10, 114, 228],
    clients: &[150, 300],
    rates: &[50.0, 100.0],
};

/// Returns the default points: each number of engines alone, each number of clients with the fewest
/// engines, the most engines with the most clients, and each statement rate with the fewest and
/// with the most engines. With `quick` there are fewer and smaller points.
pub fn grid(quick: bool) -> Vec<MeasurementPoint> {
    let GridSizes {
        engines,
        clients,
        rates,
    } = if quick { QUICK_GRID } else { FULL_GRID };
    let fewest_engines = engines[0];
    let most_engines = engines[engines.len() - 1];
    let most_clients = clients[clients.len() - 1];
    let mut points: Vec<MeasurementPoint> = engines
        .iter()
        .map(|engines| MeasurementPoint::new(*engines, 0, 0.0))
        .collect();
    points.extend(
        clients
            .iter()
            .map(|clients| MeasurementPoint::new(fewest_engines, *clients, 0.0)),
    );
    points.push(MeasurementPoint::new(most_engines, most_clients, 0.0));
    for engines in [fewest_engines, most_engines] {
        points.extend(
            rates
                .iter()
                .map(|rate| MeasurementPoint::new(engines, 0, *rate)),
        );
    }
    points
}

/// Options that apply to the measurement of every point.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Number of managers in the settings; each manager has its share of the engines.
    pub managers: u64,
    /// Settling time before the window of a point without statements.
    pub settle: Duration,
    /// Settling time before the window of a point with statements: long enough that as many idle
    /// connections to engines are closed as new ones are opened.
    pub settle_busy: Duration,
    /// Length of the window in which the daemon is measured.
    pub window: Duration,
}

impl Options {
    /// Returns the time between the start of a point's load and its window.
    pub fn settle(&self, point: &MeasurementPoint) -> Duration {
        if point.rate > 0.0 {
            self.settle_busy
        } else {
            self.settle
        }
    }
}

/// Progress of a measurement.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Process id of the daemon.
    pub pid: u32,
    /// The current step.
    pub step: &'static str,
}
