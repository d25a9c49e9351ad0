//! The run of a query, from the durable intent to the durable seal of its result.

use super::{ResultId, ResultStage, Spool, SpoolCommand};
use crate::clock::Micros;

impl Spool {
    /// The intent is durable.
    pub fn intent_stored(&mut self, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if self.transition(id, ResultStage::Admitted, ResultStage::Intended) {
            commands.push(SpoolCommand::Run(id));
        }
    }

    /// An attempt was sent; an engine may run the query from here on.
    pub fn attempt_started(&mut self, id: ResultId) {
        self.transition(id, ResultStage::Intended, ResultStage::Running);
    }

    /// A page of this size arrived. Returns `false` if it exceeds a quota, in which case the
    /// attempt is cancelled.
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

    /// The engine completed the query, and all of its pages have arrived.
    pub fn attempt_completed(&mut self, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if self.transition(id, ResultStage::Running, ResultStage::Sealing) {
            commands.push(SpoolCommand::WriteSeal(id));
        }
    }

    /// The seal is durable.
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

    /// The attempt or the store failed before the seal was durable. A query that must not run twice
    /// and may have run is lost from here on; any other is forgotten, and may be submitted again.
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
