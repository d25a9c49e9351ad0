//! Simulates the load probes of a fleet, with and without a lease for each engine: the state
//! machines of [`crate::lease`] of many managers on a simulated network. The same seed gives the
//! same results.
mod fleet;
mod manager;
mod report;

pub use report::{ProbeMeasurements, ProbeRate, TrafficRate, table};

use crate::clock::{Micros, SEC};
use crate::lease::LeaseTiming;
use fleet::SimulatedFleet;

/// How long the fleet runs before the measurement starts.
const WARM_UP_MICROS: Micros = 10 * SEC;
/// The duration of the measurement of each case of [`compare`], in seconds.
const COMPARED_SECONDS: u64 = 40;
/// The number of voters in the cases of [`compare`] with leases.
const COMPARED_VOTERS: usize = 5;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of managers.
    pub managers: usize,
    /// The number of engines.
    pub engines: u64,
    /// The mean rate at which the decision module of each manager requests the load of a random
    /// engine, per second.
    pub load_requests_per_second: f64,
    /// The number of voters; with 0 there are no leases, and each manager probes the engines
    /// itself.
    pub voters: usize,
    /// The timing of leases.
    pub lease_timing: LeaseTiming,
    /// One in this many of the managers that are not voters is stopped halfway through the
    /// measurement; with 0 none is.
    pub stop_one_in: usize,
    /// The duration of the measurement after the warm-up, in seconds.
    pub seconds: u64,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// Simulates a fleet and returns its measurements, labeled with `case`.
pub fn measure(plan: &Plan, case: &str) -> ProbeMeasurements {
    let half = plan.seconds * SEC / 2;
    let mut fleet = SimulatedFleet::new(plan.clone());
    fleet.run_until(WARM_UP_MICROS);
    fleet.start_measuring();
    fleet.run_until(WARM_UP_MICROS + half);
    if plan.stop_one_in > 0 {
        fleet.stop_managers();
        // Stopped managers remain preferred owners and are sent requests until the membership
        // protocol declares them dead, which is assumed to take a quarter of the measurement.
        let detection = plan.seconds * SEC / 4;
        fleet.run_until(WARM_UP_MICROS + half + detection);
        fleet.update_preferred_owners();
    }
    fleet.run_until(WARM_UP_MICROS + 2 * half);
    ProbeMeasurements::new(plan, case, fleet.totals())
}

/// Simulates a fleet of each size: without leases, with leases, and with leases while one manager
/// in ten is stopped halfway.
pub fn compare(
    sizes: &[usize],
    engines: u64,
    load_requests_per_second: f64,
    seed: u64,
) -> Vec<ProbeMeasurements> {
    let mut measurements = Vec::new();
    for managers in sizes {
        let without_leases = Plan {
            managers: *managers,
            engines,
            load_requests_per_second,
            voters: 0,
            lease_timing: LeaseTiming::default(),
            stop_one_in: 0,
            seconds: COMPARED_SECONDS,
            seed,
        };
        let with_leases = Plan {
            voters: COMPARED_VOTERS,
            ..without_leases.clone()
        };
        let with_stops = Plan {
            stop_one_in: 10,
            ..with_leases.clone()
        };
        measurements.push(measure(&without_leases, "each asks itself"));
        measurements.push(measure(&with_leases, "one owner an engine"));
        let case = "the same, one manager in ten stopped";
        measurements.push(measure(&with_stops, case));
    }
    measurements
}

#[cfg(test)]
#[path = "../../../tests/unit/probe_simulation.rs"]
mod tests;
