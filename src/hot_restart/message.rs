//! What two processes of one manager tell each other over their socket: one line each. Pure.
//!
//! The newer one begins with `yokelift-handover 1 NAME`. The older one answers `take ADDRESS ...`
//! with the listening descriptors, in that order, beside the line's first byte, and `drained` if
//! operators sent its clients away. Then the newer one says `ready` once it serves, and the older
//! one `leave PART` whenever the part of the manager that the newer one has to leave to others
//! changes. The end of the connection is the end of the other process.
//!
//! Asked to end, the older one passes its clients' connections, each as `client N IDS INPUT
//! UNWRITTEN` with its descriptor beside it: the ids that it has open there, and how many bytes
//! follow that it has read of a message and that it has yet to write. What it still answers follows
//! as `answer N ID LENGTH` and the bytes; what the client withdraws, or that it has gone, comes
//! back as `withdraw N ID` and `gone N`.
use std::net::SocketAddr;

/// A longer line is no line of this protocol.
pub const MOST_LINE: usize = 2_048;
/// Nor are more bytes behind one.
const MOST_BYTES: usize = 4 << 20;
const HELLO: &str = "yokelift-handover 1";

/// A line.
#[derive(Clone, Debug, PartialEq)]
pub enum HotRestartMessage {
    /// The newer one's name, in this version of the protocol.
    Hello(String),
    /// The listeners that come with it.
    Listeners(Vec<SocketAddr>),
    /// Clients were sent away.
    Draining,
    /// The newer one serves.
    Ready,
    /// What the newer one leaves to others.
    ReservedShare(f64),
    /// A client's connection, by its number at the older one.
    Connection(u64, TransferredConnection),
    /// An answer of the older one to the request with that mark, worded.
    Response(u64, u64, Vec<u8>),
    /// The client withdrew that request of the older one.
    Cancel(u64, u64),
    /// The client has gone.
    ClientGone(u64),
}

/// What passes with a client's connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferredConnection {
    /// The marks of requests that are open elsewhere.
    pub open: Vec<u64>,
    /// What was read of a message that is not whole.
    pub input: Vec<u8>,
    /// What is yet to be written, first of all.
    pub unwritten: Vec<u8>,
}

impl HotRestartMessage {
    /// As bytes: its line, and what follows it.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = self.line().into_bytes();
        match self {
            HotRestartMessage::Connection(_, handed) => {
                out.extend_from_slice(&handed.input);
                out.extend_from_slice(&handed.unwritten);
            }
            HotRestartMessage::Response(_, _, bytes) => out.extend_from_slice(bytes),
            _ => {}
        }
        out
    }

    /// As a line.
    pub fn line(&self) -> String {
        match self {
            HotRestartMessage::Hello(name) => format!("{HELLO} {name}\n"),
            HotRestartMessage::Listeners(addrs) => {
                let all: Vec<String> = addrs.iter().map(SocketAddr::to_string).collect();
                format!("take {}\n", all.join(" "))
            }
            HotRestartMessage::Draining => "drained\n".into(),
            HotRestartMessage::Ready => "ready\n".into(),
            HotRestartMessage::ReservedShare(part) => format!("leave {part:.3}\n"),
            HotRestartMessage::Connection(
                n,
                TransferredConnection {
                    open,
                    input,
                    unwritten,
                },
            ) => {
                let ids: Vec<String> = open.iter().map(u64::to_string).collect();
                let ids = if ids.is_empty() {
                    "-".to_owned()
                } else {
                    ids.join(",")
                };
                format!("client {n} {ids} {} {}\n", input.len(), unwritten.len())
            }
            HotRestartMessage::Response(n, id, bytes) => {
                format!("answer {n} {id} {}\n", bytes.len())
            }
            HotRestartMessage::Cancel(n, id) => format!("withdraw {n} {id}\n"),
            HotRestartMessage::ClientGone(n) => format!("gone {n}\n"),
        }
    }

    /// How many bytes follow its line, as it was read.
    fn follows(&self) -> usize {
        match self {
            HotRestartMessage::Connection(_, handed) => handed.input.len() + handed.unwritten.len(),
            HotRestartMessage::Response(_, _, bytes) => bytes.len(),
            _ => 0,
        }
    }

    /// Puts the bytes in that follow its line.
    fn fill(&mut self, bytes: &[u8]) {
        match self {
            HotRestartMessage::Connection(_, handed) => {
                let (input, unwritten) = bytes.split_at(handed.input.len());
                handed.input.copy_from_slice(input);
                handed.unwritten.copy_from_slice(unwritten);
            }
            HotRestartMessage::Response(_, _, into) => into.copy_from_slice(bytes),
            _ => {}
        }
    }

    /// From a line without its end, with zeros for bytes that follow; nothing if it is none of this
    /// version's.
    pub fn read(line: &str) -> Option<HotRestartMessage> {
        if let Some(name) = line.strip_prefix(HELLO) {
            return name
                .strip_prefix(' ')
                .filter(|n| !n.is_empty())
                .map(|name| HotRestartMessage::Hello(name.to_owned()));
        }
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        let parts: Vec<&str> = rest.split(' ').collect();
        let number = |at: usize| parts.get(at).and_then(|n| n.parse::<u64>().ok());
        let room = |at: usize| {
            number(at)
                .filter(|n| *n <= MOST_BYTES as u64)
                .map(|n| vec![0; n as usize])
        };
        match first {
            "client" if parts.len() == 4 => {
                let ids = if parts[1] == "-" {
                    Vec::new()
                } else {
                    parts[1].split(',').collect()
                };
                let open = ids
                    .into_iter()
                    .map(|id| id.parse().ok())
                    .collect::<Option<_>>()?;
                Some(HotRestartMessage::Connection(
                    number(0)?,
                    TransferredConnection {
                        open,
                        input: room(2)?,
                        unwritten: room(3)?,
                    },
                ))
            }
            "answer" if parts.len() == 3 => Some(HotRestartMessage::Response(
                number(0)?,
                number(1)?,
                room(2)?,
            )),
            "withdraw" if parts.len() == 2 => {
                Some(HotRestartMessage::Cancel(number(0)?, number(1)?))
            }
            "gone" if parts.len() == 1 => Some(HotRestartMessage::ClientGone(number(0)?)),
            "take" => rest
                .split(' ')
                .map(|addr| addr.parse().ok())
                .collect::<Option<_>>()
                .map(HotRestartMessage::Listeners),
            "drained" if rest.is_empty() => Some(HotRestartMessage::Draining),
            "ready" if rest.is_empty() => Some(HotRestartMessage::Ready),
            "leave" => {
                let part = rest.parse().ok().filter(|part| (0.0..=1.0).contains(part));
                part.map(HotRestartMessage::ReservedShare)
            }
            _ => None,
        }
    }
}

/// What came is no word of this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownMessage;

/// Cuts what comes into words.
#[derive(Default)]
pub struct MessageReader {
    input: Vec<u8>,
    /// A word whose bytes are still to come.
    begun: Option<HotRestartMessage>,
}

impl MessageReader {
    /// The words that are whole by now; an error for anything else.
    pub fn feed(&mut self, input: &[u8]) -> Result<Vec<HotRestartMessage>, UnknownMessage> {
        self.input.extend_from_slice(input);
        let mut words = Vec::new();
        loop {
            if let Some(word) = &mut self.begun {
                let follows = word.follows();
                if self.input.len() < follows {
                    return Ok(words);
                }
                word.fill(&self.input[..follows]);
                self.input.drain(..follows);
                words.extend(self.begun.take());
            }
            let Some(end) = self.input.iter().position(|c| *c == b'\n') else {
                return if self.input.len() > MOST_LINE {
                    Err(UnknownMessage)
                } else {
                    Ok(words)
                };
            };
            let text = std::str::from_utf8(&self.input[..end]).map_err(|_| UnknownMessage)?;
            self.begun = Some(HotRestartMessage::read(text).ok_or(UnknownMessage)?);
            self.input.drain(..=end);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards two versions against each other: each word is read as it was meant, however the bytes
    /// are cut, and what is of another version, or noise, is none.
    #[test]
    fn words_come_through_and_noise_does_not() {
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let all = [
            HotRestartMessage::Hello("n0".into()),
            HotRestartMessage::Listeners(vec![addr(5050), addr(8123)]),
            HotRestartMessage::Draining,
            HotRestartMessage::Ready,
            HotRestartMessage::ReservedShare(0.375),
            HotRestartMessage::Connection(
                7,
                TransferredConnection {
                    open: vec![3, 9],
                    input: b"{\n".to_vec(),
                    unwritten: b"half\n".to_vec(),
                },
            ),
            HotRestartMessage::Connection(8, TransferredConnection::default()),
            HotRestartMessage::Response(7, 9, b"leave 1\n".to_vec()),
            HotRestartMessage::Cancel(7, 3),
            HotRestartMessage::ClientGone(8),
        ];
        let wire: Vec<u8> = all.iter().flat_map(HotRestartMessage::bytes).collect();
        for step in 1..wire.len() {
            let mut reader = MessageReader::default();
            let words = wire
                .chunks(step)
                .flat_map(|piece| reader.feed(piece).expect("words"));
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
            assert_eq!(HotRestartMessage::read(noise), None, "{noise}");
        }
        assert!(
            MessageReader::default()
                .feed(&[b'a'; MOST_LINE + 1])
                .is_err()
        );
        assert!(MessageReader::default().feed(b"\xff\xfe\n").is_err());
    }
}
