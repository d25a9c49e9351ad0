//! The input buffer of a client connection's protocol.
use crate::clock::Micros;

/// The capacity that the buffer of an idle connection keeps, in bytes.
const IDLE_CAPACITY_BYTES: usize = 4 * 1024;

/// Bytes that a client sent and that are not parsed yet, with the time at which the incomplete
/// message among them started. The connection limits how long a message may stay incomplete.
#[derive(Default)]
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    message_started_at: Option<Micros>,
}

impl InputBuffer {
    /// A buffer that continues with the bytes of a message that started at `now`, if there are any.
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

    /// Removes the first `count` bytes, which are parsed.
    ///
    /// # Panics
    /// Fewer bytes are buffered.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Takes all bytes out, to parse them while the protocol's state changes.
    pub(super) fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Puts back bytes that were taken out.
    pub(super) fn restore_bytes(&mut self, bytes: Vec<u8>) {
        self.bytes = bytes;
    }

    /// Drops the incomplete message: its bytes, their memory and its start.
    pub(super) fn discard_message(&mut self) {
        *self = InputBuffer::default();
    }

    /// When the message that is still incomplete started, if there is one.
    pub(super) fn message_started_at(&self) -> Option<Micros> {
        self.message_started_at
    }

    /// Updates the start of the incomplete message after the parser consumed what it could.
    ///
    /// `completed` tells whether any message was completed by the last input, `incomplete` whether
    /// one is left incomplete. What follows a completed message arrived with it, at `now`.
    pub(super) fn update_message_start(&mut self, now: Micros, completed: bool, incomplete: bool) {
        let started_before = self.message_started_at.filter(|_| !completed);
        self.message_started_at = incomplete.then(|| started_before.unwrap_or(now));
        if self.bytes.is_empty() {
            self.bytes.shrink_to(IDLE_CAPACITY_BYTES);
        }
    }
}
