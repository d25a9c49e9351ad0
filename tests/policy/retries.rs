//! Retries, as limited by idempotency, order keys and the retry budget.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn a_non_idempotent_request_is_retried_elsewhere_after_a_failed_connect() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let first = first_engine(&gateway.submit(1, LOAD, 20 * SECOND, SECOND));
    let retried = attempts_started(&gateway.end_attempt(
        1,
        0,
        first,
        OutcomeKind::ConnectFailed,
        250 * MILLISECOND,
    ));
    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0].1, first);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_rejected() {
    for kind in [
        OutcomeKind::Error,
        OutcomeKind::Reset,
        OutcomeKind::Timeout,
        OutcomeKind::Cancelled,
    ] {
        let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
        let engine = first_engine(&gateway.submit(1, LOAD, 20 * SECOND, SECOND));
        let actions = gateway.end_attempt(1, 0, engine, kind, SECOND);
        assert_eq!(
            (attempts_started(&actions).len(), final_responses(&actions)),
            (0, vec![(1, FinalResponse::Failed)]),
            "{kind:?}"
        );
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_cell() {
    let mut gateway = GatewayHarness::new(
        test_settings(),
        vec![endpoint(1, 0, 0), endpoint(2, 0, 0), endpoint(3, 0, 0)],
    );
    let first = first_engine(&gateway.submit(1, KEYED, 6 * SECOND, 200 * MILLISECOND));
    let retried =
        attempts_started(&gateway.end_attempt(1, 0, first, OutcomeKind::Error, 10 * MILLISECOND));
    assert_eq!(retried.len(), 1);
    assert_eq!(retried[0].1.0 % 2, first.0 % 2);
}

#[test]
fn requests_of_one_order_key_run_serially_with_a_cooldown_after_a_reset() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let keyed = |id, now| Request {
        key: Some(OrderKey(9)),
        ..request(id, LOAD, now, 20 * SECOND, SECOND)
    };
    let engine = first_engine(&gateway.receive(keyed(1, gateway.now)));
    assert!(attempts_started(&gateway.receive(keyed(2, gateway.now))).is_empty());
    let actions = gateway.end_attempt(1, 0, engine, OutcomeKind::Reset, 10 * MILLISECOND);
    assert_eq!(
        (final_responses(&actions), attempts_started(&actions).len()),
        (vec![(1, FinalResponse::Failed)], 0)
    );
    assert!(attempts_started(&gateway.advance(480 * MILLISECOND)).is_empty());
    assert_eq!(
        attempts_started(&gateway.advance(60 * MILLISECOND)).len(),
        1
    );
}

#[test]
fn attempts_beyond_the_first_stay_within_the_retry_budget() {
    let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=6));
    let mut extra = 0;
    for id in 0..10 {
        let started = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
        for (_, engine) in started {
            extra += attempts_started(&gateway.end_attempt(
                id,
                0,
                engine,
                OutcomeKind::Error,
                MILLISECOND,
            ))
            .len();
        }
    }
    assert!((1..=3).contains(&extra), "{extra}");
}

#[test]
fn a_failed_connect_to_a_removed_engine_is_retried_elsewhere() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    gateway.advance(3 * SECOND);
    let engine = first_engine(&gateway.submit(1, LOAD, 20 * SECOND, SECOND));
    let other = EngineId(3 - engine.0);
    gateway.update_endpoints(EndpointListKind::Full, vec![endpoint(other.0, 0, 0)]);
    // A load that never ran may be retried.
    let actions = gateway.end_attempt(1, 0, engine, OutcomeKind::ConnectFailed, MILLISECOND);
    assert_eq!(attempts_started(&actions), vec![(1, other)]);
    let actions = gateway.end_attempt(1, 1, other, OutcomeKind::Reset, MILLISECOND);
    assert_eq!(
        final_responses(&actions),
        vec![(1, FinalResponse::Failed)],
        "a load that may have run fails"
    );
}
