//! Membership of the fleet's managers, in the SWIM family. Pure: events with the time in, messages
//! to send and changes to report out; randomness only from the seed it is made with.
//!
//! Each period a manager pings one member, in a shuffled round; without an ack within the probe's
//! time it asks `k` others to ping for it; without any ack by the end of the period the member is
//! suspected, and declared dead once the suspicion has stood unrefuted for its time. A member that
//! hears itself suspected refutes with a higher incarnation. What changed rides on pings and acks,
//! each change a bounded number of times, within a bounded datagram.
//!
//! Every member also carries its [`RunningVersions`]: the build, the settings generation and the list
//! version it acts on. From these, [`Straggler`] tells a manager whether the fleet's majority has
//! moved on without it.
pub mod codec;

use crate::clock::{MS, Micros, SEC};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A manager whose last reading of all members brought nobody new reads on each so many periods.
const SYNC_SELDOM: u64 = 8;

/// What a manager acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningVersions {
    /// The program's build.
    pub build: String,
    /// The number of the settings generation: 1 at the start, one more for each configuration
    /// taken.
    pub generation: u64,
    /// A hash of the settings that generation holds, so that equal numbers of unequal files tell
    /// apart.
    pub settings: u64,
    /// The number of the last event of the endpoint list taken.
    pub list: u64,
    /// Where the process stands: `starting`, `ready`, `draining`, `stopping`, `shut-out`.
    pub stage: String,
}

/// What a member is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer a round of probes; it may still refute.
    Suspect,
    /// Suspected for longer than the suspicion's time.
    Dead,
    /// It said that it goes.
    Left,
}

/// A member's news, as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where its datagrams are taken.
    pub addr: SocketAddr,
    /// Higher in each life, and within a life at each refutation or change of versions.
    pub incarnation: u64,
    /// What it is taken to be.
    #[serde(rename = "health")]
    pub state: MemberState,
    /// What it acts on.
    pub versions: RunningVersions,
}

/// What a datagram asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Answer with an ack of this number.
    Ping(u32),
    /// An answer to a ping of this number.
    Ack(u32),
    /// Ping this member for me and pass its ack back under my number.
    PingReq(u32, SocketAddr),
    /// The sender goes.
    Leave,
    /// Answer with a page of the members, by name, after this one.
    Sync(String),
    /// Such a page: the last name on it, and whether no more come after it.
    Page(String, bool),
}

/// One datagram between managers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own news: every datagram is a sign of life.
    pub from: MemberUpdate,
    /// What it asks.
    pub body: MessageBody,
    /// News of others.
    pub gossip: Vec<MemberUpdate>,
}

/// The timings and bounds of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// One probe a period.
    pub period_ms: u64,
    /// The direct ping's time, within the period.
    pub probe_ms: u64,
    /// Others asked to ping when the direct ping was not acked.
    pub indirect: usize,
    /// Periods that a suspicion stands before the member is declared dead, times log2 of the
    /// members.
    pub suspicion_periods: u64,
    /// How many times a change is passed on, times log2 of the members.
    pub retransmit: u64,
    /// The largest datagram.
    pub datagram: usize,
    /// How long a manager may stay behind the fleet's majority before it is brought up, and as long
    /// again before it is shut out.
    pub grace_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period_ms: 500,
            probe_ms: 200,
            indirect: 3,
            suspicion_periods: 3,
            retransmit: 3,
            datagram: 1_200,
            grace_ms: 3_000,
        }
    }
}

impl Timing {
    /// Whether the timings fit together.
    pub fn check(&self) -> Result<(), String> {
        if self.probe_ms == 0 || self.probe_ms >= self.period_ms {
            return Err("fleet: probe_ms has to be above 0 and below period_ms".into());
        }
        if self.datagram < 256 || self.datagram > 65_000 {
            return Err("fleet: datagram has to be from 256 to 65000 bytes".into());
        }
        if self.suspicion_periods == 0 || self.retransmit == 0 {
            return Err("fleet: suspicion_periods and retransmit have to be above 0".into());
        }
        Ok(())
    }

    fn period(&self) -> Micros {
        self.period_ms * MS
    }
}

/// What the machine asks its actor to do, or tells it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send(SocketAddr, Box<Message>),
    /// A member is now taken to be this.
    Changed(String, MemberState),
}

/// A member as this manager sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its latest news.
    pub update: MemberUpdate,
    /// Since when it is as it is; of one suspected, the last time that an ack of it came after all.
    pub since: Micros,
    /// Suspected for the whole time, it is pinged a last time.
    last_call: bool,
    /// It did not answer a round of probes, and is probed again before it is suspected.
    doubted: bool,
}

/// A ping that waits for its ack.
struct Probe {
    target: String,
    sent: Micros,
    /// Who asked for it: their address and number, when it is done for another.
    for_whom: Option<(SocketAddr, u32)>,
    indirect_sent: bool,
    /// The last one before the member is declared dead.
    last: bool,
}

/// The membership of one manager.
pub struct Membership {
    me: MemberUpdate,
    timing: Timing,
    members: BTreeMap<String, Member>,
    /// Seeds to ping while they are not known by name.
    seeds: Vec<SocketAddr>,
    /// What is to be passed on, and how many times more.
    news: VecDeque<(String, u64)>,
    probes: BTreeMap<u32, Probe>,
    round: Vec<String>,
    next_probe: Micros,
    /// The last name of the members that were read from others so far, and whether the last reading
    /// of all brought nobody new.
    synced: (String, bool),
    /// Somebody new came since the last reading of all began.
    grew: bool,
    periods: u64,
    seq: u32,
    random: Pcg32,
    /// Datagrams that could not be used.
    pub dropped: u64,
}

impl Membership {
    /// One manager, its first news, and the addresses of some others. The incarnation of the first
    /// news should be higher than that of any earlier life under the same name.
    pub fn new(
        me: MemberUpdate,
        timing: Timing,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Membership {
        let seeds = seeds.into_iter().filter(|s| *s != me.addr).collect();
        let mut membership = Membership {
            me,
            timing,
            members: BTreeMap::new(),
            seeds,
            news: VecDeque::new(),
            probes: BTreeMap::new(),
            round: Vec::new(),
            next_probe: now,
            synced: (String::new(), false),
            grew: false,
            periods: 0,
            seq: 0,
            random: Pcg32::seed_from_u64(seed),
            dropped: 0,
        };
        let name = membership.me.name.clone();
        membership.spread(&name);
        membership
    }

    /// This manager's own news.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// The others, by name.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn next_wakeup(&self) -> Micros {
        let probes = self.probes.values().map(|p| {
            p.sent
                + if p.indirect_sent {
                    self.timing.period()
                } else {
                    self.timing.probe_ms * MS
                }
        });
        let suspects = self
            .members
            .values()
            .filter(|m| m.update.state == MemberState::Suspect && !m.last_call);
        let suspects = suspects.map(|m| m.since + self.suspicion());
        probes.chain(suspects).fold(self.next_probe, Micros::min)
    }

    /// What this manager acts on has changed: a new incarnation carries it.
    pub fn set_versions(&mut self, versions: RunningVersions) {
        if versions != self.me.versions {
            self.me.versions = versions;
            self.me.incarnation += 1;
            let name = self.me.name.clone();
            self.spread(&name);
        }
    }

    /// The manager goes: it tells a few others, who pass it on.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        let targets: Vec<SocketAddr> = self
            .alive()
            .map(|m| m.update.addr)
            .take(self.timing.indirect.max(1))
            .collect();
        for to in targets {
            self.send(to, MessageBody::Leave, out);
        }
    }

    /// Time passes: probes go out, probes time out, suspicions become deaths.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.time_out_probes(now, out);
        let suspicion = self.suspicion();
        let unrefuted = |m: &Member| m.update.state == MemberState::Suspect && !m.last_call;
        let over: Vec<String> = (self.members.iter())
            .filter(|(_, m)| unrefuted(m) && now >= m.since + suspicion)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.call_last(&name, now, out);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.timing.period();
            self.probe(now, out);
        }
    }

    /// A datagram came.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        if message.from.name == self.me.name {
            // Another process under this manager's name, or an echo: not a member.
            self.dropped += 1;
            return;
        }
        let sender = message.from.name.clone();
        let leaving = message.body == MessageBody::Leave;
        let mut news = message.from;
        news.addr = from;
        news.state = if leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        };
        let incarnation = news.incarnation;
        let heard = self.hear(news, now, out);
        let known = self
            .members
            .get(&sender)
            .map(|m| (m.update.incarnation, m.update.state));
        let stale = known.is_some_and(|(i, h)| {
            incarnation < i || !heard && matches!(h, MemberState::Dead | MemberState::Left)
        });
        if stale {
            // A datagram of an earlier life, or of one declared dead that has not refuted yet: it
            // counts for nothing.
            self.dropped += 1;
            // What it says of this manager still counts: one taken for dead on both sides must be
            // able to refute.
            let mine: Vec<MemberUpdate> = message
                .gossip
                .into_iter()
                .filter(|r| r.name == self.me.name)
                .collect();
            for rumour in mine {
                self.hear(rumour, now, out);
            }
            if known.is_some_and(|(i, h)| incarnation == i && h == MemberState::Dead) {
                // It is told, so that it can refute if it lives.
                let dead = self.members[&sender].update.clone();
                let tell = Message {
                    from: self.me.clone(),
                    body: MessageBody::Ack(0),
                    gossip: vec![dead],
                };
                out.push(Action::Send(from, Box::new(tell)));
            }
            return;
        }
        // What stands on a page was passed on before: it is not news.
        let news = !matches!(message.body, MessageBody::Page(..));
        for rumour in message.gossip {
            self.take_in(rumour, news, now, out);
        }
        match message.body {
            MessageBody::Ping(seq) => {
                self.send(from, MessageBody::Ack(seq), out);
            }
            MessageBody::Ack(seq) => {
                let Some(probe) = self.probes.remove(&seq) else {
                    return;
                };
                // An ack proves life, though only the member's own refutation ends a suspicion
                // everywhere.
                if let Some(member) = self.members.get_mut(&probe.target) {
                    member.doubted = false;
                    if member.update.state == MemberState::Suspect {
                        (member.since, member.last_call) = (now, false);
                    }
                }
                if let Some((whom, their)) = probe.for_whom {
                    self.send(whom, MessageBody::Ack(their), out);
                }
            }
            MessageBody::PingReq(their, target) => {
                self.seq = self.seq.wrapping_add(1);
                let name = self
                    .members
                    .iter()
                    .find(|(_, m)| m.update.addr == target)
                    .map(|(n, _)| n.clone());
                let Some(name) = name else { return };
                let for_whom = Some((from, their));
                let probe = Probe {
                    target: name,
                    sent: now,
                    for_whom,
                    indirect_sent: true,
                    last: false,
                };
                self.probes.insert(self.seq, probe);
                self.send(target, MessageBody::Ping(self.seq), out);
            }
            MessageBody::Sync(after) => {
                let page = self.page(&after);
                out.push(Action::Send(from, Box::new(page)));
            }
            MessageBody::Page(last, end) => {
                self.synced = match end {
                    // Guards a start of all at once: the first that are asked know few themselves.
                    true => (String::new(), !std::mem::take(&mut self.grew)),
                    false => (last, self.synced.1),
                };
            }
            MessageBody::Leave => {}
        }
    }

    /// A datagram with the members after that name, as many as fit.
    fn page(&self, after: &str) -> Message {
        let mut kind = MessageBody::Page(after.to_owned(), true);
        let mut gossip: Vec<MemberUpdate> = Vec::new();
        let head = Message {
            from: self.me.clone(),
            body: kind.clone(),
            gossip: Vec::new(),
        };
        // The longest name may stand in the head as the last one of the page.
        let longest = self.members.keys().map(String::len).max().unwrap_or(0);
        let mut room = self
            .timing
            .datagram
            .saturating_sub(codec::size(&head) + longest + 2);
        let behind = (
            std::ops::Bound::Excluded(after.to_owned()),
            std::ops::Bound::Unbounded,
        );
        for (name, member) in self.members.range::<String, _>(behind) {
            let size = codec::update_size(&member.update);
            if size > room {
                // One that would never fit is passed over.
                let last = gossip.last().map_or(name, |last| &last.name).clone();
                kind = MessageBody::Page(last, false);
                break;
            }
            room -= size;
            gossip.push(member.update.clone());
        }
        Message {
            from: self.me.clone(),
            body: kind,
            gossip,
        }
    }

    /// Takes news in if it is newer than what is known. Whether it was.
    fn hear(&mut self, rumour: MemberUpdate, now: Micros, out: &mut Vec<Action>) -> bool {
        self.take_in(rumour, true, now, out)
    }

    /// The same; with `pass_on` it is passed on to others.
    fn take_in(
        &mut self,
        rumour: MemberUpdate,
        pass_on: bool,
        now: Micros,
        out: &mut Vec<Action>,
    ) -> bool {
        if rumour.name == self.me.name {
            if rumour.state != MemberState::Alive && rumour.incarnation >= self.me.incarnation {
                // Suspected or declared dead while alive: refute with a higher incarnation.
                self.me.incarnation = rumour.incarnation + 1;
                let name = self.me.name.clone();
                self.spread(&name);
            }
            return false;
        }
        let newer = match self.members.get(&rumour.name) {
            None => true,
            Some(known) => supersedes(&rumour, &known.update),
        };
        if !newer {
            return false;
        }
        let name = rumour.name.clone();
        let health = rumour.state;
        self.grew |= !self.members.contains_key(&name);
        let was = self.members.insert(
            name.clone(),
            Member {
                update: rumour,
                since: now,
                last_call: false,
                doubted: false,
            },
        );
        self.seeds
            .retain(|s| Some(*s) != self.members.get(&name).map(|m| m.update.addr));
        if was.as_ref().is_none_or(|w| w.update.state != health) {
            out.push(Action::Changed(name.clone(), health));
        }
        if health != MemberState::Alive {
            self.probes
                .retain(|_, p| p.target != name || p.for_whom.is_some());
        }
        if pass_on {
            self.spread(&name);
        }
        true
    }

    fn set_health(&mut self, name: &str, health: MemberState, now: Micros, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.update.state == health {
            return;
        }
        member.update.state = health;
        (member.since, member.last_call) = (now, false);
        out.push(Action::Changed(name.to_owned(), health));
        self.spread(name);
    }

    fn time_out_probes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (direct, period) = (self.timing.probe_ms * MS, self.timing.period());
        let mut indirect = Vec::new();
        let (mut suspects, mut dead) = (Vec::new(), Vec::new());
        self.probes.retain(|seq, probe| {
            if now >= probe.sent + period {
                // Done for another, or unanswered directly and through others: over.
                match (&probe.for_whom, probe.last) {
                    (Some(_), _) => {}
                    (None, true) => dead.push(probe.target.clone()),
                    (None, false) => suspects.push(probe.target.clone()),
                }
                return false;
            }
            if probe.for_whom.is_none() && !probe.indirect_sent && now >= probe.sent + direct {
                probe.indirect_sent = true;
                indirect.push((*seq, probe.target.clone()));
            }
            true
        });
        for (seq, target) in indirect {
            if let Some(addr) = self.members.get(&target).map(|m| m.update.addr) {
                self.send(addr, MessageBody::Ping(seq), out);
            }
            self.ask_others(seq, &target, out);
        }
        for target in suspects {
            let Some(member) = self.members.get_mut(&target) else {
                continue;
            };
            match (member.update.state, member.doubted) {
                // Guards the fleet's news: with a fifth of all datagrams lost one round in thirteen
                // fails, and of 300 members twenty were suspected a period, more than news can
                // carry refutations of.
                (MemberState::Alive, false) => {
                    member.doubted = true;
                    self.round.push(target);
                }
                (MemberState::Alive, true) => {
                    self.set_health(&target, MemberState::Suspect, now, out)
                }
                _ => {}
            }
        }
        for target in dead {
            if self
                .members
                .get(&target)
                .is_some_and(|m| m.update.state == MemberState::Suspect && m.last_call)
            {
                self.set_health(&target, MemberState::Dead, now, out);
            }
        }
    }

    /// Before a member is declared dead it is pinged once more, directly and through others at
    /// once. Guards against refutations that were lost: where a fifth of all datagrams is, one in
    /// some hundred suspicions stood unrefuted.
    fn call_last(&mut self, name: &str, now: Micros, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.last_call = true;
        let addr = member.update.addr;
        self.seq = self.seq.wrapping_add(1);
        let seq = self.seq;
        let probe = Probe {
            target: name.to_owned(),
            sent: now,
            for_whom: None,
            indirect_sent: true,
            last: true,
        };
        self.probes.insert(seq, probe);
        self.send(addr, MessageBody::Ping(seq), out);
        self.ask_others(seq, name, out);
    }

    /// The direct ping went unanswered: `k` others are asked to ping.
    fn ask_others(&mut self, seq: u32, target: &str, out: &mut Vec<Action>) {
        let Some(addr) = self.members.get(target).map(|m| m.update.addr) else {
            return;
        };
        let mut others: Vec<SocketAddr> = self
            .alive()
            .filter(|m| m.update.name != target)
            .map(|m| m.update.addr)
            .collect();
        for i in 0..others.len().min(self.timing.indirect) {
            let j = i + self.random.next_u32() as usize % (others.len() - i);
            others.swap(i, j);
        }
        for to in others.into_iter().take(self.timing.indirect) {
            self.send(to, MessageBody::PingReq(seq, addr), out);
        }
    }

    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.periods += 1;
        self.read_on(out);
        // Seeds that are not known by name yet are greeted, one a period.
        if !self.seeds.is_empty() {
            let seed = self.seeds[self.random.next_u32() as usize % self.seeds.len()];
            self.seq = self.seq.wrapping_add(1);
            self.send(seed, MessageBody::Ping(self.seq), out);
        }
        // One taken for dead is greeted too: if it lives, each side learns what the other thinks of
        // it and refutes. This heals a partition in which both sides declared the other dead.
        let dead: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|m| m.update.state == MemberState::Dead)
            .map(|m| m.update.addr)
            .collect();
        if !dead.is_empty() {
            let to = dead[self.random.next_u32() as usize % dead.len()];
            self.seq = self.seq.wrapping_add(1);
            self.send(to, MessageBody::Ping(self.seq), out);
        }
        let target = loop {
            let Some(name) = self.round.pop() else {
                let mut round: Vec<String> = (self.members.iter())
                    .filter(|(_, m)| {
                        matches!(m.update.state, MemberState::Alive | MemberState::Suspect)
                    })
                    .map(|(n, _)| n.clone())
                    .collect();
                if round.is_empty() {
                    return;
                }
                for i in (1..round.len()).rev() {
                    round.swap(i, self.random.next_u32() as usize % (i + 1));
                }
                self.round = round;
                continue;
            };
            if let Some(member) = self.members.get(&name)
                && matches!(
                    member.update.state,
                    MemberState::Alive | MemberState::Suspect
                )
            {
                break (name, member.update.addr);
            }
        };
        self.seq = self.seq.wrapping_add(1);
        let probe = Probe {
            target: target.0,
            sent: now,
            for_whom: None,
            indirect_sent: false,
            last: false,
        };
        self.probes.insert(self.seq, probe);
        self.send(target.1, MessageBody::Ping(self.seq), out);
    }

    /// Reads a page of the members from one that lives: each period while that brings new ones,
    /// seldom after that. Mends what news did not bring, as to one that joins or comes back after a
    /// long time.
    fn read_on(&mut self, out: &mut Vec<Action>) {
        if self.synced.1 && !self.periods.is_multiple_of(SYNC_SELDOM) {
            return;
        }
        let alive: Vec<SocketAddr> = self.alive().map(|m| m.update.addr).collect();
        if !alive.is_empty() {
            let whom = alive[self.random.next_u32() as usize % alive.len()];
            let after = self.synced.0.clone();
            self.send(whom, MessageBody::Sync(after), out);
        }
    }

    fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.update.state == MemberState::Alive)
    }

    /// log2 of the members, at least 1: how the suspicion's time and the passing on grow with the
    /// fleet.
    fn scale(&self) -> u64 {
        u64::from((self.members.len() as u64 + 2).ilog2()).max(1)
    }

    fn suspicion(&self) -> Micros {
        self.timing.suspicion_periods * self.scale() * self.timing.period()
    }

    fn spread(&mut self, name: &str) {
        self.news.retain(|(n, _)| n != name);
        self.news
            .push_front((name.to_owned(), self.timing.retransmit * self.scale()));
    }

    /// Sends a datagram. One taken for suspect or dead is told so first, so that it can refute at
    /// once if it lives.
    fn send(&mut self, to: SocketAddr, kind: MessageBody, out: &mut Vec<Action>) {
        let told = self
            .members
            .values()
            .find(|m| m.update.addr == to && m.update.state != MemberState::Alive);
        let told = told.map(|m| m.update.clone());
        let message = self.message(kind, told);
        out.push(Action::Send(to, Box::new(message)));
    }

    /// A datagram with as much news as fits, the least passed on first.
    fn message(&mut self, kind: MessageBody, first: Option<MemberUpdate>) -> Message {
        let mut message = Message {
            from: self.me.clone(),
            body: kind,
            gossip: first.into_iter().collect(),
        };
        let mut room = self.timing.datagram.saturating_sub(codec::size(&message));
        let mut kept = VecDeque::with_capacity(self.news.len());
        while let Some((name, left)) = self.news.pop_front() {
            let rumour = if name == self.me.name {
                Some(&self.me)
            } else {
                self.members.get(&name).map(|m| &m.update)
            };
            let Some(rumour) = rumour else { continue };
            let size = codec::update_size(rumour);
            if size <= room && left > 0 {
                room -= size;
                message.gossip.push(rumour.clone());
                if left > 1 {
                    kept.push_back((name, left - 1));
                }
            } else {
                kept.push_front((name, left));
            }
        }
        // What was passed on goes behind what was not.
        self.news = kept;
        message
    }
}

/// Whether `new` is news over `old`, by the precedence of SWIM: a higher incarnation wins; at the
/// same one, suspicion over life, and death or leaving over both. A new life, with a higher
/// incarnation, comes back from death.
pub fn supersedes(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    use MemberState::*;
    match (new.state, old.state) {
        (Alive, _) => new.incarnation > old.incarnation,
        (Suspect, Alive) => new.incarnation >= old.incarnation,
        (Suspect, _) => new.incarnation > old.incarnation,
        (Dead | Left, Dead | Left) => new.incarnation > old.incarnation,
        (Dead | Left, _) => new.incarnation >= old.incarnation,
    }
}

/// Where a manager stands against the fleet's majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum VersionStatus {
    /// It acts on what the majority acts on, or no majority is ahead of it.
    InStep,
    /// It has been behind for less than the grace.
    Behind,
    /// Behind for longer than the grace: it should read its settings and list again.
    BringUp,
    /// Behind for longer than twice the grace: it should take no work.
    ShutOut,
}

/// What the majority of all members not gone holds, counting those taken for dead: settings by
/// their hash (the numbers of generations are each process's own), and the newest list version that
/// more than half have reached.
pub fn majority(all: &[&RunningVersions]) -> (Option<u64>, u64) {
    let half = all.len() / 2;
    let mut hashes: BTreeMap<u64, usize> = BTreeMap::new();
    all.iter()
        .for_each(|v| *hashes.entry(v.settings).or_default() += 1);
    let settings = hashes
        .into_iter()
        .find(|(_, n)| *n > half)
        .map(|(hash, _)| hash);
    let mut lists: Vec<u64> = all.iter().map(|v| v.list).collect();
    lists.sort_unstable_by(|a, b| b.cmp(a));
    (settings, lists.get(half).copied().unwrap_or(0))
}

/// Whether one manager keeps behind the majority: it has to have held other settings, or a list
/// older than one the majority had reached, for the whole grace. A list that keeps moving is no lag
/// while the manager keeps up with it.
#[derive(Clone, Debug, Default)]
pub struct Straggler {
    /// Since when its settings differ from the majority's.
    settings_since: Option<Micros>,
    /// A list version the majority had, and since when.
    list_behind: Option<(u64, Micros)>,
}

impl Straggler {
    /// Judges this manager's versions against all others not gone.
    pub fn judge(
        &mut self,
        me: &RunningVersions,
        others: &[&RunningVersions],
        grace: Micros,
        now: Micros,
    ) -> VersionStatus {
        let mut all = others.to_vec();
        all.push(me);
        let (settings, list) = majority(&all);
        let differs = settings.is_some_and(|s| s != me.settings);
        self.settings_since = if differs {
            self.settings_since.or(Some(now))
        } else {
            None
        };
        self.list_behind = match self.list_behind {
            Some((target, since)) if me.list < target => Some((target, since)),
            _ if me.list < list => Some((list, now)),
            _ => None,
        };
        let since = [
            self.settings_since,
            self.list_behind.map(|(_, since)| since),
        ]
        .into_iter()
        .flatten()
        .min();
        match since {
            None => VersionStatus::InStep,
            Some(since) if now >= since + 2 * grace => VersionStatus::ShutOut,
            Some(since) if now >= since + grace => VersionStatus::BringUp,
            Some(_) => VersionStatus::Behind,
        }
    }
}

/// How many managers share the warm engines, as one manager counts them.
///
/// Those that are shut out, have left or are dead take no share, as long as those surely alive are
/// more than half of all that are known; else each one counts. What others leave is taken over only
/// once that has stood for the grace; what they take back is given back at once.
///
/// Guards engines against a fleet in two: of its sides at most one takes over the other's shares,
/// and none does while it still finds out how much of the fleet it has lost.
#[derive(Clone, Debug)]
pub struct ActiveGatewayCount {
    /// All managers, by the settings.
    managers: u32,
    counted: u32,
    /// Since when fewer than are counted would do.
    fewer_since: Option<Micros>,
}

impl ActiveGatewayCount {
    /// Everyone counts at first.
    pub fn new(managers: u32) -> ActiveGatewayCount {
        let managers = managers.max(1);
        ActiveGatewayCount {
            managers,
            counted: managers,
            fewer_since: None,
        }
    }

    /// Counts anew; told is how many share.
    pub fn count<'a>(
        &mut self,
        me: &'a MemberUpdate,
        others: impl Iterator<Item = &'a MemberUpdate>,
        grace: Micros,
        now: Micros,
    ) -> u32 {
        let (mut known, mut sure, mut out) = (0, 0, 0);
        for rumour in others.chain([me]) {
            let gone = matches!(rumour.state, MemberState::Dead | MemberState::Left);
            let shut = rumour.versions.stage == SHUT_OUT;
            known += 1;
            out += u32::from(gone || shut);
            sure += u32::from(rumour.state == MemberState::Alive && !shut);
        }
        let majority = 2 * sure > known;
        let counted = if majority {
            self.managers.saturating_sub(out).max(1)
        } else {
            self.managers
        };
        let stood = |since: &mut Option<Micros>| now >= *since.get_or_insert(now) + grace;
        if counted >= self.counted || stood(&mut self.fewer_since) {
            (self.counted, self.fewer_since) = (counted, None);
        }
        self.counted
    }
}

/// The stage that a manager tells while it is shut out.
pub const SHUT_OUT: &str = "shut-out";

/// The bytes a second that one manager's membership traffic may take at the most while nothing
/// fails: a ping that it sends a period, the acks of the pings it is sent, which are as many on the
/// mean, and a page or its question; each one datagram.
pub fn bandwidth_budget(timing: &Timing) -> u64 {
    3 * timing.datagram as u64 * SEC / timing.period()
}

/// Within this time of a member's stop, every other member that hears the rest has declared it
/// dead, but for about one stop in fifty: until somebody probes it, which takes four periods or
/// less but for one in `e^4`; the periods of that probe and of the next one; the suspicion's time;
/// the last call's period; and a period for each doubling of the news.
pub fn detection_bound(timing: &Timing, members: usize) -> Micros {
    let scale = u64::from((members as u64 + 1).ilog2()).max(1);
    (timing.suspicion_periods * scale + 7 + scale) * timing.period()
}

#[cfg(test)]
#[path = "../../tests/unit/membership.rs"]
mod tests;
