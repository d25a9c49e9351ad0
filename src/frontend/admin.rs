//! The second address, for operators alone: HTTP/1.1, one call to a connection. Parser and wording,
//! no sockets.
use crate::audit::{MAX_PAGE_RECORDS, RecordPosition};
use crate::dispatcher::metrics::{ClassMetrics, MetricsSnapshot};
use crate::http::{self, Fault};
use std::fmt::Write as _;

/// A longer head is refused.
const MOST_HEAD: usize = 4 * 1024;

/// What an operator can ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /ready`
    Ready,
    /// `GET /metrics`
    Metrics,
    /// `POST /drain`
    Drain,
    /// `POST /undrain`
    Undrain,
    /// `GET /fleet`: the members of the fleet as this manager sees them, one JSON object a line.
    Fleet,
    /// `GET /duties`: who owns which fleet work, as this manager sees it, one JSON object a line.
    Duties,
    /// `GET /audit?since=LIFE.NUMBER&most=N`: what this manager decided after that record, and on
    /// what.
    Audit(RecordPosition, usize),
}

/// Why a call can't be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// It is not HTTP/1.x.
    Malformed,
    /// Its head is too long.
    TooLong,
    /// It did not come whole in time.
    Late,
    /// There is no such call.
    Unknown,
    /// The call has another method: that one.
    Method(&'static str),
    /// What is said behind its path can't be used.
    Query,
}

const CALLS: [(&str, &str, AdminRequest); 7] = [
    ("GET", "/ready", AdminRequest::Ready),
    ("GET", "/metrics", AdminRequest::Metrics),
    ("POST", "/drain", AdminRequest::Drain),
    ("POST", "/undrain", AdminRequest::Undrain),
    ("GET", "/fleet", AdminRequest::Fleet),
    ("GET", "/duties", AdminRequest::Duties),
    (
        "GET",
        "/audit",
        AdminRequest::Audit(RecordPosition::START, MAX_PAGE_RECORDS),
    ),
];

/// Reads a call, if its head is there whole. A body means nothing.
pub fn call(input: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let (head, length) = match http::head(&input[..input.len().min(MOST_HEAD)]) {
        Ok(Some(read)) => read,
        Ok(None) if input.len() >= MOST_HEAD => return Err(RequestError::TooLong),
        // What can't become a call is told so at once, not after the deadline.
        Ok(None) if !input.is_empty() && !input[0].is_ascii_uppercase() => {
            return Err(RequestError::Malformed);
        }
        Ok(None) => return Ok(None),
        Err(Fault::HeadTooLong) => return Err(RequestError::TooLong),
        Err(_) => return Err(RequestError::Malformed),
    };
    debug_assert!(length <= input.len());
    let [method, target, version] = &head.first;
    if !version.starts_with("HTTP/1.") {
        return Err(RequestError::Malformed);
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (right, _, call) = CALLS
        .iter()
        .find(|(_, p, _)| *p == path)
        .ok_or(RequestError::Unknown)?;
    if method != right {
        return Err(RequestError::Method(right));
    }
    match call {
        AdminRequest::Audit(since, most) => audit(query, *since, *most).map(Some),
        _ => Ok(Some(*call)),
    }
}

/// The words of `GET /audit`: others than its own are left aside, as on the other calls.
fn audit(
    query: &str,
    mut since: RecordPosition,
    mut most: usize,
) -> Result<AdminRequest, RequestError> {
    for word in query.split('&') {
        match word.split_once('=') {
            Some(("since", place)) => since = place.parse().map_err(|_| RequestError::Query)?,
            Some(("most", count)) => most = count.parse().map_err(|_| RequestError::Query)?,
            _ => {}
        }
    }
    Ok(AdminRequest::Audit(since, most.clamp(1, MAX_PAGE_RECORDS)))
}

/// An answer, whole.
pub fn answer(status: u16, allow: Option<&str>, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let mut head =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\n");
    if let Some(allow) = allow {
        let _ = write!(head, "Allow: {allow}\r\n");
    }
    let _ = write!(
        head,
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// The answer to a call that can't be answered.
pub fn wrong(why: RequestError) -> Vec<u8> {
    match why {
        RequestError::Malformed => answer(400, None, "this is no HTTP/1.1 request\n"),
        RequestError::TooLong => answer(431, None, "the head of the request is too long\n"),
        RequestError::Late => answer(408, None, "the request did not come whole in time\n"),
        RequestError::Unknown => {
            let calls = CALLS
                .map(|(method, path, _)| format!("{method} {path}"))
                .join(", ");
            answer(404, None, &format!("there are {calls}\n"))
        }
        RequestError::Query => answer(400, None, "use since=LIFE.NUMBER and most=COUNT\n"),
        RequestError::Method(right) => answer(405, Some(right), &format!("use {right}\n")),
    }
}

/// All figures, one a line: the one table of their names.
pub fn figures(f: &MetricsSnapshot) -> String {
    let mut out = String::with_capacity(1024);
    for (class, tally) in &f.classes {
        let ClassMetrics {
            success,
            overload,
            error,
        } = tally;
        for (name, n) in [
            ("success", success),
            ("overload", overload),
            ("error", error),
        ] {
            let _ = writeln!(out, "app.replies.{class}.{name}:{n}|c");
        }
    }
    for (name, n, kind) in [
        ("dispatches", f.dispatches, 'c'),
        ("concurrent", f.concurrent, 'g'),
        ("targets", f.targets, 'g'),
        ("targets_disabled", f.targets_disabled, 'g'),
        ("reload_success", f.reload_success, 'c'),
        ("reload_failure", f.reload_failure, 'c'),
    ] {
        let _ = writeln!(out, "app.{name}:{n}|{kind}");
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards each caller's answer: the same however the bytes are cut, and each fault under its
    /// own status.
    #[test]
    fn calls_are_read_however_they_are_cut_and_faults_are_named() {
        let wire = b"POST /drain?by=anna HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        for cut in 0..wire.len() {
            assert_eq!(call(&wire[..cut]), Ok(None));
        }
        assert_eq!(call(wire), Ok(Some(AdminRequest::Drain)));
        assert_eq!(
            call(b"GET /metrics HTTP/1.0\r\n\r\n"),
            Ok(Some(AdminRequest::Metrics))
        );
        assert_eq!(
            call(b"GET /drain HTTP/1.1\r\n\r\n"),
            Err(RequestError::Method("POST"))
        );
        assert_eq!(call(b"GET / HTTP/1.1\r\n\r\n"), Err(RequestError::Unknown));
        assert_eq!(
            call(b"GET /ready HTTP/2\r\n\r\n"),
            Err(RequestError::Malformed)
        );
        assert_eq!(call(b"\x16\x03\x01"), Err(RequestError::Malformed));
        let long = [b"GET /ready HTTP/1.1\r\nX: ".as_slice(), &[b'a'; MOST_HEAD]].concat();
        assert_eq!(call(&long), Err(RequestError::TooLong));
        let text = |why| String::from_utf8_lossy(&wrong(why)).into_owned();
        assert!(
            text(RequestError::Method("POST")).starts_with("HTTP/1.1 405 ")
                && text(RequestError::Method("POST")).contains("Allow: POST\r\n")
        );
        assert!(
            text(RequestError::Unknown).starts_with("HTTP/1.1 404 ")
                && text(RequestError::TooLong).starts_with("HTTP/1.1 431 ")
        );
    }

    /// Guards the names, which the operators' scrapers look for.
    #[test]
    fn each_figure_has_its_name_and_kind() {
        let tally = ClassMetrics {
            success: 812,
            overload: 3,
            error: 0,
        };
        let classes = [("lookup".into(), tally)].into_iter().collect();
        let figures_now = MetricsSnapshot {
            classes,
            concurrent: 14,
            targets: 7,
            ..MetricsSnapshot::default()
        };
        let text = figures(&figures_now);
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(
            lines[..3],
            [
                "app.replies.lookup.success:812|c",
                "app.replies.lookup.overload:3|c",
                "app.replies.lookup.error:0|c"
            ]
        );
        assert!(lines.contains(&"app.concurrent:14|g") && lines.contains(&"app.targets:7|g"));
        assert!(lines.contains(&"app.reload_failure:0|c") && lines.contains(&"app.dispatches:0|c"));
    }
}
