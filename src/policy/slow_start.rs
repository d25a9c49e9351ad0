//! Slow start: the work that a gateway may send to an engine that started recently (invariant 4).
use super::Gateway;
use super::fleet_scan::LONG_QUERY_TURN_OFFSET;
use super::state::class_estimates::MIN_SAMPLES;
use super::state::engine::Engine;
use super::state::request::PendingRequest;
use super::state::turns::Turn;
use super::state::units::seconds;
use super::tuning::{USUAL_UTILIZATION, WARM_UP_TURNS};
use crate::policy::api::Nanos;

/// Part of the overload budget that all gateways together may use. The margin covers clock skew,
/// slow machines, and work that is not known in advance.
const BUDGET_MARGIN: f64 = 0.55;

/// Number of divisions of the turns on an engine that warms up: one for short and one for long
/// queries, each with an equal part of the budget.
const TURN_DIVISIONS: f64 = 2.0;

impl Gateway {
    /// Whether the request fits the budget of an engine that warms up. The budget keeps the work
    /// that all gateways send within the overload window under the overload multiple of its
    /// capacity.
    ///
    /// A gateway whose share of the budget holds the query counts the work that it sent. A gateway
    /// with a smaller share sends whole queries in turns. The sum over all gateways is at most the
    /// margin, or 1.5 times the margin if both methods are in use, plus the sent work that
    /// restarted gateways have lost track of.
    pub(super) fn slow_start_allows(
        &self,
        now: Nanos,
        request: &PendingRequest,
        engine: &Engine,
    ) -> bool {
        let invariants = &self.settings.invariants;
        let capacity_fraction = engine.capacity_fraction(now, invariants);
        if capacity_fraction >= 1.0 {
            return true;
        }
        let rate = invariants.overload_multiple
            * capacity_fraction
            * engine.cores
            * USUAL_UTILIZATION
            * BUDGET_MARGIN;
        let budget = self.capacity_share * rate * seconds(invariants.overload_window);
        let share = budget / f64::from(self.gateway_count());
        let work = self.warm_up_work(request);
        let window_start = now.saturating_sub(invariants.overload_window);
        let sent = engine.warm_up.work_since(window_start);
        if sent + work <= share {
            return true;
        }
        if work <= share || sent > 0.0 {
            return false;
        }
        let turns_per_window = (WARM_UP_TURNS + 1) as f64;
        let turn = Turn {
            duration: self.warm_up_turn_duration(),
            holders: budget / (TURN_DIVISIONS * turns_per_window * work.max(1e-3)),
            offset: if self.is_long(request) {
                LONG_QUERY_TURN_OFFSET
            } else {
                0.0
            },
        };
        self.has_unused_turn(now, engine, &turn)
    }

    /// Work of a request that is charged to the slow start budget, in seconds on one core: that of
    /// its class or its hint, whichever is larger.
    pub(super) fn warm_up_work(&self, request: &PendingRequest) -> f64 {
        let estimates = self.estimates(request);
        let prior = if estimates.samples < MIN_SAMPLES {
            let objective = self.class(request).base_latency_objective;
            seconds(objective) * self.query_threads(request)
        } else {
            0.0
        };
        prior.max(estimates.work).max(self.expected_work(request))
    }
}
