//! Encodes actions in a reply: big-endian, without padding.

use bytes::BufMut;
use yokelift::policy::api::{Action, EngineId};

/// Value of the peer field of a message to all gateways.
const ALL_PEERS: u16 = u16::MAX;

/// The code of an action on the wire. Code 3 is unused.
fn action_code(action: &Action) -> u8 {
    match action {
        Action::Log(_) => 1,
        Action::SendToPeer { .. } => 2,
        Action::Cancel { .. } => 4,
        Action::SetAttemptOptions { .. } => 5,
        Action::CloseIdleConnections { .. } => 6,
        Action::FetchEndpointList => 7,
        Action::Probe { .. } => 8,
        Action::Reject { .. } => 9,
        Action::Fail { .. } => 10,
        Action::WatchEndpointList(_) => 11,
        Action::StartTimer { .. } => 12,
        Action::Send { .. } => 13,
    }
}

/// Appends the address of an engine: IPv4 and port, which its id holds.
fn put_engine(reply: &mut Vec<u8>, engine: EngineId) {
    reply.put_u32((engine.0 >> 16) as u32);
    reply.put_u16(engine.0 as u16);
}

/// Appends `data` after its length as a `u16`; longer data is truncated to the maximum length.
fn put_counted_bytes(reply: &mut Vec<u8>, data: &[u8]) {
    let data = &data[..data.len().min(usize::from(u16::MAX))];
    reply.put_u16(data.len() as u16);
    reply.put_slice(data);
}

/// Appends one action of an instance to a reply.
pub(crate) fn put_action(reply: &mut Vec<u8>, instance: u32, action: &Action) {
    reply.put_u8(action_code(action));
    reply.put_u32(instance);
    match action {
        Action::Log(text) => put_counted_bytes(reply, text.as_bytes()),
        Action::SendToPeer { peer, data } => {
            reply.put_u16(peer.map_or(ALL_PEERS, |index| index as u16));
            put_counted_bytes(reply, data);
        }
        Action::Cancel { id, attempt } => {
            reply.put_u32(id.0);
            reply.put_u16(attempt.0);
        }
        Action::SetAttemptOptions {
            id,
            priority,
            memory_mb,
        } => {
            reply.put_u32(id.0);
            reply.put_u8(*priority);
            reply.put_f32(*memory_mb as f32);
        }
        Action::CloseIdleConnections { engine } | Action::Probe { engine } => {
            put_engine(reply, *engine);
        }
        Action::FetchEndpointList => {}
        Action::Reject {
            id, retry_after, ..
        } => {
            reply.put_u32(id.0);
            reply.put_u64(*retry_after);
        }
        Action::Fail { id } => reply.put_u32(id.0),
        Action::WatchEndpointList(enabled) => reply.put_u8(u8::from(*enabled)),
        Action::StartTimer { after, token } => {
            reply.put_u64(*after);
            reply.put_u64(*token);
        }
        Action::Send {
            id,
            engine,
            timeout,
        } => {
            reply.put_u32(id.0);
            put_engine(reply, *engine);
            reply.put_u64(*timeout);
        }
    }
}
