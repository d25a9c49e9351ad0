//! The engine side of the proxy, without its sockets: one [`Protocol`] per kind of engine, and the
//! state machine of a connection, which uses it. The sockets are in [`crate::net::engine`].
pub mod clickhouse;
pub mod connection_state;
pub mod platform;

use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};
use std::fmt;

/// Identifies a probe among those sent on one connection. A probe is a load probe, or a health
/// check if the protocol or the settings have no load fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

impl ProbeId {
    /// The first identifier on a connection.
    pub const FIRST: ProbeId = ProbeId(1);

    /// The identifier of the next probe.
    #[must_use]
    pub fn next(self) -> ProbeId {
        ProbeId(self.0 + 1)
    }
}

impl fmt::Display for ProbeId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The end of an attempt, with what the engine's response holds.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The request whose attempt ended.
    pub id: RequestId,
    /// How it ended.
    pub termination: Termination,
    /// All rows of the result if it ended with [`Termination::Done`]; empty otherwise.
    pub rows: Vec<u8>,
    /// The load that the engine reported with its response.
    pub load: LoadReport,
    /// The cost of the query that the engine reported with its response.
    pub cost: Cost,
}

impl AttemptEnd {
    /// Creates the end of an attempt without rows, load report and cost.
    pub fn without_result(id: RequestId, termination: Termination) -> AttemptEnd {
        AttemptEnd {
            id,
            termination,
            rows: Vec::new(),
            load: LoadReport::default(),
            cost: Cost::default(),
        }
    }
}

/// An event that a protocol decoded from the bytes that an engine sent.
#[derive(Debug)]
pub enum BackendEvent {
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The response to a probe arrived.
    ProbeCompleted {
        /// The probe.
        probe: ProbeId,
        /// Its outcome.
        kind: OutcomeKind,
        /// The load that the engine reported in its response; empty for a health check.
        load: LoadReport,
    },
}

/// What a protocol produces while it decodes input.
#[derive(Debug, Default)]
pub struct ProtocolOutput {
    /// Events in the order in which they were decoded.
    pub events: Vec<BackendEvent>,
    /// Bytes to send to the engine in reply.
    pub replies: Vec<u8>,
}

/// Why a connection can't be used any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The engine sent bytes that its protocol does not allow.
    #[error("the engine violated its protocol")]
    Violation,
    /// A message or response was received in part and not completed in time.
    #[error("the engine did not complete a message in time")]
    Timeout,
    /// A response exceeds the size limit, and only closing the connection stops it.
    #[error("the engine's response is too large")]
    ResponseTooLarge,
}

impl From<ProtocolError> for Termination {
    fn from(error: ProtocolError) -> Termination {
        match error {
            ProtocolError::Violation => Termination::ProtocolViolation,
            ProtocolError::Timeout => Termination::Unresponsive,
            ProtocolError::ResponseTooLarge => Termination::Dropped,
        }
    }
}

/// Encodes and decodes the protocol of one connection to an engine.
pub trait Protocol {
    /// The number of attempts that the connection can carry at the same time.
    fn max_streams(&self) -> usize;

    /// Whether a response is outstanding that can be matched with its request only by its position
    /// on the connection. Until it has arrived completely, neither an attempt nor a probe may be
    /// sent: it would receive this response. Always `false` if responses carry identifiers.
    fn awaits_unidentified_response(&self) -> bool {
        false
    }

    /// Encodes the command that starts an attempt. Never empty.
    fn start_attempt(&mut self, now: Micros, request: &AttemptRequest) -> Vec<u8>;

    /// Encodes the command that cancels the attempt of a request, or `None` if only closing the
    /// connection cancels it.
    fn cancel_attempt(&mut self, id: RequestId) -> Option<Vec<u8>>;

    /// Encodes the command that changes the priority of a running attempt. Empty if the protocol
    /// has no such command, or the attempt is no longer running.
    fn set_priority(&mut self, _id: RequestId, _priority: u8) -> Vec<u8> {
        Vec::new()
    }

    /// Encodes a probe: a load probe, or a health check if there are no load fields.
    fn send_probe(&mut self, probe: ProbeId) -> Vec<u8>;

    /// Decodes bytes that were received.
    ///
    /// # Errors
    ///
    /// The connection must be closed. Events decoded before the error are in `output` and valid.
    fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError>;

    /// When [`Protocol::on_timeout`] has to be called; `None` if nothing can time out.
    fn next_timeout(&self) -> Option<Micros>;

    /// Ends the responses that have timed out at `now`.
    ///
    /// # Errors
    ///
    /// The connection as a whole has timed out and must be closed.
    fn on_timeout(&mut self, now: Micros, output: &mut ProtocolOutput)
    -> Result<(), ProtocolError>;

    /// Processes the end of the stream: the engine closed its side of the connection, which may
    /// complete a response.
    fn on_end_of_input(&mut self, output: &mut ProtocolOutput);

    /// Whether the connection may carry more attempts after those in flight.
    fn is_reusable(&self) -> bool;
}
