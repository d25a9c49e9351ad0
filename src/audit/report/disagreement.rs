//! Differences between managers: in the versions that they run, and in the states in which they
//! report a member.
use super::{NodeReport, ObservedMember};
use crate::membership::RunningVersions;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A version or member state in which the queried managers differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// The version, or the member whose state differs.
    pub about: String,
    /// The managers that reported each value.
    #[serde(rename = "held")]
    pub members_by_value: BTreeMap<String, Vec<String>>,
}

/// The value that one manager reported.
struct ReportedValue {
    member: String,
    value: String,
}

/// A version that should be the same on all managers.
struct VersionField {
    name: &'static str,
    value: fn(&RunningVersions) -> String,
}

const VERSION_FIELDS: [VersionField; 3] = [
    VersionField {
        name: "build",
        value: |versions| versions.build.clone(),
    },
    VersionField {
        name: "settings",
        value: |versions| format!("{:016x}", versions.settings),
    },
    VersionField {
        name: "list",
        value: |versions| versions.list.to_string(),
    },
];

/// All disagreements: first those on versions, as each manager reports its own, then those on the
/// states of members.
pub(super) fn disagreements(nodes: &[NodeReport]) -> Vec<Disagreement> {
    let on_versions = VERSION_FIELDS
        .iter()
        .filter_map(|field| compare(field.name.into(), reported_versions(nodes, field)));
    let members: BTreeSet<&str> = nodes
        .iter()
        .flat_map(|node| &node.fleet)
        .map(|member| member.name.as_str())
        .collect();
    let on_states = members.into_iter().filter_map(|member| {
        let about = format!("health of {member}");
        compare(about, reported_states(nodes, member))
    });
    on_versions.chain(on_states).collect()
}

/// Returns a disagreement if the reported values differ.
fn compare(about: String, reported: Vec<ReportedValue>) -> Option<Disagreement> {
    let mut members_by_value: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for ReportedValue { member, value } in reported {
        members_by_value.entry(value).or_default().push(member);
    }
    (members_by_value.len() > 1).then_some(Disagreement {
        about,
        members_by_value,
    })
}

fn reported_versions(nodes: &[NodeReport], field: &VersionField) -> Vec<ReportedValue> {
    let own_entries = nodes.iter().filter_map(NodeReport::own_entry);
    let reported_value = |own: &ObservedMember| ReportedValue {
        member: own.name.clone(),
        value: (field.value)(&own.versions),
    };
    own_entries.map(reported_value).collect()
}

fn reported_states(nodes: &[NodeReport], member: &str) -> Vec<ReportedValue> {
    let reported_value = |node: &NodeReport| {
        Some(ReportedValue {
            member: node.name().to_owned(),
            value: reported_state(node, member)?,
        })
    };
    nodes.iter().filter_map(reported_value).collect()
}

/// The state in which a manager reports a member; `None` for itself, and if its view of the fleet
/// is missing.
fn reported_state(node: &NodeReport, member: &str) -> Option<String> {
    match node.fleet.iter().find(|observed| observed.name == member) {
        Some(observed) if observed.is_self => None,
        Some(observed) => Some(observed.state.to_string()),
        None if node.fleet.is_empty() => None,
        None => Some("unknown".into()),
    }
}
