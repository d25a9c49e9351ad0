//! Cancellation of attempts that make no progress.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn an_attempt_with_too_little_progress_is_cancelled_unless_it_is_a_load() {
    for (class, expected) in [(LONG, 1), (LOAD, 0)] {
        let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
        gateway.submit(1, class, 15 * SECOND, SECOND);
        gateway.now += SECOND;
        let update = ProgressUpdate::Progress(0.05);
        assert_eq!(
            cancellation_count(&gateway.report_progress(1, update)),
            expected,
            "class {class}"
        );
    }
}

#[test]
fn a_uniformly_slow_fleet_causes_few_cancellations() {
    let mut settings = test_settings();
    settings.invariants.retry_budget = None;
    let mut gateway = GatewayHarness::new(settings, warm_endpoints(1..=4));
    let mut sent = Vec::new();
    for id in 0..16 {
        sent.extend(attempts_started(&gateway.submit(
            id,
            LONG,
            15 * SECOND,
            SECOND,
        )));
    }
    gateway.now += 2 * SECOND;
    let mut count = 0;
    for (id, _) in sent {
        let update = ProgressUpdate::Progress(0.1);
        count += cancellation_count(&gateway.report_progress(id, update));
    }
    assert!(count <= 6, "{count}");
}

#[test]
fn an_attempt_that_cannot_finish_by_its_deadline_is_cancelled_and_rejected_unless_it_is_a_load() {
    // After four seconds one percent is done, and a retry does not fit in the two seconds left. A
    // load is not cancelled.
    for (class, expected) in [(SHORT, (1, 1)), (LOAD, (0, 0))] {
        let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
        gateway.submit(1, class, 6 * SECOND, 3 * SECOND);
        gateway.now += 4 * SECOND;
        let update = ProgressUpdate::Progress(0.01);
        let actions = gateway.report_progress(1, update);
        assert_eq!(
            (
                cancellation_count(&actions),
                final_responses(&actions).len()
            ),
            expected,
            "class {class}"
        );
    }
}

#[test]
fn an_unresponsive_attempt_is_cancelled_and_retried_after_four_times_its_expected_time() {
    let mut settings = test_settings();
    settings.progress_period = 0;
    let mut gateway = GatewayHarness::new(settings, two_endpoints());
    let first = first_engine(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND));
    assert_eq!(
        cancellation_count(&gateway.advance(700 * MILLISECOND)),
        0,
        "the attempt is within four times its expected time"
    );
    assert_eq!(cancellation_count(&gateway.advance(200 * MILLISECOND)), 1);
    let retried = attempts_started(&gateway.end_attempt(
        1,
        0,
        first,
        OutcomeKind::Cancelled,
        900 * MILLISECOND,
    ));
    assert!(retried.len() == 1 && retried[0].1 != first, "{retried:?}");
}

#[test]
fn a_stalled_gateway_does_not_treat_engines_as_unresponsive() {
    // After the stall all 16 queries are overdue by the clock; their outcomes follow the timer in
    // the batch.
    let mut gateway = GatewayHarness::new(test_settings(), two_endpoints());
    let mut sent = Vec::new();
    for id in 0..16 {
        sent.extend(attempts_started(&gateway.submit(
            id,
            SHORT,
            6 * SECOND,
            200 * MILLISECOND,
        )));
    }
    gateway.advance(100 * MILLISECOND);
    gateway.now += 2 * SECOND;
    assert_eq!(
        cancellation_count(&gateway.handle(Event::TimerFired(TICK_TIMER))),
        0
    );
    for (id, engine) in sent {
        gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 2100 * MILLISECOND);
    }
    let actions = gateway.submit(99, SHORT, 6 * SECOND, 200 * MILLISECOND);
    assert_eq!(attempts_started(&actions).len(), 1);
}

#[test]
fn slow_progress_is_not_cancelled_in_a_class_with_long_tails() {
    // The progress extrapolates to eight times the expected time: too slow for a class that usually
    // takes one, but ordinary where a few queries take six.
    let cancelled_after = |times: u64| {
        let mut settings = test_settings();
        settings.invariants.retry_budget = None;
        let mut gateway = GatewayHarness::new(settings, two_endpoints());
        for id in 0..40 {
            let engine = first_engine(&gateway.submit(id, LONG, 15 * SECOND, SECOND));
            let latency = 250 * MILLISECOND * times;
            for _ in 0..latency / (50 * MILLISECOND) {
                gateway.advance(40 * MILLISECOND);
                let update = ProgressUpdate::Progress(0.9);
                gateway.report_progress(id, update);
            }
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, latency);
            // Short queries complete fast meanwhile, so the engines themselves are not slow.
            for short_id in 1000 + 10 * id..1010 + 10 * id {
                let engine =
                    first_engine(&gateway.submit(short_id, SHORT, 6 * SECOND, 100 * MILLISECOND));
                gateway.advance(100 * MILLISECOND);
                gateway.end_attempt(short_id, 0, engine, OutcomeKind::Ok, 100 * MILLISECOND);
            }
        }
        gateway.submit(99, LONG, 15 * SECOND, SECOND);
        gateway.advance(500 * MILLISECOND);
        let update = ProgressUpdate::Progress(0.25);
        cancellation_count(&gateway.report_progress(99, update))
    };
    assert_eq!((cancelled_after(1), cancelled_after(6)), (1, 0));
}

/// A query that is merely slower than usual is not retried while capacity is scarce: all of its
/// work would be done twice.
#[test]
fn unresponsive_attempts_of_a_fast_class_are_cancelled_later_when_capacity_is_scarce() {
    for (others, early) in [(0, 1), (31, 0)] {
        let mut settings = test_settings();
        settings.progress_period = 0;
        let mut gateway = GatewayHarness::new(settings, two_endpoints());
        for id in 0..200 {
            let started = first_engine(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            gateway.advance(20 * MILLISECOND);
            gateway.end_attempt(id, 0, started, OutcomeKind::Ok, 200 * MILLISECOND);
        }
        for id in 300..300 + others {
            assert_eq!(
                attempts_started(&gateway.submit(id, KEYED, 9 * SECOND, 5 * SECOND)).len(),
                1
            );
        }
        gateway.advance(4 * SECOND);
        gateway.submit(999, SHORT, 6 * SECOND, 200 * MILLISECOND);
        assert_eq!(
            cancellation_count(&gateway.advance(780 * MILLISECOND)),
            early
        );
        assert_eq!(
            cancellation_count(&gateway.advance(200 * MILLISECOND)),
            1 - early
        );
    }
}
