//! Access of an owner to its results: reading, acknowledging and deleting.

use super::{AccessError, Owner, ResultId, ResultStage, Spool, SpoolCommand, SpooledResult};
use crate::clock::Micros;

impl Spool {
    /// Returns a sealed or consumed result of this owner.
    fn readable(&mut self, id: ResultId, owner: &Owner) -> Result<&mut SpooledResult, AccessError> {
        let result = self
            .results
            .get_mut(&id)
            .filter(|result| result.submission.owner == *owner)
            .ok_or(AccessError::Unknown)?;
        match result.stage {
            ResultStage::Sealed | ResultStage::Consumed => Ok(result),
            ResultStage::Lost => Err(AccessError::Lost),
            ResultStage::Admitted
            | ResultStage::Intended
            | ResultStage::Running
            | ResultStage::Sealing => Err(AccessError::NotSealed),
        }
    }

    /// Begins a client's read of a page, counted from 0. The result is stored at least until the
    /// matching [`end_read`](Spool::end_read).
    ///
    /// # Errors
    ///
    /// [`AccessError`] if the owner can't read this page.
    pub fn begin_read(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        page: usize,
        commands: &mut Vec<SpoolCommand>,
    ) -> Result<(), AccessError> {
        self.expire(now, commands);
        let result = self.readable(id, owner)?;
        if page >= result.page_sizes.len() {
            return Err(AccessError::NoSuchPage);
        }
        result.readers += 1;
        Ok(())
    }

    /// Ends a read, whether or not the client received the page.
    pub fn end_read(&mut self, now: Micros, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if let Some(result) = self.results.get_mut(&id) {
            result.readers = result.readers.saturating_sub(1);
        }
        self.expire(now, commands);
    }

    /// Records that the client has stored a page, counted from 0. Returns whether all pages are
    /// acknowledged.
    ///
    /// # Errors
    ///
    /// [`AccessError`] if the owner can't read this page.
    pub fn acknowledge(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        page: usize,
    ) -> Result<bool, AccessError> {
        self.observe_time(now);
        let consumed_until = self.now + self.limits.consumed_retention;
        let result = self.readable(id, owner)?;
        if page >= result.page_sizes.len() {
            return Err(AccessError::NoSuchPage);
        }
        result.acknowledged_pages.insert(page);
        let all = result.acknowledged_pages.len() == result.page_sizes.len();
        if result.stage == ResultStage::Sealed && all {
            result.stage = ResultStage::Consumed;
            if !result.submission.must_not_repeat {
                result.expires_at = result.expires_at.min(consumed_until);
            }
        }
        Ok(result.stage == ResultStage::Consumed)
    }

    /// Deletes a result for its owner. If it is being read, it is stored until the read ends. If
    /// its query must not run twice, only the pages are removed: without the entry, a retry that is
    /// sent before the deletion and arrives after it would run the query again.
    ///
    /// # Errors
    ///
    /// [`AccessError`] if the owner can't read the result.
    pub fn delete(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        commands: &mut Vec<SpoolCommand>,
    ) -> Result<(), AccessError> {
        let result = self.readable(id, owner)?;
        if result.submission.must_not_repeat {
            result.stage = ResultStage::Consumed;
            result.page_sizes.clear();
            commands.push(SpoolCommand::RemovePages(id));
        } else {
            result.expires_at = 0;
        }
        self.expire(now, commands);
        Ok(())
    }
}
