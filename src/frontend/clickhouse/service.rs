//! The state that all connections of the ClickHouse interface share, and the conversion of an HTTP
//! request to a query: authentication, class and limits.
use super::MAX_STATEMENT_BYTES;
use super::error::QueryError;
use super::format::Format;
use super::request::{Credentials, RequestHead};
use crate::clock::{MS, Micros, SEC};
use crate::config::clickhouse::{ClassRules, Users};
use crate::dispatcher::{ClientRequest, Origin, Session};
use crate::policy::api::{ClassId, TenantId};
use std::cell::RefCell;
use std::rc::Rc;

/// The deadline of a class without a configured one.
const FALLBACK_DEADLINE: Micros = SEC;
/// The limit on `max_execution_time`, in seconds. It keeps the conversion to microseconds in range.
const MAX_EXECUTION_SECONDS: f64 = 1e6;
const BYTES_PER_MB: u32 = 1 << 20;

/// The state that all connections of this frontend share.
pub struct ClickHouseShared {
    /// Which statements belong to which class.
    pub class_rules: RefCell<ClassRules>,
    /// Which users belong to which tenant.
    pub users: RefCell<Users>,
    /// By class: the maximum time of a request over all attempts.
    pub class_deadlines: RefCell<Vec<Micros>>,
    /// By class: whether it is a load class, whose statements write.
    pub load_classes: RefCell<Vec<bool>>,
    /// Whether all engines of the pool support a default database, and not only qualified names.
    pub supports_databases: Box<dyn Fn() -> bool>,
    /// Whether client connections are being closed, so that each response announces the end of its
    /// connection.
    pub is_draining: Box<dyn Fn() -> bool>,
    /// Generates a unique identifier for a request: 16 hex digits.
    pub new_request_id: Box<dyn Fn() -> String>,
}

/// A query as a request for the dispatcher, with the data that its response needs.
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
        request_head: &RequestHead<'_>,
        body: Vec<u8>,
    ) -> Result<ParsedQuery, QueryError> {
        let credentials = request_head.credentials()?;
        let tenant = self.authenticate(&credentials)?;
        let statement = statement(request_head, body)?;
        let format = request_head.format()?;
        let database = request_head.database();
        if database.is_some() && !(self.supports_databases)() {
            return Err(QueryError::DatabaseUnsupported);
        }
        let class = self
            .class_rules
            .borrow()
            .class(&credentials.user, &statement);
        // POST is allowed for all statements. GET is allowed only for statements that read, because
        // caches and proxies treat it as a read.
        if request_head.head.start_line[0] == "GET" && self.is_load_class(class) {
            return Err(QueryError::WriteNeedsPost);
        }
        let deadline = now + self.time_limit(class, request_head)?;
        let memory_mb = request_head
            .numeric_parameter("max_memory_usage")?
            .map(|bytes| bytes / f64::from(BYTES_PER_MB));
        let client_request_id = (self.new_request_id)();
        let query_id = request_head
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
            deadline,
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

    /// The time limit of a request: the class's deadline, or `max_execution_time` if that is
    /// shorter.
    fn time_limit(
        &self,
        class: ClassId,
        request_head: &RequestHead<'_>,
    ) -> Result<Micros, QueryError> {
        let class_deadline = self
            .class_deadlines
            .borrow()
            .get(usize::from(class.0))
            .copied()
            .unwrap_or(FALLBACK_DEADLINE);
        let requested = request_head
            .numeric_parameter("max_execution_time")?
            .map(|seconds| (seconds.min(MAX_EXECUTION_SECONDS) * SEC as f64) as Micros);
        Ok(requested
            .unwrap_or(class_deadline)
            .min(class_deadline)
            .max(MS))
    }
}

/// The statement: the URL's `query` parameter followed by the body.
fn statement(request_head: &RequestHead<'_>, body: Vec<u8>) -> Result<Vec<u8>, QueryError> {
    let in_url = request_head.parameter("query").unwrap_or_default();
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
