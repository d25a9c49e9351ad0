//! Tests of the state machines of leases, one file for each, and their shared builders.
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

/// A grant under a new token, which must be stored before the vote is sent.
fn granted() -> VoteOutcome {
    VoteOutcome {
        vote: Vote::Granted,
        must_store: true,
    }
}

/// A grant under the current token.
fn renewed() -> VoteOutcome {
    VoteOutcome {
        vote: Vote::Granted,
        must_store: false,
    }
}

/// Guards against an underflow of the validity, which would make a lease almost endless: every
/// timing that passes `validate` leaves a holder at least half of the lease duration.
#[test]
fn a_valid_timing_leaves_a_holder_half_of_the_lease_duration() {
    for lease_duration_ms in [1, 2, 3, 10, 3_000, 600_000] {
        for clock_drift_per_mille in [0, 20, 500, 999, 1_000, 2_000, u64::MAX] {
            for safety_margin_ms in [0, 1, 2, 100, 1_500, u64::MAX] {
                let timing = LeaseTiming {
                    lease_duration_ms,
                    clock_drift_per_mille,
                    safety_margin_ms,
                    ..LeaseTiming::default()
                };
                if timing.validate().is_ok() {
                    let half = lease_duration_ms * MS / 2;
                    assert!(timing.holder_validity() >= half, "{timing:?}");
                    assert!(
                        timing.holder_validity() <= timing.grant_duration(),
                        "{timing:?}"
                    );
                }
            }
        }
    }
    assert!(LeaseTiming::default().validate().is_ok());
}
