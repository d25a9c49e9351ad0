//! The fronts: parsers and mapping between a client's protocol and the core. The sockets are in
//! `src/net`.
pub mod admin;
pub mod clickhouse;
pub mod jsonrpc;

use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{ClientRequest, Response};
use crate::hot_restart::message::TransferredConnection;
use crate::policy::api::ClassId;

/// What a front made of a client's bytes.
pub enum FrontendEvent {
    /// A request.
    Ask(ClientRequest),
    /// The client stopped waiting for the request with that mark.
    Withdraw(u64),
    /// The same for a request that another process has open.
    WithdrawElsewhere(u64),
    /// A request of that class was turned away here, with that answer.
    TurnedAway(ClassId, Response),
}

/// Why a client is cut off within a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The message takes too long.
    Late,
    /// All clients together have sent more than there is room for.
    Room,
}

/// One client connection's protocol, without its socket.
pub trait Front {
    /// Reads what came. `replies` takes what can be answered at once.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination>;
    /// Looks through bytes that are to be read later, from a place in them on, for withdrawals of
    /// what is open: those count at once. Tells how far it looked.
    fn skim(&mut self, waiting: &[u8], _from: usize, _said: &mut Vec<FrontendEvent>) -> usize {
        waiting.len()
    }
    /// Words the final answer to the request with that mark, and reads on in what waited behind it.
    fn answer(
        &mut self,
        now: Micros,
        tag: u64,
        answer: Response,
        said: &mut Vec<FrontendEvent>,
        replies: &mut Vec<u8>,
    );
    /// Requests on it that wait for their answer.
    fn open(&self) -> usize;
    /// Since when a message has begun and is not whole.
    fn began(&self) -> Option<Micros>;
    /// Bytes of it, and of what waits behind an open request.
    fn held(&self) -> usize;
    /// Says why nothing more is read; what is open is answered, and then the connection is to be
    /// closed.
    fn cut_off(&mut self, why: DisconnectReason, replies: &mut Vec<u8>);
    /// Whether the client has said anything that could be used.
    fn useful(&self) -> bool;
    /// Messages that cost and brought nothing: turned away here, or withdrawn.
    fn strikes(&self) -> u64;
    /// What another process needs to go on with this connection; nothing if none can.
    fn hand_over(&self) -> Option<TransferredConnection> {
        None
    }
    /// The client withdrew this request, as another process says that now reads from it.
    fn withdrawn(&mut self, _tag: u64) {}
    /// Whether the connection is to be closed once all is written.
    fn last(&self) -> bool;
}
