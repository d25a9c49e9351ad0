//! Decodes the records of a frame, with one function per kind of record. Field names in calls and
//! errors are those of the simulator's protocol.

use crate::error::FrameError;
use crate::reader::FrameReader;
use std::collections::BTreeMap;
use yokelift::config::settings;
use yokelift::policy::api::{
    AttemptNo, CellId, ClassId, Endpoint, EndpointListKind, Event, MachineTypeId, OrderKey,
    Outcome, OutcomeKind, ProgressUpdate, Readiness, Request, RequestId, Settings, TenantId,
    ZoneId,
};

/// Bytes of one entry of an endpoint list.
const ENDPOINT_BYTES: usize = 24;

/// Bit of a request's `marks`: the client's estimate of its work is known.
const MARK_WORK_KNOWN: u16 = 1;

/// Bit of a request's `marks`: it is a client's retry.
const MARK_RETRY: u16 = 2;

/// An outcome's `note` is the work in milliseconds times this factor, plus the memory in units of
/// [`NOTE_MEMORY_UNIT_MB`].
const NOTE_WORK_FACTOR: u32 = 4096;

/// Unit of the memory in an outcome's `note`, in MB.
const NOTE_MEMORY_UNIT_MB: f64 = 4.0;

/// Nanoseconds per millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Topic of a progress record whose amount is the completed fraction.
const TOPIC_PROGRESS: u8 = 1;

/// Topic of a progress record whose amount is the memory spilled, in MB.
const TOPIC_SPILL: u8 = 2;

/// Topic of a progress record whose amount states what the query waits for: 1 for memory, 2 for a
/// load.
const TOPIC_WAIT: u8 = 3;

/// Amounts of [`TOPIC_WAIT`] that are at least this mean a load, smaller ones mean memory.
const WAIT_FOR_LOAD_FROM: f64 = 1.5;

/// The kind of a record; the discriminant is its code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordCode {
    StartInstance = 1,
    EndpointListUpdate = 2,
    Request = 3,
    FirstByte = 4,
    Outcome = 5,
    ClientDisconnected = 6,
    TimerFired = 7,
    ProbeCompleted = 8,
    PeerMessage = 9,
    StopInstance = 10,
    Progress = 11,
    EndpointList = 12,
}

impl RecordCode {
    const ALL: [RecordCode; 12] = [
        RecordCode::StartInstance,
        RecordCode::EndpointListUpdate,
        RecordCode::Request,
        RecordCode::FirstByte,
        RecordCode::Outcome,
        RecordCode::ClientDisconnected,
        RecordCode::TimerFired,
        RecordCode::ProbeCompleted,
        RecordCode::PeerMessage,
        RecordCode::StopInstance,
        RecordCode::Progress,
        RecordCode::EndpointList,
    ];

    /// Returns the kind with this code, if there is one.
    pub(crate) fn from_wire(code: u8) -> Option<RecordCode> {
        RecordCode::ALL
            .into_iter()
            .find(|known| *known as u8 == code)
    }
}

/// The content of a `START` record.
pub(crate) struct StartInstance {
    pub(crate) seed: u64,
    pub(crate) settings: Settings,
}

/// An endpoint list, to which updates of instances refer by its number.
pub(crate) struct NumberedEndpointList {
    pub(crate) number: u16,
    pub(crate) entries: Vec<Endpoint>,
}

/// Decodes `START`: the seed of the gateway's random numbers and its settings as JSON.
pub(crate) fn start_instance(reader: &mut FrameReader) -> Result<StartInstance, FrameError> {
    let seed = reader.u64("START entropy")?;
    let length = reader.u32("START boot_info")? as usize;
    let position = reader.position();
    let text = reader.bytes(length, "START boot_info")?;
    match settings::parse(text) {
        Ok(settings) => Ok(StartInstance { seed, settings }),
        Err(error) => Err(FrameError::InvalidSettings {
            position,
            source: error.into(),
        }),
    }
}

/// Decodes `LIST`: an endpoint list to which updates of all instances may refer.
pub(crate) fn endpoint_list(reader: &mut FrameReader) -> Result<NumberedEndpointList, FrameError> {
    let number = reader.u16("LIST set_id")?;
    let count = reader.u32("LIST rows")? as usize;
    reader.require(count.saturating_mul(ENDPOINT_BYTES), "LIST rows")?;
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        entries.push(endpoint(reader)?);
    }
    Ok(NumberedEndpointList { number, entries })
}

/// Decodes one entry of an endpoint list. The initializers of the struct are evaluated in the order
/// in which they are written, which is the order on the wire.
fn endpoint(reader: &mut FrameReader) -> Result<Endpoint, FrameError> {
    Ok(Endpoint {
        id: reader.engine("rows engine")?,
        zone: ZoneId(u16::from(reader.u8("rows locality")?)),
        machine_type: MachineTypeId(reader.u16("rows type")?),
        cell: CellId(reader.u16("rows cohort")?),
        readiness: readiness(reader)?,
        weight: f64::from(reader.f32("rows nominal")?),
        started_at: reader.u64("rows ready_at_ns")?,
        ..Endpoint::default()
    })
}

fn readiness(reader: &mut FrameReader) -> Result<Readiness, FrameError> {
    let position = reader.position();
    let field = "rows readiness";
    match reader.u8(field)? {
        0 => Ok(Readiness::Removed),
        1 => Ok(Readiness::Ready),
        2 => Ok(Readiness::Draining),
        value => Err(FrameError::UnknownValue {
            position,
            field,
            value,
        }),
    }
}

/// Decodes `TARGETS`: an update of an instance's endpoint list, whose entries are those of a `LIST`
/// record.
pub(crate) fn endpoint_list_update(
    reader: &mut FrameReader,
    lists: &BTreeMap<u16, Vec<Endpoint>>,
) -> Result<Event, FrameError> {
    reader.u32("TARGETS rev")?;
    let kind = endpoint_list_kind(reader)?;
    let position = reader.position();
    let number = reader.u16("TARGETS set_id")?;
    let entries = match (kind, lists.get(&number)) {
        (EndpointListKind::Failed, _) => Vec::new(),
        (_, Some(list)) => list.clone(),
        (_, None) => return Err(FrameError::UnknownEndpointList { position, number }),
    };
    Ok(Event::EndpointList { kind, entries })
}

fn endpoint_list_kind(reader: &mut FrameReader) -> Result<EndpointListKind, FrameError> {
    let position = reader.position();
    let field = "TARGETS kind";
    match reader.u8(field)? {
        0 => Ok(EndpointListKind::Cached),
        1 => Ok(EndpointListKind::Changes),
        2 => Ok(EndpointListKind::Failed),
        3 => Ok(EndpointListKind::Full),
        value => Err(FrameError::UnknownValue {
            position,
            field,
            value,
        }),
    }
}

/// Decodes `NEW_REQUEST`: a request of one of the instance's `class_count` classes.
pub(crate) fn request(reader: &mut FrameReader, class_count: usize) -> Result<Event, FrameError> {
    let id = RequestId(reader.u32("NEW_REQUEST corr")?);
    let position = reader.position();
    let class = u16::from(reader.u8("NEW_REQUEST kind")?);
    if usize::from(class) >= class_count {
        return Err(FrameError::UnknownClass { position, class });
    }
    let tenant = TenantId(reader.u16("NEW_REQUEST owner")?);
    let key = reader.u64("NEW_REQUEST target")?;
    let deadline = reader.u64("NEW_REQUEST give_up_at_ns")?;
    let work = reader.u64("NEW_REQUEST cost_ns")?;
    let memory_mb = f64::from(reader.f32("NEW_REQUEST ram_mb")?);
    let table_group = reader.f32("NEW_REQUEST table_group")?;
    let marks = reader.u16("NEW_REQUEST marks")?;
    let work_known = work > 0 && marks & MARK_WORK_KNOWN != 0;
    Ok(Event::Request(Request {
        id,
        class: ClassId(class),
        tenant,
        key: (key != 0).then_some(OrderKey(key)),
        deadline,
        work_hint: work_known.then_some(work),
        memory_hint_mb: (memory_mb > 0.0).then_some(memory_mb),
        // The group is opaque. One is added because 0 means an unknown data set.
        data_set: u64::from(table_group.to_bits()) + 1,
        is_retry: marks & MARK_RETRY != 0,
        must_not_repeat: false,
    }))
}

/// Decodes `STREAMING`: the first byte of a response was forwarded to the client.
pub(crate) fn first_byte(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let id = RequestId(reader.u32("STREAMING corr")?);
    let attempt = AttemptNo(reader.u16("STREAMING leg")?);
    reader.engine("STREAMING engine")?;
    reader.u64("STREAMING wait_time_ns")?;
    Ok(Event::FirstByte { id, attempt })
}

/// Decodes `OUTCOME`: the end of an attempt. Its `note` is 0 or holds the query's work and memory;
/// see [`NOTE_WORK_FACTOR`].
pub(crate) fn outcome(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let id = RequestId(reader.u32("OUTCOME corr")?);
    let attempt = AttemptNo(reader.u16("OUTCOME leg")?);
    let engine = reader.engine("OUTCOME engine")?;
    let kind = reader.outcome_kind("OUTCOME code")?;
    let latency = reader.u64("OUTCOME wait_time_ns")?;
    let request_finished = reader.u8("OUTCOME last")? != 0;
    let note = reader.u32("OUTCOME note")?;
    let load = reader.load_report("OUTCOME health_info")?;
    let cost_stated = kind == OutcomeKind::Ok && note != 0;
    let work_millis = u64::from(note / NOTE_WORK_FACTOR);
    let memory_units = f64::from(note % NOTE_WORK_FACTOR);
    Ok(Event::Outcome(Outcome {
        id,
        attempt,
        engine,
        kind,
        latency,
        request_finished,
        work: cost_stated.then_some(work_millis * NANOS_PER_MILLI),
        memory_mb: cost_stated.then_some(memory_units * NOTE_MEMORY_UNIT_MB),
        load,
    }))
}

/// Decodes `VANISHED`: the client of a request disconnected.
pub(crate) fn client_disconnected(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let id = RequestId(reader.u32("VANISHED corr")?);
    Ok(Event::ClientDisconnected(id))
}

/// Decodes `DUE`: a timer fired.
pub(crate) fn timer_fired(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let token = reader.u64("DUE ref")?;
    Ok(Event::TimerFired(token))
}

/// Decodes `CHECKED`: a load probe ended.
pub(crate) fn probe_completed(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let latency = reader.u64("CHECKED wait_time_ns")?;
    let kind = reader.outcome_kind("CHECKED code")?;
    let engine = reader.engine("CHECKED engine")?;
    let load = reader.load_report("CHECKED health_info")?;
    Ok(Event::ProbeCompleted {
        engine,
        kind,
        latency,
        load,
    })
}

/// Decodes `NEIGHBOUR_SAYS`: a message from another gateway.
pub(crate) fn peer_message(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let from = u32::from(reader.u16("NEIGHBOUR_SAYS src")?);
    let length = usize::from(reader.u16("NEIGHBOUR_SAYS octets")?);
    let data = reader.bytes(length, "NEIGHBOUR_SAYS octets")?.to_vec();
    Ok(Event::PeerMessage { from, data })
}

/// Decodes `INTERIM`: progress of a running attempt.
pub(crate) fn progress(reader: &mut FrameReader) -> Result<Event, FrameError> {
    let id = RequestId(reader.u32("INTERIM corr")?);
    let attempt = AttemptNo(reader.u16("INTERIM leg")?);
    reader.engine("INTERIM engine")?;
    let amount = f64::from(reader.f32("INTERIM amount")?);
    let position = reader.position();
    let field = "INTERIM topic";
    let update = match reader.u8(field)? {
        TOPIC_PROGRESS => ProgressUpdate::Progress(amount),
        TOPIC_SPILL => ProgressUpdate::Spill(amount),
        TOPIC_WAIT if amount >= WAIT_FOR_LOAD_FROM => ProgressUpdate::WaitsForLoad,
        TOPIC_WAIT => ProgressUpdate::WaitsForMemory,
        value => {
            return Err(FrameError::UnknownValue {
                position,
                field,
                value,
            });
        }
    };
    Ok(Event::Progress {
        id,
        attempt,
        update,
    })
}
