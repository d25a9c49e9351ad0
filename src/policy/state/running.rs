//! Running queries of this gateway, counted in threads.

/// Fraction of a concurrency limit that is reserved for short queries; the rest is reserved for
/// long ones.
const RESERVED_FOR_SHORT: f64 = 0.5;

/// Fraction of a concurrency limit up to which long queries may borrow idle capacity; the remainder
/// keeps short queries from queueing behind long ones.
pub(crate) const LONG_QUERY_SHARE: f64 = 0.9;

/// Running queries of this gateway, on one engine or on all engines together. The values are
/// fractional because the type also holds means and weighted sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Running {
    /// Number of queries.
    pub(crate) queries: f64,
    /// Threads of all of them.
    pub(crate) threads: f64,
    /// Threads of the short queries among them.
    pub(crate) short_threads: f64,
}

impl Running {
    /// Adds `other` times `factor`. No value falls below zero, so rounding errors do not
    /// accumulate.
    pub(crate) fn add_scaled(&mut self, other: Running, factor: f64) {
        self.queries = (self.queries + factor * other.queries).max(0.0);
        self.threads = (self.threads + factor * other.threads).max(0.0);
        self.short_threads = (self.short_threads + factor * other.short_threads).max(0.0);
    }

    /// Moves each value toward `sample` by the fraction `weight` of the difference.
    pub(crate) fn smooth_toward(&mut self, sample: Running, weight: f64) {
        let before = *self;
        self.add_scaled(before, -weight);
        self.add_scaled(sample, weight);
    }

    /// Whether a query of `threads` fits under a limit of `limit` threads, given the running ones.
    /// [`RESERVED_FOR_SHORT`] of the limit is reserved for short queries and the rest for long
    /// ones. Short queries may borrow all idle capacity, long ones up to [`LONG_QUERY_SHARE`].
    pub(crate) fn fits(&self, threads: f64, is_long: bool, limit: f64) -> bool {
        let fits_in_total = self.threads + threads <= limit;
        if !is_long {
            return fits_in_total || self.short_threads + threads <= limit * RESERVED_FOR_SHORT;
        }
        let long_threads = self.threads - self.short_threads + threads;
        long_threads <= limit * (1.0 - RESERVED_FOR_SHORT)
            || (fits_in_total && long_threads <= limit * LONG_QUERY_SHARE)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/running.rs"]
mod tests;
