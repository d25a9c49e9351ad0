//! State of the decision module. Each submodule holds one part of the state with its rules and can
//! be tested on its own; the decisions that combine the parts are made in `src/policy/`.
pub(crate) mod admission_queue;
pub(crate) mod cancel_budget;
pub(crate) mod circuit_breaker;
pub(crate) mod class_estimates;
pub(crate) mod control_window;
pub(crate) mod engine;
pub(crate) mod fleet_totals;
pub(crate) mod idempotency;
pub(crate) mod load_reports;
pub(crate) mod ordered_queues;
pub(crate) mod probe_stats;
pub(crate) mod request;
pub(crate) mod retry_window;
pub(crate) mod running;
pub(crate) mod running_median;
pub(crate) mod tenant_quotas;
pub(crate) mod turns;
pub(crate) mod units;
pub(crate) mod warm_up_window;

pub(crate) use idempotency::{RepeatTargets, may_reject, may_repeat, use_idempotency_keys};

/// Weight of a new sample in exponentially weighted moving averages: about the last ten samples
/// count.
const SMOOTHING: f64 = 0.1;

/// Adds `sample` to the exponentially weighted moving average `average`.
pub(crate) fn smooth(average: &mut f64, sample: f64) {
    *average += SMOOTHING * (sample - *average);
}
