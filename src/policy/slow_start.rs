//! Cold engines: what a gateway may send to one that started a while ago.
use super::*;

// Margin on the cold budget: clocks, slow machines, work not known ahead.
const COLD_MARGIN: f64 = 0.55;

impl Gateway {
    /// Rule 4: work sent to a cold engine by all gateways in the stated window stays in the budget.
    /// A part that holds the query is kept by counting; below that, whole queries go out in turns.
    /// Bound of the sum: the margin, 1.5 times it with counts and turns beside each other, and the
    /// part that restarts forget.
    pub(super) fn cold_allows(&self, now: Nanos, r: &PendingRequest, e: &Engine) -> bool {
        let (rules, warmth) = (
            &self.settings.invariants,
            e.warmth(now, &self.settings.invariants),
        );
        let rate = rules.overload_multiple * warmth * e.cores * USUAL_BUSY * COLD_MARGIN;
        let budget = self.capacity_share * rate * secs(rules.overload_window);
        let part = budget / f64::from(self.settings.gateways.max(1));
        let from = now.saturating_sub(rules.overload_window);
        let weight = self.cold_weight(r);
        let sent: f64 = e
            .warm_up_sends
            .iter()
            .filter(|(t, _)| *t >= from)
            .map(|(_, w)| w)
            .sum();
        // Half for each of short and long, whose turns lie across the circle lest short ones use up
        // both.
        let holders = budget / (2.0 * (COLD_SLOTS + 1) as f64 * weight.max(1e-3));
        let (slot, across) = (
            rules.overload_window / COLD_SLOTS,
            if self.is_long(r) { 0.5 } else { 0.0 },
        );
        let in_turn =
            || weight > part && sent <= 0.0 && self.has_slot(now, e, slot, holders, across);
        warmth >= 1.0 || sent + weight <= part || in_turn()
    }

    /// Weighs a query for that budget by its class and its hint, whichever says more.
    pub(super) fn cold_weight(&self, r: &PendingRequest) -> f64 {
        let l = self.learned(r);
        let guess = if l.samples < ENOUGH {
            secs(self.class(r).base_latency_objective) * self.threads(r)
        } else {
            0.0
        };
        guess.max(l.work).max(self.work(r))
    }
}
