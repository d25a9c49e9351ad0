//! The rows of `GET /duties`.
use crate::clock::{MS, Micros};
use crate::lease::{Candidate, FencingGuard, FencingToken, HeldLease, Resource};
use serde::Serialize;

/// One row of `GET /duties`: a lease, as recorded by this manager.
#[derive(Serialize)]
pub(super) struct LeaseRow {
    #[serde(rename = "duty")]
    pub(super) resource: String,
    /// This manager if it holds the lease, otherwise the preferred owner.
    pub(super) member: String,
    /// Whether this manager holds the lease.
    #[serde(rename = "owns")]
    pub(super) is_held: bool,
    /// The token of the held lease, otherwise the highest token observed.
    pub(super) token: FencingToken,
    /// The time until the held lease expires, unless it is renewed, in milliseconds.
    #[serde(rename = "left_ms", skip_serializing_if = "Option::is_none")]
    pub(super) remaining_ms: Option<u64>,
}

impl LeaseRow {
    fn held(lease: HeldLease, member: &str, now: Micros) -> LeaseRow {
        LeaseRow {
            resource: lease.resource.to_string(),
            member: member.to_owned(),
            is_held: true,
            token: lease.token,
            remaining_ms: Some((lease.expires_at - now) / MS),
        }
    }

    fn observed(resource: Resource, token: FencingToken, preferred_owner: &str) -> LeaseRow {
        LeaseRow {
            resource: resource.to_string(),
            member: preferred_owner.to_owned(),
            is_held: false,
            token,
            remaining_ms: None,
        }
    }

    fn json_line(&self) -> String {
        serde_json::to_string(self).map_or_else(|_| String::new(), |line| line + "\n")
    }
}

/// The rows as JSON lines: first the leases that this manager holds, then the others that it has
/// observed, both ordered by resource.
pub(super) fn json_lines<'a>(
    candidate: &Candidate,
    fence: &FencingGuard,
    preferred_owner: impl Fn(Resource) -> &'a str,
    now: Micros,
) -> String {
    let mut text = String::new();
    for lease in candidate.held_leases(now) {
        let row = LeaseRow::held(lease, &candidate.holder().name, now);
        text.push_str(&row.json_line());
    }
    for (resource, token) in fence.iter() {
        if candidate.held_lease(resource, now).is_none() {
            let row = LeaseRow::observed(resource, token, preferred_owner(resource));
            text.push_str(&row.json_line());
        }
    }
    text
}
