//! Token bucket of cancellations and hedged requests: engines that are slow as a whole must not
//! cause a storm of retries.

/// Tokens earned by each request that arrives.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Tokens that may be saved up.
const CAPACITY: f64 = 6.0;

/// Token bucket; one cancellation or hedged request costs one token.
#[derive(Clone, Debug)]
pub(crate) struct CancelBudget {
    tokens: f64,
}

impl CancelBudget {
    /// A full bucket.
    pub(crate) fn new() -> CancelBudget {
        CancelBudget { tokens: CAPACITY }
    }

    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the share of a token that an arriving request earns.
    pub(crate) fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(CAPACITY);
    }

    /// Gives back the token of a retry that succeeded: lost messages then do not use up the
    /// bucket, slow engines do.
    pub(crate) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(CAPACITY);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/cancel_budget.rs"]
mod tests;
