//! Estimates for a class, updated by responses.
use super::*;
use crate::policy_builders::{SECOND, class};

fn sample(latency: f64, work: f64) -> ResponseSample {
    ResponseSample {
        latency,
        unloaded_seconds: 1.0,
        work,
        counts_as_work: true,
        compared_hint: None,
    }
}

#[test]
fn the_initial_work_is_the_fixed_latency_objective_on_all_threads() {
    let class = ClassSpec {
        threads: 4.0,
        ..class()
    };
    let estimates = ClassEstimates::initial(&class);
    assert_eq!(estimates.work, 4.0);
    assert_eq!(estimates.expected_work(None), 4.0);
    assert_eq!(estimates.expected_work(Some(SECOND / 2)), 0.5);
}

#[test]
fn the_first_response_replaces_the_initial_work() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(sample(1.0, 0.25));
    assert_eq!(estimates.work, 0.25);
}

#[test]
fn work_that_does_not_count_leaves_the_estimate_unchanged() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(ResponseSample {
        counts_as_work: false,
        ..sample(1.0, 0.25)
    });
    assert_eq!(estimates.work, 1.0);
    assert_eq!(estimates.samples, 1);
}

#[test]
fn hints_are_scaled_by_the_mean_ratio_of_work_to_hint() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(ResponseSample {
        compared_hint: Some(SECOND),
        ..sample(1.0, 3.0)
    });
    assert!((estimates.expected_work(Some(SECOND)) - 3.0).abs() < 1e-12);
}

#[test]
fn the_tail_factor_rises_for_a_latency_above_it_and_falls_slowly_for_one_below() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(sample(100.0, 1.0));
    let rise = estimates.tail_factor / INITIAL_TAIL_FACTOR;
    assert!((rise - 1.19).abs() < 1e-12, "{rise}");

    let before = estimates.tail_factor;
    estimates.record(sample(1.0, 1.0));
    let fall = estimates.tail_factor / before;
    assert!((fall - 0.99).abs() < 1e-12, "{fall}");
}

#[test]
fn the_latency_objective_grows_with_the_work_per_thread() {
    let class = ClassSpec {
        threads: 2.0,
        ..class()
    };
    assert_eq!(latency_objective(&class, 3.0), 1.0 + 2.0 * 3.0 / 2.0);
}
