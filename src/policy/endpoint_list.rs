//! The endpoint list, and the periodic tick.
use super::Gateway;
use super::state::engine::Engine;
use super::state::units::seconds;
use super::state::use_idempotency_keys;
use super::tick_timer;
use super::tuning::{CONTROL_PERIOD, INITIAL_THREADS_PER_CORE, TICK_INTERVAL, TURN_DURATION};
use crate::policy::api::{Action, Endpoint, EndpointListKind, EngineId, Nanos, Readiness};
use std::collections::BTreeSet;

/// Interval between load probes for the first queued request: half a turn, after which the last
/// reports are no longer fresh.
const QUEUE_PROBE_INTERVAL: Nanos = TURN_DURATION / 2;

impl Gateway {
    /// Handles a change of the endpoint list, or a failure of its watch.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Nanos,
        kind: EndpointListKind,
        entries: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            actions.push(Action::WatchEndpointList(true));
            return;
        }
        if kind != EndpointListKind::Changes {
            self.mark_unlisted_engines_removed(entries);
        }
        for endpoint in entries {
            self.merge_endpoint(now, endpoint);
        }
        self.engines_use_keys &= use_idempotency_keys(entries);
        let ready = self.engines.values().filter(|engine| engine.is_ready());
        self.fleet.ready = ready.map(Engine::id).collect();
        self.drop_removed_engines();
        self.fleet.mark_changed();
        self.refresh_fleet(now);
    }

    fn mark_unlisted_engines_removed(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<EngineId> = entries.iter().map(|endpoint| endpoint.id).collect();
        for engine in self.engines.values_mut() {
            if !listed.contains(&engine.id()) {
                engine.endpoint.readiness = Readiness::Removed;
            }
        }
    }

    /// Adds or updates one engine. A new engine starts with the median slowdown: if it appeared
    /// faster while the others slow down, all gateways would send their queries to it.
    fn merge_endpoint(&mut self, now: Nanos, endpoint: &Endpoint) {
        let machine_type = self
            .settings
            .machine_types
            .get(usize::from(endpoint.machine_type.0));
        let cores = machine_type
            .map_or(1.0, |machine_type| machine_type.cores)
            .max(1.0);
        let initial_limit = INITIAL_THREADS_PER_CORE * cores;
        let slowdown = self.fleet.median_slowdown;
        let without_history = || Engine::new(now, *endpoint, cores, initial_limit, slowdown);
        let engine = self
            .engines
            .entry(endpoint.id)
            .or_insert_with(without_history);
        if engine.endpoint.started_at != endpoint.started_at {
            // The engine restarted under the same id: the history of the old process is discarded,
            // but attempts that are in flight still count.
            let before = std::mem::replace(engine, without_history());
            engine.running = before.running;
            engine.loading_data_sets = before.loading_data_sets;
        }
        engine.endpoint = *endpoint;
    }

    /// Drops removed engines unless a request still refers to them, so that memory does not grow.
    fn drop_removed_engines(&mut self) {
        let requests = self.requests.values();
        let referenced: BTreeSet<EngineId> = requests
            .flat_map(|request| {
                let in_flight = request.attempts.iter().map(|attempt| attempt.engine);
                let executed = request.possible_execution;
                in_flight.chain(executed.map(|execution| execution.engine))
            })
            .collect();
        self.engines
            .retain(|id, engine| !engine.is_removed() || referenced.contains(id));
        let engines = &self.engines;
        self.load_reports
            .retain(|id| engines.get(&id).is_some_and(Engine::is_ready));
    }

    /// Runs the periodic work: control law, expiry, totals, blocked and lost attempts, and the
    /// queue.
    pub(super) fn on_tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        actions.push(tick_timer());
        if now.saturating_sub(self.limits_updated_at) >= CONTROL_PERIOD {
            self.update_limits(now);
        }
        self.drop_expired(now);
        self.update_mean_running(now);
        self.refresh_fleet(now);
        if self.resumed_at != now {
            self.detect_blocked_queries(now, actions);
            self.detect_unresponsive_attempts(now, actions);
        }
        let may_probe = now >= self.load_reports.last_probe_at() + QUEUE_PROBE_INTERVAL;
        if let Some(first) = self.queue.first().filter(|_| may_probe) {
            self.probe_candidates(now, first.id, actions);
        }
        self.refresh_queue(now, actions);
        self.dispatch_queued(now, actions);
    }

    fn drop_expired(&mut self, now: Nanos) {
        let budget = self.settings.invariants.retry_budget;
        let window = budget.map_or(0, |budget| budget.window);
        let start = now.saturating_sub(window + TICK_INTERVAL);
        self.retries.drop_before(start);
        self.ordered_queues.remove_idle(now);
    }

    fn update_mean_running(&mut self, now: Nanos) {
        let elapsed = seconds(now.saturating_sub(self.last_tick_at));
        let weight = (elapsed / seconds(CONTROL_PERIOD)).min(1.0);
        self.last_tick_at = now;
        let running = self.fleet.running;
        self.fleet.mean_running.smooth_toward(running, weight);
    }
}
