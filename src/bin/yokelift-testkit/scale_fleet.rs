//! `scale-fleet`: runs fleets of hollow managers and prints what they needed.
use async_io::block_on;
use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::StreamExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use yokelift::config::fleet::FleetConfig;
use yokelift::testkit::scale::figures::{self, Figures};
use yokelift::testkit::scale::{events, fleet::Plan};

/// How many managers and engines.
#[derive(Clone, Copy, Debug)]
pub struct Size(usize, u64);

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let size = text
            .split_once('x')
            .and_then(|(m, e)| Some(Size(m.parse().ok()?, e.parse().ok()?)));
        size.ok_or_else(|| "MANAGERSxENGINES, as 58x114".into())
    }
}

/// What is run.
#[derive(Args)]
pub struct ScaleFleet {
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

/// Sets the flag when the process is asked to end.
fn listen_for_the_end(ending: Arc<AtomicBool>) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| format!("can't wait for signals: {e}"))?;
    let wait = move || {
        while block_on(signals.next()).is_some() {
            ending.store(true, Ordering::Relaxed);
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait)
        .map_err(|e| e.to_string())?;
    Ok(())
}

impl ScaleFleet {
    fn plan(&self, Size(managers, engines): Size, limit: Duration) -> Result<Plan, String> {
        let mut plan = Plan::new(managers, engines);
        if let Some(path) = &self.fleet {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let file = FleetConfig::parse(&text).map_err(|error| error.to_string())?;
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

    /// Runs all sizes; told are the output and what was wrong.
    pub fn run(&self) -> Result<(String, Vec<String>), String> {
        let limit = Duration::from_secs(self.limit);
        // All are refused before the first one runs.
        self.sizes.iter().try_for_each(|size| {
            let told = |e| format!("{}x{}: {e}", size.0, size.1);
            self.plan(*size, limit)
                .and_then(|plan| plan.check())
                .map_err(told)
        })?;
        let ending = Arc::new(AtomicBool::new(false));
        listen_for_the_end(ending.clone())?;
        let (begun, mut all, mut wrong): (_, Vec<Figures>, _) =
            (Instant::now(), Vec::new(), Vec::new());
        for size in &self.sizes {
            let left = limit.saturating_sub(begun.elapsed());
            let told = |e: String| format!("{}x{}: {e}", size.0, size.1);
            match events::run(self.plan(*size, left)?, ending.clone()) {
                Ok(figures) => {
                    wrong.extend(figures.failed.iter().cloned().map(told));
                    all.push(figures);
                }
                // What was measured before is still told.
                Err(e) => {
                    wrong.push(told(e));
                    break;
                }
            }
        }
        let text = match self.json {
            true => serde_json::to_string(&all).map_err(|e| e.to_string())?,
            false => figures::table(&all),
        };
        Ok((text + "\n", wrong))
    }
}
