//! What answers teach of a class.
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
fn before_any_answer_the_latency_objective_on_all_threads_is_the_work() {
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
fn the_first_answer_replaces_the_assumed_work() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(sample(1.0, 0.25));
    assert_eq!(estimates.work, 0.25);
}

#[test]
fn work_that_may_not_count_is_left_out() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(ResponseSample {
        counts_as_work: false,
        ..sample(1.0, 0.25)
    });
    assert_eq!(estimates.work, 1.0);
    assert_eq!(estimates.samples, 1);
}

#[test]
fn hints_are_scaled_by_how_far_they_were_off() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(ResponseSample {
        compared_hint: Some(SECOND),
        ..sample(1.0, 3.0)
    });
    assert!((estimates.expected_work(Some(SECOND)) - 3.0).abs() < 1e-12);
}

#[test]
fn the_tail_rises_beyond_it_and_falls_slowly_within() {
    let mut estimates = ClassEstimates::initial(&class());
    estimates.record(sample(100.0, 1.0));
    let risen = estimates.tail_factor / INITIAL_TAIL_FACTOR;
    assert!((risen - 1.19).abs() < 1e-12, "{risen}");

    let before = estimates.tail_factor;
    estimates.record(sample(1.0, 1.0));
    let fallen = estimates.tail_factor / before;
    assert!((fallen - 0.99).abs() < 1e-12, "{fallen}");
}

#[test]
fn the_objective_grows_with_the_work_per_thread() {
    let class = ClassSpec {
        threads: 2.0,
        ..class()
    };
    assert_eq!(latency_objective(&class, 3.0), 1.0 + 2.0 * 3.0 / 2.0);
}
