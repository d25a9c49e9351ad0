//! The log line about rejections: at most one a second, with the causes that came most often.
use crate::clock::{Micros, SEC};
use crate::dispatcher::rejection::RejectionKey;
use std::collections::BTreeMap;

/// The least time between two lines.
const LOG_INTERVAL: Micros = SEC;
/// The causes that a line names.
const MAX_NAMED_CAUSES: usize = 3;

/// What was logged last.
#[derive(Default)]
pub(super) struct RejectionLog {
    logged_at: Micros,
    total: u64,
    counts: BTreeMap<RejectionKey, u64>,
}

impl RejectionLog {
    /// The line that is due at `now` for what was counted since the last one, if there is one.
    pub(super) fn line(
        &mut self,
        now: Micros,
        total: u64,
        counts: &BTreeMap<RejectionKey, u64>,
    ) -> Option<String> {
        if total == self.total || now < self.logged_at + LOG_INTERVAL {
            return None;
        }
        let count = total - self.total;
        let mut causes: Vec<(u64, &RejectionKey)> = counts
            .iter()
            .map(|(key, count)| (count - self.counts.get(key).unwrap_or(&0), key))
            .filter(|(count, _)| *count > 0)
            .collect();
        causes.sort_by(|one, other| other.cmp(one));
        let named: Vec<String> = causes
            .iter()
            .take(MAX_NAMED_CAUSES)
            .map(|(count, key)| {
                let (class, tenant) = (&key.class, key.tenant_text());
                format!("{count} {class} of tenant {tenant}: {}", key.cause.as_str())
            })
            .collect();
        self.logged_at = now;
        self.total = total;
        self.counts.clone_from(counts);
        Some(format!("rejected {count} requests: {}", named.join(", ")))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_dispatcher_rejection_log.rs"]
mod tests;
