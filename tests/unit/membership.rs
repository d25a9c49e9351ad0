//! The membership protocol among simulated managers on a simulated network with loss, blocked
//! links, partitions, pauses, restarts, late and duplicated datagrams, all from fixed seeds. Every
//! datagram is encoded and decoded.
use super::codec::{self, DecodeError};
use super::{
    ActiveGatewayCount, MemberState, MemberUpdate, Message, MessageBody, RunningVersions, SHUT_OUT,
    Straggler, Timing, VersionStatus, bandwidth_budget, detection_bound,
};
use crate::clock::{Micros, SEC};
use crate::testkit::membership_simulation::{
    SimulatedFleet, StateChange, joining_update, member_addr, member_name,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::collections::BTreeSet;

/// The largest datagram that the default timing allows.
const MAX_DATAGRAM_BYTES: usize = 1_200;
const GRACE: Micros = 3 * SEC;

fn new_fleet(members: usize, seed: u64) -> SimulatedFleet {
    SimulatedFleet::new(members, &Timing::default(), seed)
}

/// A fleet that has converged after five seconds.
fn converged_fleet(members: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = new_fleet(members, seed);
    fleet.run(5 * SEC);
    assert!(
        fleet.has_converged(),
        "seed {seed}: the fleet did not converge within 5 s"
    );
    fleet
}

fn changes_to(fleet: &SimulatedFleet, state: MemberState) -> Vec<&StateChange> {
    fleet
        .changes
        .iter()
        .filter(|change| change.state == state)
        .collect()
}

#[test]
fn members_discover_each_other_from_one_seed() {
    let mut fleet = new_fleet(8, 11);

    fleet.run(6 * SEC);

    assert!(
        fleet.has_converged(),
        "the fleet did not converge within 6 s"
    );
}

/// No false positives: with a fifth of all datagrams lost, and some duplicated and late, no member
/// is declared dead, and the traffic remains within its budget.
#[test]
fn loss_of_a_fifth_of_all_datagrams_causes_no_false_death() {
    for seed in [1, 2, 3] {
        let mut fleet = converged_fleet(6, seed);
        fleet.loss = 0.2;
        fleet.duplication = 0.05;

        fleet.run(120 * SEC);

        let dead = changes_to(&fleet, MemberState::Dead);
        assert!(
            dead.is_empty(),
            "seed {seed}: declared dead under loss: {dead:?}"
        );
        let total_bytes = fleet.sent_bytes.iter().sum::<u64>();
        let seconds = fleet.now / SEC;
        let bytes_per_second = total_bytes / seconds / fleet.nodes.len() as u64;
        assert!(
            bytes_per_second <= bandwidth_budget(&Timing::default()),
            "seed {seed}: {bytes_per_second} bytes per second per member, over the budget"
        );
    }
}

/// A large fleet converges quickly, because a joining member reads the member lists of others page
/// by page. Only a second failed round of probes in a row causes a suspicion: after one round there
/// would be more suspicions than gossip can disseminate refutations for.
#[test]
fn a_large_fleet_joins_quickly_and_bounds_suspicions_under_loss() {
    let mut fleet = converged_fleet(60, 21);
    fleet.loss = 0.2;

    fleet.run(40 * SEC);

    let dead = changes_to(&fleet, MemberState::Dead);
    assert!(dead.is_empty(), "declared dead under loss: {dead:?}");
    let suspicions = changes_to(&fleet, MemberState::Suspect).len();
    assert!(suspicions < 60 * 40, "{suspicions} suspicions reported");
}

/// Two members without a direct link reach each other through the indirect probes of others.
#[test]
fn indirect_probes_prevent_a_false_death_over_a_blocked_link() {
    let mut fleet = converged_fleet(5, 4);
    fleet.blocked_links.block_both_ways(0, 1);

    fleet.run(60 * SEC);

    assert!(fleet.death_reports(1, 0).is_empty() && fleet.death_reports(0, 0).is_empty());
    assert!(fleet.has_converged());
}

#[test]
fn a_stopped_member_is_declared_dead_within_the_bound_and_refutes_on_return() {
    for seed in [5, 6, 7] {
        let mut fleet = converged_fleet(6, seed);
        let stopped_at = fleet.now;

        fleet.pause(2);
        fleet.run(30 * SEC);

        let reports = fleet.death_reports(2, stopped_at);
        let observers: BTreeSet<usize> = reports.iter().map(|report| report.observer).collect();
        assert_eq!(observers.len(), 5, "seed {seed}: not all declared it dead");
        let last_report = reports.iter().map(|report| report.at).max();
        let elapsed = last_report.unwrap_or_default() - stopped_at;
        let bound = detection_bound(&Timing::default(), 6);
        assert!(
            elapsed <= bound,
            "seed {seed}: took {elapsed} µs, bound {bound}"
        );

        fleet.resume(2);
        fleet.run(10 * SEC);

        assert!(
            fleet.has_converged(),
            "seed {seed}: the stopped member did not rejoin"
        );
        assert!(
            fleet.nodes[2].me().incarnation > 1,
            "the stopped member did not refute its death"
        );
    }
}

#[test]
fn both_sides_of_a_partition_converge_after_it_heals() {
    let mut fleet = converged_fleet(6, 8);

    fleet.blocked_links.partition(&[0, 1, 2], &[3, 4, 5]);
    fleet.run(30 * SEC);

    assert_eq!(fleet.state_of(0, 4), Some(MemberState::Dead));
    assert_eq!(fleet.state_of(4, 0), Some(MemberState::Dead));

    fleet.blocked_links.clear();
    fleet.run(15 * SEC);

    assert!(
        fleet.has_converged(),
        "the fleet did not converge after the partition"
    );
}

/// A restarted member is accepted under its higher incarnation, and a late datagram of the earlier
/// incarnation is dropped.
#[test]
fn a_restarted_member_outranks_its_earlier_incarnation() {
    let mut fleet = converged_fleet(5, 9);
    let late_datagram = codec::encode(&Message {
        from: joining_update(3, 1),
        body: MessageBody::Ping(1),
        gossip: vec![],
    });
    fleet.restart(3, 1_000, 99);
    fleet.run(5 * SEC);
    assert!(fleet.has_converged());
    let dropped_before = fleet.nodes[1].dropped_datagrams;

    let message = codec::decode(&late_datagram, MAX_DATAGRAM_BYTES).expect("a valid datagram");
    let mut actions = Vec::new();
    let now = fleet.now;
    fleet.nodes[1].receive(member_addr(3), message, now, &mut actions);

    assert_eq!(fleet.nodes[1].dropped_datagrams, dropped_before + 1);
    assert!(
        actions.is_empty(),
        "a datagram of a stale incarnation got a reply"
    );
    let known = &fleet.nodes[1].members()[&member_name(3)].update;
    assert_eq!(known.incarnation, 1_000);
}

/// Guards against a new member at the address of one that has gone: in a past fault its acks counted
/// for the one that had gone, which stayed alive for as long as the new one did. The clock of the new
/// one may be behind.
#[test]
fn a_new_member_at_the_address_of_another_one_is_not_taken_for_it() {
    for (seed, incarnation) in [(31, 2_000), (32, 1), (33, 0)] {
        let mut fleet = converged_fleet(6, seed);
        fleet.replace(3, "replacement", incarnation, 99);

        fleet.run(20 * SEC);

        for observer in [0, 1, 2, 4, 5] {
            let members = fleet.nodes[observer].members();
            let state = |name: &str| members.get(name).map(|member| member.update.state);
            let states = (state(&member_name(3)), state("replacement"));
            let expected = (Some(MemberState::Dead), Some(MemberState::Alive));
            assert_eq!(states, expected, "seed {seed}, observer {observer}");
        }
        let replaced = fleet.death_reports(3, 0);
        let others = changes_to(&fleet, MemberState::Dead).len() - replaced.len();
        assert_eq!(others, 0, "seed {seed}: only the one that has gone is dead");
    }
}

/// Guards a running member against a late datagram of the one whose address it has: it is not declared
/// dead for long.
#[test]
fn a_late_datagram_of_the_earlier_member_at_an_address_does_not_displace_the_new_one() {
    let mut fleet = converged_fleet(6, 34);
    fleet.replace(3, "replacement", 2_000, 99);
    fleet.run(5 * SEC);
    let late = Message {
        from: joining_update(3, 1),
        body: MessageBody::Ping(1),
        gossip: vec![],
    };
    for observer in [0, 1, 2, 4, 5] {
        let now = fleet.now;
        let mut actions = Vec::new();
        fleet.nodes[observer].receive(member_addr(3), late.clone(), now, &mut actions);
    }

    fleet.run(5 * SEC);

    for observer in [0, 1, 2, 4, 5] {
        let replacement = fleet.nodes[observer].members().get("replacement");
        let state = replacement.map(|member| member.update.state);
        assert_eq!(state, Some(MemberState::Alive), "observer {observer}");
    }
}

#[test]
fn new_versions_of_one_member_reach_all_others() {
    let mut fleet = converged_fleet(6, 10);
    let mut versions = fleet.nodes[4].me().versions.clone();
    versions.generation = 2;

    fleet.nodes[4].set_versions(versions);
    fleet.run(3 * SEC);

    for observer in (0..6).filter(|observer| *observer != 4) {
        let known = &fleet.nodes[observer].members()[&member_name(4)].update;
        assert_eq!(known.versions.generation, 2, "member {observer}");
    }
}

fn versions(settings: u64, list: u64) -> RunningVersions {
    RunningVersions {
        settings,
        list,
        ..RunningVersions::default()
    }
}

/// The status at `now` of a manager that has run `me` among `others` since time 0.
fn status_at(now: Micros, me: &RunningVersions, others: &[&RunningVersions]) -> VersionStatus {
    let mut straggler = Straggler::default();
    straggler.evaluate(me, others, GRACE, 0);
    straggler.evaluate(me, others, GRACE, now)
}

#[test]
fn a_straggler_behind_a_majority_reloads_and_is_then_shut_out() {
    let (me, new) = (versions(1, 3), versions(2, 3));
    let majority_ahead = [&new, &new, &new, &me];

    assert_eq!(status_at(0, &me, &majority_ahead), VersionStatus::Behind);
    assert_eq!(
        status_at(GRACE, &me, &majority_ahead),
        VersionStatus::BringUp
    );
    assert_eq!(
        status_at(2 * GRACE, &me, &majority_ahead),
        VersionStatus::ShutOut
    );
}

#[test]
fn a_minority_or_half_of_the_fleet_ahead_makes_no_straggler() {
    let (me, new) = (versions(1, 3), versions(2, 3));
    let minority_ahead = [&new, &new, &me, &me, &me];
    let half_ahead = [&new, &new, &me];

    assert_eq!(
        status_at(10 * GRACE, &me, &minority_ahead),
        VersionStatus::InStep
    );
    assert_eq!(
        status_at(10 * GRACE, &me, &half_ahead),
        VersionStatus::InStep
    );
}

/// The manager reaches the majority's list version, and then the next one that the majority
/// reaches.
#[test]
fn a_member_that_reaches_each_version_of_a_changing_list_is_not_shut_out() {
    let mut straggler = Straggler::default();
    let (me, ahead) = (versions(1, 3), versions(1, 9));
    let others = [&ahead, &ahead, &ahead, &me];
    assert_eq!(
        straggler.evaluate(&me, &others, GRACE, 0),
        VersionStatus::Behind
    );
    assert_eq!(
        straggler.evaluate(&me, &others, GRACE, GRACE),
        VersionStatus::BringUp
    );

    let (caught_up, moved_on) = (versions(1, 9), versions(1, 10));
    let others = [&moved_on, &moved_on];

    assert_eq!(
        straggler.evaluate(&caught_up, &others, GRACE, 2 * GRACE),
        VersionStatus::Behind
    );
    assert_eq!(
        straggler.evaluate(&moved_on, &others, GRACE, 3 * GRACE),
        VersionStatus::InStep
    );
}

/// Updates of members with these states, numbered from 1.
fn members_in(states: &[MemberState]) -> Vec<MemberUpdate> {
    states
        .iter()
        .enumerate()
        .map(|(index, state)| MemberUpdate {
            state: *state,
            ..joining_update(index + 1, 1)
        })
        .collect()
}

/// Counts the active gateways as member 0 does.
fn count_active(gateways: &mut ActiveGatewayCount, others: &[MemberUpdate], now: Micros) -> u32 {
    gateways.count(&joining_update(0, 1), others.iter(), GRACE, now)
}

#[test]
fn a_dead_members_share_is_taken_over_after_the_grace_and_returned_immediately() {
    use MemberState::{Alive, Dead};
    let all_alive = members_in(&[Alive; 4]);
    let one_dead = members_in(&[Alive, Alive, Alive, Dead]);
    let mut gateways = ActiveGatewayCount::new(5);

    assert_eq!(count_active(&mut gateways, &one_dead, 0), 5);
    assert_eq!(count_active(&mut gateways, &one_dead, GRACE - 1), 5);
    assert_eq!(count_active(&mut gateways, &one_dead, GRACE), 4);
    assert_eq!(count_active(&mut gateways, &all_alive, GRACE + 1), 5);
    // A member that flaps within the grace period is never excluded from the count.
    for round in 2..9 {
        let start = round * 2 * GRACE;
        assert_eq!(count_active(&mut gateways, &one_dead, start), 5);
        assert_eq!(
            count_active(&mut gateways, &all_alive, start + GRACE / 2),
            5
        );
    }
}

/// The smaller side of a partition detects its lost members one by one and takes over no share.
#[test]
fn the_minority_side_of_a_partition_takes_over_no_share() {
    use MemberState::{Alive, Dead, Suspect};
    let mut gateways = ActiveGatewayCount::new(5);
    let mut now = 100 * GRACE;

    for states in [
        [Alive, Dead, Suspect, Suspect],
        [Alive, Dead, Dead, Suspect],
        [Alive, Dead, Dead, Dead],
    ] {
        let others = members_in(&states);
        for _ in 0..4 {
            now += GRACE;
            assert_eq!(count_active(&mut gateways, &others, now), 5);
        }
    }
}

/// The number of managers in the settings may exceed the number of known members.
#[test]
fn departed_and_shut_out_members_take_no_share() {
    use MemberState::{Alive, Left};
    let mut others = members_in(&[Alive, Alive, Alive, Left]);
    others[0].versions.stage = SHUT_OUT.into();
    let mut gateways = ActiveGatewayCount::new(300);

    assert_eq!(count_active(&mut gateways, &others, 0), 300);
    assert_eq!(count_active(&mut gateways, &others, GRACE), 298);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_201), ..ProptestConfig::default()
    })]

    /// The two properties of the protocol under random faults: a member that is never paused, and
    /// that others reach at least through one helper, is never declared dead; and after the end of
    /// the faults, all members converge within 15 s.
    #[test]
    fn random_faults_cause_no_false_death_and_the_fleet_converges_afterwards(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0usize..6, 0usize..6, 0u8..4, 1u64..8), 1..10),
    ) {
        let mut fleet = new_fleet(6, seed);
        fleet.run(5 * SEC);
        let start = fleet.now;
        let mut stopped = BTreeSet::new();

        for (one, other, fault, seconds) in steps {
            fleet.blocked_links.clear();
            fleet.loss = 0.0;
            match fault {
                // Both members can still be reached through the other four.
                0 if one != other => fleet.blocked_links.block_both_ways(one, other),
                1 if one != other => fleet.blocked_links.block(one, other),
                2 => fleet.loss = 0.05 * (1 + other % 4) as f64,
                // The pause is shorter than the suspicion timeout: the member may be suspected, and
                // must refute that.
                3 => {
                    fleet.pause(one);
                    fleet.run(seconds.min(2) * SEC);
                    fleet.resume(one);
                    stopped.insert(one);
                    continue;
                }
                _ => {}
            }
            fleet.run(seconds * SEC);
        }
        fleet.blocked_links.clear();
        fleet.loss = 0.0;

        for member in 0..6 {
            let dead = fleet.death_reports(member, start);
            prop_assert!(stopped.contains(&member) || dead.is_empty(), "{member} declared dead: {dead:?}");
        }
        fleet.run(15 * SEC);
        prop_assert!(fleet.has_converged(), "the fleet did not converge within 15 s after the faults");
    }

    /// Arbitrary bytes, truncated datagrams and corrupted ones are dropped without a panic.
    #[test]
    fn arbitrary_bytes_never_make_decoding_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..1_400),
        cut in 0usize..400,
    ) {
        let _ = codec::decode(&bytes, MAX_DATAGRAM_BYTES);
        let valid = codec::encode(&Message {
            from: joining_update(1, 3),
            body: MessageBody::PingReq { sequence: 4, target: member_addr(2) },
            gossip: vec![joining_update(2, 5)],
        });
        prop_assert!(codec::decode(&valid, MAX_DATAGRAM_BYTES).is_ok());
        let truncated = &valid[..cut.min(valid.len() - 1)];
        prop_assert!(codec::decode(truncated, MAX_DATAGRAM_BYTES).is_err());
        let mut tagged = codec::TAG.to_vec();
        tagged.extend(&bytes);
        let _ = codec::decode(&tagged, MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn foreign_oversized_and_malformed_datagrams_are_distinguished() {
    assert_eq!(
        codec::decode(b"YLM0anything", MAX_DATAGRAM_BYTES),
        Err(DecodeError::Foreign)
    );
    assert_eq!(
        codec::decode(&[0; 2_000], MAX_DATAGRAM_BYTES),
        Err(DecodeError::Oversized)
    );
    assert_eq!(
        codec::decode(b"YLM2\xff\xff\xff", MAX_DATAGRAM_BYTES),
        Err(DecodeError::Malformed)
    );
}
