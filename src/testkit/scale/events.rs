//! Runs the events of a fleet of hollow nodes one after the other, and measures the time until all
//! nodes have observed each of them.
use super::fleet::{HollowFleet, Plan, RunError};
use super::hollow_node::NodeReading;
use super::measurements::{
    DatagramBalance, EventDuration, FleetLoad, FleetMeasurements, LoadSample, MAX_WAKE_DELAY_MS,
    NodeFailure, Partition, RollingRestart,
};
use super::observations::{Condition, ConditionProgress, LeaseHolder};
use super::proc;
use crate::clock::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

/// Hash of the settings that all nodes change to.
const NEW_SETTINGS: u64 = 2;
/// Minimum time between the starts of two incarnations of a node, in microseconds.
const MIN_INCARNATION_GAP: Micros = 1_000;

/// Runs all events of a plan, and returns the measurements.
pub fn run(plan: Plan, stop_requested: Arc<AtomicBool>) -> Result<FleetMeasurements, RunError> {
    let resident_kib = proc::own_resident_kib();
    let mut run = Run::new(HollowFleet::new(plan, stop_requested)?);
    run.join()?;
    run.measure_quiet_traffic(resident_kib)?;
    run.fail_node()?;
    run.change_settings()?;
    run.partition_and_heal()?;
    run.rolling_restart()?;
    run.finish()
}

/// A run and its measurements so far.
pub struct Run {
    /// The fleet.
    pub fleet: HollowFleet,
    /// The measurements.
    pub measurements: FleetMeasurements,
}

/// The readings at the start of an interval over which load is measured.
struct LoadStart {
    readings: Vec<NodeReading>,
    at: Instant,
    processor_time: Duration,
}

/// The duration of a restart, and the largest wake-up delay during it, both in milliseconds.
struct RestartDuration {
    /// `None` if not all nodes observed it within the event timeout.
    all_ms: Option<u64>,
    max_wake_delay_ms: f64,
}

impl Run {
    /// Creates a run before its first event.
    pub fn new(fleet: HollowFleet) -> Run {
        let plan = &fleet.plan;
        let measurements = FleetMeasurements {
            managers: plan.managers,
            engines: plan.engines,
            voters: plan.voters,
            load_requests_per_s: plan.load_requests_per_s,
            seed: plan.seed,
            threads: plan.threads,
            settle_seconds: plan.settle.as_secs_f64(),
            admin_enabled: plan.admin_enabled,
            ..FleetMeasurements::default()
        };
        Run {
            fleet,
            measurements,
        }
    }

    /// Returns the largest wake-up delay since the last call, in milliseconds, and records it in
    /// the measurements.
    fn take_max_wake_delay_ms(&mut self) -> f64 {
        let delay_ms = self.fleet.observations.take_max_wake_delay_us() as f64 / 1e3;
        self.measurements.max_wake_delay_ms = self.measurements.max_wake_delay_ms.max(delay_ms);
        self.measurements.overloaded |= delay_ms >= MAX_WAKE_DELAY_MS;
        delay_ms
    }

    /// Returns the duration of an event that began at `since_ms`, and records the event as failed
    /// unless all nodes observed it.
    fn event_duration(
        &mut self,
        event: &str,
        since_ms: u64,
        progress: ConditionProgress,
    ) -> EventDuration {
        let ConditionProgress { met, total, .. } = progress;
        if !progress.is_complete() {
            self.measurements
                .failed
                .push(format!("{event}: {met} of {total}"));
        }
        EventDuration {
            all_ms: progress
                .is_complete()
                .then(|| progress.last_ms.saturating_sub(since_ms)),
            half_ms: progress.median_ms.saturating_sub(since_ms),
            observed: met,
            expected: total,
            max_wake_delay_ms: self.take_max_wake_delay_ms(),
        }
    }

    /// Returns how many other members each node has in its view when the fleet is complete.
    fn other_members(&self) -> usize {
        self.fleet.plan.managers - 1 + self.fleet.plan.extra_seeds.len()
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

    /// Returns the load since `start`.
    fn load_since(&mut self, start: &LoadStart) -> Result<FleetLoad, RunError> {
        let duration = start.at.elapsed();
        let processor_time = proc::own_processor_time().saturating_sub(start.processor_time);
        let readings = self.fleet.read()?;
        let max_wake_delay_ms = self.take_max_wake_delay_ms();
        Ok(FleetLoad::of(
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

    /// Measures the load over the next `duration`.
    fn measure_load(&mut self, step: &str, duration: Duration) -> Result<FleetLoad, RunError> {
        self.take_max_wake_delay_ms();
        let start = self.start_load()?;
        self.fleet.pass_time(step, duration)?;
        self.load_since(&start)
    }

    /// Starts all nodes at once, and waits until each has all others as alive in its view.
    pub fn join(&mut self) -> Result<(), RunError> {
        let all = self.all_nodes();
        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.start_nodes();
        let progress = self
            .fleet
            .wait_for_condition("all nodes start at once", &all)?;
        self.measurements.join = self.event_duration("join", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(())
    }

    /// Measures quiet traffic, once the traffic of the start has settled.
    pub fn measure_quiet_traffic(&mut self, resident_before_kib: u64) -> Result<(), RunError> {
        self.settle()?;
        self.measurements.quiet = self.measure_load("quiet traffic", self.fleet.plan.quiet)?;
        self.measurements.owned = self.fleet.observations.lease_holders().len();
        let memory_kib = proc::own_resident_kib().saturating_sub(resident_before_kib);
        self.measurements.memory_kib = memory_kib / self.fleet.plan.managers as u64;
        Ok(())
    }

    /// Returns the node to stop: the seed picks it among the nodes with the most leases that are
    /// not voters.
    fn pick_node_to_stop(&self, holders: &BTreeMap<u64, LeaseHolder>) -> usize {
        let plan = &self.fleet.plan;
        let mut lease_counts: BTreeMap<usize, usize> = BTreeMap::new();
        for holder in holders.values() {
            *lease_counts.entry(holder.node).or_default() += 1;
        }
        let leases_of = |node: &usize| lease_counts.get(node).copied().unwrap_or(0);
        let mut candidates = self.fleet.all_except(&plan.voter_nodes());
        let max_leases = candidates.iter().map(leases_of).max().unwrap_or(0);
        candidates.retain(|node| leases_of(node) == max_leases);
        let picked = plan.seed as usize % candidates.len().max(1);
        // In the smallest fleets all nodes are voters.
        let fallback = plan.managers - 1;
        candidates.get(picked).copied().unwrap_or(fallback)
    }

    /// Suspends one node until all others consider it dead and each of its leases has another
    /// holder, then restarts it.
    pub fn fail_node(&mut self) -> Result<(), RunError> {
        let holders = self.fleet.observations.lease_holders();
        let stopped_node = self.pick_node_to_stop(&holders);
        let lost_leases: BTreeMap<u64, LeaseHolder> = holders
            .into_iter()
            .filter(|(_, holder)| holder.node == stopped_node)
            .collect();
        let name = self.fleet.plan.name(stopped_node);
        let others = self.fleet.all_except(&[stopped_node]);

        self.take_max_wake_delay_ms();
        self.fleet.watch(Condition::Dead(name.clone()));
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.suspend(stopped_node);
        let progress = self
            .fleet
            .wait_for_condition("one node is suspended", &others)?;
        let dead = self.event_duration("death", since_ms, progress);
        self.fleet.watch(Condition::None);

        let all_reacquired = self
            .fleet
            .wait_until("its leases are reacquired", |fleet| {
                reacquired_at(fleet, &lost_leases, since_ms).is_some()
            })?;
        let reacquired_at_ms = reacquired_at(&self.fleet, &lost_leases, since_ms);
        if !all_reacquired {
            let failure = "owners: some leases of the suspended node have no other holder";
            self.measurements.failed.push(failure.into());
        }
        self.take_max_wake_delay_ms();
        self.measurements.death = NodeFailure {
            manager: name,
            dead,
            leases: lost_leases.len(),
            owners_ms: reacquired_at_ms.map(|at_ms| at_ms.saturating_sub(since_ms)),
        };
        self.restart(stopped_node, "the suspended node restarts")?;
        Ok(())
    }

    /// Restarts a node, and waits until all others consider its new incarnation alive and it
    /// considers all others alive.
    fn restart(&mut self, node: usize, step: &str) -> Result<RestartDuration, RunError> {
        let readings = self.fleet.read()?;
        let incarnation = readings.get(node).map_or(0, |reading| reading.incarnation);
        let name = self.fleet.plan.name(node);
        let others = self.fleet.all_except(&[node]);
        let restarted = Condition::Restarted(name, incarnation + MIN_INCARNATION_GAP);
        self.fleet.watch(restarted);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.restart(node);
        let progress = self.fleet.wait_for_condition(step, &others)?;
        let others_observed = self.event_duration(step, since_ms, progress);

        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let progress = self
            .fleet
            .wait_for_condition("the restarted node completes its view", &[node])?;
        let restarted_observed =
            self.event_duration("view complete after restart", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(RestartDuration {
            all_ms: others_observed
                .all_ms
                .zip(restarted_observed.all_ms)
                .map(|(a, b)| a.max(b)),
            max_wake_delay_ms: others_observed
                .max_wake_delay_ms
                .max(restarted_observed.max_wake_delay_ms),
        })
    }

    /// Changes the settings of all nodes, and waits until each has observed the change of all
    /// others.
    pub fn change_settings(&mut self) -> Result<(), RunError> {
        self.settle()?;
        self.take_max_wake_delay_ms();
        let all = self.all_nodes();
        self.fleet.watch(Condition::Settings(NEW_SETTINGS));
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.change_settings(NEW_SETTINGS);
        let progress = self
            .fleet
            .wait_for_condition("all nodes change their settings", &all)?;
        self.measurements.settings = self.event_duration("settings", since_ms, progress);
        self.fleet.watch(Condition::None);
        Ok(())
    }

    /// Partitions a third of the nodes from the others and heals the partition, if the plan has
    /// one.
    pub fn partition_and_heal(&mut self) -> Result<(), RunError> {
        let duration = self.fleet.plan.partition_duration;
        if duration.is_zero() {
            return Ok(());
        }
        self.settle()?;
        self.fleet.set_partitioned(true);
        let during = self.measure_load("a third is partitioned", duration)?;
        let readings = self.fleet.read()?;
        let alive = || readings.iter().map(|reading| reading.alive);
        let alive_range = (alive().min().unwrap_or(0), alive().max().unwrap_or(0));

        let load_start = self.start_load()?;
        let all = self.all_nodes();
        let complete = Condition::OthersAlive(self.other_members());
        self.fleet.watch(complete);
        let since_ms = self.fleet.observations.now_ms();
        self.fleet.set_partitioned(false);
        let progress = self.fleet.wait_for_condition("the partition heals", &all)?;
        let healed = self.event_duration("heal", since_ms, progress);
        self.fleet.watch(Condition::None);
        self.settle()?;
        let after = self.load_since(&load_start)?;
        self.measurements.partition = Some(Partition {
            seconds: duration.as_secs_f64(),
            during,
            alive: alive_range,
            healed,
            after,
        });
        Ok(())
    }

    /// Restarts as many nodes as the plan has, one after the other.
    pub fn rolling_restart(&mut self) -> Result<(), RunError> {
        let count = self.fleet.plan.restarts;
        if count == 0 {
            return Ok(());
        }
        self.take_max_wake_delay_ms();
        let first = self.fleet.plan.seed as usize;
        let mut rolling = RollingRestart::default();
        for offset in 0..count {
            let node = (first + offset) % self.fleet.plan.managers;
            let restart = self.restart(node, "rolling restart")?;
            rolling.each_ms.push(restart.all_ms);
            rolling.max_wake_delay_ms = rolling.max_wake_delay_ms.max(restart.max_wake_delay_ms);
        }
        self.measurements.rolling = Some(rolling);
        Ok(())
    }

    /// Ends the run, computes its datagram balance, and returns the measurements.
    pub fn finish(mut self) -> Result<FleetMeasurements, RunError> {
        let readings = self.fleet.suspend_all_and_read()?;
        let dropped = self.fleet.dropped_datagrams();
        self.measurements.datagram_balance = DatagramBalance::of(&readings, dropped);
        self.take_max_wake_delay_ms();
        Ok(self.measurements)
    }
}

/// Returns the time at which another node acquired the last of these leases, in milliseconds since
/// the start of the run; `None` unless other nodes acquired all of them, and `since_ms` if there
/// are none.
fn reacquired_at(
    fleet: &HollowFleet,
    lost_leases: &BTreeMap<u64, LeaseHolder>,
    since_ms: u64,
) -> Option<u64> {
    let holders = fleet.observations.lease_holders();
    let acquired_at_ms = lost_leases.iter().map(|(engine, lost_lease)| {
        let holder = holders.get(engine)?;
        let is_other = holder.token > lost_lease.token && holder.node != lost_lease.node;
        is_other.then_some(holder.since_ms)
    });
    let all = acquired_at_ms.collect::<Option<Vec<u64>>>()?;
    Some(all.into_iter().max().unwrap_or(since_ms))
}
