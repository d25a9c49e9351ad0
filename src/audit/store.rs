//! The files of the audit: frames of postcard with a CRC, delimited by COBS, in files that are
//! turned over. Blocks; belongs to a thread of its own.
use super::{Batch, Bounds, DecisionContext, DecisionKind, Entry, RecordPosition, Rotation};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const CRC: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);
/// Records of a page at most.
pub const PAGE: usize = 1_000;

/// The files of one manager.
pub struct Store {
    folder: PathBuf,
    /// The beginning of the files' names.
    stem: String,
    rotation: Rotation,
    file: Option<File>,
    /// What the last records of that file were decided under.
    told: Option<DecisionContext>,
    /// What is told of batches that could not be kept, before the next one or in the end: how many
    /// records, and a batch of none that stands where the next one would.
    lost: Option<(u64, Batch)>,
}

/// A page of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// JSON, one [`Line`] a line.
    pub lines: String,
    /// Where the next page begins: after the last record of this one.
    pub next: RecordPosition,
    /// Whether there is more.
    pub more: bool,
    /// Frames that could not be read.
    pub spoilt: u64,
}

/// What a record says, as operators are told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase")]
pub enum AuditRecord {
    /// An attempt was ordered.
    Dispatch {
        /// Its number: 0 for the first.
        attempt: u16,
        /// The engine.
        engine: String,
    },
    /// A final answer: refused.
    Refuse {
        /// When to come back, in milliseconds.
        after_ms: u32,
    },
    /// A final answer: failed.
    Fail,
    /// The module acts on this from now on.
    Act,
    /// Records that were given up.
    Lost {
        /// How many, this number the last of them.
        count: u64,
    },
    /// The manager owns a duty from now on: its name stands as the request.
    Own {
        /// The lease's token.
        token: u64,
    },
    /// It does not any more.
    Disown {
        /// The lease's token.
        token: u64,
    },
}

impl From<&DecisionKind> for AuditRecord {
    fn from(what: &DecisionKind) -> AuditRecord {
        match what {
            DecisionKind::Dispatch(attempt, engine) => AuditRecord::Dispatch {
                attempt: *attempt,
                engine: format!("s-{engine:08x}"),
            },
            DecisionKind::Refuse(after_ms) => AuditRecord::Refuse {
                after_ms: *after_ms,
            },
            DecisionKind::Fail => AuditRecord::Fail,
            DecisionKind::Act => AuditRecord::Act,
            DecisionKind::Lost(count) => AuditRecord::Lost { count: *count },
            DecisionKind::Own(token) => AuditRecord::Own { token: *token },
            DecisionKind::Disown(token) => AuditRecord::Disown { token: *token },
        }
    }
}

/// A line of `GET /audit`: a record, whole by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Who, and on what.
    #[serde(flatten)]
    pub under: DecisionContext,
    /// Its number in this life.
    pub number: u64,
    /// When, in microseconds of Unix time.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub told: AuditRecord,
    /// The class, if it is of one.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub class: Box<str>,
    /// The request, if it is of one.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub request: Box<str>,
}

/// The last line of a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageEnd {
    /// Where the next page begins.
    pub next: String,
    /// Whether there is more now.
    pub more: bool,
    /// Frames of the files that could not be read.
    pub spoilt: u64,
}

impl Page {
    /// The page as it is answered: its last line tells where the next one begins.
    pub fn text(&self) -> String {
        let end = PageEnd {
            next: self.next.to_string(),
            more: self.more,
            spoilt: self.spoilt,
        };
        format!(
            "{}{}\n",
            self.lines,
            serde_json::to_string(&end).unwrap_or_default()
        )
    }
}

/// One entry as a frame, its delimiter included.
pub fn frame(entry: &Entry) -> Vec<u8> {
    // An entry always serializes.
    let plain = postcard::to_allocvec_crc32(entry, CRC.digest()).unwrap_or_default();
    let mut out = cobs::encode_vec(&plain);
    out.push(0);
    out
}

/// The entries of a file, and how many frames were spoilt. A frame without its delimiter is one
/// that is being written, or was when the process died: it is not counted.
pub fn entries(bytes: &[u8]) -> (Vec<Entry>, u64) {
    let (mut all, mut spoilt) = (Vec::new(), 0);
    let whole = bytes
        .iter()
        .rposition(|b| *b == 0)
        .map_or(0, |last| last + 1);
    for piece in bytes[..whole]
        .split(|b| *b == 0)
        .filter(|piece| !piece.is_empty())
    {
        let plain = cobs::decode_vec(piece).ok();
        match plain.and_then(|plain| postcard::from_bytes_crc32(&plain, CRC.digest()).ok()) {
            Some(entry) => all.push(entry),
            None => spoilt += 1,
        }
    }
    (all, spoilt)
}

impl Store {
    /// The files of that manager in that folder, with those of its earlier lives.
    pub fn open(folder: &Path, member: &str, bounds: Bounds) -> io::Result<Store> {
        let plain = |c: char| {
            if c.is_ascii_alphanumeric() || "-_.".contains(c) {
                c
            } else {
                '_'
            }
        };
        let stem = format!(
            "yokelift-audit-{}-",
            member.chars().map(plain).collect::<String>()
        );
        let rotation = Rotation::new(bounds, files(folder, &stem)?);
        Ok(Store {
            folder: folder.to_owned(),
            stem,
            rotation,
            file: None,
            told: None,
            lost: None,
        })
    }

    fn path(&self, place: RecordPosition) -> PathBuf {
        self.folder.join(format!(
            "{}{:020}-{:020}.seg",
            self.stem, place.life, place.number
        ))
    }

    /// Keeps a batch. After an error it counts as lost, which the next one tells, in another file.
    pub fn append(&mut self, mut batch: Batch) -> io::Result<()> {
        let at = batch.under.since;
        if let Some((lost, _)) = self.lost.take() {
            batch.after(lost, at);
        }
        let mut frames: Vec<u8> = batch.entries.iter().flat_map(frame).collect();
        let first = RecordPosition {
            life: batch.under.life,
            number: batch.first,
        };
        let turn = self.rotation.before(first, frames.len() as u64);
        for gone in turn.deletes {
            let _ = std::fs::remove_file(self.path(gone));
        }
        if turn.opens.is_some() {
            (self.file, self.told) = (None, None);
        }
        if self.told.as_ref() != Some(&batch.under) {
            frames.splice(0..0, frame(&Entry::from(&batch.under)));
        }
        let last = batch.entries.iter().rev().find_map(|entry| match entry {
            Entry::Under(under) => Some(DecisionContext::from((**under).clone())),
            Entry::Record { .. } => None,
        });
        let done = self.write(turn.opens, &frames);
        match &done {
            Ok(()) => self.told = Some(last.unwrap_or(batch.under)),
            Err(_) => {
                let under = last.unwrap_or(batch.under.clone());
                let next = Batch {
                    under,
                    first: batch.first + batch.records(),
                    entries: Vec::new(),
                };
                self.lost = Some((batch.records(), next));
                (self.file, self.told) = (None, None);
                self.rotation.broke();
            }
        }
        done
    }

    /// No batch follows: tells what is not told yet of those that could not be kept.
    pub fn settle(&mut self) -> io::Result<()> {
        match self.lost.clone() {
            Some((_, next)) => self.append(next),
            None => Ok(()),
        }
    }

    fn write(&mut self, opens: Option<RecordPosition>, frames: &[u8]) -> io::Result<()> {
        if let Some(place) = opens {
            let mut file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(place))?;
            // Ends what may have broken off in a file of that name.
            file.write_all(&[0])?;
            self.file = Some(file);
        }
        let file = self
            .file
            .as_mut()
            .ok_or_else(|| io::Error::other("no file of the audit is open"))?;
        file.write_all(frames)
    }

    /// The records after that place, at most so many.
    pub fn read(&self, since: RecordPosition, most: usize) -> io::Result<Page> {
        let mut page = Page {
            next: since,
            ..Page::default()
        };
        let all = files(&self.folder, &self.stem)?;
        let mut count = 0;
        for (at, place) in all.iter().enumerate() {
            // All of a file is known if the next one of its life begins at or before what comes
            // next.
            let after = all
                .get(at + 1)
                .filter(|next| next.life == since.life && place.life == since.life);
            if place.life < since.life || after.is_some_and(|next| next.number <= since.number + 1)
            {
                continue;
            }
            // One that goes meanwhile is as one that was gone before.
            let Ok(bytes) = std::fs::read(self.path(*place)) else {
                continue;
            };
            let (entries, spoilt) = entries(&bytes);
            page.spoilt += spoilt;
            let mut under = DecisionContext::default();
            for entry in entries {
                let (number, at, what, class, request) = match entry {
                    Entry::Under(next) => {
                        under = DecisionContext::from(*next);
                        continue;
                    }
                    Entry::Record {
                        number,
                        at,
                        what,
                        class,
                        request,
                    } => (number, at, what, class, request),
                };
                let here = RecordPosition {
                    life: under.life,
                    number,
                };
                if here <= page.next {
                    continue;
                }
                if count >= most {
                    page.more = true;
                    return Ok(page);
                }
                let under = under.clone();
                let line = Line {
                    under,
                    number,
                    at,
                    told: AuditRecord::from(&what),
                    class,
                    request,
                };
                page.lines
                    .push_str(&serde_json::to_string(&line).unwrap_or_default());
                page.lines.push('\n');
                (page.next, count) = (here, count + 1);
            }
        }
        Ok(page)
    }
}

/// The files there are, the oldest first.
fn files(folder: &Path, stem: &str) -> io::Result<Vec<RecordPosition>> {
    let mut all = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let name = file?.file_name();
        let place = name
            .to_str()
            .and_then(|n| n.strip_prefix(stem)?.strip_suffix(".seg")?.split_once('-'));
        let place =
            place.and_then(|(life, number)| Some((life.parse().ok()?, number.parse().ok()?)));
        all.extend(place.map(|(life, number)| RecordPosition { life, number }));
    }
    all.sort_unstable();
    Ok(all)
}
