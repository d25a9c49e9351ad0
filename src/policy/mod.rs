//! Every decision of a gateway; its types, events and actions are those of `src/interface.rs`, what
//! it remembers those of `src/state/`. Ordinary path: each engine has a bound on running threads,
//! moved by formula (5); a gateway keeps to its share of it, sends where most threads are free, and
//! holds or refuses the rest. One file a concern.
mod admission_queue;
pub mod api;
mod attempts;
mod concurrency_limit;
mod endpoint_list;
mod endpoint_selection;
mod load_reports;
mod outlier_detection;
mod slow_start;
mod stall_detection;
pub(crate) mod state;

use crate::policy::api::*;
pub use crate::policy::state::Gateway;
use crate::policy::state::*;
use rand_core::Rng;

const SWEEP: u64 = 1; // Timer token of the sweep; the module has no other timer.
// Between looks at what waits: within the usual answer slack.
const SWEEP_EVERY: Nanos = 20_000_000;
const PERIOD: Nanos = 2_000_000_000; // Period of the ECC09 update, from the design.
const START_THREADS_PER_CORE: f64 = 2.0; // Bound at start, from the design.
const FLOOR: f64 = 0.5; // Floor of the bound as a share of its start, from the design.
// Times the usual that a sample counts at most: one costly query must not decide.
const CLIP: f64 = 3.0;
// Without pressure a burst fills this many start bounds before latency can tell.
const SURGE: f64 = 1.4;
const LONG_BORROW: f64 = 0.9; // Long queries may borrow idle room up to this part of the bound.
const JAM: f64 = 2.0; // An engine this many times slower than its peers is in a jam.
const TURN: Nanos = 500_000_000; // Length of a turn of gateways whose share is under one query.
// Turns on a cold engine in a fall window: a window cuts one more than these.
const COLD_SLOTS: u64 = 4;
// Engines compared for a query: all of a small fleet, few of a large one.
const CANDIDATES: usize = 12;
const SMOOTH: f64 = 0.1; // Weight of a new sample in smoothed figures: about the last ten samples.
// Least weight of a sample in what a class has taught: about the last fifty.
const LEARN: f64 = 0.02;
const ENOUGH: u32 = 5; // Samples that are believed: of a class's work, of a window of all engines.
const STALL: Nanos = 3 * SWEEP_EVERY; // A gateway that had no turn for so long stood still itself.
// ...which is this at first and never less: what is sent anew runs twice.
const TAIL_FIRST: f64 = 4.0;
const CANCEL_SPARE: f64 = 6.0; // Cancels that may be saved up.
const USUAL_BUSY: f64 = 0.8; // Share of a core's time that usual capacity means.
// ...and queries at least: a small part of a rate comes in whole queries.
const QUOTA_LEAST: f64 = 6.0;
// Part of the expected time that must be left at a send: estimates lie too high.
const DOUBT: f64 = 0.5;

fn smooth(old: &mut f64, sample: f64) {
    *old += SMOOTH * (sample - *old);
}

impl Gateway {
    /// A gateway that knows nothing but its settings.
    pub fn new(now: Nanos, settings: Settings, seed: u64) -> Gateway {
        let mut g = Gateway::blank(now, settings, seed);
        g.class_estimates = g
            .settings
            .classes
            .iter()
            .map(|c| ClassEstimates::first(c, TAIL_FIRST))
            .collect();
        g.tenants.iter_mut().for_each(|t| t.tokens = QUOTA_LEAST);
        g.cancels = CANCEL_SPARE;
        g
    }

    /// The tenants' shares changed, or tenants came: what each has saved up of its quota stays.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        for (at, t) in tenants.iter().enumerate() {
            match self.tenants.get_mut(at) {
                Some(known) => known.quota = t.quota_per_s,
                None => {
                    let (tokens, filled_at) = (QUOTA_LEAST, self.last_event_at);
                    self.tenants.push(Tenant {
                        quota: t.quota_per_s,
                        tokens,
                        filled_at,
                    });
                }
            }
        }
    }

    /// New settings for what comes from now on. Fresh classes start from what those they follow
    /// have taught.
    pub fn reconfigure(&mut self, s: Settings, fresh: &[(ClassId, Option<ClassId>)]) {
        self.class_estimates.resize_with(s.classes.len(), || {
            ClassEstimates::first(&s.classes[0], TAIL_FIRST)
        });
        for (class, heir_of) in fresh.iter().map(|(class, of)| (usize::from(class.0), of)) {
            let first = ClassEstimates::first(&s.classes[class], TAIL_FIRST);
            self.class_estimates[class] =
                heir_of.map_or(first, |of| self.class_estimates[usize::from(of.0)]);
        }
        self.settings = s;
        self.fleet.changed();
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Nanos, event: Event, acts: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            acts.push(Action::StartTimer {
                after: SWEEP_EVERY,
                token: SWEEP,
            });
            if self.settings.poll_endpoint_list {
                acts.push(Action::WatchEndpointList(true));
            }
        }
        // Guards against this gateway's own stalls: ages and times taken across one say nothing of
        // engines.
        if now.saturating_sub(self.last_event_at) > STALL {
            self.resumed_at = now;
        }
        self.last_event_at = now;
        match event {
            Event::EndpointList { kind, entries } => self.on_list(now, kind, &entries, acts),
            Event::Request(ask) => self.on_request(now, ask, acts),
            Event::Outcome(o) => self.on_outcome(now, &o, acts),
            Event::Progress {
                id,
                attempt,
                update: note,
            } => self.on_note(now, id, attempt, note, acts),
            Event::ClientDisconnected(id) => self.on_gone(id, acts),
            Event::TimerFired(SWEEP) => self.on_sweep(now, acts),
            Event::ProbeCompleted {
                engine,
                kind,
                latency,
                load,
            } => {
                self.on_report(now, engine, &load);
                self.on_probe(now, engine, kind, secs(latency));
                self.pump(now, acts);
            }
            // What gateways may tell one another is the fleet's membership's, not the module's.
            Event::TimerFired(_) | Event::FirstByte { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Whether this gateway's share of an engine is under that many threads.
    fn thin(&self, e: &Engine, threads: f64) -> bool {
        e.initial_bound * LONG_BORROW / self.active_gateways < threads
    }
}
