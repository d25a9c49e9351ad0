//! Signals: SIGTERM and SIGINT begin the shutdown, SIGHUP reloads the configuration, SIGUSR1 prints
//! the counters.
use super::{StartContext, StartError};
use crate::clock;
use crate::log;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::reload::Reload;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Installs the signal handlers.
pub(super) fn subscribe() -> Result<Signals, StartError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
        .map_err(StartError::Signals)
}

/// Starts the actor that handles signals.
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
            log!("reload: the new configuration is in force");
            DispatcherEvent::ReloadSucceeded
        }
        Err(error) => {
            log!("reload: failed, the previous configuration stays in force: {error}");
            DispatcherEvent::ReloadFailed
        }
    }
}

fn begin_shutdown(shared: &Shared) -> DispatcherEvent {
    log!("shutdown: requested by a signal, completing the open requests");
    shared.lifecycle.borrow_mut().begin_shutdown(clock::read());
    DispatcherEvent::Shutdown
}
