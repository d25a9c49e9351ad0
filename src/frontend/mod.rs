//! Frontends: the protocols that clients and operators speak, as parsers and formatters without
//! sockets. The sockets are in `src/net`.
pub mod admin;
pub mod clickhouse;
mod input_buffer;
pub mod jsonrpc;

use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{ClientRequest, Response};
use crate::hot_restart::message::TransferredConnection;
use crate::policy::api::ClassId;

/// What a frontend derived from the bytes of its client.
pub enum FrontendEvent {
    /// A new request.
    Request(ClientRequest),
    /// The client cancelled a request of its own.
    RequestCancelled {
        /// The frontend's identifier of the request on this connection.
        tag: u64,
    },
    /// The client cancelled a request that the predecessor process still has in flight: it sent the
    /// request before a hot restart transferred the connection.
    TransferredRequestCancelled {
        /// The identifier of the request on this connection.
        tag: u64,
    },
    /// The frontend rejected a request itself, without the dispatcher. Reported so that the class's
    /// metrics include it.
    RequestRejected {
        /// The class of the request.
        class: ClassId,
        /// The response that the client received, as the metrics classify it.
        response: Response,
    },
}

impl FrontendEvent {
    /// Whether it is a new request.
    pub fn is_request(&self) -> bool {
        matches!(self, FrontendEvent::Request(_))
    }
}

/// Why the connection stops reading from a client in the middle of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The message was not complete within its time limit.
    MessageTimeout,
    /// The incomplete messages of all clients together exceed their memory limit.
    OutOfMemory,
}

/// The protocol of one client connection, without its socket.
///
/// The methods append protocol events to `events` and bytes for the client to `output`; the
/// connection's actor forwards the former to the dispatcher and writes the latter to the socket.
pub trait Frontend {
    /// Parses bytes that the client sent.
    ///
    /// # Errors
    /// The client exceeded a limit of the connection, which is to be closed for that reason.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> Result<(), Termination>;

    /// Searches bytes that were received but whose parsing is deferred, from offset `_from` on, for
    /// cancellations of open requests: a cancellation takes effect at once, also when the client's
    /// requests are parsed at a reduced rate. Returns the offset up to which it searched.
    fn scan_deferred_input(
        &mut self,
        deferred: &[u8],
        _from: usize,
        _events: &mut Vec<FrontendEvent>,
    ) -> usize {
        deferred.len()
    }

    /// Formats the final response to the request `tag`, and parses the input that was queued behind
    /// that request. Does nothing if the request is not open any more.
    fn write_response(
        &mut self,
        now: Micros,
        tag: u64,
        response: Response,
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    );

    /// The number of requests on this connection that have no response yet.
    fn open_requests(&self) -> usize;

    /// When the first byte of the message arrived that is still incomplete, if there is one.
    fn message_started_at(&self) -> Option<Micros>;

    /// Bytes buffered here: of an incomplete message, and queued behind an open request.
    fn buffered_bytes(&self) -> usize;

    /// Discards the incomplete message with an error to the client and parses nothing more. Open
    /// requests still get their responses; after the last one the connection is to be closed.
    fn stop_reading(&mut self, reason: DisconnectReason, output: &mut Vec<u8>);

    /// Whether the client has sent at least one valid message.
    fn has_valid_message(&self) -> bool;

    /// The number of messages that were parsed so far, valid or not.
    fn parsed_messages(&self) -> u64;

    /// Whether nothing is parsed before the response to an open request.
    fn awaits_response(&self) -> bool {
        false
    }

    /// The protocol state with which the successor process can continue this connection; `None` if
    /// the connection cannot be transferred now.
    fn transfer_state(&self) -> Option<TransferredConnection> {
        None
    }

    /// Removes a request that the client cancelled at the process that now reads from it.
    fn forget_cancelled(&mut self, _tag: u64) {}

    /// Whether the connection is to be closed once all output is written.
    fn closes_after_output(&self) -> bool;
}
