//! Builders for gateways of a large fleet.
use crate::common::*;
use yokelift::policy::api::*;

/// Number of gateways of the fleet.
pub(crate) const GATEWAYS: u32 = 300;

/// Settings of a fleet of [`GATEWAYS`] whose engines report their queries in flight.
pub(crate) fn large_fleet_settings() -> Settings {
    Settings {
        gateways: GATEWAYS,
        load_fields: vec![LoadField::QueriesInFlight],
        ..test_settings()
    }
}

/// Settings of one of `gateways` gateways, with load probes that are too expensive to send.
pub(crate) fn expensive_probe_settings(gateways: u32) -> Settings {
    Settings {
        probe_price: 0.08,
        gateways,
        ..test_settings()
    }
}

/// Settings of a large fleet that may not send probes: engines report these values in responses
/// only.
pub(crate) fn settings_without_probes(load_fields: Vec<LoadField>) -> Settings {
    let mut settings = large_fleet_settings();
    settings.load_fields = load_fields;
    settings.limits.may_probe = false;
    settings.invariants.retry_budget = None;
    settings
}

/// The gateway with this index, which is also the seed of its random numbers.
pub(crate) fn gateway_at(index: u32, settings: Settings, entries: Vec<Endpoint>) -> GatewayHarness {
    let settings = Settings {
        gateway_index: index,
        ..settings
    };
    GatewayHarness::with_seed(settings, entries, u64::from(index))
}

/// The completion of a load probe that reports this number of queries in flight.
pub(crate) fn probe_completed(engine: u64, queries: f32) -> Event {
    Event::ProbeCompleted {
        engine: EngineId(engine),
        kind: OutcomeKind::Ok,
        latency: MILLISECOND,
        load: LoadReport::from_values(&[queries]),
    }
}

/// Completes every probe among the actions with a report of this number of queries in flight.
/// Returns the attempts started by the actions and in response to the probes.
pub(crate) fn complete_probes(
    gateway: &mut GatewayHarness,
    actions: Vec<Action>,
    queries: f32,
) -> Vec<(u32, EngineId)> {
    let mut started = attempts_started(&actions);
    for action in actions {
        if let Action::Probe { engine } = action {
            let actions = gateway.handle(probe_completed(engine.0, queries));
            started.extend(attempts_started(&actions));
        }
    }
    started
}

/// Completes the first attempt of a request with these values in its load report.
pub(crate) fn complete_with_load(
    gateway: &mut GatewayHarness,
    id: u32,
    engine: EngineId,
    values: [f32; 4],
) -> Vec<Action> {
    gateway.handle(Event::Outcome(Outcome {
        id: RequestId(id),
        attempt: AttemptNo(0),
        engine,
        kind: OutcomeKind::Ok,
        latency: 100 * MILLISECOND,
        request_finished: true,
        work: None,
        memory_mb: None,
        load: LoadReport::from_values(&values),
    }))
}
