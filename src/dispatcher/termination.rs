//! How an attempt or a connection to an engine can end, and what each end proves about the
//! execution of the attempt.
//!
//! A request may be repeated or not depending on whether an attempt may have been executed, so this
//! must be determined exactly. It follows from the [`Termination`] and from the
//! [`TransmitProgress`], which is how much of the attempt had been written by then. [`outcome`] is
//! the only function that combines the two.
use crate::policy::api::OutcomeKind;
use rustix::io::Errno;
use std::fmt;
use std::io;

/// How an attempt or a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Termination {
    /// The engine sent its complete reply. Proves that the attempt was executed.
    Done,
    /// The engine rejected the attempt because it has too many sessions or is draining. Proves that
    /// the attempt was not executed.
    Rejected,
    /// The engine detected a duplicate and replied that the request had already finished. Proves
    /// that this attempt was not executed and that an earlier one was.
    AlreadyFinished,
    /// The engine replied with an error. The attempt may have been executed in part.
    EngineError,
    /// The engine's host refused the connection. Proves that nothing was written and therefore that
    /// the attempt was not executed.
    Refused,
    /// The connection was not established in time. Proves that nothing was written.
    ConnectTimeout,
    /// The connection could not be established for another reason. Proves that nothing was written.
    Unreachable,
    /// A local limit was reached: all sockets for engines are in use, the system has no descriptor
    /// or memory left, or a mailbox is full. Proves nothing about the engine.
    LocalLimit,
    /// The engine closed the connection.
    Closed,
    /// The connection was reset or failed.
    Reset,
    /// The peer violated the protocol, so none of its messages are reliable.
    ProtocolViolation,
    /// The peer did not send a message that was due.
    Unresponsive,
    /// This process closed the connection while nothing was in flight on it.
    Idle,
    /// The engine is draining or was removed, so no new attempt is sent to it.
    Drained,
    /// This process cancelled the attempt.
    Cancelled,
    /// The deadline of the attempt passed.
    Deadline,
    /// This process closed the connection with all attempts on it.
    Dropped,
}

impl fmt::Display for Termination {
    /// Writes the name that failure responses and the counters line contain. It is part of the
    /// interface to clients and operators, and differs from the name of some variants.
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
    /// The termination that corresponds to an error of `connect`. Errors that are caused by a lack
    /// of local resources prove nothing about the peer.
    pub fn from_connect_error(error: &io::Error) -> Termination {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            return Termination::Refused;
        }
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(
                Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL,
            ) => Termination::LocalLimit,
            _ => Termination::Unreachable,
        }
    }
}

/// How much of an attempt had been written to the engine when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransmitProgress {
    /// Nothing. Proves that the attempt was not executed.
    Unsent,
    /// The message without its end, which this process withheld. The engine cannot have executed
    /// the attempt unless the end is written later: if the attempt is cancelled, the rest of the
    /// message is written before the cancellation.
    Partial,
    /// The whole message or an unknown part of it. The attempt may have been executed, regardless
    /// of what happened to the connection afterwards.
    Complete,
}

/// Returns the outcome of an attempt for the decision module. This is the only mapping from
/// [`Termination`] and [`TransmitProgress`] to [`OutcomeKind`].
///
/// Once the first byte is written, only a reply of the engine or a withheld end of the message may
/// lead to an outcome that counts as [`never_ran`]. Otherwise a non-idempotent request could be
/// executed twice. Before the first byte, every outcome without a reply has to count as
/// `never_ran`. Otherwise a load that could safely be repeated would fail.
pub fn outcome(termination: Termination, progress: TransmitProgress) -> OutcomeKind {
    match termination {
        Termination::Done => OutcomeKind::Ok,
        Termination::Rejected => OutcomeKind::Rejected,
        // The earlier attempt, which was executed, has its own outcome.
        Termination::AlreadyFinished => OutcomeKind::NeverSent,
        Termination::EngineError => OutcomeKind::Error,
        // The operating system reports these errors before anything can be written.
        Termination::Refused | Termination::ConnectTimeout | Termination::Unreachable => {
            OutcomeKind::ConnectFailed
        }
        Termination::Closed
        | Termination::Reset
        | Termination::ProtocolViolation
        | Termination::Unresponsive
        | Termination::Idle
        | Termination::Dropped => match progress {
            TransmitProgress::Unsent | TransmitProgress::Partial => OutcomeKind::ConnectFailed,
            TransmitProgress::Complete => OutcomeKind::Reset,
        },
        Termination::LocalLimit => match progress {
            TransmitProgress::Unsent => OutcomeKind::NeverSent,
            TransmitProgress::Partial | TransmitProgress::Complete => OutcomeKind::Reset,
        },
        Termination::Drained => match progress {
            TransmitProgress::Unsent => OutcomeKind::Rejected,
            TransmitProgress::Partial | TransmitProgress::Complete => OutcomeKind::Reset,
        },
        Termination::Cancelled => match progress {
            TransmitProgress::Unsent => OutcomeKind::NeverSent,
            TransmitProgress::Partial | TransmitProgress::Complete => OutcomeKind::Cancelled,
        },
        Termination::Deadline => match progress {
            TransmitProgress::Unsent => OutcomeKind::NeverSent,
            TransmitProgress::Partial | TransmitProgress::Complete => OutcomeKind::Timeout,
        },
    }
}

/// Whether an outcome proves that the attempt was not executed.
pub fn never_ran(kind: OutcomeKind) -> bool {
    matches!(
        kind,
        OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
    )
}

#[cfg(test)]
#[path = "../../tests/unit/termination.rs"]
mod tests;
