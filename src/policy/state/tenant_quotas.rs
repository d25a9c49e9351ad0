//! Tenant quotas: one token bucket per tenant.
use super::units::seconds;
use crate::policy::api::{Nanos, TenantId, TenantSpec};

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Minimum capacity of a bucket, in requests: a gateway with a small share of the rate still
/// receives whole requests, several of which may arrive close together.
const MIN_BURST: f64 = 6.0;

#[derive(Clone, Debug)]
struct TenantQuota {
    /// Requests per second over all gateways; 0 if the tenant has no quota.
    rate: f64,
    tokens: f64,
    refilled_at: Nanos,
}

/// Token buckets of all tenants, indexed by [`TenantId`].
#[derive(Clone, Debug)]
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantQuota>,
}

impl TenantQuotas {
    pub(crate) fn new(now: Nanos, tenants: &[TenantSpec]) -> TenantQuotas {
        let tenants = tenants.iter().map(|tenant| TenantQuota::new(now, tenant));
        TenantQuotas {
            tenants: tenants.collect(),
        }
    }

    /// Applies changed quotas and adds new tenants. Known tenants keep their tokens.
    pub(crate) fn update(&mut self, now: Nanos, tenants: &[TenantSpec]) {
        for (index, tenant) in tenants.iter().enumerate() {
            match self.tenants.get_mut(index) {
                Some(known) => known.rate = tenant.quota_per_s,
                None => self.tenants.push(TenantQuota::new(now, tenant)),
            }
        }
    }

    /// Counts a request of `tenant` at this gateway, one of `active_gateways`, and returns whether
    /// it exceeds the quota. A client's retry is not counted, as its original request was.
    pub(crate) fn charge(
        &mut self,
        now: Nanos,
        tenant: TenantId,
        active_gateways: f64,
        is_retry: bool,
    ) -> bool {
        let quota = self.tenants.get_mut(usize::from(tenant.0));
        let Some(quota) = quota.filter(|quota| quota.rate > 0.0) else {
            return false;
        };
        quota.refill(now, active_gateways);
        if is_retry {
            return false;
        }
        if quota.tokens < 1.0 {
            return true;
        }
        quota.tokens -= 1.0;
        false
    }

    /// Returns the token of a rejected request: the client sends it again and it is counted again,
    /// and retries must not use up the quota.
    pub(crate) fn refund(&mut self, tenant: TenantId) {
        if let Some(quota) = self.tenants.get_mut(usize::from(tenant.0)) {
            quota.tokens += 1.0;
        }
    }
}

impl TenantQuota {
    fn new(now: Nanos, tenant: &TenantSpec) -> TenantQuota {
        TenantQuota {
            rate: tenant.quota_per_s,
            tokens: MIN_BURST,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Nanos, active_gateways: f64) {
        let rate = self.rate / active_gateways;
        let refilled = self.tokens + rate * seconds(now.saturating_sub(self.refilled_at));
        self.tokens = refilled.min((rate * BURST_SECONDS).max(MIN_BURST));
        self.refilled_at = now;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/tenant_quotas.rs"]
mod tests;
