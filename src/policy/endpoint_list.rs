//! The list of engines, and the sweep over all that is known of the fleet.
use super::*;

impl Gateway {
    pub(super) fn on_list(
        &mut self,
        now: Nanos,
        kind: EndpointListKind,
        entries: &[Endpoint],
        acts: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            return acts.push(Action::WatchEndpointList(true));
        }
        // No faster and no slower than the rest: else, as the rest slows, all gateways take the new
        // one.
        self.merge(
            now,
            kind,
            entries,
            START_THREADS_PER_CORE,
            self.fleet.median_stretch,
        );
        self.look(now);
    }

    pub(super) fn on_sweep(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        acts.push(Action::StartTimer {
            after: SWEEP_EVERY,
            token: SWEEP,
        });
        if now.saturating_sub(self.updated_at) >= PERIOD {
            self.update_bounds(now);
        }
        let span = self
            .settings
            .invariants
            .retry_budget
            .map_or(0, |b| b.window);
        let from = now.saturating_sub(span + SWEEP_EVERY);
        self.taken
            .drain(..self.taken.partition_point(|t| *t < from));
        self.extras
            .drain(..self.extras.partition_point(|t| *t < from));
        self.keys
            .retain(|_, k| !k.line.is_empty() || k.rest_until > now);
        let (mean, part) = (
            self.fleet.mean,
            (secs(now.saturating_sub(self.swept_at)) / secs(PERIOD)).min(1.0),
        );
        self.swept_at = now;
        self.fleet.mean.add(mean, -part);
        self.fleet.mean.add(self.fleet.running, part);
        self.look(now);
        if self.resumed_at != now {
            self.find_silent(now, acts);
        }
        // The first held query asks again: what its engines told may be old news.
        if let Some(&(_, id, _)) = self
            .held
            .first()
            .filter(|_| now >= self.fleet.probed_at + TURN / 2)
        {
            self.probe(now, id, acts);
        }
        self.review(now, acts);
        self.pump(now, acts);
    }

    /// Medians, capacity, turns, and ejections that are over: by a walk over the whole fleet where
    /// something it reads changed or is due, else by the few engines that moved.
    pub(crate) fn look(&mut self, now: Nanos) {
        if now >= self.fleet.walk_due {
            self.engines
                .values_mut()
                .for_each(|e| e.settle(now, &self.settings.invariants));
            let tally = self.tally(now);
            self.fleet.take_tally(tally, self.engines.len());
        }
        // Where none is asked, own queries go to warm engines, and to cold ones only in turns
        // beside that.
        self.follow(now, self.asks());
    }

    /// The walk over the whole fleet. What it reads beside the time calls `Fleet::changed` when it
    /// changes.
    pub(crate) fn tally(&self, now: Nanos) -> FleetScan {
        let (rules, cold_slot) = (
            &self.settings.invariants,
            self.settings.invariants.overload_window / COLD_SLOTS,
        );
        let next = |slot: Nanos| (now / slot.max(1) + 1) * slot.max(1);
        let mut t = FleetScan {
            due: next(TURN),
            ..FleetScan::default()
        };
        for e in self.engines.values() {
            t.due = if let CircuitState::Open(until) = e.circuit {
                t.due.min(until)
            } else {
                t.due
            };
            if !e.ready() {
                continue;
            }
            let (cold, closed) = (
                e.warmth(now, rules) < 1.0,
                e.circuit == CircuitState::Closed,
            );
            let slot = if cold { cold_slot } else { TURN };
            let holds = |across| self.has_slot(now, e, slot, e.bound * self.capacity_share, across);
            t.turns
                .extend((holds(0.0) || (cold && holds(0.5))).then_some(e.endpoint.id));
            t.due = if cold {
                t.due.min(next(slot)).min(e.warm_at(rules))
            } else {
                t.due
            };
            t.stretches.push(e.slowdown);
            t.cores += if closed { e.cores } else { 0.0 };
            t.warm_bound += if closed && !cold { e.bound } else { 0.0 };
            t.cold.extend((closed && cold).then_some(e.endpoint.id));
        }
        t
    }
}
