//! What the lease service reads of the membership: preferred owners and addresses.
use crate::lease::{Resource, preferred_owner};
use crate::membership::{MemberState, Membership};
use std::net::SocketAddr;

/// The member that should hold the lease on a resource, among all that are alive and ready, this
/// manager included; `None` if no member is.
pub(super) fn preferred_member(fleet: &Membership, resource: Resource) -> Option<&str> {
    let is_alive = |state: MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
    let live_peers = fleet
        .members()
        .values()
        .map(|member| &member.update)
        .filter(|update| is_alive(update.state));
    let ready = live_peers
        .chain([fleet.me()])
        .filter(|update| update.versions.stage == "ready");
    preferred_owner(resource, ready.map(|update| update.name.as_str()))
}

/// Whether this manager should hold the lease on a resource.
pub(super) fn is_preferred_owner(fleet: &Membership, resource: Resource) -> bool {
    preferred_member(fleet, resource) == Some(&fleet.me().name)
}

/// The address of a member other than this one.
pub(super) fn address_of(fleet: &Membership, name: &str) -> Option<SocketAddr> {
    fleet.members().get(name).map(|member| member.update.addr)
}
