//! The queue of requests that wait for capacity, in order of rank.
use crate::policy::api::{ClassId, RequestId};

/// A request that waits for capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    /// Priority weight per second of work, computed when the entry was added and at each refresh
    /// of the queue; the highest rank is first.
    pub(crate) rank: f64,
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
}

/// Requests that wait for capacity. Each refresh of the queue sorts them; requests added after it
/// are at the end.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionQueue {
    entries: Vec<QueuedRequest>,
    backlog_seconds: f64,
}

impl AdmissionQueue {
    pub(crate) fn push(&mut self, entry: QueuedRequest) {
        self.entries.push(entry);
    }

    pub(crate) fn first(&self) -> Option<&QueuedRequest> {
        self.entries.first()
    }

    pub(crate) fn get(&self, position: usize) -> Option<&QueuedRequest> {
        self.entries.get(position)
    }

    pub(crate) fn remove(&mut self, position: usize) {
        self.entries.remove(position);
    }

    /// Removes and returns all entries.
    pub(crate) fn take(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.entries)
    }

    /// Sorts by rank, highest first, then by id.
    pub(crate) fn sort(&mut self) {
        let by_rank = |left: &QueuedRequest, right: &QueuedRequest| {
            let rank = right.rank.total_cmp(&left.rank);
            rank.then(left.id.cmp(&right.id))
        };
        self.entries.sort_by(by_rank);
    }

    /// Time in seconds that this gateway's share of the fleet needs for the queued requests, as of
    /// the last refresh of the queue.
    pub(crate) fn backlog_seconds(&self) -> f64 {
        self.backlog_seconds
    }

    pub(crate) fn set_backlog_seconds(&mut self, backlog_seconds: f64) {
        self.backlog_seconds = backlog_seconds;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/admission_queue.rs"]
mod tests;
