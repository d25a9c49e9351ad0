//! Tenant quotas, of which each gateway has a share.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn a_burst_within_a_small_share_of_the_quota_keeps_its_priority() {
    // A quota of 41 requests per second over 300 gateways is one request in seven seconds for each.
    // Requests that arrive close together keep their priority.
    let mut settings = test_settings();
    settings.gateways = GATEWAYS;
    settings.priorities_supported = true;
    settings.limits.may_probe = false;
    settings.tenants = vec![TenantSpec {
        quota_per_s: 41.0,
        share: 1.0,
    }];
    let mut gateway = gateway_at(1, settings, warm_endpoints(1..=6));
    gateway.advance(3 * SECOND);
    let mut low_priority_count = 0;
    for id in 0..4 {
        let actions = gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        low_priority_count += actions
            .iter()
            .filter(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. }))
            .count();
    }
    assert_eq!(low_priority_count, 0);
}

#[test]
fn marked_retries_do_not_count_against_the_tenants_quota() {
    // One gateway with a quota of two requests per second and six tokens in the bucket. Twelve
    // retries arrive before a new request.
    let mut settings = test_settings();
    settings.priorities_supported = true;
    settings.limits.may_probe = false;
    settings.tenants = vec![TenantSpec {
        quota_per_s: 2.0,
        share: 1.0,
    }];
    let low_priority_count = |marked_as_retry: bool| {
        let mut gateway = GatewayHarness::new(settings.clone(), warm_endpoints(1..=6));
        gateway.advance(3 * SECOND);
        for id in 0..12 {
            let retry = Request {
                is_retry: marked_as_retry,
                ..request(id, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
            };
            gateway.receive(retry);
        }
        let actions = gateway.submit(20, SHORT, 6 * SECOND, 200 * MILLISECOND);
        actions
            .iter()
            .filter(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. }))
            .count()
    };
    assert_eq!(
        (low_priority_count(true), low_priority_count(false)),
        (0, 1)
    );
}

#[test]
fn a_rejection_returns_the_tenants_quota_token() {
    // Twelve requests are rejected because there is no engine, and each returns its quota token. A
    // later request, which is not marked as a retry, is therefore within the quota.
    let mut settings = test_settings();
    settings.priorities_supported = true;
    settings.limits.may_probe = false;
    settings.tenants = vec![TenantSpec {
        quota_per_s: 0.01,
        share: 1.0,
    }];
    let mut gateway = GatewayHarness::new(settings, vec![]);
    let mut rejected = 0;
    for id in 0..12 {
        let mut actions = gateway.submit(id, SHORT, 300 * MILLISECOND, 200 * MILLISECOND);
        actions.extend(gateway.advance(400 * MILLISECOND));
        rejected += final_responses(&actions).len();
    }
    assert_eq!(rejected, 12);
    gateway.update_endpoints(EndpointListKind::Full, vec![endpoint(1, 0, 0)]);
    let actions = gateway.submit(20, SHORT, 6 * SECOND, 200 * MILLISECOND);
    assert_eq!(attempts_started(&actions).len(), 1);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. })),
        "the request is within the quota: {actions:?}"
    );
}
