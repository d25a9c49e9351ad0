//! Requests that wait for capacity: their order, when they are sent, and when they are rejected.
use super::Gateway;
use super::state::admission_queue::QueuedRequest;
use super::state::class_estimates::latency_objective;
use super::state::request::PendingRequest;
use super::state::units::nanos;
use super::tuning::{MIN_TIME_LEFT_SHARE, TICK_INTERVAL, USUAL_UTILIZATION};
use crate::policy::api::{Action, Nanos, RejectionReason, RequestId};

/// Queued requests checked after one event. The limit keeps the cost of an event independent of
/// the length of the queue.
const MAX_REQUESTS_CHECKED: usize = 32;

/// Minimum wait from which the Retry-After of a rejection from the queue is derived, in seconds.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.1;

/// Minimum weight of a late response in the rank, so that late requests stay ordered.
const MIN_LATE_WEIGHT: f64 = 0.01;

/// Minimum priority weight of a class in the rank.
const MIN_PRIORITY_WEIGHT: f64 = 1e-6;

/// Minimum work used in the rank, in seconds.
const MIN_RANKED_WORK: f64 = 1e-3;

impl Gateway {
    /// Whether the request can still meet its latency objective, assuming that it is smaller than
    /// the mean of its class, as most are.
    pub(super) fn can_meet_objective(&self, now: Nanos, request: &PendingRequest) -> bool {
        let work = MIN_TIME_LEFT_SHARE * self.expected_work(request);
        let slowdown = self.fleet.median_slowdown.max(1.0);
        let run_time = work / self.query_threads(request) * slowdown;
        let objective = latency_objective(self.class(request), work);
        now + nanos(run_time) <= request.arrived_at + nanos(objective)
    }

    /// Priority weight per second of work, reduced if the request is late, is a client's retry or
    /// exceeds its tenant's quota.
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

    /// Queues a request for which there is no capacity.
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

    /// Dispatches queued requests that now have capacity, highest rank first. If there is no
    /// capacity for a first attempt of a class, there is none for the next one of that class
    /// either. Retries and requests with an order key allow no such conclusion.
    pub(super) fn dispatch_queued(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut class_is_full = vec![false; self.settings.classes.len()];
        let mut position = 0;
        let mut checked = 0;
        while checked < MAX_REQUESTS_CHECKED && class_is_full.contains(&false) {
            let Some(&QueuedRequest { id, class, .. }) = self.queue.get(position) else {
                return;
            };
            let class = usize::from(class.0);
            let pending = self.requests.get(&id);
            let Some(request) = pending.filter(|request| request.is_waiting()) else {
                self.queue.remove(position);
                continue;
            };
            let is_unordered_first_attempt =
                request.attempts_started == 0 && !self.class(request).serial_per_key;
            if is_unordered_first_attempt && class_is_full[class] {
                position += 1;
                continue;
            }
            checked += 1;
            if let Some(engine) = self.select_engine(now, id) {
                self.queue.remove(position);
                self.dispatch(now, id, engine, actions);
            } else {
                class_is_full[class] |= is_unordered_first_attempt;
                position += 1;
            }
        }
    }

    /// Updates the ranks of the queued requests, and rejects those that cannot complete in time,
    /// given the work ahead of them, or have no attempts left. During shutdown it also rejects
    /// requests while there is no engine for them, as another gateway may have one.
    pub(super) fn refresh_queue(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for entry in self.queue.take() {
            self.enqueue(now, entry.id);
        }
        self.queue.sort();
        // Seconds of work per second that this gateway's share of the fleet completes.
        let rate = self.fleet.cores * USUAL_UTILIZATION / self.active_gateways;
        let wait_for = |work: f64| if rate > 0.0 { work / rate } else { 0.0 };
        let deadline_margin = 2 * TICK_INTERVAL.max(self.settings.batch_interval);
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
            let has_no_engine = rate <= 0.0 && self.is_stopping();
            let reason = if has_no_engine {
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
