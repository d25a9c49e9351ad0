//! How long changes to the settings and to the endpoint list took to reach the managers.
use super::ActivityInterval;
use crate::clock::{MS, Micros, SEC};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How long a change took to reach each manager.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PropagationDelay {
    /// What changed, and to what.
    pub change: String,
    /// When the first manager acted on it, in microseconds of Unix time.
    #[serde(rename = "first")]
    pub first_at: Micros,
    /// How long after that each manager did, in microseconds.
    #[serde(rename = "after")]
    pub delay_by_member: BTreeMap<String, Micros>,
    /// The managers that did not act on it.
    #[serde(rename = "never")]
    pub not_reached: Vec<String>,
}

/// The upper edges of the histogram's bins.
const BIN_EDGES: [(Micros, &str); 5] = [
    (10 * MS, "up to 10 ms"),
    (100 * MS, "up to 100 ms"),
    (SEC, "up to 1 s"),
    (10 * SEC, "up to 10 s"),
    (Micros::MAX, "later"),
];

/// A bin of the histogram of delays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayBin {
    /// The range of delays, as text.
    pub label: &'static str,
    /// The number of managers with a delay in this range.
    pub members: usize,
}

impl PropagationDelay {
    /// The histogram of the delays. The last bin counts the managers that were not reached.
    pub fn histogram(&self) -> Vec<DelayBin> {
        let mut bins = Vec::new();
        let mut previous_count = 0;
        for (edge, label) in BIN_EDGES {
            let up_to_edge = self
                .delay_by_member
                .values()
                .filter(|delay| **delay <= edge);
            let count_up_to_edge = up_to_edge.count();
            bins.push(DelayBin {
                label,
                members: count_up_to_edge - previous_count,
            });
            previous_count = count_up_to_edge;
        }
        bins.push(DelayBin {
            label: "never",
            members: self.not_reached.len(),
        });
        bins
    }

    /// Computes the delays of a change. A manager has adopted it in the intervals for which
    /// `has_change` returns true.
    fn new(
        change: String,
        activity: &[ActivityInterval],
        members: &[&str],
        has_change: impl Fn(&ActivityInterval) -> bool,
    ) -> PropagationDelay {
        let mut adopted_at: BTreeMap<&str, Micros> = BTreeMap::new();
        for interval in activity.iter().filter(|interval| has_change(interval)) {
            let at = adopted_at.entry(&interval.member).or_insert(interval.since);
            *at = interval.since.min(*at);
        }
        let first_at = adopted_at.values().copied().min().unwrap_or(0);
        let not_reached = members
            .iter()
            .filter(|member| !adopted_at.contains_key(**member))
            .map(|member| (*member).to_owned());
        PropagationDelay {
            change,
            first_at,
            not_reached: not_reached.collect(),
            delay_by_member: adopted_at
                .into_iter()
                .map(|(member, at)| (member.to_owned(), at - first_at))
                .collect(),
        }
    }
}

/// The changes that at least one process adopted while it was running.
#[derive(Default)]
struct Changes {
    settings: BTreeSet<u64>,
    lists: BTreeSet<u64>,
}

impl Changes {
    fn find(activity: &[ActivityInterval]) -> Changes {
        let mut changes = Changes::default();
        for pair in activity.windows(2) {
            let [previous, next] = pair else { continue };
            let is_same_process =
                previous.member == next.member && previous.incarnation == next.incarnation;
            if !is_same_process {
                continue;
            }
            if previous.settings != next.settings {
                changes.settings.insert(next.settings);
            }
            if previous.list < next.list {
                changes.lists.insert(next.list);
            }
        }
        changes
    }
}

/// The delays of each change, the earliest change first.
pub(super) fn propagation_delays(
    activity: &[ActivityInterval],
    members: &[&str],
) -> Vec<PropagationDelay> {
    let changes = Changes::find(activity);
    let mut delays = Vec::new();
    for settings in changes.settings {
        let change = format!("settings {settings:016x}");
        let has_change = |interval: &ActivityInterval| interval.settings == settings;
        delays.push(PropagationDelay::new(change, activity, members, has_change));
    }
    for list in changes.lists {
        let change = format!("list {list}");
        let has_change = |interval: &ActivityInterval| interval.list >= list;
        delays.push(PropagationDelay::new(change, activity, members, has_change));
    }
    delays.sort_by_key(|delay| delay.first_at);
    delays
}
