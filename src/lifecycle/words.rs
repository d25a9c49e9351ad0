//! What two processes of one manager tell each other over their socket: one line each. Pure.
//!
//! The newer one begins with `yokelift-handover 1 NAME`. The older one answers `take ADDRESS ...` with the listening
//! descriptors, in that order, beside the line's first byte, and `drained` if operators sent its clients away. Then the
//! newer one says `ready` once it serves, and the older one `leave PART` whenever the part of the manager that the
//! newer one has to leave to others changes. The end of the connection is the end of the other process.
use std::net::SocketAddr;

/// A longer line is no line of this protocol.
pub const MOST_LINE: usize = 512;
const HELLO: &str = "yokelift-handover 1";

/// A line.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// The newer one's name, in this version of the protocol.
    Hello(String),
    /// The listeners that come with it.
    Take(Vec<SocketAddr>),
    /// Clients were sent away.
    Drained,
    /// The newer one serves.
    Ready,
    /// What the newer one leaves to others.
    Leave(f64),
}

impl Word {
    /// As a line.
    pub fn line(&self) -> String {
        match self {
            Word::Hello(name) => format!("{HELLO} {name}\n"),
            Word::Take(addrs) => {
                let all: Vec<String> = addrs.iter().map(SocketAddr::to_string).collect();
                format!("take {}\n", all.join(" "))
            }
            Word::Drained => "drained\n".into(),
            Word::Ready => "ready\n".into(),
            Word::Leave(part) => format!("leave {part:.3}\n"),
        }
    }

    /// From a line without its end; nothing if it is none of this version's.
    pub fn read(line: &str) -> Option<Word> {
        if let Some(name) = line.strip_prefix(HELLO) {
            return name.strip_prefix(' ').filter(|n| !n.is_empty()).map(|name| Word::Hello(name.to_owned()));
        }
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        match first {
            "take" => rest.split(' ').map(|addr| addr.parse().ok()).collect::<Option<_>>().map(Word::Take),
            "drained" if rest.is_empty() => Some(Word::Drained),
            "ready" if rest.is_empty() => Some(Word::Ready),
            "leave" => {
                let part = rest.parse().ok().filter(|part| (0.0..=1.0).contains(part));
                part.map(Word::Leave)
            }
            _ => None,
        }
    }
}

/// Cuts what comes into words.
#[derive(Default)]
pub struct Reader(Vec<u8>);

impl Reader {
    /// The words that are whole by now; an error for anything else.
    pub fn feed(&mut self, input: &[u8]) -> Result<Vec<Word>, ()> {
        self.0.extend_from_slice(input);
        let mut words = Vec::new();
        while let Some(end) = self.0.iter().position(|c| *c == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            let text = std::str::from_utf8(&line[..end]).map_err(|_| ())?;
            words.push(Word::read(text).ok_or(())?);
        }
        if self.0.len() > MOST_LINE { Err(()) } else { Ok(words) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards two versions against each other: each word is read as it was meant, however the bytes are cut, and
    /// what is of another version, or noise, is none.
    #[test]
    fn words_come_through_and_noise_does_not() {
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let all = [
            Word::Hello("n0".into()),
            Word::Take(vec![addr(5050), addr(8123)]),
            Word::Drained,
            Word::Ready,
            Word::Leave(0.375),
        ];
        let wire: String = all.iter().map(Word::line).collect();
        for step in 1..wire.len() {
            let mut reader = Reader::default();
            let words = wire.as_bytes().chunks(step).flat_map(|piece| reader.feed(piece).expect("words"));
            assert_eq!(words.collect::<Vec<_>>(), all);
        }
        for noise in [
            "yokelift-handover 2 n0",
            "yokelift-handover 1",
            "take",
            "take x",
            "leave 7",
            "leave NaN",
            "\u{1}",
        ] {
            assert_eq!(Word::read(noise), None, "{noise}");
        }
        assert!(Reader::default().feed(&[b'a'; MOST_LINE + 1]).is_err());
        assert!(Reader::default().feed(b"\xff\xfe\n").is_err());
    }
}
