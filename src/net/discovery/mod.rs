//! Service discovery: the watch of the coordinator, the events that it sends or that a
//! configuration contains, and the endpoint list to which they are applied.
pub mod coordinator;
pub mod endpoint_factory;
pub mod endpoint_list;
pub mod followers;
pub mod frame;
pub mod known_events;
pub mod numbering;

use crate::policy::api::Endpoint;
use std::net::SocketAddr;

/// An engine in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// Its description for the decision module.
    pub endpoint: Endpoint,
    /// The address where it listens.
    pub addr: SocketAddr,
}

/// A numbered event of the coordinator.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// Its number; numbers increase by one.
    pub index: u64,
    /// Whether `endpoints` is the complete list. Otherwise it holds what has changed.
    pub full: bool,
    /// The endpoints that it names.
    pub endpoints: Vec<ListedEndpoint>,
}
