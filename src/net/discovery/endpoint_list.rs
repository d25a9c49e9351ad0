//! The actor of the endpoint list: applies the events of the coordinator, keeps a handle for each
//! engine, and sends the changes to the dispatcher.
use super::endpoint_factory::{ClickHouseEngines, EndpointFactory};
use super::followers::{Follower, Followers};
use super::{ListedEndpoint, WatchEvent};
use crate::net::Shared;
use crate::net::dispatcher::{DispatcherEvent, EndpointListUpdate};
use crate::net::engine::EndpointHandle;
use crate::policy::api::{EndpointListKind, EngineId, Readiness};
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Capacity of the actor's mailbox in events.
pub const MAILBOX_CAPACITY: usize = 64;

/// An endpoint that is new or whose address has changed, with its new handle.
type NewHandle = (EngineId, Rc<EndpointHandle>);

/// An endpoint in the list, with its handle.
struct KnownEndpoint {
    listed: ListedEndpoint,
    handle: Rc<EndpointHandle>,
}

impl KnownEndpoint {
    /// Updates the handle at once, before the dispatcher receives the change, so that no attempt
    /// that waits to be sent is sent after the change.
    fn set_readiness(&mut self, readiness: Readiness) {
        self.listed.endpoint.readiness = readiness;
        self.handle.set_readiness(readiness);
    }
}

/// The endpoint list.
struct EndpointList {
    shared: Rc<Shared>,
    new_endpoint: EndpointFactory,
    clickhouse: ClickHouseEngines,
    known: BTreeMap<EngineId, KnownEndpoint>,
    /// The number of the last event.
    last_index: u64,
}

/// The messages to the actor of the endpoint list.
pub struct EndpointListMailbox {
    /// The events to apply. The actor ends when this channel is closed.
    pub events: Receiver<WatchEvent>,
    /// Followers to add.
    pub followers: Receiver<Follower>,
}

/// A message to the actor.
enum Message {
    Event(WatchEvent),
    Follow(Follower),
}

impl EndpointListMailbox {
    async fn next(&self) -> Option<Message> {
        let event = async { self.events.recv().await.ok().map(Message::Event) };
        let follower = async {
            match self.followers.recv().await {
                Ok(follower) => Some(Message::Follow(follower)),
                Err(_) => std::future::pending().await,
            }
        };
        or(event, follower).await
    }
}

/// Runs the actor of the endpoint list. The first event holds the endpoints known before the start.
pub async fn run(
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    mailbox: EndpointListMailbox,
    new_endpoint: EndpointFactory,
    clickhouse: ClickHouseEngines,
) {
    let mut list = EndpointList {
        shared,
        new_endpoint,
        clickhouse,
        known: BTreeMap::new(),
        last_index: 0,
    };
    let mut followers = Followers::default();
    let mut is_first = true;
    while let Some(message) = mailbox.next().await {
        let mut event = match message {
            Message::Event(event) => event,
            Message::Follow(follower) => {
                followers.add(follower, list.to_event());
                continue;
            }
        };
        let published = (!followers.is_empty()).then(|| event.clone());
        let handles = list.apply(&mut event);
        let kind = list_kind(event.full, is_first);
        is_first = false;
        let endpoints = event.endpoints.iter().map(|listed| listed.endpoint);
        let update = DispatcherEvent::EndpointList(EndpointListUpdate {
            kind,
            entries: endpoints.collect(),
            new_endpoints: handles,
            version: event.index,
        });
        let _ = dispatcher.send(update).await;
        if let Some(event) = published {
            followers.publish(&event);
        }
    }
}

fn list_kind(full: bool, is_first: bool) -> EndpointListKind {
    match (full, is_first) {
        (true, true) => EndpointListKind::Cached,
        (true, false) => EndpointListKind::Full,
        (false, _) => EndpointListKind::Changes,
    }
}

impl EndpointList {
    /// The complete list as the coordinator would send it, without the static endpoints.
    fn to_event(&self) -> WatchEvent {
        let static_ids = ids(&self.clickhouse.static_endpoints);
        let endpoints = self.known.values().map(|known| known.listed);
        WatchEvent {
            index: self.last_index,
            full: true,
            endpoints: endpoints
                .filter(|listed| !static_ids.contains(&listed.endpoint.id))
                .collect(),
        }
    }

    /// Applies an event, after adding the endpoints whose change it implies; returns the new
    /// handles.
    fn apply(&mut self, event: &mut WatchEvent) -> Vec<NewHandle> {
        self.last_index = self.last_index.max(event.index);
        let superseded = self.superseded_by(event);
        event.endpoints.extend(superseded);
        if event.full {
            // The coordinator does not list the static endpoints.
            event.endpoints.extend(&self.clickhouse.static_endpoints);
            self.remove_unlisted(&event.endpoints);
        }
        self.mark_engines_without_keys(&mut event.endpoints);
        let mut new_handles = Vec::new();
        for listed in &event.endpoints {
            new_handles.extend(self.apply_endpoint(listed));
        }
        self.known
            .retain(|_, known| known.listed.endpoint.readiness != Readiness::Removed);
        self.update_database_support();
        new_handles
    }

    /// Returns the known endpoints at whose address the event lists an engine that was not there
    /// before, with their readiness set to [`Readiness::Removed`]: their processes have ended, even if
    /// the event does not list them. Otherwise commands for the old process would go to the new one.
    fn superseded_by(&self, event: &WatchEvent) -> Vec<ListedEndpoint> {
        let listed_ids = ids(&event.endpoints);
        let reused_addrs: BTreeSet<SocketAddr> = event
            .endpoints
            .iter()
            .filter(|listed| self.is_new_there_and_ready(listed))
            .map(|listed| listed.addr)
            .collect();
        self.known
            .values()
            .map(|known| known.listed)
            .filter(|listed| reused_addrs.contains(&listed.addr))
            .filter(|listed| !listed_ids.contains(&listed.endpoint.id))
            .map(as_removed)
            .collect()
    }

    /// The ClickHouse interface has no idempotency key with the meaning of the platform's: its
    /// engines are sent none and run a repeated statement again.
    fn mark_engines_without_keys(&self, listed: &mut [ListedEndpoint]) {
        for listed in listed {
            let endpoint = &mut listed.endpoint;
            endpoint.ignores_idempotency_keys = self.clickhouse.ids.contains(&endpoint.id);
        }
    }

    /// Whether it is ready at an address where it was not before.
    fn is_new_there_and_ready(&self, listed: &ListedEndpoint) -> bool {
        let is_ready = listed.endpoint.readiness == Readiness::Ready;
        let known = self.known.get(&listed.endpoint.id);
        let was_there = known.is_some_and(|known| known.listed.addr == listed.addr);
        is_ready && !was_there
    }

    /// Marks the endpoints that a complete list does not contain as removed.
    fn remove_unlisted(&mut self, listed: &[ListedEndpoint]) {
        let listed_ids = ids(listed);
        for (id, known) in &mut self.known {
            if !listed_ids.contains(id) {
                known.set_readiness(Readiness::Removed);
            }
        }
    }

    /// Applies the state of one endpoint; returns its handle if that is new.
    fn apply_endpoint(&mut self, listed: &ListedEndpoint) -> Option<NewHandle> {
        let id = listed.endpoint.id;
        let new_handle = self.replace_handle(listed);
        if let Some(known) = self.known.get_mut(&id) {
            known.set_readiness(listed.endpoint.readiness);
            known.listed = *listed;
        }
        new_handle.map(|handle| (id, handle))
    }

    /// Creates the handle of an endpoint that is new or whose address has changed. An id at another
    /// address is another process: the old handle is closed with its actor and connections, as the
    /// attempts on them could no longer be cancelled.
    fn replace_handle(&mut self, listed: &ListedEndpoint) -> Option<Rc<EndpointHandle>> {
        let id = listed.endpoint.id;
        let known = self.known.get(&id);
        let is_same_process = known.is_some_and(|known| known.listed.addr == listed.addr);
        if is_same_process || listed.endpoint.readiness == Readiness::Removed {
            return None;
        }
        if let Some(known) = known {
            known.handle.close();
        }
        let handle = (self.new_endpoint)(listed);
        let known = KnownEndpoint {
            listed: *listed,
            handle: handle.clone(),
        };
        self.known.insert(id, known);
        Some(handle)
    }

    /// Sessions may name a database only while every engine in service supports databases.
    fn update_database_support(&self) {
        let mut has_ready = false;
        let mut all_support = true;
        for (id, known) in &self.known {
            if known.listed.endpoint.readiness == Readiness::Ready {
                has_ready = true;
                all_support &= self.clickhouse.ids.contains(id);
            }
        }
        self.shared
            .engines_support_databases
            .set(has_ready && all_support);
    }
}

fn ids(listed: &[ListedEndpoint]) -> BTreeSet<EngineId> {
    listed.iter().map(|listed| listed.endpoint.id).collect()
}

fn as_removed(mut listed: ListedEndpoint) -> ListedEndpoint {
    listed.endpoint.readiness = Readiness::Removed;
    listed
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_list.rs"]
mod tests;
