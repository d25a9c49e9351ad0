//! The versions that a member runs with, and the versions of the fleet's majority.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The [`RunningVersions::stage`] of a manager that excluded itself from the fleet's work because
/// it has been behind the majority for too long.
pub const SHUT_OUT: &str = "shut-out";

/// The build, the settings and the endpoint list that a manager runs with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningVersions {
    /// The build of the program.
    pub build: String,
    /// The generation of the settings: 1 at the start of the process, incremented by each reload.
    /// Local to a process, so the generations of two managers are not comparable.
    pub generation: u64,
    /// The hash of the settings, which is comparable between managers.
    pub settings: u64,
    /// The number of the last event applied from the endpoint list.
    pub list: u64,
    /// The stage of the process: `starting`, `ready`, `draining`, `hotrestart`, `stopping` or
    /// [`SHUT_OUT`].
    pub stage: String,
}

/// The versions of more than half of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MajorityVersions {
    /// The settings hash that more than half of the members have, if any.
    pub settings: Option<u64>,
    /// The newest endpoint list version that more than half of the members have reached; 0 without
    /// members.
    pub list: u64,
}

impl MajorityVersions {
    /// The versions of the majority of `members`, which should include dead members: a majority of
    /// the reachable members alone may be a minority of the fleet.
    pub fn of(members: &[&RunningVersions]) -> MajorityVersions {
        let half = members.len() / 2;
        MajorityVersions {
            settings: majority_settings(members, half),
            list: majority_list(members, half),
        }
    }
}

fn majority_settings(members: &[&RunningVersions], half: usize) -> Option<u64> {
    let mut members_by_hash: BTreeMap<u64, usize> = BTreeMap::new();
    for member in members {
        *members_by_hash.entry(member.settings).or_default() += 1;
    }
    members_by_hash
        .into_iter()
        .find(|(_, count)| *count > half)
        .map(|(hash, _)| hash)
}

fn majority_list(members: &[&RunningVersions], half: usize) -> u64 {
    let mut newest_first: Vec<u64> = members.iter().map(|member| member.list).collect();
    newest_first.sort_unstable_by(|one, other| other.cmp(one));
    newest_first.get(half).copied().unwrap_or(0)
}
