//! Parsing of the heads, bodies and URLs of HTTP/1.1 messages.
use super::*;
use quickcheck::{Gen, QuickCheck};

/// Guards against a body whose content depends on how the network splits its bytes, or that is
/// reported as complete before its last byte.
#[test]
fn chunked_bodies_parse_identically_however_they_are_split() {
    fn split_anywhere(parts: Vec<Vec<u8>>, step: u8) -> bool {
        let mut wire = Vec::new();
        for part in parts.iter().filter(|part| !part.is_empty()) {
            wire.extend_from_slice(format!("{:x};x=y\r\n", part.len()).as_bytes());
            wire.extend_from_slice(part);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        let mut body = Vec::new();
        let mut state = Body::Chunked(ChunkState::SizeLine);
        let mut unread = Vec::new();
        let mut complete = false;
        let mut total_used = 0;
        for piece in wire.chunks(usize::from(step % 7) + 1) {
            if complete {
                return false;
            }
            unread.extend_from_slice(piece);
            let Ok((used, done)) = state.read(&unread, &mut body, 1 << 20) else {
                return false;
            };
            unread.drain(..used);
            complete = done;
            total_used += used;
        }
        complete && total_used == wire.len() && body == parts.concat()
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(300);
    check.quickcheck(split_anywhere as fn(Vec<Vec<u8>>, u8) -> bool);
}

#[test]
fn heads_are_parsed_when_complete_and_rejected_when_malformed() {
    let text = b"GET /?query=SELECT+1%20x HTTP/1.1\r\nHost: a\r\nX-ClickHouse-User: u\r\n\r\nrest";
    let (parsed, length) = parse_head(text).unwrap().unwrap();
    assert_eq!(&text[length..], b"rest");
    assert_eq!(parsed.field("x-clickhouse-user"), Some("u"));
    let (path, parameters) = parse_target(&parsed.start_line[1]).unwrap();
    assert_eq!((path, parameters[0].1.as_str()), ("/", "SELECT 1 x"));
    assert_eq!(parse_head(&text[..20]), Ok(None));
    assert_eq!(
        parse_head(b"GET / HTTP/1.1\r\nno colon\r\n\r\n"),
        Err(ParseError::Malformed)
    );
    assert_eq!(
        parse_head(&[b'a'; MAX_HEAD_BYTES]),
        Err(ParseError::HeadTooLong)
    );
    assert_eq!(parse_target("/?query=%4"), None);
}

#[test]
fn bodies_with_two_lengths_are_rejected() {
    let body_of = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
        parse_head(text.as_bytes())
            .unwrap()
            .unwrap()
            .0
            .body_framing(Body::Length(0))
    };
    assert_eq!(
        body_of("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        Err(ParseError::Malformed)
    );
    assert_eq!(
        body_of("Content-Length: 5\r\nContent-Length: 6"),
        Err(ParseError::Malformed)
    );
    assert_eq!(body_of("Content-Length: +5"), Err(ParseError::Malformed));
    assert_eq!(
        body_of("Transfer-Encoding: gzip"),
        Err(ParseError::UnsupportedTransferCoding)
    );
    assert_eq!(body_of("Content-Length: 5"), Ok(Body::Length(5)));
    let mut body = Body::Length(5);
    assert_eq!(
        body.read(b"abcdef", &mut Vec::new(), 4),
        Err(ParseError::BodyTooLong)
    );
}
