//! Outlier detection: engines that fail while their peers do not are ejected for a while.
use super::Gateway;
use super::state::control_window::MIN_LIMIT_SHARE;
use super::state::request::Attempt;
use super::tuning::{CONTROL_PERIOD, SWEEP_INTERVAL};
use crate::policy::api::{EngineId, Nanos, Outcome, OutcomeKind};

/// Weight of one outcome in the smoothed share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The same where this gateway's share of the engine is under one thread: it sees few outcomes,
/// and one failure has to suffice.
const SMALL_SHARE_OUTCOME_WEIGHT: f64 = 0.5;

/// Largest part of the ready engines that may be ejected. Where more look bad, the cause is likely
/// shared, and ejection would only overload the rest.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// What the end of an attempt says of its engine.
#[derive(Clone, Copy, PartialEq)]
enum Verdict {
    Success,
    Failure,
    /// Nothing: the cause may lie elsewhere.
    Inconclusive,
}

impl Gateway {
    /// Counts the end of an attempt for or against its engine, and ejects an outlier.
    pub(super) fn record_engine_outcome(
        &mut self,
        now: Nanos,
        outcome: &Outcome,
        attempt: &Attempt,
    ) {
        let verdict = self.verdict(outcome, attempt);
        let Some(engine) = self.engines.get_mut(&outcome.engine) else {
            return;
        };
        let is_trial = engine.circuit.is_trial(outcome.id);
        if verdict == Verdict::Inconclusive {
            if is_trial {
                engine.circuit.retry_trial();
            }
            return;
        }
        let is_reset = outcome.kind == OutcomeKind::Reset;
        // A connection that breaks ends all attempts on it. That counts as one failure: no engine
        // is ejected for one broken connection.
        let is_repeated = engine.circuit.is_repeated_reset(now, SWEEP_INTERVAL);
        if is_reset && !is_trial && is_repeated {
            return;
        }
        if is_reset {
            engine.circuit.record_reset(now);
        }
        let has_failed = verdict == Verdict::Failure;
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

    /// What the end of an attempt says of its engine.
    fn verdict(&self, outcome: &Outcome, attempt: &Attempt) -> Verdict {
        let Some(engine) = self.engines.get(&outcome.engine) else {
            return Verdict::Inconclusive;
        };
        let last_activity_at = attempt.last_activity_at.max(engine.last_activity_at);
        let was_silent = last_activity_at <= attempt.sent_at;
        match outcome.kind {
            OutcomeKind::Error | OutcomeKind::ConnectFailed | OutcomeKind::Reset => {
                Verdict::Failure
            }
            OutcomeKind::Ok | OutcomeKind::Rejected => Verdict::Success,
            // No activity of the engine since the send, on this attempt or another. Engines that
            // are merely busy are not ejected, though much of what queues there times out.
            OutcomeKind::Timeout if was_silent => Verdict::Failure,
            // A hedged request was answered earlier. With a small share of the engine this gateway
            // sees too little of it to judge.
            OutcomeKind::Cancelled
                if was_silent
                    && outcome.request_finished
                    && engine.initial_limit >= self.active_gateways =>
            {
                Verdict::Failure
            }
            OutcomeKind::Timeout | OutcomeKind::Cancelled | OutcomeKind::NeverSent => {
                Verdict::Inconclusive
            }
        }
    }

    /// The engine answered, or rejected the attempt for lack of capacity.
    fn record_success(&mut self, now: Nanos, outcome: &Outcome, is_trial: bool) {
        let Some(engine) = self.engines.get_mut(&outcome.engine) else {
            return;
        };
        if outcome.kind == OutcomeKind::Rejected {
            engine.saturated_until = now + CONTROL_PERIOD;
        }
        engine.last_activity_at = now;
        if is_trial {
            // It comes back with the lowest limit, and recovers by the control law.
            engine.circuit.close();
            engine.limit = engine.initial_limit * MIN_LIMIT_SHARE;
            self.fleet.mark_changed();
        }
    }

    /// Ejects the engine, which changes the totals of the fleet.
    pub(super) fn eject(&mut self, now: Nanos, id: EngineId) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.circuit.eject(now);
            self.fleet.mark_changed();
        }
    }

    /// Whether one more engine may be ejected: an outlier is one against its peers, so with most
    /// engines bad already none is.
    pub(super) fn may_eject(&self, id: EngineId) -> bool {
        let others = self.engines.values().filter(|engine| engine.id() != id);
        let ejected = others.filter(|engine| engine.is_ready() && !engine.circuit.is_closed());
        let ready = self.fleet.ready.len() as f64;
        (ejected.count() + 1) as f64 <= MAX_EJECTED_SHARE * ready
    }
}
