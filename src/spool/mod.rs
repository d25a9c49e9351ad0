//! Spooled results: results that are stored beyond their query and read page by page.
//!
//! Not used by the program yet: the store, the streams from engines and the client's interface are
//! still to come. `docs/SPOOL.md` has the states and the reasons for them.
//!
//! [`Spool`] is a pure state machine, as the decision module is: it takes events and appends
//! [`SpoolCommand`]s, without I/O or a clock of its own. A store carries the commands out and
//! reports when something is durable; only then does the next command follow. So a client gets one
//! run per query id, a load is never run twice, and what was promised outlives a crash.
//!
//! - `model`: the data that crosses the edge of the machine;
//! - `admission`: submission and recovery;
//! - `execution`: the run of a query, up to the durable seal of its result;
//! - `access`: reading, acknowledging and deleting a result;
//! - `retention`: expiry, eviction and quotas;
//! - [`handle`]: the tokens by which clients name their results.

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

/// A query of an owner. A retry has the same key.
type QueryKey = (Owner, Rc<str>);

/// A result, durable or not.
struct SpooledResult {
    submission: Submission,
    stage: ResultStage,
    /// Sizes of its pages, in bytes.
    page_sizes: Vec<u64>,
    acknowledged_pages: BTreeSet<usize>,
    /// Number of reads in progress; a result is neither removed nor evicted meanwhile.
    readers: u32,
    /// When it expires; `Micros::MAX` until it is sealed or lost.
    expires_at: Micros,
}

impl SpooledResult {
    fn bytes(&self) -> u64 {
        self.page_sizes.iter().sum()
    }

    /// Whether it expires, which it does only in its final stages.
    fn can_expire(&self) -> bool {
        matches!(
            self.stage,
            ResultStage::Sealed | ResultStage::Consumed | ResultStage::Lost
        )
    }

    /// Whether it may be removed before it expires: its client has all of it, and a retry of its
    /// query would do no harm.
    fn is_evictable(&self) -> bool {
        self.stage == ResultStage::Consumed && self.readers == 0 && !self.submission.must_not_repeat
    }
}

/// The states of all results of a store.
pub struct Spool {
    limits: SpoolLimits,
    /// The latest time seen; it never goes back.
    now: Micros,
    next_id: u64,
    results: BTreeMap<ResultId, SpooledResult>,
    ids_by_query: BTreeMap<QueryKey, ResultId>,
}

impl Spool {
    /// A spool without results.
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

    /// Advances the latest time seen. A clock that was set back has no effect until it catches up,
    /// so nothing is stored for less time than promised.
    fn observe_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Moves a result from one stage to the next. Returns whether it was in the first.
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

    /// Removes a result and forgets its query.
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
