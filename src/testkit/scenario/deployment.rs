//! Steps that define the deployment and start the daemon.
use super::error::StepError;
use super::{ScenarioEngine, ScenarioRun, parse_count, text_after};
use crate::policy::api::Readiness;
use crate::testkit::coordinator;
use crate::testkit::daemon::{
    Daemon, DaemonError, DaemonLimits, DaemonOptions, MACHINE_TYPES, ZONES,
};
use crate::testkit::directory::Directory;
use crate::testkit::engines::{Engine, EngineOptions, EngineProtocol};
use crate::testkit::execution_log::ExecutionLimits;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::TcpListener;

/// The tenant argument of a user without a tenant.
const NO_TENANT: &str = "-";

/// A step that defines the deployment or starts the daemon.
pub(super) enum DeploymentStep<'a> {
    Engine {
        name: &'a str,
        protocol: EngineProtocol,
    },
    EngineOfMachineType {
        name: &'a str,
        machine_type: &'a str,
        max_sessions: usize,
    },
    Set {
        pointer: &'a str,
        json: &'a str,
    },
    User {
        name: &'a str,
        key: &'a str,
        tenant: &'a str,
    },
    DirectoryTenant {
        name: &'a str,
        share: &'a str,
    },
    DirectoryUser {
        name: &'a str,
        key: &'a str,
        tenant: &'a str,
    },
    DirectoryBusy(bool),
    MaxSockets(usize),
    OccupyPort,
    AdminEndpoint,
    Start,
}

impl<'a> DeploymentStep<'a> {
    pub(super) fn parse(
        line: &'a str,
        words: &[&'a str],
    ) -> Result<Option<DeploymentStep<'a>>, StepError> {
        let step = match *words {
            ["engine", name, "platform"] => DeploymentStep::Engine {
                name,
                protocol: EngineProtocol::Platform,
            },
            ["engine", name, "clickhouse"] => DeploymentStep::Engine {
                name,
                protocol: EngineProtocol::ClickHouse,
            },
            ["engine", name, "platform", machine_type, sessions] => {
                DeploymentStep::EngineOfMachineType {
                    name,
                    machine_type,
                    max_sessions: parse_count(sessions)?,
                }
            }
            ["set", pointer, ..] => DeploymentStep::Set {
                pointer,
                json: text_after(line, 2),
            },
            ["user", name, key, tenant] => DeploymentStep::User { name, key, tenant },
            ["tenant", name, share] => DeploymentStep::DirectoryTenant { name, share },
            ["person", name, key, tenant] => DeploymentStep::DirectoryUser { name, key, tenant },
            ["busy"] => DeploymentStep::DirectoryBusy(true),
            ["idle"] => DeploymentStep::DirectoryBusy(false),
            ["sockets", sockets] => DeploymentStep::MaxSockets(parse_count(sockets)?),
            ["occupy"] => DeploymentStep::OccupyPort,
            ["console"] => DeploymentStep::AdminEndpoint,
            ["start"] => DeploymentStep::Start,
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

impl ScenarioRun<'_> {
    pub(super) async fn execute_deployment_step(
        &mut self,
        step: DeploymentStep<'_>,
    ) -> Result<(), StepError> {
        match step {
            DeploymentStep::Engine { name, protocol } => {
                self.add_engine(name, 0, EngineOptions::new(protocol));
            }
            DeploymentStep::EngineOfMachineType {
                name,
                machine_type,
                max_sessions,
            } => self.add_engine_of_machine_type(name, machine_type, max_sessions)?,
            DeploymentStep::Set { pointer, json } => self.set_setting(pointer, json)?,
            DeploymentStep::User { name, key, tenant } => self.add_user(name, key, tenant),
            DeploymentStep::DirectoryTenant { name, share } => {
                self.directory().add_tenant(name, share);
            }
            DeploymentStep::DirectoryUser { name, key, tenant } => {
                let tenant = tenant.trim_matches('-');
                self.directory().add_user(name, key, tenant);
            }
            DeploymentStep::DirectoryBusy(busy) => self.directory().content.busy.set(busy),
            DeploymentStep::MaxSockets(max_sockets) => self.max_sockets = max_sockets,
            DeploymentStep::OccupyPort => self.occupy_port()?,
            DeploymentStep::AdminEndpoint => self.has_admin_endpoint = true,
            DeploymentStep::Start => self.start().await?,
        }
        Ok(())
    }

    fn add_engine(&mut self, name: &str, machine_type: u16, options: EngineOptions) {
        let engine = Engine::start(&self.executor, name, options, self.log.clone());
        let id = self.engines.len() as u32 + 1;
        let engine = ScenarioEngine {
            engine,
            id,
            machine_type,
        };
        self.engines.insert(name.to_owned(), engine);
    }

    /// Adds an engine with the platform's protocol and this machine type.
    fn add_engine_of_machine_type(
        &mut self,
        name: &str,
        machine_type: &str,
        max_sessions: usize,
    ) -> Result<(), StepError> {
        let machine_type = MACHINE_TYPES
            .iter()
            .position(|known| *known == machine_type);
        let machine_type = machine_type.ok_or(StepError::UnknownMachineType)?;
        let options = EngineOptions {
            max_sessions,
            ..EngineOptions::new(EngineProtocol::Platform)
        };
        self.add_engine(name, machine_type as u16, options);
        Ok(())
    }

    /// Sets a value in the settings; the last key of the JSON pointer may be new in its object.
    fn set_setting(&mut self, pointer: &str, json: &str) -> Result<(), StepError> {
        let value: Value = serde_json::from_str(json)?;
        let unknown = || StepError::UnknownSetting(pointer.to_owned());
        let (parent, key) = pointer.rsplit_once('/').ok_or_else(unknown)?;
        match self.settings.pointer_mut(parent).ok_or_else(unknown)? {
            Value::Object(map) => {
                map.insert(key.to_owned(), value);
            }
            Value::Array(list) => {
                let entry = list.get_mut(parse_count(key)?);
                *entry.ok_or_else(unknown)? = value;
            }
            _ => return Err(unknown()),
        }
        Ok(())
    }

    fn add_user(&mut self, name: &str, key: &str, tenant: &str) {
        // Writing to a string can't fail.
        let _ = writeln!(self.users, "[[user]]\nname = \"{name}\"\nkey = \"{key}\"");
        if tenant != NO_TENANT {
            let _ = writeln!(self.users, "tenant = \"{tenant}\"");
        }
    }

    fn directory(&mut self) -> &Directory {
        let executor = &self.executor;
        self.directory.get_or_insert_with(|| {
            let directory = Directory::start(executor);
            *directory.content.password.borrow_mut() = "secret".into();
            directory
        })
    }

    fn occupy_port(&mut self) -> Result<(), StepError> {
        let listener = TcpListener::bind(self.http_addr).map_err(StepError::OccupyPort)?;
        self.occupied_port = Some(listener);
        Ok(())
    }

    async fn start(&mut self) -> Result<(), StepError> {
        self.log
            .set_limits(ExecutionLimits::of_settings(&self.settings));
        let names: Vec<String> = self.engines.keys().cloned().collect();
        let mut endpoints = Vec::new();
        for name in &names {
            endpoints.push(self.listed_endpoint(name, Readiness::Ready)?);
        }
        let known = coordinator::known(&endpoints, &ZONES, &MACHINE_TYPES);
        self.daemon = Some(self.start_daemon(&known).await?);
        Ok(())
    }

    async fn start_daemon(&self, known: &Value) -> Result<Daemon, DaemonError> {
        let has_clickhouse_frontend = !self.users.is_empty() || self.directory.is_some();
        let deploy_file = has_clickhouse_frontend.then(|| self.deploy_file());
        let options = DaemonOptions {
            coordinator: self.coordinator.addr,
            known: known.clone(),
            deploy_file,
            limits: DaemonLimits::with_sockets(self.max_sockets),
            has_admin_endpoint: self.has_admin_endpoint,
            settings: self.settings.clone(),
        };
        Daemon::start(self.program, options).await
    }

    fn deploy_file(&self) -> String {
        let mut text = format!(
            "listen = \"{}\"\nusual_class = \"lookup\"\n",
            self.http_addr
        );
        for entry in self.engines.values() {
            if entry.engine.protocol == EngineProtocol::ClickHouse {
                let _ = writeln!(
                    text,
                    "# {}\n[[engine]]\nid = \"s-{:08x}\"",
                    entry.engine.addr, entry.id
                );
            }
        }
        text += "[[class]]\nname = \"load\"\nbegins = [\"insert\"]\n";
        text += "[[class]]\nname = \"report\"\nholds = [\"group\", \"join\"]\n";
        text += &self.users;
        text + &self.directory_section()
    }

    fn directory_section(&self) -> String {
        let Some(directory) = &self.directory else {
            return String::new();
        };
        format!(
            "[directory]\naddr = \"{}\"\nbind_dn = \"cn=reader\"\nbind_password = \"secret\"\n\
             users_base = \"ou=people\"\ntenants_base = \"ou=tenants\"\nkey_attribute = \"employeeNumber\"\n\
             page = 2\nrefresh_s = 1\n",
            directory.addr
        )
    }
}
