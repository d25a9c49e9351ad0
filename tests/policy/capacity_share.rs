//! The capacity share of a gateway and of a process, and the budget of engines in slow start.
use crate::common::*;
use yokelift::policy::api::*;

/// Submits `requests` short requests at once and returns how many of them start.
fn started_of(gateway: &mut GatewayHarness, requests: u32, work: Nanos) -> usize {
    (0..requests)
        .map(|id| attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, work)).len())
        .sum()
}

#[test]
fn an_engine_in_slow_start_receives_no_more_than_its_overload_budget() {
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, START_TIME)]);
    let mut sent = 0;
    for id in 0..40 {
        sent += attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND)).len();
    }
    // Multiple 2 x fraction 0.3 x 8 cores x 2 s = 9.6 s of work at most; a query is estimated at
    // one second.
    assert!((1..=9).contains(&sent), "{sent}");
}

#[test]
fn the_concurrency_limit_follows_formula_five() {
    // One engine, 8 cores, initially 16 threads. None of 40 queries meets its objective: L' is
    // clipped at 3. By hand: Ne 16, Ti 40 / 2 s, To 16 / 2 s, gain 1, so MPL = 16 / (1 + 2 / 12) =
    // 13.7 queries of one thread.
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
    let mut started = Vec::new();
    for id in 0..40 {
        started.extend(attempts_started(&gateway.submit(
            id,
            SHORT,
            60 * SECOND,
            200 * MILLISECOND,
        )));
    }
    assert_eq!(started.len(), 16);
    // The queries report progress, so that the gateway neither counts as stalled nor presumes them
    // lost.
    for _ in 0..99 {
        gateway.now += 20 * MILLISECOND;
        for id in 0..16 {
            let update = ProgressUpdate::Progress(0.1);
            gateway.report_progress(id, update);
        }
    }
    let mut next = Vec::new();
    for (id, engine) in started.drain(..) {
        next.extend(attempts_started(&gateway.end_attempt(
            id,
            0,
            engine,
            OutcomeKind::Ok,
            9 * SECOND,
        )));
    }
    // Queued requests use the capacity once a tick has updated the median, as no other engine is
    // faster; the limit is updated at two seconds.
    next.extend(attempts_started(&gateway.advance(20 * MILLISECOND)));
    assert!(next.len() <= 16);
    let mut inflight = 0;
    for (id, engine) in next {
        inflight +=
            attempts_started(&gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 9 * SECOND))
                .len();
    }
    for id in 100..140 {
        inflight +=
            attempts_started(&gateway.submit(id, SHORT, 60 * SECOND, 200 * MILLISECOND)).len();
    }
    inflight += attempts_started(&gateway.advance(20 * MILLISECOND)).len();
    assert_eq!(inflight, 13, "under a limit of 13.7 threads");
}

/// When a gateway shuts down, the active ones share its capacity until it returns.
#[test]
fn the_capacity_share_follows_the_number_of_active_gateways() {
    let sent = |counts: &[u32]| {
        let mut settings = test_settings();
        settings.gateways = 4;
        let mut gateway = GatewayHarness::new(settings, warm_endpoints(1..=1));
        for count in counts {
            gateway.gateway.set_active_gateways(*count);
        }
        gateway.advance(SECOND);
        started_of(&mut gateway, 40, 200 * MILLISECOND)
    };
    assert_eq!(
        (sent(&[]), sent(&[2]), sent(&[2, 4])),
        (4, 8, 4),
        "parts of sixteen threads"
    );
    assert_eq!(
        sent(&[0]),
        sent(&[1]),
        "the number of active gateways is at least one"
    );
    assert_eq!(
        sent(&[9]),
        sent(&[4]),
        "the number of active gateways is at most that of all gateways"
    );
}

/// During a hot restart the two processes of a gateway share its part of the limit.
#[test]
fn a_process_with_half_the_capacity_share_starts_half_the_requests() {
    let sent = |part: f64| {
        let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
        gateway.gateway.set_capacity_share(0.25);
        gateway.gateway.set_capacity_share(part);
        started_of(&mut gateway, 30, 200 * MILLISECOND)
    };
    assert_eq!((sent(1.0), sent(0.5)), (16, 8));
}

/// Guards invariant 4 for the sum of both processes of a hot restart.
#[test]
fn two_half_shares_send_an_engine_in_slow_start_no_more_than_a_whole_one() {
    let sent = |part: f64| {
        let mut gateway = GatewayHarness::new(test_settings(), starting_endpoints(1..=1));
        gateway.gateway.set_capacity_share(part);
        started_of(&mut gateway, 60, 400 * MILLISECOND)
    };
    let (whole, half) = (sent(1.0), sent(0.5));
    assert!(half > 0 && 2 * half <= whole, "{half} of {whole}");
}
