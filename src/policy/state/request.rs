//! State of one request and its attempts.
use super::running::Running;
use crate::policy::api::{
    AttemptNo, ClassId, ClassSpec, Endpoint, EngineId, Idempotency, Nanos, OrderKey, Request,
    RequestId,
};
use std::collections::BTreeSet;

/// An attempt in flight.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNo,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Nanos,
    /// Expected time on an idle engine, in seconds.
    pub(crate) unloaded_seconds: f64,
    /// Expected time at the slowdown that the engine had when it was sent, in seconds.
    pub(crate) expected_seconds: f64,
    /// Capacity that it uses; zero once it is presumed lost.
    pub(crate) running: Running,
    /// Threads per core that its engine was estimated to run when it was sent.
    pub(crate) threads_per_core: f64,
    /// When it was sent or last reported progress.
    pub(crate) last_activity_at: Nanos,
    /// A cancellation was ordered.
    pub(crate) cancelling: bool,
}

/// An engine that may have executed a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Nanos,
}

/// A request that has no final response yet or has attempts in flight.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// The request as the client sent it.
    pub(crate) request: Request,
    pub(crate) arrived_at: Nanos,
    /// It exceeded its tenant's quota when it arrived.
    pub(crate) over_quota: bool,
    /// It has its final response; it is kept only while attempts are in flight.
    pub(crate) finished: bool,
    /// Number of attempts started so far, in flight or ended.
    pub(crate) attempts_started: u32,
    /// Maximum number of attempts, from the settings at its arrival.
    pub(crate) max_attempts: u32,
    /// Attempts in flight; two while a hedged attempt runs.
    pub(crate) attempts: Vec<Attempt>,
    /// The earliest ended attempt that may have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Engines of all attempts so far.
    pub(crate) tried_engines: BTreeSet<EngineId>,
    /// Until when it waits for load probes.
    pub(crate) awaiting_probes_until: Nanos,
    /// Number of its attempts that were cancelled.
    pub(crate) cancellations: u32,
}

impl PendingRequest {
    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    pub(crate) fn class_id(&self) -> ClassId {
        self.request.class
    }

    /// When the client stops waiting.
    pub(crate) fn deadline(&self) -> Nanos {
        self.request.deadline
    }

    /// The data set that it reads; 0 if unknown.
    pub(crate) fn data_set(&self) -> u64 {
        self.request.data_set
    }

    /// The key by which it is ordered, for classes that are serial per key.
    pub(crate) fn key(&self) -> Option<OrderKey> {
        self.request.key
    }

    /// Whether it waits for an attempt: it has no final response and no attempt in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.finished && self.attempts.is_empty()
    }

    /// Whether it has attempts left; one is always allowed.
    pub(crate) fn may_start_attempt(&self) -> bool {
        self.attempts_started < self.max_attempts.max(1)
    }

    /// The earliest attempt that may have been executed, or is in flight.
    pub(crate) fn earliest_execution(&self) -> Option<PossibleExecution> {
        let in_flight = self.attempts.iter().map(|attempt| PossibleExecution {
            engine: attempt.engine,
            sent_at: attempt.sent_at,
        });
        let possible = in_flight.chain(self.possible_execution);
        possible.min_by_key(|execution| execution.sent_at)
    }

    /// Records an ended attempt that may have been executed. The earliest one is kept, because
    /// the window of the idempotency key starts with it.
    pub(crate) fn record_possible_execution(&mut self, execution: PossibleExecution) {
        let known = self.possible_execution.into_iter();
        let earliest = known
            .chain([execution])
            .min_by_key(|execution| execution.sent_at);
        self.possible_execution = earliest;
    }

    /// The attempt in flight with this number.
    pub(crate) fn attempt_mut(&mut self, number: AttemptNo) -> Option<&mut Attempt> {
        let mut attempts = self.attempts.iter_mut();
        attempts.find(|attempt| attempt.number == number)
    }

    /// Removes and returns the attempt in flight with this number.
    pub(crate) fn take_attempt(&mut self, number: AttemptNo) -> Option<Attempt> {
        let mut attempts = self.attempts.iter();
        let position = attempts.position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(position))
    }

    /// Its idempotency: that of its class, unless the request itself must not be repeated.
    pub(crate) fn idempotency(&self, class: &ClassSpec) -> Idempotency {
        if self.request.must_not_repeat {
            Idempotency::NonIdempotent
        } else {
            class.idempotency
        }
    }
}

/// Invariant 6: whether the class may use the endpoint, by its allowed zones and machine types.
pub(crate) fn is_placement_allowed(class: &ClassSpec, endpoint: &Endpoint) -> bool {
    let zones = class.allowed_zones.as_ref();
    let machine_types = class.allowed_machine_types.as_ref();
    zones.is_none_or(|zones| zones.contains(&endpoint.zone))
        && machine_types.is_none_or(|allowed| allowed.contains(&endpoint.machine_type))
}
