//! Reload of the configuration while the process runs, on SIGHUP: all files are read and validated
//! first, then applied as one new generation. Open requests and engines are not affected. If a file
//! cannot be used, or the process shuts down meanwhile, nothing changes.
use super::Shared;
use super::discovery::WatchEvent;
use super::discovery::coordinator::WatchCommand;
use super::discovery::known_events::{KnownEventsError, parse_known};
use super::discovery::numbering::Numbering;
use super::dispatcher::{DispatcherEvent, Reconfiguration};
use super::fleet::versions::settings_hash;
use crate::class_registry::Class;
use crate::clock::micros;
use crate::config::FileError;
use crate::config::clickhouse::{self, ClassRules, ClickHouseConfigError, Users};
use crate::config::completeness::missing_key;
use crate::config::process::{self, Config, LiveNames, Names, ProcessConfigError, keyed_classes};
use crate::frontend::clickhouse::ClickHouseShared;
use crate::log;
use crate::policy::api::{ClassId, Settings, TenantSpec};
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
    #[error("{}: incomplete: the key {key} is missing", path.display())]
    Incomplete {
        /// The file.
        path: PathBuf,
        /// The key's path.
        key: String,
    },
    /// The coordinator's events in the configuration are invalid.
    #[error("{0}")]
    KnownEvents(#[from] KnownEventsError),
    /// The deploy file can't be read or is invalid.
    #[error("{0}")]
    ClickHouseFile(#[from] FileError<ClickHouseConfigError>),
    /// The deploy file uses names that the settings do not define.
    #[error("{0}")]
    ClickHouseNames(#[from] ClickHouseConfigError),
    /// The dispatcher ended before it applied the new settings.
    #[error("the dispatcher has ended, as the process is shutting down")]
    DispatcherEnded,
}

/// The part of the ClickHouse frontend that the deploy file configures.
pub struct ClickHouseFrontend {
    /// The deploy file.
    pub path: PathBuf,
    /// The state that its connections share: rules, users, deadlines.
    pub service: Rc<ClickHouseShared>,
    /// The deploy file's users, without those of the directory.
    pub file_users: Rc<RefCell<Users>>,
    /// Whether a directory provides the tenants' shares and further users. The deploy file's users
    /// are merged with them when the directory is read the next time.
    pub has_directory: bool,
}

/// Reloads the configuration and applies it to the other actors.
pub struct Reload {
    /// The configuration file.
    pub config_path: PathBuf,
    /// The names in force. Only the names of classes can change without a restart.
    pub names: LiveNames,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// The configuration in force, as JSON.
    pub json: RefCell<serde_json::Value>,
    /// The address where clients connect, which only a restart changes.
    pub listen: SocketAddr,
    /// The ClickHouse frontend, if there is one.
    pub clickhouse: Option<ClickHouseFrontend>,
    /// The state that all actors share.
    pub shared: Rc<Shared>,
    /// The mailbox of the coordinator's watch.
    pub coordinator: Sender<WatchCommand>,
    /// The mailbox of the dispatcher's actor.
    pub dispatcher: Sender<DispatcherEvent>,
}

/// A configuration that has been read and validated, but not applied.
struct NewConfiguration<'a> {
    config: Config,
    known_events: Vec<WatchEvent>,
    /// The names in force, but for the classes, which are the new ones.
    names: Names,
    clickhouse: Option<NewClickHouse<'a>>,
}

struct NewClickHouse<'a> {
    frontend: &'a ClickHouseFrontend,
    /// The rules, which identify a class by its index in the new settings instead of its id.
    rules: ClassRules,
    users: Users,
}

/// A class by its id after the reload, and whether it is in force: removed classes keep their ids.
type ReloadedClass = (Class, bool);

impl Reload {
    /// Reads and validates all files, then applies them.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if a file can't be used or the dispatcher has ended.
    pub async fn reload(&self) -> Result<(), ReloadError> {
        let new = self.read()?;
        if new.config.listen != self.listen || new.config.names != new.names {
            log!(
                "reload: a changed listen address or changed names other than class names need a restart, the old ones stay in force"
            );
        }
        let settings = self.merged_settings(&new.config);
        let classes = self.reconfigure_dispatcher(&settings, &new.config).await?;
        let migration = self.apply(new, settings, &classes);
        // The coordinator's watch ends only when the process exits.
        let _ = self.coordinator.send(migration).await;
        Ok(())
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
        Ok(Some(NewClickHouse {
            frontend,
            rules: ClassRules::new(&config, names)?,
            users: Users::new(&config, names)?,
        }))
    }

    /// The new settings, except for the manager's identity and the lists that other settings index,
    /// which stay the same until a restart.
    fn merged_settings(&self, config: &Config) -> Settings {
        let in_force = self.settings.borrow().clone();
        Settings {
            gateway_index: in_force.gateway_index,
            gateways: in_force.gateways,
            zone: in_force.zone,
            batch_interval: in_force.batch_interval,
            machine_types: in_force.machine_types,
            tenants: in_force.tenants,
            poll_endpoint_list: in_force.poll_endpoint_list,
            load_fields: in_force.load_fields,
            ..config.settings.clone()
        }
    }

    /// Sends the dispatcher its part of the new configuration, and returns all classes by their
    /// ids. Nothing else is applied before: if the dispatcher has ended, the whole old
    /// configuration stays in force.
    async fn reconfigure_dispatcher(
        &self,
        settings: &Settings,
        config: &Config,
    ) -> Result<Vec<ReloadedClass>, ReloadError> {
        let (applied, classes) = bounded(1);
        let reconfigure = DispatcherEvent::Reconfigure(Reconfiguration {
            settings: Box::new(settings.clone()),
            class_names: config.names.classes.clone(),
            settings_hash: settings_hash(&config.json),
            tenants: self.new_tenants(config),
            applied,
        });
        let sent = self.dispatcher.send(reconfigure).await;
        sent.map_err(|_| ReloadError::DispatcherEnded)?;
        let applied = classes.recv().await;
        applied.map_err(|_| ReloadError::DispatcherEnded)
    }

    /// The tenants' new shares; `None` if a directory provides them or the list of tenants has
    /// changed.
    fn new_tenants(&self, config: &Config) -> Option<Vec<TenantSpec>> {
        let has_directory = self
            .clickhouse
            .as_ref()
            .is_some_and(|frontend| frontend.has_directory);
        let same_tenants = config.names.tenants == self.names.borrow().tenants;
        (!has_directory && same_tenants).then(|| config.settings.tenants.clone())
    }

    /// Applies the configuration that the dispatcher has already applied; returns the message for
    /// the coordinator's watch.
    fn apply(
        &self,
        new: NewConfiguration<'_>,
        settings: Settings,
        classes: &[ReloadedClass],
    ) -> WatchCommand {
        let config = new.config;
        let limits = config.limits;
        self.shared.set_limits(limits.sockets, limits.memory_mb);
        *self.settings.borrow_mut() = settings;
        let names = Rc::new(with_classes(new.names, classes));
        *self.names.borrow_mut() = names.clone();
        if let Some(clickhouse) = new.clickhouse {
            clickhouse.apply(classes, &config.names.classes, &names);
        }
        *self.json.borrow_mut() = config.json;
        let numbering = Numbering::of(&new.known_events);
        self.shared.event_numberings.add(numbering);
        WatchCommand::Migrate {
            addr: config.coordinator,
            known: new.known_events,
        }
    }
}

impl NewClickHouse<'_> {
    /// `new_classes` are the names of the new settings' classes, in their order.
    fn apply(self, classes: &[ReloadedClass], new_classes: &[String], names: &Names) {
        let service = &self.frontend.service;
        *service.class_deadlines.borrow_mut() = classes
            .iter()
            .map(|(class, _)| micros(class.spec.deadline))
            .collect();
        *service.load_classes.borrow_mut() = classes
            .iter()
            .map(|(class, _)| class.spec.loads_data_set)
            .collect();
        // Each of the new settings' classes is in force, so its name has an id.
        let id_in_force = |index: ClassId| {
            let name = new_classes.get(usize::from(index.0));
            name.and_then(|name| names.class(name)).unwrap_or(index)
        };
        *service.class_rules.borrow_mut() = self.rules.renumbered(id_in_force);
        *self.frontend.file_users.borrow_mut() = self.users.clone();
        if !self.frontend.has_directory {
            *service.users.borrow_mut() = self.users;
        }
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

#[cfg(test)]
#[path = "../../tests/unit/net_reload.rs"]
mod tests;
