//! File descriptors as ancillary data (`SCM_RIGHTS`) on a Unix socket.
use async_io::Async;
use futures_lite::AsyncWriteExt;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// The maximum number of descriptors with one message, which fits one listener of each frontend.
const MAX_DESCRIPTORS: usize = 4;

/// Reads available bytes into `buffer`, and appends the descriptors received with them.
pub(super) async fn receive(
    peer: &Async<UnixStream>,
    buffer: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let read = |stream: &UnixStream| {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut slices = [IoSliceMut::new(buffer)];
        let flags = RecvFlags::CMSG_CLOEXEC;
        let received = rustix::net::recvmsg(stream, &mut slices, &mut control, flags)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(passed) = message {
                descriptors.extend(passed);
            }
        }
        Ok(received.bytes)
    };
    peer.read_with(read).await
}

/// Writes all bytes, with the descriptors attached to the first one.
pub(super) async fn send(
    mut peer: &Async<UnixStream>,
    bytes: &[u8],
    descriptors: &[BorrowedFd<'_>],
) -> io::Result<()> {
    let write_first = |stream: &UnixStream| {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(descriptors));
        let slices = [IoSlice::new(bytes)];
        let sent = rustix::net::sendmsg(stream, &slices, &mut control, SendFlags::NOSIGNAL)?;
        Ok(sent)
    };
    let sent = peer.write_with(write_first).await?;
    peer.write_all(&bytes[sent..]).await
}
