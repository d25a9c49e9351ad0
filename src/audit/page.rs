//! The lines of `GET /audit`.
use super::segment::decode_segment;
use super::{DecisionContext, DecisionKind, Entry, RecordPosition};
use crate::lease::FencingToken;
use serde::{Deserialize, Serialize};

/// The most records of a page.
pub const MAX_PAGE_RECORDS: usize = 1_000;

/// A page of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// JSON lines, each an [`AuditLine`].
    pub lines: String,
    /// The position of the last record of this page: the next page begins after it.
    pub next: RecordPosition,
    /// Whether there are more records.
    pub has_more: bool,
    /// How many frames of the files were damaged.
    pub damaged_frames: u64,
}

/// A record, as operators see it.
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
        /// When the client may come back, in milliseconds.
        #[serde(rename = "after_ms")]
        retry_after_ms: u32,
    },
    /// The request failed for good.
    #[serde(rename = "fail")]
    Fail,
    /// The decision module acts on this configuration from now on.
    #[serde(rename = "act")]
    ActivateConfiguration,
    /// Records are lost, this number the last of them.
    #[serde(rename = "lost")]
    Lost {
        /// How many.
        count: u64,
    },
    /// The manager holds a lease from now on. The resource stands in place of the request.
    #[serde(rename = "own")]
    AcquireLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// The manager holds the lease no longer.
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
    /// Who made the decision, and under which configuration.
    #[serde(flatten)]
    pub context: DecisionContext,
    /// The number of the record in this incarnation.
    pub number: u64,
    /// When the decision was made, in microseconds of Unix time.
    pub at: u64,
    /// What was decided.
    #[serde(flatten)]
    pub record: AuditRecord,
    /// The name of the class; empty without one.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub class: Box<str>,
    /// The request or resource; empty without one.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub request: Box<str>,
}

/// The last line of a page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageEnd {
    /// The position after which the next page begins.
    pub next: String,
    /// Whether there are more records now.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// How many frames of the files were damaged.
    #[serde(rename = "spoilt")]
    pub damaged_frames: u64,
}

impl Page {
    /// The body of the answer: the records, then a [`PageEnd`].
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

/// Fills a page with the records of one file after the other.
pub(super) struct PageBuilder {
    page: Page,
    records: usize,
    max_records: usize,
}

impl PageBuilder {
    /// A page of the records after that position.
    pub(super) fn new(after: RecordPosition, max_records: usize) -> PageBuilder {
        let page = Page {
            next: after,
            ..Page::default()
        };
        PageBuilder {
            page,
            records: 0,
            max_records,
        }
    }

    /// Adds the records of a file. The page is full once [`Page::has_more`] is set.
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
        if self.records >= self.max_records {
            self.page.has_more = true;
            return;
        }
        let json = serde_json::to_string(&line).unwrap_or_default();
        self.page.lines.push_str(&json);
        self.page.lines.push('\n');
        self.page.next = position;
        self.records += 1;
    }

    /// Whether a record was found that the page has no room for.
    pub(super) fn is_full(&self) -> bool {
        self.page.has_more
    }

    /// The page.
    pub(super) fn finish(self) -> Page {
        self.page
    }
}
