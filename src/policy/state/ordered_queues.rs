//! Invariant 5: requests with the same key run one at a time, in order of arrival.
use crate::policy::api::{Nanos, OrderKey, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key, oldest first.
#[derive(Clone, Debug, Default)]
struct OrderedQueue {
    requests: VecDeque<RequestId>,
    /// No request may start before this time, because an attempt that ended without a response may
    /// still run.
    cooldown_until: Nanos,
}

/// The queues of all keys in use.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderedQueues {
    queues: BTreeMap<OrderKey, OrderedQueue>,
}

impl OrderedQueues {
    pub(crate) fn push(&mut self, key: OrderKey, request: RequestId) {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(request);
    }

    /// Whether the request is the oldest of its key and the cooldown of the key has ended.
    pub(crate) fn is_next(&self, now: Nanos, key: OrderKey, request: RequestId) -> bool {
        let queue = self.queues.get(&key);
        queue.is_some_and(|queue| {
            queue.requests.front() == Some(&request) && now >= queue.cooldown_until
        })
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, key: OrderKey, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|queued| *queued != request);
        }
    }

    /// Delays the requests of the key until `until`.
    pub(crate) fn start_cooldown(&mut self, key: OrderKey, until: Nanos) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.cooldown_until = until;
        }
    }

    /// Removes keys that have no requests and whose cooldown has ended.
    pub(crate) fn remove_idle(&mut self, now: Nanos) {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.cooldown_until > now);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/ordered_queues.rs"]
mod tests;
