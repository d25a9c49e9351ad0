//! What a sweep keeps of the fleet without walking over it, against a walk; and how many engines it
//! visits.
use crate::policy::Gateway;
use crate::policy::api::*;
use crate::policy::state::CircuitState;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const S: Nanos = 1_000_000_000;
const STEP: Nanos = S / 50;

fn settings(gateways: u32, asks: bool) -> Settings {
    let mut s = Settings {
        gateway_index: gateways / 3,
        gateways,
        ..crate::concurrency_limit_tests::settings()
    };
    s.limits.may_probe = asks;
    s
}

fn entry(id: u64, readiness: Readiness, ready_at: Nanos) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        readiness,
        started_at: ready_at,
        ..Endpoint::default()
    }
}

struct Play {
    g: Gateway,
    now: Nanos,
    rng: Pcg32,
    out: Vec<(RequestId, AttemptNo, EngineId, Nanos)>,
    next: u32,
}

impl Play {
    fn new(s: Settings, seed: u64, ids: impl Iterator<Item = u64>) -> Play {
        let (g, rng) = (Gateway::new(100 * S, s, seed), Pcg32::seed_from_u64(seed));
        let mut p = Play {
            g,
            now: 100 * S,
            rng,
            out: Vec::new(),
            next: 0,
        };
        let entries = ids.map(|id| entry(id, Readiness::Ready, 0)).collect();
        p.tell(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries,
        });
        p
    }

    fn draw(&mut self, below: u32) -> u32 {
        self.rng.next_u32() % below
    }

    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.g.handle(self.now, event, &mut acts);
        for a in acts {
            match a {
                Action::Send { id, engine, .. } => {
                    let attempt = self.g.requests[&id].attempts.last().expect("out").attempt;
                    self.out.push((id, attempt, engine, self.now));
                }
                Action::Cancel { id, attempt } => {
                    if let Some(at) = self.out.iter().position(|o| (o.0, o.1) == (id, attempt)) {
                        self.end(at, OutcomeKind::Cancelled);
                    }
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self) {
        self.next += 1;
        let (id, give_up_at) = (RequestId(self.next), self.now + 20 * S);
        let work_hint = Some(S / 10);
        self.tell(Event::Request(Request {
            id,
            deadline: give_up_at,
            work_hint,
            ..Request::default()
        }));
    }

    fn end(&mut self, at: usize, kind: OutcomeKind) {
        let (id, attempt, engine, sent) = self.out.remove(at);
        let (work, closed) = (Some(S / 10), kind == OutcomeKind::Ok);
        let (latency, load) = (self.now - sent, LoadReport::default());
        let o = Outcome {
            id,
            attempt,
            engine,
            kind,
            latency,
            request_finished: closed,
            work,
            memory_mb: None,
            load,
        };
        self.tell(Event::Outcome(o));
    }

    /// Something of the list: an engine comes, starts anew, drains or goes, or the whole list is
    /// told.
    fn list(&mut self, ids: u64) {
        let id = u64::from(self.draw(ids as u32)) + 1;
        let known = self
            .g
            .engines
            .get(&EngineId(id))
            .map_or(0, |e| e.endpoint.started_at);
        let told = match self.draw(5) {
            0 | 1 => entry(id, Readiness::Ready, self.now - self.now % 7),
            2 => entry(id, Readiness::Draining, known),
            3 => entry(id, Readiness::Removed, known),
            _ => {
                let all: Vec<_> = self.g.engines.values().map(|e| e.endpoint).collect();
                let entries = all
                    .into_iter()
                    .filter(|e| e.readiness != Readiness::Removed)
                    .collect();
                return self.tell(Event::EndpointList {
                    kind: EndpointListKind::Full,
                    entries,
                });
            }
        };
        self.tell(Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries: vec![told],
        });
    }

    /// Whether what is kept equals what a walk finds now, told by name.
    fn compare(&mut self, why: &str) {
        let (now, rules) = (self.now, self.g.settings.invariants);
        // What came since the sweep's own look counts at the next.
        self.g.look(now);
        let (g, f) = (&self.g, &self.g.fleet);
        let ready = || g.engines.values().filter(|e| e.ready());
        let usable = || ready().filter(|e| e.circuit == CircuitState::Closed);
        let mut stretches: Vec<f64> = ready().map(|e| e.slowdown).collect();
        stretches.sort_by(f64::total_cmp);
        let median = stretches.get(stretches.len() / 2).copied().unwrap_or(1.0);
        assert_eq!(
            f.median_stretch.to_bits(),
            median.to_bits(),
            "median, {why}"
        );
        assert_eq!(f.turns, g.tally(now).turns, "turns, {why}");
        assert_eq!(
            f.cores,
            usable().map(|e| e.cores).fold(0.0, |a, b| a + b),
            "cores, {why}"
        );
        let counts = |asks: bool, warmth: f64| if asks || warmth >= 1.0 { warmth } else { 0.0 };
        let asks = g.settings.limits.may_probe;
        let bound: f64 = usable()
            .map(|e| e.bound * counts(asks, e.warmth(now, &rules)))
            .sum();
        assert!(
            (f.bound - bound).abs() <= 1e-9 * bound,
            "bound {} for {bound}, {why}",
            f.bound
        );
        for e in g.engines.values() {
            assert!(
                !matches!(e.circuit, CircuitState::Open(until) if until <= now),
                "an ejection is over, {why}"
            );
            let ends = e.warm_up_sends.front().zip(e.warm_up_sends.back());
            assert!(
                ends.is_none_or(|(a, b)| a.0 + rules.overload_window >= b.0),
                "one window is kept, {why}"
            );
        }
    }
}

/// Guards the sweep's short way: whatever happens, it knows what a walk over the fleet would find.
#[test]
fn what_is_kept_between_walks_is_what_a_walk_would_find() {
    let (mut ejected, mut cold, mut short) = (0, 0, 0);
    for (seed, gateways, asks, ids) in [
        (1, 1, true, 6),
        (2, 4, false, 9),
        (3, 60, true, 40),
        (4, 60, false, 40),
    ] {
        let settings = |warm_within| {
            let mut s = settings(gateways, asks);
            // Turns on cold engines end at other instants than those on warm ones.
            (
                s.invariants.overload_window,
                s.invariants.slow_start_duration,
            ) = (6 * S / 5, warm_within);
            s
        };
        let mut p = Play::new(settings(15 * S), seed, 1..=ids);
        let ejections = |p: &Play| p.g.engines.values().map(|e| e.ejections).sum::<u32>();
        for step in 0..6000 {
            let before = ejections(&p);
            p.now += STEP / 2 - Nanos::from(p.draw(3_000_000));
            for _ in 0..p.draw(3) {
                p.ask();
            }
            for _ in 0..p.draw(4).min(p.out.len() as u32) {
                let at = p.draw(p.out.len() as u32) as usize;
                // Each engine has seconds in which all fails there.
                let fails = (p.now / (3 * S) + p.out[at].2.0).is_multiple_of(4);
                p.end(
                    at,
                    if fails {
                        OutcomeKind::Error
                    } else {
                        OutcomeKind::Ok
                    },
                );
            }
            // Quiet spells of ten seconds show what the time alone changes.
            match p.draw(if step % 1000 < 500 { 4000 } else { 60 }) {
                0 => p.list(ids),
                1 => p.g.set_capacity_share([0.25, 0.5, 1.0][step % 3]),
                2 => p.g.set_active_gateways(gateways / 2 + 1),
                3 => {
                    let me = (p.g.settings.gateway_index + 1) % gateways;
                    p.g.reconfigure(
                        Settings {
                            gateway_index: me,
                            ..settings(15 * S + S / 3 * (step as Nanos % 2))
                        },
                        &[],
                    );
                }
                _ => {}
            }
            let walks = p.g.fleet.walks;
            p.now += STEP / 2;
            p.tell(Event::TimerFired(1));
            p.compare(&format!("seed {seed}, step {step}"));
            short += u32::from(p.g.fleet.walks == walks);
            ejected += ejections(&p).saturating_sub(before);
            cold += p.g.fleet.cold.len();
        }
    }
    assert!(
        short > 10_000 && ejected > 5 && cold > 1000,
        "{short} short, {ejected} ejected, {cold} cold"
    );
}

/// Guards the median: an engine that drains is no peer, whatever it answers, and however like a
/// peer it was.
#[test]
fn an_answer_of_an_engine_that_drains_leaves_the_median() {
    let mut p = Play::new(settings(1, false), 1, 1..=3);
    (0..9).for_each(|_| p.ask());
    let entries = vec![entry(1, Readiness::Draining, 0)];
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries,
    });
    p.now += S;
    p.tell(Event::TimerFired(1));
    // At the instant when it woke it would learn nothing.
    p.now += STEP;
    let there = |p: &Play| p.out.iter().position(|o| o.2 == EngineId(1));
    assert!(there(&p).is_some());
    while let Some(at) = there(&p) {
        p.end(at, OutcomeKind::Ok);
        p.compare("draining");
    }
}

/// Guards the cost of large fleets: between walks a sweep visits what moves, and walks are rare.
#[test]
fn idle_sweeps_visit_no_more_engines_of_a_large_fleet() {
    for asks in [true, false] {
        let visits = [100, 900].map(|n| {
            let mut p = Play::new(settings(3, asks), 1, 1..=n);
            let entries = (1..=3)
                .map(|id| entry(id, Readiness::Ready, p.now))
                .collect();
            p.tell(Event::EndpointList {
                kind: EndpointListKind::Changes,
                entries,
            });
            let (walks, visits) = (p.g.fleet.walks, p.g.fleet.visits);
            for _ in 0..500 {
                p.now += STEP;
                p.tell(Event::TimerFired(1));
            }
            let walks = p.g.fleet.walks - walks;
            assert!((20..=30).contains(&walks), "{walks} walks in ten seconds");
            p.g.fleet.visits - visits - walks * n
        });
        assert_eq!(
            visits,
            [if asks { 3 * 500 } else { 0 }; 2],
            "the three cold ones, where their bounds count"
        );
    }
}
