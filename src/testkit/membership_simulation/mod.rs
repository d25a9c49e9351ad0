//! A simulated fleet: the membership state machines of many managers on a simulated network and
//! clock, with loss, duplication, blocked links, pauses and restarts.
//!
//! The seed determines the whole run. Every datagram is encoded and decoded.
mod measurement;

use super::blocked_links::{BlockedLinks, Link};
use crate::clock::{MS, Micros};
use crate::membership::{
    Action, MemberState, MemberUpdate, Membership, Message, RunningVersions, Timing, codec,
};
pub use measurement::{
    DetectionTimes, DisseminationTimes, MembershipMeasurements, SimulationError, TrafficRate,
    measure, table,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The minimum latency of a datagram.
const MIN_LATENCY: Micros = MS;
/// The latency of a datagram is below this.
const MAX_LATENCY: Micros = 5 * MS;
/// The latency of a duplicate is drawn like that of the original and multiplied by this.
const DUPLICATE_LATENCY_FACTOR: Micros = 160;
/// The port of the first manager; manager `i` has this port plus `i`.
const FIRST_PORT: u16 = 2_000;

/// A manager's report that a member's state has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// The time of the report.
    pub at: Micros,
    /// The index of the reporting manager.
    pub observer: usize,
    /// The name of the member whose state has changed.
    pub member: String,
    /// The new state.
    pub state: MemberState,
}

/// A datagram on a link.
struct Datagram {
    link: Link,
    bytes: Vec<u8>,
}

enum Event {
    Arrival(Datagram),
    Wakeup(usize),
}

/// Orders events by time; events at the same time keep the order in which they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
}

/// A fleet of simulated managers on a simulated network and clock.
pub struct SimulatedFleet {
    /// The membership state machines of the managers, by index.
    pub nodes: Vec<Membership>,
    /// The links on which all datagrams are dropped.
    pub blocked_links: BlockedLinks,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated; the duplicate has a longer latency.
    pub duplication: f64,
    /// The simulated time.
    pub now: Micros,
    /// The bytes that each manager has sent, by index.
    pub sent_bytes: Vec<u64>,
    /// The state changes that managers have reported, in chronological order.
    pub changes: Vec<StateChange>,
    timing: Timing,
    paused: Vec<bool>,
    /// The datagrams in the receive buffers of paused managers, by index.
    undelivered: Vec<Vec<Datagram>>,
    queue: BTreeMap<EventKey, Event>,
    last_sequence: u64,
    /// The earliest queued wakeup of each manager; the maximum if none is queued.
    next_wakeups: Vec<Micros>,
    random: Pcg32,
}

/// The address of a simulated manager.
pub fn member_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

/// The index of the simulated manager at a [`member_addr`].
pub(super) fn member_at(addr: SocketAddr) -> usize {
    usize::from(addr.port() - FIRST_PORT)
}

/// The name of a simulated manager.
pub fn member_name(index: usize) -> String {
    format!("m{index}")
}

/// The update with which a simulated manager joins.
pub fn joining_update(index: usize, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: member_name(index),
        addr: member_addr(index),
        incarnation,
        state: MemberState::Alive,
        versions: RunningVersions {
            build: "0.1.0+emulated".into(),
            generation: 1,
            settings: u64::MAX / 7,
            list: 3,
            stage: "ready".into(),
        },
    }
}

impl SimulatedFleet {
    /// Creates `members` managers, each with the address of the first one as its seed. They start
    /// at random times within the first protocol period; otherwise all would always probe at the
    /// same time.
    pub fn new(members: usize, timing: &Timing, seed: u64) -> SimulatedFleet {
        let node = |index: usize| new_node(index, 1, timing, seed + index as u64, 0);
        let mut fleet = SimulatedFleet {
            nodes: (0..members).map(node).collect(),
            blocked_links: BlockedLinks::default(),
            loss: 0.0,
            duplication: 0.0,
            now: 0,
            sent_bytes: vec![0; members],
            changes: Vec::new(),
            timing: timing.clone(),
            paused: vec![false; members],
            undelivered: (0..members).map(|_| Vec::new()).collect(),
            queue: BTreeMap::new(),
            last_sequence: 0,
            next_wakeups: vec![Micros::MAX; members],
            random: Pcg32::seed_from_u64(seed),
        };
        for index in 0..members {
            let start = u64::from(fleet.random.next_u32()) % (timing.period_ms * MS).max(1);
            fleet.schedule_wakeup(index, start);
        }
        fleet
    }

    /// Advances the simulated time by `span`.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().at <= end)
        {
            let (key, event) = entry.remove_entry();
            self.now = self.now.max(key.at);
            match event {
                Event::Arrival(datagram) if self.paused[datagram.link.to] => {
                    self.undelivered[datagram.link.to].push(datagram);
                }
                Event::Arrival(datagram) => self.deliver(datagram),
                Event::Wakeup(node) => self.wake(node),
            }
        }
        self.now = end;
    }

    /// Pauses a manager's process; its socket buffers the datagrams that arrive.
    pub fn pause(&mut self, node: usize) {
        self.paused[node] = true;
    }

    /// Resumes a paused process, which first reads the buffered datagrams.
    pub fn resume(&mut self, node: usize) {
        self.paused[node] = false;
        for datagram in std::mem::take(&mut self.undelivered[node]) {
            self.deliver(datagram);
        }
        self.tick(node, Vec::new());
    }

    /// Replaces a manager by a new one with the same name and an empty receive buffer.
    pub fn restart(&mut self, node: usize, incarnation: u64, seed: u64) {
        self.nodes[node] = new_node(node, incarnation, &self.timing, seed, self.now);
        self.undelivered[node].clear();
        self.schedule_wakeup(node, self.now);
    }

    /// Replaces a manager by a new one with another name, at the same address and with an empty
    /// receive buffer.
    pub fn replace(&mut self, node: usize, name: &str, incarnation: u64, seed: u64) {
        let update = MemberUpdate {
            name: name.to_owned(),
            ..joining_update(node, incarnation)
        };
        let seeds = vec![member_addr(0)];
        self.nodes[node] = Membership::new(update, self.timing.clone(), seeds, seed, self.now);
        self.undelivered[node].clear();
        self.schedule_wakeup(node, self.now);
    }

    /// The state of `member` in the member list of `observer`; `None` if it isn't listed.
    pub fn state_of(&self, observer: usize, member: usize) -> Option<MemberState> {
        self.nodes[observer]
            .members()
            .get(&member_name(member))
            .map(|member| member.update.state)
    }

    /// Whether each running manager lists all other running managers as alive.
    pub fn has_converged(&self) -> bool {
        let running = || (0..self.nodes.len()).filter(|node| self.is_running(*node));
        running().all(|observer| {
            running().all(|member| {
                observer == member || self.state_of(observer, member) == Some(MemberState::Alive)
            })
        })
    }

    /// The reports at or after `since` that declare `member` dead.
    pub fn death_reports(&self, member: usize, since: Micros) -> Vec<&StateChange> {
        let name = member_name(member);
        self.changes
            .iter()
            .filter(|change| change.at >= since && change.member == name)
            .filter(|change| change.state == MemberState::Dead)
            .collect()
    }

    fn is_running(&self, node: usize) -> bool {
        !self.paused[node]
    }

    /// Draws a random boolean that is true with this probability.
    fn random_bool(&mut self, probability: f64) -> bool {
        f64::from(self.random.next_u32()) < probability * f64::from(u32::MAX)
    }

    fn random_latency(&mut self) -> Micros {
        MIN_LATENCY + u64::from(self.random.next_u32()) % (MAX_LATENCY - MIN_LATENCY)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_sequence += 1;
        let key = EventKey {
            at,
            sequence: self.last_sequence,
        };
        self.queue.insert(key, event);
    }

    fn schedule_wakeup(&mut self, node: usize, at: Micros) {
        if at < self.next_wakeups[node] {
            self.next_wakeups[node] = at;
            self.schedule(at, Event::Wakeup(node));
        }
    }

    fn wake(&mut self, node: usize) {
        self.next_wakeups[node] = Micros::MAX;
        if self.is_running(node) {
            self.tick(node, Vec::new());
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Link { from, to } = datagram.link;
        let mut actions = Vec::new();
        match codec::decode(&datagram.bytes, self.timing.max_datagram_bytes) {
            Ok(message) => {
                self.nodes[to].receive(member_addr(from), message, self.now, &mut actions);
            }
            Err(_) => self.nodes[to].dropped_datagrams += 1,
        }
        self.tick(to, actions);
    }

    /// Advances a manager's clock after an event, as the daemon's actor does, and performs its
    /// actions.
    fn tick(&mut self, node: usize, mut actions: Vec<Action>) {
        self.nodes[node].tick(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node, to, &message),
                Action::StateChanged { member, state } => self.changes.push(StateChange {
                    at: self.now,
                    observer: node,
                    member,
                    state,
                }),
            }
        }
        let at = self.nodes[node].next_wakeup();
        assert!(
            at > self.now,
            "the next wakeup of manager {node} is not in the future; the simulation would not terminate"
        );
        self.schedule_wakeup(node, at);
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let bytes = codec::encode(message);
        assert!(
            bytes.len() <= self.timing.max_datagram_bytes,
            "a datagram exceeds the size limit"
        );
        self.sent_bytes[from] += bytes.len() as u64;
        let to = member_at(to);
        let link = Link { from, to };
        if self.blocked_links.contains(link) || self.random_bool(self.loss) {
            return;
        }
        let latency = self.random_latency();
        let duplicate_latency = self.random_latency() * DUPLICATE_LATENCY_FACTOR;
        if self.random_bool(self.duplication) {
            let duplicate = Datagram {
                link,
                bytes: bytes.clone(),
            };
            self.schedule(self.now + duplicate_latency, Event::Arrival(duplicate));
        }
        let datagram = Datagram { link, bytes };
        self.schedule(self.now + latency, Event::Arrival(datagram));
    }
}

fn new_node(index: usize, incarnation: u64, timing: &Timing, seed: u64, now: Micros) -> Membership {
    let seeds = vec![member_addr(0)];
    Membership::new(
        joining_update(index, incarnation),
        timing.clone(),
        seeds,
        seed,
        now,
    )
}
