//! Simulates the probes of a fleet, with and without a lease holder for each engine: the state
//! machines of [`crate::lease`] of many managers on a simulated network. The same seed gives the
//! same figures.
mod fleet;
mod manager;
mod report;

pub use report::{Figures, ProbeRate, TrafficRate, table};

use crate::clock::{Micros, SEC};
use crate::lease::LeaseTiming;
use fleet::SimulatedFleet;

/// How long the fleet runs before anything is measured.
const WARM_UP_MICROS: Micros = 10 * SEC;
/// How long each case of [`compare`] is measured, in seconds.
const COMPARED_SECONDS: u64 = 40;
/// The voters in the cases of [`compare`] with leases.
const COMPARED_VOTERS: usize = 5;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The managers.
    pub managers: usize,
    /// The engines.
    pub engines: u64,
    /// How often a second the decision module of each manager wants the load of some engine.
    pub loads_wanted_per_second: f64,
    /// The voters; with 0 there are no leases, and each manager probes the engines itself.
    pub voters: usize,
    /// The timing of leases.
    pub lease_timing: LeaseTiming,
    /// One manager in this many is stopped halfway through; with 0 none is.
    pub stop_one_in: usize,
    /// How long the fleet is measured after the warm-up, in seconds.
    pub seconds: u64,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// Simulates a fleet.
pub fn measure(plan: &Plan, case: &str) -> Figures {
    let half = plan.seconds * SEC / 2;
    let mut fleet = SimulatedFleet::new(plan.clone());
    fleet.run_until(WARM_UP_MICROS);
    fleet.start_measuring();
    fleet.run_until(WARM_UP_MICROS + half);
    if plan.stop_one_in > 0 {
        fleet.stop_managers();
        // The stopped managers are still asked until the membership has found them dead.
        let detection = plan.seconds * SEC / 4;
        fleet.run_until(WARM_UP_MICROS + half + detection);
        fleet.update_preferred_owners();
    }
    fleet.run_until(WARM_UP_MICROS + 2 * half);
    Figures::new(plan, case, fleet.totals())
}

/// Simulates fleets of these sizes, each without leases, with them, and with one manager in ten
/// stopped halfway.
pub fn compare(
    sizes: &[usize],
    engines: u64,
    loads_wanted_per_second: f64,
    seed: u64,
) -> Vec<Figures> {
    let mut figures = Vec::new();
    for managers in sizes {
        let without_leases = Plan {
            managers: *managers,
            engines,
            loads_wanted_per_second,
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
        figures.push(measure(&without_leases, "each asks itself"));
        figures.push(measure(&with_leases, "one owner an engine"));
        let case = "the same, one manager in ten stopped";
        figures.push(measure(&with_stops, case));
    }
    figures
}

#[cfg(test)]
#[path = "../../../tests/unit/probe_simulation.rs"]
mod tests;
