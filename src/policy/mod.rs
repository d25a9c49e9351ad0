//! The decisions of one gateway, as a state machine without I/O.
//!
//! Each engine has a limit on running threads, moved by the control law ECC09, formula (5). A
//! gateway uses its share of each limit, sends a query to the engine with most capacity free, and
//! queues or rejects what does not fit. The types of the interface are in [`api`], the state in
//! `state`; each file here decides one matter on it:
//!
//! * `request_lifecycle`, `dispatch`: arrival of a request, its attempts and its final answer;
//! * `concurrency_limit`: the control law, and whether a query has capacity under the limit;
//! * `endpoint_selection`: the engine for a query;
//! * `admission_queue`: requests that wait for capacity;
//! * `outlier_detection`, `learning`: what outcomes show of engines and of classes;
//! * `slow_start`: engines that warm up;
//! * `hedging`, `stall_detection`: attempts that are cancelled or doubled;
//! * `load_reports`: reported loads and probes;
//! * `endpoint_list`, `fleet_scan`: the engines, the sweep, and totals over all engines;
//! * `request_estimates`: the expected work and time of a request;
//! * `tuning`: constants that several of these share.
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
use tuning::{STALL_THRESHOLD, SWEEP_INTERVAL};

/// Token of the sweep's timer, the only timer of the module.
const SWEEP_TIMER: u64 = 1;

/// Least capacity share of one process: two processes stand for one gateway only during a hot
/// restart, and each still has to finish what it took.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// The decisions of one gateway.
pub struct Gateway {
    pub(crate) settings: Settings,
    /// Source of all random choices. A run with the same seed and events draws the same numbers in
    /// the same order.
    rng: Pcg32,
    created_at: Nanos,
    /// The first event was handled, and the timer and the watch were ordered.
    started: bool,
    /// Engines of the endpoint list, and those removed from it that requests still refer to.
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    /// Totals over all engines.
    pub(crate) fleet: FleetTotals,
    /// Requests without a final answer, or with attempts in flight.
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for capacity.
    queue: AdmissionQueue,
    /// Order of the requests that share a key (rule 5).
    ordered_queues: OrderedQueues,
    /// Estimates for each class, by [`ClassId`].
    pub(crate) class_estimates: Vec<ClassEstimates>,
    tenant_quotas: TenantQuotas,
    /// Arrivals and retries, for the retry budget (rule 7).
    retries: RetryWindow,
    /// Tokens for cancellations and hedged requests.
    cancel_budget: CancelBudget,
    /// Reported load of the fleet, and load probes in flight.
    load_reports: LoadReports,
    /// Gateways that share the engines now, over the capacity share of this process.
    active_gateways: f64,
    /// Part of this gateway's capacity that this process may use, while another process stands
    /// for the same gateway.
    capacity_share: f64,
    /// When this process ends what is still open; [`Nanos::MAX`] unless it stops.
    serving_until: Nanos,
    /// When the control law was last applied.
    limits_updated_at: Nanos,
    last_event_at: Nanos,
    /// Time of the last event that followed a stall of this gateway itself.
    resumed_at: Nanos,
    /// When the last sweep ran.
    swept_at: Nanos,
}

impl Gateway {
    /// A gateway without history. `seed` determines its random choices.
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
            limits_updated_at: now,
            last_event_at: now,
            resumed_at: 0,
            swept_at: now,
            settings,
        }
    }

    /// Takes over changed quotas and new tenants. Known tenants keep what they saved up.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        self.tenant_quotas.update(self.last_event_at, tenants);
    }

    /// Replaces the settings for all later events. `new_classes` names the classes without
    /// estimates and, where there is one, the class whose estimates each starts from.
    ///
    /// # Panics
    ///
    /// If `settings` has no class, or `new_classes` names one that it does not have.
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

    /// Handles one event and appends the actions it calls for.
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
            Event::ClientDisconnected(id) => self.on_client_gone(id, actions),
            Event::TimerFired(SWEEP_TIMER) => self.on_sweep(now, actions),
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
            // Gateways exchange messages through the fleet's membership, not through this module.
            Event::TimerFired(_) | Event::FirstByte { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Number of listed engines that get no ordinary work now: those that drain, and outliers.
    pub fn unavailable_engines(&self) -> usize {
        let engines = self.engines.values();
        let listed = engines.filter(|engine| !engine.is_removed());
        listed
            .filter(|engine| !engine.is_ready() || !engine.circuit.is_closed())
            .count()
    }

    /// This process stops: it ends what is still open at that time. Requests that it can't serve by
    /// then are rejected early, so that their clients can still try elsewhere.
    pub fn set_serving_until(&mut self, end: Nanos) {
        self.serving_until = end;
    }

    /// Sets the part of this gateway's capacity that this process may use, while another process
    /// stands for the same gateway.
    pub fn set_capacity_share(&mut self, capacity_share: f64) {
        let capacity_share = capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0);
        self.active_gateways *= self.capacity_share / capacity_share;
        self.capacity_share = capacity_share;
        self.fleet.mark_changed();
    }

    /// Sets the number of gateways that serve now and share the warm engines. The budgets of
    /// engines that warm up stay shares of all gateways.
    pub fn set_active_gateways(&mut self, gateways: u32) {
        let gateways = gateways.clamp(1, self.settings.gateways.max(1));
        self.active_gateways = f64::from(gateways) / self.capacity_share;
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        actions.push(sweep_timer());
        if self.settings.poll_endpoint_list {
            actions.push(Action::WatchEndpointList(true));
        }
    }

    /// Number of all gateways, active or not; at least 1.
    fn gateway_count(&self) -> u32 {
        self.settings.gateways.max(1)
    }

    /// Position among all gateways, active or not.
    fn position(&self) -> GatewayPosition {
        GatewayPosition {
            index: self.settings.gateway_index,
            count: self.gateway_count(),
        }
    }

    /// Whether this gateway's share of an engine is under `threads`. Then a bound on own threads
    /// would round to nothing, and the gateway relies on load reports and turns instead.
    fn has_share_below(&self, engine: &Engine, threads: f64) -> bool {
        engine.has_share_below(threads, self.active_gateways)
    }

    /// Adds `factor` times `running` to the own queries on `engine`, after bringing the integrals
    /// of its window up to `now`.
    fn record_running(&mut self, now: Nanos, engine: EngineId, running: Running, factor: f64) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.integrate_window(now);
            engine.running.add_scaled(running, factor);
            self.fleet.running.add_scaled(running, factor);
        }
    }
}

/// Orders the next sweep.
fn sweep_timer() -> Action {
    Action::StartTimer {
        after: SWEEP_INTERVAL,
        token: SWEEP_TIMER,
    }
}
