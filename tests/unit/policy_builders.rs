//! Builders shared by the unit tests of the decision module.
use crate::policy::api::{
    AttemptNo, ClassSpec, Endpoint, EngineId, Idempotency, Invariants, Limits, LoadReport,
    MachineTypeSpec, MemoryExhaustionPolicy, Nanos, Outcome, OutcomeKind, Readiness, Request,
    RequestId, Settings, ZoneId,
};

pub(crate) const SECOND: Nanos = 1_000_000_000;

/// Interval of the periodic tick.
pub(crate) const TICK: Nanos = SECOND / 50;

/// Start of each simulated run; in the interface time 0 means "long ago".
pub(crate) const START: Nanos = 100 * SECOND;

/// Token of the timer of the periodic tick.
pub(crate) const TICK_TIMER: u64 = 1;

/// Settings of one of 300 gateways, with one class of idempotent single-threaded requests; probing
/// is not allowed.
pub(crate) fn settings() -> Settings {
    Settings {
        gateway_index: 7,
        gateways: 300,
        zone: ZoneId(0),
        batch_interval: SECOND / 200,
        classes: vec![class()],
        machine_types: vec![MachineTypeSpec {
            cores: 8.0,
            memory_mb: 0.0,
        }],
        tenants: vec![],
        over_quota_weight: 1.0,
        poll_endpoint_list: false,
        load_fields: vec![],
        cross_zone_is_charged: false,
        probe_price: 0.01,
        memory_grants_supported: false,
        priorities_supported: false,
        max_memory_share: 0.4,
        memory_exhaustion: MemoryExhaustionPolicy::Wait,
        progress_period: 0,
        reports_cost: true,
        invariants: invariants(),
        limits: limits(),
    }
}

pub(crate) fn class() -> ClassSpec {
    ClassSpec {
        priority_weight: 1.0,
        late_priority_weight: 0.5,
        base_latency_objective: SECOND,
        objective_slowdown: 2.0,
        deadline: 60 * SECOND,
        idempotency: Idempotency::Idempotent,
        serial_per_key: false,
        threads: 1.0,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

fn invariants() -> Invariants {
    Invariants {
        response_grace: SECOND / 50,
        drain_grace: SECOND,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 15 * SECOND,
        overload_multiple: 2.0,
        overload_window: 2 * SECOND,
        key_cooldown: 0,
        retry_budget: None,
        max_poll_interval: 0,
    }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        may_message_peers: false,
        may_send_retry_after: true,
        max_retry_after: SECOND,
        hedging: false,
    }
}

pub(crate) fn endpoint(id: u64, readiness: Readiness, started_at: Nanos) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        readiness,
        started_at,
        ..Endpoint::default()
    }
}

/// A ready endpoint whose slow start ended long ago.
pub(crate) fn ready_endpoint(id: u64) -> Endpoint {
    endpoint(id, Readiness::Ready, 0)
}

pub(crate) fn request(id: RequestId, deadline: Nanos) -> Request {
    Request {
        id,
        deadline,
        ..Request::default()
    }
}

/// The outcome of the first attempt of a request, which finishes the request, without reported cost
/// or load.
pub(crate) fn final_outcome(
    id: RequestId,
    engine: EngineId,
    kind: OutcomeKind,
    latency: Nanos,
) -> Outcome {
    Outcome {
        id,
        attempt: AttemptNo(0),
        engine,
        kind,
        latency,
        request_finished: true,
        work: None,
        memory_mb: None,
        load: LoadReport::default(),
    }
}
