//! Which optional features of engines the settings allow the dispatcher to use.
use crate::policy::api::Settings;

/// Optional features of the engines. What the settings do not list is neither sent to an engine nor
/// believed in its replies.
#[derive(Clone, Copy)]
pub(super) struct EngineCapabilities {
    /// Engines take a priority with an attempt and while it runs.
    pub(super) priorities: bool,
    /// Engines take the memory that an attempt may use.
    pub(super) memory_grants: bool,
    /// Engines report the cost of a query, and the report is reliable.
    pub(super) cost_reports: bool,
    /// Idempotent requests may have a hedged attempt beside the first one.
    pub(super) hedging: bool,
}

impl EngineCapabilities {
    /// The features that these settings enable.
    pub(super) fn from_settings(settings: &Settings) -> EngineCapabilities {
        EngineCapabilities {
            priorities: settings.priorities_supported,
            memory_grants: settings.memory_grants_supported,
            cost_reports: settings.reports_cost,
            hedging: settings.limits.hedging,
        }
    }
}
