//! Ejection of engines that fail or are unresponsive.
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn an_engine_that_fails_fast_is_ejected_unless_it_is_the_last_one() {
    let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=4));
    for id in 0..60u32 {
        gateway.advance(20 * MILLISECOND);
        for (id, engine) in attempts_started(&gateway.receive(Request {
            data_set: id.into(),
            ..request(id, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
        })) {
            let kind = if engine == EngineId(1) {
                OutcomeKind::Error
            } else {
                OutcomeKind::Ok
            };
            for (retried, target) in
                attempts_started(&gateway.end_attempt(id, 0, engine, kind, 200 * MILLISECOND))
            {
                gateway.end_attempt(retried, 1, target, OutcomeKind::Ok, 200 * MILLISECOND);
            }
        }
    }
    let attempts_on_bad = |gateway: &mut GatewayHarness, from: u32| {
        let mut count = 0;
        for id in from..from + 12 {
            count += attempts_started(&gateway.receive(Request {
                data_set: id.into(),
                ..request(id, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
            }))
            .iter()
            .filter(|(_, e)| *e == EngineId(1))
            .count();
        }
        count
    };
    assert!(
        attempts_on_bad(&mut gateway, 1000) <= 1,
        "an ejected engine receives at most a trial request"
    );
    gateway.update_endpoints(EndpointListKind::Full, vec![endpoint(1, 0, 0)]);
    assert!(
        attempts_on_bad(&mut gateway, 2000) >= 10,
        "the only engine is used although it fails"
    );
}

#[test]
fn an_unresponsive_engine_is_ejected_and_its_idempotent_requests_are_retried_elsewhere() {
    let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=4));
    let mut started = Vec::new();
    for id in 0..16 {
        let query = Request {
            data_set: id.into(),
            ..request(id, SHORT, gateway.now, 6 * SECOND, 100 * MILLISECOND)
        };
        started.extend(attempts_started(&gateway.receive(query)));
    }
    for (id, engine) in started.iter().filter(|(_, e)| *e != EngineId(1)) {
        gateway.end_attempt(*id, 0, *engine, OutcomeKind::Ok, 100 * MILLISECOND);
    }
    let on_one: Vec<u32> = started
        .iter()
        .filter(|(_, e)| *e == EngineId(1))
        .map(|(id, _)| *id)
        .collect();
    assert!(on_one.len() >= 2);
    assert!(cancellation_count(&gateway.advance(2 * SECOND)) >= 1);
    let actions = gateway.end_attempt(
        on_one[0],
        0,
        EngineId(1),
        OutcomeKind::Cancelled,
        2 * SECOND,
    );
    assert_ne!(first_engine(&actions), EngineId(1));
}

#[test]
fn a_congested_engine_receives_fewer_requests_than_its_peers() {
    let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=4));
    gateway.advance(2100 * MILLISECOND);
    for round in 0..12 {
        let mut started = Vec::new();
        for id in 32 * round..32 * (round + 1) {
            let query = Request {
                data_set: id.into(),
                ..request(id, SHORT, gateway.now, 6 * SECOND, 100 * MILLISECOND)
            };
            started.extend(attempts_started(&gateway.receive(query)));
        }
        for (id, engine) in started {
            let latency = if engine == EngineId(1) {
                2 * SECOND
            } else {
                100 * MILLISECOND
            };
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, latency);
        }
    }
    let mut count = [0; 5];
    for id in 1000..1100 {
        let query = Request {
            data_set: id.into(),
            ..request(id, SHORT, gateway.now, 6 * SECOND, 100 * MILLISECOND)
        };
        for (_, engine) in attempts_started(&gateway.receive(query)) {
            count[engine.0 as usize] += 1;
        }
    }
    assert!(2 * count[1] < count[2], "{count:?}");
}

/// Ejecting the busiest engine would shift its work to the others. Timeouts of queries queued there
/// do not count as failures while it completes other queries.
#[test]
fn an_engine_that_still_responds_is_not_ejected_for_timeouts() {
    for (responds, expected) in [(true, true), (false, false)] {
        let mut gateway = GatewayHarness::new(test_settings(), warm_endpoints(1..=4));
        let mut started = Vec::new();
        for id in 0..32 {
            started.extend(attempts_started(&gateway.submit(
                id,
                KEYED,
                6 * SECOND,
                100 * MILLISECOND,
            )));
        }
        let mut on_one: Vec<u32> = started
            .iter()
            .filter(|(_, e)| *e == EngineId(1))
            .map(|(id, _)| *id)
            .collect();
        gateway.now += SECOND;
        let last = on_one.pop().expect("some attempts were sent there");
        if responds {
            gateway.end_attempt(last, 0, EngineId(1), OutcomeKind::Ok, SECOND);
        }
        gateway.now += 5 * SECOND;
        for id in on_one {
            gateway.end_attempt(id, 0, EngineId(1), OutcomeKind::Timeout, 6 * SECOND);
        }
        let used = (100..140).any(|id| {
            let actions = gateway.submit(id, SHORT, 6 * SECOND, 100 * MILLISECOND);
            attempts_started(&actions)
                .iter()
                .any(|(_, e)| *e == EngineId(1))
        });
        assert_eq!(used, expected);
    }
}
