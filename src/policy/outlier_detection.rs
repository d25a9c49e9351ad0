//! Outlier detection: temporary ejection of engines that fail while their peers do not.
use super::Gateway;
use super::state::control_window::MIN_LIMIT_SHARE;
use super::state::request::Attempt;
use super::tuning::{CONTROL_PERIOD, TICK_INTERVAL};
use crate::policy::api::{EngineId, Nanos, Outcome, OutcomeKind};

/// Weight of one outcome in the smoothed failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// [`OUTCOME_WEIGHT`] where this gateway's share of the engine is under one thread: it receives few
/// outcomes, so one failure has to suffice.
const SMALL_SHARE_OUTCOME_WEIGHT: f64 = 0.5;

/// Maximum share of the ready engines that may be ejected. If more appear to fail, the cause is
/// likely shared, and ejection would only overload the rest.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// What the outcome of an attempt shows about the health of its engine.
#[derive(Clone, Copy, PartialEq)]
enum HealthSignal {
    Success,
    Failure,
    /// No evidence: the cause may not be the engine.
    Inconclusive,
}

impl Gateway {
    /// Records the outcome of an attempt as a success or failure of its engine, and ejects an
    /// outlier.
    pub(super) fn record_engine_outcome(
        &mut self,
        now: Nanos,
        outcome: &Outcome,
        attempt: &Attempt,
    ) {
        let signal = self.health_signal(outcome, attempt);
        let Some(engine) = self.engines.get_mut(&outcome.engine) else {
            return;
        };
        let is_trial = engine.circuit.is_trial(outcome.id);
        if signal == HealthSignal::Inconclusive {
            if is_trial {
                engine.circuit.retry_trial();
            }
            return;
        }
        let is_reset = outcome.kind == OutcomeKind::Reset;
        // A reset connection ends all attempts on it. They count as one failure, so that no engine
        // is ejected for one reset connection.
        let is_repeated = engine.circuit.is_repeated_reset(now, TICK_INTERVAL);
        if is_reset && !is_trial && is_repeated {
            return;
        }
        if is_reset {
            engine.circuit.record_reset(now);
        }
        let has_failed = signal == HealthSignal::Failure;
        let weight = if engine.initial_limit < self.active_gateways {
            SMALL_SHARE_OUTCOME_WEIGHT
        } else {
            OUTCOME_WEIGHT
        };
        engine.circuit.record_outcome(has_failed, weight);
        if has_failed {
            let is_outlier = engine.circuit.is_failing();
            if is_trial || (is_outlier && self.may_eject(outcome.engine)) {
                self.eject(now, outcome.engine);
            }
        } else {
            self.record_success(now, outcome, is_trial);
        }
    }

    /// What the outcome of an attempt shows about the health of its engine.
    fn health_signal(&self, outcome: &Outcome, attempt: &Attempt) -> HealthSignal {
        let Some(engine) = self.engines.get(&outcome.engine) else {
            return HealthSignal::Inconclusive;
        };
        let last_activity_at = attempt.last_activity_at.max(engine.last_activity_at);
        let was_unresponsive = last_activity_at <= attempt.sent_at;
        match outcome.kind {
            OutcomeKind::Error | OutcomeKind::ConnectFailed | OutcomeKind::Reset => {
                HealthSignal::Failure
            }
            OutcomeKind::Ok | OutcomeKind::Rejected => HealthSignal::Success,
            // The engine has shown no activity since the attempt was sent, on this attempt or
            // another. Engines that are merely busy are not ejected, even if many attempts queued
            // there time out.
            OutcomeKind::Timeout if was_unresponsive => HealthSignal::Failure,
            // Another attempt of the request completed earlier. With a small share of the engine
            // this gateway has too few outcomes to count this as a failure.
            OutcomeKind::Cancelled
                if was_unresponsive
                    && outcome.request_finished
                    && engine.initial_limit >= self.active_gateways =>
            {
                HealthSignal::Failure
            }
            OutcomeKind::Timeout | OutcomeKind::Cancelled | OutcomeKind::NeverSent => {
                HealthSignal::Inconclusive
            }
        }
    }

    /// Records a response of the engine, or its rejection of the attempt for lack of capacity.
    fn record_success(&mut self, now: Nanos, outcome: &Outcome, is_trial: bool) {
        let Some(engine) = self.engines.get_mut(&outcome.engine) else {
            return;
        };
        if outcome.kind == OutcomeKind::Rejected {
            engine.saturated_until = now + CONTROL_PERIOD;
        }
        engine.last_activity_at = now;
        if is_trial {
            // The engine is used again with the lowest limit, which the control law then raises.
            engine.circuit.close();
            engine.limit = engine.initial_limit * MIN_LIMIT_SHARE;
            self.fleet.mark_changed();
        }
    }

    /// Ejects the engine and marks the totals of the fleet as changed.
    pub(super) fn eject(&mut self, now: Nanos, id: EngineId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.circuit.eject(now);
            self.fleet.mark_changed();
        }
    }

    /// Whether one more engine may be ejected. An outlier is defined relative to its peers, so
    /// there is none if most engines already fail.
    pub(super) fn may_eject(&self, id: EngineId) -> bool {
        let others = self.engines.values().filter(|engine| engine.id() != id);
        let ejected = others.filter(|engine| engine.is_ready() && !engine.circuit.is_closed());
        let ready = self.fleet.ready.len() as f64;
        (ejected.count() + 1) as f64 <= MAX_EJECTED_SHARE * ready
    }
}
