//! Simulator adapter: hosts many independent gateways behind binary frames on standard input and
//! output.
#![forbid(unsafe_code)]

mod frames;

use bytes::BufMut;
use frames::{Reader, put_action};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use yokelift::config::settings;
use yokelift::policy::Gateway;
use yokelift::policy::api::*;

/// A frame longer than this is taken for a broken length field.
const MAX_FRAME: usize = 1 << 30;

/// Bytes of a batch's header after its length field.
const HEADER_REST: usize = 12;

struct Instance {
    gateway: Gateway,
    classes: usize,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl Host {
    fn batch(&mut self, body: &[u8], reply: &mut Vec<u8>) -> Result<(), String> {
        let mut r = Reader::new(body);
        let now = r.u64("clock")?;
        let records = r.u32("number of records")?;
        let mut actions = Vec::new();
        let mut count = 0u32;
        reply.clear();
        reply.put_u64(0);
        for _ in 0..records {
            if let Some((i, event)) = self.record(&mut r, now)? {
                actions.clear();
                if let Some(instance) = self.instances.get_mut(&i) {
                    instance.gateway.handle(now, event, &mut actions);
                }
                count += actions.len() as u32;
                actions.iter().for_each(|a| put_action(reply, i, a));
            }
        }
        if !r.is_empty() {
            return r.bad("frame", "bytes are left after the last record");
        }
        let length = (reply.len() - 8) as u32;
        reply[0..4].copy_from_slice(&length.to_be_bytes());
        reply[4..8].copy_from_slice(&count.to_be_bytes());
        Ok(())
    }

    fn record(&mut self, r: &mut Reader, now: Nanos) -> Result<Option<(u32, Event)>, String> {
        let at = r.at();
        let code = r.u8("code")?;
        if code == 12 {
            let number = r.u16("LIST set_id")?;
            let entries = r.entries()?;
            self.lists.insert(number, entries);
            return Ok(None);
        }
        if !(1..=12).contains(&code) {
            return Err(format!("byte {at}: code: unknown event {code}"));
        }
        let i = r.u32("i")?;
        if code == 1 {
            let seed = r.u64("START entropy")?;
            let n = r.u32("START boot_info")? as usize;
            let at = r.at();
            let text = r.bytes(n, "START boot_info")?;
            let settings =
                settings::parse(text).map_err(|e| format!("byte {at}: boot_info: {e}"))?;
            let classes = settings.classes.len();
            self.instances.insert(
                i,
                Instance {
                    gateway: Gateway::new(now, settings, seed),
                    classes,
                },
            );
            return Ok(None);
        }
        let Some(instance) = self.instances.get(&i) else {
            return Err(format!("byte {}: i: no instance {i} is running", at + 1));
        };
        let classes = instance.classes;
        let event = match code {
            2 => {
                r.u32("TARGETS rev")?;
                let kind_at = r.at();
                let kind = match r.u8("TARGETS kind")? {
                    0 => EndpointListKind::Cached,
                    1 => EndpointListKind::Changes,
                    2 => EndpointListKind::Failed,
                    3 => EndpointListKind::Full,
                    other => {
                        return Err(format!(
                            "byte {kind_at}: TARGETS kind: unknown value {other}"
                        ));
                    }
                };
                let set_at = r.at();
                let number = r.u16("TARGETS set_id")?;
                let entries = match (kind, self.lists.get(&number)) {
                    (EndpointListKind::Failed, _) => Vec::new(),
                    (_, Some(list)) => list.clone(),
                    (_, None) => {
                        return Err(format!("byte {set_at}: TARGETS set_id: no list {number}"));
                    }
                };
                Event::EndpointList { kind, entries }
            }
            3 => request(r, classes)?,
            4 => {
                let (id, attempt) = (
                    RequestId(r.u32("STREAMING corr")?),
                    AttemptNo(r.u16("STREAMING leg")?),
                );
                r.engine("STREAMING engine")?;
                r.u64("STREAMING wait_time_ns")?;
                Event::FirstByte { id, attempt }
            }
            5 => outcome(r)?,
            6 => Event::ClientDisconnected(RequestId(r.u32("VANISHED corr")?)),
            7 => Event::TimerFired(r.u64("DUE ref")?),
            8 => {
                let latency = r.u64("CHECKED wait_time_ns")?;
                let kind = r.outcome("CHECKED code")?;
                let engine = r.engine("CHECKED engine")?;
                Event::ProbeCompleted {
                    engine,
                    kind,
                    latency,
                    load: r.load("CHECKED health_info")?,
                }
            }
            9 => {
                let from = u32::from(r.u16("NEIGHBOUR_SAYS src")?);
                let n = usize::from(r.u16("NEIGHBOUR_SAYS octets")?);
                Event::PeerMessage {
                    from,
                    data: r.bytes(n, "NEIGHBOUR_SAYS octets")?.to_vec(),
                }
            }
            10 => {
                self.instances.remove(&i);
                return Ok(None);
            }
            _ => {
                let (id, attempt) = (
                    RequestId(r.u32("INTERIM corr")?),
                    AttemptNo(r.u16("INTERIM leg")?),
                );
                r.engine("INTERIM engine")?;
                let amount = f64::from(r.f32("INTERIM amount")?);
                let topic_at = r.at();
                let note = match (r.u8("INTERIM topic")?, amount) {
                    (1, share) => ProgressUpdate::Progress(share),
                    (2, mb) => ProgressUpdate::Spill(mb),
                    (3, what) if what >= 1.5 => ProgressUpdate::WaitsForLoad,
                    (3, _) => ProgressUpdate::WaitsForMemory,
                    (other, _) => {
                        return Err(format!(
                            "byte {topic_at}: INTERIM topic: unknown value {other}"
                        ));
                    }
                };
                Event::Progress {
                    id,
                    attempt,
                    update: note,
                }
            }
        };
        Ok(Some((i, event)))
    }
}

fn request(r: &mut Reader, classes: usize) -> Result<Event, String> {
    let id = RequestId(r.u32("NEW_REQUEST corr")?);
    let class_at = r.at();
    let class = ClassId(u16::from(r.u8("NEW_REQUEST kind")?));
    if usize::from(class.0) >= classes {
        return Err(format!(
            "byte {class_at}: NEW_REQUEST kind: no class {}",
            class.0
        ));
    }
    let tenant = TenantId(r.u16("NEW_REQUEST owner")?);
    let key = Some(r.u64("NEW_REQUEST target")?)
        .filter(|k| *k != 0)
        .map(OrderKey);
    let give_up_at = r.u64("NEW_REQUEST give_up_at_ns")?;
    let cost = r.u64("NEW_REQUEST cost_ns")?;
    let memory = f64::from(r.f32("NEW_REQUEST ram_mb")?);
    let group = u64::from(r.f32("NEW_REQUEST table_group")?.to_bits()) + 1;
    let marks = r.u16("NEW_REQUEST marks")?;
    Ok(Event::Request(Request {
        id,
        class,
        tenant,
        key,
        deadline: give_up_at,
        work_hint: Some(cost).filter(|c| *c > 0 && marks & 1 != 0),
        memory_hint_mb: Some(memory).filter(|m| *m > 0.0),
        data_set: group,
        is_retry: marks & 2 != 0,
        must_not_repeat: false,
    }))
}

fn outcome(r: &mut Reader) -> Result<Event, String> {
    let id = RequestId(r.u32("OUTCOME corr")?);
    let attempt = AttemptNo(r.u16("OUTCOME leg")?);
    let engine = r.engine("OUTCOME engine")?;
    let kind = r.outcome("OUTCOME code")?;
    let latency = r.u64("OUTCOME wait_time_ns")?;
    let closed = r.u8("OUTCOME last")? != 0;
    let note = r.u32("OUTCOME note")?;
    let load = r.load("OUTCOME health_info")?;
    let told = kind == OutcomeKind::Ok && note != 0;
    let work = told.then(|| u64::from(note / 4096) * 1_000_000);
    let memory_mb = told.then(|| f64::from(note % 4096) * 4.0);
    Ok(Event::Outcome(Outcome {
        id,
        attempt,
        engine,
        kind,
        latency,
        request_finished: closed,
        work,
        memory_mb,
        load,
    }))
}

fn serve() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut body, mut reply) = (Host::default(), Vec::new(), Vec::new());
    loop {
        let mut length = [0u8; 4];
        let mut got = 0;
        while got < 4 {
            match input
                .read(&mut length[got..])
                .map_err(|e| format!("reading: {e}"))?
            {
                0 if got == 0 => return Ok(()),
                0 => return Err(format!("byte {got}: length: the input ends within it")),
                n => got += n,
            }
        }
        // The length counts the records only; clock and record count complete the header.
        let length = u32::from_be_bytes(length) as usize + HEADER_REST;
        if length > MAX_FRAME {
            return Err(format!(
                "byte 0: length: {length} bytes are more than a frame may hold"
            ));
        }
        body.clear();
        let read = (&mut input)
            .take(length as u64)
            .read_to_end(&mut body)
            .map_err(|e| format!("reading: {e}"))?;
        if read < length {
            return Err(format!(
                "byte {}: frame: the input ends, {} bytes are missing",
                4 + read,
                length - read
            ));
        }
        host.batch(&body, &mut reply)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
}

fn main() -> std::process::ExitCode {
    match serve() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("yokelift-sim-adapter: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
