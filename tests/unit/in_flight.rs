//! What the ledger allows next, by what a request's attempts have done so far.
use super::*;
use crate::clock::{MS, SEC};
use crate::policy::api::{CellId, DeduplicationScope, EngineId, ZoneId};

const WINDOW: Micros = 20 * SEC;

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey {
        scope,
        window: nanos(WINDOW),
    }
}

fn engine(id: u64, zone: u16, cell: u16) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..Endpoint::default()
    }
}

fn open(effect: Idempotency, copies: usize) -> InFlightRequest {
    InFlightRequest::new(ClientRequest::default(), effect, 5, copies)
}

fn out(to: Endpoint, attempt: u16, sent_at: Micros) -> InFlightAttempt {
    InFlightAttempt {
        to,
        attempt: AttemptNo(attempt),
        sent_at,
        until: SEC,
        stopping: None,
    }
}

/// Guards rule 2: what may have run goes only where a repeat is known, and while it is.
#[test]
fn a_repeat_goes_only_where_engines_know_it() {
    let (here, cell, zone, far) = (
        engine(1, 0, 0),
        engine(2, 0, 0),
        engine(3, 0, 1),
        engine(4, 1, 2),
    );
    let goes = |effect, now| {
        let open = InFlightRequest {
            ran: Some(PossibleExecution {
                on: here,
                sent_at: SEC,
            }),
            attempts_started: 1,
            ..open(effect, 1)
        };
        [here, cell, zone, far].map(|to| open.may_send(now, &to))
    };
    let (within, past) = (SEC + WINDOW - MS, SEC + WINDOW);
    assert_eq!(goes(keyed(DeduplicationScope::All), within), [true; 4]);
    assert_eq!(
        goes(keyed(DeduplicationScope::Zone), within),
        [true, true, true, false]
    );
    assert_eq!(
        goes(keyed(DeduplicationScope::Cell), within),
        [true, true, false, false]
    );
    assert_eq!(goes(keyed(DeduplicationScope::All), past), [false; 4]);
    assert_eq!(goes(Idempotency::NonIdempotent, within), [false; 4]);
    assert_eq!(goes(Idempotency::Idempotent, past), [true; 4]);
}

/// Guards rule 2 and the limits on attempts out: a copy counts like any attempt, and goes to
/// another engine.
#[test]
fn copies_go_to_another_engine_within_the_rules() {
    let (here, there, further) = (engine(1, 0, 0), engine(2, 0, 0), engine(3, 0, 0));
    let with = |effect, copies| InFlightRequest {
        outs: vec![out(here, 0, SEC)],
        attempts_started: 1,
        ..open(effect, copies)
    };
    assert!(
        with(Idempotency::Idempotent, 2).may_send(SEC, &there)
            && !with(Idempotency::Idempotent, 2).may_send(SEC, &here)
    );
    assert!(with(keyed(DeduplicationScope::All), 2).may_send(SEC, &there));
    assert!(
        !with(keyed(DeduplicationScope::All), 2).may_send(SEC + WINDOW, &there),
        "what is out may have run"
    );
    assert!(
        !with(Idempotency::NonIdempotent, 2).may_send(SEC, &there)
            && !with(Idempotency::Idempotent, 1).may_send(SEC, &there)
    );
    let mut two = with(Idempotency::Idempotent, 2);
    two.outs.push(out(there, 1, SEC));
    assert!(!two.may_send(SEC, &further));
    // One that is being given up is still out.
    two.outs[0].stopping = Some(Termination::Cancelled);
    assert!(!two.may_send(SEC, &further) && two.due_at(SEC));
    assert!(two.take_out(AttemptNo(0)).is_some() && two.take_out(AttemptNo(0)).is_none());
    assert!(two.may_send(SEC, &further) && !two.may_send(SEC, &there));
    let spent = InFlightRequest {
        attempts_started: 5,
        ..open(Idempotency::Idempotent, 2)
    };
    assert!(
        !spent.may_send(SEC, &here)
            && !InFlightRequest {
                closed: true,
                ..open(Idempotency::Idempotent, 2)
            }
            .may_send(SEC, &here)
    );
}

/// Guards rule 2: a refusal says that trying again does no harm.
#[test]
fn a_refusal_is_honest() {
    let here = engine(1, 0, 0);
    for (effect, ran, is_out) in [
        (Idempotency::Idempotent, true, true),
        (keyed(DeduplicationScope::All), true, true),
        (keyed(DeduplicationScope::Zone), false, false),
        (keyed(DeduplicationScope::Cell), false, false),
        (Idempotency::NonIdempotent, false, false),
    ] {
        let fresh = open(effect, 2);
        assert!(fresh.may_refuse());
        assert_eq!(
            InFlightRequest {
                ran: Some(PossibleExecution {
                    on: here,
                    sent_at: SEC
                }),
                ..open(effect, 2)
            }
            .may_refuse(),
            ran
        );
        assert_eq!(
            InFlightRequest {
                outs: vec![out(here, 0, SEC)],
                ..open(effect, 2)
            }
            .may_refuse(),
            is_out
        );
    }
}

/// Guards rule 2 for a window however short: what is sent again has to be over while engines still
/// know its key.
#[test]
fn a_repeat_is_over_before_its_keys_window_is() {
    let here = engine(1, 0, 0);
    let ran = |effect| InFlightRequest {
        ran: Some(PossibleExecution {
            on: here,
            sent_at: SEC,
        }),
        attempts_started: 1,
        ..open(effect, 1)
    };
    assert_eq!(
        ran(keyed(DeduplicationScope::All)).known_until(),
        Some(SEC + WINDOW)
    );
    assert_eq!(
        [
            ran(Idempotency::Idempotent),
            ran(Idempotency::NonIdempotent)
        ]
        .map(|open| open.known_until()),
        [None; 2]
    );
    assert_eq!(
        open(keyed(DeduplicationScope::All), 1).known_until(),
        None,
        "nothing ran: no window"
    );
}
