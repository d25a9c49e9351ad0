//! Detects that this manager's versions are behind those of the fleet's majority.
use super::version::{MajorityVersions, RunningVersions};
use crate::clock::Micros;
use serde::Serialize;

/// How this manager's versions compare to those of the fleet's majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum VersionStatus {
    /// It runs the versions of the majority, or no majority is ahead of it.
    InStep,
    /// It has been behind for less than the grace period.
    Behind,
    /// It has been behind for the grace period: it should reload its settings and refresh its
    /// endpoint list.
    BringUp,
    /// It has been behind for twice the grace period: it should accept no work.
    ShutOut,
}

/// An endpoint list version that the majority reached before this manager.
#[derive(Clone, Copy, Debug)]
struct ListTarget {
    version: u64,
    since: Micros,
}

/// Tracks how long this manager has been behind the majority.
///
/// The grace period runs while the settings differ from the majority's, or while the list is older
/// than the version that the majority had reached when the manager fell behind. A list that changes
/// continuously therefore does not make the manager a straggler, as long as it reaches each of
/// these versions.
#[derive(Clone, Debug, Default)]
pub struct Straggler {
    settings_differ_since: Option<Micros>,
    list_target: Option<ListTarget>,
}

impl Straggler {
    /// Compares this manager's versions to those of all `others` that have not left, and returns
    /// the status at `now`.
    pub fn evaluate(
        &mut self,
        me: &RunningVersions,
        others: &[&RunningVersions],
        grace: Micros,
        now: Micros,
    ) -> VersionStatus {
        let mut all = others.to_vec();
        all.push(me);
        let majority = MajorityVersions::of(&all);
        self.track_settings(me, &majority, now);
        self.track_list(me, &majority, now);
        let list_since = self.list_target.map(|target| target.since);
        let behind_since = [self.settings_differ_since, list_since]
            .into_iter()
            .flatten()
            .min();
        match behind_since {
            None => VersionStatus::InStep,
            Some(since) if now >= since + 2 * grace => VersionStatus::ShutOut,
            Some(since) if now >= since + grace => VersionStatus::BringUp,
            Some(_) => VersionStatus::Behind,
        }
    }

    fn track_settings(&mut self, me: &RunningVersions, majority: &MajorityVersions, now: Micros) {
        let differ = majority.settings.is_some_and(|hash| hash != me.settings);
        self.settings_differ_since = if differ {
            self.settings_differ_since.or(Some(now))
        } else {
            None
        };
    }

    fn track_list(&mut self, me: &RunningVersions, majority: &MajorityVersions, now: Micros) {
        self.list_target = match self.list_target {
            Some(target) if me.list < target.version => Some(target),
            _ if me.list < majority.list => Some(ListTarget {
                version: majority.list,
                since: now,
            }),
            _ => None,
        };
    }
}
