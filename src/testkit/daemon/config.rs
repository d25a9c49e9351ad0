//! Builds the daemon's configuration.
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The names of the classes in the configuration.
pub const CLASSES: [&str; 3] = ["lookup", "report", "load"];
/// The names of the zones in the configuration.
pub const ZONES: [&str; 2] = ["ground", "first"];
/// The names of the machine types in the configuration.
pub const MACHINE_TYPES: [&str; 2] = ["std-8core", "std-12core"];

/// The limit on memory of an ordinary deployment, in MB.
const DEFAULT_MEMORY_MB: u64 = 192;

/// The settings of scenarios: one gateway, two tenants and the classes in [`CLASSES`].
pub fn settings() -> Value {
    let class = |name: &str, deadline_seconds: f64, semantics: &str| {
        json!({"name": name, "promise_ns": 1_200_000_000u64, "aim_stretch": 1.5, "semantics": semantics,
            "deadline_ns": (deadline_seconds * 1e9) as u64, "worth": 1.0, "late_worth": 0.1})
    };
    json!({
        "me": 0, "peers_total": 1, "az": 0, "zones": ZONES, "quantum_ns": 5_000_000, "kinds": MACHINE_TYPES,
        "classes": [class("lookup", 6.0, "pure"), class("report", 15.0, "pure"), class("load", 25.0, "side_effect")],
        "orgs": [{"name": "billing-desk", "quota_rps": 63.0, "share": 0.62},
            {"name": "channel-desk", "quota_rps": 39.0, "share": 0.38}],
        "over_share_worth": 0.05, "discovery": "push", "load_info": {"fields": ["backlog", "utilization"], "how": "pull"},
        "extra": {"class_threads": [1, 3, 2], "cores_by_kind": [8, 12], "loads": [false, false, true],
            "blocked_by_loads": [true, false, false], "takes_grants": true, "most_grant": 0.4,
            "out_of_memory": "wait", "ram_of_kind_mb": [16384.0, 24576.0], "note_period_ns": 0},
        "invariants": {"answer_slack_ns": 20_000_000, "drain_grace_ns": 250_000_000, "cold_from": 0.32,
            "warm_within_ns": 15_000_000_000u64, "fall_multiple": 3.0, "fall_ns": 2_000_000_000},
        "limits": {"send_cap": 3, "may_cancel": true, "probing": true, "peers": false, "retry_after": true,
            "max_retry_after_ns": 2_000_000_000, "second_copies": false, "connect_timeout_ns": 250_000_000,
            "keepalive_ns": 15_000_000_000u64, "max_streams": 32},
        "prices": {"cross_zone": 0.01}
    })
}

/// A complete configuration with the default settings.
pub fn config(listen: SocketAddr, coordinator: SocketAddr, known: &Value, sockets: usize) -> Value {
    let limits = DaemonLimits::with_sockets(sockets);
    config_with(listen, coordinator, known, limits, &settings())
}

/// The limits in a daemon's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonLimits {
    /// The limit on open descriptors.
    pub sockets: usize,
    /// The limit on memory, in MB.
    pub memory_mb: u64,
}

impl DaemonLimits {
    /// This limit on open descriptors, and the memory of an ordinary deployment.
    pub fn with_sockets(sockets: usize) -> DaemonLimits {
        DaemonLimits {
            sockets,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

/// A complete configuration with these settings.
pub(super) fn config_with(
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &Value,
    limits: DaemonLimits,
    settings: &Value,
) -> Value {
    let DaemonLimits { sockets, memory_mb } = limits;
    json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "coordinator": coordinator.to_string(), "known": known, "settings": settings})
}

/// A class with this name and these semantics. Its other values are those of the template with this
/// name, or else of the first template.
pub(super) fn class_like(templates: &[Value], name: &str, semantics: &str) -> Value {
    let template = templates.iter().find(|class| class["name"] == name);
    let mut class = template.unwrap_or(&templates[0]).clone();
    class["name"] = name.into();
    class["semantics"] = semantics.into();
    class
}

/// Sets the classes of the settings, and the lists elsewhere that have one value per class.
pub(super) fn set_classes(settings: &mut Value, classes: Vec<Value>) {
    let is_load = |class: &Value| class["semantics"] == "side_effect";
    let extra = &mut settings["extra"];
    extra["loads"] = classes.iter().map(is_load).collect();
    extra["blocked_by_loads"] = classes.iter().map(|_| false).collect();
    extra["class_threads"] = classes.iter().map(|_| 1.0).collect();
    settings["classes"] = classes.into();
}
