//! Requests from clients: admission to the in-flight table, and cancellation.
use super::in_flight::InFlightRequest;
use super::rejection::RejectionCause;
use super::responses::RETRY_AFTER_SHUTDOWN;
use super::termination::Termination;
use super::timers::DEADLINE_GRACE;
use super::{ClientRequest, Command, Dispatcher, Failure, Origin, Response};
use crate::clock::{Micros, nanos};
use crate::policy::api::{Event, Idempotency, Request, RequestId};
use crate::statement;
use std::rc::Rc;

/// The `Retry-After` of a request that is rejected because the statements in flight have reached
/// their limit, in microseconds.
const RETRY_AFTER_STATEMENT_LIMIT: Micros = 500_000;

/// Maximum number of attempts in flight for one idempotent request if hedging is enabled.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionError {
    /// The process no longer admits requests.
    ShutDown,
    /// Its class is unknown, or its origin still waits for another response.
    NotAcceptable,
    /// Its client request id is in use.
    IdInUse,
    /// The statements in flight have reached their limit.
    StatementMemory,
}

impl AdmissionError {
    /// The final response to the request.
    fn response(self) -> Response {
        match self {
            AdmissionError::ShutDown => Response::Rejected(Some(RETRY_AFTER_SHUTDOWN)),
            AdmissionError::NotAcceptable => Response::Failed(Failure::NotSent),
            AdmissionError::IdInUse => Response::Failed(Failure::InUse),
            AdmissionError::StatementMemory => {
                Response::Rejected(Some(RETRY_AFTER_STATEMENT_LIMIT))
            }
        }
    }

    /// The cause under which a rejection is counted; `None` if the request fails instead.
    fn rejection_cause(self) -> Option<RejectionCause> {
        match self {
            AdmissionError::ShutDown => Some(RejectionCause::ShutDown),
            AdmissionError::StatementMemory => Some(RejectionCause::StatementMemory),
            AdmissionError::NotAcceptable | AdmissionError::IdInUse => None,
        }
    }
}

impl Dispatcher {
    /// Handles a request from a client: admits it to the in-flight table or sends its final
    /// response at once.
    pub fn handle_request(
        &mut self,
        now: Micros,
        request: ClientRequest,
        commands: &mut Vec<Command>,
    ) {
        self.counters.received += 1;
        match self.check_admission(&request) {
            Ok(idempotency) => self.admit_request(now, request, idempotency, commands),
            Err(error) => {
                if let Some(cause) = error.rejection_cause() {
                    self.count_rejection(request.class, Some(request.tenant), cause);
                }
                self.respond_without_admission(&request, error.response(), commands);
            }
        }
    }

    /// The ids of requests in flight, and of those that finished last.
    pub fn known_request_ids(&self) -> impl Iterator<Item = &str> {
        self.known_request_ids.iter().map(AsRef::as_ref)
    }

    /// Whether a request with this id is in flight, or finished shortly before.
    pub fn knows_request_id(&self, id: &str) -> bool {
        self.known_request_ids.contains(id)
    }

    /// Records the id of a request that another process of this gateway has admitted. Returns whether
    /// it is new.
    pub fn add_known_request_id(&mut self, id: &str) -> bool {
        let id: Rc<str> = id.into();
        let is_new = self.known_request_ids.insert(id.clone());
        if is_new {
            self.keep_finished_request_id(id);
        }
        is_new
    }

    /// Checks whether the request may be admitted. If so, returns how it may be repeated.
    fn check_admission(&self, request: &ClientRequest) -> Result<Idempotency, AdmissionError> {
        // The request was still in the mailbox when `end_all_requests` ended the others, and
        // nothing would end it later.
        if !self.admits_requests {
            return Err(AdmissionError::ShutDown);
        }
        // A second request from an origin that still waits would receive the response to the first.
        let origin_is_waiting = self.requests_by_origin.contains_key(&request.origin);
        let Some(class) = self
            .class_registry
            .class(request.class)
            .filter(|_| !origin_is_waiting)
        else {
            return Err(AdmissionError::NotAcceptable);
        };
        // Engines and clients identify requests by the client request id: a second request with the
        // same id would be taken for the next attempt of the first, or would receive its response.
        if self.known_request_ids.contains(&request.client_request_id) {
            return Err(AdmissionError::IdInUse);
        }
        // The decision module does not receive the length of statements, so this limit is applied
        // here.
        if self.statement_bytes + request.statement.len() > self.max_statement_bytes {
            return Err(AdmissionError::StatementMemory);
        }
        Ok(effective_idempotency(class.spec.idempotency, request))
    }

    fn admit_request(
        &mut self,
        now: Micros,
        request: ClientRequest,
        idempotency: Idempotency,
        commands: &mut Vec<Command>,
    ) {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        let id = RequestId(self.last_request_id);
        let event = Event::Request(policy_request(id, &request, idempotency));
        self.known_request_ids
            .insert(request.client_request_id.clone());
        self.statement_bytes += request.statement.len();
        self.class_registry.request_opened(request.class);
        self.requests_by_origin.insert(request.origin, id);
        self.deadlines
            .insert((request.deadline + DEADLINE_GRACE, id));
        let may_hedge = self.capabilities.hedging && idempotency != Idempotency::NonIdempotent;
        let max_concurrent_attempts = if may_hedge {
            MAX_CONCURRENT_ATTEMPTS
        } else {
            1
        };
        let in_flight = InFlightRequest::new(
            request,
            idempotency,
            self.max_attempts,
            max_concurrent_attempts,
        );
        self.in_flight.insert(id, in_flight);
        self.handle_event(now, event, commands);
    }

    fn respond_without_admission(
        &mut self,
        request: &ClientRequest,
        response: Response,
        commands: &mut Vec<Command>,
    ) {
        self.count_response(request.class, &response);
        self.record_response(request.class, &request.client_request_id, &response);
        commands.push(Command::Respond {
            origin: request.origin,
            response,
        });
    }

    /// Abandons the request of this origin, if any: its client stopped waiting for it.
    pub fn cancel_request(&mut self, now: Micros, origin: Origin, commands: &mut Vec<Command>) {
        if let Some(id) = self.requests_by_origin.remove(&origin) {
            self.counters.abandoned += 1;
            self.abandon_request(now, id, commands);
        }
    }

    /// Abandons all requests of a client connection, which is closed.
    pub fn client_disconnected(&mut self, now: Micros, conn: u64, commands: &mut Vec<Command>) {
        let first = Origin { conn, tag: 0 };
        let last = Origin {
            conn,
            tag: u64::MAX,
        };
        let origins: Vec<Origin> = self
            .requests_by_origin
            .range(first..=last)
            .map(|(origin, _)| *origin)
            .collect();
        for origin in origins {
            self.cancel_request(now, origin, commands);
        }
    }

    fn abandon_request(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        request.closed = true;
        self.deadlines
            .remove(&(request.request.deadline + DEADLINE_GRACE, id));
        self.handle_event(now, Event::ClientDisconnected(id), commands);
        self.cancel_all_attempts(id, Termination::Cancelled, commands);
        self.remove_if_finished(id);
    }
}

/// How a request may be repeated. Engines detect duplicates only by the idempotency key, so a
/// request without a key must not be repeated if its class is idempotent by key.
fn effective_idempotency(of_class: Idempotency, request: &ClientRequest) -> Idempotency {
    let needs_key = matches!(of_class, Idempotency::WithKey { .. });
    if needs_key && request.idempotency_key.is_none() {
        Idempotency::NonIdempotent
    } else {
        of_class
    }
}

/// The request as it is passed to the decision module.
fn policy_request(id: RequestId, request: &ClientRequest, idempotency: Idempotency) -> Request {
    let session = request.session.as_ref();
    let database = session.and_then(|session| session.database.as_deref());
    // 0 means that the data set is unknown.
    let data_set = statement::table_group(&request.statement, database)
        .map_or(0, |group| group.wrapping_add(1));
    Request {
        id,
        class: request.class,
        tenant: request.tenant,
        key: None,
        deadline: nanos(request.deadline),
        work_hint: request.work_estimate.map(nanos),
        memory_hint_mb: request.memory_mb,
        data_set,
        is_retry: request.is_retry,
        must_not_repeat: idempotency == Idempotency::NonIdempotent,
    }
}
