//! A new configuration while the program runs, on SIGHUP: what can change does, requests and engines stay. A file
//! that can't be used leaves everything as it was.
use super::Shared;
use super::coordinator::Move;
use super::core::Input;
use super::list::parse_known;
use crate::config::{self, Config, Names};
use crate::deploy::{self, ClassRules, Users};
use crate::front::clickhouse::Service;
use crate::log;
use async_channel::Sender;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The second front, as far as its file can change it.
pub struct Second {
    /// The deploy file.
    pub path: PathBuf,
    /// Whose users and rules these are.
    pub service: Rc<Service>,
    /// The users of the file, where a directory adds others; those come with its next reading.
    pub file: Rc<RefCell<Users>>,
    /// Whether a directory has the tenants' shares and further users.
    pub directory: bool,
}

/// Reads the files again and hands out what is new.
pub struct Reload {
    /// The configuration file.
    pub path: PathBuf,
    /// The names in force, which only a restart changes.
    pub names: Rc<Names>,
    /// Where clients connect, which only a restart changes.
    pub listen: SocketAddr,
    /// The second front, if there is one.
    pub second: Option<Second>,
    /// What all actors share.
    pub shared: Rc<Shared>,
    /// The coordinator's actor.
    pub coordinator: Sender<Move>,
    /// The module.
    pub core: Sender<Input>,
}

impl Reload {
    /// Reads both files; only if both can be used is anything changed.
    pub async fn again(&self) -> Result<(), String> {
        let config = config::read(&self.path)?;
        let (_, known) = parse_known(&config.known, &self.names)?;
        let second = self.second.as_ref().map(|second| {
            let deploy = deploy::read(&second.path)?;
            let users = Users::new(&deploy, &self.names)?;
            Ok::<_, String>((second, ClassRules::new(&deploy, &self.names)?, users))
        });
        let second = second.transpose()?;
        if config.listen != self.listen || config.names != *self.names {
            log!(
                "another listen address, or other names in the settings, need a restart: the old ones stand"
            );
        }
        self.shared.limit(config.limits.sockets, config.limits.memory_mb);
        if let Some((second, rules, users)) = second {
            *second.service.rules.borrow_mut() = rules;
            *second.file.borrow_mut() = users.clone();
            if !second.directory {
                *second.service.users.borrow_mut() = users;
            }
        }
        self.shares(&config).await;
        let _ = self.coordinator.send(Move { addr: config.coordinator, known }).await;
        Ok(())
    }

    async fn shares(&self, config: &Config) {
        let theirs = self.second.as_ref().is_some_and(|second| second.directory);
        if !theirs && config.names.tenants == self.names.tenants {
            let _ = self.core.send(Input::Tenants(config.settings.tenants.clone())).await;
        }
    }
}
