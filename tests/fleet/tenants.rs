//! Tenant quotas, of which each gateway has a part.
use crate::builders::*;
use crate::common::*;
use yokelift::policy::api::*;

#[test]
fn two_close_requests_within_a_small_part_of_the_quota_keep_their_priority() {
    // 41 a second over 300 gateways is one in seven seconds for each; two close together both keep
    // their priority.
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
    let mut low = 0;
    for id in 0..4 {
        let actions = gateway.submit(id, SHORT, 6 * SECOND, 200 * MILLISECOND);
        low += actions
            .iter()
            .filter(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. }))
            .count();
    }
    assert_eq!(low, 0);
}

#[test]
fn marked_retries_do_not_count_against_the_tenants_quota() {
    // One gateway with a quota of two a second and six tokens in the bucket; twelve retries come
    // before a new request.
    let mut settings = test_settings();
    settings.priorities_supported = true;
    settings.limits.may_probe = false;
    settings.tenants = vec![TenantSpec {
        quota_per_s: 2.0,
        share: 1.0,
    }];
    let low_after = |repeated: bool| {
        let mut gateway = GatewayHarness::new(settings.clone(), warm_endpoints(1..=6));
        gateway.advance(3 * SECOND);
        for id in 0..12 {
            let again = Request {
                is_retry: repeated,
                ..request(id, SHORT, gateway.now, 6 * SECOND, 200 * MILLISECOND)
            };
            gateway.receive(again);
        }
        let actions = gateway.submit(20, SHORT, 6 * SECOND, 200 * MILLISECOND);
        actions
            .iter()
            .filter(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. }))
            .count()
    };
    assert_eq!((low_after(true), low_after(false)), (0, 1));
}

#[test]
fn a_rejection_returns_the_tenants_quota_token() {
    // Twelve requests are rejected as there is no engine; their retries, unmarked, count against
    // the quota then.
    let mut settings = test_settings();
    settings.priorities_supported = true;
    settings.limits.may_probe = false;
    settings.tenants = vec![TenantSpec {
        quota_per_s: 0.01,
        share: 1.0,
    }];
    let mut gateway = GatewayHarness::new(settings, vec![]);
    let mut refused = 0;
    for id in 0..12 {
        let mut actions = gateway.submit(id, SHORT, 300 * MILLISECOND, 200 * MILLISECOND);
        actions.extend(gateway.advance(400 * MILLISECOND));
        refused += final_responses(&actions).len();
    }
    assert_eq!(refused, 12);
    gateway.update_endpoints(EndpointListKind::Full, vec![endpoint(1, 0, 0)]);
    let actions = gateway.submit(20, SHORT, 6 * SECOND, 200 * MILLISECOND);
    assert_eq!(attempts_started(&actions).len(), 1);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::SetAttemptOptions { priority: 0, .. })),
        "within its share: {actions:?}"
    );
}
