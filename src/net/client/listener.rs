//! The listeners of the client frontends.
use super::accept_claim::AcceptClaim;
use super::connection_registry::shed_idle_connection;
use super::listener_close::{AcceptedElsewhere, accept_backlog, close_listener};
use super::start;
use crate::frontend::Frontend;
use crate::log;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{CountGuard, Shared};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::StreamExt;
use futures_lite::future::{or, yield_now};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The backlog of a listener: connections that may wait to be accepted. The system has a limit of
/// its own.
const LISTEN_BACKLOG: i32 = 4_096;
/// How long a listener waits when no descriptor is free for the next connection.
const NO_DESCRIPTOR_PAUSE: Duration = Duration::from_millis(10);

/// Binds a listener. Its backlog is larger than the default: a connection that does not fit into
/// the backlog is established for the client, but served only seconds later.
///
/// # Errors
/// Those of the system, such as an address in use.
pub fn bind(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// Binds a listener at an address that another process may share (`SO_REUSEPORT`), such as the
/// successor in a hot restart.
///
/// # Errors
/// Those of the system, such as an address in use.
pub fn bind_shared(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &addr)?;
    let listener = Async::new(TcpListener::from(socket))?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// Permits processes of the same user to bind this listener's address too, with [`bind_shared`].
///
/// # Errors
/// Those of the system.
pub fn permit_sharing(listener: &Async<TcpListener>) -> io::Result<()> {
    Ok(sockopt::set_socket_reuseport(listener, true)?)
}

/// Accepts connections until the process is about to exit or its successor accepts them. Then waits
/// until no other process accepts from the listener, accepts the connections in the backlog, and
/// closes the listener. `new_frontend` creates the protocol of each connection from the connection's number.
pub async fn listen<F: Frontend + 'static>(
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    listener: Async<TcpListener>,
    new_frontend: impl Fn(u64) -> F,
) {
    let listening = CountGuard::new(&shared.listening);
    let _open = CountGuard::new(&shared.open_listeners);
    let listener = Rc::new(listener);
    shared.listeners.borrow_mut().push(Rc::downgrade(&listener));
    let serve = |stream| {
        let id = shared.next_conn.get();
        shared.next_conn.set(id + 1);
        start(
            &shared,
            dispatcher.clone(),
            stream,
            id,
            new_frontend(id),
            None,
        );
    };
    let claim = claim_listener(&shared, &listener);
    let mut incoming = Box::pin(listener.incoming());
    loop {
        let stopped = async {
            // An error means that the channel is closed, which is the signal to stop.
            let _ = shared.accepting.1.recv().await;
            None
        };
        let Some(accepted) = or(stopped, incoming.next()).await else {
            break;
        };
        match accepted {
            Ok(stream) => serve(stream),
            // Most likely no descriptor is free: sheds an idle connection, and pauses to avoid a
            // busy loop.
            Err(error) => {
                log!("accepting a client connection failed: {error}");
                shed_idle_connection(&shared);
                Timer::after(NO_DESCRIPTOR_PAUSE).await;
            }
        }
        // Connections in the backlog are accepted without waiting: yielding lets their actors run
        // first, so that the limit on client sockets applies.
        yield_now().await;
        wait_for_client_socket(&shared).await;
    }
    drop(incoming);
    // Of two processes that stop accepting at once, the one that withdraws its claim last finds none.
    drop(claim);
    let mut accepted_elsewhere = AcceptedElsewhere::check(&shared, &listener);
    if !other_process_accepts(&shared) {
        accept_backlog(&shared, &listener, &serve).await;
    }
    if shared.listeners_are_shared() {
        drop(listening);
        accepted_elsewhere.wait_until_not_shared().await;
    }
    close_listener(&shared, &listener, &serve).await;
}

/// Publishes that this process accepts from the listener, if listeners can be passed on: a hot restart
/// requires an admin endpoint.
fn claim_listener(shared: &Shared, listener: &Async<TcpListener>) -> Option<AcceptClaim> {
    if !shared.admin_enabled.get() {
        return None;
    }
    AcceptClaim::publish(listener)
        .inspect_err(|error| {
            log!("can't publish that this process accepts clients, others may close its listener: {error}");
        })
        .ok()
}

/// Whether another process accepts from the same backlogs now.
fn other_process_accepts(shared: &Shared) -> bool {
    let lifecycle = shared.lifecycle.borrow();
    lifecycle.successor_took_over()
        || lifecycle.has_serving_predecessor()
        || shared.listeners_accepted_elsewhere.get() > 0
}

/// Waits while the limit on client sockets is reached, and sheds idle connections.
async fn wait_for_client_socket(shared: &Shared) {
    let stopped = &shared.accepting.1;
    while shared.client_sockets.get() >= shared.max_client_sockets.get() && !stopped.is_closed() {
        if !shed_idle_connection(shared) {
            Timer::after(NO_DESCRIPTOR_PAUSE).await;
        }
        yield_now().await;
    }
}
