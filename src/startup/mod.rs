//! Start of the daemon: reads its files, opens its sockets, and starts the actors. [`run`] returns
//! at the end of the shutdown, after the open requests have ended.
mod clickhouse;
mod discovery;
mod error;
mod files;
mod hot_restart;
mod listen_address;
mod request_ids;
mod signals;
mod sockets;

pub use error::StartError;
pub use files::Options;

use crate::audit::{ActiveConfiguration, DecisionContext};
use crate::clock::{self, Micros};
use crate::config::process::{Config, LiveNames};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::metrics::Counters;
use crate::frontend::jsonrpc::JsonRpc;
use crate::net::audit::AuditWriter;
use crate::net::discovery::coordinator;
use crate::net::discovery::known_events::parse_known;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::fleet::membership::MembershipService;
use crate::net::fleet::versions;
use crate::net::hot_restart::DiscoveryChannels;
use crate::net::reload::Reload;
use crate::net::{self, Shared, client, dispatcher};
use async_channel::{Receiver, Sender, bounded, unbounded};
use async_io::{Async, block_on};
use clickhouse::ClickHouseStart;
use discovery::DiscoveryMailboxes;
use files::ConfigurationFiles;
use request_ids::{ProcessIdentity, RequestIds};
use sockets::{FleetSocket, Sockets};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

/// The state that the steps of the start share.
struct StartContext {
    shared: Rc<Shared>,
    /// Unix time of the process's start, which identifies the process among those with the same
    /// name.
    incarnation: Micros,
    names: LiveNames,
    dispatcher: Sender<DispatcherEvent>,
    discovery: DiscoveryChannels,
    serving: ServingGate,
}

/// Delays the start of the frontends' listeners until this process serves.
#[derive(Clone)]
struct ServingGate {
    open: Sender<()>,
    opened: Receiver<()>,
}

impl ServingGate {
    fn closed() -> ServingGate {
        let (open, opened) = bounded(1);
        ServingGate { open, opened }
    }

    fn open(&self) {
        self.open.close();
    }

    async fn wait_until_open(&self) {
        let _ = self.opened.recv().await;
    }
}

/// Runs the daemon until the end of its shutdown, and returns its counters.
///
/// # Errors
///
/// Fails if the start fails, for example because a file is invalid or a socket can't be opened. No
/// request was served then.
pub fn run(options: &Options) -> Result<Counters, StartError> {
    let files = ConfigurationFiles::read(options)?;
    let config = &files.config;
    let shared = Shared::new(config.limits.sockets, config.limits.memory_mb);
    let incarnation = clock::read();
    publish_configuration(&shared, config);
    let audit = start_audit(&shared, &files, incarnation)?;
    let sockets = Sockets::open(&files)?;
    let _claims = sockets.claims;
    let signals = signals::subscribe()?;
    let clickhouse = prepare_clickhouse(&files, &shared, incarnation)?;
    let known_events = parse_known(&config.known_events, &config.names)?;

    let dispatcher = new_dispatcher(&shared, config);
    let (events, mailbox) = bounded(dispatcher::MAILBOX_CAPACITY);
    let (watch, watch_commands) = bounded(coordinator::MAILBOX_CAPACITY);
    let (followers, new_followers) = unbounded();
    let context = StartContext {
        shared: shared.clone(),
        incarnation,
        names: Rc::new(RefCell::new(Rc::new(config.names.clone()))),
        dispatcher: events,
        discovery: DiscoveryChannels { followers, watch },
        serving: ServingGate::closed(),
    };
    if let Some(socket) = sockets.fleet {
        start_membership(&context, config, socket);
    }
    let engines = clickhouse.as_ref().map(ClickHouseStart::engines);
    let engines = engines.unwrap_or_default();
    let mailboxes = DiscoveryMailboxes {
        watch: watch_commands,
        followers: new_followers,
    };
    discovery::start(&context, config, known_events, engines, mailboxes);
    if let Some(listener) = sockets.admin {
        start_admin(&shared, listener);
    }
    hot_restart::start(&context, config, sockets.hot_restart);
    start_platform_frontend(&context, sockets.clients);
    let clickhouse = clickhouse
        .zip(sockets.clickhouse)
        .map(|(frontend, listener)| frontend.start(&context, listener));
    let reload = Reload {
        config_path: files.config_path,
        names: context.names.clone(),
        listen: files.config.listen,
        settings: RefCell::new(files.config.settings),
        json: RefCell::new(files.config.json),
        clickhouse,
        shared: shared.clone(),
        coordinator: context.discovery.watch.clone(),
        dispatcher: context.dispatcher.clone(),
    };
    signals::start(&context, signals, reload);
    let executor = shared.executor.clone();
    let run = dispatcher::run(shared, dispatcher, mailbox, audit);
    Ok(block_on(executor.run(run)).counters)
}

/// Records the first generation of the configuration.
fn publish_configuration(shared: &Shared, config: &Config) {
    shared.active_configuration.set(ActiveConfiguration {
        generation: 1,
        settings: versions::settings_hash(&config.json),
        list: 0,
    });
}

/// Starts the audit if it is configured in the fleet file.
fn start_audit(
    shared: &Rc<Shared>,
    files: &ConfigurationFiles,
    incarnation: Micros,
) -> Result<Option<AuditWriter>, StartError> {
    let Some(bounds) = files.fleet.as_ref().and_then(|fleet| fleet.audit) else {
        return Ok(None);
    };
    let context = DecisionContext {
        member: files.config.name.clone(),
        incarnation,
        build: versions::build_id(),
        configuration: shared.active_configuration.get(),
        active_since: incarnation,
    };
    Ok(Some(net::audit::start(shared, context, bounds)?))
}

/// Prepares the ClickHouse frontend if the process is started with a deploy file.
fn prepare_clickhouse(
    files: &ConfigurationFiles,
    shared: &Rc<Shared>,
    incarnation: Micros,
) -> Result<Option<ClickHouseStart>, StartError> {
    let Some(file) = &files.clickhouse else {
        return Ok(None);
    };
    let request_ids = RequestIds::new(ProcessIdentity {
        seed: files.config.seed,
        process: std::process::id(),
        incarnation,
    });
    ClickHouseStart::prepare(file, &files.config, shared, request_ids).map(Some)
}

fn new_dispatcher(shared: &Shared, config: &Config) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(
        clock::read(),
        config.settings.clone(),
        &config.names.classes,
        config.seed,
    );
    dispatcher.set_statement_limit(shared.max_unread_bytes.get());
    dispatcher
}

fn start_membership(context: &StartContext, config: &Config, socket: FleetSocket) {
    let service = MembershipService {
        name: config.name.clone(),
        incarnation: context.incarnation,
        config: socket.config,
        configured_gateways: config.settings.gateways,
        dispatcher: context.dispatcher.clone(),
        coordinator: context.discovery.watch.clone(),
    };
    let shared = context.shared.clone();
    let run = service.run(shared, socket.socket, socket.address);
    context.shared.spawn(run);
}

fn start_admin(shared: &Rc<Shared>, listener: Async<TcpListener>) {
    shared.admin_enabled.set(true);
    shared.spawn(net::admin::listen(shared.clone(), listener));
}

/// A function for the frontends that returns whether the process is ready.
fn readiness(shared: &Rc<Shared>) -> Rc<dyn Fn() -> bool> {
    let shared = shared.clone();
    Rc::new(move || shared.lifecycle.borrow().is_ready())
}

fn start_platform_frontend(context: &StartContext, listener: Async<TcpListener>) {
    let names = context.names.clone();
    let ready = readiness(&context.shared);
    let frontend = move |conn| JsonRpc::new(conn, names.clone(), ready.clone());
    let shared = context.shared.clone();
    let dispatcher = context.dispatcher.clone();
    let serving = context.serving.clone();
    context.shared.spawn(async move {
        serving.wait_until_open().await;
        client::listen(shared, dispatcher, listener, frontend).await;
    });
}
