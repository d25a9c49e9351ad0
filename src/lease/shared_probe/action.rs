//! What managers ask each other for, and what the prober wants to have done.
use super::ProbeResult;
use crate::clock::Micros;
use crate::lease::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Names a request for an engine's load; the answer repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequestId {
    /// The id of the engine.
    pub engine: u64,
    /// The number that the requester gave it.
    pub number: u32,
}

/// A lease holder's answer to a request for an engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// The request.
    pub request: ProbeRequestId,
    /// The token of the holder's lease.
    pub token: FencingToken,
    /// The result of the probe.
    pub result: ProbeResult,
}

/// What the prober wants to have done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeAction {
    /// Probe the engine for this manager's decision module.
    ProbeEngine {
        /// The id of the engine.
        engine: u64,
    },
    /// Probe the engine for peers that wait.
    ProbeForPeers {
        /// The id of the engine.
        engine: u64,
        /// The end of the lease: the probe must not be sent from then on.
        deadline: Micros,
    },
    /// Give a result to this manager's decision module.
    Deliver {
        /// The id of the engine.
        engine: u64,
        /// The result.
        result: ProbeResult,
    },
    /// Ask the preferred owner.
    RequestFromOwner {
        /// The name of the owner.
        owner: String,
        /// The request.
        request: ProbeRequestId,
    },
    /// Answer a peer.
    Report {
        /// The peer's address.
        to: SocketAddr,
        /// The answer.
        report: ProbeReport,
    },
    /// Reject a peer's request: this manager does not hold the lease, or has no result.
    RejectNotOwner {
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        request: ProbeRequestId,
    },
}
