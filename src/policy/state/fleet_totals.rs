//! Totals over all engines, kept between scans so that no request causes a scan of the whole fleet.
use super::control_window::ControlWindow;
use super::running::Running;
use super::running_median::RunningMedian;
use super::turns::GatewayPosition;
use crate::policy::api::{EngineId, Nanos};
use std::collections::BTreeSet;

/// Totals over all engines.
#[derive(Default)]
pub(crate) struct FleetTotals {
    /// Engines that are ready, in the order of their ids.
    pub(crate) ready: Vec<EngineId>,
    /// Engines where this gateway has an unused turn, as of the last refresh, in the order of
    /// their ids.
    pub(crate) turns: Vec<EngineId>,
    /// Engines of `turns` to which requests were sent since the last refresh.
    used_turns: BTreeSet<EngineId>,
    /// Cores of the engines that are ready and whose circuit is closed.
    pub(crate) cores: f64,
    /// Sum of their concurrency limits, in threads; that of an engine in slow start is scaled by
    /// its capacity fraction, or left out if engines are not probed.
    pub(crate) limit: f64,
    /// The part of `limit` that comes from warm engines, which does not change with time alone.
    warm_limit: f64,
    /// The engines among them that are in slow start.
    pub(crate) warming_up: Vec<EngineId>,
    /// Slowdowns of the ready engines.
    pub(crate) slowdowns: RunningMedian,
    /// When the next scan is due; 0 if something that a scan reads has changed.
    next_scan_at: Nanos,
    /// Number of scans.
    pub(crate) scans: u64,
    /// Number of engines visited by scans and refreshes.
    pub(crate) visited_engines: u64,
    /// This gateway's running queries, over all engines.
    pub(crate) running: Running,
    /// Mean of `running` over about one control period.
    pub(crate) mean_running: Running,
    /// Exponentially decayed sum of the queries sent, weighted by their unloaded time. It gives the
    /// threads per query of the queries that run on engines.
    pub(crate) sent_mix: Running,
    /// Observations of all engines together, used for engines on which this gateway's share is less
    /// than one thread.
    pub(crate) window: ControlWindow,
    /// Start of `window`.
    pub(crate) window_started_at: Nanos,
    /// Smoothed slowdown over all queries of this gateway.
    pub(crate) slowdown: f64,
    /// Median slowdown of the ready engines.
    pub(crate) median_slowdown: f64,
    /// Lowest slowdown observed; it rises slowly while every ready engine is slower.
    pub(crate) best_slowdown: f64,
}

impl FleetTotals {
    /// Totals without history: slowdowns of 1, and no best slowdown yet.
    pub(crate) fn new(now: Nanos) -> FleetTotals {
        FleetTotals {
            slowdown: 1.0,
            median_slowdown: 1.0,
            best_slowdown: f64::INFINITY,
            window_started_at: now,
            ..FleetTotals::default()
        }
    }

    /// Makes a scan due, because something that a scan reads has changed.
    pub(crate) fn mark_changed(&mut self) {
        self.next_scan_at = 0;
    }

    pub(crate) fn is_scan_due(&self, now: Nanos) -> bool {
        now >= self.next_scan_at
    }

    /// Replaces the totals with the result of a scan that visited `visited_engines`.
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

    /// Records an attempt sent to `engine`: a turn there counts as used from the next refresh on.
    pub(crate) fn record_attempt(&mut self, engine: EngineId) {
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

    /// Recomputes the sum of the limits; `warming_up_limit` is that of the engines in slow start.
    pub(crate) fn set_warming_up_limit(&mut self, warming_up_limit: f64) {
        self.limit = self.warm_limit + warming_up_limit;
    }

    /// Up to `max_engines` ready engines that this gateway prefers: an arc of the ring of ready
    /// engines; the arcs of all gateways are spaced evenly. Iteration starts at `offset` within the
    /// arc.
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

/// The result of one scan of the whole fleet.
#[derive(Default)]
pub(crate) struct FleetScan {
    /// Ready engines where this gateway has an unused turn, in the order of their ids.
    pub(crate) turns: Vec<EngineId>,
    /// Slowdowns of the ready engines.
    pub(crate) slowdowns: Vec<f64>,
    /// Cores of the engines that are ready and whose circuit is closed.
    pub(crate) cores: f64,
    /// Sum of the limits of the warm engines among these.
    pub(crate) warm_limit: f64,
    /// The engines among these that are in slow start.
    pub(crate) warming_up: Vec<EngineId>,
    /// When the next scan is due: the next time at which time alone changes any of these totals,
    /// other than by the capacity fractions of engines in slow start.
    pub(crate) next_scan_at: Nanos,
}
