//! Simulator adapter: runs independent gateways of the decision module, which are controlled by
//! binary frames on standard input and output.
//!
//! Each input frame is a batch of records that share one time; the reply holds the actions that the
//! gateways order in response. A malformed frame ends the program with an error message that names
//! the byte position and the field.
#![forbid(unsafe_code)]

mod error;
mod host;
mod reader;
mod records;
mod writer;

use error::AdapterError;
use host::Host;
use reader::LENGTH_BYTES;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Bytes of a batch's header after its length field: the time and the number of records. The value
/// of the length field does not include them.
const HEADER_REST_BYTES: usize = 12;

/// Maximum length of a frame; a greater length is taken for a corrupt length field.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Reads the length field of a frame. Returns `None` at the end of the input.
fn read_length(input: &mut impl Read) -> Result<Option<u32>, AdapterError> {
    let mut length = [0; LENGTH_BYTES];
    let mut received = 0;
    while received < LENGTH_BYTES {
        match input
            .read(&mut length[received..])
            .map_err(AdapterError::Read)?
        {
            0 if received == 0 => return Ok(None),
            0 => return Err(AdapterError::LengthTruncated { position: received }),
            count => received += count,
        }
    }
    Ok(Some(u32::from_be_bytes(length)))
}

/// Reads the part of a frame after its length field into `body`. Returns `false` at the end of the
/// input.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<bool, AdapterError> {
    let Some(records_length) = read_length(input)? else {
        return Ok(false);
    };
    let length = records_length as usize + HEADER_REST_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(AdapterError::FrameTooLong { length });
    }
    body.clear();
    let received = input
        .take(length as u64)
        .read_to_end(body)
        .map_err(AdapterError::Read)?;
    if received < length {
        return Err(AdapterError::FrameTruncated {
            position: LENGTH_BYTES + received,
            missing: length - received,
        });
    }
    Ok(true)
}

/// Handles frames and writes their replies until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut body = Vec::new();
    let mut reply = Vec::new();
    while read_frame(&mut input, &mut body)? {
        host.handle_batch(&body, &mut reply)?;
        output.write_all(&reply).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yokelift-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
