//! Capacity shares of less than one query, which gateways use in turns.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn requests_do_not_wait_for_a_turn_in_an_idle_fleet() {
    let engines = warm_endpoints(1..=60);
    for index in [0, 7, 150, 299] {
        let mut gateway = gateway_at(index, large_fleet_settings(), engines.clone());
        gateway.advance(3 * SECOND);
        for id in 0..40 {
            let class = u16::from(id % 5 == 4);
            let actions = gateway.submit(id, class, 15 * SECOND, 200 * MILLISECOND);
            let sent = complete_probes(&mut gateway, actions, 2.0);
            assert_eq!(sent.len(), 1, "gateway {index}, query {id}");
            gateway.advance(500 * MILLISECOND);
            gateway.end_attempt(id, 0, sent[0].1, OutcomeKind::Ok, 250 * MILLISECOND);
        }
    }
}

#[test]
fn under_load_a_turn_admits_as_many_gateways_as_the_concurrency_limit_allows() {
    // An engine of 8 cores reports that its initial limit of 16 threads is in use. Each of 300
    // gateways has one short request.
    let mut admitted = Vec::new();
    for turn in 0..6 {
        let mut count = 0;
        for index in 0..GATEWAYS {
            let mut gateway = gateway_at(index, large_fleet_settings(), vec![endpoint(1, 0, 0)]);
            gateway.now += turn * 500 * MILLISECOND;
            gateway.handle(probe_completed(1, 16.0));
            let actions = gateway.submit(1, SHORT, 6 * SECOND, 200 * MILLISECOND);
            count += complete_probes(&mut gateway, actions, 16.0).len();
        }
        admitted.push(count);
    }
    // Short queries may use 1.4 times the limit, 22.4 threads, so 22 or 23 of 300 gateways have a
    // turn.
    assert!(
        admitted.iter().all(|n| (22..=23).contains(n)),
        "{admitted:?}"
    );
}

#[test]
fn every_gateway_receives_a_turn_within_half_a_minute() {
    let mut waited: u64 = 0;
    for index in 0..GATEWAYS {
        let mut gateway = gateway_at(index, large_fleet_settings(), vec![endpoint(1, 0, 0)]);
        let mut actions = gateway.submit(1, SHORT, 60 * SECOND, 200 * MILLISECOND);
        let mut turns = 0;
        while complete_probes(&mut gateway, actions, 16.0).is_empty() {
            actions = gateway.advance(500 * MILLISECOND);
            turns += 1;
            assert!(turns < 60, "gateway {index} has no turn in half a minute");
        }
        waited += turns;
    }
    assert!(
        waited / u64::from(GATEWAYS) < 20,
        "mean wait of {} turns",
        waited / u64::from(GATEWAYS)
    );
}

#[test]
fn all_gateways_together_stay_within_the_slow_start_budget_and_use_it() {
    // One engine of 8 cores that starts now, and 300 gateways whose clocks differ by up to a
    // second.
    let mut settings = large_fleet_settings();
    settings.limits.may_probe = false;
    let offset = |index: u32| u64::from(index % 11) * 100 * MILLISECOND;
    let mut gateways: Vec<GatewayHarness> = (0..GATEWAYS)
        .map(|index| {
            let start = START_TIME + offset(index);
            let settings = Settings {
                gateway_index: index,
                ..settings.clone()
            };
            let entries = vec![endpoint(1, 0, start)];
            GatewayHarness::started_at(start, settings, entries, index.into())
        })
        .collect();
    let work = [0.2, 1.0];
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let (mut next, mut classes) = (0, Vec::new());
    for step in 0..400_u32 {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let mut actions = gateway.advance(20 * MILLISECOND);
            if (step + index as u32).is_multiple_of(25) {
                let class = u16::from(next % 6 == 5);
                classes.push(class);
                let hint = (work[usize::from(class)] * 1e9) as Nanos;
                actions.extend(gateway.submit(next, class, 15 * SECOND, hint));
                next += 1;
            }
            let at = f64::from(step) * 0.02;
            for (id, engine) in attempts_started(&actions) {
                sent.push((at, work[usize::from(classes[id as usize])]));
                gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 300 * MILLISECOND);
            }
        }
    }
    // Invariant 4: at most twice the engine's present capacity, over two seconds; at the start the
    // capacity is 0.3 of 6.4 cores.
    for &(from, _) in &sent {
        let sum: f64 = sent
            .iter()
            .filter(|(t, _)| *t >= from && *t < from + 2.0)
            .map(|(_, w)| w)
            .sum();
        let capacity_fraction = 0.3 + 0.7 * (from / 15.0) * (from / 15.0);
        assert!(
            sum <= 2.0 * 2.0 * capacity_fraction * 8.0 * 0.8,
            "{sum:.1} s of work in the two seconds from {from:.2}"
        );
    }
    let used: f64 = sent.iter().map(|(_, w)| w).sum();
    assert!(
        used > 1.0,
        "the new engine got {used:.1} s of work in eight seconds"
    );
}
