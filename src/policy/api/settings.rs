//! Configuration of the module: classes, machine types, tenants, limits and invariants.

use super::{MachineTypeId, Nanos, ZoneId};

/// Whether a request may run more than once; invariant 2 depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it several times has the same effect as running it once.
    Idempotent,
    /// It carries an idempotency key. A repeat is safe on engines that recognize the key, for as
    /// long as they keep it.
    WithKey {
        /// The engines that recognize a repeat.
        scope: DeduplicationScope,
        /// How long engines keep the key, counted from the first attempt that may have run.
        window: Nanos,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// The engines that discard duplicates of one another's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines of the deployment.
    All,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same cell.
    Cell,
}

/// A class of requests.
///
/// A request's latency objective is `base_latency_objective + objective_slowdown * work / threads`.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Value of one request that is completed within its latency objective, relative to other
    /// classes.
    pub priority_weight: f64,
    /// Fraction of `priority_weight`, 0 to 1, that a response is worth after the latency objective.
    pub late_priority_weight: f64,
    /// Fixed part of the latency objective.
    pub base_latency_objective: Nanos,
    /// Factor of the ideal run time (work over threads) in the latency objective.
    pub objective_slowdown: f64,
    /// How long a client waits, its own retries included.
    pub deadline: Nanos,
    /// Whether its requests may be repeated (invariant 2).
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in order of arrival (invariant 5).
    pub serial_per_key: bool,
    /// Threads that one query runs on.
    pub threads: f64,
    /// Its queries are loads: each locks its data set on its engine while it runs.
    pub loads_data_set: bool,
    /// Its queries make no progress while a load holds the lock of their data set on that engine.
    pub blocked_by_loads: bool,
    /// The response is streamed; from its first byte on, only that attempt can complete the
    /// request.
    pub streams_response: bool,
    /// The zones it may run in; `None` allows all (invariant 6).
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// The machine types it may run on; `None` allows all (invariant 6).
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
}

/// A machine type.
#[derive(Clone, Copy, Debug)]
pub struct MachineTypeSpec {
    /// Cores of one machine.
    pub cores: f64,
    /// Memory of one machine in MB; 0 if unknown.
    pub memory_mb: f64,
}

/// A tenant, with its quota summed over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct TenantSpec {
    /// Requests per second within its quota; 0 if the tenant has none.
    pub quota_per_s: f64,
    /// Its fraction of the service, 0 to 1. The module uses the quota alone.
    pub share: f64,
}

/// How an engine handles queries that need more memory than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryExhaustionPolicy {
    /// The query waits until memory is released.
    Wait,
    /// The query is granted the remaining memory and spills to disk.
    Shrink,
    /// The machine swaps memory pages, which slows down all of its queries.
    Page,
}

/// Parameters of the [seven invariants](super).
#[derive(Clone, Copy, Debug)]
pub struct Invariants {
    /// Invariant 1: how long after a request's deadline its final response is still accepted.
    pub response_grace: Nanos,
    /// Invariant 3: how long attempts may still start after an engine began to drain, because the
    /// update takes time to arrive.
    pub drain_grace: Nanos,
    /// Invariant 4: the least fraction of its capacity that an engine has when it starts, 0 to 1.
    pub slow_start_initial_fraction: f64,
    /// Invariant 4: the time after its start by which an engine has its full capacity.
    pub slow_start_duration: Nanos,
    /// Invariant 4: an engine in slow start is overloaded by work of more than this multiple of its
    /// present capacity, sent within [`overload_window`](Invariants::overload_window).
    pub overload_multiple: f64,
    /// Invariant 4: the window over which that work is summed.
    pub overload_window: Nanos,
    /// Invariant 5: how long the next request with the same key is delayed after an attempt ended
    /// in a way in which it may still run (timeout, reset, cancellation).
    pub key_cooldown: Nanos,
    /// Invariant 7: the budget of attempts beyond the first; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// The longest permitted time between two polls of the endpoint list, if it is polled.
    pub max_poll_interval: Nanos,
}

/// The budget of attempts beyond the first of a request: within any `window` there are at most
/// `allowance + ratio * requests received in it` of them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of attempts that are allowed regardless of traffic.
    pub allowance: f64,
    /// Additional attempts per request received.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Nanos,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be sent load probes.
    pub may_probe: bool,
    /// Gateways may send each other messages.
    pub may_message_peers: bool,
    /// Rejections may carry a Retry-After time.
    pub may_send_retry_after: bool,
    /// The longest Retry-After time that clients respect.
    pub max_retry_after: Nanos,
    /// A second attempt of a request may run beside the first (hedging).
    pub hedging: bool,
}

/// A value that engines report in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Number of queries in flight on the engine, from all gateways.
    QueriesInFlight,
    /// Number of queries that are queued for memory.
    QueriesQueued,
    /// Fraction of its CPU time in use, 0 to 1.
    CpuUtilization,
    /// Recent mean service time, in milliseconds.
    RecentServiceMillis,
    /// Queries completed per second.
    ThroughputPerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// Fraction of its memory that is granted to queries, 0 to 1.
    MemoryGrantedFraction,
    /// Fraction of time in which its disks are busy, 0 to 1.
    DiskUtilization,
    /// A value with an unknown name; ignored.
    Unknown,
}

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's index among all gateways, from 0.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// The zone of this gateway.
    pub zone: ZoneId,
    /// The shortest time between two batches of events; an action takes effect at most this much
    /// later.
    pub batch_interval: Nanos,
    /// Classes of requests, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<ClassSpec>,
    /// Machine types, indexed by [`MachineTypeId`].
    pub machine_types: Vec<MachineTypeSpec>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); empty if the deployment has none.
    pub tenants: Vec<TenantSpec>,
    /// Value of a request beyond its tenant's quota, as a fraction of its class's
    /// [`priority_weight`](ClassSpec::priority_weight).
    pub over_quota_weight: f64,
    /// The endpoint list has to be polled; if `false`, updates are pushed.
    pub poll_endpoint_list: bool,
    /// The values of a [`LoadReport`](super::LoadReport), in order.
    pub load_fields: Vec<LoadField>,
    /// Attempts to engines in other zones are charged.
    pub cross_zone_is_charged: bool,
    /// Price of one load probe per query, as a fraction of the value of all requests.
    pub probe_price: f64,
    /// Engines respect the memory grant of an attempt.
    pub memory_grants_supported: bool,
    /// Engines respect the priority of an attempt.
    pub priorities_supported: bool,
    /// Maximum fraction of an engine's memory that one query may be granted, 0 to 1.
    pub max_memory_share: f64,
    /// What engines do when their memory is exhausted.
    pub memory_exhaustion: MemoryExhaustionPolicy,
    /// Time between two progress updates of a running attempt; 0 if engines send none.
    pub progress_period: Nanos,
    /// Responses report the work and the memory of the query.
    pub reports_cost: bool,
    /// Parameters of the invariants.
    pub invariants: Invariants,
    /// What the deployment permits.
    pub limits: Limits,
}
