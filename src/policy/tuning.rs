//! Tuning constants shared by several parts of the decision module. A constant used by one part is
//! defined in the file of that part.
use crate::policy::api::Nanos;

/// Interval of the periodic tick that processes the queue and the fleet: 20 ms, short against the
/// time that a client usually tolerates between a deadline and its response.
pub(super) const TICK_INTERVAL: Nanos = 20_000_000;

/// Period of the control law ECC09: 2 s, from its design. Values that have to keep pace with the
/// law (means, pressure after a rejection) use the same period.
pub(super) const CONTROL_PERIOD: Nanos = 2_000_000_000;

/// Initial concurrency limit of an engine in threads per core, from the design of the control law.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 2.0;

/// Samples are clipped at this multiple of the usual value, so that one costly query does not
/// dominate an estimate.
pub(super) const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Multiple of a limit that a burst may fill without pressure, before its effect on latency can be
/// measured.
pub(super) const BURST_FACTOR: f64 = 1.4;

/// Slowdown relative to the peers' median from which an engine counts as congested.
pub(super) const CONGESTED_SLOWDOWN: f64 = 2.0;

/// Length of a turn on a warm engine where this gateway's share is less than one query: 0.5 s.
pub(super) const TURN_DURATION: Nanos = 500_000_000;

/// Number of turns on an engine that warms up per overload window of invariant 4. A window can
/// overlap one turn more than this, as it need not start with a turn.
pub(super) const WARM_UP_TURNS: u64 = 4;

/// Number of ready engines up to which all of them are compared for a query. Of a larger fleet, a
/// sample is compared.
pub(super) const MAX_CANDIDATES: usize = 12;

/// Gap between two events above which this gateway itself counts as stalled (three ticks). Ages
/// measured across the gap are no evidence about engines.
pub(super) const STALL_THRESHOLD: Nanos = 3 * TICK_INTERVAL;

/// Utilization of the cores at the usual capacity of an engine.
pub(super) const USUAL_UTILIZATION: f64 = 0.8;

/// Share of the expected time that must be left to start a query. Most queries are smaller than
/// the mean, so the estimate is too high for most.
pub(super) const MIN_TIME_LEFT_SHARE: f64 = 0.5;
