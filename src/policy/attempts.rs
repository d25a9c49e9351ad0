//! Requests and their attempts: taken, sent, ended, answered.
use super::*;

// Cancels per query taken: engines slow as a whole must cause no storm.
const CANCEL_SHARE: f64 = 0.1;
const QUOTA_BURST: f64 = 2.0; // Bursts within a tenant's quota, seconds of its rate...

impl Gateway {
    pub(super) fn on_request(&mut self, now: Nanos, ask: Request, acts: &mut Vec<Action>) {
        if usize::from(ask.class.0) >= self.settings.classes.len()
            || self.requests.contains_key(&ask.id)
        {
            return;
        }
        self.taken.push_back(now);
        let mut over_share = false;
        if let Some(t) = self
            .tenants
            .get_mut(usize::from(ask.tenant.0))
            .filter(|t| t.quota > 0.0)
        {
            let rate = t.quota / self.active_gateways;
            let filled = t.tokens + rate * secs(now.saturating_sub(t.filled_at));
            (t.tokens, t.filled_at) = (filled.min((rate * QUOTA_BURST).max(QUOTA_LEAST)), now);
            // A query that comes again was counted at its first try.
            over_share = t.tokens < 1.0 && !ask.is_retry;
            t.tokens -= if over_share || ask.is_retry { 0.0 } else { 1.0 };
        }
        let most_sends = self.settings.limits.max_attempts;
        let r = PendingRequest {
            request: ask,
            arrived_at: now,
            over_quota: over_share,
            max_attempts: most_sends,
            ..PendingRequest::default()
        };
        if let (true, Some(key)) = (self.class(&r).serial_per_key, ask.key) {
            self.keys.entry(key).or_default().line.push_back(ask.id);
        }
        self.cancels = (self.cancels + CANCEL_SHARE).min(CANCEL_SPARE);
        // Ti counts a query once, for the engine where it would fit best.
        let some = self.candidates();
        let fits = some
            .iter()
            .filter_map(|id| self.engines.get(id))
            .filter(|e| placed(self.class(&r), &e.endpoint));
        let room = |e: &Engine| e.bound / self.active_gateways - e.running.threads;
        let best = fits
            .max_by(|a, b| room(a).total_cmp(&room(b)))
            .map(|e| e.endpoint.id);
        if let Some(e) = best.and_then(|id| self.engines.get_mut(&id)) {
            e.window.wanted += 1.0;
        }
        self.requests.insert(ask.id, r);
        self.probe(now, ask.id, acts);
        match self.choose(now, ask.id) {
            Some(engine) => self.send(now, ask.id, engine, acts),
            None => self.hold(now, ask.id),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        engine: EngineId,
        acts: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (alone, threads, long) = (self.alone(r), self.threads(r), self.is_long(r));
        let (weight, is_load, group) = (
            self.cold_weight(r),
            self.class(r).loads_data_set,
            r.request.data_set,
        );
        let small = self.work(r) < self.learned(r).work;
        let hopeless = r.over_quota || now + nanos(alone) > self.aim_end(r);
        self.extras.extend((r.attempts_started > 0).then_some(now));
        let thin = self
            .engines
            .get(&engine)
            .is_some_and(|e| self.thin(e, threads));
        let told = self.engines.get(&engine).map_or(0.0, |e| self.load(now, e));
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        let load = if thin {
            told
        } else {
            e.running.threads * self.active_gateways
        };
        let crowd = (if load.is_finite() { load } else { 0.0 } + threads) / e.cores;
        let running = Running {
            queries: 1.0,
            threads,
            short: if long { 0.0 } else { threads },
        };
        // What engines hold is what was sent, not asked: else counts of short ones pass for long
        // ones.
        let before = self.fleet.mix;
        self.fleet.mix.add(before, -LEARN);
        self.fleet.mix.add(running, alone);
        e.threads_sent_since_report += threads;
        e.last_sent_at = now;
        if e.warmth(now, &self.settings.invariants) < 1.0 {
            e.count_cold(now, &self.settings.invariants, weight);
        }
        self.fleet.note_send(engine);
        if is_load {
            *e.loading_data_sets.entry(group).or_default() += 1;
        }
        e.circuit = if e.circuit == CircuitState::HalfOpen(None) {
            CircuitState::HalfOpen(Some(id))
        } else {
            e.circuit
        };
        let expected = alone * e.slowdown.max(1.0);
        self.carry(now, engine, running, 1.0);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = AttemptNo(r.attempts_started as u16);
        let times = Attempt {
            sent: now,
            life_at: now,
            alone,
            expected,
            ..Attempt::default()
        };
        r.attempts.push(Attempt {
            attempt,
            engine,
            running,
            crowd,
            ..times
        });
        r.attempts_started += 1;
        r.tried_engines.insert(engine);
        if self.settings.priorities_supported {
            // Of long ones those under the usual size first: their aims are the nearest.
            let priority = if hopeless {
                0
            } else if long {
                u8::from(small)
            } else {
                3
            };
            acts.push(Action::SetAttemptOptions {
                id,
                priority,
                memory_mb: 0.0,
            });
        }
        acts.push(Action::Send {
            id,
            engine,
            timeout: 0,
        });
    }

    /// The final answer of a request that will not be served: refused where that is honest, else
    /// failed.
    pub(super) fn give_up(&mut self, id: RequestId, come_back: Nanos, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.finished) else {
            return;
        };
        let honest = may_refuse(self.effect(r), r.first().is_some());
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.finished = true;
        if honest {
            // It will come again, and count again: retries must not use up a tenant's share.
            if let Some(t) = self
                .tenants
                .get_mut(usize::from(r.request.tenant.0))
                .filter(|_| !r.over_quota)
            {
                t.tokens += 1.0;
            }
            let limit = self.settings.limits.max_retry_after;
            // After what waits now, and spread, lest all come back at once.
            let spread = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            let wait = secs(come_back).max(self.fleet.backlog) * spread;
            acts.push(Action::Reject {
                id,
                retry_after: nanos(wait).min(limit),
            });
        } else {
            acts.push(Action::Fail { id });
        }
        self.forget(id);
    }

    pub(super) fn on_gone(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.finished = true;
        self.withdraw_all(id, acts);
        self.forget(id);
    }

    pub(super) fn on_outcome(&mut self, now: Nanos, o: &Outcome, acts: &mut Vec<Action>) {
        let id = o.id;
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = r.take_out(o.attempt) else {
            return;
        };
        r.finished |= o.request_finished;
        let never_ran = matches!(
            o.kind,
            OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
        );
        // The first that was sent, whichever ended first: its key is known from then on.
        let ran = (!never_ran).then_some((o.engine, out.sent));
        r.ran_on = r
            .ran_on
            .into_iter()
            .chain(ran)
            .min_by_key(|(_, sent)| *sent);
        let (ask, is_load) = (
            r.request,
            self.settings.classes[usize::from(r.request.class.0)].loads_data_set,
        );
        self.carry(now, out.engine, out.running, -1.0);
        let Some(e) = self.engines.get_mut(&out.engine) else {
            return;
        };
        if e.report.is_none_or(|(at, _)| at <= out.sent) {
            e.threads_sent_since_report =
                (e.threads_sent_since_report - out.running.threads).max(0.0);
        }
        if is_load {
            *e.loading_data_sets.entry(ask.data_set).or_insert(1) -= 1;
            e.loading_data_sets.retain(|_, n| *n > 0);
        }
        // What paid off gives its cancel back: losses do not use up the stock, slow engines do.
        if o.kind == OutcomeKind::Ok && o.attempt.0 > 0 {
            self.cancels = (self.cancels + 1.0).min(CANCEL_SPARE);
        }
        // What came while this gateway stood still is as old as that: it tells nothing of engines.
        if o.kind == OutcomeKind::Ok && self.resumed_at != now {
            self.learn(&ask, o, &out);
        }
        self.on_report(now, out.engine, &o.load);
        self.judge(now, o, &out);
        if let Some(k) = ask.key.and_then(|k| self.keys.get_mut(&k))
            && matches!(
                o.kind,
                OutcomeKind::Timeout | OutcomeKind::Reset | OutcomeKind::Cancelled
            )
        {
            k.rest_until =
                now + self.settings.invariants.key_cooldown + self.settings.batch_interval;
        }
        self.again_or_end(now, id, acts);
        self.pump(now, acts);
    }

    /// After an attempt without success: hold for another one, or end the request now.
    fn again_or_end(&mut self, now: Nanos, id: RequestId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        if r.finished {
            // Answered: the copy beside it runs for nobody.
            self.withdraw_all(id, acts);
            return self.forget(id);
        }
        if !r.attempts.is_empty() {
            return;
        }
        let time_left = now + nanos(self.alone(r)) < r.request.deadline;
        if time_left
            && self.effect_allows(now, r, None)
            && r.attempts_started < r.max_attempts.max(1)
        {
            self.hold(now, id);
        } else {
            self.give_up(id, SWEEP_EVERY, acts);
        }
    }
}
