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

/// Latency of a probe that the module reports, in microseconds.
const PROBE_LATENCY: Micros = 300;

/// The counters of a hollow module.
#[derive(Default)]
pub struct ModuleCounters {
    /// Engine loads that it requested.
    pub load_requests: Cell<u64>,
    /// Probes that it was requested to send, for itself and for others.
    pub probes: Cell<u64>,
    /// Probe results that it received from lease holders.
    pub shared_results: Cell<u64>,
}

/// The stand-in for a dispatcher, with its inputs and its state.
pub struct HollowModule {
    /// The node's number.
    pub node: usize,
    /// The run's plan.
    pub plan: Arc<Plan>,
    /// Records the leases that the node holds.
    pub observations: Arc<Observations>,
    /// The state that the node's actors share.
    pub shared: Rc<Shared>,
    /// The events that the fleet actor sends to the dispatcher.
    pub events: Receiver<DispatcherEvent>,
    /// The module's counters.
    pub counters: Rc<ModuleCounters>,
    /// Random generator that picks engines and times.
    pub random: Pcg32,
}

impl HollowModule {
    /// Stands in for the dispatcher: reports the result of each probe at once, and requests the
    /// load of a random engine at random intervals around the plan's mean. Never returns.
    pub async fn run(mut self) {
        let interval = self.load_request_interval();
        let mut request_at = interval.map(|interval| clock::read() + self.random_below(interval));
        loop {
            let event = or(async { self.events.recv().await.ok() }, async {
                sleep_until(request_at).await;
                None
            });
            match event.await {
                Some(event) => self.handle(event),
                None => {
                    self.request_random_load();
                    request_at = interval
                        .map(|interval| clock::read() + interval / 2 + self.random_below(interval));
                }
            }
        }
    }

    /// Returns the mean interval between two load requests, if the plan has any.
    fn load_request_interval(&self) -> Option<Micros> {
        let has_requests = self.plan.load_requests_per_s > 0.0 && self.plan.engines > 0;
        has_requests.then(|| (SEC as f64 / self.plan.load_requests_per_s) as Micros)
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
                    latency: PROBE_LATENCY,
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

    fn request_random_load(&mut self) {
        self.counters
            .load_requests
            .set(self.counters.load_requests.get() + 1);
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
