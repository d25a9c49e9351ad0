//! The rejection penalty: input of a client whose requests are rejected again and again is deferred,
//! so that its messages are parsed at a bounded rate. Guards the other clients' share of the
//! processor.
use crate::clock::{MS, Micros};

/// Rejections in a row that cost nothing.
const FREE_REJECTIONS: u64 = 64;
/// The delay that each further rejection adds.
const DELAY_PER_REJECTION: Micros = 20 * MS;

/// The recent rejections of one client, as a token bucket: each advances the time at which the
/// bucket is full again.
#[derive(Default)]
pub(super) struct RejectionPenalty {
    replenished_at: Micros,
}

impl RejectionPenalty {
    /// Records `count` rejections.
    pub(super) fn add(&mut self, now: Micros, count: u64) {
        self.replenished_at = self.replenished_at.max(now) + count * DELAY_PER_REJECTION;
    }

    /// Until when the client's input is deferred; `None` if it is not.
    pub(super) fn ends_at(&self, now: Micros) -> Option<Micros> {
        let ends_at = self
            .replenished_at
            .saturating_sub(FREE_REJECTIONS * DELAY_PER_REJECTION);
        (ends_at > now).then_some(ends_at)
    }
}
