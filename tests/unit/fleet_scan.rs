//! Compares the totals over all engines that are kept between scans with a full scan, and counts
//! the engines that a tick visits.
use crate::policy::Gateway;
use crate::policy::api::{
    Action, AttemptNo, Endpoint, EndpointListKind, EngineId, Event, Nanos, Outcome, OutcomeKind,
    Readiness, Request, RequestId, Settings,
};
use crate::policy::state::circuit_breaker::CircuitState;
use crate::policy_builders::{
    SECOND, START, TICK, TICK_TIMER, endpoint, final_outcome, ready_endpoint, request,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Work of each query.
const WORK: Nanos = SECOND / 10;

fn settings(gateways: u32, may_probe: bool) -> Settings {
    let mut settings = Settings {
        gateway_index: gateways / 3,
        gateways,
        ..crate::policy_builders::settings()
    };
    settings.limits.may_probe = may_probe;
    settings
}

struct SentAttempt {
    id: RequestId,
    attempt: AttemptNo,
    engine: EngineId,
    at: Nanos,
}

/// A gateway with simulated engines, and the random choices of a run.
struct Simulation {
    gateway: Gateway,
    now: Nanos,
    rng: Pcg32,
    in_flight: Vec<SentAttempt>,
    requests: u32,
}

impl Simulation {
    fn new(settings: Settings, seed: u64, ids: impl Iterator<Item = u64>) -> Simulation {
        let mut simulation = Simulation {
            gateway: Gateway::new(START, settings, seed),
            now: START,
            rng: Pcg32::seed_from_u64(seed),
            in_flight: Vec::new(),
            requests: 0,
        };
        simulation.handle(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries: ids.map(ready_endpoint).collect(),
        });
        simulation
    }

    /// A random number below `end`.
    fn draw(&mut self, end: u32) -> u32 {
        self.rng.next_u32() % end
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, engine, .. } => {
                    let attempts = &self.gateway.requests[&id].attempts;
                    let attempt = attempts.last().expect("an attempt was started").number;
                    self.in_flight.push(SentAttempt {
                        id,
                        attempt,
                        engine,
                        at: self.now,
                    });
                }
                Action::Cancel { id, attempt } => {
                    let mut in_flight = self.in_flight.iter();
                    let is_cancelled =
                        |sent: &SentAttempt| (sent.id, sent.attempt) == (id, attempt);
                    if let Some(position) = in_flight.position(is_cancelled) {
                        self.end(position, OutcomeKind::Cancelled);
                    }
                }
                _ => {}
            }
        }
    }

    fn tick(&mut self) {
        self.handle(Event::TimerFired(TICK_TIMER));
    }

    fn submit(&mut self) {
        self.requests += 1;
        let request = request(RequestId(self.requests), self.now + 20 * SECOND);
        self.handle(Event::Request(Request {
            work_hint: Some(WORK),
            ..request
        }));
    }

    /// Ends an attempt in flight.
    fn end(&mut self, position: usize, kind: OutcomeKind) {
        let sent = self.in_flight.remove(position);
        let latency = self.now - sent.at;
        self.handle(Event::Outcome(Outcome {
            attempt: sent.attempt,
            request_finished: kind == OutcomeKind::Ok,
            work: Some(WORK),
            ..final_outcome(sent.id, sent.engine, kind, latency)
        }));
    }

    fn change_endpoint(&mut self, endpoint: Endpoint) {
        self.handle(Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries: vec![endpoint],
        });
    }

    /// A random event of the endpoint list: an engine is added, restarts, drains or is removed, or
    /// the full list is sent again.
    fn change_endpoint_list(&mut self, ids: u64) {
        let id = u64::from(self.draw(ids as u32)) + 1;
        let engine = self.gateway.engines.get(&EngineId(id));
        let started_at = engine.map_or(0, |engine| engine.endpoint.started_at);
        match self.draw(5) {
            0 | 1 => {
                let started_at = self.now - self.now % 7;
                self.change_endpoint(endpoint(id, Readiness::Ready, started_at));
            }
            2 => self.change_endpoint(endpoint(id, Readiness::Draining, started_at)),
            3 => self.change_endpoint(endpoint(id, Readiness::Removed, started_at)),
            _ => self.resend_endpoint_list(),
        }
    }

    fn resend_endpoint_list(&mut self) {
        let engines = self.gateway.engines.values();
        let listed = engines
            .map(|engine| engine.endpoint)
            .filter(|endpoint| endpoint.readiness != Readiness::Removed);
        let entries = listed.collect();
        self.handle(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries,
        });
    }

    /// Makes the change of the endpoint list, the shares or the settings selected by `draw`, or
    /// none.
    fn apply_selected_change(&mut self, draw: u32, step: usize, run: &Run) {
        match draw {
            0 => self.change_endpoint_list(run.engines),
            1 => {
                let share = [0.25, 0.5, 1.0][step % 3];
                self.gateway.set_capacity_share(share);
            }
            2 => self.gateway.set_active_gateways(run.gateways / 2 + 1),
            3 => {
                let gateway_index = (self.gateway.settings.gateway_index + 1) % run.gateways;
                let slow_start = 15 * SECOND + SECOND / 3 * (step as Nanos % 2);
                let settings = Settings {
                    gateway_index,
                    ..run.settings(slow_start)
                };
                self.gateway.reconfigure(settings, &[]);
            }
            _ => {}
        }
    }

    /// Ends a random attempt. Each engine has periods of seconds in which all attempts on it fail.
    fn end_random_attempt(&mut self) {
        let position = self.draw(self.in_flight.len() as u32) as usize;
        let engine = self.in_flight[position].engine;
        let fails = (self.now / (3 * SECOND) + engine.0).is_multiple_of(4);
        let kind = if fails {
            OutcomeKind::Error
        } else {
            OutcomeKind::Ok
        };
        self.end(position, kind);
    }

    fn ejections(&self) -> u32 {
        let engines = self.gateway.engines.values();
        engines.map(|engine| engine.circuit.ejections()).sum()
    }

    /// Asserts that the totals equal the result of a full scan at the present time.
    fn assert_totals_match_full_scan(&mut self, context: &str) {
        let now = self.now;
        let invariants = self.gateway.settings.invariants;
        // Changes since the refresh of the last tick count from the next refresh on.
        self.gateway.refresh_fleet(now);
        let fleet = &self.gateway.fleet;
        let engines = || self.gateway.engines.values();
        let ready = || engines().filter(|engine| engine.is_ready());
        let usable = || ready().filter(|engine| engine.circuit.state() == CircuitState::Closed);

        let mut slowdowns: Vec<f64> = ready().map(|engine| engine.slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        let median = slowdowns.get(slowdowns.len() / 2).copied().unwrap_or(1.0);
        assert_eq!(
            fleet.median_slowdown.to_bits(),
            median.to_bits(),
            "median, {context}"
        );

        let scan = self.gateway.scan_fleet(now);
        assert_eq!(fleet.turns, scan.turns, "turns, {context}");

        let cores = usable().fold(0.0, |sum, engine| sum + engine.cores);
        assert_eq!(fleet.cores, cores, "cores, {context}");

        let may_probe = self.gateway.settings.limits.may_probe;
        let counted_fraction = |capacity_fraction: f64| {
            if may_probe || capacity_fraction >= 1.0 {
                capacity_fraction
            } else {
                0.0
            }
        };
        let limits = usable().map(|engine| {
            engine.limit * counted_fraction(engine.capacity_fraction(now, &invariants))
        });
        let limit: f64 = limits.sum();
        assert!(
            (fleet.limit - limit).abs() <= 1e-9 * limit,
            "limit {} for {limit}, {context}",
            fleet.limit
        );

        for engine in engines() {
            let open_until = engine.circuit.open_until();
            assert!(
                open_until.is_none_or(|until| until > now),
                "an ejection has expired, {context}"
            );
            let window = invariants.overload_window;
            assert!(
                engine
                    .warm_up
                    .oldest_and_newest()
                    .is_none_or(|(oldest, newest)| oldest.at + window >= newest.at),
                "only one window is kept, {context}"
            );
        }
    }
}

/// Parameters of one random run.
struct Run {
    seed: u64,
    gateways: u32,
    may_probe: bool,
    engines: u64,
}

impl Run {
    /// Settings with which turns on engines that warm up end at other times than turns on warm
    /// engines.
    fn settings(&self, slow_start_duration: Nanos) -> Settings {
        let mut settings = settings(self.gateways, self.may_probe);
        settings.invariants.overload_window = 6 * SECOND / 5;
        settings.invariants.slow_start_duration = slow_start_duration;
        settings
    }
}

/// How often the relevant cases occurred.
#[derive(Default)]
struct Coverage {
    ticks_without_scan: u32,
    ejections: u32,
    engines_warming_up: usize,
}

impl Coverage {
    /// Runs 6000 ticks with random events and compares the totals after each.
    fn add_run(&mut self, run: &Run) {
        let settings = run.settings(15 * SECOND);
        let mut simulation = Simulation::new(settings, run.seed, 1..=run.engines);
        for step in 0..6000 {
            let ejections = simulation.ejections();
            simulation.now += TICK / 2 - Nanos::from(simulation.draw(3_000_000));
            for _ in 0..simulation.draw(3) {
                simulation.submit();
            }
            for _ in 0..simulation.draw(4).min(simulation.in_flight.len() as u32) {
                simulation.end_random_attempt();
            }
            // Quiet periods of ten seconds cover what changes with time alone.
            let is_quiet = step % 1000 < 500;
            let draw = simulation.draw(if is_quiet { 4000 } else { 60 });
            simulation.apply_selected_change(draw, step, run);
            let scans = simulation.gateway.fleet.scans;
            simulation.now += TICK / 2;
            simulation.tick();
            simulation.assert_totals_match_full_scan(&format!("seed {}, step {step}", run.seed));
            self.ticks_without_scan += u32::from(simulation.gateway.fleet.scans == scans);
            self.ejections += simulation.ejections().saturating_sub(ejections);
            self.engines_warming_up += simulation.gateway.fleet.warming_up.len();
        }
    }
}

/// Guards the totals between scans: after any sequence of events they equal the result of a full
/// scan of the fleet.
#[test]
fn totals_kept_between_scans_match_a_full_scan() {
    let run = |seed, gateways, may_probe, engines| Run {
        seed,
        gateways,
        may_probe,
        engines,
    };
    let mut coverage = Coverage::default();
    coverage.add_run(&run(1, 1, true, 6));
    coverage.add_run(&run(2, 4, false, 9));
    coverage.add_run(&run(3, 60, true, 40));
    coverage.add_run(&run(4, 60, false, 40));
    let Coverage {
        ticks_without_scan,
        ejections,
        engines_warming_up,
    } = coverage;
    assert!(
        ticks_without_scan > 10_000 && ejections > 5 && engines_warming_up > 1000,
        "{ticks_without_scan} without a scan, {ejections} ejected, {engines_warming_up} warming up"
    );
}

/// Guards the median slowdown, which covers ready engines only: no response of a draining engine
/// changes it, even if that engine's slowdown was close to those of the others.
#[test]
fn a_response_of_a_draining_engine_does_not_change_the_median() {
    let mut simulation = Simulation::new(settings(1, false), 1, 1..=3);
    for _ in 0..9 {
        simulation.submit();
    }
    simulation.change_endpoint(endpoint(1, Readiness::Draining, 0));
    simulation.now += SECOND;
    simulation.tick();
    // At the time of the first event after a gap, the gateway learns nothing from outcomes.
    simulation.now += TICK;
    let on_draining = |simulation: &Simulation| {
        let mut in_flight = simulation.in_flight.iter();
        in_flight.position(|sent| sent.engine == EngineId(1))
    };
    assert!(on_draining(&simulation).is_some());
    while let Some(position) = on_draining(&simulation) {
        simulation.end(position, OutcomeKind::Ok);
        simulation.assert_totals_match_full_scan("draining");
    }
}

/// Number of engines that 500 idle ticks visit outside scans, in a fleet of `engines` of which
/// three warm up.
fn engines_visited_by_idle_ticks(engines: u64, may_probe: bool) -> u64 {
    let mut simulation = Simulation::new(settings(3, may_probe), 1, 1..=engines);
    let started_at = simulation.now;
    let warming_up = (1..=3).map(|id| endpoint(id, Readiness::Ready, started_at));
    simulation.handle(Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries: warming_up.collect(),
    });
    let scans_before = simulation.gateway.fleet.scans;
    let visited_before = simulation.gateway.fleet.visited_engines;
    for _ in 0..500 {
        simulation.now += TICK;
        simulation.tick();
    }
    let scans = simulation.gateway.fleet.scans - scans_before;
    assert!((20..=30).contains(&scans), "{scans} scans in ten seconds");
    simulation.gateway.fleet.visited_engines - visited_before - scans * engines
}

/// Guards the cost of large fleets: between scans a tick visits only engines that change, and scans
/// are rare.
#[test]
fn idle_ticks_visit_no_more_engines_of_a_large_fleet() {
    for may_probe in [true, false] {
        let visited = [100, 900].map(|engines| engines_visited_by_idle_ticks(engines, may_probe));
        assert_eq!(
            visited,
            [if may_probe { 3 * 500 } else { 0 }; 2],
            "only the three engines that warm up are visited, and only if engines are probed"
        );
    }
}
