//! Reasons for which the module rejects requests.

/// Why a request is rejected, set where that is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// It arrived when the process had too little time left before its exit.
    ProcessStops,
    /// The work queued ahead of it takes too long for it to complete in time.
    BacklogTooLong,
    /// Its deadline is near, and no engine has had capacity for it.
    DeadlineNear,
    /// No engine is available, and the process shuts down.
    NoEngineWhileStopping,
    /// It has used up its attempts.
    AttemptsExhausted,
    /// An attempt ended, and too little time is left for a retry.
    NoTimeToRetry,
    /// An attempt ended, and its idempotency does not allow a retry now.
    RetryNotAllowed,
    /// Its attempt made too little progress.
    PlanAbandoned,
}

impl RejectionReason {
    /// The name of the reason in metrics and in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::ProcessStops => "process_stops",
            RejectionReason::BacklogTooLong => "backlog_too_long",
            RejectionReason::DeadlineNear => "deadline_near",
            RejectionReason::NoEngineWhileStopping => "no_engine_while_stopping",
            RejectionReason::AttemptsExhausted => "attempts_exhausted",
            RejectionReason::NoTimeToRetry => "no_time_to_retry",
            RejectionReason::RetryNotAllowed => "retry_not_allowed",
            RejectionReason::PlanAbandoned => "plan_abandoned",
        }
    }
}
