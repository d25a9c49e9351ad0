//! The decisions of each process under each configuration, and the leases of each manager.
use super::NodeReport;
use crate::audit::{AuditLine, AuditRecord, DecisionContext};
use crate::clock::Micros;
use crate::lease::FencingToken;
use serde::Serialize;
use std::collections::BTreeMap;

/// The decisions of one process of a manager while it acted on one configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ActivityInterval {
    /// The manager.
    pub member: String,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its build.
    pub build: String,
    /// The number of its settings generation.
    pub generation: u64,
    /// The hash of its settings.
    pub settings: u64,
    /// The version of its endpoint list.
    pub list: u64,
    /// When the configuration became active, in microseconds of Unix time.
    pub since: Micros,
    /// The time of the last record under this configuration, in microseconds of Unix time.
    #[serde(rename = "last")]
    pub last_record_at: Micros,
    /// The number of attempts that it dispatched.
    pub dispatched: u64,
    /// The number of requests that it rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The number of requests that it failed.
    pub failed: u64,
    /// The number of records that are lost.
    pub lost: u64,
}

impl ActivityInterval {
    fn new(context: &DecisionContext) -> ActivityInterval {
        ActivityInterval {
            member: context.member.clone(),
            incarnation: context.incarnation,
            build: context.build.clone(),
            generation: context.configuration.generation,
            settings: context.configuration.settings,
            list: context.configuration.list,
            since: context.active_since,
            last_record_at: context.active_since,
            dispatched: 0,
            rejected: 0,
            failed: 0,
            lost: 0,
        }
    }

    fn matches_context(&self, context: &DecisionContext) -> bool {
        self.member == context.member
            && self.incarnation == context.incarnation
            && self.since == context.active_since
    }

    fn add_record(&mut self, line: &AuditLine) {
        self.last_record_at = line.at;
        match line.record {
            AuditRecord::Dispatch { .. } => self.dispatched += 1,
            AuditRecord::Reject { .. } => self.rejected += 1,
            AuditRecord::Fail => self.failed += 1,
            AuditRecord::Lost { count } => self.lost += count,
            AuditRecord::ActivateConfiguration
            | AuditRecord::AcquireLease { .. }
            | AuditRecord::EndLease { .. } => {}
        }
    }
}

/// One interval for each configuration in the records of a manager.
pub(super) fn activity_intervals(records: &[AuditLine]) -> Vec<ActivityInterval> {
    let mut intervals: Vec<ActivityInterval> = Vec::new();
    for line in records {
        let current = intervals.pop_if(|last| last.matches_context(&line.context));
        let mut interval = current.unwrap_or_else(|| ActivityInterval::new(&line.context));
        interval.add_record(line);
        intervals.push(interval);
    }
    intervals
}

/// The time in which a manager held the lease on a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseInterval {
    /// The resource.
    #[serde(rename = "duty")]
    pub resource: String,
    /// The fencing token of the lease.
    pub token: FencingToken,
    /// The manager.
    pub member: String,
    /// When the manager acquired the lease, in microseconds of Unix time.
    pub from: Micros,
    /// When the lease ended, in microseconds of Unix time; `None` if that was not recorded.
    pub until: Option<Micros>,
}

/// Identifies a lease. The intervals are sorted by it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LeaseKey {
    resource: String,
    token: FencingToken,
    member: String,
}

impl LeaseKey {
    fn new(line: &AuditLine, token: FencingToken) -> LeaseKey {
        LeaseKey {
            resource: line.request.to_string(),
            token,
            member: line.context.member.clone(),
        }
    }
}

/// The leases in the records of all managers, by resource and token.
pub(super) fn lease_intervals(nodes: &[NodeReport]) -> Vec<LeaseInterval> {
    let mut intervals: BTreeMap<LeaseKey, LeaseInterval> = BTreeMap::new();
    for line in nodes.iter().flat_map(|node| &node.records) {
        match line.record {
            AuditRecord::AcquireLease { token } => {
                let key = LeaseKey::new(line, token);
                let interval = LeaseInterval {
                    resource: key.resource.clone(),
                    token,
                    member: key.member.clone(),
                    from: line.at,
                    until: None,
                };
                intervals.insert(key, interval);
            }
            AuditRecord::EndLease { token } => {
                if let Some(interval) = intervals.get_mut(&LeaseKey::new(line, token)) {
                    interval.until = Some(line.at);
                }
            }
            _ => {}
        }
    }
    intervals.into_values().collect()
}
