//! The lifecycle against a model under random steps, and the promises that the sockets rest on.
use super::*;
use crate::clock::SEC;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Listed,
    Drain,
    Undrain,
    Stop,
    Follows(u8),
    Followed(u8),
    Fades(u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 11 {
            0 => Step::Listed,
            1 => Step::Drain,
            2 => Step::Undrain,
            3 if bool::arbitrary(g) => Step::Stop,
            4 => Step::Followed(u8::arbitrary(g) % 3),
            5 => Step::Follows(u8::arbitrary(g) % 5),
            6 => Step::Fades(u8::arbitrary(g) % 5),
            _ => Step::Wait(u16::arbitrary(g) % 3_000),
        }
    }
}

fn next(n: u8) -> SuccessorState {
    [
        SuccessorState::None,
        SuccessorState::Coming,
        SuccessorState::Ready,
    ][usize::from(n)]
}

/// Guards every pair of purposes that may overlap, as a drain within an upgrade: what the machine
/// says is what the list of all that happened so far says.
#[test]
fn what_it_says_follows_from_all_that_happened() {
    fn play(steps: Vec<Step>) -> bool {
        let (mut life, mut now, mut past) = (Lifecycle::default(), 1_000_000, Vec::new());
        for step in steps {
            match step {
                Step::Listed => life.endpoint_list_received(),
                Step::Drain => life.drain(now),
                Step::Undrain => drop(life.undrain()),
                Step::Stop => life.begin_shutdown(now),
                Step::Followed(n) => life.set_successor(next(n)),
                Step::Follows(n) => life.set_predecessor_share(f64::from(n) / 4.0),
                Step::Fades(n) => life.set_remaining_work(f64::from(n) / 4.0),
                Step::Wait(ms) => now += u64::from(ms) * MS,
            }
            past.push((now, step));
            let stop = past.iter().position(|(_, s)| matches!(s, Step::Stop));
            let upto = |stop: Option<usize>| &past[..stop.unwrap_or(past.len())];
            let listed = past.iter().any(|(_, s)| matches!(s, Step::Listed));
            // The first drain since the last end of one that counted.
            let undrained = upto(stop)
                .iter()
                .rposition(|(_, s)| matches!(s, Step::Undrain))
                .map_or(0, |at| at + 1);
            let drained = past[undrained..]
                .iter()
                .find(|(_, s)| matches!(s, Step::Drain))
                .map(|(at, _)| *at);
            let last = |is: fn(&Step) -> Option<u8>| past.iter().rev().find_map(|(_, s)| is(s));
            let met = last(|s| {
                if let Step::Followed(n) = s {
                    Some(*n)
                } else {
                    None
                }
            })
            .map(next);
            let follows = met == Some(SuccessorState::Ready);
            let older = last(|s| {
                if let Step::Follows(n) = s {
                    Some(*n)
                } else {
                    None
                }
            })
            .unwrap_or(0);
            let fades = past.iter().filter_map(|(_, s)| {
                if let Step::Fades(n) = s {
                    Some(*n)
                } else {
                    None
                }
            });
            let left = (f64::from(fades.min().unwrap_or(4)) / 4.0).max(LEAST_LEFT);
            let rest = 1.0 - f64::from(older) / 4.0;
            let part = if follows { 0.5 * left * rest } else { rest };
            let stopped = stop.map(|at| past[at].0);
            let holds = [
                life.is_ready() == (listed && drained.is_none() && stop.is_none()),
                life.is_stopping() == stop.is_some(),
                life.accepts_until().is_some() == stop.is_some(),
                life.rejects_new_requests(now)
                    == (drained.is_some_and(|at| at + CLOSES <= now)
                        || (follows && stopped.is_some_and(|at| at + CLOSES_OVER <= now))),
                (life.capacity_share() - part).abs() < 1e-9,
                // Whoever follows has no more than what this one and those before it leave.
                life.share_reserved_for_predecessors() <= 1.0 + 1e-9
                    && (!follows
                        || life.share_reserved_for_predecessors() + 1e-9 >= 1.0 - rest + part),
                life.accepts_until()
                    .is_none_or(|at| (at == stopped.unwrap_or(0)) == follows),
                life.forced_end_at(9 * SEC) > life.accepts_until() || stop.is_none(),
                // Let go only by a drain, or behind a successor, never before the front can know,
                // all in time.
                (0..50).all(|conn| match life.idle_close_at(conn) {
                    None => drained.is_none() && !(follows && stopped.is_some()),
                    Some(at) => {
                        let by_drain =
                            drained.is_some_and(|d| (d + LEARNS..d + CLOSES).contains(&at));
                        let by_stop =
                            stopped.is_some_and(|s| follows && (s..s + SEC).contains(&at));
                        by_drain || by_stop
                    }
                }),
            ];
            if holds.contains(&false) {
                return false;
            }
        }
        true
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(3_000);
    check.quickcheck(play as fn(Vec<Step>) -> bool);
}

/// Guards the front's clients: those that connect in the same moment elsewhere are few, and none is
/// held past the time by which all have to be gone.
#[test]
fn kept_connections_are_let_go_evenly() {
    let mut life = Lifecycle::default();
    life.drain(0);
    let mut by_step = [0; 6];
    for conn in 0..600 {
        let at = life.idle_close_at(conn).unwrap();
        by_step[((at - LEARNS) / (SPREAD / 6)) as usize] += 1;
    }
    assert!(by_step.iter().all(|n| (60..140).contains(n)), "{by_step:?}");
    assert!(life.undrain());
    assert_eq!(life.idle_close_at(1), None);
}
