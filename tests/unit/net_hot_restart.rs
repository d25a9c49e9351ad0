//! The start of the daemon beside predecessors that fail to transfer their listeners.
use super::request_transfer;
use crate::testkit::daemon::Folder;
use async_io::block_on;
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::thread::JoinHandle;

/// The behavior of a broken predecessor after the first line.
#[derive(Clone, Copy, Debug)]
enum BrokenPeer {
    Sends(&'static str),
    Closes,
    /// Sends nothing until the caller's timeout.
    Hangs,
}

/// Accepts one connection, checks its first line, then follows `behavior`.
fn spawn_peer(socket_path: &Path, behavior: BrokenPeer) -> JoinHandle<()> {
    let listener = UnixListener::bind(socket_path).expect("binds the socket");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts a connection");
        let mut hello = [0; 64];
        let length = stream.read(&mut hello).expect("reads the first line");
        assert_eq!(&hello[..length], b"yokelift-handover 1 n0\n");
        match behavior {
            BrokenPeer::Sends(text) => drop(stream.write_all(text.as_bytes())),
            BrokenPeer::Closes => {}
            BrokenPeer::Hangs => drop(stream.read(&mut hello)),
        }
    })
}

/// Guards the start of the daemon: it must ignore the stale socket of a process that has exited,
/// and peers that have another version, send garbage, send no descriptors, close the connection or
/// hang.
#[test]
fn a_start_continues_without_a_broken_predecessor() {
    let folder = Folder::new().expect("creates a folder");
    let socket_path = folder.path("yokelift-n0.sock");
    let nothing_transferred = || block_on(request_transfer(&socket_path, "n0")).is_none();

    assert!(nothing_transferred(), "no process listens");

    drop(UnixListener::bind(&socket_path).expect("binds the socket"));
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
        peer.join().expect("the peer's checks hold");
    }
}
