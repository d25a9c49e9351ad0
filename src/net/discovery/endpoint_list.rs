//! The actor of the list of engines: applies what the coordinator tells, keeps a row for each
//! engine, and passes the news on to the module.
use crate::backend::clickhouse::{ClickHouse, Credentials};
use crate::backend::platform::Platform;
use crate::clock::{Micros, SEC, micros};
use crate::config::process::Names;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::engine::{EndpointHandle, Start, spawn};
use crate::policy::api::{
    CellId, Endpoint, EndpointListKind, EngineId, MachineTypeId, Nanos, Readiness, ZoneId,
};
use async_channel::{Receiver, Sender};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Messages that wait for the list's actor.
pub const MAILBOX: usize = 64;

/// An engine in the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// What the module is told of it.
    pub entry: Endpoint,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// A numbered event of the coordinator.
#[derive(Clone, Debug)]
pub struct Update {
    /// Its number.
    pub index: u64,
    /// The whole list, or what has changed.
    pub whole: bool,
    /// The engines it names.
    pub engines: Vec<ListedEndpoint>,
}

/// Makes the row of one engine.
pub type MakeEngine = Box<dyn Fn(&ListedEndpoint) -> Rc<EndpointHandle>>;

/// The engines that speak the ClickHouse interface, and who the manager is to them.
#[derive(Clone, Default)]
pub struct Http {
    /// Their ids.
    pub engines: Rc<BTreeSet<EngineId>>,
    /// User and key.
    pub login: Rc<Credentials>,
    /// Those that the coordinator does not list: always in service.
    pub fixed: Vec<ListedEndpoint>,
}

/// ClickHouse servers of some versions close connections that are idle for this long.
const HTTP_KEEPALIVE: Micros = 3 * SEC;

/// How engines are made: by the wire they speak.
pub fn engines(
    shared: Rc<Shared>,
    core: Sender<DispatcherEvent>,
    names: Rc<Names>,
    http: Http,
) -> MakeEngine {
    let (all, module, known, login) = (
        shared.clone(),
        core.clone(),
        names.clone(),
        http.login.clone(),
    );
    let clickhouse: Start = Rc::new(move |row| {
        let (connect_timeout, keepalive) = (micros(known.connect_timeout), micros(known.keepalive));
        let (login, peer) = (
            login.clone(),
            row.peer(connect_timeout, keepalive.min(HTTP_KEEPALIVE), true),
        );
        spawn(&all, module.clone(), row, peer, move || {
            ClickHouse::new(login.clone())
        })
    });
    let platform: Start = Rc::new(move |row| {
        let peer = row.peer(
            micros(names.connect_timeout),
            micros(names.keepalive),
            false,
        );
        let names = names.clone();
        spawn(&shared, core.clone(), row, peer, move || {
            Platform::new(names.clone())
        })
    });
    Box::new(move |listed| {
        let id = listed.entry.id;
        let start = if http.engines.contains(&id) {
            &clickhouse
        } else {
            &platform
        };
        EndpointHandle::new(id, listed.addr, listed.entry.readiness, start.clone())
    })
}

struct Known {
    listed: ListedEndpoint,
    row: Rc<EndpointHandle>,
}

/// Runs the list. Its first update is what the module knew before it started.
pub async fn run(
    shared: Rc<Shared>,
    core: Sender<DispatcherEvent>,
    mailbox: Receiver<Update>,
    make: MakeEngine,
    http: Http,
) {
    let mut known: BTreeMap<EngineId, Known> = BTreeMap::new();
    let mut first = true;
    while let Ok(mut update) = mailbox.recv().await {
        let mut made = Vec::new();
        supersede(&known, &mut update);
        if update.whole {
            // A whole list of the coordinator does not name the engines of the file.
            update.engines.extend(&http.fixed);
            let named: BTreeSet<EngineId> = update.engines.iter().map(|l| l.entry.id).collect();
            let left = known
                .values_mut()
                .filter(|k| !named.contains(&k.listed.entry.id));
            left.for_each(|k| mark(k, Readiness::Removed));
        }
        for listed in &update.engines {
            let id = listed.entry.id;
            // An engine is its id, and under another address it is another process. Guards against
            // attempts that nobody could give up any more: with its row the old actor ends, its
            // connections, and what is on them.
            let same = known.get(&id).is_some_and(|k| k.listed.addr == listed.addr);
            if !same && listed.entry.readiness != Readiness::Removed {
                if let Some(old) = known.get_mut(&id) {
                    old.row.close();
                }
                let row = make(listed);
                made.push((id, row.clone()));
                known.insert(
                    id,
                    Known {
                        listed: *listed,
                        row,
                    },
                );
            }
            if let Some(k) = known.get_mut(&id) {
                mark(k, listed.entry.readiness);
                k.listed = *listed;
            }
        }
        known.retain(|_, k| k.listed.entry.readiness != Readiness::Removed);
        let serving = |k: &&Known| k.listed.entry.readiness == Readiness::Ready;
        let serving = known.values().filter(serving).map(|k| k.listed.entry.id);
        shared.engines_know_databases.set(
            serving.clone().count() > 0 && serving.clone().all(|id| http.engines.contains(&id)),
        );
        let kind = match (update.whole, first) {
            (true, true) => EndpointListKind::Cached,
            (true, false) => EndpointListKind::Full,
            (false, _) => EndpointListKind::Changes,
        };
        first = false;
        let entries = update.engines.iter().map(|l| l.entry).collect();
        let _ = core
            .send(DispatcherEvent::EndpointList {
                kind,
                entries,
                new_endpoints: made,
                version: update.index,
            })
            .await;
    }
}

/// Where a new engine listens, an old one is gone, told or not. Guards against work that goes to
/// the new process under the name of the old one.
fn supersede(known: &BTreeMap<EngineId, Known>, update: &mut Update) {
    let newcomer = |l: &&ListedEndpoint| {
        l.entry.readiness == Readiness::Ready && !known.contains_key(&l.entry.id)
    };
    let taken: BTreeSet<SocketAddr> = update
        .engines
        .iter()
        .filter(newcomer)
        .map(|l| l.addr)
        .collect();
    let named: BTreeSet<EngineId> = update.engines.iter().map(|l| l.entry.id).collect();
    let old = known
        .values()
        .map(|k| k.listed)
        .filter(|l| taken.contains(&l.addr) && !named.contains(&l.entry.id));
    let gone = |mut l: ListedEndpoint| {
        l.entry.readiness = Readiness::Removed;
        l
    };
    update.engines.extend(old.map(gone));
}

/// Tells an engine's row first, and the module after it: nothing that waits to go out outlives the
/// news.
fn mark(k: &mut Known, readiness: Readiness) {
    k.listed.entry.readiness = readiness;
    k.row.mark(readiness);
}

/// An entry, whatever form it came in. `started_ms` is a Unix time; the clock of the module counts
/// from there.
pub fn listed(
    id: u32,
    addr: SocketAddr,
    readiness: Readiness,
    (zone, kind, cell): (u16, u16, u16),
    weight: f64,
    started_ms: u64,
) -> ListedEndpoint {
    let (id, zone, kind, cell) = (
        EngineId(u64::from(id)),
        ZoneId(zone),
        MachineTypeId(kind),
        CellId(cell),
    );
    let ready_at: Nanos = started_ms.saturating_mul(1_000_000);
    ListedEndpoint {
        entry: Endpoint {
            id,
            zone,
            machine_type: kind,
            cell,
            readiness,
            weight,
            started_at: ready_at,
        },
        addr,
    }
}

#[derive(Deserialize)]
struct KnownText {
    index: u64,
    updates: Vec<UpdateText>,
}

#[derive(Deserialize)]
struct UpdateText {
    index: u64,
    endpoints: Endpoints,
}

#[derive(Deserialize)]
struct Endpoints {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ServerText>,
}

#[derive(Deserialize)]
struct ServerText {
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

/// Reads the events that a start is told, and the number of the last one.
pub fn parse_known(known: &Value, names: &Names) -> Result<(u64, Vec<Update>), String> {
    let text = KnownText::deserialize(known).map_err(|e| format!("known: {e}"))?;
    let place =
        |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0) as u16;
    let server = |s: &ServerText| {
        let id =
            s.id.strip_prefix("s-")
                .and_then(|hex| u32::from_str_radix(hex, 16).ok());
        let id = id.ok_or_else(|| format!("known: {:?} is no id", s.id))?;
        let readiness = match s.state.as_str() {
            "in_service" => Readiness::Ready,
            "terminating" => Readiness::Draining,
            "terminated" => Readiness::Removed,
            other => return Err(format!("known: unknown state {other:?}")),
        };
        let place = (
            place(&names.zones, &s.zone),
            place(&names.kinds, &s.kind),
            s.cell,
        );
        Ok(listed(id, s.addr, readiness, place, s.weight, s.started_ms))
    };
    let update = |(at, u): (usize, &UpdateText)| {
        let engines = u
            .endpoints
            .servers
            .iter()
            .map(server)
            .collect::<Result<_, String>>()?;
        Ok(Update {
            index: u.index,
            whole: u.endpoints.full || at == 0,
            engines,
        })
    };
    let updates = text
        .updates
        .iter()
        .enumerate()
        .map(update)
        .collect::<Result<_, String>>()?;
    Ok((text.index, updates))
}

/// Reads one record of the coordinator's frames.
pub fn parse_record(record: &[u8; 27]) -> Option<ListedEndpoint> {
    let u16_at = |at: usize| u16::from_be_bytes([record[at], record[at + 1]]);
    let u32_at = |at: usize| {
        u32::from_be_bytes([record[at], record[at + 1], record[at + 2], record[at + 3]])
    };
    let ip = Ipv4Addr::from(u32_at(4));
    let readiness = match record[10] {
        0 => Readiness::Ready,
        1 => Readiness::Draining,
        2 => Readiness::Removed,
        _ => return None,
    };
    let place = (u16::from(record[11]), u16::from(record[12]), u16_at(13));
    let started = (u64::from(u32_at(19)) << 32) | u64::from(u32_at(23));
    let weight = f64::from(u32_at(15)) / 1000.0;
    Some(listed(
        u32_at(0),
        SocketAddr::from((ip, u16_at(8))),
        readiness,
        place,
        weight,
        started,
    ))
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_list.rs"]
mod tests;
