//! The decisions of one gateway, as a state machine without I/O.
//!
//! Each engine has a limit on running threads, which the control law ECC09, formula (5), adjusts. A
//! gateway uses its share of each limit, sends a query to the engine with the most free capacity,
//! and queues or rejects what does not fit. The types of the interface are in [`api`], the state is
//! in `state`, and each file here holds the rules for one subject:
//!
//! * `request_lifecycle`, `dispatch`: arrival of a request, its attempts and its final response;
//! * `concurrency_limit`: the control law, and whether a query has capacity under the limit;
//! * `endpoint_selection`: the engine for a query;
//! * `admission_queue`: requests that wait for capacity;
//! * `outlier_detection`, `learning`: state of engines and classes derived from outcomes;
//! * `slow_start`: engines that warm up;
//! * `hedging`, `stall_detection`: attempts that are cancelled or hedged;
//! * `load_reports`: reported loads and load probes;
//! * `endpoint_list`, `fleet_scan`: the engines, the periodic tick, and totals over all engines;
//! * `request_estimates`: the expected work and time of a request;
//! * `tuning`: constants shared by several of these files.
mod admission_queue;
pub mod api;
mod concurrency_limit;
mod dispatch;
mod endpoint_list;
mod endpoint_selection;
mod fleet_scan;
mod hedging;
mod learning;
mod load_reports;
mod outlier_detection;
mod request_estimates;
mod request_lifecycle;
mod slow_start;
mod stall_detection;
pub(crate) mod state;
mod tuning;

use crate::policy::api::{
    Action, ClassId, EngineId, Event, Nanos, RequestId, Settings, TenantSpec,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use state::admission_queue::AdmissionQueue;
use state::cancel_budget::CancelBudget;
use state::class_estimates::ClassEstimates;
use state::engine::Engine;
use state::fleet_totals::FleetTotals;
use state::load_reports::LoadReports;
use state::ordered_queues::OrderedQueues;
use state::request::PendingRequest;
use state::retry_window::RetryWindow;
use state::running::Running;
use state::tenant_quotas::TenantQuotas;
use state::turns::GatewayPosition;
use std::collections::BTreeMap;
use tuning::{STALL_THRESHOLD, TICK_INTERVAL};

/// Token of the periodic tick, the only timer of the module.
const TICK_TIMER: u64 = 1;

/// Minimum capacity share of one process. Two processes run as one gateway only during a hot
/// restart, and each still has to finish the requests that it accepted.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// The decisions of one gateway.
pub struct Gateway {
    pub(crate) settings: Settings,
    /// Source of all random choices. Runs with the same seed and events draw the same numbers in
    /// the same order.
    rng: Pcg32,
    created_at: Nanos,
    /// The first event was handled, and the tick timer and the watch of the endpoint list were
    /// requested.
    started: bool,
    /// Engines of the endpoint list, and those removed from it that requests still refer to.
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    /// Totals over all engines.
    pub(crate) fleet: FleetTotals,
    /// Requests without a final response, or with attempts in flight.
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for capacity.
    queue: AdmissionQueue,
    /// Order of the requests that share an order key (invariant 5).
    ordered_queues: OrderedQueues,
    /// Estimates for each class, by [`ClassId`].
    pub(crate) class_estimates: Vec<ClassEstimates>,
    tenant_quotas: TenantQuotas,
    /// Arrivals and retries, for the retry budget (invariant 7).
    retries: RetryWindow,
    /// Tokens for cancellations and hedged attempts.
    cancel_budget: CancelBudget,
    /// Reported load of the fleet, and load probes in flight.
    load_reports: LoadReports,
    /// Number of gateways that currently share the engines, divided by the capacity share of this
    /// process.
    active_gateways: f64,
    /// Part of this gateway's capacity that this process may use while another process of the same
    /// gateway runs.
    capacity_share: f64,
    /// When this process ends the requests that are still open; [`Nanos::MAX`] unless it is
    /// shutting down.
    serving_until: Nanos,
    /// All engines that were ever listed discard duplicates by idempotency key.
    engines_use_keys: bool,
    /// When the control law was last applied.
    limits_updated_at: Nanos,
    last_event_at: Nanos,
    /// Time of the last event after a stall of this gateway itself.
    resumed_at: Nanos,
    /// When the last tick ran.
    last_tick_at: Nanos,
}

impl Gateway {
    /// Creates a gateway without history. `seed` determines its random choices.
    pub fn new(now: Nanos, settings: Settings, seed: u64) -> Gateway {
        let classes = settings.classes.iter();
        Gateway {
            rng: Pcg32::seed_from_u64(seed),
            created_at: now,
            started: false,
            engines: BTreeMap::new(),
            fleet: FleetTotals::new(now),
            requests: BTreeMap::new(),
            queue: AdmissionQueue::default(),
            ordered_queues: OrderedQueues::default(),
            class_estimates: classes.map(ClassEstimates::initial).collect(),
            tenant_quotas: TenantQuotas::new(now, &settings.tenants),
            retries: RetryWindow::default(),
            cancel_budget: CancelBudget::new(),
            load_reports: LoadReports::new(),
            active_gateways: f64::from(settings.gateways.max(1)),
            capacity_share: 1.0,
            serving_until: Nanos::MAX,
            engines_use_keys: true,
            limits_updated_at: now,
            last_event_at: now,
            resumed_at: 0,
            last_tick_at: now,
            settings,
        }
    }

    /// Applies changed quotas and adds new tenants. Known tenants keep their accumulated tokens.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        self.tenant_quotas.update(self.last_event_at, tenants);
    }

    /// Replaces the settings for all later events. `new_classes` lists the classes without
    /// estimates, each with the class whose estimates it starts from, if there is one.
    ///
    /// # Panics
    ///
    /// If `settings` has no class, or `new_classes` lists one that `settings` does not have.
    pub fn reconfigure(&mut self, settings: Settings, new_classes: &[(ClassId, Option<ClassId>)]) {
        let default_class = &settings.classes[0];
        self.class_estimates
            .resize_with(settings.classes.len(), || {
                ClassEstimates::initial(default_class)
            });
        for (class, predecessor) in new_classes {
            let class = usize::from(class.0);
            self.class_estimates[class] = match predecessor {
                Some(predecessor) => self.class_estimates[usize::from(predecessor.0)],
                None => ClassEstimates::initial(&settings.classes[class]),
            };
        }
        self.settings = settings;
        self.fleet.mark_changed();
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.start(actions);
        }
        if now.saturating_sub(self.last_event_at) > STALL_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_event_at = now;
        match event {
            Event::EndpointList { kind, entries } => {
                self.on_endpoint_list(now, kind, &entries, actions);
            }
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Outcome(outcome) => self.on_outcome(now, &outcome, actions),
            Event::Progress {
                id,
                attempt,
                update,
            } => self.on_progress(now, id, attempt, update, actions),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id, actions),
            Event::TimerFired(TICK_TIMER) => self.on_tick(now, actions),
            Event::ProbeCompleted {
                engine,
                kind,
                latency,
                load,
            } => {
                self.record_load_report(now, engine, &load);
                self.record_probe(now, engine, kind, latency);
                self.dispatch_queued(now, actions);
            }
            // Gateways exchange messages through the membership protocol, not through this module.
            Event::TimerFired(_) | Event::FirstByte { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Number of listed engines that currently receive no ordinary work: engines that are draining,
    /// and ejected outliers.
    pub fn unavailable_engines(&self) -> usize {
        let engines = self.engines.values();
        let listed = engines.filter(|engine| !engine.is_removed());
        listed
            .filter(|engine| !engine.is_ready() || !engine.circuit.is_closed())
            .count()
    }

    /// Sets the time at which this process, which is shutting down, ends the requests that are
    /// still open. Requests that cannot complete by then are rejected early, so that their clients
    /// can still retry elsewhere.
    pub fn set_serving_until(&mut self, end: Nanos) {
        self.serving_until = end;
    }

    /// Sets the part of this gateway's capacity that this process may use while another process of
    /// the same gateway runs.
    pub fn set_capacity_share(&mut self, capacity_share: f64) {
        let capacity_share = capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0);
        self.active_gateways *= self.capacity_share / capacity_share;
        self.capacity_share = capacity_share;
        self.fleet.mark_changed();
    }

    /// Sets the number of gateways that are active and share the warm engines. The budgets of
    /// engines that warm up stay divided among all gateways, active or not.
    pub fn set_active_gateways(&mut self, gateways: u32) {
        let gateways = gateways.clamp(1, self.settings.gateways.max(1));
        self.active_gateways = f64::from(gateways) / self.capacity_share;
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        actions.push(tick_timer());
        if self.settings.poll_endpoint_list {
            actions.push(Action::WatchEndpointList(true));
        }
    }

    /// Number of all gateways, active or not; at least 1.
    fn gateway_count(&self) -> u32 {
        self.settings.gateways.max(1)
    }

    /// Position of this gateway among all gateways, active or not.
    fn position(&self) -> GatewayPosition {
        GatewayPosition {
            index: self.settings.gateway_index,
            count: self.gateway_count(),
        }
    }

    /// Whether this gateway's share of an engine is under `threads`. A limit on its own threads
    /// would then round to zero, so the gateway relies on load reports and turns instead.
    fn has_share_below(&self, engine: &Engine, threads: f64) -> bool {
        engine.has_share_below(threads, self.active_gateways)
    }

    /// Adds `factor` times `running` to this gateway's queries on `engine`, after integrating the
    /// engine's window up to `now`.
    fn record_running(&mut self, now: Nanos, engine: EngineId, running: Running, factor: f64) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.integrate_window(now);
            engine.running.add_scaled(running, factor);
            self.fleet.running.add_scaled(running, factor);
        }
    }
}

/// The action that requests the next tick.
fn tick_timer() -> Action {
    Action::StartTimer {
        after: TICK_INTERVAL,
        token: TICK_TIMER,
    }
}
