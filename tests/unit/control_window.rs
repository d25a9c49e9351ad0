//! Formula (5) of the control law, applied to single windows.
use super::*;

/// A window of two seconds in which four threads ran, with the given mean lateness, arrivals and
/// completions.
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
fn responses_at_the_objective_give_the_threads_that_ran_as_target() {
    let target = window(1.0, 20.0, 10.0).target_threads(2.0);
    assert!((target - 4.0).abs() < 1e-12, "{target}");
}

#[test]
fn late_responses_lower_the_target_while_more_queries_arrive_than_complete() {
    let window = window(1.5, 20.0, 10.0);
    // Ti - To is 5 queries per second: 4 / (1 + 0.5 / 5).
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
fn a_small_imbalance_counts_as_the_minimum_one() {
    let window = window(1.5, 10.1, 10.0);
    // 4 / (1 + 0.5 / 1) instead of a division by 0.05.
    let target = window.target_threads(2.0);
    assert!((target - 4.0 / 1.5).abs() < 1e-12, "{target}");
}

#[test]
fn the_limit_may_decrease_only_with_late_responses_and_a_growing_queue() {
    assert!(
        !window(0.9, 20.0, 10.0).allows_decrease(),
        "responses are on time"
    );
    assert!(
        !window(1.5, 10.0, 20.0).allows_decrease(),
        "the queue shrinks"
    );
}

#[test]
fn add_scaled_scales_counts_but_not_lateness() {
    let mut sum = ControlWindow::default();
    sum.add_scaled(&window(1.5, 20.0, 10.0), 0.5);
    assert_eq!(sum.thread_seconds, 4.0);
    assert_eq!(sum.arrived, 10.0);
    assert_eq!(sum.completed, 5.0);
    assert_eq!(sum.lateness, 1.5);
    assert_eq!(sum.samples, 1.0);
}
