//! The settings JSON of the platform, converted into the decision module's [`Settings`].
//!
//! The `*Json` structs have the platform's keys, all of them optional.
use crate::policy::api::{
    ClassSpec, DeduplicationScope, Idempotency, Invariants, Limits, LoadField, MachineTypeId,
    MachineTypeSpec, MemoryExhaustionPolicy, RetryBudget, Settings, TenantSpec, ZoneId,
};
use serde::Deserialize;
use thiserror::Error;

/// Why the settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not a JSON object, or a value has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The semantics of a class are unknown.
    #[error("classes[].semantics: unknown value {semantics:?}")]
    UnknownSemantics {
        /// The value.
        semantics: String,
    },
}

/// Parses the settings of a start event or of a configuration.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    let settings: SettingsJson = serde_json::from_slice(text)?;
    settings.try_into()
}

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
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(rename = "late_worth")]
    late_priority_weight: f64,
    promise_ns: u64,
    #[serde(rename = "aim_stretch")]
    objective_slowdown: f64,
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
    #[serde(rename = "send_cap")]
    max_attempts: u32,
    may_cancel: bool,
    probing: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_ns: u64,
    #[serde(rename = "second_copies")]
    hedging: bool,
}

impl TryFrom<SettingsJson> for Settings {
    type Error = SettingsError;

    fn try_from(json: SettingsJson) -> Result<Settings, SettingsError> {
        let classes = json
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| class_spec(class, &json.extra, index))
            .collect::<Result<_, _>>()?;
        Ok(Settings {
            gateway_index: json.me,
            gateways: json.peers_total,
            zone: ZoneId(json.az),
            batch_interval: json.quantum_ns,
            classes,
            machine_types: machine_type_specs(json.kinds.len(), &json.extra),
            tenants: json.orgs.into_iter().map(TenantSpec::from).collect(),
            over_quota_weight: json.over_share_worth,
            poll_endpoint_list: json.discovery == "ask",
            load_fields: load_fields(&json.load_info.fields),
            cross_zone_is_charged: json.prices.cross_zone > 0.0,
            probe_price: json.prices.probe,
            memory_grants_supported: json.extra.takes_grants,
            priorities_supported: json.extra.ranks_heeded,
            max_memory_share: json.extra.most_grant,
            memory_exhaustion: memory_exhaustion_policy(&json.extra.out_of_memory),
            progress_period: json.extra.note_period_ns,
            reports_cost: json.extra.says_cost,
            invariants: json.invariants.into(),
            limits: json.limits.into(),
        })
    }
}

/// Converts a class and its items in the lists of `extra`.
fn class_spec(
    class: &ClassJson,
    extra: &ExtraJson,
    index: usize,
) -> Result<ClassSpec, SettingsError> {
    let zone_ids = |zones: &Vec<u16>| zones.iter().copied().map(ZoneId).collect();
    let machine_type_ids = |types: &Vec<u16>| types.iter().copied().map(MachineTypeId).collect();
    Ok(ClassSpec {
        priority_weight: class.priority_weight,
        late_priority_weight: class.late_priority_weight,
        base_latency_objective: class.promise_ns,
        objective_slowdown: class.objective_slowdown,
        deadline: class.deadline_ns,
        idempotency: idempotency(class)?,
        serial_per_key: class.serial_by_key,
        threads: item_or(&extra.class_threads, index, 1.0),
        loads_data_set: item_or(&extra.loads, index, false),
        blocked_by_loads: item_or(&extra.blocked_by_loads, index, false),
        streams_response: class.stream,
        allowed_zones: class.stays_in.as_ref().map(zone_ids),
        allowed_machine_types: class.runs_on.as_ref().map(machine_type_ids),
    })
}

fn item_or<T: Copy>(list: &[T], index: usize, default: T) -> T {
    list.get(index).copied().unwrap_or(default)
}

fn idempotency(class: &ClassJson) -> Result<Idempotency, SettingsError> {
    match class.semantics.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::WithKey {
            scope: deduplication_scope(&class.dedup_scope),
            window: class.window_ns,
        }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownSemantics {
            semantics: other.to_owned(),
        }),
    }
}

fn deduplication_scope(name: &str) -> DeduplicationScope {
    match name {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    }
}

/// The machine types: as many as the settings list, or as many as `extra.cores_by_kind` has if that
/// is more.
fn machine_type_specs(listed: usize, extra: &ExtraJson) -> Vec<MachineTypeSpec> {
    let count = listed.max(extra.cores_by_kind.len());
    (0..count)
        .map(|index| MachineTypeSpec {
            cores: item_or(&extra.cores_by_kind, index, 1.0),
            memory_mb: item_or(&extra.ram_of_kind_mb, index, 0.0),
        })
        .collect()
}

fn load_fields(names: &[String]) -> Vec<LoadField> {
    names.iter().map(|name| load_field(name)).collect()
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

fn memory_exhaustion_policy(name: &str) -> MemoryExhaustionPolicy {
    match name {
        "shrink" => MemoryExhaustionPolicy::Shrink,
        "page" => MemoryExhaustionPolicy::Page,
        _ => MemoryExhaustionPolicy::Wait,
    }
}

impl From<TenantJson> for TenantSpec {
    fn from(json: TenantJson) -> TenantSpec {
        TenantSpec {
            quota_per_s: json.quota_rps,
            share: json.share,
        }
    }
}

impl From<InvariantsJson> for Invariants {
    fn from(json: InvariantsJson) -> Invariants {
        let retry_budget = json.ratio_span_ns.map(|window| RetryBudget {
            allowance: json.spare_attempts.unwrap_or(0.0),
            ratio: json.extra_ratio.unwrap_or(0.0),
            window,
        });
        Invariants {
            response_grace: json.answer_slack_ns,
            drain_grace: json.drain_grace_ns,
            slow_start_initial_fraction: json.cold_from,
            slow_start_duration: json.warm_within_ns,
            overload_multiple: json.fall_multiple,
            overload_window: json.fall_ns,
            key_cooldown: json.key_rest_ns,
            retry_budget,
            max_poll_interval: json.ask_within_ns,
        }
    }
}

impl From<LimitsJson> for Limits {
    fn from(json: LimitsJson) -> Limits {
        Limits {
            max_attempts: json.max_attempts,
            may_cancel: json.may_cancel,
            may_probe: json.probing,
            may_message_peers: json.peers,
            may_send_retry_after: json.retry_after,
            max_retry_after: json.max_retry_after_ns,
            hedging: json.hedging,
        }
    }
}
