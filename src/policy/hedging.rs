//! Cancellation of attempts, and the retries or hedged attempts that replace them.
use super::Gateway;
use super::state::request::PendingRequest;
use super::state::units::{nanos, seconds};
use super::tuning::{MIN_TIME_LEFT_SHARE, TICK_INTERVAL, USUAL_UTILIZATION};
use crate::policy::api::{
    Action, AttemptNo, EngineId, Idempotency, Nanos, ProgressUpdate, RejectionReason, RequestId,
};

/// A query plan is bad if the run time extrapolated from its progress exceeds the tail of its class
/// by this factor.
const BAD_PLAN_RATIO: f64 = 1.5;

/// Multiple of the expected time that a bad plan must have left to be cancelled, as a retry takes
/// that time again.
const MIN_REMAINING_RATIO: f64 = 2.0;

/// Maximum number of cancellations of one request for bad plans: if a retry is as slow, the query
/// is larger than estimated.
const MAX_PLAN_CANCELLATIONS: u32 = 2;

/// Minimum progress from which a run time is extrapolated.
const MIN_PROGRESS: f64 = 1e-3;

/// How to proceed with an attempt, given its progress.
#[derive(Clone, Copy, PartialEq)]
enum PlanDecision {
    /// The attempt goes on: it may not be cancelled, or neither of the other decisions applies.
    Continue,
    /// The attempt is cancelled for a retry: its plan is bad, and a retry is permitted and expected
    /// to end in time.
    Retry,
    /// The request ends, and the attempt is cancelled if the settings permit it: the decision is
    /// not `Retry`, and the attempt would miss the deadline even if it took only
    /// [`MIN_TIME_LEFT_SHARE`] of the remaining time extrapolated from its progress. The plan need
    /// not be bad.
    Abandon,
}

impl Gateway {
    /// Handles an engine's report about a running attempt: its progress, a spill to disk, or that
    /// it waits for memory or for a load.
    pub(super) fn on_progress(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: AttemptNo,
        update: ProgressUpdate,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.attempt_mut(number)) else {
            return;
        };
        attempt.last_activity_at = now;
        let engine = attempt.engine;
        self.record_activity(now, engine);
        match update {
            ProgressUpdate::WaitsForLoad => {
                self.record_blocked_query(now, id, engine);
                self.cancel_and_retry(now, id, number, actions);
            }
            ProgressUpdate::Progress(progress) => {
                self.check_plan(now, id, number, progress.min(1.0), actions);
            }
            ProgressUpdate::Spill(_) | ProgressUpdate::WaitsForMemory => {}
        }
    }

    fn record_activity(&mut self, now: Nanos, id: EngineId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.last_activity_at = now;
            engine.blocked_data_sets.retain(|_, until| *until > now);
        }
    }

    /// Cancels an attempt whose progress indicates a bad plan.
    fn check_plan(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: AttemptNo,
        progress: f64,
        actions: &mut Vec<Action>,
    ) {
        let decision = self.evaluate_plan(now, id, number, progress);
        if decision == PlanDecision::Continue {
            return;
        }
        self.cancel_budget.spend();
        self.cancel(id, number, actions);
        if decision == PlanDecision::Abandon {
            self.reject_or_fail(id, TICK_INTERVAL, RejectionReason::PlanAbandoned, actions);
        }
    }

    fn evaluate_plan(
        &self,
        now: Nanos,
        id: RequestId,
        number: AttemptNo,
        progress: f64,
    ) -> PlanDecision {
        let Some(request) = self.requests.get(&id) else {
            return PlanDecision::Continue;
        };
        let mut attempts = request.attempts.iter();
        let Some(attempt) = attempts.find(|attempt| attempt.number == number) else {
            return PlanDecision::Continue;
        };
        let may_cancel = !attempt.cancelling
            && !request.finished
            && self.cancel_budget.is_available()
            && self.class(request).idempotency == Idempotency::Idempotent;
        if !may_cancel {
            return PlanDecision::Continue;
        }
        let age = seconds(now.saturating_sub(attempt.sent_at));
        let run_time = age / progress.max(MIN_PROGRESS);
        let remaining = run_time - age;
        let engine = self.engines.get(&attempt.engine);
        let slowdown = engine.map_or(1.0, |engine| engine.slowdown.max(1.0));
        let retry_time = self.unloaded_seconds(request) * slowdown;
        let tail = self.estimates(request).tail_factor * attempt.unloaded_seconds;
        let is_bad =
            run_time > BAD_PLAN_RATIO * tail && remaining > MIN_REMAINING_RATIO * retry_time;
        let can_retry_in_time = now + nanos(retry_time) <= self.useful_until(request)
            && request.cancellations < MAX_PLAN_CANCELLATIONS
            && self.may_cancel_and_retry(now, request);
        if is_bad && can_retry_in_time {
            return PlanDecision::Retry;
        }
        let earliest_end = now + nanos(MIN_TIME_LEFT_SHARE * remaining);
        if earliest_end > request.deadline() {
            PlanDecision::Abandon
        } else {
            PlanDecision::Continue
        }
    }

    /// Whether an attempt may be cancelled and another one may follow.
    fn may_cancel_and_retry(&self, now: Nanos, request: &PendingRequest) -> bool {
        self.settings.limits.may_cancel
            && !request.finished
            && self.idempotency_allows(now, request, None)
            && self.may_retry(now, request)
    }

    /// Replaces an attempt, if another one can still be in time and the budget of cancellations
    /// allows it: by a hedged attempt while capacity is free, otherwise by a retry after its
    /// cancellation. An attempt with an idempotency key is not cancelled for a retry.
    pub(super) fn cancel_and_retry(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: AttemptNo,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let retry_end = now + nanos(self.unloaded_seconds(request));
        let is_in_time = retry_end < self.useful_until(request);
        let has_budget = self.cancel_budget.is_available();
        if !has_budget || !is_in_time || !self.may_cancel_and_retry(now, request) {
            return;
        }
        let may_hedge = self.settings.limits.hedging && self.has_idle_capacity();
        if !may_hedge && self.idempotency(request) == Idempotency::Idempotent {
            self.cancel_budget.spend();
            self.cancel(id, number, actions);
            return;
        }
        // The selection draws random numbers, so it is made even where its result is not used.
        // Leaving it out would shift the random sequence, and so change all later decisions of a
        // run with the same seed, such as the recorded runs.
        let selected = self.select_engine(now, id);
        if let Some(engine) = selected.filter(|_| may_hedge) {
            self.cancel_budget.spend();
            self.dispatch(now, id, engine, actions);
        }
    }

    /// Whether this gateway's share of the fleet has idle capacity for hedged attempts.
    pub(super) fn has_idle_capacity(&self) -> bool {
        let usual = USUAL_UTILIZATION * self.fleet.limit / self.active_gateways;
        self.fleet.mean_running.threads <= usual
    }

    /// Cancels all attempts of the request that are in flight.
    pub(super) fn cancel_all_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let attempts = request.attempts.iter();
        let numbers: Vec<AttemptNo> = attempts.map(|attempt| attempt.number).collect();
        for number in numbers {
            self.cancel(id, number, actions);
        }
    }

    /// Cancels one attempt, if cancellation is permitted and not already requested.
    fn cancel(&mut self, id: RequestId, attempt: AttemptNo, actions: &mut Vec<Action>) {
        if !self.settings.limits.may_cancel {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = request.attempt_mut(attempt);
        let Some(in_flight) = in_flight.filter(|in_flight| !in_flight.cancelling) else {
            return;
        };
        in_flight.cancelling = true;
        request.cancellations += 1;
        actions.push(Action::Cancel { id, attempt });
    }
}
