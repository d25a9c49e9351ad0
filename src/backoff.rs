//! Exponential backoff with jitter for redialling a peer, and the time after which a silent
//! connection is given up.
//!
//! Pure: all randomness comes from the seed, so gateways with different seeds don't redial at the
//! same time.
use crate::clock::{MS, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::RangeInclusive;

/// Upper limit of the pause after a connection that worked. It doubles with each failure.
const INITIAL_PAUSE: Micros = 100 * MS;

/// Greatest upper limit of a pause. Each pause is drawn from the upper half of what its limit
/// allows.
const MAX_PAUSE: Micros = 800 * MS;

/// A peer that owes a frame each second is considered dead after this time without one, drawn for
/// each connection. Short, so that what the peer has to announce is learned in time even after
/// several connections in a row fell silent.
const SILENCE_TIMEOUT: RangeInclusive<Micros> = 1_500 * MS..=2_100 * MS;

/// Doublings after which a limit no longer grows in any case; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// When to redial one peer.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: Pcg32,
    /// Connections in a row over which nothing was received.
    failures: u32,
}

impl Backoff {
    /// A backoff without failures.
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

    /// A connection ended: how long to wait before the next dial. `received_data` says whether
    /// anything was received over it; if so the doubling starts over, as a peer that disconnects
    /// now and then is not worth a long pause.
    pub fn pause(&mut self, received_data: bool) -> Micros {
        self.failures = if received_data { 0 } else { self.failures + 1 };
        let limit = (INITIAL_PAUSE << self.failures.min(MAX_DOUBLINGS)).min(MAX_PAUSE);
        self.draw(limit / 2..=limit)
    }

    /// How long the next connection may be silent before it is considered dead.
    pub fn silence_timeout(&mut self) -> Micros {
        self.draw(SILENCE_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "../tests/unit/backoff.rs"]
mod tests;
