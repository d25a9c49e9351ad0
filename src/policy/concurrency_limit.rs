//! Concurrency limits: the control law ECC09 adjusts the limit of each engine, and a query is sent
//! only to an engine with capacity for it under that limit.
use super::Gateway;
use super::state::class_estimates::{MIN_SAMPLES, latency_objective};
use super::state::control_window::MIN_LIMIT_SHARE;
use super::state::engine::Engine;
use super::state::request::PendingRequest;
use super::state::running::LONG_QUERY_SHARE;
use super::state::turns::Turn;
use super::state::units::seconds;
use super::tuning::{
    BURST_FACTOR, CONGESTED_SLOWDOWN, CONTROL_PERIOD, INITIAL_THREADS_PER_CORE, MAX_SAMPLE_RATIO,
    TURN_DURATION,
};
use crate::policy::api::{LoadField, Nanos};

/// Slowdown relative to the best one measured above which an engine is under pressure.
const PRESSURE_RATIO: f64 = 2.0;

/// Upper limit of the best slowdown that pressure is measured against. Without it, no slowdown
/// would count as pressure in a fleet that has been slow since the gateway started.
const MAX_BEST_SLOWDOWN: f64 = 2.0;

/// Lower limit of the best slowdown: a lower ratio of latency to expected time shows that the work
/// was overestimated.
const MIN_BEST_SLOWDOWN: f64 = 0.5;

/// Factor by which the best slowdown may rise per update while no engine reaches it.
const BEST_SLOWDOWN_GROWTH: f64 = 1.01;

/// Maximum factor by which this gateway's threads may exceed its share of the fleet while engines
/// report idle capacity.
const MAX_IDLE_CAPACITY_FACTOR: f64 = 3.0;

/// Part of this gateway's share of the fleet that may be used by queries that miss their objective
/// in any case.
const LATE_QUERY_SHARE: f64 = 0.25;

/// Fraction by which the slowdown of an engine without responses moves toward its peers' per
/// period. An old slowdown decays in about ten seconds.
const SLOWDOWN_DECAY: f64 = 0.2;

/// Factor by which this gateway's threads may briefly exceed the limit on their mean over a period.
const PEAK_FACTOR: f64 = 2.0;

impl Gateway {
    /// Applies formula (5) to every engine. If this gateway's share of an engine is under one
    /// thread, the window of that engine would hold no sample. The combined window of all engines
    /// is used instead, and stays open until it holds enough samples.
    pub(super) fn update_limits(&mut self, now: Nanos) {
        let period = seconds(now.saturating_sub(self.limits_updated_at)).max(1e-3);
        self.limits_updated_at = now;
        self.record_overdue_attempts(now);
        self.update_engine_limits(now, period);
        if self.fleet.window.samples >= f64::from(MIN_SAMPLES) {
            self.update_limits_by_fleet_window(now);
        }
        self.update_best_slowdown();
        self.fleet.mark_changed();
    }

    /// Adds the attempts that already exceed their objective to the windows of their engines.
    /// Waiting for their responses would detect overload too late.
    fn record_overdue_attempts(&mut self, now: Nanos) {
        for request in self.requests.values() {
            for attempt in &request.attempts {
                let age = seconds(now.saturating_sub(attempt.sent_at));
                let work = self.expected_work(request);
                let lateness = age / latency_objective(self.class(request), work);
                if lateness <= 1.0 {
                    continue;
                }
                if let Some(engine) = self.engines.get_mut(&attempt.engine) {
                    engine
                        .window
                        .record_lateness(lateness.min(MAX_SAMPLE_RATIO));
                }
            }
        }
    }

    /// Adjusts the limit of each engine by its own window, and adds the windows to that of the
    /// fleet.
    fn update_engine_limits(&mut self, now: Nanos, period_seconds: f64) {
        let active_gateways = self.active_gateways;
        let engine_count = self.fleet.ready.len().max(1) as f64;
        for engine in self.engines.values_mut() {
            engine.integrate_window(now);
            let window = std::mem::take(&mut engine.window);
            self.fleet
                .window
                .add_scaled(&window, active_gateways / engine_count);
            let has_small_share = engine.has_share_below(1.0, active_gateways);
            if has_small_share || window.query_seconds <= 0.0 || window.samples == 0.0 {
                let usual = if has_small_share {
                    self.fleet.slowdown
                } else {
                    self.fleet.median_slowdown
                };
                engine.slowdown += SLOWDOWN_DECAY * (usual - engine.slowdown);
            } else {
                let target = window.target_threads(period_seconds) * active_gateways;
                engine.move_limit_toward(target, window.allows_decrease());
            }
        }
    }

    /// Adjusts the limits of the engines where this gateway's share is less than one thread, by the
    /// window of the whole fleet.
    fn update_limits_by_fleet_window(&mut self, now: Nanos) {
        let active_gateways = self.active_gateways;
        let engine_count = self.fleet.ready.len().max(1) as f64;
        let window = std::mem::take(&mut self.fleet.window);
        let started_at = self.fleet.window_started_at;
        let period_seconds = seconds(now.saturating_sub(started_at)).max(1e-3);
        let target = window.target_threads(period_seconds) * engine_count;
        let target_per_core = target / self.fleet.cores.max(1.0);
        for engine in self.engines.values_mut() {
            if engine.has_share_below(1.0, active_gateways) {
                let target = target_per_core * engine.cores;
                engine.move_limit_toward(target, window.allows_decrease());
            }
        }
        self.fleet.window_started_at = now;
    }

    fn update_best_slowdown(&mut self) {
        let ready = self.engines.values().filter(|engine| engine.is_ready());
        let lowest = ready
            .map(|engine| engine.slowdown)
            .min_by(f64::total_cmp)
            .unwrap_or(1.0);
        let ceiling = self.fleet.best_slowdown * BEST_SLOWDOWN_GROWTH;
        self.fleet.best_slowdown = lowest.min(ceiling).max(MIN_BEST_SLOWDOWN);
    }

    /// Whether `slowdown` is far above the best one measured. A gateway that just started has no
    /// measurements, and assumes pressure.
    fn is_under_pressure(&self, now: Nanos, slowdown: f64) -> bool {
        let just_started = now.saturating_sub(self.created_at) < CONTROL_PERIOD;
        let best = self.fleet.best_slowdown.min(MAX_BEST_SLOWDOWN);
        just_started || slowdown > PRESSURE_RATIO * best
    }

    /// Whether the engine has capacity for the query under its limit. A part of the limit is
    /// reserved for short queries; long ones have the rest and may borrow idle capacity. The limit
    /// itself applies only under pressure; until then a burst may exceed it.
    pub(super) fn has_capacity(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
    ) -> bool {
        // An engine far slower than its peers receives less, so that its congestion clears. After
        // work was underestimated this reduction is wrong for a while.
        let congestion_factor =
            (CONGESTED_SLOWDOWN * self.fleet.median_slowdown / engine.slowdown).min(1.0);
        let usable_share =
            congestion_factor * engine.capacity_fraction(now, &self.settings.invariants);
        let threads = self.query_threads(request);
        if self.has_share_below(engine, threads) {
            return self.has_shared_capacity(now, request, engine, usable_share);
        }
        let is_under_pressure =
            now < engine.saturated_until || self.is_under_pressure(now, engine.slowdown);
        let limit = if is_under_pressure {
            engine.limit
        } else {
            engine.initial_limit * BURST_FACTOR
        };
        let own_limit = usable_share * limit / self.active_gateways;
        engine
            .running
            .fits(threads, self.is_long(request), own_limit)
    }

    /// [`has_capacity`](Gateway::has_capacity) where this gateway's share of the engine is less
    /// than one query: the sum of its shares of all engines limits its own threads, load reports
    /// show where capacity is free, and under pressure a turn admits as many gateways as the whole
    /// limit holds queries.
    fn has_shared_capacity(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
        usable_share: f64,
    ) -> bool {
        let is_under_pressure = self.is_under_pressure(now, self.fleet.slowdown);
        if !self.has_own_capacity(now, request, engine, is_under_pressure) {
            return false;
        }
        let threads = self.query_threads(request);
        let limit_factor = if self.is_long(request) {
            LONG_QUERY_SHARE
        } else {
            BURST_FACTOR
        };
        let whole_limit = usable_share * engine.limit * limit_factor;
        let load = self.estimated_load(now, engine);
        if load + threads > whole_limit {
            return false;
        }
        let needs_turn = now < engine.saturated_until
            || load >= engine.initial_limit
            || (is_under_pressure && load > MIN_LIMIT_SHARE * engine.initial_limit);
        let gateway_count = f64::from(self.gateway_count());
        let turn = Turn {
            duration: TURN_DURATION,
            holders: whole_limit / threads * gateway_count / self.active_gateways,
            offset: 0.0,
        };
        !needs_turn || self.has_unused_turn(now, engine, &turn)
    }

    /// Whether the query fits into this gateway's share of the whole fleet. The share limits the
    /// mean number of running threads over a period, like Ne of the control law; otherwise a large
    /// part of a share of a few queries would stay unused. It may be exceeded briefly, and a
    /// gateway without running queries may send one.
    fn has_own_capacity(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
        is_under_pressure: bool,
    ) -> bool {
        let invariants = &self.settings.invariants;
        // A turn on an engine that warms up is not held back by this gateway's queries that are
        // stuck on the warm engines.
        if !self.probes_engines() && engine.is_warming_up(now, invariants) {
            return true;
        }
        // A query that misses its objective in any case has little value: it may use idle capacity,
        // but must not slow down queries that can still meet theirs.
        let late_share = if self.probes_engines() || self.can_meet_objective(now, request) {
            1.0
        } else {
            LATE_QUERY_SHARE
        };
        let share = self.fleet.limit / self.active_gateways
            * self.idle_capacity_factor(is_under_pressure)
            * late_share;
        let threads = self.query_threads(request);
        let is_long = self.is_long(request);
        let fits_in_mean =
            self.fleet.running.queries < 1.0 || self.fleet.mean_running.fits(0.0, is_long, share);
        let peak_limit = (PEAK_FACTOR * share).max(threads / LONG_QUERY_SHARE);
        fits_in_mean && self.fleet.running.fits(threads, is_long, peak_limit)
    }

    /// Factor by which this gateway's threads may exceed its share: while engines report that part
    /// of their capacity is idle, shares that other gateways leave unused may be used. Only reports
    /// that cover everything queries wait for are used: counts of queries, or the utilization of
    /// disks in addition to that of cores. This does harm where reports lag behind a surge of load.
    fn idle_capacity_factor(&self, is_under_pressure: bool) -> f64 {
        let fields = &self.settings.load_fields;
        let full_threads_per_core = if fields.contains(&LoadField::QueriesInFlight) {
            INITIAL_THREADS_PER_CORE
        } else if fields.contains(&LoadField::DiskUtilization) {
            if is_under_pressure { 1.0 } else { BURST_FACTOR }
        } else {
            0.0
        };
        let reported = self.load_reports.threads_per_core().max(0.1);
        (full_threads_per_core / reported).clamp(1.0, MAX_IDLE_CAPACITY_FACTOR)
    }

    /// Whether this gateway currently has the turn on the engine and has not used it.
    pub(super) fn has_unused_turn(&self, now: Nanos, engine: &Engine, turn: &Turn) -> bool {
        let sent_at = engine.last_sent_at;
        let is_used = sent_at > 0 && turn.index(sent_at) == turn.index(now);
        !is_used && turn.belongs_to(now, self.position(), engine.id())
    }
}
