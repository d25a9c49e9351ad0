//! Submission of queries, and recovery of a spool from its store.

use super::{
    ResultId, ResultStage, Spool, SpoolCommand, SpoolLimits, SpooledResult, StoredResult,
    Submission, SubmitOutcome,
};
use crate::clock::Micros;
use std::collections::BTreeSet;

/// The stage in which a stored result is recovered; `None` if it is removed.
fn recovered_stage(stored: &StoredResult) -> Option<ResultStage> {
    match &stored.sealed_page_sizes {
        Some(sizes) if !sizes.is_empty() && stored.acknowledged_pages.len() == sizes.len() => {
            Some(ResultStage::Consumed)
        }
        Some(_) => Some(ResultStage::Sealed),
        None if stored.submission.must_not_repeat => Some(ResultStage::Lost),
        None => None,
    }
}

impl Spool {
    /// Creates a spool from the content of a store. `latest` is the latest time in the store, which
    /// is used in place of `now` if the clock was set back. Results that were not sealed are
    /// removed, except that those of queries that must not run twice become [`ResultStage::Lost`].
    pub fn recover(
        limits: SpoolLimits,
        now: Micros,
        latest: Micros,
        stored: Vec<StoredResult>,
        commands: &mut Vec<SpoolCommand>,
    ) -> Spool {
        let mut spool = Spool::new(limits);
        spool.observe_time(now.max(latest));
        for result in stored {
            spool.recover_result(result, commands);
        }
        spool.expire(now, commands);
        spool
    }

    fn recover_result(&mut self, stored: StoredResult, commands: &mut Vec<SpoolCommand>) {
        let id = stored.id;
        self.next_id = self.next_id.max(id.0 + 1);
        let Some(stage) = recovered_stage(&stored) else {
            commands.push(SpoolCommand::Remove(id));
            return;
        };
        let expires_at = if stage == ResultStage::Lost {
            self.now + self.limits.retention
        } else {
            stored.expires_at
        };
        let result = SpooledResult {
            submission: stored.submission,
            stage,
            page_sizes: stored.sealed_page_sizes.unwrap_or_default(),
            acknowledged_pages: stored.acknowledged_pages,
            readers: 0,
            expires_at,
        };
        self.insert(id, result);
    }

    fn insert(&mut self, id: ResultId, result: SpooledResult) {
        let submission = &result.submission;
        let key = (submission.owner.clone(), submission.query_id.clone());
        self.ids_by_query.insert(key, id);
        self.results.insert(id, result);
    }

    /// Processes a client's submission of a query, for the first time or as a retry.
    pub fn submit(
        &mut self,
        now: Micros,
        submission: Submission,
        commands: &mut Vec<SpoolCommand>,
    ) -> SubmitOutcome {
        self.expire(now, commands);
        if let Some(outcome) = self.find_existing(&submission) {
            return outcome;
        }
        let tenant = submission.owner.tenant;
        let reserve = self.limits.admission_reserve_bytes;
        if !self.free_bytes(tenant, reserve, commands) || !self.free_result_slot(commands) {
            return SubmitOutcome::NoCapacity {
                earliest_expiry: self.earliest_expiry(),
            };
        }
        let id = ResultId(self.next_id);
        self.next_id += 1;
        let result = SpooledResult {
            submission,
            stage: ResultStage::Admitted,
            page_sizes: Vec::new(),
            acknowledged_pages: BTreeSet::new(),
            readers: 0,
            expires_at: Micros::MAX,
        };
        self.insert(id, result);
        commands.push(SpoolCommand::WriteIntent(id));
        SubmitOutcome::Admitted(id)
    }

    /// The outcome of a submission whose query id is known; `None` if it is not.
    fn find_existing(&self, submission: &Submission) -> Option<SubmitOutcome> {
        let key = (submission.owner.clone(), submission.query_id.clone());
        let id = *self.ids_by_query.get(&key)?;
        let result = self.results.get(&id)?;
        if result.submission == *submission {
            Some(SubmitOutcome::Existing(id, result.stage))
        } else {
            Some(SubmitOutcome::Conflict)
        }
    }

    fn earliest_expiry(&self) -> Option<Micros> {
        self.results
            .values()
            .filter(|result| result.can_expire())
            .map(|result| result.expires_at)
            .min()
    }
}
