//! Turns: where a gateway's share of an engine is less than one query, gateways use the engine in
//! turns (time slots), without coordination between them.
use crate::policy::api::{EngineId, Nanos};

/// 2^64 divided by the golden ratio: its multiples are spread evenly on a circle.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Position of a gateway among all gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayPosition {
    pub(crate) index: u32,
    /// Number of gateways, at least 1.
    pub(crate) count: u32,
}

/// A division of time into turns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// Length of a turn.
    pub(crate) duration: Nanos,
    /// Average number of gateways that have the same turn; may be a fraction.
    pub(crate) holders: f64,
    /// Offset on the circle, 0 to 1: with different offsets, different gateways have the turn.
    pub(crate) offset: f64,
}

impl Turn {
    /// The index of the turn at the time `at`.
    pub(crate) fn index(&self, at: Nanos) -> u64 {
        at / self.duration.max(1)
    }

    /// Whether `gateway` has the turn on `engine` at `now`. Gateways are spaced evenly on a circle.
    /// The gateways on an arc that spans `holders` of them on average have the turn; with each turn
    /// the arc moves by the golden ratio.
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
