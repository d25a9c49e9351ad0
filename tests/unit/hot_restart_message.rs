//! The messages of the hot restart: encoded, read in chunks of any length, and rejected if invalid.
use super::{Header, HotRestartMessage, MAX_LINE_BYTES, MessageReader, TransferredConnection};
use std::net::SocketAddr;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn one_message_of_each_kind() -> Vec<HotRestartMessage> {
    vec![
        HotRestartMessage::Hello { name: "n0".into() },
        HotRestartMessage::Listeners {
            addresses: vec![loopback(5050), loopback(8123)],
        },
        HotRestartMessage::Draining,
        HotRestartMessage::Ready,
        HotRestartMessage::ReservedShare { share: 0.375 },
        HotRestartMessage::Connection {
            conn: 7,
            state: TransferredConnection {
                open_requests: vec![3, 9],
                input: b"{\n".to_vec(),
                unwritten: b"half\n".to_vec(),
            },
        },
        HotRestartMessage::Connection {
            conn: 8,
            state: TransferredConnection::default(),
        },
        HotRestartMessage::Response {
            conn: 7,
            tag: 9,
            bytes: b"leave 1\n".to_vec(),
        },
        HotRestartMessage::Cancel { conn: 7, tag: 3 },
        HotRestartMessage::ClientDisconnected { conn: 8 },
        HotRestartMessage::RequestAdmitted { id: u64::MAX },
    ]
}

/// Guards the exchange between two processes: each message is read as it was sent, in chunks of any
/// length.
#[test]
fn messages_are_read_as_sent_in_chunks_of_any_length() {
    let sent = one_message_of_each_kind();
    let bytes: Vec<u8> = sent.iter().flat_map(HotRestartMessage::encode).collect();
    for length in 1..bytes.len() {
        let mut reader = MessageReader::default();
        let received: Vec<HotRestartMessage> = bytes
            .chunks(length)
            .flat_map(|chunk| reader.feed(chunk).expect("valid messages"))
            .collect();
        assert_eq!(received, sent);
    }
}

/// Guards against processes of another version, and against malformed input.
#[test]
fn lines_of_another_version_and_malformed_lines_are_rejected() {
    let lines = [
        "yokelift-handover 2 n0",
        "yokelift-handover 1",
        "take",
        "take x",
        "leave 7",
        "leave NaN",
        "\u{1}",
    ];
    for line in lines {
        assert_eq!(Header::parse(line), None, "{line}");
    }
    let endless_line = [b'a'; MAX_LINE_BYTES + 1];
    assert!(MessageReader::default().feed(&endless_line).is_err());
    assert!(MessageReader::default().feed(b"\xff\xfe\n").is_err());
}
