//! The token bucket that limits cancellations and hedged attempts.
use super::*;

#[test]
fn a_full_bucket_allows_as_many_spends_as_its_capacity() {
    let mut budget = CancelBudget::new();
    for spent in 0..CAPACITY as u32 {
        assert!(budget.is_available(), "after {spent}");
        budget.spend();
    }
    assert!(!budget.is_available());
}

#[test]
fn each_request_adds_a_tenth_of_a_token() {
    let mut budget = CancelBudget { tokens: 0.0 };
    for _ in 0..9 {
        budget.record_request();
    }
    assert!(!budget.is_available());
    for _ in 0..2 {
        budget.record_request();
    }
    assert!(budget.is_available());
}

#[test]
fn requests_and_refunds_do_not_exceed_the_capacity() {
    let mut budget = CancelBudget::new();
    budget.record_request();
    budget.refund();
    assert_eq!(budget.tokens, CAPACITY);
}
