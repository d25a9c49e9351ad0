//! The subcommand `scale-fleet`: runs fleets of hollow nodes and prints the measurements.
use async_io::block_on;
use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::StreamExt;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;
use yokelift::config::fleet::FleetConfig;
use yokelift::testkit::scale::measurements::{self, FleetMeasurements};
use yokelift::testkit::scale::{events, fleet::Plan};

/// The size of a fleet: its managers (hollow nodes) and engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    managers: usize,
    engines: u64,
}

/// The text is not a fleet size.
#[derive(Debug, Error)]
#[error("expected MANAGERSxENGINES, such as 58x114")]
pub(crate) struct InvalidFleetSize;

impl FromStr for FleetSize {
    type Err = InvalidFleetSize;

    fn from_str(text: &str) -> Result<FleetSize, InvalidFleetSize> {
        let (managers, engines) = text.split_once('x').ok_or(InvalidFleetSize)?;
        Ok(FleetSize {
            managers: managers.parse().map_err(|_| InvalidFleetSize)?,
            engines: engines.parse().map_err(|_| InvalidFleetSize)?,
        })
    }
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.managers, self.engines)
    }
}

/// The arguments of `scale-fleet`.
#[derive(Args)]
pub(crate) struct ScaleFleetArgs {
    /// The fleet sizes, as MANAGERSxENGINES; 58x114, 115x228, 230x455 and 460x910 are an eighth, a
    /// quarter, a half and the whole of the planned fleet.
    #[arg(long, value_delimiter = ',', default_value = "58x114")]
    sizes: Vec<FleetSize>,
    /// The number of managers that vote on leases; 0: no leases.
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// How often per second each manager requests the load of an engine.
    #[arg(long, default_value_t = 1.0)]
    wants: f64,
    /// The random seed; the same seed makes the same choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of threads [default: at most one per core].
    #[arg(long)]
    threads: Option<usize>,
    /// Use the membership timing and the lease timing of this fleet file.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Also publish the held leases, as daemons with an admin endpoint do.
    #[arg(long)]
    console: bool,
    /// Fleet addresses of real daemons that each node contacts at its start.
    #[arg(long, value_delimiter = ',')]
    greet: Vec<SocketAddr>,
    /// Seconds to wait after the start and after each disturbance before the next measurement.
    #[arg(long, default_value_t = 10)]
    settle: u64,
    /// Seconds for which quiet traffic is measured.
    #[arg(long, default_value_t = 20)]
    quiet: u64,
    /// Seconds for which a third of the managers is partitioned from the others; 0: no partition.
    #[arg(long, default_value_t = 0)]
    cut: u64,
    /// The number of managers that are restarted one after the other.
    #[arg(long, default_value_t = 0)]
    rolling: usize,
    /// Seconds after which the command fails, over all sizes.
    #[arg(long, default_value_t = 300)]
    limit: u64,
    /// Print the measurements as one JSON list.
    #[arg(long)]
    json: bool,
}

/// The text to print, and the failures of all sizes.
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) failures: Vec<String>,
}

/// Returns a flag that is set when the process receives SIGTERM or SIGINT.
fn stop_flag() -> Result<Arc<AtomicBool>, String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| format!("waiting for signals failed: {error}"))?;
    let stop_requested = Arc::new(AtomicBool::new(false));
    let flag = stop_requested.clone();
    let wait = move || {
        while block_on(signals.next()).is_some() {
            flag.store(true, Ordering::Relaxed);
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait)
        .map_err(|error| error.to_string())?;
    Ok(stop_requested)
}

impl ScaleFleetArgs {
    fn plan(&self, size: FleetSize, limit: Duration) -> Result<Plan, String> {
        let mut plan = Plan::new(size.managers, size.engines);
        if let Some(path) = &self.fleet {
            let file = read_fleet(path)?;
            plan.timing = file.timing;
            plan.lease_timing = file
                .leases
                .map_or(plan.lease_timing, |leases| leases.timing);
        }
        Ok(Plan {
            voters: self.voters,
            load_requests_per_s: self.wants,
            seed: self.seed,
            threads: self.threads.unwrap_or(plan.threads),
            admin_enabled: self.console,
            extra_seeds: self.greet.clone(),
            settle: Duration::from_secs(self.settle),
            quiet: Duration::from_secs(self.quiet),
            partition_duration: Duration::from_secs(self.cut),
            restarts: self.rolling,
            limit,
            progress: true,
            ..plan
        })
    }

    /// Returns an error if any of the sizes can't be run, before the first one starts.
    fn check_sizes(&self, limit: Duration) -> Result<(), String> {
        for size in &self.sizes {
            self.plan(*size, limit)
                .and_then(|plan| plan.check().map_err(|error| error.to_string()))
                .map_err(|error| format!("{size}: {error}"))?;
        }
        Ok(())
    }

    /// Runs the sizes in order, and stops at the first whose run returns an error.
    pub(crate) fn run(&self) -> Result<Output, String> {
        let limit = Duration::from_secs(self.limit);
        self.check_sizes(limit)?;
        let stop_requested = stop_flag()?;
        let started = Instant::now();
        let mut runs: Vec<FleetMeasurements> = Vec::new();
        let mut failures = Vec::new();
        for size in &self.sizes {
            let remaining = limit.saturating_sub(started.elapsed());
            let plan = self.plan(*size, remaining)?;
            match events::run(plan, stop_requested.clone()) {
                Ok(measurements) => {
                    let failed = measurements.failed.iter();
                    failures.extend(failed.map(|failure| format!("{size}: {failure}")));
                    runs.push(measurements);
                }
                // The measurements of the earlier sizes are still printed.
                Err(error) => {
                    failures.push(format!("{size}: {error}"));
                    break;
                }
            }
        }
        let text = if self.json {
            serde_json::to_string(&runs).map_err(|error| error.to_string())?
        } else {
            measurements::table(&runs)
        };
        Ok(Output {
            text: text + "\n",
            failures,
        })
    }
}

fn read_fleet(path: &Path) -> Result<FleetConfig, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    FleetConfig::parse(&text).map_err(|error| error.to_string())
}
