//! Start settings as JSON, turned into the library's own.

use crate::policy::api::*;
use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default)]
struct SettingsJson {
    me: u32,
    peers_total: u32,
    az: u16,
    quantum_ns: u64,
    classes: Vec<ClassJson>,
    kinds: Vec<serde_json::Value>,
    orgs: Vec<TenantJson>,
    over_share_worth: f64,
    discovery: String,
    load_info: LoadInfoJson,
    prices: PricesJson,
    extra: ExtraJson,
    invariants: InvariantsJson,
    limits: LimitsJson,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ClassJson {
    worth: f64,
    late_worth: f64,
    promise_ns: u64,
    aim_stretch: f64,
    deadline_ns: u64,
    semantics: String,
    dedup_scope: String,
    window_ns: u64,
    serial_by_key: bool,
    stream: bool,
    stays_in: Option<Vec<u16>>,
    runs_on: Option<Vec<u16>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TenantJson {
    quota_rps: f64,
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadInfoJson {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesJson {
    cross_zone: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ExtraJson {
    loads: Vec<bool>,
    class_threads: Vec<f64>,
    blocked_by_loads: Vec<bool>,
    takes_grants: bool,
    cores_by_kind: Vec<f64>,
    ram_of_kind_mb: Vec<f64>,
    most_grant: f64,
    ranks_heeded: bool,
    note_period_ns: u64,
    says_cost: bool,
    out_of_memory: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct InvariantsJson {
    answer_slack_ns: u64,
    ask_within_ns: u64,
    cold_from: f64,
    drain_grace_ns: u64,
    extra_ratio: Option<f64>,
    spare_attempts: Option<f64>,
    ratio_span_ns: Option<u64>,
    fall_multiple: f64,
    fall_ns: u64,
    key_rest_ns: u64,
    warm_within_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitsJson {
    send_cap: u32,
    may_cancel: bool,
    probing: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_ns: u64,
    second_copies: bool,
}

fn effect(c: &ClassJson) -> Result<Idempotency, String> {
    let scope = match c.dedup_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    match c.semantics.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::WithKey {
            scope,
            window: c.window_ns,
        }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(format!("classes[].semantics: unknown word {other:?}")),
    }
}

fn load_field(name: &str) -> LoadField {
    match name {
        "outstanding" => LoadField::QueriesInFlight,
        "backlog" => LoadField::QueriesQueued,
        "utilization" => LoadField::CpuUtilization,
        "recent_ms" => LoadField::RecentServiceMillis,
        "throughput" => LoadField::ThroughputPerSecond,
        "errors_per_s" => LoadField::ErrorsPerSecond,
        "x0" => LoadField::MemoryGrantedFraction,
        "x1" => LoadField::DiskUtilization,
        _ => LoadField::Unknown,
    }
}

/// Reads the settings text of a start event.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let w: SettingsJson = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let flag = |list: &[bool], i: usize| list.get(i).copied().unwrap_or(false);
    let mut classes = Vec::with_capacity(w.classes.len());
    for (i, c) in w.classes.iter().enumerate() {
        classes.push(ClassSpec {
            priority_weight: c.worth,
            late_priority_weight: c.late_worth,
            base_latency_objective: c.promise_ns,
            objective_slowdown: c.aim_stretch,
            deadline: c.deadline_ns,
            idempotency: effect(c)?,
            serial_per_key: c.serial_by_key,
            threads: w.extra.class_threads.get(i).copied().unwrap_or(1.0),
            loads_data_set: flag(&w.extra.loads, i),
            blocked_by_loads: flag(&w.extra.blocked_by_loads, i),
            streams_response: c.stream,
            allowed_zones: c
                .stays_in
                .as_ref()
                .map(|v| v.iter().copied().map(ZoneId).collect()),
            allowed_machine_types: c
                .runs_on
                .as_ref()
                .map(|v| v.iter().copied().map(MachineTypeId).collect()),
        });
    }
    let kind_count = w.kinds.len().max(w.extra.cores_by_kind.len());
    let kind = |i: usize| MachineTypeSpec {
        cores: w.extra.cores_by_kind.get(i).copied().unwrap_or(1.0),
        memory_mb: w.extra.ram_of_kind_mb.get(i).copied().unwrap_or(0.0),
    };
    let extra = w.invariants.ratio_span_ns.map(|span| RetryBudget {
        allowance: w.invariants.spare_attempts.unwrap_or(0.0),
        ratio: w.invariants.extra_ratio.unwrap_or(0.0),
        window: span,
    });
    Ok(Settings {
        gateway_index: w.me,
        gateways: w.peers_total,
        zone: ZoneId(w.az),
        batch_interval: w.quantum_ns,
        classes,
        machine_types: (0..kind_count).map(kind).collect(),
        tenants: w
            .orgs
            .iter()
            .map(|o| TenantSpec {
                quota_per_s: o.quota_rps,
                share: o.share,
            })
            .collect(),
        over_quota_weight: w.over_share_worth,
        poll_endpoint_list: w.discovery == "ask",
        load_fields: w.load_info.fields.iter().map(|f| load_field(f)).collect(),
        cross_zone_is_charged: w.prices.cross_zone > 0.0,
        probe_price: w.prices.probe,
        memory_grants_supported: w.extra.takes_grants,
        priorities_supported: w.extra.ranks_heeded,
        max_memory_share: w.extra.most_grant,
        memory_exhaustion: match w.extra.out_of_memory.as_str() {
            "shrink" => MemoryExhaustionPolicy::Shrink,
            "page" => MemoryExhaustionPolicy::Page,
            _ => MemoryExhaustionPolicy::Wait,
        },
        progress_period: w.extra.note_period_ns,
        reports_cost: w.extra.says_cost,
        invariants: Invariants {
            response_grace: w.invariants.answer_slack_ns,
            drain_grace: w.invariants.drain_grace_ns,
            slow_start_initial_fraction: w.invariants.cold_from,
            slow_start_duration: w.invariants.warm_within_ns,
            overload_multiple: w.invariants.fall_multiple,
            overload_window: w.invariants.fall_ns,
            key_cooldown: w.invariants.key_rest_ns,
            retry_budget: extra,
            max_poll_interval: w.invariants.ask_within_ns,
        },
        limits: Limits {
            max_attempts: w.limits.send_cap,
            may_cancel: w.limits.may_cancel,
            may_probe: w.limits.probing,
            may_message_peers: w.limits.peers,
            may_send_retry_after: w.limits.retry_after,
            max_retry_after: w.limits.max_retry_after_ns,
            hedging: w.limits.second_copies,
        },
    })
}
