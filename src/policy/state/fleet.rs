//! What is kept of the whole fleet.
use super::{ControlWindow, Running};
use crate::policy::api::*;
use crate::policy::state::running_median::RunningMedian;
use std::collections::{BTreeSet, VecDeque};

/// What is kept of the whole fleet, so that no request walks over it.
#[derive(Default)]
pub struct Fleet {
    pub ready: Vec<EngineId>,       // Engines that take work, from the list.
    pub recent: VecDeque<EngineId>, // Those with the newest reports.
    pub turns: Vec<EngineId>,       // Those where this gateway had a turn at the last look.
    pub sent: BTreeSet<EngineId>,   // Those of them that it sent to since.
    pub cores: f64,                 // Of engines ready and not ejected, and their bounds.
    pub bound: f64,
    pub warm_bound: f64,     // The part of it that does not move by itself...
    pub cold: Vec<EngineId>, // ...and the cold engines whose part does.
    pub stretches: RunningMedian, // Of engines that are ready.
    // When a look has to walk over all engines again; 0 once something changed.
    pub walk_due: Nanos,
    pub walks: u64, // Such walks, and engines visited by all looks, those of the walks with them.
    pub visits: u64,
    pub running: Running,
    pub mean: Running, // The same as a mean over about a period.
    // Own queries weighted by the time they take: threads per query of what engines hold.
    pub mix: Running,
    pub window: ControlWindow,
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
    /// A fleet of which nothing is known: as fast as expected, and nothing seen yet to compare
    /// with.
    pub fn new(now: Nanos) -> Fleet {
        let (stretch, best_stretch) = (1.0, f64::INFINITY);
        let known = Fleet {
            stretch,
            median_stretch: stretch,
            best_stretch,
            ..Fleet::default()
        };
        Fleet {
            window_since: now,
            probe_base: [f64::INFINITY; 2],
            ..known
        }
    }
}

/// What one walk over the whole fleet finds.
#[derive(Default)]
pub struct FleetScan {
    // Of engines that are ready, those where this gateway has a turn, by their ids.
    pub turns: Vec<EngineId>,
    pub stretches: Vec<f64>,
    // Of those that are closed too, with the bounds of the warm and the ids of the cold.
    pub cores: f64,
    pub warm_bound: f64,
    pub cold: Vec<EngineId>,
    pub due: Nanos, // The next instant at which time alone changes any of it but warmth.
}

impl Fleet {
    /// Something changed that a walk reads: the next look is one.
    pub fn changed(&mut self) {
        self.walk_due = 0;
    }

    /// Takes over what a walk found that visited so many engines.
    pub fn take_tally(&mut self, t: FleetScan, visited: usize) {
        (self.turns, self.cores) = (t.turns, t.cores);
        (self.warm_bound, self.cold) = (t.warm_bound, t.cold);
        (self.stretches, self.walk_due) = (RunningMedian::new(t.stretches), t.due);
        self.sent.clear();
        self.walks += 1;
        self.visits += visited as u64;
    }

    /// Notes a send: the turn there is used, as the next look sees.
    pub fn note_send(&mut self, engine: EngineId) {
        if self.turns.binary_search(&engine).is_ok() {
            self.sent.insert(engine);
        }
    }

    /// An arc of the ring of ready engines, from some place in it: one of the evenly spaced arcs of
    /// all gateways.
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
