//! Compares the audits of several managers: which configuration each acted on, who held which
//! lease, where the managers disagree, and how long each change took to reach them. Pure: records
//! and views go in, figures and text come out.
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

/// A member as one manager sees it: a line of `GET /fleet`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedMember {
    /// Whether it is the manager that answered.
    #[serde(rename = "self")]
    pub is_self: bool,
    /// Its name.
    pub name: String,
    /// The state that the manager takes it to be in.
    #[serde(rename = "health")]
    pub state: MemberState,
    /// The versions that it says it runs.
    pub versions: RunningVersions,
}

/// What one manager answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeReport {
    /// The address that was asked.
    pub addr: String,
    /// Its view of the fleet, itself first.
    pub fleet: Vec<ObservedMember>,
    /// Its records.
    pub records: Vec<AuditLine>,
    /// How many frames of its files were damaged.
    #[serde(rename = "spoilt")]
    pub damaged_frames: u64,
    /// What could not be had of it.
    pub missing: Vec<String>,
}

impl NodeReport {
    /// The manager's own entry in its view of the fleet.
    fn own_entry(&self) -> Option<&ObservedMember> {
        self.fleet.iter().find(|member| member.is_self)
    }

    /// The manager's name: from its view of the fleet, else from its records, else its address.
    pub fn name(&self) -> &str {
        if let Some(member) = self.own_entry() {
            return &member.name;
        }
        match self.records.first() {
            Some(line) => &line.context.member,
            None => &self.addr,
        }
    }

    /// What could not be had of it, a line each.
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
    /// Who held which lease, by resource and token.
    #[serde(rename = "owned")]
    pub leases: Vec<LeaseInterval>,
    /// A row for each configuration that a process acted on, the latest last.
    #[serde(rename = "acted")]
    pub activity: Vec<ActivityInterval>,
    /// Where the managers disagree.
    pub disagreements: Vec<Disagreement>,
    /// How long changes took to reach the managers.
    #[serde(rename = "spreads")]
    pub propagation: Vec<PropagationDelay>,
    /// What could not be had, a line each.
    pub missing: Vec<String>,
}

/// The report on what several managers answered.
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
