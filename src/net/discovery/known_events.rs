//! The events of the coordinator that a configuration contains, so that a process can start without
//! the coordinator.
use super::{ListedEndpoint, WatchEvent};
use crate::config::process::Names;
use crate::policy::api::{CellId, Endpoint, EngineId, MachineTypeId, Readiness, ZoneId};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

const ID_PREFIX: &str = "s-";
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The events of a configuration.
#[derive(Debug)]
pub struct KnownEvents {
    /// The number of the last event; the watch continues after it.
    pub last_index: u64,
    /// The events in order; the first is a complete list.
    pub events: Vec<WatchEvent>,
}

/// Why the events of a configuration are invalid.
#[derive(Debug, thiserror::Error)]
pub enum KnownEventsError {
    /// The section does not have the expected structure.
    #[error("known: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The id of a server is not `s-` with a hexadecimal number of 32 bits.
    #[error("known: invalid server id {0:?}")]
    InvalidId(String),
    /// The state of a server is unknown.
    #[error("known: unknown server state {0:?}")]
    UnknownState(String),
}

#[derive(Deserialize)]
struct KnownJson {
    index: u64,
    updates: Vec<UpdateJson>,
}

#[derive(Deserialize)]
struct UpdateJson {
    index: u64,
    endpoints: EndpointsJson,
}

#[derive(Deserialize)]
struct EndpointsJson {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ServerJson>,
}

#[derive(Deserialize)]
struct ServerJson {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

impl ServerJson {
    fn engine_id(&self) -> Result<EngineId, KnownEventsError> {
        let digits = self.id.strip_prefix(ID_PREFIX);
        let id = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
        id.map(|id| EngineId(u64::from(id)))
            .ok_or_else(|| KnownEventsError::InvalidId(self.id.clone()))
    }

    fn readiness(&self) -> Result<Readiness, KnownEventsError> {
        match self.state.as_str() {
            "in_service" => Ok(Readiness::Ready),
            "terminating" => Ok(Readiness::Draining),
            "terminated" => Ok(Readiness::Removed),
            other => Err(KnownEventsError::UnknownState(other.to_owned())),
        }
    }

    fn to_listed_endpoint(&self, names: &Names) -> Result<ListedEndpoint, KnownEventsError> {
        let endpoint = Endpoint {
            id: self.engine_id()?,
            zone: ZoneId(index_of(&names.zones, &self.zone)),
            machine_type: MachineTypeId(index_of(&names.machine_types, &self.kind)),
            cell: CellId(self.cell),
            readiness: self.readiness()?,
            weight: self.weight,
            started_at: self.started_ms.saturating_mul(NANOS_PER_MILLI),
            ..Endpoint::default()
        };
        Ok(ListedEndpoint {
            endpoint,
            addr: self.addr,
        })
    }
}

/// The index of a name; 0 for an unknown name.
pub fn index_of(names: &[String], name: &str) -> u16 {
    names.iter().position(|known| known == name).unwrap_or(0) as u16
}

/// Parses the section `known` of a configuration.
///
/// # Errors
///
/// The section is malformed, or a server has an invalid id or an unknown state.
pub fn parse_known(known: &Value, names: &Names) -> Result<KnownEvents, KnownEventsError> {
    let json = KnownJson::deserialize(known)?;
    let mut events = Vec::with_capacity(json.updates.len());
    for update in &json.updates {
        let servers = update.endpoints.servers.iter();
        let endpoints = servers.map(|server| server.to_listed_endpoint(names));
        events.push(WatchEvent {
            index: update.index,
            full: update.endpoints.full || events.is_empty(),
            endpoints: endpoints.collect::<Result<_, _>>()?,
        });
    }
    Ok(KnownEvents {
        last_index: json.index,
        events,
    })
}
