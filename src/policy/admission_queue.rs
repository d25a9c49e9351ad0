//! Requests that wait for capacity: their order, when they are sent, and when they are rejected.
use super::Gateway;
use super::state::admission_queue::QueuedRequest;
use super::state::class_estimates::latency_objective;
use super::state::request::PendingRequest;
use super::state::units::nanos;
use super::tuning::{MIN_TIME_LEFT_SHARE, SWEEP_INTERVAL, USUAL_UTILIZATION};
use crate::policy::api::{Action, Nanos, RejectionReason, RequestId};

/// Queued requests tried after one event: its cost must not grow with the queue.
const MAX_DISPATCH_TRIES: usize = 32;

/// Least advice of a rejection from the queue, in seconds.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.1;

/// Least weight of a late answer in the rank, so that late requests keep an order.
const MIN_LATE_WEIGHT: f64 = 0.01;

/// Least priority weight of a class in the rank.
const MIN_PRIORITY_WEIGHT: f64 = 1e-6;

/// Least work in the rank, in seconds.
const MIN_RANKED_WORK: f64 = 1e-3;

impl Gateway {
    /// Whether the request can still meet its latency objective, taken that it is smaller than the
    /// mean of its class, as most are.
    pub(super) fn can_meet_objective(&self, now: Nanos, request: &PendingRequest) -> bool {
        let work = MIN_TIME_LEFT_SHARE * self.expected_work(request);
        let slowdown = self.fleet.median_slowdown.max(1.0);
        let run_time = work / self.query_threads(request) * slowdown;
        let objective = latency_objective(self.class(request), work);
        now + nanos(run_time) <= request.arrived_at + nanos(objective)
    }

    /// Priority weight per second of work, less where the request is late or exceeds its tenant's
    /// quota.
    fn rank(&self, now: Nanos, request: &PendingRequest) -> f64 {
        let class = self.class(request);
        let quota_weight = if request.over_quota {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        let late_weight = if self.can_meet_objective(now, request) && !request.request.is_retry {
            1.0
        } else {
            class.late_priority_weight.max(MIN_LATE_WEIGHT)
        };
        let work = self.expected_work(request).max(MIN_RANKED_WORK);
        class.priority_weight.max(MIN_PRIORITY_WEIGHT) * quota_weight * late_weight / work
    }

    /// Adds a request that found no capacity.
    pub(super) fn enqueue(&mut self, now: Nanos, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.queue.push(QueuedRequest {
            rank: self.rank(now, request),
            id,
            class: request.class_id(),
        });
    }

    /// Sends queued requests that now have capacity, highest rank first. Where a first attempt of
    /// a class finds none, the next one of the class will not either; retries and requests in
    /// order say nothing of others.
    pub(super) fn dispatch_queued(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut class_is_full = vec![false; self.settings.classes.len()];
        let mut position = 0;
        let mut tries = 0;
        while tries < MAX_DISPATCH_TRIES && class_is_full.contains(&false) {
            let Some(&QueuedRequest { id, class, .. }) = self.queue.get(position) else {
                return;
            };
            let class = usize::from(class.0);
            let pending = self.requests.get(&id);
            let Some(request) = pending.filter(|request| request.is_waiting()) else {
                self.queue.remove(position);
                continue;
            };
            let is_plain = request.attempts_started == 0 && !self.class(request).serial_per_key;
            if is_plain && class_is_full[class] {
                position += 1;
                continue;
            }
            tries += 1;
            if let Some(engine) = self.select_engine(now, id) {
                self.queue.remove(position);
                self.send(now, id, engine, actions);
            } else {
                class_is_full[class] |= is_plain;
                position += 1;
            }
        }
    }

    /// Ranks the queued requests anew, and rejects those that the work ahead of them leaves no
    /// time. While this process stops, those too for which it has no engine: others may have one.
    pub(super) fn review_queue(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for entry in self.queue.take() {
            self.enqueue(now, entry.id);
        }
        self.queue.sort();
        // Seconds of work a second that this gateway's share of the fleet completes.
        let rate = self.fleet.cores * USUAL_UTILIZATION / self.active_gateways;
        let wait_for = |work: f64| if rate > 0.0 { work / rate } else { 0.0 };
        let deadline_margin = 2 * SWEEP_INTERVAL.max(self.settings.batch_interval);
        let mut work_ahead = 0.0;
        for entry in self.queue.take() {
            let pending = self.requests.get(&entry.id);
            let Some(request) = pending.filter(|request| request.is_waiting()) else {
                continue;
            };
            let wait = wait_for(work_ahead);
            let done_at = now + nanos(wait + self.unloaded_seconds(request));
            let is_too_late = rate > 0.0 && done_at > self.useful_until(request);
            let is_past_deadline = now + deadline_margin >= self.latest_end(request);
            let is_hopeless = rate <= 0.0 && self.is_stopping();
            let reason = if is_hopeless {
                Some(RejectionReason::NoEngineWhileStopping)
            } else if is_past_deadline {
                Some(RejectionReason::DeadlineNear)
            } else if is_too_late {
                Some(RejectionReason::BacklogTooLong)
            } else if !request.may_start_attempt() {
                Some(RejectionReason::AttemptsExhausted)
            } else {
                None
            };
            if let Some(reason) = reason {
                let retry_after = nanos(wait.max(MIN_RETRY_AFTER_SECONDS));
                self.reject_or_fail(entry.id, retry_after, reason, actions);
            } else {
                work_ahead += self.expected_work(request);
                self.queue.push(entry);
            }
        }
        self.queue.set_backlog_seconds(wait_for(work_ahead));
    }
}
