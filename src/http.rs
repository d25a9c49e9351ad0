//! HTTP/1.1 as the ClickHouse interface needs it on both sides (RFC 9112): heads, framing of bodies,
//! and percent-encoding of URLs. Pure: bytes in, values out.

/// Greatest length of a head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Greatest number of fields of a head.
const MAX_FIELDS: usize = 100;

/// Greatest length of the line before a chunk, which holds its size and perhaps extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It violates the grammar of HTTP/1.x.
    #[error("malformed HTTP message")]
    Malformed,
    /// Its head exceeds [`MAX_HEAD_BYTES`].
    #[error("the head of the HTTP message is too long")]
    HeadTooLong,
    /// Its body exceeds the limit of the caller.
    #[error("the body of the HTTP message is too long")]
    BodyTooLong,
    /// It uses a transfer coding that is not supported.
    #[error("the HTTP message uses an unsupported transfer coding")]
    Unsupported,
}

/// The head of a request or of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the start line: method, target and version of a request; version, status
    /// and reason of a response.
    pub first: [String; 3],
    /// Names, in lower case, and values of the fields, in order.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field of this name (in lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        self.values_of(name).next()
    }

    fn values_of<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.fields
            .iter()
            .filter(move |(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Whether a field that is a comma-separated list contains this word, in any case.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        self.values_of(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection stays open after this message, which is of the given version.
    pub fn keeps_alive(&self, version: &str) -> bool {
        match version {
            "HTTP/1.1" => !self.has_word("connection", "close"),
            _ => self.has_word("connection", "keep-alive"),
        }
    }

    /// The framing of the body that follows; `default` if the head states none.
    ///
    /// # Errors
    ///
    /// [`Fault::Malformed`] if the framing is ambiguous or no number: a message with both a length
    /// and a transfer coding, or with two lengths, could be framed differently by another recipient
    /// (request smuggling). [`Fault::Unsupported`] for any coding but `chunked`.
    pub fn body(&self, default: Body) -> Result<Body, Fault> {
        let lengths: Vec<&str> = self.values_of("content-length").collect();
        match (self.field("transfer-encoding"), &lengths[..]) {
            (Some(_), [_, ..]) | (_, [_, _, ..]) => Err(Fault::Malformed),
            (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Body::Chunked(Chunk::Line))
            }
            (Some(_), []) => Err(Fault::Unsupported),
            (None, []) => Ok(default),
            (None, [length]) => content_length(length).map(Body::Length),
        }
    }
}

/// Digits alone: `str::parse` would also accept a sign.
fn content_length(text: &str) -> Result<u64, Fault> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Malformed);
    }
    text.parse().map_err(|_| Fault::Malformed)
}

/// A byte that a token, such as the name of a field, may contain.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Parses a head if the input holds all of it. Returns it with its length in bytes.
///
/// # Errors
///
/// [`Fault::HeadTooLong`] and [`Fault::Malformed`].
pub fn head(input: &[u8]) -> Result<Option<(Head, usize)>, Fault> {
    let searched = &input[..input.len().min(MAX_HEAD_BYTES)];
    let end = searched
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(end) = end else {
        return if input.len() >= MAX_HEAD_BYTES {
            Err(Fault::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| Fault::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or_default().to_owned();
    let mut head = Head {
        first: [next_part(), next_part(), next_part()],
        fields: Vec::new(),
    };
    for line in lines {
        if head.fields.len() >= MAX_FIELDS {
            return Err(Fault::Malformed);
        }
        head.fields.push(parse_field(line)?);
    }
    Ok(Some((head, end + HEAD_END.len())))
}

/// The name, in lower case, and the value of a field.
fn parse_field(line: &str) -> Result<(String, String), Fault> {
    let (name, value) = line.split_once(':').ok_or(Fault::Malformed)?;
    if name.is_empty() || !name.bytes().all(is_token_byte) {
        return Err(Fault::Malformed);
    }
    Ok((name.to_ascii_lowercase(), value.trim().to_owned()))
}

/// What comes next of a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The line that states a chunk's size.
    Line,
    /// This number of bytes of the chunk.
    Data(u64),
    /// The end of the line behind a chunk's data.
    DataEnd,
    /// The trailer fields behind the last chunk.
    Trailer,
}

impl Chunk {
    /// The state after a line of framing; `None` if that was the end of the body.
    fn after_line(self, line: &[u8]) -> Result<Option<Chunk>, Fault> {
        match self {
            Chunk::Line => match chunk_size(line).ok_or(Fault::Malformed)? {
                0 => Ok(Some(Chunk::Trailer)),
                size => Ok(Some(Chunk::Data(size))),
            },
            Chunk::DataEnd if line.is_empty() => Ok(Some(Chunk::Line)),
            Chunk::Trailer if line.is_empty() => Ok(None),
            Chunk::Trailer => Ok(Some(Chunk::Trailer)),
            Chunk::DataEnd | Chunk::Data(_) => Err(Fault::Malformed),
        }
    }
}

/// What is left to read of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// This number of bytes.
    Length(u64),
    /// Chunks.
    Chunked(Chunk),
    /// All bytes until the connection is closed.
    UntilClose,
}

impl Body {
    /// Reads on, and appends to `body`. Returns the number of bytes used of the input, and whether
    /// the body is complete.
    ///
    /// # Errors
    ///
    /// [`Fault::BodyTooLong`] if `body` would exceed `max_bytes`; [`Fault::Malformed`].
    pub fn read(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<(usize, bool), Fault> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            if let Body::Chunked(state @ (Chunk::Line | Chunk::DataEnd | Chunk::Trailer)) = self {
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
                return Err(Fault::BodyTooLong);
            }
            body.extend_from_slice(&rest[..take]);
            used += take;
            self.consume_data(take as u64);
            if take == rest.len() && *self != Body::Length(0) {
                return Ok((used, false));
            }
        }
    }

    /// How many of the next `input_length` bytes are data.
    fn available_data(&self, input_length: usize) -> usize {
        match self {
            Body::Length(left) | Body::Chunked(Chunk::Data(left)) => {
                input_length.min(usize::try_from(*left).unwrap_or(usize::MAX))
            }
            Body::UntilClose => input_length,
            Body::Chunked(Chunk::Line | Chunk::DataEnd | Chunk::Trailer) => 0,
        }
    }

    fn consume_data(&mut self, count: u64) {
        match self {
            Body::Length(left) => *left -= count,
            Body::Chunked(state) => {
                if let Chunk::Data(left) = *state {
                    *state = match left - count {
                        0 => Chunk::DataEnd,
                        remaining => Chunk::Data(remaining),
                    };
                }
            }
            Body::UntilClose => {}
        }
    }
}

/// The next line of a chunked body's framing without its end, and its length with that. `None` if
/// the input does not hold all of it.
fn framing_line(input: &[u8]) -> Result<Option<(&[u8], usize)>, Fault> {
    let end = input
        .iter()
        .take(MAX_CHUNK_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(end) = end else {
        return if input.len() >= MAX_CHUNK_LINE_BYTES {
            Err(Fault::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = &input[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Ok(Some((line, end + 1)))
}

/// The size in the line before a chunk, without its extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let hex = text.split(';').next()?.trim();
    // `from_str_radix` would also accept a sign.
    if !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(hex, 16).ok()
}

/// Decodes the percent-encoding of a query, in which a plus stands for a space. `None` if it is
/// malformed or not UTF-8.
pub fn unescape(text: &str) -> Option<String> {
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
pub fn escape(text: &str) -> String {
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

/// The path and the decoded parameters of a request's target. `None` if a parameter is malformed.
pub fn target(target: &str) -> Option<(&str, Vec<(String, String)>)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut parameters = Vec::new();
    for parameter in query.split('&').filter(|text| !text.is_empty()) {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        parameters.push((unescape(name)?, unescape(value)?));
    }
    Some((path, parameters))
}

#[cfg(test)]
#[path = "../tests/unit/http.rs"]
mod tests;
