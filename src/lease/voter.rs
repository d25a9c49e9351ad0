//! The voter, which grants a resource to one holder at a time, under increasing fencing tokens.
use super::{
    FencingToken, Holder, LeaseTiming, MAX_TRACKED_RESOURCES, Resource, TokenHighWaterMarks,
};
use crate::clock::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A candidate's request for a new lease, or a holder's request to renew one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The candidate that would hold the lease.
    pub holder: Holder,
    /// The resource.
    pub resource: Resource,
    /// The token of the lease: a new one, or the current one for a renewal.
    pub token: FencingToken,
    /// The number of the candidate's voting round; the reply carries it.
    pub round: u32,
}

/// A voter's decision on a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The voter grants the lease to the holder for one lease duration, starting at its decision.
    Granted,
    /// The request was refused.
    Refused {
        /// The highest token that this voter has granted for the resource.
        highest_token: FencingToken,
    },
}

/// A [`Vote`] as sent to the candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The name of the voter.
    pub voter: String,
    /// The resource that was requested.
    pub resource: Resource,
    /// The number of the round in the request.
    pub round: u32,
    /// The decision.
    pub vote: Vote,
}

/// The result of [`Voter::request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteOutcome {
    /// The decision.
    pub vote: Vote,
    /// Whether the high-water marks have changed and must be stored before the vote is sent.
    pub must_store: bool,
}

impl VoteOutcome {
    fn refused(highest_token: FencingToken) -> VoteOutcome {
        VoteOutcome {
            vote: Vote::Refused { highest_token },
            must_store: false,
        }
    }
}

#[derive(Clone, Debug)]
struct Grant {
    holder: Holder,
    token: FencingToken,
    expires_at: Micros,
}

impl Grant {
    fn belongs_to(&self, holder: &Holder, token: FencingToken) -> bool {
        self.holder == *holder && self.token == token
    }
}

/// The voter of a manager.
#[derive(Clone, Debug)]
pub struct Voter {
    timing: LeaseTiming,
    /// Until this time, a grant of an earlier incarnation of this voter may be valid.
    grants_blocked_until: Micros,
    grants: BTreeMap<Resource, Grant>,
    high_water_marks: TokenHighWaterMarks,
}

impl Voter {
    /// Creates a voter that starts at `now` with the high-water marks stored by its earlier
    /// incarnations. It grants nothing for one lease duration, because an earlier incarnation may
    /// have granted a lease just before it ended.
    pub fn new(timing: LeaseTiming, stored: TokenHighWaterMarks, now: Micros) -> Voter {
        Voter {
            timing,
            grants_blocked_until: now + timing.grant_duration(),
            grants: BTreeMap::new(),
            high_water_marks: stored,
        }
    }

    /// The highest tokens granted. They must be stored on disk before a grant under a new token is
    /// sent; otherwise a restarted voter could grant the same token again.
    pub fn high_water_marks(&self) -> &TokenHighWaterMarks {
        &self.high_water_marks
    }

    /// Decides on a request for a lease, or for its renewal.
    pub fn request(&mut self, request: &LeaseRequest, now: Micros) -> VoteOutcome {
        let highest = self.high_water_marks.get(request.resource);
        self.grants.retain(|_, grant| now < grant.expires_at);
        if !self.may_grant(request, highest, now) {
            return VoteOutcome::refused(highest);
        }
        let grant = Grant {
            holder: request.holder.clone(),
            token: request.token,
            expires_at: now + self.timing.grant_duration(),
        };
        self.grants.insert(request.resource, grant);
        self.high_water_marks
            .observe(request.resource, request.token);
        VoteOutcome {
            vote: Vote::Granted,
            must_store: request.token > highest,
        }
    }

    /// Whether a request may be granted; expired grants must have been removed before. An expired
    /// lease is not renewed under its old token, because another holder may have held the resource
    /// in the meantime.
    fn may_grant(&self, request: &LeaseRequest, highest: FencingToken, now: Micros) -> bool {
        let is_new_token = request.token > highest;
        match self.grants.get(&request.resource) {
            Some(grant) if grant.holder == request.holder => {
                grant.token == request.token || is_new_token
            }
            Some(_) => false,
            None => {
                let has_capacity = self.grants.len() < MAX_TRACKED_RESOURCES;
                now >= self.grants_blocked_until && is_new_token && has_capacity
            }
        }
    }

    /// Releases a holder's lease before its end. A release that does not match the current grant
    /// changes nothing.
    pub fn release(&mut self, resource: Resource, holder: &Holder, token: FencingToken) {
        let grant = self.grants.get(&resource);
        if grant.is_some_and(|grant| grant.belongs_to(holder, token)) {
            self.grants.remove(&resource);
        }
    }
}
