//! Gateways of a large fleet in which load probes are too expensive to send.
use crate::builders::*;
use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

/// Probes have a price per request at every gateway. If it is high, requests start without a probe,
/// and an engine without a load report does not count as full.
#[test]
fn no_probe_is_sent_and_no_request_waits_where_probes_are_expensive() {
    let engines = warm_endpoints(1..=60);
    let mut gateway = gateway_at(
        7,
        Settings {
            probe_price: 0.08,
            ..large_fleet_settings()
        },
        engines,
    );
    gateway.advance(3 * SECOND);
    for id in 0..40 {
        let mut actions = gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        assert_eq!(attempts_started(&actions).len(), 1, "query {id}");
        actions.extend(gateway.advance(500 * MILLISECOND));
        assert!(!actions.iter().any(|a| matches!(a, Action::Probe { .. })));
        let engine = first_engine(&actions);
        gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 250 * MILLISECOND);
    }
}

/// Guards against this failure: with 100 gateways and 30 engines, every gateway had a connection to
/// each engine, used each one once in six seconds, and paid for the handshakes.
#[test]
fn gateways_without_probes_use_few_engines_each_and_load_all_evenly() {
    let engines = warm_endpoints(1..=30);
    let mut total = BTreeMap::new();
    for index in 0..100 {
        let mut gateway = gateway_at(index, expensive_probe_settings(100), engines.clone());
        let mut used_engines = BTreeSet::new();
        for id in 0..60 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            used_engines.insert(sent[0].1);
            *total.entry(sent[0].1).or_insert(0) += 1;
            gateway.advance(100 * MILLISECOND);
            gateway.end_attempt(id, 0, sent[0].1, OutcomeKind::Ok, 200 * MILLISECOND);
        }
        assert!(
            used_engines.len() <= 8,
            "gateway {index} used {} engines",
            used_engines.len()
        );
    }
    let (least, most) = (total.values().min(), total.values().max());
    assert!(
        total.len() == 30 && least > Some(&150) && most < Some(&260),
        "an even load is 200 each: {total:?}"
    );
}

/// Guards against this failure: requests past their latency objective used up the limit and slowed
/// down all others, although their responses earned only a tenth of the value.
#[test]
fn a_request_past_its_latency_objective_takes_no_capacity_from_others() {
    let engines = warm_endpoints(1..=10);
    let mut gateway = gateway_at(
        3,
        Settings {
            progress_period: 0,
            ..expensive_probe_settings(30)
        },
        engines,
    );
    let first: Vec<(u32, EngineId)> = (0..4)
        .flat_map(|id| attempts_started(&gateway.submit(id, SHORT, 60 * SECOND, 400 * MILLISECOND)))
        .collect();
    gateway.advance(1500 * MILLISECOND);
    let late = gateway.end_attempt(0, 0, first[0].1, OutcomeKind::Reset, 1500 * MILLISECOND);
    assert!(attempts_started(&late).is_empty());
    let fresh = gateway.submit(9, SHORT, 6 * SECOND, 200 * MILLISECOND);
    assert_eq!(attempts_started(&fresh).len(), 1);
    // If there is idle capacity, the late request is still sent.
    let mut actions = gateway.end_attempt(
        9,
        0,
        first_engine(&fresh),
        OutcomeKind::Ok,
        200 * MILLISECOND,
    );
    for (id, engine) in &first[1..] {
        actions.extend(gateway.end_attempt(*id, 0, *engine, OutcomeKind::Ok, 1600 * MILLISECOND));
    }
    actions.extend(gateway.advance(2 * SECOND));
    assert!(attempts_started(&actions).iter().any(|(id, _)| *id == 0));
}

/// Guards against this failure: after 18 of 30 engines restarted, each of them received two queries
/// per second from all gateways together while the 12 warm ones were full, because a turn on an
/// engine in slow start was rated worse than a full engine.
#[test]
fn turns_on_engines_in_slow_start_are_used_without_probes() {
    let mut engines = warm_endpoints(1..=12);
    engines.extend(starting_endpoints(13..=30));
    let mut on_starting = 0;
    for index in 0..100 {
        let settings = Settings {
            progress_period: 0,
            ..expensive_probe_settings(100)
        };
        let mut gateway = gateway_at(index, settings, engines.clone());
        // First the work of the class is learned: the estimate for a class without samples is high.
        for id in 0..16 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            sent.iter().for_each(|sent| {
                drop(gateway.end_attempt(id, 0, sent.1, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        }
        for id in 16..36 {
            let mut sent =
                attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            sent.extend(attempts_started(&gateway.advance(200 * MILLISECOND)));
            on_starting += sent.iter().filter(|(_, engine)| engine.0 > 12).count();
            sent.iter().for_each(|(id, e)| {
                drop(gateway.end_attempt(*id, 0, *e, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        }
    }
    // Of 2,000 queries in four seconds; the slow start budget allows three times this threshold.
    assert!(
        on_starting > 200,
        "{on_starting} queries went to 18 engines in slow start"
    );
}

/// Guards against this failure: while the warm engines were overloaded, a gateway's queries that
/// were stuck there used up its whole capacity share, and its turns on idle engines in slow start
/// were not used.
#[test]
fn turns_on_engines_in_slow_start_are_used_while_queries_are_stuck_on_warm_ones() {
    let mut engines = warm_endpoints(1..=12);
    engines.extend(starting_endpoints(13..=30));
    let mut on_starting = 0;
    for index in 0..100 {
        let settings = Settings {
            progress_period: 0,
            ..expensive_probe_settings(100)
        };
        let mut gateway = gateway_at(index, settings, engines.clone());
        let stuck = |id| request(id, SHORT, gateway.now, 60 * SECOND, 4 * SECOND);
        let requests: Vec<Request> = (0..8).map(stuck).collect();
        requests
            .into_iter()
            .for_each(|request| drop(gateway.receive(request)));
        gateway.advance(2 * SECOND);
        for id in 16..36 {
            let mut sent =
                attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            sent.extend(attempts_started(&gateway.advance(200 * MILLISECOND)));
            on_starting += sent
                .iter()
                .filter(|(id, engine)| *id >= 16 && engine.0 > 12)
                .count();
            sent.iter().for_each(|(id, e)| {
                drop(gateway.end_attempt(*id, 0, *e, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        }
    }
    assert!(
        on_starting > 40,
        "{on_starting} queries went to 18 engines in slow start"
    );
}

/// Guards against this failure: cancelled attempts counted as load on their engine forever, so that
/// warm engines that had once been slow stayed idle beside overloaded ones.
#[test]
fn a_cancelled_attempt_leaves_no_load_on_its_engine() {
    let settings = Settings {
        progress_period: 0,
        ..expensive_probe_settings(30)
    };
    let mut gateway = gateway_at(3, settings, warm_endpoints(1..=2));
    let (mut cancelled, mut sent_after) = (0, 0);
    for id in 0..120 {
        let slow = id < 40;
        let mut actions = gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        while attempts_started(&actions).is_empty() {
            actions.extend(gateway.advance(20 * MILLISECOND));
        }
        let engine = first_engine(&actions);
        if slow && engine.0 == 1 {
            let actions = gateway.advance(SECOND);
            cancelled += cancellation_count(&actions);
            let actions = gateway.end_attempt(id, 0, engine, OutcomeKind::Cancelled, SECOND);
            let retry = attempts_started(&actions)
                .into_iter()
                .chain(attempts_started(&gateway.advance(500 * MILLISECOND)))
                .next();
            retry.iter().for_each(|sent| {
                drop(gateway.end_attempt(id, 1, sent.1, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        } else {
            sent_after += usize::from(!slow && engine.0 == 1);
            gateway.advance(200 * MILLISECOND);
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 200 * MILLISECOND);
        }
    }
    assert!(
        cancelled >= 3 && sent_after >= 20,
        "{cancelled} attempts were cancelled, then {sent_after} of 80 went to the same engine"
    );
}

/// Guards against this failure: a gateway's capacity share was summed over all engines, and all of
/// it was used on the warm ones, up to three times their limit.
#[test]
fn the_capacity_share_of_a_gateway_without_probes_counts_warm_engines_only() {
    let mut engines = warm_endpoints(1..=12);
    engines.extend(starting_endpoints(13..=60));
    let mut on_warm = 0;
    for index in 0..30 {
        let settings = Settings {
            progress_period: 0,
            ..expensive_probe_settings(30)
        };
        let mut gateway = gateway_at(index, settings, engines.clone());
        for id in 0..40 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            on_warm += sent.iter().filter(|(_, engine)| engine.0 <= 12).count();
        }
    }
    // For a short time a gateway may use twice its share: 12 engines of 16 threads, twice, and a
    // margin.
    assert!(
        on_warm <= 420,
        "{on_warm} queries went to 12 warm engines at once"
    );
}

/// Guards against this failure: when all other engines slowed down together, all gateways at once
/// rated a new engine without samples as the fastest, and it received four times its share while it
/// was in slow start.
#[test]
fn a_new_engine_receives_its_even_share_while_all_others_are_slow() {
    let engines = warm_endpoints(1..=20);
    let mut on_new = 0;
    for index in 0..60 {
        let settings = expensive_probe_settings(100);
        let mut gateway = gateway_at(index, settings, engines.clone());
        for id in 0..60 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            gateway.advance(100 * MILLISECOND);
            gateway.end_attempt(id, 0, sent[0].1, OutcomeKind::Ok, 360 * MILLISECOND);
        }
        gateway.update_endpoints(EndpointListKind::Changes, vec![endpoint(21, 0, 0)]);
        for id in 60..63 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            on_new += usize::from(sent[0].1 == EngineId(21));
            gateway.advance(100 * MILLISECOND);
            gateway.end_attempt(id, 0, sent[0].1, OutcomeKind::Ok, 360 * MILLISECOND);
        }
    }
    // Its even share is nine of 180.
    assert!(
        on_new <= 27,
        "{on_new} of 180 queries went to the new one of 21 engines"
    );
}
