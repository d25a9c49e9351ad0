//! Cold engines under the sum of a whole fleet: many instances of the module that share nothing,
//! with uneven traffic and bursts, told of a start at different instants, some of them started anew
//! with nothing of what they had sent.
mod common;
use common::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use yokelift::policy::Gateway;
use yokelift::policy::api::*;

/// Mean work of a query, and the engine that starts cold beside the warm ones.
const WORK: Nanos = 300 * MS;
const COLD: EngineId = EngineId(99);
const STEP: Nanos = 20 * MS;

/// What is drawn for a fleet.
struct Plan {
    managers: u32,
    /// In parts of what the warm engines do: over one, so that the cold one is wanted.
    demand: f64,
    /// Managers that start anew while it is cold, as a part of all.
    restarts: f64,
    probes: bool,
}

fn fleet_settings(plan: &Plan, me: u32) -> Settings {
    let mut s = settings();
    (s.gateway_index, s.gateways) = (me, plan.managers);
    s.classes
        .iter_mut()
        .for_each(|c| c.allowed_machine_types = None);
    s.invariants.retry_budget = None;
    s.limits.may_probe = plan.probes;
    s.load_fields = vec![LoadField::CpuUtilization];
    s
}

/// What the settings allow a cold engine in calls of mean work within the stated time.
fn allowed(rules: &Invariants, cores: f64, age: Nanos) -> f64 {
    let part = (age as f64 / rules.slow_start_duration as f64).min(1.0);
    let warmth =
        rules.slow_start_initial_fraction + (1.0 - rules.slow_start_initial_fraction) * part * part;
    rules.overload_multiple * warmth * cores * 0.8 * rules.overload_window as f64 / WORK as f64
}

/// Plays it, and gives the most that the cold engine was sent in a window, over what is allowed
/// there and then.
fn worst(plan: &Plan, seed: u64) -> (f64, f64, usize) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let warm = 10;
    let rules = fleet_settings(plan, 0).invariants;
    let listed = |cold: bool| {
        let cold = cold.then_some(Endpoint {
            id: COLD,
            ..entry(99, 0, T0)
        });
        (1..=warm)
            .map(|id| entry(id, 0, 0))
            .chain(cold)
            .collect::<Vec<_>>()
    };
    let full = |cold| Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: listed(cold),
    };
    struct Manager {
        g: Gateway,
        told_at: Nanos,
        restart_at: Nanos,
        rate: f64,
        out: VecDeque<(Nanos, u32, u16, EngineId)>,
        next: u32,
    }
    let mut all: Vec<Manager> = (0..plan.managers)
        .map(|me| {
            let mut g = Gateway::new(T0 - S, fleet_settings(plan, me), u64::from(me) + seed);
            g.handle(T0 - S, full(false), &mut Vec::new());
            let told_at = T0 + (draw() * 1.5e9) as Nanos;
            let restarts = draw() < plan.restarts;
            let restart_at = if restarts {
                T0 + (draw() * 8e9) as Nanos
            } else {
                Nanos::MAX
            };
            // Some get five times what others get.
            let rate = 0.4 + 1.6 * draw() * draw();
            Manager {
                g,
                told_at,
                restart_at,
                rate,
                out: VecDeque::new(),
                next: 1,
            }
        })
        .collect();
    let sum: f64 = all.iter().map(|m| m.rate).sum();
    let capacity = warm as f64 * 8.0 * 0.8 * 1e9 / WORK as f64;
    let mut sent: VecDeque<Nanos> = VecDeque::new();
    let (mut most, mut bound, mut calls) = (0.0f64, 0.0, 0);
    let mut now = T0 - S;
    while now < T0 + 12 * S {
        now += STEP;
        // A burst of three times the usual in every third second.
        let burst = if (now / S).is_multiple_of(3) {
            3.0
        } else {
            1.0
        };
        for (me, m) in all.iter_mut().enumerate() {
            let mut acts = Vec::new();
            if now >= m.restart_at {
                m.restart_at = Nanos::MAX;
                (m.told_at, m.out) = (now, VecDeque::new());
                m.g = Gateway::new(now, fleet_settings(plan, me as u32), seed ^ now);
                m.g.handle(now, full(true), &mut acts);
            }
            if now >= m.told_at && now < m.told_at + STEP {
                m.g.handle(now, full(true), &mut acts);
            }
            while m.out.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, id, attempt, engine) = m.out.pop_front().expect("one");
                m.g.handle(
                    now,
                    outcome(id, attempt, engine, OutcomeKind::Ok, WORK),
                    &mut acts,
                );
            }
            m.g.handle(now, Event::TimerFired(1), &mut acts);
            let mut due = plan.demand * capacity * burst * m.rate / sum * STEP as f64 / 1e9;
            while due >= 1.0 || draw() < due {
                let ask = ask(m.next, 0, now, 6 * S, WORK);
                (m.next, due) = (m.next + 1, due - 1.0);
                m.g.handle(now, Event::Request(ask), &mut acts);
            }
            let mut at = 0;
            while at < acts.len() {
                match acts[at] {
                    Action::Send { id, engine, .. } => {
                        let took = WORK + (draw() * 4e8) as Nanos;
                        m.out.push_back((now + took, id.0, 0, engine));
                        if engine == COLD {
                            sent.push_back(now);
                            calls += 1;
                        }
                    }
                    Action::Probe { engine } => {
                        let util = if engine == COLD { 0.1 } else { 0.95 };
                        let load = LoadReport::from_values(&[util]);
                        let kind = OutcomeKind::Ok;
                        m.g.handle(
                            now,
                            Event::ProbeCompleted {
                                engine,
                                kind,
                                latency: MS,
                                load,
                            },
                            &mut acts,
                        );
                    }
                    _ => {}
                }
                at += 1;
            }
            m.out.make_contiguous().sort_unstable();
        }
        while sent
            .front()
            .is_some_and(|at| *at + rules.overload_window < now)
        {
            sent.pop_front();
        }
        if now > T0 {
            let n = allowed(&rules, 8.0, now - T0);
            if sent.len() as f64 / n > most {
                (most, bound) = (sent.len() as f64 / n, (n + 2.0 * n.sqrt() + 2.0) / n);
            }
        }
    }
    (most, bound, calls)
}

/// Guards rule 4 for the sum of the fleet: beyond the budget of N calls only 2√N + 2 is chance,
/// with any number of managers, also where every third of them has forgotten what it sent.
#[test]
fn a_cold_engine_gets_no_more_than_its_budget_from_all_managers_together() {
    for (managers, seed) in [(3, 1), (8, 2), (20, 3), (30, 4), (100, 5), (300, 6)] {
        for (restarts, probes) in [(0.0, false), (0.3, false), (0.7, true)] {
            let plan = Plan {
                managers,
                demand: 1.6,
                restarts,
                probes,
            };
            let (most, bound, calls) = worst(&plan, seed);
            println!("{managers} {restarts} {probes}: {most:.2} of {bound:.2}, {calls} calls");
            assert!(
                most <= bound,
                "{managers} managers, {restarts} started anew: {most:.2} over {bound:.2}"
            );
            // It is no bound to send it nothing.
            assert!(calls > 20, "{managers} managers: {calls} calls");
        }
    }
}
