//! Actions that the module orders its host to carry out.

use super::{AttemptNo, EngineId, Nanos, RejectionReason, RequestId};

/// An action that the module orders in response to an event. The host carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request; attempts are numbered in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Time after which the attempt ends as timed out; 0 if only the deadline limits it.
        timeout: Nanos,
    },
    /// Set the options of a request's next attempts. The priority also applies to attempts that
    /// are in flight.
    SetAttemptOptions {
        /// The request.
        id: RequestId,
        /// Priority at the engine, 0 to 3; 1 is the default.
        priority: u8,
        /// Memory to grant, in MB; 0 leaves it to the engine.
        memory_mb: f64,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final response: the request is rejected, which promises that a retry is harmless
    /// (invariant 2).
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After time of the response; 0 for none.
        retry_after: Nanos,
        /// Why it is rejected; reported to operators, not to the client.
        reason: RejectionReason,
    },
    /// Final response: the request failed. It may have run, so nothing is promised about a retry.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Start a timer.
    StartTimer {
        /// Time until it fires, counted from now.
        after: Nanos,
        /// Token that [`Event::TimerFired`](super::Event::TimerFired) returns.
        token: u64,
    },
    /// Send a load probe to an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Close the idle connections to an engine.
    CloseIdleConnections {
        /// The engine.
        engine: EngineId,
    },
    /// Send a message to one other gateway or to all of them.
    SendToPeer {
        /// The index of the receiving gateway; `None` for all.
        peer: Option<u32>,
        /// The content, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// Start (`true`) or stop (`false`) watching the endpoint list for changes.
    WatchEndpointList(bool),
    /// Write a line to the log.
    Log(String),
}
