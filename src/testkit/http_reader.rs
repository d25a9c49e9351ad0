//! Reads complete HTTP messages from a stream of bytes.
use crate::http::{self, Body, Head, ParseError};
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

const READ_BUFFER_BYTES: usize = 8_192;
/// The maximum length of a body that [`read_http`] reads.
const MAX_BODY_BYTES: usize = 1 << 22;

/// The head and the body of a message.
pub type Message = (Head, Vec<u8>);

/// Parses the messages of a connection one after the other.
pub struct HttpReader {
    /// The framing of the body if the head has no field for it.
    default_body: Body,
    max_body_bytes: usize,
    /// The head of a message whose body is not complete, and the framing of the body.
    partial: Option<(Head, Body)>,
    body: Vec<u8>,
}

impl HttpReader {
    /// Creates a reader at the start of a message. `default_body` is the framing of the body if the
    /// head has no field for it.
    pub fn new(default_body: Body, max_body_bytes: usize) -> HttpReader {
        HttpReader {
            default_body,
            max_body_bytes,
            partial: None,
            body: Vec::new(),
        }
    }

    /// Takes the next message from the input, or returns `None` if it is not complete.
    ///
    /// # Errors
    /// The input is not a valid HTTP message, or its body is too long. The reader can't be used any
    /// more.
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

/// Reads one message, or returns `None` if the connection ends before it or the message is invalid.
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
