//! A recorded run of the decision module: random events of all kinds with fixed seeds, and a digest
//! of all actions so far after each thousand events. A change that only moves or renames code
//! leaves all digests unchanged.
mod common;
use common::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use xxhash_rust::xxh3::Xxh3;
use yokelift::policy::Gateway;
use yokelift::policy::api::*;

/// Number of events of one run.
const EVENTS: usize = 8_000;
/// Number of events between two digests.
const DIGEST_EVERY: usize = 1_000;

/// An attempt that the module started and that has not ended.
struct RunningAttempt {
    id: RequestId,
    attempt: AttemptNo,
    engine: EngineId,
    sent: Nanos,
}

/// A gateway that handles random events, and the digest of its actions.
struct Recording {
    gateway: Gateway,
    settings: Settings,
    now: Nanos,
    random: Pcg32,
    running: Vec<RunningAttempt>,
    attempts: Vec<u16>,
    engines: u32,
    digest: Xxh3,
}

impl Recording {
    fn new(settings: Settings, engines: u32, seed: u64) -> Recording {
        let mut recording = Recording {
            gateway: Gateway::new(START_TIME, settings.clone(), seed),
            settings,
            now: START_TIME,
            random: Pcg32::seed_from_u64(seed),
            running: Vec::new(),
            attempts: Vec::new(),
            engines,
            digest: Xxh3::new(),
        };
        let entries = (1..=engines)
            .map(|id| recording.endpoint(id, Readiness::Ready, 0))
            .collect();
        recording.handle(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries,
        });
        recording
    }

    /// A random number below `limit`.
    fn draw(&mut self, limit: u32) -> u32 {
        self.random.next_u32() % limit
    }

    fn endpoint(&self, id: u32, readiness: Readiness, started_at: Nanos) -> Endpoint {
        Endpoint {
            zone: ZoneId((id % 3) as u16),
            readiness,
            ..endpoint(u64::from(id), (id % 4 / 3) as u16, started_at)
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.record(action);
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Adds an action to the digest, regardless of the names of types and fields.
    fn record(&mut self, action: &Action) {
        let (code, words): (u8, Vec<u64>) = match action {
            Action::Send {
                id,
                engine,
                timeout,
            } => (1, vec![u64::from(id.0), engine.0, *timeout]),
            Action::SetAttemptOptions {
                id,
                priority,
                memory_mb,
            } => (
                2,
                vec![u64::from(id.0), u64::from(*priority), memory_mb.to_bits()],
            ),
            Action::Cancel { id, attempt } => (3, vec![u64::from(id.0), u64::from(attempt.0)]),
            Action::Reject {
                id, retry_after, ..
            } => (4, vec![u64::from(id.0), *retry_after]),
            Action::Fail { id } => (5, vec![u64::from(id.0)]),
            Action::StartTimer { after, token } => (6, vec![*after, *token]),
            Action::Probe { engine } => (7, vec![engine.0]),
            Action::CloseIdleConnections { engine } => (8, vec![engine.0]),
            Action::SendToPeer { peer, data } => {
                (9, vec![peer.map_or(u64::MAX, u64::from), data.len() as u64])
            }
            Action::FetchEndpointList => (10, vec![]),
            Action::WatchEndpointList(enabled) => (11, vec![u64::from(*enabled)]),
            Action::Log(line) => (12, vec![line.len() as u64]),
        };
        self.digest.update(&[code]);
        for word in words {
            self.digest.update(&word.to_be_bytes());
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, engine, .. } => {
                let attempt = AttemptNo(self.attempts[id.0 as usize]);
                self.attempts[id.0 as usize] += 1;
                self.running.push(RunningAttempt {
                    id,
                    attempt,
                    engine,
                    sent: self.now,
                });
            }
            Action::Cancel { id, attempt } => {
                let index = self
                    .running
                    .iter()
                    .position(|running| (running.id, running.attempt) == (id, attempt));
                // Some cancellations have no effect, as if the end of the attempt were in transit.
                if let Some(index) = index.filter(|_| id.0 % 5 != 0) {
                    self.end_attempt(index, OutcomeKind::Cancelled);
                }
            }
            _ => {}
        }
    }

    fn random_load_report(&mut self) -> LoadReport {
        let len = self.settings.load_fields.len();
        let values = [0; 4].map(|_| self.draw(400) as f32 / 100.0);
        LoadReport::from_values(&values[..len])
    }

    fn receive_request(&mut self) {
        let id = self.attempts.len() as u32;
        self.attempts.push(0);
        let class = self.draw(self.settings.classes.len() as u32) as u16;
        let deadline = self.settings.classes[usize::from(class)].deadline;
        let work = Nanos::from(self.draw(400) + 1) * 4 * MILLISECOND;
        let request = Request {
            tenant: TenantId(self.draw(2) as u16),
            key: Some(OrderKey(u64::from(self.draw(6)))),
            work_hint: Some(work).filter(|_| !id.is_multiple_of(7)),
            data_set: u64::from(self.draw(5)),
            is_retry: self.draw(9) == 0,
            must_not_repeat: self.draw(40) == 0,
            ..request(id, class, self.now, deadline, work)
        };
        self.handle(Event::Request(request));
    }

    fn end_attempt(&mut self, index: usize, kind: OutcomeKind) {
        let RunningAttempt {
            id,
            attempt,
            engine,
            sent,
        } = self.running.remove(index);
        let ok = kind == OutcomeKind::Ok;
        let cost_stated = ok && self.settings.reports_cost;
        let work = cost_stated.then(|| Nanos::from(self.draw(900) + 1) * MILLISECOND);
        let load = self.random_load_report();
        self.handle(Event::Outcome(Outcome {
            id,
            attempt,
            engine,
            kind,
            latency: self.now - sent,
            request_finished: ok,
            work,
            memory_mb: cost_stated.then_some(64.0),
            load,
        }));
    }

    /// Ends a random attempt. At any time about one of five engines fails half of its attempts;
    /// which one changes every four seconds.
    fn end_random_attempt(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.draw(self.running.len() as u32) as usize;
        let engine = self.running[index].engine.0;
        let is_failing = (engine + self.now / (4 * SECOND)).is_multiple_of(5);
        let kinds = [
            OutcomeKind::Error,
            OutcomeKind::Rejected,
            OutcomeKind::Timeout,
            OutcomeKind::ConnectFailed,
            OutcomeKind::Reset,
            OutcomeKind::NeverSent,
        ];
        let fails = self.draw(if is_failing { 2 } else { 25 }) == 0;
        let kind = if fails {
            kinds[self.draw(6) as usize]
        } else {
            OutcomeKind::Ok
        };
        self.end_attempt(index, kind);
    }

    fn report_progress(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.draw(self.running.len() as u32) as usize;
        let (id, attempt) = (self.running[index].id, self.running[index].attempt);
        let update = match self.draw(6) {
            0 => ProgressUpdate::WaitsForLoad,
            1 => ProgressUpdate::WaitsForMemory,
            2 => ProgressUpdate::Spill(100.0),
            _ => ProgressUpdate::Progress(f64::from(self.draw(100)) / 100.0),
        };
        self.handle(Event::Progress {
            id,
            attempt,
            update,
        });
    }

    fn update_endpoints(&mut self) {
        let id = self.draw(self.engines) + 1;
        let entry = match self.draw(6) {
            0 => {
                return self.handle(Event::EndpointList {
                    kind: EndpointListKind::Failed,
                    entries: Vec::new(),
                });
            }
            1 => self.endpoint(id, Readiness::Draining, 0),
            2 => self.endpoint(id, Readiness::Removed, 0),
            3 | 4 => self.endpoint(id, Readiness::Ready, self.now - self.now % MILLISECOND),
            _ => {
                let entries = (1..=self.engines)
                    .map(|id| self.endpoint(id, Readiness::Ready, 0))
                    .collect();
                return self.handle(Event::EndpointList {
                    kind: EndpointListKind::Full,
                    entries,
                });
            }
        };
        self.handle(Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries: vec![entry],
        });
    }

    fn complete_probe(&mut self) {
        let engine = EngineId(u64::from(self.draw(self.engines)) + 1);
        let kind = if self.draw(12) == 0 {
            OutcomeKind::ConnectFailed
        } else {
            OutcomeKind::Ok
        };
        let (latency, load) = (
            Nanos::from(self.draw(40) + 1) * MILLISECOND / 4,
            self.random_load_report(),
        );
        self.handle(Event::ProbeCompleted {
            engine,
            kind,
            latency,
            load,
        });
    }

    /// Changes a setting that operators may change while the module runs.
    fn reconfigure(&mut self) {
        match self.draw(4) {
            0 => self
                .gateway
                .set_capacity_share([0.25, 0.5, 1.0][self.attempts.len() % 3]),
            1 => {
                let gateways = self.settings.gateways;
                let active = self.draw(gateways) + 1;
                self.gateway.set_active_gateways(active);
            }
            2 => {
                let quota_per_s = f64::from(self.draw(60) + 1);
                self.gateway.set_tenants(
                    &[TenantSpec {
                        quota_per_s,
                        share: 0.5,
                    }; 2],
                );
            }
            _ if self.settings.classes.len() < 8 => {
                let original = self.draw(self.settings.classes.len() as u32) as u16;
                let class = self.settings.classes[usize::from(original)].clone();
                self.settings.classes.push(class);
                let new = ClassId(self.settings.classes.len() as u16 - 1);
                let inherited_from = Some(ClassId(original)).filter(|_| original.is_multiple_of(2));
                self.gateway
                    .reconfigure(self.settings.clone(), &[(new, inherited_from)]);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += Nanos::from(self.draw(10_000)) * 1_000;
        match self.draw(1_000) {
            0..=329 => self.receive_request(),
            330..=639 => self.end_random_attempt(),
            640..=699 => self.report_progress(),
            700..=779 => self.complete_probe(),
            780..=789 => self.update_endpoints(),
            790..=809 if !self.attempts.is_empty() => {
                let id = RequestId(self.draw(self.attempts.len() as u32));
                self.handle(Event::ClientDisconnected(id));
            }
            810..=819 if !self.running.is_empty() => {
                let (id, attempt) = (self.running[0].id, self.running[0].attempt);
                self.handle(Event::FirstByte { id, attempt });
            }
            820..=822 => self.reconfigure(),
            823 => self.handle(Event::PeerMessage {
                from: 1,
                data: vec![1, 2],
            }),
            // The gateway itself stalls.
            824 => self.now += 200 * MILLISECOND,
            825..=829 => self.now += 40 * MILLISECOND,
            _ => self.handle(Event::TimerFired(TICK_TIMER)),
        }
    }

    fn digests(mut self) -> Vec<u64> {
        let mut digests = Vec::new();
        for _ in 0..EVENTS / DIGEST_EVERY {
            for _ in 0..DIGEST_EVERY {
                self.step();
            }
            digests.push(self.digest.digest());
        }
        digests
    }
}

fn hedged_settings() -> Settings {
    let mut settings = test_settings();
    settings.limits.hedging = true;
    settings.priorities_supported = true;
    settings.load_fields = vec![LoadField::QueriesInFlight, LoadField::CpuUtilization];
    settings
}

fn ordered_load_settings() -> Settings {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].blocked_by_loads = true;
    settings.classes[usize::from(LONG)].blocked_by_loads = true;
    settings.poll_endpoint_list = true;
    settings.cross_zone_is_charged = true;
    settings.reports_cost = false;
    settings.tenants = vec![
        TenantSpec {
            quota_per_s: 5.0,
            share: 0.5
        };
        2
    ];
    settings
}

fn large_fleet_settings(may_probe: bool) -> Settings {
    let mut settings = test_settings();
    settings.gateways = 60;
    settings.gateway_index = 17;
    settings.limits.may_probe = may_probe;
    settings.load_fields = vec![
        LoadField::CpuUtilization,
        LoadField::DiskUtilization,
        LoadField::MemoryGrantedFraction,
        LoadField::QueriesQueued,
    ];
    settings.invariants.retry_budget = None;
    settings
}

fn keyed_settings() -> Settings {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        window: 3 * SECOND,
    };
    settings.classes[usize::from(KEYED)].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::Zone,
        window: 3 * SECOND,
    };
    settings.limits.may_cancel = false;
    settings.progress_period = 0;
    settings.limits.may_send_retry_after = false;
    settings
}

#[test]
fn a_run_with_fixed_seeds_produces_the_recorded_action_digests() {
    let runs = [
        ("hedged", hedged_settings(), 6),
        ("ordered-loads", ordered_load_settings(), 5),
        ("large-fleet", large_fleet_settings(true), 40),
        (
            "large-fleet-without-probes",
            large_fleet_settings(false),
            40,
        ),
        ("keyed-everywhere", keyed_settings(), 8),
    ];
    let mut lines = String::new();
    for (name, settings, engines) in runs {
        let digests = Recording::new(settings, engines, 2_026).digests();
        for (index, digest) in digests.iter().enumerate() {
            lines += &format!("{name} {} {digest:016x}\n", (index + 1) * DIGEST_EVERY);
        }
    }
    assert_eq!(lines, include_str!("fixtures/recorded_run.txt"));
}
