//! The actors of the fleet: membership, leases, and the accounting of the datagrams between
//! managers.
pub mod lease;
pub mod membership;
pub mod traffic;
pub mod versions;
