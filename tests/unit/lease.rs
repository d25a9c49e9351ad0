//! Tests of the leases' state machines, a file for each part, and the builders they share.
use super::*;
use crate::clock::{MS, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

#[path = "lease/fencing.rs"]
mod fencing_tests;
#[path = "lease/placement.rs"]
mod placement_tests;
#[path = "lease/safety.rs"]
mod safety_tests;
#[path = "lease/shared_probe.rs"]
mod shared_probe_tests;
#[path = "lease/simulation.rs"]
mod simulation;
#[path = "lease/voter.rs"]
mod voter_tests;

const RESOURCE: Resource = Resource::Probe(7);

fn timing() -> LeaseTiming {
    LeaseTiming {
        lease_duration_ms: 1_000,
        clock_drift_per_mille: 20,
        safety_margin_ms: 20,
        ..LeaseTiming::default()
    }
}

fn holder(name: &str) -> Holder {
    Holder {
        name: name.into(),
        incarnation: 1,
    }
}

fn request(holder: &Holder, token: u64) -> LeaseRequest {
    LeaseRequest {
        holder: holder.clone(),
        resource: RESOURCE,
        token: FencingToken(token),
        round: 0,
    }
}

fn refused(highest_token: u64) -> VoteOutcome {
    VoteOutcome {
        vote: Vote::Refused {
            highest_token: FencingToken(highest_token),
        },
        must_store: false,
    }
}

/// A grant under a new token, which has to be stored before the vote is sent.
fn granted() -> VoteOutcome {
    VoteOutcome {
        vote: Vote::Granted,
        must_store: true,
    }
}

/// A grant under the present token.
fn renewed() -> VoteOutcome {
    VoteOutcome {
        vote: Vote::Granted,
        must_store: false,
    }
}
