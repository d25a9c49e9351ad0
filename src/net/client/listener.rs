//! The listeners of the fronts.
use super::connection_registry::shed;
use super::start;
use crate::frontend::Front;
use crate::log;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{CountGuard, Shared};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::StreamExt;
use futures_lite::future::{or, yield_now};
use rustix::net::SocketFlags;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections that may wait to be accepted; the system has its own limit.
const LINE: i32 = 4_096;

/// Listens there. Guards against a crowd that fills the usual short line: what does not fit into it
/// believes to be connected, and is heard only seconds later.
pub fn bind(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, LINE)?;
    Ok(listener)
}

/// The same at an address that a process of a newer version may share.
pub fn bind_shared(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    use rustix::net::{AddressFamily, SocketType, sockopt};
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
    rustix::net::listen(&listener, LINE)?;
    Ok(listener)
}

/// Accepts connections until the program is about to end; `front` makes the protocol of each.
pub async fn listen<F: Front + 'static>(
    shared: Rc<Shared>,
    core: Sender<DispatcherEvent>,
    listener: Async<TcpListener>,
    front: impl Fn(u64) -> F,
) {
    let _listening = CountGuard::new(&shared.listening);
    let mut incoming = Box::pin(listener.incoming());
    let closed = shared.accepting.1.clone();
    let serve = |stream| {
        let conn = shared.next_conn.get();
        shared.next_conn.set(conn + 1);
        start(&shared, core.clone(), stream, conn, front(conn), None);
    };
    loop {
        let none = async {
            let _ = closed.recv().await;
            None
        };
        let Some(stream) = or(none, incoming.next()).await else {
            break;
        };
        match stream {
            Ok(stream) => serve(stream),
            // Most likely all descriptors are in use: one that idles makes room, and nothing spins.
            Err(e) => {
                log!("accepting a client: {e}");
                shed(&shared);
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        // Guards the limit on sockets: connections that wait in the listener's line come without a
        // pause.
        yield_now().await;
        while shared.client_sockets.get() >= shared.max_client_sockets.get() && !closed.is_closed()
        {
            if !shed(&shared) {
                Timer::after(Duration::from_millis(10)).await;
            }
            yield_now().await;
        }
    }
    drop(incoming);
    // What waits in the line is connected, as its clients see it: each gets a farewell or its
    // answer, not a reset. A successor has the same line.
    let alone = !shared.lifecycle.borrow().successor_took_over();
    while alone && shared.client_sockets.get() < shared.max_client_sockets.get() {
        let Ok((stream, _)) = listener.get_ref().accept() else {
            break;
        };
        if let Ok(stream) = Async::new(stream) {
            serve(stream);
        }
    }
}
