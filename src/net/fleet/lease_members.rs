//! The membership data that the lease service uses: preferred owners and addresses.
use crate::lease::{Resource, preferred_owner};
use crate::membership::{MemberState, Membership};
use std::net::SocketAddr;

/// The member that should hold the lease on a resource, among all members that are alive or
/// suspected and whose stage is `ready`, including this manager; `None` if there is none.
pub(super) fn preferred_member(fleet: &Membership, resource: Resource) -> Option<&str> {
    let may_be_alive =
        |state: MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
    let live_peers = fleet
        .members()
        .values()
        .map(|member| &member.update)
        .filter(|update| may_be_alive(update.state));
    let ready = live_peers
        .chain([fleet.me()])
        .filter(|update| update.versions.stage == "ready");
    preferred_owner(resource, ready.map(|update| update.name.as_str()))
}

/// Whether this manager should hold the lease on a resource.
pub(super) fn is_preferred_owner(fleet: &Membership, resource: Resource) -> bool {
    preferred_member(fleet, resource) == Some(&fleet.me().name)
}

/// The address of another member, by its name.
pub(super) fn address_of(fleet: &Membership, name: &str) -> Option<SocketAddr> {
    fleet.members().get(name).map(|member| member.update.addr)
}
