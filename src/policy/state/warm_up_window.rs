//! Work sent to an engine in slow start, over the window of invariant 4.
use crate::policy::api::Nanos;
use std::collections::VecDeque;

/// One send to an engine in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpSend {
    pub(crate) at: Nanos,
    /// Work of the request, in seconds on one core.
    pub(crate) work: f64,
}

/// Sends within the last window, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUpWindow {
    sends: VecDeque<WarmUpSend>,
}

impl WarmUpWindow {
    /// Adds a send; `now` must not decrease between calls.
    pub(crate) fn record(&mut self, now: Nanos, work: f64) {
        self.sends.push_back(WarmUpSend { at: now, work });
    }

    /// Drops the sends before `start`.
    pub(crate) fn drop_before(&mut self, start: Nanos) {
        let expired = self.sends.partition_point(|send| send.at < start);
        self.sends.drain(..expired);
    }

    /// Work sent since `start`, in seconds on one core.
    pub(crate) fn work_since(&self, start: Nanos) -> f64 {
        let recent = self.sends.iter().filter(|send| send.at >= start);
        recent.map(|send| send.work).sum()
    }

    /// The oldest and the newest send, if there is any.
    #[cfg(test)]
    pub(crate) fn oldest_and_newest(&self) -> Option<(WarmUpSend, WarmUpSend)> {
        let oldest = self.sends.front()?;
        let newest = self.sends.back()?;
        Some((*oldest, *newest))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/warm_up_window.rs"]
mod tests;
