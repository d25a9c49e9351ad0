//! Token bucket that limits cancellations and hedged attempts, so that a fleet that is slow as a
//! whole causes no retry storm.

/// Tokens added by each request that arrives.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Maximum number of tokens in the bucket.
const CAPACITY: f64 = 6.0;

/// Token bucket; a cancellation or a hedged attempt costs one token.
#[derive(Clone, Debug)]
pub(crate) struct CancelBudget {
    tokens: f64,
}

impl CancelBudget {
    /// Creates a full bucket.
    pub(crate) fn new() -> CancelBudget {
        CancelBudget { tokens: CAPACITY }
    }

    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the fraction of a token for a request that arrived.
    pub(crate) fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(CAPACITY);
    }

    /// Returns the token of a retry that succeeded, so that slow engines use up the bucket, but
    /// lost messages do not.
    pub(crate) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(CAPACITY);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/cancel_budget.rs"]
mod tests;
