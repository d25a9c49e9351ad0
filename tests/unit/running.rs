//! The division of a concurrency limit between short and long queries.
use super::*;

fn running(short_threads: f64, long_threads: f64) -> Running {
    Running {
        queries: 1.0,
        threads: short_threads + long_threads,
        short_threads,
    }
}

#[test]
fn half_of_the_limit_is_reserved_for_short_queries() {
    let long_only = running(0.0, 10.0);
    assert!(long_only.fits(5.0, false, 10.0));
    assert!(!long_only.fits(6.0, false, 10.0));
}

#[test]
fn short_queries_may_fill_the_whole_limit() {
    assert!(running(9.0, 0.0).fits(1.0, false, 10.0));
    assert!(!running(10.0, 0.0).fits(1.0, false, 10.0));
}

#[test]
fn half_of_the_limit_is_reserved_for_long_queries() {
    let short_only = running(10.0, 0.0);
    assert!(short_only.fits(5.0, true, 10.0));
    assert!(!short_only.fits(6.0, true, 10.0));
}

#[test]
fn long_queries_borrow_idle_capacity_up_to_nine_tenths() {
    assert!(running(1.0, 0.0).fits(9.0, true, 10.0));
    assert!(!running(0.0, 0.0).fits(10.0, true, 10.0));
    assert!(
        !running(2.0, 0.0).fits(9.0, true, 10.0),
        "the capacity is not idle"
    );
}

#[test]
fn no_value_falls_below_zero() {
    let mut sum = running(1.0, 1.0);
    sum.add_scaled(running(2.0, 2.0), -1.0);
    assert_eq!(sum, Running::default());
}

#[test]
fn smooth_toward_moves_by_a_fraction_of_the_difference() {
    let mut mean = running(4.0, 0.0);
    mean.smooth_toward(running(0.0, 8.0), 0.25);
    assert_eq!(mean.threads, 5.0);
    assert_eq!(mean.short_threads, 3.0);
}
