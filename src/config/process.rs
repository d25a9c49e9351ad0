//! The configuration of one process: the JSON file that `PROXY_CONFIG` names.
use crate::config::settings::{self, SettingsError};
use crate::config::{FileError, first_duplicate, load};
use crate::policy::api::{ClassId, ClassSpec, Idempotency, Nanos, Settings, TenantId};
use serde::Deserialize;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::Path;
use std::rc::Rc;
use thiserror::Error;

/// Used where `limits.connect_timeout_ns` is missing.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
/// Used where `limits.keepalive_ns` is missing.
const DEFAULT_KEEPALIVE: Nanos = 15_000_000_000;
/// Used where `limits.max_streams` is missing.
const DEFAULT_MAX_STREAMS: u64 = 32;

/// The file, with the platform's keys.
#[derive(Deserialize)]
struct ConfigJson {
    name: String,
    listen: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    coordinator: SocketAddr,
    console: Option<SocketAddr>,
    known: Value,
    settings: Value,
}

/// The limits on this process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// What the dispatcher and the frontends need of the settings beside the policy module's part:
/// above all the names behind its numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, by their ids: at first in the order of the settings.
    pub classes: Vec<String>,
    /// The ids of classes that a reload removed.
    pub removed_classes: BTreeSet<u16>,
    /// The ids of classes whose requests carry idempotency keys.
    pub keyed_classes: BTreeSet<u16>,
    /// Tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Kinds of machine, in the order of the settings.
    pub kinds: Vec<String>,
    /// Fields of load reports, in the order of the settings.
    pub load_fields: Vec<String>,
    /// Time to establish a connection to an engine.
    pub connect_timeout: Nanos,
    /// Time after which an idle connection to an engine is closed.
    pub keepalive: Nanos,
    /// Attempts that one connection to an engine carries at the same time.
    pub streams: usize,
}

impl Names {
    /// The id of the class with this name, if it is in force.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        (0u16..)
            .zip(&self.classes)
            .find(|(id, class)| *class == name && !self.removed_classes.contains(id))
            .map(|(id, _)| ClassId(id))
    }

    /// The id of the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        let index = self.tenants.iter().position(|tenant| tenant == name)?;
        Some(TenantId(index as u16))
    }
}

/// The names in force, which a reload replaces.
pub type LiveNames = Rc<RefCell<Rc<Names>>>;

/// The whole configuration.
pub struct Config {
    /// The name of this workload manager.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seeds the random numbers.
    pub seed: u64,
    /// Limits on this process.
    pub limits: ProcessLimits,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
    /// The admin endpoint, where operators connect; `None` without one.
    pub admin_address: Option<SocketAddr>,
    /// The coordinator's events up to the start, as JSON.
    pub known_events: Value,
    /// The policy module's settings.
    pub settings: Settings,
    /// The names behind the numbers of the settings.
    pub names: Names,
    /// The file's JSON, to compare with on a reload.
    pub json: Value,
}

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ProcessConfigError {
    /// The file is no JSON, or a key is missing or has a value of another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed: {0}")]
    Seed(#[source] ParseIntError),
    /// The settings can't be parsed.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings have no classes.
    #[error("settings: no classes")]
    NoClasses,
    /// A class has an empty name.
    #[error("settings: a class has no name")]
    UnnamedClass,
    /// Two classes have the same name.
    #[error("settings: two classes have one name: {name}")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// A class's deadline is not positive.
    #[error("settings: the deadline of {class} is not a positive number")]
    DeadlineNotPositive {
        /// The class.
        class: String,
    },
    /// A class with idempotency keys has no time for which engines remember them.
    #[error("settings: the window in which repeats of {class} are known is not a positive number")]
    WindowNotPositive {
        /// The class.
        class: String,
    },
    /// The maximum of attempts is not positive.
    #[error("settings: the attempts (send_cap) are not a positive number")]
    MaxAttemptsNotPositive,
}

/// The ids of the classes whose requests carry idempotency keys; `classes` in the order of their ids.
pub fn keyed_classes<'a>(classes: impl Iterator<Item = &'a ClassSpec>) -> BTreeSet<u16> {
    (0..)
        .zip(classes)
        .filter(|(_, class)| matches!(class.idempotency, Idempotency::WithKey { .. }))
        .map(|(id, _)| id)
        .collect()
}

/// The names of a list whose items are strings or objects with a `name`; empty where there is none.
fn names_of(list: &Value) -> Vec<String> {
    let name_of = |item: &Value| {
        item.as_str()
            .or_else(|| item["name"].as_str())
            .unwrap_or_default()
            .to_owned()
    };
    list.as_array()
        .map(|items| items.iter().map(name_of).collect())
        .unwrap_or_default()
}

/// Checks what has no usable default.
fn validate(class_names: &[String], settings: &Settings) -> Result<(), ProcessConfigError> {
    if settings.classes.is_empty() {
        return Err(ProcessConfigError::NoClasses);
    }
    if class_names.iter().any(String::is_empty) {
        return Err(ProcessConfigError::UnnamedClass);
    }
    if let Some(name) = first_duplicate(class_names) {
        return Err(ProcessConfigError::DuplicateClass { name: name.clone() });
    }
    let first_class = |is_wrong: fn(&ClassSpec) -> bool| {
        class_names
            .iter()
            .zip(&settings.classes)
            .find(|(_, class)| is_wrong(class))
            .map(|(name, _)| name.clone())
    };
    if let Some(class) = first_class(|class| class.deadline == 0) {
        return Err(ProcessConfigError::DeadlineNotPositive { class });
    }
    let has_no_window =
        |class: &ClassSpec| matches!(class.idempotency, Idempotency::WithKey { window: 0, .. });
    if let Some(class) = first_class(has_no_window) {
        return Err(ProcessConfigError::WindowNotPositive { class });
    }
    if settings.limits.max_attempts == 0 {
        return Err(ProcessConfigError::MaxAttemptsNotPositive);
    }
    Ok(())
}

/// Parses and validates the configuration.
pub fn parse(text: &[u8]) -> Result<Config, ProcessConfigError> {
    let json: Value = serde_json::from_slice(text)?;
    let file = ConfigJson::deserialize(&json)?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(ProcessConfigError::Seed)?;
    let settings = settings::parse(file.settings.to_string().as_bytes())?;
    let names = names_of_settings(&file.settings, &settings);
    validate(&names.classes, &settings)?;
    Ok(Config {
        name: file.name,
        listen: file.listen,
        seed,
        limits: file.limits,
        coordinator: file.coordinator,
        admin_address: file.console,
        known_events: file.known,
        settings,
        names,
        json,
    })
}

fn names_of_settings(json: &Value, settings: &Settings) -> Names {
    let limit = |key: &str, default: u64| json["limits"][key].as_u64().unwrap_or(default);
    Names {
        classes: names_of(&json["classes"]),
        removed_classes: BTreeSet::new(),
        keyed_classes: keyed_classes(settings.classes.iter()),
        tenants: names_of(&json["orgs"]),
        zones: names_of(&json["zones"]),
        kinds: names_of(&json["kinds"]),
        load_fields: names_of(&json["load_info"]["fields"]),
        connect_timeout: limit("connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT),
        keepalive: limit("keepalive_ns", DEFAULT_KEEPALIVE),
        streams: limit("max_streams", DEFAULT_MAX_STREAMS).max(1) as usize,
    }
}

/// Reads, parses and validates the configuration file.
pub fn read(path: &Path) -> Result<Config, FileError<ProcessConfigError>> {
    load(path, |path| std::fs::read(path), |text| parse(text))
}

#[cfg(test)]
#[path = "../../tests/unit/config_process.rs"]
mod tests;
