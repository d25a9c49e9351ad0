//! What gateways conclude from load reports.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn gateways_with_equal_load_reports_choose_different_engines() {
    // All gateways receive equal reports of forty engines; their choices differ.
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
fn an_expired_load_report_is_ignored() {
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
        "engine 1 was idle three seconds ago: {started:?}"
    );
}

#[test]
fn an_engine_that_responds_to_probes_late_is_avoided_despite_idle_cores() {
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
    let late = started
        .iter()
        .skip(5)
        .filter(|(_, e)| *e == EngineId(1))
        .count();
    assert!(
        started.len() > 10 && late == 0,
        "{late} of {} went to the jammed engine",
        started.len()
    );
}

#[test]
fn reported_queries_are_counted_with_the_threads_of_the_current_mix() {
    // Half the requests are long and may not run on the only engine; short ones do. Then an engine
    // for long ones is added and reports ten queries: of one thread each, so that a long one fits
    // below its 16 threads.
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
    assert!(sent >= 50, "look-ups were served: {sent}");
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
    // Idle cores may hide busy disks; idle cores with idle disks do not.
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
    let (cores, both) = (
        sent_with(vec![LoadField::CpuUtilization]),
        sent_with(vec![LoadField::CpuUtilization, LoadField::DiskUtilization]),
    );
    assert!(
        both >= cores + 3,
        "{cores} with cores alone, {both} with both"
    );
}

#[test]
fn an_ordinary_fraction_of_granted_memory_does_not_make_an_engine_look_full() {
    // A gateway that has just started is cautious: above half the limit it needs a time slot, which
    // few of 300 have.
    let mut served = 0;
    for index in 0..40 {
        let mut settings = large_fleet_settings();
        settings.load_fields = vec![LoadField::MemoryGrantedFraction];
        let mut gateway = gateway_at(index, settings, vec![endpoint(1, 0, 0)]);
        gateway.handle(probe_completed(1, 0.7));
        let actions = gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND);
        served += complete_probes(&mut gateway, actions, 0.7).len();
    }
    assert_eq!(served, 40);
}

#[test]
fn a_busy_gateway_uses_capacity_that_others_leave_idle_where_queries_are_reported() {
    // Sixteen times the mean traffic at one of 160 gateways, whose capacity share is six threads.
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
