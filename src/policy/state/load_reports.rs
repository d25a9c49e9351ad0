//! Load reports of the fleet as a whole, and the load probes in flight.
use super::probe_stats::ProbeStats;
use super::smooth;
use crate::policy::api::{EngineId, Nanos};
use std::collections::VecDeque;

/// Load reports and probes of all engines.
pub(crate) struct LoadReports {
    /// Engines with the latest reports, newest first.
    recent: VecDeque<EngineId>,
    /// Smoothed threads per core that engines reported.
    threads_per_core: f64,
    probes_in_flight: usize,
    last_probe_at: Nanos,
    pub(crate) probe_stats: ProbeStats,
}

impl LoadReports {
    pub(crate) fn new() -> LoadReports {
        LoadReports {
            recent: VecDeque::new(),
            threads_per_core: 0.0,
            probes_in_flight: 0,
            last_probe_at: 0,
            probe_stats: ProbeStats::new(),
        }
    }

    /// Engines with the latest reports, newest first.
    pub(crate) fn recent(&self) -> &VecDeque<EngineId> {
        &self.recent
    }

    /// Smoothed threads per core that engines reported.
    pub(crate) fn threads_per_core(&self) -> f64 {
        self.threads_per_core
    }

    /// Records a report of `engine`. Of the engines with the latest reports, `max_recent` are kept.
    pub(crate) fn record(&mut self, engine: EngineId, threads_per_core: f64, max_recent: usize) {
        smooth(&mut self.threads_per_core, threads_per_core);
        self.recent.retain(|id| *id != engine);
        self.recent.push_front(engine);
        self.recent.truncate(max_recent);
    }

    /// Removes the engines for which `is_listed` returns `false`.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(EngineId) -> bool) {
        self.recent.retain(|id| is_listed(*id));
    }

    pub(crate) fn are_probes_in_flight(&self) -> bool {
        self.probes_in_flight > 0
    }

    pub(crate) fn last_probe_at(&self) -> Nanos {
        self.last_probe_at
    }

    pub(crate) fn start_probes(&mut self, now: Nanos, count: usize) {
        self.probes_in_flight += count;
        self.last_probe_at = now;
    }

    pub(crate) fn finish_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/load_reports.rs"]
mod tests;
