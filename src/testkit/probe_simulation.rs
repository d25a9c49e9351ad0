//! Probes of engines over an emulated fleet, with and without an owner for each engine: the
//! machines of duties of many managers on a simulated network. All from one seed.
use crate::clock::{MS, Micros, SEC};
use crate::lease::codec::{self, LeaseMessage};
use crate::lease::shared_probe::{ProbeResult, SharedProber, Step};
use crate::lease::{
    Action, Candidate, FencingGuard, Holder, LeaseTiming, Resource, TokenHighWaterMarks, Voter,
    preferred_owner,
};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A datagram takes this long and up to so much more; so does an engine's answer.
const WAY: (Micros, u64) = (MS, 3 * MS);
const PORT: u16 = 2_000;

/// What is emulated.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Managers.
    pub managers: usize,
    /// Engines.
    pub engines: u64,
    /// How often a second the module of each manager wants to hear of some engine.
    pub wants: f64,
    /// The voters; none: each manager asks engines itself.
    pub voters: usize,
    /// The bounds of leases.
    pub terms: LeaseTiming,
    /// Stop one manager in so many halfway through; 0 stops none.
    pub stops: usize,
    /// How long, after a start of ten seconds that does not count.
    pub seconds: u64,
    /// The same seed gives the same figures.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Managers.
    pub managers: usize,
    /// Engines.
    pub engines: u64,
    /// What was emulated.
    pub case: String,
    /// Probes an engine and second, on the mean and at the engine with the most.
    pub probes: (f64, f64),
    /// The part of what modules wanted that needed no probe of their own.
    pub spared: f64,
    /// The time until a module was answered in milliseconds, on the mean.
    pub waited_ms: f64,
    /// Datagrams and bytes a manager and second that duties took.
    pub traffic: (f64, f64),
    /// Owners that followed another one within the time counted.
    pub changes: u64,
}

struct Manager {
    voter: Option<Voter>,
    candidate: Candidate,
    fence: FencingGuard,
    prober: SharedProber,
    stopped: bool,
    /// When the module began to wait for each engine, as often as it wants it.
    waits: BTreeMap<u64, Vec<Micros>>,
}

enum Event {
    Want(usize),
    Letter(usize, usize, LeaseMessage),
    Answer(usize, u64, bool),
    Tick(usize),
}

struct Fleet {
    plan: Plan,
    all: Vec<Manager>,
    /// Who should own each engine.
    first: BTreeMap<u64, usize>,
    queue: BTreeMap<(Micros, u64), Event>,
    number: u64,
    now: Micros,
    random: Pcg32,
    counts: bool,
    probes: BTreeMap<u64, u64>,
    wanted: u64,
    own: u64,
    waited: Micros,
    answered: u64,
    datagrams: u64,
    bytes: u64,
    changes: u64,
    owned: BTreeSet<Resource>,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PORT + i as u16))
}

fn name(i: usize) -> String {
    format!("m{i}")
}

impl Fleet {
    fn put(&mut self, after: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((self.now + after, self.number), event);
    }

    fn way(&mut self) -> Micros {
        WAY.0 + u64::from(self.random.next_u32()) % WAY.1
    }

    /// Who should own what, as all see it: those that run.
    fn rank(&mut self) {
        let names: Vec<String> = (0..self.all.len())
            .filter(|i| !self.all[*i].stopped)
            .map(name)
            .collect();
        for engine in 0..self.plan.engines {
            let first = preferred_owner(Resource::Probe(engine), names.iter().map(String::as_str));
            self.first.insert(
                engine,
                first.and_then(|name| name[1..].parse().ok()).unwrap_or(0),
            );
        }
    }

    fn send(&mut self, from: usize, to: usize, letter: LeaseMessage) {
        if self.counts {
            self.datagrams += 1;
            self.bytes += codec::encode(&letter).len() as u64;
        }
        let way = self.way();
        self.put(way, Event::Letter(from, to, letter));
    }

    fn carry_out(&mut self, i: usize, actions: Vec<Action>, steps: Vec<Step>) {
        let to = |voter: &str| voter[1..].parse::<usize>().unwrap_or(0);
        let me = self.all[i].candidate.me().clone();
        for action in actions {
            match action {
                Action::Ask(voter, duty, token, number) => {
                    self.send(
                        i,
                        to(&voter),
                        LeaseMessage::Ask(me.clone(), duty, token, number),
                    );
                }
                Action::Release(voter, duty, token) => {
                    self.send(
                        i,
                        to(&voter),
                        LeaseMessage::Release(me.clone(), duty, token),
                    );
                }
                Action::Owned(duty, _) => {
                    self.changes += u64::from(!self.owned.insert(duty) && self.counts)
                }
                Action::Over(..) => {}
            }
        }
        for step in steps {
            match step {
                Step::Probe(engine) | Step::ProbeForOthers(engine, _) => {
                    let for_others = matches!(step, Step::ProbeForOthers(..));
                    if self.counts {
                        *self.probes.entry(engine).or_default() += 1;
                        self.own += u64::from(!for_others);
                    }
                    let way = self.way();
                    self.put(way, Event::Answer(i, engine, for_others));
                }
                Step::Give(engine, _) => self.give(i, engine),
                Step::Want(whom, engine, number) => {
                    self.send(i, to(&whom), LeaseMessage::Want(engine, number))
                }
                Step::Tell(whom, engine, number, token, sounding) => {
                    let whom = usize::from(whom.port() - PORT);
                    self.send(i, whom, LeaseMessage::Told(engine, number, token, sounding));
                }
                Step::NotMine(whom, engine, number) => {
                    let token = self.all[i].fence.highest(Resource::Probe(engine));
                    self.send(
                        i,
                        usize::from(whom.port() - PORT),
                        LeaseMessage::NotMine(engine, number, token),
                    );
                }
            }
        }
        let wakes = self.all[i]
            .candidate
            .next_wakeup()
            .into_iter()
            .chain(self.all[i].prober.next_wakeup())
            .min();
        if let Some(at) = wakes {
            self.put(at.saturating_sub(self.now).max(MS), Event::Tick(i));
        }
    }

    fn give(&mut self, i: usize, engine: u64) {
        if let Some(from) = self.all[i].waits.get_mut(&engine).and_then(Vec::pop)
            && self.counts
        {
            self.waited += self.now - from;
            self.answered += 1;
        }
    }

    fn event(&mut self, event: Event) {
        let (mut actions, mut steps, now) = (Vec::new(), Vec::new(), self.now);
        let who = match &event {
            Event::Want(i) | Event::Answer(i, ..) | Event::Tick(i) => *i,
            Event::Letter(_, to, _) => *to,
        };
        if let Event::Want(i) = event {
            let u = (f64::from(self.random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
            let pause = (-u.ln() / self.plan.wants * SEC as f64) as Micros;
            self.put(pause, Event::Want(i));
        }
        if self.all[who].stopped {
            return;
        }
        let engine = u64::from(self.random.next_u32()) % self.plan.engines;
        let Manager {
            voter,
            candidate,
            fence,
            prober,
            waits,
            ..
        } = &mut self.all[who];
        match event {
            Event::Want(i) => {
                self.wanted += u64::from(self.counts);
                waits.entry(engine).or_default().push(now);
                let first = self.first[&engine];
                if self.plan.voters == 0 {
                    steps.push(Step::Probe(engine));
                } else {
                    let first = (first != i).then(|| name(first));
                    let own = (candidate, &*fence);
                    prober.wanted(
                        engine,
                        first.as_deref(),
                        own,
                        now,
                        (&mut actions, &mut steps),
                    );
                }
            }
            Event::Answer(i, engine, for_others) => {
                let sounding = ProbeResult {
                    well: true,
                    took: 2 * MS,
                    ..ProbeResult::default()
                };
                prober.answered(engine, Some(sounding), candidate, now, &mut steps);
                if !for_others {
                    self.give(i, engine);
                }
            }
            Event::Tick(i) => {
                prober.tick(now, &mut steps);
                let first = &self.first;
                candidate.tick(
                    |Resource::Probe(engine)| first[&engine] == i,
                    now,
                    &mut actions,
                );
            }
            Event::Letter(from, to, letter) => match letter {
                LeaseMessage::Ask(holder, duty, token, number) => {
                    if let Some(voter) = voter {
                        let (vote, _) = voter.request(now, duty, &holder, token);
                        self.send(to, from, LeaseMessage::Vote(name(to), duty, number, vote));
                    }
                }
                LeaseMessage::Vote(voter, duty, number, vote) => {
                    candidate.vote(&voter, (duty, number), &vote, fence, now, &mut actions);
                }
                LeaseMessage::Release(holder, duty, token) => {
                    voter
                        .iter_mut()
                        .for_each(|voter| voter.release(duty, &holder, token));
                }
                LeaseMessage::Want(engine, number) => {
                    let mine = self.first[&engine] == to;
                    let asked = (addr(from), engine, number);
                    prober.asked(
                        asked,
                        mine,
                        (candidate, &*fence),
                        now,
                        (&mut actions, &mut steps),
                    );
                }
                LeaseMessage::Told(engine, number, token, sounding) => {
                    prober.told((engine, number), token, sounding, fence, &mut steps);
                }
                LeaseMessage::NotMine(engine, number, token) => {
                    fence.observe(Resource::Probe(engine), token);
                    prober.not_mine(engine, number, now, &mut steps);
                }
            },
        }
        self.carry_out(who, actions, steps);
    }

    fn run(&mut self, until: Micros) {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.event(event);
        }
        self.now = until;
    }
}

/// Emulates it.
pub fn measure(plan: &Plan, case: &str) -> Figures {
    let voters: Vec<String> = (0..plan.voters).map(name).collect();
    let manager = |i: usize| Manager {
        voter: (i < plan.voters).then(|| Voter::new(plan.terms, TokenHighWaterMarks::default(), 0)),
        candidate: Candidate::new(
            Holder {
                name: name(i),
                incarnation: 1,
            },
            voters.clone(),
            plan.terms,
            plan.seed + i as u64,
        ),
        fence: FencingGuard::default(),
        prober: SharedProber::new(plan.terms.ask_ms * MS),
        stopped: false,
        waits: BTreeMap::new(),
    };
    let mut fleet = Fleet {
        all: (0..plan.managers).map(manager).collect(),
        first: BTreeMap::new(),
        queue: BTreeMap::new(),
        number: 0,
        now: 0,
        random: Pcg32::seed_from_u64(plan.seed),
        counts: false,
        probes: BTreeMap::new(),
        wanted: 0,
        own: 0,
        waited: 0,
        answered: 0,
        datagrams: 0,
        bytes: 0,
        changes: 0,
        owned: BTreeSet::new(),
        plan: plan.clone(),
    };
    fleet.rank();
    (0..plan.managers).for_each(|i| fleet.put(i as u64 * 997 % SEC, Event::Want(i)));
    fleet.run(10 * SEC);
    fleet.counts = true;
    let half = plan.seconds * SEC / 2;
    fleet.run(10 * SEC + half);
    if plan.stops > 0 {
        // Voters live on: a majority of them has to.
        (plan.voters..plan.managers)
            .step_by(plan.stops)
            .for_each(|i| fleet.all[i].stopped = true);
        // Until the fleet's membership has found them dead they are still asked.
        fleet.run(10 * SEC + half + plan.seconds * SEC / 4);
        fleet.rank();
    }
    fleet.run(10 * SEC + 2 * half);
    let (seconds, managers) = (plan.seconds as f64, plan.managers as f64);
    let total: u64 = fleet.probes.values().sum();
    let most = fleet.probes.values().copied().max().unwrap_or(0);
    Figures {
        managers: plan.managers,
        engines: plan.engines,
        case: case.into(),
        probes: (
            total as f64 / seconds / plan.engines as f64,
            most as f64 / seconds,
        ),
        spared: 1.0 - fleet.own as f64 / fleet.wanted.max(1) as f64,
        waited_ms: fleet.waited as f64 / fleet.answered.max(1) as f64 / MS as f64,
        traffic: (
            fleet.datagrams as f64 / seconds / managers,
            fleet.bytes as f64 / seconds / managers,
        ),
        changes: fleet.changes,
    }
}

/// Fleets of these sizes, each without owners, with them, and with one manager in ten stopped
/// halfway.
pub fn compare(sizes: &[usize], engines: u64, wants: f64, seed: u64) -> Vec<Figures> {
    let mut all = Vec::new();
    for managers in sizes {
        let terms = LeaseTiming::default();
        let plan = Plan {
            managers: *managers,
            engines,
            wants,
            voters: 0,
            terms,
            stops: 0,
            seconds: 40,
            seed,
        };
        all.push(measure(&plan, "each asks itself"));
        all.push(measure(
            &Plan {
                voters: 5,
                ..plan.clone()
            },
            "one owner an engine",
        ));
        all.push(measure(
            &Plan {
                voters: 5,
                stops: 10,
                ..plan
            },
            "the same, one manager in ten stopped",
        ));
    }
    all
}

/// The figures as a table.
pub fn table(figures: &[Figures]) -> String {
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
    for f in figures {
        table.add_row([
            f.managers.to_string(),
            f.engines.to_string(),
            f.case.clone(),
            format!("{:.1}", f.probes.0),
            format!("{:.1}", f.probes.1),
            format!("{:.1}%", f.spared * 100.0),
            format!("{:.1}", f.waited_ms),
            format!("{:.1}", f.traffic.0),
            format!("{:.0}", f.traffic.1),
            f.changes.to_string(),
        ]);
    }
    table.to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards what owners are for: an engine is asked by one manager however many want to know, and
    /// those that wanted to know are answered in time; and with managers stopped nothing is worse
    /// than if each asked by itself.
    #[test]
    fn owners_ask_for_all_and_nothing_is_worse_without_them() {
        let terms = LeaseTiming::default();
        let plan = Plan {
            managers: 40,
            engines: 8,
            wants: 20.0,
            voters: 0,
            terms,
            stops: 0,
            seconds: 12,
            seed: 3,
        };
        let alone = measure(&plan, "");
        let owned = measure(
            &Plan {
                voters: 5,
                ..plan.clone()
            },
            "",
        );
        assert!(alone.probes.0 > 90.0 && alone.spared == 0.0, "{alone:?}");
        assert!(
            owned.probes.0 < 12.0 && owned.spared > 0.95 && owned.changes == 0,
            "{owned:?}"
        );
        assert!(owned.waited_ms < 20.0, "{owned:?}");
        let stopped = measure(
            &Plan {
                voters: 5,
                stops: 10,
                ..plan
            },
            "",
        );
        assert!(
            stopped.probes.0 < alone.probes.0 && stopped.changes > 0,
            "{stopped:?}"
        );
        assert!(stopped.waited_ms < 30.0, "{stopped:?}");
    }
}
