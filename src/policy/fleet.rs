//! The list of engines, and the sweep over all that is known of the fleet.
use super::*;

impl Gateway {
    pub(super) fn on_list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: &[EngineEntry],
        acts: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            return acts.push(Action::Watch(true));
        }
        // No faster and no slower than the rest: else, as the rest slows, all gateways take the new one.
        self.merge(now, kind, entries, START_THREADS_PER_CORE, self.fleet.median_stretch);
        self.look(now);
    }

    pub(super) fn on_sweep(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        acts.push(Action::Timer { after: SWEEP_EVERY, token: SWEEP });
        if now.saturating_sub(self.updated_at) >= PERIOD {
            self.update_bounds(now);
        }
        let span = self.s.rules.extra.map_or(0, |b| b.span);
        let from = now.saturating_sub(span + SWEEP_EVERY);
        self.taken.retain(|t| *t >= from);
        self.extras.retain(|t| *t >= from);
        self.keys.retain(|_, k| !k.line.is_empty() || k.rest_until > now);
        let (mean, part) =
            (self.fleet.mean, (secs(now.saturating_sub(self.swept_at)) / secs(PERIOD)).min(1.0));
        self.swept_at = now;
        self.fleet.mean.add(mean, -part);
        self.fleet.mean.add(self.fleet.running, part);
        self.look(now);
        if self.woke_at != now {
            self.find_silent(now, acts);
        }
        // The first held query asks again: what its engines told may be old news.
        if let Some(&(_, id, _)) = self.held.first().filter(|_| now >= self.fleet.probed_at + TURN / 2) {
            self.probe(now, id, acts);
        }
        self.review(now, acts);
        self.pump(now, acts);
    }

    /// The one walk over the whole fleet: medians, capacity, turns, and ejections that are over.
    fn look(&mut self, now: Nanos) {
        for e in self.engines.values_mut() {
            e.cold_sent.retain(|(t, _)| *t >= now.saturating_sub(self.s.rules.fall_window));
            if matches!(e.health, Health::Open(until) if until <= now) {
                e.health = Health::HalfOpen(None);
            }
        }
        let ready: Vec<&Engine> = self.fleet.ready.iter().filter_map(|id| self.engines.get(id)).collect();
        let usable = || ready.iter().filter(|e| e.health == Health::Closed);
        let has_turn = |e: &&&Engine| {
            let cold = e.warmth(now, &self.s.rules) < 1.0;
            let slot = if cold { self.s.rules.fall_window / COLD_SLOTS } else { TURN };
            let holds = |across| self.has_slot(now, e, slot, e.bound * self.part, across);
            holds(0.0) || (cold && holds(0.5))
        };
        let mut stretches: Vec<f64> = ready.iter().map(|e| e.stretch).collect();
        stretches.sort_by(f64::total_cmp);
        let median = stretches.get(stretches.len() / 2).copied().unwrap_or(1.0);
        let cores = usable().map(|e| e.cores).sum();
        // Where none is asked, own queries go to warm engines, and to cold ones only in turns beside that.
        let counts = |e: &&&Engine| self.asks() || e.warmth(now, &self.s.rules) >= 1.0;
        let bound = usable().filter(counts).map(|e| e.bound * e.warmth(now, &self.s.rules)).sum();
        let turns = ready.iter().filter(has_turn).map(|e| e.entry.id).collect();
        let f = &mut self.fleet;
        (f.median_stretch, f.turns) = (median, turns);
        (f.cores, f.bound) = (cores, bound);
    }
}
