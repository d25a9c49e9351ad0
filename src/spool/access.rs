//! Access of an owner to a result: reading, acknowledging and deleting it.

use super::{AccessError, Owner, ResultId, ResultStage, Spool, SpoolCommand, SpooledResult};
use crate::clock::Micros;

impl Spool {
    /// The sealed result of this owner.
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

    /// A client begins to read a page, counted from 0. The result is stored at least until the
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

    /// A read has ended, whether the client has the page or not.
    pub fn end_read(&mut self, now: Micros, id: ResultId, commands: &mut Vec<SpoolCommand>) {
        if let Some(result) = self.results.get_mut(&id) {
            result.readers = result.readers.saturating_sub(1);
        }
        self.expire(now, commands);
    }

    /// The client acknowledges a page, counted from 0: it has stored it. Returns whether it has
    /// acknowledged all pages.
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

    /// The owner deletes a result. While it is being read it is stored until that ends. Of a query
    /// that must not run twice only the pages are removed, as a retry that crosses the deletion
    /// would run it again.
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
