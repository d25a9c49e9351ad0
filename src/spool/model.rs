//! The types of the interface of the spool's state machine.

use crate::clock::Micros;
use crate::policy::api::TenantId;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Identifies a result. A store never reuses an id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResultId(pub u64);

/// The owner of a result. Only the owner may read it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The tenant; the result counts against the tenant's quota.
    pub tenant: TenantId,
    /// The user.
    pub user: Rc<str>,
}

/// A query that a client submits to have its result spooled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The owner of the result.
    pub owner: Owner,
    /// The client's id for the query, by which a retry is recognized.
    pub query_id: Rc<str>,
    /// A digest of the statement and of all settings that change its meaning.
    pub statement_digest: [u8; 32],
    /// Whether the query is not idempotent, so that it must not run twice.
    pub must_not_repeat: bool,
}

/// Quotas and retention times of a spool.
#[derive(Clone, Debug)]
pub struct SpoolLimits {
    /// Limit on the size of all results, in bytes.
    pub total_bytes: u64,
    /// Limit on the size of the results of one tenant, in bytes.
    pub tenant_bytes: u64,
    /// Bytes that have to be free, in total and for the tenant, for a query to be admitted.
    pub admission_reserve_bytes: u64,
    /// Limit on the number of results, regardless of their size.
    pub max_results: usize,
    /// How long sealed and lost results are stored.
    pub retention: Micros,
    /// How long pages are stored once all are acknowledged, in case the client did not receive the
    /// response to its acknowledgment.
    pub consumed_retention: Micros,
}

/// The stage of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultStage {
    /// The query is admitted; the intent to run it is being made durable.
    Admitted,
    /// The intent is durable: from now on the query may run.
    Intended,
    /// An engine runs the query, and pages arrive.
    Running,
    /// The query has completed; the seal is being made durable.
    Sealing,
    /// The result is complete and durable, and readable until it expires.
    Sealed,
    /// All pages were acknowledged, or the pages were deleted.
    Consumed,
    /// It is unknown whether the query ran. It is not run again, and no error that the client
    /// receives states that it did not run.
    Lost,
}

/// A result as it is read from a store.
#[derive(Clone, Debug)]
pub struct StoredResult {
    /// The id of the result.
    pub id: ResultId,
    /// Its query.
    pub submission: Submission,
    /// The sizes of its pages in bytes, if it was sealed.
    pub sealed_page_sizes: Option<Vec<u64>>,
    /// The pages that were acknowledged, counted from 0.
    pub acknowledged_pages: BTreeSet<usize>,
    /// When it expires.
    pub expires_at: Micros,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// A new query, for which [`SpoolCommand::WriteIntent`] was appended.
    Admitted(ResultId),
    /// A retry of a known query, whose result is in this stage.
    Existing(ResultId, ResultStage),
    /// The query id is already in use for a different query.
    Conflict,
    /// The quota is exhausted.
    NoCapacity {
        /// The earliest time at which a result expires, if any does.
        earliest_expiry: Option<Micros>,
    },
}

/// A command to the store or to the backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpoolCommand {
    /// Make the intent durable; then call
    /// [`Spool::intent_stored`](super::Spool::intent_stored).
    WriteIntent(ResultId),
    /// Run the query, whose intent is durable.
    Run(ResultId),
    /// Cancel the attempt that is in flight.
    CancelAttempt(ResultId),
    /// Make the seal durable; then call [`Spool::seal_stored`](super::Spool::seal_stored).
    WriteSeal(ResultId),
    /// Remove everything that is stored of the result.
    Remove(ResultId),
    /// Remove the pages but not the intent, as the query must not run twice.
    RemovePages(ResultId),
}

/// Why a result can't be read, acknowledged or deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// There is no such result, it has expired, or it has another owner. Callers can't distinguish
    /// these cases.
    #[error("no such result")]
    Unknown,
    /// It is not sealed yet.
    #[error("the result is not complete yet")]
    NotSealed,
    /// It is unknown whether its query ran.
    #[error("the result is lost: its query may have run")]
    Lost,
    /// It has no page of this number.
    #[error("the result has no such page")]
    NoSuchPage,
}
