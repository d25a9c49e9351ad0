//! How an attempt or a connection to an engine can end, and what each end proves about the execution
//! of the attempt.
//!
//! Whether an attempt may have been executed decides whether the request may be repeated, so it must
//! be known exactly. Two facts determine it: the [`Termination`], and the [`TransmitProgress`], how
//! much of the attempt had been written by then. [`outcome`] is the only function that combines
//! them.
use crate::policy::api::OutcomeKind;
use rustix::io::Errno;
use std::fmt;
use std::io;

/// How an attempt or a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Termination {
    /// The engine sent its complete reply. Proves that the attempt was executed.
    Done,
    /// The engine rejected the attempt, since it has too many sessions or is draining. Proves that
    /// the attempt was not executed.
    Rejected,
    /// The engine replied that the request had already finished: it detected a duplicate. Proves
    /// that this attempt was not executed; an earlier one was.
    AlreadyFinished,
    /// The engine replied with an error. The attempt may have been executed in part.
    EngineError,
    /// The engine's host refused the connection. Proves that nothing was written, thus that the
    /// attempt was not executed.
    Refused,
    /// The connection was not established in time. Proves that nothing was written.
    ConnectTimeout,
    /// The connection could not be established for another reason. Proves that nothing was written.
    Unreachable,
    /// A limit of this process: its sockets for engines are in use, the system has no descriptor or
    /// memory left, or a mailbox is full. Proves nothing about the engine.
    LocalLimit,
    /// The engine closed the connection.
    Closed,
    /// The connection was reset or failed.
    Reset,
    /// The peer violated the protocol, so that nothing it sends can be relied on.
    ProtocolViolation,
    /// The peer sent nothing although a message was due.
    Unresponsive,
    /// This process closed the connection, on which nothing was in flight.
    Idle,
    /// The engine is draining or gone, so no new attempt is sent to it.
    Drained,
    /// This process cancelled the attempt.
    Cancelled,
    /// The deadline of the attempt passed.
    Deadline,
    /// This process closed the connection with all attempts on it.
    Dropped,
}

impl fmt::Display for Termination {
    /// The name in failure responses and in the counters line. It is part of the interface to clients
    /// and operators, and differs from that of the variant for some.
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
    pub fn of_connect(error: &io::Error) -> Termination {
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
    /// A part without the end of the message, which this process withheld. The engine cannot have
    /// executed it, unless the end is written after all: a cancelled attempt is completed first and
    /// its cancellation sent behind it.
    Partial,
    /// All of it, or an unknown part. The attempt may have been executed, whatever happened to the
    /// connection afterwards.
    Complete,
}

/// The outcome of an attempt that is reported to the decision module. This is the only mapping from
/// [`Termination`] and [`TransmitProgress`] to [`OutcomeKind`].
///
/// After the first byte was written, only the engine's own statement, or a withheld end of the
/// message, may lead to an outcome that counts as [`never_ran`]: otherwise a non-idempotent request
/// could be executed twice. Before the first byte, every outcome without a reply has to count as
/// `never_ran`: otherwise a load that could safely be repeated would fail.
pub fn outcome(termination: Termination, progress: TransmitProgress) -> OutcomeKind {
    match termination {
        Termination::Done => OutcomeKind::Ok,
        Termination::Rejected => OutcomeKind::Rejected,
        // The earlier attempt that was executed has an outcome of its own.
        Termination::AlreadyFinished => OutcomeKind::NeverSent,
        Termination::EngineError => OutcomeKind::Error,
        // The operating system reports these before anything can be written.
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
