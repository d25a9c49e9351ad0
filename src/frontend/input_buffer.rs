//! The input buffer of a client connection.
use crate::clock::Micros;
use crate::idle_buffer::free_grown_buffer;

/// Received bytes that are not parsed yet, and the time at which the incomplete message among them
/// started. The connection limits how long a message may stay incomplete.
#[derive(Default)]
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    message_started_at: Option<Micros>,
}

impl InputBuffer {
    /// A buffer with the bytes of an incomplete message, whose start is set to `now`. `bytes` may
    /// be empty.
    pub(super) fn resume(bytes: Vec<u8>, now: Micros) -> InputBuffer {
        InputBuffer {
            message_started_at: (!bytes.is_empty()).then_some(now),
            bytes,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn extend(&mut self, input: &[u8]) {
        self.bytes.extend_from_slice(input);
    }

    /// Removes the first `count` bytes, which have been parsed.
    ///
    /// # Panics
    /// If fewer than `count` bytes are buffered.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Takes all bytes out of the buffer, so that they can be parsed while the protocol's state
    /// changes.
    pub(super) fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Puts bytes back that [`InputBuffer::take_bytes`] returned.
    pub(super) fn restore_bytes(&mut self, bytes: Vec<u8>) {
        self.bytes = bytes;
    }

    /// Discards the incomplete message, frees its memory, and clears its start time.
    pub(super) fn discard_message(&mut self) {
        *self = InputBuffer::default();
    }

    /// When the incomplete message started; `None` if no message is incomplete.
    pub(super) fn message_started_at(&self) -> Option<Micros> {
        self.message_started_at
    }

    /// Updates the start time of the incomplete message after the parser has consumed all
    /// input that it can parse.
    ///
    /// `completed` states whether the last input completed a message, `incomplete` whether a
    /// message is left incomplete. The bytes after a completed message arrived with it, at `now`.
    pub(super) fn update_message_start(&mut self, now: Micros, completed: bool, incomplete: bool) {
        let started_before = self.message_started_at.filter(|_| !completed);
        self.message_started_at = incomplete.then(|| started_before.unwrap_or(now));
        free_grown_buffer(&mut self.bytes);
    }
}
