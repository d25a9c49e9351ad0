//! Which further attempts of a request are permitted, depending on whether earlier ones may have
//! been executed.
use super::super::test_builders::in_flight_request;
use super::*;
use crate::clock::SEC;
use crate::policy::api::{CellId, DeduplicationScope, EngineId, RequestId, ZoneId};

const WINDOW: Micros = 20 * SEC;

fn with_key(scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey {
        scope,
        window: nanos(WINDOW),
    }
}

fn endpoint(id: u64, zone: u16, cell: u16) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..Endpoint::default()
    }
}

fn attempt_at(endpoint: Endpoint, attempt: u16) -> InFlightAttempt {
    InFlightAttempt {
        endpoint,
        attempt: AttemptNo(attempt),
        sent_at: SEC,
        deadline: SEC,
        cancel_reason: None,
    }
}

/// A request with one attempt in flight at this endpoint.
fn in_flight_at(
    endpoint: Endpoint,
    idempotency: Idempotency,
    max_concurrent_attempts: usize,
) -> InFlightRequest {
    InFlightRequest {
        attempts: vec![attempt_at(endpoint, 0)],
        attempts_started: 1,
        ..in_flight_request(idempotency, max_concurrent_attempts)
    }
}

/// A request whose only attempt ended and may have been executed at this endpoint.
fn possibly_executed_at(endpoint: Endpoint, idempotency: Idempotency) -> InFlightRequest {
    InFlightRequest {
        first_execution: Some(PossibleExecution {
            endpoint,
            sent_at: SEC,
        }),
        attempts_started: 1,
        ..in_flight_request(idempotency, 1)
    }
}

/// Guards against a second execution: a request that may have been executed is repeated only where
/// engines detect the duplicate, and only while they keep its key.
#[test]
fn a_repeat_is_permitted_only_within_the_scope_and_window_of_its_key() {
    let same = endpoint(1, 0, 0);
    let same_cell = endpoint(2, 0, 0);
    let same_zone = endpoint(3, 0, 1);
    let other_zone = endpoint(4, 1, 2);
    let permitted = |idempotency, now| {
        let request = possibly_executed_at(same, idempotency);
        [same, same_cell, same_zone, other_zone].map(|to| request.may_start_attempt(now, &to))
    };
    let within_window = SEC + WINDOW - MS;
    let after_window = SEC + WINDOW;

    assert_eq!(
        permitted(with_key(DeduplicationScope::All), within_window),
        [true; 4]
    );
    assert_eq!(
        permitted(with_key(DeduplicationScope::Zone), within_window),
        [true, true, true, false]
    );
    assert_eq!(
        permitted(with_key(DeduplicationScope::Cell), within_window),
        [true, true, false, false]
    );
    assert_eq!(
        permitted(with_key(DeduplicationScope::All), after_window),
        [false; 4]
    );
    assert_eq!(
        permitted(Idempotency::NonIdempotent, within_window),
        [false; 4]
    );
    assert_eq!(permitted(Idempotency::Idempotent, after_window), [true; 4]);
}

#[test]
fn a_hedged_attempt_is_started_at_another_engine() {
    let first = endpoint(1, 0, 0);
    let second = endpoint(2, 0, 0);

    let idempotent = in_flight_at(first, Idempotency::Idempotent, 2);
    assert!(idempotent.may_start_attempt(SEC, &second));
    assert!(!idempotent.may_start_attempt(SEC, &first));
    let keyed = in_flight_at(first, with_key(DeduplicationScope::All), 2);
    assert!(keyed.may_start_attempt(SEC, &second));
    assert!(
        !keyed.may_start_attempt(SEC + WINDOW, &second),
        "an attempt in flight may have been executed"
    );
    let non_idempotent = in_flight_at(first, Idempotency::NonIdempotent, 2);
    assert!(!non_idempotent.may_start_attempt(SEC, &second));
    let without_hedging = in_flight_at(first, Idempotency::Idempotent, 1);
    assert!(!without_hedging.may_start_attempt(SEC, &second));
}

#[test]
fn a_cancelled_attempt_counts_until_its_result_arrives() {
    let first = endpoint(1, 0, 0);
    let second = endpoint(2, 0, 0);
    let third = endpoint(3, 0, 0);
    let mut request = in_flight_at(first, Idempotency::Idempotent, 2);
    request.attempts.push(attempt_at(second, 1));
    assert!(!request.may_start_attempt(SEC, &third));

    request.attempts[0].cancel_reason = Some(Termination::Cancelled);
    assert!(!request.may_start_attempt(SEC, &third));
    assert!(request.has_attempt_deadline(SEC));

    assert!(request.remove_attempt(AttemptNo(0)).is_some());
    assert!(request.remove_attempt(AttemptNo(0)).is_none());
    assert!(request.may_start_attempt(SEC, &third));
    assert!(!request.may_start_attempt(SEC, &second));
}

#[test]
fn no_attempt_is_started_after_the_last_permitted_one_or_the_final_response() {
    let to = endpoint(1, 0, 0);
    let exhausted = InFlightRequest {
        attempts_started: 5,
        ..in_flight_request(Idempotency::Idempotent, 2)
    };
    let closed = InFlightRequest {
        closed: true,
        ..in_flight_request(Idempotency::Idempotent, 2)
    };

    assert!(!exhausted.may_start_attempt(SEC, &to));
    assert!(!closed.may_start_attempt(SEC, &to));
}

/// Guards the guarantee that the client may safely retry a rejected request.
#[test]
fn a_request_that_may_have_been_executed_is_rejected_only_if_a_retry_is_harmless() {
    let at = endpoint(1, 0, 0);
    for (idempotency, retry_is_harmless) in [
        (Idempotency::Idempotent, true),
        (with_key(DeduplicationScope::All), true),
        (with_key(DeduplicationScope::Zone), false),
        (with_key(DeduplicationScope::Cell), false),
        (Idempotency::NonIdempotent, false),
    ] {
        let not_executed = in_flight_request(idempotency, 2);
        let possibly_executed = possibly_executed_at(at, idempotency);
        let in_flight = in_flight_at(at, idempotency, 2);

        let harmless_without_keys = idempotency == Idempotency::Idempotent;
        for (engines_use_keys, retry_is_harmless) in
            [(true, retry_is_harmless), (false, harmless_without_keys)]
        {
            let may_reject = [&not_executed, &possibly_executed, &in_flight]
                .map(|request| request.may_reject(engines_use_keys));
            assert_eq!(
                may_reject,
                [true, retry_is_harmless, retry_is_harmless],
                "{idempotency:?}, engines use keys: {engines_use_keys}"
            );
        }
    }
}

/// Guards against a second execution on an engine that is not sent idempotency keys: neither it nor
/// any other engine recognizes the duplicate.
#[test]
fn a_request_with_a_key_runs_once_on_engines_without_keys() {
    let with_keys = endpoint(1, 0, 0);
    let without_keys = Endpoint {
        ignores_idempotency_keys: true,
        ..endpoint(2, 0, 0)
    };
    let idempotency = with_key(DeduplicationScope::All);
    let may_start = |first: Endpoint, next: Endpoint| {
        let retried = possibly_executed_at(first, idempotency);
        let hedged = in_flight_at(first, idempotency, 2);
        [&retried, &hedged].map(|request| request.may_start_attempt(2 * SEC, &next))
    };
    let other_with_keys = endpoint(3, 0, 0);

    assert_eq!(may_start(with_keys, other_with_keys), [true, true]);
    assert_eq!(may_start(with_keys, without_keys), [false, false]);
    assert_eq!(may_start(without_keys, with_keys), [false, false]);

    let message = |endpoint: &Endpoint| {
        let request = InFlightRequest {
            request: ClientRequest {
                idempotency_key: Some("key".into()),
                ..in_flight_request(idempotency, 1).request
            },
            ..in_flight_request(idempotency, 1)
        };
        let attempt = AttemptId {
            request: RequestId(1),
            attempt: AttemptNo(0),
        };
        let message = request.attempt_request(attempt, endpoint, "load".into(), SEC);
        (message.must_not_repeat, message.idempotency_key.is_some())
    };
    assert_eq!(message(&with_keys), (false, true));
    assert_eq!(message(&without_keys), (true, false));
}

/// Guards against a second execution by a retry that ends after engines discard its key.
#[test]
fn the_idempotency_window_starts_with_the_first_possible_execution() {
    let at = endpoint(1, 0, 0);
    let window_end = |idempotency| possibly_executed_at(at, idempotency).idempotency_window_end();

    assert_eq!(
        window_end(with_key(DeduplicationScope::All)),
        Some(SEC + WINDOW)
    );
    assert_eq!(window_end(Idempotency::Idempotent), None);
    assert_eq!(window_end(Idempotency::NonIdempotent), None);
    let not_executed = in_flight_request(with_key(DeduplicationScope::All), 1);
    assert_eq!(not_executed.idempotency_window_end(), None);
}
