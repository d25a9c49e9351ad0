//! One observation window of the concurrency control law ECC09, formula (5).
use super::running::Running;

/// Lowest concurrency limit as a share of the initial one (from the design of the control law);
/// also the lowest value of the law's divisor, so one window at most doubles or halves the limit.
pub(crate) const MIN_LIMIT_SHARE: f64 = 0.5;

/// Gain of formula (5), in queries a second: an imbalance of a tenth over the demand of a usual
/// engine.
const GAIN: f64 = 1.0;

/// Least |Ti - To| used in formula (5), in queries a second. Below it the quotient follows noise
/// and the limit would jump.
const MIN_IMBALANCE: f64 = 1.0;

/// Sums over one window of the control law.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlWindow {
    /// Integral of running queries, in query-seconds.
    pub(crate) query_seconds: f64,
    /// Integral of running threads, in thread-seconds: the law's Ne once divided by the period.
    pub(crate) thread_seconds: f64,
    /// Queries completed: the law's To once divided by the period.
    pub(crate) completed: f64,
    /// Queries that arrived and fit this engine best: the law's Ti once divided by the period.
    pub(crate) arrived: f64,
    /// Sum of latency over the latency objective.
    pub(crate) lateness: f64,
    /// Number of summands in `lateness`.
    pub(crate) samples: f64,
}

impl ControlWindow {
    /// Adds the time integrals of `running` over `duration_seconds`.
    pub(crate) fn integrate(&mut self, running: &Running, duration_seconds: f64) {
        self.query_seconds += running.queries * duration_seconds;
        self.thread_seconds += running.threads * duration_seconds;
    }

    /// Adds a query that took `lateness` times its latency objective.
    pub(crate) fn record_lateness(&mut self, lateness: f64) {
        self.samples += 1.0;
        self.lateness += lateness;
    }

    /// Adds another window. Its counts and integrals are scaled by `factor`; lateness is a mean
    /// over samples and needs no scaling.
    pub(crate) fn add_scaled(&mut self, other: &ControlWindow, factor: f64) {
        self.query_seconds += other.query_seconds * factor;
        self.thread_seconds += other.thread_seconds * factor;
        self.completed += other.completed * factor;
        self.arrived += other.arrived * factor;
        self.lateness += other.lateness;
        self.samples += other.samples;
    }

    /// The limit in threads that formula (5) asks for after a window of `period_seconds`:
    /// MPL = Ne / (1 + gain (L' - 1) / (Ti - To)).
    pub(crate) fn target_threads(&self, period_seconds: f64) -> f64 {
        let lateness = self.lateness / self.samples.max(1.0);
        let imbalance = (self.arrived - self.completed) / period_seconds;
        let imbalance = imbalance.abs().max(MIN_IMBALANCE).copysign(imbalance);
        let divisor = 1.0 + GAIN * (lateness - 1.0) / imbalance;
        let divisor = divisor.clamp(MIN_LIMIT_SHARE, 1.0 / MIN_LIMIT_SHARE);
        self.thread_seconds / period_seconds / divisor
    }

    /// Whether the limit may fall: only while answers are late and more arrives than completes.
    pub(crate) fn allows_decrease(&self) -> bool {
        self.lateness > self.samples && self.arrived > self.completed
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/control_window.rs"]
mod tests;
