//! Whether this machine has room for a point: descriptors and memory, told before anything is
//! started.
use super::load::BUSY;
use super::{Options, Point, daemons, proc};
use rustix::process::{Resource, getrlimit};

/// Memory that a run may have, in MiB, whatever there is.
const MOST_MIB: u64 = 12 * 1024;
/// Descriptors of this process that are no stand-in's.
const OWN: u64 = 64;
/// Memory of both processes without stand-ins, in MiB; for each engine and for each connection, in
/// KiB: amply.
const BASE_MIB: u64 = 128;
const ENGINE_KIB: u64 = 256;
const CONNECTION_KIB: u64 = 96;
/// Memory that the stand-ins' book of a statement takes, in KiB.
const STATEMENT_KIB: u64 = 4;

/// What a run needs, or what there is for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Descriptors of this process.
    pub own_descriptors: u64,
    /// Descriptors of the daemon.
    pub daemon_descriptors: u64,
    /// Memory of both, in MiB.
    pub memory_mib: u64,
}

impl Room {
    /// What this machine has: the daemon starts with the limits of this process.
    pub fn here() -> Room {
        let limit = getrlimit(Resource::Nofile);
        let descriptors = limit
            .current
            .into_iter()
            .chain(limit.maximum)
            .min()
            .unwrap_or(u64::MAX);
        let memory_mib = proc::available_mib().min(MOST_MIB);
        Room {
            own_descriptors: descriptors,
            daemon_descriptors: descriptors,
            memory_mib,
        }
    }

    /// What a point needs where the daemon may have that many descriptors.
    pub fn of(point: &Point, sockets: u64, options: &Options) -> Room {
        let statements = point.rate * (options.settle(point) + options.window).as_secs_f64();
        // Of its descriptors the daemon uses a quarter for engines at most; each has an end here.
        let connections = point.clients + BUSY + sockets / 4;
        let kib = point.engines * ENGINE_KIB
            + connections * CONNECTION_KIB
            + statements.ceil() as u64 * STATEMENT_KIB;
        Room {
            own_descriptors: point.engines + connections + OWN,
            daemon_descriptors: sockets,
            memory_mib: BASE_MIB + kib.div_ceil(1024),
        }
    }

    /// Whether that much has room.
    pub fn holds(&self, need: &Room) -> bool {
        need.own_descriptors <= self.own_descriptors
            && need.daemon_descriptors <= self.daemon_descriptors
            && need.memory_mib <= self.memory_mib
    }

    /// The greatest part of a point that has room here, in hundredths: fewer clients first, then
    /// fewer engines.
    pub fn nearest(&self, point: &Point, options: &Options) -> Option<Point> {
        let part = |of: u64, hundredths: u64| of * hundredths / 100;
        let fewer_clients = (0..100).rev().map(|h| Point {
            clients: part(point.clients, h),
            ..*point
        });
        let fewer_engines = (1..100).rev().map(|h| Point {
            clients: 0,
            engines: part(point.engines, h),
            ..*point
        });
        let mut all = fewer_clients.chain(fewer_engines).filter(|p| p.engines > 0);
        all.find(|p| self.holds(&Room::of(p, daemons::sockets(&[*p]), options)))
    }

    /// Refuses points that have no room: what the greatest of them needs, what there is, and what
    /// would fit.
    pub fn check(&self, points: &[Point], options: &Options) -> Result<(), String> {
        let sockets = daemons::sockets(points);
        let lacks = |p: &&Point| !self.holds(&Room::of(p, sockets, options));
        // The daemon's descriptors are the same at all points: the greatest one is to blame for
        // them.
        let greatest = |p: &&Point| {
            (
                daemons::sockets(&[**p]),
                Room::of(p, sockets, options).memory_mib,
            )
        };
        let Some(point) = points.iter().filter(lacks).max_by_key(greatest) else {
            return Ok(());
        };
        let need = Room::of(point, sockets, options);
        let nearest = self
            .nearest(point, options)
            .map_or("nothing fits".to_owned(), |p| {
                format!("{} engines with {} clients would fit", p.engines, p.clients)
            });
        Err(format!(
            "{} engines with {} clients need {} descriptors here and {} in the daemon, and {} MiB of memory; there \
            are {}, {} and {} MiB; {nearest}",
            point.engines,
            point.clients,
            need.own_descriptors,
            need.daemon_descriptors,
            need.memory_mib,
            self.own_descriptors,
            self.daemon_descriptors,
            self.memory_mib,
        ))
    }
}
