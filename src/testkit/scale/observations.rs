//! What the hollow managers of all threads saw, and when: written by their threads, read by the one
//! that drives the run.
use crate::lease::FencingToken;
use crate::membership::MemberState;
use crate::net::fleet::membership::FleetView;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// What each hollow manager is to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Goal {
    /// Nothing is waited for, and nothing is looked at.
    Idle,
    /// So many others are alive.
    Alive(usize),
    /// That one is dead.
    Dead(String),
    /// All that live act on settings of that hash.
    Settings(u64),
    /// That one is alive in a life that began at this time or later, in microseconds.
    Reborn(String, u64),
}

impl Goal {
    /// Whether it is so in one manager's view.
    pub fn holds(&self, view: &FleetView) -> bool {
        let mut rows = view.members.iter();
        match self {
            Goal::Idle => false,
            Goal::Alive(others) => {
                rows.filter(|row| !row.is_self && row.update.state == MemberState::Alive)
                    .count()
                    >= *others
            }
            Goal::Dead(name) => {
                rows.any(|r| r.update.name == *name && r.update.state == MemberState::Dead)
            }
            Goal::Settings(hash) => rows.all(|row| {
                matches!(row.update.state, MemberState::Dead | MemberState::Left)
                    || row.update.versions.settings == *hash
            }),
            Goal::Reborn(name, since) => rows.any(|r| {
                r.update.name == *name
                    && r.update.incarnation >= *since
                    && r.update.state == MemberState::Alive
            }),
        }
    }
}

/// Who owns a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The number of the hollow manager.
    pub who: usize,
    /// The token it owns the duty under.
    pub token: FencingToken,
    /// Since when, in milliseconds of the board.
    pub since_ms: u64,
}

/// How what is waited for came to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// How many of those that are asked see it now.
    pub hold: usize,
    /// How many are asked.
    pub asked: usize,
    /// When half of them saw it, and the last one, in milliseconds of the board; of those that see
    /// it now.
    pub median_ms: u64,
    /// That.
    pub last_ms: u64,
}

/// The number of a goal is kept beside the time since it holds, so that what was seen of an earlier
/// goal doesn't count.
const TIME_BITS: u32 = 40;

/// The board.
pub struct Observations {
    begun: Instant,
    /// By manager: the goal's number and the time since it holds, plus one; 0 where it does not.
    since: Vec<AtomicU64>,
    owners: Mutex<BTreeMap<u64, Owner>>,
    /// By thread: its latest wake since the last reading, in microseconds.
    late: Vec<AtomicU64>,
}

impl Observations {
    /// For so many managers on so many threads.
    pub fn new(managers: usize, threads: usize) -> Observations {
        let zeros = |n| (0..n).map(|_| AtomicU64::new(0)).collect();
        Observations {
            begun: Instant::now(),
            since: zeros(managers),
            owners: Mutex::default(),
            late: zeros(threads),
        }
    }

    /// Milliseconds since the board was made.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// A manager sees the goal of that number, or does not.
    pub fn saw(&self, who: usize, goal: u64, holds: bool) {
        let since = self.since[who].load(Ordering::Relaxed);
        let held = since >> TIME_BITS == goal && since != 0;
        if held != holds {
            let since = if holds {
                goal << TIME_BITS | (self.now_ms() + 1)
            } else {
                0
            };
            self.since[who].store(since, Ordering::Relaxed);
        }
    }

    /// How far the goal of that number holds at these managers.
    pub fn spread(&self, goal: u64, whom: &[usize]) -> Spread {
        let times = whom
            .iter()
            .map(|who| self.since[*who].load(Ordering::Relaxed));
        let times = times.filter(|since| *since != 0 && since >> TIME_BITS == goal);
        let mut times: Vec<u64> = times
            .map(|since| (since & ((1 << TIME_BITS) - 1)) - 1)
            .collect();
        times.sort_unstable();
        Spread {
            hold: times.len(),
            asked: whom.len(),
            median_ms: times.get(times.len() / 2).copied().unwrap_or(0),
            last_ms: times.last().copied().unwrap_or(0),
        }
    }

    /// A duty came to a manager under a token, or went from it.
    pub fn owns(&self, who: usize, engine: u64, token: FencingToken, owns: bool) {
        let since_ms = self.now_ms();
        let Ok(mut owners) = self.owners.lock() else {
            return;
        };
        if owns {
            let owner = owners.entry(engine).or_insert(Owner {
                who,
                token,
                since_ms,
            });
            if token > owner.token {
                *owner = Owner {
                    who,
                    token,
                    since_ms,
                };
            }
        } else if owners
            .get(&engine)
            .is_some_and(|o| o.who == who && o.token == token)
        {
            owners.remove(&engine);
        }
    }

    /// Who owns what, by the number of the engine.
    pub fn owners(&self) -> BTreeMap<u64, Owner> {
        self.owners
            .lock()
            .map(|owners| owners.clone())
            .unwrap_or_default()
    }

    /// A thread woke so many microseconds later than it wanted to.
    pub fn woke_late(&self, thread: usize, micros: u64) {
        self.late[thread].fetch_max(micros, Ordering::Relaxed);
    }

    /// The latest wake of any thread since the last reading, in microseconds.
    pub fn take_late(&self) -> u64 {
        self.late
            .iter()
            .map(|late| late.swap(0, Ordering::Relaxed))
            .max()
            .unwrap_or(0)
    }

    /// The same, and it goes on.
    pub fn late(&self) -> u64 {
        self.late
            .iter()
            .map(|late| late.load(Ordering::Relaxed))
            .max()
            .unwrap_or(0)
    }
}
