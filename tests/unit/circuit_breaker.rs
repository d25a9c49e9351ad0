//! States of the circuit breaker of one engine: ejection, trial request and recovery.
use super::*;

const MILLISECOND: Nanos = 1_000_000;
const TRIAL: RequestId = RequestId(7);

/// A breaker that is half-open after its first ejection, and the time at which that ejection ended.
fn half_open() -> (CircuitBreaker, Nanos) {
    let mut breaker = CircuitBreaker::default();
    breaker.eject(0);
    breaker.expire(BASE_EJECTION);
    (breaker, BASE_EJECTION)
}

#[test]
fn the_circuit_becomes_half_open_when_the_ejection_ends_and_not_earlier() {
    let mut breaker = CircuitBreaker::default();
    breaker.eject(0);
    breaker.expire(BASE_EJECTION - 1);
    assert_eq!(breaker.open_until(), Some(BASE_EJECTION));
    breaker.expire(BASE_EJECTION);
    assert!(breaker.awaits_trial());
    assert!(breaker.open_until().is_none());
}

#[test]
fn ejection_times_double_up_to_eight_times_the_first() {
    let mut breaker = CircuitBreaker::default();
    let durations = [1, 2, 4, 8, 8].map(|factor| factor * BASE_EJECTION);
    for duration in durations {
        breaker.eject(0);
        assert_eq!(breaker.open_until(), Some(duration));
    }
    assert_eq!(breaker.ejections(), 5);
}

#[test]
fn only_the_first_request_while_half_open_is_the_trial() {
    let (mut breaker, _) = half_open();
    breaker.on_send(TRIAL);
    breaker.on_send(RequestId(8));
    assert!(breaker.is_trial(TRIAL));
    assert!(!breaker.is_trial(RequestId(8)));

    breaker.retry_trial();
    assert!(
        breaker.awaits_trial(),
        "another trial follows an inconclusive one"
    );

    breaker.close();
    assert!(breaker.is_closed());
}

#[test]
fn a_request_sent_while_the_circuit_is_closed_is_no_trial() {
    let mut breaker = CircuitBreaker::default();
    breaker.on_send(TRIAL);
    assert!(breaker.is_closed());
    assert!(!breaker.is_trial(TRIAL));
}

#[test]
fn three_failures_in_a_row_mark_an_outlier_and_an_ejection_resets_the_failure_rate() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..2 {
        breaker.record_outcome(true, 0.2);
        assert!(!breaker.is_failing());
    }
    breaker.record_outcome(true, 0.2);
    assert!(breaker.is_failing());

    breaker.eject(0);
    assert!(!breaker.is_failing());
}

#[test]
fn resets_within_the_window_of_a_counted_reset_are_repeated() {
    let mut breaker = CircuitBreaker::default();
    let window = 20 * MILLISECOND;
    let reset_at = 100 * MILLISECOND;
    breaker.record_reset(reset_at);
    assert!(breaker.is_repeated_reset(reset_at + window - 1, window));
    assert!(!breaker.is_repeated_reset(reset_at + window, window));
}
