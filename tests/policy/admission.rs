//! Admission: concurrency limits, queueing, rejection and Retry-After.
use crate::common::*;
use std::collections::BTreeSet;
use yokelift::policy::api::*;

#[test]
fn requests_start_at_once_and_spread_evenly_while_engines_are_idle() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let mut started = Vec::new();
    for id in 0..8 {
        started.extend(attempts_started(&gateway.submit(
            id,
            SHORT,
            6 * SECOND,
            200 * MILLISECOND,
        )));
    }
    assert_eq!(started.len(), 8);
    assert_eq!(started.iter().filter(|(_, e)| *e == EngineId(1)).count(), 4);
}

#[test]
fn requests_above_the_concurrency_limit_queue_until_capacity_is_released() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
    // A gateway that has just started assumes pressure: the limit is two threads a core.
    let mut sent = 0;
    for id in 0..30 {
        sent += attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND)).len();
    }
    assert_eq!(sent, 16);
    gateway.now += 100 * MILLISECOND;
    let actions = gateway.end_attempt(0, 0, EngineId(1), OutcomeKind::Ok, 100 * MILLISECOND);
    assert_eq!(attempts_started(&actions).len(), 1);
}

#[test]
fn requests_that_would_miss_their_deadline_are_rejected_at_once_with_retry_after() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
    for id in 0..2000 {
        gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
    }
    let actions = gateway.advance(20 * MILLISECOND);
    assert!(
        final_responses(&actions).len() > 1000,
        "most of the queue is beyond its deadline"
    );
    assert!(
        actions
            .iter()
            .all(|a| !matches!(a, Action::Reject { retry_after, .. } if *retry_after == 0))
    );
}

#[test]
fn requests_queue_without_engines_and_are_rejected_at_their_deadline() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![]);
    assert!(
        gateway
            .submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND)
            .is_empty()
    );
    assert!(final_responses(&gateway.advance(5 * SECOND)).is_empty());
    assert_eq!(
        final_responses(&gateway.advance(SECOND)),
        vec![(1, FinalResponse::Rejected)]
    );
}

#[test]
fn a_timeout_at_the_deadline_is_rejected_at_once() {
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let engine = first_engine(&gateway.submit(1, SHORT, 6 * SECOND, 5 * SECOND));
    gateway.now += 6 * SECOND;
    assert_eq!(
        final_responses(&gateway.end_attempt(1, 0, engine, OutcomeKind::Timeout, 6 * SECOND)),
        vec![(1, FinalResponse::Rejected)]
    );
}

#[test]
fn tenants_within_their_quota_are_admitted_before_those_beyond_it() {
    let mut settings = test_settings();
    settings.tenants = vec![
        TenantSpec {
            quota_per_s: 1.0,
            share: 0.5,
        },
        TenantSpec {
            quota_per_s: 1000.0,
            share: 0.5,
        },
    ];
    let mut gateway = GatewayHarness::new(settings, vec![endpoint(1, 0, 0)]);
    // Tenant 0 fills the engine and the queue far beyond its quota, then tenant 1 submits a
    // request.
    for id in 0..24 {
        gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
    }
    let within = Request {
        tenant: TenantId(1),
        ..request(100, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
    };
    assert!(attempts_started(&gateway.receive(within)).is_empty());
    gateway.advance(20 * MILLISECOND);
    let actions = gateway.end_attempt(0, 0, EngineId(1), OutcomeKind::Ok, 20 * MILLISECOND);
    assert_eq!(attempts_started(&actions), vec![(100, EngineId(1))]);
}

#[test]
fn retry_after_grows_with_the_queue_and_spreads_clients_out() {
    // The Retry-After of thirty requests with a short deadline, after `waiting` queued ones.
    let retry_after_times = |waiting: u32| {
        let mut settings = test_settings();
        settings.limits.max_retry_after = 20 * SECOND;
        let mut gateway = GatewayHarness::new(settings, vec![endpoint(1, 0, 0)]);
        (0..waiting).for_each(|id| drop(gateway.submit(id, SHORT, 20 * SECOND, SECOND)));
        gateway.advance(40 * MILLISECOND);
        let mut actions = Vec::new();
        (1000..1030)
            .for_each(|id| actions.extend(gateway.submit(id, SHORT, 300 * MILLISECOND, SECOND)));
        actions.extend(gateway.advance(400 * MILLISECOND));
        let retry_after_of = |a: &Action| match a {
            Action::Reject {
                id, retry_after, ..
            } if id.0 >= 1000 => Some(*retry_after),
            _ => None,
        };
        actions
            .iter()
            .filter_map(retry_after_of)
            .collect::<Vec<Nanos>>()
    };
    let (idle, busy) = (retry_after_times(0), retry_after_times(60));
    assert_eq!((idle.len(), busy.len()), (30, 30));
    assert!(
        idle.iter().all(|t| *t < 200 * MILLISECOND),
        "nothing is queued: {idle:?}"
    );
    assert!(
        busy.iter().all(|t| *t > SECOND),
        "some seconds of work are queued: {busy:?}"
    );
    let distinct: BTreeSet<Nanos> = busy.iter().copied().collect();
    assert!(distinct.len() > 20, "spread: {distinct:?}");
}

/// Guards clients of a process that is shutting down: a request that it cannot complete in time is
/// rejected early, while another gateway can still complete it.
#[test]
fn a_gateway_in_shutdown_rejects_requests_early_that_it_cannot_complete() {
    let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=1));
    let end = gateway.now + 3 * SECOND;
    gateway.gateway.set_serving_until(end);

    let short = gateway.submit(1, SHORT, 6 * SECOND, 100 * MILLISECOND);
    assert_eq!(attempts_started(&short).len(), 1);
    // A load of 20 s of work on two threads ends after the process, and could not be rejected by
    // then.
    let load = gateway.submit(2, LOAD, 60 * SECOND, 20 * SECOND);
    assert!(attempts_started(&load).is_empty());
    assert_eq!(final_responses(&load), [(2, FinalResponse::Rejected)]);
}

/// Without an engine, a process that is shutting down rejects its queued requests at the next tick;
/// any other process keeps them queued.
#[test]
fn a_gateway_in_shutdown_without_engines_rejects_queued_requests() {
    let mut gateway = GatewayHarness::new(test_settings(), Vec::new());
    assert!(final_responses(&gateway.submit(1, SHORT, 6 * SECOND, SECOND)).is_empty());
    assert!(final_responses(&gateway.advance(SECOND)).is_empty());

    let end = gateway.now + 3 * SECOND;
    gateway.gateway.set_serving_until(end);
    let actions = gateway.advance(2 * TICK_INTERVAL);
    assert_eq!(final_responses(&actions), [(1, FinalResponse::Rejected)]);
}
