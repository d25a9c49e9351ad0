//! The log line about rejections: at most one per second, with the most frequent causes.
use crate::clock::{Micros, SEC};
use crate::dispatcher::rejection::RejectionKey;
use std::collections::BTreeMap;

/// Least time between two lines.
const LOG_INTERVAL: Micros = SEC;
/// Limit of the causes that a line names.
const MAX_NAMED_CAUSES: usize = 3;

/// The counts at the time of the last line.
#[derive(Default)]
pub(super) struct RejectionLog {
    logged_at: Micros,
    total: u64,
    counts: BTreeMap<RejectionKey, u64>,
}

impl RejectionLog {
    /// Returns the line about the rejections since the last one, if one is due at `now`.
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
                format!(
                    "{count} (class {class}, tenant {tenant}, reason {})",
                    key.cause.as_str()
                )
            })
            .collect();
        self.logged_at = now;
        self.total = total;
        self.counts.clone_from(counts);
        Some(format!(
            "rejected {count} requests, most frequent causes: {}",
            named.join(", ")
        ))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_dispatcher_rejection_log.rs"]
mod tests;
