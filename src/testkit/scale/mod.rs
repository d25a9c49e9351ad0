//! Scale measurements on real sockets on loopback: what one real daemon needs, by the size of its
//! surroundings ([`daemons`]), and fleets of many hollow nodes in one process ([`fleet`]).
pub mod capacity_check;
pub mod daemons;
pub mod events;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod hollow_batch;
pub mod hollow_module;
pub mod hollow_node;
pub mod load;
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

/// Engines that a point may have.
const ENGINES: RangeInclusive<u64> = 1..=10_000;
/// Idle clients that a point may have.
const CLIENTS: RangeInclusive<u64> = 0..=100_000;
/// Statements a second that a point may have.
const RATES: RangeInclusive<f64> = 0.0..=100_000.0;

/// The surroundings of a daemon that are measured at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Engines in the list.
    pub engines: u64,
    /// Clients that are connected and idle.
    pub clients: u64,
    /// Statements a second.
    pub rate: f64,
}

/// The text is no point.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text:?} is not ENGINES:CLIENTS:STATEMENTS, or out of range")]
pub struct InvalidPoint {
    /// The text.
    text: String,
}

impl Point {
    /// A point with these engines, idle clients, and statements a second.
    pub const fn new(engines: u64, clients: u64, rate: f64) -> Point {
        Point {
            engines,
            clients,
            rate,
        }
    }

    fn parse(text: &str) -> Option<Point> {
        let fields: Vec<&str> = text.split(':').collect();
        let [engines, clients, rate] = fields[..] else {
            return None;
        };
        let point = Point::new(
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

impl FromStr for Point {
    type Err = InvalidPoint;

    fn from_str(text: &str) -> Result<Point, InvalidPoint> {
        Point::parse(text).ok_or_else(|| InvalidPoint {
            text: text.to_owned(),
        })
    }
}

/// The sizes that the default points are made of.
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

/// The default points: engines alone, clients alone, all engines with all clients, and statements
/// with the fewest and with all engines. The quick ones are fewer and smaller.
pub fn grid(quick: bool) -> Vec<Point> {
    let GridSizes {
        engines,
        clients,
        rates,
    } = if quick { QUICK_GRID } else { FULL_GRID };
    let fewest_engines = engines[0];
    let all_engines = engines[engines.len() - 1];
    let all_clients = clients[clients.len() - 1];
    let mut points: Vec<Point> = engines
        .iter()
        .map(|engines| Point::new(*engines, 0, 0.0))
        .collect();
    points.extend(
        clients
            .iter()
            .map(|clients| Point::new(fewest_engines, *clients, 0.0)),
    );
    points.push(Point::new(all_engines, all_clients, 0.0));
    for engines in [fewest_engines, all_engines] {
        points.extend(rates.iter().map(|rate| Point::new(engines, 0, *rate)));
    }
    points
}

/// How points are measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Managers in the settings: each has its share of the engines.
    pub managers: u64,
    /// Time before the window of a point without statements.
    pub settle: Duration,
    /// Time before the window of a point with statements: until as many connections to engines are
    /// closed as idle as are opened.
    pub settle_busy: Duration,
    /// The window in which the daemon is measured.
    pub window: Duration,
}

impl Options {
    /// Time between the start of a point's load and its window.
    pub fn settle(&self, point: &Point) -> Duration {
        if point.rate > 0.0 {
            self.settle_busy
        } else {
            self.settle
        }
    }
}

/// How far a measurement is.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The daemon's process.
    pub pid: u32,
    /// The present step.
    pub doing: &'static str,
}
