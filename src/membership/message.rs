//! The messages between managers and the member updates that they carry.
//!
//! Postcard encodes the enums by the position of a variant and the structs by the order of their
//! fields, so neither may be reordered without a new format tag
//! ([`codec::TAG`](super::codec::TAG)).
use super::version::RunningVersions;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The state of a member, as recorded by another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// It did not respond to its probes and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced its departure.
    Left,
}

impl MemberState {
    /// Whether the member is no longer part of the fleet: dead or departed.
    pub fn is_dead_or_left(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }

    /// The name of the state in the log and in the audit report.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "Alive",
            MemberState::Suspect => "Suspect",
            MemberState::Dead => "Dead",
            MemberState::Left => "Left",
        }
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The state of one member at one incarnation: the unit of gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name, which stays the same after a restart.
    pub name: String,
    /// The address that receives its datagrams.
    pub addr: SocketAddr,
    /// Increases with each start of the member's process, and within a process with each refutation
    /// and each change of versions.
    pub incarnation: u64,
    /// The member's state.
    #[serde(rename = "health")]
    pub state: MemberState,
    /// The versions that the member runs with.
    pub versions: RunningVersions,
}

impl MemberUpdate {
    /// Whether this update replaces `known`, by the precedence rules of SWIM: a higher incarnation
    /// always wins; at the same incarnation `Suspect` overrides `Alive`, and `Dead` and `Left`
    /// override both. A dead member returns to the fleet only with a higher incarnation.
    pub fn supersedes(&self, known: &MemberUpdate) -> bool {
        let newer = self.incarnation > known.incarnation;
        let same = self.incarnation == known.incarnation;
        match (self.state, known.state) {
            (MemberState::Suspect, MemberState::Alive) => newer || same,
            (MemberState::Dead | MemberState::Left, state) if !state.is_dead_or_left() => {
                newer || same
            }
            _ => newer,
        }
    }
}

/// The request or the response that a message carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests an `Ack` with this sequence number.
    Ping(u32),
    /// Acknowledges the ping with this sequence number.
    Ack(u32),
    /// Requests that the receiver ping `target` and forward the ack under the sender's `sequence`:
    /// the indirect probe of SWIM.
    PingReq {
        /// The sequence number of the sender's probe.
        sequence: u32,
        /// The address of the member to ping.
        target: SocketAddr,
    },
    /// Announces the departure of the sender.
    Leave,
    /// Requests the page of members whose names sort after this one; empty for the first page.
    Sync(String),
    /// One page of the sender's members, which are sent as the gossip of the message.
    Page {
        /// The last name on the page, from which the next page continues.
        last_name: String,
        /// Whether no members follow this page.
        is_final: bool,
    },
}

/// One datagram between managers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own update: every datagram is evidence that its sender is alive.
    pub from: MemberUpdate,
    /// The request or the response.
    pub body: MessageBody,
    /// Piggybacked updates of other members.
    pub gossip: Vec<MemberUpdate>,
}
