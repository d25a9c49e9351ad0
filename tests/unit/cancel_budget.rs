//! The token bucket of cancellations and hedged requests.
use super::*;

#[test]
fn a_full_bucket_allows_its_capacity_and_no_more() {
    let mut budget = CancelBudget::new();
    for spent in 0..CAPACITY as u32 {
        assert!(budget.is_available(), "after {spent}");
        budget.spend();
    }
    assert!(!budget.is_available());
}

#[test]
fn requests_earn_a_tenth_of_a_token_each() {
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
fn neither_requests_nor_refunds_exceed_the_capacity() {
    let mut budget = CancelBudget::new();
    budget.record_request();
    budget.refund();
    assert_eq!(budget.tokens, CAPACITY);
}
