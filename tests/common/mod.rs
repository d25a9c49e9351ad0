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
        in_order: false,
        threads,
        is_load: false,
        waits_for_loads: false,
        streams: false,
        only_zones: None,
        only_kinds: None,
    }
}

/// Class 0: short and safe. 1: long, safe, only on kind 0. 2: an unsafe load in order. 3: keyed
/// within a cell.
pub fn settings() -> Settings {
    let short = class(Idempotency::Idempotent, 1.0, S, 6 * S);
    let long = ClassSpec {
        only_kinds: Some(vec![KindId(0)]),
        ..class(Idempotency::Idempotent, 4.0, 2 * S, 15 * S)
    };
    let load = ClassSpec {
        in_order: true,
        is_load: true,
        ..class(Idempotency::NonIdempotent, 2.0, 3 * S, 20 * S)
    };
    let keyed = class(
        Idempotency::WithKey {
            scope: Scope::Cell,
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
        tick: 5 * MS,
        classes: vec![short, long, load, keyed],
        kinds: vec![
            KindSpec {
                cores: 8.0,
                memory_mb: 16384.0,
            },
            KindSpec {
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
        cross_zone_costs: false,
        probe_price: 0.01,
        memory_grants_supported: false,
        priorities_supported: false,
        max_memory_share: 0.4,
        memory_exhaustion: MemoryExhaustionPolicy::Wait,
        progress_period: 500 * MS,
        reports_cost: true,
        invariants: Invariants {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            slow_start_from: 0.3,
            slow_start_duration: 15 * S,
            overload_multiple: 2.0,
            overload_window: 2 * S,
            key_cooldown: 500 * MS,
            retry_budget: Some(RetryBudget {
                allowance: 2.0,
                ratio: 0.1,
                window: 5 * S,
            }),
            poll_within: 10 * S,
        },
        limits: Limits {
            max_attempts: 3,
            may_cancel: true,
            may_probe: true,
            may_message_peers: false,
            retry_after: true,
            max_retry_after: S,
            hedging: false,
        },
    }
}

pub fn entry(id: u64, kind: u16, ready_at: Nanos) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        zone: ZoneId(0),
        kind: KindId(kind),
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
        acts.retain(|a| !matches!(a, Action::Timer { .. } | Action::Log(_)));
        acts
    }

    /// Lets time pass, with the module's own timer going off every 20 ms.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut acts = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            acts.extend(self.tell(Event::Timer(1)));
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
