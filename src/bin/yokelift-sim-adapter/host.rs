//! The running instances, each of which is one gateway, and the endpoint lists that they share.

use crate::error::FrameError;
use crate::reader::FrameReader;
use crate::records::{self, RecordCode};
use crate::writer::put_action;
use bytes::BufMut;
use std::collections::BTreeMap;
use yokelift::policy::Gateway;
use yokelift::policy::api::{Endpoint, Event, Nanos};

/// Bytes of a reply's header: the length of the actions and their number, each a `u32`.
const REPLY_HEADER_BYTES: usize = 8;

struct Instance {
    gateway: Gateway,
    class_count: usize,
}

/// An event and the number of the instance that receives it.
struct InstanceEvent {
    instance: u32,
    event: Event,
}

#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    endpoint_lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl Host {
    /// Handles a batch, which is the part of a frame after its length field, and writes the
    /// complete reply frame to `reply`.
    pub(crate) fn handle_batch(
        &mut self,
        body: &[u8],
        reply: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        let mut reader = FrameReader::new(body);
        let now = reader.u64("clock")?;
        let record_count = reader.u32("number of records")?;
        let mut actions = Vec::new();
        let mut action_count = 0u32;
        reply.clear();
        reply.put_bytes(0, REPLY_HEADER_BYTES);
        for _ in 0..record_count {
            let Some(InstanceEvent { instance, event }) = self.read_record(&mut reader, now)?
            else {
                continue;
            };
            actions.clear();
            if let Some(running) = self.instances.get_mut(&instance) {
                running.gateway.handle(now, event, &mut actions);
            }
            action_count += actions.len() as u32;
            for action in &actions {
                put_action(reply, instance, action);
            }
        }
        if !reader.is_empty() {
            let position = reader.position();
            return Err(FrameError::TrailingBytes { position });
        }
        let length = (reply.len() - REPLY_HEADER_BYTES) as u32;
        reply[0..4].copy_from_slice(&length.to_be_bytes());
        reply[4..8].copy_from_slice(&action_count.to_be_bytes());
        Ok(())
    }

    /// Reads one record. Returns its event if it is for an instance; records for the host are
    /// handled here, and `None` is returned.
    fn read_record(
        &mut self,
        reader: &mut FrameReader,
        now: Nanos,
    ) -> Result<Option<InstanceEvent>, FrameError> {
        let code = reader.record_code()?;
        if code == RecordCode::EndpointList {
            let list = records::endpoint_list(reader)?;
            self.endpoint_lists.insert(list.number, list.entries);
            return Ok(None);
        }
        let position = reader.position();
        let instance = reader.u32("i")?;
        if code == RecordCode::StartInstance {
            self.start_instance(reader, now, instance)?;
            return Ok(None);
        }
        let Some(running) = self.instances.get(&instance) else {
            return Err(FrameError::UnknownInstance { position, instance });
        };
        let event = match code {
            RecordCode::EndpointListUpdate => {
                records::endpoint_list_update(reader, &self.endpoint_lists)?
            }
            RecordCode::Request => records::request(reader, running.class_count)?,
            RecordCode::FirstByte => records::first_byte(reader)?,
            RecordCode::Outcome => records::outcome(reader)?,
            RecordCode::ClientDisconnected => records::client_disconnected(reader)?,
            RecordCode::TimerFired => records::timer_fired(reader)?,
            RecordCode::ProbeCompleted => records::probe_completed(reader)?,
            RecordCode::PeerMessage => records::peer_message(reader)?,
            RecordCode::Progress => records::progress(reader)?,
            RecordCode::StopInstance => {
                self.instances.remove(&instance);
                return Ok(None);
            }
            RecordCode::StartInstance | RecordCode::EndpointList => {
                unreachable!("records for the host are handled above")
            }
        };
        Ok(Some(InstanceEvent { instance, event }))
    }

    /// Starts an instance; it replaces one with the same number.
    fn start_instance(
        &mut self,
        reader: &mut FrameReader,
        now: Nanos,
        instance: u32,
    ) -> Result<(), FrameError> {
        let start = records::start_instance(reader)?;
        let class_count = start.settings.classes.len();
        let gateway = Gateway::new(now, start.settings, start.seed);
        let started = Instance {
            gateway,
            class_count,
        };
        self.instances.insert(instance, started);
        Ok(())
    }
}
