//! The figures of a run with a fleet of hollow nodes, as JSON and as a table.
use super::fleet::Plan;
use super::hollow_node::NodeReading;
use crate::net::fleet::traffic::{Flow, TrafficCounts};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;
use std::time::Duration;

/// A thread that wakes this much later than it was due shows that the machine can't run the fleet in
/// real time, in milliseconds.
pub const MAX_WAKE_DELAY_MS: f64 = 20.0;

/// Traffic of one node, a second, with the headers of IP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rate {
    /// Bytes sent.
    pub sent_bytes: f64,
    /// Bytes received.
    pub received_bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// Of the bytes both ways, those of leases.
    pub duties_bytes: f64,
    /// How long its actors ran, in percent of a core, by the clock.
    pub busy_percent: f64,
}

/// Traffic of the fleet over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    /// How long it was counted, in seconds.
    pub seconds: f64,
    /// The mean of all nodes.
    pub mean: Rate,
    /// The maximum of each figure over all nodes.
    pub worst: Rate,
    /// The mean of the voters.
    pub voter_mean: Rate,
    /// The maximum of each figure over the voters.
    pub voter_worst: Rate,
    /// Processor time of the whole process divided by its nodes, in percent of a core.
    pub processor_percent: f64,
    /// Probes of engines, a second and node.
    pub probes: f64,
    /// The largest wake-up delay of a thread, in milliseconds.
    pub latest_wake_ms: f64,
}

/// What a [`Load`] is computed from.
pub struct LoadSample<'a> {
    /// The readings of all nodes at the start.
    pub earlier: &'a [NodeReading],
    /// The readings of all nodes at the end.
    pub later: &'a [NodeReading],
    /// The time between them.
    pub duration: Duration,
    /// Processor time of the process between them.
    pub processor_time: Duration,
    /// The largest wake-up delay of a thread between them, in milliseconds.
    pub max_wake_delay_ms: f64,
}

impl Rate {
    /// The rate of one node between two readings.
    fn between(seconds: f64, earlier: &NodeReading, later: &NodeReading) -> Rate {
        let counts = later.counts.since(&earlier.counts);
        let busy = later.busy.saturating_sub(earlier.busy);
        let per_s = |n: u64| n as f64 / seconds;
        let duties: Flow = counts.lease_sent.plus(counts.lease_received);
        Rate {
            sent_bytes: per_s(counts.sent().wire_bytes()),
            received_bytes: per_s(counts.received().wire_bytes()),
            datagrams: per_s(counts.sent().plus(counts.received()).datagrams),
            duties_bytes: per_s(duties.wire_bytes()),
            busy_percent: busy.as_secs_f64() / seconds * 100.0,
        }
    }

    /// Combines each figure of several rates.
    fn combine(rates: &[Rate], combine: impl Fn(&[f64]) -> f64) -> Rate {
        let figure = |figure: fn(&Rate) -> f64| {
            let values: Vec<f64> = rates.iter().map(figure).collect();
            combine(&values)
        };
        Rate {
            sent_bytes: figure(|rate| rate.sent_bytes),
            received_bytes: figure(|rate| rate.received_bytes),
            datagrams: figure(|rate| rate.datagrams),
            duties_bytes: figure(|rate| rate.duties_bytes),
            busy_percent: figure(|rate| rate.busy_percent),
        }
    }

    fn mean(rates: &[Rate]) -> Rate {
        let count = rates.len().max(1) as f64;
        Rate::combine(rates, |values| values.iter().sum::<f64>() / count)
    }

    fn max(rates: &[Rate]) -> Rate {
        Rate::combine(rates, |values| values.iter().copied().fold(0.0, f64::max))
    }
}

impl Load {
    /// The load between the two readings of a sample.
    pub fn of(plan: &Plan, sample: &LoadSample<'_>) -> Load {
        let seconds = sample.duration.as_secs_f64().max(1e-3);
        let nodes = plan.managers as f64;
        let rates: Vec<Rate> = sample
            .earlier
            .iter()
            .zip(sample.later)
            .map(|(earlier, later)| Rate::between(seconds, earlier, later))
            .collect();
        let voter_rates: Vec<Rate> = plan
            .voter_nodes()
            .into_iter()
            .filter_map(|node| rates.get(node).copied())
            .collect();
        let probes = |readings: &[NodeReading]| {
            let probes = readings.iter().map(|reading| reading.probes);
            probes.sum::<u64>() as f64
        };
        Load {
            seconds,
            mean: Rate::mean(&rates),
            worst: Rate::max(&rates),
            voter_mean: Rate::mean(&voter_rates),
            voter_worst: Rate::max(&voter_rates),
            processor_percent: sample.processor_time.as_secs_f64() / seconds / nodes * 100.0,
            probes: (probes(sample.later) - probes(sample.earlier)) / seconds / nodes,
            latest_wake_ms: sample.max_wake_delay_ms,
        }
    }
}

/// How long an event took until the nodes had observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EventDuration {
    /// Until all had, in milliseconds; `None` if not all did within the patience.
    pub all_ms: Option<u64>,
    /// Until half of them had, in milliseconds.
    pub half_ms: u64,
    /// How many nodes had observed it.
    pub had: usize,
    /// How many nodes were asked.
    pub asked: usize,
    /// The largest wake-up delay of a thread meanwhile, in milliseconds.
    pub latest_wake_ms: f64,
}

/// The death of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Death {
    /// Its name.
    pub manager: String,
    /// Until all others considered it dead.
    pub dead: EventDuration,
    /// How many leases it held.
    pub duties: usize,
    /// Time from its death until each of these leases had another holder, in milliseconds; `None` if
    /// not all did within the patience.
    pub owners_ms: Option<u64>,
}

/// A partition of a third of the nodes, and its healing.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Partition {
    /// How long it lasted.
    pub seconds: f64,
    /// Traffic during the partition.
    pub during: Load,
    /// Others that a node considered alive at the end of the partition: minimum and maximum.
    pub alive: (usize, usize),
    /// Until all nodes considered each other alive again.
    pub healed: EventDuration,
    /// Traffic from the healing until all agreed and had settled.
    pub after: Load,
}

/// Nodes restarted one after the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RollingRestart {
    /// Until each restart was observed by all others, in milliseconds.
    pub each_ms: Vec<Option<u64>>,
    /// The largest wake-up delay of a thread meanwhile, in milliseconds.
    pub latest_wake_ms: f64,
}

/// Whether all datagrams that were sent are accounted for, over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramBalance {
    /// The counts of all nodes together.
    pub counts: TrafficCounts,
    /// What was left unread in sockets when nodes ended.
    pub unread: Flow,
    /// Datagrams that sockets dropped because their buffers were full.
    pub lost: u64,
    /// Datagrams sent that are in none of these: 0 where no others take part and nothing is lost
    /// elsewhere.
    pub missing: i64,
    /// Datagrams received that nodes dropped because they were invalid.
    pub dropped: u64,
    /// How often a node would have reloaded its configuration because it was behind the majority.
    pub reloads: u64,
    /// How often a node excluded itself because it was behind the majority.
    pub shut_outs: u64,
}

impl DatagramBalance {
    /// The balance of the last readings of all nodes; `lost` is what their sockets dropped.
    pub fn of(readings: &[NodeReading], lost: u64) -> DatagramBalance {
        let mut balance = DatagramBalance {
            lost,
            ..DatagramBalance::default()
        };
        for reading in readings {
            balance.counts = balance.counts.plus(&reading.counts);
            balance.unread = balance.unread.plus(reading.unread);
            balance.dropped += reading.dropped;
            balance.reloads += reading.reloads;
            balance.shut_outs += reading.exclusions;
        }
        let counts = &balance.counts;
        let found = counts
            .received()
            .plus(counts.blocked)
            .plus(balance.unread)
            .datagrams
            + lost;
        balance.missing = counts.sent().datagrams as i64 - found as i64;
        balance
    }
}

/// All figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Hollow nodes, each in place of a manager.
    pub managers: usize,
    /// Engines whose loads they want.
    pub engines: u64,
    /// Voters among the nodes.
    pub voters: usize,
    /// Engine loads wanted, a second and node.
    pub wants: f64,
    /// The seed of the run's own choices; the nodes' own seeds are the times of their starts, as a
    /// daemon's are.
    pub seed: u64,
    /// Threads.
    pub threads: usize,
    /// Seconds between the start and quiet traffic, and after each disturbance.
    pub settle_seconds: f64,
    /// Whether the nodes published their leases, as daemons with an admin endpoint do.
    pub console: bool,
    /// Whether a thread woke too late: the machine is too small then, and the figures are invalid.
    pub overloaded: bool,
    /// The largest wake-up delay of a thread over the run, in milliseconds.
    pub latest_wake_ms: f64,
    /// All nodes start at once, until each knows all others.
    pub join: EventDuration,
    /// Quiet traffic.
    pub quiet: Load,
    /// Leases held after it.
    pub owned: usize,
    /// Memory of the process divided by its nodes, in KiB.
    pub memory_kb: u64,
    /// The death of one node.
    pub death: Death,
    /// All nodes change their settings, until all know of each other's.
    pub settings: EventDuration,
    /// The partition, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<Partition>,
    /// The rolling restart, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rolling: Option<RollingRestart>,
    /// The balance of datagrams.
    pub accounts: DatagramBalance,
    /// Conditions that were not met within the patience.
    pub failed: Vec<String>,
}

/// Milliseconds of an event, if all nodes observed it.
fn cell_ms(ms: Option<u64>) -> String {
    ms.map_or_else(|| "not reached".to_owned(), |ms| ms.to_string())
}

fn cell_bytes(rate: &Rate) -> String {
    format!("{:.0} + {:.0}", rate.sent_bytes, rate.received_bytes)
}

impl Partition {
    fn cell(&self) -> String {
        cell_ms(self.healed.all_ms)
    }
}

impl RollingRestart {
    /// The longest restart, if all were observed.
    fn cell(&self) -> String {
        let all: Option<Vec<u64>> = self.each_ms.iter().copied().collect();
        cell_ms(all.and_then(|all| all.into_iter().max()))
    }
}

/// What a cell shows where the plan has no such event.
fn no_event() -> String {
    "-".to_owned()
}

impl Figures {
    fn row(&self) -> [String; 17] {
        let quiet = &self.quiet;
        [
            format!("{}x{}", self.managers, self.engines),
            self.seed.to_string(),
            self.overloaded.to_string(),
            format!("{:.1}", self.latest_wake_ms),
            cell_ms(self.join.all_ms),
            format!("{}, {}", cell_bytes(&quiet.mean), cell_bytes(&quiet.worst)),
            format!(
                "{}, {}",
                cell_bytes(&quiet.voter_mean),
                cell_bytes(&quiet.voter_worst)
            ),
            format!("{:.1}", quiet.mean.datagrams),
            format!(
                "{:.2}, {:.2}, {:.2}",
                quiet.processor_percent, quiet.worst.busy_percent, quiet.voter_worst.busy_percent
            ),
            format!("{:.1}", self.memory_kb as f64 / 1024.0),
            cell_ms(self.death.dead.all_ms),
            format!("{} ({})", cell_ms(self.death.owners_ms), self.death.duties),
            cell_ms(self.settings.all_ms),
            self.cut.as_ref().map_or_else(no_event, Partition::cell),
            self.rolling
                .as_ref()
                .map_or_else(no_event, RollingRestart::cell),
            self.accounts.shut_outs.to_string(),
            self.accounts.missing.to_string(),
        ]
    }
}

/// The figures as a table, with a row for each run.
pub fn table(runs: &[Figures]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "managers x engines",
        "seed",
        "overloaded",
        "late ms",
        "join ms",
        "sent + received B/s: mean, worst",
        "voter: mean, worst",
        "datagrams/s",
        "% of a core: process, worst turns, worst voter",
        "MB",
        "dead ms",
        "owners ms (duties)",
        "settings ms",
        "heal ms",
        "restart ms, worst",
        "shut out",
        "missing",
    ]);
    for figures in runs {
        table.add_row(figures.row());
    }
    table.to_string()
}
