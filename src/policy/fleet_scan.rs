//! Totals over all engines: computed by a scan of the whole fleet if something that it reads
//! changed or is due, otherwise updated from the few engines that changed.
use super::Gateway;
use super::state::engine::Engine;
use super::state::fleet_totals::FleetScan;
use super::state::turns::Turn;
use super::tuning::{TURN_DURATION, WARM_UP_TURNS};
use crate::policy::api::Nanos;

/// [`Turn::offset`] of the second turn on an engine that warms up. This turn is reserved for long
/// queries, so that short ones do not use up both turns.
pub(super) const LONG_QUERY_TURN_OFFSET: f64 = 0.5;

impl Gateway {
    /// Brings the totals over all engines up to `now`.
    pub(crate) fn refresh_fleet(&mut self, now: Nanos) {
        if self.fleet.is_scan_due(now) {
            for engine in self.engines.values_mut() {
                engine.expire(now, &self.settings.invariants);
            }
            let scan = self.scan_fleet(now);
            self.fleet.apply_scan(scan, self.engines.len());
        }
        self.refresh_fleet_totals(now);
    }

    /// Updates the totals between scans: used turns, engines that warm up, and the median.
    fn refresh_fleet_totals(&mut self, now: Nanos) {
        self.fleet.remove_used_turns();
        // Where engines are not probed, this gateway's queries go to warm engines, and to engines
        // that warm up only in additional turns.
        let warming_up_limit = if self.probes_engines() {
            self.fleet.visited_engines += self.fleet.warming_up.len() as u64;
            self.warming_up_limit(now)
        } else {
            0.0
        };
        self.fleet.set_warming_up_limit(warming_up_limit);
        self.fleet.median_slowdown = self.fleet.slowdowns.median().unwrap_or(1.0);
    }

    /// Sum of the limits of the engines that warm up, each scaled by its capacity fraction.
    fn warming_up_limit(&self, now: Nanos) -> f64 {
        let invariants = &self.settings.invariants;
        let ids = self.fleet.warming_up.iter();
        let engines = ids.filter_map(|id| self.engines.get(id));
        engines
            .map(|engine| engine.limit * engine.capacity_fraction(now, invariants))
            .sum()
    }

    /// Scans the whole fleet. Code that changes anything the scan reads, other than time, has to
    /// call [`FleetTotals::mark_changed`](super::state::fleet_totals::FleetTotals::mark_changed).
    pub(crate) fn scan_fleet(&self, now: Nanos) -> FleetScan {
        let invariants = &self.settings.invariants;
        let mut scan = FleetScan {
            next_scan_at: next_multiple(now, TURN_DURATION),
            ..FleetScan::default()
        };
        for engine in self.engines.values() {
            if let Some(until) = engine.circuit.open_until() {
                scan.next_scan_at = scan.next_scan_at.min(until);
            }
            if !engine.is_ready() {
                continue;
            }
            let is_warming_up = engine.is_warming_up(now, invariants);
            if self.has_any_turn(now, engine, is_warming_up) {
                scan.turns.push(engine.id());
            }
            if is_warming_up {
                let next_turn = next_multiple(now, self.warm_up_turn_duration());
                let warm_at = engine.warm_at(invariants);
                scan.next_scan_at = scan.next_scan_at.min(next_turn).min(warm_at);
            }
            scan.slowdowns.push(engine.slowdown);
            if !engine.circuit.is_closed() {
                continue;
            }
            scan.cores += engine.cores;
            if is_warming_up {
                scan.warming_up.push(engine.id());
            } else {
                scan.warm_limit += engine.limit;
            }
        }
        scan
    }

    /// Whether this gateway has an unused turn on the engine. An engine that warms up has two
    /// divisions of turns, for short and for long queries.
    fn has_any_turn(&self, now: Nanos, engine: &Engine, is_warming_up: bool) -> bool {
        let duration = if is_warming_up {
            self.warm_up_turn_duration()
        } else {
            TURN_DURATION
        };
        let turn = Turn {
            duration,
            holders: engine.limit * self.capacity_share,
            offset: 0.0,
        };
        let long_query_turn = Turn {
            offset: LONG_QUERY_TURN_OFFSET,
            ..turn
        };
        self.has_unused_turn(now, engine, &turn)
            || (is_warming_up && self.has_unused_turn(now, engine, &long_query_turn))
    }

    /// Length of a turn on an engine that warms up.
    pub(super) fn warm_up_turn_duration(&self) -> Nanos {
        self.settings.invariants.overload_window / WARM_UP_TURNS
    }
}

/// The first multiple of `interval` after `now`.
fn next_multiple(now: Nanos, interval: Nanos) -> Nanos {
    let interval = interval.max(1);
    (now / interval + 1) * interval
}
