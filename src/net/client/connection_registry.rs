//! What all connections of clients show of themselves: which may be shed or let go, and whose
//! client has gone.
use super::GRACE;
use crate::clock::{self, Micros};
use crate::net::Shared;
use async_channel::Sender;
use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::{Rc, Weak};

/// What the listeners know of a connection: whether it may be shed when there are too many.
pub struct ConnectionStatus {
    /// It has said something usable.
    pub(super) useful: Cell<bool>,
    /// Nothing is open on it and nothing is to be written, since then.
    pub(super) idle_since: Cell<Option<Micros>>,
    /// To be let go at the next moment that it is quiet, so that no request is lost.
    pub(super) leaving: Cell<bool>,
    /// To be passed to the process that follows this one.
    pub(super) passes: Cell<bool>,
    /// Closed to shed it; a word on it says to look whether it is to leave.
    pub(super) shed: Sender<()>,
    /// Its socket, while this process has it.
    pub(super) stream: Weak<Async<TcpStream>>,
}

impl ConnectionStatus {
    /// Whether its client has closed its side: also where bytes that came before are not read yet,
    /// as with a client that is read slowly or does not take its answers.
    pub fn gone(&self) -> bool {
        self.stream
            .upgrade()
            .is_some_and(|stream| hung_up(stream.get_ref()))
    }
}

/// Whether the peer has closed its side, or the connection is broken. Costs one system call and
/// reads nothing.
fn hung_up(stream: &TcpStream) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let some = poll(&mut polled, Some(&Timespec::default())).is_ok_and(|n| n > 0);
    some && polled[0].revents().intersects(ends)
}

/// Sheds the connection that is missed least: one that never said anything usable, and among those,
/// or else among all with nothing open, the one idle for longest. Guards the usual clients against
/// being kept out.
pub(super) fn shed(shared: &Shared) -> bool {
    let clients = shared.clients.borrow();
    // With the grace first: to wait for a newcomer's would leave one place a tenth of a second to
    // all others.
    let stays = clock::turn().saturating_sub(GRACE);
    let idle = |s: &&Rc<ConnectionStatus>| s.idle_since.get().is_some_and(|since| since <= stays);
    let all = clients
        .values()
        .filter(idle)
        .filter(|s| !s.shed.is_closed());
    all.min_by_key(|s| (s.useful.get(), s.idle_since.get()))
        .is_some_and(|s| s.shed.close())
}

/// Lets kept connections go when the lifecycle says so: each closes itself at its next quiet
/// moment. `letting_go` is whether any was to go at the last look, and is again now: while none is
/// and none was, nobody is told anything, and idle clients cost no turn.
pub fn let_go(shared: &Shared, now: Micros, letting_go: &mut bool) {
    let life = shared.lifecycle.borrow();
    if life.successor_took_over() {
        shared.accepting.0.close();
    }
    let before = std::mem::replace(letting_go, life.closes_idle_connections());
    if !*letting_go && !before {
        return;
    }
    for (conn, standing) in shared.clients.borrow().iter() {
        let leaving = life.idle_close_at(*conn).is_some_and(|at| at <= now);
        let passes = life.successor_took_over();
        if standing.leaving.replace(leaving) != leaving || standing.passes.replace(passes) != passes
        {
            let _ = standing.shed.try_send(());
        }
    }
}

/// The program is about to end, as the lifecycle says: every connection looks whether it is quiet,
/// and leaves.
pub fn send_away(shared: &Shared) {
    for standing in shared.clients.borrow().values() {
        let _ = standing.shed.try_send(());
    }
}
