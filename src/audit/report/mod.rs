//! Compares the audits of several managers: which configuration each acted on, which leases each
//! held, where the managers disagree, and how long each change took to reach them. Does no I/O: the
//! input is the records and the views of the fleet, the output is a [`Report`].
mod activity;
mod disagreement;
mod propagation;
mod text;

pub use activity::{ActivityInterval, LeaseInterval};
pub use disagreement::Disagreement;
pub use propagation::{DelayBin, PropagationDelay};

use super::AuditLine;
use crate::membership::{MemberState, RunningVersions};
use serde::{Deserialize, Serialize};

/// A member as one manager reports it: a line of `GET /fleet`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedMember {
    /// Whether it is the reporting manager itself.
    #[serde(rename = "self")]
    pub is_self: bool,
    /// Its name.
    pub name: String,
    /// Its state in the reporting manager's view.
    #[serde(rename = "health")]
    pub state: MemberState,
    /// The versions that it announces.
    pub versions: RunningVersions,
}

/// The data received from one manager.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeReport {
    /// The manager's address, as it was queried.
    pub addr: String,
    /// Its view of the fleet, itself first.
    pub fleet: Vec<ObservedMember>,
    /// Its records.
    pub records: Vec<AuditLine>,
    /// The number of damaged frames in its files.
    #[serde(rename = "spoilt")]
    pub damaged_frames: u64,
    /// The data that could not be received from it.
    pub missing: Vec<String>,
}

impl NodeReport {
    /// The manager's own entry in its view of the fleet.
    fn own_entry(&self) -> Option<&ObservedMember> {
        self.fleet.iter().find(|member| member.is_self)
    }

    /// The manager's name from its view of the fleet, or else from its records, or else its
    /// address.
    pub fn name(&self) -> &str {
        if let Some(member) = self.own_entry() {
            return &member.name;
        }
        match self.records.first() {
            Some(line) => &line.context.member,
            None => &self.addr,
        }
    }

    /// The data that is missing from this manager, one line each.
    fn missing_lines(&self) -> impl Iterator<Item = String> {
        let name = self.name();
        let missing = self
            .missing
            .iter()
            .map(move |what| format!("{name}: {what}"));
        let damaged = (self.damaged_frames > 0)
            .then(|| format!("{name}: {} spoilt records", self.damaged_frames));
        missing.chain(damaged)
    }
}

/// The report on several managers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The leases, by resource and token.
    #[serde(rename = "owned")]
    pub leases: Vec<LeaseInterval>,
    /// An interval for each configuration that a process acted on; those of a manager in the order
    /// of its records.
    #[serde(rename = "acted")]
    pub activity: Vec<ActivityInterval>,
    /// Where the managers disagree.
    pub disagreements: Vec<Disagreement>,
    /// How long each change took to reach the managers.
    #[serde(rename = "spreads")]
    pub propagation: Vec<PropagationDelay>,
    /// The data that is missing, one line each.
    pub missing: Vec<String>,
}

/// Creates the report on several managers.
pub fn report(nodes: &[NodeReport]) -> Report {
    let activity: Vec<ActivityInterval> = nodes
        .iter()
        .flat_map(|node| activity::activity_intervals(&node.records))
        .collect();
    let names: Vec<&str> = nodes.iter().map(NodeReport::name).collect();
    Report {
        leases: activity::lease_intervals(nodes),
        disagreements: disagreement::disagreements(nodes),
        propagation: propagation::propagation_delays(&activity, &names),
        missing: nodes.iter().flat_map(NodeReport::missing_lines).collect(),
        activity,
    }
}
