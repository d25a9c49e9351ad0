//! Selection of the engine for a query: which engines are compared, which of them may be used, and
//! which has the lowest cost.
use super::Gateway;
use super::state::circuit_breaker::CircuitState;
use super::state::engine::{Engine, affinity_distance};
use super::state::request::{PendingRequest, is_placement_allowed};
use super::state::units::nanos;
use super::state::{RepeatTargets, may_repeat};
use super::tuning::{CONTROL_PERIOD, MAX_CANDIDATES, MIN_TIME_LEFT_SHARE};
use crate::policy::api::{EngineId, Idempotency, Nanos, RequestId};
use rand_core::Rng;

/// Number of engines that a gateway prefers where it cannot probe. Using few engines saves
/// handshakes and keeps the report of each more recent.
const PREFERRED_ENGINES: usize = 8;

/// Maximum number of candidates taken from the engines with a turn, from those with a recent
/// report, and at random from all engines.
pub(super) const HALF_OF_CANDIDATES: usize = MAX_CANDIDATES / 2;

/// Cost of an engine that is not preferred. The unit of costs is one full limit of threads.
const NOT_PREFERRED_COST: f64 = 0.2;

/// Cost of an engine in another zone, where traffic between zones is charged.
const CROSS_ZONE_COST: f64 = 0.03;

/// Cost of an engine where the query would be blocked by a load of its data set: more than that of
/// a full engine.
const BLOCKED_COST: f64 = 1.5;

/// Cost of the engine farthest from the one preferred for the data set: it would have to read the
/// data set from its disks.
const AFFINITY_COST: f64 = 0.85;

/// Cost of an engine that already received an attempt of the request; also the discount of a turn
/// on an engine that warms up, and part of the cost of an unresponsive engine.
const TRIED_COST: f64 = 1.0;

/// Discount of an engine that awaits a trial, which puts it before all others.
const TRIAL_DISCOUNT: f64 = 10.0;

/// Minimum slowdown relative to the median that scales the cost: differences below it are noise.
const MIN_RELATIVE_SLOWDOWN: f64 = 0.7;

impl Gateway {
    /// Engines to compare: all of a small fleet; of a large one those where this gateway has a
    /// turn, those with the newest reports or, without probes, the preferred ones, and some at
    /// random, so that not all gateways choose the same engine. Where engines are probed, the
    /// number of candidates is bounded. Otherwise all engines with a turn are included, and their
    /// number grows with the number of engines per gateway.
    pub(super) fn candidates(&mut self) -> Vec<EngineId> {
        let draw = self.rng.next_u32() as usize;
        let ready = &self.fleet.ready;
        if ready.len() <= MAX_CANDIDATES {
            let start = draw % ready.len().max(1);
            return [&ready[start..], &ready[..start]].concat();
        }
        if self.probes_engines() {
            self.probed_candidates(draw)
        } else {
            self.preferred_candidates(draw)
        }
    }

    /// Candidates of a large fleet where engines are probed.
    fn probed_candidates(&self, draw: usize) -> Vec<EngineId> {
        let ready = &self.fleet.ready;
        let turns = self.fleet.turns.iter().take(HALF_OF_CANDIDATES);
        let known = turns.chain(self.load_reports.recent());
        let start = draw % ready.len();
        let spacing = ready.len() / MAX_CANDIDATES;
        let random =
            (0..HALF_OF_CANDIDATES).map(|step| &ready[(start + step * spacing) % ready.len()]);
        known.chain(random).copied().collect()
    }

    /// Candidates of a large fleet where engines are not probed.
    fn preferred_candidates(&self, draw: usize) -> Vec<EngineId> {
        let ready = &self.fleet.ready;
        let first = draw / PREFERRED_ENGINES;
        let second = first + ready.len() / 2;
        let random = [first, second].map(|position| ready[position % ready.len()]);
        let turns = self.fleet.turns.iter().copied();
        turns
            .chain(self.preferred_engines(draw))
            .chain(random)
            .collect()
    }

    /// The engines that this gateway prefers, starting with the one at `offset`.
    fn preferred_engines(&self, offset: usize) -> impl Iterator<Item = EngineId> {
        self.fleet
            .preferred_engines(self.position(), PREFERRED_ENGINES, offset)
    }

    /// Selects the engine for the request: the candidate with the lowest cost among those that have
    /// capacity and may be used.
    pub(super) fn select_engine(&mut self, now: Nanos, id: RequestId) -> Option<EngineId> {
        let candidates = self.candidates();
        let request = self.requests.get(&id)?;
        if self.load_reports.are_probes_in_flight() && now < request.awaiting_probes_until {
            return None;
        }
        let usable = self.usable_engines(request, &candidates);
        // On an engine that loads its data set the query would wait while it holds a thread. If
        // there is an engine without the load, the query uses capacity there instead.
        let any_unblocked = usable
            .iter()
            .any(|engine| !self.is_blocked_by_load(now, request, engine));
        let mut best: Option<(f64, EngineId)> = None;
        for engine in usable {
            if any_unblocked && self.is_blocked_by_load(now, request, engine) {
                continue;
            }
            if !self.has_capacity(now, request, engine) || !self.may_dispatch(now, request, engine)
            {
                continue;
            }
            let cost = self.cost(now, request, engine);
            if best.is_none_or(|(lowest, _)| cost.total_cmp(&lowest).is_lt()) {
                best = Some((cost, engine.id()));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// The candidates that the class of the request may use, by placement and circuit breaker. A
    /// class never runs out of engines by ejection: if no engine of the class has a closed circuit,
    /// all circuits count as closed.
    fn usable_engines(&self, request: &PendingRequest, candidates: &[EngineId]) -> Vec<&Engine> {
        let class = self.class(request);
        let serves_class =
            |engine: &Engine| engine.is_ready() && is_placement_allowed(class, &engine.endpoint);
        let any_closed = self
            .engines
            .values()
            .any(|engine| engine.circuit.is_closed() && serves_class(engine));
        let may_be_trial =
            class.idempotency == Idempotency::Idempotent && request.attempts_started == 0;
        let is_circuit_usable = |engine: &Engine| match engine.circuit.state() {
            CircuitState::Closed => true,
            CircuitState::HalfOpen { trial: None } => may_be_trial || !any_closed,
            CircuitState::HalfOpen { trial: Some(_) } | CircuitState::Open { .. } => !any_closed,
        };
        let engines = candidates.iter().filter_map(|id| self.engines.get(id));
        // Allocated once, as the selection runs for every queued request that is checked.
        let mut usable = Vec::with_capacity(candidates.len());
        usable.extend(engines.filter(|engine| serves_class(engine) && is_circuit_usable(engine)));
        usable
    }

    /// Whether the request may be sent to the engine, by attempts in flight, time left, readiness,
    /// placement, slow start, attempt limit and retry budget, idempotency, and order.
    pub(super) fn may_dispatch(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
    ) -> bool {
        let run_time = nanos(MIN_TIME_LEFT_SHARE * self.unloaded_seconds(request));
        let is_open = !request.finished && now + run_time < request.deadline();
        is_open
            && self.may_run_beside(request, engine)
            && engine.is_ready()
            && is_placement_allowed(self.class(request), &engine.endpoint)
            && self.slow_start_allows(now, request, engine)
            && (request.attempts_started == 0 || self.may_retry(now, request))
            && self.idempotency_allows(now, request, Some(engine))
            && self.is_next_in_order(now, request)
    }

    /// Whether an attempt on the engine may run beside those in flight: at most one hedged attempt,
    /// on another engine.
    fn may_run_beside(&self, request: &PendingRequest, engine: &Engine) -> bool {
        let may_hedge = self.settings.limits.hedging && request.attempts.len() < 2;
        let mut attempts = request.attempts.iter();
        request.attempts.is_empty()
            || (may_hedge && attempts.all(|attempt| attempt.engine != engine.id()))
    }

    /// Whether the attempt limit and the retry budget (invariant 7) allow one more attempt.
    pub(super) fn may_retry(&self, now: Nanos, request: &PendingRequest) -> bool {
        let budget = self.settings.invariants.retry_budget;
        request.attempts_started < request.max_attempts && self.retries.allows_retry(now, budget)
    }

    /// Invariant 2: whether the request may be retried at all, and on `engine` if one is given.
    pub(super) fn idempotency_allows(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: Option<&Engine>,
    ) -> bool {
        let Some(execution) = request.earliest_execution() else {
            return true;
        };
        let first = self.engines.get(&execution.engine);
        let targets = first.map(|first| RepeatTargets {
            first: first.endpoint,
            next: engine.map(|next| next.endpoint),
        });
        // Engines have to keep the key until the retry ends, not only until it starts.
        let repeat_end = now + nanos(self.unloaded_seconds(request));
        let idempotency = self.idempotency(request);
        may_repeat(idempotency, execution.sent_at, targets, repeat_end)
    }

    /// Invariant 5: whether the request is the next one of its order key, where its class runs
    /// serially per key.
    fn is_next_in_order(&self, now: Nanos, request: &PendingRequest) -> bool {
        match request.key() {
            Some(key) if self.class(request).serial_per_key => {
                self.ordered_queues.is_next(now, key, request.id())
            }
            Some(_) | None => true,
        }
    }

    /// Whether the query would be blocked on the engine by a load of its data set.
    pub(super) fn is_blocked_by_load(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
    ) -> bool {
        let class = self.class(request);
        (class.loads_data_set || class.blocked_by_loads)
            && engine.is_blocked(request.data_set(), now)
    }

    /// Cost of the engine for the query, in full limits: the share of the limit in use, scaled by
    /// the engine's slowdown relative to its peers, plus the other costs and discounts. Lower is
    /// better.
    fn cost(&self, now: Nanos, request: &PendingRequest, engine: &Engine) -> f64 {
        let blocked = cost_if(self.is_blocked_by_load(now, request, engine), BLOCKED_COST);
        let crosses_zone = engine.endpoint.zone != self.settings.zone;
        let zone = cost_if(
            self.settings.cross_zone_is_charged && crosses_zone,
            CROSS_ZONE_COST,
        );
        self.usage_cost(now, request, engine)
            + blocked
            + zone
            + self.preference_cost(now, request, engine)
            + history_cost(request, engine)
            + self.affinity_cost(now, request, engine)
    }

    /// Share of the limit in use including this query, scaled by the slowdown relative to the
    /// median.
    fn usage_cost(&self, now: Nanos, request: &PendingRequest, engine: &Engine) -> f64 {
        let threads = self.query_threads(request);
        let median = self.fleet.median_slowdown.max(0.1);
        let relative_slowdown = (engine.slowdown / median).max(MIN_RELATIVE_SLOWDOWN);
        let whole_limit = engine.limit * engine.capacity_fraction(now, &self.settings.invariants);
        let (load, limit) = if self.has_share_below(engine, threads) {
            (self.estimated_load(now, engine), whole_limit)
        } else {
            let own_limit = whole_limit / self.active_gateways;
            (engine.running.threads, own_limit)
        };
        (load + threads) / limit.max(0.5) * relative_slowdown
    }

    /// Where engines are not probed: the cost of an engine that is not preferred, less the
    /// discount of a turn on one that warms up. Such turns are rare, and are lost if not used.
    fn preference_cost(&self, now: Nanos, request: &PendingRequest, engine: &Engine) -> f64 {
        let threads = self.query_threads(request);
        if self.probes_engines() || !self.has_share_below(engine, threads) {
            return 0.0;
        }
        let mut preferred = self.preferred_engines(0);
        let is_preferred = preferred.any(|id| id == engine.id());
        let is_warming_up = engine.is_warming_up(now, &self.settings.invariants);
        cost_if(!is_preferred, NOT_PREFERRED_COST) - cost_if(is_warming_up, TRIED_COST)
    }

    /// Cost of the distance from the engine preferred for the data set, and of an unresponsive
    /// engine, where otherwise all queries of its data sets would accumulate. The latter cost
    /// expires after a period, as an engine without work cannot respond. A gateway with a small
    /// share has too few attempts on an engine to tell whether it is unresponsive.
    fn affinity_cost(&self, now: Nanos, request: &PendingRequest, engine: &Engine) -> f64 {
        let unresponsive_at = engine.unresponsive_at;
        let is_unresponsive = unresponsive_at > engine.last_activity_at
            && now < unresponsive_at + CONTROL_PERIOD
            && engine.initial_limit >= self.active_gateways;
        if is_unresponsive {
            return AFFINITY_COST + TRIED_COST;
        }
        let data_set = request.data_set();
        let is_small_fleet = self.fleet.ready.len() <= MAX_CANDIDATES;
        if !is_small_fleet || data_set == 0 || !self.settings.reports_cost {
            return 0.0;
        }
        AFFINITY_COST * affinity_distance(data_set, engine.id())
    }
}

/// Cost of an engine that already received an attempt, less the discount of one that awaits a
/// trial.
fn history_cost(request: &PendingRequest, engine: &Engine) -> f64 {
    let was_tried = request.tried_engines.contains(&engine.id());
    cost_if(was_tried, TRIED_COST) - cost_if(engine.circuit.awaits_trial(), TRIAL_DISCOUNT)
}

fn cost_if(applies: bool, cost: f64) -> f64 {
    if applies { cost } else { 0.0 }
}
