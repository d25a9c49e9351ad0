//! The bytes queued to be written to a connection, in segments that are marked with the attempt
//! they belong to.
use crate::policy::api::RequestId;
use std::collections::VecDeque;

/// The number of bytes at the end of an attempt's command that are held back, see
/// [`SegmentKind::AttemptTail`].
const TAIL_BYTES: usize = 3;

/// The content of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SegmentKind {
    /// The whole command that starts an attempt.
    Attempt(RequestId),
    /// That command without its last bytes, which follow in a [`SegmentKind::AttemptTail`].
    AttemptHead(RequestId),
    /// The last bytes of a command, written only after a delay.
    AttemptTail(RequestId),
    /// A command that neither starts nor completes an attempt.
    Control,
}

impl SegmentKind {
    fn attempt(self) -> Option<RequestId> {
        match self {
            SegmentKind::Attempt(id)
            | SegmentKind::AttemptHead(id)
            | SegmentKind::AttemptTail(id) => Some(id),
            SegmentKind::Control => None,
        }
    }
}

struct Segment {
    kind: SegmentKind,
    bytes: Vec<u8>,
    written: usize,
}

/// Result of a write to the front segment.
pub(super) struct WriteProgress {
    /// The kind of the segment.
    pub(super) kind: SegmentKind,
    /// Whether the last byte of the segment was written.
    pub(super) complete: bool,
}

/// The output of one connection, in the order in which it is written.
#[derive(Default)]
pub(super) struct OutputQueue {
    segments: VecDeque<Segment>,
}

impl OutputQueue {
    /// Queues the command that starts an attempt. With `hold_tail` its last bytes form a separate
    /// segment, [`SegmentKind::AttemptTail`].
    pub(super) fn push_attempt(&mut self, id: RequestId, mut command: Vec<u8>, hold_tail: bool) {
        let tail_length = if hold_tail {
            TAIL_BYTES.min(command.len().saturating_sub(1))
        } else {
            0
        };
        if tail_length == 0 {
            self.push(SegmentKind::Attempt(id), command);
            return;
        }
        let tail = command.split_off(command.len() - tail_length);
        self.push(SegmentKind::AttemptHead(id), command);
        self.push(SegmentKind::AttemptTail(id), tail);
    }

    /// Queues a command that neither starts nor completes an attempt.
    pub(super) fn push_control(&mut self, command: Vec<u8>) {
        self.push(SegmentKind::Control, command);
    }

    fn push(&mut self, kind: SegmentKind, bytes: Vec<u8>) {
        self.segments.push_back(Segment {
            kind,
            bytes,
            written: 0,
        });
    }

    /// Whether a part of the command that starts an attempt is not written.
    pub(super) fn contains_attempt(&self, id: RequestId) -> bool {
        self.segments
            .iter()
            .any(|segment| segment.kind.attempt() == Some(id))
    }

    /// Removes what is not written of the command that starts an attempt. Once its first byte is
    /// written, nothing may be written to the connection after that.
    pub(super) fn remove_attempt(&mut self, id: RequestId) {
        self.segments
            .retain(|segment| segment.kind.attempt() != Some(id));
    }

    pub(super) fn clear(&mut self) {
        self.segments.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// The attempt whose first byte is the next one to be written.
    pub(super) fn next_attempt_start(&self) -> Option<RequestId> {
        let segment = self.segments.front()?;
        match segment.kind {
            SegmentKind::Attempt(id) | SegmentKind::AttemptHead(id) if segment.written == 0 => {
                Some(id)
            }
            _ => None,
        }
    }

    /// The kind of the next segment and its bytes that are not written yet.
    pub(super) fn front(&self) -> Option<(SegmentKind, &[u8])> {
        let segment = self.segments.front()?;
        Some((segment.kind, &segment.bytes[segment.written..]))
    }

    /// Records that `count` bytes of the front segment were written. `None` if nothing is queued.
    pub(super) fn advance(&mut self, count: usize) -> Option<WriteProgress> {
        let segment = self.segments.front_mut()?;
        segment.written += count;
        let progress = WriteProgress {
            kind: segment.kind,
            complete: segment.written >= segment.bytes.len(),
        };
        if progress.complete {
            self.segments.pop_front();
        }
        Some(progress)
    }
}
