//! The operator's fleet file: the address for datagrams of the fleet, the seeds, and the parameters
//! of membership, leases and the audit. It is TOML; unknown keys are rejected.
use crate::audit::Bounds;
use crate::lease::LeaseTiming;
use crate::membership::{Timing, TimingError};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;

/// The default UDP port of the fleet's datagrams.
const DEFAULT_PORT: u16 = 7946;

/// The largest number of voters.
const MAX_VOTERS: usize = 15;

/// The `[duties]` table: the voters and the timing of the leases on work that one manager does for
/// the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseConfig {
    /// The names of the managers that vote on leases: the same list on all managers, of an odd
    /// length.
    pub voters: Vec<String>,
    /// The durations and safety margins of leases: the same on all managers.
    #[serde(default, rename = "terms")]
    pub timing: LeaseTiming,
}

impl LeaseConfig {
    fn validate(&self) -> Result<(), FleetConfigError> {
        let distinct: BTreeSet<&String> = self.voters.iter().collect();
        let count = self.voters.len();
        if count == 0 || count > MAX_VOTERS || distinct.len() < count {
            return Err(FleetConfigError::Voters {
                voters: self.voters.clone(),
            });
        }
        self.timing
            .validate()
            .map_err(|cause| FleetConfigError::LeaseTiming(cause.into()))
    }
}

/// The contents of the fleet file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The local UDP address; by default the address of the clients' listener with `port`.
    pub bind: Option<SocketAddr>,
    /// The address that the other managers send to, where it differs from `bind`, such as that of a
    /// relay.
    pub advertise: Option<SocketAddr>,
    /// The UDP port, used with the IP address of the clients' listener if `bind` is not set.
    #[serde(default = "default_port")]
    pub port: u16,
    /// The addresses of some members, which may include this manager's own.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The parameters of the membership protocol.
    #[serde(default)]
    pub timing: Timing,
    /// The size limits of the audit files; without them no audit is written.
    pub audit: Option<Bounds>,
    /// The leases; without them each manager does all fleet work itself.
    #[serde(rename = "duties")]
    pub leases: Option<LeaseConfig>,
}

fn default_port() -> u16 {
    DEFAULT_PORT
}

/// Why a fleet file was rejected. `Display` gives the line for the operator.
#[derive(Debug, thiserror::Error)]
pub enum FleetConfigError {
    /// Not TOML, an unknown or missing key, or a value of the wrong type.
    #[error("fleet: {}", .0.message())]
    Syntax(#[from] toml::de::Error),
    /// The `[timing]` table is out of range.
    #[error(transparent)]
    Timing(#[from] TimingError),
    /// The `[audit]` table is out of range.
    #[error(transparent)]
    AuditLimits(Box<dyn Error + Send + Sync>),
    /// The list of voters is empty, too long, or names a manager twice.
    #[error("fleet: duties: voters have to be 1 to {MAX_VOTERS} managers, each named once")]
    Voters {
        /// The list in the file.
        voters: Vec<String>,
    },
    /// The `[duties.terms]` table is out of range.
    #[error(transparent)]
    LeaseTiming(Box<dyn Error + Send + Sync>),
    /// An address is not an IPv4 address.
    #[error("fleet: bind, advertise and seeds have to be IPv4 addresses, not {address}")]
    NotIpv4 {
        /// The first such address.
        address: SocketAddr,
    },
}

impl FleetConfig {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    /// Fails with the first reason to reject the file.
    pub fn parse(text: &str) -> Result<FleetConfig, FleetConfigError> {
        let config: FleetConfig = toml::from_str(text)?;
        config.validate()?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), FleetConfigError> {
        self.timing.validate()?;
        if let Some(limits) = &self.audit {
            limits
                .validate()
                .map_err(|cause| FleetConfigError::AuditLimits(cause.into()))?;
        }
        if let Some(leases) = &self.leases {
            leases.validate()?;
        }
        self.validate_addresses()
    }

    fn validate_addresses(&self) -> Result<(), FleetConfigError> {
        let mut addresses = self.bind.iter().chain(&self.advertise).chain(&self.seeds);
        match addresses.find(|address| !address.is_ipv4()) {
            Some(address) => Err(FleetConfigError::NotIpv4 { address: *address }),
            None => Ok(()),
        }
    }

    /// The UDP address to bind, given the address of the clients' listener.
    pub fn bind(&self, listen: SocketAddr) -> SocketAddr {
        self.bind.unwrap_or(SocketAddr::new(listen.ip(), self.port))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config_fleet.rs"]
mod tests;
