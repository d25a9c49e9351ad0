//! Start of discovery: the actors of the endpoint list and of the coordinator's connection.
use super::StartContext;
use crate::config::process::Config;
use crate::net::Shared;
use crate::net::discovery::coordinator::{self, WatchCommand, WatchStart};
use crate::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use crate::net::discovery::endpoint_list::{self, EndpointListMailbox};
use crate::net::discovery::followers::Follower;
use crate::net::discovery::known_events::KnownEvents;
use crate::net::discovery::numbering::Numbering;
use async_channel::{Receiver, bounded};
use async_io::Timer;
use std::time::{Duration, Instant};

/// The timeout of the coordinator's first message. After it the process serves with the endpoint
/// list of its configuration.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(700);

/// The same timeout while a predecessor serves whose endpoint list this process does not have. The
/// platform waits 6 s for the new process of an upgrade.
const FIRST_LIST_TIMEOUT_BESIDE_PREDECESSOR: Duration = Duration::from_secs(4);
/// Interval at which the state of the predecessor's list is checked after [`FIRST_LIST_TIMEOUT`].
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The receiving ends of the channels to the actors of discovery.
pub(super) struct DiscoveryMailboxes {
    pub(super) watch: Receiver<WatchCommand>,
    pub(super) followers: Receiver<Follower>,
}

/// Starts both actors. The endpoint list receives the known events before any of the coordinator's.
pub(super) fn start(
    context: &StartContext,
    config: &Config,
    known_events: KnownEvents,
    clickhouse_engines: ClickHouseEngines,
    mailboxes: DiscoveryMailboxes,
) {
    let shared = context.shared.clone();
    let (events, event_mailbox) = bounded(endpoint_list::MAILBOX_CAPACITY);
    let new_endpoint = endpoint_factory(
        shared.clone(),
        context.dispatcher.clone(),
        context.names.borrow().clone(),
        &clickhouse_engines,
    );
    shared.spawn(endpoint_list::run(
        shared.clone(),
        context.dispatcher.clone(),
        EndpointListMailbox {
            events: event_mailbox,
            followers: mailboxes.followers,
        },
        new_endpoint,
        clickhouse_engines,
    ));
    let numbering = Numbering::of(&known_events.events);
    shared.event_numberings.add(numbering);
    let first_migration = WatchCommand::Migrate {
        addr: config.coordinator,
        known: Vec::new(),
    };
    let watch_start = WatchStart {
        last_index: known_events.last_index,
        backoff_seed: config.seed,
    };
    let coordinator = context.discovery.watch.clone();
    context.shared.spawn(async move {
        for event in known_events.events {
            let _ = events.send(event).await;
        }
        let list_shared = shared.clone();
        let list_received = move || list_shared.lifecycle.borrow_mut().endpoint_list_received();
        shared.spawn(coordinator::run(
            shared.clone(),
            watch_start,
            mailboxes.watch,
            events,
            list_received,
        ));
        let _ = coordinator.send(first_migration).await;
        wait_for_first_list(&shared).await;
        shared.lifecycle.borrow_mut().endpoint_list_received();
    });
}

/// Waits for as long as the coordinator may delay the start.
async fn wait_for_first_list(shared: &Shared) {
    let last_at = Instant::now() + FIRST_LIST_TIMEOUT_BESIDE_PREDECESSOR;
    Timer::after(FIRST_LIST_TIMEOUT).await;
    while !shared.lifecycle.borrow().may_serve_without_coordinator() && Instant::now() < last_at {
        Timer::after(POLL_INTERVAL).await;
    }
}
