//! Redials after silence and after broken connections: bounded, and spread over a fleet.
use super::*;
use crate::clock::SEC;
use std::collections::BTreeMap;

/// What a coordinator announces counts as known this long after it was announced.
const ANNOUNCEMENT_DELAY: Micros = 7 * SEC;

#[test]
fn pauses_double_up_to_a_limit_and_start_over_once_data_was_received() {
    let mut backoff = Backoff::new(1);

    let pauses: Vec<Micros> = (0..8).map(|_| backoff.pause(false)).collect();

    for (failures, pause) in pauses.iter().enumerate() {
        let limit = (INITIAL_PAUSE << (failures + 1)).min(MAX_PAUSE);
        assert!(
            (limit / 2..=limit).contains(pause),
            "{pause} after {failures} failures"
        );
    }
    assert!(backoff.pause(true) <= INITIAL_PAUSE);
}

/// For the drain rule: an event that three silent watches in a row hide is received before it
/// counts as known.
#[test]
fn three_silent_watches_in_a_row_end_before_their_events_count_as_known() {
    for seed in 0..500 {
        let mut backoff = Backoff::new(seed);
        // Data was received over the first one, and none over the others.
        let mut elapsed = backoff.silence_timeout() + backoff.pause(true);
        for _ in 0..2 {
            elapsed += backoff.silence_timeout() + backoff.pause(false);
        }
        assert!(elapsed < ANNOUNCEMENT_DELAY, "{elapsed} with seed {seed}");
    }
}

/// 300 watches that fall silent in the same moment don't overload the coordinator.
#[test]
fn a_fleet_does_not_redial_in_step() {
    let mut dials: BTreeMap<Micros, usize> = BTreeMap::new();
    for seed in 0..300 {
        let mut backoff = Backoff::new(seed);
        let at = backoff.silence_timeout() + backoff.pause(true);
        *dials.entry(at / (50 * MS)).or_default() += 1;
    }
    let most = dials.values().max().copied().unwrap_or(0);
    assert!(dials.len() >= 10 && most <= 50, "{dials:?}");
}
