//! Choice of an engine: which are compared, at what cost, and which is best.
use super::*;

// Engines that a gateway prefers where it can't ask: fewer handshakes, more news...
const NEAR: usize = 8;
const FAR: f64 = 0.2; // ...until others cost less by so much of a full bound.
// Costs in the choice of an engine, in full bounds of threads: zones apart, data set held by a
// load...
const CROSS: f64 = 0.03;
const GROUP_HELD: f64 = 1.5;
// ...engine that is not its data set's own, which reads that from its disks...
const HOME: f64 = 0.85;
const TRIED: f64 = 1.0; // ...engine tried before; a half-open one comes first.
const TRIAL: f64 = 10.0;

impl Gateway {
    /// Engines to compare: all of a small fleet; of a large one those where this gateway has a
    /// turn, those with the newest reports, and some at random, lest all herd. The cost does not
    /// grow with the fleet.
    pub(super) fn candidates(&mut self) -> Vec<EngineId> {
        let f = &self.fleet;
        let n = f.ready.len().max(1);
        let any = self.rng.next_u32() as usize;
        if n <= CANDIDATES {
            return f
                .ready
                .iter()
                .cycle()
                .skip(any % n)
                .take(f.ready.len())
                .copied()
                .collect();
        }
        if !self.asks() {
            let others = [any / NEAR, any / NEAR + n / 2].map(|at| f.ready[at % n]);
            return f
                .turns
                .iter()
                .copied()
                .chain(self.near(any))
                .chain(others)
                .collect();
        }
        let known = f.turns.iter().take(CANDIDATES / 2).chain(&f.recent);
        let others = (0..CANDIDATES / 2).map(|i| &f.ready[(any % n + i * (n / CANDIDATES)) % n]);
        known.chain(others).copied().collect()
    }

    /// The engines that a gateway prefers, from some place among them.
    fn near(&self, place: usize) -> impl Iterator<Item = EngineId> {
        self.fleet.arc(
            self.settings.gateway_index as usize,
            self.settings.gateways.max(1) as usize,
            NEAR,
            place,
        )
    }

    /// The gate of every send: one out, time left, drain, placement, cold, attempts, effects, key
    /// turn.
    pub(super) fn gate(&self, now: Nanos, id: RequestId, r: &PendingRequest, e: &Engine) -> bool {
        let open = !r.finished && now + nanos(DOUBT * self.alone(r)) < r.request.deadline;
        let beside = self.settings.limits.hedging && r.attempts.len() < 2;
        let open = open
            && (r.attempts.is_empty()
                || (beside && r.attempts.iter().all(|o| o.engine != e.endpoint.id)));
        let engine = e.ready() && placed(self.class(r), &e.endpoint) && self.cold_allows(now, r, e);
        let further = r.attempts_started == 0
            || (r.attempts_started < r.max_attempts && self.budget_allows(now));
        open && engine
            && further
            && self.effect_allows(now, r, Some(e))
            && self.has_turn(now, id, r)
    }

    /// Rule 2: whether the request may go out again at all, and to this engine.
    pub(super) fn effect_allows(&self, now: Nanos, r: &PendingRequest, e: Option<&Engine>) -> bool {
        let Some((first, sent)) = r.first() else {
            return true;
        };
        let pair = self
            .engines
            .get(&first)
            .map(|f| f.endpoint)
            .zip(e.map(|e| e.endpoint));
        // A repeat has to end while engines know its key, not only to begin.
        may_repeat(self.effect(r), sent, pair, now + nanos(self.alone(r)))
    }

    /// Whether it would stand still there for a load: an own one, or one that others were seen to
    /// wait for.
    pub(super) fn stands(&self, now: Nanos, r: &PendingRequest, e: &Engine) -> bool {
        let (c, group) = (self.class(r), &r.request.data_set);
        let seen = || {
            e.blocked_data_sets
                .get(group)
                .is_some_and(|until| *until > now)
        };
        (c.loads_data_set || c.blocked_by_loads)
            && (e.loading_data_sets.contains_key(group) || seen())
    }

    /// Lower is better: threads in use under the bound, scaled by slowness against peers.
    fn cost(&self, now: Nanos, r: &PendingRequest, e: &Engine) -> f64 {
        let k = self.threads(r);
        let slow = (e.slowdown / self.fleet.median_stretch.max(0.1)).max(0.7);
        let whole = e.bound * e.warmth(now, &self.settings.invariants);
        let thin = self.thin(e, k);
        let (load, limit) = if thin {
            (self.load(now, e), whole)
        } else {
            (e.running.threads, whole / self.active_gateways)
        };
        let on = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        let data = on(self.stands(now, r, e), GROUP_HELD);
        let place = on(
            self.settings.cross_zone_is_charged && e.endpoint.zone != self.settings.zone,
            CROSS,
        );
        let (blind, cold) = (
            thin && !self.asks(),
            e.warmth(now, &self.settings.invariants) < 1.0,
        );
        // A turn on a cold engine is rare, and lost if it is not used.
        let far = on(blind && !self.near(0).any(|id| id == e.endpoint.id), FAR)
            - on(blind && cold, TRIED);
        let past = on(r.tried_engines.contains(&e.endpoint.id), TRIED)
            - on(e.circuit == CircuitState::HalfOpen(None), TRIAL);
        let few = self.fleet.ready.len() <= CANDIDATES;
        // Guards against a home that may be down: all that belongs there would pile up. Forgotten
        // after a period, as an engine that gets nothing can't speak; a small share hears too
        // little to tell.
        let silent = e.unresponsive_at > e.last_activity_at && now < e.unresponsive_at + PERIOD;
        let quiet = silent && e.initial_bound >= self.active_gateways;
        let known = few && r.request.data_set > 0 && !quiet && self.settings.reports_cost;
        let home = on(known, HOME * strangeness(r.request.data_set, e.endpoint.id))
            + on(quiet, HOME + TRIED);
        (load + k) / limit.max(0.5) * slow + data + place + far + past + home
    }

    /// Where the query may go now: the best of the candidates with room that passes the gate.
    pub(super) fn choose(&mut self, now: Nanos, id: RequestId) -> Option<EngineId> {
        let some = self.candidates();
        let r = self.requests.get(&id)?;
        if self.fleet.probes_out > 0 && now < r.awaiting_probes_until {
            return None;
        }
        let class = self.class(r);
        let mine = |e: &&Engine| e.ready() && placed(class, &e.endpoint);
        // Never eject the last engines a class may use: with none closed, all count as closed.
        let any_closed = self
            .engines
            .values()
            .filter(mine)
            .any(|e| e.circuit == CircuitState::Closed);
        let first_safe = class.idempotency == Idempotency::Idempotent && r.attempts_started == 0;
        let healthy = |e: &&Engine| match e.circuit {
            CircuitState::Closed => true,
            CircuitState::HalfOpen(None) => first_safe || !any_closed,
            CircuitState::HalfOpen(Some(_)) | CircuitState::Open(_) => !any_closed,
        };
        let fits = some
            .iter()
            .filter_map(|id| self.engines.get(id))
            .filter(mine)
            .filter(healthy);
        // Where its data is held it would wait and keep a thread from others: rather for room
        // elsewhere.
        let free = |e: &&Engine| !self.stands(now, r, e);
        let any_free = fits.clone().any(|e| free(&e));
        let fits = fits.filter(|e| !any_free || free(e));
        let fits = fits.filter(|e| self.has_room(now, r, e) && self.gate(now, id, r, e));
        let priced = fits.map(|e| (self.cost(now, r, e), e.endpoint.id));
        priced.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, e)| e)
    }
}
