//! Health of engines, and what their answers teach.
use super::*;

const CALM: f64 = 1.25; // Answers at most this many times slower than the best seen.
// Smoothed share of failures that ejects: three in a row do, at this weight,
const FAIL_SHARE: f64 = 0.4;
const FAIL_WEIGHT: f64 = 0.2; // ...and one where the share of an engine is under one query.
const EJECT: Nanos = 1_500_000_000; // First ejection; doubled each time up to eight times.
// Most of the ready engines ejected: when more look bad the cause is shared.
const EJECT_MOST: f64 = 0.5;
// Part of a class's answers that take longer than its tail, in expected times...
const TAIL: f64 = 0.05;
const TAIL_STEP: f64 = 0.2; // Weight of one answer in it: a fifth up, a hundredth down.

impl Engine {
    pub(super) fn eject(&mut self, now: Nanos, fleet: &mut Fleet) {
        fleet.changed();
        self.circuit = CircuitState::Open(now + (EJECT << self.ejections.min(3)));
        self.ejections += 1;
        self.failure_rate = 0.0;
    }
}

impl Gateway {
    /// Outlier ejection: fast failures, resets, failed connects, time-outs without life, against
    /// peers.
    pub(super) fn judge(&mut self, now: Nanos, o: &Outcome, out: &Attempt) {
        let Some(e) = self.engines.get_mut(&o.engine) else {
            return;
        };
        let trial = e.circuit == CircuitState::HalfOpen(Some(o.id));
        let silent = out.life_at.max(e.last_activity_at) <= out.sent;
        let failed = match o.kind {
            OutcomeKind::Error | OutcomeKind::ConnectFailed | OutcomeKind::Reset => true,
            OutcomeKind::Ok | OutcomeKind::Rejected => false,
            // Nothing since from its engine, on this attempt or another. Guards against ejecting
            // the busiest, where much of what waits in a full line runs out of time.
            OutcomeKind::Timeout if silent => true,
            // Its copy answered sooner. Where a gateway's share is small it hears too little to
            // tell.
            OutcomeKind::Cancelled
                if silent && o.request_finished && e.initial_bound >= self.active_gateways =>
            {
                true
            }
            OutcomeKind::Timeout | OutcomeKind::Cancelled | OutcomeKind::NeverSent => {
                e.circuit = if trial {
                    CircuitState::HalfOpen(None)
                } else {
                    e.circuit
                };
                return;
            }
        };
        // A connection that breaks ends all on it, and is one failure: no engine is ejected for
        // that alone.
        if o.kind == OutcomeKind::Reset && !trial && now < e.last_reset_at + SWEEP_EVERY {
            return;
        }
        e.last_reset_at = if o.kind == OutcomeKind::Reset {
            now
        } else {
            e.last_reset_at
        };
        let weight = if e.initial_bound < self.active_gateways {
            0.5
        } else {
            FAIL_WEIGHT
        };
        e.failure_rate += weight * (f64::from(u8::from(failed)) - e.failure_rate);
        let bad = failed && (trial || e.failure_rate > FAIL_SHARE);
        // Walks over the fleet: asked last.
        let ejects = bad && (trial || self.may_eject(o.engine));
        let Some(e) = self.engines.get_mut(&o.engine) else {
            return;
        };
        if ejects {
            e.eject(now, &mut self.fleet);
        } else if !failed {
            e.rejecting_until = if o.kind == OutcomeKind::Rejected {
                now + PERIOD
            } else {
                e.rejecting_until
            };
            e.last_activity_at = now;
            if trial {
                // Slow start: back with the least bound.
                (e.circuit, e.bound) = (CircuitState::Closed, e.initial_bound * FLOOR);
                self.fleet.changed();
            }
        }
    }

    /// Judged against peers: with most engines bad already nobody is ejected.
    pub(super) fn may_eject(&self, engine: EngineId) -> bool {
        let out =
            |e: &&Engine| e.ready() && e.circuit != CircuitState::Closed && e.endpoint.id != engine;
        (self.engines.values().filter(out).count() + 1) as f64
            <= EJECT_MOST * self.fleet.ready.len() as f64
    }

    /// What an answer teaches of its engine and its class.
    pub(super) fn learn(&mut self, ask: &Request, o: &Outcome, out: &Attempt) {
        let class = usize::from(ask.class.0);
        let threads = self.settings.classes[class].threads.max(1.0);
        // Where none is asked nothing tells a crowd from work: only answers as fast as the best
        // teach it.
        let calm = self.asks() || self.fleet.stretch <= CALM * self.fleet.best_stretch;
        let calm = calm || self.class_estimates[class].samples < 4 * ENOUGH;
        let (took, l) = (secs(o.latency), &mut self.class_estimates[class]);
        let work = o
            .work
            .map_or(ask.work_hint.map_or(l.work, |h| secs(h) * l.bias), secs);
        let Some(e) = self.engines.get_mut(&o.engine) else {
            return;
        };
        if self.settings.classes[class].blocked_by_loads {
            e.blocked_data_sets.remove(&ask.data_set);
        }
        e.window.finished += 1.0;
        e.window.samples += 1.0;
        e.window.lateness += (took / aim(&self.settings.classes[class], work)).min(CLIP);
        let stretch = took / (work / threads).max(1e-3);
        let old = e.slowdown;
        for usual in [&mut self.fleet.stretch, &mut e.slowdown] {
            let clipped = stretch.min(CLIP * *usual);
            smooth(usual, clipped);
        }
        if e.ready() {
            self.fleet.stretches.replace(old, e.slowdown);
        }
        // Where answers tell no cost, work is guessed from the time taken, over how crowded the
        // engine was at the send: else time under overload passes for work. Not over slowness, as
        // both would drift apart.
        let sample = o.work.map_or(
            took * threads / out.crowd.max(self.fleet.crowd).max(1.0),
            secs,
        );
        l.samples += 1;
        let weight = (1.0 / f64::from(l.samples)).max(LEARN);
        // The tail moves up by much for each answer beyond it, down by little for each within, and
        // settles.
        let beyond = took > l.tail * out.alone;
        l.tail *= 1.0 + TAIL_STEP * (f64::from(u8::from(beyond)) - TAIL);
        l.tail = l.tail.clamp(1.0, 1.0 / TAIL);
        l.work += if calm {
            weight * (sample.min(l.work * 10.0) - l.work)
        } else {
            0.0
        };
        if let (Some(h), Some(_)) = (ask.work_hint, o.work) {
            l.bias += weight * ((sample / secs(h).max(1e-4)).clamp(0.1, 10.0) - l.bias);
        }
    }
}
