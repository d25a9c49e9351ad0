//! The events of a run with a fleet of hollow nodes, one after the other, and how long each takes to
//! be observed by all nodes.
use super::figures::{
    DatagramBalance, Death, EventDuration, Figures, Load, LoadSample, MAX_WAKE_DELAY_MS, Partition,
    RollingRestart,
};
use super::fleet::{HollowFleet, Plan, RunError};
use super::hollow_node::NodeReading;
use super::observations::{Condition, ConditionProgress, LeaseHolder};
use super::proc;
use crate::clock::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

/// The hash of the settings that all nodes change to.
const NEW_SETTINGS: u64 = 2;
/// An incarnation begins at least this much later than the one before it.
const INCARNATION_GAP: Micros = 1_000;

/// Runs all events of a plan.
pub fn run(plan: Plan, stop_requested: Arc<AtomicBool>) -> Result<Figures, RunError> {
    let resident_kib = proc::own_resident_kib();
    let mut run = Run::new(HollowFleet::new(plan, stop_requested)?);
    run.join()?;
    run.quiet(resident_kib)?;
    run.death()?;
    run.settings()?;
    run.partition()?;
    run.rolling_restart()?;
    run.finish()
}

/// A run and its figures so far.
pub struct Run {
    /// The fleet.
    pub fleet: HollowFleet,
    /// The figures.
    pub figures: Figures,
}

/// The start of an interval over which load is measured.
struct LoadStart {
    readings: Vec<NodeReading>,
    at: Instant,
    processor_time: Duration,
}

/// How long a restart took, and the largest wake-up delay meanwhile, both in milliseconds.
struct RestartDuration {
    /// `None` if it was not observed by all within the patience.
    all_ms: Option<u64>,
    max_wake_delay_ms: f64,
}

impl Run {
    /// A run before its first event.
    pub fn new(fleet: HollowFleet) -> Run {
        let plan = &fleet.plan;
        let figures = Figures {
            managers: plan.managers,
            engines: plan.engines,
            voters: plan.voters,
            wants: plan.wants,
            seed: plan.seed,
            threads: plan.threads,
            settle_seconds: plan.settle.as_secs_f64(),
            console: plan.console,
            ..Figures::default()
        };
        Run { fleet, figures }
    }

    /// The largest wake-up delay since the last call, in milliseconds, which the figures take in.
    fn take_max_wake_delay_ms(&mut self) -> f64 {
        let delay_ms = self.fleet.observations.take_max_wake_delay_us() as f64 / 1e3;
        self.figures.latest_wake_ms = self.figures.latest_wake_ms.max(delay_ms);
        self.figures.overloaded |= delay_ms >= MAX_WAKE_DELAY_MS;
        delay_ms
    }

    /// The duration of an event that began at `since_ms`; recorded as failed unless all observed it.
    fn event_duration(
        &mut self,
        event: &str,
        since_ms: u64,
        progress: ConditionProgress,
    ) -> EventDuration {
        let ConditionProgress { met, asked, .. } = progress;
        if !progress.is_complete() {
            self.figures
                .failed
                .push(format!("{event}: {met} of {asked}"));
        }
        EventDuration {
            all_ms: progress
                .is_complete()
                .then(|| progress.last_ms.saturating_sub(since_ms)),
            half_ms: progress.median_ms.saturating_sub(since_ms),
            had: met,
            asked,
            latest_wake_ms: self.take_max_wake_delay_ms(),
        }
    }

    /// How many others each node knows when the fleet is complete.
    fn other_members(&self) -> usize {
        self.fleet.plan.managers - 1 + self.fleet.plan.greet.len()
    }

    fn all_nodes(&self) -> Vec<usize> {
        self.fleet.all_except(&[])
    }

    fn settle(&mut self) -> Result<(), RunError> {
        self.fleet.pass_time("settles", self.fleet.plan.settle)
    }

    fn start_load(&mut self) -> Result<LoadStart, RunError> {
        Ok(LoadStart {
            readings: self.fleet.read()?,
            at: Instant::now(),
            processor_time: proc::own_processor_time(),
        })
    }

    /// The load since `start`.
    fn load_since(&mut self, start: &LoadStart) -> Result<Load, RunError> {
        let duration = start.at.elapsed();
        let processor_time = proc::own_processor_time().saturating_sub(start.processor_time);
        let readings = self.fleet.read()?;
        let max_wake_delay_ms = self.take_max_wake_delay_ms();
        Ok(Load::of(
            &self.fleet.plan,
            &LoadSample {
                earlier: &start.readings,
                later: &readings,
                duration,
                processor_time,
                max_wake_delay_ms,
            },
        ))
    }

    /// The load over the next `duration`.
    fn measure_load(&mut self, step: &str, duration: Duration) -> Result<Load, RunError> {
        self.take_max_wake_delay_ms();
        let start = self.start_load()?;
        self.fleet.pass_time(step, duration)?;
        self.load_since(&start)
    }

    /// All nodes start at once, until each knows all others.
    pub fn join(&mut self) -> Result<(), RunError> {
        let all = self.all_nodes();
        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.start_nodes();
        let progress = self.fleet.wait_for_condition("all start at once", &all)?;
        self.figures.join = self.event_duration("join", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(())
    }

    /// Quiet traffic, once the start's traffic has settled.
    pub fn quiet(&mut self, resident_before_kib: u64) -> Result<(), RunError> {
        self.settle()?;
        self.figures.quiet = self.measure_load("quiet traffic", self.fleet.plan.quiet)?;
        self.figures.owned = self.fleet.observations.lease_holders().len();
        let memory_kib = proc::own_resident_kib().saturating_sub(resident_before_kib);
        self.figures.memory_kb = memory_kib / self.fleet.plan.managers as u64;
        Ok(())
    }

    /// The node to stop: no voter, and of those with the most leases the one that the seed picks.
    fn pick_victim(&self, holders: &BTreeMap<u64, LeaseHolder>) -> usize {
        let plan = &self.fleet.plan;
        let mut lease_counts: BTreeMap<usize, usize> = BTreeMap::new();
        for holder in holders.values() {
            *lease_counts.entry(holder.node).or_default() += 1;
        }
        let leases_of = |node: &usize| lease_counts.get(node).copied().unwrap_or(0);
        let mut candidates = self.fleet.all_except(&plan.voter_nodes());
        let most = candidates.iter().map(leases_of).max().unwrap_or(0);
        candidates.retain(|node| leases_of(node) == most);
        let picked = plan.seed as usize % candidates.len().max(1);
        // In the smallest fleets all nodes are voters.
        let fallback = plan.managers - 1;
        candidates.get(picked).copied().unwrap_or(fallback)
    }

    /// One node is suspended, until all others consider it dead and each of its leases has another
    /// holder. Then it is restarted.
    pub fn death(&mut self) -> Result<(), RunError> {
        let holders = self.fleet.observations.lease_holders();
        let victim = self.pick_victim(&holders);
        let lost_leases: BTreeMap<u64, LeaseHolder> = holders
            .into_iter()
            .filter(|(_, holder)| holder.node == victim)
            .collect();
        let name = self.fleet.plan.name(victim);
        let others = self.fleet.all_except(&[victim]);

        self.take_max_wake_delay_ms();
        self.fleet.watch(Condition::Dead(name.clone()));
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.suspend(victim);
        let progress = self.fleet.wait_for_condition("one is stopped", &others)?;
        let dead = self.event_duration("death", since_ms, progress);
        self.fleet.watch(Condition::None);

        let all_reacquired = self.fleet.wait_until("its duties pass", |fleet| {
            reacquired_at(fleet, &lost_leases, since_ms).is_some()
        })?;
        let reacquired_at_ms = reacquired_at(&self.fleet, &lost_leases, since_ms);
        if !all_reacquired {
            let failure = "owners: not every duty has another one";
            self.figures.failed.push(failure.into());
        }
        self.take_max_wake_delay_ms();
        self.figures.death = Death {
            manager: name,
            dead,
            duties: lost_leases.len(),
            owners_ms: reacquired_at_ms.map(|at_ms| at_ms.saturating_sub(since_ms)),
        };
        self.restart(victim, "it is started anew")?;
        Ok(())
    }

    /// Restarts a node, until all others consider its new incarnation alive and it considers all
    /// others alive.
    fn restart(&mut self, node: usize, step: &str) -> Result<RestartDuration, RunError> {
        let readings = self.fleet.read()?;
        let incarnation = readings.get(node).map_or(0, |reading| reading.incarnation);
        let name = self.fleet.plan.name(node);
        let others = self.fleet.all_except(&[node]);
        let restarted = Condition::Restarted(name, incarnation + INCARNATION_GAP);
        self.fleet.watch(restarted);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.restart(node);
        let progress = self.fleet.wait_for_condition(step, &others)?;
        let known = self.event_duration(step, since_ms, progress);

        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let progress = self.fleet.wait_for_condition("it knows all", &[node])?;
        let knows = self.event_duration("knows all after its start", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(RestartDuration {
            all_ms: known.all_ms.zip(knows.all_ms).map(|(a, b)| a.max(b)),
            max_wake_delay_ms: known.latest_wake_ms.max(knows.latest_wake_ms),
        })
    }

    /// All nodes change their settings, until all know of each other's.
    pub fn settings(&mut self) -> Result<(), RunError> {
        self.settle()?;
        self.take_max_wake_delay_ms();
        let all = self.all_nodes();
        self.fleet.watch(Condition::Settings(NEW_SETTINGS));
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.change_settings(NEW_SETTINGS);
        let progress = self.fleet.wait_for_condition("new settings", &all)?;
        self.figures.settings = self.event_duration("settings", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(())
    }

    /// A third of the nodes is partitioned and healed, if the plan has a partition.
    pub fn partition(&mut self) -> Result<(), RunError> {
        let duration = self.fleet.plan.cut;
        if duration.is_zero() {
            return Ok(());
        }
        self.settle()?;
        self.fleet.set_partitioned(true);
        let during = self.measure_load("a third is cut off", duration)?;
        let readings = self.fleet.read()?;
        let alive = || readings.iter().map(|reading| reading.alive);
        let alive_range = (alive().min().unwrap_or(0), alive().max().unwrap_or(0));

        let load_start = self.start_load()?;
        let all = self.all_nodes();
        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.set_partitioned(false);
        let progress = self.fleet.wait_for_condition("it heals", &all)?;
        let healed = self.event_duration("heal", since_ms, progress);
        self.fleet.watch(Condition::None);
        self.settle()?;
        let after = self.load_since(&load_start)?;
        self.figures.cut = Some(Partition {
            seconds: duration.as_secs_f64(),
            during,
            alive: alive_range,
            healed,
            after,
        });
        Ok(())
    }

    /// Nodes are restarted one after the other, as many as the plan has.
    pub fn rolling_restart(&mut self) -> Result<(), RunError> {
        let count = self.fleet.plan.rolling;
        if count == 0 {
            return Ok(());
        }
        self.take_max_wake_delay_ms();
        let first = self.fleet.plan.seed as usize;
        let mut rolling = RollingRestart::default();
        for offset in 0..count {
            let node = (first + offset) % self.fleet.plan.managers;
            let restart = self.restart(node, "restarts one after the other")?;
            rolling.each_ms.push(restart.all_ms);
            rolling.latest_wake_ms = rolling.latest_wake_ms.max(restart.max_wake_delay_ms);
        }
        self.figures.rolling = Some(rolling);
        Ok(())
    }

    /// Ends the run, and balances its datagrams.
    pub fn finish(mut self) -> Result<Figures, RunError> {
        let readings = self.fleet.suspend_all_and_read()?;
        let dropped = self.fleet.dropped_datagrams();
        self.figures.accounts = DatagramBalance::of(&readings, dropped);
        self.take_max_wake_delay_ms();
        Ok(self.figures)
    }
}

/// When the last of these leases was acquired by another node, in milliseconds of the run, if all of
/// them were; `since_ms` if there are none.
fn reacquired_at(
    fleet: &HollowFleet,
    lost_leases: &BTreeMap<u64, LeaseHolder>,
    since_ms: u64,
) -> Option<u64> {
    let holders = fleet.observations.lease_holders();
    let acquired_at_ms = lost_leases.iter().map(|(engine, lost)| {
        let holder = holders.get(engine)?;
        let is_other = holder.token > lost.token && holder.node != lost.node;
        is_other.then_some(holder.since_ms)
    });
    let all = acquired_at_ms.collect::<Option<Vec<u64>>>()?;
    Some(all.into_iter().max().unwrap_or(since_ms))
}
