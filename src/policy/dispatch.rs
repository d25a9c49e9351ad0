//! Dispatch of one attempt.
use super::Gateway;
use super::state::class_estimates::LEARNING_RATE;
use super::state::engine::Engine;
use super::state::request::{Attempt, PendingRequest};
use super::state::running::Running;
use super::state::units::nanos;
use crate::policy::api::{Action, AttemptNo, EngineId, Nanos, RequestId};

/// Priority of a query that misses its objective in any case or exceeds its tenant's quota.
const LOWEST_PRIORITY: u8 = 0;

/// Priority of a long query with at least the usual work of its class.
const LONG_PRIORITY: u8 = 0;

/// Priority of a long query with less than the usual work of its class: its objective ends sooner.
const SMALL_LONG_PRIORITY: u8 = 1;

/// Priority of a short query.
const SHORT_PRIORITY: u8 = 3;

/// Expected resources and time of an attempt, and its priority.
struct AttemptPlan {
    running: Running,
    is_load: bool,
    data_set: u64,
    unloaded_seconds: f64,
    /// Work charged to the budget of an engine that warms up, in seconds on one core.
    warm_up_work: f64,
    priority: u8,
}

impl Gateway {
    /// Starts an attempt of the request on `engine`.
    pub(super) fn dispatch(
        &mut self,
        now: Nanos,
        id: RequestId,
        engine: EngineId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let plan = self.plan_attempt(now, request);
        if request.attempts_started > 0 {
            self.retries.record_retry(now);
        }
        let Some(target) = self.engines.get(&engine) else {
            return;
        };
        let threads_per_core = self.threads_per_core_with(now, target, plan.running.threads);
        let expected_seconds = plan.unloaded_seconds * target.slowdown.max(1.0);
        self.record_dispatch(now, id, engine, &plan);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts.push(Attempt {
            number: AttemptNo(request.attempts_started as u16),
            engine,
            sent_at: now,
            unloaded_seconds: plan.unloaded_seconds,
            expected_seconds,
            running: plan.running,
            threads_per_core,
            last_activity_at: now,
            cancelling: false,
        });
        request.attempts_started += 1;
        request.tried_engines.insert(engine);
        if self.settings.priorities_supported {
            actions.push(Action::SetAttemptOptions {
                id,
                priority: plan.priority,
                memory_mb: 0.0,
            });
        }
        actions.push(Action::Send {
            id,
            engine,
            timeout: 0,
        });
    }

    fn plan_attempt(&self, now: Nanos, request: &PendingRequest) -> AttemptPlan {
        let threads = self.query_threads(request);
        let is_long = self.is_long(request);
        AttemptPlan {
            running: Running {
                queries: 1.0,
                threads,
                short_threads: if is_long { 0.0 } else { threads },
            },
            is_load: self.class(request).loads_data_set,
            data_set: request.data_set(),
            unloaded_seconds: self.unloaded_seconds(request),
            warm_up_work: self.warm_up_work(request),
            priority: self.attempt_priority(now, request),
        }
    }

    fn attempt_priority(&self, now: Nanos, request: &PendingRequest) -> u8 {
        let unloaded = nanos(self.unloaded_seconds(request));
        if request.over_quota || now + unloaded > self.objective_end(request) {
            return LOWEST_PRIORITY;
        }
        if !self.is_long(request) {
            return SHORT_PRIORITY;
        }
        if self.expected_work(request) < self.estimates(request).work {
            SMALL_LONG_PRIORITY
        } else {
            LONG_PRIORITY
        }
    }

    /// Estimated threads per core of the engine with `threads` more, over all gateways: from its
    /// load report where this gateway's share is small, otherwise from this gateway's own threads.
    fn threads_per_core_with(&self, now: Nanos, engine: &Engine, threads: f64) -> f64 {
        let load = if self.has_share_below(engine, threads) {
            self.estimated_load(now, engine)
        } else {
            engine.running.threads * self.active_gateways
        };
        let load = if load.is_finite() { load } else { 0.0 };
        (load + threads) / engine.cores
    }

    /// Adds the attempt to the state of its engine and to the totals of the fleet.
    fn record_dispatch(&mut self, now: Nanos, id: RequestId, engine: EngineId, plan: &AttemptPlan) {
        let Some(target) = self.engines.get_mut(&engine) else {
            return;
        };
        // The mix is that of the queries sent, not of those that arrive: otherwise reported counts
        // of short queries would be converted to threads as if they were long ones.
        let sent_mix = self.fleet.sent_mix;
        self.fleet.sent_mix.add_scaled(sent_mix, -LEARNING_RATE);
        self.fleet
            .sent_mix
            .add_scaled(plan.running, plan.unloaded_seconds);
        target.threads_sent_since_report += plan.running.threads;
        target.last_sent_at = now;
        let invariants = &self.settings.invariants;
        if target.is_warming_up(now, invariants) {
            target.record_warm_up_attempt(now, invariants, plan.warm_up_work);
        }
        self.fleet.record_attempt(engine);
        if plan.is_load {
            *target.loading_data_sets.entry(plan.data_set).or_default() += 1;
        }
        target.circuit.on_send(id);
        self.record_running(now, engine, plan.running, 1.0);
    }
}
