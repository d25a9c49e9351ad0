//! What is kept of the whole fleet.
use super::{Running, Window};
use crate::interface::*;
use std::collections::VecDeque;

/// What is kept of the whole fleet, so that no request walks over it.
#[derive(Default)]
pub struct Fleet {
    pub ready: Vec<EngineId>,       // Engines that take work, from the list.
    pub recent: VecDeque<EngineId>, // Those with the newest reports.
    pub turns: Vec<EngineId>,       // Those where this gateway had a turn at the last look.
    pub cores: f64,                 // Of engines ready and not ejected, and their bounds.
    pub bound: f64,
    pub running: Running,
    pub mean: Running, // The same as a mean over about a period.
    pub mix: Running,  // Own queries weighted by the time they take: threads per query of what engines hold.
    pub window: Window,
    pub window_since: Nanos,
    pub stretch: f64, // Smoothed over all own queries; the median over engines; the best seen.
    pub median_stretch: f64,
    pub crowd: f64, // Smoothed threads a core that engines told.
    pub best_stretch: f64,
    pub backlog: f64, // Seconds that the held queries would take this gateway's part of the fleet.
    pub probes_out: usize,
    pub probed_at: Nanos,
    pub probe_base: [f64; 2], // Shortest probe within the zone and beyond, in seconds...
    pub probe_delay: f64,     // ...and the smoothed delay past it.
}

impl Fleet {
    /// A fleet of which nothing is known: as fast as expected, and nothing seen yet to compare with.
    pub fn new(now: Nanos) -> Fleet {
        let (stretch, best_stretch) = (1.0, f64::INFINITY);
        let known = Fleet { stretch, median_stretch: stretch, best_stretch, ..Fleet::default() };
        Fleet { window_since: now, probe_base: [f64::INFINITY; 2], ..known }
    }
}

impl Fleet {
    /// An arc of the ring of ready engines, from some place in it: one of the evenly spaced arcs of all gateways.
    pub fn arc(
        &self,
        me: usize,
        gateways: usize,
        most: usize,
        place: usize,
    ) -> impl Iterator<Item = EngineId> {
        let (n, most) = (self.ready.len(), most.min(self.ready.len()));
        (0..most).map(move |i| self.ready[(me * n / gateways + (place + i) % most) % n])
    }
}
