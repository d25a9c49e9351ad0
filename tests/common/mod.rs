//! Builders shared by the tests of the decision module: settings, endpoints, requests, outcomes,
//! and a gateway with its clock.
#![allow(dead_code)]

use std::ops::RangeInclusive;
use yokelift::policy::Gateway;
use yokelift::policy::api::{
    Action, AttemptNo, CellId, ClassId, ClassSpec, DeduplicationScope, Endpoint, EndpointListKind,
    EngineId, Event, Idempotency, Invariants, Limits, LoadReport, MachineTypeId, MachineTypeSpec,
    MemoryExhaustionPolicy, Nanos, Outcome, OutcomeKind, ProgressUpdate, Readiness, Request,
    RequestId, RetryBudget, Settings, TenantSpec, ZoneId,
};

/// One millisecond in nanoseconds.
pub(crate) const MILLISECOND: Nanos = 1_000_000;
/// One second in nanoseconds.
pub(crate) const SECOND: Nanos = 1_000_000_000;
/// The time at which the tests begin, late enough for engines to have started long before.
pub(crate) const START_TIME: Nanos = 100 * SECOND;
/// Interval between two periodic ticks of the module.
pub(crate) const TICK_INTERVAL: Nanos = 20 * MILLISECOND;
/// The token of the module's tick timer.
pub(crate) const TICK_TIMER: u64 = 1;

/// The class of short, idempotent requests.
pub(crate) const SHORT: u16 = 0;
/// The class of long, idempotent requests, which run only on machine type 0.
pub(crate) const LONG: u16 = 1;
/// The class of loads, which are not idempotent and run one at a time per key.
pub(crate) const LOAD: u16 = 2;
/// The class of short requests with an idempotency key that is known within one cell.
pub(crate) const KEYED: u16 = 3;

/// A class without placement, serialization or streaming rules.
pub(crate) fn class(
    idempotency: Idempotency,
    threads: f64,
    base_latency_objective: Nanos,
    deadline: Nanos,
) -> ClassSpec {
    ClassSpec {
        priority_weight: 1.0,
        late_priority_weight: 0.5,
        base_latency_objective,
        objective_slowdown: 2.0,
        deadline,
        idempotency,
        serial_per_key: false,
        threads,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

/// The classes [`SHORT`], [`LONG`], [`LOAD`] and [`KEYED`], in this order.
fn classes() -> Vec<ClassSpec> {
    let short = class(Idempotency::Idempotent, 1.0, SECOND, 6 * SECOND);
    let long = ClassSpec {
        allowed_machine_types: Some(vec![MachineTypeId(0)]),
        ..class(Idempotency::Idempotent, 4.0, 2 * SECOND, 15 * SECOND)
    };
    let load = ClassSpec {
        serial_per_key: true,
        loads_data_set: true,
        ..class(Idempotency::NonIdempotent, 2.0, 3 * SECOND, 20 * SECOND)
    };
    let known_in_cell = Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        window: 2 * SECOND,
    };
    let keyed = class(known_in_cell, 1.0, SECOND, 6 * SECOND);
    vec![short, long, load, keyed]
}

fn invariants() -> Invariants {
    Invariants {
        response_grace: 20 * MILLISECOND,
        drain_grace: 250 * MILLISECOND,
        slow_start_initial_fraction: 0.3,
        slow_start_duration: 15 * SECOND,
        overload_multiple: 2.0,
        overload_window: 2 * SECOND,
        key_cooldown: 500 * MILLISECOND,
        retry_budget: Some(RetryBudget {
            allowance: 2.0,
            ratio: 0.1,
            window: 5 * SECOND,
        }),
        max_poll_interval: 10 * SECOND,
    }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: true,
        may_message_peers: false,
        may_send_retry_after: true,
        max_retry_after: SECOND,
        hedging: false,
    }
}

/// The settings of a single gateway with four classes, two machine types (8 and 4 cores) and one
/// tenant with a large quota.
pub(crate) fn test_settings() -> Settings {
    let large = MachineTypeSpec {
        cores: 8.0,
        memory_mb: 16384.0,
    };
    let small = MachineTypeSpec {
        cores: 4.0,
        memory_mb: 8192.0,
    };
    Settings {
        gateway_index: 0,
        gateways: 1,
        zone: ZoneId(0),
        batch_interval: 5 * MILLISECOND,
        classes: classes(),
        machine_types: vec![large, small],
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
        progress_period: 500 * MILLISECOND,
        reports_cost: true,
        invariants: invariants(),
        limits: limits(),
    }
}

/// A ready endpoint. Engines with even and odd ids form two cells.
pub(crate) fn endpoint(id: u64, machine_type: u16, started_at: Nanos) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        zone: ZoneId(0),
        machine_type: MachineTypeId(machine_type),
        cell: CellId((id % 2) as u16),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at,
        ..Endpoint::default()
    }
}

/// Ready endpoints of machine type 0 that started long ago.
pub(crate) fn warm_endpoints(ids: RangeInclusive<u64>) -> Vec<Endpoint> {
    ids.map(|id| endpoint(id, 0, 0)).collect()
}

/// Ready endpoints of machine type 0 that started at [`START_TIME`].
pub(crate) fn starting_endpoints(ids: RangeInclusive<u64>) -> Vec<Endpoint> {
    ids.map(|id| endpoint(id, 0, START_TIME)).collect()
}

/// Two ready endpoints, in different cells.
pub(crate) fn two_endpoints() -> Vec<Endpoint> {
    warm_endpoints(1..=2)
}

/// A request with a `deadline` counted from `now`.
pub(crate) fn request(id: u32, class: u16, now: Nanos, deadline: Nanos, work: Nanos) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        deadline: now + deadline,
        work_hint: Some(work),
        ..Request::default()
    }
}

/// The end of an attempt. A completed attempt finishes its request.
pub(crate) fn attempt_outcome(
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

/// A gateway and its clock.
pub(crate) struct GatewayHarness {
    pub(crate) gateway: Gateway,
    pub(crate) now: Nanos,
}

impl GatewayHarness {
    /// Creates a gateway at [`START_TIME`] and gives it a complete endpoint list.
    pub(crate) fn new(settings: Settings, entries: Vec<Endpoint>) -> GatewayHarness {
        GatewayHarness::with_seed(settings, entries, 7)
    }

    /// Like [`GatewayHarness::new`], with a seed for its random numbers.
    pub(crate) fn with_seed(
        settings: Settings,
        entries: Vec<Endpoint>,
        seed: u64,
    ) -> GatewayHarness {
        GatewayHarness::started_at(START_TIME, settings, entries, seed)
    }

    /// Like [`GatewayHarness::with_seed`], at this time.
    pub(crate) fn started_at(
        now: Nanos,
        settings: Settings,
        entries: Vec<Endpoint>,
        seed: u64,
    ) -> GatewayHarness {
        let gateway = Gateway::new(now, settings, seed);
        let mut harness = GatewayHarness { gateway, now };
        harness.update_endpoints(EndpointListKind::Full, entries);
        harness
    }

    /// Handles an event and returns the actions except for timers and log lines.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::StartTimer { .. } | Action::Log(_)));
        actions
    }

    /// Receives a request with this class, deadline (counted from now) and estimated work.
    pub(crate) fn submit(
        &mut self,
        id: u32,
        class: u16,
        deadline: Nanos,
        work: Nanos,
    ) -> Vec<Action> {
        self.receive(request(id, class, self.now, deadline, work))
    }

    /// Receives a request.
    pub(crate) fn receive(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }

    /// Ends an attempt.
    pub(crate) fn end_attempt(
        &mut self,
        id: u32,
        attempt: u16,
        engine: EngineId,
        kind: OutcomeKind,
        latency: Nanos,
    ) -> Vec<Action> {
        self.handle(attempt_outcome(id, attempt, engine, kind, latency))
    }

    /// Reports progress of a request's first attempt.
    pub(crate) fn report_progress(&mut self, id: u32, update: ProgressUpdate) -> Vec<Action> {
        self.handle(Event::Progress {
            id: RequestId(id),
            attempt: AttemptNo(0),
            update,
        })
    }

    /// Updates the endpoint list.
    pub(crate) fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        entries: Vec<Endpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList { kind, entries })
    }

    /// Advances the clock, firing the module's tick timer every [`TICK_INTERVAL`].
    pub(crate) fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += TICK_INTERVAL;
            actions.extend(self.handle(Event::TimerFired(TICK_TIMER)));
        }
        actions
    }
}

/// How a request ended without a completed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    Rejected,
    Failed,
}

/// The attempts that the actions start, as pairs of request and engine.
pub(crate) fn attempts_started(actions: &[Action]) -> Vec<(u32, EngineId)> {
    let attempt = |action: &Action| match action {
        Action::Send { id, engine, .. } => Some((id.0, *engine)),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// The engine of the first attempt that the actions start.
pub(crate) fn first_engine(actions: &[Action]) -> EngineId {
    attempts_started(actions)[0].1
}

/// The final responses among the actions, by request.
pub(crate) fn final_responses(actions: &[Action]) -> Vec<(u32, FinalResponse)> {
    let response = |action: &Action| match action {
        Action::Reject { id, .. } => Some((id.0, FinalResponse::Rejected)),
        Action::Fail { id } => Some((id.0, FinalResponse::Failed)),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}

/// The number of attempts that the actions cancel.
pub(crate) fn cancellation_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count()
}
