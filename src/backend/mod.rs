//! Wires to engines: parsers and mapping only. The sockets are in `src/net`.
pub mod clickhouse;
pub mod connection_state;
pub mod platform;

use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};

/// What a wire made of the bytes of an engine.
#[derive(Debug)]
pub enum BackendEvent {
    /// An attempt ended; with [`Termination::Done`] come all its rows.
    Ended(RequestId, Termination, Vec<u8>, LoadReport, Cost),
    /// The probe with that number came back.
    Probed(u64, OutcomeKind, LoadReport),
}

/// One connection's protocol, without its socket.
pub trait Protocol {
    /// Attempts that the connection carries together.
    fn streams(&self) -> usize;
    /// The bytes that start an attempt.
    fn start(&mut self, now: Micros, job: &AttemptRequest) -> Vec<u8>;
    /// The bytes that give up an attempt that went out; `None` if only closing the connection does.
    fn stop(&mut self, id: RequestId) -> Option<Vec<u8>>;
    /// The bytes that give an attempt that went out a new priority; none if the protocol has no
    /// word for it.
    fn bump(&mut self, _id: RequestId, _urgency: u8) -> Vec<u8> {
        Vec::new()
    }
    /// The bytes of the probe with that number.
    fn probe(&mut self, number: u64) -> Vec<u8>;
    /// Reads what came. `replies` takes what the protocol has to say at once.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<BackendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination>;
    /// By when the rest of what has begun to come must be there.
    fn next_due(&self) -> Option<Micros>;
    /// Ends what is overdue by now: an answer, or the whole connection.
    fn due(
        &mut self,
        now: Micros,
        said: &mut Vec<BackendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination>;
    /// The engine closed its side: an answer may end by that.
    fn finish(&mut self, said: &mut Vec<BackendEvent>);
    /// Whether the connection may carry a further attempt after those on it.
    fn reusable(&self) -> bool;
}
