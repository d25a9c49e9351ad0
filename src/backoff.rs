//! Exponential backoff with jitter for reconnecting to a peer, and the receive timeout of each
//! connection to it.
//!
//! Pure: all randomness comes from the seed, so gateways with different seeds don't reconnect at
//! the same time.
use crate::clock::{MS, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::RangeInclusive;

/// Upper limit of the delay after a connection over which data was received. It doubles with each
/// further connection without data.
const INITIAL_DELAY: Micros = 100 * MS;

/// Maximum of the doubled upper limit. Each delay is drawn at random between half of its upper
/// limit and the limit.
const MAX_DELAY: Micros = 800 * MS;

/// Time without received data after which a connection counts as unresponsive, drawn at random for
/// each connection. The peer should send a frame each second. The timeout is short, so that the
/// peer's announcements are received in time even after several unresponsive connections in a row.
const RECEIVE_TIMEOUT: RangeInclusive<Micros> = 1_500 * MS..=2_100 * MS;

/// Upper limit of the number of doublings, which keeps the shift in range. The delay reaches its
/// maximum after fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

/// The state of the backoff for one peer.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: Pcg32,
    /// Consecutive connections over which nothing was received.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            rng: Pcg32::seed_from_u64(seed),
            failures: 0,
        }
    }

    fn draw(&mut self, range: RangeInclusive<Micros>) -> Micros {
        let (from, to) = range.into_inner();
        from + u64::from(self.rng.next_u32()) % (to - from + 1)
    }

    /// Records the end of a connection and returns the delay before the next attempt to connect.
    /// `received_data` is whether anything was received over the connection; if so, the doubling
    /// starts over, since an occasional disconnect does not justify a long delay.
    pub fn next_delay(&mut self, received_data: bool) -> Micros {
        self.failures = if received_data { 0 } else { self.failures + 1 };
        let limit = (INITIAL_DELAY << self.failures.min(MAX_DOUBLINGS)).min(MAX_DELAY);
        self.draw(limit / 2..=limit)
    }

    /// Draws the receive timeout of the next connection.
    pub fn receive_timeout(&mut self) -> Micros {
        self.draw(RECEIVE_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "../tests/unit/backoff.rs"]
mod tests;
