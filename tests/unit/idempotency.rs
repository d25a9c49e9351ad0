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
    Some(RepeatTargets {
        first,
        next: Some(next),
    })
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
        let never_ran = may_reject(idempotency, false, true);
        assert!(never_ran, "{idempotency:?} never ran");
        let may_have_run = may_reject(idempotency, true, true);
        assert_eq!(may_have_run, is_allowed, "{idempotency:?}");
    }
}

/// Guards against a second execution: an engine that ignores idempotency keys neither records the
/// key of the first attempt nor recognizes the repeat.
#[test]
fn a_keyed_request_is_neither_repeated_nor_rejected_around_engines_that_ignore_keys() {
    let keyed = keyed(DeduplicationScope::All);
    let with_keys = endpoint(1, 1);
    let without_keys = Endpoint {
        ignores_idempotency_keys: true,
        ..with_keys
    };
    let first_of = |first, next| Some(RepeatTargets { first, next });
    let allowed = |targets| may_repeat(keyed, SENT_AT, targets, SENT_AT);
    assert!(allowed(first_of(with_keys, None)));
    assert!(allowed(targets(with_keys, with_keys)));
    assert!(!allowed(first_of(without_keys, None)));
    assert!(!allowed(targets(without_keys, with_keys)));
    assert!(!allowed(targets(with_keys, without_keys)));
    assert!(may_repeat(
        Idempotency::Idempotent,
        SENT_AT,
        targets(without_keys, without_keys),
        SENT_AT
    ));

    assert!(use_idempotency_keys(&[with_keys, with_keys]));
    assert!(!use_idempotency_keys(&[with_keys, without_keys]));
    assert!(may_reject(keyed, false, false), "it never ran");
    assert!(!may_reject(keyed, true, false));
    assert!(may_reject(Idempotency::Idempotent, true, false));
}
