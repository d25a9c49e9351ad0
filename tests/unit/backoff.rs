//! Dials after silence and after breaks: bounded, and spread over a fleet.
use super::*;
use crate::clock::SEC;
use std::collections::BTreeMap;

/// At the latest so long after it was told, what a coordinator has to tell counts as known.
const TOLD: Micros = 7 * SEC;

#[test]
fn pauses_double_up_to_a_bound_and_start_anew_after_a_word() {
    let mut backoff = Backoff::new(1);
    let pauses: Vec<Micros> = (0..8).map(|_| backoff.pause(false)).collect();
    for (n, pause) in pauses.iter().enumerate() {
        let most = (FIRST << (n + 1)).min(LONGEST);
        assert!(
            (most / 2..=most).contains(pause),
            "{pause} after {n} failures"
        );
    }
    assert!(backoff.pause(true) <= FIRST);
}

/// Guards the drain rule: what came while three watches in a row fell silent is known before it
/// counts as told.
#[test]
fn three_silent_watches_in_a_row_end_before_what_they_hide_counts_as_told() {
    for seed in 0..500 {
        let mut backoff = Backoff::new(seed);
        // The first one had spoken, the further ones never did.
        let mut took = backoff.silence() + backoff.pause(true);
        for _ in 0..2 {
            took += backoff.silence() + backoff.pause(false);
        }
        assert!(took < TOLD, "{took} with seed {seed}");
    }
}

/// Guards the coordinator: 300 watches that fall silent in the same moment are not dialled in the
/// same moment.
#[test]
fn a_fleet_does_not_dial_in_step() {
    let mut dials: BTreeMap<Micros, usize> = BTreeMap::new();
    for seed in 0..300 {
        let mut backoff = Backoff::new(seed);
        let at = backoff.silence() + backoff.pause(true);
        *dials.entry(at / (50 * MS)).or_default() += 1;
    }
    let most = dials.values().max().copied().unwrap_or(0);
    assert!(dials.len() >= 10 && most <= 50, "{dials:?}");
}
