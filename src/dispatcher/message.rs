//! The messages between frontends, the dispatcher and engine connections. They are independent of
//! the wire protocols.
use super::termination::{Termination, TransmitProgress};
use crate::clock::{MS, Micros};
use crate::policy::api::{
    AttemptNo, ClassId, EngineId, LoadReport, OutcomeKind, RequestId, TenantId,
};
use std::rc::Rc;

/// The client connection that sent a request, and the frontend's tag for the request on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The number of the client connection.
    pub conn: u64,
    /// Identifies the request on that connection.
    pub tag: u64,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0.
    pub attempt: AttemptNo,
}

/// The client's session settings for a statement. Some engine protocols cannot express them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// The database in which unqualified table names are resolved.
    pub database: Option<Rc<str>>,
    /// The client's own identifier of the query.
    pub query_id: Option<Rc<str>>,
}

/// A request, as a frontend passes it to the dispatcher.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Where the response is sent.
    pub origin: Origin,
    /// The client's identifier of the request, which is passed to engines unchanged.
    pub client_request_id: Rc<str>,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The client's estimate of the work, as time on one thread.
    pub work_estimate: Option<Micros>,
    /// The client's estimate of the memory, in MB.
    pub memory_mb: Option<f64>,
    /// The client declared this request a retry of an earlier one.
    pub is_retry: bool,
    /// The statement to execute.
    pub statement: Rc<[u8]>,
    /// The session settings.
    pub session: Option<Rc<Session>>,
    /// The idempotency key of all attempts and retries of the request, if the client sent one.
    pub idempotency_key: Option<Rc<str>>,
}

/// The reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The deadline of the request passed.
    Deadline,
    /// The last attempt ended in this way.
    Attempt(Termination),
    /// No attempt was started.
    NotSent,
    /// Another request with the same client request id is in flight, or ended recently.
    InUse,
}

/// A final response. Each request gets exactly one unless its client stopped waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// All rows, as text with tabs and line feeds.
    Completed(Vec<u8>),
    /// A retry of the request is harmless. The client should wait for this time before it, if
    /// given.
    Rejected(Option<Micros>),
    /// The request may or may not have been executed.
    Failed(Failure),
    /// The bytes of a response that another process of this gateway formatted, for a connection
    /// that was transferred to this process in a hot restart.
    Preformatted(Vec<u8>),
}

/// The message that starts an attempt at an engine.
#[derive(Clone, Debug, Default)]
pub struct AttemptRequest {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNo,
    /// The client's connection. If it is closed before the first byte of the attempt is written,
    /// the attempt is cancelled instead.
    pub client_connection: u64,
    /// The client's identifier of the request.
    pub client_request_id: Rc<str>,
    /// The name of the request's class.
    pub class: Rc<str>,
    /// The statement to execute.
    pub statement: Rc<[u8]>,
    /// The session settings.
    pub session: Option<Rc<Session>>,
    /// The request must not be executed twice.
    pub must_not_repeat: bool,
    /// The idempotency key by which engines detect a duplicate.
    pub idempotency_key: Option<Rc<str>>,
    /// The priority, 0 to 3, if one was set and engines support priorities.
    pub priority: Option<u8>,
    /// When the attempt is cancelled if it has not ended by then.
    pub deadline: Micros,
    /// Memory to grant in MB; 0 leaves the amount to the engine.
    pub memory_mb: f64,
}

/// A command that the dispatcher returns. Its caller executes the commands in order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt. An [`AttemptResult`] reports its end.
    StartAttempt {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        request: AttemptRequest,
    },
    /// Cancel an attempt. An [`AttemptResult`] still reports its end.
    CancelAttempt {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Mark an attempt as slow: a hedged attempt is about to be started beside it.
    MarkSlow {
        /// The engine.
        engine: EngineId,
        /// The slow attempt.
        attempt: AttemptId,
    },
    /// Change the priority of an attempt in flight.
    Reprioritize {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        attempt: AttemptId,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Send a load probe to an engine.
    Probe(EngineId),
    /// Close idle connections to an engine.
    CloseIdle(EngineId),
    /// Send a final response to a client.
    Respond {
        /// The request.
        origin: Origin,
        /// The response.
        response: Response,
    },
    /// Write a message of the decision module to the log.
    Log(String),
}

impl AttemptRequest {
    /// The attempt to start.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            attempt: self.attempt,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNo,
    /// How it ended.
    pub termination: Termination,
    /// How much of the attempt had been written to the engine.
    pub progress: TransmitProgress,
    /// The engine's reply; the default if it sent none.
    pub reply: AttemptReply,
}

impl AttemptResult {
    /// The result of an attempt of which no byte was sent.
    pub fn unsent(attempt: AttemptId, termination: Termination) -> AttemptResult {
        AttemptResult {
            id: attempt.request,
            attempt: attempt.attempt,
            termination,
            progress: TransmitProgress::Unsent,
            reply: AttemptReply::default(),
        }
    }

    /// The attempt that ended.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            attempt: self.attempt,
        }
    }
}

/// The contents of an engine's reply to an attempt.
#[derive(Clone, Debug, Default)]
pub struct AttemptReply {
    /// With [`Termination::Done`], the rows as text with tabs and line feeds.
    pub rows: Vec<u8>,
    /// The engine's load, as far as it reported it.
    pub load: LoadReport,
    /// The cost of the query, if the engine reported it.
    pub cost: Cost,
}

/// How a load probe of an engine ended.
#[derive(Clone, Copy, Debug)]
pub struct ProbeOutcome {
    /// The engine.
    pub engine: EngineId,
    /// Whether and how the probe failed.
    pub kind: OutcomeKind,
    /// Time from the request to the reply.
    pub latency: Micros,
    /// The load that the engine reported.
    pub load: LoadReport,
}

/// The cost of one query, as its engine reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// The CPU time of all its threads.
    pub work: Option<Micros>,
    /// Its peak memory, in MB.
    pub memory_mb: Option<f64>,
}

/// Upper limit of a plausible value for one query, in milliseconds of work (one day) or MB of
/// memory (86 TB). Greater values are treated as errors of the client or the engine that reported
/// them.
pub const MAX_REPORTED_VALUE: f64 = 86_400_000.0;

impl Cost {
    /// The cost from an engine's report, in milliseconds of work and MB of memory. A value that is
    /// not finite, not positive or greater than [`MAX_REPORTED_VALUE`] is ignored.
    pub fn from_report(work_ms: Option<f64>, memory_mb: Option<f64>) -> Cost {
        let is_plausible =
            |value: &f64| value.is_finite() && *value > 0.0 && *value <= MAX_REPORTED_VALUE;
        let to_micros = |work_ms: f64| (work_ms * MS as f64) as Micros;
        Cost {
            work: work_ms.filter(is_plausible).map(to_micros),
            memory_mb: memory_mb.filter(is_plausible),
        }
    }
}
