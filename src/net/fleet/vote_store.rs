//! The file in which a voter keeps its token high-water marks over restarts, and the thread that
//! writes it: a vote under a new token is sent once the token is on disk.
use crate::clock;
use crate::lease::TokenHighWaterMarks;
use crate::lease::codec::Datagram;
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The most votes that wait to be stored. Further ones are dropped, as if their datagrams were
/// lost.
const MAX_PENDING_VOTES: usize = 64;

const CHECKSUM: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);

/// Why the stored high-water marks can't be used.
#[derive(Debug, Error)]
pub(super) enum VoteStoreError {
    /// The file is there but can't be read.
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

/// The high-water marks that an earlier incarnation of this voter stored; none if there is no
/// file.
///
/// # Errors
/// If the file is there but can't be read. This manager must not vote then: the file may have held
/// higher tokens than the voter would start with.
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

/// Replaces the file as a whole: a reader finds the old content or the new one.
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

/// The way to the thread that stores votes. The thread ends when this is dropped.
pub(super) struct VoteStore {
    pending: Sender<PendingVote>,
}

impl VoteStore {
    /// Starts the thread that writes the file. The datagrams of votes that were stored come out of
    /// the receiver.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub(super) fn start(path: PathBuf) -> io::Result<(VoteStore, Receiver<Datagram>)> {
        let (pending, pending_votes) = bounded::<PendingVote>(MAX_PENDING_VOTES);
        let (stored, stored_votes) = bounded::<Datagram>(MAX_PENDING_VOTES);
        let write_votes = move || {
            while let Ok(vote) = pending_votes.recv_blocking() {
                clock::turn();
                // A vote that can't be stored is not sent: after a restart this voter could give
                // the same token to another holder.
                match store_votes(&path, &vote.high_water_marks) {
                    Ok(()) => drop(stored.try_send(vote.datagram)),
                    Err(error) => log!(
                        "lease: votes can't be stored in {}: {error}",
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

    /// Stores the high-water marks, then releases the datagram of the vote. Without room the vote
    /// is dropped, as if the datagram were lost.
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
