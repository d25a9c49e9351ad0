//! A request from its arrival to its final response.
use super::Gateway;
use super::state::may_reject;
use super::state::request::{Attempt, PendingRequest, PossibleExecution, is_placement_allowed};
use super::state::units::{nanos, seconds};
use super::tuning::TICK_INTERVAL;
use crate::policy::api::{
    Action, EngineId, Nanos, Outcome, OutcomeKind, RejectionReason, Request, RequestId,
};
use rand_core::Rng;

/// Minimum factor on the Retry-After of a rejection. The factor is drawn from a range of width 1,
/// so that clients do not all retry at once.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.5;

impl Gateway {
    pub(super) fn on_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let is_class_known = usize::from(request.class.0) < self.settings.classes.len();
        if !is_class_known || self.requests.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        self.retries.record_arrival(now);
        let over_quota =
            self.tenant_quotas
                .charge(now, request.tenant, self.active_gateways, request.is_retry);
        let pending = PendingRequest {
            request,
            arrived_at: now,
            over_quota,
            max_attempts: self.settings.limits.max_attempts,
            ..PendingRequest::default()
        };
        if let (true, Some(key)) = (self.class(&pending).serial_per_key, request.key) {
            self.ordered_queues.push(key, id);
        }
        self.cancel_budget.record_request();
        self.record_arrival(&pending);
        let outlives_process = self.outlives_process(now, &pending);
        self.requests.insert(id, pending);
        if outlives_process {
            self.reject_or_fail(id, TICK_INTERVAL, RejectionReason::ProcessStops, actions);
            return;
        }
        self.probe_candidates(now, id, actions);
        match self.select_engine(now, id) {
            Some(engine) => self.dispatch(now, id, engine, actions),
            None => self.enqueue(now, id),
        }
    }

    /// Counts an arrival for the control law (Ti): once, at the candidate with the most free
    /// capacity.
    fn record_arrival(&mut self, request: &PendingRequest) {
        let candidates = self.candidates();
        let class = self.class(request);
        let mut best: Option<(EngineId, f64)> = None;
        for id in candidates {
            let Some(engine) = self.engines.get(&id) else {
                continue;
            };
            if !is_placement_allowed(class, &engine.endpoint) {
                continue;
            }
            let free = engine.limit / self.active_gateways - engine.running.threads;
            if best.is_none_or(|(_, most)| free.total_cmp(&most).is_ge()) {
                best = Some((id, free));
            }
        }
        if let Some(engine) = best.and_then(|(id, _)| self.engines.get_mut(&id)) {
            engine.window.arrived += 1.0;
        }
    }

    /// Handles the disconnect of a client: cancels the attempts of its request.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.finished = true;
        self.cancel_all_attempts(id, actions);
        self.remove_if_finished(id);
    }

    /// Handles the end of an attempt.
    pub(super) fn on_outcome(&mut self, now: Nanos, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&outcome.id) else {
            return;
        };
        let Some(attempt) = pending.take_attempt(outcome.attempt) else {
            return;
        };
        pending.finished |= outcome.request_finished;
        if may_have_run(outcome.kind) {
            pending.record_possible_execution(PossibleExecution {
                engine: outcome.engine,
                sent_at: attempt.sent_at,
            });
        }
        let request = pending.request;
        self.record_running(now, attempt.engine, attempt.running, -1.0);
        if !self.engines.contains_key(&attempt.engine) {
            return;
        }
        self.release_attempt(&request, &attempt);
        if outcome.kind == OutcomeKind::Ok {
            self.record_completion(now, &request, outcome, &attempt);
        }
        self.record_load_report(now, attempt.engine, &outcome.load);
        self.record_engine_outcome(now, outcome, &attempt);
        if let Some(key) = request.key.filter(|_| may_still_run(outcome.kind)) {
            let cooldown = self.settings.invariants.key_cooldown;
            let until = now + cooldown + self.settings.batch_interval;
            self.ordered_queues.start_cooldown(key, until);
        }
        self.retry_or_finish(now, outcome.id, actions);
        self.dispatch_queued(now, actions);
    }

    /// Removes an ended attempt from the estimated load of its engine.
    fn release_attempt(&mut self, request: &Request, attempt: &Attempt) {
        let class = &self.settings.classes[usize::from(request.class.0)];
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        let report = engine.report;
        let is_in_report = report.is_some_and(|report| report.at > attempt.sent_at);
        if !is_in_report {
            engine.subtract_sent_threads(attempt.running.threads);
        }
        if class.loads_data_set {
            engine.finish_load(request.data_set);
        }
    }

    /// Records a successful attempt.
    fn record_completion(
        &mut self,
        now: Nanos,
        request: &Request,
        outcome: &Outcome,
        attempt: &Attempt,
    ) {
        let is_retry = outcome.attempt.0 > 0;
        if is_retry {
            self.cancel_budget.refund();
        }
        // A latency measured across a stall of this gateway is no evidence about the engine.
        let has_stalled = self.resumed_at == now;
        if !has_stalled {
            self.learn_from_response(request, outcome, attempt);
        }
    }

    /// After the end of an attempt, queues the request for a retry or finishes it.
    fn retry_or_finish(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.finished {
            // The request has its final response, so a hedged attempt is no longer needed.
            self.cancel_all_attempts(id, actions);
            self.remove_if_finished(id);
            return;
        }
        if !request.attempts.is_empty() {
            return;
        }
        match self.retry_rejection_reason(now, request) {
            None => self.enqueue(now, id),
            Some(reason) => self.reject_or_fail(id, TICK_INTERVAL, reason, actions),
        }
    }

    /// The reason for which the request gets no further attempt; `None` if it may get one.
    fn retry_rejection_reason(
        &self,
        now: Nanos,
        request: &PendingRequest,
    ) -> Option<RejectionReason> {
        let has_time = now + nanos(self.unloaded_seconds(request)) < self.latest_end(request);
        if !has_time {
            Some(RejectionReason::NoTimeToRetry)
        } else if !self.idempotency_allows(now, request, None) {
            Some(RejectionReason::RetryNotAllowed)
        } else if !request.may_start_attempt() {
            Some(RejectionReason::AttemptsExhausted)
        } else {
            None
        }
    }

    /// Finishes a request that will not complete: with a rejection where a retry by the client is
    /// harmless, otherwise with a failure. The Retry-After of a rejection is derived from
    /// `retry_after`, or from the backlog if that is longer.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after: Nanos,
        reason: RejectionReason,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.requests.get(&id);
        let Some(request) = pending.filter(|request| !request.finished) else {
            return;
        };
        let may_have_run = request.earliest_execution().is_some();
        let may_reject = may_reject(
            self.idempotency(request),
            may_have_run,
            self.engines_use_keys,
        );
        let tenant = request.request.tenant;
        let over_quota = request.over_quota;
        let is_retry = request.request.is_retry;
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
        if may_reject {
            let took_quota_token = !over_quota && !is_retry;
            if took_quota_token {
                self.tenant_quotas.refund(tenant);
            }
            let retry_after = self.spread_retry_after(retry_after);
            actions.push(Action::Reject {
                id,
                retry_after,
                reason,
            });
        } else {
            actions.push(Action::Fail { id });
        }
        self.remove_if_finished(id);
    }

    /// The longer of `retry_after` and the backlog, spread at random, and limited to the longest
    /// wait that clients honor.
    fn spread_retry_after(&mut self, retry_after: Nanos) -> Nanos {
        let draw = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let factor = MIN_RETRY_AFTER_FACTOR + draw;
        let wait = seconds(retry_after).max(self.queue.backlog_seconds()) * factor;
        nanos(wait).min(self.settings.limits.max_retry_after)
    }

    /// Removes a request that is finished and has no attempt in flight. The next request of its
    /// order key may then start.
    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.finished || !request.attempts.is_empty() {
            return;
        }
        if let Some(key) = request.key() {
            self.ordered_queues.remove(key, id);
        }
        self.requests.remove(&id);
    }
}

/// Whether an engine may have executed an attempt with this outcome.
fn may_have_run(kind: OutcomeKind) -> bool {
    !matches!(
        kind,
        OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
    )
}

/// Whether an engine may still be executing an attempt with this outcome.
fn may_still_run(kind: OutcomeKind) -> bool {
    matches!(
        kind,
        OutcomeKind::Timeout | OutcomeKind::Reset | OutcomeKind::Cancelled
    )
}

#[cfg(test)]
#[path = "../../tests/unit/request_lifecycle.rs"]
mod tests;
