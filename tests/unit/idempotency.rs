//! Rule 2 on single requests.
use super::*;
use crate::policy::api::{CellId, ZoneId};

const SENT: Nanos = 1_000;
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
fn only_the_window_of_a_key_limits_when_it_is_repeated() {
    let late = SENT + 10 * WINDOW;
    assert!(may_repeat(Idempotency::Idempotent, SENT, None, late));
    assert!(!may_repeat(Idempotency::NonIdempotent, SENT, None, SENT));
    let last = SENT + WINDOW - 1;
    assert!(may_repeat(
        keyed(DeduplicationScope::Cell),
        SENT,
        None,
        last
    ));
    assert!(!may_repeat(
        keyed(DeduplicationScope::Cell),
        SENT,
        None,
        last + 1
    ));
}

#[test]
fn a_keyed_request_is_repeated_only_where_its_key_is_known() {
    let same_zone = targets(endpoint(1, 1), endpoint(1, 2));
    let same_cell = targets(endpoint(1, 1), endpoint(2, 1));
    let elsewhere = targets(endpoint(1, 1), endpoint(2, 2));
    let allowed = |scope, targets| may_repeat(keyed(scope), SENT, targets, SENT);
    assert!(allowed(DeduplicationScope::All, elsewhere));
    assert!(allowed(DeduplicationScope::Zone, same_zone));
    assert!(!allowed(DeduplicationScope::Zone, same_cell));
    assert!(allowed(DeduplicationScope::Cell, same_cell));
    assert!(!allowed(DeduplicationScope::Cell, same_zone));
}

#[test]
fn what_may_have_run_is_rejected_only_if_any_engine_may_repeat_it() {
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
