//! Gateways of a large fleet whose load probes are too expensive to send.
use crate::builders::*;
use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

/// A probe has a price that every gateway pays for every request. Where it is high, requests start
/// without one, and an engine without a load report does not count as full.
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

/// With 100 gateways and 30 engines every gateway had a connection to each engine, used once in six
/// seconds, and paid for the handshakes.
#[test]
fn gateways_without_probes_use_few_engines_each_and_load_all_evenly() {
    let engines = warm_endpoints(1..=30);
    let mut total = BTreeMap::new();
    for index in 0..100 {
        let mut gateway = gateway_at(index, expensive_probe_settings(100), engines.clone());
        let mut met = BTreeSet::new();
        for id in 0..60 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            met.insert(sent[0].1);
            *total.entry(sent[0].1).or_insert(0) += 1;
            gateway.advance(100 * MILLISECOND);
            gateway.end_attempt(id, 0, sent[0].1, OutcomeKind::Ok, 200 * MILLISECOND);
        }
        assert!(met.len() <= 8, "gateway {index} met {} engines", met.len());
    }
    let (least, most) = (total.values().min(), total.values().max());
    assert!(
        total.len() == 30 && least > Some(&150) && most < Some(&260),
        "200 each are even: {total:?}"
    );
}

/// Requests past their objective used up the limit, slowed down all others, and earned a tenth.
#[test]
fn a_request_past_its_objective_takes_no_capacity_from_others() {
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
    // With idle capacity it is completed all the same.
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

/// After 18 of 30 engines restarted, each of these got two queries a second from all gateways while
/// the 12 warm ones were full, as a time slot there was rated worse than a full engine.
#[test]
fn time_slots_on_engines_in_slow_start_are_used_without_probes() {
    let mut engines = warm_endpoints(1..=12);
    engines.extend(starting_endpoints(13..=30));
    let mut on_cold = 0;
    for index in 0..100 {
        let settings = Settings {
            progress_period: 0,
            ..expensive_probe_settings(100)
        };
        let mut gateway = gateway_at(index, settings, engines.clone());
        // The class learns its work first: an unknown class is estimated as heavy.
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
            on_cold += sent.iter().filter(|(_, engine)| engine.0 > 12).count();
            sent.iter().for_each(|(id, e)| {
                drop(gateway.end_attempt(*id, 0, *e, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        }
    }
    // In four seconds, of 2,000 queries; the budget allows three times this threshold.
    assert!(on_cold > 200, "{on_cold} queries went to 18 cold engines");
}

/// The same where the warm engines are congested: a gateway's own queries that hung there used up
/// its whole capacity share, and its time slots on idle engines in slow start passed unused.
#[test]
fn time_slots_on_engines_in_slow_start_are_used_while_queries_hang_on_warm_ones() {
    let mut engines = warm_endpoints(1..=12);
    engines.extend(starting_endpoints(13..=30));
    let mut on_cold = 0;
    for index in 0..100 {
        let settings = Settings {
            progress_period: 0,
            ..expensive_probe_settings(100)
        };
        let mut gateway = gateway_at(index, settings, engines.clone());
        let stuck = |id| request(id, SHORT, gateway.now, 60 * SECOND, 4 * SECOND);
        let asks: Vec<Request> = (0..8).map(stuck).collect();
        asks.into_iter().for_each(|a| drop(gateway.receive(a)));
        gateway.advance(2 * SECOND);
        for id in 16..36 {
            let mut sent =
                attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND));
            sent.extend(attempts_started(&gateway.advance(200 * MILLISECOND)));
            on_cold += sent
                .iter()
                .filter(|(id, engine)| *id >= 16 && engine.0 > 12)
                .count();
            sent.iter().for_each(|(id, e)| {
                drop(gateway.end_attempt(*id, 0, *e, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        }
    }
    assert!(on_cold > 40, "{on_cold} queries went to 18 cold engines");
}

/// Cancelled attempts used to count as load on their engine for ever, until warm engines that had
/// once been slow were idle beside crowded ones.
#[test]
fn a_cancelled_attempt_leaves_no_load_on_its_engine() {
    let settings = Settings {
        progress_period: 0,
        ..expensive_probe_settings(30)
    };
    let mut gateway = gateway_at(3, settings, warm_endpoints(1..=2));
    let (mut lost, mut on_one) = (0, 0);
    for id in 0..120 {
        let slow = id < 40;
        let mut actions = gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        while attempts_started(&actions).is_empty() {
            actions.extend(gateway.advance(20 * MILLISECOND));
        }
        let engine = first_engine(&actions);
        if slow && engine.0 == 1 {
            let actions = gateway.advance(SECOND);
            lost += cancellation_count(&actions);
            let actions = gateway.end_attempt(id, 0, engine, OutcomeKind::Cancelled, SECOND);
            let again = attempts_started(&actions)
                .into_iter()
                .chain(attempts_started(&gateway.advance(500 * MILLISECOND)))
                .next();
            again.iter().for_each(|sent| {
                drop(gateway.end_attempt(id, 1, sent.1, OutcomeKind::Ok, 200 * MILLISECOND))
            });
        } else {
            on_one += usize::from(!slow && engine.0 == 1);
            gateway.advance(200 * MILLISECOND);
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 200 * MILLISECOND);
        }
    }
    assert!(
        lost >= 3 && on_one >= 20,
        "{lost} lost, then {on_one} of 80 went there"
    );
}

/// A gateway's capacity share was counted over all engines, and all of it went to the warm ones, up
/// to three times their limit.
#[test]
fn the_capacity_share_of_a_gateway_without_probes_counts_warm_engines_alone() {
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
    // Short-term a share may be exceeded twofold: 12 engines of 16 threads, twice, and a margin.
    assert!(
        on_warm <= 420,
        "{on_warm} queries went to 12 warm engines at once"
    );
}

/// When all other engines slowed down together, a new engine without samples looked the fastest to
/// all gateways at once and got four times its part while it was in slow start.
#[test]
fn a_new_engine_receives_its_even_part_while_all_others_are_slow() {
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
    // Its even part would be nine of 180.
    assert!(
        on_new <= 27,
        "{on_new} of 180 queries went to one new engine of 21"
    );
}
