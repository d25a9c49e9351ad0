//! Seeded property test: random legal events in odd orders, and a checker of the seven rules that
//! shares nothing with the module.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

const WORK: [Nanos; 4] = [200 * MS, S, 2 * S, 100 * MS];
const DEADLINE: [Nanos; 4] = [6 * S, 15 * S, 20 * S, 6 * S];

#[derive(Clone)]
struct Try {
    engine: EngineId,
    sent: Nanos,
    ended: Option<(OutcomeKind, Nanos)>,
    cancelled: bool,
}

struct Seen {
    ask: Request,
    tries: Vec<Try>,
    over: Option<Nanos>,
    answers: u32,
}

/// What the rules are checked against, from events and actions alone.
struct World {
    s: Settings,
    rig: Rig,
    rng: Pcg32,
    seen: BTreeMap<RequestId, Seen>,
    listed: BTreeMap<EngineId, Endpoint>,
    order: BTreeMap<OrderKey, Vec<RequestId>>,
    taken: Vec<Nanos>,
    extras: Vec<(Nanos, RequestId)>,
    cold: Vec<(Nanos, EngineId, f64)>,
    timers: BTreeSet<Nanos>,
    /// The gateway had no turn in this span; what fell due in it is due at its end.
    stood: (Nanos, Nanos),
}

fn never_ran(kind: OutcomeKind) -> bool {
    matches!(
        kind,
        OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
    )
}

fn may_have_run(t: &Try) -> bool {
    t.ended.is_none_or(|(kind, _)| !never_ran(kind))
}

impl World {
    fn new(seed: u64) -> World {
        let mut s = settings();
        let mut rng = Pcg32::seed_from_u64(seed);
        s.limits.may_message_peers = rng.next_u32() % 2 == 0;
        s.gateways = [1, 2, 3, 40, 300][rng.next_u32() as usize % 5];
        s.gateway_index = rng.next_u32() % s.gateways;
        let fields = [
            vec![],
            vec![LoadField::QueriesInFlight],
            vec![LoadField::CpuUtilization],
            vec![
                LoadField::CpuUtilization,
                LoadField::DiskUtilization,
                LoadField::MemoryGrantedFraction,
            ],
        ];
        s.load_fields = fields[rng.next_u32() as usize % 4].clone();
        // What an operator may forbid or leave out.
        let mut odd = |one_in: u32| rng.next_u32() % one_in == 0;
        (s.limits.may_cancel, s.limits.may_probe) = (!odd(3), !odd(3));
        (s.limits.hedging, s.reports_cost) = (odd(2), !odd(3));
        if odd(3) {
            s.tenants.clear();
        }
        if odd(3) {
            s.progress_period = 0;
        }
        if odd(3) {
            s.invariants.retry_budget = None;
        }
        if odd(2) {
            s.invariants.overload_window = S;
        }
        let rig = Rig {
            g: yokelift::policy::Gateway::new(T0, s.clone(), seed),
            now: T0,
        };
        let mut w = World {
            s,
            rig,
            rng,
            seen: BTreeMap::new(),
            listed: BTreeMap::new(),
            order: BTreeMap::new(),
            taken: vec![],
            extras: vec![],
            cold: vec![],
            timers: BTreeSet::new(),
            stood: (0, 0),
        };
        let entries = (1..=5).map(|i| entry(i, (i % 2) as u16, 0)).collect();
        w.list(EndpointListKind::Cached, entries);
        w
    }

    fn below(&mut self, n: u64) -> u64 {
        u64::from(self.rng.next_u32()) % n
    }

    fn list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        if kind != EndpointListKind::Changes {
            let named: Vec<EngineId> = entries.iter().map(|e| e.id).collect();
            for e in self.listed.values_mut().filter(|e| !named.contains(&e.id)) {
                e.readiness = Readiness::Removed;
            }
        }
        for e in &entries {
            self.listed.insert(e.id, *e);
        }
        self.tell(Event::EndpointList { kind, entries });
    }

    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.rig.g.handle(self.rig.now, event, &mut acts);
        acts.iter().for_each(|a| self.check(a));
    }

    fn answer(&mut self, id: RequestId, refused: bool) {
        let now = self.rig.now;
        let r = self
            .seen
            .get_mut(&id)
            .expect("a final answer for an unknown request");
        r.answers += 1;
        assert_eq!(r.answers, 1, "two final answers for {id:?}");
        let (from, woke) = self.stood;
        let due = if (from..=woke).contains(&r.ask.deadline) {
            woke
        } else {
            r.ask.deadline
        };
        assert!(
            now <= due + self.s.invariants.response_grace,
            "late answer for {id:?}"
        );
        r.over.get_or_insert(now);
        let unsure = r.tries.iter().any(may_have_run);
        let class = &self.s.classes[usize::from(r.ask.class.0)];
        if refused && class.idempotency != Idempotency::Idempotent {
            assert!(!unsure, "{id:?} may have run and was refused");
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.rig.now;
        match action {
            Action::Reject { id, .. } => self.answer(*id, true),
            Action::Fail { id } => self.answer(*id, false),
            Action::StartTimer { after, .. } => drop(self.timers.insert(now + after)),
            Action::Probe { .. } => {
                assert!(self.s.limits.may_probe, "probed where that is not allowed")
            }
            Action::Cancel { id, attempt } => {
                assert!(
                    self.s.limits.may_cancel,
                    "cancelled where that is not allowed"
                );
                let t = &mut self.seen.get_mut(id).expect("unknown request").tries
                    [usize::from(attempt.0)];
                t.cancelled = true;
            }
            Action::Send { id, engine, .. } => self.check_send(now, *id, *engine),
            _ => {}
        }
    }

    fn check_send(&mut self, now: Nanos, id: RequestId, engine: EngineId) {
        let e = self.listed[&engine];
        assert_eq!(
            e.readiness,
            Readiness::Ready,
            "sent to an engine that drains or is gone"
        );
        let r = &self.seen[&id];
        let class = self.s.classes[usize::from(r.ask.class.0)].clone();
        assert!(
            r.over.is_none() && now < r.ask.deadline,
            "sent after the end"
        );
        let out = r.tries.iter().filter(|t| t.ended.is_none()).count();
        let there = r
            .tries
            .iter()
            .any(|t| t.ended.is_none() && t.engine == engine);
        assert!(!there, "a second copy to the engine of the first");
        assert!(
            out <= usize::from(self.s.limits.hedging),
            "{} attempts out at once",
            out + 1
        );
        assert!(
            r.tries.len() < self.s.limits.max_attempts as usize,
            "too many attempts"
        );
        assert!(
            class
                .allowed_machine_types
                .as_ref()
                .is_none_or(|k| k.contains(&e.machine_type)),
            "placement"
        );
        let first_run = r.tries.iter().find(|t| may_have_run(t));
        match (class.idempotency, first_run) {
            (Idempotency::NonIdempotent, run) => {
                assert!(run.is_none(), "unsafe request sent again")
            }
            (Idempotency::WithKey { window, .. }, Some(t)) => {
                assert_eq!(self.listed[&t.engine].cell, e.cell, "left its cell");
                assert!(now < t.sent + window, "resent after the window");
            }
            _ => {}
        }
        if let (true, Some(key)) = (class.serial_per_key, r.ask.key) {
            for other in self.order[&key].iter().take_while(|o| **o != id) {
                let o = &self.seen[other];
                assert!(o.over.is_some(), "{id:?} sent before {other:?} is over");
                for t in &o.tries {
                    let (kind, at) = t
                        .ended
                        .expect("sent while an earlier attempt has no outcome");
                    let rests = [
                        OutcomeKind::Timeout,
                        OutcomeKind::Reset,
                        OutcomeKind::Cancelled,
                    ];
                    assert!(
                        !rests.contains(&kind) || now >= at + self.s.invariants.key_cooldown,
                        "key not rested"
                    );
                }
            }
        }
        if let (false, Some(b)) = (r.tries.is_empty(), self.s.invariants.retry_budget) {
            self.extras.push((now, id));
            let extras = self
                .extras
                .iter()
                .filter(|(t, _)| *t + b.window > now)
                .count() as f64;
            let taken = self.taken.iter().filter(|t| **t + b.window > now).count() as f64;
            assert!(
                extras <= b.allowance + b.ratio * taken,
                "{extras} further attempts for {taken} taken"
            );
        }
        if e.started_at > 0 && now < e.started_at + self.s.invariants.slow_start_duration {
            self.cold
                .push((now, engine, WORK[usize::from(r.ask.class.0)] as f64));
            let since = e.started_at.max(now - self.s.invariants.overload_window);
            let sent = self
                .cold
                .iter()
                .filter(|(t, c, _)| *c == engine && *t >= since);
            let (count, sent) = sent.fold((0, 0.0), |(n, sum), (_, _, w)| (n + 1, sum + w));
            let cores = self.s.machine_types[usize::from(e.machine_type.0)].cores;
            let age = (now - e.started_at) as f64 / self.s.invariants.slow_start_duration as f64;
            let window = self.s.invariants.overload_window as f64;
            let budget = 2.0 * cores * 0.85 * (0.3 + 0.7 * age) * window;
            // One gateway keeps to its part; where that is under one query, it sends a whole one in
            // its turn, and never more than the engine could take. `fleet.rs` adds up all gateways.
            let part = budget / f64::from(self.s.gateways);
            assert!(
                sent <= part || (sent <= budget && (count == 1 || self.s.gateways > 3)),
                "cold engine over its part: {sent} of {part} in {count} sends"
            );
        }
        let t = Try {
            engine,
            sent: now,
            ended: None,
            cancelled: false,
        };
        self.seen.get_mut(&id).expect("known").tries.push(t);
    }

    fn end(&mut self, (id, n): (RequestId, usize), kind: OutcomeKind) {
        let now = self.rig.now;
        let Some(r) = self.seen.get_mut(&id) else {
            return;
        };
        let Some(t) = r.tries.get_mut(n).filter(|t| t.ended.is_none()) else {
            return;
        };
        t.ended = Some((kind, now));
        if kind == OutcomeKind::Ok && r.over.is_none() {
            r.over = Some(now);
            r.answers += 1;
        }
        if kind == OutcomeKind::NeverSent {
            let sent = t.sent;
            self.extras.retain(|x| *x != (sent, id));
        }
        let r = &self.seen[&id];
        let t = &r.tries[n];
        let o = Outcome {
            id,
            attempt: AttemptNo(n as u16),
            engine: t.engine,
            kind,
            latency: now - t.sent,
            request_finished: r.over.is_some(),
            work: Some(WORK[usize::from(r.ask.class.0)]).filter(|_| kind == OutcomeKind::Ok),
            memory_mb: Some(50.0).filter(|_| kind == OutcomeKind::Ok),
            load: LoadReport::default(),
        };
        self.tell(Event::Outcome(o));
    }

    /// What is out: requests, and the numbers of their attempts.
    fn out(&self) -> Vec<(RequestId, usize)> {
        let all = self
            .seen
            .iter()
            .flat_map(|(id, r)| r.tries.iter().enumerate().map(move |(n, t)| (*id, n, t)));
        all.filter(|(.., t)| t.ended.is_none())
            .map(|(id, n, _)| (id, n))
            .collect()
    }

    /// Moves the clock, with the timers and the time-outs at deadlines on the way.
    fn pass(&mut self, span: Nanos) {
        let end = self.rig.now + span;
        while self.rig.now < end {
            self.rig.now += 5 * MS;
            let now = self.rig.now;
            for (id, n) in self.out() {
                let r = &self.seen[&id];
                if r.tries[n].cancelled {
                    self.end((id, n), OutcomeKind::Cancelled);
                } else if now >= r.ask.deadline {
                    self.end((id, n), OutcomeKind::Timeout);
                }
            }
            let due: Vec<Nanos> = self.timers.range(..=now).copied().collect();
            for t in due {
                self.timers.remove(&t);
                self.tell(Event::TimerFired(1));
            }
        }
    }

    /// No turn for up to two seconds, then all at once: first the timer, then what came meanwhile,
    /// a list last.
    fn stall(&mut self) {
        let from = self.rig.now;
        self.rig.now += (300 + self.below(1700)) * MS;
        self.stood = (from, self.rig.now);
        self.timers.clear();
        self.tell(Event::TimerFired(1));
        for (id, n) in self.out() {
            let r = &self.seen[&id];
            let lost = r.tries[n].cancelled;
            if lost || self.rig.now >= r.ask.deadline {
                self.end(
                    (id, n),
                    if lost {
                        OutcomeKind::Cancelled
                    } else {
                        OutcomeKind::Timeout
                    },
                );
            } else if self.below(2) == 0 {
                self.end((id, n), OutcomeKind::Ok);
            }
        }
    }

    fn step(&mut self, next: &mut u32) {
        let span = [0, 5, 20, 60, 200][self.below(5) as usize] * MS;
        self.pass(span);
        let now = self.rig.now;
        let out = self.out();
        match self.below(20) {
            0..=8 => {
                *next += 1;
                let class = self.below(4) as u16;
                let c = usize::from(class);
                // A sixth of the clients come with little time left.
                let patience = [80, 90, 100, 90, 100, 15][self.below(6) as usize];
                let mut ask = ask(*next, class, now, DEADLINE[c] * patience / 100, WORK[c]);
                ask.key = Some(OrderKey(1 + self.below(3))).filter(|_| class == 2);
                ask.data_set = self.below(6);
                if let Some(key) = ask.key {
                    self.order.entry(key).or_default().push(ask.id);
                }
                self.taken.push(now);
                self.seen.insert(
                    ask.id,
                    Seen {
                        ask,
                        tries: vec![],
                        over: None,
                        answers: 0,
                    },
                );
                self.tell(Event::Request(ask));
            }
            9..=14 if !out.is_empty() => {
                let id = out[self.below(out.len() as u64) as usize];
                let kinds = [
                    OutcomeKind::Ok,
                    OutcomeKind::Ok,
                    OutcomeKind::Ok,
                    OutcomeKind::Error,
                    OutcomeKind::Rejected,
                    OutcomeKind::ConnectFailed,
                    OutcomeKind::Reset,
                    OutcomeKind::NeverSent,
                ];
                let kind = kinds[self.below(8) as usize];
                self.end(id, kind);
            }
            15 if !out.is_empty() => {
                let (id, n) = out[self.below(out.len() as u64) as usize];
                let attempt = AttemptNo(n as u16);
                let share = self.below(100) as f64 / 100.0;
                let notes = [
                    ProgressUpdate::Progress(share),
                    ProgressUpdate::WaitsForLoad,
                    ProgressUpdate::WaitsForMemory,
                    ProgressUpdate::Spill(80.0),
                ];
                let note = notes[self.below(4) as usize];
                self.tell(Event::Progress {
                    id,
                    attempt,
                    update: note,
                });
            }
            16 => {
                let open: Vec<RequestId> = self
                    .seen
                    .iter()
                    .filter(|(_, r)| r.over.is_none())
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = open.first() {
                    let r = self.seen.get_mut(id).expect("known");
                    (r.over, r.answers) = (Some(now), 1);
                    self.tell(Event::ClientDisconnected(*id));
                }
            }
            17 => {
                let i = 1 + self.below(6);
                let readiness = [Readiness::Ready, Readiness::Draining, Readiness::Removed]
                    [self.below(3) as usize];
                let old = self.listed.get(&EngineId(i)).map_or(0, |e| e.started_at);
                let ready_at = if self.below(2) == 0 { now } else { old };
                let e = Endpoint {
                    readiness,
                    ..entry(i, (i % 2) as u16, ready_at)
                };
                self.list(EndpointListKind::Changes, vec![e]);
            }
            18 if self.below(4) == 0 => self.stall(),
            18 if self.below(3) == 0 => {
                // A wave: half the engines drain at once, and are replaced by cold ones of new ids.
                let gone = |i: u64| Endpoint {
                    readiness: Readiness::Draining,
                    ..entry(i, (i % 2) as u16, 0)
                };
                let fresh = |i: u64| entry(i + 3, ((i + 3) % 2) as u16, now);
                self.list(
                    EndpointListKind::Changes,
                    (1..=3).map(gone).chain((1..=3).map(fresh)).collect(),
                );
            }
            18 => {
                let n = self.below(6);
                let at = |w: &World, i| w.listed.get(&EngineId(i)).map_or(0, |e| e.started_at);
                let entries = (1..=n)
                    .map(|i| entry(i, (i % 2) as u16, at(self, i)))
                    .collect();
                self.list(EndpointListKind::Full, entries);
            }
            _ => {
                let from = 1 + self.below(3) as u32;
                self.tell(Event::PeerMessage {
                    from,
                    data: vec![1],
                });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(20_250_101), ..ProptestConfig::default() })]
    #[test]
    fn the_seven_rules_hold_under_random_legal_events(seed in any::<u64>()) {
        let mut world = World::new(seed);
        let mut next = 0;
        for _ in 0..400 {
            world.step(&mut next);
        }
        world.pass(21 * S);
        for (id, r) in &world.seen {
            prop_assert_eq!(r.answers, 1, "{:?} of class {:?}", id, r.ask.class);
        }
        prop_assert!(next > 50);
    }
}
