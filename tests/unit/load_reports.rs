//! Latest load reports of the fleet, and probes in flight.
use super::*;

#[test]
fn engines_with_the_latest_reports_are_listed_once_newest_first() {
    let mut reports = LoadReports::new();
    for id in [1, 2, 1, 3] {
        reports.record(EngineId(id), 1.0, 2);
    }
    assert_eq!(*reports.recent(), [EngineId(3), EngineId(1)]);

    reports.retain(|id| id == EngineId(1));
    assert_eq!(*reports.recent(), [EngineId(1)]);
}

#[test]
fn reported_threads_per_core_are_smoothed() {
    let mut reports = LoadReports::new();
    reports.record(EngineId(1), 2.0, 6);
    assert!((reports.threads_per_core() - 0.2).abs() < 1e-12);
}

#[test]
fn probes_are_in_flight_until_each_is_finished() {
    let mut reports = LoadReports::new();
    reports.start_probes(5, 2);
    assert_eq!(reports.last_probe_at(), 5);
    reports.finish_probe();
    assert!(reports.are_probes_in_flight());
    reports.finish_probe();
    assert!(!reports.are_probes_in_flight());
    reports.finish_probe();
    assert!(
        !reports.are_probes_in_flight(),
        "an extra result is ignored"
    );
}
