//! The encoding of datagrams between managers: a format tag followed by postcard. Decoding does not
//! panic on any input.
use super::message::{MemberUpdate, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The tag of membership datagrams: the protocol and the version of its format. Datagrams of
/// another version are dropped.
pub const TAG: [u8; 4] = *b"YLM2";

/// The size assumed for a value that does not serialize: larger than any datagram, but small enough
/// that sums with it do not overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 2;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is of another protocol, or of another version of the format.
    #[error("of another format")]
    Foreign,
    /// The datagram is of this format, but truncated or corrupted.
    #[error("malformed")]
    Malformed,
    /// The datagram is larger than the configured limit.
    #[error("too large")]
    Oversized,
}

/// Encodes a message as a datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    pack(TAG, message)
}

/// Encodes a value, preceded by a format tag.
pub fn pack<T: Serialize>(tag: [u8; 4], value: &T) -> Vec<u8> {
    let mut datagram = tag.to_vec();
    // All values in messages between managers are of types that postcard serializes without errors.
    datagram.extend(postcard::to_allocvec(value).unwrap_or_default());
    datagram
}

/// Decodes a datagram of at most `max_bytes`.
///
/// # Errors
/// The reason for which the datagram has to be dropped.
pub fn decode(datagram: &[u8], max_bytes: usize) -> Result<Message, DecodeError> {
    unpack(TAG, datagram, max_bytes)
}

/// Decodes the value after the format tag in a datagram of at most `max_bytes`.
///
/// # Errors
/// The reason for which the datagram has to be dropped.
pub fn unpack<T: DeserializeOwned>(
    tag: [u8; 4],
    datagram: &[u8],
    max_bytes: usize,
) -> Result<T, DecodeError> {
    if datagram.len() > max_bytes {
        return Err(DecodeError::Oversized);
    }
    let body = datagram.strip_prefix(&tag).ok_or(DecodeError::Foreign)?;
    match postcard::take_from_bytes::<T>(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(DecodeError::Malformed),
    }
}

/// The size of a message's datagram in bytes.
pub fn size(message: &Message) -> usize {
    TAG.len() + postcard::to_allocvec(message).map_or(UNENCODABLE_BYTES, |bytes| bytes.len())
}

/// The size of one update within a message in bytes.
pub fn update_size(update: &MemberUpdate) -> usize {
    postcard::to_allocvec(update).map_or(UNENCODABLE_BYTES, |bytes| bytes.len())
}
