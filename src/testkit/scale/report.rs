//! The figures of a run as JSON or as tables of Markdown, with the lines through them.
use super::daemons::Measured;
use super::fit::{self, Fit};
use super::load::CALL_EVERY;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// Processor time and memory that a manager may spend on control, in microseconds a second and in
/// KiB.
const MOST_CPU_US_PER_S: f64 = 12_000.0;
const MOST_RSS_KIB: f64 = 64.0 * 1024.0;

/// All that was measured: each play has each point, in the same order.
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
    /// What grows, and what stands beside it.
    pub of: &'static str,
    /// What it costs, with its unit.
    pub costs: &'static str,
    /// The line; nothing where the points are too few.
    pub fit: Option<Fit>,
}

type Figure = fn(&Measured) -> f64;
type Column = (&'static str, usize, Figure);

const MEMORY: [Column; 4] = [
    ("resident KiB", 0, |m| m.rss_kib as f64),
    ("anonymous KiB", 0, |m| m.anon_kib as f64),
    ("resident when ready KiB", 0, |m| m.start_rss_kib as f64),
    ("stand-ins KiB", 0, |m| m.stand_ins_rss_kib as f64),
];
const PROCESSOR: [Column; 5] = [
    ("processor us/s", 0, |m| m.cpu_us_per_s),
    ("ticks of 10 ms in the window", 0, |m| m.cpu_ticks as f64),
    ("window s", 2, |m| m.seconds),
    ("context switches /s", 0, |m| m.switches_per_s),
    ("status calls /s", 1, |m| m.calls_per_s),
];
const DESCRIPTORS: [Column; 4] = [
    ("descriptors", 0, |m| m.descriptors as f64),
    ("own", 0, |m| m.fixed_descriptors as f64),
    ("clients'", 0, |m| m.client_connections as f64),
    ("engines'", 0, |m| m.engine_connections as f64),
];
const STATEMENTS: [Column; 8] = [
    ("asked /s", 1, |m| m.asked_per_s),
    ("served", 0, |m| m.served as f64),
    ("refused", 0, |m| m.refused as f64),
    ("failed", 0, |m| m.failed as f64),
    ("probes /s", 1, |m| m.probes_per_s),
    ("connects", 0, |m| m.connects as f64),
    ("engines reached", 0, |m| m.engines_reached as f64),
    ("engines used", 0, |m| m.engines_used as f64),
];
const LIST: [Column; 3] = [
    ("processor us until ready", 0, |m| m.start_cpu_us),
    ("processor us a whole list", 0, |m| m.list_cpu_us),
    ("last statement after a drain us", 0, |m| {
        m.change_us.map_or(f64::NAN, |us| us as f64)
    }),
];

/// What grows in a series of points, which points belong to it, and where they lie.
type Series = (&'static str, fn(&Measured) -> bool, Figure);

fn series(few: u64, all: u64) -> [(Series, u64); 4] {
    let statements = |m: &Measured| m.clients == 0;
    [
        (
            (
                "engine, idle",
                |m| m.clients == 0 && m.rate == 0.0,
                |m| m.engines as f64,
            ),
            0,
        ),
        (
            (
                "client, idle, a status call each 8 s",
                |m| m.rate == 0.0,
                |m| m.clients as f64,
            ),
            few,
        ),
        (
            ("statement a second, few engines", statements, |m| {
                m.asked_per_s
            }),
            few,
        ),
        (
            ("statement a second, all engines", statements, |m| {
                m.asked_per_s
            }),
            all,
        ),
    ]
}

const COSTS: [(&str, Figure); 4] = [
    ("resident KiB", |m| m.rss_kib as f64),
    ("anonymous KiB", |m| m.anon_kib as f64),
    ("processor us/s", |m| m.cpu_us_per_s),
    ("context switches /s", |m| m.switches_per_s),
];

/// Mean, least and most over the plays.
fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    (
        mean,
        least,
        values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    )
}

fn cell(values: &[f64], decimals: usize) -> String {
    let (mean, least, most) = spread(values);
    match () {
        () if mean.is_nan() => "-".into(),
        () if values.len() < 2 => format!("{mean:.decimals$}"),
        () => format!("{mean:.decimals$} ({least:.decimals$} to {most:.decimals$})"),
    }
}

impl Report {
    /// Of all plays.
    pub fn new(plays: Vec<Vec<Measured>>) -> Report {
        let engines = || plays.iter().flatten().map(|m| m.engines);
        let (few, all) = (engines().min().unwrap_or(0), engines().max().unwrap_or(0));
        let mut fits = Vec::new();
        for ((of, belongs, at), only) in series(few, all) {
            // Where all points have the same engines, few are all.
            if only == all && few == all {
                continue;
            }
            let chosen = |m: &&Measured| belongs(m) && (only == 0 || m.engines == only);
            for (costs, figure) in COSTS {
                let points = |play: &Vec<Measured>| {
                    play.iter()
                        .filter(chosen)
                        .map(|m| (at(m), figure(m)))
                        .collect::<Vec<_>>()
                };
                let points: Vec<_> = plays.iter().map(points).collect();
                fits.push(Slope {
                    of,
                    costs,
                    fit: fit::fit(&points),
                });
            }
        }
        Report { plays, fits }
    }

    /// All as one JSON object, with a line's end.
    pub fn json(&self) -> Result<String, String> {
        Ok(serde_json::to_string(self).map_err(|e| e.to_string())? + "\n")
    }

    fn points(&self, title: &str, columns: &[Column]) -> String {
        let mut table = Table::new();
        let names = columns.iter().map(|(name, ..)| *name);
        table.load_preset(ASCII_MARKDOWN);
        table.set_header(
            ["engines", "clients", "statements /s"]
                .into_iter()
                .chain(names),
        );
        for (at, point) in self.plays.first().into_iter().flatten().enumerate() {
            let size = [
                point.engines.to_string(),
                point.clients.to_string(),
                point.rate.to_string(),
            ];
            let each = |figure: Figure| {
                self.plays
                    .iter()
                    .filter_map(|play| play.get(at))
                    .map(figure)
                    .collect()
            };
            let cells = columns.iter().map(|(_, decimals, figure)| {
                let values: Vec<f64> = each(*figure);
                cell(&values, *decimals)
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

    /// The greatest figures without statements beside what a manager may spend on control.
    fn bounds(&self) -> String {
        let idle = || self.plays.iter().flatten().filter(|m| m.rate == 0.0);
        let most = |figure: Figure| idle().map(figure).fold(0.0, f64::max);
        let (cpu, rss) = (most(|m| m.cpu_us_per_s), most(|m| m.rss_kib as f64));
        format!(
            "Without statements at most: {cpu:.0} us/s of processor time, {:.2} times the {MOST_CPU_US_PER_S:.0} that \
            control may take (1.2% of a core); {rss:.0} KiB resident, {:.2} times the {MOST_RSS_KIB:.0} (64 MiB).\n",
            cpu / MOST_CPU_US_PER_S,
            rss / MOST_RSS_KIB
        )
    }

    /// A table for each concern.
    pub fn markdown(&self) -> String {
        let plays = match self.plays.len() {
            1 => "one play".to_owned(),
            n => format!("mean of {n} plays, least and most"),
        };
        let titled =
            |title: &str, columns: &[Column]| self.points(&format!("{title}, {plays}"), columns);
        let first = self
            .plays
            .first()
            .and_then(|play| play.first())
            .cloned()
            .unwrap_or_default();
        let how = format!(
            "One daemon of {} managers with a second address, windows of {:.1} s; idle clients ask for the status every \
            {} s; processor time is that of the daemon's threads as the scheduler counts it.\n",
            first.managers,
            first.seconds,
            CALL_EVERY.as_secs()
        );
        let tables = [
            how,
            titled("Memory of the daemon", &MEMORY),
            titled("Processor time of the daemon", &PROCESSOR),
            titled("Descriptors of the daemon", &DESCRIPTORS),
            titled(
                "Statements in the window, and engines since the start",
                &STATEMENTS,
            ),
            titled("The list of engines", &LIST),
            self.slopes(),
            self.bounds(),
        ];
        tables.join("\n")
    }
}
