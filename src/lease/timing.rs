//! The timing parameters of leases and the conditions under which they are safe.
use crate::clock::{MS, Micros};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest lease that may be configured, in milliseconds.
const MAX_LEASE_DURATION_MS: u64 = 600_000;

/// `[duties.terms]` of the operator's fleet file. All voters and candidates must be configured with
/// the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTiming {
    /// How long a voter's grant is valid unless it is renewed, in milliseconds.
    #[serde(rename = "term_ms")]
    pub lease_duration_ms: u64,
    /// The maximum drift between the clocks of two managers, in thousandths of the elapsed time.
    #[serde(rename = "drift")]
    pub clock_drift_per_mille: u64,
    /// How long before its end a holder stops using a lease, in milliseconds, so that the last
    /// messages under the lease have left the process when it ends.
    #[serde(rename = "margin_ms")]
    pub safety_margin_ms: u64,
    /// How long a manager waits for a lease holder's reply to a probe request before it probes the
    /// engine itself, in milliseconds. The decision module waits 30 ms for its probes.
    #[serde(rename = "ask_ms")]
    pub probe_request_timeout_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            lease_duration_ms: 3_000,
            clock_drift_per_mille: 20,
            safety_margin_ms: 100,
            probe_request_timeout_ms: 20,
        }
    }
}

/// Why a [`LeaseTiming`] is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseTimingError {
    /// The lease duration is zero or longer than ten minutes.
    #[error("fleet: duties: term_ms has to be 1 to {MAX_LEASE_DURATION_MS}, not {term_ms}")]
    DurationOutOfRange {
        /// The configured lease duration in milliseconds.
        term_ms: u64,
    },
    /// Drift and margin take more than half of the lease duration.
    #[error(
        "fleet: duties: drift and margin_ms have to leave half of term_ms: \
         drift = {drift}, margin_ms = {margin_ms}, term_ms = {term_ms}"
    )]
    ValidityTooShort {
        /// The configured clock drift in thousandths.
        drift: u64,
        /// The configured safety margin in milliseconds.
        margin_ms: u64,
        /// The configured lease duration in milliseconds.
        term_ms: u64,
    },
}

impl LeaseTiming {
    /// Checks that a holder has at least half of the lease duration left after drift and margin.
    ///
    /// # Errors
    /// A [`LeaseTimingError`] with the values that are out of range or inconsistent.
    pub fn validate(&self) -> Result<(), LeaseTimingError> {
        let term_ms = self.lease_duration_ms;
        if term_ms == 0 || term_ms > MAX_LEASE_DURATION_MS {
            return Err(LeaseTimingError::DurationOutOfRange { term_ms });
        }
        let deducted_ms = self.deducted_ms();
        if deducted_ms.saturating_mul(2) > term_ms {
            return Err(LeaseTimingError::ValidityTooShort {
                drift: self.clock_drift_per_mille,
                margin_ms: self.safety_margin_ms,
                term_ms,
            });
        }
        Ok(())
    }

    /// How long a holder may use a lease, starting when it sent the request.
    pub fn holder_validity(&self) -> Micros {
        self.lease_duration_ms.saturating_sub(self.deducted_ms()) * MS
    }

    /// The part of the lease duration taken by drift and margin, in milliseconds. The drift is
    /// rounded up to full milliseconds.
    fn deducted_ms(&self) -> u64 {
        let drift = self
            .lease_duration_ms
            .saturating_mul(self.clock_drift_per_mille);
        drift.div_ceil(1_000).saturating_add(self.safety_margin_ms)
    }

    /// How long a voter's grant is valid, starting when the voter granted the request.
    pub fn grant_duration(&self) -> Micros {
        self.lease_duration_ms * MS
    }
}
