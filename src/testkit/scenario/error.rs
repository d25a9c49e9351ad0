//! Errors of scenario steps.
use crate::testkit::daemon::DaemonError;

/// The error of a failed step.
#[derive(Debug, thiserror::Error)]
pub(super) enum StepError {
    #[error("unknown step")]
    UnknownStep,
    #[error("{0:?} is not a number")]
    NotANumber(String),
    #[error("unknown engine")]
    UnknownEngine,
    #[error("unknown machine type")]
    UnknownMachineType,
    #[error("unknown engine behavior")]
    UnknownBehavior,
    #[error("unknown query")]
    UnknownQuery,
    #[error("unknown outcome")]
    UnknownOutcome,
    #[error("invalid `ask` step: expected `rpc`, `keyed`, `http` or `on` with its arguments")]
    InvalidAsk,
    #[error("unknown client")]
    UnknownClient,
    #[error("unknown stream")]
    UnknownStream,
    #[error("unknown setting: {0}")]
    UnknownSetting(String),
    #[error("invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error("the daemon has not been started")]
    NotStarted,
    #[error("the daemon has no admin endpoint")]
    NoAdminEndpoint,
    #[error("can't occupy the port of the ClickHouse frontend: {0}")]
    OccupyPort(#[source] std::io::Error),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The actual result differs from the one that the step expects.
    #[error("unexpected result: {0}")]
    Unexpected(String),
    #[error("timed out")]
    Timeout,
}

/// Fails with the actual result unless the expectation is met.
pub(super) fn expect(met: bool, actual: impl FnOnce() -> String) -> Result<(), StepError> {
    if met {
        Ok(())
    } else {
        Err(StepError::Unexpected(actual()))
    }
}
