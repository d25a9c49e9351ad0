//! Capacity accounting of gateways without load reports.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn unresponsive_attempts_release_their_capacity() {
    let mut settings = test_settings();
    settings.progress_period = 0;
    settings.limits.may_cancel = false;
    let mut gateway = GatewayHarness::new(settings, warm_endpoints(1..=3));
    let mut id = 0;
    let mut fill = |gateway: &mut GatewayHarness| {
        let before = id;
        while id < before + 200
            && !attempts_started(&gateway.submit(id, LOAD, 20 * SECOND, SECOND)).is_empty()
        {
            id += 1;
        }
        id += 1;
        id - before
    };
    // A gateway that has just started uses less capacity.
    gateway.advance(2100 * MILLISECOND);
    let first = fill(&mut gateway);
    gateway.advance(SECOND);
    assert!(
        fill(&mut gateway) < first / 2,
        "no capacity is released yet"
    );
    gateway.advance(12 * SECOND);
    assert!(
        fill(&mut gateway) > first / 2,
        "lost attempts hold no capacity"
    );
}

#[test]
fn a_query_that_reports_waiting_for_memory_is_not_unresponsive() {
    let run = |reports_progress: bool| {
        let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=4));
        let mut started = Vec::new();
        (0..2).for_each(|id| {
            started.extend(attempts_started(&gateway.submit(
                id,
                LONG,
                15 * SECOND,
                SECOND,
            )))
        });
        let mut cancellations = 0;
        for _ in 0..10 {
            cancellations += cancellation_count(&gateway.advance(500 * MILLISECOND));
            for id in (0..2).filter(|_| reports_progress) {
                gateway.report_progress(id, ProgressUpdate::WaitsForMemory);
            }
        }
        cancellations
    };
    assert_eq!(run(true), 0);
    assert!(run(false) > 0);
}

#[test]
fn every_request_ends_with_degenerate_numbers_of_gateways() {
    for (gateways, index) in [
        (0, 0),
        (1, 0),
        (1, 5),
        (10_000, 0),
        (10_000, 9_999),
        (10_000, 70_000),
        (300, u32::MAX),
    ] {
        for may_message_peers in [false, true] {
            let mut settings = large_fleet_settings();
            (
                settings.gateways,
                settings.gateway_index,
                settings.limits.may_message_peers,
            ) = (gateways, index, may_message_peers);
            let mut gateway = GatewayHarness::new(settings, vec![endpoint(1, 0, 0)]);
            let mut actions = Vec::new();
            for id in 0..8 {
                actions.extend(gateway.submit(id, (id % 4) as u16, 6 * SECOND, 200 * MILLISECOND));
            }
            actions.extend(gateway.advance(7 * SECOND));
            for (id, engine) in attempts_started(&actions) {
                actions.extend(gateway.end_attempt(
                    id,
                    0,
                    engine,
                    OutcomeKind::Timeout,
                    6 * SECOND,
                ));
            }
            let mut ended: Vec<u32> = final_responses(&actions).iter().map(|f| f.0).collect();
            ended.sort_unstable();
            assert_eq!(
                ended,
                (0..8).collect::<Vec<u32>>(),
                "{gateways} gateways, index {index}"
            );
        }
    }
}

#[test]
fn no_attempt_starts_that_cannot_complete_before_the_clients_deadline() {
    // The deadline of the request counts, not that of its class. An estimated time of up to
    // twice the time left is tolerated, because the estimate may be too high; five times is not.
    let mut gateway = GatewayHarness::new(test_settings(), vec![endpoint(1, 0, 0)]);
    let mut sent =
        |id, time_left| attempts_started(&gateway.submit(id, SHORT, time_left, SECOND)).len();
    assert_eq!(
        (
            sent(1, 200 * MILLISECOND),
            sent(2, 700 * MILLISECOND),
            sent(3, 6 * SECOND)
        ),
        (0, 1, 1)
    );
}

#[test]
fn engines_do_not_count_as_full_after_a_pause_without_load_reports() {
    let mut gateway = gateway_at(
        3,
        settings_without_probes(vec![LoadField::CpuUtilization]),
        warm_endpoints(1..=18),
    );
    gateway.advance(3 * SECOND);
    for id in 0..10 {
        let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 100 * MILLISECOND));
        assert_eq!(
            sent.len(),
            1,
            "query {id}: no engine has reported for three seconds"
        );
        gateway.advance(100 * MILLISECOND);
        complete_with_load(&mut gateway, id, sent[0].1, [0.5, 0.0, 0.0, 0.0]);
        gateway.advance(3 * SECOND);
    }
}

#[test]
fn a_capacity_share_of_a_few_queries_is_kept_on_average() {
    // 60 engines of 16 threads, shared by 160 gateways, are six threads per gateway. Two queries of
    // four threads may run at once, but not all the time.
    let mut settings = settings_without_probes(vec![]);
    settings.gateways = 160;
    let mut gateway = gateway_at(3, settings, warm_endpoints(1..=60));
    gateway.advance(3 * SECOND);
    let attempts_on_submit = |gateway: &mut GatewayHarness, id| {
        attempts_started(&gateway.submit(id, LONG, 15 * SECOND, 40 * SECOND)).len()
    };
    assert_eq!(
        (
            attempts_on_submit(&mut gateway, 1),
            attempts_on_submit(&mut gateway, 2),
            attempts_on_submit(&mut gateway, 3)
        ),
        (1, 1, 0)
    );
    for id in [1, 2].repeat(20) {
        gateway.advance(100 * MILLISECOND);
        let update = ProgressUpdate::Progress(0.1);
        gateway.report_progress(id, update);
    }
    let engine = EngineId(1);
    let sent = attempts_started(&gateway.end_attempt(1, 0, engine, OutcomeKind::Ok, 4 * SECOND))
        .len()
        + attempts_on_submit(&mut gateway, 4);
    assert_eq!(
        sent, 0,
        "after four seconds above its share, the gateway stays below it first"
    );
}
