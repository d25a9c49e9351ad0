//! The causes of rejections, and the keys by which rejections are counted.
use crate::policy::api::{RejectionReason, TenantId};
use std::rc::Rc;

/// The component that rejected a request, and its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// The decision module, for this reason.
    Decided(RejectionReason),
    /// The process has ended its requests for shutdown and no longer admits requests.
    ShutDown,
    /// The statements in flight have reached the limit on their total length.
    StatementMemory,
    /// The frontend, without passing the request to the dispatcher.
    Frontend,
}

impl RejectionCause {
    /// The cause's name in the metrics and in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionCause::Decided(reason) => reason.as_str(),
            RejectionCause::ShutDown => "shut_down",
            RejectionCause::StatementMemory => "statement_memory",
            RejectionCause::Frontend => "frontend",
        }
    }
}

/// The key by which rejections are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionKey {
    /// The name of the class.
    pub class: Rc<str>,
    /// The tenant; `None` if the frontend rejected the request before the tenant was known.
    pub tenant: Option<TenantId>,
    /// The cause of the rejection.
    pub cause: RejectionCause,
}

impl RejectionKey {
    /// The tenant's index in the settings' list of tenants, or `-` without a tenant.
    pub fn tenant_text(&self) -> String {
        self.tenant
            .map_or_else(|| "-".to_owned(), |tenant| tenant.0.to_string())
    }
}
