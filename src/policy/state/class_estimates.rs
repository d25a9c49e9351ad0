//! Estimates for a class of requests, learned from responses: its work, the bias of its hints, its
//! tail latency.
use super::units::seconds;
use crate::policy::api::{ClassSpec, Nanos};

/// Minimum number of samples for an estimate to be used: for the work of a class, and for the
/// control window of all engines together.
pub(crate) const MIN_SAMPLES: u32 = 5;

/// Minimum weight of a sample in an estimate: about the last fifty samples count.
pub(crate) const LEARNING_RATE: f64 = 0.02;

/// Tail factor before the first response, and its lower bound where capacity is scarce, because a
/// retry makes the request run twice.
pub(crate) const INITIAL_TAIL_FACTOR: f64 = 4.0;

/// Fraction of a class's responses that take longer than its tail latency.
const TAIL_SHARE: f64 = 0.05;

/// Step of the tail factor for one response: up by about a fifth if it exceeds the tail, down by a
/// hundredth if not, so that the fraction that exceeds it settles at [`TAIL_SHARE`].
const TAIL_STEP: f64 = 0.2;

/// Maximum ratio of one sample of work to the estimate; larger samples are clipped.
const MAX_WORK_RATIO: f64 = 10.0;

/// Estimates for one class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassEstimates {
    /// Mean work of a request, in seconds on one core.
    pub(crate) work: f64,
    /// Number of responses recorded.
    pub(crate) samples: u32,
    /// Mean ratio of the work to the client's hint.
    hint_bias: f64,
    /// Ratio of latency to unloaded time that only [`TAIL_SHARE`] of the responses exceed.
    pub(crate) tail_factor: f64,
}

/// Measurements of one response, from which the estimates are updated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseSample {
    /// Latency of the response, in seconds.
    pub(crate) latency: f64,
    /// Expected time on an idle engine, in seconds.
    pub(crate) unloaded_seconds: f64,
    /// Work in seconds on one core: reported, or estimated from the latency.
    pub(crate) work: f64,
    /// Whether `work` updates the estimate; under load, work estimated from the latency does not.
    pub(crate) counts_as_work: bool,
    /// Hint of the client, if the engine reported the work to compare it with.
    pub(crate) compared_hint: Option<Nanos>,
}

impl ClassEstimates {
    /// Estimates before the first response: the work is taken as the fixed part of the latency
    /// objective on all threads, which is pessimistic.
    pub(crate) fn initial(class: &ClassSpec) -> ClassEstimates {
        ClassEstimates {
            work: seconds(class.base_latency_objective) * class.threads.max(1.0),
            samples: 0,
            hint_bias: 1.0,
            tail_factor: INITIAL_TAIL_FACTOR,
        }
    }

    /// Expected work of a request with this hint, in seconds on one core.
    pub(crate) fn expected_work(&self, work_hint: Option<Nanos>) -> f64 {
        work_hint.map_or(self.work, |hint| seconds(hint) * self.hint_bias)
    }

    /// Updates the estimates with one response.
    pub(crate) fn record(&mut self, sample: ResponseSample) {
        self.samples += 1;
        let weight = (1.0 / f64::from(self.samples)).max(LEARNING_RATE);
        self.record_latency(sample.latency, sample.unloaded_seconds);
        if sample.counts_as_work {
            let clipped = sample.work.min(self.work * MAX_WORK_RATIO);
            self.work += weight * (clipped - self.work);
        }
        if let Some(hint) = sample.compared_hint {
            let ratio = sample.work / seconds(hint).max(1e-4);
            self.hint_bias += weight * (ratio.clamp(0.1, 10.0) - self.hint_bias);
        }
    }

    fn record_latency(&mut self, latency: f64, unloaded_seconds: f64) {
        let exceeds_tail = latency > self.tail_factor * unloaded_seconds;
        let exceeding = f64::from(u8::from(exceeds_tail));
        self.tail_factor *= 1.0 + TAIL_STEP * (exceeding - TAIL_SHARE);
        self.tail_factor = self.tail_factor.clamp(1.0, 1.0 / TAIL_SHARE);
    }
}

/// The latency objective, in seconds, of a query with `work` seconds on one core.
pub(crate) fn latency_objective(class: &ClassSpec, work: f64) -> f64 {
    let fixed = seconds(class.base_latency_objective);
    (fixed + class.objective_slowdown * work / class.threads.max(1.0)).max(1e-3)
}

#[cfg(test)]
#[path = "../../../tests/unit/class_estimates.rs"]
mod tests;
