//! Where managers run different versions, or see a member in different states.
use super::{NodeReport, ObservedMember};
use crate::membership::RunningVersions;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Something on which the managers that were asked differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// What they differ on.
    pub about: String,
    /// The managers that hold each value, by the value.
    #[serde(rename = "held")]
    pub members_by_value: BTreeMap<String, Vec<String>>,
}

/// What one manager says.
struct Statement {
    member: String,
    value: String,
}

/// A version that managers should agree on.
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

/// All disagreements on versions, by each manager's own statement, then those on the states of
/// members.
pub(super) fn disagreements(nodes: &[NodeReport]) -> Vec<Disagreement> {
    let on_versions = VERSION_FIELDS
        .iter()
        .filter_map(|field| compare(field.name.into(), version_statements(nodes, field)));
    let members: BTreeSet<&str> = nodes
        .iter()
        .flat_map(|node| &node.fleet)
        .map(|member| member.name.as_str())
        .collect();
    let on_states = members.into_iter().filter_map(|member| {
        let about = format!("health of {member}");
        compare(about, state_statements(nodes, member))
    });
    on_versions.chain(on_states).collect()
}

/// A disagreement, if the statements differ.
fn compare(about: String, statements: Vec<Statement>) -> Option<Disagreement> {
    let mut members_by_value: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for Statement { member, value } in statements {
        members_by_value.entry(value).or_default().push(member);
    }
    (members_by_value.len() > 1).then_some(Disagreement {
        about,
        members_by_value,
    })
}

fn version_statements(nodes: &[NodeReport], field: &VersionField) -> Vec<Statement> {
    let own_entries = nodes.iter().filter_map(NodeReport::own_entry);
    let statement = |own: &ObservedMember| Statement {
        member: own.name.clone(),
        value: (field.value)(&own.versions),
    };
    own_entries.map(statement).collect()
}

fn state_statements(nodes: &[NodeReport], member: &str) -> Vec<Statement> {
    let statement = |node: &NodeReport| {
        Some(Statement {
            member: node.name().to_owned(),
            value: observed_state(node, member)?,
        })
    };
    nodes.iter().filter_map(statement).collect()
}

/// The state in which a manager sees another one; `None` for itself, and without a view.
fn observed_state(node: &NodeReport, member: &str) -> Option<String> {
    match node.fleet.iter().find(|seen| seen.name == member) {
        Some(seen) if seen.is_self => None,
        Some(seen) => Some(seen.state.to_string()),
        None if node.fleet.is_empty() => None,
        None => Some("unknown".into()),
    }
}
