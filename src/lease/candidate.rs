//! The candidate: requests leases from the voters, renews and releases them, and tracks which ones
//! this manager holds.
use super::{
    FencingGuard, FencingToken, Holder, LeaseRequest, LeaseTiming, Resource, Vote, VoteReply,
};
use crate::clock::Micros;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// A resource counts as needed for this many lease durations after it was last requested.
const NEEDED_FOR_LEASE_DURATIONS: u64 = 2;

/// A voting round without a majority ends after this fraction of the lease duration: a vote that
/// has not arrived by then is lost, or so late that little of the lease would remain.
const ROUND_TIMEOUT_DIVISOR: u64 = 4;

/// A lease is renewed after this fraction of the lease duration.
const RENEWAL_DIVISOR: u64 = 3;

/// The next round on a resource begins after this fraction of the lease duration at the earliest,
/// plus a random part of up to the same length.
const ROUND_BACKOFF_DIVISOR: u64 = 8;

/// A lease that this manager holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The resource.
    pub resource: Resource,
    /// The fencing token, which every message sent under the lease carries.
    pub token: FencingToken,
    /// When the lease ends, by this manager's clock. Nothing may be done under it from then on.
    pub expires_at: Micros,
}

/// An action that the candidate's caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send a request to a voter.
    Request {
        /// The name of the voter.
        voter: String,
        /// The request.
        request: LeaseRequest,
    },
    /// Send a release to a voter.
    Release {
        /// The name of the voter.
        voter: String,
        /// The resource.
        resource: Resource,
        /// The token of the lease.
        token: FencingToken,
    },
    /// This manager holds the lease from now on.
    Acquired {
        /// The resource.
        resource: Resource,
        /// The token of the lease.
        token: FencingToken,
    },
    /// This manager no longer holds the lease: it expired or was released.
    Lost {
        /// The resource.
        resource: Resource,
        /// The token of the lease.
        token: FencingToken,
    },
}

/// A request for a lease, or for its renewal, that the voters have not decided yet.
#[derive(Clone, Debug)]
struct VotingRound {
    /// Votes carry the number of their round. Without it, a late vote on an earlier request under
    /// the same token would count toward a later expiry than the voter granted. See [`first_round`]
    /// for requests of an earlier process.
    number: u32,
    sent_at: Micros,
    token: FencingToken,
    granted_by: BTreeSet<String>,
}

#[derive(Clone, Debug, Default)]
struct LeaseState {
    held: Option<HeldLease>,
    round: Option<VotingRound>,
    /// The resource is needed until this time, unless it is requested again.
    needed_until: Micros,
    /// The earliest start of the next voting round.
    next_round_at: Micros,
    /// The time since which another member has been the preferred owner.
    preferred_elsewhere_since: Option<Micros>,
}

impl LeaseState {
    fn is_held(&self, now: Micros) -> bool {
        self.held.is_some_and(|held| now < held.expires_at)
    }

    /// Whether a new voting round may begin.
    fn may_start_round(&self, now: Micros) -> bool {
        self.round.is_none() && now >= self.next_round_at
    }

    /// Ends the lease if it has expired, and returns it. A round that would renew it ends as well: a
    /// lost lease is acquired again only under a new token.
    fn expire_lease(&mut self, now: Micros) -> Option<HeldLease> {
        let expired = self.held.take_if(|held| now >= held.expires_at)?;
        self.round.take_if(|round| round.token == expired.token);
        Some(expired)
    }

    /// Ends a round that did not get a majority before the timeout.
    fn expire_round(&mut self, timeout: Micros, now: Micros) {
        self.round.take_if(|round| now >= round.sent_at + timeout);
    }

    fn track_preference(&mut self, is_preferred_owner: bool, now: Micros) {
        self.preferred_elsewhere_since = if is_preferred_owner {
            None
        } else {
            self.preferred_elsewhere_since.or(Some(now))
        };
    }

    /// Whether the lease should be released: it is no longer needed, or another member has been the
    /// preferred owner for a whole lease duration. A member whose state flaps therefore does not
    /// move a lease.
    fn should_release(&self, grant_duration: Micros, now: Micros) -> bool {
        let prefers_other = self
            .preferred_elsewhere_since
            .is_some_and(|since| now >= since + grant_duration);
        now >= self.needed_until || prefers_other
    }

    /// Whether the state still has to be kept.
    fn is_active(&self, now: Micros) -> bool {
        let is_pending = self.held.is_some() || self.round.is_some();
        is_pending || now < self.needed_until.max(self.next_round_at)
    }
}

/// The candidate of a manager, which also tracks the leases that it was granted.
pub struct Candidate {
    holder: Holder,
    voters: Vec<String>,
    timing: LeaseTiming,
    leases: BTreeMap<Resource, LeaseState>,
    last_round: u32,
    random: Pcg32,
}

/// The number after which the rounds of a process are numbered: the low bits of its incarnation,
/// which is its start in microseconds. A process begins fewer rounds than it runs for microseconds,
/// so processes of the same name use different numbers, and a late vote for one of them counts for
/// no other. Numbers repeat after 2^32 microseconds, 71 minutes; no vote is that late.
fn first_round(holder: &Holder) -> u32 {
    holder.incarnation as u32
}

impl Candidate {
    /// Creates a candidate without leases. `seed` determines the random backoff between rounds.
    pub fn new(holder: Holder, voters: Vec<String>, timing: LeaseTiming, seed: u64) -> Candidate {
        Candidate {
            last_round: first_round(&holder),
            holder,
            voters,
            timing,
            leases: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// The identity of this manager in requests.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// The token under which this manager holds a resource at `now`. Callers look it up before
    /// every action under the lease, and again after every wait.
    pub fn token_if_held(&self, resource: Resource, now: Micros) -> Option<FencingToken> {
        self.held_lease(resource, now).map(|lease| lease.token)
    }

    /// The lease on a resource, if this manager holds it at `now`.
    pub fn held_lease(&self, resource: Resource, now: Micros) -> Option<HeldLease> {
        let held = self.leases.get(&resource)?.held;
        held.filter(|lease| now < lease.expires_at)
    }

    /// All leases that this manager holds at `now`.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = HeldLease> {
        self.leases
            .values()
            .filter_map(|lease| lease.held)
            .filter(move |lease| now < lease.expires_at)
    }

    /// Records that the resource is needed and that this manager should hold it. The lease is
    /// requested, and renewed until two lease durations have passed without another call.
    pub fn request_lease(
        &mut self,
        resource: Resource,
        fence: &FencingGuard,
        now: Micros,
        actions: &mut Vec<LeaseAction>,
    ) {
        let lease = self.leases.entry(resource).or_default();
        lease.needed_until = now + NEEDED_FOR_LEASE_DURATIONS * self.timing.grant_duration();
        if !lease.is_held(now) && lease.may_start_round(now) {
            let token = fence.highest(resource).next();
            self.start_round(resource, token, now, actions);
        }
    }

    fn start_round(
        &mut self,
        resource: Resource,
        token: FencingToken,
        now: Micros,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.last_round = self.last_round.wrapping_add(1);
        let next_round_at = now + self.round_backoff();
        let lease = self.leases.entry(resource).or_default();
        lease.next_round_at = next_round_at;
        lease.round = Some(VotingRound {
            number: self.last_round,
            sent_at: now,
            token,
            granted_by: BTreeSet::new(),
        });
        let request = LeaseRequest {
            holder: self.holder.clone(),
            resource,
            token,
            round: self.last_round,
        };
        actions.extend(self.voters.iter().map(|voter| LeaseAction::Request {
            voter: voter.clone(),
            request: request.clone(),
        }));
    }

    /// The time until the next round on the same resource may begin. It is random because
    /// candidates that start their rounds at the same times would split the votes repeatedly.
    fn round_backoff(&mut self) -> Micros {
        let base = self.timing.grant_duration() / ROUND_BACKOFF_DIVISOR;
        base + u64::from(self.random.next_u32()) % base.max(1)
    }

    /// Handles a vote. Once a majority has granted the current round, the lease is held, or
    /// renewed.
    pub fn on_vote(
        &mut self,
        reply: &VoteReply,
        fence: &mut FencingGuard,
        now: Micros,
        actions: &mut Vec<LeaseAction>,
    ) {
        if let Vote::Refused { highest_token } = reply.vote {
            fence.observe(reply.resource, highest_token);
            return;
        }
        if !self.voters.contains(&reply.voter) {
            return;
        }
        let majority = self.voters.len() / 2 + 1;
        let Some(lease) = self.leases.get_mut(&reply.resource) else {
            return;
        };
        let round = lease.round.as_mut();
        let Some(round) = round.filter(|round| round.number == reply.round) else {
            return;
        };
        round.granted_by.insert(reply.voter.clone());
        if round.granted_by.len() < majority {
            return;
        }
        let granted = HeldLease {
            resource: reply.resource,
            token: round.token,
            expires_at: round.sent_at + self.timing.holder_validity(),
        };
        lease.round = None;
        if now >= granted.expires_at {
            return;
        }
        let previous = lease.held.replace(granted);
        fence.observe(granted.resource, granted.token);
        if previous.is_none_or(|previous| previous.token != granted.token) {
            actions.push(LeaseAction::Acquired {
                resource: granted.resource,
                token: granted.token,
            });
        }
    }

    /// Advances the time: leases expire, are renewed while they are needed and this manager is
    /// their preferred owner, or are released.
    pub fn tick(
        &mut self,
        is_preferred_owner: impl Fn(Resource) -> bool,
        now: Micros,
        actions: &mut Vec<LeaseAction>,
    ) {
        let mut to_renew = Vec::new();
        let mut to_release = Vec::new();
        let round_timeout = self.round_timeout();
        let renewal_window = self.renewal_window();
        let grant_duration = self.timing.grant_duration();
        for (resource, lease) in &mut self.leases {
            if let Some(expired) = lease.expire_lease(now) {
                actions.push(LeaseAction::Lost {
                    resource: *resource,
                    token: expired.token,
                });
            }
            lease.expire_round(round_timeout, now);
            lease.track_preference(is_preferred_owner(*resource), now);
            let Some(held) = lease.held else { continue };
            if lease.should_release(grant_duration, now) {
                to_release.push(held);
            } else if lease.may_start_round(now) && now + renewal_window >= held.expires_at {
                to_renew.push(held);
            }
        }
        for lease in to_renew {
            self.start_round(lease.resource, lease.token, now, actions);
        }
        for lease in to_release {
            self.release(lease, actions);
        }
        self.leases.retain(|_, lease| lease.is_active(now));
    }

    fn release(&mut self, lease: HeldLease, actions: &mut Vec<LeaseAction>) {
        let HeldLease {
            resource, token, ..
        } = lease;
        self.leases.remove(&resource);
        actions.push(LeaseAction::Lost { resource, token });
        actions.extend(self.voters.iter().map(|voter| LeaseAction::Release {
            voter: voter.clone(),
            resource,
            token,
        }));
    }

    /// Releases every lease immediately, when the manager shuts down or accepts no more clients.
    pub fn release_all(&mut self, actions: &mut Vec<LeaseAction>) {
        let held: Vec<HeldLease> = self
            .leases
            .values()
            .filter_map(|lease| lease.held)
            .collect();
        for lease in held {
            self.release(lease, actions);
        }
        self.leases.clear();
    }

    /// The time of the next [`tick`](Self::tick) that has work to do; `None` without leases.
    pub fn next_wakeup(&self) -> Option<Micros> {
        self.leases
            .values()
            .map(|lease| self.next_lease_wakeup(lease))
            .min()
    }

    fn next_lease_wakeup(&self, lease: &LeaseState) -> Micros {
        let round_end = lease
            .round
            .as_ref()
            .map(|round| round.sent_at + self.round_timeout());
        let lease_event = lease.held.map(|held| match lease.round {
            Some(_) => held.expires_at,
            None => (held.expires_at - self.renewal_window())
                .max(lease.next_round_at)
                .min(held.expires_at),
        });
        let earliest = round_end.into_iter().chain(lease_event).min();
        earliest.unwrap_or_else(|| lease.needed_until.max(lease.next_round_at))
    }

    fn round_timeout(&self) -> Micros {
        self.timing.grant_duration() / ROUND_TIMEOUT_DIVISOR
    }

    /// A lease becomes due for renewal this long before it expires.
    fn renewal_window(&self) -> Micros {
        self.timing.holder_validity() - self.timing.grant_duration() / RENEWAL_DIVISOR
    }
}
