//! Soak test: runs real daemons between stand-ins under a sustained load, with events drawn from a
//! seed: settings, faults of engines and of discovery, series of signals, planned restarts with the
//! kill at the earliest time, hot restarts, crashes, and many idle clients. A run is repeated with
//! its seed alone.
//!
//! A few seeds run by default as separate tests. The long soak is started by hand:
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

use checks::{CheckResult, Counts};
use manager::TestManager;
use plan::{RUN_MILLIS, SettingsKind, SoakPlan, StandInEvent};
use stand_ins::StandIns;
use std::sync::Arc;
use std::time::{Duration, Instant};
use yokelift::testkit::execution_log::ExecutionLimits;
use yokelift::testkit::stand_in_thread::StandInThread;

/// How long a drained engine keeps draining before it is ready again.
const DRAIN_MILLIS: u64 = 1_000;
/// The number of seeds of the long soak and its first seed, unless the environment sets them.
const DEFAULT_SEEDS: u64 = 50;
const DEFAULT_FIRST_SEED: u64 = 1_000;
/// The number of concurrent runs of the long soak.
const PARALLEL_RUNS: u64 = 3;

/// The result of a run.
struct Outcome {
    seed: u64,
    settings: SettingsKind,
    counts: Counts,
    findings: Vec<String>,
    logs: String,
}

impl Outcome {
    /// One line for the run, and one more for each finding.
    fn summary(&self) -> String {
        let mut text = format!("seed {} {:?} {:?}", self.seed, self.settings, self.counts);
        for finding in &self.findings {
            text += &format!("\n    {finding}");
        }
        text
    }
}

fn run_seed(seed: u64) -> Outcome {
    println!("soak seed {seed}");
    let plan = SoakPlan::draw(seed);
    let limits = ExecutionLimits::of_settings(&plan.settings.settings());
    let engines = plan.engines;
    let stand_ins =
        StandInThread::start(move |executor| StandIns::start(executor, engines, limits));
    let (coordinator, initial_list) =
        stand_ins.call(|it, _| (it.coordinator_addr(), it.initial_list()));
    let managers: Vec<Arc<TestManager>> = (plan.managers.iter().cloned().enumerate())
        .map(|(index, manager_plan)| {
            let list = initial_list.clone();
            let manager = TestManager::start(index, plan.settings, manager_plan, coordinator, list);
            Arc::new(manager)
        })
        .collect();
    run_events(&plan, &managers, &stand_ins);
    finish(&plan, &managers, &stand_ins)
}

/// Runs the drawn events under the load.
fn run_events(plan: &SoakPlan, managers: &[Arc<TestManager>], stand_ins: &StandInThread<StandIns>) {
    let started_at = Instant::now();
    let event_threads: Vec<_> = managers
        .iter()
        .enumerate()
        .map(|(index, manager)| {
            manager.start_load(plan.seed * 64 + index as u64 * 2);
            let manager = manager.clone();
            std::thread::spawn(move || manager.run_events())
        })
        .collect();
    for (at, event) in with_resumes(&plan.stand_in_events) {
        sleep_until(started_at + Duration::from_millis(at));
        apply_step(event, managers, stand_ins);
    }
    sleep_until(started_at + Duration::from_millis(RUN_MILLIS));
    for thread in event_threads {
        thread.join().expect("no event thread panics");
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The start of an event of the stand-ins, or the end of a drain.
enum StandInStep {
    Begin(StandInEvent),
    Resume(usize),
}

/// The events and the ends of the drains, in order of time.
fn with_resumes(events: &[(u64, StandInEvent)]) -> Vec<(u64, StandInStep)> {
    let mut steps = Vec::new();
    for (at, event) in events {
        if let StandInEvent::Drain(engine) = event {
            steps.push((at + DRAIN_MILLIS, StandInStep::Resume(*engine)));
        }
        steps.push((*at, StandInStep::Begin(event.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn apply_step(
    step: StandInStep,
    managers: &[Arc<TestManager>],
    stand_ins: &StandInThread<StandIns>,
) {
    let event = match step {
        StandInStep::Resume(engine) => return stand_ins.call(move |it, _| it.resume(engine)),
        StandInStep::Begin(event) => event,
    };
    match event {
        StandInEvent::Faults(faults) => stand_ins.call(move |it, _| it.push_faults(&faults)),
        StandInEvent::Drain(engine) => stand_ins.call(move |it, _| it.drain(engine)),
        StandInEvent::Replace(engine) => {
            stand_ins.call(move |it, executor| it.replace(executor, engine));
        }
        StandInEvent::StalledWatches => stand_ins.call(|it, _| it.stall_watches()),
        StandInEvent::ClosedWatches => stand_ins.call(|it, _| it.close_watches()),
        StandInEvent::MovedCoordinator => {
            let coordinator = stand_ins.call(|it, executor| it.move_coordinator(executor));
            for manager in managers {
                manager.move_coordinator(coordinator);
            }
        }
    }
}

/// Ends the load and the managers, and checks the records of the run.
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
        let loads_are_one_shot = !plan.settings.has_keyed_loads();
        let CheckResult { counts, findings } =
            checks::check(index, report, loads_are_one_shot, runs);
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

/// Runs a seed and panics if there are findings.
fn assert_no_findings(seed: u64) {
    let outcome = run_seed(seed);
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
    assert_no_findings(1);
}

#[test]
fn soak_seed_2() {
    assert_no_findings(2);
}

#[test]
fn soak_seed_3() {
    assert_no_findings(3);
}

#[test]
fn soak_seed_4() {
    assert_no_findings(4);
}

/// Guards against connections that stay unaccepted in the listen backlog: many idle clients
/// connect, and further connections are made 0.9 s after SIGTERM.
#[test]
fn soak_seed_2016() {
    assert_no_findings(2016);
}

/// Guards against connections that stay unaccepted in the listen backlog, with other signals.
#[test]
fn soak_seed_5038() {
    assert_no_findings(5038);
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs a seed and prints its result, with the daemons' logs if there are findings.
fn run_and_print(seed: u64) -> Outcome {
    let outcome = run_seed(seed);
    println!("{}", outcome.summary());
    if !outcome.findings.is_empty() {
        println!("{}", outcome.logs);
    }
    outcome
}

/// The long soak: prints a line for each seed, and a line for each finding.
#[test]
#[ignore = "takes minutes: started by hand"]
fn long_soak() {
    let first = number_from_environment("SOAK_FIRST").unwrap_or(DEFAULT_FIRST_SEED);
    let count = number_from_environment("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let runners: Vec<_> = (0..PARALLEL_RUNS)
        .map(|offset| {
            let seeds = (first + offset..first + count).step_by(PARALLEL_RUNS as usize);
            std::thread::spawn(move || seeds.map(run_and_print).collect::<Vec<Outcome>>())
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
