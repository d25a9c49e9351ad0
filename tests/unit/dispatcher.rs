//! Retries within idempotency windows, attempt options and the forced end, with one scenario per
//! test. `dispatcher_model.rs` tests the invariants under random steps.
use super::rejection::{RejectionCause, RejectionKey};
use super::termination::{Termination, TransmitProgress};
use super::test_builders::{
    Configuration, dispatcher, dispatcher_with_keyed_loads, result_without_reply,
};
use super::{
    AttemptId, AttemptReply, AttemptRequest, AttemptResult, ClientRequest, Command, Cost,
    Dispatcher, Failure, Origin, Response,
};
use crate::clock::{MS, Micros, SEC};
use crate::policy::api::{ClassId, EngineId, TenantId};
use std::rc::Rc;

/// The class that [`dispatcher_with_keyed_loads`] makes idempotent by key.
const LOAD: ClassId = ClassId(2);

/// The deadline of the loads.
const LOAD_DEADLINE: Micros = 16 * SEC;

/// The attempts that were sent for a request, and its response.
#[derive(Debug, PartialEq)]
struct Exchange {
    attempts: Vec<SentAttempt>,
    response: Option<Response>,
}

#[derive(Debug, PartialEq)]
struct SentAttempt {
    idempotency_key: Option<Rc<str>>,
    deadline: Micros,
}

/// Sends a load to a dispatcher with this idempotency window. Each of its attempts ends with a
/// connection reset after it was written.
fn load_with_resets(key: Option<&str>, window: Micros, work: Micros) -> Exchange {
    let mut dispatcher = dispatcher_with_keyed_loads(window);
    let mut now = SEC;
    let mut exchange = Exchange {
        attempts: Vec::new(),
        response: None,
    };
    let request = ClientRequest {
        origin: Origin { conn: 1, tag: 1 },
        client_request_id: "9b1f03aa5c7e2d41".into(),
        class: LOAD,
        deadline: LOAD_DEADLINE,
        work_estimate: Some(work),
        idempotency_key: key.map(Into::into),
        ..ClientRequest::default()
    };
    let mut commands = Vec::new();
    dispatcher.handle_request(now, request, &mut commands);
    for _ in 0..20 {
        for command in std::mem::take(&mut commands) {
            match command {
                Command::StartAttempt { request, .. } => {
                    assert_eq!(request.must_not_repeat, key.is_none());
                    let result = result_without_reply(
                        request.id,
                        request.attempt,
                        Termination::Reset,
                        TransmitProgress::Complete,
                    );
                    exchange.attempts.push(SentAttempt {
                        idempotency_key: request.idempotency_key,
                        deadline: request.deadline,
                    });
                    dispatcher.attempt_finished(now, result, &mut commands);
                }
                Command::Respond { response, .. } => exchange.response = Some(response),
                _ => {}
            }
        }
        now += 100 * MS;
        dispatcher.run_due_timers(now, &mut commands);
    }
    exchange
}

/// Guards against a second execution: a retry carries the key by which engines detect the
/// duplicate.
#[test]
fn all_attempts_of_a_request_carry_its_idempotency_key() {
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    let Exchange { attempts, response } = load_with_resets(Some(key), 20 * SEC, 50 * MS);

    let keys: Vec<_> = attempts
        .into_iter()
        .map(|attempt| attempt.idempotency_key)
        .collect();
    let max_attempts = 3;
    assert_eq!(keys, vec![Some(Rc::from(key)); max_attempts]);
    assert!(
        matches!(response, Some(Response::Rejected(_))),
        "{response:?}"
    );
}

#[test]
fn a_request_without_its_idempotency_key_has_a_single_attempt() {
    let exchange = load_with_resets(None, 20 * SEC, 50 * MS);

    let expected = Exchange {
        attempts: vec![SentAttempt {
            idempotency_key: None,
            deadline: LOAD_DEADLINE,
        }],
        response: Some(Response::Failed(Failure::Attempt(Termination::Reset))),
    };
    assert_eq!(exchange, expected);
}

/// Guards against a second execution where the window is shorter than the client's deadline: a
/// retry has to end before engines discard the key.
#[test]
fn retries_end_within_the_idempotency_window() {
    let Exchange { attempts, response } = load_with_resets(Some("key"), SEC, 50 * MS);

    let deadlines: Vec<Micros> = attempts.iter().map(|attempt| attempt.deadline).collect();
    assert!(
        deadlines[0] == LOAD_DEADLINE && deadlines.len() == 3,
        "{deadlines:?}"
    );
    let window_end = 2 * SEC;
    assert!(
        deadlines[1..]
            .iter()
            .all(|deadline| *deadline <= window_end - 50 * MS),
        "{deadlines:?}"
    );
    assert!(
        matches!(response, Some(Response::Rejected(_))),
        "{response:?}"
    );
}

#[test]
fn a_retry_that_would_outlast_the_idempotency_window_is_not_started() {
    let Exchange { attempts, response } = load_with_resets(Some("key"), SEC, 5 * SEC);

    assert_eq!(attempts.len(), 1, "{attempts:?}");
    assert!(
        matches!(response, Some(Response::Rejected(_))),
        "{response:?}"
    );
}

/// Sends a lookup and returns its first attempt with the engine that it was sent to.
fn start_lookup(dispatcher: &mut Dispatcher) -> (EngineId, AttemptRequest) {
    let request = ClientRequest {
        origin: Origin { conn: 1, tag: 1 },
        client_request_id: "0000000000000001".into(),
        deadline: 6 * SEC,
        work_estimate: Some(50 * MS),
        ..ClientRequest::default()
    };
    let mut commands = Vec::new();
    dispatcher.handle_request(SEC, request, &mut commands);
    let started = commands.into_iter().find_map(|command| match command {
        Command::StartAttempt { engine, request } => Some((engine, request)),
        _ => None,
    });
    started.expect("an attempt")
}

/// The cost that engines report in these tests.
const COST: Cost = Cost {
    work: Some(80 * MS),
    memory_mb: Some(9.0),
};

/// Ends an attempt with a reply that reports [`COST`].
fn finish_with_cost(dispatcher: &mut Dispatcher, attempt: &AttemptRequest) {
    let result = AttemptResult {
        reply: AttemptReply {
            cost: COST,
            ..AttemptReply::default()
        },
        ..result_without_reply(
            attempt.id,
            attempt.attempt,
            Termination::Done,
            TransmitProgress::Complete,
        )
    };
    dispatcher.attempt_finished(SEC + 50 * MS, result, &mut Vec::new());
}

/// The absolute error of the decision module's estimate of a lookup's work against the reported
/// cost, in seconds.
fn work_estimate_error(dispatcher: &Dispatcher) -> f64 {
    (dispatcher.module.class_estimates[0].work - 0.08).abs()
}

#[test]
fn a_new_priority_is_sent_for_attempts_in_flight() {
    let mut dispatcher = dispatcher_with_keyed_loads(20 * SEC);
    let (first_engine, attempt) = start_lookup(&mut dispatcher);
    assert_eq!(
        attempt.priority,
        Some(3),
        "a short query has the highest priority"
    );

    let mut commands = Vec::new();
    dispatcher.set_attempt_options(attempt.id, 9, 0.0, &mut commands);
    assert!(
        commands.is_empty(),
        "the priority is limited to the highest one, which the attempt already has: {commands:?}"
    );

    dispatcher.set_attempt_options(attempt.id, 0, 0.0, &mut commands);
    let expected = AttemptId {
        request: attempt.id,
        attempt: attempt.attempt,
    };
    assert!(
        matches!(
            commands[..],
            [Command::Reprioritize { engine, attempt, priority: 0 }]
                if engine == first_engine && attempt == expected
        ),
        "{commands:?}"
    );
}

#[test]
fn a_reported_cost_is_learned() {
    let mut dispatcher = dispatcher_with_keyed_loads(20 * SEC);
    let (_, attempt) = start_lookup(&mut dispatcher);

    finish_with_cost(&mut dispatcher, &attempt);

    let error = work_estimate_error(&dispatcher);
    assert!(error < 1e-9, "{error}");
}

#[test]
fn priorities_and_costs_are_ignored_unless_the_settings_enable_them() {
    let configuration = Configuration::variant(0);
    let class_names = configuration.class_names();
    let mut dispatcher = dispatcher(configuration.settings, &class_names);
    let (_, attempt) = start_lookup(&mut dispatcher);

    let mut commands = Vec::new();
    dispatcher.set_attempt_options(attempt.id, 0, 0.0, &mut commands);
    assert!(commands.is_empty() && attempt.priority.is_none());

    finish_with_cost(&mut dispatcher, &attempt);
    let error = work_estimate_error(&dispatcher);
    assert!(error > 1e-3, "{error}");
}

/// Guards against a second execution: the client may retry a rejected request at another gateway,
/// so a request that may have been executed and must not be repeated fails instead.
#[test]
fn at_a_forced_end_only_requests_that_can_be_repeated_are_rejected() {
    let mut dispatcher = dispatcher_with_keyed_loads(20 * SEC);
    let request = |tag: u64, class: ClassId| ClientRequest {
        origin: Origin { conn: 1, tag },
        client_request_id: format!("{tag:016x}").into(),
        class,
        deadline: LOAD_DEADLINE,
        work_estimate: Some(50 * MS),
        ..ClientRequest::default()
    };
    let lookup = request(1, ClassId(0));
    let load_without_key = request(2, LOAD);
    let mut commands = Vec::new();
    dispatcher.handle_request(SEC, lookup, &mut commands);
    dispatcher.handle_request(SEC, load_without_key, &mut commands);
    let started = commands
        .drain(..)
        .filter(|command| matches!(command, Command::StartAttempt { .. }));
    assert_eq!(started.count(), 2);

    dispatcher.end_all_requests(SEC, &mut commands);

    let responses: Vec<(u64, Response)> = commands
        .into_iter()
        .filter_map(|command| match command {
            Command::Respond { origin, response } => Some((origin.tag, response)),
            _ => None,
        })
        .collect();
    assert_eq!(
        responses,
        [
            (1, Response::Rejected(Some(50 * MS))),
            (2, Response::Failed(Failure::NotSent)),
        ]
    );
}

/// Guards the client of a request that reaches the dispatcher after the forced end: without the
/// rejection, nothing would end the request.
#[test]
fn a_request_that_arrives_after_the_forced_end_is_rejected_at_once() {
    let mut dispatcher = dispatcher_with_keyed_loads(20 * SEC);
    let mut commands = Vec::new();
    dispatcher.end_all_requests(SEC, &mut commands);

    let late = ClientRequest {
        origin: Origin { conn: 1, tag: 9 },
        client_request_id: "0000000000000009".into(),
        class: ClassId(0),
        deadline: LOAD_DEADLINE,
        ..ClientRequest::default()
    };
    dispatcher.handle_request(SEC, late, &mut commands);

    assert!(
        matches!(
            &commands[..],
            [Command::Respond { origin: Origin { tag: 9, .. }, response: Response::Rejected(Some(after)) }]
                if *after == 50 * MS
        ),
        "the rejection is the only command"
    );
    assert_eq!(dispatcher.counters.open(), 0);
    let counted: Vec<_> = dispatcher.counters.rejections.into_iter().collect();
    let key = RejectionKey {
        class: "lookup".into(),
        tenant: Some(TenantId(0)),
        cause: RejectionCause::ShutDown,
    };
    assert_eq!(counted, [(key, 1)]);
}
