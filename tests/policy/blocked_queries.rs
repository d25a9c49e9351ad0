//! Queries blocked by a load of their data set.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn a_query_blocked_by_a_load_is_retried_on_an_engine_without_it() {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].blocked_by_loads = true;
    let mut gateway = GatewayHarness::new(settings, two_endpoints());
    let point_query = |id, now| Request {
        data_set: 7,
        ..request(id, SHORT, now, 6 * SECOND, 200 * MILLISECOND)
    };
    let blocked_engine = first_engine(&gateway.receive(point_query(1, gateway.now)));
    gateway.advance(500 * MILLISECOND);
    let update = ProgressUpdate::WaitsForLoad;
    assert_eq!(cancellation_count(&gateway.report_progress(1, update)), 1);
    let retried = attempts_started(&gateway.end_attempt(
        1,
        0,
        blocked_engine,
        OutcomeKind::Cancelled,
        500 * MILLISECOND,
    ));
    assert!(
        retried.len() == 1 && retried[0].1 != blocked_engine,
        "{retried:?}"
    );
    // Other queries of the data set avoid that engine for a while.
    for id in 2..5 {
        assert_ne!(
            first_engine(&gateway.receive(point_query(id, gateway.now))),
            blocked_engine
        );
    }
}

/// A blocked query holds its threads. Under pressure it would take the threads that are released on
/// the engine with the load.
#[test]
fn a_query_queues_for_another_engine_rather_than_behind_a_load() {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].blocked_by_loads = true;
    let mut gateway = GatewayHarness::new(settings, two_endpoints());
    let point_query = |id, data_set, now| Request {
        data_set,
        ..request(id, SHORT, now, 6 * SECOND, 200 * MILLISECOND)
    };
    let load = Request {
        data_set: 7,
        ..request(1, LOAD, gateway.now, 20 * SECOND, 2 * SECOND)
    };
    let loading_engine = first_engine(&gateway.receive(load));
    let mut sent = Vec::new();
    for id in 100..200 {
        sent.extend(attempts_started(&gateway.receive(point_query(
            id,
            u64::from(id),
            gateway.now,
        ))));
    }
    assert!(sent.len() < 100, "both are full");
    (100..200)
        .filter(|id| !sent.iter().any(|(sent_id, _)| sent_id == id))
        .for_each(|id| {
            gateway.handle(Event::ClientDisconnected(RequestId(id)));
        });
    let completed =
        |id: u32, engine| attempt_outcome(id, 0, engine, OutcomeKind::Ok, 200 * MILLISECOND);
    let on_loading_engine = sent.iter().filter(|(_, e)| *e == loading_engine).take(3);
    on_loading_engine.for_each(|(id, engine)| drop(gateway.handle(completed(*id, *engine))));
    assert!(attempts_started(&gateway.receive(point_query(2, 7, gateway.now))).is_empty());
    assert_eq!(
        attempts_started(&gateway.receive(point_query(3, 8, gateway.now))),
        vec![(3, loading_engine)]
    );
    // Once the load has completed, the query may use that engine.
    assert!(
        attempts_started(&gateway.handle(completed(1, loading_engine)))
            .contains(&(2, loading_engine))
    );
}

/// Loads of other gateways are not announced. The module infers them from a query that takes long
/// on an engine where others complete.
#[test]
fn a_query_that_appears_blocked_keeps_queries_of_its_data_set_off_that_engine() {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].blocked_by_loads = true;
    settings.progress_period = 0;
    let mut gateway = GatewayHarness::new(settings, two_endpoints());
    let submit_for = |gateway: &mut GatewayHarness, id, data_set| {
        let query = Request {
            data_set,
            ..request(id, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
        };
        first_engine(&gateway.receive(query))
    };
    let blocked_engine = submit_for(&mut gateway, 1, 7);
    gateway.advance(300 * MILLISECOND);
    let completing = (2..10)
        .find(|id| submit_for(&mut gateway, *id, 8) == blocked_engine)
        .expect("a query on another data set goes there too");
    gateway.end_attempt(
        completing,
        0,
        blocked_engine,
        OutcomeKind::Ok,
        100 * MILLISECOND,
    );
    gateway.advance(400 * MILLISECOND);
    for id in 10..14 {
        assert_ne!(submit_for(&mut gateway, id, 7), blocked_engine);
    }
    // Once the query has completed, its data set no longer counts as blocked.
    gateway.end_attempt(1, 0, blocked_engine, OutcomeKind::Ok, 720 * MILLISECOND);
    assert!((14..20).any(|id| submit_for(&mut gateway, id, 7) == blocked_engine));
}

/// A load of another gateway does not delay a query while other engines have capacity.
#[test]
fn a_query_that_appears_blocked_is_retried_elsewhere_after_three_times_its_expected_time() {
    let mut settings = test_settings();
    settings.classes[usize::from(SHORT)].blocked_by_loads = true;
    settings.progress_period = 0;
    let mut gateway = GatewayHarness::new(settings, two_endpoints());
    let blocked_engine = first_engine(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND));
    gateway.advance(300 * MILLISECOND);
    let other = |id| Request {
        data_set: 8,
        ..request(id, SHORT, START_TIME, 6 * SECOND, 200 * MILLISECOND)
    };
    let started: Vec<_> = (2..10)
        .map(|id| attempts_started(&gateway.receive(other(id)))[0])
        .collect();
    assert!(
        started.iter().any(|(_, e)| *e == blocked_engine),
        "queries on another data set run on the engine"
    );
    started.iter().for_each(|(id, e)| {
        drop(gateway.end_attempt(*id, 0, *e, OutcomeKind::Ok, 100 * MILLISECOND))
    });
    assert_eq!(
        cancellation_count(&gateway.advance(280 * MILLISECOND)),
        0,
        "the query is within three times its expected time"
    );
    assert_eq!(cancellation_count(&gateway.advance(100 * MILLISECOND)), 1);
    let retried = attempts_started(&gateway.end_attempt(
        1,
        0,
        blocked_engine,
        OutcomeKind::Cancelled,
        680 * MILLISECOND,
    ));
    assert!(
        retried.len() == 1 && retried[0].1 != blocked_engine,
        "{retried:?}"
    );
}
