//! The datagrams between managers, in postcard behind a tag of the format. What can't be read is
//! dropped and counted by the caller; nothing here panics on what comes in.
use super::{MemberUpdate, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first bytes of each datagram: the protocol and the version of its format. Another build's
/// format is dropped.
pub const TAG: [u8; 4] = *b"YLM2";

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not of this protocol, or of another version of its format.
    Foreign,
    /// Of this format, but cut short or spoilt.
    Spoilt,
    /// Larger than any datagram this build sends.
    Oversized,
}

/// The datagram of a message.
pub fn encode(message: &Message) -> Vec<u8> {
    pack(TAG, message)
}

/// A value behind a tag.
pub fn pack<T: Serialize>(tag: [u8; 4], value: &T) -> Vec<u8> {
    let mut out = tag.to_vec();
    // What managers say to each other always serializes.
    out.extend(postcard::to_allocvec(value).unwrap_or_default());
    out
}

/// The message of a datagram no longer than `most`.
pub fn decode(datagram: &[u8], most: usize) -> Result<Message, DecodeError> {
    unpack(TAG, datagram, most)
}

/// The value behind that tag in a datagram no longer than `most`.
pub fn unpack<T: DeserializeOwned>(
    tag: [u8; 4],
    datagram: &[u8],
    most: usize,
) -> Result<T, DecodeError> {
    if datagram.len() > most {
        return Err(DecodeError::Oversized);
    }
    let body = datagram.strip_prefix(&tag).ok_or(DecodeError::Foreign)?;
    match postcard::take_from_bytes::<T>(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(DecodeError::Spoilt),
    }
}

/// The bytes a message takes on the wire.
pub fn size(message: &Message) -> usize {
    TAG.len() + postcard::to_allocvec(message).map_or(usize::MAX / 2, |v| v.len())
}

/// The bytes one piece of news takes within a message.
pub fn update_size(rumour: &MemberUpdate) -> usize {
    postcard::to_allocvec(rumour).map_or(usize::MAX / 2, |v| v.len())
}
