//! Reads whole HTTP messages from bytes that come in pieces.
use crate::http::{self, Body, Head, ParseError};
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

const READ_BUFFER_BYTES: usize = 8_192;
/// The longest body that [`read_http`] reads.
const MAX_BODY_BYTES: usize = 1 << 22;

/// A message with its body.
pub type Message = (Head, Vec<u8>);

/// Reads one message after the other.
pub struct HttpReader {
    /// The framing of a body that the head says nothing of.
    default_body: Body,
    max_body_bytes: usize,
    /// The message of which the head has been read.
    partial: Option<(Head, Body)>,
    body: Vec<u8>,
}

impl HttpReader {
    /// A reader at the start of a message. `default_body` is the framing of a body that the head says
    /// nothing of.
    pub fn new(default_body: Body, max_body_bytes: usize) -> HttpReader {
        HttpReader {
            default_body,
            max_body_bytes,
            partial: None,
            body: Vec::new(),
        }
    }

    /// Takes the next message from the input; `None` if it is not complete.
    ///
    /// # Errors
    /// The input is no HTTP message. Nothing more can be read.
    pub fn take(&mut self, input: &mut Vec<u8>) -> Result<Option<Message>, ParseError> {
        if self.partial.is_none()
            && let Some((head, used)) = http::parse_head(input)?
        {
            input.drain(..used);
            let framing = head.body_framing(self.default_body)?;
            self.partial = Some((head, framing));
        }
        let Some((_, framing)) = &mut self.partial else {
            return Ok(None);
        };
        let (used, is_complete) = framing.read(input, &mut self.body, self.max_body_bytes)?;
        input.drain(..used);
        if !is_complete {
            return Ok(None);
        }
        let body = std::mem::take(&mut self.body);
        Ok(self.partial.take().map(|(head, _)| (head, body)))
    }
}

/// Reads one message; `None` once the peer has closed.
pub async fn read_http(
    stream: &Async<TcpStream>,
    input: &mut Vec<u8>,
    default_body: Body,
) -> Option<Message> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut reader = HttpReader::new(default_body, MAX_BODY_BYTES);
    loop {
        if let Some(message) = reader.take(input).ok()? {
            return Some(message);
        }
        match (&*stream).read(&mut buffer).await {
            Ok(count) if count > 0 => input.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}
