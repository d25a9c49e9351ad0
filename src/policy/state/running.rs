//! Queries of this gateway that run now, counted in threads.

/// Share of a concurrency limit that short queries keep even while long ones borrow the rest.
const RESERVED_FOR_SHORT: f64 = 0.5;

/// Share of a concurrency limit up to which long queries may borrow idle capacity; the remainder
/// keeps short queries from queueing behind long ones.
pub(crate) const LONG_QUERY_SHARE: f64 = 0.9;

/// Queries of this gateway that run on one engine, or on all engines together. The figures are
/// fractional because means and weighted sums are kept in the same type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Running {
    /// Number of queries.
    pub(crate) queries: f64,
    /// Threads of all of them.
    pub(crate) threads: f64,
    /// Threads of the short ones among them.
    pub(crate) short_threads: f64,
}

impl Running {
    /// Adds `other` times `factor`. No figure falls below zero, so rounding errors do not add up.
    pub(crate) fn add_scaled(&mut self, other: Running, factor: f64) {
        self.queries = (self.queries + factor * other.queries).max(0.0);
        self.threads = (self.threads + factor * other.threads).max(0.0);
        self.short_threads = (self.short_threads + factor * other.short_threads).max(0.0);
    }

    /// Moves each figure toward `sample` by the part `weight` of the difference.
    pub(crate) fn smooth_toward(&mut self, sample: Running, weight: f64) {
        let before = *self;
        self.add_scaled(before, -weight);
        self.add_scaled(sample, weight);
    }

    /// Whether a query of `threads` fits beside what runs, under a limit of `limit` threads. Short
    /// queries have [`RESERVED_FOR_SHORT`] of the limit to themselves; long ones have the rest and
    /// may borrow idle capacity up to [`LONG_QUERY_SHARE`].
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
