//! Durations of leases and the bounds under which they are safe.
use crate::clock::{MS, Micros};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest lease that may be configured, in milliseconds.
const MAX_LEASE_DURATION_MS: u64 = 600_000;

/// `[duties.terms]` of the operator's fleet file. All voters and candidates have to be given the
/// same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTiming {
    /// How long a voter's grant is valid unless it is renewed, in milliseconds.
    #[serde(rename = "term_ms")]
    pub lease_duration_ms: u64,
    /// The bound on how far the clocks of two managers drift apart, in thousandths of the elapsed
    /// time.
    #[serde(rename = "drift")]
    pub clock_drift_per_mille: u64,
    /// How long before its end a holder stops using a lease, in milliseconds: what it sent just
    /// before has left the process by then.
    #[serde(rename = "margin_ms")]
    pub safety_margin_ms: u64,
    /// How long a manager waits for a lease holder to answer a probe request before it probes the
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
    /// Drift and margin use up more than half of the lease duration.
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
    /// A [`LeaseTimingError`] with the values that do not fit together.
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

    /// How long a holder may use a lease, counted from when it sent the request.
    pub fn holder_validity(&self) -> Micros {
        self.lease_duration_ms.saturating_sub(self.deducted_ms()) * MS
    }

    /// What drift and margin take of the lease duration, in milliseconds. Drift counts in full
    /// milliseconds, upwards.
    fn deducted_ms(&self) -> u64 {
        let drift = self
            .lease_duration_ms
            .saturating_mul(self.clock_drift_per_mille);
        drift.div_ceil(1_000).saturating_add(self.safety_margin_ms)
    }

    /// How long a voter's grant is valid, counted from when it granted.
    pub fn grant_duration(&self) -> Micros {
        self.lease_duration_ms * MS
    }
}
