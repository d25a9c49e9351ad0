//! The figures of a run, as JSON and as a table.
use super::fleet::Plan;
use super::hollow::Reading;
use crate::net::fleet::traffic::{Flow, TrafficCounts};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;
use std::time::Duration;

/// A wake later than this means that the machine can't bear the run in real time, in milliseconds.
pub const MOST_LATE_MS: f64 = 20.0;

/// Traffic of one manager, a second, with the headers of IP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rate {
    /// Bytes sent.
    pub sent_bytes: f64,
    /// Bytes received.
    pub received_bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// Of the bytes both ways, those of duties.
    pub duties_bytes: f64,
    /// How long its turns took, in percent of a core, by the clock.
    pub busy_percent: f64,
}

/// Traffic of the fleet over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    /// How long it was counted, in seconds.
    pub seconds: f64,
    /// All managers on the mean.
    pub mean: Rate,
    /// The most of each figure at any one manager.
    pub worst: Rate,
    /// The voters on the mean.
    pub voter_mean: Rate,
    /// The most of each figure at any one voter.
    pub voter_worst: Rate,
    /// Processor time of the whole process over its managers, in percent of a core.
    pub processor_percent: f64,
    /// Probes of engines a second and manager.
    pub probes: f64,
    /// The latest wake of a thread, in milliseconds.
    pub latest_wake_ms: f64,
}

fn rate(seconds: f64, earlier: &Reading, later: &Reading) -> Rate {
    let counts = later.counts.since(&earlier.counts);
    let each = |n: u64| n as f64 / seconds;
    let duties: Flow = counts.lease_sent.plus(counts.lease_received);
    Rate {
        sent_bytes: each(counts.sent().wire_bytes()),
        received_bytes: each(counts.received().wire_bytes()),
        datagrams: each(counts.sent().plus(counts.received()).datagrams),
        duties_bytes: each(duties.wire_bytes()),
        busy_percent: later.busy.saturating_sub(earlier.busy).as_secs_f64() / seconds * 100.0,
    }
}

fn each(rates: &[Rate], with: impl Fn(&mut dyn Iterator<Item = f64>) -> f64) -> Rate {
    let of = |field: fn(&Rate) -> f64| with(&mut rates.iter().map(field));
    Rate {
        sent_bytes: of(|r| r.sent_bytes),
        received_bytes: of(|r| r.received_bytes),
        datagrams: of(|r| r.datagrams),
        duties_bytes: of(|r| r.duties_bytes),
        busy_percent: of(|r| r.busy_percent),
    }
}

impl Load {
    /// Between two readings of all managers so long apart.
    pub fn between(
        plan: &Plan,
        (earlier, later): (&[Reading], &[Reading]),
        time: Duration,
        processor: Duration,
        latest_wake_ms: f64,
    ) -> Load {
        let seconds = time.as_secs_f64().max(1e-3);
        let all: Vec<Rate> = earlier
            .iter()
            .zip(later)
            .map(|(e, l)| rate(seconds, e, l))
            .collect();
        let voters: Vec<Rate> = plan
            .voting()
            .into_iter()
            .filter_map(|who| all.get(who).copied())
            .collect();
        let mean = |rates: &[Rate]| {
            let n = rates.len().max(1) as f64;
            each(rates, |values| values.sum::<f64>() / n)
        };
        let worst = |rates: &[Rate]| each(rates, |values| values.fold(0.0, f64::max));
        let probes = |all: &[Reading]| all.iter().map(|r| r.probes).sum::<u64>() as f64;
        let n = plan.managers as f64;
        Load {
            seconds,
            mean: mean(&all),
            worst: worst(&all),
            voter_mean: mean(&voters),
            voter_worst: worst(&voters),
            processor_percent: processor.as_secs_f64() / seconds / n * 100.0,
            probes: (probes(later) - probes(earlier)) / seconds / n,
            latest_wake_ms,
        }
    }
}

/// How long an event took until all that are asked had seen it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Took {
    /// Until all had, in milliseconds; none: it was not so within the patience.
    pub all_ms: Option<u64>,
    /// Until half of them had, in milliseconds.
    pub half_ms: u64,
    /// How many had.
    pub had: usize,
    /// How many were asked.
    pub asked: usize,
    /// The latest wake of a thread meanwhile, in milliseconds.
    pub latest_wake_ms: f64,
}

/// One manager stopped.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Death {
    /// Which.
    pub manager: String,
    /// Until all others had declared it dead.
    pub dead: Took,
    /// How many duties it owned.
    pub duties: usize,
    /// How long until each of them had another owner, from the stop, in milliseconds.
    pub owners_ms: Option<u64>,
}

/// A region cut off and healed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Cut {
    /// For so many seconds.
    pub seconds: f64,
    /// Traffic while it was cut off.
    pub during: Load,
    /// Others that a manager took for alive at the end of the cut, at the least and at the most.
    pub alive: (usize, usize),
    /// Until each took each for alive again.
    pub healed: Took,
    /// Traffic from the heal on until all agreed and had settled.
    pub after: Load,
}

/// Managers restarted one after the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Rolling {
    /// Until each restart was seen by all others, in milliseconds.
    pub each_ms: Vec<Option<u64>>,
    /// The latest wake of a thread meanwhile, in milliseconds.
    pub latest_wake_ms: f64,
}

/// Whether all that was sent is accounted for, over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Accounts {
    /// The counts of all managers together.
    pub counts: TrafficCounts,
    /// What waited in sockets when managers ended.
    pub unread: Flow,
    /// Datagrams that sockets lost for want of room.
    pub lost: u64,
    /// Datagrams sent that are in none of these: 0 where no others take part and nothing is lost
    /// unseen.
    pub missing: i64,
    /// Datagrams that came and were of no use.
    pub dropped: u64,
    /// How often a manager would have read its configuration again for being behind.
    pub reloads: u64,
    /// How often a manager shut itself out for being behind.
    pub shut_outs: u64,
}

impl Accounts {
    /// Of the last readings of all managers.
    pub fn of(all: &[Reading], lost: u64) -> Accounts {
        let mut accounts = Accounts {
            lost,
            ..Accounts::default()
        };
        for reading in all {
            accounts.counts = accounts.counts.plus(&reading.counts);
            accounts.unread = accounts.unread.plus(reading.unread);
            accounts.dropped += reading.dropped;
            accounts.reloads += reading.reloads;
            accounts.shut_outs += reading.shut_outs;
        }
        let counts = &accounts.counts;
        let found = counts
            .received()
            .plus(counts.blocked)
            .plus(accounts.unread)
            .datagrams
            + lost;
        accounts.missing = counts.sent().datagrams as i64 - found as i64;
        accounts
    }
}

/// All figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Hollow managers.
    pub managers: usize,
    /// Engines whose loads they want.
    pub engines: u64,
    /// Voters among the managers.
    pub voters: usize,
    /// Wants a second and manager.
    pub wants: f64,
    /// The seed of the run's own choices; the managers' own seeds are the times of their starts, as
    /// a daemon's are.
    pub seed: u64,
    /// Threads.
    pub threads: usize,
    /// Seconds that passed between the start and quiet traffic, and after each disturbance.
    pub settle_seconds: f64,
    /// Whether owned duties were put down for a second address.
    pub console: bool,
    /// Whether a thread woke too late: the figures are then those of a machine that is too small.
    pub overloaded: bool,
    /// The latest wake of a thread over the run, in milliseconds.
    pub latest_wake_ms: f64,
    /// All start at once, until each knows each.
    pub join: Took,
    /// Quiet traffic.
    pub quiet: Load,
    /// Duties owned by somebody after it.
    pub owned: usize,
    /// Memory of the process over its managers, in kilobytes.
    pub memory_kb: u64,
    /// One manager stopped.
    pub death: Death,
    /// New settings at all, until all know.
    pub settings: Took,
    /// A region cut off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<Cut>,
    /// Managers restarted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rolling: Option<Rolling>,
    /// The accounts.
    pub accounts: Accounts,
    /// What was not so within the patience.
    pub failed: Vec<String>,
}

fn ms(took: Option<u64>) -> String {
    took.map_or_else(|| "not reached".to_owned(), |ms| ms.to_string())
}

/// The figures as a table, a run a row.
pub fn table(all: &[Figures]) -> String {
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
    let bytes = |r: &Rate| format!("{:.0} + {:.0}", r.sent_bytes, r.received_bytes);
    for f in all {
        let q = &f.quiet;
        let restart = f
            .rolling
            .as_ref()
            .map(|r| match r.each_ms.iter().all(Option::is_some) {
                true => ms(r.each_ms.iter().copied().flatten().max()),
                false => ms(None),
            });
        table.add_row([
            format!("{}x{}", f.managers, f.engines),
            f.seed.to_string(),
            f.overloaded.to_string(),
            format!("{:.1}", f.latest_wake_ms),
            ms(f.join.all_ms),
            format!("{}, {}", bytes(&q.mean), bytes(&q.worst)),
            format!("{}, {}", bytes(&q.voter_mean), bytes(&q.voter_worst)),
            format!("{:.1}", q.mean.datagrams),
            format!(
                "{:.2}, {:.2}, {:.2}",
                q.processor_percent, q.worst.busy_percent, q.voter_worst.busy_percent
            ),
            format!("{:.1}", f.memory_kb as f64 / 1024.0),
            ms(f.death.dead.all_ms),
            format!("{} ({})", ms(f.death.owners_ms), f.death.duties),
            ms(f.settings.all_ms),
            f.cut
                .as_ref()
                .map_or_else(|| "-".into(), |cut| ms(cut.healed.all_ms)),
            restart.unwrap_or_else(|| "-".into()),
            f.accounts.shut_outs.to_string(),
            f.accounts.missing.to_string(),
        ]);
    }
    table.to_string()
}
