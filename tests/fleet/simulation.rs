//! Simulation of a fleet of gateways, engines and clients on one clock.
use crate::builders::*;
use crate::common::*;
use std::collections::BTreeMap;
use yokelift::policy::api::*;

/// Number of gateways of the simulated fleet.
const SIMULATED_GATEWAYS: u32 = 150;
/// Duration of one step of the simulation.
const STEP: Nanos = 20 * MILLISECOND;
/// Steps per second.
const STEPS_PER_SECOND: u64 = SECOND / STEP;
/// Service time of each query on an engine.
const SERVICE_TIME: Nanos = 300 * MILLISECOND;

/// An attempt that a gateway started.
struct StartedAttempt {
    at: Nanos,
    engine: EngineId,
    engine_was_dead: bool,
}

/// An attempt that runs on an engine.
struct RunningAttempt {
    completes_at: Nanos,
    gateway: usize,
    request: u32,
    attempt: u16,
    engine: EngineId,
}

/// Gateways on one clock, their engines, some of which may be dead, and the clients.
struct FleetSimulation {
    gateways: Vec<GatewayHarness>,
    dead_engines: Vec<u64>,
    next_request: u32,
    started: Vec<StartedAttempt>,
    running: Vec<RunningAttempt>,
    attempt_counts: BTreeMap<u32, u16>,
}

impl FleetSimulation {
    fn new(entries: &[Endpoint]) -> FleetSimulation {
        let gateway = |index| {
            let mut settings = large_fleet_settings();
            settings.gateways = SIMULATED_GATEWAYS;
            settings.invariants.retry_budget = None;
            gateway_at(index, settings, entries.to_vec())
        };
        FleetSimulation {
            gateways: (0..SIMULATED_GATEWAYS).map(gateway).collect(),
            dead_engines: Vec::new(),
            next_request: 0,
            started: Vec::new(),
            running: Vec::new(),
            attempt_counts: BTreeMap::new(),
        }
    }

    fn now(&self) -> Nanos {
        self.gateways[0].now
    }

    /// Carries out the actions of a gateway, and those that it orders in response.
    fn carry_out(&mut self, gateway: usize, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::Probe { engine } => actions.extend(self.probe(gateway, engine)),
                Action::Send { id, engine, .. } => {
                    actions.extend(self.start_attempt(gateway, id.0, engine));
                }
                _ => {}
            }
        }
    }

    /// Completes a load probe: a dead engine refuses the connection, any other reports its queries.
    fn probe(&mut self, gateway: usize, engine: EngineId) -> Vec<Action> {
        let event = if self.dead_engines.contains(&engine.0) {
            Event::ProbeCompleted {
                engine,
                kind: OutcomeKind::ConnectFailed,
                latency: MILLISECOND,
                load: LoadReport::default(),
            }
        } else {
            let on_engine = |attempt: &&RunningAttempt| attempt.engine == engine;
            probe_completed(
                engine.0,
                self.running.iter().filter(on_engine).count() as f32,
            )
        };
        self.gateways[gateway].handle(event)
    }

    /// Starts an attempt: a dead engine refuses the connection at once.
    fn start_attempt(&mut self, gateway: usize, request: u32, engine: EngineId) -> Vec<Action> {
        let count = self.attempt_counts.entry(request).or_insert(0);
        let attempt = *count;
        *count += 1;
        let harness = &mut self.gateways[gateway];
        let engine_was_dead = self.dead_engines.contains(&engine.0);
        self.started.push(StartedAttempt {
            at: harness.now,
            engine,
            engine_was_dead,
        });
        if engine_was_dead {
            let kind = OutcomeKind::ConnectFailed;
            return harness.end_attempt(request, attempt, engine, kind, MILLISECOND);
        }
        self.running.push(RunningAttempt {
            completes_at: harness.now + SERVICE_TIME,
            gateway,
            request,
            attempt,
            engine,
        });
        Vec::new()
    }

    /// Advances the clock by `span`, with this number of short requests per second, spread over the
    /// gateways.
    fn run(&mut self, span: Nanos, requests_per_second: u64) {
        for step in 0..span / STEP {
            for gateway in 0..self.gateways.len() {
                let actions = self.gateways[gateway].advance(STEP);
                self.carry_out(gateway, actions);
            }
            self.complete_attempts();
            let received = |steps: u64| steps * requests_per_second / STEPS_PER_SECOND;
            for _ in 0..received(step + 1) - received(step) {
                self.receive_request();
            }
        }
    }

    fn complete_attempts(&mut self) {
        let now = self.now();
        let (completed, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt: &RunningAttempt| attempt.completes_at <= now);
        self.running = running;
        let completed: Vec<RunningAttempt> = completed;
        for attempt in completed {
            let actions = self.gateways[attempt.gateway].end_attempt(
                attempt.request,
                attempt.attempt,
                attempt.engine,
                OutcomeKind::Ok,
                SERVICE_TIME,
            );
            self.carry_out(attempt.gateway, actions);
        }
    }

    fn receive_request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        let gateway = (id as usize * 37) % self.gateways.len();
        let actions = self.gateways[gateway].submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        self.carry_out(gateway, actions);
    }

    /// Number of matching attempts started since `from`.
    fn started_since(&self, from: Nanos, matches: impl Fn(&StartedAttempt) -> bool) -> usize {
        self.started
            .iter()
            .filter(|attempt| attempt.at >= from && matches(attempt))
            .count()
    }
}

#[test]
fn dead_engines_receive_few_attempts_whatever_their_number() {
    let engines = warm_endpoints(1..=20);
    for dead in [5, 10, 14] {
        let mut fleet = FleetSimulation::new(&engines);
        fleet.run(3 * SECOND, 800);
        fleet.dead_engines = (1..=dead).collect();
        let from = fleet.now();
        fleet.run(4 * SECOND, 800);
        let (all, to_dead) = (
            fleet.started_since(from, |_| true),
            fleet.started_since(from, |attempt| attempt.engine_was_dead),
        );
        assert!(
            to_dead * 6 < all,
            "{dead} of 20 engines dead: {to_dead} of {all} attempts went to them"
        );
        // At first attempts fail that were in flight or were based on older reports; after that,
        // probes show which engines are dead.
        let late_to_dead =
            fleet.started_since(from + 2 * SECOND, |attempt| attempt.engine_was_dead);
        assert!(
            late_to_dead < 10,
            "{dead} of 20 engines dead for two seconds: {late_to_dead} attempts since"
        );
    }
}

#[test]
fn engines_that_restart_at_once_receive_work_in_slow_start_within_seconds() {
    let mut fleet = FleetSimulation::new(&warm_endpoints(1..=5));
    // The five engines are almost full, so that requests queue.
    fleet.run(3 * SECOND, 320);
    let now = fleet.now();
    let restarted: Vec<Endpoint> = (6..=10).map(|i| endpoint(i, 0, now)).collect();
    for index in 0..fleet.gateways.len() {
        let actions =
            fleet.gateways[index].update_endpoints(EndpointListKind::Changes, restarted.clone());
        fleet.carry_out(index, actions);
    }
    fleet.run(4 * SECOND, 320);
    let on_restarted = fleet.started_since(now, |attempt| attempt.engine.0 > 5);
    // Five engines with 0.3 of 6.4 cores each can run 48 such queries per second; twice as many
    // would overload them.
    let per_second = on_restarted as f64 / 4.0;
    assert!(
        (12.0..96.0).contains(&per_second),
        "{per_second:.1} queries per second on five engines in slow start"
    );
}

#[test]
fn engines_are_used_again_at_once_after_a_network_failure_of_all_of_them() {
    // All engines refuse connections for five seconds. Gateways still start attempts on some, and
    // resume at once when the failure ends.
    let engines = warm_endpoints(1..=20);
    let mut fleet = FleetSimulation::new(&engines);
    fleet.run(2 * SECOND, 150);
    fleet.dead_engines = (1..=20).collect();
    fleet.run(5 * SECOND, 150);
    fleet.dead_engines = vec![];
    let from = fleet.now();
    fleet.run(SECOND, 150);
    assert!(
        fleet.started_since(from, |_| true) > 75,
        "{} sent",
        fleet.started_since(from, |_| true)
    );
}
