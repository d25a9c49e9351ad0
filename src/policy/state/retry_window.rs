//! Invariant 7: the budget of attempts beyond the first, over a sliding window.
use crate::policy::api::{Nanos, RetryBudget};
use std::collections::VecDeque;

/// Arrivals and retries of the last window, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryWindow {
    arrivals: VecDeque<Nanos>,
    retries: VecDeque<Nanos>,
}

impl RetryWindow {
    pub(crate) fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.push_back(now);
    }

    pub(crate) fn record_retry(&mut self, now: Nanos) {
        self.retries.push_back(now);
    }

    /// Whether one more retry is within `budget`, over the window that ends at `now`. Always `true`
    /// without a budget.
    pub(crate) fn allows_retry(&self, now: Nanos, budget: Option<RetryBudget>) -> bool {
        let Some(budget) = budget else {
            return true;
        };
        let start = now.saturating_sub(budget.window);
        let retries = self.retries.iter().filter(|at| **at >= start).count();
        let newest_first = self.arrivals.iter().rev();
        let arrivals = newest_first.take_while(|at| **at > start).count();
        retries as f64 + 1.0 <= budget.allowance + budget.ratio * arrivals as f64
    }

    /// Drops the arrivals and retries before `start`.
    pub(crate) fn drop_before(&mut self, start: Nanos) {
        for times in [&mut self.arrivals, &mut self.retries] {
            let expired = times.partition_point(|at| *at < start);
            times.drain(..expired);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/retry_window.rs"]
mod tests;
