//! The simulation of shared probes.
use super::*;

fn plan_without_leases() -> Plan {
    Plan {
        managers: 40,
        engines: 8,
        loads_wanted_per_second: 20.0,
        voters: 0,
        lease_timing: LeaseTiming::default(),
        stop_one_in: 0,
        seconds: 12,
        seed: 3,
    }
}

/// An engine is probed by its lease holder alone however many managers want its load, and all get
/// it in time. With managers stopped the engines are still probed less than without leases.
#[test]
fn lease_holders_spare_engines_most_probes_even_when_some_stop() {
    let without_leases = plan_without_leases();
    let with_leases = Plan {
        voters: 5,
        ..without_leases.clone()
    };
    let with_stops = Plan {
        stop_one_in: 10,
        ..with_leases.clone()
    };

    let alone = measure(&without_leases, "");
    let shared = measure(&with_leases, "");
    let stopped = measure(&with_stops, "");

    assert!(
        alone.probe_rate.mean > 90.0 && alone.spared == 0.0,
        "{alone:?}"
    );
    assert!(
        shared.probe_rate.mean < 12.0 && shared.spared > 0.95 && shared.owner_changes == 0,
        "{shared:?}"
    );
    assert!(shared.mean_wait_ms < 20.0, "{shared:?}");
    assert!(
        stopped.probe_rate.mean < alone.probe_rate.mean && stopped.owner_changes > 0,
        "{stopped:?}"
    );
    assert!(stopped.mean_wait_ms < 30.0, "{stopped:?}");
}
