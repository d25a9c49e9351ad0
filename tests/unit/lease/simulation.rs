//! A simulated fleet in which every member is a voter and a candidate for one resource: clocks
//! drift, datagrams are lost, delayed, duplicated and reordered, processes are paused, killed and
//! restarted, and the network is partitioned. Every run is reproducible from its seed.
use super::*;
use std::collections::BTreeSet;

pub(super) const MEMBERS: usize = 5;
const STEP_MICROS: Micros = 5 * MS;
const USUAL_DELAY_MS: u32 = 30;
const LONG_DELAY_MS: u32 = 2_500;
/// One datagram in this many is duplicated.
const DUPLICATE_ONE_IN: u32 = 20;
/// One datagram in this many has a long delay while `has_long_delays` is set.
const LONG_DELAY_ONE_IN: u32 = 4;

#[derive(Clone, Debug)]
enum Message {
    Request(LeaseRequest),
    Vote(VoteReply),
    Release(Holder, FencingToken),
    /// A result that a lease holder sends under its token.
    Result(FencingToken),
}

struct Packet {
    arrives_at: Micros,
    from: usize,
    to: usize,
    message: Message,
}

/// An acquisition of the lease by a member, or a result of a member, with its token.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenUse {
    pub(super) member: usize,
    pub(super) token: FencingToken,
}

pub(super) struct SimulatedMember {
    voter: Voter,
    pub(super) candidate: Candidate,
    pub(super) fence: FencingGuard,
    /// The rate of its clock in thousandths of real time.
    clock_rate_per_mille: u64,
    is_paused: bool,
    pub(super) is_dead: bool,
    incarnation: u64,
    /// Whether it considers itself the preferred owner and requests the lease.
    pub(super) requests_lease: bool,
    /// The tokens of the results that it accepted.
    accepted: Vec<FencingToken>,
}

/// A delay of all votes that are sent to a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateVotes {
    pub(super) receiver: usize,
    pub(super) delay: Micros,
}

pub(super) struct SimulatedFleet {
    pub(super) members: Vec<SimulatedMember>,
    pub(super) now: Micros,
    packets: Vec<Packet>,
    /// The links that lose all datagrams, as sender and receiver.
    pub(super) blocked_links: BTreeSet<(usize, usize)>,
    pub(super) loss_percent: u32,
    pub(super) has_long_delays: bool,
    /// The member that receives votes late, and the delay.
    pub(super) late_votes: Option<LateVotes>,
    random: Pcg32,
    /// The leases that were acquired, in order.
    pub(super) acquired: Vec<TokenUse>,
    /// Results that lease holders had prepared when they were paused, and send when they resume.
    pub(super) unsent_results: Vec<TokenUse>,
}

pub(super) fn member_name(index: usize) -> String {
    format!("m{index}")
}

fn member_index(name: &str) -> usize {
    name[1..].parse().expect("a member")
}

fn new_candidate(index: usize, incarnation: u64, seed: u64) -> Candidate {
    let holder = Holder {
        name: member_name(index),
        incarnation,
    };
    let voters = (0..MEMBERS).map(member_name).collect();
    let seed = seed + incarnation * 31 + index as u64;
    Candidate::new(holder, voters, timing(), seed)
}

impl SimulatedFleet {
    pub(super) fn new(seed: u64) -> SimulatedFleet {
        let mut random = Pcg32::seed_from_u64(seed);
        let members = (0..MEMBERS).map(|index| SimulatedMember {
            voter: Voter::new(timing(), TokenHighWaterMarks::default(), 0),
            candidate: new_candidate(index, 1, seed),
            fence: FencingGuard::default(),
            clock_rate_per_mille: 990 + u64::from(random.next_u32() % 20),
            is_paused: false,
            is_dead: false,
            incarnation: 1,
            requests_lease: index == 0,
            accepted: Vec::new(),
        });
        SimulatedFleet {
            members: members.collect(),
            now: 0,
            packets: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            has_long_delays: false,
            late_votes: None,
            random,
            acquired: Vec::new(),
            unsent_results: Vec::new(),
        }
    }

    /// The time by a member's own clock.
    fn local_time(&self, member: usize) -> Micros {
        self.now * self.members[member].clock_rate_per_mille / 1_000
    }

    fn token_if_held(&self, member: usize) -> Option<FencingToken> {
        let now = self.local_time(member);
        self.members[member].candidate.token_if_held(RESOURCE, now)
    }

    fn live_holders(&self) -> impl Iterator<Item = usize> {
        (0..MEMBERS).filter(|member| {
            !self.members[*member].is_dead && self.token_if_held(*member).is_some()
        })
    }

    pub(super) fn holder(&self) -> Option<usize> {
        self.live_holders().next()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_blocked = self.blocked_links.contains(&(from, to));
        if is_blocked || self.random.next_u32() % 100 < self.loss_percent {
            return;
        }
        let is_duplicated = self.random.next_u32().is_multiple_of(DUPLICATE_ONE_IN);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let is_long =
                self.has_long_delays && self.random.next_u32().is_multiple_of(LONG_DELAY_ONE_IN);
            let max_delay_ms = if is_long {
                LONG_DELAY_MS
            } else {
                USUAL_DELAY_MS
            };
            let delay = u64::from(1 + self.random.next_u32() % max_delay_ms) * MS;
            let delay = delay + self.vote_delay(to, &message);
            self.packets.push(Packet {
                arrives_at: self.now + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn vote_delay(&self, to: usize, message: &Message) -> Micros {
        let is_vote = matches!(message, Message::Vote(_));
        let late_votes = self
            .late_votes
            .filter(|late| is_vote && late.receiver == to);
        late_votes.map_or(0, |late| late.delay)
    }

    fn broadcast_result(&mut self, from: usize, token: FencingToken) {
        for to in 0..MEMBERS {
            self.send(from, to, Message::Result(token));
        }
    }

    fn carry_out(&mut self, member: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Request { voter, request } => {
                    self.send(member, member_index(&voter), Message::Request(request));
                }
                LeaseAction::Release { voter, token, .. } => {
                    let holder = self.members[member].candidate.holder().clone();
                    let message = Message::Release(holder, token);
                    self.send(member, member_index(&voter), message);
                }
                LeaseAction::Acquired { token, .. } => {
                    self.acquired.push(TokenUse { member, token });
                }
                LeaseAction::Lost { .. } => {}
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local_time(to);
        let mut actions = Vec::new();
        let member = &mut self.members[to];
        match message {
            Message::Request(request) => {
                let reply = VoteReply {
                    voter: member_name(to),
                    resource: request.resource,
                    round: request.round,
                    vote: member.voter.request(&request, now).vote,
                };
                self.send(to, from, Message::Vote(reply));
            }
            Message::Vote(reply) => {
                let SimulatedMember {
                    candidate, fence, ..
                } = member;
                candidate.on_vote(&reply, fence, now, &mut actions);
            }
            Message::Release(holder, token) => member.voter.release(RESOURCE, &holder, token),
            Message::Result(token) => {
                if member.fence.accepts(RESOURCE, token) {
                    member.accepted.push(token);
                }
            }
        }
        self.carry_out(to, actions);
    }

    /// Advances the time by one step. Returns an error if a safety property is violated.
    pub(super) fn step(&mut self) -> Result<(), String> {
        self.now += STEP_MICROS;
        self.deliver_packets();
        for member in 0..MEMBERS {
            let is_running = !self.members[member].is_paused && !self.members[member].is_dead;
            if is_running {
                self.run_member(member)?;
            }
        }
        self.check_safety()
    }

    fn deliver_packets(&mut self) {
        let packets = std::mem::take(&mut self.packets);
        let (mut due, later): (Vec<Packet>, Vec<Packet>) = packets
            .into_iter()
            .partition(|packet| packet.arrives_at <= self.now);
        self.packets = later;
        due.sort_by_key(|packet| packet.arrives_at);
        for packet in due {
            let receiver = &self.members[packet.to];
            if receiver.is_dead {
                continue;
            }
            if receiver.is_paused {
                self.packets.push(packet);
            } else {
                self.receive(packet.from, packet.to, packet.message);
            }
        }
    }

    fn run_member(&mut self, index: usize) -> Result<(), String> {
        let now = self.local_time(index);
        let mut actions = Vec::new();
        let SimulatedMember {
            candidate,
            fence,
            requests_lease,
            ..
        } = &mut self.members[index];
        if *requests_lease {
            candidate.request_lease(RESOURCE, fence, now, &mut actions);
        }
        candidate.tick(|_| *requests_lease, now, &mut actions);
        if let Some(wakeup) = candidate.next_wakeup().filter(|at| *at <= now) {
            return Err(format!(
                "member {index} returns a wakeup that is already due: {wakeup} at {now}"
            ));
        }
        self.carry_out(index, actions);
        // The lease holder sends a result under its token, which it looks up immediately before.
        if let Some(token) = self.token_if_held(index) {
            self.broadcast_result(index, token);
        }
        Ok(())
    }

    /// Checks that there is at most one holder, that tokens increase with each acquired lease, and
    /// that no result was accepted under a lower token than an earlier one.
    fn check_safety(&self) -> Result<(), String> {
        let holders: Vec<usize> = self.live_holders().collect();
        if holders.len() > 1 {
            return Err(format!(
                "{holders:?} hold the lease at {} ms",
                self.now / MS
            ));
        }
        if let [.., previous, last] = &self.acquired[..]
            && last.token <= previous.token
        {
            return Err(format!("{last:?} acquired the lease after {previous:?}"));
        }
        let accepts_in_order = |member: &SimulatedMember| member.accepted.is_sorted();
        if !self.members.iter().all(accepts_in_order) {
            return Err("a result under a lower token was accepted".into());
        }
        Ok(())
    }

    pub(super) fn run(&mut self, duration_ms: u64) -> Result<(), String> {
        (0..duration_ms * MS / STEP_MICROS).try_for_each(|_| self.step())
    }

    pub(super) fn pause(&mut self, member: usize) {
        let token = self.token_if_held(member);
        self.unsent_results
            .extend(token.map(|token| TokenUse { member, token }));
        self.members[member].is_paused = true;
    }

    /// Resumes the member. The result that it had prepared when it was paused is sent now, whether
    /// or not it still holds the lease.
    pub(super) fn resume(&mut self, member: usize) {
        self.members[member].is_paused = false;
        let is_own = |result: &mut TokenUse| result.member == member;
        let results: Vec<TokenUse> = self.unsent_results.extract_if(.., is_own).collect();
        for result in results {
            self.broadcast_result(member, result.token);
        }
    }

    /// Restarts the member as a new process, which loads the stored high-water marks of its voter.
    pub(super) fn restart(&mut self, index: usize) {
        self.unsent_results.retain(|result| result.member != index);
        let now = self.local_time(index);
        let member = &mut self.members[index];
        let incarnation = self.now.max(member.incarnation + 1);
        let stored = member.voter.high_water_marks().clone();
        *member = SimulatedMember {
            voter: Voter::new(timing(), stored, now),
            candidate: new_candidate(index, incarnation, 5),
            fence: FencingGuard::default(),
            clock_rate_per_mille: member.clock_rate_per_mille,
            is_paused: false,
            is_dead: false,
            incarnation,
            requests_lease: member.requests_lease,
            accepted: Vec::new(),
        };
    }

    /// Makes `preferred` the preferred owner from the view of all members.
    pub(super) fn prefer(&mut self, preferred: usize) {
        for (index, member) in self.members.iter_mut().enumerate() {
            member.requests_lease = index == preferred;
        }
    }

    /// Blocks all links between the members below `boundary` and the others.
    pub(super) fn partition(&mut self, boundary: usize) {
        for low in 0..boundary {
            for high in boundary..MEMBERS {
                self.blocked_links.extend([(low, high), (high, low)]);
            }
        }
    }

    /// Ends all faults: no link is blocked, and every member runs.
    pub(super) fn end_all_faults(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        self.has_long_delays = false;
        self.late_votes = None;
        for member in 0..MEMBERS {
            if self.members[member].is_dead {
                self.restart(member);
            }
            self.resume(member);
        }
    }

    /// The number of messages that all members have rejected because of their tokens.
    pub(super) fn rejected(&self) -> u64 {
        self.members
            .iter()
            .map(|member| member.fence.rejected())
            .sum()
    }

    pub(super) fn release_all(&mut self, member: usize) {
        let mut actions = Vec::new();
        self.members[member].candidate.release_all(&mut actions);
        self.carry_out(member, actions);
    }
}
