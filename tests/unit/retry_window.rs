//! Invariant 7: the budget of retries over a sliding window.
use super::*;

const BUDGET: RetryBudget = RetryBudget {
    allowance: 1.0,
    ratio: 0.5,
    window: 100,
};

#[test]
fn without_a_budget_retries_are_not_limited() {
    let mut window = RetryWindow::default();
    for _ in 0..100 {
        window.record_retry(0);
    }
    assert!(window.allows_retry(0, None));
}

#[test]
fn each_arrival_adds_its_ratio_to_the_allowance() {
    let mut window = RetryWindow::default();
    window.record_retry(1_000);
    assert!(
        !window.allows_retry(1_000, Some(BUDGET)),
        "the allowance is one retry"
    );

    window.record_arrival(1_000);
    assert!(
        !window.allows_retry(1_000, Some(BUDGET)),
        "one arrival adds half a retry"
    );

    window.record_arrival(1_000);
    assert!(window.allows_retry(1_000, Some(BUDGET)));
}

#[test]
fn a_retry_counts_to_the_end_of_the_window_and_an_arrival_one_nanosecond_less() {
    let mut window = RetryWindow::default();
    window.record_retry(1_000);
    assert!(!window.allows_retry(1_100, Some(BUDGET)));
    assert!(window.allows_retry(1_101, Some(BUDGET)));

    window.record_arrival(1_000);
    window.record_arrival(1_000);
    assert!(window.allows_retry(1_099, Some(BUDGET)));
    assert!(!window.allows_retry(1_100, Some(BUDGET)));
}

#[test]
fn drop_before_removes_earlier_arrivals_and_retries() {
    let mut window = RetryWindow::default();
    for at in [10, 20, 30] {
        window.record_arrival(at);
        window.record_retry(at);
    }
    window.drop_before(20);
    assert_eq!(window.arrivals, [20, 30]);
    assert_eq!(window.retries, [20, 30]);
}
