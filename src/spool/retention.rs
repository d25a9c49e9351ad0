//! Expiry, eviction and quotas.

use super::{ResultId, Spool, SpoolCommand, SpooledResult};
use crate::clock::Micros;
use crate::policy::api::TenantId;

impl Spool {
    /// Size of all stored results, or of those of one tenant, in bytes.
    pub fn stored_bytes(&self, tenant: Option<TenantId>) -> u64 {
        self.results
            .values()
            .filter(|result| tenant.is_none_or(|one| result.submission.owner.tenant == one))
            .map(SpooledResult::bytes)
            .sum()
    }

    /// Advances the time, and removes the results that have expired and are not being read.
    pub fn expire(&mut self, now: Micros, commands: &mut Vec<SpoolCommand>) {
        self.observe_time(now);
        let mut expired = Vec::new();
        for (id, result) in &self.results {
            if result.can_expire() && result.readers == 0 && result.expires_at <= self.now {
                expired.push(*id);
            }
        }
        for id in expired {
            self.remove(id, commands);
        }
    }

    /// Evicts consumed results, the oldest first, until this number of bytes fits into the quotas
    /// of the tenant and of the whole spool. Returns whether it fits.
    ///
    /// A result with a page that its client has not acknowledged is never evicted, as its
    /// retention until it expires is guaranteed. Neither is the result of a query that must not run
    /// twice, as its query id has to stay known.
    pub(super) fn free_bytes(
        &mut self,
        tenant: TenantId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> bool {
        loop {
            let tenant_exceeded =
                self.stored_bytes(Some(tenant)) + bytes > self.limits.tenant_bytes;
            let total_exceeded = self.stored_bytes(None) + bytes > self.limits.total_bytes;
            if !tenant_exceeded && !total_exceeded {
                return true;
            }
            let tenant_to_evict = tenant_exceeded.then_some(tenant);
            let Some(id) = self.find_evictable(tenant_to_evict) else {
                return false;
            };
            self.remove(id, commands);
        }
    }

    /// The oldest result that has pages and may be evicted, of the given tenant if there is one.
    fn find_evictable(&self, tenant: Option<TenantId>) -> Option<ResultId> {
        let frees_bytes = |result: &SpooledResult| {
            !result.page_sizes.is_empty()
                && tenant.is_none_or(|one| result.submission.owner.tenant == one)
        };
        self.results
            .iter()
            .find(|(_, result)| result.is_evictable() && frees_bytes(result))
            .map(|(id, _)| *id)
    }

    /// Evicts a result if their number is at its limit. Returns whether another one may be added.
    pub(super) fn free_result_slot(&mut self, commands: &mut Vec<SpoolCommand>) -> bool {
        if self.results.len() < self.limits.max_results {
            return true;
        }
        let evictable = self
            .results
            .iter()
            .find(|(_, result)| result.is_evictable())
            .map(|(id, _)| *id);
        let Some(id) = evictable else {
            return false;
        };
        self.remove(id, commands);
        true
    }
}
