//! The subcommand `scale`: its arguments, its progress lines, and the signals and the time limit
//! that end it early.
use async_io::Timer;
use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::StreamExt;
use futures_lite::future::or;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use yokelift::testkit::scale::capacity_check::Resources;
use yokelift::testkit::scale::report::Report;
use yokelift::testkit::scale::{self, MeasurementPoint, Options, Progress, daemons};

/// Valid length of a measurement window or a settling time, in seconds.
const SECONDS: RangeInclusive<f64> = 0.5..=600.0;
/// Valid number of runs, each of which measures every point once.
const RUNS: RangeInclusive<usize> = 1..=100;
/// Maximum settling time before a window without statements, in seconds.
const MAX_IDLE_SETTLE_S: f64 = 3.0;

/// The arguments of `scale`.
#[derive(Args)]
pub(crate) struct ScaleArgs {
    /// Points to measure instead of the default ones: ENGINES:CLIENTS:STATEMENTS, with the
    /// statements per second.
    #[arg(long = "point", value_name = "E:C:S")]
    points: Vec<MeasurementPoint>,
    /// Measure fewer and smaller points, with shorter windows.
    #[arg(long)]
    quick: bool,
    /// The number of runs, each of which measures every point once.
    #[arg(long, default_value_t = 1)]
    plays: usize,
    /// The window of a point, in seconds [default: 5, or 2 with --quick].
    #[arg(long)]
    seconds: Option<f64>,
    /// Seconds of statements before the window of a point that has some [default: 14, or 3 with
    /// --quick].
    #[arg(long)]
    settle: Option<f64>,
    /// The number of managers in the daemon's settings.
    #[arg(long, default_value_t = 460)]
    managers: u64,
    /// Path of the daemon [default: the one installed beside this program].
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Seconds after which the measurement fails and its daemon is ended.
    #[arg(long, default_value_t = 600)]
    limit: u64,
    /// Print every measured value as JSON.
    #[arg(long)]
    json: bool,
    /// Tables in Markdown, as without --json.
    #[arg(long, conflicts_with = "json")]
    markdown: bool,
}

/// Defaults that differ between full and `--quick` runs.
struct Defaults {
    window_s: f64,
    settle_s: f64,
}

const FULL: Defaults = Defaults {
    window_s: 5.0,
    settle_s: 14.0,
};
const QUICK: Defaults = Defaults {
    window_s: 2.0,
    settle_s: 3.0,
};

impl ScaleArgs {
    fn options(&self) -> Result<Options, String> {
        let defaults = if self.quick { QUICK } else { FULL };
        let window_s = self.seconds.unwrap_or(defaults.window_s);
        let settle_s = self.settle.unwrap_or(defaults.settle_s);
        let in_range = SECONDS.contains(&window_s)
            && SECONDS.contains(&settle_s)
            && RUNS.contains(&self.plays)
            && self.managers > 0;
        if !in_range {
            return Err(
                "--seconds and --settle must be from 0.5 to 600, --plays from 1 to 100, --managers above 0"
                    .into(),
            );
        }
        let daemon = match &self.daemon {
            Some(daemon) => daemon.clone(),
            None => std::env::current_exe()
                .map_err(|error| error.to_string())?
                .with_file_name("yokelift"),
        };
        Ok(Options {
            daemon,
            managers: self.managers,
            settle: Duration::from_secs_f64(window_s.min(MAX_IDLE_SETTLE_S)),
            settle_busy: Duration::from_secs_f64(settle_s),
            window: Duration::from_secs_f64(window_s),
        })
    }

    fn points(&self) -> Vec<MeasurementPoint> {
        if self.points.is_empty() {
            scale::grid(self.quick)
        } else {
            self.points.clone()
        }
    }
}

/// Waits for a signal or the time limit, and returns the reason for the error message.
async fn stop_reason(limit_at: Instant, signals: &mut Signals) -> String {
    let limit = async {
        Timer::at(limit_at).await;
        "the time limit was reached".to_owned()
    };
    let signal = async {
        match signals.next().await {
            Some(Ok(signal)) => format!("ended by {signal:?}"),
            _ => "waiting for signals failed".to_owned(),
        }
    };
    or(signal, limit).await
}

/// Writes progress lines to standard error.
struct ProgressReport {
    started: Instant,
    /// Number of points over all runs.
    point_count: usize,
}

impl ProgressReport {
    fn print(&self, number: usize, point: &MeasurementPoint, progress: &Progress) {
        let seconds = self.started.elapsed().as_secs();
        let count = self.point_count;
        let MeasurementPoint {
            engines,
            clients,
            rate,
        } = point;
        let Progress { pid, step } = progress;
        eprintln!(
            "{seconds} s, {number} of {count}: {engines} engines, {clients} clients, {rate} statements/s, \
            daemon {pid}: {step}"
        );
    }
}

/// Measures all points in each run, and returns the report to print.
pub(crate) fn run(args: ScaleArgs) -> Result<String, String> {
    let options = args.options()?;
    let points = args.points();
    Resources::available()
        .check(&points, &options)
        .map_err(|error| error.to_string())?;
    let limit_at = Instant::now() + Duration::from_secs(args.limit);
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| error.to_string())?;
    let report = ProgressReport {
        started: Instant::now(),
        point_count: points.len() * args.plays,
    };
    let daemon_descriptors = daemons::daemon_descriptors(&points);
    let mut runs = Vec::new();
    for run in 0..args.plays {
        let mut measured = Vec::new();
        for (index, point) in points.iter().enumerate() {
            let number = run * points.len() + index + 1;
            measured.push(daemons::measure(
                point,
                &options,
                daemon_descriptors,
                stop_reason(limit_at, &mut signals),
                &mut |progress| report.print(number, point, progress),
            )?);
        }
        runs.push(measured);
    }
    let report = Report::new(runs);
    if args.json {
        report.json().map_err(|error| error.to_string())
    } else {
        Ok(report.markdown())
    }
}
