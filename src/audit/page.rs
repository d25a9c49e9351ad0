//! The lines of `GET /audit`.
use super::segment::decode_segment;
use super::{DecisionContext, DecisionKind, Entry, RecordPosition};
use crate::lease::FencingToken;
use serde::{Deserialize, Serialize};

/// Limit on the number of records of a page.
pub const MAX_PAGE_RECORDS: usize = 1_000;

/// A page of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// JSON lines, each an [`AuditLine`].
    pub lines: String,
    /// The position of the last record of this page, after which the next page begins.
    pub next: RecordPosition,
    /// Whether there are more records after this page.
    pub has_more: bool,
    /// The number of damaged frames in the files that were read.
    pub damaged_frames: u64,
}

/// A record as `GET /audit` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what")]
pub enum AuditRecord {
    /// An attempt was dispatched.
    #[serde(rename = "dispatch")]
    Dispatch {
        /// The number of the attempt: 0 for the first.
        attempt: u16,
        /// The engine.
        engine: String,
    },
    /// The request was rejected for good.
    #[serde(rename = "refuse")]
    Reject {
        /// The time after which the client may retry, in milliseconds.
        #[serde(rename = "after_ms")]
        retry_after_ms: u32,
    },
    /// The request failed for good.
    #[serde(rename = "fail")]
    Fail,
    /// The decision module acts on this configuration from now on.
    #[serde(rename = "act")]
    ActivateConfiguration,
    /// Records are lost; the number of this record is that of the last one.
    #[serde(rename = "lost")]
    Lost {
        /// The number of lost records.
        count: u64,
    },
    /// The manager acquired a lease. The record has the resource in place of the request.
    #[serde(rename = "own")]
    AcquireLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// The manager no longer holds the lease.
    #[serde(rename = "disown")]
    EndLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
}

impl From<&DecisionKind> for AuditRecord {
    fn from(kind: &DecisionKind) -> AuditRecord {
        match *kind {
            DecisionKind::Dispatch { attempt, engine } => AuditRecord::Dispatch {
                attempt,
                engine: format!("s-{engine:08x}"),
            },
            DecisionKind::Reject { retry_after_ms } => AuditRecord::Reject { retry_after_ms },
            DecisionKind::Fail => AuditRecord::Fail,
            DecisionKind::ActivateConfiguration => AuditRecord::ActivateConfiguration,
            DecisionKind::Lost { count } => AuditRecord::Lost { count },
            DecisionKind::AcquireLease { token } => AuditRecord::AcquireLease { token },
            DecisionKind::EndLease { token } => AuditRecord::EndLease { token },
        }
    }
}

/// A line of `GET /audit`: a record with its context.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditLine {
    /// The manager that made the decision, and the configuration under which it made it.
    #[serde(flatten)]
    pub context: DecisionContext,
    /// The number of the record in this incarnation.
    pub number: u64,
    /// When the decision was made, in microseconds of Unix time.
    pub at: u64,
    /// What was decided.
    #[serde(flatten)]
    pub record: AuditRecord,
    /// The name of the class; empty if there is none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub class: Box<str>,
    /// The request or the resource; empty if there is neither.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub request: Box<str>,
}

/// The last line of a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageEnd {
    /// The position after which the next page begins.
    pub next: String,
    /// Whether there are more records after this page.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// The number of damaged frames in the files that were read.
    #[serde(rename = "spoilt")]
    pub damaged_frames: u64,
}

impl Page {
    /// The body of the response: the records, then a [`PageEnd`].
    pub fn text(&self) -> String {
        let end = PageEnd {
            next: self.next.to_string(),
            has_more: self.has_more,
            damaged_frames: self.damaged_frames,
        };
        let end = serde_json::to_string(&end).unwrap_or_default();
        format!("{}{end}\n", self.lines)
    }
}

/// Builds a page from the records of the files, which are added in order.
pub(super) struct PageBuilder {
    page: Page,
    record_count: usize,
    max_records: usize,
}

impl PageBuilder {
    /// Starts a page of at most `max_records` records after that position.
    pub(super) fn new(after: RecordPosition, max_records: usize) -> PageBuilder {
        let page = Page {
            next: after,
            ..Page::default()
        };
        PageBuilder {
            page,
            record_count: 0,
            max_records,
        }
    }

    /// Adds the records of a file, until the page is full.
    pub(super) fn add_segment(&mut self, bytes: &[u8]) {
        let content = decode_segment(bytes);
        self.page.damaged_frames += content.damaged_frames;
        let mut context = DecisionContext::default();
        for entry in content.entries {
            match entry {
                Entry::Context(next) => context = DecisionContext::from(*next),
                Entry::Record {
                    number,
                    at,
                    kind,
                    class,
                    request,
                } => self.add_line(AuditLine {
                    context: context.clone(),
                    number,
                    at,
                    record: AuditRecord::from(&kind),
                    class,
                    request,
                }),
            }
            if self.is_full() {
                return;
            }
        }
    }

    fn add_line(&mut self, line: AuditLine) {
        let position = RecordPosition {
            incarnation: line.context.incarnation,
            number: line.number,
        };
        if position <= self.page.next {
            return;
        }
        if self.record_count >= self.max_records {
            self.page.has_more = true;
            return;
        }
        let json = serde_json::to_string(&line).unwrap_or_default();
        self.page.lines.push_str(&json);
        self.page.lines.push('\n');
        self.page.next = position;
        self.record_count += 1;
    }

    /// Whether the page has reached its limit and a further record was found.
    pub(super) fn is_full(&self) -> bool {
        self.page.has_more
    }

    /// Returns the page.
    pub(super) fn finish(self) -> Page {
        self.page
    }
}
