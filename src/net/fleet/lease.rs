//! What the membership's actor does for duties: the voter, the candidate and the prober of this
//! manager on the fleet's socket, and what they put down for the second address. Started only with
//! `[duties]` in the operator's fleet file.
use crate::clock::{self, MS, Micros};
use crate::config::fleet::LeaseConfig;
use crate::lease::codec::{self, LeaseMessage};
use crate::lease::shared_probe::{ProbeResult, SharedProber, Step};
use crate::lease::{
    Action, Candidate, FencingGuard, FencingToken, Holder, Resource, TokenHighWaterMarks, Voter,
    preferred_owner,
};
use crate::log;
use crate::membership::{MemberState, Membership};
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use async_channel::{Receiver, Sender, TrySendError, bounded};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Words of the core that wait; more are done as without duties.
const MAILBOX: usize = 1_024;
/// Votes that wait to be kept.
const VOTES: usize = 64;
/// What the module had no room for is told it again after this.
const UNSAID: Micros = 5 * MS;
/// Leases are looked after at least this often while there are any.
const LOOK: Micros = 50 * MS;

/// What the core tells.
#[derive(Clone)]
pub enum ProbeRequest {
    /// The module wants an engine's load.
    Wanted(u64),
    /// An engine that was asked has answered, or could not be asked.
    Answered(u64, Option<ProbeResult>),
}

/// A datagram to send.
pub type Out = (SocketAddr, Vec<u8>);

/// Votes under new tokens, on their way to the disk and then to the candidate.
struct VoteStore {
    jobs: Sender<(TokenHighWaterMarks, Out)>,
}

const CRC: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);

/// What an earlier life of this voter kept. Guards the tokens: what is there but can't be read may
/// have been higher than anything this life would begin with, so there is no voter then.
fn kept(path: &Path) -> Result<TokenHighWaterMarks, String> {
    match std::fs::read(path) {
        Ok(bytes) => postcard::from_bytes_crc32(&bytes, CRC.digest()).map_err(|e| e.to_string()),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(TokenHighWaterMarks::default()),
        Err(e) => Err(e.to_string()),
    }
}

fn keep(path: &Path, highest: &TokenHighWaterMarks) -> std::io::Result<()> {
    let bytes = postcard::to_allocvec_crc32(highest, CRC.digest()).unwrap_or_default();
    // Whole or not at all: a reader finds the old file or the new one.
    let next = path.with_extension("next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(next, path)
}

/// One row of `GET /duties`.
#[derive(Serialize)]
struct Row {
    duty: String,
    /// This manager if it owns the duty; else the one that should, as this manager sees the fleet.
    member: String,
    /// Whether this manager owns it.
    owns: bool,
    /// Its token, or the highest seen.
    token: FencingToken,
    /// What is left of its term.
    #[serde(skip_serializing_if = "Option::is_none")]
    left_ms: Option<u64>,
}

/// All of it.
pub struct LeaseService {
    voter: Option<Voter>,
    candidate: Candidate,
    fence: FencingGuard,
    prober: SharedProber,
    keeper: VoteStore,
    words: Receiver<ProbeRequest>,
    module: Sender<DispatcherEvent>,
    /// What the module had no room for yet. Guards its count of probes: each one that it ordered is
    /// answered.
    unsaid: VecDeque<DispatcherEvent>,
    looked_at: Micros,
}

impl LeaseService {
    /// Opens it, with the highest tokens that earlier lives of this voter granted. Votes that were
    /// kept go to `send`.
    pub fn open(
        shared: &Rc<Shared>,
        me: Holder,
        duties: &LeaseConfig,
        module: Sender<DispatcherEvent>,
        send: impl Fn(Out) + 'static,
        now: Micros,
    ) -> Result<LeaseService, String> {
        let name = format!(
            "yokelift-duties-{}",
            crate::net::hot_restart::plain(&me.name)
        );
        let path: PathBuf = match shared.hollow.get() {
            Some(hollow) => hollow.folder.join(name),
            None => crate::net::audit::file(&name)?,
        };
        let (jobs, work) = bounded::<(TokenHighWaterMarks, Out)>(VOTES);
        let (done, votes) = bounded::<Out>(VOTES);
        let voter = duties.voters.contains(&me.name).then(|| kept(&path));
        let voter = voter.and_then(|kept| match kept {
            Ok(kept) => Some(Voter::new(duties.terms, kept, now)),
            Err(e) => {
                log!(
                    "duties: this manager gives no votes: {}: {e}",
                    path.display()
                );
                None
            }
        });
        let thread = std::thread::Builder::new().name("votes".into());
        let run = move || {
            while let Ok((highest, out)) = work.recv_blocking() {
                // A vote that is not kept is not given: another life of this voter could give it
                // once more.
                match keep(&path, &highest) {
                    Ok(()) => drop(done.try_send(out)),
                    Err(e) => eprintln!(
                        "yokelift: the votes can't be kept in {}: {e}",
                        path.display()
                    ),
                }
            }
        };
        thread
            .spawn(run)
            .map_err(|e| format!("fleet: the votes' thread: {e}"))?;
        shared.spawn(async move {
            while let Ok(out) = votes.recv().await {
                send(out);
            }
        });
        let (sender, words) = bounded(MAILBOX);
        *shared.lease_requests.borrow_mut() = Some(sender);
        let candidate = Candidate::new(me, duties.voters.clone(), duties.terms, now);
        let (fence, prober) = (
            FencingGuard::default(),
            SharedProber::new(duties.terms.ask_ms * MS),
        );
        Ok(LeaseService {
            voter,
            candidate,
            fence,
            prober,
            keeper: VoteStore { jobs },
            words,
            module,
            unsaid: VecDeque::new(),
            looked_at: 0,
        })
    }

    /// What the core tells.
    pub fn words(&self) -> Receiver<ProbeRequest> {
        self.words.clone()
    }

    /// When it wants its next turn.
    pub fn wakes(&self) -> Option<Micros> {
        // Whose a duty is may change with the fleet at any time.
        let held = self
            .candidate
            .next_wakeup()
            .map(|at| at.min(self.looked_at + LOOK));
        let unsaid = (!self.unsaid.is_empty()).then(|| clock::now() + UNSAID);
        held.into_iter()
            .chain(self.prober.next_wakeup())
            .chain(unsaid)
            .min()
    }

    /// The member that should own a duty: the first by rank of those that live and serve, this one
    /// among them.
    fn first<'a>(&'a self, fleet: &'a Membership, duty: Resource) -> &'a str {
        let serves = |stage: &str| stage == "ready";
        let others = fleet.members().values().map(|m| &m.update);
        let live = others.filter(|r| matches!(r.state, MemberState::Alive | MemberState::Suspect));
        let all = live
            .chain([fleet.me()])
            .filter(|r| serves(&r.versions.stage))
            .map(|r| &*r.name);
        preferred_owner(duty, all).unwrap_or("")
    }

    /// The address of a member that is not this one.
    fn addr(fleet: &Membership, name: &str) -> Option<SocketAddr> {
        fleet.members().get(name).map(|m| m.update.addr)
    }

    /// A turn: a word of the core, if one came.
    pub fn word(
        &mut self,
        word: ProbeRequest,
        fleet: &Membership,
        now: Micros,
        out: &mut Vec<Out>,
    ) {
        let (mut actions, mut steps) = (Vec::new(), Vec::new());
        match word {
            ProbeRequest::Wanted(engine) => {
                let first = self.first(fleet, Resource::Probe(engine)).to_owned();
                if first.is_empty() {
                    // Nobody serves, as far as is known: as without duties.
                    steps.push(Step::Probe(engine));
                    return self.carry_out(actions, steps, fleet, out);
                }
                let first = (first != fleet.me().name).then_some(&*first);
                let own = (&mut self.candidate, &self.fence);
                self.prober
                    .wanted(engine, first, own, now, (&mut actions, &mut steps));
            }
            ProbeRequest::Answered(engine, sounding) => {
                self.prober
                    .answered(engine, sounding, &self.candidate, now, &mut steps);
            }
        }
        self.carry_out(actions, steps, fleet, out);
    }

    /// A letter of another manager.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        letter: LeaseMessage,
        fleet: &Membership,
        now: Micros,
        out: &mut Vec<Out>,
    ) {
        let (mut actions, mut steps) = (Vec::new(), Vec::new());
        match letter {
            LeaseMessage::Ask(holder, duty, token, number) => {
                self.vote(from, holder, (duty, token, number), now, out)
            }
            LeaseMessage::Vote(voter, duty, number, vote) => {
                let (candidate, fence) = (&mut self.candidate, &mut self.fence);
                candidate.vote(&voter, (duty, number), &vote, fence, now, &mut actions);
            }
            LeaseMessage::Release(holder, duty, token) => {
                self.voter
                    .iter_mut()
                    .for_each(|voter| voter.release(duty, &holder, token));
            }
            LeaseMessage::Want(engine, number) => {
                let mine = self.first(fleet, Resource::Probe(engine)) == fleet.me().name;
                let own = (&mut self.candidate, &self.fence);
                self.prober.asked(
                    (from, engine, number),
                    mine,
                    own,
                    now,
                    (&mut actions, &mut steps),
                );
            }
            LeaseMessage::Told(engine, number, token, sounding) => {
                self.prober.told(
                    (engine, number),
                    token,
                    sounding,
                    &mut self.fence,
                    &mut steps,
                );
            }
            LeaseMessage::NotMine(engine, number, token) => {
                self.fence.observe(Resource::Probe(engine), token);
                self.prober.not_mine(engine, number, now, &mut steps);
            }
        }
        self.carry_out(actions, steps, fleet, out);
    }

    fn vote(
        &mut self,
        from: SocketAddr,
        holder: Holder,
        (duty, token, number): (Resource, FencingToken, u32),
        now: Micros,
        out: &mut Vec<Out>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let (vote, new) = voter.request(now, duty, &holder, token);
        let letter = LeaseMessage::Vote(self.candidate.me().name.clone(), duty, number, vote);
        let letter = (from, codec::encode(&letter));
        if new {
            // Without room it is as if the vote were lost.
            let _ = self.keeper.jobs.try_send((voter.highest().clone(), letter));
        } else {
            out.push(letter);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, fleet: &Membership, now: Micros, out: &mut Vec<Out>) {
        let (mut actions, mut steps) = (Vec::new(), Vec::new());
        self.prober.tick(now, &mut steps);
        if self
            .candidate
            .next_wakeup()
            .is_some_and(|at| now >= at.min(self.looked_at + LOOK))
        {
            self.looked_at = now;
            let held: Vec<Resource> = self
                .candidate
                .held_leases(now)
                .map(|(duty, ..)| duty)
                .collect();
            let mine: BTreeMap<Resource, bool> = held
                .into_iter()
                .map(|duty| (duty, self.first(fleet, duty) == fleet.me().name))
                .collect();
            self.candidate.tick(
                |duty| mine.get(&duty).copied().unwrap_or(true),
                now,
                &mut actions,
            );
        }
        self.carry_out(actions, steps, fleet, out);
    }

    /// The manager drains or ends: its duties pass at once.
    pub fn release(&mut self, fleet: &Membership, out: &mut Vec<Out>) {
        let mut actions = Vec::new();
        self.candidate.release_all(&mut actions);
        self.carry_out(actions, Vec::new(), fleet, out);
    }

    fn carry_out(
        &mut self,
        actions: Vec<Action>,
        steps: Vec<Step>,
        fleet: &Membership,
        out: &mut Vec<Out>,
    ) {
        for action in actions {
            let me = self.candidate.me().clone();
            match action {
                // This manager's own vote needs no datagram; under a new token it is asked for like
                // any other, since it has to be kept first.
                Action::Ask(voter, duty, token, number) => {
                    let to = if voter == me.name {
                        Some(fleet.me().addr)
                    } else {
                        LeaseService::addr(fleet, &voter)
                    };
                    let letter = LeaseMessage::Ask(me, duty, token, number);
                    out.extend(to.map(|to| (to, codec::encode(&letter))));
                }
                Action::Release(voter, duty, token) if voter == me.name => {
                    self.voter
                        .iter_mut()
                        .for_each(|voter| voter.release(duty, &me, token));
                }
                Action::Release(voter, duty, token) => {
                    let letter = codec::encode(&LeaseMessage::Release(me, duty, token));
                    out.extend(LeaseService::addr(fleet, &voter).map(|to| (to, letter)));
                }
                Action::Owned(duty, token) => {
                    log!("duties: {duty} is owned here under {token}");
                    self.unsaid.push_back(DispatcherEvent::LeaseChanged {
                        resource: duty,
                        token,
                        held: true,
                    });
                }
                Action::Over(duty, token) => {
                    log!("duties: {duty} is not owned here any more, under {token}");
                    self.unsaid.push_back(DispatcherEvent::LeaseChanged {
                        resource: duty,
                        token,
                        held: false,
                    });
                }
            }
        }
        for step in steps {
            match step {
                Step::Probe(engine) => self.unsaid.push_back(DispatcherEvent::Probe {
                    engine,
                    deadline: None,
                }),
                Step::ProbeForOthers(engine, until) => {
                    self.unsaid.push_back(DispatcherEvent::Probe {
                        engine,
                        deadline: Some(until),
                    })
                }
                Step::Give(engine, sounding) => {
                    self.unsaid.push_back(DispatcherEvent::SharedProbeResult {
                        engine,
                        result: sounding,
                    })
                }
                Step::Want(name, engine, number) => {
                    let letter = codec::encode(&LeaseMessage::Want(engine, number));
                    out.extend(LeaseService::addr(fleet, &name).map(|to| (to, letter)));
                }
                Step::Tell(to, engine, number, token, sounding) => {
                    out.push((
                        to,
                        codec::encode(&LeaseMessage::Told(engine, number, token, sounding)),
                    ));
                }
                Step::NotMine(to, engine, number) => {
                    let token = self.fence.highest(Resource::Probe(engine));
                    out.push((
                        to,
                        codec::encode(&LeaseMessage::NotMine(engine, number, token)),
                    ));
                }
            }
        }
        self.say();
    }

    /// Tells the module what it has room for.
    fn say(&mut self) {
        while let Some(input) = self.unsaid.pop_front() {
            match self.module.try_send(input) {
                Ok(()) => {}
                Err(TrySendError::Full(input)) => return self.unsaid.push_front(input),
                Err(TrySendError::Closed(_)) => return self.unsaid.clear(),
            }
        }
    }

    /// JSON lines for `GET /duties`: what is owned here first, then what else was seen.
    pub fn view(&self, fleet: &Membership, now: Micros) -> String {
        let mut rows: BTreeMap<(bool, Resource), Row> = BTreeMap::new();
        for (duty, token, left) in self.candidate.held_leases(now) {
            let (member, left_ms) = (fleet.me().name.clone(), Some(left / MS));
            rows.insert(
                (false, duty),
                Row {
                    duty: duty.to_string(),
                    member,
                    owns: true,
                    token,
                    left_ms,
                },
            );
        }
        for (duty, token) in self.fence.iter() {
            if !rows.contains_key(&(false, duty)) {
                let member = self.first(fleet, duty).to_owned();
                let row = Row {
                    duty: duty.to_string(),
                    member,
                    owns: false,
                    token,
                    left_ms: None,
                };
                rows.insert((true, duty), row);
            }
        }
        let line = |row: Row| {
            serde_json::to_string(&row).map_or_else(|_| String::new(), |line| line + "\n")
        };
        rows.into_values().map(line).collect()
    }

    /// Probes spared, results dropped for their token.
    pub fn counts(&self) -> (u64, u64) {
        (self.prober.spared, self.fence.dropped)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_lease.rs"]
mod tests;
