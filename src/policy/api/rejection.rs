//! Why the module rejects requests.

/// Why a request is rejected, as the place that decides it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// It arrived when the process had too little time left for it.
    ProcessStops,
    /// The work queued ahead of it leaves it no time.
    BacklogTooLong,
    /// Its deadline is near, and no engine had capacity for it.
    DeadlineNear,
    /// No engine is known, and the process stops.
    NoEngineWhileStopping,
    /// It had all its attempts.
    AttemptsExhausted,
    /// An attempt ended, and too little time is left for another one.
    NoTimeToRetry,
    /// An attempt ended, and its idempotency permits no other one now.
    RetryNotAllowed,
    /// Its attempt made too little progress.
    PlanAbandoned,
}

impl RejectionReason {
    /// Its name among the metrics and in the log.
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
