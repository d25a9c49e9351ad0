//! What the gateway remembers of one engine.
use super::circuit_breaker::CircuitBreaker;
use super::control_window::{ControlWindow, MIN_LIMIT_SHARE};
use super::running::{LONG_QUERY_SHARE, Running};
use super::units::seconds;
use super::warm_up_window::WarmUpWindow;
use crate::policy::api::{Endpoint, EngineId, Invariants, Nanos, Readiness};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Upper clamp of the concurrency limit, as a share of the initial limit: beyond it engines
/// complete less work, not more.
const MAX_LIMIT_SHARE: f64 = 1.0;

/// Largest part by which one update moves the limit. Latency shows the effect only a period later,
/// so larger steps would oscillate.
const MAX_LIMIT_STEP: f64 = 0.2;

/// Load of an engine as it was last reported, or as a probe showed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    /// When the report came in.
    pub(crate) at: Nanos,
    /// Threads of all gateways; infinite for an engine that cannot be reached.
    pub(crate) threads: f64,
}

/// State of one engine. Limits are in threads of all gateways together.
#[derive(Default)]
pub(crate) struct Engine {
    /// Entry of the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Cores of its machine, at least 1.
    pub(crate) cores: f64,
    /// Concurrency limit at the start, in threads.
    pub(crate) initial_limit: f64,
    /// Concurrency limit now, in threads.
    pub(crate) limit: f64,
    /// Own queries that run there.
    pub(crate) running: Running,
    /// Observations since the last update of the limit.
    pub(crate) window: ControlWindow,
    /// Time up to which `window` holds the integrals of `running`.
    pub(crate) integrated_at: Nanos,
    /// Smoothed latency over the expected time on an idle engine: the measure of pressure and of
    /// comparison with peers.
    pub(crate) slowdown: f64,
    /// End of the pressure that a rejection for lack of capacity stands for.
    pub(crate) saturated_until: Nanos,
    /// Whether the engine is ejected as an outlier.
    pub(crate) circuit: CircuitBreaker,
    /// When an answer or a progress update last came from the engine.
    pub(crate) last_activity_at: Nanos,
    /// When an attempt was last found overdue without any activity of the engine since its send.
    pub(crate) unresponsive_at: Nanos,
    /// Work sent while the engine warms up.
    pub(crate) warm_up: WarmUpWindow,
    /// The newest report, if any came since the engine started.
    pub(crate) report: Option<ReportedLoad>,
    /// Own threads sent since that report.
    pub(crate) threads_sent_since_report: f64,
    /// When this gateway last sent an attempt there; 0 for never.
    pub(crate) last_sent_at: Nanos,
    /// Number of own running loads for each data set.
    pub(crate) loading_data_sets: BTreeMap<u64, u32>,
    /// Data sets that queries were seen to wait for, and the time until which that is believed.
    pub(crate) blocked_data_sets: BTreeMap<u64, Nanos>,
}

impl Engine {
    /// An engine without history.
    pub(crate) fn new(
        now: Nanos,
        endpoint: Endpoint,
        cores: f64,
        initial_limit: f64,
        slowdown: f64,
    ) -> Engine {
        Engine {
            endpoint,
            cores,
            initial_limit,
            limit: initial_limit,
            slowdown,
            integrated_at: now,
            last_activity_at: now,
            ..Engine::default()
        }
    }

    pub(crate) fn id(&self) -> EngineId {
        self.endpoint.id
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.readiness == Readiness::Removed
    }

    /// Whether the share of the engine of one among `active_gateways` is under `threads`.
    pub(crate) fn has_share_below(&self, threads: f64, active_gateways: f64) -> bool {
        self.initial_limit * LONG_QUERY_SHARE / active_gateways < threads
    }

    /// Brings the time integrals of the window up to `now`.
    pub(crate) fn integrate_window(&mut self, now: Nanos) {
        let elapsed = seconds(now.saturating_sub(self.integrated_at));
        self.window.integrate(&self.running, elapsed);
        self.integrated_at = now;
    }

    /// Moves the limit toward `target` threads by one step at most, within its clamps.
    pub(crate) fn move_limit_toward(&mut self, target: f64, may_decrease: bool) {
        let lowest = if may_decrease {
            self.limit * (1.0 - MAX_LIMIT_STEP)
        } else {
            self.limit
        };
        let next = target.clamp(lowest, self.limit * (1.0 + MAX_LIMIT_STEP));
        let floor = self.initial_limit * MIN_LIMIT_SHARE;
        let ceiling = self.initial_limit * MAX_LIMIT_SHARE;
        self.limit = next.clamp(floor, ceiling);
    }

    /// The latest time at which the engine is warm.
    pub(crate) fn warm_at(&self, rules: &Invariants) -> Nanos {
        let started_at = self.endpoint.started_at;
        started_at.saturating_add(rules.slow_start_duration)
    }

    /// Share of its usual capacity that the engine has at least: the share stated for its start,
    /// then a curve that rises late.
    pub(crate) fn warmth(&self, now: Nanos, rules: &Invariants) -> f64 {
        if self.endpoint.started_at == 0 || self.warm_at(rules) <= now {
            return 1.0;
        }
        let age = seconds(now.saturating_sub(self.endpoint.started_at))
            / seconds(rules.slow_start_duration.max(1));
        rules.slow_start_initial_fraction + (1.0 - rules.slow_start_initial_fraction) * age * age
    }

    pub(crate) fn is_warming_up(&self, now: Nanos, rules: &Invariants) -> bool {
        self.warmth(now, rules) < 1.0
    }

    /// Counts work that is sent while the engine warms up.
    pub(crate) fn record_warm_up_send(&mut self, now: Nanos, rules: &Invariants, work: f64) {
        self.warm_up.record(now, work);
        self.forget_warm_up_sends(now, rules);
    }

    /// Applies what the time alone changes: the end of an ejection and of the warm-up window.
    pub(crate) fn expire(&mut self, now: Nanos, rules: &Invariants) {
        self.forget_warm_up_sends(now, rules);
        self.circuit.expire(now);
    }

    fn forget_warm_up_sends(&mut self, now: Nanos, rules: &Invariants) {
        let start = now.saturating_sub(rules.overload_window);
        self.warm_up.forget_before(start);
    }

    /// Subtracts own threads that no longer run from those sent since the last report.
    pub(crate) fn forget_sent_threads(&mut self, threads: f64) {
        self.threads_sent_since_report = (self.threads_sent_since_report - threads).max(0.0);
    }

    /// One own load of `data_set` ended.
    pub(crate) fn finish_load(&mut self, data_set: u64) {
        *self.loading_data_sets.entry(data_set).or_insert(1) -= 1;
        self.loading_data_sets.retain(|_, running| *running > 0);
    }

    /// Whether a query on `data_set` would wait for a load: an own one, or one that other queries
    /// were seen to wait for.
    pub(crate) fn is_blocked(&self, data_set: u64, now: Nanos) -> bool {
        let blocked_until = self.blocked_data_sets.get(&data_set);
        self.loading_data_sets.contains_key(&data_set)
            || blocked_until.is_some_and(|until| *until > now)
    }
}

/// Distance of an engine from the engine preferred for a data set, from 0 to 1 (rendezvous
/// hashing). It is the same at all gateways and after a restart, so engines keep the data sets in
/// their caches that they are asked for, without coordination between gateways.
pub(crate) fn affinity_distance(data_set: u64, engine: EngineId) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_be_bytes(), data_set);
    1.0 - (hash >> 11) as f64 / (1u64 << 53) as f64
}
