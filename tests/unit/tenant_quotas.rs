//! Token buckets of tenant quotas.
use super::*;

const SECOND: Nanos = 1_000_000_000;
const TENANT: TenantId = TenantId(0);

fn tenant(quota_per_s: f64) -> TenantSpec {
    TenantSpec {
        quota_per_s,
        share: 1.0,
    }
}

/// Number of requests at `now` before one exceeds the quota, at one of `gateways` gateways.
fn requests_within_quota(quotas: &mut TenantQuotas, now: Nanos, gateways: f64) -> usize {
    let mut requests = 0;
    while !quotas.charge(now, TENANT, gateways, false) {
        requests += 1;
        assert!(requests < 1_000, "the quota is never exceeded");
    }
    requests
}

#[test]
fn a_tenant_without_a_quota_never_exceeds_it() {
    let mut quotas = TenantQuotas::new(0, &[tenant(0.0)]);
    for _ in 0..100 {
        assert!(!quotas.charge(0, TENANT, 1.0, false));
        assert!(!quotas.charge(0, TenantId(9), 1.0, false), "unknown tenant");
    }
}

#[test]
fn a_bucket_holds_two_seconds_of_the_rate_and_at_least_six_requests() {
    let mut quotas = TenantQuotas::new(0, &[tenant(10.0)]);
    assert_eq!(requests_within_quota(&mut quotas, 0, 1.0), 6);
    assert_eq!(requests_within_quota(&mut quotas, 100 * SECOND, 1.0), 20);
    assert_eq!(requests_within_quota(&mut quotas, 200 * SECOND, 10.0), 6);
}

#[test]
fn a_clients_retry_is_not_counted() {
    let mut quotas = TenantQuotas::new(0, &[tenant(1.0)]);
    for _ in 0..100 {
        assert!(!quotas.charge(0, TENANT, 1.0, true));
    }
    assert_eq!(requests_within_quota(&mut quotas, 0, 1.0), 6);
    assert!(
        !quotas.charge(0, TENANT, 1.0, true),
        "not counted beyond the quota either"
    );
}

#[test]
fn a_refund_allows_one_more_request() {
    let mut quotas = TenantQuotas::new(0, &[tenant(1.0)]);
    requests_within_quota(&mut quotas, 0, 1.0);
    quotas.refund(TENANT);
    assert_eq!(requests_within_quota(&mut quotas, 0, 1.0), 1);
}

#[test]
fn an_update_keeps_the_tokens_of_known_tenants_and_adds_new_ones() {
    let mut quotas = TenantQuotas::new(0, &[tenant(1.0)]);
    requests_within_quota(&mut quotas, 0, 1.0);

    quotas.update(0, &[tenant(5.0), tenant(1.0)]);

    assert!(
        quotas.charge(0, TENANT, 1.0, false),
        "its tokens stay spent"
    );
    assert!(!quotas.charge(0, TenantId(1), 1.0, false));
    assert_eq!(requests_within_quota(&mut quotas, SECOND, 1.0), 5);
}
