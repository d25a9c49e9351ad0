//! Every way in which a connection to an engine, or an attempt on it, can end, and what each
//! proves.
use crate::policy::api::OutcomeKind;
use rustix::io::Errno;
use std::io;

/// How it ended. What it means for an attempt also depends on [`Reach`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    /// The engine answered, and the answer is whole.
    Done,
    /// The engine turned the attempt away: too many sessions, or draining.
    Full,
    /// The engine says that the request was over already.
    Past,
    /// The engine answered with an error.
    Broke,
    /// The connection was refused.
    Refused,
    /// The connection was not made in time.
    ConnectTimeout,
    /// The connection could not be made for another reason.
    Unreachable,
    /// All sockets that engines may have are in use, or a mailbox is full: this side's limits.
    Overflow,
    /// The engine closed the connection.
    Closed,
    /// The connection was reset or failed.
    Reset,
    /// The peer wrote what is not its protocol.
    Garbled,
    /// Nothing came although something was due.
    Silent,
    /// This side closed the connection since nothing was open on it.
    Idle,
    /// The engine drains or is gone, so nothing new goes to it.
    Drained,
    /// This side gave up the attempt.
    Withdrawn,
    /// The attempt's time was up.
    Deadline,
    /// This side dropped the connection with all that was on it.
    Dropped,
}

impl End {
    /// How a connection that was not made ended. What this side lacks says nothing of the peer.
    pub fn of_connect(e: &io::Error) -> End {
        match (e.kind(), e.raw_os_error().map(Errno::from_raw_os_error)) {
            (io::ErrorKind::ConnectionRefused, _) => End::Refused,
            (
                _,
                Some(
                    Errno::MFILE
                    | Errno::NFILE
                    | Errno::NOBUFS
                    | Errno::NOMEM
                    | Errno::ADDRNOTAVAIL,
                ),
            ) => End::Overflow,
            _ => End::Unreachable,
        }
    }
}

/// How much of an attempt went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Not a byte: it never ran.
    Unsent,
    /// Some of it, but not the end, which was held back: the engine never had it whole, so it never
    /// ran, unless the end goes out yet.
    Begun,
    /// All of it, or no telling how much: it may have run, whatever the connection did next.
    Sent,
}

/// The one place where an end becomes the module's outcome.
///
/// Guards rule 2: no end after the first byte may pass for 'never ran' but the engine's own word
/// for it, and no end before the first byte may pass for 'may have run', which would fail a load
/// that could be sent again.
pub fn outcome(end: End, reach: Reach) -> OutcomeKind {
    match (end, reach) {
        (End::Done, _) => OutcomeKind::Ok,
        (End::Full, _) => OutcomeKind::Full,
        // Also a repeat that the engine knew by its key: what ran under it is on the book of the
        // attempt that ran.
        (End::Past, _) => OutcomeKind::Moot,
        (End::Broke, _) => OutcomeKind::Error,
        // Reported by the kernel before anything could be written.
        (End::Refused | End::ConnectTimeout | End::Unreachable, _) => OutcomeKind::ConnectFailed,
        (End::Drained, Reach::Unsent) => OutcomeKind::Full,
        (End::Overflow | End::Withdrawn | End::Deadline, Reach::Unsent) => OutcomeKind::Moot,
        (End::Closed | End::Reset | End::Garbled | End::Silent, Reach::Unsent | Reach::Begun) => {
            OutcomeKind::ConnectFailed
        }
        (End::Idle | End::Dropped, Reach::Unsent | Reach::Begun) => OutcomeKind::ConnectFailed,
        // The end that was held back follows, and the word that gives it up behind it.
        (End::Withdrawn, Reach::Sent | Reach::Begun) => OutcomeKind::Cancelled,
        (End::Deadline, Reach::Sent | Reach::Begun) => OutcomeKind::Timeout,
        (End::Overflow | End::Drained, Reach::Begun) => OutcomeKind::Reset,
        (End::Overflow | End::Drained | End::Idle | End::Dropped, Reach::Sent) => {
            OutcomeKind::Reset
        }
        (End::Closed | End::Reset | End::Garbled | End::Silent, Reach::Sent) => OutcomeKind::Reset,
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(kind: OutcomeKind) -> bool {
    matches!(
        kind,
        OutcomeKind::Full | OutcomeKind::ConnectFailed | OutcomeKind::Moot
    )
}

#[cfg(test)]
#[path = "../../tests/unit/termination.rs"]
mod tests;
