//! The buffers of a client connection, counted against the process-wide memory limits.
use crate::frontend::{Frontend, FrontendEvent};
use crate::idle_buffer::free_grown_buffer;
use crate::net::ByteQuota;

/// Deferred bytes that the frontend parses at a time.
pub(super) const DEFERRED_CHUNK_BYTES: usize = 4 * 1024;
/// Deferred bytes that are searched for cancellations. The search is repeated after each request that
/// is parsed, so it must not grow with all that a client sends.
const MAX_SEARCHED_BYTES: usize = 64 * 1024;

/// Output for the client that is not yet written to the socket.
pub(super) struct OutputBuffer<'a> {
    /// All bytes; the frontend appends to them.
    pub(super) bytes: Vec<u8>,
    written: usize,
    /// Counts the unwritten bytes against the limit over all connections, which limits the memory
    /// that many clients can occupy by not reading their responses.
    quota: ByteQuota<'a>,
}

impl<'a> OutputBuffer<'a> {
    pub(super) fn new(bytes: Vec<u8>, quota: ByteQuota<'a>) -> OutputBuffer<'a> {
        OutputBuffer {
            bytes,
            written: 0,
            quota,
        }
    }

    /// The bytes that are not written yet.
    pub(super) fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Records that `count` more bytes were written to the socket.
    pub(super) fn mark_written(&mut self, count: usize) {
        self.written += count;
        if self.written == self.bytes.len() {
            self.bytes.clear();
            free_grown_buffer(&mut self.bytes);
            self.written = 0;
        }
    }

    /// Counts the pending bytes against the quota, and returns their number.
    pub(super) fn update_quota(&mut self) -> usize {
        let pending = self.pending().len();
        self.quota.set(pending);
        pending
    }
}

/// Input that was received while the client is throttled, or while it does not read its responses.
/// The frontend parses it later, but cancellations in it take effect at once, and so does the
/// client's end of stream after it.
///
/// The offset of the search for cancellations is at the start of a line and never beyond the end of
/// the bytes: removing a chunk reduces it by the length of the chunk, to no less than 0.
#[derive(Default)]
pub(super) struct DeferredInput {
    /// The deferred bytes, after `taken` bytes that were removed.
    bytes: Vec<u8>,
    taken: usize,
    /// The offset up to which the deferred bytes were searched for cancellations.
    searched: usize,
}

impl DeferredInput {
    fn pending(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len() - self.taken
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    pub(super) fn append(&mut self, input: &[u8]) {
        self.bytes.extend_from_slice(input);
    }

    /// Removes and returns the first chunk, which is to be parsed now.
    pub(super) fn take_chunk(&mut self) -> Vec<u8> {
        let length = self.len().min(DEFERRED_CHUNK_BYTES);
        let chunk = self.pending()[..length].to_vec();
        self.taken += length;
        self.searched = self.searched.saturating_sub(length);
        self.compact();
        chunk
    }

    /// Frees the removed bytes once they are at least half of all, so that each byte is moved at
    /// most once on average.
    fn compact(&mut self) {
        if 2 * self.taken >= self.bytes.len() {
            self.bytes.drain(..self.taken);
            self.taken = 0;
            free_grown_buffer(&mut self.bytes);
        }
    }

    /// Makes the next search begin at the first byte. Required after a request was parsed, as its
    /// cancellation may be in the deferred input.
    pub(super) fn restart_search(&mut self) {
        self.searched = 0;
    }

    /// Has the frontend search the first [`MAX_SEARCHED_BYTES`] from the offset on for cancellations,
    /// and advances the offset.
    pub(super) fn search(&mut self, frontend: &mut impl Frontend, events: &mut Vec<FrontendEvent>) {
        let length = self.len().min(MAX_SEARCHED_BYTES);
        if self.searched < length {
            let bytes = &self.bytes[self.taken..][..length];
            let searched = frontend.scan_deferred_input(bytes, self.searched, events);
            self.searched = searched.min(length);
        }
    }
}
