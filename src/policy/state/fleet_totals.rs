//! Totals over all engines, kept between scans so that no request has to visit the whole fleet.
use super::control_window::ControlWindow;
use super::running::Running;
use super::running_median::RunningMedian;
use super::turns::GatewayPosition;
use crate::policy::api::{EngineId, Nanos};
use std::collections::BTreeSet;

/// Totals over all engines.
#[derive(Default)]
pub(crate) struct FleetTotals {
    /// Engines that take work, in the order of their ids.
    pub(crate) ready: Vec<EngineId>,
    /// Engines where this gateway has an unused turn, as of the last refresh, in the order of
    /// their ids.
    pub(crate) turns: Vec<EngineId>,
    /// Engines of `turns` that were sent to since the last refresh.
    used_turns: BTreeSet<EngineId>,
    /// Cores of the engines that are ready and not ejected.
    pub(crate) cores: f64,
    /// Sum of their concurrency limits, in threads, scaled by warmth.
    pub(crate) limit: f64,
    /// The part of `limit` that time alone does not change.
    warm_limit: f64,
    /// Engines among them that warm up.
    pub(crate) warming_up: Vec<EngineId>,
    /// Slowdowns of the engines that are ready.
    pub(crate) slowdowns: RunningMedian,
    /// When the next scan is due; 0 once something changed that a scan reads.
    next_scan_at: Nanos,
    /// Number of scans.
    pub(crate) scans: u64,
    /// Number of engines visited by scans and refreshes.
    pub(crate) visited_engines: u64,
    /// Own queries that run on all engines.
    pub(crate) running: Running,
    /// Mean of `running` over about one control period.
    pub(crate) mean_running: Running,
    /// Smoothed sum of the queries sent, weighted by their unloaded time: threads per query of
    /// what engines hold.
    pub(crate) sent_mix: Running,
    /// Observations of all engines together, for engines of which this gateway has less than one
    /// thread.
    pub(crate) window: ControlWindow,
    /// Start of that window.
    pub(crate) window_started_at: Nanos,
    /// Smoothed slowdown over all own queries.
    pub(crate) slowdown: f64,
    /// Median slowdown of the engines that are ready.
    pub(crate) median_slowdown: f64,
    /// Lowest slowdown seen; it rises slowly while no engine reaches it.
    pub(crate) best_slowdown: f64,
}

impl FleetTotals {
    /// A fleet without history: as fast as expected, and without a best slowdown to compare with.
    pub(crate) fn new(now: Nanos) -> FleetTotals {
        FleetTotals {
            slowdown: 1.0,
            median_slowdown: 1.0,
            best_slowdown: f64::INFINITY,
            window_started_at: now,
            ..FleetTotals::default()
        }
    }

    /// Requests a scan: something changed that a scan reads.
    pub(crate) fn mark_changed(&mut self) {
        self.next_scan_at = 0;
    }

    pub(crate) fn is_scan_due(&self, now: Nanos) -> bool {
        now >= self.next_scan_at
    }

    /// Replaces the totals by those of a scan that visited `visited_engines`.
    pub(crate) fn apply_scan(&mut self, scan: FleetScan, visited_engines: usize) {
        self.turns = scan.turns;
        self.cores = scan.cores;
        self.warm_limit = scan.warm_limit;
        self.warming_up = scan.warming_up;
        self.slowdowns = RunningMedian::new(scan.slowdowns);
        self.next_scan_at = scan.next_scan_at;
        self.used_turns.clear();
        self.scans += 1;
        self.visited_engines += visited_engines as u64;
    }

    /// Notes a send to `engine`: a turn there is used from the next refresh on.
    pub(crate) fn record_send(&mut self, engine: EngineId) {
        if self.turns.binary_search(&engine).is_ok() {
            self.used_turns.insert(engine);
        }
    }

    /// Removes the turns that were used since the last refresh.
    pub(crate) fn remove_used_turns(&mut self) {
        self.visited_engines += self.used_turns.len() as u64;
        for id in std::mem::take(&mut self.used_turns) {
            if let Ok(position) = self.turns.binary_search(&id) {
                self.turns.remove(position);
            }
        }
    }

    /// Recomputes the sum of the limits; `warming_up_limit` is that of the engines that warm up.
    pub(crate) fn set_warming_up_limit(&mut self, warming_up_limit: f64) {
        self.limit = self.warm_limit + warming_up_limit;
    }

    /// Up to `max_engines` ready engines that this gateway prefers: an arc of the ring of ready
    /// engines, where the arcs of all gateways are spaced evenly. Iteration starts at `offset`
    /// within the arc.
    pub(crate) fn preferred_engines(
        &self,
        gateway: GatewayPosition,
        max_engines: usize,
        offset: usize,
    ) -> impl Iterator<Item = EngineId> {
        let ready = self.ready.len();
        let arc_length = max_engines.min(ready);
        let index = gateway.index as usize;
        let gateways = gateway.count as usize;
        (0..arc_length).map(move |step| {
            let arc_start = index * ready / gateways;
            let position = arc_start + (offset + step) % arc_length;
            self.ready[position % ready]
        })
    }
}

/// What one scan over the whole fleet finds.
#[derive(Default)]
pub(crate) struct FleetScan {
    /// Ready engines where this gateway has an unused turn, in the order of their ids.
    pub(crate) turns: Vec<EngineId>,
    /// Slowdowns of the ready engines.
    pub(crate) slowdowns: Vec<f64>,
    /// Cores of the engines that are ready and whose circuit is closed.
    pub(crate) cores: f64,
    /// Sum of the limits of the warm ones among those.
    pub(crate) warm_limit: f64,
    /// Those among them that warm up.
    pub(crate) warming_up: Vec<EngineId>,
    /// The next time at which time alone changes any of it but warmth.
    pub(crate) next_scan_at: Nanos,
}
