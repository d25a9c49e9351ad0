//! The fronts: parsers and mapping between a client's protocol and the core. The sockets are in `src/net`.
pub mod clickhouse;
pub mod jsonrpc;

use crate::clock::Micros;
use crate::manager::ends::End;
use crate::manager::{Answer, Ask};

/// What a front made of a client's bytes.
pub enum Said {
    /// A request.
    Ask(Ask),
    /// The client stopped waiting for the request with that mark.
    Withdraw(u64),
}

/// One client connection's protocol, without its socket.
pub trait Front {
    /// Reads what came. `replies` takes what can be answered at once.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<Said>,
        replies: &mut Vec<u8>,
    ) -> Result<(), End>;
    /// Words the final answer to the request with that mark, and reads on in what waited behind it.
    fn answer(&mut self, now: Micros, tag: u64, answer: Answer, said: &mut Vec<Said>, replies: &mut Vec<u8>);
    /// Requests on it that wait for their answer.
    fn open(&self) -> usize;
    /// Whether the connection is to be closed once all is written.
    fn last(&self) -> bool;
}
