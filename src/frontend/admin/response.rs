//! Formatting of the admin endpoint's responses.
use super::RequestError;

/// Formats a response with this body and `Connection: close`.
pub fn response(status: u16, body: &str) -> Vec<u8> {
    format_response(status, None, body)
}

/// Formats the response to a rejected request.
pub fn error_response(error: RequestError) -> Vec<u8> {
    let allowed = match error {
        RequestError::MethodNotAllowed { allowed } => Some(allowed),
        _ => None,
    };
    format_response(error.status(), allowed, &format!("{error}\n"))
}

fn format_response(status: u16, allowed_method: Option<&str>, body: &str) -> Vec<u8> {
    let reason = reason_phrase(status);
    let allow = allowed_method.map_or_else(String::new, |method| format!("Allow: {method}\r\n"));
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\n\
         Content-Type: text/plain; charset=utf-8\r\n\
         {allow}\
         Content-Length: {length}\r\n\
         Connection: close\r\n\
         \r\n\
         {body}"
    )
    .into_bytes()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}
