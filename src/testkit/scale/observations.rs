//! The observations of the hollow nodes and their times. The nodes' threads record them, and the
//! thread that drives the run reads them.
use crate::lease::FencingToken;
use crate::membership::MemberState;
use crate::net::fleet::membership::FleetView;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// A condition on a node's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition: the nodes' views are not examined.
    None,
    /// At least this many other members are alive.
    OthersAlive(usize),
    /// The member of this name is dead.
    Dead(String),
    /// All members whose state is neither dead nor left have active settings with this hash.
    Settings(u64),
    /// The member of this name is alive in an incarnation that began at this time, in microseconds,
    /// or later.
    Restarted(String, u64),
}

impl Condition {
    /// Returns whether the condition is met in one node's view.
    pub fn is_met(&self, view: &FleetView) -> bool {
        let mut rows = view.members.iter();
        match self {
            Condition::None => false,
            Condition::OthersAlive(count) => {
                rows.filter(|row| !row.is_self && row.update.state == MemberState::Alive)
                    .count()
                    >= *count
            }
            Condition::Dead(name) => {
                rows.any(|r| r.update.name == *name && r.update.state == MemberState::Dead)
            }
            Condition::Settings(hash) => rows.all(|row| {
                matches!(row.update.state, MemberState::Dead | MemberState::Left)
                    || row.update.versions.settings == *hash
            }),
            Condition::Restarted(name, since) => rows.any(|r| {
                r.update.name == *name
                    && r.update.incarnation >= *since
                    && r.update.state == MemberState::Alive
            }),
        }
    }
}

/// The node that holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node's number.
    pub node: usize,
    /// The fencing token of the lease.
    pub token: FencingToken,
    /// When the node acquired the lease, in milliseconds since the start of the run.
    pub since_ms: u64,
}

/// The number of nodes at which a condition is met, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionProgress {
    /// Number of nodes at which it is met now.
    pub met: usize,
    /// Number of nodes that should meet it.
    pub total: usize,
    /// Time at which half of the nodes that meet it had met it, in milliseconds since the start of
    /// the run.
    pub median_ms: u64,
    /// Time at which the last of these nodes met it, in milliseconds since the start of the run.
    pub last_ms: u64,
}

impl ConditionProgress {
    /// Returns whether the condition is met at all nodes that should meet it.
    pub fn is_complete(&self) -> bool {
        self.met == self.total
    }
}

/// Number of low bits of a [`PackedMetTime`] that hold the time.
const TIME_BITS: u32 = 40;

/// The time since which a node meets a condition, packed into one integer that is stored
/// atomically. The high bits hold the condition's number, so that observations of an earlier
/// condition are ignored, and the low bits hold the time in milliseconds plus one. 0 if the
/// condition is not met.
#[derive(Clone, Copy)]
struct PackedMetTime(u64);

impl PackedMetTime {
    const NOT_MET: PackedMetTime = PackedMetTime(0);

    fn new(condition: u64, at_ms: u64) -> PackedMetTime {
        PackedMetTime(condition << TIME_BITS | (at_ms + 1))
    }

    /// Returns the time in milliseconds, if it was recorded for this condition.
    fn time_ms(self, condition: u64) -> Option<u64> {
        let is_met = self.0 != 0 && self.0 >> TIME_BITS == condition;
        is_met.then(|| (self.0 & ((1 << TIME_BITS) - 1)) - 1)
    }
}

/// The observations of all nodes.
pub struct Observations {
    started: Instant,
    /// A [`PackedMetTime`] for each node.
    met_times: Vec<AtomicU64>,
    /// Lease holders by the engine's number.
    holders: Mutex<BTreeMap<u64, LeaseHolder>>,
    /// The largest wake-up delay of each thread since the last reset, in microseconds.
    wake_delays_us: Vec<AtomicU64>,
}

impl Observations {
    /// Creates the observations of this many nodes on this many threads. The time of the run starts
    /// now.
    pub fn new(nodes: usize, threads: usize) -> Observations {
        let zeros = |count| (0..count).map(|_| AtomicU64::new(0)).collect();
        Observations {
            started: Instant::now(),
            met_times: zeros(nodes),
            holders: Mutex::default(),
            wake_delays_us: zeros(threads),
        }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records whether a node meets the condition with this number. While it stays met, the time of
    /// the first record is kept.
    pub fn record_condition(&self, node: usize, condition: u64, is_met: bool) {
        let recorded = PackedMetTime(self.met_times[node].load(Ordering::Relaxed));
        let was_met = recorded.time_ms(condition).is_some();
        if was_met != is_met {
            let next = if is_met {
                PackedMetTime::new(condition, self.now_ms())
            } else {
                PackedMetTime::NOT_MET
            };
            self.met_times[node].store(next.0, Ordering::Relaxed);
        }
    }

    /// Returns at how many of these nodes the condition with this number is met.
    pub fn progress(&self, condition: u64, nodes: &[usize]) -> ConditionProgress {
        let mut times_ms: Vec<u64> = nodes
            .iter()
            .map(|node| PackedMetTime(self.met_times[*node].load(Ordering::Relaxed)))
            .filter_map(|met| met.time_ms(condition))
            .collect();
        times_ms.sort_unstable();
        ConditionProgress {
            met: times_ms.len(),
            total: nodes.len(),
            median_ms: times_ms.get(times_ms.len() / 2).copied().unwrap_or(0),
            last_ms: times_ms.last().copied().unwrap_or(0),
        }
    }

    /// Records that a node acquired an engine's lease with this token, or lost it.
    pub fn record_lease(&self, node: usize, engine: u64, token: FencingToken, is_held: bool) {
        let since_ms = self.now_ms();
        let Ok(mut holders) = self.holders.lock() else {
            return;
        };
        if is_held {
            let acquired = LeaseHolder {
                node,
                token,
                since_ms,
            };
            let holder = holders.entry(engine).or_insert(acquired);
            if token > holder.token {
                *holder = acquired;
            }
        } else if holders
            .get(&engine)
            .is_some_and(|holder| holder.node == node && holder.token == token)
        {
            holders.remove(&engine);
        }
    }

    /// Returns the holders of all leases, by the engines' numbers.
    pub fn lease_holders(&self) -> BTreeMap<u64, LeaseHolder> {
        self.holders
            .lock()
            .map(|holders| holders.clone())
            .unwrap_or_default()
    }

    /// Records the wake-up delay of a thread, in microseconds.
    pub fn record_wake_delay(&self, thread: usize, delay_us: u64) {
        self.wake_delays_us[thread].fetch_max(delay_us, Ordering::Relaxed);
    }

    /// Returns the largest wake-up delay of all threads since the last call, in microseconds, and
    /// resets it.
    pub fn take_max_wake_delay_us(&self) -> u64 {
        self.wake_delays_us
            .iter()
            .map(|delay| delay.swap(0, Ordering::Relaxed))
            .max()
            .unwrap_or(0)
    }

    /// Returns the largest wake-up delay of all threads since the last reset, in microseconds.
    pub fn max_wake_delay_us(&self) -> u64 {
        self.wake_delays_us
            .iter()
            .map(|delay| delay.load(Ordering::Relaxed))
            .max()
            .unwrap_or(0)
    }
}
