//! Why a step of a scenario failed.
use crate::testkit::daemon::DaemonError;

/// Why a step of a scenario failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum StepError {
    #[error("no such step")]
    UnknownStep,
    #[error("{0:?} is no number")]
    NotANumber(String),
    #[error("no such engine")]
    UnknownEngine,
    #[error("no such kind")]
    UnknownKind,
    #[error("no such behavior of an engine")]
    UnknownBehavior,
    #[error("no such query")]
    UnknownQuery,
    #[error("no such outcome")]
    UnknownOutcome,
    #[error("ask how?")]
    UnknownQueryForm,
    #[error("no such client")]
    UnknownClient,
    #[error("no such stream")]
    UnknownStream,
    #[error("no such place in the settings: {0}")]
    UnknownSetting(String),
    #[error("no JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error("not started")]
    NotStarted,
    #[error("no second address")]
    NoAdminEndpoint,
    #[error("no port could be occupied: {0}")]
    Occupy(#[source] std::io::Error),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// Something else was found than the step expects.
    #[error("found {0}")]
    Unexpected(String),
    #[error("it did not come to pass in time")]
    Timeout,
}

/// Fails with what was found instead, unless the expectation is met.
pub(super) fn expect(met: bool, found: impl FnOnce() -> String) -> Result<(), StepError> {
    if met {
        Ok(())
    } else {
        Err(StepError::Unexpected(found()))
    }
}
