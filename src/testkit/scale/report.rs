//! The figures of a measurement as JSON or as tables in Markdown, with the lines through them.
use super::daemons::Measured;
use super::fit::{self, Fit, Sample};
use super::load::STATUS_INTERVAL;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// Processor time that a manager may spend on control, in microseconds a second.
const MAX_CONTROL_CPU_US_PER_S: f64 = 12_000.0;
/// Resident memory that a manager may use for control, in KiB.
const MAX_CONTROL_RSS_KIB: f64 = 64.0 * 1024.0;

/// Everything that was measured: each play has each point, in the same order.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plays.
    pub plays: Vec<Vec<Measured>>,
    /// The lines through them.
    pub fits: Vec<Slope>,
}

/// What one more of something costs.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What grows, and what surrounds it.
    pub of: &'static str,
    /// What it costs, with its unit.
    pub costs: &'static str,
    /// The line; `None` if there are too few points.
    pub fit: Option<Fit>,
}

type Figure = fn(&Measured) -> f64;

/// A column of a table.
struct Column {
    name: &'static str,
    decimals: usize,
    figure: Figure,
}

impl Column {
    const fn new(name: &'static str, decimals: usize, figure: Figure) -> Column {
        Column {
            name,
            decimals,
            figure,
        }
    }
}

const MEMORY: [Column; 4] = [
    Column::new("resident KiB", 0, |m| m.rss_kib as f64),
    Column::new("anonymous KiB", 0, |m| m.anon_kib as f64),
    Column::new("resident when ready KiB", 0, |m| m.start_rss_kib as f64),
    Column::new("stand-ins KiB", 0, |m| m.stand_ins_rss_kib as f64),
];
const PROCESSOR: [Column; 5] = [
    Column::new("processor us/s", 0, |m| m.cpu_us_per_s),
    Column::new("ticks of 10 ms in the window", 0, |m| m.cpu_ticks as f64),
    Column::new("window s", 2, |m| m.seconds),
    Column::new("context switches /s", 0, |m| m.switches_per_s),
    Column::new("status calls /s", 1, |m| m.calls_per_s),
];
const DESCRIPTORS: [Column; 4] = [
    Column::new("descriptors", 0, |m| m.descriptors as f64),
    Column::new("own", 0, |m| m.fixed_descriptors as f64),
    Column::new("clients'", 0, |m| m.client_connections as f64),
    Column::new("engines'", 0, |m| m.engine_connections as f64),
];
const STATEMENTS: [Column; 8] = [
    Column::new("asked /s", 1, |m| m.asked_per_s),
    Column::new("served", 0, |m| m.served as f64),
    Column::new("refused", 0, |m| m.refused as f64),
    Column::new("failed", 0, |m| m.failed as f64),
    Column::new("probes /s", 1, |m| m.probes_per_s),
    Column::new("connects", 0, |m| m.connects as f64),
    Column::new("engines reached", 0, |m| m.engines_reached as f64),
    Column::new("engines used", 0, |m| m.engines_used as f64),
];
const LIST: [Column; 3] = [
    Column::new("processor us until ready", 0, |m| m.start_cpu_us),
    Column::new("processor us a whole list", 0, |m| m.list_cpu_us),
    Column::new("last statement after a drain us", 0, |m| {
        m.change_us.map_or(f64::NAN, |us| us as f64)
    }),
];

/// Points among which one quantity grows.
struct Series {
    /// What grows, and what surrounds it.
    quantity: &'static str,
    /// Whether a point belongs to the series.
    includes: fn(&Measured) -> bool,
    /// The quantity at a point.
    value: Figure,
    /// The number of engines at all points; `None` if that is what grows.
    engines: Option<u64>,
}

/// The series of the points, from the fewest engines to all.
fn all_series(fewest_engines: u64, all_engines: u64) -> Vec<Series> {
    let statements = |m: &Measured| m.clients == 0;
    let mut series = vec![
        Series {
            quantity: "engine, idle",
            includes: |m| m.clients == 0 && m.rate == 0.0,
            value: |m| m.engines as f64,
            engines: None,
        },
        Series {
            quantity: "client, idle, a status call each 8 s",
            includes: |m| m.rate == 0.0,
            value: |m| m.clients as f64,
            engines: Some(fewest_engines),
        },
        Series {
            quantity: "statement a second, few engines",
            includes: statements,
            value: |m| m.asked_per_s,
            engines: Some(fewest_engines),
        },
    ];
    // With one number of engines it is the series before.
    if all_engines != fewest_engines {
        series.push(Series {
            quantity: "statement a second, all engines",
            includes: statements,
            value: |m| m.asked_per_s,
            engines: Some(all_engines),
        });
    }
    series
}

impl Series {
    /// The points of a play that belong to the series, with a figure over the quantity.
    fn samples(&self, play: &[Measured], figure: Figure) -> Vec<Sample> {
        play.iter()
            .filter(|m| (self.includes)(m))
            .filter(|m| self.engines.is_none_or(|engines| m.engines == engines))
            .map(|m| ((self.value)(m), figure(m)))
            .collect()
    }
}

const COSTS: [(&str, Figure); 4] = [
    ("resident KiB", |m| m.rss_kib as f64),
    ("anonymous KiB", |m| m.anon_kib as f64),
    ("processor us/s", |m| m.cpu_us_per_s),
    ("context switches /s", |m| m.switches_per_s),
];

/// The mean of a figure over the plays, with its range if there are several.
fn cell(values: &[f64], decimals: usize) -> String {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    if mean.is_nan() {
        return "-".to_owned();
    }
    if values.len() < 2 {
        return format!("{mean:.decimals$}");
    }
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.decimals$} ({least:.decimals$} to {most:.decimals$})")
}

impl Report {
    /// The report on all plays, with a line for each series and cost.
    pub fn new(plays: Vec<Vec<Measured>>) -> Report {
        let engines = || plays.iter().flatten().map(|m| m.engines);
        let fewest_engines = engines().min().unwrap_or(0);
        let all_engines = engines().max().unwrap_or(0);
        let mut fits = Vec::new();
        for series in all_series(fewest_engines, all_engines) {
            for (costs, figure) in COSTS {
                let samples: Vec<_> = plays
                    .iter()
                    .map(|play| series.samples(play, figure))
                    .collect();
                fits.push(Slope {
                    of: series.quantity,
                    costs,
                    fit: fit::fit(&samples),
                });
            }
        }
        Report { plays, fits }
    }

    /// All as one JSON object, with a line break.
    pub fn json(&self) -> serde_json::Result<String> {
        Ok(serde_json::to_string(self)? + "\n")
    }

    /// A table with a row for each point.
    fn points(&self, title: &str, columns: &[Column]) -> String {
        let mut table = Table::new();
        let sizes = ["engines", "clients", "statements /s"];
        table.load_preset(ASCII_MARKDOWN);
        table.set_header(sizes.into_iter().chain(columns.iter().map(|c| c.name)));
        for (index, point) in self.plays.first().into_iter().flatten().enumerate() {
            let size = [
                point.engines.to_string(),
                point.clients.to_string(),
                point.rate.to_string(),
            ];
            let cells = columns.iter().map(|column| {
                let measured = self.plays.iter().filter_map(|play| play.get(index));
                let values: Vec<f64> = measured.map(column.figure).collect();
                cell(&values, column.decimals)
            });
            table.add_row(size.into_iter().chain(cells));
        }
        format!("{title}\n\n{table}\n")
    }

    fn slopes(&self) -> String {
        let mut table = Table::new();
        let names = [
            "one more",
            "costs",
            "each",
            "over plays",
            "with none",
            "worst residual",
            "",
        ];
        table.load_preset(ASCII_MARKDOWN).set_header(names);
        for Slope { of, costs, fit } in &self.fits {
            let Some(Fit { line, least, most }) = fit else {
                continue;
            };
            table.add_row([
                (*of).to_owned(),
                (*costs).to_owned(),
                format!("{:.2}", line.slope),
                format!("{least:.2} to {most:.2}"),
                format!("{:.0}", line.intercept),
                format!("{:.1}%", 100.0 * line.worst),
                if line.holds {
                    String::new()
                } else {
                    "does not hold".into()
                },
            ]);
        }
        format!("Slopes, by least squares over all plays\n\n{table}\n")
    }

    /// The largest figures without statements, compared with what a manager may spend on control.
    fn bounds(&self) -> String {
        let idle = || self.plays.iter().flatten().filter(|m| m.rate == 0.0);
        let most = |figure: Figure| idle().map(figure).fold(0.0, f64::max);
        let (cpu, rss) = (most(|m| m.cpu_us_per_s), most(|m| m.rss_kib as f64));
        format!(
            "Without statements at most: {cpu:.0} us/s of processor time, {:.2} times the {MAX_CONTROL_CPU_US_PER_S:.0} that \
            control may take (1.2% of a core); {rss:.0} KiB resident, {:.2} times the {MAX_CONTROL_RSS_KIB:.0} (64 MiB).\n",
            cpu / MAX_CONTROL_CPU_US_PER_S,
            rss / MAX_CONTROL_RSS_KIB
        )
    }

    /// How the figures were measured, as a sentence.
    fn method(&self) -> String {
        let first = self.plays.iter().flatten().next().cloned();
        let Measured {
            managers, seconds, ..
        } = first.unwrap_or_default();
        let interval_s = STATUS_INTERVAL.as_secs();
        format!(
            "One daemon of {managers} managers with a second address, windows of {seconds:.1} s; idle clients ask for \
            the status every {interval_s} s; processor time is that of the daemon's threads as the scheduler counts it.\n"
        )
    }

    /// All tables.
    pub fn markdown(&self) -> String {
        let plays = match self.plays.len() {
            1 => "one play".to_owned(),
            count => format!("mean of {count} plays, least and most"),
        };
        let table =
            |title: &str, columns: &[Column]| self.points(&format!("{title}, {plays}"), columns);
        let parts = [
            self.method(),
            table("Memory of the daemon", &MEMORY),
            table("Processor time of the daemon", &PROCESSOR),
            table("Descriptors of the daemon", &DESCRIPTORS),
            table(
                "Statements in the window, and engines since the start",
                &STATEMENTS,
            ),
            table("The list of engines", &LIST),
            self.slopes(),
            self.bounds(),
        ];
        parts.join("\n")
    }
}
