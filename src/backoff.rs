//! Bounded exponential backoff with jitter, and the patience with a feed that says nothing. Pure:
//! its only randomness is its seed, so that managers with different seeds never dial in step.
use crate::clock::{MS, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The pause before the first dial after a connection that worked, and the longest one; doubled in
/// between. Each pause is drawn from the upper half of its length.
const FIRST: Micros = 100 * MS;
const LONGEST: Micros = 800 * MS;
/// A feed that owes a frame each second is dead after so long without one, drawn anew for each
/// connection. The sooner it is dialled again, the sooner what it has to tell is known, also after
/// several that fell silent.
const SILENCE: (Micros, Micros) = (1_500 * MS, 2_100 * MS);

/// When to dial a peer again.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: Pcg32,
    /// Dials in a row that brought nothing.
    failures: u32,
}

impl Backoff {
    /// One that has not failed yet.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            rng: Pcg32::seed_from_u64(seed),
            failures: 0,
        }
    }

    fn between(&mut self, from: Micros, to: Micros) -> Micros {
        from + u64::from(self.rng.next_u32()) % (to - from + 1)
    }

    /// A connection ended; how long to wait before the next dial. One that spoke starts the
    /// doubling anew: guards against waiting long for a peer that only breaks off now and then.
    pub fn pause(&mut self, spoke: bool) -> Micros {
        self.failures = if spoke { 0 } else { self.failures + 1 };
        let most = (FIRST << self.failures.min(16)).min(LONGEST);
        self.between(most / 2, most)
    }

    /// How long the next connection may say nothing.
    pub fn silence(&mut self) -> Micros {
        self.between(SILENCE.0, SILENCE.1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/backoff.rs"]
mod tests;
