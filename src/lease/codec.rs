//! The datagrams of duties, in postcard behind a tag of the format, beside those of the membership
//! on one socket.
use super::shared_probe::ProbeResult;
use super::{FencingToken, Holder, Resource, Vote};
use crate::membership::codec::{self, DecodeError};
use serde::{Deserialize, Serialize};

/// The first bytes of each datagram.
pub const TAG: [u8; 4] = *b"YLD1";

/// What managers say to each other of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// To a voter: the holder asks for the duty under the token, or to renew it. The vote carries
    /// the number.
    Ask(Holder, Resource, FencingToken, u32),
    /// A voter's vote.
    Vote(String, Resource, u32, Vote),
    /// To a voter: the holder gives the lease up.
    Release(Holder, Resource, FencingToken),
    /// To the owner: tell what the engine's load is, under this number.
    Want(u64, u32),
    /// From the owner, under its token.
    Told(u64, u32, FencingToken, ProbeResult),
    /// The one that was asked does not own the duty; the highest token it has seen.
    NotMine(u64, u32, FencingToken),
}

/// The datagram of a letter.
pub fn encode(letter: &LeaseMessage) -> Vec<u8> {
    codec::pack(TAG, letter)
}

/// The letter of a datagram no longer than `most`.
pub fn decode(datagram: &[u8], most: usize) -> Result<LeaseMessage, DecodeError> {
    codec::unpack(TAG, datagram, most)
}
