//! The measurements of all runs as JSON or as Markdown tables, with the fitted lines.
use super::daemons::Measurement;
use super::fit::{self, Fit, Sample};
use super::load::STATUS_INTERVAL;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// Processor time that a manager may spend on control, in microseconds per second. Control is what
/// a manager does while no statement runs: the endpoint list, the periodic work of the decision
/// module, membership, leases and the audit.
const MAX_CONTROL_CPU_US_PER_S: f64 = 12_000.0;
/// Resident memory that a manager may use for control, in KiB.
const MAX_CONTROL_RSS_KIB: f64 = 64.0 * 1024.0;

/// All measurements: each run has every point, in the same order.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The measurements of each run.
    #[serde(rename = "plays")]
    pub runs: Vec<Vec<Measurement>>,
    /// The fitted lines.
    pub fits: Vec<UnitCost>,
}

/// The cost of one more unit of a quantity.
#[derive(Clone, Debug, Serialize)]
pub struct UnitCost {
    /// The quantity that grows, and the conditions under which it does.
    #[serde(rename = "of")]
    pub quantity: &'static str,
    /// The resource that it costs, with its unit.
    #[serde(rename = "costs")]
    pub resource: &'static str,
    /// The fitted line; `None` if there are too few points.
    pub fit: Option<Fit>,
}

/// Reads one value from a measurement.
type Metric = fn(&Measurement) -> f64;

/// A table column.
struct Column {
    name: &'static str,
    decimals: usize,
    metric: Metric,
}

impl Column {
    const fn new(name: &'static str, decimals: usize, metric: Metric) -> Column {
        Column {
            name,
            decimals,
            metric,
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
    Column::new("asked /s", 1, |m| m.sent_per_s),
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

/// The points among which only one quantity grows.
struct Series {
    /// The quantity that grows, and the conditions under which it does.
    quantity: &'static str,
    /// Returns whether a point belongs to the series, apart from its number of engines.
    includes: fn(&Measurement) -> bool,
    /// Returns the quantity at a point.
    value: Metric,
    /// The number of engines at all points; `None` if the number of engines grows.
    engines: Option<u64>,
}

/// Returns the series of points, from the smallest to the largest number of engines.
fn all_series(fewest_engines: u64, most_engines: u64) -> Vec<Series> {
    let statements = |m: &Measurement| m.clients == 0;
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
            value: |m| m.sent_per_s,
            engines: Some(fewest_engines),
        },
    ];
    // With only one number of engines this series equals the previous one.
    if most_engines != fewest_engines {
        series.push(Series {
            quantity: "statement a second, all engines",
            includes: statements,
            value: |m| m.sent_per_s,
            engines: Some(most_engines),
        });
    }
    series
}

impl Series {
    /// Returns the points of a run that belong to the series: the metric over the quantity.
    fn samples(&self, run: &[Measurement], metric: Metric) -> Vec<Sample> {
        run.iter()
            .filter(|m| (self.includes)(m))
            .filter(|m| self.engines.is_none_or(|engines| m.engines == engines))
            .map(|m| ((self.value)(m), metric(m)))
            .collect()
    }
}

const COSTS: [(&str, Metric); 4] = [
    ("resident KiB", |m| m.rss_kib as f64),
    ("anonymous KiB", |m| m.anon_kib as f64),
    ("processor us/s", |m| m.cpu_us_per_s),
    ("context switches /s", |m| m.switches_per_s),
];

/// Formats the mean of a metric over the runs, with its range if there are several runs.
fn cell(values: &[f64], decimals: usize) -> String {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    if mean.is_nan() {
        return "-".to_owned();
    }
    if values.len() < 2 {
        return format!("{mean:.decimals$}");
    }
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.decimals$} ({min:.decimals$} to {max:.decimals$})")
}

impl Report {
    /// Creates the report on all runs, with a fitted line for each series and cost.
    pub fn new(runs: Vec<Vec<Measurement>>) -> Report {
        let engines = || runs.iter().flatten().map(|m| m.engines);
        let fewest_engines = engines().min().unwrap_or(0);
        let most_engines = engines().max().unwrap_or(0);
        let mut fits = Vec::new();
        for series in all_series(fewest_engines, most_engines) {
            for (resource, metric) in COSTS {
                let samples: Vec<_> = runs.iter().map(|run| series.samples(run, metric)).collect();
                fits.push(UnitCost {
                    quantity: series.quantity,
                    resource,
                    fit: fit::fit(&samples),
                });
            }
        }
        Report { runs, fits }
    }

    /// Returns the report as one JSON object that ends with a line break.
    pub fn json(&self) -> serde_json::Result<String> {
        Ok(serde_json::to_string(self)? + "\n")
    }

    /// Formats a table with a row for each point.
    fn points(&self, title: &str, columns: &[Column]) -> String {
        let mut table = Table::new();
        let sizes = ["engines", "clients", "statements /s"];
        table.load_preset(ASCII_MARKDOWN);
        table.set_header(sizes.into_iter().chain(columns.iter().map(|c| c.name)));
        for (index, point) in self.runs.first().into_iter().flatten().enumerate() {
            let size = [
                point.engines.to_string(),
                point.clients.to_string(),
                point.rate.to_string(),
            ];
            let cells = columns.iter().map(|column| {
                let measured = self.runs.iter().filter_map(|run| run.get(index));
                let values: Vec<f64> = measured.map(column.metric).collect();
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
        for UnitCost {
            quantity,
            resource,
            fit,
        } in &self.fits
        {
            let Some(Fit { line, least, most }) = fit else {
                continue;
            };
            table.add_row([
                (*quantity).to_owned(),
                (*resource).to_owned(),
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

    /// Compares the largest resource use without statements with the limits for control.
    fn control_limits(&self) -> String {
        let idle = || self.runs.iter().flatten().filter(|m| m.rate == 0.0);
        let max = |metric: Metric| idle().map(metric).fold(0.0, f64::max);
        let (cpu, rss) = (max(|m| m.cpu_us_per_s), max(|m| m.rss_kib as f64));
        format!(
            "Without statements at most: {cpu:.0} us/s of processor time, {:.2} times the {MAX_CONTROL_CPU_US_PER_S:.0} that \
            control may take (1.2% of a core); {rss:.0} KiB resident, {:.2} times the {MAX_CONTROL_RSS_KIB:.0} (64 MiB).\n",
            cpu / MAX_CONTROL_CPU_US_PER_S,
            rss / MAX_CONTROL_RSS_KIB
        )
    }

    /// Describes in a sentence how the values were measured.
    fn method(&self) -> String {
        let first = self.runs.iter().flatten().next().cloned();
        let Measurement {
            managers, seconds, ..
        } = first.unwrap_or_default();
        let interval_s = STATUS_INTERVAL.as_secs();
        format!(
            "One daemon of {managers} managers with a second address, windows of {seconds:.1} s; idle clients ask for \
            the status every {interval_s} s; processor time is that of the daemon's threads as the scheduler counts it.\n"
        )
    }

    /// Returns all tables as Markdown text.
    pub fn markdown(&self) -> String {
        let runs = match self.runs.len() {
            1 => "one play".to_owned(),
            count => format!("mean of {count} plays, least and most"),
        };
        let table =
            |title: &str, columns: &[Column]| self.points(&format!("{title}, {runs}"), columns);
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
            self.control_limits(),
        ];
        parts.join("\n")
    }
}
