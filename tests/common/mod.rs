//! Settings and small helpers that the tests share.
#![allow(dead_code)]

use yokelift::policy::Gateway;
use yokelift::policy::api::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000_000_000;
pub const T0: Nanos = 100 * S;

pub fn class(effect: Idempotency, threads: f64, promise: Nanos, deadline: Nanos) -> ClassSpec {
    ClassSpec {
        priority_weight: 1.0,
        late_priority_weight: 0.5,
        base_latency_objective: promise,
        objective_slowdown: 2.0,
        deadline,
        idempotency: effect,
        serial_per_key: false,
        threads,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

/// Class 0: short and safe. 1: long, safe, only on kind 0. 2: an unsafe load in order. 3: keyed
/// within a cell.
pub fn settings() -> Settings {
    let short = class(Idempotency::Idempotent, 1.0, S, 6 * S);
    let long = ClassSpec {
        allowed_machine_types: Some(vec![MachineTypeId(0)]),
        ..class(Idempotency::Idempotent, 4.0, 2 * S, 15 * S)
    };
    let load = ClassSpec {
        serial_per_key: true,
        loads_data_set: true,
        ..class(Idempotency::NonIdempotent, 2.0, 3 * S, 20 * S)
    };
    let keyed = class(
        Idempotency::WithKey {
            scope: DeduplicationScope::Cell,
            window: 2 * S,
        },
        1.0,
        S,
        6 * S,
    );
    Settings {
        gateway_index: 0,
        gateways: 1,
        zone: ZoneId(0),
        batch_interval: 5 * MS,
        classes: vec![short, long, load, keyed],
        machine_types: vec![
            MachineTypeSpec {
                cores: 8.0,
                memory_mb: 16384.0,
            },
            MachineTypeSpec {
                cores: 4.0,
                memory_mb: 8192.0,
            },
        ],
        tenants: vec![TenantSpec {
            quota_per_s: 1000.0,
            share: 1.0,
        }],
        over_quota_weight: 0.05,
        poll_endpoint_list: false,
        load_fields: vec![],
        cross_zone_is_charged: false,
        probe_price: 0.01,
        memory_grants_supported: false,
        priorities_supported: false,
        max_memory_share: 0.4,
        memory_exhaustion: MemoryExhaustionPolicy::Wait,
        progress_period: 500 * MS,
        reports_cost: true,
        invariants: Invariants {
            response_grace: 20 * MS,
            drain_grace: 250 * MS,
            slow_start_initial_fraction: 0.3,
            slow_start_duration: 15 * S,
            overload_multiple: 2.0,
            overload_window: 2 * S,
            key_cooldown: 500 * MS,
            retry_budget: Some(RetryBudget {
                allowance: 2.0,
                ratio: 0.1,
                window: 5 * S,
            }),
            max_poll_interval: 10 * S,
        },
        limits: Limits {
            max_attempts: 3,
            may_cancel: true,
            may_probe: true,
            may_message_peers: false,
            may_send_retry_after: true,
            max_retry_after: S,
            hedging: false,
        },
    }
}

pub fn entry(id: u64, kind: u16, ready_at: Nanos) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        zone: ZoneId(0),
        machine_type: MachineTypeId(kind),
        cell: CellId((id % 2) as u16),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: ready_at,
    }
}

pub fn ask(id: u32, class: u16, now: Nanos, deadline: Nanos, work: Nanos) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        deadline: now + deadline,
        work_hint: Some(work),
        ..Request::default()
    }
}

pub fn outcome(
    id: u32,
    attempt: u16,
    engine: EngineId,
    kind: OutcomeKind,
    latency: Nanos,
) -> Event {
    Event::Outcome(Outcome {
        id: RequestId(id),
        attempt: AttemptNo(attempt),
        engine,
        kind,
        latency,
        request_finished: kind == OutcomeKind::Ok,
        work: None,
        memory_mb: None,
        load: LoadReport::default(),
    })
}

/// A gateway with its list, and its clock.
pub struct Rig {
    pub g: Gateway,
    pub now: Nanos,
}

impl Rig {
    pub fn new(settings: Settings, entries: Vec<Endpoint>) -> Rig {
        let mut rig = Rig {
            g: Gateway::new(T0, settings, 7),
            now: T0,
        };
        rig.tell(Event::EndpointList {
            kind: EndpointListKind::Full,
            entries,
        });
        rig
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.g.handle(self.now, event, &mut acts);
        acts.retain(|a| !matches!(a, Action::StartTimer { .. } | Action::Log(_)));
        acts
    }

    /// Lets time pass, with the module's own timer going off every 20 ms.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut acts = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            acts.extend(self.tell(Event::TimerFired(1)));
        }
        acts
    }
}

pub fn sends(acts: &[Action]) -> Vec<(u32, EngineId)> {
    let pick = |a: &Action| match a {
        Action::Send { id, engine, .. } => Some((id.0, *engine)),
        _ => None,
    };
    acts.iter().filter_map(pick).collect()
}

pub fn finals(acts: &[Action]) -> Vec<(u32, bool)> {
    let pick = |a: &Action| match a {
        Action::Reject { id, .. } => Some((id.0, true)),
        Action::Fail { id } => Some((id.0, false)),
        _ => None,
    };
    acts.iter().filter_map(pick).collect()
}

pub fn cancels(acts: &[Action]) -> usize {
    acts.iter()
        .filter(|a| matches!(a, Action::Cancel { .. }))
        .count()
}
