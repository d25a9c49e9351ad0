//! The subcommand `scale`: its words, and what ends it before its time.
use async_io::Timer;
use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::StreamExt;
use futures_lite::future::or;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use yokelift::testkit::scale::capacity_check::Room;
use yokelift::testkit::scale::report::Report;
use yokelift::testkit::scale::{self, Options, Point, Progress, daemons};

/// What `scale` is told.
#[derive(Args)]
pub struct Words {
    /// Points instead of the usual ones: ENGINES:CLIENTS:STATEMENTS, the last a second.
    #[arg(long = "point", value_name = "E:C:S")]
    points: Vec<Point>,
    /// Fewer and smaller points, and shorter windows.
    #[arg(long)]
    quick: bool,
    /// How often each point is measured.
    #[arg(long, default_value_t = 1)]
    plays: usize,
    /// The window of a point, in seconds [default: 5, or 2 with --quick].
    #[arg(long)]
    seconds: Option<f64>,
    /// Seconds of statements before the window of a point that has some [default: 14, or 3 with
    /// --quick].
    #[arg(long)]
    settle: Option<f64>,
    /// Managers that the settings tell of.
    #[arg(long, default_value_t = 460)]
    managers: u64,
    /// The daemon [default: the one beside this program].
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// All is ended after so many seconds, done or not.
    #[arg(long, default_value_t = 600)]
    limit: u64,
    /// Every figure as JSON.
    #[arg(long)]
    json: bool,
    /// Tables in Markdown, as without --json.
    #[arg(long, conflicts_with = "json")]
    markdown: bool,
}

/// Comes to an end with a signal or at the limit, and says which.
async fn ended(limit_at: Instant, signals: &mut Signals) -> String {
    let late = async {
        Timer::at(limit_at).await;
        "the time limit was reached".to_owned()
    };
    let told = async {
        match signals.next().await {
            Some(Ok(signal)) => format!("ended by {signal:?}"),
            _ => "signals can't be waited for".to_owned(),
        }
    };
    or(told, late).await
}

/// Measures, and gives the text to print.
pub fn run(words: Words) -> Result<String, String> {
    let seconds = words.seconds.unwrap_or(if words.quick { 2.0 } else { 5.0 });
    let settle = words.settle.unwrap_or(if words.quick { 3.0 } else { 14.0 });
    if ![seconds, settle].iter().all(|s| (0.5..=600.0).contains(s))
        || !(1..=100).contains(&words.plays)
        || words.managers == 0
    {
        return Err(
            "--seconds and --settle from 0.5 to 600, --plays from 1 to 100, --managers above 0"
                .into(),
        );
    }
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let options = Options {
        daemon: words
            .daemon
            .unwrap_or_else(|| me.with_file_name("yokelift")),
        managers: words.managers,
        settle: Duration::from_secs_f64(seconds.min(3.0)),
        settle_busy: Duration::from_secs_f64(settle),
        window: Duration::from_secs_f64(seconds),
    };
    let points = if words.points.is_empty() {
        scale::grid(words.quick)
    } else {
        words.points
    };
    Room::here().check(&points, &options)?;
    let sockets = daemons::sockets(&points);
    let limit_at = Instant::now() + Duration::from_secs(words.limit);
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| e.to_string())?;
    let (mut plays, begun, count) = (Vec::new(), Instant::now(), points.len() * words.plays);
    for play in 0..words.plays {
        let mut measured = Vec::new();
        for (at, point) in points.iter().enumerate() {
            let number = play * points.len() + at + 1;
            let mut word = |progress: &Progress| {
                let Point {
                    engines,
                    clients,
                    rate,
                } = point;
                let (after, Progress { pid, doing }) = (begun.elapsed().as_secs(), progress);
                eprintln!(
                    "{after} s, {number} of {count}: {engines} engines, {clients} clients, {rate} statements/s, \
                    daemon {pid}: {doing}"
                );
            };
            let until = ended(limit_at, &mut signals);
            measured.push(daemons::measure(
                point, &options, sockets, until, &mut word,
            )?);
        }
        plays.push(measured);
    }
    let report = Report::new(plays);
    if words.json {
        report.json()
    } else {
        Ok(report.markdown())
    }
}
