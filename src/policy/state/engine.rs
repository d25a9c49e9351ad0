//! State of one engine, as this gateway holds it.
use super::circuit_breaker::CircuitBreaker;
use super::control_window::{ControlWindow, MIN_LIMIT_SHARE};
use super::running::{LONG_QUERY_SHARE, Running};
use super::units::seconds;
use super::warm_up_window::WarmUpWindow;
use crate::policy::api::{Endpoint, EngineId, Invariants, Nanos, Readiness};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum concurrency limit, as a fraction of the initial limit: above it engines complete less
/// work, not more.
const MAX_LIMIT_SHARE: f64 = 1.0;

/// Maximum change of the limit in one update, as a fraction of it. Latency shows the effect only
/// one period later, so larger steps would make the limit oscillate.
const MAX_LIMIT_STEP: f64 = 0.2;

/// Load of an engine, from its last load report or from the outcome of a probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    /// When the report was received.
    pub(crate) at: Nanos,
    /// Running threads, of all gateways; infinite for an engine that cannot be reached.
    pub(crate) threads: f64,
}

/// State of one engine. Limits are in threads of all gateways together.
#[derive(Default)]
pub(crate) struct Engine {
    /// The engine's entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Cores of its machine, at least 1.
    pub(crate) cores: f64,
    /// Initial concurrency limit, in threads.
    pub(crate) initial_limit: f64,
    /// Current concurrency limit, in threads.
    pub(crate) limit: f64,
    /// This gateway's queries that run on the engine.
    pub(crate) running: Running,
    /// Observations since the last update of the limit.
    pub(crate) window: ControlWindow,
    /// Time up to which `window` holds the integrals of `running`.
    pub(crate) integrated_at: Nanos,
    /// Smoothed ratio of latency to the expected time on an idle engine; used to detect overload
    /// and to compare engines.
    pub(crate) slowdown: f64,
    /// Until when the engine counts as overloaded because it rejected an attempt for lack of
    /// capacity.
    pub(crate) saturated_until: Nanos,
    /// Circuit breaker, which ejects the engine if it is an outlier.
    pub(crate) circuit: CircuitBreaker,
    /// When the engine last sent a response or a progress update.
    pub(crate) last_activity_at: Nanos,
    /// When an attempt was last found overdue with no activity of the engine since it was sent.
    pub(crate) unresponsive_at: Nanos,
    /// Work sent to the engine during its slow start.
    pub(crate) warm_up: WarmUpWindow,
    /// The newest report, if any was received since the engine started.
    pub(crate) report: Option<ReportedLoad>,
    /// Threads of this gateway's attempts sent since that report.
    pub(crate) threads_sent_since_report: f64,
    /// When this gateway last sent an attempt there; 0 for never.
    pub(crate) last_sent_at: Nanos,
    /// Number of this gateway's running loads for each data set.
    pub(crate) loading_data_sets: BTreeMap<u64, u32>,
    /// Data sets on which queries were reported or presumed to be blocked by a load, each with the
    /// time at which that expires.
    pub(crate) blocked_data_sets: BTreeMap<u64, Nanos>,
}

impl Engine {
    /// Creates the state of an engine without history.
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

    /// Whether one gateway's share of the engine, of `active_gateways`, is less than `threads`.
    pub(crate) fn has_share_below(&self, threads: f64, active_gateways: f64) -> bool {
        self.initial_limit * LONG_QUERY_SHARE / active_gateways < threads
    }

    /// Extends the time integrals of the window to `now`.
    pub(crate) fn integrate_window(&mut self, now: Nanos) {
        let elapsed = seconds(now.saturating_sub(self.integrated_at));
        self.window.integrate(&self.running, elapsed);
        self.integrated_at = now;
    }

    /// Moves the limit toward `target` threads by at most one step, within its bounds.
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

    /// The time at which the engine's slow start ends at the latest.
    pub(crate) fn warm_at(&self, invariants: &Invariants) -> Nanos {
        let started_at = self.endpoint.started_at;
        started_at.saturating_add(invariants.slow_start_duration)
    }

    /// Minimum fraction of its usual capacity that the engine has at `now`, 0 to 1. It rises with
    /// the square of the time since the start, from the initial fraction of the settings to 1.
    pub(crate) fn capacity_fraction(&self, now: Nanos, invariants: &Invariants) -> f64 {
        if self.endpoint.started_at == 0 || self.warm_at(invariants) <= now {
            return 1.0;
        }
        let age = seconds(now.saturating_sub(self.endpoint.started_at))
            / seconds(invariants.slow_start_duration.max(1));
        invariants.slow_start_initial_fraction
            + (1.0 - invariants.slow_start_initial_fraction) * age * age
    }

    pub(crate) fn is_warming_up(&self, now: Nanos, invariants: &Invariants) -> bool {
        self.capacity_fraction(now, invariants) < 1.0
    }

    /// Records work that is sent to the engine during its slow start.
    pub(crate) fn record_warm_up_attempt(
        &mut self,
        now: Nanos,
        invariants: &Invariants,
        work: f64,
    ) {
        self.warm_up.record(now, work);
        self.drop_expired_warm_up_attempts(now, invariants);
    }

    /// Applies changes due to time alone: the end of an ejection, and the expiry of attempts
    /// recorded during slow start.
    pub(crate) fn expire(&mut self, now: Nanos, invariants: &Invariants) {
        self.drop_expired_warm_up_attempts(now, invariants);
        self.circuit.expire(now);
    }

    fn drop_expired_warm_up_attempts(&mut self, now: Nanos, invariants: &Invariants) {
        let start = now.saturating_sub(invariants.overload_window);
        self.warm_up.drop_before(start);
    }

    /// Subtracts threads that no longer run from those sent since the last report.
    pub(crate) fn subtract_sent_threads(&mut self, threads: f64) {
        self.threads_sent_since_report = (self.threads_sent_since_report - threads).max(0.0);
    }

    /// Records that one of this gateway's loads of `data_set` ended.
    pub(crate) fn finish_load(&mut self, data_set: u64) {
        *self.loading_data_sets.entry(data_set).or_insert(1) -= 1;
        self.loading_data_sets.retain(|_, running| *running > 0);
    }

    /// Whether a query on `data_set` would be blocked by a load: one of this gateway's, or one by
    /// which other queries were reported or presumed to be blocked.
    pub(crate) fn is_blocked(&self, data_set: u64, now: Nanos) -> bool {
        let blocked_until = self.blocked_data_sets.get(&data_set);
        self.loading_data_sets.contains_key(&data_set)
            || blocked_until.is_some_and(|until| *until > now)
    }
}

/// Rendezvous-hashing distance of an engine for a data set, 0 to 1; the engine with the lowest one
/// is preferred. It is the same at all gateways and after a restart, so an engine keeps receiving
/// queries on the same data sets and has them in its cache. Gateways need no coordination for this.
pub(crate) fn affinity_distance(data_set: u64, engine: EngineId) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_be_bytes(), data_set);
    1.0 - (hash >> 11) as f64 / (1u64 << 53) as f64
}
