//! Start of discovery: the endpoint list's actor and that of the coordinator's connection.
use super::{StartContext, StartError};
use crate::config::process::Config;
use crate::net::discovery::coordinator::{self, CoordinatorMigration};
use crate::net::discovery::endpoint_list::{self, Http, Update};
use async_channel::{Receiver, bounded};
use async_io::Timer;
use std::time::Duration;

/// Time to wait for the coordinator's first message. After that the process serves with the endpoint
/// list of its configuration.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(700);

/// The coordinator's events in the configuration.
pub(super) struct KnownEvents {
    last_index: u64,
    updates: Vec<Update>,
}

impl KnownEvents {
    pub(super) fn parse(config: &Config) -> Result<KnownEvents, StartError> {
        let (last_index, updates) = endpoint_list::parse_known(&config.known_events, &config.names)
            .map_err(|error| StartError::KnownEvents(error.to_string()))?;
        Ok(KnownEvents {
            last_index,
            updates,
        })
    }
}

/// Starts both actors. The endpoint list receives the known events first.
pub(super) fn start(
    context: &StartContext,
    config: &Config,
    known_events: KnownEvents,
    clickhouse_engines: Http,
    migrations: Receiver<CoordinatorMigration>,
) {
    let shared = context.shared.clone();
    let (updates, update_mailbox) = bounded(endpoint_list::MAILBOX);
    let make_engine = endpoint_list::engines(
        shared.clone(),
        context.dispatcher.clone(),
        context.names.borrow().clone(),
        clickhouse_engines.clone(),
    );
    shared.spawn(endpoint_list::run(
        shared.clone(),
        context.dispatcher.clone(),
        update_mailbox,
        make_engine,
        clickhouse_engines,
    ));
    let first_migration = CoordinatorMigration {
        addr: Some(config.coordinator),
        known: Vec::new(),
    };
    let position = (known_events.last_index, config.seed);
    let coordinator = context.coordinator.clone();
    context.shared.spawn(async move {
        for update in known_events.updates {
            let _ = updates.send(update).await;
        }
        let for_list = shared.clone();
        let list_received = move || for_list.lifecycle.borrow_mut().endpoint_list_received();
        shared.spawn(coordinator::run(
            shared.clone(),
            position,
            migrations,
            updates,
            list_received,
        ));
        let _ = coordinator.send(first_migration).await;
        Timer::after(FIRST_LIST_TIMEOUT).await;
        shared.lifecycle.borrow_mut().endpoint_list_received();
    });
}
