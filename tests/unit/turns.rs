//! Turns of gateways on one engine.
use super::*;

const GATEWAYS: u32 = 300;
const DURATION: Nanos = 500_000_000;

fn turn(holders: f64, offset: f64) -> Turn {
    Turn {
        duration: DURATION,
        holders,
        offset,
    }
}

/// The gateways that have the turn on engine 5 at `now`.
fn holders(turn: &Turn, now: Nanos) -> Vec<u32> {
    let has_turn = |index: &u32| {
        let gateway = GatewayPosition {
            index: *index,
            count: GATEWAYS,
        };
        turn.belongs_to(now, gateway, EngineId(5))
    };
    (0..GATEWAYS).filter(has_turn).collect()
}

#[test]
fn each_turn_has_the_stated_number_of_holders() {
    for index in 0..1_000 {
        let count = holders(&turn(4.0, 0.0), index * DURATION).len();
        assert!((3..=5).contains(&count), "{count} in turn {index}");
    }
}

#[test]
fn the_average_number_of_holders_may_be_a_fraction() {
    let turns = 4_000;
    let fraction = turn(0.25, 0.0);
    let counts = (0..turns).map(|index| holders(&fraction, index * DURATION).len());
    let mean = counts.sum::<usize>() as f64 / turns as f64;
    assert!((mean - 0.25).abs() < 0.025, "{mean}");
}

#[test]
fn every_gateway_gets_turns() {
    let mut had_turn = vec![false; GATEWAYS as usize];
    for index in 0..1_000 {
        for gateway in holders(&turn(4.0, 0.0), index * DURATION) {
            had_turn[gateway as usize] = true;
        }
    }
    assert!(had_turn.iter().all(|had_turn| *had_turn));
}

#[test]
fn with_an_offset_of_half_a_circle_other_gateways_have_the_turn() {
    let now = 17 * DURATION;
    let others = holders(&turn(4.0, 0.5), now);
    assert!(!others.is_empty());
    for gateway in holders(&turn(4.0, 0.0), now) {
        assert!(
            !others.contains(&gateway),
            "gateway {gateway} has both turns"
        );
    }
}

#[test]
fn a_turn_lasts_its_duration() {
    let turn = turn(4.0, 0.0);
    assert_eq!(turn.index(DURATION - 1), 0);
    assert_eq!(turn.index(DURATION), 1);
    assert_eq!(holders(&turn, DURATION), holders(&turn, 2 * DURATION - 1));
}
