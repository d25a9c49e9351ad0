//! Rehearses short scenarios against the daemon, checks deploy files, and gathers the audit of a fleet.
#![forbid(unsafe_code)]

use async_io::block_on;
use clap::{Parser, Subcommand};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::LazyLock;
use yokelift::audit::Place;
use yokelift::audit::report::report;
use yokelift::kit::{audit, script};
use yokelift::{deploy, net};

/// The build, as the fleet is told it.
static BUILD: LazyLock<String> = LazyLock::new(net::membership::build);

/// The test and rehearsal kit of yokelift.
#[derive(Parser)]
#[command(name = "yokelift-kit", version = BUILD.as_str())]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Says whether a deploy file can be used.
    Check {
        /// The deploy file.
        file: PathBuf,
    },
    /// Plays a scripted scenario against the daemon beside this program.
    Rehearse {
        /// The script.
        script: PathBuf,
    },
    /// Gathers the audit of several managers: who acted on what, where they disagree, how changes spread.
    ///
    /// Exits with 1 if something could not be had of one of them.
    #[command(after_help = "Example:\n  yokelift-kit audit 127.8.0.1:10250 127.8.0.2:10250")]
    Audit {
        /// The managers' second addresses.
        #[arg(required = true)]
        managers: Vec<SocketAddr>,
        /// Only records after this one: LIFE.NUMBER.
        #[arg(long, default_value = "0")]
        since: Place,
        /// The report as one JSON object.
        #[arg(long)]
        json: bool,
    },
}

/// A reader that goes away, as `head` does, ends the output and is no fault.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn run(what: What) -> Result<(), Vec<String>> {
    let one = |e: String| vec![e];
    match what {
        What::Check { file } => {
            let deploy = deploy::read(&file).map_err(one)?;
            let (engines, users) = (deploy.engines.len(), deploy.users.len());
            let file = file.display();
            print(&format!("{file}: listens on {}, {engines} engines, {users} users\n", deploy.listen));
            Ok(())
        }
        What::Rehearse { script } => {
            let text =
                std::fs::read_to_string(&script).map_err(|e| one(format!("{}: {e}", script.display())))?;
            let me = std::env::current_exe().map_err(|e| one(e.to_string()))?;
            // The daemon is shipped beside the kit.
            let daemon: PathBuf = me.with_file_name("yokelift");
            script::play(&daemon, &text, &mut |line| print(&format!("{line}\n")))
        }
        What::Audit { managers, since, json } => {
            let report = report(&block_on(audit::gather(&managers, since)));
            if json {
                print(&(serde_json::to_string(&report).map_err(|e| one(e.to_string()))? + "\n"));
            } else {
                print(&report.text());
            }
            if report.missing.is_empty() { Ok(()) } else { Err(report.missing) }
        }
    }
}

fn main() -> ExitCode {
    match run(Args::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            wrong.iter().for_each(|line| eprintln!("yokelift-kit: {line}"));
            ExitCode::FAILURE
        }
    }
}
