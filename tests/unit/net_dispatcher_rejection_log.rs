//! The log line about rejections.
use super::*;
use crate::dispatcher::rejection::RejectionCause;
use crate::policy::api::{RejectionReason, TenantId};

fn key(tenant: Option<u16>, cause: RejectionCause) -> RejectionKey {
    RejectionKey {
        class: "lookup".into(),
        tenant: tenant.map(TenantId),
        cause,
    }
}

/// Guards against a log line for each request, and against rejections that no line counts.
#[test]
fn at_most_one_line_per_second_reports_all_rejections_since_the_last_one() {
    let near = key(
        Some(1),
        RejectionCause::Decided(RejectionReason::DeadlineNear),
    );
    let frontend = key(None, RejectionCause::Frontend);
    let mut log = RejectionLog::default();
    let mut counts = BTreeMap::from([(near.clone(), 2)]);

    let first = log.line(10 * SEC, 2, &counts);
    assert_eq!(
        first.as_deref(),
        Some(
            "rejected 2 requests, most frequent causes: 2 (class lookup, tenant 1, reason deadline_near)"
        )
    );

    counts.insert(near, 5);
    counts.insert(frontend, 1);
    assert_eq!(log.line(10 * SEC + 999_999, 6, &counts), None);
    let second = log.line(11 * SEC, 6, &counts);
    assert_eq!(
        second.as_deref(),
        Some(
            "rejected 4 requests, most frequent causes: 3 (class lookup, tenant 1, reason deadline_near), 1 (class lookup, tenant -, reason frontend)"
        )
    );
    assert_eq!(log.line(12 * SEC, 6, &counts), None);
}
