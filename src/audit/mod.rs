//! The audit: the decisions of this manager, with the build, settings and endpoint list under which
//! they were made.
//!
//! [`AuditBuffer`] collects decisions in batches of entries, without I/O or a clock of its own.
//! [`crate::net::audit`] sends the batches to the thread that owns the files, [`store`] writes and
//! reads the files, and [`report`] compares the audits of several managers.
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
