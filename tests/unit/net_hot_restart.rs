//! The start of the daemon beside peers that can't transfer anything.
use super::request_transfer;
use crate::testkit::daemon::Folder;
use async_io::block_on;
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::thread::JoinHandle;

/// What a broken predecessor does once it has read the first line.
#[derive(Clone, Copy, Debug)]
enum BrokenPeer {
    Sends(&'static str),
    Closes,
    /// Sends nothing until the caller gives up.
    Hangs,
}

/// Accepts one connection, checks its first line, and behaves as given.
fn spawn_peer(socket_path: &Path, behavior: BrokenPeer) -> JoinHandle<()> {
    let listener = UnixListener::bind(socket_path).expect("a socket");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut hello = [0; 64];
        let length = stream.read(&mut hello).expect("a hello");
        assert_eq!(&hello[..length], b"yokelift-handover 1 n0\n");
        match behavior {
            BrokenPeer::Sends(text) => drop(stream.write_all(text.as_bytes())),
            BrokenPeer::Closes => {}
            BrokenPeer::Hangs => drop(stream.read(&mut hello)),
        }
    })
}

/// Guards the start of the daemon: what a dead process left behind, and peers of another version,
/// that send garbage, pass no descriptors, close the connection or hang, are ignored.
#[test]
fn a_start_continues_without_a_broken_predecessor() {
    let folder = Folder::new().expect("a folder");
    let socket_path = folder.path("yokelift-n0.sock");
    let nothing_transferred = || block_on(request_transfer(&socket_path, "n0")).is_none();

    assert!(nothing_transferred(), "no process listens");

    drop(UnixListener::bind(&socket_path).expect("a socket"));
    assert!(
        socket_path.exists() && nothing_transferred(),
        "a dead process's socket"
    );

    for behavior in [
        BrokenPeer::Sends("yokelift-handover 2 n0\n"),
        BrokenPeer::Sends("\u{1}\u{2}garbage\n"),
        BrokenPeer::Sends("take 127.0.0.1:1\nleave 0.5\n"),
        BrokenPeer::Closes,
        BrokenPeer::Hangs,
    ] {
        let _ = std::fs::remove_file(&socket_path);
        let peer = spawn_peer(&socket_path, behavior);
        assert!(nothing_transferred(), "{behavior:?}");
        peer.join().expect("the peer's checks");
    }
}
