//! The fleet emulated in one process: the pure membership machines of many managers on a simulated
//! network and clock, with loss, doubles, one-way cuts, partitions, pauses and restarts. All from
//! one seed: the same run each time. Every datagram passes through the codec.
use crate::clock::{MS, Micros, SEC};
use crate::membership::{
    Action, MemberState, MemberUpdate, Membership, RunningVersions, Timing, bandwidth_budget,
    codec, detection_bound,
};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A datagram takes this long and up to so much more.
const WAY: (Micros, Micros) = (MS, 5 * MS);
/// The first manager's port.
const PORT: u16 = 2_000;

/// What a manager took another one to be from some time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// When.
    pub at: Micros,
    /// Who says so.
    pub who: usize,
    /// Of whom.
    pub of: String,
    /// What it is taken to be.
    pub health: MemberState,
}

enum Event {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

/// The fleet.
pub struct Emulator {
    /// The managers.
    pub nodes: Vec<Membership>,
    /// One-way cuts: datagrams from the first to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// Each datagram is lost with this chance.
    pub loss: f64,
    /// Each datagram comes a second time, late, with this chance.
    pub doubled: f64,
    /// The time.
    pub now: Micros,
    /// Bytes that each manager has sent.
    pub bytes: Vec<u64>,
    /// Everything that anyone said of anyone.
    pub changes: Vec<Change>,
    timing: Timing,
    paused: Vec<bool>,
    /// What waits in the sockets of paused managers.
    held: Vec<Vec<(usize, Vec<u8>)>>,
    queue: BTreeMap<(Micros, u64), Event>,
    number: u64,
    /// The earliest wake of each manager in the queue.
    wakes: Vec<Micros>,
    random: Pcg32,
}

/// A manager's address.
pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PORT + i as u16))
}

/// A manager's name.
pub fn name(i: usize) -> String {
    format!("m{i}")
}

/// A manager's first news in a life.
pub fn rumour(i: usize, incarnation: u64) -> MemberUpdate {
    let build = "0.1.0+emulated".into();
    let versions = RunningVersions {
        build,
        generation: 1,
        settings: u64::MAX / 7,
        list: 3,
        stage: "ready".into(),
    };
    MemberUpdate {
        name: name(i),
        addr: addr(i),
        incarnation,
        state: MemberState::Alive,
        versions,
    }
}

impl Emulator {
    /// So many managers, each of which knows the first one's address, as operators would write it.
    pub fn new(members: usize, timing: &Timing, seed: u64) -> Emulator {
        let node = |i| {
            Membership::new(
                rumour(i, 1),
                timing.clone(),
                vec![addr(0)],
                seed + i as u64,
                0,
            )
        };
        let mut fleet = Emulator {
            nodes: (0..members).map(node).collect(),
            cut: BTreeSet::new(),
            loss: 0.0,
            doubled: 0.0,
            now: 0,
            bytes: vec![0; members],
            changes: Vec::new(),
            timing: timing.clone(),
            paused: vec![false; members],
            held: vec![Vec::new(); members],
            queue: BTreeMap::new(),
            number: 0,
            wakes: vec![Micros::MAX; members],
            random: Pcg32::seed_from_u64(seed),
        };
        for i in 0..members {
            // They do not start in one moment, or all would probe in step for ever.
            let at = u64::from(fleet.random.next_u32()) % (timing.period_ms * MS).max(1);
            fleet.wake(i, at);
        }
        fleet
    }

    fn chance(&mut self, p: f64) -> bool {
        f64::from(self.random.next_u32()) < p * f64::from(u32::MAX)
    }

    fn put(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((at, self.number), event);
    }

    fn wake(&mut self, node: usize, at: Micros) {
        if at < self.wakes[node] {
            self.wakes[node] = at;
            self.put(at, Event::Wake(node));
        }
    }

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let bytes = codec::encode(&message);
                    assert!(
                        bytes.len() <= self.timing.datagram,
                        "a datagram over its bound"
                    );
                    self.bytes[from] += bytes.len() as u64;
                    let to = usize::from(to.port() - PORT);
                    if self.cut.contains(&(from, to)) || self.chance(self.loss) {
                        continue;
                    }
                    let mut way = || WAY.0 + u64::from(self.random.next_u32()) % (WAY.1 - WAY.0);
                    let (at, late) = (way(), way() * 160);
                    if self.chance(self.doubled) {
                        self.put(
                            self.now + late,
                            Event::Datagram {
                                from,
                                to,
                                bytes: bytes.clone(),
                            },
                        );
                    }
                    self.put(self.now + at, Event::Datagram { from, to, bytes });
                }
                Action::Changed(of, health) => {
                    self.changes.push(Change {
                        at: self.now,
                        who: from,
                        of,
                        health,
                    });
                }
            }
        }
        let at = self.nodes[from].next_wakeup();
        assert!(
            at > self.now,
            "manager {from} would wake again at once, and spin"
        );
        self.wake(from, at);
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let mut out = Vec::new();
        match codec::decode(bytes, self.timing.datagram) {
            Ok(message) => self.nodes[to].receive(addr(from), message, self.now, &mut out),
            Err(_) => self.nodes[to].dropped += 1,
        }
        self.turn(to, out);
    }

    /// A turn of a manager, as its actor has it: what came, then the clock.
    fn turn(&mut self, node: usize, mut out: Vec<Action>) {
        self.nodes[node].tick(self.now, &mut out);
        self.carry_out(node, out);
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                Event::Datagram { from, to, bytes } if self.paused[to] => {
                    self.held[to].push((from, bytes))
                }
                Event::Datagram { from, to, bytes } => self.receive(from, to, &bytes),
                Event::Wake(node) => {
                    self.wakes[node] = Micros::MAX;
                    if !self.paused[node] {
                        self.turn(node, Vec::new());
                    }
                }
            }
        }
        self.now = end;
    }

    /// Stops a manager's process; what comes for it waits in its socket.
    pub fn pause(&mut self, node: usize) {
        self.paused[node] = true;
    }

    /// Lets it go on.
    pub fn resume(&mut self, node: usize) {
        self.paused[node] = false;
        for (from, bytes) in std::mem::take(&mut self.held[node]) {
            self.receive(from, node, &bytes);
        }
        self.turn(node, Vec::new());
    }

    /// A manager is started anew under its name.
    pub fn restart(&mut self, node: usize, incarnation: u64, seed: u64) {
        let (timing, now) = (self.timing.clone(), self.now);
        self.nodes[node] =
            Membership::new(rumour(node, incarnation), timing, vec![addr(0)], seed, now);
        self.held[node].clear();
        self.wake(node, now);
    }

    /// Cuts all ways between two groups.
    pub fn partition(
        &mut self,
        one: impl Iterator<Item = usize> + Clone,
        other: impl Iterator<Item = usize> + Clone,
    ) {
        for a in one {
            for b in other.clone() {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    /// What one manager takes another to be.
    pub fn health(&self, who: usize, of: usize) -> Option<MemberState> {
        self.nodes[who]
            .members()
            .get(&name(of))
            .map(|m| m.update.state)
    }

    /// Whether every running manager takes every other running one for alive.
    pub fn agree(&self) -> bool {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|i| !self.paused[*i]).collect();
        let alive = |a: usize, b: usize| a == b || self.health(a, b) == Some(MemberState::Alive);
        running
            .iter()
            .all(|a| running.iter().all(|b| alive(*a, *b)))
    }

    /// Who declared a manager dead since then, and when.
    pub fn declared_dead(&self, of: usize, since: Micros) -> Vec<(Micros, usize)> {
        let of = name(of);
        let dead = self
            .changes
            .iter()
            .filter(|c| c.at >= since && c.of == of && c.health == MemberState::Dead);
        dead.map(|c| (c.at, c.who)).collect()
    }
}

/// What a fleet of some size was measured at. Times in seconds of the emulated clock.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Managers.
    pub members: usize,
    /// From the start of all until each knows each.
    pub joined_s: f64,
    /// Bytes a second that a manager sends while nothing happens, on the mean and the most.
    pub quiet: (f64, f64),
    /// The stated bound on the mean.
    pub budget: u64,
    /// The same while a dead manager is found.
    pub busy: (f64, f64),
    /// From a manager's stop until the first, half and all of the others have declared it dead; the
    /// worst over the stops tried.
    pub found_s: (f64, f64, f64),
    /// The stated bound on the last.
    pub bound_s: f64,
    /// From a manager's new settings until half and all of the others know of them.
    pub spread_s: (f64, f64),
    /// Managers declared dead by any other within a minute of a fifth of all datagrams lost, though
    /// none had stopped.
    pub false_deaths: usize,
}

/// How long a fleet gets for what it should do.
const PATIENCE: Micros = 300 * SEC;

fn secs(t: Micros) -> f64 {
    t as f64 / SEC as f64
}

/// Bytes a second and manager since then, on the mean and the most, of those that run.
fn traffic(fleet: &mut Emulator, span: Micros) -> (f64, f64) {
    let before = fleet.bytes.clone();
    fleet.run(span);
    let sent = |i: usize| (fleet.bytes[i] - before[i]) as f64 / secs(span);
    let running: Vec<f64> = (0..before.len())
        .filter(|i| !fleet.paused[*i])
        .map(sent)
        .collect();
    (
        running.iter().sum::<f64>() / running.len() as f64,
        running.iter().fold(0.0, |a, b| f64::max(a, *b)),
    )
}

/// Measures a fleet of that size: its start, its traffic, `stops` managers that stop one after the
/// other, new settings of one, and a minute of loss.
pub fn measure(
    members: usize,
    timing: &Timing,
    stops: usize,
    seed: u64,
) -> Result<Figures, String> {
    let mut fleet = Emulator::new(members, timing, seed);
    while !fleet.agree() {
        if fleet.now > PATIENCE {
            return Err(format!(
                "{members} managers do not know each other after {} s",
                secs(PATIENCE)
            ));
        }
        fleet.run(100 * MS);
    }
    let joined_s = secs(fleet.now);
    // What is still passed on of the start dies down.
    fleet.run(60 * SEC);
    let quiet = traffic(&mut fleet, 30 * SEC);

    let (changed, from) = (members / 2, fleet.now);
    let mut versions = fleet.nodes[changed].me().versions.clone();
    versions.generation += 1;
    fleet.nodes[changed].set_versions(versions);
    let mut knew: Vec<Micros> = Vec::new();
    while knew.len() < members - 1 && fleet.now < from + PATIENCE {
        fleet.run(10 * MS);
        let knows = |i: &usize| {
            let seen = fleet.nodes[*i].members().get(&name(changed));
            *i != changed && seen.is_some_and(|m| m.update.versions.generation == 2)
        };
        let count = (0..members).filter(knows).count();
        knew.resize(count, fleet.now - from);
    }
    if knew.len() < members - 1 {
        return Err(format!(
            "of {members} managers {} heard of new settings",
            knew.len()
        ));
    }
    let spread_s = (secs(knew[knew.len() / 2]), secs(knew[knew.len() - 1]));
    fleet.run(30 * SEC);

    let bound = detection_bound(timing, members);
    let (mut found_s, mut busy): ((f64, f64, f64), (f64, f64)) = Default::default();
    for stop in 0..stops.min(members / 3) {
        let (stopped, from) = (1 + stop * (members - 1) / stops, fleet.now);
        fleet.pause(stopped);
        let traffic = traffic(&mut fleet, bound);
        busy = (busy.0.max(traffic.0), busy.1.max(traffic.1));
        while fleet.declared_dead(stopped, from).len() < members - 1 - stop
            && fleet.now < from + PATIENCE
        {
            fleet.run(100 * MS);
        }
        let mut dead: Vec<f64> = fleet
            .declared_dead(stopped, from)
            .iter()
            .map(|d| secs(d.0 - from))
            .collect();
        dead.sort_by(f64::total_cmp);
        if dead.len() < members - 1 - stop {
            return Err(format!(
                "of {members} managers {} found one dead",
                dead.len()
            ));
        }
        let here = (dead[0], dead[dead.len() / 2], dead[dead.len() - 1]);
        found_s = (
            found_s.0.max(here.0),
            found_s.1.max(here.1),
            found_s.2.max(here.2),
        );
        fleet.run(30 * SEC);
    }
    let from = fleet.now;
    fleet.loss = 0.2;
    fleet.run(60 * SEC);
    let alive = |of: &str| (0..members).any(|i| !fleet.paused[i] && name(i) == of);
    let dead = fleet
        .changes
        .iter()
        .filter(|c| c.at >= from && c.health == MemberState::Dead && alive(&c.of));
    let false_deaths = dead
        .map(|c| c.of.as_str())
        .collect::<BTreeSet<&str>>()
        .len();
    let (budget, bound_s) = (bandwidth_budget(timing), secs(bound));
    Ok(Figures {
        members,
        joined_s,
        quiet,
        budget,
        busy,
        found_s,
        bound_s,
        spread_s,
        false_deaths,
    })
}

/// The figures as a table.
pub fn table(figures: &[Figures]) -> String {
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
    for f in figures {
        let mut row = vec![f.members.to_string(), format!("{:.1}", f.joined_s)];
        let times = [
            f.found_s.0,
            f.found_s.1,
            f.found_s.2,
            f.bound_s,
            f.spread_s.0,
            f.spread_s.1,
        ];
        row.extend(times.map(|t| format!("{t:.1}")));
        row.extend([f.quiet.0, f.quiet.1, f.busy.0, f.busy.1].map(|b| format!("{b:.0}")));
        row.extend([f.budget.to_string(), f.false_deaths.to_string()]);
        table.add_row(row);
    }
    table.to_string()
}
