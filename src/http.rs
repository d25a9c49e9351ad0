//! HTTP/1.1 as both sides of the ClickHouse interface need it: heads, bodies, and the escapes of
//! URLs.

/// A longer head is refused.
pub const MOST_HEAD: usize = 32 * 1024;
const MOST_FIELDS: usize = 100;
/// The line before a chunk holds a size and perhaps an extension.
const MOST_CHUNK_LINE: usize = 256;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not HTTP/1.x.
    Malformed,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is longer than was agreed.
    BodyTooLong,
    /// It needs what this program does not do.
    Unsupported,
}

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the first line.
    pub first: [String; 3],
    /// Names in lower case, and values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Whether a field holds that word among those between commas.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let all = self.fields.iter().filter(|(n, _)| n == name);
        all.flat_map(|(_, v)| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection stays open after this message, whose version is the given one.
    pub fn keeps_alive(&self, version: &str) -> bool {
        match version {
            "HTTP/1.1" => !self.has_word("connection", "close"),
            _ => self.has_word("connection", "keep-alive"),
        }
    }

    /// How the body that follows is framed; `without` says what no word about it means.
    pub fn body(&self, without: Body) -> Result<Body, Fault> {
        let lengths: Vec<&str> = self
            .fields
            .iter()
            .filter(|(n, _)| n == "content-length")
            .map(|(_, v)| v.as_str())
            .collect();
        match (self.field("transfer-encoding"), &lengths[..]) {
            // Both, or two lengths, is how requests are smuggled past one reader to another.
            (Some(_), [_, ..]) | (_, [_, _, ..]) => Err(Fault::Malformed),
            (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Body::Chunked(Chunk::Line))
            }
            (Some(_), []) => Err(Fault::Unsupported),
            (None, []) => Ok(without),
            (None, [length]) if length.bytes().all(|c| c.is_ascii_digit()) => length
                .parse()
                .map(Body::Length)
                .map_err(|_| Fault::Malformed),
            (None, _) => Err(Fault::Malformed),
        }
    }
}

/// Reads a head, if it is there whole, and tells its length.
pub fn head(input: &[u8]) -> Result<Option<(Head, usize)>, Fault> {
    let seen = &input[..input.len().min(MOST_HEAD)];
    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if input.len() >= MOST_HEAD {
            Err(Fault::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| Fault::Malformed)?;
    let mut lines = text.split("\r\n");
    let mut first = lines
        .next()
        .unwrap_or_default()
        .splitn(3, ' ')
        .map(str::to_owned);
    let mut part = || first.next().unwrap_or_default();
    let mut head = Head {
        first: [part(), part(), part()],
        fields: Vec::new(),
    };
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Fault::Malformed)?;
        let token = |c: u8| c.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&c);
        if name.is_empty() || !name.bytes().all(token) || head.fields.len() >= MOST_FIELDS {
            return Err(Fault::Malformed);
        }
        head.fields
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((head, end + 4)))
}

/// Where a chunked body stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Before the line that tells a chunk's size.
    Line,
    /// So many bytes of the chunk are to come.
    Data(u64),
    /// Behind a chunk's data.
    DataEnd,
    /// In the lines behind the last chunk.
    Trailer,
}

/// A body, as far as it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes are to come.
    Length(u64),
    /// In chunks.
    Chunked(Chunk),
    /// It lasts until the connection is closed.
    UntilClose,
}

impl Body {
    /// Reads on, and adds to `body` at most until it holds `most`. Tells how much was used, and
    /// whether the body is whole.
    pub fn read(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        most: usize,
    ) -> Result<(usize, bool), Fault> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let take = match self {
                Body::Length(0) => return Ok((used, true)),
                Body::Length(left) | Body::Chunked(Chunk::Data(left)) => {
                    rest.len().min(usize_of(*left))
                }
                Body::UntilClose => rest.len(),
                Body::Chunked(part @ (Chunk::Line | Chunk::DataEnd | Chunk::Trailer)) => {
                    let Some(end) = rest.iter().take(MOST_CHUNK_LINE).position(|c| *c == b'\n')
                    else {
                        let long = rest.len() >= MOST_CHUNK_LINE;
                        return if long {
                            Err(Fault::Malformed)
                        } else {
                            Ok((used, false))
                        };
                    };
                    let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
                    used += end + 1;
                    *part = match part {
                        Chunk::Line => match size(line).ok_or(Fault::Malformed)? {
                            0 => Chunk::Trailer,
                            n => Chunk::Data(n),
                        },
                        Chunk::DataEnd if line.is_empty() => Chunk::Line,
                        Chunk::Trailer if line.is_empty() => return Ok((used, true)),
                        Chunk::Trailer => Chunk::Trailer,
                        Chunk::DataEnd | Chunk::Data(_) => return Err(Fault::Malformed),
                    };
                    continue;
                }
            };
            if body.len() + take > most {
                return Err(Fault::BodyTooLong);
            }
            body.extend_from_slice(&rest[..take]);
            used += take;
            match self {
                Body::Length(left) => *left -= take as u64,
                Body::Chunked(part @ Chunk::Data(_)) => {
                    let Chunk::Data(left) = part else { continue };
                    *left -= take as u64;
                    if *left == 0 {
                        *part = Chunk::DataEnd;
                    }
                }
                Body::UntilClose | Body::Chunked(_) => {}
            }
            if take == rest.len() && *self != Body::Length(0) {
                return Ok((used, false));
            }
        }
    }
}

fn usize_of(n: u64) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

fn size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let hex = text.split(';').next()?.trim();
    let plain = !hex.is_empty() && hex.bytes().all(|c| c.is_ascii_hexdigit());
    u64::from_str_radix(hex, 16).ok().filter(|_| plain)
}

/// Undoes the escapes of a URL; in a query a plus stands for a space.
pub fn unescape(text: &str) -> Option<String> {
    let (mut out, mut bytes) = (Vec::with_capacity(text.len()), text.bytes());
    while let Some(c) = bytes.next() {
        out.push(match c {
            b'+' => b' ',
            b'%' => {
                let (high, low) = (bytes.next()?, bytes.next()?);
                let digit = |c: u8| char::from(c).to_digit(16);
                (digit(high)? * 16 + digit(low)?) as u8
            }
            other => other,
        });
    }
    String::from_utf8(out).ok()
}

/// Escapes a value for the query of a URL.
pub fn escape(text: &str) -> String {
    let plain = |c: u8| c.is_ascii_alphanumeric() || b"-_.~".contains(&c);
    let one = |c: u8| {
        if plain(c) {
            char::from(c).to_string()
        } else {
            format!("%{c:02X}")
        }
    };
    text.bytes().map(one).collect()
}

/// The path and the parameters of a request's target.
pub fn target(target: &str) -> Option<(&str, Vec<(String, String)>)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter(|p| !p.is_empty());
    let pair = |p: &str| {
        let (name, value) = p.split_once('=').unwrap_or((p, ""));
        Some((unescape(name)?, unescape(value)?))
    };
    Some((path, pairs.map(pair).collect::<Option<_>>()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    /// A body comes out the same however the bytes are cut, and is whole only with its last byte.
    #[test]
    fn chunked_bodies_survive_any_cut() {
        fn cut(parts: Vec<Vec<u8>>, step: u8) -> bool {
            let mut wire = Vec::new();
            for part in parts.iter().filter(|p| !p.is_empty()) {
                wire.extend_from_slice(format!("{:x};x=y\r\n", part.len()).as_bytes());
                wire.extend_from_slice(part);
                wire.extend_from_slice(b"\r\n");
            }
            wire.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
            let (mut body, mut state, mut held) =
                (Vec::new(), Body::Chunked(Chunk::Line), Vec::new());
            let (mut whole, mut taken) = (false, 0);
            for piece in wire.chunks(usize::from(step % 7) + 1) {
                if whole {
                    return false;
                }
                held.extend_from_slice(piece);
                let Ok((used, done)) = state.read(&held, &mut body, 1 << 20) else {
                    return false;
                };
                held.drain(..used);
                (whole, taken) = (done, taken + used);
            }
            whole && taken == wire.len() && body == parts.concat()
        }
        let mut check = QuickCheck::new()
            .rng(Gen::from_size_and_seed(40, 7))
            .tests(300);
        check.quickcheck(cut as fn(Vec<Vec<u8>>, u8) -> bool);
    }

    #[test]
    fn heads_are_read_whole_or_refused() {
        let text =
            b"GET /?query=SELECT+1%20x HTTP/1.1\r\nHost: a\r\nX-ClickHouse-User: u\r\n\r\nrest";
        let (found, length) = head(text).unwrap().unwrap();
        assert_eq!(&text[length..], b"rest");
        assert_eq!(found.field("x-clickhouse-user"), Some("u"));
        let (path, pairs) = target(&found.first[1]).unwrap();
        assert_eq!((path, pairs[0].1.as_str()), ("/", "SELECT 1 x"));
        assert_eq!(head(&text[..20]), Ok(None));
        assert_eq!(
            head(b"GET / HTTP/1.1\r\nno colon\r\n\r\n"),
            Err(Fault::Malformed)
        );
        assert_eq!(head(&[b'a'; MOST_HEAD]), Err(Fault::HeadTooLong));
        assert_eq!(target("/?query=%4"), None);
    }

    #[test]
    fn bodies_with_two_lengths_are_refused() {
        let two = |fields: &str| {
            let text = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
            head(text.as_bytes())
                .unwrap()
                .unwrap()
                .0
                .body(Body::Length(0))
        };
        assert_eq!(
            two("Content-Length: 5\r\nTransfer-Encoding: chunked"),
            Err(Fault::Malformed)
        );
        assert_eq!(
            two("Content-Length: 5\r\nContent-Length: 6"),
            Err(Fault::Malformed)
        );
        assert_eq!(two("Content-Length: +5"), Err(Fault::Malformed));
        assert_eq!(two("Transfer-Encoding: gzip"), Err(Fault::Unsupported));
        assert_eq!(two("Content-Length: 5"), Ok(Body::Length(5)));
        let mut body = Body::Length(5);
        assert_eq!(
            body.read(b"abcdef", &mut Vec::new(), 4),
            Err(Fault::BodyTooLong)
        );
    }
}
