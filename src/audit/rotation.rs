//! Rotation of the audit files: when a new file is opened, and which files are deleted.
use super::RecordPosition;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAX_SEGMENT_KB: u64 = 1 << 20;
const MIN_SEGMENTS: usize = 2;
const MAX_SEGMENTS: usize = 10_000;

/// `[audit]` of the operator's fleet file: limits on the files of one manager, over all its
/// incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The size limit of a file, in KiB. A batch that would exceed it is written to a new file.
    pub segment_kb: u64,
    /// The number of files that are kept, including the one that is being written.
    pub segments: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            segment_kb: 512,
            segments: 8,
        }
    }
}

/// Why [`Bounds`] are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BoundsError {
    /// The size of a file is out of range.
    #[error("fleet: audit: segment_kb has to be from 1 to {MAX_SEGMENT_KB}, not {segment_kb}")]
    SegmentSize {
        /// The configured size in KiB.
        segment_kb: u64,
    },
    /// The number of files is out of range.
    #[error(
        "fleet: audit: segments has to be from {MIN_SEGMENTS} to {MAX_SEGMENTS}, not {segments}"
    )]
    SegmentCount {
        /// The configured number of files.
        segments: usize,
    },
}

impl Bounds {
    /// Checks that both values are in range.
    ///
    /// # Errors
    /// A [`BoundsError`] with the value that is out of range.
    pub fn validate(&self) -> Result<(), BoundsError> {
        let segment_kb = self.segment_kb;
        if !(1..=MAX_SEGMENT_KB).contains(&segment_kb) {
            return Err(BoundsError::SegmentSize { segment_kb });
        }
        let segments = self.segments;
        if !(MIN_SEGMENTS..=MAX_SEGMENTS).contains(&segments) {
            return Err(BoundsError::SegmentCount { segments });
        }
        Ok(())
    }

    fn segment_bytes(&self) -> u64 {
        self.segment_kb * 1024
    }
}

/// Steps that are necessary before a batch is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RotationPlan {
    /// The file to open, named by its first record; `None` if the batch fits into the open file.
    pub open: Option<RecordPosition>,
    /// The files to delete.
    pub delete: Vec<RecordPosition>,
}

#[derive(Clone, Copy, Debug)]
struct OpenSegment {
    written_bytes: u64,
}

/// The files of a manager, named by the position of their first record.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    bounds: Bounds,
    /// All files, the oldest first.
    segments: Vec<RecordPosition>,
    /// The state of the last file, if this process has it open.
    open: Option<OpenSegment>,
}

impl Rotation {
    /// Creates the rotation with the existing files, which are those of earlier incarnations.
    pub fn new(bounds: Bounds, mut existing: Vec<RecordPosition>) -> Rotation {
        existing.sort_unstable();
        Rotation {
            bounds,
            segments: existing,
            open: None,
        }
    }

    /// Plans the write of a batch of `bytes` bytes that begins with the record at `first`.
    pub fn plan_write(&mut self, first: RecordPosition, bytes: u64) -> RotationPlan {
        let mut plan = RotationPlan::default();
        let max_bytes = self.bounds.segment_bytes();
        let fits =
            |open: &OpenSegment| open.written_bytes == 0 || open.written_bytes + bytes <= max_bytes;
        let mut open = match self.open.filter(fits) {
            Some(open) => open,
            None => {
                // A file with this name may already exist; it then has no record.
                if self.segments.last() != Some(&first) {
                    self.segments.push(first);
                }
                plan.open = Some(first);
                let excess = self.segments.len().saturating_sub(self.bounds.segments);
                plan.delete = self.segments.drain(..excess).collect();
                OpenSegment { written_bytes: 0 }
            }
        };
        open.written_bytes += bytes;
        self.open = Some(open);
        plan
    }

    /// Abandons the open file after a failed write: the next batch is written to a new one.
    pub fn abandon_open_segment(&mut self) {
        self.open = None;
    }
}
