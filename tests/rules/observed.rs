//! What the checker records of events and actions.
use crate::common::*;
use yokelift::policy::api::*;

/// Work of a request, by class.
pub(crate) const WORK: [Nanos; 4] = [200 * MILLISECOND, SECOND, 2 * SECOND, 100 * MILLISECOND];
/// An attempt, as observed by the checker.
#[derive(Clone)]
pub(crate) struct ObservedAttempt {
    pub(crate) engine: EngineId,
    pub(crate) started_at: Nanos,
    pub(crate) ended: Option<EndedAttempt>,
    pub(crate) cancelled: bool,
}

#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt {
    pub(crate) kind: OutcomeKind,
    pub(crate) at: Nanos,
}

impl ObservedAttempt {
    pub(crate) fn is_running(&self) -> bool {
        self.ended.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|ended| {
            !matches!(
                ended.kind,
                OutcomeKind::Rejected | OutcomeKind::ConnectFailed | OutcomeKind::NeverSent
            )
        })
    }
}

/// A request, as observed by the checker.
pub(crate) struct ObservedRequest {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<ObservedAttempt>,
    pub(crate) finished_at: Option<Nanos>,
    pub(crate) responses: u32,
}

/// Identifies an attempt of a request by its index.
#[derive(Clone, Copy)]
pub(crate) struct AttemptRef {
    pub(crate) request: RequestId,
    pub(crate) index: usize,
}

/// An attempt beyond the first of its request.
#[derive(PartialEq, Eq)]
pub(crate) struct Retry {
    pub(crate) at: Nanos,
    pub(crate) request: RequestId,
}

/// Work that was sent to an engine in slow start.
pub(crate) struct SlowStartWork {
    pub(crate) at: Nanos,
    pub(crate) engine: EngineId,
    pub(crate) work: f64,
}

/// A period in which the gateway was stalled. Everything that became due in it is due at its end.
pub(crate) struct Stall {
    pub(crate) from: Nanos,
    pub(crate) until: Nanos,
}
