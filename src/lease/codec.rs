//! The encoding of lease datagrams: a format tag followed by postcard. They share the socket of the
//! membership datagrams.
//!
//! Postcard encodes variants and fields by position, without names: reordering them changes the
//! wire format, renaming them does not.
use super::shared_probe::{ProbeReport, ProbeRequestId};
use super::{FencingToken, Holder, LeaseRequest, Resource, VoteReply};
use crate::membership::codec::{self, DecodeError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first bytes of each datagram.
pub const TAG: [u8; 4] = *b"YLD1";

/// A message between managers about leases and the probes made under them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// To a voter: a request for a lease, or for its renewal.
    RequestLease(LeaseRequest),
    /// From a voter: its vote on a request.
    Vote(VoteReply),
    /// To a voter: the holder releases its lease.
    Release {
        /// Who held the lease.
        holder: Holder,
        /// The resource.
        resource: Resource,
        /// The token of the lease.
        token: FencingToken,
    },
    /// To the lease holder: a request for the load of an engine.
    RequestProbe(ProbeRequestId),
    /// From the lease holder: the load of an engine, under the holder's token.
    ProbeReport(ProbeReport),
    /// The receiver of a probe request does not hold the lease.
    NotOwner {
        /// The request.
        request: ProbeRequestId,
        /// The highest token that the receiver has observed for the resource.
        highest_token: FencingToken,
    },
}

/// An encoded message to another manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

impl Datagram {
    /// Encodes a message for the receiver at `to`.
    pub fn new(to: SocketAddr, message: &LeaseMessage) -> Datagram {
        let bytes = encode(message);
        Datagram { to, bytes }
    }
}

/// Encodes a message as the payload of a datagram.
pub fn encode(message: &LeaseMessage) -> Vec<u8> {
    codec::pack(TAG, message)
}

/// Decodes a datagram of at most `max_bytes`.
///
/// # Errors
/// A [`DecodeError`] if it is too large, of another format, or malformed.
pub fn decode(datagram: &[u8], max_bytes: usize) -> Result<LeaseMessage, DecodeError> {
    codec::unpack(TAG, datagram, max_bytes)
}
