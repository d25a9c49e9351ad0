//! The measurements of a run with a fleet of hollow nodes, as JSON and as a table.
use super::fleet::Plan;
use super::hollow_node::NodeReading;
use crate::net::fleet::traffic::{Flow, TrafficCounts};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;
use std::time::Duration;

/// Wake-up delay of a thread, in milliseconds, from which the machine is considered too slow to run
/// the fleet in real time.
pub const MAX_WAKE_DELAY_MS: f64 = 20.0;

/// Traffic of one node per second, with the headers of IP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct NodeTraffic {
    /// Bytes sent.
    pub sent_bytes: f64,
    /// Bytes received.
    pub received_bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// Bytes of lease messages, sent and received.
    #[serde(rename = "duties_bytes")]
    pub lease_bytes: f64,
    /// Time that the node's actors ran, in percent of a core, by the clock.
    pub busy_percent: f64,
}

/// Traffic and processor time of the fleet over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetLoad {
    /// Length of the interval, in seconds.
    pub seconds: f64,
    /// Mean over all nodes.
    pub mean: NodeTraffic,
    /// Maximum of each value over all nodes.
    pub worst: NodeTraffic,
    /// Mean over the voters.
    pub voter_mean: NodeTraffic,
    /// Maximum of each value over the voters.
    pub voter_worst: NodeTraffic,
    /// Processor time of the whole process divided by its nodes, in percent of a core.
    pub processor_percent: f64,
    /// Probes of engines, per second and node.
    pub probes: f64,
    /// The largest wake-up delay of a thread, in milliseconds.
    #[serde(rename = "latest_wake_ms")]
    pub max_wake_delay_ms: f64,
}

/// The readings from which a [`FleetLoad`] is computed.
pub struct LoadSample<'a> {
    /// The readings of all nodes at the start of the interval.
    pub earlier: &'a [NodeReading],
    /// The readings of all nodes at the end of the interval.
    pub later: &'a [NodeReading],
    /// The length of the interval.
    pub duration: Duration,
    /// Processor time of the process during the interval.
    pub processor_time: Duration,
    /// The largest wake-up delay of a thread during the interval, in milliseconds.
    pub max_wake_delay_ms: f64,
}

impl NodeTraffic {
    /// Returns the traffic of one node between two readings that are `seconds` apart.
    fn between(seconds: f64, earlier: &NodeReading, later: &NodeReading) -> NodeTraffic {
        let counts = later.counts.since(&earlier.counts);
        let busy = later.busy.saturating_sub(earlier.busy);
        let per_s = |n: u64| n as f64 / seconds;
        let lease_traffic: Flow = counts.lease_sent.plus(counts.lease_received);
        NodeTraffic {
            sent_bytes: per_s(counts.sent().wire_bytes()),
            received_bytes: per_s(counts.received().wire_bytes()),
            datagrams: per_s(counts.sent().plus(counts.received()).datagrams),
            lease_bytes: per_s(lease_traffic.wire_bytes()),
            busy_percent: busy.as_secs_f64() / seconds * 100.0,
        }
    }

    /// Combines each value of several nodes' traffic with the same function.
    fn combine(rates: &[NodeTraffic], combine: impl Fn(&[f64]) -> f64) -> NodeTraffic {
        let combined = |value: fn(&NodeTraffic) -> f64| {
            let values: Vec<f64> = rates.iter().map(value).collect();
            combine(&values)
        };
        NodeTraffic {
            sent_bytes: combined(|rate| rate.sent_bytes),
            received_bytes: combined(|rate| rate.received_bytes),
            datagrams: combined(|rate| rate.datagrams),
            lease_bytes: combined(|rate| rate.lease_bytes),
            busy_percent: combined(|rate| rate.busy_percent),
        }
    }

    fn mean(rates: &[NodeTraffic]) -> NodeTraffic {
        let count = rates.len().max(1) as f64;
        NodeTraffic::combine(rates, |values| values.iter().sum::<f64>() / count)
    }

    fn max(rates: &[NodeTraffic]) -> NodeTraffic {
        NodeTraffic::combine(rates, |values| values.iter().copied().fold(0.0, f64::max))
    }
}

impl FleetLoad {
    /// Computes the load between the two readings of a sample.
    pub fn of(plan: &Plan, sample: &LoadSample<'_>) -> FleetLoad {
        let seconds = sample.duration.as_secs_f64().max(1e-3);
        let nodes = plan.managers as f64;
        let rates: Vec<NodeTraffic> = sample
            .earlier
            .iter()
            .zip(sample.later)
            .map(|(earlier, later)| NodeTraffic::between(seconds, earlier, later))
            .collect();
        let voter_rates: Vec<NodeTraffic> = plan
            .voter_nodes()
            .into_iter()
            .filter_map(|node| rates.get(node).copied())
            .collect();
        let probes = |readings: &[NodeReading]| {
            let probes = readings.iter().map(|reading| reading.probes);
            probes.sum::<u64>() as f64
        };
        FleetLoad {
            seconds,
            mean: NodeTraffic::mean(&rates),
            worst: NodeTraffic::max(&rates),
            voter_mean: NodeTraffic::mean(&voter_rates),
            voter_worst: NodeTraffic::max(&voter_rates),
            processor_percent: sample.processor_time.as_secs_f64() / seconds / nodes * 100.0,
            probes: (probes(sample.later) - probes(sample.earlier)) / seconds / nodes,
            max_wake_delay_ms: sample.max_wake_delay_ms,
        }
    }
}

/// The time from an event until the nodes had observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EventDuration {
    /// Time until all nodes had observed it, in milliseconds; `None` if not all did within the
    /// event timeout.
    pub all_ms: Option<u64>,
    /// Time until half of those nodes had observed it that did so within the timeout, in
    /// milliseconds.
    pub half_ms: u64,
    /// Number of nodes that observed it.
    #[serde(rename = "had")]
    pub observed: usize,
    /// Number of nodes that should observe it.
    #[serde(rename = "asked")]
    pub expected: usize,
    /// The largest wake-up delay of a thread during this time, in milliseconds.
    #[serde(rename = "latest_wake_ms")]
    pub max_wake_delay_ms: f64,
}

/// The failure of one node: it is suspended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeFailure {
    /// Member name of the node.
    pub manager: String,
    /// Time until all others considered it dead.
    pub dead: EventDuration,
    /// Number of leases that it held.
    #[serde(rename = "duties")]
    pub leases: usize,
    /// Time from its suspension until each of these leases had another holder, in milliseconds;
    /// `None` if not all of them had one within the event timeout.
    pub owners_ms: Option<u64>,
}

/// A partition of a third of the nodes, and its healing.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Partition {
    /// Duration of the partition, in seconds.
    pub seconds: f64,
    /// Traffic during the partition.
    pub during: FleetLoad,
    /// Number of others that a node considered alive at the end of the partition: minimum and
    /// maximum.
    pub alive: (usize, usize),
    /// Time until all nodes considered each other alive again.
    pub healed: EventDuration,
    /// Traffic from the healing until all nodes considered each other alive and the settling time
    /// had passed.
    pub after: FleetLoad,
}

/// Nodes restarted one after the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RollingRestart {
    /// Time of each restart until all others had observed it and the node had observed all others,
    /// in milliseconds; `None` if that took longer than the event timeout.
    pub each_ms: Vec<Option<u64>>,
    /// The largest wake-up delay of a thread during this time, in milliseconds.
    #[serde(rename = "latest_wake_ms")]
    pub max_wake_delay_ms: f64,
}

/// Compares the datagrams that were sent over the whole run with those that were received, blocked,
/// unread or lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramBalance {
    /// Sum of the counts of all nodes.
    pub counts: TrafficCounts,
    /// Datagrams that were unread in the nodes' sockets when their incarnations ended.
    pub unread: Flow,
    /// Datagrams that sockets dropped because their buffers were full.
    pub lost: u64,
    /// Datagrams sent that were neither received, blocked, unread nor lost: 0 if only hollow nodes
    /// take part and nothing is lost elsewhere.
    pub missing: i64,
    /// Datagrams received that nodes dropped because they were invalid.
    pub dropped: u64,
    /// How often a node would have reloaded its configuration because it was outdated: behind the
    /// majority.
    pub reloads: u64,
    /// How often a node excluded itself because it was outdated: behind the majority.
    #[serde(rename = "shut_outs")]
    pub exclusions: u64,
}

impl DatagramBalance {
    /// Computes the balance from the last readings of all nodes; `lost` is the number of datagrams
    /// that their sockets dropped.
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
            balance.exclusions += reading.exclusions;
        }
        let counts = &balance.counts;
        let accounted = counts
            .received()
            .plus(counts.blocked)
            .plus(balance.unread)
            .datagrams
            + lost;
        balance.missing = counts.sent().datagrams as i64 - accounted as i64;
        balance
    }
}

/// All measurements of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetMeasurements {
    /// Number of hollow nodes, each in place of a manager.
    pub managers: usize,
    /// Number of engines whose loads the nodes request.
    pub engines: u64,
    /// Number of voters among the nodes.
    pub voters: usize,
    /// Load requests for engines, per second and node.
    #[serde(rename = "wants")]
    pub load_requests_per_s: f64,
    /// The seed of the run's own choices; the nodes' own seeds are the times of their starts, as a
    /// daemon's are.
    pub seed: u64,
    /// Number of threads.
    pub threads: usize,
    /// Seconds between the start and quiet traffic, and after each disturbance.
    pub settle_seconds: f64,
    /// Whether the nodes published their leases, as daemons with an admin endpoint do.
    #[serde(rename = "console")]
    pub admin_enabled: bool,
    /// Whether the wake-up delay of a thread reached [`MAX_WAKE_DELAY_MS`]: the machine is too slow
    /// for the run, and the measurements are invalid.
    pub overloaded: bool,
    /// The largest wake-up delay of a thread over the run, in milliseconds.
    #[serde(rename = "latest_wake_ms")]
    pub max_wake_delay_ms: f64,
    /// All nodes start at once: time until each considers all others alive.
    pub join: EventDuration,
    /// Traffic while no event happens.
    pub quiet: FleetLoad,
    /// Number of leases that were held after the measurement of quiet traffic.
    pub owned: usize,
    /// Memory of the process divided by its nodes, in KiB.
    #[serde(rename = "memory_kb")]
    pub memory_kib: u64,
    /// The failure of one node.
    pub death: NodeFailure,
    /// All nodes change their settings: time until each has observed the change of all others.
    pub settings: EventDuration,
    /// The partition, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cut")]
    pub partition: Option<Partition>,
    /// The rolling restart, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rolling: Option<RollingRestart>,
    /// The balance of datagrams.
    #[serde(rename = "accounts")]
    pub datagram_balance: DatagramBalance,
    /// Conditions that were not met within the event timeout.
    pub failed: Vec<String>,
}

/// Formats the milliseconds of an event, if all nodes observed it.
fn cell_ms(ms: Option<u64>) -> String {
    ms.map_or_else(|| "not reached".to_owned(), |ms| ms.to_string())
}

fn cell_bytes(rate: &NodeTraffic) -> String {
    format!("{:.0} + {:.0}", rate.sent_bytes, rate.received_bytes)
}

impl Partition {
    fn cell(&self) -> String {
        cell_ms(self.healed.all_ms)
    }
}

impl RollingRestart {
    /// Formats the longest restart, if all were observed.
    fn cell(&self) -> String {
        let all: Option<Vec<u64>> = self.each_ms.iter().copied().collect();
        cell_ms(all.and_then(|all| all.into_iter().max()))
    }
}

/// Returns the text of a cell whose event is not part of the plan.
fn no_event() -> String {
    "-".to_owned()
}

impl FleetMeasurements {
    fn row(&self) -> [String; 17] {
        let quiet = &self.quiet;
        [
            format!("{}x{}", self.managers, self.engines),
            self.seed.to_string(),
            self.overloaded.to_string(),
            format!("{:.1}", self.max_wake_delay_ms),
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
            format!("{:.1}", self.memory_kib as f64 / 1024.0),
            cell_ms(self.death.dead.all_ms),
            format!("{} ({})", cell_ms(self.death.owners_ms), self.death.leases),
            cell_ms(self.settings.all_ms),
            self.partition
                .as_ref()
                .map_or_else(no_event, Partition::cell),
            self.rolling
                .as_ref()
                .map_or_else(no_event, RollingRestart::cell),
            self.datagram_balance.exclusions.to_string(),
            self.datagram_balance.missing.to_string(),
        ]
    }
}

/// Formats the measurements as a table, with a row for each run.
pub fn table(runs: &[FleetMeasurements]) -> String {
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
    for measurements in runs {
        table.add_row(measurements.row());
    }
    table.to_string()
}
