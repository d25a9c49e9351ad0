//! Updates of the endpoint list, and placement.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn a_draining_engine_receives_no_new_attempts() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let entries = vec![Endpoint {
        readiness: Readiness::Draining,
        ..endpoint(1, 0, 0)
    }];
    gateway.update_endpoints(EndpointListKind::Changes, entries);
    for id in 0..6 {
        let started = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
        assert_eq!(started, vec![(id, EngineId(2))]);
    }
}

#[test]
fn a_full_list_removes_missing_engines_and_a_failed_one_changes_nothing() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    gateway.update_endpoints(EndpointListKind::Full, vec![endpoint(2, 0, 0)]);
    gateway.update_endpoints(EndpointListKind::Failed, vec![]);
    let started = attempts_started(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND));
    assert_eq!(started, vec![(1, EngineId(2))]);
}

#[test]
fn a_request_waits_for_an_allowed_machine_type_while_others_are_idle() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 1, 0)]);
    assert!(attempts_started(&gateway.submit(1, LONG, 15 * SECOND, SECOND)).is_empty());
    assert_eq!(
        final_responses(&gateway.advance(16 * SECOND)),
        vec![(1, FinalResponse::Rejected)]
    );
}

#[test]
fn every_request_gets_a_response_when_all_engines_are_removed() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let mut actions = Vec::new();
    for id in 0..12 {
        actions.extend(gateway.submit(id, (id % 3) as u16, 6 * SECOND, SECOND));
    }
    let removed = |i| Endpoint {
        readiness: Readiness::Removed,
        ..endpoint(i, 0, 0)
    };
    gateway.update_endpoints(EndpointListKind::Changes, vec![removed(1), removed(2)]);
    let before = attempts_started(&actions);
    let after = gateway.advance(7 * SECOND);
    assert_eq!(
        attempts_started(&after),
        vec![],
        "nothing is sent to removed engines"
    );
    actions.extend(after);
    // Attempts in flight on the removed engines end at the deadline.
    for (id, engine) in before {
        actions.extend(gateway.end_attempt(id, 0, engine, OutcomeKind::Timeout, 6 * SECOND));
    }
    let mut ended: Vec<u32> = final_responses(&actions).iter().map(|f| f.0).collect();
    ended.sort_unstable();
    assert_eq!(ended, (0..12).collect::<Vec<u32>>());
}

#[test]
fn an_engine_that_returns_with_the_same_id_and_start_time_is_used_again() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
    gateway.advance(3 * SECOND);
    for readiness in [Readiness::Removed, Readiness::Ready] {
        let entries = vec![Endpoint {
            readiness,
            ..endpoint(1, 0, 0)
        }];
        gateway.update_endpoints(EndpointListKind::Changes, entries);
    }
    assert_eq!(
        attempts_started(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND)),
        vec![(1, EngineId(1))]
    );
}
