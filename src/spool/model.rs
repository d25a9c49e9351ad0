//! The data that crosses the edge of the spool's state machine.

use crate::clock::Micros;
use crate::policy::api::TenantId;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A result. Never reused by one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResultId(pub u64);

/// The owner of a result, who alone may read it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The tenant, whose quota the result counts against.
    pub tenant: TenantId,
    /// The user.
    pub user: Rc<str>,
}

/// A query whose result a client wants to have spooled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The owner of the result.
    pub owner: Owner,
    /// The client's name for the query, by which a retry is recognised.
    pub query_id: Rc<str>,
    /// A digest of the statement and of all settings that change its meaning.
    pub statement_digest: [u8; 32],
    /// The query is not idempotent: it must not run twice.
    pub must_not_repeat: bool,
}

/// Quotas and retention times of a spool.
#[derive(Clone, Debug)]
pub struct SpoolLimits {
    /// Greatest size of all results together, in bytes.
    pub total_bytes: u64,
    /// Greatest size of one tenant's results, in bytes.
    pub tenant_bytes: u64,
    /// Bytes that have to be free, in total and for the tenant, before a query is admitted.
    pub admission_reserve_bytes: u64,
    /// Greatest number of results, whatever their size.
    pub max_results: usize,
    /// How long a sealed result is stored, and a lost one remembered.
    pub retention: Micros,
    /// How long pages are stored once all were acknowledged, in case the client did not get the
    /// reply to its acknowledgement.
    pub consumed_retention: Micros,
}

/// The stage of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultStage {
    /// Admitted; the intent to run the query is being made durable.
    Admitted,
    /// The intent is durable: from here on the query may run.
    Intended,
    /// An engine runs the query, and pages arrive.
    Running,
    /// The query has completed; the seal is being made durable.
    Sealing,
    /// Complete, durable, and readable until it expires.
    Sealed,
    /// All pages were acknowledged.
    Consumed,
    /// It is unknown whether the query ran: it is neither run again nor rejected as harmless.
    Lost,
}

/// What is durable of a result when a store is opened.
#[derive(Clone, Debug)]
pub struct StoredResult {
    /// The result.
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

/// What a submission leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// A new query; [`SpoolCommand::WriteIntent`] was ordered for it.
    Admitted(ResultId),
    /// A retry of a known query, whose result is in this stage.
    Existing(ResultId, ResultStage),
    /// Another statement under the query id of a known one.
    Conflict,
    /// The quota is exhausted.
    NoCapacity {
        /// The earliest time at which a result expires, if any does.
        earliest_expiry: Option<Micros>,
    },
}

/// What the store, or the side of the engines, has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpoolCommand {
    /// Make the intent durable; then call
    /// [`Spool::intent_stored`](super::Spool::intent_stored).
    WriteIntent(ResultId),
    /// Run the query, as its intent is durable.
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
    /// There is no such result, it has expired, or it has another owner: callers can't tell these
    /// apart.
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
