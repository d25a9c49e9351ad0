//! Extracts the parameters, credentials and settings from the head of an HTTP request.
use super::error::QueryError;
use super::format::Format;
use crate::http::Head;
use base64::prelude::{BASE64_STANDARD, Engine as _};

/// The user of a request that does not name one.
const DEFAULT_USER: &str = "default";
/// The database name that is treated like no database.
const DEFAULT_DATABASE: &str = "default";
/// The head of an HTTP request, and the parameters of its URL.
pub(super) struct RequestHead<'a> {
    pub(super) head: &'a Head,
    /// Names and values of the URL's parameters, decoded.
    pub(super) parameters: &'a [(String, String)],
}

impl<'a> RequestHead<'a> {
    /// The first URL parameter with this name.
    pub(super) fn parameter(&self, name: &str) -> Option<&'a str> {
        self.parameters
            .iter()
            .find(|(parameter, _)| parameter == name)
            .map(|(_, value)| value.as_str())
    }

    /// The URL parameter as a number. Zero is treated as not set, as in ClickHouse.
    pub(super) fn numeric_parameter(&self, name: &str) -> Result<Option<f64>, QueryError> {
        let Some(text) = self.parameter(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => {
                Ok(Some(number).filter(|number| *number > 0.0))
            }
            _ => Err(QueryError::InvalidNumber),
        }
    }

    pub(super) fn format(&self) -> Result<Format, QueryError> {
        let name = self
            .parameter("default_format")
            .or(self.head.field("x-clickhouse-format"));
        Format::from_name(name.unwrap_or_default()).ok_or(QueryError::UnknownFormat)
    }

    pub(super) fn database(&self) -> Option<&'a str> {
        self.parameter("database")
            .or(self.head.field("x-clickhouse-database"))
            .filter(|database| !database.is_empty() && *database != DEFAULT_DATABASE)
    }

    pub(super) fn credentials(&self) -> Result<Credentials, QueryError> {
        let header = |name: &str| self.head.field(name).map(str::to_owned);
        if let Some(user) = header("x-clickhouse-user") {
            let key = header("x-clickhouse-key").unwrap_or_default();
            return Ok(Credentials { user, key });
        }
        if let Some(authorization) = self.head.field("authorization") {
            return Credentials::from_basic(authorization).ok_or(QueryError::AuthenticationFailed);
        }
        Ok(Credentials {
            user: self.parameter("user").unwrap_or(DEFAULT_USER).to_owned(),
            key: self.parameter("password").unwrap_or_default().to_owned(),
        })
    }
}

/// The credentials of a request.
pub(super) struct Credentials {
    pub(super) user: String,
    pub(super) key: String,
}

impl Credentials {
    /// Decodes the value of an `Authorization` header with the scheme `Basic` (RFC 7617).
    fn from_basic(authorization: &str) -> Option<Credentials> {
        let (scheme, encoded) = authorization.split_once(' ').unwrap_or((authorization, ""));
        if !scheme.eq_ignore_ascii_case("basic") {
            return None;
        }
        let decoded = BASE64_STANDARD.decode(encoded.trim()).ok()?;
        let text = String::from_utf8(decoded).ok()?;
        let (user, key) = text.split_once(':')?;
        Some(Credentials {
            user: user.to_owned(),
            key: key.to_owned(),
        })
    }
}
