//! A soak: real daemons between stand-ins, under a load that goes on, and everything that a seed draws:
//! settings, faults of engines and of discovery, signals in series, planned restarts with the kill at
//! the earliest moment, new versions, crashes, crowds. A run is played again by its seed alone.
//!
//! A few seeds are tests of their own. The long soak is started by hand:
//!
//! ```sh
//! SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --release --test soak -- --ignored --nocapture
//! ```
#[path = "soak/checks.rs"]
mod checks;
#[path = "soak/manager.rs"]
mod manager;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/settings.rs"]
mod settings;
#[path = "soak/stand_ins.rs"]
mod stand_ins;

use checks::{Checked, Counts};
use manager::TestManager;
use plan::{RUN_MILLIS, SettingsKind, SoakPlan, WorldEvent};
use stand_ins::StandIns;
use std::sync::Arc;
use std::time::{Duration, Instant};
use yokelift::testkit::execution_log::ExecutionLimits;
use yokelift::testkit::stand_in_thread::StandInThread;

/// How long a drained engine stays so.
const DRAIN_MILLIS: u64 = 1_000;
/// The seeds of the long soak, unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 50;
const DEFAULT_FIRST_SEED: u64 = 1_000;
/// Runs of the long soak at the same time.
const PARALLEL_RUNS: u64 = 3;

/// What came of a run.
struct Outcome {
    seed: u64,
    settings: SettingsKind,
    counts: Counts,
    findings: Vec<String>,
    logs: String,
}

impl Outcome {
    /// One line, and one more for each finding.
    fn summary(&self) -> String {
        let mut text = format!("seed {} {:?} {:?}", self.seed, self.settings, self.counts);
        for finding in &self.findings {
            text += &format!("\n    {finding}");
        }
        text
    }
}

fn play(seed: u64) -> Outcome {
    println!("soak seed {seed}");
    let plan = SoakPlan::draw(seed);
    let limits = ExecutionLimits::of_settings(&plan.settings.settings());
    let engines = plan.engines;
    let stand_ins =
        StandInThread::start(move |executor| StandIns::start(executor, engines, limits));
    let (coordinator, initial_list) =
        stand_ins.call(|it, _| (it.coordinator_addr(), it.initial_list()));
    let managers: Vec<Arc<TestManager>> = (plan.managers.iter().cloned().enumerate())
        .map(|(index, plan_of_one)| {
            let list = initial_list.clone();
            let manager = TestManager::start(index, plan.settings, plan_of_one, coordinator, list);
            Arc::new(manager)
        })
        .collect();
    play_events(&plan, &managers, &stand_ins);
    finish(&plan, &managers, &stand_ins)
}

/// Plays what was drawn, with the load beside it.
fn play_events(
    plan: &SoakPlan,
    managers: &[Arc<TestManager>],
    stand_ins: &StandInThread<StandIns>,
) {
    let started_at = Instant::now();
    let scripts: Vec<_> = managers
        .iter()
        .enumerate()
        .map(|(index, manager)| {
            manager.start_load(plan.seed * 64 + index as u64 * 2);
            let manager = manager.clone();
            std::thread::spawn(move || manager.play())
        })
        .collect();
    for (at, event) in with_resumes(&plan.world) {
        sleep_until(started_at + Duration::from_millis(at));
        play_world_event(event, managers, stand_ins);
    }
    sleep_until(started_at + Duration::from_millis(RUN_MILLIS));
    for script in scripts {
        script.join().expect("no event panics");
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// An event of the stand-ins, or the end of one.
enum WorldStep {
    Begin(WorldEvent),
    Resume(usize),
}

/// The events with the ends of the drains among them, in order.
fn with_resumes(world: &[(u64, WorldEvent)]) -> Vec<(u64, WorldStep)> {
    let mut steps = Vec::new();
    for (at, event) in world {
        if let WorldEvent::Drain(engine) = event {
            steps.push((at + DRAIN_MILLIS, WorldStep::Resume(*engine)));
        }
        steps.push((*at, WorldStep::Begin(event.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn play_world_event(
    step: WorldStep,
    managers: &[Arc<TestManager>],
    stand_ins: &StandInThread<StandIns>,
) {
    let event = match step {
        WorldStep::Resume(engine) => return stand_ins.call(move |it, _| it.resume(engine)),
        WorldStep::Begin(event) => event,
    };
    match event {
        WorldEvent::Faults(faults) => stand_ins.call(move |it, _| it.push_faults(&faults)),
        WorldEvent::Drain(engine) => stand_ins.call(move |it, _| it.drain(engine)),
        WorldEvent::Replace(engine) => {
            stand_ins.call(move |it, executor| it.replace(executor, engine));
        }
        WorldEvent::SilentCoordinator => stand_ins.call(|it, _| it.silence_coordinator()),
        WorldEvent::BrokenWatches => stand_ins.call(|it, _| it.break_watches()),
        WorldEvent::MovedCoordinator => {
            let coordinator = stand_ins.call(|it, executor| it.move_coordinator(executor));
            for manager in managers {
                manager.move_coordinator(coordinator);
            }
        }
    }
}

/// Ends the load and the managers, and checks the records.
fn finish(
    plan: &SoakPlan,
    managers: &[Arc<TestManager>],
    stand_ins: &StandInThread<StandIns>,
) -> Outcome {
    let mut outcome = Outcome {
        seed: plan.seed,
        settings: plan.settings,
        counts: Counts::new(),
        findings: Vec::new(),
        logs: String::new(),
    };
    let reports: Vec<_> = managers.iter().map(|it| it.finish_load()).collect();
    for (index, (manager, report)) in managers.iter().zip(&reports).enumerate() {
        let runs = |key: &str| {
            let key = key.to_owned();
            stand_ins.call(move |it, _| it.runs(&key))
        };
        let one_shot = !plan.settings.has_keyed_loads();
        let Checked { counts, findings } = checks::check(index, report, one_shot, runs);
        for (name, count) in counts {
            *outcome.counts.entry(name).or_default() += count;
        }
        outcome.findings.extend(findings);
        outcome.findings.extend(manager.finish());
        outcome.logs += &format!("m{index}:\n{}", manager.log());
    }
    outcome
        .findings
        .extend(stand_ins.call(|it, _| it.violations()));
    outcome
}

/// Plays a seed, and fails with what it found.
fn assert_sound(seed: u64) {
    let outcome = play(seed);
    let plan = SoakPlan::draw(seed);
    assert!(
        outcome.findings.is_empty(),
        "{}\n{plan:#?}\n{}",
        outcome.summary(),
        outcome.logs
    );
}

#[test]
fn soak_seed_1() {
    assert_sound(1);
}

#[test]
fn soak_seed_2() {
    assert_sound(2);
}

#[test]
fn soak_seed_3() {
    assert_sound(3);
}

#[test]
fn soak_seed_4() {
    assert_sound(4);
}

/// Guards against a backlog that nobody empties: a crowd, and connections made 0.9 s after SIGTERM.
#[test]
fn soak_seed_2016() {
    assert_sound(2016);
}

/// Guards against a backlog that nobody empties, with other signals.
#[test]
fn soak_seed_5038() {
    assert_sound(5038);
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays a seed and prints what came of it, with the daemons' log where something was found.
fn play_and_print(seed: u64) -> Outcome {
    let outcome = play(seed);
    println!("{}", outcome.summary());
    if !outcome.findings.is_empty() {
        println!("{}", outcome.logs);
    }
    outcome
}

/// The long soak: a line a seed, and a line for each thing that was found.
#[test]
#[ignore = "takes minutes: started by hand"]
fn long_soak() {
    let first = number_from_environment("SOAK_FIRST").unwrap_or(DEFAULT_FIRST_SEED);
    let count = number_from_environment("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let runners: Vec<_> = (0..PARALLEL_RUNS)
        .map(|offset| {
            let seeds = (first + offset..first + count).step_by(PARALLEL_RUNS as usize);
            std::thread::spawn(move || seeds.map(play_and_print).collect::<Vec<Outcome>>())
        })
        .collect();
    let mut outcomes: Vec<Outcome> = runners
        .into_iter()
        .flat_map(|runner| runner.join().expect("no run panics"))
        .collect();
    outcomes.sort_by_key(|outcome| outcome.seed);
    let failed: Vec<u64> = outcomes
        .iter()
        .filter(|outcome| !outcome.findings.is_empty())
        .map(|outcome| outcome.seed)
        .collect();
    println!("{count} seeds from {first}, with findings: {failed:?}");
    assert!(failed.is_empty(), "seeds with findings: {failed:?}");
}
