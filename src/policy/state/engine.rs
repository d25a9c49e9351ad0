//! What is remembered of one engine.
use super::secs;
use crate::policy::api::*;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Outlier ejection of one engine.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum CircuitState {
    #[default]
    Closed,
    Open(Nanos),                 // Gets no ordinary work until then.
    HalfOpen(Option<RequestId>), // May get one trial, or has it out.
}

/// Own queries that run on an engine, or on all of them.
#[derive(Clone, Copy, Default)]
pub struct Running {
    pub queries: f64,
    pub threads: f64,
    pub short: f64, // Threads of short queries.
}

impl Running {
    pub fn add(&mut self, other: Running, times: f64) {
        self.queries = (self.queries + times * other.queries).max(0.0);
        self.threads = (self.threads + times * other.threads).max(0.0);
        self.short = (self.short + times * other.short).max(0.0);
    }
}

/// Sums of a window of the ECC09 update.
#[derive(Clone, Copy, Default)]
pub struct ControlWindow {
    pub queries: f64, // Query-seconds, thread-seconds.
    pub threads: f64,
    pub finished: f64,
    pub wanted: f64,
    pub lateness: f64,
    pub samples: f64,
}

impl ControlWindow {
    pub fn add(&mut self, w: &ControlWindow, times: f64) {
        self.queries += w.queries * times;
        self.threads += w.threads * times;
        self.finished += w.finished * times;
        self.wanted += w.wanted * times;
        self.lateness += w.lateness;
        self.samples += w.samples;
    }
}

#[derive(Default)]
pub struct Engine {
    pub endpoint: Endpoint,
    pub cores: f64,
    pub initial_bound: f64, // Bounds are in threads of all gateways together.
    pub bound: f64,
    pub running: Running,
    pub window: ControlWindow,
    pub integrated_at: Nanos,
    // Smoothed latency over expected time alone; the yardstick of pressure and of peers.
    pub slowdown: f64,
    pub rejecting_until: Nanos, // A full refusal counts as pressure for a period.
    pub circuit: CircuitState,
    pub ejections: u32,
    pub failure_rate: f64,
    pub last_activity_at: Nanos,
    // When an attempt there passed its time with no sign of life of the engine since.
    pub unresponsive_at: Nanos,
    pub last_reset_at: Nanos, // When a reset last counted against it.
    pub warm_up_sends: VecDeque<(Nanos, f64)>, // When, and of what weight: oldest first.
    pub report: Option<(Nanos, f64)>, // When it last told its load, and that in threads.
    pub threads_sent_since_report: f64, // Own threads sent there since.
    pub last_sent_at: Nanos,
    pub loading_data_sets: BTreeMap<u64, u32>,
    // Data sets that queries were told to wait for, and until when.
    pub blocked_data_sets: BTreeMap<u64, Nanos>,
}

impl Engine {
    /// One that nothing is known of but its entry and its cores.
    pub fn new(now: Nanos, entry: Endpoint, cores: f64, start: f64, stretch: f64) -> Engine {
        let times = Engine {
            integrated_at: now,
            last_activity_at: now,
            ..Engine::default()
        };
        Engine {
            endpoint: entry,
            cores,
            initial_bound: start,
            bound: start,
            slowdown: stretch,
            ..times
        }
    }

    /// Brings the time integrals of the window up to now.
    pub fn count(&mut self, now: Nanos) {
        let dt = secs(now.saturating_sub(self.integrated_at));
        self.window.queries += self.running.queries * dt;
        self.window.threads += self.running.threads * dt;
        self.integrated_at = now;
    }

    pub fn ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }

    /// When a started engine is warm at the latest.
    pub fn warm_at(&self, rules: &Invariants) -> Nanos {
        self.endpoint
            .started_at
            .saturating_add(rules.slow_start_duration)
    }

    /// Share of usual capacity that a started engine surely has: the start share, then a
    /// late-rising curve.
    pub fn warmth(&self, now: Nanos, rules: &Invariants) -> f64 {
        if self.endpoint.started_at == 0 || self.warm_at(rules) <= now {
            return 1.0;
        }
        let age = secs(now.saturating_sub(self.endpoint.started_at))
            / secs(rules.slow_start_duration.max(1));
        rules.slow_start_initial_fraction + (1.0 - rules.slow_start_initial_fraction) * age * age
    }

    /// Enters work of that weight, sent to it while it is cold, and forgets what was sent before
    /// the window.
    pub fn count_cold(&mut self, now: Nanos, rules: &Invariants, weight: f64) {
        self.warm_up_sends.push_back((now, weight));
        self.forget_cold(now, rules);
    }

    /// What the time alone ends: an ejection, and the window of what was sent while it was cold.
    pub fn settle(&mut self, now: Nanos, rules: &Invariants) {
        self.forget_cold(now, rules);
        if matches!(self.circuit, CircuitState::Open(until) if until <= now) {
            self.circuit = CircuitState::HalfOpen(None);
        }
    }

    fn forget_cold(&mut self, now: Nanos, rules: &Invariants) {
        let from = now.saturating_sub(rules.overload_window);
        self.warm_up_sends
            .drain(..self.warm_up_sends.partition_point(|(t, _)| *t < from));
    }
}

/// How far an engine is from being a data set's own, 0 to 1: the same at all gateways and after a
/// restart, so that engines keep warm what they are asked for, without a word between gateways.
pub fn strangeness(group: u64, engine: EngineId) -> f64 {
    let hash = xxh3_64_with_seed(&engine.0.to_be_bytes(), group);
    1.0 - (hash >> 11) as f64 / (1u64 << 53) as f64
}
