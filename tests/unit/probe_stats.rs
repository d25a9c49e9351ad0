//! Relative delays of load probes.
use super::*;

#[test]
fn the_first_probe_of_a_route_sets_its_baseline() {
    let mut stats = ProbeStats::new();
    assert_eq!(stats.record(ProbeRoute::SameZone, 0.001), 0.0);
    assert_eq!(stats.record(ProbeRoute::CrossZone, 0.010), 0.0);
}

#[test]
fn the_usual_delay_is_at_least_a_quarter_of_the_baseline() {
    let mut stats = ProbeStats::new();
    stats.record(ProbeRoute::SameZone, 0.004);
    let relative_delay = stats.record(ProbeRoute::SameZone, 0.006);
    // A delay of 2 ms relative to 1 ms; the baseline has risen by a thousandth.
    assert!((relative_delay - 2.0).abs() < 0.01, "{relative_delay}");
}

#[test]
fn the_relative_delay_falls_as_a_delay_becomes_usual() {
    let mut stats = ProbeStats::new();
    stats.record(ProbeRoute::SameZone, 0.001);
    let first = stats.record(ProbeRoute::SameZone, 0.003);
    let mut last = first;
    for _ in 0..50 {
        last = stats.record(ProbeRoute::SameZone, 0.003);
    }
    assert!(last < first / 4.0, "{first} to {last}");
}
