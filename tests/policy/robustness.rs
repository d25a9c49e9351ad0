//! Unexpected events and degenerate settings.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn outcomes_of_unknown_requests_and_unknown_timers_are_ignored() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    assert!(
        gateway
            .end_attempt(77, 0, EngineId(1), OutcomeKind::Ok, SECOND)
            .is_empty()
    );
    assert!(
        gateway
            .handle(Event::ClientDisconnected(RequestId(77)))
            .is_empty()
    );
    assert!(gateway.handle(Event::TimerFired(99)).is_empty());
}

#[test]
fn every_request_ends_under_degenerate_settings() {
    let mut settings = test_settings();
    settings.gateways = 0;
    settings.tenants.clear();
    settings.machine_types = vec![MachineTypeSpec {
        cores: 0.0,
        memory_mb: 0.0,
    }];
    settings.classes[usize::from(SHORT)].allowed_machine_types = Some(vec![]);
    settings.classes[usize::from(LONG)].base_latency_objective = 1000 * SECOND;
    settings.limits.max_attempts = 0;
    settings.invariants.slow_start_duration = 0;
    let mut gateway = GatewayHarness::new(
        settings,
        vec![endpoint(1, 0, START_TIME), endpoint(2, 9, 0)],
    );
    let mut ended = 0;
    for id in 0..6 {
        let actions = gateway.submit(id, (id % 3) as u16, 2 * SECOND, 0);
        ended += final_responses(&actions).len();
        for (id, engine) in attempts_started(&actions) {
            ended += 1;
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 0);
        }
    }
    let actions = gateway.advance(3 * SECOND);
    ended += final_responses(&actions).len() + attempts_started(&actions).len();
    assert_eq!(ended, 6);
}

#[test]
fn equal_events_produce_equal_actions() {
    let run = || {
        let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
        let mut all = Vec::new();
        for id in 0..50 {
            all.extend(gateway.submit(id, (id % 4) as u16, 6 * SECOND, 300 * MILLISECOND));
            all.extend(gateway.advance(20 * MILLISECOND));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Requests in flight keep the attempt limit of their arrival, new ones have that of the new
/// settings, and a new class starts with the estimates of its predecessor.
#[test]
fn requests_in_flight_keep_their_attempt_limit_across_a_reconfiguration() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let first = first_engine(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND));
    let mut next = test_settings();
    next.limits.max_attempts = 1;
    next.classes
        .push(class(Idempotency::NonIdempotent, 1.0, SECOND, 6 * SECOND));
    gateway
        .gateway
        .reconfigure(next, &[(ClassId(4), Some(ClassId(0)))]);
    let retried = attempts_started(&gateway.end_attempt(
        1,
        0,
        first,
        OutcomeKind::ConnectFailed,
        5 * MILLISECOND,
    ));
    assert_eq!(retried.len(), 1, "the request in flight is retried");
    let second = first_engine(&gateway.submit(2, 4, 6 * SECOND, 200 * MILLISECOND));
    let actions = gateway.end_attempt(2, 0, second, OutcomeKind::ConnectFailed, 5 * MILLISECOND);
    let actions: Vec<Action> = actions
        .into_iter()
        .chain(gateway.advance(7 * SECOND))
        .collect();
    assert!(
        attempts_started(&actions).iter().all(|(id, _)| *id != 2),
        "the new request has one attempt"
    );
    assert_eq!(
        final_responses(&actions)
            .iter()
            .filter(|(id, _)| *id == 2)
            .count(),
        1
    );
}
