//! The dispatcher executes the actions of the decision module. It is independent of wire protocols
//! and sockets.
//!
//! It owns the table of requests in flight with their attempts, deadlines and timers, and enforces
//! these invariants regardless of the actions that the decision module returns:
//!
//! - each request gets exactly one final response, unless its client stopped waiting;
//! - a request has at most the configured number of attempts, and at most the permitted number of
//!   them at the same time;
//! - an attempt that may cause a second effect is not started;
//! - no attempt is started at an engine that is not ready;
//! - the decision module receives exactly what is known about the end of each attempt.
//!
//! Frontends pass in a [`ClientRequest`], and engine connections an [`AttemptResult`]. Every call
//! appends the resulting [`Command`]s, which the caller executes in order. The layer below is the
//! decision module ([`crate::policy`]), and the layer above is the actor
//! ([`crate::net::dispatcher`]).
mod actions;
mod attempts;
mod capabilities;
mod client_requests;
mod in_flight;
pub mod message;
pub mod metrics;
mod recording;
pub mod rejection;
mod responses;
pub mod termination;
mod timers;

use crate::audit::Decision;
use crate::class_registry::{Class, ClassRegistry};
use crate::clock::{Micros, micros, nanos};
use crate::policy::Gateway;
use crate::policy::api::{
    Action, ClassSpec, Endpoint, EndpointListKind, EngineId, Event, Readiness, RequestId, Settings,
    TenantSpec,
};
use crate::policy::state::use_idempotency_keys;
use capabilities::EngineCapabilities;
use in_flight::InFlightRequest;
pub use message::{
    AttemptId, AttemptReply, AttemptRequest, AttemptResult, ClientRequest, Command, Cost, Failure,
    Origin, ProbeOutcome, Response, Session,
};
use metrics::Counters;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

/// The state of the dispatcher.
pub struct Dispatcher {
    /// The decision module.
    module: Gateway,
    /// The request classes of the current settings and of the requests in flight.
    class_registry: ClassRegistry,
    /// Maximum number of attempts of a new request.
    max_attempts: u16,
    /// The endpoint list, without removed endpoints.
    endpoints: BTreeMap<EngineId, Endpoint>,
    /// All engines that were ever listed discard duplicates by idempotency key.
    engines_use_keys: bool,
    /// The features of engines that the settings enable.
    capabilities: EngineCapabilities,
    /// The in-flight table.
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    /// The requests that wait for their response, by origin.
    requests_by_origin: BTreeMap<Origin, RequestId>,
    /// Deadlines of attempts, and deadlines of requests plus [`timers::DEADLINE_GRACE`].
    deadlines: BTreeSet<(Micros, RequestId)>,
    /// The decision module's timers with their tokens, the earliest first.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Client request ids of requests in flight, and those in `finished_request_ids`.
    known_request_ids: BTreeSet<Rc<str>>,
    /// Client request ids of the requests that finished last, the oldest first.
    finished_request_ids: VecDeque<Rc<str>>,
    /// The total length of the statements in flight, in bytes.
    statement_bytes: usize,
    /// Upper limit of `statement_bytes`.
    max_statement_bytes: usize,
    /// The id of the request that was admitted last.
    last_request_id: u32,
    /// Whether requests are admitted; `false` after [`Dispatcher::end_all_requests`].
    admits_requests: bool,
    /// An empty buffer for the decision module's actions, kept to reuse its allocation.
    actions: Vec<Action>,
    /// The decisions since the last [`Dispatcher::take_decisions`]; `None` if the audit is
    /// disabled.
    decisions: Option<Vec<Decision>>,
    /// Counters of requests, attempts and reloads since the start.
    pub counters: Counters,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints. `class_names` are the names of `settings.classes`,
    /// in the same order. `seed` is the seed of the decision module's random choices.
    pub fn new(now: Micros, settings: Settings, class_names: &[String], seed: u64) -> Dispatcher {
        let mut dispatcher = Dispatcher {
            class_registry: ClassRegistry::new(named_classes(&settings, class_names)),
            max_attempts: max_attempts(&settings),
            endpoints: BTreeMap::new(),
            engines_use_keys: true,
            capabilities: EngineCapabilities::from_settings(&settings),
            in_flight: BTreeMap::new(),
            module: Gateway::new(nanos(now), settings, seed),
            requests_by_origin: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            known_request_ids: BTreeSet::new(),
            finished_request_ids: VecDeque::new(),
            statement_bytes: 0,
            max_statement_bytes: usize::MAX,
            last_request_id: 0,
            admits_requests: true,
            actions: Vec::new(),
            decisions: None,
            counters: Counters::default(),
        };
        dispatcher.counters.add_classes(class_names);
        dispatcher
    }

    /// Applies new settings to all later requests. `class_names` are the names of
    /// `settings.classes`, in the same order. Requests in flight keep their class and their maximum
    /// number of attempts.
    pub fn reconfigure(&mut self, settings: Settings, class_names: &[String]) {
        let new_slots: Vec<_> = self
            .class_registry
            .replace_classes(named_classes(&settings, class_names))
            .into_iter()
            .map(|new| (new.slot, new.predecessor))
            .collect();
        let classes = self
            .class_registry
            .slots()
            .map(|(class, _)| class.spec.clone())
            .collect();
        self.max_attempts = max_attempts(&settings);
        self.capabilities = EngineCapabilities::from_settings(&settings);
        let settings = Settings {
            classes,
            ..settings
        };
        self.module.reconfigure(settings, &new_slots);
        self.counters.add_classes(class_names);
    }

    /// All classes in the order of their ids, each with whether it is in force.
    pub fn classes(&self) -> Vec<(Class, bool)> {
        self.class_registry
            .slots()
            .map(|(class, in_force)| (class.clone(), in_force))
            .collect()
    }

    /// Limits the total length of the statements in flight, in bytes. A request that would exceed
    /// it is rejected.
    pub fn set_statement_limit(&mut self, bytes: usize) {
        self.max_statement_bytes = bytes;
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: Vec<Endpoint>,
        commands: &mut Vec<Command>,
    ) {
        self.counters.endpoint_list_updates += 1;
        if matches!(kind, EndpointListKind::Cached | EndpointListKind::Full) {
            self.endpoints.clear();
        }
        self.engines_use_keys &= use_idempotency_keys(&entries);
        self.endpoints
            .extend(entries.iter().map(|endpoint| (endpoint.id, *endpoint)));
        self.endpoints
            .retain(|_, endpoint| endpoint.readiness != Readiness::Removed);
        self.handle_event(now, Event::EndpointList { kind, entries }, commands);
    }

    /// Replaces the tenants and their quotas.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        self.module.set_tenants(tenants);
    }

    /// Sets this process's share of the capacity that is available to the gateway: 1.0 unless
    /// another process of the gateway runs during a hot restart.
    pub fn set_capacity_share(&mut self, share: f64) {
        self.module.set_capacity_share(share);
    }

    /// Announces the shutdown of the process: requests that are open at `end` will be ended by
    /// [`Dispatcher::end_all_requests`].
    pub fn set_serving_until(&mut self, end: Micros) {
        self.module.set_serving_until(nanos(end));
    }

    /// Sets the number of gateways that share the engines whose warm-up has ended, as counted
    /// by the fleet's membership protocol.
    pub fn set_active_gateways(&mut self, gateways: u32) {
        self.module.set_active_gateways(gateways);
    }

    /// Handles the end of a load probe.
    pub fn probe_completed(
        &mut self,
        now: Micros,
        probe: ProbeOutcome,
        commands: &mut Vec<Command>,
    ) {
        let event = Event::ProbeCompleted {
            engine: probe.engine,
            kind: probe.kind,
            latency: nanos(probe.latency),
            load: probe.load,
        };
        self.handle_event(now, event, commands);
    }

    /// The longest deadline of any class, as a duration; 0 without classes.
    pub fn longest_deadline(&self) -> Micros {
        self.class_registry
            .slots()
            .map(|(class, _)| micros(class.spec.deadline))
            .max()
            .unwrap_or(0)
    }
}

/// Combines the classes of the settings with their names.
fn named_classes(settings: &Settings, names: &[String]) -> Vec<Class> {
    let with_name = |(spec, name): (&ClassSpec, &String)| Class {
        name: name.as_str().into(),
        spec: spec.clone(),
    };
    settings.classes.iter().zip(names).map(with_name).collect()
}

/// The maximum number of attempts of a request, at least one.
fn max_attempts(settings: &Settings) -> u16 {
    settings.limits.max_attempts.clamp(1, u32::from(u16::MAX)) as u16
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher_builders.rs"]
mod test_builders;

#[cfg(test)]
#[path = "../../tests/unit/dispatcher.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/dispatcher_model.rs"]
mod model;
