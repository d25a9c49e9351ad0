//! The line protocol between two processes of one manager during a hot restart. No I/O.
//!
//! The successor begins with `yokelift-handover 1 NAME`. The predecessor responds with
//! `take ADDRESS ...`, with the descriptors of the listeners in that order as ancillary data of the
//! line's first byte, with `drained` if operators are draining it, and with the first
//! `leave SHARE`. The successor sends `ready` once it serves. `leave SHARE` gives the fraction of
//! the manager's capacity that the successor has to reserve for its predecessors; the predecessor
//! sends it again whenever the fraction changes. Each process treats the end of the connection as
//! the end of the other process.
//!
//! During its shutdown the predecessor transfers its client connections. Each is sent as
//! `client CONN TAGS INPUT UNWRITTEN` with its descriptor: the tags of the requests that are open
//! at the predecessor, the number of bytes that were read of an incomplete message, and the number
//! of response bytes still to be written; the bytes follow the line. Responses to requests that
//! were open are sent later as `answer CONN TAG LENGTH` and the bytes. The successor reports a
//! cancelled request as `withdraw CONN TAG` and a client that disconnected as `gone CONN`.
//!
//! Each process sends the ids of the requests that it has admitted, all known ones first, as
//! `answer 0 ID 0`, so that no request runs in both. The successor announces this exchange with the
//! id 0; without the announcement the predecessor sends none. Connections are numbered from 1, so a
//! predecessor of an earlier version reads an id as a response to an unknown connection, and ignores
//! it.
//!
//! Each process sends what it has learned of the engines: the complete endpoint list first, and then
//! every event of the coordinator that it applies, as `answer 0 NUMBERING LENGTH` and the
//! coordinator's frame. The predecessor sends the list after the first `leave`; the successor sends
//! its own once it has received one. A process of an earlier version reads these messages as
//! responses to an unknown connection as well.
//!
//! A process that is asked to stop sends `drained` to the other one. Of two processes that are both
//! asked, the one asked last closes the listeners. Processes of earlier versions ignore `drained`
//! at this time.
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// The maximum number of buffered bytes without a line break; the reader fails if there are more.
pub const MAX_LINE_BYTES: usize = 2_048;
/// The maximum of each length in a line, in bytes (4 MiB). The lengths are those of the data that
/// follows the line.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// The first line up to the name: the protocol and its version.
const HELLO: &str = "yokelift-handover 1";
/// The id with which the successor announces that it exchanges request ids.
pub const EXCHANGE_ANNOUNCEMENT: u64 = 0;
/// No connection has this number.
const NO_CONNECTION: u64 = 0;
/// Represents an empty list of tags.
const NO_TAGS: &str = "-";

/// A message of either process.
#[derive(Clone, Debug, PartialEq)]
pub enum HotRestartMessage {
    /// The successor's first message.
    Hello {
        /// The manager's name, which has to equal the predecessor's.
        name: String,
    },
    /// The predecessor transfers its listeners, with their descriptors as ancillary data.
    Listeners {
        /// The listeners' addresses, in the order of the descriptors.
        addresses: Vec<SocketAddr>,
    },
    /// Before the first [`HotRestartMessage::ReservedShare`]: operators are draining the
    /// predecessor. Later, from either process: the sender was asked to stop.
    Draining,
    /// The successor has started to serve.
    Ready,
    /// The share that the successor has to reserve for its predecessors.
    ReservedShare {
        /// The fraction of the manager's limits and quotas, from 0 to 1.
        share: f64,
    },
    /// The predecessor transfers a client connection, with its descriptor as ancillary data.
    Connection {
        /// The connection's number at the predecessor.
        conn: u64,
        /// The state with which the successor continues it.
        state: TransferredConnection,
    },
    /// The predecessor's response to a request that was open when its connection was transferred.
    Response {
        /// The connection's number at the predecessor.
        conn: u64,
        /// The request's tag on that connection.
        tag: u64,
        /// The encoded response.
        bytes: Vec<u8>,
    },
    /// From either process: it has admitted a request with this id, or the other process of a further
    /// hot restart has.
    RequestAdmitted {
        /// The client's id of the request, as a number, or [`EXCHANGE_ANNOUNCEMENT`].
        id: u64,
    },
    /// From either process: an event of the coordinator that it has applied, or the complete
    /// endpoint list as one event.
    EndpointList {
        /// The sequence to which the event's number belongs.
        numbering: u64,
        /// The event as a frame of the coordinator's watch; never empty.
        frame: Vec<u8>,
    },
    /// The client cancelled a request that is open at the predecessor.
    Cancel {
        /// The connection's number at the predecessor.
        conn: u64,
        /// The request's tag on that connection.
        tag: u64,
    },
    /// The client disconnected.
    ClientDisconnected {
        /// The connection's number at the predecessor.
        conn: u64,
    },
}

/// The state of a client connection that is transferred with its descriptor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferredConnection {
    /// The tags of requests that are still open at the predecessor.
    pub open_requests: Vec<u64>,
    /// The bytes that were read of an incomplete message.
    pub input: Vec<u8>,
    /// Response bytes still to be written, before those of any other response.
    pub unwritten: Vec<u8>,
}

impl HotRestartMessage {
    /// The bytes that are sent: the message's line and the data that follows it.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoded = self.header_line().into_bytes();
        match self {
            HotRestartMessage::Connection { state, .. } => {
                encoded.extend_from_slice(&state.input);
                encoded.extend_from_slice(&state.unwritten);
            }
            HotRestartMessage::Response { bytes, .. } => encoded.extend_from_slice(bytes),
            HotRestartMessage::EndpointList { frame, .. } => encoded.extend_from_slice(frame),
            _ => {}
        }
        encoded
    }

    /// The message's line, with its line break.
    fn header_line(&self) -> String {
        match self {
            HotRestartMessage::Hello { name } => format!("{HELLO} {name}\n"),
            HotRestartMessage::Listeners { addresses } => {
                format!("take {}\n", joined(addresses, " "))
            }
            HotRestartMessage::Draining => "drained\n".to_owned(),
            HotRestartMessage::Ready => "ready\n".to_owned(),
            HotRestartMessage::ReservedShare { share } => format!("leave {share:.3}\n"),
            HotRestartMessage::Connection { conn, state } => {
                let tags = if state.open_requests.is_empty() {
                    NO_TAGS.to_owned()
                } else {
                    joined(&state.open_requests, ",")
                };
                let input_length = state.input.len();
                let unwritten_length = state.unwritten.len();
                format!("client {conn} {tags} {input_length} {unwritten_length}\n")
            }
            HotRestartMessage::Response { conn, tag, bytes } => {
                format!("answer {conn} {tag} {}\n", bytes.len())
            }
            HotRestartMessage::RequestAdmitted { id } => {
                format!("answer {NO_CONNECTION} {id} 0\n")
            }
            HotRestartMessage::EndpointList { numbering, frame } => {
                format!("answer {NO_CONNECTION} {numbering} {}\n", frame.len())
            }
            HotRestartMessage::Cancel { conn, tag } => format!("withdraw {conn} {tag}\n"),
            HotRestartMessage::ClientDisconnected { conn } => format!("gone {conn}\n"),
        }
    }
}

fn joined<T: ToString>(items: &[T], separator: &str) -> String {
    let texts: Vec<String> = items.iter().map(T::to_string).collect();
    texts.join(separator)
}

/// Why received bytes are not a message of this protocol version. The connection can't be used
/// after that, because the start of the next message is unknown.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// There is no line break within [`MAX_LINE_BYTES`].
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line is not UTF-8.
    #[error("line is not valid UTF-8")]
    NotUtf8,
    /// The line is not that of a message of this version.
    #[error("unknown message {line:?}")]
    UnknownMessage {
        /// The line without its line break.
        line: String,
    },
}

/// The parsed line of a message. Its data has not been read yet.
#[derive(Clone, Debug, PartialEq)]
enum Header {
    /// A message without data after its line.
    Complete(HotRestartMessage),
    /// A [`HotRestartMessage::Connection`].
    Connection {
        conn: u64,
        open_requests: Vec<u64>,
        input_length: usize,
        unwritten_length: usize,
    },
    /// A [`HotRestartMessage::Response`].
    Response { conn: u64, tag: u64, length: usize },
    /// A [`HotRestartMessage::EndpointList`].
    EndpointList { numbering: u64, length: usize },
}

impl Header {
    /// The number of bytes that follow the line.
    fn body_length(&self) -> usize {
        match self {
            Header::Complete(_) => 0,
            Header::Connection {
                input_length,
                unwritten_length,
                ..
            } => input_length + unwritten_length,
            Header::Response { length, .. } | Header::EndpointList { length, .. } => *length,
        }
    }

    /// The complete message; `body` has exactly [`Header::body_length`] bytes.
    fn with_body(self, body: &[u8]) -> HotRestartMessage {
        match self {
            Header::Complete(message) => message,
            Header::Connection {
                conn,
                open_requests,
                input_length,
                ..
            } => {
                let (input, unwritten) = body.split_at(input_length);
                HotRestartMessage::Connection {
                    conn,
                    state: TransferredConnection {
                        open_requests,
                        input: input.to_vec(),
                        unwritten: unwritten.to_vec(),
                    },
                }
            }
            Header::Response { conn, tag, .. } => HotRestartMessage::Response {
                conn,
                tag,
                bytes: body.to_vec(),
            },
            Header::EndpointList { numbering, .. } => HotRestartMessage::EndpointList {
                numbering,
                frame: body.to_vec(),
            },
        }
    }

    /// Parses a line without its line break; `None` if it is not a message of this version.
    fn parse(line: &str) -> Option<Header> {
        if let Some(hello) = line.strip_prefix(HELLO) {
            return parse_hello(hello);
        }
        let (keyword, arguments) = line.split_once(' ').unwrap_or((line, ""));
        let fields: Vec<&str> = arguments.split(' ').collect();
        match (keyword, fields.as_slice()) {
            ("take", addresses) => parse_listeners(addresses),
            ("drained", [""]) => Some(Header::Complete(HotRestartMessage::Draining)),
            ("ready", [""]) => Some(Header::Complete(HotRestartMessage::Ready)),
            ("leave", [share]) => parse_reserved_share(share),
            ("client", [conn, tags, input_length, unwritten_length]) => Some(Header::Connection {
                conn: conn.parse().ok()?,
                open_requests: parse_tags(tags)?,
                input_length: parse_length(input_length)?,
                unwritten_length: parse_length(unwritten_length)?,
            }),
            ("answer", ["0", id, "0"]) => {
                Some(Header::Complete(HotRestartMessage::RequestAdmitted {
                    id: id.parse().ok()?,
                }))
            }
            ("answer", ["0", numbering, length]) => Some(Header::EndpointList {
                numbering: numbering.parse().ok()?,
                length: parse_length(length)?,
            }),
            ("answer", [conn, tag, length]) => Some(Header::Response {
                conn: conn.parse().ok()?,
                tag: tag.parse().ok()?,
                length: parse_length(length)?,
            }),
            ("withdraw", [conn, tag]) => Some(Header::Complete(HotRestartMessage::Cancel {
                conn: conn.parse().ok()?,
                tag: tag.parse().ok()?,
            })),
            ("gone", [conn]) => Some(Header::Complete(HotRestartMessage::ClientDisconnected {
                conn: conn.parse().ok()?,
            })),
            _ => None,
        }
    }
}

impl FromStr for Header {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<Header, MessageError> {
        Header::parse(line).ok_or_else(|| MessageError::UnknownMessage {
            line: line.to_owned(),
        })
    }
}

/// Parses the part of the first line after the version.
fn parse_hello(rest: &str) -> Option<Header> {
    let name = rest.strip_prefix(' ').filter(|name| !name.is_empty())?;
    Some(Header::Complete(HotRestartMessage::Hello {
        name: name.to_owned(),
    }))
}

fn parse_listeners(addresses: &[&str]) -> Option<Header> {
    let addresses = addresses
        .iter()
        .map(|address| address.parse().ok())
        .collect::<Option<Vec<SocketAddr>>>()?;
    Some(Header::Complete(HotRestartMessage::Listeners { addresses }))
}

fn parse_reserved_share(share: &str) -> Option<Header> {
    let share = share.parse().ok()?;
    (0.0..=1.0)
        .contains(&share)
        .then_some(Header::Complete(HotRestartMessage::ReservedShare { share }))
}

fn parse_tags(tags: &str) -> Option<Vec<u64>> {
    if tags == NO_TAGS {
        return Some(Vec::new());
    }
    tags.split(',').map(|tag| tag.parse().ok()).collect()
}

fn parse_length(length: &str) -> Option<usize> {
    let length: u64 = length.parse().ok()?;
    (length <= MAX_BODY_BYTES).then_some(length as usize)
}

/// Assembles messages from received bytes, however these are split.
#[derive(Default)]
pub struct MessageReader {
    /// Received bytes that are not yet part of a message.
    unparsed: Vec<u8>,
    /// The line of the message whose data is still incomplete.
    header: Option<Header>,
}

impl MessageReader {
    /// Adds received bytes, and returns the messages that they complete.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are not a message of this protocol version. The reader must not be used
    /// after that.
    pub fn feed(&mut self, received: &[u8]) -> Result<Vec<HotRestartMessage>, MessageError> {
        self.unparsed.extend_from_slice(received);
        let mut messages = Vec::new();
        loop {
            if let Some(header) = self.header.take() {
                let body_length = header.body_length();
                if self.unparsed.len() < body_length {
                    self.header = Some(header);
                    return Ok(messages);
                }
                messages.push(header.with_body(&self.unparsed[..body_length]));
                self.unparsed.drain(..body_length);
            }
            match self.take_line()? {
                Some(line) => self.header = Some(line.parse()?),
                None => return Ok(messages),
            }
        }
    }

    /// Removes the next line and returns it without its line break; `None` if it is incomplete.
    fn take_line(&mut self) -> Result<Option<String>, MessageError> {
        let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') else {
            return if self.unparsed.len() > MAX_LINE_BYTES {
                Err(MessageError::LineTooLong)
            } else {
                Ok(None)
            };
        };
        let line = std::str::from_utf8(&self.unparsed[..end])
            .map_err(|_| MessageError::NotUtf8)?
            .to_owned();
        self.unparsed.drain(..=end);
        Ok(Some(line))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hot_restart_message.rs"]
mod tests;
