//! The datagrams of duties, in postcard behind a tag of the format, beside those of the membership
//! on one socket.
use super::shared_probe::Sounding;
use super::{Duty, Holder, Token, Vote};
use crate::membership::codec::{self, Unread};
use serde::{Deserialize, Serialize};

/// The first bytes of each datagram.
pub const TAG: [u8; 4] = *b"YLD1";

/// What managers say to each other of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Letter {
    /// To a voter: the holder asks for the duty under the token, or to renew it. The vote carries
    /// the number.
    Ask(Holder, Duty, Token, u32),
    /// A voter's vote.
    Vote(String, Duty, u32, Vote),
    /// To a voter: the holder gives the lease up.
    Release(Holder, Duty, Token),
    /// To the owner: tell what the engine's load is, under this number.
    Want(u64, u32),
    /// From the owner, under its token.
    Told(u64, u32, Token, Sounding),
    /// The one that was asked does not own the duty; the highest token it has seen.
    NotMine(u64, u32, Token),
}

/// The datagram of a letter.
pub fn encode(letter: &Letter) -> Vec<u8> {
    codec::pack(TAG, letter)
}

/// The letter of a datagram no longer than `most`.
pub fn decode(datagram: &[u8], most: usize) -> Result<Letter, Unread> {
    codec::unpack(TAG, datagram, most)
}
