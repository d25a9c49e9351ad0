//! Passes events to the decision module and applies the actions that it returns.
use super::rejection::RejectionCause;
use super::termination::Termination;
use super::{Command, Dispatcher, Failure};
use crate::clock::{Micros, micros, nanos};
use crate::policy::api::{Action, AttemptNo, Event, Nanos, RequestId};
use std::cmp::Reverse;

impl Dispatcher {
    /// Passes an event to the decision module and applies the actions that it returns, in order.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event, commands: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(nanos(now), event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action, commands);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send {
                id,
                engine,
                timeout,
            } => self.start_attempt(now, id, engine, timeout, commands),
            Action::SetAttemptOptions {
                id,
                priority,
                memory_mb,
            } => self.set_attempt_options(id, priority, memory_mb, commands),
            Action::Cancel { id, attempt } => self.apply_cancel(id, attempt, commands),
            Action::Reject {
                id,
                retry_after,
                reason,
            } => {
                let cause = RejectionCause::Decided(reason);
                self.reject_request(id, micros(retry_after), cause, commands);
            }
            Action::Fail { id } => self.fail_request(id, self.failure_reason(id), commands),
            Action::StartTimer { after, token } => self.start_timer(now, after, token),
            Action::Probe { engine } => {
                self.counters.probes += 1;
                commands.push(Command::Probe(engine));
            }
            Action::CloseIdleConnections { engine } => commands.push(Command::CloseIdle(engine)),
            Action::Log(line) => commands.push(Command::Log(line)),
            // The endpoint list is pushed to this process, and the decision modules of different
            // gateways exchange no messages, so these actions have no effect.
            Action::SendToPeer { .. }
            | Action::FetchEndpointList
            | Action::WatchEndpointList(_) => {}
        }
    }

    fn apply_cancel(&mut self, id: RequestId, attempt: AttemptNo, commands: &mut Vec<Command>) {
        let is_in_flight = self
            .in_flight
            .get(&id)
            .is_some_and(|request| request.find_attempt(attempt).is_some());
        if is_in_flight {
            self.counters.attempts_cancelled += 1;
            self.cancel_attempt(id, attempt, Termination::Cancelled, commands);
        }
    }

    fn start_timer(&mut self, now: Micros, after: Nanos, token: u64) {
        let at = now + micros(after).max(1);
        self.timers.push(Reverse((at, token)));
    }

    /// The reason for the failure of a request that the decision module gives up: the termination
    /// of the attempt that ended last.
    fn failure_reason(&self, id: RequestId) -> Failure {
        let last_termination = self
            .in_flight
            .get(&id)
            .and_then(|request| request.last_termination);
        match last_termination {
            None => Failure::NotSent,
            Some(Termination::Deadline) => Failure::Deadline,
            Some(termination) => Failure::Attempt(termination),
        }
    }
}
