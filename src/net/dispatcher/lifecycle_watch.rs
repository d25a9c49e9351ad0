//! Periodic check of the process's lifecycle, which other actors change.
use crate::clock::{MS, Micros};
use crate::net::{Shared, client};

/// Time between two checks; the same as the interval of the decision module's tick.
const CHECK_INTERVAL: Micros = 20 * MS;

/// Changes of the capacity share up to this size are not applied, except those to exactly 0 or 1.
const MIN_SHARE_CHANGE: f64 = 0.01;

/// What the lifecycle required at the last check.
pub(super) struct LifecycleWatch {
    checked_at: Micros,
    /// Whether idle client connections were being closed.
    closes_idle_connections: bool,
    /// The share of the gateway's capacity that was applied last.
    capacity_share: f64,
}

impl LifecycleWatch {
    /// A watch whose first check is due at once.
    pub(super) fn new() -> LifecycleWatch {
        LifecycleWatch {
            checked_at: 0,
            closes_idle_connections: false,
            capacity_share: 1.0,
        }
    }

    /// When [`LifecycleWatch::check`] is due. Only a process with an admin endpoint can be drained
    /// or have a successor, so others are not woken up before they stop.
    pub(super) fn next_check(&self, shared: &Shared) -> Option<Micros> {
        let is_enabled = shared.admin_enabled.get() || shared.lifecycle.borrow().is_stopping();
        is_enabled.then_some(self.checked_at + CHECK_INTERVAL)
    }

    /// If a check is due, closes idle client connections as the lifecycle requires, and applies a
    /// new capacity share to the limits. Returns the share if it is new.
    pub(super) fn check(&mut self, shared: &Shared, now: Micros) -> Option<f64> {
        if self.next_check(shared).is_none_or(|due| due > now) {
            return None;
        }
        self.checked_at = now;
        client::close_idle_connections(shared, now, &mut self.closes_idle_connections);
        let share = shared.lifecycle.borrow().capacity_share();
        if !self.is_new(share) {
            return None;
        }
        self.capacity_share = share;
        shared.apply_capacity_share();
        Some(share)
    }

    fn is_new(&self, share: f64) -> bool {
        let is_whole = share == 1.0 || share == 0.0;
        (share - self.capacity_share).abs() > MIN_SHARE_CHANGE
            || (share != self.capacity_share && is_whole)
    }
}
