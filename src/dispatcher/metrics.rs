//! Counters of requests, responses and attempts. They are printed on SIGUSR1 and at exit, and
//! published by the admin endpoint.
use super::message::Response;
use super::rejection::RejectionKey;
use super::termination::Termination;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Counts of final responses to requests of one class. The names are those of the admin endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Completed requests.
    pub success: u64,
    /// Rejected requests.
    pub overload: u64,
    /// Failed requests.
    pub error: u64,
}

/// The metrics that the admin endpoint publishes, at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MetricsSnapshot {
    /// Responses by class name, including classes that are no longer configured.
    pub classes: BTreeMap<Rc<str>, ClassMetrics>,
    /// Rejections by class, tenant and cause.
    pub rejections: BTreeMap<RejectionKey, u64>,
    /// Attempts completely written to engines.
    pub dispatches: u64,
    /// Requests that were received, have no response, and were not abandoned.
    pub concurrent: u64,
    /// Engines in the endpoint list.
    pub targets: u64,
    /// Engines in the endpoint list that are ejected or otherwise avoided.
    pub targets_disabled: u64,
    /// Successful configuration reloads.
    pub reload_success: u64,
    /// Reloads that failed because the configuration was not valid.
    pub reload_failure: u64,
    /// Actors that ended with a panic.
    pub actor_panics: u64,
    /// Client connections in the registry.
    pub client_connections: u64,
}

/// Counters of the dispatcher, which are the same for every frontend and every kind of engine.
///
/// [`fmt::Display`] prints the counters line. Its labels are part of the interface to operators and
/// differ from the field names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub received: u64,
    /// Final responses `Completed`.
    pub completed: u64,
    /// Final responses `Rejected`.
    pub rejected: u64,
    /// Final responses `Failed`.
    pub failed: u64,
    /// Requests whose client disconnected or cancelled before the response.
    pub abandoned: u64,
    /// Attempts started.
    pub attempts_started: u64,
    /// Attempts started while another attempt of the request was in flight.
    pub hedged_attempts: u64,
    /// Attempts that the decision module cancelled.
    pub attempts_cancelled: u64,
    /// Load probes that the decision module requested.
    pub probes: u64,
    /// Actions of the decision module that the invariants did not permit, and requests that the
    /// decision module did not end at their deadline.
    pub blocked_actions: u64,
    /// Results of attempts that are not in flight. They are ignored.
    pub stray_results: u64,
    /// Updates of the endpoint list.
    pub endpoint_list_updates: u64,
    /// Successful reads of the tenant directory.
    pub directory_reads: u64,
    /// Failed reads of the tenant directory.
    pub directory_read_failures: u64,
    /// Successful configuration reloads.
    pub reloads: u64,
    /// Reloads that failed because the configuration was not valid; the previous one stays in
    /// force.
    pub reload_failures: u64,
    /// Final responses by class name, including those that a frontend sent without the dispatcher.
    pub responses_by_class: BTreeMap<Rc<str>, ClassMetrics>,
    /// Rejections by class, tenant and cause, including those by frontends.
    pub rejections: BTreeMap<RejectionKey, u64>,
    /// The sum of `rejections`.
    pub total_rejections: u64,
    /// Ended attempts by their termination.
    pub attempts_by_termination: BTreeMap<Termination, u64>,
}

impl Counters {
    /// The number of requests that wait for their response.
    pub fn open(&self) -> u64 {
        self.received - self.completed - self.rejected - self.failed - self.abandoned
    }

    /// Adds classes with zero responses, so that their metrics exist before the first request.
    pub(super) fn add_classes(&mut self, names: &[String]) {
        for name in names {
            let name = Rc::from(name.as_str());
            self.responses_by_class.entry(name).or_default();
        }
    }

    /// Counts a rejection by its key and in total.
    pub(super) fn count_rejection(&mut self, key: RejectionKey) {
        *self.rejections.entry(key).or_default() += 1;
        self.total_rejections += 1;
    }

    /// Counts a response to a request of this class.
    pub(super) fn count_class_response(&mut self, class_name: &Rc<str>, response: &Response) {
        let class = self
            .responses_by_class
            .entry(class_name.clone())
            .or_default();
        match response {
            Response::Completed(_) => class.success += 1,
            Response::Rejected(_) => class.overload += 1,
            Response::Failed(_) => class.error += 1,
            Response::Preformatted(_) => {}
        }
    }

    /// The labels and values of the counters line, in order.
    fn line(&self) -> [(&'static str, u64); 17] {
        [
            ("taken", self.received),
            ("served", self.completed),
            ("refused", self.rejected),
            ("failed", self.failed),
            ("gone", self.abandoned),
            ("open", self.open()),
            ("attempts", self.attempts_started),
            ("copies", self.hedged_attempts),
            ("withdrawn", self.attempts_cancelled),
            ("probes", self.probes),
            ("stopped", self.blocked_actions),
            ("stray", self.stray_results),
            ("lists", self.endpoint_list_updates),
            ("directory-readings", self.directory_reads),
            ("directory-failures", self.directory_read_failures),
            ("reloads", self.reloads),
            ("reload-failures", self.reload_failures),
        ]
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (label, value) in self.line() {
            write!(f, "{label} {value} ")?;
        }
        write!(f, "ends")?;
        for (termination, count) in &self.attempts_by_termination {
            write!(f, " {termination}:{count}")?;
        }
        Ok(())
    }
}
