//! The test kit: runs scenarios against the daemon, checks deploy files, collects the audit
//! records of a fleet, and measures simulated fleets and the daemon's resource use at scale.
#![forbid(unsafe_code)]

mod scale;
mod scale_fleet;

use async_io::block_on;
use clap::{Parser, Subcommand};
use serde::Serialize;
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::LazyLock;
use yokelift::audit::RecordPosition;
use yokelift::audit::report::report;
use yokelift::config::clickhouse;
use yokelift::config::fleet::FleetConfig;
use yokelift::membership::Timing;
use yokelift::net;
use yokelift::testkit::membership_simulation::MembershipMeasurements;
use yokelift::testkit::{audit, membership_simulation, plot, probe_simulation, scenario};

/// The build id, the same as in the member updates of the fleet.
static BUILD: LazyLock<String> = LazyLock::new(net::fleet::versions::build_id);

/// The test kit of yokelift: scenarios against the daemon, audits of a fleet, simulations and scale
/// runs.
#[derive(Parser)]
#[command(name = "yokelift-testkit", version = BUILD.as_str())]
struct Args {
    #[command(subcommand)]
    subcommand: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Checks whether a deploy file is valid.
    Check {
        /// The deploy file.
        file: PathBuf,
    },
    /// Runs a scripted scenario against the daemon that is installed beside this program.
    #[command(alias = "rehearse")]
    RunScenario {
        /// The scenario.
        scenario: PathBuf,
    },
    /// Collects the audit records of several managers: who acted on what, where they disagree, how
    /// changes spread.
    ///
    /// Exits with 1 if some records of a manager are missing.
    #[command(after_help = "Example:\n  yokelift-testkit audit 127.8.0.1:10250 127.8.0.2:10250")]
    Audit {
        /// The addresses of the managers' admin endpoints.
        #[arg(required = true)]
        managers: Vec<SocketAddr>,
        /// Only records after this one: LIFE.NUMBER.
        #[arg(long, default_value = "0")]
        since: RecordPosition,
        /// Print the report as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Counts the load probes of engines in simulated fleets, without lease holders and with one
    /// lease holder per engine.
    #[command(
        alias = "soundings",
        after_help = "Example:\n  yokelift-testkit simulate-probes --managers 100,300 --engines 80"
    )]
    SimulateProbes(SimulateProbesArgs),
    /// Measures fleets of managers simulated in this process: failure detection, spread of updates
    /// and traffic by fleet size.
    #[command(
        alias = "emulate",
        after_help = "Example:\n  yokelift-testkit simulate-membership --members 10,100,300 \
            --svg docs/fleet-scale.svg"
    )]
    SimulateMembership(SimulateMembershipArgs),
    /// Measures fleets of hollow nodes: the daemon's own fleet actors on real loopback sockets.
    #[command(
        after_help = "Example:\n  yokelift-testkit scale-fleet --sizes 58x114,460x910 --limit 600 --json"
    )]
    ScaleFleet(scale_fleet::ScaleFleetArgs),
    /// Measures the resource use of one real daemon by the number of engines, idle clients and
    /// statements.
    ///
    /// Starts the daemon between stand-ins for each point in turn. Ends every process that it
    /// started, also after an error.
    #[command(after_help = "Example:\n  yokelift-testkit scale --point 910:2600:0 --json")]
    Scale(scale::ScaleArgs),
}

/// The arguments of `simulate-probes`.
#[derive(clap::Args)]
struct SimulateProbesArgs {
    /// The numbers of managers to simulate.
    #[arg(long, value_delimiter = ',', default_values_t = [100usize, 300])]
    managers: Vec<usize>,
    /// The number of engines.
    #[arg(long, default_value_t = 80)]
    engines: u64,
    /// How often per second each manager requests the load of an engine.
    #[arg(long, default_value_t = 20.0)]
    wants: f64,
    /// The random seed; the same seed gives the same results.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the results as one JSON list.
    #[arg(long)]
    json: bool,
}

/// The arguments of `simulate-membership`.
#[derive(clap::Args)]
struct SimulateMembershipArgs {
    /// The numbers of members to simulate.
    #[arg(long, value_delimiter = ',', default_values_t = [10usize, 100, 300])]
    members: Vec<usize>,
    /// The number of managers that stop, one after the other.
    #[arg(long, default_value_t = 5)]
    stops: usize,
    /// The random seed; the same seed gives the same results.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Use the timing of this fleet file.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Also plot the results into this SVG file.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Print the results as one JSON list.
    #[arg(long)]
    json: bool,
}

/// Writes to standard output. Errors are ignored, because a reader such as `head` may close it
/// early.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// The error lines of a failed subcommand.
type Failures = Vec<String>;

/// Converts an error to a single error line.
fn failure(error: impl ToString) -> Failures {
    vec![error.to_string()]
}

/// Converts an error to a single error line that starts with the path of the file.
fn file_failure(path: &Path, error: impl Display) -> Failures {
    failure(format!("{}: {error}", path.display()))
}

fn print_json(value: &impl Serialize) -> Result<(), Failures> {
    let text = serde_json::to_string(value).map_err(failure)?;
    print(&(text + "\n"));
    Ok(())
}

fn run(subcommand: Subcommands) -> Result<(), Failures> {
    match subcommand {
        Subcommands::Check { file } => check(&file),
        Subcommands::RunScenario { scenario } => run_scenario(&scenario),
        Subcommands::Audit {
            managers,
            since,
            json,
        } => collect_audit(&managers, since, json),
        Subcommands::SimulateProbes(args) => simulate_probes(&args),
        Subcommands::SimulateMembership(args) => simulate_membership(args),
        Subcommands::Scale(args) => {
            print(&scale::run(args).map_err(failure)?);
            Ok(())
        }
        Subcommands::ScaleFleet(args) => {
            let output = args.run().map_err(failure)?;
            print(&output.text);
            fail_if_any(output.failures)
        }
    }
}

fn fail_if_any(failures: Failures) -> Result<(), Failures> {
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures)
    }
}

fn check(path: &Path) -> Result<(), Failures> {
    let config = clickhouse::read(path).map_err(failure)?;
    let (engines, users) = (config.engines.len(), config.users.len());
    let (path, listen) = (path.display(), config.listen);
    print(&format!(
        "{path}: listens on {listen}, {engines} engines, {users} users\n"
    ));
    Ok(())
}

fn run_scenario(path: &Path) -> Result<(), Failures> {
    let text = std::fs::read_to_string(path).map_err(|error| file_failure(path, error))?;
    // The daemon is installed beside the test kit.
    let testkit = std::env::current_exe().map_err(failure)?;
    let daemon = testkit.with_file_name("yokelift");
    scenario::run(&daemon, &text, &mut |line| print(&format!("{line}\n")))
}

fn collect_audit(
    managers: &[SocketAddr],
    since: RecordPosition,
    json: bool,
) -> Result<(), Failures> {
    let report = report(&block_on(audit::gather(managers, since)));
    if json {
        print_json(&report)?;
    } else {
        print(&report.text());
    }
    fail_if_any(report.missing)
}

fn simulate_probes(args: &SimulateProbesArgs) -> Result<(), Failures> {
    let in_range = args.managers.iter().all(|n| (6..=1_000).contains(n))
        && args.engines > 0
        && (0.01..=1e4).contains(&args.wants);
    if !in_range {
        return Err(failure(
            "--managers must be from 6 to 1000, --engines above 0, --wants from 0.01 to 10000",
        ));
    }
    let results = probe_simulation::compare(&args.managers, args.engines, args.wants, args.seed);
    if args.json {
        print_json(&results)
    } else {
        print(&format!("{}\n", probe_simulation::table(&results)));
        Ok(())
    }
}

fn simulate_membership(args: SimulateMembershipArgs) -> Result<(), Failures> {
    if !args.members.iter().all(|n| (3..=1_000).contains(n)) {
        return Err(failure("--members must be from 3 to 1000"));
    }
    let timing = match &args.fleet {
        Some(path) => read_timing(path)?,
        None => Timing::default(),
    };
    let results = args
        .members
        .iter()
        .map(|n| membership_simulation::measure(*n, &timing, args.stops, args.seed))
        .collect::<Result<Vec<MembershipMeasurements>, _>>()
        .map_err(failure)?;
    if let Some(path) = &args.svg {
        let text = plot::fleet(&results).map_err(failure)?;
        std::fs::write(path, text).map_err(|error| file_failure(path, error))?;
    }
    if args.json {
        print_json(&results)
    } else {
        print(&format!("{}\n", membership_simulation::table(&results)));
        Ok(())
    }
}

fn read_timing(path: &Path) -> Result<Timing, Failures> {
    let text = std::fs::read_to_string(path).map_err(|error| file_failure(path, error))?;
    Ok(FleetConfig::parse(&text).map_err(failure)?.timing)
}

fn main() -> ExitCode {
    match run(Args::parse().subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failures) => {
            for line in failures {
                eprintln!("yokelift-testkit: {line}");
            }
            ExitCode::FAILURE
        }
    }
}
