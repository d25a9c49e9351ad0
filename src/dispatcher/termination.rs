//! Every way in which a connection to an engine, or an attempt on it, can end, and what each
//! proves.
use crate::policy::api::OutcomeKind;
use rustix::io::Errno;
use std::fmt;
use std::io;

/// How it ended. What it means for an attempt also depends on [`TransmitProgress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Termination {
    /// The engine answered, and the answer is whole.
    Done,
    /// The engine turned the attempt away: too many sessions, or draining.
    Rejected,
    /// The engine says that the request was over already.
    AlreadyFinished,
    /// The engine answered with an error.
    EngineError,
    /// The connection was refused.
    Refused,
    /// The connection was not made in time.
    ConnectTimeout,
    /// The connection could not be made for another reason.
    Unreachable,
    /// All sockets that engines may have are in use, or a mailbox is full: this side's limits.
    LocalLimit,
    /// The engine closed the connection.
    Closed,
    /// The connection was reset or failed.
    Reset,
    /// The peer wrote what is not its protocol.
    ProtocolViolation,
    /// Nothing came although something was due.
    Unresponsive,
    /// This side closed the connection since nothing was open on it.
    Idle,
    /// The engine drains or is gone, so nothing new goes to it.
    Drained,
    /// This side gave up the attempt.
    Cancelled,
    /// The attempt's time was up.
    Deadline,
    /// This side dropped the connection with all that was on it.
    Dropped,
}

impl fmt::Display for Termination {
    /// The word by which clients and operators know it: in answers that failed and in the counters
    /// line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Termination::Done => "Done",
            Termination::Rejected => "Full",
            Termination::AlreadyFinished => "Past",
            Termination::EngineError => "Broke",
            Termination::Refused => "Refused",
            Termination::ConnectTimeout => "ConnectTimeout",
            Termination::Unreachable => "Unreachable",
            Termination::LocalLimit => "Overflow",
            Termination::Closed => "Closed",
            Termination::Reset => "Reset",
            Termination::ProtocolViolation => "Garbled",
            Termination::Unresponsive => "Silent",
            Termination::Idle => "Idle",
            Termination::Drained => "Drained",
            Termination::Cancelled => "Withdrawn",
            Termination::Deadline => "Deadline",
            Termination::Dropped => "Dropped",
        })
    }
}

impl Termination {
    /// How a connection that was not made ended. What this side lacks says nothing of the peer.
    pub fn of_connect(e: &io::Error) -> Termination {
        match (e.kind(), e.raw_os_error().map(Errno::from_raw_os_error)) {
            (io::ErrorKind::ConnectionRefused, _) => Termination::Refused,
            (
                _,
                Some(
                    Errno::MFILE
                    | Errno::NFILE
                    | Errno::NOBUFS
                    | Errno::NOMEM
                    | Errno::ADDRNOTAVAIL,
                ),
            ) => Termination::LocalLimit,
            _ => Termination::Unreachable,
        }
    }
}

/// How much of an attempt went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransmitProgress {
    /// Not a byte: it never ran.
    Unsent,
    /// Some of it, but not the end, which was held back: the engine never had it whole, so it never
    /// ran, unless the end goes out yet.
    Partial,
    /// All of it, or no telling how much: it may have run, whatever the connection did next.
    Complete,
}

/// The one place where an end becomes the module's outcome.
///
/// Guards rule 2: no end after the first byte may pass for 'never ran' but the engine's own word
/// for it, and no end before the first byte may pass for 'may have run', which would fail a load
/// that could be sent again.
pub fn outcome(end: Termination, reach: TransmitProgress) -> OutcomeKind {
    match (end, reach) {
        (Termination::Done, _) => OutcomeKind::Ok,
        (Termination::Rejected, _) => OutcomeKind::Rejected,
        // Also a repeat that the engine knew by its key: what ran under it is on the book of the
        // attempt that ran.
        (Termination::AlreadyFinished, _) => OutcomeKind::NeverSent,
        (Termination::EngineError, _) => OutcomeKind::Error,
        // Reported by the kernel before anything could be written.
        (Termination::Refused | Termination::ConnectTimeout | Termination::Unreachable, _) => {
            OutcomeKind::ConnectFailed
        }
        (Termination::Drained, TransmitProgress::Unsent) => OutcomeKind::Rejected,
        (
            Termination::LocalLimit | Termination::Cancelled | Termination::Deadline,
            TransmitProgress::Unsent,
        ) => OutcomeKind::NeverSent,
        (
            Termination::Closed
            | Termination::Reset
            | Termination::ProtocolViolation
            | Termination::Unresponsive,
            TransmitProgress::Unsent | TransmitProgress::Partial,
        ) => OutcomeKind::ConnectFailed,
        (
            Termination::Idle | Termination::Dropped,
            TransmitProgress::Unsent | TransmitProgress::Partial,
        ) => OutcomeKind::ConnectFailed,
        // The end that was held back follows, and the word that gives it up behind it.
        (Termination::Cancelled, TransmitProgress::Complete | TransmitProgress::Partial) => {
            OutcomeKind::Cancelled
        }
        (Termination::Deadline, TransmitProgress::Complete | TransmitProgress::Partial) => {
            OutcomeKind::Timeout
        }
        (Termination::LocalLimit | Termination::Drained, TransmitProgress::Partial) => {
            OutcomeKind::Reset
        }
        (
            Termination::LocalLimit
            | Termination::Drained
            | Termination::Idle
            | Termination::Dropped,
            TransmitProgress::Complete,
        ) => OutcomeKind::Reset,
        (
            Termination::Closed
            | Termination::Reset
            | Termination::ProtocolViolation
            | Termination::Unresponsive,
            TransmitProgress::Complete,
        ) => OutcomeKind::Reset,
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(kind: OutcomeKind) -> bool {
    matches!(
        kind,
        OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
    )
}

#[cfg(test)]
#[path = "../../tests/unit/termination.rs"]
mod tests;
