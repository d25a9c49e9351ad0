//! The operator's file of the fleet's membership: where this manager takes datagrams, whom it
//! greets first, and the protocol's timings. TOML; unknown keys are refused.
use crate::audit::Bounds;
use crate::lease::LeaseTiming;
use crate::membership::Timing;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One owner at a time for fleet work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseConfig {
    /// The managers that grant leases, by their names: the same on all managers, an odd number.
    pub voters: Vec<String>,
    /// The bounds of leases: the same on all managers.
    #[serde(default)]
    pub terms: LeaseTiming,
}

impl LeaseConfig {
    fn check(&self) -> Result<(), String> {
        let all: BTreeSet<&String> = self.voters.iter().collect();
        if self.voters.is_empty() || self.voters.len() > 15 || all.len() < self.voters.len() {
            return Err(
                "fleet: duties: voters have to be 1 to 15 managers, each named once".into(),
            );
        }
        self.terms.validate().map_err(|error| error.to_string())
    }
}

/// What the file says.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The UDP address of this manager; without it, the address of the clients' listener at `port`.
    pub bind: Option<SocketAddr>,
    /// The address others are to send to, where it is not `bind`: one of a relay between managers.
    pub advertise: Option<SocketAddr>,
    /// The port of that address.
    #[serde(default = "port")]
    pub port: u16,
    /// Some members' addresses, this one's among them or not.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The protocol's timings.
    #[serde(default)]
    pub timing: Timing,
    /// The bounds on the audit's files; without it no audit is kept.
    pub audit: Option<Bounds>,
    /// Leases; without them each manager does all fleet work itself.
    pub duties: Option<LeaseConfig>,
}

fn port() -> u16 {
    7946
}

impl FleetConfig {
    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<FleetConfig, String> {
        let fleet: FleetConfig =
            toml::from_str(text).map_err(|e| format!("fleet: {}", e.message()))?;
        fleet.timing.check()?;
        if let Some(bounds) = &fleet.audit {
            bounds.validate().map_err(|error| error.to_string())?;
        }
        fleet.duties.iter().try_for_each(LeaseConfig::check)?;
        if [fleet.bind, fleet.advertise]
            .iter()
            .flatten()
            .any(|b| !b.is_ipv4())
            || fleet.seeds.iter().any(|s| !s.is_ipv4())
        {
            return Err("fleet: addresses have to be IPv4".into());
        }
        Ok(fleet)
    }

    /// Where this manager takes datagrams, beside clients at `listen`.
    pub fn bind(&self, listen: SocketAddr) -> SocketAddr {
        self.bind.unwrap_or(SocketAddr::new(listen.ip(), self.port))
    }
}
