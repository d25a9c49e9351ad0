//! The requests that may not be retried on a connection.
use crate::policy::api::RequestId;
use std::collections::VecDeque;

/// Limit on the requests that are kept; the oldest are removed first.
const MAX_ABANDONED_REQUESTS: usize = 256;

/// The requests whose attempt on the connection was sent and ended without a result, the oldest
/// first.
#[derive(Default)]
pub(super) struct AbandonedRequests {
    requests: VecDeque<RequestId>,
}

impl AbandonedRequests {
    pub(super) fn record(&mut self, id: RequestId) {
        self.requests.push_back(id);
        if self.requests.len() > MAX_ABANDONED_REQUESTS {
            self.requests.pop_front();
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.requests.iter().copied()
    }
}
