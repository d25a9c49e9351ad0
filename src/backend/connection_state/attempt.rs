//! Attempts on a connection, and the events that it reports.
use crate::clock::Micros;
use crate::dispatcher::termination::TransmitProgress;
use crate::dispatcher::{AttemptRequest, AttemptResult};
use crate::policy::api::{AttemptNo, LoadReport, OutcomeKind, RequestId};

/// An attempt that was started on the connection and has not ended.
pub(super) struct PendingAttempt {
    pub(super) attempt: AttemptNo,
    pub(super) client_connection: u64,
    pub(super) progress: TransmitProgress,
    pub(super) sent_at: Micros,
    /// When the end of the attempt is reported; set once the attempt is cancelled.
    pub(super) cancel_settles_at: Option<Micros>,
}

impl PendingAttempt {
    pub(super) fn new(now: Micros, request: &AttemptRequest) -> PendingAttempt {
        PendingAttempt {
            attempt: request.attempt,
            client_connection: request.client_connection,
            progress: TransmitProgress::Unsent,
            sent_at: now,
            cancel_settles_at: None,
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancel_settles_at.is_some()
    }

    pub(super) fn is_unsent(&self) -> bool {
        self.progress == TransmitProgress::Unsent
    }
}

/// The attempt whose first byte is the next one to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartingAttempt {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The connection of the client that sent the request.
    pub client_connection: u64,
}

/// An event on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A probe ended.
    ProbeCompleted {
        /// Its outcome.
        kind: OutcomeKind,
        /// The time from sending the probe to its end.
        latency: Micros,
        /// The load that the engine reported; empty if the probe got no response.
        load: LoadReport,
    },
}

impl ConnectionEvent {
    /// The end of a probe that was not sent.
    pub fn unsent_probe() -> ConnectionEvent {
        ConnectionEvent::ProbeCompleted {
            kind: OutcomeKind::NeverSent,
            latency: 0,
            load: LoadReport::default(),
        }
    }
}
