//! Sends exactly one final response per request, and removes finished requests.
use super::rejection::RejectionCause;
use super::termination::Termination;
use super::timers::DEADLINE_GRACE;
use super::{Command, Dispatcher, Failure, Response};
use crate::clock::Micros;
use crate::policy::api::{Event, RequestId};
use std::rc::Rc;

/// Maximum number of client request ids of finished requests that are kept. A new request must not
/// use the id of a finished request about which engines may still send messages.
const MAX_FINISHED_REQUEST_IDS: usize = 4_096;

/// The `Retry-After` of requests that are rejected at shutdown, in microseconds. Another gateway
/// can serve them.
pub(super) const RETRY_AFTER_SHUTDOWN: Micros = 50_000;

impl Dispatcher {
    /// Rejects a request, with a `Retry-After` unless `retry_after` is 0. A rejection guarantees
    /// that a retry is harmless. A request for which this does not hold, since it may have been
    /// executed, fails instead.
    pub(super) fn reject_request(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        cause: RejectionCause,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.in_flight.get(&id).filter(|request| !request.closed) else {
            return;
        };
        if !request.may_reject(self.engines_use_keys) {
            self.counters.blocked_actions += 1;
            return self.fail_request(id, Failure::NotSent, commands);
        }
        let (class, tenant) = (request.request.class, request.request.tenant);
        self.count_rejection(class, Some(tenant), cause);
        let retry_after = Some(retry_after).filter(|after| *after > 0);
        self.close_request(id, Response::Rejected(retry_after), commands);
    }

    /// Fails a request unless it already has its final response.
    pub(super) fn fail_request(
        &mut self,
        id: RequestId,
        reason: Failure,
        commands: &mut Vec<Command>,
    ) {
        let is_open = self
            .in_flight
            .get(&id)
            .is_some_and(|request| !request.closed);
        if is_open {
            self.close_request(id, Response::Failed(reason), commands);
        }
    }

    /// Ends all requests because the process is about to be killed: rejects those that can safely
    /// be retried at another gateway, and fails the others. All later requests are rejected.
    pub fn end_all_requests(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.admits_requests = false;
        let open: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, request)| !request.closed)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.reject_request(id, RETRY_AFTER_SHUTDOWN, RejectionCause::ShutDown, commands);
            self.handle_event(now, Event::ClientDisconnected(id), commands);
        }
    }

    /// Sends the final response and cancels the remaining attempts.
    pub(super) fn close_request(
        &mut self,
        id: RequestId,
        response: Response,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        request.closed = true;
        let origin = request.request.origin;
        let class = request.request.class;
        let client_request_id = request.request.client_request_id.clone();
        self.deadlines
            .remove(&(request.request.deadline + DEADLINE_GRACE, id));
        self.requests_by_origin.remove(&origin);
        self.count_response(class, &response);
        self.record_response(class, &client_request_id, &response);
        commands.push(Command::Respond { origin, response });
        self.cancel_all_attempts(id, Termination::Cancelled, commands);
        self.remove_if_finished(id);
    }

    /// Removes a request that is closed and has no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self
            .in_flight
            .get(&id)
            .is_some_and(|request| request.closed && request.attempts.is_empty());
        if !is_finished {
            return;
        }
        let Some(finished) = self.in_flight.remove(&id) else {
            return;
        };
        self.class_registry.request_closed(finished.request.class);
        self.statement_bytes -= finished.request.statement.len();
        self.keep_finished_request_id(finished.request.client_request_id);
    }

    pub(super) fn keep_finished_request_id(&mut self, client_request_id: Rc<str>) {
        self.finished_request_ids.push_back(client_request_id);
        if self.finished_request_ids.len() > MAX_FINISHED_REQUEST_IDS
            && let Some(oldest) = self.finished_request_ids.pop_front()
        {
            self.known_request_ids.remove(&oldest);
        }
    }
}
