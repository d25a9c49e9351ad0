//! What fronts, engines and the core tell one another, in no wire's terms.
use super::termination::{Termination, TransmitProgress};
use crate::clock::{MS, Micros};
use crate::policy::api::{AttemptNo, ClassId, EngineId, LoadReport, RequestId, TenantId};
use std::rc::Rc;

/// Which connection of which front a request came from, and the front's own mark for it there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The connection.
    pub conn: u64,
    /// The request on it.
    pub tag: u64,
}

/// What a client's session adds to a statement; not every engine knows of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// Where names without a schema are looked up.
    pub database: Option<Rc<str>>,
    /// The client's own name for the query.
    pub query_id: Option<Rc<str>>,
}

/// A request, as a front hands it in.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Where the answer goes.
    pub origin: Origin,
    /// The client's name for the request, passed on unchanged.
    pub client_request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The estimate of its work.
    pub work_estimate: Option<Micros>,
    /// The estimate of its memory.
    pub memory_mb: Option<f64>,
    /// The client said that it tried before.
    pub is_retry: bool,
    /// What to run.
    pub statement: Rc<[u8]>,
    /// What its session adds.
    pub session: Option<Rc<Session>>,
    /// The key that all tries of one request carry, where its client gave one.
    pub idempotency_key: Option<Rc<str>>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its time was up.
    Deadline,
    /// Its last attempt ended so.
    Attempt(Termination),
    /// It was never sent.
    NotSent,
    /// Its name is that of another request.
    InUse,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// All rows, as text with tabs and line feeds.
    Completed(Vec<u8>),
    /// Trying again is harmless; after so long, if advice is given.
    Rejected(Option<Micros>),
    /// Nothing is promised.
    Failed(Failure),
    /// One that another process gave and worded, on a connection that was passed to this one.
    Preformatted(Vec<u8>),
}

/// An attempt to start.
#[derive(Clone, Debug, Default)]
pub struct AttemptRequest {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The client's connection, which is looked at once more before the first byte goes out.
    pub client_connection: u64,
    /// The client's name for the request.
    pub client_request_id: Rc<str>,
    /// The name of its class.
    pub class: Rc<str>,
    /// What to run.
    pub statement: Rc<[u8]>,
    /// What its session adds.
    pub session: Option<Rc<Session>>,
    /// It must never run twice.
    pub must_not_repeat: bool,
    /// The key by which engines know a repeat of it.
    pub idempotency_key: Option<Rc<str>>,
    /// Its priority, where one was set and is heeded: 0 to 3.
    pub priority: Option<u8>,
    /// When nobody waits for it any more.
    pub deadline: Micros,
    /// Memory to grant in MB; 0 leaves it to the engine.
    pub memory_mb: f64,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    StartAttempt(EngineId, AttemptRequest),
    /// Give up an attempt; its end comes back.
    CancelAttempt(EngineId, RequestId, AttemptNo),
    /// Another attempt goes beside this one, which takes longer than it should.
    MarkSlow(EngineId, RequestId, AttemptNo),
    /// A new priority for an attempt that is out.
    Reprioritize(EngineId, RequestId, AttemptNo, u8),
    /// Probe an engine.
    Probe(EngineId),
    /// Close idle connections to an engine.
    CloseIdle(EngineId),
    /// Give a final answer.
    Respond(Origin, Response),
    /// A line of the module for the log.
    Log(String),
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// How.
    pub termination: Termination,
    /// How much of it went out.
    pub progress: TransmitProgress,
    /// What the engine replied; empty where it did not.
    pub reply: AttemptReply,
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

/// What an answer tells of the query's cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Work of all its threads.
    pub work: Option<Micros>,
    /// Memory that it needed, in MB.
    pub memory_mb: Option<f64>,
}

/// Waits and costs in milliseconds, and memory in MB, are figures of one query: beyond this they
/// are mistakes.
pub const MAX_REPORTED_FIGURE: f64 = 86_400_000.0;

impl Cost {
    /// What an engine said: milliseconds of work, and MB. A figure that is missing, not positive,
    /// not finite or absurd is as none.
    pub fn from_report(work_ms: Option<f64>, memory_mb: Option<f64>) -> Cost {
        let sound =
            |figure: &f64| figure.is_finite() && *figure > 0.0 && *figure <= MAX_REPORTED_FIGURE;
        let work = work_ms.filter(sound).map(|ms| (ms * MS as f64) as Micros);
        Cost {
            work,
            memory_mb: memory_mb.filter(sound),
        }
    }
}
