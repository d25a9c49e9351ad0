//! The close of a listener: the connections in its backlog are accepted, and from then on the
//! system refuses connections, also for other processes that share the listener. Otherwise the
//! system would continue to complete connections that no process accepts, and reset them when the
//! process exits.
use super::accept_claim::is_accepted_elsewhere;
use super::connection_registry::shed_idle_connection;
use crate::log;
use crate::net::{CountGuard, Shared};
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use socket2::{SockFilter, SockRef};
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Weak;
use std::time::Duration;

/// How long a connection whose handshake has begun may take to complete it.
const HANDSHAKE_GRACE_PERIOD: Duration = Duration::from_millis(1);
/// The interval at which a listener checks whether another process still shares it.
const SHARING_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which the claims of other processes are read again.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The interval at which accepting from the backlog is retried while no descriptor is free.
const DESCRIPTOR_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Empties the backlog, and closes the listener with its duplicates in all processes.
pub(super) async fn close_listener(
    shared: &Shared,
    listener: &Async<TcpListener>,
    serve: &impl Fn(Async<TcpStream>),
) {
    shared.listeners_closing.set(true);
    let socket = SockRef::from(listener.get_ref());
    // Without the filter, a connection that is completed between the last accept and the close
    // would be reset.
    if let Err(error) = socket.attach_filter(&syn_drop_filter()) {
        log!("no SYN filter for a closing listener; new connections may be reset: {error}");
    }
    accept_backlog(shared, listener, serve).await;
    Timer::after(HANDSHAKE_GRACE_PERIOD).await;
    accept_backlog(shared, listener, serve).await;
    // An error means that the listener is closed already.
    let _ = socket.shutdown(Shutdown::Both);
}

/// A packet filter for a listener that drops TCP segments with the SYN flag: no connection begins,
/// and those that have begun are completed. The clients of dropped segments send them again a
/// second later.
fn syn_drop_filter() -> [SockFilter; 4] {
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

/// Counts a listener in [`Shared::listeners_accepted_elsewhere`] while another process claims that it
/// accepts from it.
pub(super) struct AcceptedElsewhere<'a> {
    shared: &'a Shared,
    listener: &'a Async<TcpListener>,
    count: Option<CountGuard>,
}

impl<'a> AcceptedElsewhere<'a> {
    /// Looks for such a claim.
    pub(super) fn check(
        shared: &'a Shared,
        listener: &'a Async<TcpListener>,
    ) -> AcceptedElsewhere<'a> {
        let mut accepted = AcceptedElsewhere {
            shared,
            listener,
            count: None,
        };
        accepted.update();
        accepted
    }

    fn update(&mut self) {
        let is_accepted = self.shared.admin_enabled.get() && is_accepted_elsewhere(self.listener);
        self.count =
            is_accepted.then(|| CountGuard::new(&self.shared.listeners_accepted_elsewhere));
    }

    /// Waits until no process that accepts connections shares the listener.
    pub(super) async fn wait_until_not_shared(&mut self) {
        while self.shared.listeners_are_shared() {
            let is_claimed = self.count.is_some();
            let interval = if is_claimed {
                CLAIM_POLL_INTERVAL
            } else {
                SHARING_POLL_INTERVAL
            };
            Timer::after(interval).await;
            if is_claimed {
                self.update();
            }
        }
    }
}

/// Accepts the connections in the backlog. For their clients they are established already: each
/// gets its response or a graceful close. While no descriptor is free it waits for one, until the
/// process exits.
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
            // The client has closed the connection.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            // The backlog is empty, or the listener is closed.
            Err(_) => return,
        }
    }
}

async fn wait_for_descriptor(shared: &Shared) {
    if !shed_idle_connection(shared) {
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

/// Counts the connections in the backlogs of this process's listeners that its exit would reset, by
/// accepting them. Connections that another process will accept do not count.
pub fn count_unaccepted(shared: &Shared) -> usize {
    if shared.listeners_are_shared() {
        return 0;
    }
    let listeners = shared.listeners.borrow();
    let waiting = listeners.iter().filter_map(Weak::upgrade);
    waiting
        .map(|listener| std::iter::from_fn(|| listener.get_ref().accept().ok()).count())
        .sum()
}
