//! Circuit breaker of one engine: closed, open after an ejection, half-open for a trial request.
use crate::policy::api::{Nanos, RequestId};

/// Duration of the first ejection: 1.5 s. It doubles with each further ejection.
const BASE_EJECTION: Nanos = 1_500_000_000;

/// Number of times the duration doubles: it grows to at most eight times the first.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Smoothed failure rate above which an engine counts as an outlier: three failures in a row exceed
/// it at the usual sample weight.
const MAX_FAILURE_RATE: f64 = 0.4;

/// State of the circuit breaker of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CircuitState {
    /// Receives ordinary requests.
    #[default]
    Closed,
    /// Ejected: receives no ordinary requests before `until`.
    Open {
        /// End of the ejection.
        until: Nanos,
    },
    /// The ejection has ended, and the outcome of one trial request decides the next state.
    HalfOpen {
        /// The trial request, once it was sent.
        trial: Option<RequestId>,
    },
}

/// Circuit breaker, with the failure statistics on which ejections are based.
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

    /// Whether the next request sent to the engine becomes its trial.
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

    /// Ejects the engine, for a longer time at each ejection, and resets the failure rate.
    pub(crate) fn eject(&mut self, now: Nanos) {
        let duration = BASE_EJECTION << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let until = now + duration;
        self.state = CircuitState::Open { until };
        self.ejections += 1;
        self.failure_rate = 0.0;
    }

    /// Changes the state to half-open if the ejection has ended.
    pub(crate) fn expire(&mut self, now: Nanos) {
        if self.open_until().is_some_and(|until| until <= now) {
            self.state = CircuitState::HalfOpen { trial: None };
        }
    }

    /// Records that `request` is sent: it becomes the trial if one is awaited.
    pub(crate) fn on_send(&mut self, request: RequestId) {
        if self.awaits_trial() {
            let trial = Some(request);
            self.state = CircuitState::HalfOpen { trial };
        }
    }

    /// Awaits another trial, because the last one ended without showing whether the engine works.
    pub(crate) fn retry_trial(&mut self) {
        self.state = CircuitState::HalfOpen { trial: None };
    }

    /// Closes the circuit after the trial succeeded.
    pub(crate) fn close(&mut self) {
        self.state = CircuitState::Closed;
    }

    /// Whether a reset at `now` belongs to the last one counted: when a connection is reset, all
    /// its attempts end within `window` and count as one failure.
    pub(crate) fn is_repeated_reset(&self, now: Nanos, window: Nanos) -> bool {
        now < self.last_reset_at + window
    }

    /// Records the time of a reset that was counted.
    pub(crate) fn record_reset(&mut self, now: Nanos) {
        self.last_reset_at = now;
    }

    /// Adds one outcome to the smoothed failure rate, with `weight`.
    pub(crate) fn record_outcome(&mut self, failed: bool, weight: f64) {
        let sample = f64::from(u8::from(failed));
        self.failure_rate += weight * (sample - self.failure_rate);
    }

    /// Whether the failure rate is that of an outlier.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > MAX_FAILURE_RATE
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/circuit_breaker.rs"]
mod tests;
