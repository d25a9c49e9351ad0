//! The law at small shares, seen from inside: 300 gateways, twenty engines, two queries a second
//! here.
use crate::policy::Gateway;
use crate::policy::api::*;
use crate::policy::state::{Attempt, CircuitState, secs};

const S: Nanos = 1_000_000_000;

pub fn settings() -> Settings {
    let class = ClassSpec {
        priority_weight: 1.0,
        late_priority_weight: 0.5,
        base_latency_objective: S,
        objective_slowdown: 2.0,
        deadline: 60 * S,
        idempotency: Idempotency::Idempotent,
        serial_per_key: false,
        threads: 1.0,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    };
    let rules = Invariants {
        response_grace: S / 50,
        drain_grace: S,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 15 * S,
        overload_multiple: 2.0,
        overload_window: 2 * S,
        key_cooldown: 0,
        retry_budget: None,
        max_poll_interval: 0,
    };
    let limits = Limits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        may_message_peers: false,
        may_send_retry_after: true,
        max_retry_after: S,
        hedging: false,
    };
    Settings {
        gateway_index: 7,
        gateways: 300,
        zone: ZoneId(0),
        batch_interval: S / 200,
        classes: vec![class],
        machine_types: vec![MachineTypeSpec {
            cores: 8.0,
            memory_mb: 0.0,
        }],
        tenants: vec![],
        over_quota_weight: 1.0,
        poll_endpoint_list: false,
        load_fields: vec![],
        cross_zone_is_charged: false,
        probe_price: 0.01,
        memory_grants_supported: false,
        priorities_supported: false,
        max_memory_share: 0.4,
        memory_exhaustion: MemoryExhaustionPolicy::Wait,
        progress_period: 0,
        reports_cost: true,
        invariants: rules,
        limits,
    }
}

struct Play {
    g: Gateway,
    now: Nanos,
    next: u32,
    out: Vec<(u32, EngineId)>,
}

impl Play {
    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.g.handle(self.now, event, &mut acts);
        for a in acts {
            if let Action::Send { id, engine, .. } = a {
                self.out.push((id.0, engine));
            }
        }
    }

    /// Some seconds with `come` queries each half second, of which every other one is answered
    /// after `latency`.
    fn seconds(&mut self, n: u64, come: u32, latency: Nanos) {
        for half in 0..2 * n {
            for _ in 0..come {
                self.next += 1;
                let ask = Request {
                    id: RequestId(self.next),
                    deadline: self.now + 60 * S,
                    ..Request::default()
                };
                self.tell(Event::Request(Request {
                    work_hint: Some(S / 5),
                    ..ask
                }));
            }
            for _ in 0..25 {
                self.now += S / 50;
                self.tell(Event::TimerFired(1));
            }
            if come == 0 || half % 2 == 1 {
                continue;
            }
            if let Some((id, engine)) = self.out.pop() {
                let o = Outcome {
                    id: RequestId(id),
                    attempt: AttemptNo(0),
                    engine,
                    kind: OutcomeKind::Ok,
                    latency,
                    request_finished: true,
                    work: Some(S / 5),
                    memory_mb: None,
                    load: LoadReport::default(),
                };
                self.tell(Event::Outcome(o));
            }
        }
    }

    fn mean_bound(&self) -> f64 {
        self.g
            .engines
            .values()
            .map(|e| e.bound / e.initial_bound)
            .sum::<f64>()
            / self.g.engines.len() as f64
    }
}

#[test]
fn at_a_share_far_under_one_query_the_law_falls_recovers_and_holds() {
    let mut p = Play {
        g: Gateway::new(100 * S, settings(), 5),
        now: 100 * S,
        next: 0,
        out: vec![],
    };
    let entry = |i| Endpoint {
        id: EngineId(i),
        readiness: Readiness::Ready,
        ..Endpoint::default()
    };
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: (1..=20).map(entry).collect(),
    });
    assert_eq!(p.mean_bound(), 1.0);
    // More comes than goes, and what goes is late: no engine has a sample a period, yet all bounds
    // fall.
    p.seconds(30, 1, 6 * S);
    let low = p.mean_bound();
    assert!(
        (0.5..0.9).contains(&low),
        "falls: {low:.2} after {:.0} s",
        secs(p.now - 100 * S)
    );
    // Nothing comes and what is out has ended: no samples, and the bound holds.
    p.g.requests.clear();
    p.g.engines
        .values_mut()
        .for_each(|e| e.running = Default::default());
    p.out.clear();
    let before = p.mean_bound();
    p.seconds(10, 0, 0);
    assert!(
        (p.mean_bound() - before).abs() < 0.21,
        "holds: {before:.2} to {:.2}",
        p.mean_bound()
    );
    // Answers well within the aim while queries run: it rises again.
    let held = p.mean_bound();
    p.g.fleet.running = Default::default();
    p.seconds(30, 2, S / 5);
    assert!(
        p.mean_bound() > held + 0.05,
        "recovers: {held:.2} to {:.2}",
        p.mean_bound()
    );
}

/// Guards against time that passes for work where no engine tells its load: aims grew with it, and
/// the law saw no lateness while all answers took five times their time.
#[test]
fn slow_answers_teach_no_work_where_no_engine_is_asked() {
    let s = Settings {
        reports_cost: false,
        probe_price: 0.08,
        gateways: 30,
        ..settings()
    };
    let mut p = Play {
        g: Gateway::new(100 * S, s, 5),
        now: 100 * S,
        next: 0,
        out: vec![],
    };
    let entry = |i| Endpoint {
        id: EngineId(i),
        readiness: Readiness::Ready,
        ..Endpoint::default()
    };
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: (1..=4).map(entry).collect(),
    });
    let mut learned = Vec::new();
    for round in 0..300 {
        p.next += 1;
        let id = RequestId(p.next);
        p.tell(Event::Request(Request {
            id,
            deadline: p.now + 60 * S,
            ..Request::default()
        }));
        let latency = if round < 100 { S / 5 } else { S };
        for _ in 0..latency / (S / 50) {
            p.now += S / 50;
            p.tell(Event::TimerFired(1));
        }
        while let Some((id, engine)) = p.out.pop() {
            let (id, attempt, kind) = (RequestId(id), AttemptNo(0), OutcomeKind::Ok);
            let (closed, work, memory_mb, load) = (true, None, None, LoadReport::default());
            let done = Outcome {
                id,
                attempt,
                engine,
                kind,
                latency,
                request_finished: closed,
                work,
                memory_mb,
                load,
            };
            p.tell(Event::Outcome(done));
        }
        if [99, 299].contains(&round) {
            learned.push(p.g.class_estimates[0].work);
        }
    }
    assert!(
        learned[0] < 0.4 && learned[1] < 1.3 * learned[0],
        "{learned:?}"
    );
}

#[test]
fn learned_work_stays_while_engines_are_crowded() {
    // Neither hints nor answers tell the cost; engines tell of four threads a core, so that 0.2 s
    // of work take 0.8 s. What is learned must neither grow with the time nor shrink with the
    // slowness it is measured by.
    let s = Settings {
        reports_cost: false,
        load_fields: vec![LoadField::QueriesInFlight],
        ..settings()
    };
    let mut p = Play {
        g: Gateway::new(100 * S, s, 5),
        now: 100 * S,
        next: 0,
        out: vec![],
    };
    let entry = |i| Endpoint {
        id: EngineId(i),
        readiness: Readiness::Ready,
        ..Endpoint::default()
    };
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: (1..=4).map(entry).collect(),
    });
    let mut learned = Vec::new();
    for round in 0..900 {
        let load = LoadReport::from_values(&[32.0]);
        for i in 1..=4 {
            let engine = EngineId(i);
            p.tell(Event::ProbeCompleted {
                engine,
                kind: OutcomeKind::Ok,
                latency: S / 1000,
                load,
            });
        }
        p.next += 1;
        let id = RequestId(p.next);
        p.g.fleet.bound = f64::INFINITY;
        p.g.engines.values_mut().for_each(|e| e.bound = 1e6);
        p.tell(Event::Request(Request {
            id,
            deadline: p.now + 60 * S,
            ..Request::default()
        }));
        for _ in 0..60 {
            p.now += S / 50;
            p.g.engines
                .values_mut()
                .for_each(|e| e.report = e.report.map(|(_, t)| (p.now, t)));
            p.tell(Event::TimerFired(1));
        }
        while let Some((id, engine)) = p.out.pop() {
            let (id, attempt) = (RequestId(id), AttemptNo(0));
            let (kind, latency) = (OutcomeKind::Ok, S * 4 / 5);
            let done = Outcome {
                id,
                attempt,
                engine,
                kind,
                latency,
                request_finished: true,
                work: None,
                memory_mb: None,
                load,
            };
            p.tell(Event::Outcome(done));
        }
        if [100, 899].contains(&round) {
            learned.push((p.g.class_estimates[0].work, p.g.class_estimates[0].samples));
        }
    }
    assert!(learned[1].1 > 60, "answers were learned from: {learned:?}");
    assert!(
        learned.iter().all(|(work, _)| (0.12..0.4).contains(work)),
        "of 0.2 s: {learned:?}"
    );
}

/// Guards memory on long days: an engine that was replaced is forgotten, once nothing is out there
/// any more.
#[test]
fn engines_that_are_gone_are_forgotten() {
    let mut p = Play {
        g: Gateway::new(100 * S, settings(), 5),
        now: 100 * S,
        next: 0,
        out: vec![],
    };
    let entry = |i, readiness| Endpoint {
        id: EngineId(i),
        readiness,
        ..Endpoint::default()
    };
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: vec![entry(1, Readiness::Ready)],
    });
    p.seconds(1, 3, S / 5);
    assert_eq!(p.out.first().map(|(_, engine)| *engine), Some(EngineId(1)));
    for i in 1..100 {
        let entries = vec![entry(i + 1, Readiness::Ready), entry(i, Readiness::Removed)];
        p.tell(Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries,
        });
    }
    let left: Vec<u64> = p.g.engines.keys().map(|id| id.0).collect();
    assert_eq!(
        left,
        [1, 100],
        "the one with attempts out, and the one in service"
    );
}

/// Guards against leaving out an engine for one spoilt answer, which ends all attempts on its
/// connection at once.
#[test]
fn a_connection_that_breaks_is_one_failure() {
    let mut p = Play {
        g: Gateway::new(
            100 * S,
            Settings {
                gateway_index: 0,
                gateways: 3,
                ..settings()
            },
            5,
        ),
        now: 100 * S,
        next: 0,
        out: vec![],
    };
    let entry = |i| Endpoint {
        id: EngineId(i),
        readiness: Readiness::Ready,
        ..Endpoint::default()
    };
    p.tell(Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: (1..=4).map(entry).collect(),
    });
    let reset = |p: &mut Play, id: u32| {
        // Out on the first engine, wherever the choice fell.
        let r = p.g.requests.get_mut(&RequestId(id)).expect("open");
        r.attempts = vec![Attempt {
            engine: EngineId(1),
            sent: p.now,
            ..Attempt::default()
        }];
        r.attempts_started = 1;
        let (id, attempt, engine) = (RequestId(id), AttemptNo(0), EngineId(1));
        let (kind, work, memory_mb, load) = (OutcomeKind::Reset, None, None, LoadReport::default());
        p.tell(Event::Outcome(Outcome {
            id,
            attempt,
            engine,
            kind,
            latency: S / 10,
            request_finished: true,
            work,
            memory_mb,
            load,
        }));
    };
    for id in 1..=12 {
        p.tell(Event::Request(Request {
            id: RequestId(id),
            deadline: p.now + 60 * S,
            ..Request::default()
        }));
    }
    (1..=6).for_each(|id| reset(&mut p, id));
    assert!(
        p.g.engines[&EngineId(1)].circuit == CircuitState::Closed,
        "six attempts on one connection"
    );
    for id in 7..=12 {
        p.now += S / 10;
        reset(&mut p, id);
    }
    assert!(
        matches!(p.g.engines[&EngineId(1)].circuit, CircuitState::Open(_)),
        "connection after connection"
    );
}
