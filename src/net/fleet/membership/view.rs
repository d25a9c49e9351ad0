//! The rows of `GET /fleet`: the members as recorded by this manager.
use crate::clock::{MS, Micros};
use crate::membership::{MemberUpdate, Membership, VersionStatus};
use serde::Serialize;

/// One member: a line of `GET /fleet`.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRow {
    /// Whether it is the manager that returns the row.
    #[serde(rename = "self")]
    pub is_self: bool,
    /// The member's latest update.
    #[serde(flatten)]
    pub update: MemberUpdate,
    /// The time since the member entered its state, in milliseconds; 0 for the manager that returns
    /// the row.
    pub since_ms: u64,
}

/// A snapshot of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetView {
    /// This manager first, then the others by name.
    pub members: Vec<MemberRow>,
    /// How this manager's versions compare to the majority's.
    #[serde(rename = "standing")]
    pub version_status: VersionStatus,
    /// The number of received datagrams that were dropped.
    #[serde(rename = "dropped")]
    pub dropped_datagrams: u64,
}

impl FleetView {
    /// Takes a snapshot of the membership at `now`.
    pub(super) fn of(
        membership: &Membership,
        version_status: VersionStatus,
        now: Micros,
    ) -> FleetView {
        let own_row = MemberRow {
            is_self: true,
            update: membership.me().clone(),
            since_ms: 0,
        };
        let other_rows = membership.members().values().map(|member| MemberRow {
            is_self: false,
            update: member.update.clone(),
            since_ms: now.saturating_sub(member.since) / MS,
        });
        FleetView {
            members: std::iter::once(own_row).chain(other_rows).collect(),
            version_status,
            dropped_datagrams: membership.dropped_datagrams,
        }
    }

    /// The body of `GET /fleet`: JSON lines, one member each.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for row in &self.members {
            text.push_str(&serde_json::to_string(row).unwrap_or_default());
            text.push('\n');
        }
        text
    }
}
