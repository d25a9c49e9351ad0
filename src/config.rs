//! What one workload manager is told at its start: `PROXY_CONFIG`, a JSON file.
use crate::interface::{Nanos, Settings};
use crate::settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
struct Text {
    name: String,
    listen: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Bounds,
    coordinator: SocketAddr,
    console: Option<SocketAddr>,
    known: Value,
    settings: Value,
}

/// The limits on this process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { memory_mb: 192, sockets: 1024 }
    }
}

/// The words of the settings that the core and the fronts need beside those of the module.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Kinds of machine, in the order of the settings.
    pub kinds: Vec<String>,
    /// Fields of load reports, in the order of the settings.
    pub load_fields: Vec<String>,
    /// A connection to an engine not made by then has failed.
    pub connect_timeout: Nanos,
    /// Idle connections to engines are closed after this long.
    pub keepalive: Nanos,
    /// Attempts that one connection to an engine carries together.
    pub streams: usize,
}

/// The whole configuration.
pub struct Config {
    /// The name of this workload manager.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Limits on this process.
    pub limits: Bounds,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
    /// Where operators connect, if anywhere.
    pub console: Option<SocketAddr>,
    /// The events of the coordinator so far, as JSON.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The names behind the numbers.
    pub names: Names,
}

fn names(v: &Value) -> Vec<String> {
    let name = |v: &Value| v.as_str().or_else(|| v["name"].as_str()).unwrap_or_default().to_owned();
    v.as_array().map(|list| list.iter().map(name).collect()).unwrap_or_default()
}

/// Reads the configuration from its text.
pub fn parse(text: &[u8]) -> Result<Config, String> {
    let t: Text = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&t.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let settings =
        settings::parse(t.settings.to_string().as_bytes()).map_err(|e| format!("settings: {e}"))?;
    if settings.classes.is_empty() {
        return Err("settings: no classes".into());
    }
    let (s, limits) = (&t.settings, &t.settings["limits"]);
    let names = Names {
        classes: names(&s["classes"]),
        tenants: names(&s["orgs"]),
        zones: names(&s["zones"]),
        kinds: names(&s["kinds"]),
        load_fields: names(&s["load_info"]["fields"]),
        connect_timeout: limits["connect_timeout_ns"].as_u64().unwrap_or(250_000_000),
        keepalive: limits["keepalive_ns"].as_u64().unwrap_or(15_000_000_000),
        streams: limits["max_streams"].as_u64().unwrap_or(32).max(1) as usize,
    };
    let (listen, coordinator, console) = (t.listen, t.coordinator, t.console);
    Ok(Config {
        name: t.name,
        listen,
        seed,
        limits: t.limits,
        coordinator,
        console,
        known: t.known,
        settings,
        names,
    })
}

/// Reads the configuration from a file.
pub fn read(path: &Path) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}
