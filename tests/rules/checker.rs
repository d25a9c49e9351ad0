//! Checks each action against the seven invariants, using only events and actions.
use crate::common::*;
use crate::environment::{alternating_endpoint, random_settings};
use crate::observed::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

/// The decision module with its simulated environment, and what was observed of it.
pub(crate) struct InvariantChecker {
    pub(crate) settings: Settings,
    pub(crate) harness: GatewayHarness,
    pub(crate) rng: Pcg32,
    pub(crate) requests: BTreeMap<RequestId, ObservedRequest>,
    pub(crate) endpoints: BTreeMap<EngineId, Endpoint>,
    pub(crate) arrival_order: BTreeMap<OrderKey, Vec<RequestId>>,
    pub(crate) received_at: Vec<Nanos>,
    pub(crate) retries: Vec<Retry>,
    pub(crate) slow_start_work: Vec<SlowStartWork>,
    pub(crate) timers: BTreeSet<Nanos>,
    pub(crate) last_stall: Stall,
    pub(crate) next_request: u32,
}

impl InvariantChecker {
    pub(crate) fn new(seed: u64) -> InvariantChecker {
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

    pub(crate) fn now(&self) -> Nanos {
        self.harness.now
    }

    /// A random number below `limit`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        u64::from(self.rng.next_u32()) % limit
    }

    pub(crate) fn class(&self, request: &Request) -> &ClassSpec {
        &self.settings.classes[usize::from(request.class.0)]
    }

    pub(crate) fn update_endpoints(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
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

    pub(crate) fn handle(&mut self, event: Event) {
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
                assert!(may_probe, "probed although the settings do not allow it");
            }
            Action::Cancel { id, attempt } => self.check_cancellation(*id, *attempt),
            Action::Send { id, engine, .. } => self.check_attempt(*id, *engine),
            _ => {}
        }
    }

    /// Invariant 1: exactly one final response, in time.
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

    /// Invariant 2: a rejection guarantees that a retry is harmless.
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
        assert!(
            may_cancel,
            "cancelled although the settings do not allow it"
        );
        let observed = self.requests.get_mut(&id).expect("unknown request");
        observed.attempts[usize::from(attempt.0)].cancelled = true;
    }

    fn check_attempt(&mut self, id: RequestId, engine: EngineId) {
        let endpoint = self.endpoints[&engine];
        assert_eq!(
            endpoint.readiness,
            Readiness::Ready,
            "invariant 3: sent to an engine that is draining or was removed"
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

    /// Invariant 1, and the limits on the number of attempts.
    fn check_attempt_limits(&self, id: RequestId, engine: EngineId) {
        let observed = &self.requests[&id];
        assert!(
            observed.finished_at.is_none() && self.now() < observed.request.deadline,
            "sent after the final response or the deadline"
        );
        let running = || observed.attempts.iter().filter(|one| one.is_running());
        assert!(
            !running().any(|attempt| attempt.engine == engine),
            "hedged at the engine of the first attempt"
        );
        let running_count = running().count();
        assert!(
            running_count <= usize::from(self.settings.limits.hedging),
            "{} attempts in flight at the same time",
            running_count + 1
        );
        assert!(
            observed.attempts.len() < self.settings.limits.max_attempts as usize,
            "too many attempts"
        );
    }

    /// Invariant 6: only machine types that the class allows.
    fn check_placement(&self, id: RequestId, endpoint: &Endpoint) {
        let class = self.class(&self.requests[&id].request);
        assert!(
            class
                .allowed_machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&endpoint.machine_type)),
            "sent to a machine type that the class does not allow"
        );
    }

    /// Invariant 2: no repetition that could cause a second effect.
    fn check_idempotency(&self, id: RequestId, endpoint: &Endpoint) {
        let observed = &self.requests[&id];
        let first_run = observed.attempts.iter().find(|one| one.may_have_run());
        match (self.class(&observed.request).idempotency, first_run) {
            (Idempotency::NonIdempotent, first_run) => {
                assert!(first_run.is_none(), "non-idempotent request repeated");
            }
            (Idempotency::WithKey { window, .. }, Some(first)) => {
                let cell = self.endpoints[&first.engine].cell;
                assert_eq!(cell, endpoint.cell, "repeated in another cell");
                assert!(
                    self.now() < first.started_at + window,
                    "repeated after the window"
                );
            }
            _ => {}
        }
    }

    /// Invariant 5: requests of a serial class with the same key run one after another, in the
    /// order of their arrival.
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

    /// Invariant 7: retries stay within the retry budget.
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

    /// Invariant 4: work sent to an engine in slow start stays within the limit of this gateway.
    /// `tests/fleet` and `tests/slow_start.rs` check the sum over all gateways.
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
        // A gateway stays within its part of the budget. If the part is less than one request, the
        // gateway sends a whole request in its turn, but never exceeds the budget of the engine.
        let part = budget / f64::from(self.settings.gateways);
        assert!(
            sent <= part || (sent <= budget && (count == 1 || self.settings.gateways > 3)),
            "slow start exceeded: {sent} of {part} in {count} attempts"
        );
    }
}
