//! Attempts withdrawn to be sent anew: bad plans, queries that stand still, and what got lost.
use super::*;

const SILENT_TIMES: f64 = 3.0; // Silence: attempts this many times past their expected time...
// ...and this old, with no sign of life of the engine since.
const SILENT_LEAST: Nanos = 1_200_000_000;
// An attempt is lost without so many notes that were due: it runs no more.
const SILENT_NOTES: f64 = 1.5;
// A query is taken to stand still for a load no sooner than this...
const STANDS_LEAST: Nanos = 200_000_000;
// ...and others on its data there to do so for so long after it was seen.
const STANDS: Nanos = 500_000_000;
const SILENT_COUNT: usize = 2; // How many such attempts make an engine silent.
// Where much room is free it is sent anew after so many expected times.
const TAIL_LEAST: f64 = 1.5;
const BAD_PLAN: f64 = 1.5; // A plan is bad if its progress points to this many times the tail.

impl Gateway {
    /// Whether withdrawing its attempt could be followed by another.
    fn may_try_again(&self, now: Nanos, r: &PendingRequest) -> bool {
        let again =
            self.settings.limits.may_cancel && !r.finished && self.effect_allows(now, r, None);
        again && r.attempts_started < r.max_attempts && self.budget_allows(now)
    }

    /// Withdraws its attempt to try anew, if that can still be in time and the stock of cancels
    /// allows.
    fn try_anew(&mut self, now: Nanos, id: RequestId, attempt: AttemptNo, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let in_time = now + nanos(self.alone(r)) < self.useful_end(r);
        if self.cancels >= 1.0 && in_time && self.may_try_again(now, r) {
            // While much room is free the first runs on beside its copy. What is keyed is never
            // given up.
            let beside = self.settings.limits.hedging && self.idle();
            if beside || self.effect(r) != Idempotency::Idempotent {
                if let Some(engine) = self.choose(now, id).filter(|_| beside) {
                    self.cancels -= 1.0;
                    self.send(now, id, engine, acts);
                }
                return;
            }
            self.cancels -= 1.0;
            self.withdraw(id, attempt, acts);
        }
    }

    /// Room enough for what runs twice.
    fn idle(&self) -> bool {
        self.fleet.mean.threads <= USUAL_BUSY * self.fleet.bound / self.active_gateways
    }

    pub(super) fn withdraw_all(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let all: Vec<AttemptNo> = r.attempts.iter().map(|o| o.attempt).collect();
        all.into_iter()
            .for_each(|attempt| self.withdraw(id, attempt, acts));
    }

    fn withdraw(&mut self, id: RequestId, attempt: AttemptNo, acts: &mut Vec<Action>) {
        let may = self.settings.limits.may_cancel;
        let Some(r) = self.requests.get_mut(&id).filter(|_| may) else {
            return;
        };
        let Some(o) = r.out(attempt).filter(|o| !o.cancelling) else {
            return;
        };
        o.cancelling = true;
        r.cancellations += 1;
        acts.push(Action::Cancel { id, attempt });
    }

    /// Progress shows a bad plan early: cancel and try elsewhere, if that can still be in time.
    pub(super) fn on_note(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: AttemptNo,
        note: ProgressUpdate,
        acts: &mut Vec<Action>,
    ) {
        let Some(o) = self.requests.get_mut(&id).and_then(|r| r.out(attempt)) else {
            return;
        };
        o.life_at = now;
        let (engine, sent, cancelling, alone) = (o.engine, o.sent, o.cancelling, o.alone);
        let (group, due) = (
            self.requests[&id].request.data_set,
            2 * self.settings.progress_period,
        );
        // A query that stands still for a load on its data is not slow, nor is its engine: it goes
        // where the data is free, and others are kept off for a while. Harms where the load was
        // about to end.
        let stands = note == ProgressUpdate::WaitsForLoad;
        if let Some(e) = self.engines.get_mut(&engine) {
            e.last_activity_at = now;
            e.blocked_data_sets.retain(|_, until| *until > now);
            e.blocked_data_sets
                .extend(stands.then_some((group, now + due)));
        }
        if stands {
            return self.try_anew(now, id, attempt, acts);
        }
        let ProgressUpdate::Progress(share) = note else {
            return;
        };
        let share = share.min(1.0);
        let r = &self.requests[&id];
        let age = secs(now.saturating_sub(sent));
        let whole = age / share.max(1e-3);
        let stretch = self
            .engines
            .get(&engine)
            .map_or(1.0, |e| e.slowdown.max(1.0));
        let expected = self.alone(r) * stretch;
        let may = !cancelling
            && self.cancels >= 1.0
            && self.class(r).idempotency == Idempotency::Idempotent
            && !r.finished;
        let in_time = now + nanos(expected) <= self.useful_end(r) && self.may_try_again(now, r);
        let bad = whole > BAD_PLAN * self.learned(r).tail * alone && whole - age > 2.0 * expected;
        let hopeless = now + nanos(DOUBT * (whole - age)) > r.request.deadline;
        if may && ((in_time && bad && r.cancellations < 2) || hopeless) {
            self.cancels -= 1.0;
            let again = in_time && bad && r.cancellations < 2;
            self.withdraw(id, attempt, acts);
            if !again {
                self.give_up(id, SWEEP_EVERY, acts);
            }
        }
    }

    /// Far past its time where others get on, a query most likely stands still for a load of
    /// another gateway: others on that data keep off, until one of them gets through or this one is
    /// over.
    fn find_standing(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let usual = SILENT_TIMES * self.fleet.median_stretch.max(1.0);
        let mut found = Vec::new();
        for r in self
            .requests
            .values()
            .filter(|r| self.class(r).blocked_by_loads)
        {
            for o in r.attempts.iter().filter(|o| !o.cancelling) {
                let late =
                    secs(now.saturating_sub(o.sent)) > (usual * o.alone).max(secs(STANDS_LEAST));
                if late
                    && self
                        .engines
                        .get(&o.engine)
                        .is_some_and(|e| e.last_activity_at > o.sent)
                {
                    found.push((r.request.id, o.attempt, r.request.data_set, o.engine));
                }
            }
        }
        for &(_, _, group, engine) in &found {
            if let Some(e) = self.engines.get_mut(&engine) {
                e.blocked_data_sets.insert(group, now + STANDS);
            }
        }
        for (id, attempt, _, _) in found {
            let r = &self.requests[&id];
            let free = |e: &Engine| {
                let usable = e.ready()
                    && e.circuit == CircuitState::Closed
                    && placed(self.class(r), &e.endpoint);
                usable && !self.stands(now, r, e) && self.has_room(now, r, e)
            };
            if self
                .fleet
                .ready
                .iter()
                .filter_map(|id| self.engines.get(id))
                .any(free)
            {
                self.try_anew(now, id, attempt, acts);
            }
        }
    }

    /// Answers get lost, links lose messages, engines swallow work: all look like an attempt past
    /// the tail of its class, or without the notes that were due. It holds no room any more, and a
    /// safe one is tried anew, from the stock of cancels, which gets back what paid off. Attempts
    /// far past their time with no sign of life of their engine since eject it. Harm: far
    /// underestimated queries run in vain.
    pub(super) fn find_silent(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        self.find_standing(now, acts);
        let due = nanos(SILENT_NOTES * secs(self.settings.progress_period));
        let noted = if due > 0 { due } else { Nanos::MAX / 2 };
        // What is sent anew runs twice: soon where much room is free, later where it takes that of
        // others.
        let least = if self.idle() { TAIL_LEAST } else { TAIL_FIRST };
        let lost = |(r, o): (&PendingRequest, &Attempt)| {
            // Where nothing can be cancelled the engine may well work on it for longer still.
            let times = if self.settings.limits.may_cancel {
                1.0
            } else {
                SILENT_TIMES
            };
            let tail = nanos(times * self.learned(r).tail.max(least) * o.alone).max(STALL);
            let limit = if o.life_at > o.sent {
                noted
            } else {
                tail.min(noted)
            };
            let age = now.saturating_sub(o.life_at);
            let silent = age
                > nanos(SILENT_TIMES * o.expected)
                    .min(2 * noted)
                    .max(SILENT_LEAST);
            (age > limit).then_some((r.request.id, o.attempt, o.engine, o.sent, silent))
        };
        let out = self
            .requests
            .values()
            .flat_map(|r| r.attempts.iter().map(move |o| (r, o)));
        let lost: Vec<_> = out
            .filter(|(_, o)| !o.cancelling)
            .filter_map(lost)
            .collect();
        for &(id, attempt, engine, sent, silent) in &lost {
            let count = lost
                .iter()
                .filter(|(_, _, e, _, silent)| *e == engine && *silent)
                .count();
            let may_eject = silent && count >= SILENT_COUNT && self.may_eject(engine);
            let Some(e) = self.engines.get_mut(&engine) else {
                continue;
            };
            e.unresponsive_at = if e.last_activity_at <= sent {
                now
            } else {
                e.unresponsive_at
            };
            match e.circuit {
                CircuitState::HalfOpen(Some(trial)) if trial == id && silent => {
                    e.eject(now, &mut self.fleet)
                }
                CircuitState::Closed if may_eject && e.last_activity_at <= sent => {
                    e.eject(now, &mut self.fleet)
                }
                CircuitState::Closed | CircuitState::HalfOpen(_) | CircuitState::Open(_) => {}
            }
            if let Some(o) = self.requests.get_mut(&id).and_then(|r| r.out(attempt)) {
                let ghost = std::mem::take(&mut o.running);
                e.threads_sent_since_report = if e.report.is_none() {
                    (e.threads_sent_since_report - ghost.threads).max(0.0)
                } else {
                    e.threads_sent_since_report
                };
                self.carry(now, engine, ghost, -1.0);
            }
            self.try_anew(now, id, attempt, acts);
        }
    }
}
