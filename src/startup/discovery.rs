//! Start of discovery: the actors of the endpoint list and of the coordinator's connection.
use super::StartContext;
use crate::config::process::Config;
use crate::net::discovery::coordinator::{self, CoordinatorMigration, WatchStart};
use crate::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use crate::net::discovery::endpoint_list;
use crate::net::discovery::known_events::KnownEvents;
use async_channel::{Receiver, bounded};
use async_io::Timer;
use std::time::Duration;

/// The timeout of the coordinator's first message. After it the process serves with the endpoint
/// list of its configuration.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(700);

/// Starts both actors. The endpoint list receives the known events before any of the coordinator's.
pub(super) fn start(
    context: &StartContext,
    config: &Config,
    known_events: KnownEvents,
    clickhouse_engines: ClickHouseEngines,
    migrations: Receiver<CoordinatorMigration>,
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
        event_mailbox,
        new_endpoint,
        clickhouse_engines,
    ));
    let first_migration = CoordinatorMigration {
        addr: Some(config.coordinator),
        known: Vec::new(),
    };
    let watch_start = WatchStart {
        last_index: known_events.last_index,
        backoff_seed: config.seed,
    };
    let coordinator = context.coordinator.clone();
    context.shared.spawn(async move {
        for event in known_events.events {
            let _ = events.send(event).await;
        }
        let list_shared = shared.clone();
        let list_received = move || list_shared.lifecycle.borrow_mut().endpoint_list_received();
        shared.spawn(coordinator::run(
            shared.clone(),
            watch_start,
            migrations,
            events,
            list_received,
        ));
        let _ = coordinator.send(first_migration).await;
        Timer::after(FIRST_LIST_TIMEOUT).await;
        shared.lifecycle.borrow_mut().endpoint_list_received();
    });
}
