//! Records responses in the counters, and decisions for the audit.
use super::metrics::MetricsSnapshot;
use super::rejection::{RejectionCause, RejectionKey};
use super::{Dispatcher, Response};
use crate::audit::{Decision, DecisionKind};
use crate::clock::MS;
use crate::policy::api::{ClassId, TenantId};
use std::rc::Rc;

impl Dispatcher {
    /// Enables or disables the recording of decisions for the audit.
    pub fn record_decisions(&mut self, enabled: bool) {
        self.decisions = enabled.then(Vec::new);
    }

    /// Takes the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.decisions
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Records a decision if the audit is enabled.
    pub(super) fn record_decision(
        &mut self,
        class: ClassId,
        client_request_id: &Rc<str>,
        kind: DecisionKind,
    ) {
        let Some(decisions) = &mut self.decisions else {
            return;
        };
        let Some(class) = self.class_registry.class(class) else {
            return;
        };
        decisions.push(Decision {
            kind,
            class: class.name.clone(),
            request: client_request_id.clone(),
        });
    }

    /// Records a rejection or a failure if the audit is enabled. A completed request is recorded by
    /// its attempt, and a preformatted response by the process that formatted it.
    pub(super) fn record_response(
        &mut self,
        class: ClassId,
        client_request_id: &Rc<str>,
        response: &Response,
    ) {
        match response {
            Response::Rejected(retry_after) => {
                let millis = retry_after.unwrap_or(0) / MS;
                let rejected = DecisionKind::Reject {
                    retry_after_ms: u32::try_from(millis).unwrap_or(u32::MAX),
                };
                self.record_decision(class, client_request_id, rejected);
            }
            Response::Failed(_) => {
                self.record_decision(class, client_request_id, DecisionKind::Fail);
            }
            Response::Completed(_) | Response::Preformatted(_) => {}
        }
    }

    /// Counts the final response of a request that was received.
    pub(super) fn count_response(&mut self, class: ClassId, response: &Response) {
        match response {
            Response::Completed(_) => self.counters.completed += 1,
            Response::Rejected(_) => self.counters.rejected += 1,
            Response::Failed(_) => self.counters.failed += 1,
            Response::Preformatted(_) => {}
        }
        self.count_class_response(class, response);
    }

    /// Counts a rejection by its class, tenant and cause.
    pub(super) fn count_rejection(
        &mut self,
        class: ClassId,
        tenant: Option<TenantId>,
        cause: RejectionCause,
    ) {
        let Some(class) = self.class_registry.class(class) else {
            return;
        };
        let key = RejectionKey {
            class: class.name.clone(),
            tenant,
            cause,
        };
        self.counters.count_rejection(key);
    }

    fn count_class_response(&mut self, class: ClassId, response: &Response) {
        if let Some(class) = self.class_registry.class(class) {
            self.counters.count_class_response(&class.name, response);
        }
    }

    /// Records the response to a request of this class that a frontend sent without the dispatcher.
    pub fn record_frontend_response(&mut self, class: ClassId, response: &Response) {
        if self.decisions.is_some() {
            self.record_response(class, &Rc::from(""), response);
        }
        if matches!(response, Response::Rejected(_)) {
            self.count_rejection(class, None, RejectionCause::Frontend);
        }
        self.count_class_response(class, response);
    }

    /// The metrics for the admin endpoint, without the number of attempts written to engines, which
    /// the connections to engines count.
    pub fn metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            classes: self.counters.responses_by_class.clone(),
            rejections: self.counters.rejections.clone(),
            dispatches: 0,
            concurrent: self.counters.open(),
            targets: self.endpoints.len() as u64,
            targets_disabled: self.module.unavailable_engines() as u64,
            reload_success: self.counters.reloads,
            reload_failure: self.counters.reload_failures,
            // These two are counted outside of the dispatcher.
            actor_panics: 0,
            client_connections: 0,
        }
    }
}
