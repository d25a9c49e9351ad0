//! The registry of client connections: which of them may be shed or closed, and which clients have
//! disconnected.
use super::SHED_GRACE_PERIOD;
use crate::clock::{self, Micros};
use crate::net::Shared;
use async_channel::Sender;
use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Weak;

/// What a connection's actor shares with the listeners, which shed connections when there are too
/// many, and with the dispatcher's actor, which closes them during a drain.
pub struct ConnectionStatus {
    /// The client has sent at least one valid message.
    pub(super) has_valid_message: Cell<bool>,
    /// Since when no request is open on the connection and no output is to be written; `None` while
    /// a request is open or output is to be written.
    pub(super) idle_since: Cell<Option<Micros>>,
    /// The connection is to close as soon as it is quiet, so that no request is lost.
    pub(super) draining: Cell<bool>,
    /// The connection is to be transferred to the successor process.
    pub(super) transferring: Cell<bool>,
    /// A message requests a check whether the connection should close; a closed channel sheds it.
    pub(super) close_checks: Sender<()>,
    /// The socket, while this process has it.
    pub(super) stream: Weak<Async<TcpStream>>,
}

impl ConnectionStatus {
    /// The status of a connection that was just accepted at `now`.
    pub(super) fn new(
        now: Micros,
        close_checks: Sender<()>,
        stream: Weak<Async<TcpStream>>,
    ) -> ConnectionStatus {
        ConnectionStatus {
            has_valid_message: Cell::new(false),
            idle_since: Cell::new(Some(now)),
            draining: Cell::new(false),
            transferring: Cell::new(false),
            close_checks,
            stream,
        }
    }

    /// Whether the client has closed its side, or the connection has failed. Detects this also
    /// after input that is not read yet, as from a client that is throttled or does not read its
    /// responses.
    pub fn disconnected(&self) -> bool {
        self.stream
            .upgrade()
            .is_some_and(|stream| is_closed_by_peer(stream.get_ref()))
    }

    /// Requests a check by the connection's actor whether the connection should close.
    fn request_close_check(&self) {
        // A full channel means that a check is already requested.
        let _ = self.close_checks.try_send(());
    }
}

/// Whether the peer has closed its side, or the connection has failed. Takes one system call and
/// reads nothing.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let closed_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let ready = poll(&mut descriptors, Some(&Timespec::default())).is_ok_and(|count| count > 0);
    ready && descriptors[0].revents().intersects(closed_flags)
}

/// Sheds the connection whose loss matters least: among the idle ones, first those that never sent
/// a valid message, then the one that has been idle for longest. This keeps many idle connections
/// from excluding ordinary clients. Returns whether there was one to shed.
pub(super) fn shed_idle_connection(shared: &Shared) -> bool {
    let clients = shared.clients.borrow();
    // Skips connections within the grace period. Waiting for the grace period of a new connection
    // to end instead would block all other clients for that time.
    let idle_before = clock::read().saturating_sub(SHED_GRACE_PERIOD);
    clients
        .values()
        .filter(|status| {
            status
                .idle_since
                .get()
                .is_some_and(|since| since <= idle_before)
        })
        .filter(|status| !status.close_checks.is_closed())
        .min_by_key(|status| (status.has_valid_message.get(), status.idle_since.get()))
        .is_some_and(|status| status.close_checks.close())
}

/// Notifies client connections when the lifecycle requires that they are closed or transferred, or
/// no longer requires it. A connection is closed once it is quiet, and transferred as soon as its
/// protocol state permits.
///
/// `was_closing` is whether the lifecycle required it at the last call, and is updated. If it was
/// not required then and is not required now, no connection is notified, so that idle clients cost
/// no processor time.
pub fn close_idle_connections(shared: &Shared, now: Micros, was_closing: &mut bool) {
    let lifecycle = shared.lifecycle.borrow();
    let transferring = lifecycle.successor_took_over();
    if transferring {
        shared.stop_accepting();
    }
    let closing = lifecycle.closes_idle_connections();
    let closing_before = std::mem::replace(was_closing, closing);
    if !closing && !closing_before {
        return;
    }
    for (id, status) in shared.clients.borrow().iter() {
        let draining = lifecycle.idle_close_at(*id).is_some_and(|at| at <= now);
        let changed = status.draining.replace(draining) != draining
            || status.transferring.replace(transferring) != transferring;
        if changed {
            status.request_close_check();
        }
    }
}

/// Requests a check by every connection whether it is quiet and therefore has to close. Called when
/// the process is about to exit, which the lifecycle already records.
pub fn begin_shutdown(shared: &Shared) {
    for status in shared.clients.borrow().values() {
        status.request_close_check();
    }
}
