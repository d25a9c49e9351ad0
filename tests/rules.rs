//! Seeded property test of the seven invariants: random legal events in unusual orders, and a
//! checker that shares no code with the module and knows events and actions alone.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

/// Work of a request, by class.
const WORK: [Nanos; 4] = [200 * MILLISECOND, SECOND, 2 * SECOND, 100 * MILLISECOND];
/// Time that a client waits, by class.
const DEADLINE: [Nanos; 4] = [6 * SECOND, 15 * SECOND, 20 * SECOND, 6 * SECOND];
/// Time between two readings of the clock.
const CLOCK_STEP: Nanos = 5 * MILLISECOND;

/// An attempt, as the checker saw it.
#[derive(Clone)]
struct ObservedAttempt {
    engine: EngineId,
    started_at: Nanos,
    ended: Option<EndedAttempt>,
    cancelled: bool,
}

#[derive(Clone, Copy)]
struct EndedAttempt {
    kind: OutcomeKind,
    at: Nanos,
}

impl ObservedAttempt {
    fn is_running(&self) -> bool {
        self.ended.is_none()
    }

    fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|ended| {
            !matches!(
                ended.kind,
                OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
            )
        })
    }
}

/// A request, as the checker saw it.
struct ObservedRequest {
    request: Request,
    attempts: Vec<ObservedAttempt>,
    finished_at: Option<Nanos>,
    responses: u32,
}

/// An attempt of a request.
#[derive(Clone, Copy)]
struct AttemptRef {
    request: RequestId,
    index: usize,
}

/// An attempt beyond the first of its request.
#[derive(PartialEq, Eq)]
struct Retry {
    at: Nanos,
    request: RequestId,
}

/// Work that was sent to an engine in slow start.
struct SlowStartWork {
    at: Nanos,
    engine: EngineId,
    work: f64,
}

/// A span in which the gateway was stalled; what fell due in it is due at its end.
struct Stall {
    from: Nanos,
    until: Nanos,
}

/// Plays clients, engines and the endpoint list, and checks each action.
struct InvariantChecker {
    settings: Settings,
    harness: GatewayHarness,
    rng: Pcg32,
    requests: BTreeMap<RequestId, ObservedRequest>,
    endpoints: BTreeMap<EngineId, Endpoint>,
    arrival_order: BTreeMap<OrderKey, Vec<RequestId>>,
    received_at: Vec<Nanos>,
    retries: Vec<Retry>,
    slow_start_work: Vec<SlowStartWork>,
    timers: BTreeSet<Nanos>,
    last_stall: Stall,
    next_request: u32,
}

/// Settings with some of what an operator may forbid or leave out.
fn random_settings(rng: &mut Pcg32) -> Settings {
    let mut settings = test_settings();
    settings.limits.may_message_peers = rng.next_u32() % 2 == 0;
    settings.gateways = [1, 2, 3, 40, 300][rng.next_u32() as usize % 5];
    settings.gateway_index = rng.next_u32() % settings.gateways;
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
    settings.load_fields = fields[rng.next_u32() as usize % 4].clone();
    let mut one_in = |count: u32| rng.next_u32() % count == 0;
    settings.limits.may_cancel = !one_in(3);
    settings.limits.may_probe = !one_in(3);
    settings.limits.hedging = one_in(2);
    settings.reports_cost = !one_in(3);
    if one_in(3) {
        settings.tenants.clear();
    }
    if one_in(3) {
        settings.progress_period = 0;
    }
    if one_in(3) {
        settings.invariants.retry_budget = None;
    }
    if one_in(2) {
        settings.invariants.overload_window = SECOND;
    }
    settings
}

/// An endpoint whose machine type alternates by id.
fn alternating_endpoint(id: u64, started_at: Nanos) -> Endpoint {
    endpoint(id, (id % 2) as u16, started_at)
}

impl InvariantChecker {
    fn new(seed: u64) -> InvariantChecker {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = random_settings(&mut rng);
        let harness = GatewayHarness {
            gateway: yokelift::policy::Gateway::new(START_TIME, settings.clone(), seed),
            now: START_TIME,
        };
        let mut checker = InvariantChecker {
            settings,
            harness,
            rng,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            arrival_order: BTreeMap::new(),
            received_at: Vec::new(),
            retries: Vec::new(),
            slow_start_work: Vec::new(),
            timers: BTreeSet::new(),
            last_stall: Stall { from: 0, until: 0 },
            next_request: 0,
        };
        let entries = (1..=5).map(|id| alternating_endpoint(id, 0)).collect();
        checker.update_endpoints(EndpointListKind::Cached, entries);
        checker
    }

    fn now(&self) -> Nanos {
        self.harness.now
    }

    /// A random number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        u64::from(self.rng.next_u32()) % limit
    }

    fn class(&self, request: &Request) -> &ClassSpec {
        &self.settings.classes[usize::from(request.class.0)]
    }

    fn update_endpoints(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        if kind != EndpointListKind::Changes {
            let named: Vec<EngineId> = entries.iter().map(|entry| entry.id).collect();
            for known in self.endpoints.values_mut() {
                if !named.contains(&known.id) {
                    known.readiness = Readiness::Removed;
                }
            }
        }
        for entry in &entries {
            self.endpoints.insert(entry.id, *entry);
        }
        self.handle(Event::EndpointList { kind, entries });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.harness.gateway.handle(now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Reject { id, .. } => {
                self.check_rejection(*id);
                self.check_final_response(*id);
            }
            Action::Fail { id } => self.check_final_response(*id),
            Action::StartTimer { after, .. } => {
                self.timers.insert(self.now() + after);
            }
            Action::Probe { .. } => {
                let may_probe = self.settings.limits.may_probe;
                assert!(may_probe, "probed where that is not allowed");
            }
            Action::Cancel { id, attempt } => self.check_cancellation(*id, *attempt),
            Action::Send { id, engine, .. } => self.check_attempt(*id, *engine),
            _ => {}
        }
    }

    /// Invariant 1: one final response, in time.
    fn check_final_response(&mut self, id: RequestId) {
        let now = self.now();
        let observed = self
            .requests
            .get_mut(&id)
            .expect("a final response for an unknown request");
        observed.responses += 1;
        assert_eq!(observed.responses, 1, "two final responses for {id:?}");
        let deadline = observed.request.deadline;
        let stall = &self.last_stall;
        let due = if (stall.from..=stall.until).contains(&deadline) {
            stall.until
        } else {
            deadline
        };
        let latest = due + self.settings.invariants.response_grace;
        assert!(now <= latest, "late response for {id:?}");
        observed.finished_at.get_or_insert(now);
    }

    /// Invariant 2: a rejection promises that a retry is harmless.
    fn check_rejection(&self, id: RequestId) {
        let observed = self
            .requests
            .get(&id)
            .expect("a final response for an unknown request");
        let may_have_run = observed.attempts.iter().any(ObservedAttempt::may_have_run);
        if self.class(&observed.request).idempotency != Idempotency::Idempotent {
            assert!(!may_have_run, "{id:?} may have run and was rejected");
        }
    }

    fn check_cancellation(&mut self, id: RequestId, attempt: AttemptNo) {
        let may_cancel = self.settings.limits.may_cancel;
        assert!(may_cancel, "cancelled where that is not allowed");
        let observed = self.requests.get_mut(&id).expect("unknown request");
        observed.attempts[usize::from(attempt.0)].cancelled = true;
    }

    fn check_attempt(&mut self, id: RequestId, engine: EngineId) {
        let endpoint = self.endpoints[&engine];
        assert_eq!(
            endpoint.readiness,
            Readiness::Ready,
            "invariant 3: sent to an engine that drains or is removed"
        );
        self.check_attempt_limits(id, engine);
        self.check_placement(id, &endpoint);
        self.check_idempotency(id, &endpoint);
        self.check_order(id);
        self.check_retry_budget(id);
        self.check_slow_start(id, &endpoint);
        let attempt = ObservedAttempt {
            engine,
            started_at: self.now(),
            ended: None,
            cancelled: false,
        };
        let observed = self.requests.get_mut(&id).expect("known");
        observed.attempts.push(attempt);
    }

    /// Invariant 1, and the limits on attempts.
    fn check_attempt_limits(&self, id: RequestId, engine: EngineId) {
        let observed = &self.requests[&id];
        assert!(
            observed.finished_at.is_none() && self.now() < observed.request.deadline,
            "sent after the end"
        );
        let running = || observed.attempts.iter().filter(|one| one.is_running());
        assert!(
            !running().any(|attempt| attempt.engine == engine),
            "hedged at the engine of the first attempt"
        );
        let running_count = running().count();
        assert!(
            running_count <= usize::from(self.settings.limits.hedging),
            "{} attempts in flight at once",
            running_count + 1
        );
        assert!(
            observed.attempts.len() < self.settings.limits.max_attempts as usize,
            "too many attempts"
        );
    }

    /// Invariant 6.
    fn check_placement(&self, id: RequestId, endpoint: &Endpoint) {
        let class = self.class(&self.requests[&id].request);
        assert!(
            class
                .allowed_machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&endpoint.machine_type)),
            "placement"
        );
    }

    /// Invariant 2.
    fn check_idempotency(&self, id: RequestId, endpoint: &Endpoint) {
        let observed = &self.requests[&id];
        let first_run = observed.attempts.iter().find(|one| one.may_have_run());
        match (self.class(&observed.request).idempotency, first_run) {
            (Idempotency::NonIdempotent, first_run) => {
                assert!(first_run.is_none(), "non-idempotent request repeated");
            }
            (Idempotency::WithKey { window, .. }, Some(first)) => {
                let cell = self.endpoints[&first.engine].cell;
                assert_eq!(cell, endpoint.cell, "left its cell");
                assert!(
                    self.now() < first.started_at + window,
                    "repeated after the window"
                );
            }
            _ => {}
        }
    }

    /// Invariant 5.
    fn check_order(&self, id: RequestId) {
        let request = &self.requests[&id].request;
        let (true, Some(key)) = (self.class(request).serial_per_key, request.key) else {
            return;
        };
        for earlier in self.arrival_order[&key]
            .iter()
            .take_while(|one| **one != id)
        {
            let observed = &self.requests[earlier];
            assert!(
                observed.finished_at.is_some(),
                "{id:?} sent before {earlier:?} is finished"
            );
            for attempt in &observed.attempts {
                let ended = attempt
                    .ended
                    .expect("sent while an earlier attempt has no outcome");
                let may_still_run = matches!(
                    ended.kind,
                    OutcomeKind::Timeout | OutcomeKind::Reset | OutcomeKind::Cancelled
                );
                let cooled_down = ended.at + self.settings.invariants.key_cooldown;
                assert!(
                    !may_still_run || self.now() >= cooled_down,
                    "sent within the cooldown of its key"
                );
            }
        }
    }

    /// Invariant 7.
    fn check_retry_budget(&mut self, id: RequestId) {
        let Some(budget) = self.settings.invariants.retry_budget else {
            return;
        };
        if self.requests[&id].attempts.is_empty() {
            return;
        }
        let now = self.now();
        self.retries.push(Retry {
            at: now,
            request: id,
        });
        let recent = |at: Nanos| at + budget.window > now;
        let retries = self.retries.iter().filter(|retry| recent(retry.at)).count() as f64;
        let received = self.received_at.iter().filter(|at| recent(**at)).count() as f64;
        assert!(
            retries <= budget.allowance + budget.ratio * received,
            "{retries} retries for {received} requests received"
        );
    }

    /// Invariant 4, for this gateway's part; `tests/fleet` and `tests/slow_start.rs` add up all
    /// gateways.
    fn check_slow_start(&mut self, id: RequestId, endpoint: &Endpoint) {
        let now = self.now();
        let invariants = self.settings.invariants;
        let started_at = endpoint.started_at;
        if started_at == 0 || now >= started_at + invariants.slow_start_duration {
            return;
        }
        let class = usize::from(self.requests[&id].request.class.0);
        self.slow_start_work.push(SlowStartWork {
            at: now,
            engine: endpoint.id,
            work: WORK[class] as f64,
        });
        let since = started_at.max(now - invariants.overload_window);
        let in_window = |sent: &&SlowStartWork| sent.engine == endpoint.id && sent.at >= since;
        let recent = || self.slow_start_work.iter().filter(in_window);
        let count = recent().count();
        let sent = recent().fold(0.0, |sum, one| sum + one.work);
        let cores = self.settings.machine_types[usize::from(endpoint.machine_type.0)].cores;
        let age = (now - started_at) as f64 / invariants.slow_start_duration as f64;
        let window = invariants.overload_window as f64;
        let budget = 2.0 * cores * 0.85 * (0.3 + 0.7 * age) * window;
        // A gateway keeps to its part. Where that is less than one request it sends a whole one in
        // its time slot, and never more than the engine could take.
        let part = budget / f64::from(self.settings.gateways);
        assert!(
            sent <= part || (sent <= budget && (count == 1 || self.settings.gateways > 3)),
            "slow start exceeded: {sent} of {part} in {count} attempts"
        );
    }

    /// Ends an attempt, if it is running.
    fn end_attempt(&mut self, attempt: AttemptRef, kind: OutcomeKind) {
        let now = self.now();
        let AttemptRef { request: id, index } = attempt;
        let Some(observed) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(running) = observed
            .attempts
            .get_mut(index)
            .filter(|one| one.is_running())
        else {
            return;
        };
        running.ended = Some(EndedAttempt { kind, at: now });
        let engine = running.engine;
        let started_at = running.started_at;
        if kind == OutcomeKind::Ok && observed.finished_at.is_none() {
            observed.finished_at = Some(now);
            observed.responses += 1;
        }
        if kind == OutcomeKind::NeverSent {
            let never_sent = Retry {
                at: started_at,
                request: id,
            };
            self.retries.retain(|retry| *retry != never_sent);
        }
        let completed = kind == OutcomeKind::Ok;
        let work = WORK[usize::from(observed.request.class.0)];
        let outcome = Outcome {
            id,
            attempt: AttemptNo(index as u16),
            engine,
            kind,
            latency: now - started_at,
            request_finished: observed.finished_at.is_some(),
            work: completed.then_some(work),
            memory_mb: completed.then_some(50.0),
            load: LoadReport::default(),
        };
        self.handle(Event::Outcome(outcome));
    }

    fn running_attempts(&self) -> Vec<AttemptRef> {
        let mut running = Vec::new();
        for (id, observed) in &self.requests {
            for (index, attempt) in observed.attempts.iter().enumerate() {
                if attempt.is_running() {
                    running.push(AttemptRef {
                        request: *id,
                        index,
                    });
                }
            }
        }
        running
    }

    fn is_cancelled(&self, attempt: AttemptRef) -> bool {
        self.requests[&attempt.request].attempts[attempt.index].cancelled
    }

    fn is_past_deadline(&self, attempt: AttemptRef) -> bool {
        self.now() >= self.requests[&attempt.request].request.deadline
    }

    /// Advances the clock, with the timers and the timeouts at deadlines on the way.
    fn advance(&mut self, span: Nanos) {
        let end = self.now() + span;
        while self.now() < end {
            self.harness.now += CLOCK_STEP;
            for attempt in self.running_attempts() {
                if self.is_cancelled(attempt) {
                    self.end_attempt(attempt, OutcomeKind::Cancelled);
                } else if self.is_past_deadline(attempt) {
                    self.end_attempt(attempt, OutcomeKind::Timeout);
                }
            }
            let due: Vec<Nanos> = self.timers.range(..=self.now()).copied().collect();
            for at in due {
                self.timers.remove(&at);
                self.handle(Event::TimerFired(SWEEP_TIMER));
            }
        }
    }

    /// The gateway is stalled for up to two seconds. Then it receives everything at once: first the
    /// timer, then the outcomes of the meantime.
    fn stall(&mut self) {
        let from = self.now();
        self.harness.now += (300 + self.below(1700)) * MILLISECOND;
        self.last_stall = Stall {
            from,
            until: self.now(),
        };
        self.timers.clear();
        self.handle(Event::TimerFired(SWEEP_TIMER));
        for attempt in self.running_attempts() {
            if self.is_cancelled(attempt) {
                self.end_attempt(attempt, OutcomeKind::Cancelled);
            } else if self.is_past_deadline(attempt) {
                self.end_attempt(attempt, OutcomeKind::Timeout);
            } else if self.below(2) == 0 {
                self.end_attempt(attempt, OutcomeKind::Ok);
            }
        }
    }

    /// One random event after a random time.
    fn step(&mut self) {
        let span = [0, 5, 20, 60, 200][self.below(5) as usize] * MILLISECOND;
        self.advance(span);
        let running = self.running_attempts();
        match self.below(20) {
            0..=8 => self.receive_request(),
            9..=14 if !running.is_empty() => {
                let attempt = running[self.below(running.len() as u64) as usize];
                self.end_randomly(attempt);
            }
            15 if !running.is_empty() => {
                let attempt = running[self.below(running.len() as u64) as usize];
                self.report_progress(attempt);
            }
            16 => self.disconnect_client(),
            17 => self.change_endpoint(),
            18 if self.below(4) == 0 => self.stall(),
            18 if self.below(3) == 0 => self.replace_half_the_engines(),
            18 => self.replace_endpoint_list(),
            _ => {
                let from = 1 + self.below(3) as u32;
                let data = vec![1];
                self.handle(Event::PeerMessage { from, data });
            }
        }
    }

    fn receive_request(&mut self) {
        let now = self.now();
        self.next_request += 1;
        let class = self.below(4) as u16;
        let (work, deadline) = (WORK[usize::from(class)], DEADLINE[usize::from(class)]);
        // A sixth of the clients come with little time left.
        let percent_left = [80, 90, 100, 90, 100, 15][self.below(6) as usize];
        let deadline = deadline * percent_left / 100;
        let mut request = request(self.next_request, class, now, deadline, work);
        let key = OrderKey(1 + self.below(3));
        request.key = (class == LOAD).then_some(key);
        request.data_set = self.below(6);
        if let Some(key) = request.key {
            self.arrival_order.entry(key).or_default().push(request.id);
        }
        self.received_at.push(now);
        let observed = ObservedRequest {
            request,
            attempts: Vec::new(),
            finished_at: None,
            responses: 0,
        };
        self.requests.insert(request.id, observed);
        self.handle(Event::Request(request));
    }

    fn end_randomly(&mut self, attempt: AttemptRef) {
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
        self.end_attempt(attempt, kind);
    }

    fn report_progress(&mut self, attempt: AttemptRef) {
        let fraction = self.below(100) as f64 / 100.0;
        let updates = [
            ProgressUpdate::Progress(fraction),
            ProgressUpdate::WaitsForLoad,
            ProgressUpdate::WaitsForMemory,
            ProgressUpdate::Spill(80.0),
        ];
        let update = updates[self.below(4) as usize];
        self.handle(Event::Progress {
            id: attempt.request,
            attempt: AttemptNo(attempt.index as u16),
            update,
        });
    }

    /// The client of the oldest unfinished request disconnects.
    fn disconnect_client(&mut self) {
        let now = self.now();
        let unfinished =
            |(_, observed): &(&RequestId, &mut ObservedRequest)| observed.finished_at.is_none();
        let Some((id, observed)) = self.requests.iter_mut().find(unfinished) else {
            return;
        };
        let id = *id;
        observed.finished_at = Some(now);
        observed.responses = 1;
        self.handle(Event::ClientDisconnected(id));
    }

    fn started_at(&self, id: u64) -> Nanos {
        let known = self.endpoints.get(&EngineId(id));
        known.map_or(0, |endpoint| endpoint.started_at)
    }

    /// One engine changes its state, and may have restarted.
    fn change_endpoint(&mut self) {
        let id = 1 + self.below(6);
        let states = [Readiness::Ready, Readiness::Draining, Readiness::Removed];
        let readiness = states[self.below(3) as usize];
        let restarted = self.below(2) == 0;
        let started_at = if restarted {
            self.now()
        } else {
            self.started_at(id)
        };
        let entry = Endpoint {
            readiness,
            ..alternating_endpoint(id, started_at)
        };
        self.update_endpoints(EndpointListKind::Changes, vec![entry]);
    }

    /// Half the engines drain at once, and are replaced by new ones in slow start.
    fn replace_half_the_engines(&mut self) {
        let now = self.now();
        let draining = |id: u64| Endpoint {
            readiness: Readiness::Draining,
            ..alternating_endpoint(id, 0)
        };
        let replacement = |id: u64| alternating_endpoint(id + 3, now);
        let entries = (1..=3).map(draining).chain((1..=3).map(replacement));
        self.update_endpoints(EndpointListKind::Changes, entries.collect());
    }

    /// A complete list of the first few engines.
    fn replace_endpoint_list(&mut self) {
        let count = self.below(6);
        let entries = (1..=count)
            .map(|id| alternating_endpoint(id, self.started_at(id)))
            .collect();
        self.update_endpoints(EndpointListKind::Full, entries);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(20_250_101), ..ProptestConfig::default() })]
    #[test]
    fn the_seven_invariants_hold_under_random_legal_events(seed in any::<u64>()) {
        let mut checker = InvariantChecker::new(seed);

        for _ in 0..400 {
            checker.step();
        }
        checker.advance(21 * SECOND);

        for (id, observed) in &checker.requests {
            prop_assert_eq!(observed.responses, 1, "{:?} of class {:?}", id, observed.request.class);
        }
        prop_assert!(checker.next_request > 50);
    }
}
