//! The end of a listener: what is in its backlog is accepted, and from then on the system refuses
//! connections. Without this the system would go on to complete connections that nobody accepts, and
//! reset them when the process exits.
use super::connection_registry::shed_one;
use crate::log;
use crate::net::Shared;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use socket2::{SockFilter, SockRef};
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Weak;
use std::time::Duration;

/// How long a connection that has begun may take to be complete.
const HANDSHAKE_TIME: Duration = Duration::from_millis(1);
/// The interval at which a listener looks whether the successor that has it too is still there.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the backlog waits for a descriptor.
const DESCRIPTOR_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Empties the backlog, and closes the listener with its duplicates for successors.
pub(super) async fn close_listener(
    shared: &Shared,
    listener: &Async<TcpListener>,
    serve: &impl Fn(Async<TcpStream>),
) {
    shared.listeners_closing.set(true);
    let socket = SockRef::from(listener.get_ref());
    // Without the filter a connection between the last look at the backlog and the close is reset.
    if let Err(error) = socket.attach_filter(&ignore_first_segments()) {
        log!("connections of the next moment may be reset: {error}");
    }
    accept_backlog(shared, listener, serve).await;
    Timer::after(HANDSHAKE_TIME).await;
    accept_backlog(shared, listener, serve).await;
    // An error says that the listener is closed already.
    let _ = socket.shutdown(Shutdown::Both);
}

/// A packet filter for a listener that drops TCP segments with the SYN flag: no connection begins, and
/// those that have begun are completed. Their clients try again a second later.
fn ignore_first_segments() -> [SockFilter; 4] {
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const SYN_FLAG: u32 = 0x02;
    const DROP: u32 = 0;
    const ACCEPT: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, ACCEPT),
    ]
}

/// Waits until no successor has the listener.
pub(super) async fn wait_for_successors_end(shared: &Shared) {
    while shared.lifecycle.borrow().has_successor() {
        Timer::after(SUCCESSOR_POLL_INTERVAL).await;
    }
}

/// Accepts what is in the backlog. Its clients take themselves for connected: each gets its response
/// or a graceful close. Where descriptors are short it waits for some, until the process exits.
pub(super) async fn accept_backlog(
    shared: &Shared,
    listener: &Async<TcpListener>,
    serve: &impl Fn(Async<TcpStream>),
) {
    loop {
        if shared.client_sockets.get() >= shared.max_client_sockets.get() {
            wait_for_descriptor(shared).await;
            continue;
        }
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                if let Ok(stream) = Async::new(stream) {
                    serve(stream);
                }
            }
            Err(error) if is_out_of_descriptors(&error) => wait_for_descriptor(shared).await,
            // The client has gone.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            // It is empty, or closed.
            Err(_) => return,
        }
    }
}

async fn wait_for_descriptor(shared: &Shared) {
    if !shed_one(shared) {
        Timer::after(DESCRIPTOR_POLL_INTERVAL).await;
    }
    yield_now().await;
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let codes = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    let code = error.raw_os_error();
    codes.iter().any(|known| Some(known.raw_os_error()) == code)
}

/// The connections that are in the backlogs of this process's listeners and that its exit resets. Takes
/// them out. Those that a successor will accept do not count.
pub fn count_unaccepted(shared: &Shared) -> usize {
    if shared.lifecycle.borrow().has_successor() {
        return 0;
    }
    let listeners = shared.listeners.borrow();
    let waiting = listeners.iter().filter_map(Weak::upgrade);
    waiting
        .map(|listener| std::iter::from_fn(|| listener.get_ref().accept().ok()).count())
        .sum()
}
