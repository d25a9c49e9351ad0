//! The in-flight table's entry for one request: its attempts, which of them may have been executed,
//! and which further attempts are permitted as a result. Pure: no I/O and no clock.
use super::message::{AttemptId, AttemptRequest, ClientRequest};
use super::termination::Termination;
use crate::clock::{MS, Micros, micros, nanos};
use crate::policy::api::{AttemptNo, Endpoint, Idempotency, Nanos};
use crate::policy::state::{RepeatTargets, may_reject, may_repeat};
use std::rc::Rc;

/// Attempts with an idempotency key have to end this long before the key's window ends, since an
/// engine whose clock is ahead of this process's clock discards the key earlier.
const IDEMPOTENCY_WINDOW_MARGIN: Micros = 100 * MS;

/// A started attempt whose result has not arrived.
pub(super) struct InFlightAttempt {
    /// The engine, as the endpoint list described it when the attempt was started.
    pub(super) endpoint: Endpoint,
    /// The number of the attempt within the request.
    pub(super) attempt: AttemptNo,
    /// When the attempt was started.
    pub(super) sent_at: Micros,
    /// When the attempt is cancelled if its result has not arrived.
    pub(super) deadline: Micros,
    /// Why the attempt was cancelled, if it was. It still counts as in flight until its result
    /// confirms the cancellation.
    pub(super) cancel_reason: Option<Termination>,
}

impl InFlightAttempt {
    /// Whether the attempt was not cancelled.
    pub(super) fn is_active(&self) -> bool {
        self.cancel_reason.is_none()
    }
}

/// An attempt that an engine may have executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// The engine, as the endpoint list described it when the attempt was started.
    pub(super) endpoint: Endpoint,
    /// When the attempt was started.
    pub(super) sent_at: Micros,
}

/// A request that has no final response yet, or has attempts that have not ended.
pub(super) struct InFlightRequest {
    /// The request, as received from its frontend.
    pub(super) request: ClientRequest,
    /// Whether it may be executed more than once. A request without an idempotency key is
    /// non-idempotent even if its class is idempotent by key.
    pub(super) idempotency: Idempotency,
    /// The number of attempts so far, including those that the invariants did not permit.
    pub(super) attempts_started: u16,
    /// Upper limit of `attempts_started`.
    pub(super) max_attempts: u16,
    /// How many attempts may be in flight at the same time.
    pub(super) max_concurrent_attempts: usize,
    /// The attempts that have not ended.
    pub(super) attempts: Vec<InFlightAttempt>,
    /// The earliest started of the attempts that have ended and may have been executed.
    pub(super) first_execution: Option<PossibleExecution>,
    /// Memory in MB to grant to the next attempt; 0 leaves the amount to the engine.
    pub(super) memory_mb: f64,
    /// The priority of its attempts, if the decision module set one.
    pub(super) priority: Option<u8>,
    /// The termination of the attempt that ended last.
    pub(super) last_termination: Option<Termination>,
    /// The final response was sent, or the client stopped waiting.
    pub(super) closed: bool,
}

impl InFlightRequest {
    /// Creates the entry of a request that has just been admitted.
    pub(super) fn new(
        request: ClientRequest,
        idempotency: Idempotency,
        max_attempts: u16,
        max_concurrent_attempts: usize,
    ) -> InFlightRequest {
        InFlightRequest {
            request,
            idempotency,
            attempts_started: 0,
            max_attempts,
            max_concurrent_attempts,
            attempts: Vec::new(),
            first_execution: None,
            memory_mb: 0.0,
            priority: None,
            last_termination: None,
            closed: false,
        }
    }

    /// The earliest attempt that may have been executed. Attempts in flight may have been executed.
    fn earliest_possible_execution(&self) -> Option<PossibleExecution> {
        let in_flight = self.attempts.iter().map(|attempt| PossibleExecution {
            endpoint: attempt.endpoint,
            sent_at: attempt.sent_at,
        });
        in_flight
            .chain(self.first_execution)
            .min_by_key(|execution| execution.sent_at)
    }

    /// Records that an attempt that has ended may have been executed.
    pub(super) fn record_possible_execution(&mut self, execution: PossibleExecution) {
        let is_first = self
            .first_execution
            .is_none_or(|first| execution.sent_at < first.sent_at);
        if is_first {
            self.first_execution = Some(execution);
        }
    }

    /// Whether an attempt may be started at this engine now. Two attempts of a request must not be
    /// in flight at the same engine: the protocols identify queries by the request's id, so a
    /// message about one attempt would be taken for a message about the other.
    pub(super) fn may_start_attempt(&self, now: Micros, endpoint: &Endpoint) -> bool {
        let is_at_other_engine = |attempt: &InFlightAttempt| attempt.endpoint.id != endpoint.id;
        !self.closed
            && self.attempts.len() < self.max_concurrent_attempts
            && self.attempts.iter().all(is_at_other_engine)
            && self.attempts_started < self.max_attempts
            && self.may_repeat_at(now, endpoint)
    }

    /// Whether the request can be executed at this engine without causing a second effect.
    fn may_repeat_at(&self, now: Micros, endpoint: &Endpoint) -> bool {
        self.earliest_possible_execution().is_none_or(|execution| {
            may_repeat(
                self.idempotency,
                nanos(execution.sent_at),
                Some(RepeatTargets {
                    first: execution.endpoint,
                    next: Some(*endpoint),
                }),
                nanos(now),
            )
        })
    }

    /// When engines may discard the idempotency key of the earliest possible execution, after which
    /// they no longer detect a duplicate. `None` if the request has no key or cannot have been
    /// executed.
    pub(super) fn idempotency_window_end(&self) -> Option<Micros> {
        let Idempotency::WithKey { window, .. } = self.idempotency else {
            return None;
        };
        self.earliest_possible_execution()
            .map(|execution| execution.sent_at.saturating_add(micros(window)))
    }

    /// The deadline of an attempt that starts now: the client's deadline, shortened by the timeout
    /// of the attempt (0 for none) and by the window of the idempotency key. A retry that is still
    /// running when the window ends could cause a second effect.
    pub(super) fn attempt_deadline(&self, now: Micros, timeout: Nanos) -> Micros {
        let deadline = match timeout {
            0 => self.request.deadline,
            timeout => self.request.deadline.min(now + micros(timeout)),
        };
        self.idempotency_window_end().map_or(deadline, |end| {
            deadline.min(end.saturating_sub(IDEMPOTENCY_WINDOW_MARGIN))
        })
    }

    /// Whether the engine discards duplicates of the request by its idempotency key.
    fn uses_key_at(&self, endpoint: &Endpoint) -> bool {
        let has_key = matches!(self.idempotency, Idempotency::WithKey { .. });
        has_key && !endpoint.ignores_idempotency_keys
    }

    /// The message that starts an attempt at this engine. It contains an idempotency key only if
    /// the class is idempotent by key and the engine uses keys.
    pub(super) fn attempt_request(
        &self,
        attempt: AttemptId,
        endpoint: &Endpoint,
        class: Rc<str>,
        deadline: Micros,
    ) -> AttemptRequest {
        let uses_key = self.uses_key_at(endpoint);
        let key = self.request.idempotency_key.clone();
        AttemptRequest {
            id: attempt.request,
            attempt: attempt.attempt,
            client_connection: self.request.origin.conn,
            client_request_id: self.request.client_request_id.clone(),
            class,
            statement: self.request.statement.clone(),
            session: self.request.session.clone(),
            must_not_repeat: self.idempotency != Idempotency::Idempotent && !uses_key,
            idempotency_key: key.filter(|_| uses_key),
            deadline,
            memory_mb: self.memory_mb,
            priority: self.priority,
        }
    }

    /// Whether the request may be rejected. A rejection guarantees that a retry is harmless.
    /// `engines_use_keys`: all engines discard duplicates by idempotency key.
    pub(super) fn may_reject(&self, engines_use_keys: bool) -> bool {
        may_reject(
            self.idempotency,
            self.earliest_possible_execution().is_some(),
            engines_use_keys,
        )
    }

    /// Returns the attempt with this number, if it is in flight.
    pub(super) fn find_attempt(&self, attempt: AttemptNo) -> Option<&InFlightAttempt> {
        self.attempts
            .iter()
            .find(|in_flight| in_flight.attempt == attempt)
    }

    /// Removes the attempt with this number, if it is in flight.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptNo) -> Option<InFlightAttempt> {
        let position = self
            .attempts
            .iter()
            .position(|in_flight| in_flight.attempt == attempt)?;
        Some(self.attempts.remove(position))
    }

    /// Whether an active attempt has exactly this deadline.
    pub(super) fn has_attempt_deadline(&self, deadline: Micros) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.deadline == deadline && attempt.is_active())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/in_flight.rs"]
mod tests;
