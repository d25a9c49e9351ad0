//! What a gateway remembers, as plain data, and what the rules say of it: no decisions, no tuned
//! values. `src/policy/` decides.
mod engine;
mod fleet;
mod request;
pub mod running_median;

use crate::policy::api::*;
pub use engine::*;
pub use fleet::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
pub use request::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// 2^64 over the golden ratio: multiples spread evenly on a circle.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

pub fn secs(ns: Nanos) -> f64 {
    ns as f64 / 1e9
}

pub fn nanos(s: f64) -> Nanos {
    (s.clamp(0.0, 1e8) * 1e9) as Nanos
}

/// The decisions of one gateway.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) created_at: Nanos,
    pub(crate) started: bool,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Held queries with their rank, best first as of the last sweep.
    pub(crate) held: Vec<(f64, RequestId, ClassId)>,
    pub(crate) keys: BTreeMap<OrderKey, OrderedQueue>,
    pub(crate) class_estimates: Vec<ClassEstimates>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) taken: VecDeque<Nanos>,
    pub(crate) extras: VecDeque<Nanos>,
    pub(crate) cancels: f64,
    pub(crate) active_gateways: f64, // Gateways taken to share the engines now.
    // Of what this gateway may use, while another process is this gateway too.
    pub(crate) capacity_share: f64,
    pub(crate) updated_at: Nanos,
    // When it last had a turn, and when it last woke after having had none.
    pub(crate) last_event_at: Nanos,
    pub(crate) resumed_at: Nanos,
    pub(crate) swept_at: Nanos,
}

impl Gateway {
    /// A gateway that has seen nothing and learned nothing.
    pub(crate) fn blank(now: Nanos, s: Settings, seed: u64) -> Gateway {
        let tenant = |t: &TenantSpec| Tenant {
            quota: t.quota_per_s,
            tokens: 0.0,
            filled_at: now,
        };
        Gateway {
            rng: Pcg32::seed_from_u64(seed),
            created_at: now,
            started: false,
            engines: BTreeMap::new(),
            fleet: Fleet::new(now),
            requests: BTreeMap::new(),
            held: Vec::new(),
            keys: BTreeMap::new(),
            class_estimates: Vec::new(),
            tenants: s.tenants.iter().map(tenant).collect(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            cancels: 0.0,
            active_gateways: f64::from(s.gateways.max(1)),
            capacity_share: 1.0,
            updated_at: now,
            last_event_at: now,
            resumed_at: 0,
            swept_at: now,
            settings: s,
        }
    }

    /// Listed engines that get no ordinary work now: they drain, or were found to fail.
    pub fn unavailable_engines(&self) -> usize {
        let listed = self
            .engines
            .values()
            .filter(|e| e.endpoint.readiness != Readiness::Removed);
        listed
            .filter(|e| !e.ready() || e.circuit != CircuitState::Closed)
            .count()
    }

    /// Another process is this gateway too, and this one has that part of what the gateway may use.
    pub fn set_capacity_share(&mut self, part: f64) {
        let part = part.clamp(0.05, 1.0);
        self.active_gateways *= self.capacity_share / part;
        self.capacity_share = part;
        self.fleet.changed();
    }

    /// So many gateways share the warm engines now, those that do not serve left out. Budgets of
    /// cold engines stay parts of all gateways.
    pub fn set_active_gateways(&mut self, gateways: u32) {
        self.active_gateways =
            f64::from(gateways.clamp(1, self.settings.gateways.max(1))) / self.capacity_share;
    }

    /// Own queries there, so many times more; brings the time integrals of its window up to now.
    pub(crate) fn carry(&mut self, now: Nanos, engine: EngineId, running: Running, times: f64) {
        if let Some(e) = self.engines.get_mut(&engine) {
            e.count(now);
            e.running.add(running, times);
            self.fleet.running.add(running, times);
        }
    }

    /// Whether this gateway is among the `holders` that have a turn on an engine now, and has not
    /// used it. Gateways stand evenly on a circle; an arc of `holders` of them is let in, and moves
    /// on by the golden ratio each slot: whole gateways, `holders` of them on average, also where
    /// that is a fraction.
    pub(crate) fn has_slot(
        &self,
        now: Nanos,
        e: &Engine,
        slot: Nanos,
        holders: f64,
        across: f64,
    ) -> bool {
        let gateways = self.settings.gateways.max(1);
        let circle = |x: u64| (x.wrapping_mul(MIX) >> 11) as f64 / (1u64 << 53) as f64;
        let place = f64::from(self.settings.gateway_index % gateways) / f64::from(gateways)
            + circle(e.endpoint.id.0);
        let turn = now / slot.max(1);
        let used = e.last_sent_at > 0 && e.last_sent_at / slot.max(1) == turn;
        !used && (place + 1.0 + across - circle(turn)).fract() < holders / f64::from(gateways)
    }

    /// Brings what is kept of the fleet from the last walk up to now, by the few engines that moved
    /// since: turns that were used are none any more, and cold engines, where their bounds count,
    /// are a bit warmer.
    pub(crate) fn follow(&mut self, now: Nanos, cold_counts: bool) {
        let f = &mut self.fleet;
        f.visits += f.sent.len() as u64;
        for id in std::mem::take(&mut f.sent) {
            if let Ok(at) = f.turns.binary_search(&id) {
                f.turns.remove(at);
            }
        }
        f.bound = f.warm_bound;
        if cold_counts {
            f.visits += f.cold.len() as u64;
            let cold = f.cold.iter().filter_map(|id| self.engines.get(id));
            f.bound += cold
                .map(|e| e.bound * e.warmth(now, &self.settings.invariants))
                .sum::<f64>();
        }
        f.median_stretch = f.stretches.median().unwrap_or(1.0);
    }

    /// News of the list: engines that are new have that bound per core, and are taken to be that
    /// slow.
    pub(crate) fn merge(
        &mut self,
        now: Nanos,
        kind: EndpointListKind,
        entries: &[Endpoint],
        per_core: f64,
        stretch: f64,
    ) {
        if kind != EndpointListKind::Changes {
            let named: BTreeSet<EngineId> = entries.iter().map(|e| e.id).collect();
            for e in self
                .engines
                .values_mut()
                .filter(|e| !named.contains(&e.endpoint.id))
            {
                e.endpoint.readiness = Readiness::Removed;
            }
        }
        for entry in entries {
            let cores = self
                .settings
                .machine_types
                .get(usize::from(entry.machine_type.0))
                .map_or(1.0, |k| k.cores)
                .max(1.0);
            let fresh = || Engine::new(now, *entry, cores, per_core * cores, stretch);
            let e = self.engines.entry(entry.id).or_insert_with(fresh);
            if e.endpoint.started_at != entry.started_at {
                // A restart under the same id: a cold engine without history, but attempts out
                // still count.
                let old = std::mem::replace(e, fresh());
                (e.running, e.loading_data_sets) = (old.running, old.loading_data_sets);
            }
            e.endpoint = *entry;
        }
        self.fleet.ready = self
            .engines
            .values()
            .filter(|e| e.ready())
            .map(|e| e.endpoint.id)
            .collect();
        // What is gone is forgotten, unless an attempt there still counts: memory must not grow.
        let outs = self
            .requests
            .values()
            .flat_map(|r| r.attempts.iter().map(|o| o.engine));
        let ran = self
            .requests
            .values()
            .filter_map(|r| r.ran_on.map(|(e, _)| e));
        let needed: BTreeSet<EngineId> = outs.chain(ran).collect();
        let stays = |e: &Engine| {
            e.endpoint.readiness != Readiness::Removed || needed.contains(&e.endpoint.id)
        };
        self.engines.retain(|_, e| stays(e));
        self.fleet
            .recent
            .retain(|id| self.engines.get(id).is_some_and(Engine::ready));
        self.fleet.changed();
    }

    /// Drops a request that is over and has nothing out, and passes on its key's turn.
    pub(crate) fn forget(&mut self, id: RequestId) {
        let Some(r) = self
            .requests
            .get(&id)
            .filter(|r| r.finished && r.attempts.is_empty())
        else {
            return;
        };
        if let Some(k) = r.request.key.and_then(|k| self.keys.get_mut(&k)) {
            k.line.retain(|other| *other != id);
        }
        self.requests.remove(&id);
    }

    /// Rule 5: the head of its key's line, after the rest that follows an attempt which may still
    /// run.
    pub(crate) fn has_turn(&self, now: Nanos, id: RequestId, r: &PendingRequest) -> bool {
        let (true, Some(key)) = (self.class(r).serial_per_key, r.request.key) else {
            return true;
        };
        let Some(k) = self.keys.get(&key) else {
            return false;
        };
        k.line.front() == Some(&id) && now >= k.rest_until
    }

    /// Rule 7: attempts beyond the first, over any window of the stated length.
    pub(crate) fn budget_allows(&self, now: Nanos) -> bool {
        let Some(b) = self.settings.invariants.retry_budget else {
            return true;
        };
        let from = now.saturating_sub(b.window);
        let extras = self.extras.iter().filter(|t| **t >= from).count() as f64;
        let taken = self.taken.iter().rev().take_while(|t| **t > from).count() as f64;
        extras + 1.0 <= b.allowance + b.ratio * taken
    }

    /// Long classes: more than one thread, or loads.
    pub(crate) fn is_long(&self, r: &PendingRequest) -> bool {
        self.threads(r) > 1.0 || self.class(r).loads_data_set
    }

    pub(crate) fn class(&self, r: &PendingRequest) -> &ClassSpec {
        &self.settings.classes[usize::from(r.request.class.0)]
    }

    /// What repeating it may do.
    pub(crate) fn effect(&self, r: &PendingRequest) -> Idempotency {
        if r.request.must_not_repeat {
            Idempotency::NonIdempotent
        } else {
            self.class(r).idempotency
        }
    }

    pub(crate) fn learned(&self, r: &PendingRequest) -> &ClassEstimates {
        &self.class_estimates[usize::from(r.request.class.0)]
    }

    pub(crate) fn threads(&self, r: &PendingRequest) -> f64 {
        self.class(r).threads.max(1.0)
    }

    /// Expected work in seconds on one core.
    pub(crate) fn work(&self, r: &PendingRequest) -> f64 {
        let l = self.learned(r);
        r.request.work_hint.map_or(l.work, |h| secs(h) * l.bias)
    }

    /// Expected time in seconds on an idle engine.
    pub(crate) fn alone(&self, r: &PendingRequest) -> f64 {
        self.work(r) / self.threads(r)
    }

    pub(crate) fn aim_end(&self, r: &PendingRequest) -> Nanos {
        (r.arrived_at + nanos(aim(self.class(r), self.work(r)))).min(r.request.deadline)
    }

    /// The time after which an answer earns nothing: the deadline, or the aim where late answers
    /// are void.
    pub(crate) fn useful_end(&self, r: &PendingRequest) -> Nanos {
        if self.class(r).late_priority_weight > 0.0 {
            r.request.deadline
        } else {
            self.aim_end(r)
        }
    }
}
