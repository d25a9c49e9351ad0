//! The configuration of one process: the JSON file whose path is in `PROXY_CONFIG`.
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

/// The default of `limits.connect_timeout_ns`.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
/// The default of `limits.keepalive_ns`.
const DEFAULT_KEEPALIVE: Nanos = 15_000_000_000;
/// The default of `limits.max_streams`.
const DEFAULT_MAX_STREAMS: u64 = 32;

/// The content of the file, with the platform's keys.
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

/// The resource limits of this process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// The memory in MB.
    pub memory_mb: u64,
    /// The number of file descriptors.
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

/// The settings that the dispatcher and the frontends use in addition to those of the decision
/// module: mostly the names for its numeric ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The classes' names, indexed by their ids. At the start the order is that of the settings.
    pub classes: Vec<String>,
    /// The ids of classes that a reload removed.
    pub removed_classes: BTreeSet<u16>,
    /// The ids of classes whose requests carry idempotency keys.
    pub keyed_classes: BTreeSet<u16>,
    /// The tenants' names, in the order of the settings.
    pub tenants: Vec<String>,
    /// The zones' names, in the order of the settings.
    pub zones: Vec<String>,
    /// The names of machine types, in the order of the settings.
    pub machine_types: Vec<String>,
    /// The names of the load reports' fields, in the order of the settings.
    pub load_fields: Vec<String>,
    /// The timeout of the connect to an engine.
    pub connect_timeout: Nanos,
    /// The time after which an idle connection to an engine is closed.
    pub keepalive: Nanos,
    /// The maximum number of concurrent attempts on one connection to an engine.
    pub max_streams: usize,
}

impl Names {
    /// The id of the class with this name, unless a reload removed the class.
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

/// The active names, which a reload replaces.
pub type LiveNames = Rc<RefCell<Rc<Names>>>;

/// The whole configuration.
pub struct Config {
    /// The name of this workload manager.
    pub name: String,
    /// The listen address for clients.
    pub listen: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The resource limits of this process.
    pub limits: ProcessLimits,
    /// The coordinator's address.
    pub coordinator: SocketAddr,
    /// The address of the admin endpoint for operators; `None` without one.
    pub admin_address: Option<SocketAddr>,
    /// The coordinator's events up to the start, as JSON.
    pub known_events: Value,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names for the numeric ids in the settings.
    pub names: Names,
    /// The file's JSON, with which a reload compares the new file's.
    pub json: Value,
}

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ProcessConfigError {
    /// The file is not JSON, a key is missing, or a value has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0}")]
    Seed(#[source] ParseIntError),
    /// The settings can't be parsed.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings have no classes.
    #[error("settings: classes: no class is defined")]
    NoClasses,
    /// A class has an empty name.
    #[error("settings: classes[].name: a class has no name")]
    UnnamedClass,
    /// Two classes have the same name.
    #[error("settings: classes[].name: two classes have the name {name}")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// A class's deadline is 0 or missing.
    #[error("settings: classes[].deadline_ns: the deadline of {class} is not a positive number")]
    DeadlineNotPositive {
        /// The class.
        class: String,
    },
    /// The time for which engines remember the idempotency keys of a class is 0 or missing.
    #[error(
        "settings: classes[].window_ns: the deduplication window of {class} is not a positive number"
    )]
    WindowNotPositive {
        /// The class.
        class: String,
    },
    /// The maximum number of attempts is 0 or missing.
    #[error("settings: limits.send_cap: the maximum number of attempts is not a positive number")]
    MaxAttemptsNotPositive,
}

/// The ids of the classes whose requests carry idempotency keys; `classes` in the order of their
/// ids.
pub fn keyed_classes<'a>(classes: impl Iterator<Item = &'a ClassSpec>) -> BTreeSet<u16> {
    (0..)
        .zip(classes)
        .filter(|(_, class)| matches!(class.idempotency, Idempotency::WithKey { .. }))
        .map(|(id, _)| id)
        .collect()
}

/// The names in a list whose items are strings or objects with a `name`. An item without a name
/// gives an empty one; a missing list gives an empty list.
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

/// Checks the settings for which there is no usable default.
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
        machine_types: names_of(&json["kinds"]),
        load_fields: names_of(&json["load_info"]["fields"]),
        connect_timeout: limit("connect_timeout_ns", DEFAULT_CONNECT_TIMEOUT),
        keepalive: limit("keepalive_ns", DEFAULT_KEEPALIVE),
        max_streams: limit("max_streams", DEFAULT_MAX_STREAMS).max(1) as usize,
    }
}

/// Reads, parses and validates the configuration file.
pub fn read(path: &Path) -> Result<Config, FileError<ProcessConfigError>> {
    load(path, |path| std::fs::read(path), |text| parse(text))
}

#[cfg(test)]
#[path = "../../tests/unit/config_process.rs"]
mod tests;
