//! The admin endpoint's protocol: HTTP/1.1 with one request per connection. This module parses and
//! formats without sockets; the listener is in `src/net/admin.rs`.
mod metrics;
mod response;

pub use metrics::metrics_text;
pub use response::{error_response, response};

use crate::audit::{MAX_PAGE_RECORDS, RecordPosition};
use crate::http::{self, ParseError};
use thiserror::Error;

/// The maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;

/// A request to the admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /ready`: whether this process is ready, and its lifecycle stage.
    Ready,
    /// `GET /metrics`: the metrics, one per line.
    Metrics,
    /// `POST /drain`: close client connections gracefully.
    Drain,
    /// `POST /undrain`: end the drain.
    Undrain,
    /// `GET /fleet`: the members of the fleet in this gateway's view, one JSON object per line.
    Fleet,
    /// `GET /duties`: the leases on the fleet's resources in this gateway's view, one JSON object
    /// per line.
    Leases,
    /// `GET /audit?since=LIFE.NUMBER&most=N`: this gateway's decisions, and the context in which
    /// each was made.
    Audit {
        /// Only records after this position.
        since: RecordPosition,
        /// At most this many records.
        limit: usize,
    },
}

/// Why a request is rejected. `Display` writes the body of the response, without its line feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The input is not an HTTP/1.x request.
    #[error("this is no HTTP/1.1 request")]
    Malformed,
    /// The head exceeds `MAX_HEAD_BYTES`.
    #[error("the head of the request is too long")]
    HeadTooLong,
    /// The request was not complete within its time limit.
    #[error("the request did not come whole in time")]
    Incomplete,
    /// No route has this path.
    #[error("there are {}", known_routes())]
    UnknownPath,
    /// The path has a route with another method.
    #[error("use {allowed}")]
    MethodNotAllowed {
        /// The method of that route.
        allowed: &'static str,
    },
    /// The query string of `/audit` is invalid.
    #[error("use since=LIFE.NUMBER and most=COUNT")]
    InvalidQuery,
}

impl RequestError {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed | RequestError::InvalidQuery => 400,
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed { .. } => 405,
            RequestError::Incomplete => 408,
            RequestError::HeadTooLong => 431,
        }
    }
}

struct Route {
    method: &'static str,
    path: &'static str,
    request: AdminRequest,
}

const fn route(method: &'static str, path: &'static str, request: AdminRequest) -> Route {
    Route {
        method,
        path,
        request,
    }
}

/// The request for `GET /audit` without parameters: the first page of all records.
const FIRST_AUDIT_PAGE: AdminRequest = AdminRequest::Audit {
    since: RecordPosition::START,
    limit: MAX_PAGE_RECORDS,
};

const ROUTES: [Route; 7] = [
    route("GET", "/ready", AdminRequest::Ready),
    route("GET", "/metrics", AdminRequest::Metrics),
    route("POST", "/drain", AdminRequest::Drain),
    route("POST", "/undrain", AdminRequest::Undrain),
    route("GET", "/fleet", AdminRequest::Fleet),
    route("GET", "/duties", AdminRequest::Leases),
    route("GET", "/audit", FIRST_AUDIT_PAGE),
];

/// The list of all routes, for the response to an unknown path.
fn known_routes() -> String {
    ROUTES
        .map(|route| format!("{} {}", route.method, route.path))
        .join(", ")
}

/// Parses a request from the input received so far; `None` if the head is incomplete. Bodies are
/// ignored.
///
/// # Errors
/// The input is not the start of a valid request, or no route matches the request.
pub fn parse_request(input: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let head = match http::parse_head(&input[..input.len().min(MAX_HEAD_BYTES)]) {
        Ok(Some((head, _length))) => head,
        Ok(None) if input.len() >= MAX_HEAD_BYTES => return Err(RequestError::HeadTooLong),
        // Input that cannot be the start of a request is rejected at once, not only at the time
        // limit.
        Ok(None) if input.first().is_some_and(|byte| !byte.is_ascii_uppercase()) => {
            return Err(RequestError::Malformed);
        }
        Ok(None) => return Ok(None),
        Err(ParseError::HeadTooLong) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Malformed),
    };
    let [method, target, version] = &head.start_line;
    if !version.starts_with("HTTP/1.") {
        return Err(RequestError::Malformed);
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let route = ROUTES
        .into_iter()
        .find(|route| route.path == path)
        .ok_or(RequestError::UnknownPath)?;
    if method != route.method {
        return Err(RequestError::MethodNotAllowed {
            allowed: route.method,
        });
    }
    match route.request {
        AdminRequest::Audit { since, limit } => parse_audit_query(query, since, limit).map(Some),
        request => Ok(Some(request)),
    }
}

/// Parses the query string of `GET /audit`. Unknown parameters are ignored, as on other routes.
fn parse_audit_query(
    query: &str,
    mut since: RecordPosition,
    mut limit: usize,
) -> Result<AdminRequest, RequestError> {
    for parameter in query.split('&') {
        match parameter.split_once('=') {
            Some(("since", position)) => {
                since = position.parse().map_err(|_| RequestError::InvalidQuery)?;
            }
            Some(("most", count)) => {
                limit = count.parse().map_err(|_| RequestError::InvalidQuery)?;
            }
            _ => {}
        }
    }
    Ok(AdminRequest::Audit {
        since,
        limit: limit.clamp(1, MAX_PAGE_RECORDS),
    })
}

#[cfg(test)]
#[path = "../../../tests/unit/admin.rs"]
mod tests;
