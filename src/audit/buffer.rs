//! Collects the audit records of one process in batches, which are written to files.
use super::{ActiveConfiguration, Decision, DecisionContext, DecisionKind, Entry};
use crate::clock::{MS, Micros};

/// Longest time from the first entry of a batch to its flush.
pub const FLUSH_INTERVAL_MICROS: Micros = 50 * MS;
/// Number of entries at which a batch is flushed at once.
const MAX_BATCH_ENTRIES: usize = 512;

/// A batch of entries that is written to a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The context of its first record.
    pub context: DecisionContext,
    /// The number of its first record.
    pub first_number: u64,
    /// Its entries, the earliest first.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Inserts a record at the start, which states how many records directly before this batch are
    /// lost.
    pub fn prepend_loss(&mut self, lost_records: u64, at: Micros) {
        if lost_records == 0 {
            return;
        }
        let kind = DecisionKind::Lost {
            count: lost_records,
        };
        let loss = Entry::plain_record(self.first_number - 1, at, kind);
        self.entries.insert(0, loss);
        self.first_number -= lost_records;
    }

    /// The number of records that are lost if this batch is dropped, including those that the batch
    /// itself reports as lost.
    pub fn record_count(&self) -> u64 {
        let count = |entry: &Entry| match entry {
            // This record takes the position of the last lost record.
            Entry::Record {
                kind: DecisionKind::Lost { count },
                ..
            } => *count,
            Entry::Record { .. } => 1,
            Entry::Context(_) => 0,
        };
        self.entries.iter().map(count).sum()
    }
}

/// The records of one process that are not yet passed on to be written.
pub struct AuditBuffer {
    context: DecisionContext,
    /// The context at the start of the batch.
    batch_context: DecisionContext,
    batch: Vec<Entry>,
    /// When the first entry of the batch was added.
    batch_started_at: Option<Micros>,
    last_number: u64,
    /// Number of records that were dropped and are not yet reported as lost.
    lost_records: u64,
}

impl AuditBuffer {
    /// Creates the buffer of a process that starts now. The first record is the activation of the
    /// configuration in `context`.
    pub fn new(context: DecisionContext) -> AuditBuffer {
        let now = context.active_since;
        let mut buffer = AuditBuffer {
            batch_context: context.clone(),
            context,
            batch: Vec::new(),
            batch_started_at: None,
            last_number: 0,
            lost_records: 0,
        };
        buffer.record_activation(now);
        buffer
    }

    /// Sets the configuration that the decision module acts on from now on, and records its
    /// activation if it differs from the previous one.
    pub fn set_configuration(&mut self, now: Micros, configuration: ActiveConfiguration) {
        if configuration != self.context.configuration {
            self.context.configuration = configuration;
            self.context.active_since = now;
            self.record_activation(now);
        }
    }

    fn record_activation(&mut self, now: Micros) {
        self.push(now, Entry::from(&self.context));
        self.last_number += 1;
        let kind = DecisionKind::ActivateConfiguration;
        self.push(now, Entry::plain_record(self.last_number, now, kind));
    }

    /// Adds the record of a decision.
    pub fn record(&mut self, now: Micros, decision: &Decision) {
        self.last_number += 1;
        let record = Entry::Record {
            number: self.last_number,
            at: now,
            kind: decision.kind.clone(),
            class: (&*decision.class).into(),
            request: (&*decision.request).into(),
        };
        self.push(now, record);
    }

    fn push(&mut self, now: Micros, entry: Entry) {
        if self.batch.is_empty() {
            self.batch_context = self.context.clone();
        }
        self.batch_started_at.get_or_insert(now);
        self.batch.push(entry);
    }

    /// When the batch has to be flushed; `None` if there is nothing to write.
    pub fn flush_due_at(&self) -> Option<Micros> {
        let started_at = self.batch_started_at?;
        if self.batch.len() >= MAX_BATCH_ENTRIES {
            Some(started_at)
        } else {
            Some(started_at + FLUSH_INTERVAL_MICROS)
        }
    }

    /// Takes the batch if its flush is due at `now`.
    pub fn flush(&mut self, now: Micros) -> Option<Batch> {
        self.flush_due_at().filter(|due_at| *due_at <= now)?;
        self.finish()
    }

    /// Takes the batch, whether it is due or not, as when the process exits.
    pub fn finish(&mut self) -> Option<Batch> {
        let started_at = self.batch_started_at.take()?;
        if self.batch.is_empty() {
            self.batch_context = self.context.clone();
        }
        let mut batch = Batch {
            context: self.batch_context.clone(),
            first_number: 0,
            entries: std::mem::take(&mut self.batch),
        };
        batch.first_number = self.last_number + 1 - batch.record_count();
        batch.prepend_loss(std::mem::take(&mut self.lost_records), started_at);
        Some(batch)
    }

    /// Records that a batch was dropped because the queue to the files was full. The next batch
    /// reports its records as lost; if there are no new entries, a batch is made for that alone.
    pub fn mark_lost(&mut self, now: Micros, batch: &Batch) {
        self.lost_records += batch.record_count();
        self.batch_started_at.get_or_insert(now);
    }
}
