//! How load reports affect the engine selection and the capacity use of gateways.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn gateways_with_equal_load_reports_choose_different_engines() {
    // All gateways receive the same reports of forty engines.
    let mut count = [0; 41];
    for index in 0..GATEWAYS {
        let mut gateway = gateway_at(index, large_fleet_settings(), warm_endpoints(1..=40));
        gateway.now += 3 * SECOND;
        (1..=40).for_each(|e| drop(gateway.handle(probe_completed(e, 4.0))));
        let actions = gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND);
        for (_, e) in complete_probes(&mut gateway, actions, 4.0) {
            count[e.0 as usize] += 1;
        }
    }
    assert_eq!(count.iter().sum::<i32>(), GATEWAYS as i32);
    assert!(count.iter().all(|n| *n < 120), "{count:?}");
}

#[test]
fn a_stale_load_report_is_ignored() {
    let mut gateway = gateway_at(
        3,
        large_fleet_settings(),
        vec![endpoint(1, 0, 0), endpoint(2, 0, 0)],
    );
    gateway.handle(probe_completed(1, 2.0));
    gateway.advance(3 * SECOND);
    gateway.handle(probe_completed(2, 9.0));
    let started = attempts_started(&gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND));
    assert!(
        started.iter().all(|(_, e)| *e == EngineId(2)),
        "the report of engine 1 is three seconds old: {started:?}"
    );
}

#[test]
fn an_engine_with_slow_probe_responses_is_avoided_even_if_it_reports_idle_cores() {
    let mut settings = large_fleet_settings();
    settings.load_fields = vec![LoadField::CpuUtilization];
    let mut gateway = gateway_at(3, settings, warm_endpoints(1..=4));
    gateway.advance(3 * SECOND);
    let probe = |engine, util, latency| Event::ProbeCompleted {
        engine: EngineId(engine),
        kind: OutcomeKind::Ok,
        latency,
        load: LoadReport::from_values(&[util]),
    };
    let mut started = Vec::new();
    for id in 0..20 {
        (2..=4).for_each(|e| drop(gateway.handle(probe(e, 0.6, MILLISECOND + id * 10_000))));
        gateway.handle(probe(1, 0.2, 9 * MILLISECOND));
        started.extend(attempts_started(&gateway.submit(
            id as u32,
            SHORT,
            6 * SECOND,
            200 * MILLISECOND,
        )));
        for (id, engine) in started.clone().into_iter().filter(|(i, _)| *i == id as u32) {
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 200 * MILLISECOND);
        }
        gateway.advance(100 * MILLISECOND);
    }
    let sent_to_slow = started
        .iter()
        .skip(5)
        .filter(|(_, e)| *e == EngineId(1))
        .count();
    assert!(
        started.len() > 10 && sent_to_slow == 0,
        "{sent_to_slow} of {} attempts went to the slow engine",
        started.len()
    );
}

#[test]
fn reported_queries_are_counted_with_the_threads_per_query_of_the_queries_sent() {
    // Half of the requests are long and may not run on the only engine, so all queries that are
    // sent are short. Then an engine for long queries is added and reports ten queries. They count
    // as one thread each, so that a long query fits below its limit of 16 threads.
    let mut gateway = gateway_at(3, large_fleet_settings(), vec![endpoint(1, 1, 0)]);
    gateway.advance(3 * SECOND);
    let mut sent = 0;
    for id in 0..120 {
        let long = id % 2 == 1;
        let query = request(
            id,
            u16::from(long),
            gateway.now,
            15 * SECOND,
            if long { SECOND } else { 200 * MILLISECOND },
        );
        let actions = gateway.receive(query);
        let started = complete_probes(&mut gateway, actions, 2.0);
        gateway.advance(300 * MILLISECOND);
        for (id, engine) in started {
            sent += 1;
            gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 200 * MILLISECOND);
        }
    }
    assert!(sent >= 50, "short queries were sent: {sent}");
    gateway.advance(20 * SECOND);
    gateway.update_endpoints(EndpointListKind::Changes, vec![endpoint(2, 0, 0)]);
    let actions = gateway.submit(999, LONG, 15 * SECOND, SECOND);
    let started = complete_probes(&mut gateway, actions, 10.0);
    assert!(
        started.contains(&(999, EngineId(2))),
        "a long query fits beside ten short ones"
    );
}

#[test]
fn the_capacity_share_grows_only_with_reports_of_both_cores_and_disks() {
    // Idle cores alone do not show that an engine has free capacity, because its disks may be busy.
    let sent_with = |fields: Vec<LoadField>| {
        let mut settings = settings_without_probes(fields);
        settings.gateways = 160;
        let mut gateway = gateway_at(3, settings, warm_endpoints(1..=60));
        gateway.advance(3 * SECOND);
        for id in 0..30 {
            let sent = attempts_started(&gateway.submit(id, SHORT, 6 * SECOND, 100 * MILLISECOND));
            gateway.advance(100 * MILLISECOND);
            complete_with_load(&mut gateway, id, sent[0].1, [0.2, 0.2, 0.0, 0.0]);
        }
        let mut count = 0;
        for id in 100..110 {
            count += attempts_started(&gateway.submit(id, LONG, 15 * SECOND, SECOND)).len();
        }
        count
    };
    let (cores_only, both) = (
        sent_with(vec![LoadField::CpuUtilization]),
        sent_with(vec![LoadField::CpuUtilization, LoadField::DiskUtilization]),
    );
    assert!(
        both >= cores_only + 3,
        "{cores_only} with cores only, {both} with both"
    );
}

#[test]
fn an_engine_with_an_ordinary_fraction_of_granted_memory_does_not_count_as_full() {
    // A gateway that has just started needs a turn on an engine that is loaded above half its
    // limit, and few of 300 gateways have one.
    let mut started = 0;
    for index in 0..40 {
        let mut settings = large_fleet_settings();
        settings.load_fields = vec![LoadField::MemoryGrantedFraction];
        let mut gateway = gateway_at(index, settings, vec![endpoint(1, 0, 0)]);
        gateway.handle(probe_completed(1, 0.7));
        let actions = gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND);
        started += complete_probes(&mut gateway, actions, 0.7).len();
    }
    assert_eq!(started, 40);
}

#[test]
fn a_busy_gateway_uses_capacity_that_others_leave_idle_where_queries_are_reported() {
    // One of 160 gateways, whose capacity share is six threads, receives sixteen times the mean
    // traffic.
    let sent_with = |queries: f32| {
        let mut settings = large_fleet_settings();
        settings.gateways = 160;
        settings.invariants.retry_budget = None;
        let mut gateway = gateway_at(3, settings, warm_endpoints(1..=60));
        gateway.advance(3 * SECOND);
        (1..=60).for_each(|e| drop(gateway.handle(probe_completed(e, queries))));
        let mut sent = 0;
        for id in 0..12 {
            let actions = gateway.submit(id, LONG, 15 * SECOND, SECOND);
            sent += complete_probes(&mut gateway, actions, queries).len();
        }
        sent
    };
    let (idle, busy) = (sent_with(1.0), sent_with(12.0));
    assert!(
        idle >= 6 && busy <= 3,
        "{idle} with idle engines, {busy} with busy ones"
    );
}
