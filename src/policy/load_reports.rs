//! Load of engines: the loads reported in responses and probes, and when engines are probed.
use super::Gateway;
use super::endpoint_selection::HALF_OF_CANDIDATES;
use super::state::engine::{Engine, ReportedLoad};
use super::state::probe_stats::ProbeRoute;
use super::state::request::{PendingRequest, is_placement_allowed};
use super::state::units::seconds;
use super::tuning::{BURST_FACTOR, CONGESTED_SLOWDOWN};
use crate::policy::api::{Action, EngineId, LoadField, LoadReport, Nanos, OutcomeKind, RequestId};

/// Age below which a report is fresh and the engine is not probed: 250 ms.
const FRESH_REPORT_AGE: Nanos = 250_000_000;

/// Age from which a report is stale and ignored: 1 s.
const MAX_REPORT_AGE: Nanos = 1_000_000_000;

/// Share of the initial limit up to which a reported load counts as idle: a probe could not find a
/// better engine.
const IDLE_LOAD_SHARE: f64 = 0.5;

/// Number of engines probed for one query.
const PROBES_PER_QUERY: usize = 1;

/// Maximum `probe_price` of the settings at which engines are probed. Above it, probing costs more
/// than it improves the selection.
const MAX_PROBE_PRICE: f64 = 0.03;

/// Maximum time that a query waits for its probes: 30 ms.
const PROBE_TIMEOUT: Nanos = 30_000_000;

/// Exponent on the share of memory granted: most of the memory is granted in normal operation, and
/// only the last part of it is scarce.
const MEMORY_EXPONENT: i32 = 4;

impl Gateway {
    /// Estimated threads of all gateways on the engine: its report, plus the threads that this
    /// gateway has sent since. While other engines report, an engine without a recent report counts
    /// as full if it can be probed, as it may be congested. If it cannot, it is assumed to be as
    /// busy as those that reported; otherwise an unused engine would never report again. That is
    /// wrong for a congested engine that is new to this gateway.
    pub(super) fn estimated_load(&self, now: Nanos, engine: &Engine) -> f64 {
        let sent_since = engine.threads_sent_since_report;
        if let Some(report) = engine.report
            && now.saturating_sub(report.at) < MAX_REPORT_AGE
        {
            return report.threads + sent_since;
        }
        let is_warming_up = engine.is_warming_up(now, &self.settings.invariants);
        if self.load_reports.recent().is_empty() || is_warming_up {
            sent_since
        } else if self.probes_engines() {
            f64::INFINITY
        } else {
            self.load_reports.threads_per_core() * engine.cores + sent_since
        }
    }

    /// Records the load that an engine reported in a response or a probe result.
    pub(super) fn record_load_report(&mut self, now: Nanos, id: EngineId, load: &LoadReport) {
        if load.is_empty() {
            return;
        }
        let sent_mix = self.fleet.sent_mix;
        let threads_per_query = (sent_mix.threads / sent_mix.queries.max(1e-9)).max(1.0);
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let fields = self.settings.load_fields.iter();
        let mut threads: f64 = 0.0;
        for (field, value) in fields.zip(load.values()) {
            let field_threads =
                threads_for_field(*field, f64::from(*value), engine, threads_per_query);
            threads = threads.max(if field_threads.is_finite() {
                field_threads
            } else {
                0.0
            });
        }
        engine.report = Some(ReportedLoad { at: now, threads });
        engine.threads_sent_since_report = 0.0;
        let threads_per_core = threads / engine.cores;
        self.load_reports
            .record(id, threads_per_core, HALF_OF_CANDIDATES);
    }

    /// Records the result of a probe. The delay of the probe raises the reported load, as a
    /// congested engine may report idle cores while its queries wait for disks. An engine that does
    /// not respond to the probe counts as full or worse.
    pub(super) fn record_probe(
        &mut self,
        now: Nanos,
        engine: EngineId,
        kind: OutcomeKind,
        latency: Nanos,
    ) {
        self.load_reports.finish_probe();
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        let route = if engine.endpoint.zone == self.settings.zone {
            ProbeRoute::SameZone
        } else {
            ProbeRoute::CrossZone
        };
        let stats = &mut self.load_reports.probe_stats;
        let relative_delay = stats.record(route, seconds(latency));
        let relative_load = match kind {
            OutcomeKind::Ok => (relative_delay / CONGESTED_SLOWDOWN).powi(2),
            OutcomeKind::ConnectFailed => f64::INFINITY,
            OutcomeKind::Error
            | OutcomeKind::Rejected
            | OutcomeKind::Timeout
            | OutcomeKind::Reset
            | OutcomeKind::Cancelled
            | OutcomeKind::NeverSent => BURST_FACTOR,
        };
        let reported = engine.report.map_or(0.0, |report| report.threads);
        let threads = reported.max(engine.initial_limit * relative_load);
        engine.report = Some(ReportedLoad { at: now, threads });
    }

    /// Whether engines are probed for their load. They are not if that is forbidden, or if it costs
    /// more than it improves the selection.
    pub(super) fn probes_engines(&self) -> bool {
        self.settings.limits.may_probe && self.settings.probe_price <= MAX_PROBE_PRICE
    }

    /// Probes a candidate of the request where this gateway's own responses are too few to estimate
    /// the load of the engines.
    pub(super) fn probe_candidates(
        &mut self,
        now: Nanos,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let candidates = self.candidates();
        if !self.probes_engines() {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.has_idle_candidate(now, request, &candidates) {
            return;
        }
        let targets = self.probe_targets(now, request, &candidates);
        self.load_reports.start_probes(now, targets.len());
        if let Some(request) = self.requests.get_mut(&id).filter(|_| !targets.is_empty()) {
            request.awaiting_probes_until = now + PROBE_TIMEOUT;
        }
        let probes = targets.into_iter().map(|engine| Action::Probe { engine });
        actions.extend(probes);
    }

    /// Whether a candidate that reports its number of queries is known to be idle and may receive
    /// the query: a probe would then add no information.
    fn has_idle_candidate(
        &self,
        now: Nanos,
        request: &PendingRequest,
        candidates: &[EngineId],
    ) -> bool {
        if !self
            .settings
            .load_fields
            .contains(&LoadField::QueriesInFlight)
        {
            return false;
        }
        let threads = self.query_threads(request);
        let engines = candidates.iter().filter_map(|id| self.engines.get(id));
        let mut reported = engines.filter(|engine| engine.report.is_some());
        reported.any(|engine| {
            let idle_limit = IDLE_LOAD_SHARE * engine.initial_limit;
            self.is_probe_useful(now, request, engine)
                && self.estimated_load(now, engine) + threads <= idle_limit
                && self.has_capacity(now, request, engine)
        })
    }

    /// The engines to probe for the request: candidates without a fresh report. Engines that warm
    /// up and where this gateway has a turn come first, as reports of other engines do not help to
    /// use such a turn.
    fn probe_targets(
        &self,
        now: Nanos,
        request: &PendingRequest,
        candidates: &[EngineId],
    ) -> Vec<EngineId> {
        let invariants = &self.settings.invariants;
        let threads = self.query_threads(request);
        let turns = self.fleet.turns.len().min(HALF_OF_CANDIDATES);
        let with_turn = candidates.iter().take(turns).filter(|id| {
            let engine = self.engines.get(id);
            engine.is_some_and(|engine| engine.is_warming_up(now, invariants))
        });
        let is_fresh = |engine: &Engine| {
            let report = engine.report;
            report.is_some_and(|report| now.saturating_sub(report.at) < FRESH_REPORT_AGE)
        };
        let in_order = with_turn.chain(candidates.iter().rev());
        in_order
            .filter_map(|id| self.engines.get(id))
            .filter(|engine| self.has_share_below(engine, threads))
            .filter(|engine| self.is_probe_useful(now, request, engine))
            .filter(|engine| !is_fresh(engine))
            .map(Engine::id)
            .take(PROBES_PER_QUERY)
            .collect()
    }

    /// Whether the request could be sent to the engine if it had capacity.
    fn is_probe_useful(&self, now: Nanos, request: &PendingRequest, engine: &Engine) -> bool {
        is_placement_allowed(self.class(request), &engine.endpoint)
            && engine.circuit.is_closed()
            && self.may_dispatch(now, request, engine)
    }
}

/// Threads that one field of a load report corresponds to: queries in flight times
/// `threads_per_query`, the utilization of the cores or disks times the number of cores, or the use
/// of the memory, where all of it counts as a full limit. Each query that is queued for memory also
/// counts as a full limit. The load of a report is the largest of its fields.
fn threads_for_field(field: LoadField, value: f64, engine: &Engine, threads_per_query: f64) -> f64 {
    match field {
        LoadField::QueriesInFlight => value * threads_per_query,
        LoadField::CpuUtilization | LoadField::DiskUtilization => value * engine.cores,
        LoadField::MemoryGrantedFraction => value.powi(MEMORY_EXPONENT) * engine.initial_limit,
        LoadField::QueriesQueued => value * engine.initial_limit,
        LoadField::RecentServiceMillis
        | LoadField::ThroughputPerSecond
        | LoadField::ErrorsPerSecond
        | LoadField::Unknown => 0.0,
    }
}
