//! The messages between frontends, the dispatcher and engine connections, independent of any wire
//! protocol.
use super::termination::{Termination, TransmitProgress};
use crate::clock::{MS, Micros};
use crate::policy::api::{
    AttemptNo, ClassId, EngineId, LoadReport, OutcomeKind, RequestId, TenantId,
};
use std::rc::Rc;

/// Which client connection a request came from, and the frontend's tag for the request there.
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

/// The client's session settings for a statement. Not every engine protocol can express them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// The database in which unqualified table names are resolved.
    pub database: Option<Rc<str>>,
    /// The client's own identifier of the query.
    pub query_id: Option<Rc<str>>,
}

/// A request, as a frontend passes it on.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Where the response is sent.
    pub origin: Origin,
    /// The client's identifier of the request, passed to engines unchanged.
    pub client_request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The client's estimate of its work: the time on one thread.
    pub work_estimate: Option<Micros>,
    /// The client's estimate of its memory, in MB.
    pub memory_mb: Option<f64>,
    /// The client declares this to be a retry of an earlier request.
    pub is_retry: bool,
    /// The statement to execute.
    pub statement: Rc<[u8]>,
    /// The session settings.
    pub session: Option<Rc<Session>>,
    /// The idempotency key that all attempts and retries of the request carry, if the client sent
    /// one.
    pub idempotency_key: Option<Rc<str>>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its deadline passed.
    Deadline,
    /// Its last attempt ended like this.
    Attempt(Termination),
    /// No attempt was started.
    NotSent,
    /// Another request with the same client request id is in flight, or ended a short while ago.
    InUse,
}

/// A final response. Each request gets exactly one unless its client stopped waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// All rows, as text with tabs and line feeds.
    Completed(Vec<u8>),
    /// The request was not executed, so that it can safely be retried; after this time, if given.
    Rejected(Option<Micros>),
    /// The request may or may not have been executed.
    Failed(Failure),
    /// The bytes of a response that another process of this gateway formatted, for a connection
    /// that was transferred to this one in a hot restart.
    Preformatted(Vec<u8>),
}

/// An attempt to start at an engine.
#[derive(Clone, Debug, Default)]
pub struct AttemptRequest {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNo,
    /// The client's connection: if it closed before the first byte is written, the attempt is
    /// cancelled instead.
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
    /// When the attempt is cancelled if it has not ended.
    pub deadline: Micros,
    /// Memory to grant in MB; 0 leaves it to the engine.
    pub memory_mb: f64,
}

/// What the dispatcher wants its caller to do, in this order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt. Its end is reported by an [`AttemptResult`].
    StartAttempt {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        request: AttemptRequest,
    },
    /// Cancel an attempt. Its end is still reported by an [`AttemptResult`].
    CancelAttempt {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt takes longer than expected, and a hedged attempt is about to be started.
    MarkSlow {
        /// The engine.
        engine: EngineId,
        /// The attempt that is slow.
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
    /// How much of it had been written to the engine.
    pub progress: TransmitProgress,
    /// What the engine replied; the default if it did not.
    pub reply: AttemptReply,
}

impl AttemptResult {
    /// The end of an attempt of which no byte was sent.
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
    /// The engine's load, if it reported it.
    pub load: LoadReport,
    /// The cost of the query, if the engine reported it.
    pub cost: Cost,
}

/// How a load probe of an engine ended.
#[derive(Clone, Copy, Debug)]
pub struct ProbeOutcome {
    /// The engine.
    pub engine: EngineId,
    /// Whether and how it failed.
    pub kind: OutcomeKind,
    /// From the request to the reply.
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

/// The greatest credible figure of one query, whether milliseconds or MB: a day, or 86 TB. Greater
/// figures are taken for errors of whoever reported them.
pub const MAX_REPORTED_FIGURE: f64 = 86_400_000.0;

impl Cost {
    /// The cost from an engine's report in milliseconds of work and MB of memory. A figure that is
    /// not finite, not positive or above [`MAX_REPORTED_FIGURE`] is ignored.
    pub fn from_report(work_ms: Option<f64>, memory_mb: Option<f64>) -> Cost {
        let is_credible =
            |figure: &f64| figure.is_finite() && *figure > 0.0 && *figure <= MAX_REPORTED_FIGURE;
        let to_micros = |work_ms: f64| (work_ms * MS as f64) as Micros;
        Cost {
            work: work_ms.filter(is_credible).map(to_micros),
            memory_mb: memory_mb.filter(is_credible),
        }
    }
}
