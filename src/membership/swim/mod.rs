//! The state machine of the membership protocol: the members as recorded by this manager, and how
//! updates are merged.
//!
//! It performs no input or output. Its actor passes in datagrams and the time, and carries out the
//! returned [`Action`]s. All randomness comes from one seeded generator, so a run is reproducible.
mod anti_entropy;
mod probing;
mod receive;

use super::codec;
use super::gossip_queue::GossipQueue;
use super::message::{MemberState, MemberUpdate, Message, MessageBody};
use super::timing::Timing;
use super::version::RunningVersions;
use crate::clock::Micros;
use anti_entropy::SyncProgress;
use probing::PendingProbe;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An action that the state machine's actor has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message to encode.
        message: Box<Message>,
    },
    /// Report that a member changed its state.
    StateChanged {
        /// The member's name.
        member: String,
        /// The new state.
        state: MemberState,
    },
}

/// The phase of the failure detection of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DetectionPhase {
    /// Its last round of probes succeeded, or its state is decided.
    Regular,
    /// It is alive but failed one round of probes: it is probed again before it is suspected.
    FailedOnce,
    /// It is a suspect whose suspicion timed out, and the final probe is pending.
    FinalProbe,
}

/// A member as recorded by this manager.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The member's latest update.
    pub update: MemberUpdate,
    /// When the member entered its state; for a suspect, the time of a later ack if there was one.
    pub since: Micros,
    phase: DetectionPhase,
}

impl Member {
    fn new(update: MemberUpdate, now: Micros) -> Member {
        Member {
            update,
            since: now,
            phase: DetectionPhase::Regular,
        }
    }

    /// Whether it is a suspect whose suspicion has not timed out so far.
    fn has_running_suspicion(&self) -> bool {
        self.update.state == MemberState::Suspect && self.phase != DetectionPhase::FinalProbe
    }
}

/// Whether a merged update is disseminated further.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dissemination {
    Gossip,
    /// For the updates on a page of anti-entropy, which were disseminated when they were new.
    MergeOnly,
}

/// The membership protocol of one manager.
pub struct Membership {
    me: MemberUpdate,
    timing: Timing,
    members: BTreeMap<String, Member>,
    /// The seed addresses at which no member is known.
    unknown_seeds: Vec<SocketAddr>,
    gossip: GossipQueue,
    /// The probes without an ack, by sequence number.
    probes: BTreeMap<u32, PendingProbe>,
    /// The members still to probe in this round, the next one last.
    probe_round: Vec<String>,
    next_probe_at: Micros,
    sync: SyncProgress,
    /// The protocol periods since the start.
    periods: u64,
    last_sequence: u32,
    random: Pcg32,
    /// The number of datagrams that were dropped.
    pub dropped_datagrams: u64,
}

impl Membership {
    /// Creates the state machine of one manager.
    ///
    /// The incarnation in `me` should exceed that of every earlier process with the same name;
    /// `seeds` are addresses of some members, and `random_seed` determines all random choices.
    pub fn new(
        me: MemberUpdate,
        timing: Timing,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
        now: Micros,
    ) -> Membership {
        let own_addr = me.addr;
        let mut membership = Membership {
            me,
            timing,
            members: BTreeMap::new(),
            unknown_seeds: seeds.into_iter().filter(|seed| *seed != own_addr).collect(),
            gossip: GossipQueue::default(),
            probes: BTreeMap::new(),
            probe_round: Vec::new(),
            next_probe_at: now,
            sync: SyncProgress::default(),
            periods: 0,
            last_sequence: 0,
            random: Pcg32::seed_from_u64(random_seed),
            dropped_datagrams: 0,
        };
        membership.enqueue_own_update();
        membership
    }

    /// This manager's own update.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// The other members, by name.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// The time of the next [`tick`](Self::tick) that has work to do.
    pub fn next_wakeup(&self) -> Micros {
        let probe_timeouts = self
            .probes
            .values()
            .map(|probe| probe.next_timeout(&self.timing));
        let suspicion_timeout = self.suspicion_timeout();
        let suspicion_timeouts = self
            .members
            .values()
            .filter(|member| member.has_running_suspicion())
            .map(|member| member.since + suspicion_timeout);
        probe_timeouts
            .chain(suspicion_timeouts)
            .fold(self.next_probe_at, Micros::min)
    }

    /// Publishes the versions that this manager runs with, under a new incarnation if they changed.
    pub fn set_versions(&mut self, versions: RunningVersions) {
        if versions != self.me.versions {
            self.me.versions = versions;
            self.me.incarnation += 1;
            self.enqueue_own_update();
        }
    }

    /// Announces this manager's departure to a few members, which disseminate it.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        let receivers: Vec<SocketAddr> = self
            .alive()
            .map(|member| member.update.addr)
            .take(self.timing.indirect_probes.max(1))
            .collect();
        for receiver in receivers {
            self.send(receiver, MessageBody::Leave, out);
        }
    }

    /// Advances the time: probes and suspicions time out, and each period starts a new probe.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.time_out_probes(now, out);
        self.time_out_suspicions(now, out);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.timing.period();
            self.run_period(now, out);
        }
    }

    /// Merges an update into the known members if it supersedes the known update of the same
    /// member. Returns whether it did.
    fn merge(
        &mut self,
        update: MemberUpdate,
        dissemination: Dissemination,
        now: Micros,
        out: &mut Vec<Action>,
    ) -> bool {
        if update.name == self.me.name {
            self.refute(&update);
            return false;
        }
        let known = self.members.get(&update.name).map(|member| &member.update);
        if known.is_some_and(|known| !update.supersedes(known)) {
            return false;
        }
        self.sync.found_member |= known.is_none();
        let (name, state, addr) = (update.name.clone(), update.state, update.addr);
        let previous = self.members.insert(name.clone(), Member::new(update, now));
        self.unknown_seeds.retain(|seed| *seed != addr);
        if previous.is_none_or(|previous| previous.update.state != state) {
            out.push(Action::StateChanged {
                member: name.clone(),
                state,
            });
        }
        if state != MemberState::Alive {
            self.cancel_own_probes(&name);
        }
        if dissemination == Dissemination::Gossip {
            self.enqueue_gossip(&name);
        }
        true
    }

    /// Refutes a suspicion or a declaration of death of this manager with a higher incarnation.
    fn refute(&mut self, claim: &MemberUpdate) {
        if claim.state != MemberState::Alive && claim.incarnation >= self.me.incarnation {
            self.me.incarnation = claim.incarnation + 1;
            self.enqueue_own_update();
        }
    }

    /// Sets a member's state that this manager detected itself, and disseminates it.
    fn set_state(&mut self, name: &str, state: MemberState, now: Micros, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.update.state == state {
            return;
        }
        member.update.state = state;
        member.since = now;
        member.phase = DetectionPhase::Regular;
        out.push(Action::StateChanged {
            member: name.to_owned(),
            state,
        });
        self.enqueue_gossip(name);
    }

    /// The member at an address. Of several members that have had it, the one that is neither dead nor
    /// departed, or else the one with the latest incarnation.
    fn member_at(&self, addr: SocketAddr) -> Option<&Member> {
        let members = self.members.values();
        members
            .filter(|member| member.update.addr == addr)
            .max_by_key(|member| {
                let update = &member.update;
                (!update.state.is_dead_or_left(), update.incarnation)
            })
    }

    fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.update.state == MemberState::Alive)
    }

    /// The number of all known members, including this manager.
    fn fleet_size(&self) -> usize {
        self.members.len() + 1
    }

    fn suspicion_timeout(&self) -> Micros {
        self.timing.suspicion_timeout(self.fleet_size())
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// A random index below `bound`, which must not be zero.
    fn random_index(&mut self, bound: usize) -> usize {
        self.random.next_u32() as usize % bound
    }

    fn enqueue_own_update(&mut self) {
        let transmissions = self.timing.transmissions(self.fleet_size());
        self.gossip.enqueue(&self.me.name, transmissions);
    }

    fn enqueue_gossip(&mut self, name: &str) {
        let transmissions = self.timing.transmissions(self.fleet_size());
        self.gossip.enqueue(name, transmissions);
    }

    /// Sends a message with gossip. If the receiver is a known member that is not alive, the gossip
    /// starts with its own state, so that it can refute immediately.
    fn send(&mut self, to: SocketAddr, body: MessageBody, out: &mut Vec<Action>) {
        let receiver_state = self
            .member_at(to)
            .filter(|member| member.update.state != MemberState::Alive)
            .map(|member| member.update.clone());
        let message = Box::new(self.compose(body, receiver_state));
        out.push(Action::Send { to, message });
    }

    /// Composes a message with `first`, followed by as much gossip as fits into the datagram.
    fn compose(&mut self, body: MessageBody, first: Option<MemberUpdate>) -> Message {
        let mut message = Message {
            from: self.me.clone(),
            body,
            gossip: first.into_iter().collect(),
        };
        let free_bytes = self
            .timing
            .max_datagram_bytes
            .saturating_sub(codec::size(&message));
        let (me, members) = (&self.me, &self.members);
        let gossip = self.gossip.take_fitting(free_bytes, |name| {
            if name == me.name {
                Some(me)
            } else {
                members.get(name).map(|member| &member.update)
            }
        });
        message.gossip.extend(gossip);
        message
    }
}
