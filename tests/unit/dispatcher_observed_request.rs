//! A request as observed by the model of the dispatcher, with checks of the attempts and responses
//! that the dispatcher produces for it.
use super::super::termination::{never_ran, outcome};
use super::super::test_builders::Repetition;
use super::super::{AttemptRequest, AttemptResult, Response};
use crate::clock::Micros;
use crate::policy::api::{AttemptNo, EngineId};
use std::collections::BTreeMap;

/// An attempt in flight.
pub(super) struct ObservedAttempt {
    engine: EngineId,
    sent_at: Micros,
}

#[derive(Default)]
pub(super) struct ObservedRequest {
    pub(super) repetition: Repetition,
    pub(super) class: String,
    pub(super) max_attempts: u32,
    pub(super) max_concurrent_attempts: usize,
    pub(super) in_flight: BTreeMap<AttemptNo, ObservedAttempt>,
    /// When the earliest of the attempts was sent that have ended and may have been executed.
    pub(super) first_execution: Option<Micros>,
    pub(super) attempts_started: u32,
    pub(super) responses: u32,
    pub(super) response: Option<Response>,
    pub(super) abandoned: bool,
}

impl ObservedRequest {
    pub(super) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptNo> {
        self.in_flight.keys().copied()
    }

    fn earliest_possible_execution(&self) -> Option<Micros> {
        let in_flight = self.in_flight.values().map(|attempt| attempt.sent_at);
        in_flight.chain(self.first_execution).min()
    }

    fn may_be_executed_at(&self, now: Micros) -> bool {
        self.earliest_possible_execution()
            .is_none_or(|first| match self.repetition {
                Repetition::Unlimited => true,
                Repetition::WithKey(window) => now < first + window,
                Repetition::Never => false,
            })
    }

    fn may_start_attempt(&self, now: Micros, engine: EngineId) -> bool {
        let uses_engine = self
            .in_flight
            .values()
            .any(|attempt| attempt.engine == engine);
        self.in_flight.len() < self.max_concurrent_attempts
            && !uses_engine
            && self.may_be_executed_at(now)
            && self.responses == 0
            && !self.abandoned
            && self.attempts_started < self.max_attempts
    }

    /// Checks and records the start of an attempt.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        engine: EngineId,
        attempt: &AttemptRequest,
    ) -> Result<(), String> {
        let needs_key = matches!(self.repetition, Repetition::WithKey(_));
        let must_not_repeat = self.repetition == Repetition::Never;
        if attempt.idempotency_key.is_some() != needs_key
            || attempt.must_not_repeat != must_not_repeat
        {
            return Err(format!(
                "its class does not match the must_not_repeat flag or the idempotency key {:?}",
                attempt.idempotency_key
            ));
        }
        if !self.may_start_attempt(now, engine) {
            return Err("got an attempt that is not permitted".into());
        }
        let observed = ObservedAttempt {
            engine,
            sent_at: now,
        };
        self.in_flight.insert(attempt.attempt, observed);
        self.attempts_started += 1;
        Ok(())
    }

    /// Records the end of an attempt. Only the first result of an attempt counts.
    pub(super) fn end_attempt(&mut self, result: &AttemptResult) {
        if let Some(attempt) = self.in_flight.remove(&result.attempt)
            && !never_ran(outcome(result.termination, result.progress))
        {
            let first = self.first_execution.unwrap_or(attempt.sent_at);
            self.first_execution = Some(first.min(attempt.sent_at));
        }
    }

    /// Checks and records a final response.
    pub(super) fn respond(&mut self, response: Response) -> Result<(), String> {
        self.responses += 1;
        self.response = Some(response.clone());
        if self.responses > 1 || self.abandoned {
            return Err("got more than one response, or one after it was abandoned".into());
        }
        let may_have_run = self.earliest_possible_execution().is_some();
        let is_unsafe = self.repetition == Repetition::Never && may_have_run;
        if is_unsafe && matches!(response, Response::Rejected(_)) {
            return Err("was rejected although it may have run and must not be repeated".into());
        }
        Ok(())
    }
}
