//! The requests and reports between managers, and the actions of the prober.
use super::ProbeResult;
use crate::clock::Micros;
use crate::lease::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a request for an engine's load; the reply contains the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequestId {
    /// The id of the engine.
    pub engine: u64,
    /// The number that the requester assigned to the request.
    pub number: u32,
}

/// A lease holder's reply to a request for an engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// The request.
    pub request: ProbeRequestId,
    /// The token of the holder's lease.
    pub token: FencingToken,
    /// The result of the probe.
    pub result: ProbeResult,
}

/// An action that the prober's caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeAction {
    /// Probe the engine for this manager's decision module.
    ProbeEngine {
        /// The id of the engine.
        engine: u64,
    },
    /// Probe the engine for the waiting peers.
    ProbeForPeers {
        /// The id of the engine.
        engine: u64,
        /// The end of the lease; the probe must not be sent at or after this time.
        deadline: Micros,
    },
    /// Deliver a result to this manager's decision module.
    Deliver {
        /// The id of the engine.
        engine: u64,
        /// The result.
        result: ProbeResult,
    },
    /// Request the load from the preferred owner.
    RequestFromOwner {
        /// The name of the owner.
        owner: String,
        /// The request.
        request: ProbeRequestId,
    },
    /// Report the result to a peer.
    Report {
        /// The peer's address.
        to: SocketAddr,
        /// The report.
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
