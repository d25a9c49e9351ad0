//! What an answer shows of its engine's speed and of its class's work.
use super::Gateway;
use super::state::class_estimates::{MIN_SAMPLES, ResponseSample, latency_objective};
use super::state::request::Attempt;
use super::state::smooth;
use super::state::units::seconds;
use super::tuning::MAX_SAMPLE_RATIO;
use crate::policy::api::{EngineId, Outcome, Request};

/// Slowdown relative to the best one seen up to which the fleet counts as calm: then the time of an
/// answer shows work, not a crowd.
const MAX_CALM_RATIO: f64 = 1.25;

/// Samples of a class from which its work is learned only while the fleet is calm.
const CALM_ONLY_SAMPLES: u32 = 4 * MIN_SAMPLES;

/// Least expected unloaded time, in seconds: below it the quotient is noise.
const MIN_UNLOADED_SECONDS: f64 = 1e-3;

impl Gateway {
    /// Learns from a successful attempt.
    pub(super) fn learn_from_answer(
        &mut self,
        request: &Request,
        outcome: &Outcome,
        attempt: &Attempt,
    ) {
        let class_index = usize::from(request.class.0);
        let class = &self.settings.classes[class_index];
        let threads = class.threads.max(1.0);
        let reported_work = outcome.work.map(seconds);
        let estimates = self.class_estimates[class_index];
        let work = reported_work.unwrap_or_else(|| estimates.expected_work(request.work_hint));
        let latency = seconds(outcome.latency);
        let lateness = latency / latency_objective(class, work);
        let Some(engine) = self.engines.get_mut(&outcome.engine) else {
            return;
        };
        if class.blocked_by_loads {
            engine.blocked_data_sets.remove(&request.data_set);
        }
        engine.window.completed += 1.0;
        engine
            .window
            .record_lateness(lateness.min(MAX_SAMPLE_RATIO));
        // Without a reported cost, work is estimated from the time taken over the crowd on the
        // engine at the send: else time under overload would pass for work. Dividing by the
        // slowdown instead would let both estimates drift apart together.
        let crowd = attempt
            .threads_per_core
            .max(self.load_reports.threads_per_core())
            .max(1.0);
        let sample = ResponseSample {
            latency,
            unloaded_seconds: attempt.unloaded_seconds,
            work: reported_work.unwrap_or(latency * threads / crowd),
            counts_as_work: self.may_learn_work(class_index),
            compared_hint: request.work_hint.filter(|_| outcome.work.is_some()),
        };
        self.class_estimates[class_index].record(sample);
        let unloaded = (work / threads).max(MIN_UNLOADED_SECONDS);
        self.record_slowdown(outcome.engine, latency / unloaded);
    }

    /// Whether the work of an answer may be learned. Where engines are not probed, nothing but the
    /// slowdown tells a crowd from work: only answers about as fast as the best ones count then.
    fn may_learn_work(&self, class_index: usize) -> bool {
        let calm_slowdown = MAX_CALM_RATIO * self.fleet.best_slowdown;
        self.probes_engines()
            || self.fleet.slowdown <= calm_slowdown
            || self.class_estimates[class_index].samples < CALM_ONLY_SAMPLES
    }

    /// Adds a sample of latency over unloaded time to the slowdowns of the engine and the fleet.
    fn record_slowdown(&mut self, id: EngineId, sample: f64) {
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let before = engine.slowdown;
        for slowdown in [&mut self.fleet.slowdown, &mut engine.slowdown] {
            let clipped = sample.min(MAX_SAMPLE_RATIO * *slowdown);
            smooth(slowdown, clipped);
        }
        if engine.is_ready() {
            self.fleet.slowdowns.replace(before, engine.slowdown);
        }
    }
}
