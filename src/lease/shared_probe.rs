//! The duty of asking an engine for its load: one owner asks, the others ask the owner. Pure.
//!
//! A manager whose module wants an engine's load asks the member that should own that duty. The
//! owner asks the engine once for all that wait, tells what it heard under its token, and tells it
//! again for a moment. Wherever there is no owner, or it does not answer in time, a manager asks
//! the engine itself, as it does without duties: nothing is worse than that.
use super::{Action, Candidate, FencingGuard, FencingToken, Resource};
use crate::clock::{MS, Micros};
use crate::policy::api::{LoadReport, MAX_LOAD_FIELDS, OutcomeKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What an engine told is told again for so long.
const FRESH: Micros = 100 * MS;
/// An owner that did not answer is not asked again for so long.
const SILENT: Micros = 1_000 * MS;
/// An engine that has not answered by then, and not failed either, is asked anew for the next one
/// that wants to know.
const STUCK: Micros = 1_000 * MS;
/// Those that wait for one engine's answer at most; more are told to ask by themselves.
const WAITERS: usize = 1_024;

/// What a probe brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProbeResult {
    /// The engine answered well.
    pub well: bool,
    /// It could not be reached.
    pub unreachable: bool,
    /// How long it took.
    pub took: Micros,
    /// How many figures of its load there are.
    pub len: u8,
    /// They.
    pub load: [f32; 4],
}

impl ProbeResult {
    /// From what a probe brought here.
    pub fn new(kind: OutcomeKind, took: Micros, load: &LoadReport) -> ProbeResult {
        let mut values = [0.0; MAX_LOAD_FIELDS];
        values[..load.values().len()].copy_from_slice(load.values());
        let (well, unreachable) = (kind == OutcomeKind::Ok, kind == OutcomeKind::ConnectFailed);
        ProbeResult {
            well,
            unreachable,
            took,
            len: load.values().len() as u8,
            load: values,
        }
    }

    /// As the module is told it.
    pub fn outcome(&self) -> (OutcomeKind, LoadReport) {
        let kind = match (self.well, self.unreachable) {
            (true, _) => OutcomeKind::Ok,
            (_, true) => OutcomeKind::ConnectFailed,
            _ => OutcomeKind::Error,
        };
        (
            kind,
            LoadReport::from_values(&self.load[..usize::from(self.len.min(4))]),
        )
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask the engine, for the module that wants it.
    Probe(u64),
    /// Ask the engine, for others that wait, unless it is later than this by then.
    ProbeForOthers(u64, Micros),
    /// Tell the module.
    Give(u64, ProbeResult),
    /// Ask that member under that number.
    Want(String, u64, u32),
    /// Tell one that asked, under its number and this token.
    Tell(SocketAddr, u64, u32, FencingToken, ProbeResult),
    /// This manager does not own the duty.
    NotMine(SocketAddr, u64, u32),
}

struct PendingProbe {
    number: u32,
    at: Micros,
    /// How often the module wants it.
    times: u32,
}

/// Both sides: the one that wants to know, and the owner.
#[derive(Default)]
pub struct SharedProber {
    /// An owner that has not answered by then is as none.
    ask_wait: Micros,
    numbers: u32,
    asked: BTreeMap<u64, PendingProbe>,
    /// Engines whose owner is not asked until then.
    silent: BTreeMap<u64, Micros>,
    /// What engines told, and when.
    heard: BTreeMap<u64, (ProbeResult, Micros)>,
    /// Who waits for an engine that was asked, and since when the first does.
    waiting: BTreeMap<u64, (Micros, Vec<(SocketAddr, u32)>)>,
    /// Probes spared: answered by an owner, or by the owner from what it had heard.
    pub spared: u64,
}

impl SharedProber {
    /// One that waits so long for an owner.
    pub fn new(ask_wait: Micros) -> SharedProber {
        SharedProber {
            ask_wait,
            ..SharedProber::default()
        }
    }

    /// The module wants an engine's load; `first` is the member that should own that, if it is not
    /// this one.
    pub fn wanted(
        &mut self,
        engine: u64,
        first: Option<&str>,
        (candidate, fence): (&mut Candidate, &FencingGuard),
        now: Micros,
        (actions, steps): (&mut Vec<Action>, &mut Vec<Step>),
    ) {
        let duty = Resource::Probe(engine);
        let Some(first) = first else {
            candidate.request_lease(duty, fence, now, actions);
            let fresh = self
                .fresh(engine, now)
                .filter(|_| candidate.token_if_held(duty, now).is_some());
            steps.push(match fresh {
                Some(sounding) => Step::Give(engine, sounding),
                None => Step::Probe(engine),
            });
            self.spared += u64::from(fresh.is_some());
            return;
        };
        if self.silent.get(&engine).is_some_and(|until| now < *until) {
            return steps.push(Step::Probe(engine));
        }
        if let Some(asked) = self.asked.get_mut(&engine) {
            asked.times += 1;
            return;
        }
        self.numbers = self.numbers.wrapping_add(1);
        self.asked.insert(
            engine,
            PendingProbe {
                number: self.numbers,
                at: now,
                times: 1,
            },
        );
        steps.push(Step::Want(first.to_owned(), engine, self.numbers));
    }

    fn fresh(&self, engine: u64, now: Micros) -> Option<ProbeResult> {
        self.heard
            .get(&engine)
            .filter(|(_, at)| now < at + FRESH)
            .map(|(sounding, _)| *sounding)
    }

    /// A member asks; `mine` says whether this manager should own the duty.
    pub fn asked(
        &mut self,
        (from, engine, number): (SocketAddr, u64, u32),
        mine: bool,
        (candidate, fence): (&mut Candidate, &FencingGuard),
        now: Micros,
        (actions, steps): (&mut Vec<Action>, &mut Vec<Step>),
    ) {
        let duty = Resource::Probe(engine);
        if mine {
            candidate.request_lease(duty, fence, now, actions);
        }
        let Some((token, until)) = candidate.lease(duty, now) else {
            return steps.push(Step::NotMine(from, engine, number));
        };
        if let Some(sounding) = self.fresh(engine, now) {
            self.spared += 1;
            return steps.push(Step::Tell(from, engine, number, token, sounding));
        }
        let (_, waiting) = self.waiting.entry(engine).or_insert((now, Vec::new()));
        if waiting.is_empty() {
            steps.push(Step::ProbeForOthers(engine, until));
        } else if waiting.len() >= WAITERS {
            return steps.push(Step::NotMine(from, engine, number));
        }
        waiting.push((from, number));
    }

    /// An engine that this manager asked has answered, or could not be asked. Those that wait are
    /// told if the duty is still owned: the lease is looked up again after the wait.
    pub fn answered(
        &mut self,
        engine: u64,
        sounding: Option<ProbeResult>,
        candidate: &Candidate,
        now: Micros,
        steps: &mut Vec<Step>,
    ) {
        self.heard
            .extend(sounding.map(|sounding| (engine, (sounding, now))));
        let token = candidate.token_if_held(Resource::Probe(engine), now);
        for (whom, number) in self
            .waiting
            .remove(&engine)
            .map(|(_, all)| all)
            .unwrap_or_default()
        {
            steps.push(match (token, sounding) {
                (Some(token), Some(sounding)) => Step::Tell(whom, engine, number, token, sounding),
                _ => Step::NotMine(whom, engine, number),
            });
        }
    }

    /// An owner told what an engine told it.
    pub fn told(
        &mut self,
        (engine, number): (u64, u32),
        token: FencingToken,
        sounding: ProbeResult,
        fence: &mut FencingGuard,
        steps: &mut Vec<Step>,
    ) {
        if self.asked.get(&engine).is_none_or(|a| a.number != number)
            || !fence.accepts(Resource::Probe(engine), token)
        {
            return;
        }
        let times = self.asked.remove(&engine).map_or(0, |a| a.times);
        self.spared += u64::from(times);
        steps.extend((0..times).map(|_| Step::Give(engine, sounding)));
    }

    /// The one that was asked does not own the duty.
    pub fn not_mine(&mut self, engine: u64, number: u32, now: Micros, steps: &mut Vec<Step>) {
        if self.asked.get(&engine).is_some_and(|a| a.number == number) {
            self.fall_back(engine, now, steps);
        }
    }

    /// As without duties: the engine is asked from here.
    fn fall_back(&mut self, engine: u64, now: Micros, steps: &mut Vec<Step>) {
        let times = self.asked.remove(&engine).map_or(0, |a| a.times);
        self.silent.insert(engine, now + SILENT);
        steps.extend((0..times).map(|_| Step::Probe(engine)));
    }

    /// Time passes: owners that did not answer count as none, and what is old is forgotten.
    pub fn tick(&mut self, now: Micros, steps: &mut Vec<Step>) {
        let late = self
            .asked
            .iter()
            .filter(|(_, a)| now >= a.at + self.ask_wait)
            .map(|(engine, _)| *engine);
        let late: Vec<u64> = late.collect();
        late.into_iter()
            .for_each(|engine| self.fall_back(engine, now, steps));
        // Guards those that wait against a probe whose end never came.
        let stuck = self
            .waiting
            .iter()
            .filter(|(_, (since, _))| now >= since + STUCK)
            .map(|(engine, _)| *engine);
        let stuck: Vec<u64> = stuck.collect();
        for engine in stuck {
            let all = self
                .waiting
                .remove(&engine)
                .map(|(_, all)| all)
                .unwrap_or_default();
            steps.extend(
                all.into_iter()
                    .map(|(whom, number)| Step::NotMine(whom, engine, number)),
            );
        }
        self.silent.retain(|_, until| now < *until);
        self.heard.retain(|_, (_, at)| now < *at + FRESH);
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let asked = self.asked.values().map(|a| a.at + self.ask_wait);
        asked
            .chain(self.waiting.values().map(|(since, _)| since + STUCK))
            .min()
    }
}
