//! Execution of a query, from the durable intent to the durable seal of its result.

use super::{ResultId, ResultStage, Spool, SpoolCommand};
use crate::clock::Micros;

impl Spool {
    /// Records that the intent is durable, and appends the command to run the query.
    pub fn intent_stored(&mut self, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if self.transition(id, ResultStage::Admitted, ResultStage::Intended) {
            commands.push(SpoolCommand::Run(id));
        }
    }

    /// Records that an attempt was sent. From then on an engine may run the query.
    pub fn attempt_started(&mut self, id: ResultId) {
        self.transition(id, ResultStage::Intended, ResultStage::Running);
    }

    /// Records that a page of this size arrived. Returns `false` if the query is not running, or if
    /// the page exceeds a quota, in which case the attempt is cancelled.
    pub fn add_page(
        &mut self,
        now: Micros,
        id: ResultId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> bool {
        let Some(result) = self.results.get(&id) else {
            return false;
        };
        if result.stage != ResultStage::Running {
            return false;
        }
        let tenant = result.submission.owner.tenant;
        if !self.free_bytes(tenant, bytes, commands) {
            commands.push(SpoolCommand::CancelAttempt(id));
            self.attempt_failed(now, id, true, commands);
            return false;
        }
        if let Some(result) = self.results.get_mut(&id) {
            result.page_sizes.push(bytes);
        }
        true
    }

    /// Records that the engine completed the query and all of its pages have arrived, and appends
    /// the command to write the seal.
    pub fn attempt_completed(&mut self, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if self.transition(id, ResultStage::Running, ResultStage::Sealing) {
            commands.push(SpoolCommand::WriteSeal(id));
        }
    }

    /// Records that the seal is durable. The result can be read from then on.
    pub fn seal_stored(&mut self, now: Micros, id: ResultId) {
        self.observe_time(now);
        if !self.transition(id, ResultStage::Sealing, ResultStage::Sealed) {
            return;
        }
        let expires_at = self.now + self.limits.retention;
        if let Some(result) = self.results.get_mut(&id) {
            result.expires_at = expires_at;
        }
    }

    /// Records that the attempt or the store failed before the seal was durable. If the query must
    /// not run twice and may have run, its result becomes [`ResultStage::Lost`]. Any other query is
    /// removed and may be submitted again.
    pub fn attempt_failed(
        &mut self,
        now: Micros,
        id: ResultId,
        may_have_run: bool,
        commands: &mut Vec<SpoolCommand>,
    ) {
        self.observe_time(now);
        let expires_at = self.now + self.limits.retention;
        let Some(result) = self.results.get_mut(&id) else {
            return;
        };
        if result.can_expire() {
            return;
        }
        if result.submission.must_not_repeat && may_have_run {
            result.stage = ResultStage::Lost;
            result.expires_at = expires_at;
            result.page_sizes.clear();
        } else {
            self.remove(id, commands);
        }
    }
}
