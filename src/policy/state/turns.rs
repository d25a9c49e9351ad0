//! Turns: where a gateway's share of an engine is less than one query, whole gateways take turns
//! there, without coordination between them.
use crate::policy::api::{EngineId, Nanos};

/// 2^64 over the golden ratio: its multiples spread evenly on a circle.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Position of a gateway among its peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayPosition {
    pub(crate) index: u32,
    /// Number of gateways, at least 1.
    pub(crate) count: u32,
}

/// One division of the time into turns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// Length of a turn.
    pub(crate) duration: Nanos,
    /// Number of gateways that have the same turn, on average; it may be a fraction.
    pub(crate) holders: f64,
    /// Shift on the circle, from 0 to 1: different shifts give different gateways the turn.
    pub(crate) offset: f64,
}

impl Turn {
    /// The number of the turn at `at`.
    pub(crate) fn index(&self, at: Nanos) -> u64 {
        at / self.duration.max(1)
    }

    /// Whether `gateway` has the turn on `engine` at `now`. Gateways stand evenly on a circle. An arc of `holders` of them has the turn, and moves by the golden ratio
    /// with each turn: whole gateways, `holders` of them on average.
    pub(crate) fn belongs_to(
        &self,
        now: Nanos,
        gateway: GatewayPosition,
        engine: EngineId,
    ) -> bool {
        let gateways = f64::from(gateway.count);
        let gateway_position = f64::from(gateway.index % gateway.count) / gateways;
        let position = gateway_position + circle_position(engine.0);
        let arc_start = circle_position(self.index(now));
        let distance = (position + 1.0 + self.offset - arc_start).fract();
        distance < self.holders / gateways
    }
}

/// Position on a circle of length 1.
fn circle_position(number: u64) -> f64 {
    (number.wrapping_mul(GOLDEN_RATIO_STEP) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../../../tests/unit/turns.rs"]
mod tests;
