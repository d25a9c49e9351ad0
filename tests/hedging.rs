//! Second copies, keyed repeats, engines of a data set's own, and priorities, seen from outside the
//! module.
mod common;
use common::*;
use yokelift::policy::api::*;

/// Keyed over all engines, for 20 s; short and safe otherwise. Copies may run, and priorities
/// count.
fn copying() -> Settings {
    let mut s = settings();
    s.classes[3].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        window: 20 * S,
    };
    s.limits.hedging = true;
    (
        s.progress_period,
        s.invariants.retry_budget,
        s.limits.may_probe,
    ) = (0, None, false);
    s
}

fn engines() -> Vec<Endpoint> {
    (1..=4).map(|i| entry(i, 0, 0)).collect()
}

/// A request of 200 ms that is out and says nothing; where it went, and all that is done about it
/// in a while.
fn silent(s: Settings, class: u16, single: bool) -> (Rig, EngineId, Vec<Action>) {
    let mut rig = Rig::new(s, engines());
    let ask = Request {
        must_not_repeat: single,
        ..ask(1, class, rig.now, 6 * S, 200 * MS)
    };
    let first = sends(&rig.tell(Event::Request(ask)));
    let [(1, engine)] = first[..] else {
        panic!("{first:?}")
    };
    let acts = rig.pass(1500 * MS);
    (rig, engine, acts)
}

/// Guards what has been done so far: where room is free a copy goes beside the first, to another
/// engine, and one only.
#[test]
fn a_copy_runs_beside_the_first_while_room_is_free() {
    for class in [0, 3] {
        let (mut rig, first, acts) = silent(copying(), class, false);
        let copy = sends(&acts);
        assert!(
            matches!(copy[..], [(1, e)] if e != first) && cancels(&acts) == 0,
            "{class}: {acts:?}"
        );
        // Whichever answers first is the answer; the other one is called off, and its end changes
        // nothing.
        let acts = rig.tell(outcome(1, 1, copy[0].1, OutcomeKind::Ok, 200 * MS));
        assert_eq!(
            acts,
            [Action::Cancel {
                id: RequestId(1),
                attempt: AttemptNo(0)
            }]
        );
        let late = rig.tell(outcome(1, 0, first, OutcomeKind::Cancelled, 2 * S));
        assert!(late.is_empty() && rig.pass(10 * S).is_empty(), "{late:?}");
    }
}

/// Guards the one answer: what fails beside a copy is not the request's end.
#[test]
fn the_failure_of_one_leaves_the_other() {
    let (mut rig, first, acts) = silent(copying(), 0, false);
    let (_, second) = sends(&acts)[0];
    let acts = rig.tell(outcome(1, 0, first, OutcomeKind::Reset, 2 * S));
    assert!(finals(&acts).is_empty(), "{acts:?}");
    let acts = rig.tell(outcome(1, 1, second, OutcomeKind::Reset, 2 * S));
    let more = sends(&acts);
    assert!(
        more.len() == 1 && finals(&acts).is_empty(),
        "the last attempt goes out: {acts:?}"
    );
    let acts = rig.tell(outcome(1, 2, more[0].1, OutcomeKind::Reset, 2 * S));
    assert_eq!(finals(&acts), [(1, true)]);
    // A client that leaves takes both along.
    let (mut rig, _, _) = silent(copying(), 0, false);
    assert_eq!(
        cancels(&rig.tell(Event::ClientDisconnected(RequestId(1)))),
        2
    );
}

/// Guards rule 2: no copy where the settings allow none, nor of what must not run twice; what is
/// keyed is not called off.
#[test]
fn copies_go_only_where_they_are_allowed() {
    let mut alone = copying();
    alone.limits.hedging = false;
    let (_, _, acts) = silent(alone.clone(), 0, false);
    assert!(
        sends(&acts).is_empty() && cancels(&acts) == 1,
        "called off, to be sent anew: {acts:?}"
    );
    let (_, _, acts) = silent(alone, 3, false);
    assert!(acts.is_empty(), "{acts:?}");
    let (_, _, acts) = silent(copying(), 3, true);
    assert!(
        acts.is_empty(),
        "without a key it must not run twice: {acts:?}"
    );
}

/// A key is known for its window: after that what may have run is not sent again.
#[test]
fn a_keyed_request_is_sent_again_within_its_window_alone() {
    for (after, again) in [(100 * MS, 1), (21 * S, 0)] {
        let mut rig = Rig::new(copying(), engines());
        let (_, engine) = sends(&rig.tell(Event::Request(ask(1, 3, rig.now, 40 * S, 200 * MS))))[0];
        rig.now += after;
        let acts = rig.tell(outcome(1, 0, engine, OutcomeKind::Reset, after));
        assert_eq!(sends(&acts).len(), again, "{acts:?}");
        assert_eq!(finals(&acts).len(), 1 - again);
    }
}

/// Where each of a few data sets goes, at a gateway of that number.
fn homes(me: u32, groups: u64, entries: Vec<Endpoint>) -> Vec<EngineId> {
    let mut s = copying();
    (s.gateways, s.gateway_index) = (3, me);
    let mut rig = Rig::new(s, entries);
    rig.pass(3 * S);
    let mut one = |id: u32, group| {
        let asked = Request {
            data_set: group,
            ..ask(id, 0, rig.now, 6 * S, 50 * MS)
        };
        let (_, engine) = sends(&rig.tell(Event::Request(asked)))[0];
        rig.tell(outcome(id, 0, engine, OutcomeKind::Ok, 50 * MS));
        engine
    };
    (1..=groups).map(|group| one(group as u32, group)).collect()
}

/// Guards what engines keep warm: a data set has engines of its own, the same at all gateways and
/// whatever their age, and loses them only with those engines.
#[test]
fn a_data_set_keeps_to_engines_of_its_own() {
    let at = homes(0, 40, engines());
    assert_eq!(
        at,
        homes(2, 40, engines()),
        "the same at another gateway, whatever its draws"
    );
    let share = |engine: u64| at.iter().filter(|e| e.0 == engine).count();
    assert!(
        (1..=4).all(|e| (4..=18).contains(&share(e))),
        "all engines have some: {at:?}"
    );
    let fewer = homes(0, 40, engines().into_iter().take(3).collect());
    let moved = at.iter().zip(&fewer).filter(|(old, new)| old != new);
    assert!(
        moved.clone().all(|(old, _)| old.0 == 4),
        "only what the lost engine had moves"
    );
    assert_eq!(moved.count(), share(4));
}

/// Guards against a home that is down: once what went there passes its time without a sign of life,
/// its data sets go elsewhere, until it speaks. And where answers tell no cost nothing shows that a
/// home pays: load alone decides.
#[test]
fn a_silent_engine_is_nobodys_home() {
    let mut rig = Rig::new(copying(), engines());
    rig.pass(3 * S);
    let asked = |id, now| {
        Event::Request(Request {
            data_set: 7,
            ..ask(id, 0, now, 6 * S, 50 * MS)
        })
    };
    let (_, home) = sends(&rig.tell(asked(1, rig.now)))[0];
    let again = sends(&rig.tell(asked(2, rig.now)))[0].1;
    assert_eq!(again, home, "room enough");
    rig.pass(400 * MS);
    assert!(
        sends(&rig.tell(asked(3, rig.now)))
            .iter()
            .all(|(_, e)| *e != home),
        "it says nothing"
    );
    rig.tell(outcome(2, 0, home, OutcomeKind::Ok, 400 * MS));
    assert_eq!(sends(&rig.tell(asked(4, rig.now)))[0].1, home, "it speaks");
    // One that got nothing since is tried again after a while, as it can't speak unasked.
    let mut rig = Rig::new(copying(), engines());
    rig.pass(3 * S);
    rig.tell(asked(1, rig.now));
    let copy = sends(&rig.pass(400 * MS))[0].1;
    rig.tell(outcome(1, 1, copy, OutcomeKind::Ok, 100 * MS));
    rig.tell(outcome(1, 0, home, OutcomeKind::Cancelled, 400 * MS));
    assert!(sends(&rig.tell(asked(2, rig.now)))[0].1 != home);
    rig.pass(3 * S);
    assert_eq!(sends(&rig.tell(asked(3, rig.now)))[0].1, home);
    let mut untold = copying();
    untold.reports_cost = false;
    let mut rig = Rig::new(untold, engines());
    let at: Vec<EngineId> = (1..=4)
        .map(|id| sends(&rig.tell(asked(id, rig.now)))[0].1)
        .collect();
    assert_eq!(
        at.iter().collect::<std::collections::BTreeSet<_>>().len(),
        4,
        "{at:?}"
    );
}

/// Guards engines from queries of which nothing is known to be shared: they spread by load alone.
/// And a busy engine of its own does not keep a data set from the others.
#[test]
fn what_has_no_data_set_spreads_and_a_full_engine_does_not_bind() {
    for group in [0, 7] {
        let mut rig = Rig::new(copying(), engines());
        rig.pass(3 * S);
        let ask = |id| Request {
            data_set: group,
            ..ask(id, 0, rig.now, 6 * S, 50 * MS)
        };
        let all: Vec<Event> = (0..24).map(|id| Event::Request(ask(id))).collect();
        let sent: Vec<EngineId> = all
            .into_iter()
            .flat_map(|event| sends(&rig.tell(event)))
            .map(|(_, e)| e)
            .collect();
        let mut count: Vec<usize> = (1..=4)
            .map(|e| sent.iter().filter(|s| s.0 == e).count())
            .collect();
        count.sort_unstable();
        if group == 0 {
            assert_eq!(count, [6, 6, 6, 6]);
        } else {
            assert!(
                sent.len() == 24 && count[3] > 6 && count[1] > 0,
                "{count:?}"
            );
        }
    }
}

/// Short queries come first, then long ones under the usual size, and last what misses its aim
/// anyway.
#[test]
fn priorities_follow_size() {
    let mut s = copying();
    s.priorities_supported = true;
    let mut rig = Rig::new(s, engines());
    let mut rank = |id, class, work| {
        let acts = rig.tell(Event::Request(ask(id, class, rig.now, 15 * S, work)));
        acts.iter().find_map(|a| {
            if let Action::SetAttemptOptions { priority, .. } = a {
                Some(*priority)
            } else {
                None
            }
        })
    };
    assert_eq!(rank(1, 0, 100 * MS), Some(3));
    assert_eq!(
        (rank(2, 1, S), rank(3, 1, 9 * S)),
        (Some(1), Some(0)),
        "the class is taken to need 8 s"
    );
}

/// Guards rule 2: a key is known from the first attempt that was sent, whichever of two ended
/// first.
#[test]
fn the_window_of_a_key_counts_from_the_first_that_was_sent() {
    let mut s = copying();
    s.classes[3].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        window: 3 * S,
    };
    let (mut rig, first, acts) = silent(s, 3, false);
    let (_, second) = sends(&acts)[0];
    rig.tell(outcome(1, 1, second, OutcomeKind::Reset, S));
    rig.now += 1600 * MS;
    let acts = rig.tell(outcome(1, 0, first, OutcomeKind::Reset, 3 * S));
    assert!(
        sends(&acts).is_empty() && finals(&acts) == [(1, true)],
        "{acts:?}"
    );
}

/// What an engine calls over, or does not take, never ran: the first goes on, and its late answer
/// decides.
#[test]
fn a_copy_that_never_ran_leaves_the_first_to_decide() {
    for kind in [
        OutcomeKind::NeverSent,
        OutcomeKind::Rejected,
        OutcomeKind::ConnectFailed,
    ] {
        let (mut rig, first, acts) = silent(copying(), 3, false);
        let (_, second) = sends(&acts)[0];
        let acts = rig.tell(outcome(1, 1, second, kind, 5 * MS));
        assert!(
            finals(&acts).is_empty() && cancels(&acts) == 0,
            "{kind:?}: {acts:?}"
        );
        let acts = rig.tell(outcome(1, 0, first, OutcomeKind::Ok, 2 * S));
        assert!(finals(&acts).is_empty(), "served: {acts:?}");
    }
}
