//! The admin endpoint's protocol: parsing of requests, error responses, and the text of the
//! metrics.
use super::*;
use crate::dispatcher::metrics::{ClassMetrics, MetricsSnapshot};
use crate::dispatcher::rejection::{RejectionCause, RejectionKey};
use crate::policy::api::{RejectionReason, TenantId};

fn error_text(error: RequestError) -> String {
    String::from_utf8(error_response(error)).expect("text")
}

#[test]
fn a_request_is_parsed_once_its_head_is_complete_however_it_is_divided() {
    let input = b"POST /drain?by=anna HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

    for length in 0..input.len() {
        assert_eq!(parse_request(&input[..length]), Ok(None));
    }
    assert_eq!(parse_request(input), Ok(Some(AdminRequest::Drain)));
    assert_eq!(
        parse_request(b"GET /metrics HTTP/1.0\r\n\r\n"),
        Ok(Some(AdminRequest::Metrics))
    );
}

#[test]
fn an_invalid_request_is_rejected_with_its_cause() {
    let too_long = [
        b"GET /ready HTTP/1.1\r\nX: ".as_slice(),
        &[b'a'; MAX_HEAD_BYTES],
    ]
    .concat();
    assert_eq!(
        parse_request(b"GET /drain HTTP/1.1\r\n\r\n"),
        Err(RequestError::MethodNotAllowed { allowed: "POST" })
    );
    assert_eq!(
        parse_request(b"GET / HTTP/1.1\r\n\r\n"),
        Err(RequestError::UnknownPath)
    );
    assert_eq!(
        parse_request(b"GET /ready HTTP/2\r\n\r\n"),
        Err(RequestError::Malformed)
    );
    assert_eq!(parse_request(b"\x16\x03\x01"), Err(RequestError::Malformed));
    assert_eq!(parse_request(&too_long), Err(RequestError::HeadTooLong));
}

#[test]
fn each_error_has_its_own_status() {
    let method_not_allowed = error_text(RequestError::MethodNotAllowed { allowed: "POST" });
    assert!(method_not_allowed.starts_with("HTTP/1.1 405 "));
    assert!(method_not_allowed.contains("Allow: POST\r\n"));
    assert!(error_text(RequestError::UnknownPath).starts_with("HTTP/1.1 404 "));
    assert!(error_text(RequestError::HeadTooLong).starts_with("HTTP/1.1 431 "));
}

#[test]
fn an_unknown_path_gets_the_list_of_routes() {
    assert_eq!(
        error_text(RequestError::UnknownPath),
        "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain; charset=utf-8\r\n\
         Content-Length: 100\r\nConnection: close\r\n\r\nthere are GET /ready, GET /metrics, \
         POST /drain, POST /undrain, GET /fleet, GET /duties, GET /audit\n"
    );
}

/// Guards the names on which operators' scrapers depend.
#[test]
fn each_metric_has_its_documented_name_and_kind() {
    let lookup = ClassMetrics {
        success: 812,
        overload: 3,
        error: 0,
    };
    let snapshot = MetricsSnapshot {
        classes: [("lookup".into(), lookup)].into_iter().collect(),
        concurrent: 14,
        targets: 7,
        ..MetricsSnapshot::default()
    };

    let text = metrics_text(&snapshot);

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[..3],
        [
            "app.replies.lookup.success:812|c",
            "app.replies.lookup.overload:3|c",
            "app.replies.lookup.error:0|c"
        ]
    );
    for line in [
        "app.concurrent:14|g",
        "app.targets:7|g",
        "app.reload_failure:0|c",
        "app.dispatches:0|c",
    ] {
        assert!(lines.contains(&line), "{line}");
    }
}

/// Guards against rejections that operators cannot attribute to a class, tenant and cause.
#[test]
fn rejections_are_published_by_class_tenant_and_cause() {
    let key = |tenant: Option<u16>, cause| RejectionKey {
        class: "lookup".into(),
        tenant: tenant.map(TenantId),
        cause,
    };
    let backlog = RejectionCause::Decided(RejectionReason::BacklogTooLong);
    let snapshot = MetricsSnapshot {
        rejections: [
            (key(None, RejectionCause::Frontend), 2),
            (key(Some(4), backlog), 7),
        ]
        .into_iter()
        .collect(),
        ..MetricsSnapshot::default()
    };

    let text = metrics_text(&snapshot);

    for line in [
        "app.rejections.lookup.-.frontend:2|c",
        "app.rejections.lookup.4.backlog_too_long:7|c",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}: {text}");
    }
}
