//! Why requests are rejected, and the counts of that.
use crate::policy::api::{RejectionReason, TenantId};
use std::rc::Rc;

/// Who rejected a request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// The decision module.
    Decided(RejectionReason),
    /// The process has ended its requests and admits no others.
    ShutDown,
    /// The statements in flight have reached their limit.
    StatementMemory,
    /// The frontend, without the dispatcher.
    Frontend,
}

impl RejectionCause {
    /// Its name among the metrics and in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionCause::Decided(reason) => reason.as_str(),
            RejectionCause::ShutDown => "shut_down",
            RejectionCause::StatementMemory => "statement_memory",
            RejectionCause::Frontend => "frontend",
        }
    }
}

/// What rejections are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionKey {
    /// The name of the class.
    pub class: Rc<str>,
    /// The tenant; `None` where the frontend rejected the request before it knew.
    pub tenant: Option<TenantId>,
    /// Why.
    pub cause: RejectionCause,
}

impl RejectionKey {
    /// The tenant's place in the list of the settings, or `-`.
    pub fn tenant_text(&self) -> String {
        self.tenant
            .map_or_else(|| "-".to_owned(), |tenant| tenant.0.to_string())
    }
}
