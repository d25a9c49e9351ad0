//! The subcommand `scale-fleet`: runs fleets of hollow nodes and prints their figures.
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
use yokelift::testkit::scale::figures::{self, Figures};
use yokelift::testkit::scale::{events, fleet::Plan};

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    managers: usize,
    engines: u64,
}

/// The text is no size.
#[derive(Debug, Error)]
#[error("MANAGERSxENGINES, as 58x114")]
pub(crate) struct InvalidSize;

impl FromStr for Size {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Size, InvalidSize> {
        let (managers, engines) = text.split_once('x').ok_or(InvalidSize)?;
        Ok(Size {
            managers: managers.parse().map_err(|_| InvalidSize)?,
            engines: engines.parse().map_err(|_| InvalidSize)?,
        })
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.managers, self.engines)
    }
}

/// The arguments of `scale-fleet`.
#[derive(Args)]
pub(crate) struct ScaleFleetArgs {
    /// The sizes, as MANAGERSxENGINES; the plan's eighths are 58x114, 115x228, 230x455 and 460x910.
    #[arg(long, value_delimiter = ',', default_value = "58x114")]
    sizes: Vec<Size>,
    /// Managers that vote on the owners of duties; 0: no duties.
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// How often a second each manager wants some engine's load.
    #[arg(long, default_value_t = 1.0)]
    wants: f64,
    /// The same seed makes the same choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Threads; without it one a core at most.
    #[arg(long)]
    threads: Option<usize>,
    /// The timings, and the bounds of leases: those of this fleet file.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Also put down what is owned, as daemons with a second address do.
    #[arg(long)]
    console: bool,
    /// Real daemons to greet at the start, by their fleet's addresses.
    #[arg(long, value_delimiter = ',')]
    greet: Vec<SocketAddr>,
    /// Seconds that pass after the start and after each disturbance before the next thing is
    /// measured.
    #[arg(long, default_value_t = 10)]
    settle: u64,
    /// Seconds of quiet traffic that are counted.
    #[arg(long, default_value_t = 20)]
    quiet: u64,
    /// Seconds that a third of the managers is cut off; 0: not at all.
    #[arg(long, default_value_t = 0)]
    cut: u64,
    /// Managers that are restarted one after the other.
    #[arg(long, default_value_t = 0)]
    rolling: usize,
    /// Seconds after which the run ends with an error, over all sizes.
    #[arg(long, default_value_t = 300)]
    limit: u64,
    /// The figures as one JSON list.
    #[arg(long)]
    json: bool,
}

/// The text to print, and what failed.
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) failures: Vec<String>,
}

/// A flag that is set when the process is asked to stop.
fn stop_flag() -> Result<Arc<AtomicBool>, String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|error| format!("can't wait for signals: {error}"))?;
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
    fn plan(&self, size: Size, limit: Duration) -> Result<Plan, String> {
        let mut plan = Plan::new(size.managers, size.engines);
        if let Some(path) = &self.fleet {
            let file = read_fleet(path)?;
            plan.timing = file.timing;
            plan.terms = file.leases.map_or(plan.terms, |duties| duties.terms);
        }
        Ok(Plan {
            voters: self.voters,
            wants: self.wants,
            seed: self.seed,
            threads: self.threads.unwrap_or(plan.threads),
            console: self.console,
            greet: self.greet.clone(),
            settle: Duration::from_secs(self.settle),
            quiet: Duration::from_secs(self.quiet),
            cut: Duration::from_secs(self.cut),
            rolling: self.rolling,
            limit,
            progress: true,
            ..plan
        })
    }

    /// Refuses all sizes if any of them can't be run.
    fn check_sizes(&self, limit: Duration) -> Result<(), String> {
        for size in &self.sizes {
            self.plan(*size, limit)
                .and_then(|plan| plan.check().map_err(|error| error.to_string()))
                .map_err(|error| format!("{size}: {error}"))?;
        }
        Ok(())
    }

    /// Runs all sizes, up to the first that fails.
    pub(crate) fn run(&self) -> Result<Output, String> {
        let limit = Duration::from_secs(self.limit);
        self.check_sizes(limit)?;
        let stop_requested = stop_flag()?;
        let started = Instant::now();
        let mut runs: Vec<Figures> = Vec::new();
        let mut failures = Vec::new();
        for size in &self.sizes {
            let remaining = limit.saturating_sub(started.elapsed());
            let plan = self.plan(*size, remaining)?;
            match events::run(plan, stop_requested.clone()) {
                Ok(figures) => {
                    let failed = figures.failed.iter();
                    failures.extend(failed.map(|failure| format!("{size}: {failure}")));
                    runs.push(figures);
                }
                // The figures of the sizes before it are still printed.
                Err(error) => {
                    failures.push(format!("{size}: {error}"));
                    break;
                }
            }
        }
        let text = if self.json {
            serde_json::to_string(&runs).map_err(|error| error.to_string())?
        } else {
            figures::table(&runs)
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
