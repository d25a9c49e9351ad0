//! Collects the records of one process in batches for the files.
use super::{ActiveConfiguration, Decision, DecisionContext, DecisionKind, Entry};
use crate::clock::{MS, Micros};

/// A batch is flushed this long after its first entry at the latest.
pub const FLUSH_INTERVAL_MICROS: Micros = 50 * MS;
/// A batch with this many entries is flushed at once.
const MAX_BATCH_ENTRIES: usize = 512;

/// A batch of entries for the files.
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
    /// Puts a record first that says how many records just before this batch are lost.
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

    /// How many records are lost if this batch is, with those that it reports as lost itself.
    pub fn record_count(&self) -> u64 {
        let count = |entry: &Entry| match entry {
            // It stands at the position of the last lost record.
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

/// The records of one process on their way to the files.
pub struct AuditBuffer {
    context: DecisionContext,
    /// The context of the first record of the batch.
    batch_context: DecisionContext,
    batch: Vec<Entry>,
    /// When the first entry of the batch was added.
    batch_started_at: Option<Micros>,
    last_number: u64,
    /// Records that were dropped and not yet reported as lost.
    lost_records: u64,
}

impl AuditBuffer {
    /// The buffer of a process that starts now. Its first record says which configuration it acts
    /// on.
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

    /// The decision module acts on this configuration from now on.
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

    /// When the batch is to be flushed, if anything waits.
    pub fn flush_due_at(&self) -> Option<Micros> {
        let started_at = self.batch_started_at?;
        if self.batch.len() >= MAX_BATCH_ENTRIES {
            Some(started_at)
        } else {
            Some(started_at + FLUSH_INTERVAL_MICROS)
        }
    }

    /// The batch, if it is due.
    pub fn flush(&mut self, now: Micros) -> Option<Batch> {
        self.flush_due_at().filter(|due_at| *due_at <= now)?;
        self.finish()
    }

    /// The batch, due or not: the process ends.
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

    /// A batch found no room and was dropped. The next batch reports its records as lost; one is
    /// made for that if nothing else waits.
    pub fn mark_lost(&mut self, now: Micros, batch: &Batch) {
        self.lost_records += batch.record_count();
        self.batch_started_at.get_or_insert(now);
    }
}
