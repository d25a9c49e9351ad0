//! Start of the ClickHouse frontend: its engines, the state shared by its connections, and its
//! listener.
use super::files::ClickHouseFile;
use super::request_ids::RequestIds;
use super::{StartContext, StartError};
use crate::backend::clickhouse::Credentials;
use crate::clock;
use crate::config::clickhouse::{self, ClassRules, ClickHouseConfig, DirectoryConfig, Users};
use crate::config::process::{Config, Names};
use crate::frontend::clickhouse::{ClickHouse, ClickHouseShared};
use crate::net::discovery::ListedEndpoint;
use crate::net::discovery::endpoint_factory::ClickHouseEngines;
use crate::net::discovery::known_events::index_of;
use crate::net::reload::ClickHouseFrontend;
use crate::net::{Shared, client, tenant_directory};
use crate::policy::api::{Endpoint, MachineTypeId, Readiness, ZoneId};
use crate::tenant_directory::Tenants;
use async_io::Async;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

/// The state that is derived from the deploy file before any actor starts.
pub(super) struct ClickHouseStart {
    path: PathBuf,
    engines: ClickHouseEngines,
    service: Rc<ClickHouseShared>,
    directory: Option<DirectoryConfig>,
    tenants: Tenants,
}

impl ClickHouseStart {
    /// Resolves the names in the deploy file by those of the settings.
    pub(super) fn prepare(
        file: &ClickHouseFile,
        config: &Config,
        shared: &Rc<Shared>,
        request_ids: RequestIds,
    ) -> Result<ClickHouseStart, StartError> {
        Ok(ClickHouseStart {
            path: file.path.clone(),
            engines: engines(&file.config, &config.names)?,
            service: Rc::new(shared_state(&file.config, config, shared, request_ids)?),
            directory: file.config.directory.clone(),
            tenants: Tenants::new(&config.names, config.settings.tenants.clone()),
        })
    }

    /// The engines with the ClickHouse interface.
    pub(super) fn engines(&self) -> ClickHouseEngines {
        self.engines.clone()
    }

    /// Starts the listener. If there is a directory, it is read once before that.
    pub(super) fn start(
        self,
        context: &StartContext,
        listener: Async<TcpListener>,
    ) -> ClickHouseFrontend {
        let service = self.service;
        let file_users = Rc::new(RefCell::new(service.users.borrow().clone()));
        let frontend = ClickHouseFrontend {
            path: self.path,
            service: service.clone(),
            file_users: file_users.clone(),
            has_directory: self.directory.is_some(),
        };
        let reader = self
            .directory
            .map(|directory| tenant_directory::DirectoryReader {
                config: directory,
                file_users,
                tenants: self.tenants,
                frontend: service.clone(),
                dispatcher: context.dispatcher.clone(),
            });
        let connection = move |conn| ClickHouse::new(conn, service.clone());
        let shared = context.shared.clone();
        let dispatcher = context.dispatcher.clone();
        let serving = context.serving.clone();
        context.shared.spawn(async move {
            // Clients that connect before the first read wait in the listen queue, as the users of
            // the directory are unknown until then.
            if let Some(mut reader) = reader {
                let pause_s = reader.refresh().await;
                shared.spawn(reader.run(pause_s));
            }
            serving.wait_until_open().await;
            client::listen(shared, dispatcher, listener, connection).await;
        });
        frontend
    }
}

/// The engines of the deploy file. Those with an address are not in the coordinator's list and are
/// always ready.
fn engines(file: &ClickHouseConfig, names: &Names) -> Result<ClickHouseEngines, StartError> {
    let mut ids = BTreeSet::new();
    let mut static_endpoints = Vec::new();
    for engine in &file.engines {
        let id = clickhouse::engine_id(&engine.id)?;
        ids.insert(id);
        if let Some(addr) = engine.addr {
            let endpoint = Endpoint {
                id,
                zone: ZoneId(index_of(&names.zones, &engine.zone)),
                machine_type: MachineTypeId(index_of(&names.machine_types, &engine.kind)),
                readiness: Readiness::Ready,
                weight: 1.0,
                ..Endpoint::default()
            };
            static_endpoints.push(ListedEndpoint { endpoint, addr });
        }
    }
    Ok(ClickHouseEngines {
        ids: Rc::new(ids),
        credentials: Rc::new(Credentials {
            user: file.credentials.user.clone(),
            key: file.credentials.key.clone(),
        }),
        static_endpoints,
    })
}

/// The state that all connections of the frontend share.
fn shared_state(
    file: &ClickHouseConfig,
    config: &Config,
    shared: &Rc<Shared>,
    request_ids: RequestIds,
) -> Result<ClickHouseShared, StartError> {
    let classes = &config.settings.classes;
    let deadlines = classes
        .iter()
        .map(|class| clock::micros(class.deadline))
        .collect();
    let loads = classes.iter().map(|class| class.loads_data_set).collect();
    let database_support = shared.clone();
    let drain_state = shared.clone();
    Ok(ClickHouseShared {
        class_rules: RefCell::new(ClassRules::new(file, &config.names)?),
        users: RefCell::new(Users::new(file, &config.names)?),
        class_deadlines: RefCell::new(deadlines),
        load_classes: RefCell::new(loads),
        supports_databases: Box::new(move || database_support.engines_support_databases.get()),
        is_draining: Box::new(move || drain_state.lifecycle.borrow().announces_close()),
        new_request_id: Box::new(move || request_ids.next()),
    })
}
