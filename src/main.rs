//! One workload manager on real sockets: reads its configuration, starts the actors, and ends on SIGTERM once
//! all is answered.
#![forbid(unsafe_code)]

use async_channel::bounded;
use async_io::{Async, Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use yokelift::config::{self, Config};
use yokelift::front::jsonrpc::JsonRpc;
use yokelift::manager::Manager;
use yokelift::net::core::Input;
use yokelift::net::{Shared, client, coordinator, core, list};
use yokelift::{clock, log};

/// Without a word of the coordinator for so long the list of the start has to do.
const READY_ANYWAY: Duration = Duration::from_millis(700);

fn serve(config: Config) -> Result<(), String> {
    let shared = Shared::new(config.limits.sockets);
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("{}: can't listen on {}: {e}", config.name, config.listen))?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1])
        .map_err(|e| format!("can't wait for signals: {e}"))?;
    let names = Rc::new(config.names);
    let (last, known) = list::parse_known(&config.known, &names)?;

    let manager = Manager::new(clock::turn(), config.settings, config.seed);
    let (core, mailbox) = bounded(core::MAILBOX);
    let (updates, list_mailbox) = bounded(list::MAILBOX);
    let make = list::platform_engines(shared.clone(), core.clone(), names.clone());
    shared.spawn(list::run(core.clone(), list_mailbox, make));
    let (flags, feed) = (shared.clone(), updates.clone());
    shared.spawn(async move {
        for update in known {
            let _ = feed.send(update).await;
        }
        let ready = flags.clone();
        flags.spawn(coordinator::run(config.coordinator, last, feed, move || ready.ready.set(true)));
        Timer::after(READY_ANYWAY).await;
        flags.ready.set(true);
    });
    let flags = shared.clone();
    let ready: Rc<dyn Fn() -> bool> = Rc::new(move || flags.ready.get() && !flags.stopping.get());
    let front = move |conn| JsonRpc::new(conn, names.clone(), ready.clone());
    shared.spawn(client::listen(shared.clone(), core.clone(), listener, front));
    let flags = shared.clone();
    shared.spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            let input = match signal {
                Signal::Usr1 => Input::Report,
                _ => {
                    log!("asked to end: answering what is open");
                    flags.stopping.set(true);
                    Input::Stop
                }
            };
            let _ = core.send(input).await;
        }
    });
    let executor = shared.executor.clone();
    let manager = block_on(executor.run(core::run(shared, manager, mailbox)));
    eprintln!("yokelift: {}", manager.counters);
    Ok(())
}

fn run() -> Result<(), String> {
    let path = std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG names no configuration file")?;
    serve(config::read(&PathBuf::from(path))?)
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
