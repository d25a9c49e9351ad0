//! Rehearses short scenarios against the daemon, checks deploy files, gathers the audit of a fleet,
//! and measures emulated ones.
#![forbid(unsafe_code)]

mod scale;
mod scale_fleet;

use async_io::block_on;
use clap::{Parser, Subcommand};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::LazyLock;
use yokelift::audit::RecordPosition;
use yokelift::audit::report::report;
use yokelift::config::clickhouse;
use yokelift::config::fleet::FleetConfig;
use yokelift::membership::Timing;
use yokelift::net;
use yokelift::testkit::membership_simulation::{FleetFigures, SimulationError};
use yokelift::testkit::{audit, membership_simulation, plot, probe_simulation, scenario};

/// The build, as the fleet is told it.
static BUILD: LazyLock<String> = LazyLock::new(net::fleet::versions::build_id);

/// The test kit of yokelift: scenarios against the daemon, audits of a fleet, simulations and scale runs.
#[derive(Parser)]
#[command(name = "yokelift-testkit", version = BUILD.as_str())]
struct Args {
    #[command(subcommand)]
    subcommand: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Says whether a deploy file can be used.
    Check {
        /// The deploy file.
        file: PathBuf,
    },
    /// Plays a scripted scenario against the daemon beside this program.
    #[command(alias = "rehearse")]
    RunScenario {
        /// The scenario.
        scenario: PathBuf,
    },
    /// Gathers the audit of several managers: who acted on what, where they disagree, how changes
    /// spread.
    ///
    /// Exits with 1 if something could not be had of one of them.
    #[command(after_help = "Example:\n  yokelift-testkit audit 127.8.0.1:10250 127.8.0.2:10250")]
    Audit {
        /// The managers' second addresses.
        #[arg(required = true)]
        managers: Vec<SocketAddr>,
        /// Only records after this one: LIFE.NUMBER.
        #[arg(long, default_value = "0")]
        since: RecordPosition,
        /// The report as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Counts the probes of engines over emulated fleets, without owners and with one owner an
    /// engine.
    #[command(
        alias = "soundings",
        after_help = "Example:\n  yokelift-testkit simulate-probes --managers 100,300 --engines 80"
    )]
    SimulateProbes {
        /// The sizes of the fleets.
        #[arg(long, value_delimiter = ',', default_values_t = [100usize, 300])]
        managers: Vec<usize>,
        /// Engines.
        #[arg(long, default_value_t = 80)]
        engines: u64,
        /// How often a second each manager wants to hear of some engine.
        #[arg(long, default_value_t = 20.0)]
        wants: f64,
        /// The same seed gives the same figures.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The figures as one JSON list.
        #[arg(long)]
        json: bool,
    },
    /// Measures fleets of managers emulated in this process: detection, spread and traffic by their
    /// size.
    #[command(
        alias = "emulate",
        after_help = "Example:\n  yokelift-testkit simulate-membership --members 10,100,300 \
            --svg docs/fleet-scale.svg"
    )]
    SimulateMembership {
        /// The sizes of the fleets.
        #[arg(long, value_delimiter = ',', default_values_t = [10usize, 100, 300])]
        members: Vec<usize>,
        /// Managers that stop, one after the other.
        #[arg(long, default_value_t = 5)]
        stops: usize,
        /// The same seed gives the same figures.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The timings: those of this fleet file.
        #[arg(long)]
        fleet: Option<PathBuf>,
        /// Also draws the figures into this file.
        #[arg(long)]
        svg: Option<PathBuf>,
        /// The figures as one JSON list.
        #[arg(long)]
        json: bool,
    },
    /// Measures fleets of hollow managers: the daemon's own actors of the fleet on real sockets on
    /// loopback.
    #[command(
        after_help = "Example:\n  yokelift-testkit scale-fleet --sizes 58x114,460x910 --limit 600 --json"
    )]
    ScaleFleet(scale_fleet::ScaleFleet),
    /// Measures what one real daemon needs by the number of engines, idle clients and statements
    /// around it.
    ///
    /// Starts the daemon between stand-ins, one size after the other. Ends all that it started,
    /// also on an error.
    #[command(after_help = "Example:\n  yokelift-testkit scale --point 910:2600:0 --json")]
    Scale(scale::Words),
}

/// A reader that goes away, as `head` does, ends the output and is no fault.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn run(subcommand: Subcommands) -> Result<(), Vec<String>> {
    let one = |e: String| vec![e];
    match subcommand {
        Subcommands::Check { file } => {
            let deploy = clickhouse::read(&file).map_err(one)?;
            let (engines, users) = (deploy.engines.len(), deploy.users.len());
            let file = file.display();
            print(&format!(
                "{file}: listens on {}, {engines} engines, {users} users\n",
                deploy.listen
            ));
            Ok(())
        }
        Subcommands::RunScenario { scenario: file } => {
            let text = std::fs::read_to_string(&file)
                .map_err(|e| one(format!("{}: {e}", file.display())))?;
            let me = std::env::current_exe().map_err(|e| one(e.to_string()))?;
            // The daemon is shipped beside the kit.
            let daemon: PathBuf = me.with_file_name("yokelift");
            scenario::play(&daemon, &text, &mut |line| print(&format!("{line}\n")))
        }
        Subcommands::Audit {
            managers,
            since,
            json,
        } => {
            let report = report(&block_on(audit::gather(&managers, since)));
            if json {
                print(&(serde_json::to_string(&report).map_err(|e| one(e.to_string()))? + "\n"));
            } else {
                print(&report.text());
            }
            if report.missing.is_empty() {
                Ok(())
            } else {
                Err(report.missing)
            }
        }
        Subcommands::SimulateProbes {
            managers,
            engines,
            wants,
            seed,
            json,
        } => {
            if managers.iter().any(|n| !(6..=1_000).contains(n))
                || engines == 0
                || !(0.01..=1e4).contains(&wants)
            {
                return Err(one(
                    "--managers from 6 to 1000, --engines above 0, --wants from 0.01 to 10000"
                        .into(),
                ));
            }
            let figures = probe_simulation::compare(&managers, engines, wants, seed);
            if json {
                print(&(serde_json::to_string(&figures).map_err(|e| one(e.to_string()))? + "\n"));
            } else {
                print(&format!("{}\n", probe_simulation::table(&figures)));
            }
            Ok(())
        }
        Subcommands::Scale(words) => {
            print(&scale::run(words).map_err(one)?);
            Ok(())
        }
        Subcommands::SimulateMembership {
            members,
            stops,
            seed,
            fleet,
            svg,
            json,
        } => {
            if members.iter().any(|n| !(3..=1_000).contains(n)) {
                return Err(one("--members: from 3 to 1000".into()));
            }
            let timing = fleet.map_or(Ok(Timing::default()), |path| {
                let text = std::fs::read_to_string(&path)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
                Ok(FleetConfig::parse(&text)
                    .map_err(|error| error.to_string())?
                    .timing)
            });
            let timing = timing.map_err(one)?;
            let figures = members
                .iter()
                .map(|n| membership_simulation::measure(*n, &timing, stops, seed));
            let figures = figures
                .collect::<Result<Vec<FleetFigures>, SimulationError>>()
                .map_err(|error| one(error.to_string()))?;
            if let Some(path) = svg {
                let text = plot::fleet(&figures).map_err(|error| one(error.to_string()))?;
                std::fs::write(&path, text).map_err(|e| one(format!("{}: {e}", path.display())))?;
            }
            if json {
                print(&(serde_json::to_string(&figures).map_err(|e| one(e.to_string()))? + "\n"));
            } else {
                print(&format!("{}\n", membership_simulation::table(&figures)));
            }
            Ok(())
        }
        Subcommands::ScaleFleet(scale) => {
            let (text, wrong) = scale.run().map_err(one)?;
            print(&text);
            if wrong.is_empty() { Ok(()) } else { Err(wrong) }
        }
    }
}

fn main() -> ExitCode {
    match run(Args::parse().subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            wrong
                .iter()
                .for_each(|line| eprintln!("yokelift-testkit: {line}"));
            ExitCode::FAILURE
        }
    }
}
