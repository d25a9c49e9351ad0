//! Simulates clients, engines, the endpoint list and the clock with random legal events.
use crate::checker::InvariantChecker;
use crate::common::*;
use crate::observed::*;
use rand_core::Rng;
use rand_pcg::Pcg32;
use yokelift::policy::api::*;

/// Time for which a client waits, by class.
const DEADLINE: [Nanos; 4] = [6 * SECOND, 15 * SECOND, 20 * SECOND, 6 * SECOND];
/// Step by which the simulated clock advances.
const CLOCK_STEP: Nanos = 5 * MILLISECOND;

/// Settings in which random options that an operator may disable or omit are disabled or omitted.
pub(crate) fn random_settings(rng: &mut Pcg32) -> Settings {
    let mut settings = test_settings();
    settings.limits.may_message_peers = rng.next_u32().is_multiple_of(2);
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
    let mut one_in = |count: u32| rng.next_u32().is_multiple_of(count);
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

/// An endpoint whose machine type alternates with its id.
pub(crate) fn alternating_endpoint(id: u64, started_at: Nanos) -> Endpoint {
    endpoint(id, (id % 2) as u16, started_at)
}

impl InvariantChecker {
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

    /// Advances the clock, fires the timers that become due, confirms cancellations, and ends
    /// attempts at their deadline.
    pub(crate) fn advance(&mut self, duration: Nanos) {
        let end = self.now() + duration;
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
                self.handle(Event::TimerFired(TICK_TIMER));
            }
        }
    }

    /// Stalls the gateway for up to two seconds. After that it receives all events at once: first
    /// the timer, then the outcomes of the attempts that ended during the stall.
    fn stall(&mut self) {
        let from = self.now();
        self.harness.now += (300 + self.below(1700)) * MILLISECOND;
        self.last_stall = Stall {
            from,
            until: self.now(),
        };
        self.timers.clear();
        self.handle(Event::TimerFired(TICK_TIMER));
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

    /// Advances the clock by a random time, and passes one random event to the gateway.
    pub(crate) fn step(&mut self) {
        let duration = [0, 5, 20, 60, 200][self.below(5) as usize] * MILLISECOND;
        self.advance(duration);
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
        // One in six clients sends its request with little time left.
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

    /// Disconnects the client of the oldest unfinished request.
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

    /// Changes the readiness of one engine, which may also have restarted.
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

    /// Drains half of the engines at the same time, and replaces them by new ones in slow start.
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

    /// Sends a complete endpoint list that contains the first few engines.
    fn replace_endpoint_list(&mut self) {
        let count = self.below(6);
        let entries = (1..=count)
            .map(|id| alternating_endpoint(id, self.started_at(id)))
            .collect();
        self.update_endpoints(EndpointListKind::Full, entries);
    }
}
