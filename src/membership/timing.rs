//! The timing parameters of the protocol, and the resulting bounds on detection time and traffic.
use crate::clock::{MS, Micros, SEC};
use serde::{Deserialize, Serialize};

/// The smallest accepted [`Timing::max_datagram_bytes`]: a message with one update fits into it.
const MIN_DATAGRAM_BYTES: usize = 256;
/// The largest accepted [`Timing::max_datagram_bytes`]: below the limit of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// The timing parameters and size limits of the membership protocol: the `[timing]` table of the
/// fleet file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// The protocol period in milliseconds; each period probes one member.
    pub period_ms: u64,
    /// The timeout of the direct ping in milliseconds, within the period.
    pub probe_ms: u64,
    /// The number of members that are requested to do an indirect probe: SWIM's `k`.
    #[serde(rename = "indirect")]
    pub indirect_probes: usize,
    /// The suspicion timeout in periods, multiplied by log2 of the fleet's size.
    pub suspicion_periods: u64,
    /// The number of datagrams that carry one update, multiplied by log2 of the fleet's size.
    #[serde(rename = "retransmit")]
    pub retransmissions: u64,
    /// The largest datagram in bytes.
    #[serde(rename = "datagram")]
    pub max_datagram_bytes: usize,
    /// How long a manager may be behind the fleet's majority before it reloads, in milliseconds;
    /// after twice this time it is shut out.
    pub grace_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period_ms: 500,
            probe_ms: 200,
            indirect_probes: 3,
            suspicion_periods: 3,
            retransmissions: 3,
            max_datagram_bytes: 1_200,
            grace_ms: 3_000,
        }
    }
}

/// Why timing parameters were rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingError {
    /// The direct ping's timeout is zero or does not end before the period.
    #[error("fleet: probe_ms has to be above 0 and below period_ms")]
    ProbeOutsidePeriod {
        /// The configured timeout of the direct ping.
        probe_ms: u64,
        /// The configured period.
        period_ms: u64,
    },
    /// The datagram limit is out of range.
    #[error("fleet: datagram has to be from {MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES} bytes")]
    DatagramSize {
        /// The configured limit in bytes.
        bytes: usize,
    },
    /// A multiplier of log2 of the fleet's size is zero.
    #[error("fleet: suspicion_periods and retransmit have to be above 0")]
    ZeroMultiplier {
        /// The configured suspicion timeout.
        suspicion_periods: u64,
        /// The configured number of retransmissions.
        retransmit: u64,
    },
}

impl Timing {
    /// Checks that the parameters are in range and consistent.
    ///
    /// # Errors
    /// The first parameter that is out of its range.
    pub fn validate(&self) -> Result<(), TimingError> {
        if self.probe_ms == 0 || self.probe_ms >= self.period_ms {
            return Err(TimingError::ProbeOutsidePeriod {
                probe_ms: self.probe_ms,
                period_ms: self.period_ms,
            });
        }
        if !(MIN_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&self.max_datagram_bytes) {
            return Err(TimingError::DatagramSize {
                bytes: self.max_datagram_bytes,
            });
        }
        if self.suspicion_periods == 0 || self.retransmissions == 0 {
            return Err(TimingError::ZeroMultiplier {
                suspicion_periods: self.suspicion_periods,
                retransmit: self.retransmissions,
            });
        }
        Ok(())
    }

    pub(super) fn period(&self) -> Micros {
        self.period_ms * MS
    }

    pub(super) fn probe_timeout(&self) -> Micros {
        self.probe_ms * MS
    }

    pub(super) fn suspicion_timeout(&self, fleet_size: usize) -> Micros {
        self.suspicion_periods * fleet_scale(fleet_size) * self.period()
    }

    /// The number of datagrams that carry one update.
    pub(super) fn transmissions(&self, fleet_size: usize) -> u64 {
        self.retransmissions * fleet_scale(fleet_size)
    }
}

/// log2 of the fleet's size, at least 1: SWIM's factor for dissemination and suspicion.
fn fleet_scale(fleet_size: usize) -> u64 {
    u64::from((fleet_size as u64 + 1).ilog2()).max(1)
}

/// An upper bound on the membership traffic of one manager in bytes per second while no member
/// fails. On average a manager sends three datagrams per period: its own ping, one ack to the ping
/// of another member, and one sync request or page.
pub fn bandwidth_budget(timing: &Timing) -> u64 {
    3 * timing.max_datagram_bytes as u64 * SEC / timing.period()
}

/// The time from a member's crash within which every other member that receives gossip has declared
/// it dead, exceeded by about one crash in fifty.
///
/// It is the sum of these, in periods: four until any member probes it, exceeded with probability
/// `e^-4`; one for that probe and one for the second probe before the suspicion; the suspicion
/// timeout; one for the final probe; and log2 of the fleet's size for dissemination.
pub fn detection_bound(timing: &Timing, members: usize) -> Micros {
    let dissemination_periods = fleet_scale(members);
    timing.suspicion_timeout(members) + (7 + dissemination_periods) * timing.period()
}
