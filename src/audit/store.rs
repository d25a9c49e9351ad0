//! The audit files of one manager. The calls block on the disk, so they belong on a separate
//! thread.
use super::page::PageBuilder;
use super::segment::{DELIMITER, encode_frame};
use super::{Batch, Bounds, DecisionContext, Entry, Page, RecordPosition, Rotation};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The suffix of the file names.
const SUFFIX: &str = ".seg";

/// A batch that could not be written and is reported as lost before the next one.
#[derive(Clone)]
struct LostBatch {
    records: u64,
    /// An empty batch at the position after the lost records.
    following_batch: Batch,
}

/// The audit files of one manager.
pub struct Store {
    folder: PathBuf,
    /// The prefix of the file names.
    stem: String,
    rotation: Rotation,
    file: Option<File>,
    /// The context of the last record in the open file.
    file_context: Option<DecisionContext>,
    lost: Option<LostBatch>,
}

impl Store {
    /// Opens the files of a manager in a folder, including those of its earlier incarnations.
    ///
    /// # Errors
    /// If the folder can't be read.
    pub fn open(folder: &Path, member: &str, bounds: Bounds) -> io::Result<Store> {
        let stem = format!("yokelift-audit-{}-", safe_file_name(member));
        let rotation = Rotation::new(bounds, list_segments(folder, &stem)?);
        Ok(Store {
            folder: folder.to_owned(),
            stem,
            rotation,
            file: None,
            file_context: None,
            lost: None,
        })
    }

    fn path(&self, first: RecordPosition) -> PathBuf {
        let RecordPosition {
            incarnation,
            number,
        } = first;
        let stem = &self.stem;
        self.folder
            .join(format!("{stem}{incarnation:020}-{number:020}{SUFFIX}"))
    }

    /// Writes a batch. After an error the batch counts as lost. The next batch reports that, and is
    /// written to a new file.
    ///
    /// # Errors
    /// If the file can't be opened or written.
    pub fn append(&mut self, mut batch: Batch) -> io::Result<()> {
        if let Some(lost) = self.lost.take() {
            let at = batch.context.active_since;
            batch.prepend_loss(lost.records, at);
        }
        let written = self.write_batch(&batch);
        let last_context = last_context(&batch);
        match &written {
            Ok(()) => self.file_context = Some(last_context),
            Err(_) => self.abandon_batch(&batch, last_context),
        }
        written
    }

    fn write_batch(&mut self, batch: &Batch) -> io::Result<()> {
        let mut frames: Vec<u8> = batch.entries.iter().flat_map(encode_frame).collect();
        let first = RecordPosition {
            incarnation: batch.context.incarnation,
            number: batch.first_number,
        };
        let plan = self.rotation.plan_write(first, frames.len() as u64);
        for segment in plan.delete {
            let _ = std::fs::remove_file(self.path(segment));
        }
        if let Some(first) = plan.open {
            self.file = None;
            self.file_context = None;
            self.file = Some(self.open_segment(first)?);
        }
        if self.file_context.as_ref() != Some(&batch.context) {
            frames.splice(0..0, encode_frame(&Entry::from(&batch.context)));
        }
        let file = self.file.as_mut();
        file.ok_or_else(|| io::Error::other("no audit file is open"))?
            .write_all(&frames)
    }

    fn open_segment(&self, first: RecordPosition) -> io::Result<File> {
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(first))?;
        // Ends a frame that may be incomplete, if a file with this name exists.
        file.write_all(&[DELIMITER])?;
        Ok(file)
    }

    fn abandon_batch(&mut self, batch: &Batch, last_context: DecisionContext) {
        let records = batch.record_count();
        let following_batch = Batch {
            context: last_context,
            first_number: batch.first_number + records,
            entries: Vec::new(),
        };
        self.lost = Some(LostBatch {
            records,
            following_batch,
        });
        self.file = None;
        self.file_context = None;
        self.rotation.abandon_open_segment();
    }

    /// Writes the report on lost records that is still pending, when no batch follows.
    ///
    /// # Errors
    /// If the file can't be opened or written.
    pub fn report_lost_records(&mut self) -> io::Result<()> {
        match self.lost.clone() {
            Some(lost) => self.append(lost.following_batch),
            None => Ok(()),
        }
    }

    /// Reads the records after that position, at most `max_records`.
    ///
    /// # Errors
    /// If the folder can't be read.
    pub fn read(&self, after: RecordPosition, max_records: usize) -> io::Result<Page> {
        let segments = list_segments(&self.folder, &self.stem)?;
        let mut page = PageBuilder::new(after, max_records);
        for (index, segment) in segments.iter().enumerate() {
            if has_no_record_after(*segment, segments.get(index + 1), after) {
                continue;
            }
            // The file may have been deleted since the folder was listed.
            let Ok(bytes) = std::fs::read(self.path(*segment)) else {
                continue;
            };
            page.add_segment(&bytes);
            if page.is_full() {
                break;
            }
        }
        Ok(page.finish())
    }
}

/// The context of the last entry of a batch.
fn last_context(batch: &Batch) -> DecisionContext {
    let last = batch.entries.iter().rev().find_map(|entry| match entry {
        Entry::Context(context) => Some(DecisionContext::from((**context).clone())),
        Entry::Record { .. } => None,
    });
    last.unwrap_or_else(|| batch.context.clone())
}

/// Whether a file has no record after that position: the file is of an earlier incarnation, or the
/// next file of the same incarnation begins at or before the next record.
fn has_no_record_after(
    segment: RecordPosition,
    next_segment: Option<&RecordPosition>,
    after: RecordPosition,
) -> bool {
    if segment.incarnation != after.incarnation {
        return segment.incarnation < after.incarnation;
    }
    next_segment.is_some_and(|next| {
        next.incarnation == after.incarnation && next.number <= after.number + 1
    })
}

/// Replaces the characters of a manager's name that are not safe in a file name.
fn safe_file_name(member: &str) -> String {
    let is_safe = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    member
        .chars()
        .map(|letter| if is_safe(letter) { letter } else { '_' })
        .collect()
}

/// The audit files in a folder whose names begin with `stem`, the oldest first.
fn list_segments(folder: &Path, stem: &str) -> io::Result<Vec<RecordPosition>> {
    let mut segments = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let name = file?.file_name();
        segments.extend(name.to_str().and_then(|name| parse_file_name(name, stem)));
    }
    segments.sort_unstable();
    Ok(segments)
}

fn parse_file_name(name: &str, stem: &str) -> Option<RecordPosition> {
    let position = name.strip_prefix(stem)?.strip_suffix(SUFFIX)?;
    let (incarnation, number) = position.split_once('-')?;
    Some(RecordPosition {
        incarnation: incarnation.parse().ok()?,
        number: number.parse().ok()?,
    })
}
