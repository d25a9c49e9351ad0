//! Reconnects after timeouts and after failed connections have bounded delays that are spread over
//! the fleet.
use super::*;
use crate::clock::SEC;
use std::collections::BTreeMap;

/// Time after which an announcement of a coordinator counts as known.
const ANNOUNCEMENT_DELAY: Micros = 7 * SEC;

#[test]
fn delays_double_up_to_a_limit_and_start_over_once_data_was_received() {
    let mut backoff = Backoff::new(1);

    let delays: Vec<Micros> = (0..8).map(|_| backoff.next_delay(false)).collect();

    for (failures, delay) in delays.iter().enumerate() {
        let limit = (INITIAL_DELAY << (failures + 1)).min(MAX_DELAY);
        assert!(
            (limit / 2..=limit).contains(delay),
            "{delay} after {failures} failures"
        );
    }
    assert!(backoff.next_delay(true) <= INITIAL_DELAY);
}

/// Guards the drain rule: an event that was missed because three watches in a row were unresponsive
/// is received before it counts as known.
#[test]
fn three_unresponsive_watches_in_a_row_end_before_their_events_count_as_known() {
    for seed in 0..500 {
        let mut backoff = Backoff::new(seed);
        // Data was received over the first watch only.
        let mut elapsed = backoff.receive_timeout() + backoff.next_delay(true);
        for _ in 0..2 {
            elapsed += backoff.receive_timeout() + backoff.next_delay(false);
        }
        assert!(elapsed < ANNOUNCEMENT_DELAY, "{elapsed} with seed {seed}");
    }
}

/// Guards the coordinator against overload when 300 watches become unresponsive at the same time.
#[test]
fn a_fleet_does_not_reconnect_at_the_same_time() {
    let mut reconnects: BTreeMap<Micros, usize> = BTreeMap::new();
    for seed in 0..300 {
        let mut backoff = Backoff::new(seed);
        let at = backoff.receive_timeout() + backoff.next_delay(true);
        *reconnects.entry(at / (50 * MS)).or_default() += 1;
    }
    let max_reconnects = reconnects.values().max().copied().unwrap_or(0);
    assert!(
        reconnects.len() >= 10 && max_reconnects <= 50,
        "{reconnects:?}"
    );
}
