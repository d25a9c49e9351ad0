//! The module that stands in for the dispatcher of a hollow node.
use super::fleet::Plan;
use super::observations::Observations;
use crate::clock::{self, Micros, SEC};
use crate::lease::Resource;
use crate::lease::shared_probe::{ProbeResult, ProbeStatus};
use crate::net::dispatcher::DispatcherEvent;
use crate::net::fleet::lease::ProbeRequest;
use crate::net::{Shared, sleep_until};
use async_channel::Receiver;
use futures_lite::future::or;
use rand_core::Rng;
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// The time that an engine is said to take to answer a probe.
const ANSWER: Micros = 300;

/// What a hollow module counts.
#[derive(Default)]
pub struct ModuleCounters {
    /// Engine loads that it wanted.
    pub wants: Cell<u64>,
    /// Probes that it was ordered to send, for itself and for others.
    pub probes: Cell<u64>,
    /// Probe results that it received from lease holders.
    pub shared_results: Cell<u64>,
}

/// What a hollow module needs to run.
pub struct HollowModule {
    /// The node's number.
    pub node: usize,
    /// The run's plan.
    pub plan: Arc<Plan>,
    /// Where it records the leases that the node holds.
    pub observations: Arc<Observations>,
    /// What the node's actors share.
    pub shared: Rc<Shared>,
    /// What the fleet's actor sends to the dispatcher.
    pub mailbox: Receiver<DispatcherEvent>,
    /// What it counts.
    pub counters: Rc<ModuleCounters>,
    /// Picks engines and times.
    pub random: Pcg32,
}

impl HollowModule {
    /// Stands in for the dispatcher: answers probes at once, and wants the load of some engine at
    /// random intervals around the plan's mean. Never ends.
    pub async fn run(mut self) {
        let interval = self.want_interval();
        let mut want_at = interval.map(|interval| clock::read() + self.random_below(interval));
        loop {
            let event = or(async { self.mailbox.recv().await.ok() }, async {
                sleep_until(want_at).await;
                None
            });
            match event.await {
                Some(event) => self.handle(event),
                None => {
                    self.want_some_load();
                    want_at = interval
                        .map(|interval| clock::read() + interval / 2 + self.random_below(interval));
                }
            }
        }
    }

    /// The mean interval between two wanted loads, if it wants any.
    fn want_interval(&self) -> Option<Micros> {
        let wants_any = self.plan.wants > 0.0 && self.plan.engines > 0;
        wants_any.then(|| (SEC as f64 / self.plan.wants) as Micros)
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        u64::from(self.random.next_u32()) % bound.max(1)
    }

    fn handle(&self, event: DispatcherEvent) {
        let counters = &self.counters;
        match event {
            DispatcherEvent::Probe { engine, .. } => {
                counters.probes.set(counters.probes.get() + 1);
                let load = [1.0, 0.5, 0.0, 0.0];
                let result = ProbeResult {
                    status: ProbeStatus::Succeeded,
                    latency: ANSWER,
                    load_fields: 2,
                    load,
                };
                self.send(ProbeRequest::ProbeFinished {
                    engine,
                    result: Some(result),
                });
            }
            DispatcherEvent::SharedProbeResult { .. } => {
                counters
                    .shared_results
                    .set(counters.shared_results.get() + 1);
            }
            DispatcherEvent::LeaseChanged {
                resource: Resource::Probe(engine),
                token,
                held: is_held,
            } => {
                self.observations
                    .record_lease(self.node, engine, token, is_held);
            }
            _ => {}
        }
    }

    fn want_some_load(&mut self) {
        self.counters.wants.set(self.counters.wants.get() + 1);
        let engine = 1 + self.random_below(self.plan.engines);
        self.send(ProbeRequest::LoadRequested { engine });
    }

    /// Sends a request to the node's lease service, if it has one.
    fn send(&self, request: ProbeRequest) {
        if let Some(lease_service) = &*self.shared.lease_requests.borrow() {
            let _ = lease_service.try_send(request);
        }
    }
}
