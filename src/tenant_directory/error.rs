//! Errors of a read of the directory.
use rasn_ldap::ResultCode;
use std::io;
use thiserror::Error;

/// Why a read failed. The caller keeps the last good snapshot.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection could not be established, or failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The directory closed the connection before the read was complete.
    #[error("the directory closed the connection")]
    Closed,
    /// The read exceeded its time limit.
    #[error("the read did not complete within {seconds} s")]
    Timeout {
        /// The time limit, in seconds.
        seconds: u64,
    },
    /// A message does not begin with the tag of a sequence, as LDAP messages do.
    #[error("not an LDAP message: tag {tag:#04x}")]
    InvalidTag {
        /// The first byte.
        tag: u8,
    },
    /// The length of a message is encoded in a form that LDAP does not use.
    #[error("not an LDAP message: length octet {octet:#04x}")]
    InvalidLength {
        /// The first byte of the length.
        octet: u8,
    },
    /// A message exceeds the size limit, which is above the size of a directory's entries.
    #[error("an LDAP message of {length} bytes exceeds the limit of {limit} bytes")]
    MessageTooLong {
        /// The length, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A message cannot be decoded.
    #[error("an LDAP message that cannot be decoded: {0}")]
    Decode(#[from] rasn::error::DecodeError),
    /// A message belongs to another request.
    #[error("a message with id {found}, but the open request has id {expected}")]
    WrongMessageId {
        /// The id of the open request.
        expected: u32,
        /// The id in the message.
        found: u32,
    },
    /// A message is not a response to the open request.
    #[error("a message that is not a response to the open request")]
    UnexpectedMessage,
    /// The directory rejected a request.
    #[error("the directory rejected a request: {code:?} {diagnostic}")]
    Denied {
        /// The result code of LDAP.
        code: ResultCode,
        /// The diagnostic message of the directory.
        diagnostic: String,
    },
    /// The directory returned too many entries.
    #[error("the directory has more than {limit} entries")]
    TooManyEntries {
        /// The limit.
        limit: usize,
    },
}
