//! The audit: what this manager decided, and under which build, settings and list. Pure: decisions
//! in with their time, batches of entries out; [`store`] keeps them in files, and `net::audit`
//! carries them there.
pub mod report;
pub mod store;

use crate::clock::{MS, Micros};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// A batch goes out this long after its first entry at the latest.
pub const FLUSH_EVERY: Micros = 50 * MS;
/// A batch of so many entries goes out at once.
const BATCH: usize = 512;

/// What the module acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfiguration {
    /// The number of the settings generation, counted by each process from 1.
    pub generation: u64,
    /// A hash of its settings, equal on managers with equal settings.
    pub settings: u64,
    /// The last event of the endpoint list.
    pub list: u64,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionKind {
    /// An attempt was ordered: its number, and the engine.
    Dispatch(u16, u64),
    /// A final answer: refused, with the milliseconds after which to come back.
    Refuse(u32),
    /// A final answer: failed.
    Fail,
    /// The module acts on something else from now on, or for the first time.
    Act,
    /// So many records, this one the last of them, were given up.
    Lost(u64),
    /// The manager owns the duty that stands in the place of the request, under this token.
    Own(u64),
    /// It does not any more.
    Disown(u64),
}

/// A decision as the core made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What.
    pub what: DecisionKind,
    /// The name of its class.
    pub class: Rc<str>,
    /// The client's name for the request; empty where a front turned it away unread.
    pub request: Rc<str>,
}

/// Who decided, and on what: stands at the start of each file, and before the first record after
/// any change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionContext {
    /// The manager's name.
    pub member: String,
    /// The start of its process: the microsecond in Unix time.
    pub life: u64,
    /// Its build.
    pub build: String,
    /// What its module acted on.
    #[serde(flatten)]
    pub acting: ActiveConfiguration,
    /// Since when it did.
    pub since: Micros,
}

/// One entry of the files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// What the records after it were decided under.
    Under(Box<EntryUnder>),
    /// A decision, its number and its time.
    Record {
        /// Its number in this life.
        number: u64,
        /// When.
        at: Micros,
        /// What.
        what: DecisionKind,
        /// The class.
        class: Box<str>,
        /// The request.
        request: Box<str>,
    },
}

impl Entry {
    fn record(number: u64, at: Micros, what: DecisionKind, class: &str, request: &str) -> Entry {
        Entry::Record {
            number,
            at,
            what,
            class: class.into(),
            request: request.into(),
        }
    }
}

/// [`DecisionContext`] as the files have it: the codec knows no flattened fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUnder {
    member: String,
    life: u64,
    build: String,
    acting: ActiveConfiguration,
    since: Micros,
}

impl From<&DecisionContext> for Entry {
    fn from(u: &DecisionContext) -> Entry {
        let (member, build) = (u.member.clone(), u.build.clone());
        Entry::Under(Box::new(EntryUnder {
            member,
            life: u.life,
            build,
            acting: u.acting,
            since: u.since,
        }))
    }
}

impl From<EntryUnder> for DecisionContext {
    fn from(e: EntryUnder) -> DecisionContext {
        DecisionContext {
            member: e.member,
            life: e.life,
            build: e.build,
            acting: e.acting,
            since: e.since,
        }
    }
}

/// A record's place among all of a manager: `LIFE.NUMBER`. A place before all is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordPosition {
    /// The life.
    pub life: u64,
    /// The number in it.
    pub number: u64,
}

impl fmt::Display for RecordPosition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.life, self.number)
    }
}

impl FromStr for RecordPosition {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<RecordPosition, Self::Err> {
        let (life, number) = text.split_once('.').unwrap_or((text, "0"));
        Ok(RecordPosition {
            life: life.parse()?,
            number: number.parse()?,
        })
    }
}

/// A batch for the files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// What its first record was decided under.
    pub under: DecisionContext,
    /// The number of its first record.
    pub first: u64,
    /// Its entries, the earliest first.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// So many records just before this batch were given up: its first record says so.
    pub fn after(&mut self, lost: u64, at: Micros) {
        if lost > 0 {
            self.entries.insert(
                0,
                Entry::record(self.first - 1, at, DecisionKind::Lost(lost), "", ""),
            );
            self.first -= lost;
        }
    }

    /// The records that are gone if this batch is, those that it tells as lost among them.
    pub fn records(&self) -> u64 {
        let told = |entry: &Entry| match entry {
            // The record of a loss stands at the place of the last one lost.
            Entry::Record {
                what: DecisionKind::Lost(count),
                ..
            } => *count,
            Entry::Record { .. } => 1,
            Entry::Under(_) => 0,
        };
        self.entries.iter().map(told).sum()
    }
}

/// The decisions of one process on their way to the files.
pub struct AuditBuffer {
    under: DecisionContext,
    /// What the first record of the batch was decided under.
    batch_under: DecisionContext,
    batch: Vec<Entry>,
    /// When the batch's first entry came.
    begun: Option<Micros>,
    /// The number of the last record.
    number: u64,
    /// Records that were given up, to be told with the next batch.
    lost: u64,
}

impl AuditBuffer {
    /// The trail of a process that begins now. That it began is told at once, before any decision.
    pub fn new(under: DecisionContext) -> AuditBuffer {
        let now = under.since;
        let mut trail = AuditBuffer {
            batch_under: under.clone(),
            under,
            batch: Vec::new(),
            begun: None,
            number: 0,
            lost: 0,
        };
        trail.act(now);
        trail
    }

    /// The module acts on this from now on.
    pub fn acts_on(&mut self, now: Micros, acting: ActiveConfiguration) {
        if acting != self.under.acting {
            (self.under.acting, self.under.since) = (acting, now);
            self.act(now);
        }
    }

    fn act(&mut self, now: Micros) {
        self.push(now, Entry::from(&self.under));
        self.number += 1;
        self.push(
            now,
            Entry::record(self.number, now, DecisionKind::Act, "", ""),
        );
    }

    /// A decision was made.
    pub fn note(&mut self, now: Micros, decision: &Decision) {
        self.number += 1;
        let Decision {
            what,
            class,
            request,
        } = decision;
        self.push(
            now,
            Entry::record(self.number, now, what.clone(), class, request),
        );
    }

    fn push(&mut self, now: Micros, entry: Entry) {
        if self.batch.is_empty() {
            self.batch_under = self.under.clone();
        }
        self.begun = self.begun.or(Some(now));
        self.batch.push(entry);
    }

    /// When a batch is due, if any entry waits.
    pub fn due(&self) -> Option<Micros> {
        self.begun.map(|at| {
            if self.batch.len() >= BATCH {
                at
            } else {
                at + FLUSH_EVERY
            }
        })
    }

    /// The batch, if it is due.
    pub fn flush(&mut self, now: Micros) -> Option<Batch> {
        self.due().filter(|at| *at <= now)?;
        self.finish()
    }

    /// The batch, due or not: the process ends.
    pub fn finish(&mut self) -> Option<Batch> {
        let begun = self.begun.take()?;
        if self.batch.is_empty() {
            self.batch_under = self.under.clone();
        }
        let (under, entries) = (self.batch_under.clone(), std::mem::take(&mut self.batch));
        let mut batch = Batch {
            under,
            first: 0,
            entries,
        };
        batch.first = self.number + 1 - batch.records();
        batch.after(std::mem::take(&mut self.lost), begun);
        Some(batch)
    }

    /// A batch found no room: its records are given up, and the next batch says so, if only that.
    pub fn gave_up(&mut self, now: Micros, batch: &Batch) {
        self.lost += batch.records();
        self.begun = self.begun.or(Some(now));
    }

    /// The number of the last record, and how many were given up and not told yet.
    pub fn counts(&self) -> (u64, u64) {
        (self.number, self.lost)
    }
}

/// The bounds on the files of one manager, over all its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// A file is closed once it holds so much.
    pub segment_kb: u64,
    /// So many files are kept, the one that is written among them.
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

impl Bounds {
    /// Whether the bounds can be kept.
    pub fn check(&self) -> Result<(), String> {
        if self.segment_kb == 0
            || self.segment_kb > 1 << 20
            || self.segments < 2
            || self.segments > 10_000
        {
            return Err(
                "fleet: audit: segment_kb from 1 to 1048576, segments from 2 to 10000".into(),
            );
        }
        Ok(())
    }
}

/// What the files are to become before a batch is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RotationPlan {
    /// A new file begins with this place.
    pub opens: Option<RecordPosition>,
    /// These go.
    pub deletes: Vec<RecordPosition>,
}

/// Which files of a manager there are, by the place of their first record, and which are to go.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    bounds: Bounds,
    /// All files, the oldest first, and whether the last one is written by this process, with its
    /// bytes.
    files: Vec<RecordPosition>,
    open: Option<(RecordPosition, u64)>,
}

impl Rotation {
    /// With these files there, of earlier lives.
    pub fn new(bounds: Bounds, mut there: Vec<RecordPosition>) -> Rotation {
        there.sort_unstable();
        Rotation {
            bounds,
            files: there,
            open: None,
        }
    }

    /// Before a batch of so many bytes that begins with that place.
    pub fn before(&mut self, first: RecordPosition, bytes: u64) -> RotationPlan {
        let mut turn = RotationPlan::default();
        let full = |held: u64| held > 0 && held + bytes > self.bounds.segment_kb * 1024;
        if self.open.is_none_or(|(_, held)| full(held)) {
            // Guards a name that is in use: the last file may have begun with the same place, and
            // hold no record.
            if self.files.last() != Some(&first) {
                self.files.push(first);
            }
            self.open = Some((first, 0));
            turn.opens = Some(first);
            let over = self.files.len().saturating_sub(self.bounds.segments);
            turn.deletes = self.files.drain(..over).collect();
        }
        if let Some((_, held)) = &mut self.open {
            *held += bytes;
        }
        turn
    }

    /// The open file can't be written any more: the next batch begins another one.
    pub fn broke(&mut self) {
        self.open = None;
    }

    /// The file that is written.
    pub fn open(&self) -> Option<RecordPosition> {
        self.open.map(|(place, _)| place)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/audit.rs"]
mod tests;
