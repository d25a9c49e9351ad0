//! Events that the module receives.

use super::{
    AttemptNo, CellId, ClassId, EngineId, MachineTypeId, Nanos, OrderKey, RequestId, TenantId,
    ZoneId,
};

/// State of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts attempts.
    Ready,
    /// Finishes the attempts it has and accepts no new ones.
    Draining,
    /// No longer part of the deployment.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The engine.
    pub id: EngineId,
    /// The zone it runs in.
    pub zone: ZoneId,
    /// The type of its machine.
    pub machine_type: MachineTypeId,
    /// The cell whose engines recognize duplicates of its requests.
    pub cell: CellId,
    /// Whether it accepts attempts.
    pub readiness: Readiness,
    /// The deployment's own measure of size or load; the module does not use it.
    pub weight: f64,
    /// When it last started, on the clock of the events; 0 if its slow start ended long ago.
    pub started_at: Nanos,
    /// It is not sent idempotency keys, so it neither discards duplicates nor records a key for the
    /// engines that do.
    pub ignores_idempotency_keys: bool,
}

/// How an update of the endpoint list relates to the list that the module holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Complete but possibly stale: the list that this gateway had stored.
    Cached,
    /// Only the entries that changed.
    Changes,
    /// Complete and current; an engine that is missing has been removed.
    Full,
    /// A poll or the watch failed; the update has no entries and changes nothing.
    Failed,
}

/// A request from a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The key by which it is ordered if its class is
    /// [`serial_per_key`](super::ClassSpec::serial_per_key).
    pub key: Option<OrderKey>,
    /// The point in time at which the client stops waiting for it.
    pub deadline: Nanos,
    /// The client's estimate of its work: run time in nanoseconds, summed over all threads.
    pub work_hint: Option<Nanos>,
    /// The client's estimate of its memory, in MB.
    pub memory_hint_mb: Option<f64>,
    /// The data set that it reads; 0 if unknown.
    pub data_set: u64,
    /// The client marked it as a retry of an earlier request.
    pub is_retry: bool,
    /// It has no idempotency key, so it must not run twice, even if its class allows that.
    pub must_not_repeat: bool,
}

/// How an attempt, or a load probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The engine completed it.
    Ok,
    /// The engine responded with an error; the attempt may have run.
    Error,
    /// The engine rejected it before it ran.
    Rejected,
    /// No response in time; the attempt may still run.
    Timeout,
    /// No connection was made; the attempt never ran.
    ConnectFailed,
    /// The connection was reset; the attempt may still run.
    Reset,
    /// It was cancelled; it may have run, and may still run.
    Cancelled,
    /// The host did not send it; it never ran and counts against no budget.
    NeverSent,
}

/// Number of values that a [`LoadReport`] can hold.
pub const MAX_LOAD_FIELDS: usize = 4;

/// Values of a load report, in the order of
/// [`Settings::load_fields`](super::Settings::load_fields).
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    len: usize,
    values: [f32; MAX_LOAD_FIELDS],
}

impl LoadReport {
    /// A report of the first [`MAX_LOAD_FIELDS`] of `reported`; further values are dropped.
    pub fn from_values(reported: &[f32]) -> LoadReport {
        let len = reported.len().min(MAX_LOAD_FIELDS);
        let mut values = [0.0; MAX_LOAD_FIELDS];
        values[..len].copy_from_slice(&reported[..len]);
        LoadReport { len, values }
    }

    /// The values that were reported, at most [`MAX_LOAD_FIELDS`].
    pub fn values(&self) -> &[f32] {
        &self.values[..self.len]
    }

    /// Whether the engine reported no value.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// What an engine reports about a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Completed fraction of the query, 0 to 1.
    Progress(f64),
    /// The query spills to disk; the value is the memory that it lacks, in MB.
    Spill(f64),
    /// The query waits for memory.
    WaitsForMemory,
    /// The query waits for a load that holds the lock of its data set.
    WaitsForLoad,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time since it was sent.
    pub latency: Nanos,
    /// The request has received its final response, from this attempt or from an earlier event.
    pub request_finished: bool,
    /// The query's work, summed over all threads, if the engine reported it.
    pub work: Option<Nanos>,
    /// The memory that the query needed, in MB, if the engine reported it.
    pub memory_mb: Option<f64>,
    /// The engine's load at the end of the attempt; empty if it reported none.
    pub load: LoadReport,
}

/// An event that the module handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// How the entries relate to the list that the module holds.
        kind: EndpointListKind,
        /// The entries; none for [`EndpointListKind::Failed`].
        entries: Vec<Endpoint>,
    },
    /// A request was received from a client.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// The first byte of a response was forwarded to the client; from then on only this attempt can
    /// complete the request.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An engine reported on a running attempt.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The report's content.
        update: ProgressUpdate,
    },
    /// The client of a request disconnected or cancelled it; no response is expected.
    ClientDisconnected(RequestId),
    /// A timer fired; the token is that of [`Action::StartTimer`](super::Action::StartTimer).
    TimerFired(u64),
    /// A load probe ended.
    ProbeCompleted {
        /// The engine.
        engine: EngineId,
        /// How the probe ended.
        kind: OutcomeKind,
        /// Time since it was sent.
        latency: Nanos,
        /// The engine's load; empty if it reported none.
        load: LoadReport,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The index of the sending gateway.
        from: u32,
        /// The content.
        data: Vec<u8>,
    },
}
