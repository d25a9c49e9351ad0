//! The optional features of engines that the settings enable.
use crate::policy::api::Settings;

/// Optional features of the engines. A feature that the settings do not enable is neither sent to
/// an engine nor used from its replies.
#[derive(Clone, Copy)]
pub(super) struct EngineCapabilities {
    /// Engines accept a priority when an attempt starts and while it runs.
    pub(super) priorities: bool,
    /// Engines accept a limit on the memory of an attempt.
    pub(super) memory_grants: bool,
    /// Engines report the cost of each query reliably.
    pub(super) cost_reports: bool,
    /// Idempotent requests may have a hedged attempt beside their first one.
    pub(super) hedging: bool,
}

impl EngineCapabilities {
    /// Returns the features that the settings enable.
    pub(super) fn from_settings(settings: &Settings) -> EngineCapabilities {
        EngineCapabilities {
            priorities: settings.priorities_supported,
            memory_grants: settings.memory_grants_supported,
            cost_reports: settings.reports_cost,
            hedging: settings.limits.hedging,
        }
    }
}
