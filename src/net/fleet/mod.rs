//! Membership and leases over the network, and the accounting of the datagrams between managers.
pub mod lease;
mod lease_members;
mod lease_view;
pub mod membership;
pub mod traffic;
pub mod versions;
mod vote_store;
