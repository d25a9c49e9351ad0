//! The rules by which a voter grants and refuses requests.
use super::*;

#[test]
fn a_new_voter_grants_nothing_for_one_lease_duration() {
    let first = holder("a");
    let mut voter = Voter::new(timing(), TokenHighWaterMarks::default(), 0);

    let too_early = voter.request(&request(&first, 1), 999 * MS);
    let in_time = voter.request(&request(&first, 1), 1_000 * MS);

    assert_eq!(too_early, refused(0));
    assert_eq!(in_time, granted());
}

#[test]
fn a_granted_resource_is_renewed_for_its_holder_and_refused_to_others() {
    let first = holder("a");
    let second = holder("b");
    let mut voter = Voter::new(timing(), TokenHighWaterMarks::default(), 0);
    assert_eq!(voter.request(&request(&first, 1), 1_000 * MS), granted());

    let renewal = voter.request(&request(&first, 1), 1_500 * MS);
    let other_holder = voter.request(&request(&second, 2), 1_600 * MS);
    let after_expiry = voter.request(&request(&first, 1), 2_500 * MS);

    assert_eq!(renewal, renewed());
    assert_eq!(other_holder, refused(1), "another holder has the lease");
    assert_eq!(
        after_expiry,
        refused(1),
        "an expired lease is not renewed under its old token"
    );
}

/// A voter may have granted a lease just before it was restarted, so it grants nothing for one
/// lease duration, and never grants a token that an earlier incarnation granted.
#[test]
fn a_restarted_voter_waits_and_never_grants_a_stored_token_again() {
    let first = holder("a");
    let second = holder("b");
    let mut earlier = Voter::new(timing(), TokenHighWaterMarks::default(), 0);
    assert_eq!(earlier.request(&request(&first, 1), 1_000 * MS), granted());
    let stored = earlier.high_water_marks().clone();

    let mut voter = Voter::new(timing(), stored, 2_600 * MS);
    let too_early = voter.request(&request(&second, 2), 3_500 * MS);
    let granted_token = voter.request(&request(&second, 1), 3_600 * MS);
    let new_token = voter.request(&request(&second, 2), 3_600 * MS);

    assert_eq!(
        too_early,
        refused(1),
        "within one lease duration of the restart"
    );
    assert_eq!(granted_token, refused(1), "granted before the restart");
    assert_eq!(new_token, granted());
}

#[test]
fn only_the_holder_can_release_a_grant() {
    let first = holder("a");
    let second = holder("b");
    let mut voter = Voter::new(timing(), TokenHighWaterMarks::default(), 0);
    assert_eq!(voter.request(&request(&second, 2), 3_600 * MS), granted());

    voter.release(RESOURCE, &first, FencingToken(2));
    let after_foreign_release = voter.request(&request(&first, 3), 3_700 * MS);
    voter.release(RESOURCE, &second, FencingToken(2));
    let after_release = voter.request(&request(&first, 3), 3_700 * MS);

    assert_eq!(
        after_foreign_release,
        refused(2),
        "the release by another holder has no effect"
    );
    assert_eq!(after_release, granted());
}

/// The limit bounds the voter's memory when resources are added without end, for example as engines
/// are replaced.
#[test]
fn a_voter_grants_at_most_the_tracked_number_of_resources_at_once() {
    let high_water_marks = fencing_tests::observe_random_tokens().high_water_marks;
    let mut voter = Voter::new(timing(), high_water_marks.clone(), 0);
    let candidate = holder("a");
    let mut is_granted = |number: u64| {
        let resource = Resource::Probe(10_000 + number);
        let highest = high_water_marks.get(resource);
        let request = LeaseRequest {
            holder: candidate.clone(),
            resource,
            token: FencingToken(highest.0 + 1_000_000 + number),
            round: 0,
        };
        voter.request(&request, 2_000 * MS).vote == Vote::Granted
    };

    let grants = (0..3_000).filter(|number| is_granted(*number)).count();

    assert_eq!(grants, MAX_TRACKED_RESOURCES);
}
