//! The scale rig, all on real sockets on loopback: what one real daemon needs by the size of what
//! stands around it (`daemons`), and fleets of many hollow managers in one process (`fleet`).
pub mod capacity_check;
pub mod daemons;
pub mod events;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod hollow_node;
pub mod load;
pub mod needs;
pub mod observations;
pub mod proc;
pub mod report;
mod testbed;

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// What is measured at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Engines in the list.
    pub engines: u64,
    /// Clients that are connected and idle.
    pub clients: u64,
    /// Statements a second.
    pub rate: f64,
}

impl Point {
    /// A point of that size.
    pub const fn new(engines: u64, clients: u64, rate: f64) -> Point {
        Point {
            engines,
            clients,
            rate,
        }
    }
}

impl FromStr for Point {
    type Err = String;

    fn from_str(text: &str) -> Result<Point, String> {
        let point = || {
            let mut words = text.split(':');
            let (engines, clients, rate) = (words.next()?, words.next()?, words.next()?);
            let point = Point::new(
                engines.parse().ok()?,
                clients.parse().ok()?,
                rate.parse().ok()?,
            );
            let sound = (1..=10_000).contains(&point.engines)
                && point.clients <= 100_000
                && (0.0..=100_000.0).contains(&point.rate);
            (words.next().is_none() && sound).then_some(point)
        };
        point()
            .ok_or_else(|| format!("{text:?} is not ENGINES:CLIENTS:STATEMENTS, or out of range"))
    }
}

/// The usual points: engines alone, clients alone, all engines with all clients, and statements
/// before few and before all engines. The quick ones are fewer and smaller.
pub fn grid(quick: bool) -> Vec<Point> {
    let (engines, clients, rates): (&[u64], &[u64], &[f64]) = if quick {
        (&[10, 114, 228], &[150, 300], &[50.0, 100.0])
    } else {
        (
            &[10, 114, 228, 455, 910],
            &[650, 1300, 2600],
            &[150.0, 300.0, 609.0],
        )
    };
    let (few, all) = (engines[0], engines[engines.len() - 1]);
    let mut points: Vec<Point> = engines.iter().map(|e| Point::new(*e, 0, 0.0)).collect();
    points.extend(clients.iter().map(|c| Point::new(few, *c, 0.0)));
    points.push(Point::new(all, clients[clients.len() - 1], 0.0));
    for at in [few, all] {
        points.extend(rates.iter().map(|rate| Point::new(at, 0, *rate)));
    }
    points
}

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon.
    pub daemon: PathBuf,
    /// Managers that the settings tell of: each has its part of the engines.
    pub managers: u64,
    /// For so long the daemon is left alone before.
    pub settle: Duration,
    /// The same with statements: until as many connections to engines fall idle and close as are
    /// made.
    pub settle_busy: Duration,
    /// The window in which it is measured.
    pub window: Duration,
}

impl Options {
    /// How long the daemon is left alone before it is measured.
    pub fn settle(&self, point: &Point) -> Duration {
        if point.rate > 0.0 {
            self.settle_busy
        } else {
            self.settle
        }
    }
}

/// Where a run stands.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The daemon's process.
    pub pid: u32,
    /// What is done now.
    pub doing: &'static str,
}
