//! Work sent to an engine in slow start, over the window of invariant 4.
use crate::policy::api::Nanos;
use std::collections::VecDeque;

/// An attempt sent to an engine in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpAttempt {
    pub(crate) at: Nanos,
    /// Work of the request, in seconds on one core.
    pub(crate) work: f64,
}

/// Attempts sent within the last window, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUpWindow {
    attempts: VecDeque<WarmUpAttempt>,
}

impl WarmUpWindow {
    /// Adds an attempt; `now` must not decrease between calls.
    pub(crate) fn record(&mut self, now: Nanos, work: f64) {
        self.attempts.push_back(WarmUpAttempt { at: now, work });
    }

    /// Drops the attempts sent before `start`.
    pub(crate) fn drop_before(&mut self, start: Nanos) {
        let expired = self.attempts.partition_point(|attempt| attempt.at < start);
        self.attempts.drain(..expired);
    }

    /// Work sent since `start`, in seconds on one core.
    pub(crate) fn work_since(&self, start: Nanos) -> f64 {
        let recent = self.attempts.iter().filter(|attempt| attempt.at >= start);
        recent.map(|attempt| attempt.work).sum()
    }

    /// The oldest and the newest attempt, if there is any.
    #[cfg(test)]
    pub(crate) fn oldest_and_newest(&self) -> Option<(WarmUpAttempt, WarmUpAttempt)> {
        let oldest = self.attempts.front()?;
        let newest = self.attempts.back()?;
        Some((*oldest, *newest))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/warm_up_window.rs"]
mod tests;
