//! Updates of an engine's slowdown and of a class's work from a response.
use super::Gateway;
use super::state::class_estimates::{MIN_SAMPLES, ResponseSample, latency_objective};
use super::state::request::Attempt;
use super::state::smooth;
use super::state::units::seconds;
use super::tuning::MAX_SAMPLE_RATIO;
use crate::policy::api::{EngineId, Outcome, Request};

/// Slowdown relative to the best one measured up to which the fleet counts as lightly loaded: the
/// latency of a response then reflects its work, not contention.
const MAX_LIGHT_LOAD_RATIO: f64 = 1.25;

/// Number of samples of a class from which its work is learned only while the fleet is lightly
/// loaded.
const LIGHT_LOAD_SAMPLES: u32 = 4 * MIN_SAMPLES;

/// Minimum expected unloaded time, in seconds: below it the quotient is noise.
const MIN_UNLOADED_SECONDS: f64 = 1e-3;

impl Gateway {
    /// Updates the state of the engine and the estimates of the class from a successful attempt.
    pub(super) fn learn_from_response(
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
        // Without a reported cost, work is estimated as the latency divided by the threads per core
        // on the engine when the attempt was sent: otherwise time under overload would be learned
        // as work. Dividing by the slowdown instead would let both estimates drift together.
        let threads_per_core = attempt
            .threads_per_core
            .max(self.load_reports.threads_per_core())
            .max(1.0);
        let sample = ResponseSample {
            latency,
            unloaded_seconds: attempt.unloaded_seconds,
            work: reported_work.unwrap_or(latency * threads / threads_per_core),
            counts_as_work: self.may_learn_work(class_index),
            compared_hint: request.work_hint.filter(|_| outcome.work.is_some()),
        };
        self.class_estimates[class_index].record(sample);
        let unloaded = (work / threads).max(MIN_UNLOADED_SECONDS);
        self.record_slowdown(outcome.engine, latency / unloaded);
    }

    /// Whether the work of a response may be learned. Where engines are not probed, only the
    /// slowdown distinguishes contention from work, so only responses about as fast as the best
    /// ones count.
    fn may_learn_work(&self, class_index: usize) -> bool {
        let light_load_slowdown = MAX_LIGHT_LOAD_RATIO * self.fleet.best_slowdown;
        self.probes_engines()
            || self.fleet.slowdown <= light_load_slowdown
            || self.class_estimates[class_index].samples < LIGHT_LOAD_SAMPLES
    }

    /// Adds a sample of latency divided by unloaded time to the slowdowns of the engine and the
    /// fleet.
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
