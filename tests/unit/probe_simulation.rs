//! The simulation of load probes shared through leases.
use super::*;

fn plan_without_leases() -> Plan {
    Plan {
        managers: 40,
        engines: 8,
        load_requests_per_second: 20.0,
        voters: 0,
        lease_timing: LeaseTiming::default(),
        stop_one_in: 0,
        seconds: 12,
        seed: 3,
    }
}

/// Guards against probes that grow with the number of managers: only the lease holder probes an
/// engine, and all managers receive the load in time. With a tenth of the managers stopped, engines
/// still receive fewer probes than without leases.
#[test]
fn leases_reduce_probes_even_when_some_managers_stop() {
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
        alone.probe_rate.mean > 90.0 && alone.shared_fraction == 0.0,
        "{alone:?}"
    );
    assert!(
        shared.probe_rate.mean < 12.0 && shared.shared_fraction > 0.95 && shared.owner_changes == 0,
        "{shared:?}"
    );
    assert!(shared.mean_wait_ms < 20.0, "{shared:?}");
    assert!(
        stopped.probe_rate.mean < alone.probe_rate.mean && stopped.owner_changes > 0,
        "{stopped:?}"
    );
    assert!(stopped.mean_wait_ms < 30.0, "{stopped:?}");
}
