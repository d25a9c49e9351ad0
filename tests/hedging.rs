//! Hedged attempts, retries with an idempotency key, preferred engines of data sets, and
//! priorities, tested through the public interface of the decision module.
mod common;
use common::*;
use std::collections::BTreeSet;
use yokelift::policy::api::*;

/// Settings that allow hedging. Class [`KEYED`] has an idempotency key that all engines keep for
/// 20 s.
fn hedging_settings() -> Settings {
    let mut settings = test_settings();
    settings.classes[usize::from(KEYED)].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        window: 20 * SECOND,
    };
    settings.limits.hedging = true;
    settings.progress_period = 0;
    settings.invariants.retry_budget = None;
    settings.limits.may_probe = false;
    settings
}

fn engines() -> Vec<Endpoint> {
    warm_endpoints(1..=4)
}

/// A gateway with an attempt that has not responded for 1.5 s.
struct UnresponsiveAttempt {
    gateway: GatewayHarness,
    engine: EngineId,
    /// The actions during the 1.5 s.
    actions: Vec<Action>,
}

/// A gateway with request 1, of 200 ms work, whose attempt does not respond.
fn unresponsive_attempt(settings: Settings, class: u16) -> UnresponsiveAttempt {
    unresponsive_attempt_of(settings, short_request(1, class))
}

fn short_request(id: u32, class: u16) -> Request {
    request(id, class, START_TIME, 6 * SECOND, 200 * MILLISECOND)
}

fn unresponsive_attempt_of(settings: Settings, request: Request) -> UnresponsiveAttempt {
    let mut gateway = GatewayHarness::new(settings, engines());
    let first = attempts_started(&gateway.receive(request));
    let [(1, engine)] = first[..] else {
        panic!("{first:?}")
    };
    let actions = gateway.advance(1500 * MILLISECOND);
    UnresponsiveAttempt {
        gateway,
        engine,
        actions,
    }
}

/// The hedged attempt goes to another engine, and there is only one.
#[test]
fn an_unresponsive_attempt_is_hedged_once_while_capacity_is_free() {
    for class in [SHORT, KEYED] {
        let UnresponsiveAttempt {
            mut gateway,
            engine: first,
            actions,
        } = unresponsive_attempt(hedging_settings(), class);
        let hedge = attempts_started(&actions);
        assert!(
            matches!(hedge[..], [(1, e)] if e != first) && cancellation_count(&actions) == 0,
            "{class}: {actions:?}"
        );
        // The first response is final; the other attempt is cancelled, and its outcome changes
        // nothing.
        let actions = gateway.end_attempt(1, 1, hedge[0].1, OutcomeKind::Ok, 200 * MILLISECOND);
        assert_eq!(
            actions,
            [Action::Cancel {
                id: RequestId(1),
                attempt: AttemptNo(0)
            }]
        );
        let late = gateway.end_attempt(1, 0, first, OutcomeKind::Cancelled, 2 * SECOND);
        assert!(
            late.is_empty() && gateway.advance(10 * SECOND).is_empty(),
            "{late:?}"
        );
    }
}

/// The failure of one attempt does not end the request while its hedged attempt is running.
#[test]
fn a_failed_attempt_leaves_its_hedged_attempt_running() {
    let UnresponsiveAttempt {
        mut gateway,
        engine: first,
        actions,
    } = unresponsive_attempt(hedging_settings(), SHORT);
    let (_, second) = attempts_started(&actions)[0];
    let actions = gateway.end_attempt(1, 0, first, OutcomeKind::Reset, 2 * SECOND);
    assert!(final_responses(&actions).is_empty(), "{actions:?}");
    let actions = gateway.end_attempt(1, 1, second, OutcomeKind::Reset, 2 * SECOND);
    let more = attempts_started(&actions);
    assert!(
        more.len() == 1 && final_responses(&actions).is_empty(),
        "the last attempt starts: {actions:?}"
    );
    let actions = gateway.end_attempt(1, 2, more[0].1, OutcomeKind::Reset, 2 * SECOND);
    assert_eq!(final_responses(&actions), [(1, FinalResponse::Rejected)]);
    // When the client disconnects, both attempts are cancelled.
    let mut gateway = unresponsive_attempt(hedging_settings(), SHORT).gateway;
    assert_eq!(
        cancellation_count(&gateway.handle(Event::ClientDisconnected(RequestId(1)))),
        2
    );
}

/// Guards invariant 2. Without hedging an idempotent attempt is cancelled before its retry, and one
/// with an idempotency key is not cancelled.
#[test]
fn requests_are_hedged_only_where_settings_and_idempotency_allow_it() {
    let mut without_hedging = hedging_settings();
    without_hedging.limits.hedging = false;
    let actions = unresponsive_attempt(without_hedging.clone(), SHORT).actions;
    assert!(
        attempts_started(&actions).is_empty() && cancellation_count(&actions) == 1,
        "one attempt is cancelled before its retry: {actions:?}"
    );
    let actions = unresponsive_attempt(without_hedging, KEYED).actions;
    assert!(actions.is_empty(), "{actions:?}");
    let without_key = Request {
        must_not_repeat: true,
        ..short_request(1, KEYED)
    };
    let actions = unresponsive_attempt_of(hedging_settings(), without_key).actions;
    assert!(
        actions.is_empty(),
        "without a key it must not run twice: {actions:?}"
    );
}

/// Engines keep a key for its window. After that, an attempt that may have run is not retried.
#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_window() {
    for (after, retries) in [(100 * MILLISECOND, 1), (21 * SECOND, 0)] {
        let mut gateway = GatewayHarness::new(hedging_settings(), engines());
        let (_, engine) =
            attempts_started(&gateway.submit(1, KEYED, 40 * SECOND, 200 * MILLISECOND))[0];
        gateway.now += after;
        let actions = gateway.end_attempt(1, 0, engine, OutcomeKind::Reset, after);
        assert_eq!(attempts_started(&actions).len(), retries, "{actions:?}");
        assert_eq!(final_responses(&actions).len(), 1 - retries);
    }
}

/// The engine that one of three gateways selects for each of the data sets 1 to `data_sets`.
fn engines_by_data_set(index: u32, data_sets: u64, entries: Vec<Endpoint>) -> Vec<EngineId> {
    let mut settings = hedging_settings();
    settings.gateways = 3;
    settings.gateway_index = index;
    let mut gateway = GatewayHarness::new(settings, entries);
    gateway.advance(3 * SECOND);
    let mut run_query = |id: u32, data_set| {
        let query = Request {
            data_set,
            ..request(id, SHORT, gateway.now, 6 * SECOND, 50 * MILLISECOND)
        };
        let (_, engine) = attempts_started(&gateway.receive(query))[0];
        gateway.end_attempt(id, 0, engine, OutcomeKind::Ok, 50 * MILLISECOND);
        engine
    };
    (1..=data_sets)
        .map(|data_set| run_query(data_set as u32, data_set))
        .collect()
}

/// Engines keep the data sets that they query in their cache, so a data set has preferred engines.
/// They are the same at all gateways, and change only if those engines change.
#[test]
fn a_data_set_keeps_its_preferred_engine_at_every_gateway() {
    let selected = engines_by_data_set(0, 40, engines());
    assert_eq!(
        selected,
        engines_by_data_set(2, 40, engines()),
        "another gateway prefers the same engines, whatever its random draws"
    );
    let share = |engine: u64| selected.iter().filter(|e| e.0 == engine).count();
    assert!(
        (1..=4).all(|e| (4..=18).contains(&share(e))),
        "every engine is preferred by some data sets: {selected:?}"
    );
    let fewer = engines_by_data_set(0, 40, engines().into_iter().take(3).collect());
    let moved = selected.iter().zip(&fewer).filter(|(old, new)| old != new);
    assert!(
        moved.clone().all(|(old, _)| old.0 == 4),
        "only data sets of the removed engine move"
    );
    assert_eq!(moved.count(), share(4));
}

/// Once an attempt on the preferred engine is overdue without a response, queries on its data sets
/// go to other engines until it responds. Where responses do not report their cost there is no
/// preferred engine: queries spread by load alone.
#[test]
fn queries_avoid_an_unresponsive_preferred_engine_until_it_responds() {
    let mut gateway = GatewayHarness::new(hedging_settings(), engines());
    gateway.advance(3 * SECOND);
    let query = |id, now| Request {
        data_set: 7,
        ..request(id, SHORT, now, 6 * SECOND, 50 * MILLISECOND)
    };
    let (_, preferred) = attempts_started(&gateway.receive(query(1, gateway.now)))[0];
    let second = first_engine(&gateway.receive(query(2, gateway.now)));
    assert_eq!(second, preferred, "the preferred engine has capacity");
    gateway.advance(400 * MILLISECOND);
    assert!(
        attempts_started(&gateway.receive(query(3, gateway.now)))
            .iter()
            .all(|(_, e)| *e != preferred),
        "the preferred engine is unresponsive"
    );
    gateway.end_attempt(2, 0, preferred, OutcomeKind::Ok, 400 * MILLISECOND);
    assert_eq!(
        first_engine(&gateway.receive(query(4, gateway.now))),
        preferred,
        "the preferred engine has responded"
    );
    // An engine without attempts since then is used again after a while, as it cannot respond
    // without them.
    let mut gateway = GatewayHarness::new(hedging_settings(), engines());
    gateway.advance(3 * SECOND);
    gateway.receive(query(1, gateway.now));
    let hedge = first_engine(&gateway.advance(400 * MILLISECOND));
    gateway.end_attempt(1, 1, hedge, OutcomeKind::Ok, 100 * MILLISECOND);
    gateway.end_attempt(1, 0, preferred, OutcomeKind::Cancelled, 400 * MILLISECOND);
    assert!(first_engine(&gateway.receive(query(2, gateway.now))) != preferred);
    gateway.advance(3 * SECOND);
    assert_eq!(
        first_engine(&gateway.receive(query(3, gateway.now))),
        preferred
    );
    let mut without_cost = hedging_settings();
    without_cost.reports_cost = false;
    let mut gateway = GatewayHarness::new(without_cost, engines());
    let selected: Vec<EngineId> = (1..=4)
        .map(|id| first_engine(&gateway.receive(query(id, gateway.now))))
        .collect();
    assert_eq!(
        selected.iter().collect::<BTreeSet<_>>().len(),
        4,
        "{selected:?}"
    );
}

/// Requests without a known data set spread by load alone. If the preferred engine is full, queries
/// on its data set go to the others.
#[test]
fn requests_spread_by_load_without_a_data_set_or_when_their_preferred_engine_is_full() {
    for data_set in [0, 7] {
        let mut gateway = GatewayHarness::new(hedging_settings(), engines());
        gateway.advance(3 * SECOND);
        let mut sent = Vec::new();
        for id in 0..24 {
            let query = Request {
                data_set,
                ..request(id, SHORT, gateway.now, 6 * SECOND, 50 * MILLISECOND)
            };
            for (_, engine) in attempts_started(&gateway.receive(query)) {
                sent.push(engine);
            }
        }
        let mut count: Vec<usize> = (1..=4)
            .map(|e| sent.iter().filter(|sent| sent.0 == e).count())
            .collect();
        count.sort_unstable();
        if data_set == 0 {
            assert_eq!(count, [6, 6, 6, 6]);
        } else {
            assert!(
                sent.len() == 24 && count[3] > 6 && count[1] > 0,
                "{count:?}"
            );
        }
    }
}

/// Short queries have the highest priority, then long ones of less than the usual size, then those
/// that miss their objective in any case.
#[test]
fn priorities_follow_the_size_of_the_query() {
    let mut settings = hedging_settings();
    settings.priorities_supported = true;
    let mut gateway = GatewayHarness::new(settings, engines());
    let mut priority = |id, class, work| {
        let actions = gateway.submit(id, class, 15 * SECOND, work);
        actions.iter().find_map(|action| {
            if let Action::SetAttemptOptions { priority, .. } = action {
                Some(*priority)
            } else {
                None
            }
        })
    };
    assert_eq!(priority(1, SHORT, 100 * MILLISECOND), Some(3));
    assert_eq!(
        (priority(2, LONG, SECOND), priority(3, LONG, 9 * SECOND)),
        (Some(1), Some(0)),
        "the class is estimated at 8 s"
    );
}

/// Guards invariant 2: the window of the key starts with the first attempt sent, whichever of two
/// attempts ends first.
#[test]
fn the_window_of_an_idempotency_key_starts_with_the_first_attempt() {
    let mut settings = hedging_settings();
    settings.classes[usize::from(KEYED)].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        window: 3 * SECOND,
    };
    let UnresponsiveAttempt {
        mut gateway,
        engine: first,
        actions,
    } = unresponsive_attempt(settings, KEYED);
    let (_, second) = attempts_started(&actions)[0];
    gateway.end_attempt(1, 1, second, OutcomeKind::Reset, SECOND);
    gateway.now += 1600 * MILLISECOND;
    let actions = gateway.end_attempt(1, 0, first, OutcomeKind::Reset, 3 * SECOND);
    assert!(
        attempts_started(&actions).is_empty()
            && final_responses(&actions) == [(1, FinalResponse::Rejected)],
        "{actions:?}"
    );
}

/// A hedged attempt that was rejected or not sent never ran: the first attempt continues, and its
/// outcome is final.
#[test]
fn the_first_attempt_continues_if_the_hedged_attempt_never_ran() {
    for kind in [
        OutcomeKind::NeverSent,
        OutcomeKind::Rejected,
        OutcomeKind::ConnectFailed,
    ] {
        let UnresponsiveAttempt {
            mut gateway,
            engine: first,
            actions,
        } = unresponsive_attempt(hedging_settings(), KEYED);
        let (_, second) = attempts_started(&actions)[0];
        let actions = gateway.end_attempt(1, 1, second, kind, 5 * MILLISECOND);
        assert!(
            final_responses(&actions).is_empty() && cancellation_count(&actions) == 0,
            "{kind:?}: {actions:?}"
        );
        let actions = gateway.end_attempt(1, 0, first, OutcomeKind::Ok, 2 * SECOND);
        assert!(
            final_responses(&actions).is_empty(),
            "the request completes without a response by the module: {actions:?}"
        );
    }
}
