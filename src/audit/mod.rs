//! The audit: what this manager decided, and under which build, settings and endpoint list.
//!
//! [`AuditBuffer`] is pure: decisions and their times go in, batches of entries come out.
//! [`store`] keeps the batches in files, [`crate::net::audit`] carries them to the thread that owns
//! the files, and [`report`] compares the audits of several managers.
mod buffer;
mod decision;
mod entry;
mod page;
pub mod report;
mod rotation;
pub mod segment;
pub mod store;

pub use buffer::{AuditBuffer, Batch, FLUSH_INTERVAL_MICROS};
pub use decision::{ActiveConfiguration, Decision, DecisionContext, DecisionKind};
pub use entry::{ContextEntry, Entry, RecordPosition};
pub use page::{AuditLine, AuditRecord, MAX_PAGE_RECORDS, Page, PageEnd};
pub use rotation::{Bounds, BoundsError, Rotation, RotationPlan};

#[cfg(test)]
#[path = "../../tests/unit/audit.rs"]
mod tests;
