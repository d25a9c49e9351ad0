//! Membership of the fleet's managers: a variant of SWIM (Das, Gupta and Motivala, 2002) with
//! suspicion, gossip dissemination and anti-entropy.
//!
//! Each period a manager pings one member, in a shuffled round robin. If no ack arrives before the
//! timeout, it requests `k` others to ping the member on its behalf. A member that fails two such
//! probes in a row becomes a suspect, and is declared dead unless it refutes the suspicion with a
//! higher incarnation before the suspicion timeout. Updates are piggybacked on the protocol's own
//! datagrams; the number of transmissions of an update and the size of a datagram are limited.
//!
//! Every update carries the member's [`RunningVersions`]. From these, [`Straggler`] detects that a
//! manager is behind the fleet's majority, and [`ActiveGatewayCount`] counts the managers that
//! share the engines.
//!
//! Everything here is a pure state machine or a codec; the socket and the clock are in the actor in
//! `crate::net::fleet::membership`.
mod active_gateways;
pub mod codec;
mod gossip_queue;
mod message;
mod straggler;
mod swim;
mod timing;
mod version;

pub use active_gateways::ActiveGatewayCount;
pub use message::{MemberState, MemberUpdate, Message, MessageBody};
pub use straggler::{Straggler, VersionStatus};
pub use swim::{Action, Member, Membership};
pub use timing::{Timing, TimingError, bandwidth_budget, detection_bound};
pub use version::{MajorityVersions, RunningVersions, SHUT_OUT};

#[cfg(test)]
#[path = "../../tests/unit/membership.rs"]
mod tests;
