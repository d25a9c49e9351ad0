//! Tuning constants that several parts of the decision module share. Constants of one part stand in
//! the file of that part.
use crate::policy::api::Nanos;

/// Interval of the sweep over queue and fleet: 20 ms, well within the usual slack of an answer.
pub(super) const SWEEP_INTERVAL: Nanos = 20_000_000;

/// Period of the control law ECC09: 2 s, from its design. Figures that have to follow the law
/// (means, pressure after a rejection) use the same period.
pub(super) const CONTROL_PERIOD: Nanos = 2_000_000_000;

/// Initial concurrency limit of an engine in threads per core, from the design of the control law.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 2.0;

/// Times the usual value that one sample counts at most: one costly query must not decide.
pub(super) const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Share of the initial limit that a burst may fill without pressure, before latency can show its
/// effect.
pub(super) const BURST_SHARE: f64 = 1.4;

/// Slowdown relative to the peers' median from which an engine counts as jammed.
pub(super) const JAM_SLOWDOWN: f64 = 2.0;

/// Length of a turn on a warm engine of which this gateway's share is less than one query: 0.5 s.
pub(super) const TURN_DURATION: Nanos = 500_000_000;

/// Turns on an engine that warms up in one window of the overload rule. A window cuts one turn
/// more than these, as it need not start with one.
pub(super) const WARM_UP_TURNS: u64 = 4;

/// Engines compared for a query: all of a small fleet, a sample of a large one.
pub(super) const MAX_CANDIDATES: usize = 12;

/// Gap between two events after which this gateway itself was stalled (three sweeps): ages
/// measured across the gap say nothing of engines.
pub(super) const STALL_THRESHOLD: Nanos = 3 * SWEEP_INTERVAL;

/// Share of the cores' time that the usual capacity of an engine stands for.
pub(super) const USUAL_UTILIZATION: f64 = 0.8;

/// Share of the expected time that must be left to start a query: most queries are smaller than
/// the mean, so estimates are too high for most.
pub(super) const MIN_TIME_LEFT_SHARE: f64 = 0.5;
