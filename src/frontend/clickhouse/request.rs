//! From an HTTP request to a query: the parameters, the user's credentials, and the settings.
use super::error::QueryError;
use super::format::Format;
use super::{ClickHouseShared, MAX_STATEMENT_BYTES};
use crate::clock::{MS, Micros, SEC};
use crate::dispatcher::{ClientRequest, Origin, Session};
use crate::http::Head;
use crate::policy::api::{ClassId, TenantId};
use base64::prelude::{BASE64_STANDARD, Engine as _};
use std::rc::Rc;

/// The user of a request that names none.
const DEFAULT_USER: &str = "default";
/// The database that counts as none.
const DEFAULT_DATABASE: &str = "default";
/// The deadline of a class that has none configured.
const FALLBACK_DEADLINE: Micros = SEC;
/// The limit on `max_execution_time`, in seconds; it keeps the conversion within range.
const MAX_EXECUTION_SECONDS: f64 = 1e6;
const BYTES_PER_MB: u32 = 1 << 20;

/// The head of an HTTP request, and the parameters of its URL.
pub(super) struct RequestHead<'a> {
    pub(super) head: &'a Head,
    /// Names and values, decoded.
    pub(super) parameters: &'a [(String, String)],
}

impl<'a> RequestHead<'a> {
    /// The first URL parameter with that name.
    pub(super) fn parameter(&self, name: &str) -> Option<&'a str> {
        self.parameters
            .iter()
            .find(|(parameter, _)| parameter == name)
            .map(|(_, value)| value.as_str())
    }

    /// The URL parameter as a number; zero counts as not set, as in ClickHouse.
    fn number(&self, name: &str) -> Result<Option<f64>, QueryError> {
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

    fn format(&self) -> Result<Format, QueryError> {
        let name = self
            .parameter("default_format")
            .or(self.head.field("x-clickhouse-format"));
        Format::from_name(name.unwrap_or_default()).ok_or(QueryError::UnknownFormat)
    }

    fn database(&self) -> Option<&'a str> {
        self.parameter("database")
            .or(self.head.field("x-clickhouse-database"))
            .filter(|database| !database.is_empty() && *database != DEFAULT_DATABASE)
    }

    fn credentials(&self) -> Result<Credentials, QueryError> {
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

struct Credentials {
    user: String,
    key: String,
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

/// A query, as the request for the dispatcher, and what its response depends on.
pub(super) struct ParsedQuery {
    pub(super) request: ClientRequest,
    pub(super) query_id: String,
    pub(super) format: Format,
}

impl ClickHouseShared {
    /// Authenticates the user and validates the query of an HTTP request.
    pub(super) fn parse_query(
        &self,
        now: Micros,
        origin: Origin,
        head: &RequestHead<'_>,
        body: Vec<u8>,
    ) -> Result<ParsedQuery, QueryError> {
        let credentials = head.credentials()?;
        let tenant = self.authenticate(&credentials)?;
        let statement = statement(head, body)?;
        let format = head.format()?;
        let database = head.database();
        if database.is_some() && !(self.supports_databases)() {
            return Err(QueryError::DatabaseUnsupported);
        }
        let class = self
            .class_rules
            .borrow()
            .class(&credentials.user, &statement);
        // Any statement may come by POST. GET is for statements that only read, since caches and
        // proxies treat it so.
        if head.head.first[0] == "GET" && self.is_load_class(class) {
            return Err(QueryError::WriteNeedsPost);
        }
        let give_up_at = now + self.time_limit(class, head)?;
        let memory_mb = head
            .number("max_memory_usage")?
            .map(|bytes| bytes / f64::from(BYTES_PER_MB));
        let client_request_id = (self.new_request_id)();
        let query_id = head
            .parameter("query_id")
            .filter(|id| !id.is_empty())
            .unwrap_or(&client_request_id)
            .to_owned();
        let session = Session {
            database: database.map(Into::into),
            query_id: Some(query_id.as_str().into()),
        };
        let request = ClientRequest {
            origin,
            client_request_id: client_request_id.into(),
            class,
            tenant,
            deadline: give_up_at,
            work_estimate: None,
            memory_mb,
            is_retry: false,
            statement: statement.into(),
            session: Some(Rc::new(session)),
            idempotency_key: None,
        };
        Ok(ParsedQuery {
            request,
            query_id,
            format,
        })
    }

    fn authenticate(&self, credentials: &Credentials) -> Result<TenantId, QueryError> {
        self.users
            .borrow()
            .find(&credentials.user, &credentials.key)
            .ok_or(QueryError::AuthenticationFailed)?
            .ok_or(QueryError::UserWithoutTenant)
    }

    fn is_load_class(&self, class: ClassId) -> bool {
        let load_classes = self.load_classes.borrow();
        load_classes
            .get(usize::from(class.0))
            .copied()
            .unwrap_or(false)
    }

    /// How long the client waits: the class's deadline, or less if the request says so.
    fn time_limit(&self, class: ClassId, head: &RequestHead<'_>) -> Result<Micros, QueryError> {
        let class_deadline = self
            .class_deadlines
            .borrow()
            .get(usize::from(class.0))
            .copied()
            .unwrap_or(FALLBACK_DEADLINE);
        let requested = head
            .number("max_execution_time")?
            .map(|seconds| (seconds.min(MAX_EXECUTION_SECONDS) * SEC as f64) as Micros);
        Ok(requested
            .unwrap_or(class_deadline)
            .min(class_deadline)
            .max(MS))
    }
}

/// The statement: it begins in the URL and continues in the body.
fn statement(head: &RequestHead<'_>, body: Vec<u8>) -> Result<Vec<u8>, QueryError> {
    let in_url = head.parameter("query").unwrap_or_default();
    let mut statement = in_url.as_bytes().to_vec();
    if !statement.is_empty() && !body.is_empty() {
        statement.push(b'\n');
    }
    statement.extend(body);
    if statement.iter().all(u8::is_ascii_whitespace) {
        return Err(QueryError::EmptyQuery);
    }
    if statement.len() > MAX_STATEMENT_BYTES {
        return Err(QueryError::StatementTooLong);
    }
    Ok(statement)
}
