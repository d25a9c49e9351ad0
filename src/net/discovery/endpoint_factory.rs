//! Creates the handles of endpoints: selects the protocol of an engine and the options of its
//! connections.
use super::ListedEndpoint;
use crate::backend::clickhouse::{ClickHouse, Credentials};
use crate::backend::platform::Platform;
use crate::clock::{Micros, SEC, micros};
use crate::config::process::Names;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::engine::{ConnectionOptions, EndpointHandle, StartActor, spawn};
use crate::policy::api::EngineId;
use async_channel::Sender;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Some versions of ClickHouse servers close connections that have been idle for this long.
const CLICKHOUSE_KEEPALIVE_MICROS: Micros = 3 * SEC;

/// Creates the handle of a listed endpoint.
pub type EndpointFactory = Box<dyn Fn(&ListedEndpoint) -> Rc<EndpointHandle>>;

/// The engines with the ClickHouse interface.
#[derive(Clone, Default)]
pub struct ClickHouseEngines {
    /// Their ids.
    pub ids: Rc<BTreeSet<EngineId>>,
    /// The credentials with which the gateway logs in to them.
    pub credentials: Rc<Credentials>,
    /// Those that the coordinator does not list; they are always in service.
    pub static_endpoints: Vec<ListedEndpoint>,
}

/// Returns a factory whose endpoints send their events to `dispatcher`.
pub fn endpoint_factory(
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    names: Rc<Names>,
    clickhouse: &ClickHouseEngines,
) -> EndpointFactory {
    let clickhouse_ids = clickhouse.ids.clone();
    let credentials = clickhouse.credentials.clone();
    let start_clickhouse = start_clickhouse_actor(&shared, &dispatcher, &names, credentials);
    let start_platform = start_platform_actor(shared, dispatcher, names);
    Box::new(move |listed| {
        let id = listed.endpoint.id;
        let start = if clickhouse_ids.contains(&id) {
            &start_clickhouse
        } else {
            &start_platform
        };
        EndpointHandle::new(id, listed.addr, listed.endpoint.readiness, start.clone())
    })
}

fn start_clickhouse_actor(
    shared: &Rc<Shared>,
    dispatcher: &Sender<DispatcherEvent>,
    names: &Names,
    credentials: Rc<Credentials>,
) -> StartActor {
    let (shared, dispatcher) = (shared.clone(), dispatcher.clone());
    let options = ConnectionOptions {
        connect_timeout: micros(names.connect_timeout),
        keepalive: micros(names.keepalive).min(CLICKHOUSE_KEEPALIVE_MICROS),
        supports_databases: true,
    };
    Rc::new(move |endpoint| {
        let credentials = credentials.clone();
        let new_protocol = move || ClickHouse::new(credentials.clone());
        spawn(&shared, dispatcher.clone(), endpoint, options, new_protocol)
    })
}

fn start_platform_actor(
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    names: Rc<Names>,
) -> StartActor {
    let options = ConnectionOptions {
        connect_timeout: micros(names.connect_timeout),
        keepalive: micros(names.keepalive),
        supports_databases: false,
    };
    Rc::new(move |endpoint| {
        let names = names.clone();
        let new_protocol = move || Platform::new(names.clone());
        spawn(&shared, dispatcher.clone(), endpoint, options, new_protocol)
    })
}
