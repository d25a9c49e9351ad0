//! One workload manager on real sockets: reads its configuration, starts the actors, and ends on
//! SIGTERM once all is answered.
#![forbid(unsafe_code)]

use async_channel::bounded;
use async_io::{Async, Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use yokelift::audit::{ActiveConfiguration, DecisionContext};
use yokelift::backend::clickhouse::Credentials;
use yokelift::config::clickhouse::{self, ClassRules, ClickHouseConfig, Users};
use yokelift::config::fleet::FleetConfig;
use yokelift::config::process::{self, Config};
use yokelift::dispatcher::Dispatcher;
use yokelift::frontend::clickhouse::{ClickHouse, ClickHouseShared};
use yokelift::frontend::jsonrpc::JsonRpc;
use yokelift::net::discovery::coordinator::CoordinatorMigration;
use yokelift::net::discovery::endpoint_list::Http;
use yokelift::net::discovery::{coordinator, endpoint_list};
use yokelift::net::dispatcher::DispatcherEvent;
use yokelift::net::reload::{ClickHouseFrontend, Reload};
use yokelift::net::{self, Shared, client, dispatcher, hot_restart, tenant_directory};
use yokelift::policy::api::Readiness;
use yokelift::tenant_directory::Tenants;
use yokelift::{clock, log};

/// Without a word of the coordinator for so long the list of the start has to do.
const READY_ANYWAY: Duration = Duration::from_millis(700);

/// The engines of a deploy file, with the names of the settings.
fn http_engines(deploy: &ClickHouseConfig, names: &process::Names) -> Result<Http, String> {
    let mut http = Http::default();
    let mut ids = std::collections::BTreeSet::new();
    for line in &deploy.engines {
        let id = clickhouse::engine_id(&line.id)?;
        ids.insert(id);
        if let Some(addr) = line.addr {
            let place = |list: &[String], name: &str| {
                list.iter().position(|n| n == name).unwrap_or(0) as u16
            };
            let place = (
                place(&names.zones, &line.zone),
                place(&names.kinds, &line.kind),
                0,
            );
            http.fixed.push(endpoint_list::listed(
                id.0 as u32,
                addr,
                Readiness::Ready,
                place,
                1.0,
                0,
            ));
        }
    }
    http.engines = Rc::new(ids);
    http.login = Rc::new(Credentials {
        user: deploy.login.user.clone(),
        key: deploy.login.key.clone(),
    });
    Ok(http)
}

/// What all connections of the second front share.
fn service(
    deploy: &ClickHouseConfig,
    config: &Config,
    names: &process::Names,
    shared: &Rc<Shared>,
) -> Result<ClickHouseShared, String> {
    let (databases, stopping, next) = (shared.clone(), shared.clone(), Cell::new(config.seed));
    Ok(ClickHouseShared {
        rules: RefCell::new(ClassRules::new(deploy, names)?),
        users: RefCell::new(Users::new(deploy, names)?),
        deadlines: RefCell::new(
            config
                .settings
                .classes
                .iter()
                .map(|c| clock::micros(c.deadline))
                .collect(),
        ),
        loads: RefCell::new(config.settings.classes.iter().map(|c| c.is_load).collect()),
        databases: Box::new(move || databases.engines_know_databases.get()),
        stopping: Box::new(move || stopping.lifecycle.borrow().announces_close()),
        // A walk through all numbers from a place that is new with each start.
        new_key: Box::new(move || {
            next.set(next.get().wrapping_add(0x9E37_79B9_7F4A_7C15));
            format!("{:016x}", next.get())
        }),
    })
}

/// The files that the program was started with; it reads them again on SIGHUP.
struct Files {
    config: PathBuf,
    deploy: Option<PathBuf>,
    /// The fleet's membership, with `PROXY_FLEET`.
    fleet: Option<FleetConfig>,
}

fn serve(config: Config, deploy: Option<ClickHouseConfig>, files: Files) -> Result<(), String> {
    let shared = Shared::new(config.limits.sockets, config.limits.memory_mb);
    let life = clock::turn();
    let settings = net::fleet::versions::settings_hash(&config.text);
    shared.active_configuration.set(ActiveConfiguration {
        generation: 1,
        settings,
        list: 0,
    });
    let audit = files
        .fleet
        .as_ref()
        .and_then(|fleet| fleet.audit)
        .map(|bounds| {
            let (member, build, acting) = (
                config.name.clone(),
                net::fleet::versions::build_id(),
                shared.active_configuration.get(),
            );
            net::audit::start(
                &shared,
                DecisionContext {
                    member,
                    life,
                    build,
                    acting,
                    since: life,
                },
                bounds,
            )
        });
    let audit = audit.transpose()?;
    // With an address for operators there may be a process that this one follows, or one that will
    // follow it.
    let place = config
        .console
        .and_then(|_| hot_restart::place(&config.name));
    let mut taken = place
        .as_deref()
        .and_then(|place| block_on(hot_restart::ask(place, &config.name)));
    let fleet = files.fleet.clone().map(|fleet| {
        let at = fleet.bind(config.listen);
        match net::fleet::membership::bind(at) {
            // The process before this one is the member until it ends.
            Err(_) if taken.is_some() => Ok((None, at, fleet)),
            bound => bound.map(|socket| (Some(socket), at, fleet)),
        }
    });
    let fleet = fleet.transpose().map_err(|error| error.to_string())?;
    let mut listen_at = |addr: SocketAddr| {
        let passed = taken
            .as_mut()
            .and_then(|taken| taken.listeners.remove(&addr));
        let listener = match (passed, config.console) {
            (Some(listener), _) => Async::new(listener),
            (None, Some(_)) => client::bind_shared(addr),
            (None, None) => client::bind(addr),
        };
        listener.map_err(|e| format!("{}: can't listen on {addr}: {e}", config.name))
    };
    let listener = listen_at(config.listen)?;
    let second_listener = deploy.as_ref().map(|d| listen_at(d.listen)).transpose()?;
    let passed = [Some(&listener), second_listener.as_ref()]
        .into_iter()
        .flatten();
    let passed = passed.map(|l| Ok((l.get_ref().local_addr()?, l.as_fd().try_clone_to_owned()?)));
    let passed = passed
        .collect::<std::io::Result<Vec<_>>>()
        .map_err(|e| format!("the listeners: {e}"))?;
    let console = config.console.map(|at| {
        let bound = client::bind(at);
        bound.map_err(|e| format!("{}: can't listen on the console {at}: {e}", config.name))
    });
    let console = console.transpose()?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
        .map_err(|e| format!("can't wait for signals: {e}"))?;
    let names = Rc::new(config.names.clone());
    let http = deploy
        .as_ref()
        .map(|d| http_engines(d, &names))
        .transpose()?
        .unwrap_or_default();
    let second = deploy
        .as_ref()
        .map(|d| service(d, &config, &names, &shared))
        .transpose()?
        .map(Rc::new);
    let (last, known) = endpoint_list::parse_known(&config.known, &names)?;

    let tenants = Tenants::new(&names, config.settings.tenants.clone());
    let settings = config.settings.clone();
    let mut manager = Dispatcher::new(clock::turn(), config.settings, &names.classes, config.seed);
    manager.set_statement_limit(shared.max_unread_bytes.get());
    let (core, mailbox) = bounded(dispatcher::MAILBOX);
    let (coordinator, moves) = bounded(1);
    if let Some((socket, at, fleet)) = fleet {
        let (name, module, coordinator) = (config.name.clone(), core.clone(), coordinator.clone());
        let managers = settings.gateways;
        let seat = net::fleet::membership::MembershipService {
            name,
            incarnation: life,
            config: fleet,
            configured_gateways: managers,
            dispatcher: module,
            coordinator,
        };
        shared.spawn(seat.run(shared.clone(), socket, at));
    }
    let (updates, list_mailbox) = bounded(endpoint_list::MAILBOX);
    let make = endpoint_list::engines(shared.clone(), core.clone(), names.clone(), http.clone());
    shared.spawn(endpoint_list::run(
        shared.clone(),
        core.clone(),
        list_mailbox,
        make,
        http,
    ));
    let (listen, addr, move_on) = (config.listen, config.coordinator, coordinator.clone());
    let (flags, feed, seed) = (shared.clone(), updates.clone(), config.seed);
    shared.spawn(async move {
        for update in known {
            let _ = feed.send(update).await;
        }
        let ready = flags.clone();
        let heard = move || ready.lifecycle.borrow_mut().endpoint_list_received();
        flags.spawn(coordinator::run(
            flags.clone(),
            (last, seed),
            moves,
            feed,
            heard,
        ));
        let _ = move_on
            .send(CoordinatorMigration {
                addr: Some(addr),
                known: Vec::new(),
            })
            .await;
        Timer::after(READY_ANYWAY).await;
        flags.lifecycle.borrow_mut().endpoint_list_received();
    });
    let live: process::LiveNames = Rc::new(RefCell::new(names.clone()));
    let mut reload = Reload {
        path: files.config,
        names: live.clone(),
        settings: RefCell::new(settings),
        text: RefCell::new(config.text),
        listen,
        second: None,
        shared: shared.clone(),
        coordinator,
        core: core.clone(),
    };
    if let Some(console) = console {
        shared.admin_enabled.set(true);
        shared.spawn(net::admin::listen(shared.clone(), console));
    }
    let starts = bounded::<()>(1);
    if let Some(taken) = taken {
        // The process before this one accepts what comes until this one serves.
        let mut life = shared.lifecycle.borrow_mut();
        life.set_predecessor_share(taken.leave);
        if taken.drained {
            life.drain(clock::turn());
        }
        let (starts, place, name) = (starts.0.clone(), place.clone(), config.name.clone());
        let all = shared.clone();
        let serves = move || {
            starts.close();
            if let Some(place) = place {
                let older = hot_restart::Predecessor {
                    place,
                    name,
                    listeners: passed,
                };
                all.clone().spawn(hot_restart::listen(all, older));
            }
        };
        let (all, module, names) = (shared.clone(), core.clone(), live.clone());
        let adopt: hot_restart::Adopt = Box::new(move |stream, adopted| {
            let (conn, flags) = (all.next_conn.get(), all.clone());
            all.next_conn.set(conn + 1);
            let front = JsonRpc::new(
                conn,
                names.clone(),
                Rc::new(move || flags.lifecycle.borrow().is_ready()),
            );
            let front = JsonRpc::resume(clock::turn(), &adopted.handed, front);
            match Async::new(stream) {
                Ok(stream) => {
                    client::start(&all, module.clone(), stream, conn, front, Some(adopted))
                }
                // Nobody hears from this one any more: it is as if its client had gone.
                Err(_) => bounded(1).0,
            }
        });
        shared.spawn(hot_restart::follow(shared.clone(), taken, adopt, serves));
    } else {
        starts.0.close();
        if let Some(place) = place {
            let older = hot_restart::Predecessor {
                place,
                name: config.name.clone(),
                listeners: passed,
            };
            shared.spawn(hot_restart::listen(shared.clone(), older));
        }
    }
    let starts = starts.1;
    let flags = shared.clone();
    let ready: Rc<dyn Fn() -> bool> = Rc::new(move || flags.lifecycle.borrow().is_ready());
    let front = move |conn| JsonRpc::new(conn, live.clone(), ready.clone());
    let (all, module, start) = (shared.clone(), core.clone(), starts.clone());
    shared.spawn(async move {
        let _ = start.recv().await;
        client::listen(all, module, listener, front).await;
    });
    if let (Some(service), Some(listener), Some(deploy)) = (second, second_listener, deploy) {
        let file = Rc::new(RefCell::new(service.users.borrow().clone()));
        let directory = deploy.directory.is_some();
        reload.second = files.deploy.map(|path| ClickHouseFrontend {
            path,
            service: service.clone(),
            file: file.clone(),
            directory,
        });
        let reader = deploy.directory.map(|line| {
            let (service, core) = (service.clone(), core.clone());
            tenant_directory::Reader {
                line,
                file,
                tenants,
                service,
                core,
            }
        });
        let front = move |conn| ClickHouse::new(conn, service.clone());
        let (all, core) = (shared.clone(), core.clone());
        shared.spawn(async move {
            // Clients that come before the first reading wait in the listener's line, lest they
            // pass for unknown.
            if let Some(mut reader) = reader {
                let pause = reader.once().await;
                all.spawn(reader.run(pause));
            }
            let _ = starts.recv().await;
            client::listen(all, core, listener, front).await;
        });
    }
    let flags = shared.clone();
    shared.spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            let input = match signal {
                Signal::Usr1 => DispatcherEvent::PrintCounters,
                Signal::Hup => match reload.again().await {
                    Ok(()) => {
                        log!("read the configuration again");
                        DispatcherEvent::Reloaded(true)
                    }
                    Err(e) => {
                        log!("the configuration can't be used, the old one stands: {e}");
                        DispatcherEvent::Reloaded(false)
                    }
                },
                _ => {
                    log!("asked to end: answering what is open");
                    flags.lifecycle.borrow_mut().begin_shutdown(clock::turn());
                    DispatcherEvent::Shutdown
                }
            };
            let _ = core.send(input).await;
        }
    });
    let executor = shared.executor.clone();
    let manager = block_on(executor.run(dispatcher::run(shared, manager, mailbox, audit)));
    eprintln!("yokelift: {}", manager.counters);
    Ok(())
}

fn run() -> Result<(), String> {
    let path =
        std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG names no configuration file")?;
    let mut files = std::env::args_os().skip(1);
    let second = files.next().map(PathBuf::from);
    let deploy = second.as_deref().map(clickhouse::read).transpose()?;
    if files.next().is_some() {
        return Err("use: yokelift [DEPLOY-FILE]".into());
    }
    let fleet = std::env::var_os("PROXY_FLEET")
        .filter(|f| !f.is_empty())
        .map(PathBuf::from);
    let fleet = fleet.map(|path| {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        FleetConfig::parse(&text).map_err(|error| error.to_string())
    });
    let files = Files {
        config: PathBuf::from(path),
        deploy: second,
        fleet: fleet.transpose()?,
    };
    let mut config = process::read(&files.config)?;
    if let Some(at) = std::env::var_os("PROXY_CONSOLE").filter(|at| !at.is_empty()) {
        let at = at.to_str().and_then(|at| at.parse().ok());
        config.console = Some(at.ok_or("PROXY_CONSOLE is no address")?);
    }
    serve(config, deploy, files)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("yokelift: {message}");
            ExitCode::FAILURE
        }
    }
}
