//! One owner at a time for work that is done for the whole fleet: leases with fencing tokens,
//! granted by a majority of a few voters that operators name. Pure: events with the time in,
//! messages and news out.
//!
//! A candidate asks all voters for a duty under a token higher than any it has seen. A voter grants
//! a duty to one holder at a time, under ever higher tokens, for a term by its own monotonic clock.
//! The candidate owns the duty once more than half of all voters have granted it, until the term is
//! over that began, by its own clock, when it *asked*, less a bound for how far clocks drift apart:
//! so its lease ends before any voter that granted it may grant another.
//!
//! What an owner hands out carries its token. Whoever takes it drops what comes under a lower token
//! than the highest seen for that duty: an owner that was stopped past its term and goes on does no
//! harm.
pub mod codec;
pub mod shared_probe;

use crate::clock::{MS, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A named piece of fleet work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Asking an engine for its load.
    Probe(u64),
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Resource::Probe(engine) => write!(f, "probe:s-{engine:08x}"),
        }
    }
}

/// Grows with each owner of a duty.
pub type FencingToken = u64;

/// A process that may hold a lease: a restart under the same name is another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The manager.
    pub name: String,
    /// Its life.
    pub incarnation: u64,
}

/// The bounds of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTiming {
    /// A lease stands so long unless it is renewed. All voters and candidates have to be given the
    /// same.
    pub term_ms: u64,
    /// Clocks of two managers drift apart by at most so many thousandths.
    pub drift: u64,
    /// A lease is given up this much before its end: what was ordered just before has gone out by
    /// then.
    pub margin_ms: u64,
    /// An owner that has not answered by then is as none. The module waits 30 ms for its probes.
    pub ask_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            term_ms: 3_000,
            drift: 20,
            margin_ms: 100,
            ask_ms: 20,
        }
    }
}

impl LeaseTiming {
    /// Whether a lease can hold at all under these bounds.
    pub fn check(&self) -> Result<(), String> {
        let left = self
            .term_ms
            .saturating_sub(self.term_ms * self.drift.min(1_000) / 1_000 + self.margin_ms);
        if self.term_ms == 0 || self.term_ms > 600_000 || left < self.term_ms / 2 {
            return Err("fleet: duties: drift and margin_ms have to leave half of term_ms".into());
        }
        Ok(())
    }

    /// How long an owner may act, counted from when it asked.
    pub fn holder_validity(&self) -> Micros {
        (self.term_ms - self.term_ms * self.drift / 1_000 - self.margin_ms) * MS
    }

    /// How long a voter holds to a grant, counted from when it gave it.
    pub fn grant_duration(&self) -> Micros {
        self.term_ms * MS
    }
}

/// The member that is to own a duty: the first by rendezvous hashing, so that one that comes or
/// goes moves only its own duties.
pub fn preferred_owner<'a>(
    duty: Resource,
    members: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = match duty {
        Resource::Probe(engine) => xxh3_64(&engine.to_be_bytes()),
    };
    members.max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name))
}

/// The highest token of each duty, for so many duties at most. Of those that go the highest token
/// stays, as a floor for all that are not known: tokens never fall, whatever is forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenHighWaterMarks {
    tokens: BTreeMap<Resource, FencingToken>,
    floor: FencingToken,
}

/// More duties than this are not remembered one by one.
const KNOWN: usize = 1_024;

impl TokenHighWaterMarks {
    /// The highest token of a duty.
    pub fn get(&self, duty: Resource) -> FencingToken {
        self.tokens.get(&duty).copied().unwrap_or(self.floor)
    }

    /// A token was seen or granted.
    pub fn observe(&mut self, duty: Resource, token: FencingToken) {
        if token <= self.get(duty) {
            return;
        }
        self.tokens.insert(duty, token);
        if self.tokens.len() > KNOWN
            && let Some((lowest, token)) = self
                .tokens
                .iter()
                .map(|(d, t)| (*d, *t))
                .min_by_key(|(_, t)| *t)
        {
            self.tokens.remove(&lowest);
            self.floor = self.floor.max(token);
        }
    }

    /// All that are remembered one by one.
    pub fn iter(&self) -> impl Iterator<Item = (Resource, FencingToken)> {
        self.tokens.iter().map(|(duty, token)| (*duty, *token))
    }
}

/// What a voter says to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The lease is the holder's, from now on for a term.
    Granted,
    /// It is not, and this is the highest token that the voter has granted.
    Refused(FencingToken),
}

#[derive(Clone, Debug)]
struct Grant {
    holder: Holder,
    token: FencingToken,
    until: Micros,
}

/// The voter in a manager.
#[derive(Clone, Debug)]
pub struct Voter {
    terms: LeaseTiming,
    /// What an earlier life of this voter granted may stand until then.
    silent_until: Micros,
    grants: BTreeMap<Resource, Grant>,
    /// The highest token granted, kept over restarts.
    highest: TokenHighWaterMarks,
}

impl Voter {
    /// A voter that starts now, with the highest tokens that its earlier lives granted as far as
    /// they were kept. It grants nothing for a term: an earlier life may have granted just before
    /// it ended.
    pub fn new(terms: LeaseTiming, kept: TokenHighWaterMarks, now: Micros) -> Voter {
        Voter {
            terms,
            silent_until: now + terms.grant_duration(),
            grants: BTreeMap::new(),
            highest: kept,
        }
    }

    /// The highest tokens granted: to be kept before a grant under a new one is told.
    pub fn highest(&self) -> &TokenHighWaterMarks {
        &self.highest
    }

    /// A candidate asks for a duty under a token, or its owner asks to renew. The vote, and whether
    /// the highest tokens have changed by it.
    pub fn request(
        &mut self,
        now: Micros,
        duty: Resource,
        holder: &Holder,
        token: FencingToken,
    ) -> (Vote, bool) {
        let highest = self.highest.get(duty);
        // What is over is forgotten: its token stays among the highest.
        self.grants.retain(|_, g| now < g.until);
        let live = self.grants.get(&duty).filter(|g| now < g.until);
        let until = now + self.terms.grant_duration();
        match live {
            // Guards the term: a renewal lengthens the grant of this very lease, never one that is
            // over.
            Some(grant) if grant.holder == *holder && grant.token == token => {}
            Some(grant) if grant.holder == *holder && token > highest => {}
            Some(_) => return (Vote::Refused(highest), false),
            None if now < self.silent_until || token <= highest || self.grants.len() >= KNOWN => {
                return (Vote::Refused(highest), false);
            }
            None => {}
        }
        self.grants.insert(
            duty,
            Grant {
                holder: holder.clone(),
                token,
                until,
            },
        );
        self.highest.observe(duty, token);
        (Vote::Granted, token > highest)
    }

    /// An owner gives a lease up before its end.
    pub fn release(&mut self, duty: Resource, holder: &Holder, token: FencingToken) {
        if self
            .grants
            .get(&duty)
            .is_some_and(|g| g.holder == *holder && g.token == token)
        {
            self.grants.remove(&duty);
        }
    }
}

/// The highest token seen for each duty. Guards against what a former owner still hands out.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: TokenHighWaterMarks,
    /// What was dropped for its token.
    pub dropped: u64,
}

impl FencingGuard {
    /// Whether what comes under that token counts.
    pub fn accepts(&mut self, duty: Resource, token: FencingToken) -> bool {
        let counts = token >= self.highest.get(duty);
        self.dropped += u64::from(!counts);
        self.highest.observe(duty, token);
        counts
    }

    /// A token was seen in use.
    pub fn observe(&mut self, duty: Resource, token: FencingToken) {
        self.highest.observe(duty, token);
    }

    /// All that was seen.
    pub fn iter(&self) -> impl Iterator<Item = (Resource, FencingToken)> {
        self.highest.iter()
    }

    /// The highest token seen.
    pub fn highest(&self, duty: Resource) -> FencingToken {
        self.highest.get(duty)
    }
}

/// A request or a renewal that is out to the voters.
#[derive(Clone, Debug)]
struct Round {
    /// Votes on it carry this number. Guards the term: a late vote on an earlier request under the
    /// same token would count for a term that this voter never granted.
    number: u32,
    asked: Micros,
    token: FencingToken,
    granted: BTreeSet<String>,
}

#[derive(Clone, Debug, Default)]
struct Lease {
    /// Held under that token until then, by this manager's clock.
    held: Option<(FencingToken, Micros)>,
    round: Option<Round>,
    /// Nobody needs it after that.
    wanted_until: Micros,
    /// Not asked for again before that.
    not_before: Micros,
    /// Since when it is another's to own.
    passes_since: Option<Micros>,
}

/// What a candidate wants done, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask that voter for the duty under the token; the vote has to carry the number.
    Ask(String, Resource, FencingToken, u32),
    /// Tell that voter that the lease is given up.
    Release(String, Resource, FencingToken),
    /// The duty is owned from now on.
    Owned(Resource, FencingToken),
    /// It is not any more.
    Over(Resource, FencingToken),
}

/// The candidate in a manager, and the owner of what it holds.
pub struct Candidate {
    me: Holder,
    voters: Vec<String>,
    terms: LeaseTiming,
    leases: BTreeMap<Resource, Lease>,
    rounds: u32,
    random: Pcg32,
}

impl Candidate {
    /// A candidate that holds nothing.
    pub fn new(me: Holder, voters: Vec<String>, terms: LeaseTiming, seed: u64) -> Candidate {
        Candidate {
            me,
            voters,
            terms,
            leases: BTreeMap::new(),
            rounds: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Who it is to the voters.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// The token under which it owns a duty now. To be asked before every action for the duty, and
    /// again after every wait.
    pub fn token_if_held(&self, duty: Resource, now: Micros) -> Option<FencingToken> {
        self.lease(duty, now).map(|(token, _)| token)
    }

    /// The same, and until when: what was ordered for the duty and not done by then must not be
    /// done.
    pub fn lease(&self, duty: Resource, now: Micros) -> Option<(FencingToken, Micros)> {
        self.leases
            .get(&duty)?
            .held
            .filter(|(_, until)| now < *until)
    }

    /// All that it owns, with what is left of each term.
    pub fn held_leases(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (Resource, FencingToken, Micros)> {
        let held = self
            .leases
            .iter()
            .filter_map(|(duty, lease)| Some((*duty, lease.held?)));
        held.filter(move |(_, (_, until))| now < *until)
            .map(move |(d, (token, until))| (d, token, until - now))
    }

    /// The duty is this manager's to do, and somebody needs it: for two terms more it is asked for
    /// and renewed.
    pub fn request_lease(
        &mut self,
        duty: Resource,
        fence: &FencingGuard,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let lease = self.leases.entry(duty).or_default();
        lease.wanted_until = now + 2 * self.terms.grant_duration();
        if lease.held.is_none_or(|(_, until)| now >= until)
            && lease.round.is_none()
            && now >= lease.not_before
        {
            self.ask(duty, fence.highest(duty) + 1, now, out);
        }
    }

    fn ask(&mut self, duty: Resource, token: FencingToken, now: Micros, out: &mut Vec<Action>) {
        self.rounds = self.rounds.wrapping_add(1);
        let lease = self.leases.entry(duty).or_default();
        lease.round = Some(Round {
            number: self.rounds,
            asked: now,
            token,
            granted: BTreeSet::new(),
        });
        // Candidates that ask in step would split the votes again and again.
        let term = self.terms.grant_duration();
        lease.not_before = now + term / 8 + u64::from(self.random.next_u32()) % (term / 8).max(1);
        out.extend(
            self.voters
                .iter()
                .map(|voter| Action::Ask(voter.clone(), duty, token, self.rounds)),
        );
    }

    /// A voter's vote on the request of that number.
    pub fn vote(
        &mut self,
        voter: &str,
        (duty, number): (Resource, u32),
        vote: &Vote,
        fence: &mut FencingGuard,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        if let Vote::Refused(highest) = vote {
            fence.observe(duty, *highest);
        }
        let Some(lease) = self.leases.get_mut(&duty) else {
            return;
        };
        let Some(round) = lease.round.as_mut().filter(|r| r.number == number) else {
            return;
        };
        if *vote != Vote::Granted || !self.voters.iter().any(|v| v == voter) {
            return;
        }
        round.granted.insert(voter.to_owned());
        if 2 * round.granted.len() <= self.voters.len() {
            return;
        }
        let (token, until) = (round.token, round.asked + self.terms.holder_validity());
        lease.round = None;
        if now >= until {
            return;
        }
        let was = lease.held.replace((token, until));
        fence.observe(duty, token);
        if was.is_none_or(|(held, _)| held != token) {
            out.push(Action::Owned(duty, token));
        }
    }

    /// Time passes: leases end, are renewed while they are needed and this manager is the one to
    /// own them, or are given up.
    pub fn tick(&mut self, mine: impl Fn(Resource) -> bool, now: Micros, out: &mut Vec<Action>) {
        let renew_before = self.terms.holder_validity() - self.terms.grant_duration() / 3;
        let (mut renew, mut give_up) = (Vec::new(), Vec::new());
        for (duty, lease) in &mut self.leases {
            if let Some((token, _)) = lease.held.filter(|(_, until)| now >= *until) {
                lease.held = None;
                out.push(Action::Over(*duty, token));
            }
            if lease
                .round
                .as_ref()
                .is_some_and(|r| now >= r.asked + self.terms.grant_duration() / 4)
            {
                // Too few votes came: those that did not may have been lost, or come too late to
                // count for much.
                lease.round = None;
            }
            // Guards against a member that comes and goes: the duty passes once it has been the
            // other's for a term.
            lease.passes_since = if mine(*duty) {
                None
            } else {
                lease.passes_since.or(Some(now))
            };
            let passes = lease
                .passes_since
                .is_some_and(|since| now >= since + self.terms.grant_duration());
            match lease.held {
                Some((token, _)) if now >= lease.wanted_until || passes => {
                    give_up.push((*duty, token))
                }
                Some((token, until))
                    if lease.round.is_none()
                        && now >= lease.not_before
                        && now + renew_before >= until =>
                {
                    renew.push((*duty, token));
                }
                _ => {}
            }
        }
        renew
            .into_iter()
            .for_each(|(duty, token)| self.ask(duty, token, now, out));
        give_up
            .into_iter()
            .for_each(|(duty, token)| self.give_up(duty, token, out));
        self.leases.retain(|_, l| {
            l.held.is_some() || l.round.is_some() || now < l.wanted_until.max(l.not_before)
        });
    }

    fn give_up(&mut self, duty: Resource, token: FencingToken, out: &mut Vec<Action>) {
        self.leases.remove(&duty);
        out.push(Action::Over(duty, token));
        out.extend(
            self.voters
                .iter()
                .map(|voter| Action::Release(voter.clone(), duty, token)),
        );
    }

    /// The manager drains or ends: everything is given up at once.
    pub fn release_all(&mut self, out: &mut Vec<Action>) {
        let held: Vec<_> = self
            .leases
            .iter()
            .filter_map(|(d, l)| Some((*d, l.held?.0)))
            .collect();
        held.into_iter()
            .for_each(|(duty, token)| self.give_up(duty, token, out));
        self.leases.clear();
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let renew_before = self.terms.holder_validity() - self.terms.grant_duration() / 3;
        let next = |lease: &Lease| {
            let round = lease
                .round
                .as_ref()
                .map(|r| r.asked + self.terms.grant_duration() / 4);
            let held = lease.held.map(|(_, until)| match &lease.round {
                Some(_) => until,
                None => (until - renew_before).max(lease.not_before).min(until),
            });
            let idle = (round.is_none() && held.is_none())
                .then(|| lease.wanted_until.max(lease.not_before));
            round.into_iter().chain(held).chain(idle).min()
        };
        self.leases.values().filter_map(next).min()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lease.rs"]
mod tests;
