//! What a gateway remembers, as plain data, and what the rules say of it: no decisions, no tuned values.
//! `src/policy/` decides.
use crate::interface::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// 2^64 over the golden ratio: multiples spread evenly on a circle.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

pub fn secs(ns: Nanos) -> f64 {
    ns as f64 / 1e9
}

pub fn nanos(s: f64) -> Nanos {
    (s.clamp(0.0, 1e8) * 1e9) as Nanos
}

/// Outlier ejection of one engine.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum Health {
    #[default]
    Closed,
    Open(Nanos),                 // Gets no ordinary work until then.
    HalfOpen(Option<RequestId>), // May get one trial, or has it out.
}

/// Own queries that run on an engine, or on all of them.
#[derive(Clone, Copy, Default)]
pub struct Running {
    pub queries: f64,
    pub threads: f64,
    pub short: f64, // Threads of short queries.
}

impl Running {
    pub fn add(&mut self, other: Running, times: f64) {
        self.queries = (self.queries + times * other.queries).max(0.0);
        self.threads = (self.threads + times * other.threads).max(0.0);
        self.short = (self.short + times * other.short).max(0.0);
    }
}

/// Sums of a window of the ECC09 update.
#[derive(Clone, Copy, Default)]
pub struct Window {
    pub queries: f64, // Query-seconds, thread-seconds.
    pub threads: f64,
    pub finished: f64,
    pub wanted: f64,
    pub lateness: f64,
    pub samples: f64,
}

impl Window {
    pub fn add(&mut self, w: &Window, times: f64) {
        self.queries += w.queries * times;
        self.threads += w.threads * times;
        self.finished += w.finished * times;
        self.wanted += w.wanted * times;
        self.lateness += w.lateness;
        self.samples += w.samples;
    }
}

#[derive(Default)]
pub struct Engine {
    pub entry: EngineEntry,
    pub cores: f64,
    pub start: f64, // Bounds are in threads of all gateways together.
    pub bound: f64,
    pub running: Running,
    pub window: Window,
    pub counted_at: Nanos,
    pub stretch: f64, // Smoothed latency over expected time alone; the yardstick of pressure and of peers.
    pub full_until: Nanos, // A full refusal counts as pressure for a period.
    pub health: Health,
    pub ejections: u32,
    pub fail_share: f64,
    pub life_at: Nanos,
    pub silent_at: Nanos, // When an attempt there passed its time with no sign of life of the engine since.
    pub reset_at: Nanos,  // When a reset last counted against it.
    pub cold_sent: VecDeque<(Nanos, f64)>,
    pub report: Option<(Nanos, f64)>, // When it last told its load, and that in threads.
    pub since: f64,                   // Own threads sent there since.
    pub sent_at: Nanos,
    pub held_groups: BTreeMap<u64, u32>,
    pub stood_still: BTreeMap<u64, Nanos>, // Data sets that queries were told to wait for, and until when.
}

impl Engine {
    /// One that nothing is known of but its entry and its cores.
    pub fn new(now: Nanos, entry: EngineEntry, cores: f64, start: f64, stretch: f64) -> Engine {
        let times = Engine { counted_at: now, life_at: now, ..Engine::default() };
        Engine { entry, cores, start, bound: start, stretch, ..times }
    }

    /// Brings the time integrals of the window up to now.
    pub fn count(&mut self, now: Nanos) {
        let dt = secs(now.saturating_sub(self.counted_at));
        self.window.queries += self.running.queries * dt;
        self.window.threads += self.running.threads * dt;
        self.counted_at = now;
    }

    pub fn ready(&self) -> bool {
        self.entry.readiness == Readiness::Ready
    }
}

#[derive(Default)]
pub struct Out {
    pub attempt: AttemptNo,
    pub engine: EngineId,
    pub sent: Nanos,
    pub alone: f64, // Expected time alone, and as slow as the engine was.
    pub expected: f64,
    pub running: Running, // What it counts for; nothing once it is taken to be lost.
    pub crowd: f64,       // Threads a core that its engine was taken to run when it was sent.
    pub life_at: Nanos,
    pub cancelling: bool,
}

#[derive(Default)]
pub struct Request {
    pub ask: NewRequest,
    pub arrived: Nanos,
    pub over_share: bool,
    pub done: bool, // Answered; kept only while an attempt is out.
    pub sends: u32,
    pub most_sends: u32,                   // As the settings had it when it came.
    pub outs: Vec<Out>,                    // Two where a second copy runs beside the first.
    pub ran_on: Option<(EngineId, Nanos)>, // First engine that may have run it, and when it was sent there.
    pub tried: BTreeSet<EngineId>,
    pub probing_until: Nanos, // Waits for probes until then.
    pub replans: u32,
}

impl Request {
    /// The first attempt that may have run or is out: where it went, and when.
    pub fn first(&self) -> Option<(EngineId, Nanos)> {
        let outs = self.outs.iter().map(|o| (o.engine, o.sent));
        outs.chain(self.ran_on).min_by_key(|(_, sent)| *sent)
    }

    /// The attempt of that number, if it is out.
    pub fn out(&mut self, attempt: AttemptNo) -> Option<&mut Out> {
        self.outs.iter_mut().find(|o| o.attempt == attempt)
    }

    /// The same, off the book.
    pub fn take_out(&mut self, attempt: AttemptNo) -> Option<Out> {
        let at = self.outs.iter().position(|o| o.attempt == attempt)?;
        Some(self.outs.remove(at))
    }
}

#[derive(Default)]
pub struct KeyLine {
    pub line: VecDeque<RequestId>,
    pub rest_until: Nanos,
}

/// What a class has taught: work, and how far its hints lie off.
#[derive(Clone, Copy)]
pub struct Learned {
    pub work: f64,
    pub samples: u32,
    pub bias: f64,
    pub tail: f64, // Time of an answer over its expected time alone that few exceed.
}

impl Learned {
    /// Until a class has taught its work, its fixed aim on all its threads is taken for it: pessimistic.
    pub fn first(c: &ClassSpec, tail: f64) -> Learned {
        Learned { work: secs(c.promise) * c.threads.max(1.0), samples: 0, bias: 1.0, tail }
    }
}

pub struct Tenant {
    pub quota: f64,
    pub tokens: f64,
    pub filled_at: Nanos,
}

/// What is kept of the whole fleet, so that no request walks over it.
#[derive(Default)]
pub struct Fleet {
    pub ready: Vec<EngineId>,       // Engines that take work, from the list.
    pub recent: VecDeque<EngineId>, // Those with the newest reports.
    pub turns: Vec<EngineId>,       // Those where this gateway had a turn at the last look.
    pub cores: f64,                 // Of engines ready and not ejected, and their bounds.
    pub bound: f64,
    pub running: Running,
    pub mean: Running, // The same as a mean over about a period.
    pub mix: Running,  // Own queries weighted by the time they take: threads per query of what engines hold.
    pub window: Window,
    pub window_since: Nanos,
    pub stretch: f64, // Smoothed over all own queries; the median over engines; the best seen.
    pub median_stretch: f64,
    pub crowd: f64, // Smoothed threads a core that engines told.
    pub best_stretch: f64,
    pub backlog: f64, // Seconds that the held queries would take this gateway's part of the fleet.
    pub probes_out: usize,
    pub probed_at: Nanos,
    pub probe_base: [f64; 2], // Shortest probe within the zone and beyond, in seconds...
    pub probe_delay: f64,     // ...and the smoothed delay past it.
}

impl Fleet {
    /// A fleet of which nothing is known: as fast as expected, and nothing seen yet to compare with.
    pub fn new(now: Nanos) -> Fleet {
        let (stretch, best_stretch) = (1.0, f64::INFINITY);
        let known = Fleet { stretch, median_stretch: stretch, best_stretch, ..Fleet::default() };
        Fleet { window_since: now, probe_base: [f64::INFINITY; 2], ..known }
    }
}

impl Fleet {
    /// An arc of the ring of ready engines, from some place in it: one of the evenly spaced arcs of all gateways.
    pub fn arc(
        &self,
        me: usize,
        gateways: usize,
        most: usize,
        place: usize,
    ) -> impl Iterator<Item = EngineId> {
        let (n, most) = (self.ready.len(), most.min(self.ready.len()));
        (0..most).map(move |i| self.ready[(me * n / gateways + (place + i) % most) % n])
    }
}

/// The decisions of one gateway.
pub struct Gateway {
    pub(crate) s: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) born: Nanos,
    pub(crate) started: bool,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Held queries with their rank, best first as of the last sweep.
    pub(crate) held: Vec<(f64, RequestId, ClassId)>,
    pub(crate) keys: BTreeMap<OrderKey, KeyLine>,
    pub(crate) learned: Vec<Learned>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) taken: VecDeque<Nanos>,
    pub(crate) extras: VecDeque<Nanos>,
    pub(crate) cancels: f64,
    pub(crate) sharers: f64, // Gateways taken to share the engines now.
    pub(crate) part: f64,    // Of what this gateway may use, while another process is this gateway too.
    pub(crate) updated_at: Nanos,
    pub(crate) turn_at: Nanos, // When it last had a turn, and when it last woke after having had none.
    pub(crate) woke_at: Nanos,
    pub(crate) swept_at: Nanos,
}

impl Gateway {
    /// A gateway that has seen nothing and learned nothing.
    pub(crate) fn blank(now: Nanos, s: Settings, seed: u64) -> Gateway {
        let tenant = |t: &TenantSpec| Tenant { quota: t.quota_per_s, tokens: 0.0, filled_at: now };
        Gateway {
            rng: Pcg32::seed_from_u64(seed),
            born: now,
            started: false,
            engines: BTreeMap::new(),
            fleet: Fleet::new(now),
            requests: BTreeMap::new(),
            held: Vec::new(),
            keys: BTreeMap::new(),
            learned: Vec::new(),
            tenants: s.tenants.iter().map(tenant).collect(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            cancels: 0.0,
            sharers: f64::from(s.gateways.max(1)),
            part: 1.0,
            updated_at: now,
            turn_at: now,
            woke_at: 0,
            swept_at: now,
            s,
        }
    }

    /// Listed engines that get no ordinary work now: they drain, or were found to fail.
    pub fn avoided(&self) -> usize {
        let listed = self.engines.values().filter(|e| e.entry.readiness != Readiness::Gone);
        listed.filter(|e| !e.ready() || e.health != Health::Closed).count()
    }

    /// Another process is this gateway too, and this one has that part of what the gateway may use.
    pub fn split(&mut self, part: f64) {
        let part = part.clamp(0.05, 1.0);
        self.sharers *= self.part / part;
        self.part = part;
    }

    /// So many gateways share the warm engines now, those that do not serve left out. Budgets of cold engines stay
    /// parts of all gateways.
    pub fn share_among(&mut self, gateways: u32) {
        self.sharers = f64::from(gateways.clamp(1, self.s.gateways.max(1))) / self.part;
    }

    /// Own queries there, so many times more; brings the time integrals of its window up to now.
    pub(crate) fn carry(&mut self, now: Nanos, engine: EngineId, running: Running, times: f64) {
        if let Some(e) = self.engines.get_mut(&engine) {
            e.count(now);
            e.running.add(running, times);
            self.fleet.running.add(running, times);
        }
    }

    /// Whether this gateway is among the `holders` that have a turn on an engine now, and has not used it.
    /// Gateways stand evenly on a circle; an arc of `holders` of them is let in, and moves on by the golden
    /// ratio each slot: whole gateways, `holders` of them on average, also where that is a fraction.
    pub(crate) fn has_slot(&self, now: Nanos, e: &Engine, slot: Nanos, holders: f64, across: f64) -> bool {
        let gateways = self.s.gateways.max(1);
        let circle = |x: u64| (x.wrapping_mul(MIX) >> 11) as f64 / (1u64 << 53) as f64;
        let place = f64::from(self.s.me % gateways) / f64::from(gateways) + circle(e.entry.id.0);
        let turn = now / slot.max(1);
        let used = e.sent_at > 0 && e.sent_at / slot.max(1) == turn;
        !used && (place + 1.0 + across - circle(turn)).fract() < holders / f64::from(gateways)
    }

    /// News of the list: engines that are new have that bound per core, and are taken to be that slow.
    pub(crate) fn merge(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: &[EngineEntry],
        per_core: f64,
        stretch: f64,
    ) {
        if kind != ListKind::Changes {
            let named: BTreeSet<EngineId> = entries.iter().map(|e| e.id).collect();
            for e in self.engines.values_mut().filter(|e| !named.contains(&e.entry.id)) {
                e.entry.readiness = Readiness::Gone;
            }
        }
        for entry in entries {
            let cores = self.s.kinds.get(usize::from(entry.kind.0)).map_or(1.0, |k| k.cores).max(1.0);
            let fresh = || Engine::new(now, *entry, cores, per_core * cores, stretch);
            let e = self.engines.entry(entry.id).or_insert_with(fresh);
            if e.entry.ready_at != entry.ready_at {
                // A restart under the same id: a cold engine without history, but attempts out still count.
                let old = std::mem::replace(e, fresh());
                (e.running, e.held_groups) = (old.running, old.held_groups);
            }
            e.entry = *entry;
        }
        self.fleet.ready = self.engines.values().filter(|e| e.ready()).map(|e| e.entry.id).collect();
        // What is gone is forgotten, unless an attempt there still counts: memory must not grow.
        let outs = self.requests.values().flat_map(|r| r.outs.iter().map(|o| o.engine));
        let ran = self.requests.values().filter_map(|r| r.ran_on.map(|(e, _)| e));
        let needed: BTreeSet<EngineId> = outs.chain(ran).collect();
        let stays = |e: &Engine| e.entry.readiness != Readiness::Gone || needed.contains(&e.entry.id);
        self.engines.retain(|_, e| stays(e));
        self.fleet.recent.retain(|id| self.engines.get(id).is_some_and(Engine::ready));
    }

    /// Drops a request that is over and has nothing out, and passes on its key's turn.
    pub(crate) fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.done && r.outs.is_empty()) else { return };
        if let Some(k) = r.ask.key.and_then(|k| self.keys.get_mut(&k)) {
            k.line.retain(|other| *other != id);
        }
        self.requests.remove(&id);
    }

    /// Rule 5: the head of its key's line, after the rest that follows an attempt which may still run.
    pub(crate) fn has_turn(&self, now: Nanos, id: RequestId, r: &Request) -> bool {
        let (true, Some(key)) = (self.class(r).in_order, r.ask.key) else { return true };
        let Some(k) = self.keys.get(&key) else { return false };
        k.line.front() == Some(&id) && now >= k.rest_until
    }

    /// Rule 7: attempts beyond the first, over any window of the stated length.
    pub(crate) fn budget_allows(&self, now: Nanos) -> bool {
        let Some(b) = self.s.rules.extra else { return true };
        let from = now.saturating_sub(b.span);
        let extras = self.extras.iter().filter(|t| **t >= from).count() as f64;
        let taken = self.taken.iter().rev().take_while(|t| **t > from).count() as f64;
        extras + 1.0 <= b.spare + b.ratio * taken
    }

    pub(crate) fn class(&self, r: &Request) -> &ClassSpec {
        &self.s.classes[usize::from(r.ask.class.0)]
    }

    /// What repeating it may do.
    pub(crate) fn effect(&self, r: &Request) -> Effect {
        if r.ask.single { Effect::Unsafe } else { self.class(r).effect }
    }

    pub(crate) fn learned(&self, r: &Request) -> &Learned {
        &self.learned[usize::from(r.ask.class.0)]
    }

    pub(crate) fn threads(&self, r: &Request) -> f64 {
        self.class(r).threads.max(1.0)
    }

    /// Expected work in seconds on one core.
    pub(crate) fn work(&self, r: &Request) -> f64 {
        let l = self.learned(r);
        r.ask.work_hint.map_or(l.work, |h| secs(h) * l.bias)
    }

    /// Expected time in seconds on an idle engine.
    pub(crate) fn alone(&self, r: &Request) -> f64 {
        self.work(r) / self.threads(r)
    }

    pub(crate) fn aim_end(&self, r: &Request) -> Nanos {
        (r.arrived + nanos(aim(self.class(r), self.work(r)))).min(r.ask.give_up_at)
    }

    /// The time after which an answer earns nothing: the deadline, or the aim where late answers are void.
    pub(crate) fn useful_end(&self, r: &Request) -> Nanos {
        if self.class(r).late_worth > 0.0 { r.ask.give_up_at } else { self.aim_end(r) }
    }
}

/// The aim in seconds of a query with that much work.
pub fn aim(c: &ClassSpec, work: f64) -> f64 {
    (secs(c.promise) + c.aim_stretch * work / c.threads.max(1.0)).max(1e-3)
}

/// Rule 2: what was sent then and may have run goes again only to engines that discard its duplicates, while they
/// remember it. The pair: where it went, and where it would go; none if either is not known, or not chosen yet.
pub fn may_repeat(effect: Effect, sent: Nanos, pair: Option<(EngineEntry, EngineEntry)>, now: Nanos) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { scope, window } => {
            let same = pair.is_none_or(|(first, next)| match scope {
                Scope::All => true,
                Scope::Zone => first.zone == next.zone,
                Scope::Cell => first.cell == next.cell,
            });
            same && now < sent.saturating_add(window)
        }
    }
}

/// Rule 2: whether a refusal is honest, as it promises that trying again is harmless: what may have run, or is out, only
/// where it may be repeated anywhere.
pub fn may_refuse(effect: Effect, may_have_run: bool) -> bool {
    !may_have_run || matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. })
}

/// Rule 6: the zones and kinds a class is bound to.
pub fn placed(class: &ClassSpec, entry: &EngineEntry) -> bool {
    class.only_zones.as_ref().is_none_or(|z| z.contains(&entry.zone))
        && class.only_kinds.as_ref().is_none_or(|k| k.contains(&entry.kind))
}

/// How far an engine is from being a data set's own, 0 to 1: the same at all gateways and after a restart, so that engines
/// keep warm what they are asked for, without a word between gateways.
pub fn strangeness(group: u64, engine: EngineId) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_be_bytes(), group);
    1.0 - (hash >> 11) as f64 / (1u64 << 53) as f64
}
