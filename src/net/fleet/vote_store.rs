//! The file that preserves a voter's token high-water marks across restarts, and the thread that
//! writes it. A vote under a new token is sent only after the token was written to the file.
use crate::clock;
use crate::lease::TokenHighWaterMarks;
use crate::lease::codec::Datagram;
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The maximum number of votes that wait to be stored. Further ones are dropped, as if their
/// datagrams were lost.
const MAX_PENDING_VOTES: usize = 64;

const CHECKSUM: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);

/// The reason why the stored high-water marks can't be used.
#[derive(Debug, Error)]
pub(super) enum VoteStoreError {
    /// The file exists but can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file's content is damaged: its checksum or its format is wrong.
    #[error("{}: {source}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: postcard::Error,
    },
}

/// Loads the high-water marks that an earlier incarnation of this voter stored; there are none
/// without a file.
///
/// # Errors
/// The file exists but can't be read, or is damaged. This manager must not vote then, because the
/// file may contain higher tokens than the voter would start with.
pub(super) fn load_votes(path: &Path) -> Result<TokenHighWaterMarks, VoteStoreError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Ok(TokenHighWaterMarks::default());
        }
        Err(source) => {
            let path = path.to_owned();
            return Err(VoteStoreError::Read { path, source });
        }
    };
    postcard::from_bytes_crc32(&bytes, CHECKSUM.digest()).map_err(|source| {
        let path = path.to_owned();
        VoteStoreError::Damaged { path, source }
    })
}

/// Replaces the file atomically: a reader finds either the old content or the new one.
pub(super) fn store_votes(path: &Path, high_water_marks: &TokenHighWaterMarks) -> io::Result<()> {
    let bytes = postcard::to_allocvec_crc32(high_water_marks, CHECKSUM.digest())
        .map_err(io::Error::other)?;
    let next = path.with_extension("next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(next, path)
}

/// A vote that waits until the high-water marks with its token are stored.
struct PendingVote {
    high_water_marks: TokenHighWaterMarks,
    datagram: Datagram,
}

/// The handle of the thread that stores votes. The thread ends when it is dropped.
pub(super) struct VoteStore {
    pending: Sender<PendingVote>,
}

impl VoteStore {
    /// Starts the thread that writes the file. The receiver returns the datagrams of the votes that
    /// were stored.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(super) fn start(path: PathBuf) -> io::Result<(VoteStore, Receiver<Datagram>)> {
        let (pending, pending_votes) = bounded::<PendingVote>(MAX_PENDING_VOTES);
        let (stored, stored_votes) = bounded::<Datagram>(MAX_PENDING_VOTES);
        let write_votes = move || {
            while let Ok(vote) = pending_votes.recv_blocking() {
                clock::read();
                // A vote that can't be stored is not sent, because after a restart this voter could
                // grant the same token to another holder.
                match store_votes(&path, &vote.high_water_marks) {
                    Ok(()) => drop(stored.try_send(vote.datagram)),
                    Err(error) => log!(
                        "lease: failed to store votes in {}: {error}",
                        path.display()
                    ),
                }
            }
        };
        std::thread::Builder::new()
            .name("votes".into())
            .spawn(write_votes)?;
        Ok((VoteStore { pending }, stored_votes))
    }

    /// Stores the high-water marks, then passes the datagram of the vote to the receiver. If the
    /// queue is full, the vote is dropped, as if the datagram were lost.
    pub(super) fn store_then_send(
        &self,
        high_water_marks: TokenHighWaterMarks,
        datagram: Datagram,
    ) {
        let vote = PendingVote {
            high_water_marks,
            datagram,
        };
        let _ = self.pending.try_send(vote);
    }
}
