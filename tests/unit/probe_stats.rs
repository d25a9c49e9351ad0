//! Delays of load probes.
use super::*;

#[test]
fn the_first_probe_of_a_route_sets_its_baseline() {
    let mut stats = ProbeStats::new();
    assert_eq!(stats.record(ProbeRoute::SameZone, 0.001), 0.0);
    assert_eq!(stats.record(ProbeRoute::CrossZone, 0.010), 0.0);
}

#[test]
fn a_delay_is_measured_against_a_quarter_of_the_baseline_at_least() {
    let mut stats = ProbeStats::new();
    stats.record(ProbeRoute::SameZone, 0.004);
    let relative_delay = stats.record(ProbeRoute::SameZone, 0.006);
    // 2 ms of delay over 1 ms, with the baseline risen by a thousandth.
    assert!((relative_delay - 2.0).abs() < 0.01, "{relative_delay}");
}

#[test]
fn delays_that_are_usual_count_less_with_time() {
    let mut stats = ProbeStats::new();
    stats.record(ProbeRoute::SameZone, 0.001);
    let first = stats.record(ProbeRoute::SameZone, 0.003);
    let mut last = first;
    for _ in 0..50 {
        last = stats.record(ProbeRoute::SameZone, 0.003);
    }
    assert!(last < first / 4.0, "{first} to {last}");
}
