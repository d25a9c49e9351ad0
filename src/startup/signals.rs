//! Signals: SIGTERM and SIGINT stop the process, SIGHUP reloads its configuration, SIGUSR1 prints its
//! counters.
use super::{StartContext, StartError};
use crate::clock;
use crate::log;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::reload::Reload;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Installs the handlers.
pub(super) fn subscribe() -> Result<Signals, StartError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
        .map_err(StartError::Signals)
}

/// Starts the actor that reacts to signals.
pub(super) fn start(context: &StartContext, mut signals: Signals, reload: Reload) {
    let shared = context.shared.clone();
    let dispatcher = context.dispatcher.clone();
    context.shared.spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            let event = match signal {
                Signal::Usr1 => DispatcherEvent::PrintCounters,
                Signal::Hup => reload_configuration(&reload).await,
                _ => begin_shutdown(&shared),
            };
            let _ = dispatcher.send(event).await;
        }
    });
}

async fn reload_configuration(reload: &Reload) -> DispatcherEvent {
    match reload.reload().await {
        Ok(()) => {
            log!("read the configuration again");
            DispatcherEvent::ReloadSucceeded
        }
        Err(error) => {
            log!("the configuration can't be used, the old one stands: {error}");
            DispatcherEvent::ReloadFailed
        }
    }
}

fn begin_shutdown(shared: &Shared) -> DispatcherEvent {
    log!("asked to end: answering what is open");
    shared.lifecycle.borrow_mut().begin_shutdown(clock::turn());
    DispatcherEvent::Shutdown
}
