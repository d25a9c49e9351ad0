//! Deadlines of requests and attempts, and the decision module's timers.
use super::termination::Termination;
use super::{Command, Dispatcher, Failure};
use crate::clock::Micros;
use crate::policy::api::{AttemptNo, Event, RequestId};
use std::cmp::Reverse;

/// Time after a client's deadline for which the dispatcher waits for the decision module to end the
/// request before it sends the response itself, in microseconds.
pub(super) const DEADLINE_GRACE: Micros = 25_000;

impl Dispatcher {
    /// When [`Dispatcher::run_due_timers`] has to be called next; `None` without timers and
    /// deadlines.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        timer.into_iter().chain(deadline).min()
    }

    /// Handles the deadlines that are due, then the timers that are due.
    pub fn run_due_timers(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while let Some((at, id)) = self.due_deadline(now) {
            self.deadlines.remove(&(at, id));
            self.handle_deadline(now, at, id, commands);
        }
        for token in self.take_due_timers(now) {
            self.handle_event(now, Event::TimerFired(token), commands);
        }
    }

    fn due_deadline(&self, now: Micros) -> Option<(Micros, RequestId)> {
        self.deadlines.first().copied().filter(|(at, _)| *at <= now)
    }

    fn handle_deadline(
        &mut self,
        now: Micros,
        at: Micros,
        id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.in_flight.get(&id) else {
            return;
        };
        if at < request.request.deadline + DEADLINE_GRACE {
            self.cancel_expired_attempts(at, id, commands);
        } else if !request.closed {
            // The decision module should end requests at their deadline. A request that it has not
            // ended gets its response here.
            self.counters.blocked_actions += 1;
            self.fail_request(id, Failure::Deadline, commands);
            self.handle_event(now, Event::ClientDisconnected(id), commands);
            self.cancel_all_attempts(id, Termination::Deadline, commands);
            self.remove_if_finished(id);
        }
    }

    fn cancel_expired_attempts(&mut self, at: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.in_flight.get(&id) else {
            return;
        };
        let expired: Vec<AttemptNo> = request
            .attempts
            .iter()
            .filter(|in_flight| in_flight.deadline <= at)
            .map(|in_flight| in_flight.attempt)
            .collect();
        for attempt in expired {
            self.cancel_attempt(id, attempt, Termination::Deadline, commands);
        }
    }

    /// Removes the timers that are due and returns their tokens. Timers that the decision module
    /// starts while it handles these tokens remain for the next call.
    fn take_due_timers(&mut self, now: Micros) -> Vec<u64> {
        let mut tokens = Vec::new();
        while let Some(Reverse((at, token))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            tokens.push(token);
        }
        tokens
    }
}
