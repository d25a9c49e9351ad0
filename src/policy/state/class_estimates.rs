//! What answers show of a class of requests: its work, the error of its hints, its tail latency.
use super::units::seconds;
use crate::policy::api::{ClassSpec, Nanos};

/// Number of samples from which an estimate is trusted: of a class's work, and of the control
/// window of all engines together.
pub(crate) const MIN_SAMPLES: u32 = 5;

/// Least weight of a sample in an estimate: about the last fifty samples count.
pub(crate) const LEARNING_RATE: f64 = 0.02;

/// Tail factor before answers were seen, and its lower bound where capacity is scarce: a retry
/// makes the request run twice.
pub(crate) const INITIAL_TAIL_FACTOR: f64 = 4.0;

/// Share of a class's answers that take longer than its tail.
const TAIL_SHARE: f64 = 0.05;

/// Step of the tail factor for one answer: a fifth up beyond the tail, a hundredth down within it,
/// which settles at [`TAIL_SHARE`].
const TAIL_STEP: f64 = 0.2;

/// Largest factor by which one sample of work may exceed the estimate.
const MAX_WORK_RATIO: f64 = 10.0;

/// Estimates for one class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassEstimates {
    /// Mean work of a request, in seconds on one core.
    pub(crate) work: f64,
    /// Number of answers seen.
    pub(crate) samples: u32,
    /// Mean of work over the client's hint.
    hint_bias: f64,
    /// Latency over unloaded time that only [`TAIL_SHARE`] of the answers exceed.
    pub(crate) tail_factor: f64,
}

/// What one answer shows of its class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSample {
    /// Latency of the answer, in seconds.
    pub(crate) latency: f64,
    /// Expected time on an idle engine, in seconds.
    pub(crate) unloaded_seconds: f64,
    /// Work in seconds on one core: as reported, or estimated from the latency.
    pub(crate) work: f64,
    /// Whether `work` may be learned from; under pressure an estimate from the latency may not.
    pub(crate) counts_as_work: bool,
    /// Hint of the client, where the engine reported the work to compare it with.
    pub(crate) compared_hint: Option<Nanos>,
}

impl ClassEstimates {
    /// Estimates before any answer: the fixed latency objective on all threads stands for the work,
    /// which is pessimistic.
    pub(crate) fn initial(class: &ClassSpec) -> ClassEstimates {
        ClassEstimates {
            work: seconds(class.base_latency_objective) * class.threads.max(1.0),
            samples: 0,
            hint_bias: 1.0,
            tail_factor: INITIAL_TAIL_FACTOR,
        }
    }

    /// Expected work of a request with that hint, in seconds on one core.
    pub(crate) fn expected_work(&self, work_hint: Option<Nanos>) -> f64 {
        work_hint.map_or(self.work, |hint| seconds(hint) * self.hint_bias)
    }

    /// Takes in one answer.
    pub(crate) fn record(&mut self, sample: AnswerSample) {
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

/// The latency objective in seconds of a query with `work` seconds on one core.
pub(crate) fn latency_objective(class: &ClassSpec, work: f64) -> f64 {
    let fixed = seconds(class.base_latency_objective);
    (fixed + class.objective_slowdown * work / class.threads.max(1.0)).max(1e-3)
}

#[cfg(test)]
#[path = "../../../tests/unit/class_estimates.rs"]
mod tests;
