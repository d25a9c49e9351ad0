//! The measurements of a simulation, and their output as a table.
use super::Plan;
use super::fleet::Totals;
use crate::clock::MS;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// Probes per second at an engine. Serialized as an array of the mean and the maximum.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ProbeRate {
    /// The mean over all engines.
    pub mean: f64,
    /// The rate at the engine with the most probes.
    pub max: f64,
}

impl From<ProbeRate> for (f64, f64) {
    fn from(rate: ProbeRate) -> (f64, f64) {
        (rate.mean, rate.max)
    }
}

/// Lease traffic sent by a manager, per second. Serialized as an array of datagrams and bytes.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct TrafficRate {
    /// Datagrams.
    pub datagrams: f64,
    /// Payload bytes.
    pub bytes: f64,
}

impl From<TrafficRate> for (f64, f64) {
    fn from(rate: TrafficRate) -> (f64, f64) {
        (rate.datagrams, rate.bytes)
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct ProbeMeasurements {
    /// The number of managers.
    pub managers: usize,
    /// The number of engines.
    pub engines: u64,
    /// The label of the simulated case.
    pub case: String,
    /// The probe rate at the engines.
    #[serde(rename = "probes")]
    pub probe_rate: ProbeRate,
    /// The fraction of the requested loads for which the manager did not probe the engine itself.
    #[serde(rename = "spared")]
    pub shared_fraction: f64,
    /// The mean time until a decision module received the load that it requested, in milliseconds.
    #[serde(rename = "waited_ms")]
    pub mean_wait_ms: f64,
    /// The lease traffic of each manager.
    #[serde(rename = "traffic")]
    pub traffic_rate: TrafficRate,
    /// How often a lease was acquired on a resource that had been leased before.
    #[serde(rename = "changes")]
    pub owner_changes: u64,
}

impl ProbeMeasurements {
    pub(super) fn new(plan: &Plan, case: &str, totals: &Totals) -> ProbeMeasurements {
        let seconds = plan.seconds as f64;
        let managers = plan.managers as f64;
        let all_probes: u64 = totals.probes_by_engine.values().sum();
        let most_probes = totals.probes_by_engine.values().copied().max().unwrap_or(0);
        let mean_wait = totals.total_wait as f64 / totals.loads_delivered.max(1) as f64;
        ProbeMeasurements {
            managers: plan.managers,
            engines: plan.engines,
            case: case.into(),
            probe_rate: ProbeRate {
                mean: all_probes as f64 / seconds / plan.engines as f64,
                max: most_probes as f64 / seconds,
            },
            shared_fraction: 1.0 - totals.own_probes as f64 / totals.loads_requested.max(1) as f64,
            mean_wait_ms: mean_wait / MS as f64,
            traffic_rate: TrafficRate {
                datagrams: totals.datagrams as f64 / seconds / managers,
                bytes: totals.bytes as f64 / seconds / managers,
            },
            owner_changes: totals.owner_changes,
        }
    }
}

/// Formats the measurements as a table with one row for each case.
pub fn table(measurements: &[ProbeMeasurements]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "managers",
        "engines",
        "case",
        "probes an engine and s",
        "most",
        "spared",
        "waited ms",
        "datagrams a manager and s",
        "bytes",
        "changes of owner",
    ]);
    for row in measurements {
        table.add_row([
            row.managers.to_string(),
            row.engines.to_string(),
            row.case.clone(),
            format!("{:.1}", row.probe_rate.mean),
            format!("{:.1}", row.probe_rate.max),
            format!("{:.1}%", row.shared_fraction * 100.0),
            format!("{:.1}", row.mean_wait_ms),
            format!("{:.1}", row.traffic_rate.datagrams),
            format!("{:.0}", row.traffic_rate.bytes),
            row.owner_changes.to_string(),
        ]);
    }
    table.to_string()
}
