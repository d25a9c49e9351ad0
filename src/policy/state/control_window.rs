//! Observation window of the concurrency control law ECC09, formula (5).
use super::running::Running;

/// Minimum concurrency limit as a fraction of the initial one (from the design of the control law).
/// Also the minimum of the law's divisor, so that the target is at most twice and at least half the
/// mean number of running threads.
pub(crate) const MIN_LIMIT_SHARE: f64 = 0.5;

/// Gain of formula (5), in queries per second: an imbalance of a tenth of the demand of a typical
/// engine.
const GAIN: f64 = 1.0;

/// Minimum |Ti - To| in formula (5), in queries per second. With a smaller value, noise would
/// dominate the quotient and make the limit jump.
const MIN_IMBALANCE: f64 = 1.0;

/// Sums over one window of the control law.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlWindow {
    /// Time integral of the running queries, in query-seconds.
    pub(crate) query_seconds: f64,
    /// Time integral of the running threads, in thread-seconds; divided by the period, the law's
    /// Ne.
    pub(crate) thread_seconds: f64,
    /// Queries completed; divided by the period, the law's To.
    pub(crate) completed: f64,
    /// Queries for which this engine had the most free capacity of all candidates when they
    /// arrived; divided by the period, the law's Ti.
    pub(crate) arrived: f64,
    /// Sum of the ratios of latency to latency objective.
    pub(crate) lateness: f64,
    /// Number of ratios in the sum `lateness`.
    pub(crate) samples: f64,
}

impl ControlWindow {
    /// Adds the time integrals of `running` over the last `duration_seconds`.
    pub(crate) fn integrate(&mut self, running: &Running, duration_seconds: f64) {
        self.query_seconds += running.queries * duration_seconds;
        self.thread_seconds += running.threads * duration_seconds;
    }

    /// Adds a query whose latency was `lateness` times its objective.
    pub(crate) fn record_lateness(&mut self, lateness: f64) {
        self.samples += 1.0;
        self.lateness += lateness;
    }

    /// Adds another window. Its counts and integrals are scaled by `factor`; lateness is used as a
    /// mean over samples and needs no scaling.
    pub(crate) fn add_scaled(&mut self, other: &ControlWindow, factor: f64) {
        self.query_seconds += other.query_seconds * factor;
        self.thread_seconds += other.thread_seconds * factor;
        self.completed += other.completed * factor;
        self.arrived += other.arrived * factor;
        self.lateness += other.lateness;
        self.samples += other.samples;
    }

    /// The limit in threads that formula (5) gives after a window of `period_seconds`:
    /// MPL = Ne / (1 + gain (L' - 1) / (Ti - To)). MPL is the limit, Ne the mean number of running
    /// threads, L' the mean ratio of latency to latency objective, and Ti and To are the arrivals
    /// and completions per second.
    pub(crate) fn target_threads(&self, period_seconds: f64) -> f64 {
        let lateness = self.lateness / self.samples.max(1.0);
        let imbalance = (self.arrived - self.completed) / period_seconds;
        let imbalance = imbalance.abs().max(MIN_IMBALANCE).copysign(imbalance);
        let divisor = 1.0 + GAIN * (lateness - 1.0) / imbalance;
        let divisor = divisor.clamp(MIN_LIMIT_SHARE, 1.0 / MIN_LIMIT_SHARE);
        self.thread_seconds / period_seconds / divisor
    }

    /// Whether the limit may decrease: only if responses are late on average and more queries
    /// arrive than complete.
    pub(crate) fn allows_decrease(&self) -> bool {
        self.lateness > self.samples && self.arrived > self.completed
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/control_window.rs"]
mod tests;
