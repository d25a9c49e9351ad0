//! Message pacing: a limit on the messages of one client that are parsed per interval. Messages of
//! completed requests do not count. This keeps one client from taking the processor time of others.
//!
//! An interval is shorter than the delay that the platform permits for a response, so that a
//! request that waits for the next interval still gets its response in time, regardless of the
//! messages that precede it.
use crate::clock::{MS, Micros};

/// The length of an interval: the longest time for which a client's next message is deferred.
pub(super) const PACING_INTERVAL: Micros = 20 * MS;
/// The most messages parsed per interval: as many requests as may be open on a connection, and as
/// many cancellations.
pub(super) const MAX_MESSAGES_PER_INTERVAL: u64 = 64;

/// The messages of one client in the current interval.
#[derive(Default)]
pub(super) struct MessagePacing {
    interval_ends_at: Micros,
    messages: u64,
}

impl MessagePacing {
    /// Records that `count` messages were parsed.
    pub(super) fn add(&mut self, now: Micros, count: u64) {
        if self.interval_ends_at <= now {
            self.interval_ends_at = now + PACING_INTERVAL;
            self.messages = 0;
        }
        self.messages += count;
    }

    /// Records that a request completed: its message does not count.
    pub(super) fn request_completed(&mut self) {
        self.messages = self.messages.saturating_sub(1);
    }

    /// Until when the client's input is deferred; `None` if it is not.
    pub(super) fn resumes_at(&self, now: Micros) -> Option<Micros> {
        let is_exhausted = self.messages >= MAX_MESSAGES_PER_INTERVAL;
        (is_exhausted && self.interval_ends_at > now).then_some(self.interval_ends_at)
    }
}
