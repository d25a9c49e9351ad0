//! The frames of the coordinator's watch. A frame is a length of 4 bytes, followed by as many
//! bytes: the event's number (8 bytes), its kind (1 byte), and records of [`RECORD_BYTES`] each.
//! All integers are big-endian.
use super::{ListedEndpoint, WatchEvent};
use crate::dispatcher::termination::Termination;
use crate::policy::api::{CellId, Endpoint, EngineId, MachineTypeId, Readiness, ZoneId};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The length of the record of one endpoint, in bytes.
pub const RECORD_BYTES: usize = 27;
const LENGTH_BYTES: usize = 4;
/// The length of the number and the kind of an event, in bytes.
const HEADER_BYTES: usize = 9;
/// Limit of the length of a frame, in bytes: enough for tens of thousands of endpoints.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
const KIND_HEARTBEAT: u8 = 0;
const KIND_FULL: u8 = 1;
const KIND_CHANGES: u8 = 2;
/// Records hold weights in thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The record of one endpoint.
pub type Record = [u8; RECORD_BYTES];

/// A decoded frame.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// No event; shows that the coordinator is alive.
    Heartbeat,
    /// An event.
    Event {
        /// Its number.
        index: u64,
        /// Whether the records are the complete list.
        full: bool,
        /// One record per endpoint.
        records: &'a [Record],
    },
}

impl Frame<'_> {
    /// The event of the frame, without records of an unknown state; `None` for a heartbeat.
    pub fn to_event(&self) -> Option<WatchEvent> {
        let Frame::Event {
            index,
            full,
            records,
        } = *self
        else {
            return None;
        };
        Some(WatchEvent {
            index,
            full,
            endpoints: records.iter().filter_map(decode_record).collect(),
        })
    }
}

/// A frame with its length in bytes, including the length field.
#[derive(Debug, PartialEq, Eq)]
pub struct DecodedFrame<'a> {
    /// The frame.
    pub frame: Frame<'a>,
    /// The length in bytes.
    pub length: usize,
}

/// Why input is not a frame of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is too small for the header, or beyond the limit.
    #[error("invalid frame length of {0} bytes")]
    InvalidLength(usize),
    /// The kind is unknown.
    #[error("unknown event kind {0}")]
    UnknownKind(u8),
    /// The records do not fill the frame.
    #[error("{0} trailing bytes after the last record of a frame")]
    TrailingBytes(usize),
}

impl From<FrameError> for Termination {
    fn from(_: FrameError) -> Termination {
        Termination::ProtocolViolation
    }
}

/// Decodes the frame at the start of `input`; `None` if it is incomplete.
///
/// # Errors
///
/// The input is not a valid frame; nothing after it can be decoded.
pub fn decode(input: &[u8]) -> Result<Option<DecodedFrame<'_>>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let (header, records) = body.split_at(HEADER_BYTES);
    let frame = match header[HEADER_BYTES - 1] {
        KIND_HEARTBEAT => Frame::Heartbeat,
        kind @ (KIND_FULL | KIND_CHANGES) => {
            let (records, trailing) = records.as_chunks::<RECORD_BYTES>();
            if !trailing.is_empty() {
                return Err(FrameError::TrailingBytes(trailing.len()));
            }
            Frame::Event {
                index: u64_at(header, 0),
                full: kind == KIND_FULL,
                records,
            }
        }
        kind => return Err(FrameError::UnknownKind(kind)),
    };
    let length = LENGTH_BYTES + length;
    Ok(Some(DecodedFrame { frame, length }))
}

/// Decodes the record of one endpoint; `None` if its state is unknown.
fn decode_record(record: &Record) -> Option<ListedEndpoint> {
    let readiness = match record[10] {
        0 => Readiness::Ready,
        1 => Readiness::Draining,
        2 => Readiness::Removed,
        _ => return None,
    };
    let ip = Ipv4Addr::from(u32_at(record, 4));
    let port = u16_at(record, 8);
    let started_ms = u64_at(record, 19);
    let endpoint = Endpoint {
        id: EngineId(u64::from(u32_at(record, 0))),
        zone: ZoneId(u16::from(record[11])),
        machine_type: MachineTypeId(u16::from(record[12])),
        cell: CellId(u16_at(record, 13)),
        readiness,
        weight: f64::from(u32_at(record, 15)) / WEIGHT_SCALE,
        started_at: started_ms.saturating_mul(NANOS_PER_MILLI),
        ..Endpoint::default()
    };
    Some(ListedEndpoint {
        endpoint,
        addr: SocketAddr::from((ip, port)),
    })
}

/// Encodes the frame of an event.
pub fn encode_event(event: &WatchEvent) -> Vec<u8> {
    let kind = if event.full { KIND_FULL } else { KIND_CHANGES };
    let records: Vec<u8> = event.endpoints.iter().flat_map(encode_record).collect();
    encode_frame(event.index, kind, &records)
}

/// Encodes the frame without an event that a coordinator sends at intervals.
pub fn encode_heartbeat(index: u64) -> Vec<u8> {
    encode_frame(index, KIND_HEARTBEAT, &[])
}

fn encode_frame(index: u64, kind: u8, records: &[u8]) -> Vec<u8> {
    let length = HEADER_BYTES + records.len();
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend(index.to_be_bytes());
    frame.push(kind);
    frame.extend(records);
    frame
}

/// Encodes the record of one endpoint. An address of IPv6, which no record can hold, becomes
/// `0.0.0.0`.
fn encode_record(listed: &ListedEndpoint) -> Record {
    let endpoint = &listed.endpoint;
    let ip = match listed.addr.ip() {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    let weight = (endpoint.weight * WEIGHT_SCALE).round() as u32;
    let started_ms = endpoint.started_at / NANOS_PER_MILLI;
    let mut record = [0; RECORD_BYTES];
    record[..4].copy_from_slice(&(endpoint.id.0 as u32).to_be_bytes());
    record[4..8].copy_from_slice(&ip.octets());
    record[8..10].copy_from_slice(&listed.addr.port().to_be_bytes());
    record[10] = match endpoint.readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Removed => 2,
    };
    record[11] = endpoint.zone.0 as u8;
    record[12] = endpoint.machine_type.0 as u8;
    record[13..15].copy_from_slice(&endpoint.cell.0.to_be_bytes());
    record[15..19].copy_from_slice(&weight.to_be_bytes());
    record[19..].copy_from_slice(&started_ms.to_be_bytes());
    record
}

fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[offset..offset + N]);
    field
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(bytes_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(bytes_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(bytes_at(bytes, offset))
}
