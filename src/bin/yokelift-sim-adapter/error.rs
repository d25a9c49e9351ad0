//! Errors of the adapter. Positions are byte offsets from the start of the frame, including its
//! length field; field names are those of the simulator's protocol.

use std::error::Error;
use std::io;

/// A frame whose content is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The frame ends within a field.
    #[error("byte {position}: {field}: the frame ends too soon")]
    Truncated {
        position: usize,
        field: &'static str,
    },
    /// The frame has bytes after its last record.
    #[error("byte {position}: frame: bytes are left after the last record")]
    TrailingBytes { position: usize },
    /// A record with an unknown code.
    #[error("byte {position}: code: unknown event {code}")]
    UnknownRecord { position: usize, code: u8 },
    /// An outcome with an unknown code.
    #[error("byte {position}: {field}: unknown outcome {code}")]
    UnknownOutcome {
        position: usize,
        field: &'static str,
        code: u16,
    },
    /// An unknown value of an enumerated field.
    #[error("byte {position}: {field}: unknown value {value}")]
    UnknownValue {
        position: usize,
        field: &'static str,
        value: u8,
    },
    /// A record for an instance that is not running: it was not started, or it was stopped.
    #[error("byte {position}: i: no instance {instance} is running")]
    UnknownInstance { position: usize, instance: u32 },
    /// A request whose class is not in the instance's settings.
    #[error("byte {position}: NEW_REQUEST kind: no class {class}")]
    UnknownClass { position: usize, class: u16 },
    /// An update that refers to an endpoint list that was not received.
    #[error("byte {position}: TARGETS set_id: no list {number}")]
    UnknownEndpointList { position: usize, number: u16 },
    /// Settings of a new instance that can't be parsed.
    #[error("byte {position}: boot_info: {source}")]
    InvalidSettings {
        position: usize,
        source: Box<dyn Error + Send + Sync>,
    },
}

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading standard input failed.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// Writing standard output failed.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// The input ends within the length field of a frame.
    #[error("byte {position}: length: the input ends within it")]
    LengthTruncated { position: usize },
    /// The length field exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    #[error("byte 0: length: {length} bytes are more than a frame may hold")]
    FrameTooLong { length: usize },
    /// The input ends within a frame.
    #[error("byte {position}: frame: the input ends, {missing} bytes are missing")]
    FrameTruncated { position: usize, missing: usize },
    /// The content of a frame is malformed.
    #[error(transparent)]
    Frame(#[from] FrameError),
}
