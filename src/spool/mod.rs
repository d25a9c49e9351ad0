//! Spooled results: results that are stored after their query has ended and are read page by page.
//!
//! Not used by the program yet: the store, the streams from engines and the interface for clients
//! are not implemented. `docs/SPOOL.md` describes the states and the reasons for them.
//!
//! Like the decision module, [`Spool`] is a pure state machine: it takes events and appends
//! [`SpoolCommand`]s, without I/O or a clock of its own. A store executes the commands and reports
//! when something is durable; only then does the next command follow. This ensures that a query id
//! gets one run, that a load is never run twice, and that sealed results survive a crash.
//!
//! - `model`: the types of the interface of the state machine;
//! - `admission`: submission and recovery;
//! - `execution`: execution of a query, up to the durable seal of its result;
//! - `access`: reading, acknowledging and deleting a result;
//! - `retention`: expiry, eviction and quotas;
//! - [`handle`]: the tokens by which clients refer to their results.

mod access;
mod admission;
mod execution;
pub mod handle;
mod model;
mod retention;

pub use model::{
    AccessError, Owner, ResultId, ResultStage, SpoolCommand, SpoolLimits, StoredResult, Submission,
    SubmitOutcome,
};

use crate::clock::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Identifies a query of an owner; the same for a retry.
type QueryKey = (Owner, Rc<str>);

/// A result, durable or not.
struct SpooledResult {
    submission: Submission,
    stage: ResultStage,
    /// Sizes of its pages, in bytes.
    page_sizes: Vec<u64>,
    acknowledged_pages: BTreeSet<usize>,
    /// Number of reads in progress. The result is neither removed nor evicted during a read.
    readers: u32,
    /// When it expires; `Micros::MAX` until it is sealed or lost.
    expires_at: Micros,
}

impl SpooledResult {
    fn bytes(&self) -> u64 {
        self.page_sizes.iter().sum()
    }

    /// Whether the result is in one of its final stages, in which it expires.
    fn can_expire(&self) -> bool {
        matches!(
            self.stage,
            ResultStage::Sealed | ResultStage::Consumed | ResultStage::Lost
        )
    }

    /// Whether the result may be removed before it expires: its client has received all pages, and
    /// a retry may run its query again.
    fn is_evictable(&self) -> bool {
        self.stage == ResultStage::Consumed && self.readers == 0 && !self.submission.must_not_repeat
    }
}

/// The states of all results of a store.
pub struct Spool {
    limits: SpoolLimits,
    /// The latest time observed; never decreases.
    now: Micros,
    next_id: u64,
    results: BTreeMap<ResultId, SpooledResult>,
    ids_by_query: BTreeMap<QueryKey, ResultId>,
}

impl Spool {
    /// Creates a spool without results.
    pub fn new(limits: SpoolLimits) -> Spool {
        Spool {
            limits,
            now: 0,
            next_id: 1,
            results: BTreeMap::new(),
            ids_by_query: BTreeMap::new(),
        }
    }

    /// The stage of a result; `None` if there is no such result.
    pub fn stage(&self, id: ResultId) -> Option<ResultStage> {
        self.results.get(&id).map(|result| result.stage)
    }

    /// Advances the latest time observed. If the clock was set back, this time does not change
    /// until the clock has caught up, so that no result is stored for less than its retention
    /// time.
    fn observe_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Moves a result from one stage to another. Returns whether it was in stage `from`.
    fn transition(&mut self, id: ResultId, from: ResultStage, to: ResultStage) -> bool {
        let Some(result) = self.results.get_mut(&id) else {
            return false;
        };
        if result.stage != from {
            return false;
        }
        result.stage = to;
        true
    }

    /// Removes a result and its query id.
    fn remove(&mut self, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        let Some(result) = self.results.remove(&id) else {
            return;
        };
        let Submission {
            owner, query_id, ..
        } = result.submission;
        self.ids_by_query.remove(&(owner, query_id));
        commands.push(SpoolCommand::Remove(id));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/spool.rs"]
mod tests;
