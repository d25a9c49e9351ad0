//! A new configuration while the program runs, on SIGHUP: all of it is read and checked, then
//! applied as one new generation; requests and engines stay. A file that can't be used leaves
//! everything as it was.
use super::Shared;
use super::discovery::coordinator::CoordinatorMigration;
use super::discovery::endpoint_list::parse_known;
use super::dispatcher::DispatcherEvent;
use super::fleet::versions::settings_hash;
use crate::class_registry::Class;
use crate::clock::micros;
use crate::config::clickhouse::{self, ClassRules, Users};
use crate::config::process::{self, Config, LiveNames, Names};
use crate::frontend::clickhouse::ClickHouseShared;
use crate::log;
use crate::policy::api::Settings;
use async_channel::{Sender, bounded};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The second front, as far as its file can change it.
pub struct ClickHouseFrontend {
    /// The deploy file.
    pub path: PathBuf,
    /// Whose users and rules these are.
    pub service: Rc<ClickHouseShared>,
    /// The users of the file, where a directory adds others; those come with its next reading.
    pub file: Rc<RefCell<Users>>,
    /// Whether a directory has the tenants' shares and further users.
    pub directory: bool,
}

/// Reads the files again and hands out what is new.
pub struct Reload {
    /// The configuration file.
    pub path: PathBuf,
    /// The names in force; only a restart changes others than those of classes.
    pub names: LiveNames,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// The file in force.
    pub text: RefCell<serde_json::Value>,
    /// Where clients connect, which only a restart changes.
    pub listen: SocketAddr,
    /// The second front, if there is one.
    pub second: Option<ClickHouseFrontend>,
    /// What all actors share.
    pub shared: Rc<Shared>,
    /// The coordinator's actor.
    pub coordinator: Sender<CoordinatorMigration>,
    /// The module.
    pub core: Sender<DispatcherEvent>,
}

impl Reload {
    /// Reads both files; only if both can be used is anything changed.
    pub async fn again(&self) -> Result<(), String> {
        let config = process::read(&self.path)?;
        if let Some(key) = process::lacks(&config.text, &self.text.borrow()) {
            return Err(format!(
                "{}: not whole: there is no {key}",
                self.path.display()
            ));
        }
        let names = self.names.borrow().clone();
        let (_, known) = parse_known(&config.known, &names)?;
        let classes = config.names.classes.clone();
        let keyed = config.names.keyed.clone();
        let next = Names {
            classes,
            keyed,
            dropped: BTreeSet::new(),
            ..(*names).clone()
        };
        let second = self.second.as_ref().map(|second| {
            let deploy = clickhouse::read(&second.path)?;
            ClassRules::new(&deploy, &next)?;
            let users = Users::new(&deploy, &next)?;
            Ok::<_, String>((second, deploy, users))
        });
        let second = second.transpose()?;
        if config.listen != self.listen || config.names != next {
            log!(
                "another address, or other names than those of classes, need a restart: the old ones stand"
            );
        }
        // From here on all of it is taken.
        self.shared
            .set_limits(config.limits.sockets, config.limits.memory_mb);
        let classes = self.retune(&config).await;
        let names = Rc::new(Names {
            classes: classes
                .iter()
                .map(|(class, _)| class.name.to_string())
                .collect(),
            keyed: process::keyed(classes.iter().map(|(class, _)| &class.spec)),
            dropped: (0..)
                .zip(&classes)
                .filter(|(_, (_, in_force))| !in_force)
                .map(|(at, _)| at)
                .collect(),
            ..next
        });
        *self.names.borrow_mut() = names.clone();
        if let Some((second, deploy, users)) = second {
            let service = &second.service;
            *service.deadlines.borrow_mut() = classes
                .iter()
                .map(|(c, _)| micros(c.spec.deadline))
                .collect();
            *service.loads.borrow_mut() = classes.iter().map(|(c, _)| c.spec.is_load).collect();
            *service.rules.borrow_mut() = ClassRules::new(&deploy, &names)?;
            *second.file.borrow_mut() = users.clone();
            if !second.directory {
                *service.users.borrow_mut() = users;
            }
        }
        self.shares(&config).await;
        *self.text.borrow_mut() = config.text;
        let _ = self
            .coordinator
            .send(CoordinatorMigration {
                addr: Some(config.coordinator),
                known,
            })
            .await;
        Ok(())
    }

    /// Gives the module its new settings. Who it is, and what the places in lists mean, stands
    /// until a restart.
    async fn retune(&self, config: &Config) -> Vec<(Class, bool)> {
        let old = self.settings.borrow().clone();
        let new = config.settings.clone();
        let settings = Settings {
            gateway_index: old.gateway_index,
            gateways: old.gateways,
            zone: old.zone,
            tick: old.tick,
            kinds: old.kinds,
            tenants: old.tenants,
            poll_endpoint_list: old.poll_endpoint_list,
            load_fields: old.load_fields,
            ..new
        };
        *self.settings.borrow_mut() = settings.clone();
        let (done, told) = bounded(1);
        let names = config.names.classes.clone();
        let hash = settings_hash(&config.text);
        let _ = self
            .core
            .send(DispatcherEvent::Reconfigure(
                Box::new(settings),
                names,
                hash,
                done,
            ))
            .await;
        told.recv().await.unwrap_or_default()
    }

    async fn shares(&self, config: &Config) {
        let theirs = self.second.as_ref().is_some_and(|second| second.directory);
        let same = config.names.tenants == self.names.borrow().tenants;
        if !theirs && same {
            let _ = self
                .core
                .send(DispatcherEvent::Tenants(config.settings.tenants.clone()))
                .await;
        }
    }
}
