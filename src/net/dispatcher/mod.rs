//! The dispatcher's actor: receives events from all other actors, passes them to the
//! [`Dispatcher`], and executes the commands that it returns. It never waits for another actor.
mod commands;
mod event;
mod event_handling;
mod lifecycle_watch;
mod rejection_log;
mod request_ids;
mod shutdown;

pub use event::{DispatcherEvent, EndpointListUpdate, Reconfiguration};

use super::audit::AuditWriter;
use super::engine::EndpointHandle;
use super::fleet::lease::ProbeRequest;
use super::{Shared, sleep_until};
use crate::audit::ActiveConfiguration;
use crate::clock::{self, MS, Micros};
use crate::dispatcher::{Command, Dispatcher, Response};
use crate::log;
use crate::policy::api::EngineId;
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use lifecycle_watch::LifecycleWatch;
use rejection_log::RejectionLog;
use request_ids::RequestIdFollowers;
use shutdown::ShutdownPhase;
use std::collections::HashMap;
use std::rc::Rc;

/// The capacity of the mailbox, in events.
pub const MAILBOX_CAPACITY: usize = 4_096;

/// Limit of events that are handled after the first one of a batch, before due timers run.
const MAX_FURTHER_EVENTS_PER_BATCH: usize = 256;

/// Least time between two updates of the metrics for the admin endpoint.
const METRICS_INTERVAL: Micros = 100 * MS;

/// The state of the actor.
struct DispatcherActor {
    shared: Rc<Shared>,
    dispatcher: Dispatcher,
    mailbox: Receiver<DispatcherEvent>,
    /// Where the responses of each client connection are sent, with the tags of their requests.
    clients: HashMap<u64, Sender<(u64, Response)>>,
    engines: HashMap<EngineId, Rc<EndpointHandle>>,
    /// Commands of the dispatcher that have not been executed yet.
    commands: Vec<Command>,
    /// The configuration that the decision module acts on.
    active_configuration: ActiveConfiguration,
    /// The audit, if it is enabled.
    audit: Option<AuditWriter>,
    /// The lease service, if probes are shared in the fleet.
    lease_requests: Option<Sender<ProbeRequest>>,
    lifecycle_watch: LifecycleWatch,
    /// When the metrics for the admin endpoint were updated last.
    metrics_updated_at: Micros,
    rejection_log: RejectionLog,
    request_id_followers: RequestIdFollowers,
    shutdown_phase: ShutdownPhase,
    /// Whether the requests in flight were ended because the process is about to be killed.
    requests_ended: bool,
}

/// The due times that the lifecycle sets for one iteration of the actor's loop, and its wakeup.
struct Schedule {
    /// When the listeners stop accepting connections, once a shutdown began.
    accepts_until: Option<Micros>,
    /// When the requests in flight are ended.
    forced_end_at: Option<Micros>,
    /// When the iteration begins if no event arrives earlier.
    wakeup: Option<Micros>,
}

/// Runs until a shutdown is complete, and returns the dispatcher with its final counters.
pub async fn run(
    shared: Rc<Shared>,
    dispatcher: Dispatcher,
    mailbox: Receiver<DispatcherEvent>,
    audit: Option<AuditWriter>,
) -> Dispatcher {
    let mut actor = DispatcherActor::new(shared, dispatcher, mailbox, audit);
    while actor.shutdown_phase != ShutdownPhase::Finished {
        let schedule = actor.schedule();
        let event = actor.receive_until(schedule.wakeup).await;
        let now = clock::read();
        actor.run_iteration(now, event, &schedule);
        actor.advance_shutdown(now, &schedule);
    }
    if let Some(audit) = actor.audit {
        audit.finish().await;
    }
    actor.dispatcher
}

impl DispatcherActor {
    fn new(
        shared: Rc<Shared>,
        mut dispatcher: Dispatcher,
        mailbox: Receiver<DispatcherEvent>,
        audit: Option<AuditWriter>,
    ) -> DispatcherActor {
        dispatcher.record_decisions(audit.is_some());
        DispatcherActor {
            active_configuration: shared.active_configuration.get(),
            shared,
            dispatcher,
            mailbox,
            clients: HashMap::new(),
            engines: HashMap::new(),
            commands: Vec::new(),
            audit,
            lease_requests: None,
            lifecycle_watch: LifecycleWatch::new(),
            metrics_updated_at: 0,
            rejection_log: RejectionLog::default(),
            request_id_followers: RequestIdFollowers::default(),
            shutdown_phase: ShutdownPhase::Serving,
            requests_ended: false,
        }
    }

    fn schedule(&self) -> Schedule {
        let lifecycle = self.shared.lifecycle.borrow();
        let accepts_until = lifecycle.accepts_until();
        let forced_end_at = lifecycle
            .forced_end_at(self.dispatcher.longest_deadline())
            .filter(|_| !self.requests_ended);
        let wakeups = [
            self.dispatcher.next_wakeup(),
            self.next_shutdown_check(accepts_until),
            forced_end_at,
            self.audit.as_ref().and_then(AuditWriter::flush_due_at),
            self.lifecycle_watch.next_check(&self.shared),
        ];
        Schedule {
            accepts_until,
            forced_end_at,
            wakeup: wakeups.into_iter().flatten().min(),
        }
    }

    /// Waits for the next event; `None` if none arrives before `wakeup`.
    async fn receive_until(&self, wakeup: Option<Micros>) -> Option<DispatcherEvent> {
        let event = async { self.mailbox.recv().await.ok() };
        let timeout = async {
            sleep_until(wakeup).await;
            None
        };
        or(event, timeout).await
    }

    /// Handles a batch of events and everything that is due.
    fn run_iteration(&mut self, now: Micros, first: Option<DispatcherEvent>, schedule: &Schedule) {
        if self.lease_requests.is_none() {
            self.lease_requests = self.shared.lease_requests.borrow().clone();
        }
        if let Some(event) = first {
            self.handle_event(now, event);
        }
        for _ in 0..MAX_FURTHER_EVENTS_PER_BATCH {
            let Ok(event) = self.mailbox.try_recv() else {
                break;
            };
            self.handle_event(now, event);
        }
        self.dispatcher.run_due_timers(now, &mut self.commands);
        if let Some(forced_end_at) = schedule.forced_end_at {
            self.dispatcher.set_serving_until(forced_end_at);
            if forced_end_at <= now {
                self.requests_ended = true;
                self.dispatcher.end_all_requests(now, &mut self.commands);
            }
        }
        self.publish_metrics(now);
        self.log_rejections(now);
        if let Some(share) = self.lifecycle_watch.check(&self.shared, now) {
            self.dispatcher.set_capacity_share(share);
        }
        self.execute_commands(now);
        self.shared
            .active_configuration
            .set(self.active_configuration);
        self.write_audit(now);
    }

    fn publish_metrics(&mut self, now: Micros) {
        let is_due = now >= self.metrics_updated_at + METRICS_INTERVAL;
        if self.shared.admin_enabled.get() && is_due {
            self.metrics_updated_at = now;
            *self.shared.metrics.borrow_mut() = self.dispatcher.metrics();
        }
    }

    fn log_rejections(&mut self, now: Micros) {
        let counters = &self.dispatcher.counters;
        let line = self
            .rejection_log
            .line(now, counters.total_rejections, &counters.rejections);
        if let Some(line) = line {
            log!("{line}");
        }
    }

    /// Passes the decisions since the last call to the audit.
    fn write_audit(&mut self, now: Micros) {
        if let Some(audit) = &mut self.audit {
            audit.record_all(now, &self.dispatcher.take_decisions());
        }
    }
}
