//! Every decision of a gateway; its types, events and actions are those of `src/interface.rs`. Reading order:
//! constants; engine state; request and key state; ECC09 update; admission; outcomes and further attempts;
//! list changes; timers. Ordinary path: each engine has a bound on running threads, moved by formula (5);
//! a gateway keeps to its share of it, sends where most threads are free, and holds or refuses the rest.
use crate::interface::*;
pub use crate::state::Gateway;
use crate::state::*;
use rand_core::Rng;
use std::collections::BTreeSet;

const SWEEP: u64 = 1; // Timer token of the sweep; the module has no other timer.
const SWEEP_EVERY: Nanos = 20_000_000; // Between looks at what waits: within the usual answer slack.
const PERIOD: Nanos = 2_000_000_000; // Period of the ECC09 update, from the design.
const START_THREADS_PER_CORE: f64 = 2.0; // Bound at start, from the design.
const FLOOR: f64 = 0.5; // Floor of the bound as a share of its start, from the design.
const CEILING: f64 = 1.0; // Upper clamp, same share: beyond, engines lose work; parts are used in full.
const GAIN: f64 = 1.0; // Gain of formula (5), queries a second: an engine's imbalance a tenth over demand.
const LEAST_IMBALANCE: f64 = 1.0; // Least |Ti - To|, queries a second: below it bounds leap on noise.
const STEP: f64 = 0.2; // Most that one update moves the bound: latency answers only a period later.
const CLIP: f64 = 3.0; // Times the usual that a sample counts at most: one costly query must not decide.
const PRESSURE: f64 = 2.0; // Pressure: smoothed latency over time alone stands this far above the best seen.
const SURGE: f64 = 1.4; // Without pressure a burst fills this many start bounds before latency can tell.
const SPARE_MOST: f64 = 3.0; // Own threads past their part while engines tell that they stand idle, at most.
const SHORT_PART: f64 = 0.5; // Part of each bound that short queries have even when long ones borrowed it.
const LONG_BORROW: f64 = 0.9; // Long queries may borrow idle room up to this part of the bound.
const JAM: f64 = 2.0; // An engine this many times slower than its peers is in a jam.
const TURN: Nanos = 500_000_000; // Length of a turn of gateways whose share is under one query.
const COLD_SLOTS: u64 = 4; // Turns on a cold engine in a fall window: a window cuts one more than these.
const CANDIDATES: usize = 12; // Engines compared for a query: all of a small fleet, few of a large one.
const NEAR: usize = 8; // Engines that a gateway prefers where it can't ask: fewer handshakes, more news...
const FAR: f64 = 0.2; // ...until others cost less by so much of a full bound.
const LATE_PART: f64 = 0.25; // Part of a gateway's share that queries may fill which miss their aim anyway.
const FRESH: Nanos = 250_000_000; // A report younger than this needs no probe...
const NEWS: Nanos = 1_000_000_000; // ...and one older than this tells nothing.
const PROBES: usize = 1; // Engines probed for a query whose share of an engine is under one.
const PROBE_DEAR: f64 = 0.03; // Price of a probe, in parts of a usual query, that a choice is not worth.
const PROBE_WAIT: Nanos = 30_000_000; // Longest wait of a query for its probes.
const PUMP_MOST: usize = 32; // Held queries tried at one outcome: its cost must not grow with the queue.
const SMOOTH: f64 = 0.1; // Weight of a new sample in smoothed figures: about the last ten samples.
const FADE: f64 = 0.2; // Part by which slowness without news fades a period: forgotten in about ten seconds.
const LEARN: f64 = 0.02; // Least weight of a sample in what a class has taught: about the last fifty.
const CALM: f64 = 1.25; // Answers at most this many times slower than the best seen.
const ENOUGH: u32 = 5; // Samples that are believed: of a class's work, of a window of all engines.
const FAIL_SHARE: f64 = 0.4; // Smoothed share of failures that ejects: three in a row do, at this weight,
const FAIL_WEIGHT: f64 = 0.2; // ...and one where the share of an engine is under one query.
const EJECT: Nanos = 1_500_000_000; // First ejection; doubled each time up to eight times.
const EJECT_MOST: f64 = 0.5; // Most of the ready engines ejected: when more look bad the cause is shared.
const SILENT_TIMES: f64 = 3.0; // Silence: attempts this many times past their expected time...
const SILENT_LEAST: Nanos = 1_200_000_000; // ...and this old, with no sign of life of the engine since.
const SILENT_NOTES: f64 = 1.5; // An attempt is lost without so many notes that were due: it runs no more.
const STANDS_LEAST: Nanos = 200_000_000; // A query is taken to stand still for a load no sooner than this...
const STANDS: Nanos = 500_000_000; // ...and others on its data there to do so for so long after it was seen.
const STALL: Nanos = 3 * SWEEP_EVERY; // A gateway that had no turn for so long stood still itself.
const SILENT_COUNT: usize = 2; // How many such attempts make an engine silent.
const TAIL: f64 = 0.05; // Part of a class's answers that take longer than its tail, in expected times...
const TAIL_FIRST: f64 = 4.0; // ...which is this at first and never less: what is sent anew runs twice.
const TAIL_STEP: f64 = 0.2; // Weight of one answer in it: a fifth up, a hundredth down.
const BAD_PLAN: f64 = 1.5; // A plan is bad if its progress points to this many times the tail.
const CANCEL_SHARE: f64 = 0.1; // Cancels per query taken: engines slow as a whole must cause no storm.
const CANCEL_SPARE: f64 = 6.0; // Cancels that may be saved up.
const COLD_MARGIN: f64 = 0.55; // Margin on the cold budget: clocks, slow machines, work not known ahead.
const USUAL_BUSY: f64 = 0.8; // Share of a core's time that usual capacity means.
const QUOTA_BURST: f64 = 2.0; // Bursts within a tenant's quota, seconds of its rate...
const QUOTA_LEAST: f64 = 6.0; // ...and queries at least: a small part of a rate comes in whole queries.
// Costs in the choice of an engine, in full bounds of threads: zones apart, data set held by a load...
const CROSS: f64 = 0.03;
const GROUP_HELD: f64 = 1.5;
const TRIED: f64 = 1.0; // ...engine tried before; a half-open one comes first.
const TRIAL: f64 = 10.0;
const DOUBT: f64 = 0.5; // Part of the expected time that must be left at a send: estimates lie too high.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15; // 2^64 over the golden ratio: multiples spread evenly on a circle.

fn smooth(old: &mut f64, sample: f64) {
    *old += SMOOTH * (sample - *old);
}

// ---------------------------------------------------------------- engine state

impl Running {
    /// The split of a bound: short queries have their part, long ones the rest and what is idle.
    fn fits(&self, k: f64, long: bool, limit: f64) -> bool {
        let long_threads = self.threads - self.short + k;
        let all = self.threads + k <= limit;
        if long {
            long_threads <= limit * (1.0 - SHORT_PART) || (all && long_threads <= limit * LONG_BORROW)
        } else {
            all || self.short + k <= limit * SHORT_PART
        }
    }
}

impl Window {
    /// Formula (5), MPL = Ne / (1 + gain (L' - 1) / (Ti - To)), in threads.
    fn law(&self, period: f64) -> f64 {
        let lateness = self.lateness / self.samples.max(1.0);
        let gap = (self.wanted - self.finished) / period;
        let gap = gap.abs().max(LEAST_IMBALANCE).copysign(gap);
        let below = (1.0 + GAIN * (lateness - 1.0) / gap).clamp(FLOOR, 1.0 / FLOOR);
        self.threads / period / below
    }

    /// The level falls only while answers are late and more comes in than goes out.
    fn falls(&self) -> bool {
        self.lateness > self.samples && self.wanted > self.finished
    }
}

impl Engine {
    fn new(now: Nanos, entry: EngineEntry, s: &Settings, stretch: f64) -> Engine {
        let cores = s.kinds.get(usize::from(entry.kind.0)).map_or(1.0, |k| k.cores).max(1.0);
        let start = START_THREADS_PER_CORE * cores;
        let times = Engine { counted_at: now, life_at: now, ..Engine::default() };
        Engine { entry, cores, start, bound: start, stretch, ..times }
    }

    /// Share of usual capacity that a started engine surely has: the start share, then a late-rising curve.
    fn warmth(&self, now: Nanos, rules: &Rules) -> f64 {
        if self.entry.ready_at == 0 || self.entry.ready_at.saturating_add(rules.warm_within) <= now {
            return 1.0;
        }
        let age = secs(now.saturating_sub(self.entry.ready_at)) / secs(rules.warm_within.max(1));
        rules.cold_from + (1.0 - rules.cold_from) * age * age
    }

    /// Moves the bound toward what the law asks for, one step at most, within its clamps.
    fn steer(&mut self, wanted: f64, falls: bool) {
        let low = if falls { self.bound * (1.0 - STEP) } else { self.bound };
        let next = wanted.clamp(low, self.bound * (1.0 + STEP));
        self.bound = next.clamp(self.start * FLOOR, self.start * CEILING);
    }

    fn eject(&mut self, now: Nanos) {
        self.health = Health::Open(now + (EJECT << self.ejections.min(3)));
        self.ejections += 1;
        self.fail_share = 0.0;
    }
}

// ---------------------------------------------------------------- request and key state

impl Gateway {
    /// A gateway that knows nothing but its settings.
    pub fn new(now: Nanos, settings: Settings, seed: u64) -> Gateway {
        let mut g = Gateway::blank(now, settings, seed);
        g.learned = g.s.classes.iter().map(|c| Learned::first(c, TAIL_FIRST)).collect();
        g.tenants.iter_mut().for_each(|t| t.tokens = QUOTA_LEAST);
        g.cancels = CANCEL_SPARE;
        g
    }

    /// The tenants' shares changed, or tenants came: what each has saved up of its quota stays.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        for (at, t) in tenants.iter().enumerate() {
            match self.tenants.get_mut(at) {
                Some(known) => known.quota = t.quota_per_s,
                None => {
                    let (tokens, filled_at) = (QUOTA_LEAST, self.turn_at);
                    self.tenants.push(Tenant { quota: t.quota_per_s, tokens, filled_at });
                }
            }
        }
    }

    /// New settings for what comes from now on. Fresh classes start from what those they follow have taught.
    pub fn retune(&mut self, s: Settings, fresh: &[(ClassId, Option<ClassId>)]) {
        self.learned.resize_with(s.classes.len(), || Learned::first(&s.classes[0], TAIL_FIRST));
        for (class, heir_of) in fresh.iter().map(|(class, of)| (usize::from(class.0), of)) {
            let first = Learned::first(&s.classes[class], TAIL_FIRST);
            self.learned[class] = heir_of.map_or(first, |of| self.learned[usize::from(of.0)]);
        }
        self.s = s;
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Nanos, event: Event, acts: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            acts.push(Action::Timer { after: SWEEP_EVERY, token: SWEEP });
            if self.s.ask_for_list {
                acts.push(Action::Watch(true));
            }
        }
        // Guards against this gateway's own stalls: ages and times taken across one say nothing of engines.
        if now.saturating_sub(self.turn_at) > STALL {
            self.woke_at = now;
        }
        self.turn_at = now;
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, &entries, acts),
            Event::Request(ask) => self.on_request(now, ask, acts),
            Event::Outcome(o) => self.on_outcome(now, &o, acts),
            Event::Note { id, attempt, note } => self.on_note(now, id, attempt, note, acts),
            Event::ClientGone(id) => self.on_gone(id, acts),
            Event::Timer(SWEEP) => self.on_sweep(now, acts),
            Event::Probed { engine, kind, latency, load } => {
                self.on_report(now, engine, &load);
                self.on_probe(now, engine, kind, secs(latency));
                self.pump(now, acts);
            }
            // What gateways may tell one another is the fleet's membership's, not the module's.
            Event::Timer(_) | Event::FirstByte { .. } | Event::Peer { .. } => {}
        }
    }

    /// Long classes: more than one thread, or loads.
    fn is_long(&self, r: &Request) -> bool {
        self.threads(r) > 1.0 || self.class(r).is_load
    }

    /// Whether this gateway's share of an engine is under that many threads.
    fn thin(&self, e: &Engine, threads: f64) -> bool {
        e.start * LONG_BORROW / self.sharers < threads
    }

    // ------------------------------------------------------------ the ECC09 update

    /// Formula (5) for every engine. Exception: where the share of an engine is under one thread, its window
    /// would hold no sample; the windows of all engines together then stand in, open until they hold enough.
    fn update_bounds(&mut self, now: Nanos) {
        let period = secs(now.saturating_sub(self.updated_at)).max(1e-3);
        self.updated_at = now;
        for r in self.requests.values() {
            let Some(o) = &r.out else { continue };
            let age = secs(now.saturating_sub(o.sent)) / aim(self.class(r), self.work(r));
            if let Some(e) = self.engines.get_mut(&o.engine).filter(|_| age > 1.0) {
                e.window.lateness += age.min(CLIP);
                e.window.samples += 1.0;
            }
        }
        let (sharers, count) = (self.sharers, self.fleet.ready.len().max(1) as f64);
        let thin = |e: &Engine| e.start * LONG_BORROW / sharers < 1.0;
        for e in self.engines.values_mut() {
            e.count(now);
            let w = std::mem::take(&mut e.window);
            self.fleet.window.add(&w, sharers / count);
            if thin(e) || w.queries <= 0.0 || w.samples == 0.0 {
                let usual = if thin(e) { self.fleet.stretch } else { self.fleet.median_stretch };
                e.stretch += FADE * (usual - e.stretch);
            } else {
                e.steer(w.law(period) * sharers, w.falls());
            }
        }
        if self.fleet.window.samples >= f64::from(ENOUGH) {
            let all = std::mem::take(&mut self.fleet.window);
            let span = secs(now.saturating_sub(self.fleet.window_since)).max(1e-3);
            let per_core = all.law(span) * count / self.fleet.cores.max(1.0);
            self.engines
                .values_mut()
                .filter(|e| thin(e))
                .for_each(|e| e.steer(per_core * e.cores, all.falls()));
            self.fleet.window_since = now;
        }
        let best = self.engines.values().filter(|e| e.ready()).map(|e| e.stretch).min_by(f64::total_cmp);
        self.fleet.best_stretch = best.unwrap_or(1.0).min(self.fleet.best_stretch * 1.01).max(0.5);
    }

    /// Latency far above the best. A gateway just started does not know and takes it for pressure.
    fn pressed(&self, now: Nanos, stretch: f64) -> bool {
        let fresh = now.saturating_sub(self.born) < PERIOD;
        fresh || stretch > PRESSURE * self.fleet.best_stretch.min(2.0)
    }

    /// Threads of all gateways that an engine is taken to run: its report and own sends since. Where others
    /// tell, one that has told nothing of late is taken to be full, as it may be in a jam and can be asked.
    /// Where asking is not allowed it is taken to be as busy as those that told: else what is not used is
    /// never heard of again. Harms where an engine that others know to be jammed is new to this gateway.
    fn load(&self, now: Nanos, e: &Engine) -> f64 {
        match e.report {
            Some((at, threads)) if now.saturating_sub(at) < NEWS => threads + e.since,
            Some(_) | None if self.fleet.recent.is_empty() || e.warmth(now, &self.s.rules) < 1.0 => e.since,
            Some(_) | None if self.asks() => f64::INFINITY,
            Some(_) | None => self.fleet.crowd * e.cores + e.since,
        }
    }

    /// What an engine says of its load, in answers and probes: queries in hand at the threads of a usual one,
    /// the use of its cores, or its memory, where all of it counts as a full bound; whichever says most.
    fn on_report(&mut self, now: Nanos, engine: EngineId, load: &LoadReport) {
        let mix = self.fleet.mix;
        let Some(e) = self.engines.get_mut(&engine).filter(|_| load.len > 0) else { return };
        let mut threads: f64 = 0.0;
        for (field, value) in self.s.load_fields.iter().zip(load.values).take(load.len) {
            let value = f64::from(value);
            let says = match field {
                LoadField::Inflight => value * (mix.threads / mix.queries.max(1e-9)).max(1.0),
                LoadField::Util | LoadField::DisksBusy => value * e.cores,
                // Most of the memory is granted in normal work; only the last part of it is scarce.
                LoadField::MemoryGranted => value.powi(4) * e.start,
                LoadField::Queue => value * e.start,
                LoadField::RecentMs | LoadField::Rate | LoadField::Errors | LoadField::Unknown => 0.0,
            };
            threads = threads.max(if says.is_finite() { says } else { 0.0 });
        }
        (e.report, e.since) = (Some((now, threads)), 0.0);
        smooth(&mut self.fleet.crowd, threads / e.cores);
        self.fleet.recent.retain(|id| *id != engine);
        self.fleet.recent.push_front(engine);
        self.fleet.recent.truncate(CANDIDATES / 2);
    }

    /// A jammed engine may report idle cores, as its queries wait for disks: the delay of its probe beyond
    /// the best seen, against its peers, raises the report. One that does not answer is full or worse.
    fn on_probe(&mut self, now: Nanos, engine: EngineId, kind: OutcomeKind, took: f64) {
        let f = &mut self.fleet;
        f.probes_out = f.probes_out.saturating_sub(1);
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let base = &mut f.probe_base[usize::from(e.entry.zone != self.s.zone)];
        *base = (*base * 1.001).min(took);
        let delay = took - *base;
        let slow = delay / f.probe_delay.max(0.25 * *base).max(1e-6);
        let clipped = delay.min(CLIP * (f.probe_delay + *base));
        smooth(&mut f.probe_delay, clipped);
        let told = e.report.map_or(0.0, |(_, threads)| threads);
        let full = match kind {
            OutcomeKind::Ok => (slow / JAM).powi(2),
            OutcomeKind::ConnectFailed => f64::INFINITY,
            OutcomeKind::Error | OutcomeKind::Full | OutcomeKind::Timeout => SURGE,
            OutcomeKind::Reset | OutcomeKind::Cancelled | OutcomeKind::Moot => SURGE,
        };
        e.report = Some((now, told.max(e.start * full)));
    }

    // ------------------------------------------------------------ admission

    fn on_request(&mut self, now: Nanos, ask: NewRequest, acts: &mut Vec<Action>) {
        if usize::from(ask.class.0) >= self.s.classes.len() || self.requests.contains_key(&ask.id) {
            return;
        }
        self.taken.push_back(now);
        let mut over_share = false;
        if let Some(t) = self.tenants.get_mut(usize::from(ask.tenant.0)).filter(|t| t.quota > 0.0) {
            let rate = t.quota / self.sharers;
            let filled = t.tokens + rate * secs(now.saturating_sub(t.filled_at));
            (t.tokens, t.filled_at) = (filled.min((rate * QUOTA_BURST).max(QUOTA_LEAST)), now);
            // A query that comes again was counted at its first try.
            over_share = t.tokens < 1.0 && !ask.repeated;
            t.tokens -= if over_share || ask.repeated { 0.0 } else { 1.0 };
        }
        let most_sends = self.s.limits.send_cap;
        let r = Request { ask, arrived: now, over_share, most_sends, ..Request::default() };
        if let (true, Some(key)) = (self.class(&r).in_order, ask.key) {
            self.keys.entry(key).or_default().line.push_back(ask.id);
        }
        self.cancels = (self.cancels + CANCEL_SHARE).min(CANCEL_SPARE);
        // Ti counts a query once, for the engine where it would fit best.
        let some = self.candidates();
        let fits =
            some.iter().filter_map(|id| self.engines.get(id)).filter(|e| placed(self.class(&r), &e.entry));
        let room = |e: &Engine| e.bound / self.sharers - e.running.threads;
        let best = fits.max_by(|a, b| room(a).total_cmp(&room(b))).map(|e| e.entry.id);
        if let Some(e) = best.and_then(|id| self.engines.get_mut(&id)) {
            e.window.wanted += 1.0;
        }
        self.requests.insert(ask.id, r);
        self.probe(now, ask.id, acts);
        match self.choose(now, ask.id) {
            Some(engine) => self.send(now, ask.id, engine, acts),
            None => self.hold(now, ask.id),
        }
    }

    /// Whether engines are asked for their load: not where all probes together cost more than they help.
    fn asks(&self) -> bool {
        self.s.limits.may_probe && self.s.probe_price <= PROBE_DEAR
    }

    /// Where own answers tell too little, a few engines at random are asked for their load.
    fn probe(&mut self, now: Nanos, id: RequestId, acts: &mut Vec<Action>) {
        let some = self.candidates();
        let Some(r) = self.requests.get(&id).filter(|_| self.asks()) else { return };
        // Where one that counts its queries is half empty and would take this one, a probe tells nothing.
        let (class, threads) = (self.class(r), self.threads(r));
        let open =
            |e: &&Engine| placed(class, &e.entry) && e.health == Health::Closed && self.gate(now, id, r, e);
        let idle = |e: &&Engine| self.load(now, e) + threads <= FLOOR * e.start && self.has_room(now, r, e);
        let known = some.iter().filter_map(|id| self.engines.get(id)).filter(|e| e.report.is_some());
        let counts = self.s.load_fields.contains(&LoadField::Inflight);
        if counts && known.filter(open).any(|e| idle(&e)) {
            return;
        }
        let old = |e: &&Engine| e.report.is_none_or(|(at, _)| now.saturating_sub(at) >= FRESH);
        // First where this gateway has a turn on a cold engine: what it knows of others does not fill that.
        let cold = |id: &&EngineId| self.engines.get(id).is_some_and(|e| e.warmth(now, &self.s.rules) < 1.0);
        let turns = some.iter().take(self.fleet.turns.len().min(CANDIDATES / 2)).filter(cold);
        let asked = turns.chain(some.iter().rev()).filter_map(|id| self.engines.get(id));
        let useful = asked.filter(|e| self.thin(e, threads));
        let asked = useful.filter(open).filter(old);
        let asked: Vec<EngineId> = asked.map(|e| e.entry.id).take(PROBES).collect();
        self.fleet.probes_out += asked.len();
        self.fleet.probed_at = now;
        if let Some(r) = self.requests.get_mut(&id).filter(|_| !asked.is_empty()) {
            r.probing_until = now + PROBE_WAIT;
        }
        acts.extend(asked.into_iter().map(|engine| Action::Probe { engine }));
    }

    /// Engines to compare: all of a small fleet; of a large one those where this gateway has a turn, those
    /// with the newest reports, and some at random, lest all herd. The cost does not grow with the fleet.
    fn candidates(&mut self) -> Vec<EngineId> {
        let f = &self.fleet;
        let n = f.ready.len().max(1);
        let any = self.rng.next_u32() as usize;
        if n <= CANDIDATES {
            return f.ready.iter().cycle().skip(any % n).take(f.ready.len()).copied().collect();
        }
        if !self.asks() {
            let others = [any / NEAR, any / NEAR + n / 2].map(|at| f.ready[at % n]);
            return f.turns.iter().copied().chain(self.near(any)).chain(others).collect();
        }
        let known = f.turns.iter().take(CANDIDATES / 2).chain(&f.recent);
        let others = (0..CANDIDATES / 2).map(|i| &f.ready[(any % n + i * (n / CANDIDATES)) % n]);
        known.chain(others).copied().collect()
    }

    /// The engines that a gateway prefers, from some place among them.
    fn near(&self, place: usize) -> impl Iterator<Item = EngineId> {
        self.fleet.arc(self.s.me as usize, self.s.gateways.max(1) as usize, NEAR, place)
    }

    /// The gate of every send: one out, time left, drain, placement, cold, attempts, effects, key turn.
    fn gate(&self, now: Nanos, id: RequestId, r: &Request, e: &Engine) -> bool {
        let open = !r.done && now + nanos(DOUBT * self.alone(r)) < r.ask.give_up_at && r.out.is_none();
        let engine = e.ready() && placed(self.class(r), &e.entry) && self.cold_allows(now, r, e);
        let further = r.sends == 0 || (r.sends < r.most_sends && self.budget_allows(now));
        open && engine && further && self.effect_allows(now, r, Some(e)) && self.has_turn(now, id, r)
    }

    /// Rule 2: whether the request may go out again at all, and to this engine: what may have run goes only
    /// to engines that discard its duplicates, while they remember it.
    fn effect_allows(&self, now: Nanos, r: &Request, e: Option<&Engine>) -> bool {
        let Some((first, sent)) = r.ran_on else { return true };
        let pair = self.engines.get(&first).map(|f| f.entry).zip(e.map(|e| e.entry));
        match self.effect(r) {
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

    /// Rule 5: the head of its key's line, after the rest that follows an attempt which may still run.
    fn has_turn(&self, now: Nanos, id: RequestId, r: &Request) -> bool {
        let (true, Some(key)) = (self.class(r).in_order, r.ask.key) else { return true };
        let Some(k) = self.keys.get(&key) else { return false };
        k.line.front() == Some(&id) && now >= k.rest_until
    }

    /// Rule 4: work sent to a cold engine by all gateways in the stated window stays in the budget. A part
    /// that holds the query is kept by counting; below that, whole queries go out in turns.
    fn cold_allows(&self, now: Nanos, r: &Request, e: &Engine) -> bool {
        let (rules, warmth) = (&self.s.rules, e.warmth(now, &self.s.rules));
        let rate = rules.fall_multiple * warmth * e.cores * USUAL_BUSY * COLD_MARGIN;
        let budget = self.part * rate * secs(rules.fall_window);
        let part = budget / f64::from(self.s.gateways.max(1));
        let from = now.saturating_sub(rules.fall_window);
        let weight = self.cold_weight(r);
        let sent: f64 = e.cold_sent.iter().filter(|(t, _)| *t >= from).map(|(_, w)| w).sum();
        // Half for each of short and long, whose turns lie across the circle lest short ones use up both.
        let holders = budget / (2.0 * (COLD_SLOTS + 1) as f64 * weight.max(1e-3));
        let (slot, across) = (rules.fall_window / COLD_SLOTS, if self.is_long(r) { 0.5 } else { 0.0 });
        let in_turn = || weight > part && sent <= 0.0 && self.has_slot(now, e, slot, holders, across);
        warmth >= 1.0 || sent + weight <= part || in_turn()
    }

    /// Weighs a query for that budget by its class and its hint, whichever says more.
    fn cold_weight(&self, r: &Request) -> f64 {
        let l = self.learned(r);
        let guess = if l.samples < ENOUGH { secs(self.class(r).promise) * self.threads(r) } else { 0.0 };
        guess.max(l.work).max(self.work(r))
    }

    /// Whether this gateway is among the `holders` that have a turn on an engine now, and has not used it.
    /// Gateways stand evenly on a circle; an arc of `holders` of them is let in, and moves on by the golden
    /// ratio each slot: whole gateways, `holders` of them on average, also where that is a fraction.
    fn has_slot(&self, now: Nanos, e: &Engine, slot: Nanos, holders: f64, across: f64) -> bool {
        let gateways = self.s.gateways.max(1);
        let circle = |x: u64| (x.wrapping_mul(MIX) >> 11) as f64 / (1u64 << 53) as f64;
        let place = f64::from(self.s.me % gateways) / f64::from(gateways) + circle(e.entry.id.0);
        let turn = now / slot.max(1);
        let used = e.sent_at > 0 && e.sent_at / slot.max(1) == turn;
        !used && (place + 1.0 + across - circle(turn)).fract() < holders / f64::from(gateways)
    }

    /// Rule 7: attempts beyond the first, over any window of the stated length.
    fn budget_allows(&self, now: Nanos) -> bool {
        let Some(b) = self.s.rules.extra else { return true };
        let from = now.saturating_sub(b.span);
        let extras = self.extras.iter().filter(|t| **t >= from).count() as f64;
        let taken = self.taken.iter().rev().take_while(|t| **t > from).count() as f64;
        extras + 1.0 <= b.spare + b.ratio * taken
    }

    /// Room under the bound. Short queries keep their part; long ones keep the rest and borrow what is idle.
    /// The bound binds under pressure; before that, a burst may fill some more.
    fn has_room(&self, now: Nanos, r: &Request, e: &Engine) -> bool {
        let (k, long) = (self.threads(r), self.is_long(r));
        // Far slower than its peers: less, to clear it. Harms after underestimates.
        let jam = (JAM * self.fleet.median_stretch / e.stretch).min(1.0);
        let able = jam * e.warmth(now, &self.s.rules);
        if !self.thin(e, k) {
            let pressed = now < e.full_until || self.pressed(now, e.stretch);
            let limit = able * if pressed { e.bound } else { e.start * SURGE } / self.sharers;
            return e.running.fits(k, long, limit);
        }
        // Exception: a share under one query. All shares bound own threads, reports tell where room is, and
        // under pressure a turn lets in as many gateways as the whole bound holds queries.
        let pressed = self.pressed(now, self.fleet.stretch);
        // What misses its aim anyway earns little: it may fill idle room, not slow what can still be in time.
        let part = if self.asks() || self.in_aim(now, r) { 1.0 } else { LATE_PART };
        let share = self.fleet.bound / self.sharers * self.spare(pressed) * part;
        // A share of a few queries is kept in the mean over a period, like Ne of the law, lest a good part of
        // it be unused. At a moment it may be twice as much, and one with nothing out may send one.
        // A turn on a cold engine does not wait for own queries that are stuck on the warm ones beside it.
        let own = (!self.asks() && e.warmth(now, &self.s.rules) < 1.0)
            || ((self.fleet.running.queries < 1.0 || self.fleet.mean.fits(0.0, long, share))
                && self.fleet.running.fits(k, long, (2.0 * share).max(k / LONG_BORROW)));
        let whole = able * e.bound * if long { LONG_BORROW } else { SURGE };
        let load = self.load(now, e);
        let crowded = now < e.full_until || load >= e.start || (pressed && load > FLOOR * e.start);
        let holders = whole / k * f64::from(self.s.gateways.max(1)) / self.sharers;
        own && load + k <= whole && (!crowded || self.has_slot(now, e, TURN, holders, 0.0))
    }

    /// How far own threads may go past their part: while engines tell that what they have is not in use,
    /// parts that others leave idle may be used. Only reports that tell of all that queries wait for are
    /// believed: counts of queries, or disks beside cores. Harms where reports lag behind a surge.
    fn spare(&self, pressed: bool) -> f64 {
        let tells = |field| self.s.load_fields.contains(&field);
        let share = if pressed { 1.0 } else { SURGE };
        let full = match (tells(LoadField::Inflight), tells(LoadField::DisksBusy)) {
            (true, _) => START_THREADS_PER_CORE,
            (false, told) => share * f64::from(u8::from(told)),
        };
        (full / self.fleet.crowd.max(0.1)).clamp(1.0, SPARE_MOST)
    }

    /// Whether it would stand still there for a load: an own one, or one that others were seen to wait for.
    fn stands(&self, now: Nanos, r: &Request, e: &Engine) -> bool {
        let (c, group) = (self.class(r), &r.ask.group);
        let seen = || e.stood_still.get(group).is_some_and(|until| *until > now);
        (c.is_load || c.waits_for_loads) && (e.held_groups.contains_key(group) || seen())
    }

    /// Lower is better: threads in use under the bound, scaled by slowness against peers.
    fn cost(&self, now: Nanos, r: &Request, e: &Engine) -> f64 {
        let k = self.threads(r);
        let slow = (e.stretch / self.fleet.median_stretch.max(0.1)).max(0.7);
        let whole = e.bound * e.warmth(now, &self.s.rules);
        let thin = self.thin(e, k);
        let (load, limit) =
            if thin { (self.load(now, e), whole) } else { (e.running.threads, whole / self.sharers) };
        let on = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        let data = on(self.stands(now, r, e), GROUP_HELD);
        let place = on(self.s.crossing_costs && e.entry.zone != self.s.zone, CROSS);
        let (blind, cold) = (thin && !self.asks(), e.warmth(now, &self.s.rules) < 1.0);
        // A turn on a cold engine is rare, and lost if it is not used.
        let far = on(blind && !self.near(0).any(|id| id == e.entry.id), FAR) - on(blind && cold, TRIED);
        let past = on(r.tried.contains(&e.entry.id), TRIED) - on(e.health == Health::HalfOpen(None), TRIAL);
        (load + k) / limit.max(0.5) * slow + data + place + far + past
    }

    /// Whether it may be in time. Most queries are smaller than the mean, and so are the aims to be missed.
    fn in_aim(&self, now: Nanos, r: &Request) -> bool {
        let small = DOUBT * self.work(r);
        let runs = small / self.threads(r) * self.fleet.median_stretch.max(1.0);
        now + nanos(runs) <= r.arrived + nanos(aim(self.class(r), small))
    }

    /// Worth per second of work, less where late or beyond the tenant's share.
    fn rank(&self, now: Nanos, r: &Request) -> f64 {
        let c = self.class(r);
        let share = if r.over_share { self.s.over_share_worth } else { 1.0 };
        let late = if self.in_aim(now, r) && !r.ask.repeated { 1.0 } else { c.late_worth.max(0.01) };
        c.worth.max(1e-6) * share * late / self.work(r).max(1e-3)
    }

    /// Where the query may go now: the best of the candidates with room that passes the gate.
    fn choose(&mut self, now: Nanos, id: RequestId) -> Option<EngineId> {
        let some = self.candidates();
        let r = self.requests.get(&id)?;
        if self.fleet.probes_out > 0 && now < r.probing_until {
            return None;
        }
        let class = self.class(r);
        let mine = |e: &&Engine| e.ready() && placed(class, &e.entry);
        // Never eject the last engines a class may use: with none closed, all count as closed.
        let any_closed = self.engines.values().filter(mine).any(|e| e.health == Health::Closed);
        let first_safe = class.effect == Effect::Safe && r.sends == 0;
        let healthy = |e: &&Engine| match e.health {
            Health::Closed => true,
            Health::HalfOpen(None) => first_safe || !any_closed,
            Health::HalfOpen(Some(_)) | Health::Open(_) => !any_closed,
        };
        let fits = some.iter().filter_map(|id| self.engines.get(id)).filter(mine).filter(healthy);
        // Where its data is held it would wait and keep a thread from others: rather for room elsewhere.
        let free = |e: &&Engine| !self.stands(now, r, e);
        let any_free = fits.clone().any(|e| free(&e));
        let fits = fits.filter(|e| !any_free || free(e));
        let fits = fits.filter(|e| self.has_room(now, r, e) && self.gate(now, id, r, e));
        let priced = fits.map(|e| (self.cost(now, r, e), e.entry.id));
        priced.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, e)| e)
    }

    fn hold(&mut self, now: Nanos, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        self.held.push((self.rank(now, r), id, r.ask.class));
    }

    /// Sends held queries that have room, best rank first. Where a fresh query of a class found no room, so
    /// will the next one; those in order or tried before say nothing of others.
    fn pump(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let mut no_room = vec![false; self.s.classes.len()];
        let (mut at, mut tries) = (0, 0);
        while at < self.held.len() && tries < PUMP_MOST && no_room.contains(&false) {
            let (_, id, class) = self.held[at];
            let full = &mut no_room[usize::from(class.0)];
            let Some(r) = self.requests.get(&id).filter(|r| !r.done && r.out.is_none()) else {
                self.held.remove(at);
                continue;
            };
            let plain = r.sends == 0 && !self.class(r).in_order;
            tries += usize::from(!(plain && *full));
            match if plain && *full { None } else { self.choose(now, id) } {
                Some(engine) => {
                    self.held.remove(at);
                    self.send(now, id, engine, acts);
                }
                None => {
                    *full |= plain;
                    at += 1;
                }
            }
        }
    }

    /// Orders the held queries and refuses at once those that the work ahead of them leaves no time.
    fn review(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let held = std::mem::take(&mut self.held);
        held.iter().for_each(|(_, id, _)| self.hold(now, *id));
        self.held.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let rate = self.fleet.cores * USUAL_BUSY / self.sharers;
        let margin = 2 * SWEEP_EVERY.max(self.s.tick);
        let mut ahead = 0.0;
        for entry in std::mem::take(&mut self.held) {
            let id = entry.1;
            let Some(r) = self.requests.get(&id).filter(|r| !r.done && r.out.is_none()) else { continue };
            let wait = if rate > 0.0 { ahead / rate } else { 0.0 };
            let late = rate > 0.0 && now + nanos(wait + self.alone(r)) > self.useful_end(r);
            if late || now + margin >= r.ask.give_up_at || r.sends >= r.most_sends.max(1) {
                self.give_up(id, nanos(wait.max(0.1)), acts);
            } else {
                ahead += self.work(r);
                self.held.push(entry);
            }
        }
        self.fleet.backlog = if rate > 0.0 { ahead / rate } else { 0.0 };
    }

    fn send(&mut self, now: Nanos, id: RequestId, engine: EngineId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (alone, threads, long) = (self.alone(r), self.threads(r), self.is_long(r));
        let (weight, is_load, group) = (self.cold_weight(r), self.class(r).is_load, r.ask.group);
        let hopeless = r.over_share || now + nanos(alone) > self.aim_end(r);
        self.extras.extend((r.sends > 0).then_some(now));
        let thin = self.engines.get(&engine).is_some_and(|e| self.thin(e, threads));
        let told = self.engines.get(&engine).map_or(0.0, |e| self.load(now, e));
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let load = if thin { told } else { e.running.threads * self.sharers };
        let crowd = (if load.is_finite() { load } else { 0.0 } + threads) / e.cores;
        e.count(now);
        let running = Running { queries: 1.0, threads, short: if long { 0.0 } else { threads } };
        e.running.add(running, 1.0);
        self.fleet.running.add(running, 1.0);
        // What engines hold is what was sent, not asked: else counts of short ones pass for long ones.
        let before = self.fleet.mix;
        self.fleet.mix.add(before, -LEARN);
        self.fleet.mix.add(running, alone);
        e.since += threads;
        e.sent_at = now;
        e.cold_sent.extend((e.warmth(now, &self.s.rules) < 1.0).then_some((now, weight)));
        if is_load {
            *e.held_groups.entry(group).or_default() += 1;
        }
        e.health = if e.health == Health::HalfOpen(None) { Health::HalfOpen(Some(id)) } else { e.health };
        let expected = alone * e.stretch.max(1.0);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.out =
            Some(Out { engine, sent: now, alone, expected, running, crowd, life_at: now, cancelling: false });
        r.sends += 1;
        r.tried.insert(engine);
        if self.s.priorities_heeded {
            let priority = [if long { 1 } else { 3 }, 0][usize::from(hopeless)];
            acts.push(Action::Terms { id, priority, memory_mb: 0.0 });
        }
        acts.push(Action::Send { id, engine, timeout: 0 });
    }

    // ------------------------------------------------------------ outcomes and further attempts

    /// The final answer of a request that will not be served: refused where that is honest, else failed.
    fn give_up(&mut self, id: RequestId, come_back: Nanos, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return };
        r.done = true;
        let class = &self.s.classes[usize::from(r.ask.class.0)];
        let may_refuse = match if r.ask.single { Effect::Unsafe } else { class.effect } {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => r.ran_on.is_none() && r.out.is_none(),
        };
        if may_refuse {
            // It will come again, and count again: retries must not use up a tenant's share.
            if let Some(t) = self.tenants.get_mut(usize::from(r.ask.tenant.0)).filter(|_| !r.over_share) {
                t.tokens += 1.0;
            }
            let limit = self.s.limits.max_retry_after;
            // After what waits now, and spread, lest all come back at once.
            let spread = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            let wait = secs(come_back).max(self.fleet.backlog) * spread;
            acts.push(Action::Refuse { id, retry_after: nanos(wait).min(limit) });
        } else {
            acts.push(Action::Fail { id });
        }
        self.forget(id);
    }

    fn on_gone(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        self.withdraw(id, acts);
        self.forget(id);
    }

    fn on_outcome(&mut self, now: Nanos, o: &Outcome, acts: &mut Vec<Action>) {
        let id = o.id;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let last = r.sends == u32::from(o.attempt.0) + 1;
        let Some(out) = r.out.take_if(|_| last) else { return };
        r.done |= o.closed;
        let never_ran = matches!(o.kind, OutcomeKind::Full | OutcomeKind::ConnectFailed | OutcomeKind::Moot);
        r.ran_on = r.ran_on.or((!never_ran).then_some((o.engine, out.sent)));
        let (ask, is_load) = (r.ask, self.s.classes[usize::from(r.ask.class.0)].is_load);
        let Some(e) = self.engines.get_mut(&out.engine) else { return };
        e.count(now);
        e.running.add(out.running, -1.0);
        self.fleet.running.add(out.running, -1.0);
        if e.report.is_none_or(|(at, _)| at <= out.sent) {
            e.since = (e.since - out.running.threads).max(0.0);
        }
        if is_load {
            *e.held_groups.entry(ask.group).or_insert(1) -= 1;
            e.held_groups.retain(|_, n| *n > 0);
        }
        // What paid off gives its cancel back: losses do not use up the stock, slow engines do.
        if o.kind == OutcomeKind::Ok && o.attempt.0 > 0 {
            self.cancels = (self.cancels + 1.0).min(CANCEL_SPARE);
        }
        // What came while this gateway stood still is as old as that: it tells nothing of engines.
        if o.kind == OutcomeKind::Ok && self.woke_at != now {
            self.learn(&ask, o, &out);
        }
        self.on_report(now, out.engine, &o.load);
        self.judge(now, o, &out);
        if let Some(k) = ask.key.and_then(|k| self.keys.get_mut(&k))
            && matches!(o.kind, OutcomeKind::Timeout | OutcomeKind::Reset | OutcomeKind::Cancelled)
        {
            k.rest_until = now + self.s.rules.key_rest + self.s.tick;
        }
        self.again_or_end(now, id, acts);
        self.pump(now, acts);
    }

    /// What an answer teaches of its engine and its class.
    fn learn(&mut self, ask: &NewRequest, o: &Outcome, out: &Out) {
        let class = usize::from(ask.class.0);
        let threads = self.s.classes[class].threads.max(1.0);
        // Where none is asked nothing tells a crowd from work: only answers as fast as the best teach it.
        let calm = self.asks() || self.fleet.stretch <= CALM * self.fleet.best_stretch;
        let calm = calm || self.learned[class].samples < 4 * ENOUGH;
        let (took, l) = (secs(o.latency), &mut self.learned[class]);
        let work = o.work.map_or(ask.work_hint.map_or(l.work, |h| secs(h) * l.bias), secs);
        let Some(e) = self.engines.get_mut(&o.engine) else { return };
        if self.s.classes[class].waits_for_loads {
            e.stood_still.remove(&ask.group);
        }
        e.window.finished += 1.0;
        e.window.samples += 1.0;
        e.window.lateness += (took / aim(&self.s.classes[class], work)).min(CLIP);
        let stretch = took / (work / threads).max(1e-3);
        for usual in [&mut self.fleet.stretch, &mut e.stretch] {
            let clipped = stretch.min(CLIP * *usual);
            smooth(usual, clipped);
        }
        // Where answers tell no cost, work is guessed from the time taken, over how crowded the engine was at
        // the send: else time under overload passes for work. Not over slowness, as both would drift apart.
        let sample = o.work.map_or(took * threads / out.crowd.max(self.fleet.crowd).max(1.0), secs);
        l.samples += 1;
        let weight = (1.0 / f64::from(l.samples)).max(LEARN);
        // The tail moves up by much for each answer beyond it, down by little for each within, and settles.
        let beyond = took > l.tail * out.alone;
        l.tail *= 1.0 + TAIL_STEP * (f64::from(u8::from(beyond)) - TAIL);
        l.tail = l.tail.clamp(1.0, 1.0 / TAIL);
        l.work += if calm { weight * (sample.min(l.work * 10.0) - l.work) } else { 0.0 };
        if let (Some(h), Some(_)) = (ask.work_hint, o.work) {
            l.bias += weight * ((sample / secs(h).max(1e-4)).clamp(0.1, 10.0) - l.bias);
        }
    }

    /// After an attempt without success: hold for another one, or end the request now.
    fn again_or_end(&mut self, now: Nanos, id: RequestId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.done {
            return self.forget(id);
        }
        let time_left = now + nanos(self.alone(r)) < r.ask.give_up_at;
        if time_left && self.effect_allows(now, r, None) && r.sends < r.most_sends.max(1) {
            self.hold(now, id);
        } else {
            self.give_up(id, SWEEP_EVERY, acts);
        }
    }

    /// Outlier ejection: fast failures, resets, failed connects, time-outs without life, against peers.
    fn judge(&mut self, now: Nanos, o: &Outcome, out: &Out) {
        let may_eject = self.may_eject(o.engine);
        let Some(e) = self.engines.get_mut(&o.engine) else { return };
        let trial = e.health == Health::HalfOpen(Some(o.id));
        let failed = match o.kind {
            OutcomeKind::Error | OutcomeKind::ConnectFailed | OutcomeKind::Reset => true,
            OutcomeKind::Ok | OutcomeKind::Full => false,
            // Nothing since from its engine, on this attempt or another. Guards against ejecting the busiest,
            // where much of what waits in a full line runs out of time.
            OutcomeKind::Timeout if out.life_at.max(e.life_at) <= out.sent => true,
            OutcomeKind::Timeout | OutcomeKind::Cancelled | OutcomeKind::Moot => {
                e.health = if trial { Health::HalfOpen(None) } else { e.health };
                return;
            }
        };
        // A connection that breaks ends all on it, and is one failure: no engine is ejected for that alone.
        if o.kind == OutcomeKind::Reset && !trial && now < e.reset_at + SWEEP_EVERY {
            return;
        }
        e.reset_at = if o.kind == OutcomeKind::Reset { now } else { e.reset_at };
        let weight = if e.start < self.sharers { 0.5 } else { FAIL_WEIGHT };
        e.fail_share += weight * (f64::from(u8::from(failed)) - e.fail_share);
        if failed && (trial || (may_eject && e.fail_share > FAIL_SHARE)) {
            e.eject(now);
        } else if !failed {
            e.full_until = if o.kind == OutcomeKind::Full { now + PERIOD } else { e.full_until };
            e.life_at = now;
            if trial {
                // Slow start: back with the least bound.
                (e.health, e.bound) = (Health::Closed, e.start * FLOOR);
            }
        }
    }

    /// Judged against peers: with most engines bad already nobody is ejected.
    fn may_eject(&self, engine: EngineId) -> bool {
        let ready = self.engines.values().filter(|e| e.ready());
        let out = ready.clone().filter(|e| e.health != Health::Closed && e.entry.id != engine).count();
        (out + 1) as f64 <= EJECT_MOST * ready.count() as f64
    }

    /// Progress shows a bad plan early: cancel and try elsewhere, if that can still be in time.
    fn on_note(&mut self, now: Nanos, id: RequestId, attempt: AttemptNo, note: Note, acts: &mut Vec<Action>) {
        let mine = self.requests.get_mut(&id).filter(|r| r.sends == u32::from(attempt.0) + 1);
        let Some(o) = mine.and_then(|r| r.out.as_mut()) else { return };
        o.life_at = now;
        let (engine, sent, cancelling, alone) = (o.engine, o.sent, o.cancelling, o.alone);
        if let Some(e) = self.engines.get_mut(&engine) {
            e.life_at = now;
        }
        if note == Note::WaitsForLoad {
            return self.stands_still(now, id, engine, acts);
        }
        let Note::Progress(share) = note else { return };
        let share = share.min(1.0);
        let r = &self.requests[&id];
        let age = secs(now.saturating_sub(sent));
        let whole = age / share.max(1e-3);
        let stretch = self.engines.get(&engine).map_or(1.0, |e| e.stretch.max(1.0));
        let expected = self.alone(r) * stretch;
        let may = !cancelling && self.cancels >= 1.0 && self.class(r).effect == Effect::Safe && !r.done;
        let in_time = now + nanos(expected) <= self.useful_end(r) && self.may_try_again(now, r);
        let bad = whole > BAD_PLAN * self.learned(r).tail * alone && whole - age > 2.0 * expected;
        let hopeless = now + nanos(DOUBT * (whole - age)) > r.ask.give_up_at;
        if may && ((in_time && bad && r.replans < 2) || hopeless) {
            self.cancels -= 1.0;
            let again = in_time && bad && r.replans < 2;
            self.withdraw(id, acts);
            if !again {
                self.give_up(id, SWEEP_EVERY, acts);
            }
        }
    }

    /// A query that stands still for a load on its data is not slow, nor is its engine: it goes where the
    /// data is free, and this gateway keeps others off for a while. Harms where the load was about to end.
    fn stands_still(&mut self, now: Nanos, id: RequestId, engine: EngineId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (group, in_time) = (r.ask.group, now + nanos(self.alone(r)) < self.useful_end(r));
        let may = self.cancels >= 1.0 && in_time && self.may_try_again(now, r);
        if let Some(e) = self.engines.get_mut(&engine) {
            e.stood_still.retain(|_, until| *until > now);
            e.stood_still.insert(group, now + 2 * self.s.note_period);
        }
        if may {
            self.cancels -= 1.0;
            self.withdraw(id, acts);
        }
    }

    /// Whether withdrawing its attempt could be followed by another.
    fn may_try_again(&self, now: Nanos, r: &Request) -> bool {
        let safe = self.class(r).effect == Effect::Safe && self.s.limits.may_cancel && !r.done;
        safe && r.sends < r.most_sends && self.budget_allows(now)
    }

    fn withdraw(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let may = self.s.limits.may_cancel;
        let Some(r) = self.requests.get_mut(&id).filter(|_| may) else { return };
        let Some(o) = r.out.as_mut().filter(|o| !o.cancelling) else { return };
        o.cancelling = true;
        r.replans += 1;
        acts.push(Action::Cancel { id, attempt: AttemptNo(r.sends as u16 - 1) });
    }

    // ------------------------------------------------------------ list changes

    fn on_list(&mut self, now: Nanos, kind: ListKind, entries: &[EngineEntry], acts: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return acts.push(Action::Watch(true));
        }
        if kind != ListKind::Changes {
            let named: BTreeSet<EngineId> = entries.iter().map(|e| e.id).collect();
            for e in self.engines.values_mut().filter(|e| !named.contains(&e.entry.id)) {
                e.entry.readiness = Readiness::Gone;
            }
        }
        for entry in entries {
            // No faster and no slower than the rest: else, as the rest slows, all gateways take the new one.
            let (s, usual) = (&self.s, self.fleet.median_stretch);
            let e = self.engines.entry(entry.id).or_insert_with(|| Engine::new(now, *entry, s, usual));
            if e.entry.ready_at != entry.ready_at {
                // A restart under the same id: a cold engine without history, but attempts out still count.
                let fresh = Engine::new(now, *entry, s, usual);
                let old = std::mem::replace(e, fresh);
                (e.running, e.held_groups) = (old.running, old.held_groups);
            }
            e.entry = *entry;
        }
        self.fleet.ready = self.engines.values().filter(|e| e.ready()).map(|e| e.entry.id).collect();
        // What is gone is forgotten, unless an attempt there still counts: memory must not grow.
        let out = |r: &Request| r.out.as_ref().map(|o| o.engine).into_iter().chain(r.ran_on.map(|(e, _)| e));
        let needed: BTreeSet<EngineId> = self.requests.values().flat_map(out).collect();
        let stays = |e: &Engine| e.entry.readiness != Readiness::Gone || needed.contains(&e.entry.id);
        self.engines.retain(|_, e| stays(e));
        self.fleet.recent.retain(|id| self.engines.get(id).is_some_and(Engine::ready));
        self.look(now);
    }

    // ------------------------------------------------------------ timers

    fn on_sweep(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        acts.push(Action::Timer { after: SWEEP_EVERY, token: SWEEP });
        if now.saturating_sub(self.updated_at) >= PERIOD {
            self.update_bounds(now);
        }
        let span = self.s.rules.extra.map_or(0, |b| b.span);
        let from = now.saturating_sub(span + SWEEP_EVERY);
        self.taken.retain(|t| *t >= from);
        self.extras.retain(|t| *t >= from);
        self.keys.retain(|_, k| !k.line.is_empty() || k.rest_until > now);
        let (mean, part) =
            (self.fleet.mean, (secs(now.saturating_sub(self.swept_at)) / secs(PERIOD)).min(1.0));
        self.swept_at = now;
        self.fleet.mean.add(mean, -part);
        self.fleet.mean.add(self.fleet.running, part);
        self.look(now);
        if self.woke_at != now {
            self.find_silent(now, acts);
        }
        // The first held query asks again: what its engines told may be old news.
        if let Some(&(_, id, _)) = self.held.first().filter(|_| now >= self.fleet.probed_at + TURN / 2) {
            self.probe(now, id, acts);
        }
        self.review(now, acts);
        self.pump(now, acts);
    }

    /// The one walk over the whole fleet: medians, capacity, turns, and ejections that are over.
    fn look(&mut self, now: Nanos) {
        for e in self.engines.values_mut() {
            e.cold_sent.retain(|(t, _)| *t >= now.saturating_sub(self.s.rules.fall_window));
            if matches!(e.health, Health::Open(until) if until <= now) {
                e.health = Health::HalfOpen(None);
            }
        }
        let ready: Vec<&Engine> = self.fleet.ready.iter().filter_map(|id| self.engines.get(id)).collect();
        let usable = || ready.iter().filter(|e| e.health == Health::Closed);
        let has_turn = |e: &&&Engine| {
            let cold = e.warmth(now, &self.s.rules) < 1.0;
            let slot = if cold { self.s.rules.fall_window / COLD_SLOTS } else { TURN };
            let holds = |across| self.has_slot(now, e, slot, e.bound * self.part, across);
            holds(0.0) || (cold && holds(0.5))
        };
        let mut stretches: Vec<f64> = ready.iter().map(|e| e.stretch).collect();
        stretches.sort_by(f64::total_cmp);
        let median = stretches.get(stretches.len() / 2).copied().unwrap_or(1.0);
        let cores = usable().map(|e| e.cores).sum();
        // Where none is asked, own queries go to warm engines, and to cold ones only in turns beside that.
        let counts = |e: &&&Engine| self.asks() || e.warmth(now, &self.s.rules) >= 1.0;
        let bound = usable().filter(counts).map(|e| e.bound * e.warmth(now, &self.s.rules)).sum();
        let turns = ready.iter().filter(has_turn).map(|e| e.entry.id).collect();
        let f = &mut self.fleet;
        (f.median_stretch, f.turns) = (median, turns);
        (f.cores, f.bound) = (cores, bound);
    }

    /// Far past its time where others get on, a query most likely stands still for a load of another gateway:
    /// others on that data keep off, until one of them gets through or this one is over.
    fn find_standing(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let usual = SILENT_TIMES * self.fleet.median_stretch.max(1.0);
        let mut found = Vec::new();
        for r in self.requests.values().filter(|r| self.class(r).waits_for_loads) {
            let Some(o) = r.out.as_ref().filter(|o| !o.cancelling) else { continue };
            let late = secs(now.saturating_sub(o.sent)) > (usual * o.alone).max(secs(STANDS_LEAST));
            if late && self.engines.get(&o.engine).is_some_and(|e| e.life_at > o.sent) {
                found.push((r.ask.id, r.ask.group, o.engine));
            }
        }
        for &(_, group, engine) in &found {
            if let Some(e) = self.engines.get_mut(&engine) {
                e.stood_still.insert(group, now + STANDS);
            }
        }
        for (id, _, _) in found {
            let r = &self.requests[&id];
            let in_time = now + nanos(self.alone(r)) < self.useful_end(r);
            if self.cancels < 1.0 || !in_time || !self.may_try_again(now, r) {
                continue;
            }
            let free = |e: &Engine| {
                let usable = e.ready() && e.health == Health::Closed && placed(self.class(r), &e.entry);
                usable && !self.stands(now, r, e) && self.has_room(now, r, e)
            };
            if self.fleet.ready.iter().filter_map(|id| self.engines.get(id)).any(free) {
                self.cancels -= 1.0;
                self.withdraw(id, acts);
            }
        }
    }

    /// Answers get lost, links lose messages, engines swallow work: all look like an attempt past the tail of
    /// its class, or without the notes that were due. It holds no room any more, and a safe one is tried
    /// anew, from the stock of cancels, which gets back what paid off. Attempts far past their time with no
    /// sign of life of their engine since eject it. Harm: far underestimated queries run in vain.
    fn find_silent(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        self.find_standing(now, acts);
        let due = nanos(SILENT_NOTES * secs(self.s.note_period));
        let noted = if due > 0 { due } else { Nanos::MAX / 2 };
        // What is sent anew runs twice: soon where much room is free, later where it takes that of others.
        let idle = self.fleet.mean.threads <= USUAL_BUSY * self.fleet.bound / self.sharers;
        let least = if idle { 1.0 } else { TAIL_FIRST };
        let lost = |r: &Request| {
            let o = r.out.as_ref().filter(|o| !o.cancelling)?;
            // Where nothing can be cancelled the engine may well work on it for longer still.
            let times = if self.s.limits.may_cancel { 1.0 } else { SILENT_TIMES };
            let tail = nanos(times * self.learned(r).tail.max(least) * o.alone).max(STALL);
            let limit = if o.life_at > o.sent { noted } else { tail.min(noted) };
            let age = now.saturating_sub(o.life_at);
            let silent = age > nanos(SILENT_TIMES * o.expected).min(2 * noted).max(SILENT_LEAST);
            (age > limit).then_some((r.ask.id, o.engine, o.sent, silent))
        };
        let lost: Vec<(RequestId, EngineId, Nanos, bool)> = self.requests.values().filter_map(lost).collect();
        for &(id, engine, sent, silent) in &lost {
            let count = lost.iter().filter(|(_, e, _, silent)| *e == engine && *silent).count();
            let may_eject = silent && count >= SILENT_COUNT && self.may_eject(engine);
            let Some(e) = self.engines.get_mut(&engine) else { continue };
            match e.health {
                Health::HalfOpen(Some(trial)) if trial == id && silent => e.eject(now),
                Health::Closed if may_eject && e.life_at <= sent => e.eject(now),
                Health::Closed | Health::HalfOpen(_) | Health::Open(_) => {}
            }
            if let Some(o) = self.requests.get_mut(&id).and_then(|r| r.out.as_mut()) {
                e.count(now);
                let ghost = std::mem::take(&mut o.running);
                e.running.add(ghost, -1.0);
                e.since = if e.report.is_none() { (e.since - ghost.threads).max(0.0) } else { e.since };
                self.fleet.running.add(ghost, -1.0);
            }
            let r = &self.requests[&id];
            let in_time = now + nanos(self.alone(r)) < self.useful_end(r);
            if self.cancels >= 1.0 && in_time && self.may_try_again(now, r) {
                self.cancels -= 1.0;
                self.withdraw(id, acts);
            }
        }
    }
}
