//! The hot restart's messages, however their bytes are cut, and what is none of them.
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
        HotRestartMessage::ClientGone { conn: 8 },
    ]
}

/// Guards two versions against each other: each message is read as it was sent.
#[test]
fn messages_are_read_as_sent_however_the_bytes_are_cut() {
    let sent = one_message_of_each_kind();
    let bytes: Vec<u8> = sent.iter().flat_map(HotRestartMessage::encode).collect();
    for length in 1..bytes.len() {
        let mut reader = MessageReader::default();
        let received: Vec<HotRestartMessage> = bytes
            .chunks(length)
            .flat_map(|chunk| reader.feed(chunk).expect("messages"))
            .collect();
        assert_eq!(received, sent);
    }
}

/// Guards against processes of another version, and against noise.
#[test]
fn lines_of_another_version_and_noise_are_rejected() {
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
