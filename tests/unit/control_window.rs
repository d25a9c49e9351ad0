//! Formula (5) on single windows.
use super::*;

/// Two seconds in which four threads ran, with the given mean lateness, arrivals and completions.
fn window(lateness: f64, arrived: f64, completed: f64) -> ControlWindow {
    let mut window = ControlWindow {
        arrived,
        completed,
        ..ControlWindow::default()
    };
    let running = Running {
        queries: 4.0,
        threads: 4.0,
        short_threads: 4.0,
    };
    window.integrate(&running, 2.0);
    window.record_lateness(lateness);
    window
}

#[test]
fn answers_on_time_ask_for_the_threads_that_ran() {
    let target = window(1.0, 20.0, 10.0).target_threads(2.0);
    assert!((target - 4.0).abs() < 1e-12, "{target}");
}

#[test]
fn late_answers_while_more_arrives_than_completes_ask_for_less() {
    let window = window(1.5, 20.0, 10.0);
    // Ti - To is 5 queries a second: 4 / (1 + 0.5 / 5).
    let target = window.target_threads(2.0);
    assert!((target - 4.0 / 1.1).abs() < 1e-12, "{target}");
    assert!(window.allows_decrease());
}

#[test]
fn the_target_stays_within_half_and_twice_the_threads_that_ran() {
    let halved = window(100.0, 20.0, 10.0).target_threads(2.0);
    let doubled = window(100.0, 10.0, 20.0).target_threads(2.0);
    assert_eq!(halved, 2.0);
    assert_eq!(doubled, 8.0);
}

#[test]
fn a_small_imbalance_counts_as_the_least_one() {
    let window = window(1.5, 10.1, 10.0);
    // 4 / (1 + 0.5 / 1) in place of a division by 0.05.
    let target = window.target_threads(2.0);
    assert!((target - 4.0 / 1.5).abs() < 1e-12, "{target}");
}

#[test]
fn the_limit_may_fall_only_for_late_answers_and_growing_queues() {
    assert!(!window(0.9, 20.0, 10.0).allows_decrease(), "in time");
    assert!(
        !window(1.5, 10.0, 20.0).allows_decrease(),
        "shrinking queue"
    );
}

#[test]
fn adding_windows_scales_counts_but_not_lateness() {
    let mut sum = ControlWindow::default();
    sum.add_scaled(&window(1.5, 20.0, 10.0), 0.5);
    assert_eq!(sum.thread_seconds, 4.0);
    assert_eq!(sum.arrived, 10.0);
    assert_eq!(sum.completed, 5.0);
    assert_eq!(sum.lateness, 1.5);
    assert_eq!(sum.samples, 1.0);
}
