//! Load: what engines tell of it in answers and probes, and when they are asked.
use super::*;

const FRESH: Nanos = 250_000_000; // A report younger than this needs no probe...
const NEWS: Nanos = 1_000_000_000; // ...and one older than this tells nothing.
const PROBES: usize = 1; // Engines probed for a query whose share of an engine is under one.
// Price of a probe, in parts of a usual query, that a choice is not worth.
const PROBE_DEAR: f64 = 0.03;
const PROBE_WAIT: Nanos = 30_000_000; // Longest wait of a query for its probes.

impl Gateway {
    /// Threads of all gateways that an engine is taken to run: its report and own sends since.
    /// Where others tell, one that has told nothing of late is taken to be full, as it may be in a
    /// jam and can be asked. Where asking is not allowed it is taken to be as busy as those that
    /// told: else what is not used is never heard of again. Harms where an engine that others know
    /// to be jammed is new to this gateway.
    pub(super) fn load(&self, now: Nanos, e: &Engine) -> f64 {
        match e.report {
            Some((at, threads)) if now.saturating_sub(at) < NEWS => {
                threads + e.threads_sent_since_report
            }
            Some(_) | None
                if self.fleet.recent.is_empty()
                    || e.warmth(now, &self.settings.invariants) < 1.0 =>
            {
                e.threads_sent_since_report
            }
            Some(_) | None if self.asks() => f64::INFINITY,
            Some(_) | None => self.fleet.crowd * e.cores + e.threads_sent_since_report,
        }
    }

    /// What an engine says of its load, in answers and probes: queries in hand at the threads of a
    /// usual one, the use of its cores, or its memory, where all of it counts as a full bound;
    /// whichever says most.
    pub(super) fn on_report(&mut self, now: Nanos, engine: EngineId, load: &LoadReport) {
        let mix = self.fleet.mix;
        let Some(e) = self.engines.get_mut(&engine).filter(|_| !load.is_empty()) else {
            return;
        };
        let mut threads: f64 = 0.0;
        for (field, value) in self.settings.load_fields.iter().zip(load.values()) {
            let value = f64::from(*value);
            let says = match field {
                LoadField::QueriesInFlight => {
                    value * (mix.threads / mix.queries.max(1e-9)).max(1.0)
                }
                LoadField::CpuUtilization | LoadField::DiskUtilization => value * e.cores,
                // Most of the memory is granted in normal work; only the last part of it is scarce.
                LoadField::MemoryGrantedFraction => value.powi(4) * e.initial_bound,
                LoadField::QueriesQueued => value * e.initial_bound,
                LoadField::RecentServiceMillis
                | LoadField::ThroughputPerSecond
                | LoadField::ErrorsPerSecond
                | LoadField::Unknown => 0.0,
            };
            threads = threads.max(if says.is_finite() { says } else { 0.0 });
        }
        (e.report, e.threads_sent_since_report) = (Some((now, threads)), 0.0);
        smooth(&mut self.fleet.crowd, threads / e.cores);
        self.fleet.recent.retain(|id| *id != engine);
        self.fleet.recent.push_front(engine);
        self.fleet.recent.truncate(CANDIDATES / 2);
    }

    /// A jammed engine may report idle cores, as its queries wait for disks: the delay of its probe
    /// beyond the best seen, against its peers, raises the report. One that does not answer is full
    /// or worse.
    pub(super) fn on_probe(&mut self, now: Nanos, engine: EngineId, kind: OutcomeKind, took: f64) {
        let f = &mut self.fleet;
        f.probes_out = f.probes_out.saturating_sub(1);
        let Some(e) = self.engines.get_mut(&engine) else {
            return;
        };
        let base = &mut f.probe_base[usize::from(e.endpoint.zone != self.settings.zone)];
        *base = (*base * 1.001).min(took);
        let delay = took - *base;
        let slow = delay / f.probe_delay.max(0.25 * *base).max(1e-6);
        let clipped = delay.min(CLIP * (f.probe_delay + *base));
        smooth(&mut f.probe_delay, clipped);
        let told = e.report.map_or(0.0, |(_, threads)| threads);
        let full = match kind {
            OutcomeKind::Ok => (slow / JAM).powi(2),
            OutcomeKind::ConnectFailed => f64::INFINITY,
            OutcomeKind::Error | OutcomeKind::Rejected | OutcomeKind::Timeout => SURGE,
            OutcomeKind::Reset | OutcomeKind::Cancelled | OutcomeKind::NeverSent => SURGE,
        };
        e.report = Some((now, told.max(e.initial_bound * full)));
    }

    /// Whether engines are asked for their load: not where all probes together cost more than they
    /// help.
    pub(super) fn asks(&self) -> bool {
        self.settings.limits.may_probe && self.settings.probe_price <= PROBE_DEAR
    }

    /// Where own answers tell too little, a few engines at random are asked for their load.
    pub(super) fn probe(&mut self, now: Nanos, id: RequestId, acts: &mut Vec<Action>) {
        let some = self.candidates();
        let Some(r) = self.requests.get(&id).filter(|_| self.asks()) else {
            return;
        };
        // Where one that counts its queries is half empty and would take this one, a probe tells
        // nothing.
        let (class, threads) = (self.class(r), self.threads(r));
        let open = |e: &&Engine| {
            placed(class, &e.endpoint)
                && e.circuit == CircuitState::Closed
                && self.gate(now, id, r, e)
        };
        let idle = |e: &&Engine| {
            self.load(now, e) + threads <= FLOOR * e.initial_bound && self.has_room(now, r, e)
        };
        let known = some
            .iter()
            .filter_map(|id| self.engines.get(id))
            .filter(|e| e.report.is_some());
        let counts = self
            .settings
            .load_fields
            .contains(&LoadField::QueriesInFlight);
        if counts && known.filter(open).any(|e| idle(&e)) {
            return;
        }
        let old = |e: &&Engine| {
            e.report
                .is_none_or(|(at, _)| now.saturating_sub(at) >= FRESH)
        };
        // First where this gateway has a turn on a cold engine: what it knows of others does not
        // fill that.
        let cold = |id: &&EngineId| {
            self.engines
                .get(id)
                .is_some_and(|e| e.warmth(now, &self.settings.invariants) < 1.0)
        };
        let turns = some
            .iter()
            .take(self.fleet.turns.len().min(CANDIDATES / 2))
            .filter(cold);
        let asked = turns
            .chain(some.iter().rev())
            .filter_map(|id| self.engines.get(id));
        let useful = asked.filter(|e| self.thin(e, threads));
        let asked = useful.filter(open).filter(old);
        let asked: Vec<EngineId> = asked.map(|e| e.endpoint.id).take(PROBES).collect();
        self.fleet.probes_out += asked.len();
        self.fleet.probed_at = now;
        if let Some(r) = self.requests.get_mut(&id).filter(|_| !asked.is_empty()) {
            r.awaiting_probes_until = now + PROBE_WAIT;
        }
        acts.extend(asked.into_iter().map(|engine| Action::Probe { engine }));
    }
}
