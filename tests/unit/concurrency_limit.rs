//! The control law at small shares of an engine: 300 gateways, twenty engines, two queries per
//! second at this gateway. Also the learning of work, the dropping of removed engines, and the
//! counting of resets.
use crate::policy::Gateway;
use crate::policy::api::{
    Action, EndpointListKind, EngineId, Event, LoadField, LoadReport, Nanos, Outcome, OutcomeKind,
    Readiness, Request, RequestId, Settings,
};
use crate::policy::state::circuit_breaker::CircuitState;
use crate::policy::state::engine::ReportedLoad;
use crate::policy::state::request::Attempt;
use crate::policy::state::running::Running;
use crate::policy::state::units::seconds;
use crate::policy_builders::{
    SECOND, START, TICK, TICK_TIMER, endpoint, final_outcome, ready_endpoint, request, settings,
};

/// Work of each query.
const WORK: Nanos = SECOND / 5;

struct SentAttempt {
    id: RequestId,
    engine: EngineId,
}

/// A gateway with simulated engines.
struct Simulation {
    gateway: Gateway,
    now: Nanos,
    requests: u32,
    /// Attempts in flight, oldest first.
    in_flight: Vec<SentAttempt>,
}

impl Simulation {
    /// A gateway with `engines` warm engines.
    fn new(settings: Settings, engines: u64) -> Simulation {
        let mut simulation = Simulation {
            gateway: Gateway::new(START, settings, 5),
            now: START,
            requests: 0,
            in_flight: vec![],
        };
        simulation.handle(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries: (1..=engines).map(ready_endpoint).collect(),
        });
        simulation
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { id, engine, .. } = action {
                self.in_flight.push(SentAttempt { id, engine });
            }
        }
    }

    /// The next request, with a minute until its deadline.
    fn next_request(&mut self) -> Request {
        self.requests += 1;
        request(RequestId(self.requests), self.now + 60 * SECOND)
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.handle(Event::TimerFired(TICK_TIMER));
    }

    /// Runs for `duration` seconds with `arrivals` queries each half second, of which one per
    /// second completes with `latency`.
    fn run(&mut self, duration: u64, arrivals: u32, latency: Nanos) {
        for half_second in 0..2 * duration {
            for _ in 0..arrivals {
                let work_hint = Some(WORK);
                let request = self.next_request();
                self.handle(Event::Request(Request {
                    work_hint,
                    ..request
                }));
            }
            for _ in 0..25 {
                self.tick();
            }
            if arrivals == 0 || half_second % 2 == 1 {
                continue;
            }
            if let Some(sent) = self.in_flight.pop() {
                self.handle(Event::Outcome(Outcome {
                    work: Some(WORK),
                    ..final_outcome(sent.id, sent.engine, OutcomeKind::Ok, latency)
                }));
            }
        }
    }

    /// Completes all attempts in flight, without reported cost.
    fn complete_all(&mut self, latency: Nanos, load: LoadReport) {
        while let Some(sent) = self.in_flight.pop() {
            self.handle(Event::Outcome(Outcome {
                load,
                ..final_outcome(sent.id, sent.engine, OutcomeKind::Ok, latency)
            }));
        }
    }

    /// Mean limit over all engines, as a share of the initial one.
    fn mean_limit(&self) -> f64 {
        let engines = self.gateway.engines.values();
        let shares = engines.map(|engine| engine.limit / engine.initial_limit);
        shares.sum::<f64>() / self.gateway.engines.len() as f64
    }
}

#[test]
fn at_a_share_far_under_one_query_the_limit_falls_holds_and_recovers() {
    let mut simulation = Simulation::new(settings(), 20);
    assert_eq!(simulation.mean_limit(), 1.0);

    // More queries arrive than complete, and those that complete are late. No engine has a sample
    // in a period, yet all limits fall.
    simulation.run(30, 1, 6 * SECOND);
    let low = simulation.mean_limit();
    assert!(
        (0.5..0.9).contains(&low),
        "the limit falls: {low:.2} after {:.0} s",
        seconds(simulation.now - START)
    );

    // Nothing arrives and nothing is in flight: there are no samples, and the limit stays.
    simulation.gateway.requests.clear();
    for engine in simulation.gateway.engines.values_mut() {
        engine.running = Running::default();
    }
    simulation.in_flight.clear();
    let before = simulation.mean_limit();
    simulation.run(10, 0, 0);
    assert!(
        (simulation.mean_limit() - before).abs() < 0.21,
        "the limit stays: {before:.2} to {:.2}",
        simulation.mean_limit()
    );

    // Responses are well within the objective while queries run: the limit rises again.
    let held = simulation.mean_limit();
    simulation.gateway.fleet.running = Running::default();
    simulation.run(30, 2, WORK);
    assert!(
        simulation.mean_limit() > held + 0.05,
        "the limit recovers: {held:.2} to {:.2}",
        simulation.mean_limit()
    );
}

/// Guards against latency that is learned as work where no engine reports its load: objectives grew
/// with it, and the control law measured no lateness while all responses took five times their
/// expected time.
#[test]
fn slow_responses_do_not_raise_the_learned_work_where_engines_are_not_probed() {
    let settings = Settings {
        reports_cost: false,
        probe_price: 0.08,
        gateways: 30,
        ..settings()
    };
    let mut simulation = Simulation::new(settings, 4);
    let mut learned = Vec::new();
    for round in 0..300 {
        let request = simulation.next_request();
        simulation.handle(Event::Request(request));
        let latency = if round < 100 { WORK } else { SECOND };
        for _ in 0..latency / TICK {
            simulation.tick();
        }
        simulation.complete_all(latency, LoadReport::default());
        if [99, 299].contains(&round) {
            learned.push(simulation.gateway.class_estimates[0].work);
        }
    }
    assert!(
        learned[0] < 0.4 && learned[1] < 1.3 * learned[0],
        "{learned:?}"
    );
}

/// Neither hints nor responses report the cost. Engines report four threads per core, so 0.2 s of
/// work take 0.8 s. The learned work must neither grow with the latency nor shrink with the
/// slowdown derived from it.
#[test]
fn learned_work_is_stable_while_engines_are_overloaded() {
    let settings = Settings {
        reports_cost: false,
        load_fields: vec![LoadField::QueriesInFlight],
        ..settings()
    };
    let load = LoadReport::from_values(&[32.0]);
    let mut simulation = Simulation::new(settings, 4);
    let mut learned = Vec::new();
    for round in 0..900 {
        for id in 1..=4 {
            simulation.handle(Event::ProbeCompleted {
                engine: EngineId(id),
                kind: OutcomeKind::Ok,
                latency: SECOND / 1000,
                load,
            });
        }
        simulation.gateway.fleet.limit = f64::INFINITY;
        for engine in simulation.gateway.engines.values_mut() {
            engine.limit = 1e6;
        }
        let request = simulation.next_request();
        simulation.handle(Event::Request(request));
        for _ in 0..60 {
            simulation.now += TICK;
            let at = simulation.now;
            for engine in simulation.gateway.engines.values_mut() {
                engine.report = engine.report.map(|report| ReportedLoad { at, ..report });
            }
            simulation.handle(Event::TimerFired(TICK_TIMER));
        }
        simulation.complete_all(SECOND * 4 / 5, load);
        if [100, 899].contains(&round) {
            learned.push(simulation.gateway.class_estimates[0]);
        }
    }
    assert!(
        learned[1].samples > 60,
        "responses were learned from: {learned:?}"
    );
    assert!(
        learned
            .iter()
            .all(|estimates| (0.12..0.4).contains(&estimates.work)),
        "the work is 0.2 s: {learned:?}"
    );
}

/// Guards against memory growth in long runs: a replaced engine is dropped once no attempt is in
/// flight there.
#[test]
fn removed_engines_are_dropped_once_no_attempt_is_in_flight() {
    let mut simulation = Simulation::new(settings(), 1);
    simulation.run(1, 3, WORK);
    let first = simulation.in_flight.first();
    assert_eq!(first.map(|sent| sent.engine), Some(EngineId(1)));
    for id in 1..100 {
        let entries = vec![ready_endpoint(id + 1), endpoint(id, Readiness::Removed, 0)];
        simulation.handle(Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries,
        });
    }
    let remaining: Vec<u64> = simulation.gateway.engines.keys().map(|id| id.0).collect();
    assert_eq!(
        remaining,
        [1, 100],
        "the engine with attempts in flight and the listed engine remain"
    );
}

/// Guards against the ejection of an engine for one reset connection, which ends all attempts on it
/// at once.
#[test]
fn a_reset_connection_counts_as_one_failure() {
    let settings = Settings {
        gateway_index: 0,
        gateways: 3,
        ..settings()
    };
    let mut simulation = Simulation::new(settings, 4);
    let engine = EngineId(1);
    for _ in 1..=12 {
        let request = simulation.next_request();
        simulation.handle(Event::Request(request));
    }
    // Ends the request with a reset on the first engine, whichever engine it was sent to.
    let reset = |simulation: &mut Simulation, id: u32| {
        let id = RequestId(id);
        let requests = &mut simulation.gateway.requests;
        let request = requests.get_mut(&id).expect("the request is pending");
        request.attempts = vec![Attempt {
            engine,
            sent_at: simulation.now,
            ..Attempt::default()
        }];
        request.attempts_started = 1;
        let outcome = final_outcome(id, engine, OutcomeKind::Reset, SECOND / 10);
        simulation.handle(Event::Outcome(outcome));
    };

    for id in 1..=6 {
        reset(&mut simulation, id);
    }
    let circuit = |simulation: &Simulation| simulation.gateway.engines[&engine].circuit.state();
    assert!(
        circuit(&simulation) == CircuitState::Closed,
        "six attempts on one reset connection count as one failure"
    );

    for id in 7..=12 {
        simulation.now += SECOND / 10;
        reset(&mut simulation, id);
    }
    assert!(
        matches!(circuit(&simulation), CircuitState::Open { .. }),
        "resets of several connections in a row eject the engine"
    );
}
