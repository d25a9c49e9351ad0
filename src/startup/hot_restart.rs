//! Start of the hot restart: the session with the predecessor if there is one, then the acceptance
//! of successors.
use super::sockets::HotRestartSockets;
use super::{StartContext, readiness};
use crate::clock;
use crate::config::process::Config;
use crate::frontend::jsonrpc::JsonRpc;
use crate::lifecycle::{PredecessorList, PredecessorState};
use crate::net::client;
use crate::net::hot_restart::{
    AdoptConnection, Predecessor, TransferredState, accept_successors, follow_predecessor,
};
use async_channel::bounded;
use async_io::Async;
use std::rc::Rc;

/// Opens the frontends' listeners and accepts successors: at once without a predecessor, otherwise
/// once this process can serve. Until then only the predecessor accepts clients.
pub(super) fn start(context: &StartContext, config: &Config, sockets: HotRestartSockets) {
    let listeners = sockets.listeners;
    let predecessor = sockets.socket_path.map(|socket_path| Predecessor {
        socket_path,
        name: config.name.clone(),
        listeners,
        dispatcher: context.dispatcher.clone(),
        discovery: context.discovery.clone(),
    });
    let shared = context.shared.clone();
    let serving = context.serving.clone();
    let start_serving = move || {
        serving.open();
        if let Some(predecessor) = predecessor {
            shared.spawn(accept_successors(shared.clone(), predecessor));
        }
    };
    let Some(transferred) = sockets.transferred else {
        start_serving();
        return;
    };
    adopt_lifecycle(context, &transferred);
    context.shared.spawn(follow_predecessor(
        context.shared.clone(),
        context.dispatcher.clone(),
        context.discovery.clone(),
        transferred,
        adopt_connection(context),
        start_serving,
    ));
}

/// Takes over a drain of the predecessor, records that it shares the listeners and is about to send
/// its endpoint list, and reserves its share of the capacity.
fn adopt_lifecycle(context: &StartContext, transferred: &TransferredState) {
    let mut lifecycle = context.shared.lifecycle.borrow_mut();
    lifecycle.set_predecessor(PredecessorState::Serving);
    lifecycle.set_predecessor_list(PredecessorList::Awaited);
    lifecycle.set_predecessor_share(transferred.reserved_share);
    if transferred.draining {
        lifecycle.drain(clock::read());
    }
}

fn adopt_connection(context: &StartContext) -> AdoptConnection {
    let shared = context.shared.clone();
    let dispatcher = context.dispatcher.clone();
    let names = context.names.clone();
    let ready = readiness(&shared);
    Box::new(move |stream, adopted| {
        let conn = shared.next_conn.get();
        shared.next_conn.set(conn + 1);
        let frontend = JsonRpc::new(conn, names.clone(), Rc::clone(&ready));
        let frontend = JsonRpc::resume(clock::read(), &adopted.state, frontend);
        match Async::new(stream) {
            Ok(stream) => client::start(
                &shared,
                dispatcher.clone(),
                stream,
                conn,
                frontend,
                Some(adopted),
            ),
            // The channel has no receiver: responses are dropped as if the client had disconnected.
            Err(_) => bounded(1).0,
        }
    })
}
