//! Circuit breaker of one engine: closed, open after an ejection, half-open for a trial.
use crate::policy::api::{Nanos, RequestId};

/// Length of the first ejection: 1.5 s. It doubles with each further ejection.
const BASE_EJECTION: Nanos = 1_500_000_000;

/// Number of doublings after which the ejection time no longer grows: eight times the first.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Smoothed share of failures above which an engine counts as an outlier: three failures in a row
/// reach it at the usual sample weight.
const MAX_FAILURE_RATE: f64 = 0.4;

/// State of the circuit breaker of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CircuitState {
    /// Gets ordinary work.
    #[default]
    Closed,
    /// Ejected: gets no ordinary work before `until`.
    Open {
        /// End of the ejection.
        until: Nanos,
    },
    /// The ejection is over, and one trial request decides what follows.
    HalfOpen {
        /// The trial, once it was sent.
        trial: Option<RequestId>,
    },
}

/// Circuit breaker with the failure statistics that drive it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CircuitBreaker {
    state: CircuitState,
    ejections: u32,
    failure_rate: f64,
    last_reset_at: Nanos,
}

impl CircuitBreaker {
    pub(crate) fn state(&self) -> CircuitState {
        self.state
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state == CircuitState::Closed
    }

    /// Whether the next request sent to the engine is its trial.
    pub(crate) fn awaits_trial(&self) -> bool {
        self.state == CircuitState::HalfOpen { trial: None }
    }

    /// Whether `request` is the trial that is in flight.
    pub(crate) fn is_trial(&self, request: RequestId) -> bool {
        let trial = Some(request);
        self.state == CircuitState::HalfOpen { trial }
    }

    /// End of the ejection, if the engine is ejected.
    pub(crate) fn open_until(&self) -> Option<Nanos> {
        match self.state {
            CircuitState::Open { until } => Some(until),
            CircuitState::Closed | CircuitState::HalfOpen { .. } => None,
        }
    }

    /// Number of ejections since the engine started.
    #[cfg(test)]
    pub(crate) fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Ejects the engine, for longer each time, and forgets the failures that led to it.
    pub(crate) fn eject(&mut self, now: Nanos) {
        let duration = BASE_EJECTION << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let until = now + duration;
        self.state = CircuitState::Open { until };
        self.ejections += 1;
        self.failure_rate = 0.0;
    }

    /// Makes an ejection that is over half-open.
    pub(crate) fn expire(&mut self, now: Nanos) {
        if self.open_until().is_some_and(|until| until <= now) {
            self.state = CircuitState::HalfOpen { trial: None };
        }
    }

    /// Notes that `request` is sent: where a trial is awaited, it is the trial.
    pub(crate) fn on_send(&mut self, request: RequestId) {
        if self.awaits_trial() {
            let trial = Some(request);
            self.state = CircuitState::HalfOpen { trial };
        }
    }

    /// The trial ended without a verdict on the engine: the next request is a trial again.
    pub(crate) fn retry_trial(&mut self) {
        self.state = CircuitState::HalfOpen { trial: None };
    }

    /// The trial succeeded.
    pub(crate) fn close(&mut self) {
        self.state = CircuitState::Closed;
    }

    /// Whether a reset at `now` belongs to the one counted last: all attempts on a connection end
    /// within `window`, and count as one failure.
    pub(crate) fn is_repeated_reset(&self, now: Nanos, window: Nanos) -> bool {
        now < self.last_reset_at + window
    }

    /// Notes that a reset was counted.
    pub(crate) fn record_reset(&mut self, now: Nanos) {
        self.last_reset_at = now;
    }

    /// Adds one outcome to the smoothed share of failures, with `weight`.
    pub(crate) fn record_outcome(&mut self, failed: bool, weight: f64) {
        let sample = f64::from(u8::from(failed));
        self.failure_rate += weight * (sample - self.failure_rate);
    }

    /// Whether the share of failures is that of an outlier.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > MAX_FAILURE_RATE
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/circuit_breaker.rs"]
mod tests;
