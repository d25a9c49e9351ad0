//! Frontends: the protocols of clients and of the admin endpoint, as parsers and formatters without
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

/// An event that a frontend derives from its client's input.
pub enum FrontendEvent {
    /// A new request.
    Request(ClientRequest),
    /// The client cancelled one of its requests.
    RequestCancelled {
        /// The identifier of the request on this connection.
        tag: u64,
    },
    /// The client cancelled a request that is still in flight in the predecessor process. The
    /// client sent the request before a hot restart transferred the connection.
    TransferredRequestCancelled {
        /// The identifier of the request on this connection.
        tag: u64,
    },
    /// The frontend itself rejected a request, and the dispatcher did not receive it. The event
    /// lets the class's metrics include the request.
    RequestRejected {
        /// The class of the request.
        class: ClassId,
        /// The client's response, as the metrics classify it.
        response: Response,
    },
}

impl FrontendEvent {
    /// Whether the event is a new request.
    pub fn is_request(&self) -> bool {
        matches!(self, FrontendEvent::Request(_))
    }
}

/// Why the connection stops reading from a client within a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The message was not complete within its time limit.
    MessageTimeout,
    /// The buffered input of all clients together exceeds its memory limit.
    OutOfMemory,
}

/// The protocol state of one client connection, without its socket.
///
/// The methods append protocol events to `events` and bytes for the client to `output`; the
/// connection's actor forwards the former to the dispatcher and writes the latter to the socket.
pub trait Frontend {
    /// Parses bytes that the client sent.
    ///
    /// # Errors
    /// The client exceeded a limit. The connection has to be closed with the returned termination.
    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        events: &mut Vec<FrontendEvent>,
        output: &mut Vec<u8>,
    ) -> Result<(), Termination>;

    /// Scans received bytes whose parsing is deferred, starting at offset `_from`, for
    /// cancellations of open requests, so that a cancellation takes effect at once even when the
    /// client's requests are parsed at a reduced rate. Returns the offset up to which it scanned.
    fn scan_deferred_input(
        &mut self,
        deferred: &[u8],
        _from: usize,
        _events: &mut Vec<FrontendEvent>,
    ) -> usize {
        deferred.len()
    }

    /// Formats the final response to the request `tag`, and parses the input that was queued after
    /// that request. Does nothing if the request is no longer open.
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

    /// When the first byte of the incomplete message arrived; `None` if no message is incomplete.
    fn message_started_at(&self) -> Option<Micros>;

    /// The number of bytes buffered in the frontend: those of an incomplete message, and those
    /// queued after an open request.
    fn buffered_bytes(&self) -> usize;

    /// The memory that the frontend holds for incomplete and queued messages, in bytes.
    fn held_memory_bytes(&self) -> usize {
        self.buffered_bytes()
    }

    /// Discards the incomplete message, reports an error to the client, and stops parsing. Open
    /// requests still get their responses; the connection has to be closed after the last one.
    fn stop_reading(&mut self, reason: DisconnectReason, output: &mut Vec<u8>);

    /// Whether the client has sent at least one valid message.
    fn has_valid_message(&self) -> bool;

    /// The number of messages parsed so far, valid or not.
    fn parsed_messages(&self) -> u64;

    /// Whether parsing is suspended until an open request has its response.
    fn awaits_response(&self) -> bool {
        false
    }

    /// The protocol state from which the successor process can resume this connection; `None` if
    /// the connection cannot be transferred at present.
    fn transfer_state(&self) -> Option<TransferredConnection> {
        None
    }

    /// Removes a request of a transferred connection that the client cancelled through the
    /// successor process, which now reads from the client.
    fn remove_cancelled(&mut self, _tag: u64) {}

    /// Whether the connection has to be closed once all output is written.
    fn closes_after_output(&self) -> bool;
}
