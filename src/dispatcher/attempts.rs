//! Attempts: starting them within the invariants, changing their options, cancelling them, and
//! handling their results.
use super::in_flight::{InFlightAttempt, InFlightRequest, PossibleExecution};
use super::termination::{Termination, never_ran, outcome};
use super::{AttemptId, AttemptReply, AttemptResult, Command, Cost, Dispatcher, Response};
use crate::audit::DecisionKind;
use crate::clock::{Micros, nanos};
use crate::policy::api::{
    AttemptNo, Endpoint, EngineId, Event, LoadReport, Nanos, Outcome, OutcomeKind, Readiness,
    RequestId,
};

/// The highest priority that engines support.
const MAX_PRIORITY: u8 = 3;

impl Dispatcher {
    /// Starts an attempt if the invariants permit it. Otherwise the attempt is reported to the
    /// decision module as never sent. `timeout` is the timeout of the attempt, or 0 for none.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        engine: EngineId,
        timeout: Nanos,
        commands: &mut Vec<Command>,
    ) {
        let ready_endpoint = self.ready_endpoint(engine);
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            attempt: AttemptNo(request.attempts_started),
        };
        let permitted = ready_endpoint.filter(|to| request.may_start_attempt(now, to));
        request.attempts_started = request.attempts_started.saturating_add(1);
        let Some(class) = self.class_registry.class(request.request.class) else {
            return;
        };
        let deadline = request.attempt_deadline(now, timeout);
        let Some(endpoint) = permitted.filter(|_| deadline > now) else {
            let closed = request.closed;
            return self.report_blocked_attempt(now, attempt, engine, closed, commands);
        };
        self.counters.attempts_started += 1;
        self.counters.hedged_attempts += u64::from(!request.attempts.is_empty());
        commands.extend(mark_slow_commands(id, request));
        request.attempts.push(InFlightAttempt {
            endpoint,
            attempt: attempt.attempt,
            sent_at: now,
            deadline,
            cancel_reason: None,
        });
        self.deadlines.insert((deadline, id));
        let class_id = request.request.class;
        let attempt_request =
            request.attempt_request(attempt, &endpoint, class.name.clone(), deadline);
        self.record_decision(
            class_id,
            &attempt_request.client_request_id,
            DecisionKind::Dispatch {
                attempt: attempt.attempt.0,
                engine: engine.0,
            },
        );
        commands.push(Command::StartAttempt {
            engine,
            request: attempt_request,
        });
    }

    fn ready_endpoint(&self, engine: EngineId) -> Option<Endpoint> {
        self.endpoints
            .get(&engine)
            .copied()
            .filter(|endpoint| endpoint.readiness == Readiness::Ready)
    }

    fn report_blocked_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        engine: EngineId,
        request_finished: bool,
        commands: &mut Vec<Command>,
    ) {
        self.counters.blocked_actions += 1;
        let outcome = Outcome {
            id: attempt.request,
            attempt: attempt.attempt,
            engine,
            kind: OutcomeKind::NeverSent,
            latency: 0,
            request_finished,
            work: None,
            memory_mb: None,
            load: LoadReport::default(),
        };
        self.handle_event(now, Event::Outcome(outcome), commands);
    }

    /// Sets the memory and the priority of the request's next attempts, and changes the priority of
    /// its active attempts. Options that engines do not support are not sent.
    pub(super) fn set_attempt_options(
        &mut self,
        id: RequestId,
        priority: u8,
        memory_mb: f64,
        commands: &mut Vec<Command>,
    ) {
        let capabilities = self.capabilities;
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        request.memory_mb = if capabilities.memory_grants {
            memory_mb
        } else {
            0.0
        };
        let priority = Some(priority.min(MAX_PRIORITY)).filter(|_| capabilities.priorities);
        let previous = std::mem::replace(&mut request.priority, priority);
        let Some(priority) = priority.filter(|_| priority != previous) else {
            return;
        };
        let active = request
            .attempts
            .iter()
            .filter(|attempt| attempt.is_active());
        commands.extend(active.map(|attempt| Command::Reprioritize {
            engine: attempt.endpoint.id,
            attempt: AttemptId {
                request: id,
                attempt: attempt.attempt,
            },
            priority,
        }));
    }

    /// Cancels an attempt. It counts as in flight until its result arrives, since it may still be
    /// executed until then.
    pub(super) fn cancel_attempt(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        reason: Termination,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        let Some(in_flight) = request
            .attempts
            .iter_mut()
            .find(|in_flight| in_flight.attempt == attempt && in_flight.is_active())
        else {
            return;
        };
        in_flight.cancel_reason = Some(reason);
        let engine = in_flight.endpoint.id;
        let deadline = in_flight.deadline;
        if !request.has_attempt_deadline(deadline) {
            self.deadlines.remove(&(deadline, id));
        }
        commands.push(Command::CancelAttempt {
            engine,
            attempt: AttemptId {
                request: id,
                attempt,
            },
        });
    }

    /// Cancels all attempts of a request.
    pub(super) fn cancel_all_attempts(
        &mut self,
        id: RequestId,
        reason: Termination,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.in_flight.get(&id) else {
            return;
        };
        let attempts: Vec<AttemptNo> = request
            .attempts
            .iter()
            .map(|in_flight| in_flight.attempt)
            .collect();
        for attempt in attempts {
            self.cancel_attempt(id, attempt, reason, commands);
        }
    }

    /// Handles the result of an attempt. Only the first result of an attempt counts. A second one
    /// arrives if, for instance, an attempt times out while the engine's reply is on its way.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        result: AttemptResult,
        commands: &mut Vec<Command>,
    ) {
        let AttemptId {
            request: id,
            attempt,
        } = result.attempt_id();
        let Some(request) = self.in_flight.get_mut(&id) else {
            self.counters.stray_results += 1;
            return;
        };
        let Some(finished) = request.remove_attempt(attempt) else {
            self.counters.stray_results += 1;
            return;
        };
        if !request.has_attempt_deadline(finished.deadline) {
            self.deadlines.remove(&(finished.deadline, id));
        }
        // An attempt that the dispatcher cancelled ended for the reason of the cancellation.
        let termination = match (result.termination, finished.cancel_reason) {
            (Termination::Cancelled, Some(reason)) => reason,
            (termination, _) => termination,
        };
        let kind = outcome(termination, result.progress);
        *self
            .counters
            .attempts_by_termination
            .entry(termination)
            .or_default() += 1;
        if !never_ran(kind) {
            request.record_possible_execution(PossibleExecution {
                endpoint: finished.endpoint,
                sent_at: finished.sent_at,
            });
        }
        request.last_termination = Some(termination);
        self.report_outcome(now, id, &finished, kind, result.reply, commands);
    }

    /// Completes the request if the attempt succeeded, and reports the outcome to the decision
    /// module.
    fn report_outcome(
        &mut self,
        now: Micros,
        id: RequestId,
        finished: &InFlightAttempt,
        kind: OutcomeKind,
        reply: AttemptReply,
        commands: &mut Vec<Command>,
    ) {
        let was_closed = self.in_flight.get(&id).is_none_or(|request| request.closed);
        let succeeded = kind == OutcomeKind::Ok;
        if succeeded && !was_closed {
            self.close_request(id, Response::Completed(reply.rows), commands);
        }
        let cost = if self.capabilities.cost_reports && succeeded {
            reply.cost
        } else {
            Cost::default()
        };
        let outcome = Outcome {
            id,
            attempt: finished.attempt,
            engine: finished.endpoint.id,
            kind,
            latency: nanos(now.saturating_sub(finished.sent_at)),
            request_finished: was_closed || succeeded,
            work: cost.work.map(nanos),
            memory_mb: cost.memory_mb,
            load: reply.load,
        };
        self.handle_event(now, Event::Outcome(outcome), commands);
        self.remove_if_finished(id);
    }
}

/// The commands that mark the request's active attempts as slow when a hedged attempt is started
/// beside them.
fn mark_slow_commands(id: RequestId, request: &InFlightRequest) -> impl Iterator<Item = Command> {
    let active = request
        .attempts
        .iter()
        .filter(|attempt| attempt.is_active());
    active.map(move |attempt| Command::MarkSlow {
        engine: attempt.endpoint.id,
        attempt: AttemptId {
            request: id,
            attempt: attempt.attempt,
        },
    })
}
