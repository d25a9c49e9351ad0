//! Estimates for one request: its class, work and time, and until when a response is useful.
use super::Gateway;
use super::state::class_estimates::{ClassEstimates, latency_objective};
use super::state::request::PendingRequest;
use super::state::units::nanos;
use crate::policy::api::{ClassSpec, Idempotency, Nanos};

impl Gateway {
    pub(super) fn class(&self, request: &PendingRequest) -> &ClassSpec {
        &self.settings.classes[usize::from(request.class_id().0)]
    }

    pub(super) fn estimates(&self, request: &PendingRequest) -> &ClassEstimates {
        &self.class_estimates[usize::from(request.class_id().0)]
    }

    pub(super) fn idempotency(&self, request: &PendingRequest) -> Idempotency {
        request.idempotency(self.class(request))
    }

    /// Whether the query is long, that is, runs on more than one thread or loads a data set.
    pub(super) fn is_long(&self, request: &PendingRequest) -> bool {
        self.query_threads(request) > 1.0 || self.class(request).loads_data_set
    }

    /// Number of threads that the query runs on, at least one.
    pub(super) fn query_threads(&self, request: &PendingRequest) -> f64 {
        self.class(request).threads.max(1.0)
    }

    /// Expected work in seconds on one core.
    pub(super) fn expected_work(&self, request: &PendingRequest) -> f64 {
        let work_hint = request.request.work_hint;
        self.estimates(request).expected_work(work_hint)
    }

    /// Expected time in seconds on an idle engine.
    pub(super) fn unloaded_seconds(&self, request: &PendingRequest) -> f64 {
        self.expected_work(request) / self.query_threads(request)
    }

    /// The time after which no response can be sent: the deadline, or the end of this process if
    /// that is earlier.
    pub(super) fn latest_end(&self, request: &PendingRequest) -> Nanos {
        request.deadline().min(self.serving_until)
    }

    /// Whether this process ends too early to complete the request, although its client would still
    /// be waiting.
    pub(super) fn outlives_process(&self, now: Nanos, request: &PendingRequest) -> bool {
        let earliest_end = now + nanos(self.unloaded_seconds(request));
        self.serving_until < request.deadline() && earliest_end > self.serving_until
    }

    /// Whether this process is shutting down.
    pub(super) fn is_stopping(&self) -> bool {
        self.serving_until != Nanos::MAX
    }

    /// End of the latency objective, or the deadline if that is earlier.
    pub(super) fn objective_end(&self, request: &PendingRequest) -> Nanos {
        let objective = latency_objective(self.class(request), self.expected_work(request));
        let end = request.arrived_at + nanos(objective);
        end.min(self.latest_end(request))
    }

    /// The time after which a response has no value: the latest end, or the end of the objective
    /// for classes where late responses have no weight.
    pub(super) fn useful_until(&self, request: &PendingRequest) -> Nanos {
        if self.class(request).late_priority_weight > 0.0 {
            self.latest_end(request)
        } else {
            self.objective_end(request)
        }
    }
}
