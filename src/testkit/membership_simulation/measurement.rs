//! Measures simulated fleets: the time to join, to disseminate an update and to detect a failure,
//! the traffic, and the false positives under packet loss.
use super::{SimulatedFleet, member_name};
use crate::clock::{MS, Micros, SEC};
use crate::membership::{MemberState, Timing, bandwidth_budget, detection_bound};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;
use std::collections::BTreeSet;

/// The timeout of each phase of the measurement.
const PHASE_TIMEOUT: Micros = 300 * SEC;
/// How long the fleet runs after it has converged, so that the gossip about joining members ends.
const SETTLING_TIME: Micros = 60 * SEC;
/// How long the fleet runs after the dissemination and after each failure.
const RECOVERY_TIME: Micros = 30 * SEC;
/// The duration over which the traffic without failures is measured.
const IDLE_TRAFFIC_TIME: Micros = 30 * SEC;
/// The duration under packet loss over which false positives are counted.
const LOSS_TIME: Micros = 60 * SEC;
/// The probability that a datagram is lost during that time.
const LOSS: f64 = 0.2;
/// The resolution at which the times to join and to detect a failure are measured.
const COARSE_STEP: Micros = 100 * MS;
/// The resolution at which the dissemination time is measured.
const FINE_STEP: Micros = 10 * MS;

/// Bytes sent per second by a manager.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct TrafficRate {
    /// The mean over all running managers.
    pub mean: f64,
    /// The rate of the manager that sends the most.
    pub max: f64,
}

impl From<TrafficRate> for (f64, f64) {
    fn from(rate: TrafficRate) -> (f64, f64) {
        (rate.mean, rate.max)
    }
}

impl TrafficRate {
    fn max(self, other: TrafficRate) -> TrafficRate {
        TrafficRate {
            mean: self.mean.max(other.mean),
            max: self.max.max(other.max),
        }
    }
}

/// Seconds until the running members have declared a stopped manager dead.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(f64, f64, f64)")]
pub struct DetectionTimes {
    /// Until the first member has.
    pub first: f64,
    /// Until half of the members have.
    pub median: f64,
    /// Until all members have.
    pub last: f64,
}

impl From<DetectionTimes> for (f64, f64, f64) {
    fn from(times: DetectionTimes) -> (f64, f64, f64) {
        (times.first, times.median, times.last)
    }
}

impl DetectionTimes {
    fn max(self, other: DetectionTimes) -> DetectionTimes {
        DetectionTimes {
            first: self.first.max(other.first),
            median: self.median.max(other.median),
            last: self.last.max(other.last),
        }
    }
}

/// Seconds until the other members have received an update.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct DisseminationTimes {
    /// Until half of the members have.
    pub median: f64,
    /// Until all members have.
    pub last: f64,
}

impl From<DisseminationTimes> for (f64, f64) {
    fn from(times: DisseminationTimes) -> (f64, f64) {
        (times.median, times.last)
    }
}

/// The measurements of one fleet; times are seconds of the simulated clock.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipMeasurements {
    /// The number of managers.
    pub members: usize,
    /// The time from the start until every manager lists every other one as alive.
    #[serde(rename = "joined_s")]
    pub join_seconds: f64,
    /// The traffic without failures.
    #[serde(rename = "quiet")]
    pub idle_traffic: TrafficRate,
    /// The upper limit on the mean idle traffic, in bytes per second.
    #[serde(rename = "budget")]
    pub traffic_budget: u64,
    /// The traffic while a failure is detected: the maximum over all failures.
    #[serde(rename = "busy")]
    pub failure_traffic: TrafficRate,
    /// The time to detect a failure: the maximum over all failures.
    #[serde(rename = "found_s")]
    pub detection_seconds: DetectionTimes,
    /// The upper limit on the time until the last member has detected a failure.
    #[serde(rename = "bound_s")]
    pub detection_bound_seconds: f64,
    /// The time to disseminate new settings.
    #[serde(rename = "spread_s")]
    pub dissemination_seconds: DisseminationTimes,
    /// The number of running managers that were declared dead during a minute of packet loss.
    pub false_deaths: usize,
}

/// A phase of the measurement timed out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SimulationError {
    /// Not every manager lists every other one as alive.
    #[error("{members} managers have not discovered each other after {seconds} s")]
    NotJoined {
        /// The number of managers.
        members: usize,
        /// The timeout in seconds.
        seconds: f64,
    },
    /// An update did not reach all managers.
    #[error("only {reached} of {members} managers received the new settings in time")]
    NotDisseminated {
        /// The number of managers.
        members: usize,
        /// The number of other managers that have received the update.
        reached: usize,
    },
    /// Not all running managers declared a stopped one dead.
    #[error("only {observers} of {members} managers declared the stopped one dead in time")]
    NotDetected {
        /// The number of managers.
        members: usize,
        /// The number of managers that have declared it dead.
        observers: usize,
    },
}

/// Measures a fleet of `members` managers: its start, its traffic, the dissemination of new
/// settings, the failures of `stops` managers one after the other, and a minute of packet loss.
///
/// # Errors
/// A phase timed out.
pub fn measure(
    members: usize,
    timing: &Timing,
    stops: usize,
    seed: u64,
) -> Result<MembershipMeasurements, SimulationError> {
    let mut fleet = SimulatedFleet::new(members, timing, seed);
    let join_seconds = measure_join(&mut fleet)?;
    fleet.run(SETTLING_TIME);
    let idle_traffic = measure_traffic(&mut fleet, IDLE_TRAFFIC_TIME);
    let dissemination_seconds = measure_dissemination(&mut fleet)?;
    fleet.run(RECOVERY_TIME);
    let detection_bound = detection_bound(timing, members);
    let failures = measure_failures(&mut fleet, stops, detection_bound)?;
    let false_deaths = count_false_deaths(&mut fleet);
    Ok(MembershipMeasurements {
        members,
        join_seconds,
        idle_traffic,
        traffic_budget: bandwidth_budget(timing),
        failure_traffic: failures.traffic,
        detection_seconds: failures.detection_seconds,
        detection_bound_seconds: seconds(detection_bound),
        dissemination_seconds,
        false_deaths,
    })
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SEC as f64
}

fn measure_join(fleet: &mut SimulatedFleet) -> Result<f64, SimulationError> {
    while !fleet.has_converged() {
        if fleet.now > PHASE_TIMEOUT {
            return Err(SimulationError::NotJoined {
                members: fleet.nodes.len(),
                seconds: seconds(PHASE_TIMEOUT),
            });
        }
        fleet.run(COARSE_STEP);
    }
    Ok(seconds(fleet.now))
}

/// Runs the fleet for `span` and returns the traffic of the running managers.
fn measure_traffic(fleet: &mut SimulatedFleet, span: Micros) -> TrafficRate {
    let before = fleet.sent_bytes.clone();
    fleet.run(span);
    let rates: Vec<f64> = (0..before.len())
        .filter(|node| fleet.is_running(*node))
        .map(|node| (fleet.sent_bytes[node] - before[node]) as f64 / seconds(span))
        .collect();
    TrafficRate {
        mean: rates.iter().sum::<f64>() / rates.len() as f64,
        max: rates.iter().copied().fold(0.0, f64::max),
    }
}

/// Updates the settings of one manager and waits until all others have received the update.
fn measure_dissemination(
    fleet: &mut SimulatedFleet,
) -> Result<DisseminationTimes, SimulationError> {
    let members = fleet.nodes.len();
    let (changed, start) = (members / 2, fleet.now);
    let mut versions = fleet.nodes[changed].me().versions.clone();
    versions.generation += 1;
    let generation = versions.generation;
    fleet.nodes[changed].set_versions(versions);
    let mut times: Vec<Micros> = Vec::new();
    while times.len() < members - 1 && fleet.now < start + PHASE_TIMEOUT {
        fleet.run(FINE_STEP);
        let reached = count_updated(fleet, changed, generation);
        times.resize(reached, fleet.now - start);
    }
    if times.len() < members - 1 {
        return Err(SimulationError::NotDisseminated {
            members,
            reached: times.len(),
        });
    }
    Ok(DisseminationTimes {
        median: seconds(times[times.len() / 2]),
        last: seconds(times[times.len() - 1]),
    })
}

/// The number of other managers that have received this settings generation of `changed`.
fn count_updated(fleet: &SimulatedFleet, changed: usize, generation: u64) -> usize {
    let name = member_name(changed);
    fleet
        .nodes
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != changed)
        .filter_map(|(_, node)| node.members().get(&name))
        .filter(|member| member.update.versions.generation == generation)
        .count()
}

#[derive(Default)]
struct FailureMeasurements {
    traffic: TrafficRate,
    detection_seconds: DetectionTimes,
}

/// Stops managers one after the other, at most a third of them, and returns the maximum of each
/// measurement.
fn measure_failures(
    fleet: &mut SimulatedFleet,
    stops: usize,
    detection_bound: Micros,
) -> Result<FailureMeasurements, SimulationError> {
    let members = fleet.nodes.len();
    let mut maxima = FailureMeasurements::default();
    for already_stopped in 0..stops.min(members / 3) {
        let stopped = 1 + already_stopped * (members - 1) / stops;
        let start = fleet.now;
        fleet.pause(stopped);
        let traffic = measure_traffic(fleet, detection_bound);
        maxima.traffic = maxima.traffic.max(traffic);
        let observers = members - 1 - already_stopped;
        let detection = measure_detection(fleet, stopped, observers, start)?;
        maxima.detection_seconds = maxima.detection_seconds.max(detection);
        fleet.run(RECOVERY_TIME);
    }
    Ok(maxima)
}

/// Waits until `observers` managers have declared dead the manager that was stopped at `start`.
fn measure_detection(
    fleet: &mut SimulatedFleet,
    stopped: usize,
    observers: usize,
    start: Micros,
) -> Result<DetectionTimes, SimulationError> {
    while fleet.death_reports(stopped, start).len() < observers && fleet.now < start + PHASE_TIMEOUT
    {
        fleet.run(COARSE_STEP);
    }
    let mut times: Vec<f64> = fleet
        .death_reports(stopped, start)
        .iter()
        .map(|report| seconds(report.at - start))
        .collect();
    if times.len() < observers {
        return Err(SimulationError::NotDetected {
            members: fleet.nodes.len(),
            observers: times.len(),
        });
    }
    times.sort_by(f64::total_cmp);
    Ok(DetectionTimes {
        first: times[0],
        median: times[times.len() / 2],
        last: times[times.len() - 1],
    })
}

/// Runs the fleet under packet loss and counts the running managers that any other declared dead.
fn count_false_deaths(fleet: &mut SimulatedFleet) -> usize {
    let start = fleet.now;
    fleet.loss = LOSS;
    fleet.run(LOSS_TIME);
    let running: BTreeSet<String> = (0..fleet.nodes.len())
        .filter(|node| fleet.is_running(*node))
        .map(member_name)
        .collect();
    let falsely_dead: BTreeSet<&str> = fleet
        .changes
        .iter()
        .filter(|change| change.at >= start && change.state == MemberState::Dead)
        .filter(|change| running.contains(&change.member))
        .map(|change| change.member.as_str())
        .collect();
    falsely_dead.len()
}

/// Formats the measurements as a Markdown table.
pub fn table(measurements: &[MembershipMeasurements]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "managers",
        "joined s",
        "found dead s: first",
        "half",
        "all",
        "bound",
        "settings known s: half",
        "all",
        "bytes/s quiet: mean",
        "most",
        "one dead: mean",
        "most",
        "budget",
        "false deaths",
    ]);
    for fleet in measurements {
        table.add_row(table_row(fleet));
    }
    table.to_string()
}

fn table_row(fleet: &MembershipMeasurements) -> Vec<String> {
    let times = [
        fleet.join_seconds,
        fleet.detection_seconds.first,
        fleet.detection_seconds.median,
        fleet.detection_seconds.last,
        fleet.detection_bound_seconds,
        fleet.dissemination_seconds.median,
        fleet.dissemination_seconds.last,
    ];
    let rates = [
        fleet.idle_traffic.mean,
        fleet.idle_traffic.max,
        fleet.failure_traffic.mean,
        fleet.failure_traffic.max,
    ];
    let mut row = vec![fleet.members.to_string()];
    row.extend(times.map(|time| format!("{time:.1}")));
    row.extend(rates.map(|rate| format!("{rate:.0}")));
    row.push(fleet.traffic_budget.to_string());
    row.push(fleet.false_deaths.to_string());
    row
}
