//! Invariant 2 on single requests: when they may be repeated or rejected.
use super::*;
use crate::policy::api::{CellId, ZoneId};

const SENT_AT: Nanos = 1_000;
const WINDOW: Nanos = 100;

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey {
        scope,
        window: WINDOW,
    }
}

fn endpoint(zone: u16, cell: u16) -> Endpoint {
    Endpoint {
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..Endpoint::default()
    }
}

fn targets(first: Endpoint, next: Endpoint) -> Option<RepeatTargets> {
    Some(RepeatTargets { first, next })
}

#[test]
fn a_keyed_request_may_be_repeated_only_within_the_window_of_its_key() {
    let late = SENT_AT + 10 * WINDOW;
    assert!(may_repeat(Idempotency::Idempotent, SENT_AT, None, late));
    assert!(!may_repeat(
        Idempotency::NonIdempotent,
        SENT_AT,
        None,
        SENT_AT
    ));
    let last = SENT_AT + WINDOW - 1;
    assert!(may_repeat(
        keyed(DeduplicationScope::Cell),
        SENT_AT,
        None,
        last
    ));
    assert!(!may_repeat(
        keyed(DeduplicationScope::Cell),
        SENT_AT,
        None,
        last + 1
    ));
}

#[test]
fn a_keyed_request_may_be_repeated_only_on_engines_that_detect_its_duplicates() {
    let same_zone = targets(endpoint(1, 1), endpoint(1, 2));
    let same_cell = targets(endpoint(1, 1), endpoint(2, 1));
    let other_zone_and_cell = targets(endpoint(1, 1), endpoint(2, 2));
    let allowed = |scope, targets| may_repeat(keyed(scope), SENT_AT, targets, SENT_AT);
    assert!(allowed(DeduplicationScope::All, other_zone_and_cell));
    assert!(allowed(DeduplicationScope::Zone, same_zone));
    assert!(!allowed(DeduplicationScope::Zone, same_cell));
    assert!(allowed(DeduplicationScope::Cell, same_cell));
    assert!(!allowed(DeduplicationScope::Cell, same_zone));
}

#[test]
fn a_request_that_may_have_run_is_rejected_only_if_any_engine_may_repeat_it() {
    let all = [
        (Idempotency::Idempotent, true),
        (keyed(DeduplicationScope::All), true),
        (keyed(DeduplicationScope::Zone), false),
        (keyed(DeduplicationScope::Cell), false),
        (Idempotency::NonIdempotent, false),
    ];
    for (idempotency, is_allowed) in all {
        assert!(may_reject(idempotency, false), "{idempotency:?} never ran");
        assert_eq!(may_reject(idempotency, true), is_allowed, "{idempotency:?}");
    }
}
