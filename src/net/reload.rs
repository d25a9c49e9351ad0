//! Reload of the configuration while the process runs, on SIGHUP: all files are read and validated
//! first, then applied as one new generation. Open requests and engines are not affected. If a file
//! can't be used, nothing changes.
use super::Shared;
use super::discovery::WatchEvent;
use super::discovery::coordinator::CoordinatorMigration;
use super::discovery::known_events::{KnownEventsError, parse_known};
use super::dispatcher::{DispatcherEvent, Reconfiguration};
use super::fleet::versions::settings_hash;
use crate::class_registry::Class;
use crate::clock::micros;
use crate::config::FileError;
use crate::config::clickhouse::{self, ClassRules, ClickHouseConfig, ClickHouseConfigError, Users};
use crate::config::completeness::missing_key;
use crate::config::process::{self, Config, LiveNames, Names, ProcessConfigError, keyed_classes};
use crate::frontend::clickhouse::ClickHouseShared;
use crate::log;
use crate::policy::api::Settings;
use async_channel::{Sender, bounded};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;

/// Why a new configuration can't be used.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration file can't be read or is invalid.
    #[error("{0}")]
    Config(#[from] FileError<ProcessConfigError>),
    /// The configuration file lacks a key that the configuration in force has.
    #[error("{}: not whole: there is no {key}", path.display())]
    Incomplete {
        /// The file.
        path: PathBuf,
        /// The key's path.
        key: String,
    },
    /// The coordinator's events in the configuration are invalid.
    #[error("{0}")]
    KnownEvents(#[from] KnownEventsError),
    /// The file of the ClickHouse frontend can't be read or is invalid.
    #[error("{0}")]
    ClickHouseFile(#[from] FileError<ClickHouseConfigError>),
    /// The file of the ClickHouse frontend has names that the settings lack.
    #[error("{0}")]
    ClickHouseNames(#[from] ClickHouseConfigError),
}

/// The part of the ClickHouse frontend that its file configures.
pub struct ClickHouseFrontend {
    /// The file.
    pub path: PathBuf,
    /// What its connections share: rules, users, deadlines.
    pub service: Rc<ClickHouseShared>,
    /// The file's users, without those of the directory.
    pub file_users: Rc<RefCell<Users>>,
    /// Whether a directory provides the tenants' shares and further users. They are merged with the
    /// file's at its next read.
    pub has_directory: bool,
}

/// Reloads the configuration and distributes what is new.
pub struct Reload {
    /// The configuration file.
    pub config_path: PathBuf,
    /// The names in force. Only the classes' can change without a restart.
    pub names: LiveNames,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// The configuration in force, as JSON.
    pub json: RefCell<serde_json::Value>,
    /// Where clients connect, which only a restart changes.
    pub listen: SocketAddr,
    /// The ClickHouse frontend, if there is one.
    pub clickhouse: Option<ClickHouseFrontend>,
    /// What all actors share.
    pub shared: Rc<Shared>,
    /// The actor of the coordinator's connection.
    pub coordinator: Sender<CoordinatorMigration>,
    /// The dispatcher's actor.
    pub dispatcher: Sender<DispatcherEvent>,
}

/// A configuration that was read and validated, and is not applied yet.
struct NewConfiguration<'a> {
    config: Config,
    known_events: Vec<WatchEvent>,
    /// The names in force with the new classes.
    names: Names,
    clickhouse: Option<NewClickHouse<'a>>,
}

struct NewClickHouse<'a> {
    frontend: &'a ClickHouseFrontend,
    config: ClickHouseConfig,
    users: Users,
}

/// A class by its id after the reload, and whether it is in force: removed classes keep their ids.
type ReloadedClass = (Class, bool);

impl Reload {
    /// Reads and validates all files, then applies them.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if a file can't be used.
    pub async fn reload(&self) -> Result<(), ReloadError> {
        let new = self.read()?;
        if new.config.listen != self.listen || new.config.names != new.names {
            log!(
                "another address, or other names than those of classes, need a restart: the old ones stand"
            );
        }
        self.apply(new).await
    }

    fn read(&self) -> Result<NewConfiguration<'_>, ReloadError> {
        let config = process::read(&self.config_path)?;
        if let Some(key) = missing_key(&config.json, &self.json.borrow()) {
            return Err(ReloadError::Incomplete {
                path: self.config_path.clone(),
                key,
            });
        }
        let names_in_force = self.names.borrow().clone();
        let known_events = parse_known(&config.known_events, &names_in_force)?.events;
        let names = Names {
            classes: config.names.classes.clone(),
            keyed_classes: config.names.keyed_classes.clone(),
            removed_classes: BTreeSet::new(),
            ..(*names_in_force).clone()
        };
        let clickhouse = self.read_clickhouse(&names)?;
        Ok(NewConfiguration {
            config,
            known_events,
            names,
            clickhouse,
        })
    }

    fn read_clickhouse(&self, names: &Names) -> Result<Option<NewClickHouse<'_>>, ReloadError> {
        let Some(frontend) = &self.clickhouse else {
            return Ok(None);
        };
        let config = clickhouse::read(&frontend.path)?;
        ClassRules::new(&config, names)?;
        let users = Users::new(&config, names)?;
        Ok(Some(NewClickHouse {
            frontend,
            config,
            users,
        }))
    }

    async fn apply(&self, new: NewConfiguration<'_>) -> Result<(), ReloadError> {
        let config = new.config;
        let limits = config.limits;
        self.shared.set_limits(limits.sockets, limits.memory_mb);
        let classes = self.apply_settings(&config).await;
        let names = Rc::new(with_classes(new.names, &classes));
        *self.names.borrow_mut() = names.clone();
        if let Some(clickhouse) = new.clickhouse {
            clickhouse.apply(&classes, &names)?;
        }
        self.apply_tenants(&config).await;
        *self.json.borrow_mut() = config.json;
        let migration = CoordinatorMigration {
            addr: Some(config.coordinator),
            known: new.known_events,
        };
        let _ = self.coordinator.send(migration).await;
        Ok(())
    }

    /// Gives the dispatcher its new settings, and returns all classes by their ids. The manager's
    /// identity and the lists that other settings index stay until a restart.
    async fn apply_settings(&self, config: &Config) -> Vec<ReloadedClass> {
        let in_force = self.settings.borrow().clone();
        let settings = Settings {
            gateway_index: in_force.gateway_index,
            gateways: in_force.gateways,
            zone: in_force.zone,
            batch_interval: in_force.batch_interval,
            machine_types: in_force.machine_types,
            tenants: in_force.tenants,
            poll_endpoint_list: in_force.poll_endpoint_list,
            load_fields: in_force.load_fields,
            ..config.settings.clone()
        };
        *self.settings.borrow_mut() = settings.clone();
        let (applied, classes) = bounded(1);
        let reconfigure = DispatcherEvent::Reconfigure(Reconfiguration {
            settings: Box::new(settings),
            class_names: config.names.classes.clone(),
            settings_hash: settings_hash(&config.json),
            applied,
        });
        let _ = self.dispatcher.send(reconfigure).await;
        classes.recv().await.unwrap_or_default()
    }

    /// Gives the dispatcher the tenants' new shares, unless a directory provides them or the tenants
    /// are others.
    async fn apply_tenants(&self, config: &Config) {
        let has_directory = self
            .clickhouse
            .as_ref()
            .is_some_and(|frontend| frontend.has_directory);
        let same_tenants = config.names.tenants == self.names.borrow().tenants;
        if !has_directory && same_tenants {
            let tenants = DispatcherEvent::Tenants(config.settings.tenants.clone());
            let _ = self.dispatcher.send(tenants).await;
        }
    }
}

impl NewClickHouse<'_> {
    fn apply(self, classes: &[ReloadedClass], names: &Names) -> Result<(), ClickHouseConfigError> {
        let service = &self.frontend.service;
        *service.class_deadlines.borrow_mut() = classes
            .iter()
            .map(|(class, _)| micros(class.spec.deadline))
            .collect();
        *service.load_classes.borrow_mut() = classes
            .iter()
            .map(|(class, _)| class.spec.loads_data_set)
            .collect();
        *service.class_rules.borrow_mut() = ClassRules::new(&self.config, names)?;
        *self.frontend.file_users.borrow_mut() = self.users.clone();
        if !self.frontend.has_directory {
            *service.users.borrow_mut() = self.users;
        }
        Ok(())
    }
}

/// The names with the classes as the dispatcher numbers them.
fn with_classes(names: Names, classes: &[ReloadedClass]) -> Names {
    let removed_classes = (0..)
        .zip(classes)
        .filter(|(_, (_, in_force))| !in_force)
        .map(|(id, _)| id)
        .collect();
    Names {
        classes: classes
            .iter()
            .map(|(class, _)| class.name.to_string())
            .collect(),
        keyed_classes: keyed_classes(classes.iter().map(|(class, _)| &class.spec)),
        removed_classes,
        ..names
    }
}
