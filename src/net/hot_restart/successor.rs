//! The start of a new process: requests the listeners of the running one, if there is any.
use super::RESPONSE_TIMEOUT;
use super::descriptors::receive;
use crate::clock;
use crate::hot_restart::message::{HotRestartMessage, MessageError, MessageReader};
use crate::log;
use crate::net::sleep_until;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use thiserror::Error;

/// The listeners and state that the predecessor transferred, and the connection to it.
pub struct TransferredState {
    /// The predecessor's listeners, by their addresses.
    pub listeners: BTreeMap<SocketAddr, TcpListener>,
    /// Whether operators are draining the predecessor.
    pub draining: bool,
    /// The fraction of the manager's capacity that is reserved for the predecessor and for that
    /// one's own predecessors.
    pub reserved_share: f64,
    pub(super) peer: Async<UnixStream>,
    pub(super) reader: MessageReader,
    /// Messages that were received together with the end of the transfer.
    pub(super) received: Vec<HotRestartMessage>,
}

/// Why the predecessor's listeners could not be received.
#[derive(Debug, Error)]
enum TransferError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("timed out")]
    Timeout,
    #[error("the predecessor closed the connection")]
    Closed,
    #[error("invalid message, perhaps of another protocol version: {0}")]
    UnknownProtocol(#[from] MessageError),
    #[error("the numbers of addresses and descriptors differ, or are 0")]
    DescriptorCount,
    #[error("unexpected message during the transfer")]
    UnexpectedMessage,
}

/// Requests the listeners of the process at `socket_path`. `None` if there is none, or if the
/// transfer fails: the start then continues without them, at the latest after 400 ms.
pub async fn request_transfer(socket_path: &Path, name: &str) -> Option<TransferredState> {
    let deadline = clock::read() + RESPONSE_TIMEOUT;
    let timeout = async {
        sleep_until(Some(deadline)).await;
        Err(TransferError::Timeout)
    };
    match or(try_transfer(socket_path, name), timeout).await {
        Ok(transferred) => transferred,
        Err(error) => {
            let path = socket_path.display();
            log!(
                "hot restart: no listeners from the predecessor at {path}, binding new ones: {error}"
            );
            None
        }
    }
}

/// Connects, sends this manager's name, and reads the transfer; `None` if no process listens there.
async fn try_transfer(
    socket_path: &Path,
    name: &str,
) -> Result<Option<TransferredState>, TransferError> {
    let mut peer = match Async::<UnixStream>::connect(socket_path).await {
        Ok(peer) => peer,
        Err(error) if is_absent(&error) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let hello = HotRestartMessage::Hello {
        name: name.to_owned(),
    };
    peer.write_all(&hello.encode()).await?;
    Ok(Some(read_transfer(peer).await?))
}

/// Whether there is no socket, or a stale one of a process that has exited.
fn is_absent(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
    )
}

/// Reads up to the first [`HotRestartMessage::ReservedShare`], which ends the transfer.
async fn read_transfer(peer: Async<UnixStream>) -> Result<TransferredState, TransferError> {
    let mut reader = MessageReader::default();
    let mut descriptors = VecDeque::new();
    let mut addresses = Vec::new();
    let mut draining = false;
    let mut buffer = [0; 1024];
    loop {
        let length = receive(&peer, &mut buffer, &mut descriptors).await?;
        if length == 0 {
            return Err(TransferError::Closed);
        }
        let mut messages = reader.feed(&buffer[..length])?.into_iter();
        while let Some(message) = messages.next() {
            match message {
                HotRestartMessage::Listeners { addresses: listed } => addresses = listed,
                HotRestartMessage::Draining => draining = true,
                HotRestartMessage::ReservedShare { share } => {
                    if addresses.is_empty() || addresses.len() != descriptors.len() {
                        return Err(TransferError::DescriptorCount);
                    }
                    return Ok(TransferredState {
                        listeners: listeners_by_address(descriptors),
                        draining,
                        reserved_share: share,
                        peer,
                        reader,
                        received: messages.collect(),
                    });
                }
                _ => return Err(TransferError::UnexpectedMessage),
            }
        }
    }
}

/// Reads the address of each listener from its descriptor, as the one in the message may be wrong.
/// A descriptor without a socket address is ignored.
fn listeners_by_address(descriptors: VecDeque<OwnedFd>) -> BTreeMap<SocketAddr, TcpListener> {
    descriptors
        .into_iter()
        .map(TcpListener::from)
        .filter_map(|listener| Some((listener.local_addr().ok()?, listener)))
        .collect()
}

#[cfg(test)]
#[path = "../../../tests/unit/net_hot_restart.rs"]
mod tests;
