//! Attempts that make no progress: queries that are blocked by a load of their data set, and
//! attempts whose response or engine is lost.
use super::Gateway;
use super::state::class_estimates::INITIAL_TAIL_FACTOR;
use super::state::engine::Engine;
use super::state::request::{Attempt, PendingRequest, is_placement_allowed};
use super::state::units::{nanos, seconds};
use super::tuning::STALL_THRESHOLD;
use crate::policy::api::{Action, AttemptNo, EngineId, Nanos, RequestId};

/// Multiple of its expected time after which an attempt counts as stalled: as blocked by a load or,
/// without any activity of its engine, as a sign that the engine is unresponsive.
const STALL_RATIO: f64 = 3.0;

/// Minimum age of an attempt that indicates an unresponsive engine: 1.2 s.
const MIN_UNRESPONSIVE_AGE: Nanos = 1_200_000_000;

/// Number of such attempts from which an engine counts as unresponsive.
const MIN_UNRESPONSIVE_ATTEMPTS: usize = 2;

/// Number of progress periods without an update after which an attempt is presumed lost.
const MAX_MISSED_UPDATES: f64 = 1.5;

/// Minimum age of a query that is presumed blocked by a load: 200 ms.
const MIN_BLOCKED_AGE: Nanos = 200_000_000;

/// Time for which a data set counts as blocked on an engine after a blocked query was found there:
/// 500 ms.
const BLOCKED_DURATION: Nanos = 500_000_000;

/// Minimum tail factor of a class while capacity is free: lost attempts are then replaced early, as
/// a second attempt takes no capacity from other requests.
const MIN_IDLE_TAIL_FACTOR: f64 = 1.5;

/// An attempt that is most likely blocked by a load.
struct BlockedAttempt {
    id: RequestId,
    number: AttemptNo,
    data_set: u64,
    engine: EngineId,
}

/// An attempt that is presumed lost.
struct LostAttempt {
    id: RequestId,
    number: AttemptNo,
    engine: EngineId,
    sent_at: Nanos,
    /// Whether its age indicates that its engine is unresponsive.
    indicates_unresponsive: bool,
}

/// Limits after which attempts are presumed lost.
struct LossLimits {
    /// Maximum time without a progress update.
    update_timeout: Nanos,
    /// Minimum tail factor of a class.
    min_tail_factor: f64,
    /// Factor on the tail of a class.
    tail_ratio: f64,
}

impl Gateway {
    /// Records that a query is blocked on the engine by a load of its data set. Neither the query
    /// nor the engine is slow, so only other queries on the data set are kept off the engine, for
    /// two progress periods. This does harm where the load was about to end.
    pub(super) fn record_blocked_query(&mut self, now: Nanos, id: RequestId, engine: EngineId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let until = now + 2 * self.settings.progress_period;
        if let Some(engine) = self.engines.get_mut(&engine) {
            let data_set = request.data_set();
            engine.blocked_data_sets.insert(data_set, until);
        }
    }

    /// Detects queries that are most likely blocked by a load of another gateway: they are far over
    /// their expected time while their engine responds to others. Other queries on the data set are
    /// kept off the engine until one of them ends or [`BLOCKED_DURATION`] has passed, and the
    /// detected ones are retried on an engine without the load.
    pub(super) fn detect_blocked_queries(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let blocked = self.find_blocked_attempts(now);
        for attempt in &blocked {
            if let Some(engine) = self.engines.get_mut(&attempt.engine) {
                let until = now + BLOCKED_DURATION;
                engine.blocked_data_sets.insert(attempt.data_set, until);
            }
        }
        for attempt in blocked {
            let Some(request) = self.requests.get(&attempt.id) else {
                continue;
            };
            if self.has_unblocked_engine(now, request) {
                self.cancel_and_retry(now, attempt.id, attempt.number, actions);
            }
        }
    }

    fn find_blocked_attempts(&self, now: Nanos) -> Vec<BlockedAttempt> {
        let stall_ratio = STALL_RATIO * self.fleet.median_slowdown.max(1.0);
        let mut blocked = Vec::new();
        for request in self.requests.values() {
            if !self.class(request).blocked_by_loads {
                continue;
            }
            for attempt in &request.attempts {
                let age = seconds(now.saturating_sub(attempt.sent_at));
                let limit = (stall_ratio * attempt.unloaded_seconds).max(seconds(MIN_BLOCKED_AGE));
                let engine = self.engines.get(&attempt.engine);
                let is_engine_active =
                    engine.is_some_and(|engine| engine.last_activity_at > attempt.sent_at);
                if !attempt.cancelling && age > limit && is_engine_active {
                    blocked.push(BlockedAttempt {
                        id: request.id(),
                        number: attempt.number,
                        data_set: request.data_set(),
                        engine: attempt.engine,
                    });
                }
            }
        }
        blocked
    }

    /// Whether an engine with capacity could run the request without a load blocking it.
    fn has_unblocked_engine(&self, now: Nanos, request: &PendingRequest) -> bool {
        let class = self.class(request);
        let is_free = |engine: &Engine| {
            engine.is_ready()
                && engine.circuit.is_closed()
                && is_placement_allowed(class, &engine.endpoint)
                && !self.is_blocked_by_load(now, request, engine)
                && self.has_capacity(now, request, engine)
        };
        let ready = self.fleet.ready.iter();
        ready.filter_map(|id| self.engines.get(id)).any(is_free)
    }

    /// Detects attempts that are presumed lost: past the tail of their class, or without a progress
    /// update that was due. Responses get lost, connections lose messages, and engines drop work;
    /// the gateway cannot distinguish these cases. A lost attempt no longer holds capacity, and an
    /// idempotent one is retried within the budget of cancellations. An engine that showed no
    /// activity since such attempts were sent is ejected. This does harm where work is far
    /// underestimated: the work of such queries is wasted.
    pub(super) fn detect_unresponsive_attempts(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let lost = self.find_lost_attempts(now);
        for attempt in &lost {
            let signs = lost
                .iter()
                .filter(|other| other.engine == attempt.engine && other.indicates_unresponsive);
            let is_unresponsive =
                attempt.indicates_unresponsive && signs.count() >= MIN_UNRESPONSIVE_ATTEMPTS;
            if !self.engines.contains_key(&attempt.engine) {
                continue;
            }
            self.eject_unresponsive_engine(now, attempt, is_unresponsive);
            self.release_lost_attempt(now, attempt);
            self.cancel_and_retry(now, attempt.id, attempt.number, actions);
        }
    }

    fn find_lost_attempts(&self, now: Nanos) -> Vec<LostAttempt> {
        let limits = self.loss_limits();
        let mut lost = Vec::new();
        for request in self.requests.values() {
            for attempt in &request.attempts {
                if !attempt.cancelling && self.is_lost(now, request, attempt, &limits) {
                    lost.push(LostAttempt {
                        id: request.id(),
                        number: attempt.number,
                        engine: attempt.engine,
                        sent_at: attempt.sent_at,
                        indicates_unresponsive: indicates_unresponsive(now, attempt, &limits),
                    });
                }
            }
        }
        lost
    }

    fn loss_limits(&self) -> LossLimits {
        let progress_period = seconds(self.settings.progress_period);
        let update_timeout = nanos(MAX_MISSED_UPDATES * progress_period);
        LossLimits {
            update_timeout: if update_timeout > 0 {
                update_timeout
            } else {
                Nanos::MAX / 2
            },
            min_tail_factor: if self.has_idle_capacity() {
                MIN_IDLE_TAIL_FACTOR
            } else {
                INITIAL_TAIL_FACTOR
            },
            // Where attempts cannot be cancelled, the engine may still be working on them for
            // longer.
            tail_ratio: if self.settings.limits.may_cancel {
                1.0
            } else {
                STALL_RATIO
            },
        }
    }

    fn is_lost(
        &self,
        now: Nanos,
        request: &PendingRequest,
        attempt: &Attempt,
        limits: &LossLimits,
    ) -> bool {
        let age = now.saturating_sub(attempt.last_activity_at);
        let has_reported_progress = attempt.last_activity_at > attempt.sent_at;
        if has_reported_progress {
            return age > limits.update_timeout;
        }
        let tail_factor = self.estimates(request).tail_factor;
        let tail_factor = tail_factor.max(limits.min_tail_factor);
        let tail = nanos(limits.tail_ratio * tail_factor * attempt.unloaded_seconds);
        age > tail.max(STALL_THRESHOLD).min(limits.update_timeout)
    }

    /// Ejects the engine of a lost attempt if it is unresponsive, or if the attempt was its trial.
    fn eject_unresponsive_engine(
        &mut self,
        now: Nanos,
        attempt: &LostAttempt,
        is_unresponsive: bool,
    ) {
        let may_eject = is_unresponsive && self.may_eject(attempt.engine);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        let was_unresponsive = engine.last_activity_at <= attempt.sent_at;
        if was_unresponsive {
            engine.unresponsive_at = now;
        }
        let has_failed_trial =
            engine.circuit.is_trial(attempt.id) && attempt.indicates_unresponsive;
        let is_outlier = engine.circuit.is_closed() && may_eject && was_unresponsive;
        if has_failed_trial || is_outlier {
            self.eject(now, attempt.engine);
        }
    }

    /// Releases the capacity that a lost attempt holds.
    fn release_lost_attempt(&mut self, now: Nanos, lost: &LostAttempt) {
        let request = self.requests.get_mut(&lost.id);
        let Some(attempt) = request.and_then(|request| request.attempt_mut(lost.number)) else {
            return;
        };
        let released = std::mem::take(&mut attempt.running);
        if let Some(engine) = self.engines.get_mut(&lost.engine)
            && engine.report.is_none()
        {
            engine.subtract_sent_threads(released.threads);
        }
        self.record_running(now, lost.engine, released, -1.0);
    }
}

/// Whether the age of a lost attempt indicates that its engine is unresponsive.
fn indicates_unresponsive(now: Nanos, attempt: &Attempt, limits: &LossLimits) -> bool {
    let age = now.saturating_sub(attempt.last_activity_at);
    let limit = nanos(STALL_RATIO * attempt.expected_seconds)
        .min(2 * limits.update_timeout)
        .max(MIN_UNRESPONSIVE_AGE);
    age > limit
}
