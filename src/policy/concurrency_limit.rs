//! Bounds: the ECC09 update of each engine's bound on running threads, and whether a query has room
//! under it.
use super::*;

// Upper clamp, same share: beyond, engines lose work; parts are used in full.
const CEILING: f64 = 1.0;
// Gain of formula (5), queries a second: an engine's imbalance a tenth over demand.
const GAIN: f64 = 1.0;
// Least |Ti - To|, queries a second: below it bounds leap on noise.
const LEAST_IMBALANCE: f64 = 1.0;
const STEP: f64 = 0.2; // Most that one update moves the bound: latency answers only a period later.
// Pressure: smoothed latency over time alone stands this far above the best seen.
const PRESSURE: f64 = 2.0;
// Own threads past their part while engines tell that they stand idle, at most.
const SPARE_MOST: f64 = 3.0;
// Part of each bound that short queries have even when long ones borrowed it.
const SHORT_PART: f64 = 0.5;
// Part of a gateway's share that queries may fill which miss their aim anyway.
const LATE_PART: f64 = 0.25;
// Part by which slowness without news fades a period: forgotten in about ten seconds.
const FADE: f64 = 0.2;

impl Running {
    /// The split of a bound: short queries have their part, long ones the rest and what is idle.
    fn fits(&self, k: f64, long: bool, limit: f64) -> bool {
        let long_threads = self.threads - self.short + k;
        let all = self.threads + k <= limit;
        if long {
            long_threads <= limit * (1.0 - SHORT_PART)
                || (all && long_threads <= limit * LONG_BORROW)
        } else {
            all || self.short + k <= limit * SHORT_PART
        }
    }
}

impl ControlWindow {
    /// Formula (5), MPL = Ne / (1 + gain (L' - 1) / (Ti - To)), in threads.
    fn law(&self, period: f64) -> f64 {
        let lateness = self.lateness / self.samples.max(1.0);
        let gap = (self.wanted - self.finished) / period;
        let gap = gap.abs().max(LEAST_IMBALANCE).copysign(gap);
        let below = (1.0 + GAIN * (lateness - 1.0) / gap).clamp(FLOOR, 1.0 / FLOOR);
        self.threads / period / below
    }

    /// The level falls only while answers are late and more comes in than goes out.
    fn falls(&self) -> bool {
        self.lateness > self.samples && self.wanted > self.finished
    }
}

impl Engine {
    /// Moves the bound toward what the law asks for, one step at most, within its clamps.
    fn steer(&mut self, wanted: f64, falls: bool) {
        let low = if falls {
            self.bound * (1.0 - STEP)
        } else {
            self.bound
        };
        let next = wanted.clamp(low, self.bound * (1.0 + STEP));
        self.bound = next.clamp(self.initial_bound * FLOOR, self.initial_bound * CEILING);
    }
}

impl Gateway {
    /// Formula (5) for every engine. Exception: where the share of an engine is under one thread,
    /// its window would hold no sample; the windows of all engines together then stand in, open
    /// until they hold enough.
    pub(super) fn update_bounds(&mut self, now: Nanos) {
        let period = secs(now.saturating_sub(self.updated_at)).max(1e-3);
        self.updated_at = now;
        for r in self.requests.values() {
            for o in &r.attempts {
                let age = secs(now.saturating_sub(o.sent)) / aim(self.class(r), self.work(r));
                if let Some(e) = self.engines.get_mut(&o.engine).filter(|_| age > 1.0) {
                    e.window.lateness += age.min(CLIP);
                    e.window.samples += 1.0;
                }
            }
        }
        let (sharers, count) = (self.active_gateways, self.fleet.ready.len().max(1) as f64);
        let thin = |e: &Engine| e.initial_bound * LONG_BORROW / sharers < 1.0;
        for e in self.engines.values_mut() {
            e.count(now);
            let w = std::mem::take(&mut e.window);
            self.fleet.window.add(&w, sharers / count);
            if thin(e) || w.queries <= 0.0 || w.samples == 0.0 {
                let usual = if thin(e) {
                    self.fleet.stretch
                } else {
                    self.fleet.median_stretch
                };
                e.slowdown += FADE * (usual - e.slowdown);
            } else {
                e.steer(w.law(period) * sharers, w.falls());
            }
        }
        if self.fleet.window.samples >= f64::from(ENOUGH) {
            let all = std::mem::take(&mut self.fleet.window);
            let span = secs(now.saturating_sub(self.fleet.window_since)).max(1e-3);
            let per_core = all.law(span) * count / self.fleet.cores.max(1.0);
            self.engines
                .values_mut()
                .filter(|e| thin(e))
                .for_each(|e| e.steer(per_core * e.cores, all.falls()));
            self.fleet.window_since = now;
        }
        let best = self
            .engines
            .values()
            .filter(|e| e.ready())
            .map(|e| e.slowdown)
            .min_by(f64::total_cmp);
        self.fleet.best_stretch = best
            .unwrap_or(1.0)
            .min(self.fleet.best_stretch * 1.01)
            .max(0.5);
        self.fleet.changed();
    }

    /// Latency far above the best. A gateway just started does not know and takes it for pressure.
    fn pressed(&self, now: Nanos, stretch: f64) -> bool {
        let fresh = now.saturating_sub(self.created_at) < PERIOD;
        fresh || stretch > PRESSURE * self.fleet.best_stretch.min(2.0)
    }

    /// Room under the bound. Short queries keep their part; long ones keep the rest and borrow what
    /// is idle. The bound binds under pressure; before that, a burst may fill some more.
    pub(super) fn has_room(&self, now: Nanos, r: &PendingRequest, e: &Engine) -> bool {
        let (k, long) = (self.threads(r), self.is_long(r));
        // Far slower than its peers: less, to clear it. Harms after underestimates.
        let jam = (JAM * self.fleet.median_stretch / e.slowdown).min(1.0);
        let able = jam * e.warmth(now, &self.settings.invariants);
        if !self.thin(e, k) {
            let pressed = now < e.rejecting_until || self.pressed(now, e.slowdown);
            let limit =
                able * if pressed {
                    e.bound
                } else {
                    e.initial_bound * SURGE
                } / self.active_gateways;
            return e.running.fits(k, long, limit);
        }
        // Exception: a share under one query. All shares bound own threads, reports tell where room
        // is, and under pressure a turn lets in as many gateways as the whole bound holds queries.
        let pressed = self.pressed(now, self.fleet.stretch);
        // What misses its aim anyway earns little: it may fill idle room, not slow what can still
        // be in time.
        let part = if self.asks() || self.in_aim(now, r) {
            1.0
        } else {
            LATE_PART
        };
        let share = self.fleet.bound / self.active_gateways * self.spare(pressed) * part;
        // A share of a few queries is kept in the mean over a period, like Ne of the law, lest a
        // good part of it be unused. At a moment it may be twice as much, and one with nothing out
        // may send one. A turn on a cold engine does not wait for own queries that are stuck on the
        // warm ones beside it.
        let own = (!self.asks() && e.warmth(now, &self.settings.invariants) < 1.0)
            || ((self.fleet.running.queries < 1.0 || self.fleet.mean.fits(0.0, long, share))
                && self
                    .fleet
                    .running
                    .fits(k, long, (2.0 * share).max(k / LONG_BORROW)));
        let whole = able * e.bound * if long { LONG_BORROW } else { SURGE };
        let load = self.load(now, e);
        let crowded = now < e.rejecting_until
            || load >= e.initial_bound
            || (pressed && load > FLOOR * e.initial_bound);
        let holders = whole / k * f64::from(self.settings.gateways.max(1)) / self.active_gateways;
        own && load + k <= whole && (!crowded || self.has_slot(now, e, TURN, holders, 0.0))
    }

    /// How far own threads may go past their part: while engines tell that what they have is not in
    /// use, parts that others leave idle may be used. Only reports that tell of all that queries
    /// wait for are believed: counts of queries, or disks beside cores. Harms where reports lag
    /// behind a surge.
    pub(super) fn spare(&self, pressed: bool) -> f64 {
        let tells = |field| self.settings.load_fields.contains(&field);
        let share = if pressed { 1.0 } else { SURGE };
        let full = match (
            tells(LoadField::QueriesInFlight),
            tells(LoadField::DiskUtilization),
        ) {
            (true, _) => START_THREADS_PER_CORE,
            (false, told) => share * f64::from(u8::from(told)),
        };
        (full / self.fleet.crowd.max(0.1)).clamp(1.0, SPARE_MOST)
    }
}
