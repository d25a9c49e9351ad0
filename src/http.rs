//! The part of HTTP/1.1 (RFC 9112) that the frontends, the ClickHouse backend and the test kit use:
//! parsing of heads, framing of bodies, and percent-encoding of URLs. Works on bytes in memory,
//! without I/O.

/// Maximum length of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Maximum number of fields in a head.
const MAX_FIELDS: usize = 100;

/// Maximum length of a line of chunked framing, in bytes. The line before a chunk holds the chunk's
/// size and optional extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// What an allocator adds to a short text, at most, in bytes.
const ALLOCATION_BYTES: usize = 24;

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why an HTTP message cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The message violates the grammar of HTTP/1.x.
    #[error("malformed HTTP message")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`].
    #[error("the head of the HTTP message is too long")]
    HeadTooLong,
    /// The body exceeds the caller's limit.
    #[error("the body of the HTTP message is too long")]
    BodyTooLong,
    /// The message uses a transfer coding other than `chunked`.
    #[error("the HTTP message uses an unsupported transfer coding")]
    UnsupportedTransferCoding,
}

/// The head of a request or of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the start line: method, target and version of a request; version, status
    /// and reason of a response.
    pub start_line: [String; 3],
    /// Names, in lower case, and values of the header fields, in the order received.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field with this name, which has to be in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.values_of(name).next()
    }

    fn values_of<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.fields
            .iter()
            .filter(move |(field_name, _)| field_name == name)
            .map(|(_, value)| value.as_str())
    }

    /// The memory that the head occupies on the heap, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let start_line: usize = self.start_line.iter().map(String::capacity).sum();
        let texts = self.fields.iter();
        let texts: usize = texts
            .map(|(name, value)| name.capacity() + value.capacity() + 2 * ALLOCATION_BYTES)
            .sum();
        start_line + texts + self.fields.capacity() * size_of::<(String, String)>()
    }

    /// Whether the comma-separated list in the fields with this name contains an element. The case
    /// of the element is ignored.
    pub fn list_contains(&self, name: &str, expected: &str) -> bool {
        self.values_of(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(expected))
    }

    /// Whether the connection stays open after this message, given the message's HTTP version.
    pub fn keeps_alive(&self, version: &str) -> bool {
        match version {
            "HTTP/1.1" => !self.list_contains("connection", "close"),
            _ => self.list_contains("connection", "keep-alive"),
        }
    }

    /// The framing of the body that follows the head; `default` if the head does not state one.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if the length is not a number, or if the framing is ambiguous:
    /// another recipient could frame a message with both a length and a transfer coding, or with
    /// two lengths, differently (request smuggling). [`ParseError::UnsupportedTransferCoding`] for
    /// any transfer coding but `chunked`.
    pub fn body_framing(&self, default: Body) -> Result<Body, ParseError> {
        let lengths: Vec<&str> = self.values_of("content-length").collect();
        match (self.field("transfer-encoding"), &lengths[..]) {
            (Some(_), [_, ..]) | (_, [_, _, ..]) => Err(ParseError::Malformed),
            (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Body::Chunked(ChunkState::SizeLine))
            }
            (Some(_), []) => Err(ParseError::UnsupportedTransferCoding),
            (None, []) => Ok(default),
            (None, [length]) => content_length(length).map(Body::Length),
        }
    }
}

/// Parses a `Content-Length`. Only digits are allowed; `str::parse` would also accept a sign.
fn content_length(text: &str) -> Result<u64, ParseError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    text.parse().map_err(|_| ParseError::Malformed)
}

/// Whether a token, such as a field's name, may contain this byte.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Parses the head at the start of the input. Returns the head with its length in bytes, or `None`
/// if the input holds only a part of it.
///
/// # Errors
///
/// [`ParseError::HeadTooLong`] or [`ParseError::Malformed`].
pub fn parse_head(input: &[u8]) -> Result<Option<(Head, usize)>, ParseError> {
    let searched = &input[..input.len().min(MAX_HEAD_BYTES)];
    let end = searched
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(end) = end else {
        return if input.len() >= MAX_HEAD_BYTES {
            Err(ParseError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| ParseError::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or_default().to_owned();
    let mut head = Head {
        start_line: [next_part(), next_part(), next_part()],
        fields: Vec::new(),
    };
    for line in lines {
        if head.fields.len() >= MAX_FIELDS {
            return Err(ParseError::Malformed);
        }
        head.fields.push(parse_field(line)?);
    }
    Ok(Some((head, end + HEAD_END.len())))
}

/// Parses a header field into its name, in lower case, and its value.
fn parse_field(line: &str) -> Result<(String, String), ParseError> {
    let (name, value) = line.split_once(':').ok_or(ParseError::Malformed)?;
    if name.is_empty() || !name.bytes().all(is_token_byte) {
        return Err(ParseError::Malformed);
    }
    Ok((name.to_ascii_lowercase(), value.trim().to_owned()))
}

/// The next element of a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// The line that states a chunk's size.
    SizeLine,
    /// The chunk's data, of which this number of bytes is still to be read.
    Data(u64),
    /// The line break after a chunk's data.
    DataEnd,
    /// The trailer fields after the last chunk.
    Trailer,
}

impl ChunkState {
    /// The state after a line of framing; `None` if that line ended the body.
    fn after_line(self, line: &[u8]) -> Result<Option<ChunkState>, ParseError> {
        match self {
            ChunkState::SizeLine => match chunk_size(line).ok_or(ParseError::Malformed)? {
                0 => Ok(Some(ChunkState::Trailer)),
                size => Ok(Some(ChunkState::Data(size))),
            },
            ChunkState::DataEnd if line.is_empty() => Ok(Some(ChunkState::SizeLine)),
            ChunkState::Trailer if line.is_empty() => Ok(None),
            ChunkState::Trailer => Ok(Some(ChunkState::Trailer)),
            ChunkState::DataEnd | ChunkState::Data(_) => Err(ParseError::Malformed),
        }
    }
}

/// The framing of a body, and how much of the body is still to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// This number of bytes is left.
    Length(u64),
    /// The chunked transfer coding.
    Chunked(ChunkState),
    /// All bytes until the connection is closed.
    UntilClose,
}

impl Body {
    /// Reads the next part of the body from `input`, and appends its data to `body`. Returns the
    /// number of bytes consumed from the input, and whether the body is complete.
    ///
    /// # Errors
    ///
    /// [`ParseError::BodyTooLong`] if `body` would exceed `max_bytes`; [`ParseError::Malformed`] if
    /// the chunked framing is invalid.
    pub fn read(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<(usize, bool), ParseError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            if let Body::Chunked(
                state @ (ChunkState::SizeLine | ChunkState::DataEnd | ChunkState::Trailer),
            ) = self
            {
                let Some((line, length)) = framing_line(rest)? else {
                    return Ok((used, false));
                };
                used += length;
                match state.after_line(line)? {
                    Some(next) => *state = next,
                    None => return Ok((used, true)),
                }
                continue;
            }
            if *self == Body::Length(0) {
                return Ok((used, true));
            }
            let take = self.available_data(rest.len());
            if body.len() + take > max_bytes {
                return Err(ParseError::BodyTooLong);
            }
            body.extend_from_slice(&rest[..take]);
            used += take;
            self.consume_data(take as u64);
            if take == rest.len() && *self != Body::Length(0) {
                return Ok((used, false));
            }
        }
    }

    /// How many of the next `input_length` bytes belong to the body's data.
    fn available_data(&self, input_length: usize) -> usize {
        match self {
            Body::Length(left) | Body::Chunked(ChunkState::Data(left)) => {
                input_length.min(usize::try_from(*left).unwrap_or(usize::MAX))
            }
            Body::UntilClose => input_length,
            Body::Chunked(ChunkState::SizeLine | ChunkState::DataEnd | ChunkState::Trailer) => 0,
        }
    }

    fn consume_data(&mut self, count: u64) {
        match self {
            Body::Length(left) => *left -= count,
            Body::Chunked(state) => {
                if let ChunkState::Data(left) = *state {
                    *state = match left - count {
                        0 => ChunkState::DataEnd,
                        remaining => ChunkState::Data(remaining),
                    };
                }
            }
            Body::UntilClose => {}
        }
    }
}

/// The next line of a chunked body's framing without its line break, and the line's length with its
/// line break. `None` if the line is incomplete.
fn framing_line(input: &[u8]) -> Result<Option<(&[u8], usize)>, ParseError> {
    let end = input
        .iter()
        .take(MAX_CHUNK_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(end) = end else {
        return if input.len() >= MAX_CHUNK_LINE_BYTES {
            Err(ParseError::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = &input[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Ok(Some((line, end + 1)))
}

/// Parses the chunk size from the line before a chunk, and ignores extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let hex = text.split(';').next()?.trim();
    // `from_str_radix` would also accept a sign.
    if !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(hex, 16).ok()
}

/// Decodes a percent-encoded name or value from the query of a URL, in which a plus sign stands for
/// a space. `None` if the text is malformed or the result is not UTF-8.
pub fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'+' => b' ',
            b'%' => {
                let high = hex_digit(bytes.next()?)?;
                let low = hex_digit(bytes.next()?)?;
                high * 16 + low
            }
            other => other,
        });
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}

/// Percent-encodes a value for the query of a URL.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}

/// Splits a request target into its path and its decoded parameters. `None` if a parameter is
/// malformed.
pub fn parse_target(target: &str) -> Option<(&str, Vec<(String, String)>)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut parameters = Vec::new();
    for parameter in query.split('&').filter(|text| !text.is_empty()) {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        parameters.push((percent_decode(name)?, percent_decode(value)?));
    }
    Some((path, parameters))
}

#[cfg(test)]
#[path = "../tests/unit/http.rs"]
mod tests;
