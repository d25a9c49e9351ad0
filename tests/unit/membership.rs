//! The membership machine among simulated managers on a simulated network: loss, one-way cuts,
//! partitions, pauses, restarts, late and doubled datagrams, all from fixed seeds. Every datagram
//! passes through the codec.
use super::codec::{self, DecodeError};
use super::*;
use crate::testkit::membership_simulation::{Emulator, addr, name, rumour};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::collections::BTreeSet;

fn fleet(members: usize, seed: u64) -> Emulator {
    Emulator::new(members, &Timing::default(), seed)
}

/// Guards the start: from one seed address every manager learns every other within a few periods.
#[test]
fn members_find_each_other_from_one_seed() {
    let mut net = fleet(8, 11);
    net.run(6 * SEC);
    assert!(net.agree(), "not all know all after 6 s");
}

/// Guards against false deaths: with a fifth of all datagrams lost, and some doubled and late,
/// nobody is declared dead.
#[test]
fn a_fifth_of_datagrams_lost_kills_nobody() {
    for seed in [1, 2, 3] {
        let mut net = fleet(6, seed);
        net.run(5 * SEC);
        assert!(net.agree());
        (net.loss, net.doubled) = (0.2, 0.05);
        net.run(120 * SEC);
        let dead: Vec<_> = net
            .changes
            .iter()
            .filter(|c| c.health == MemberState::Dead)
            .collect();
        assert!(
            dead.is_empty(),
            "seed {seed}: declared dead under loss: {dead:?}"
        );
        let used = net.bytes.iter().sum::<u64>() / 125 / net.nodes.len() as u64;
        assert!(
            used <= bandwidth_budget(&Timing::default()),
            "seed {seed}: {used} bytes a second a member, over the budget"
        );
    }
}

/// Guards a large fleet against loss: one failed round of probes is no suspicion, or more members
/// are suspected a period than the news can carry refutations of. Guards its start, too: who joins
/// reads the members page by page.
#[test]
fn sixty_members_join_soon_and_lose_nobody_to_loss() {
    let mut net = fleet(60, 21);
    net.run(5 * SEC);
    assert!(net.agree(), "not all know all after 5 s");
    net.loss = 0.2;
    net.run(40 * SEC);
    let dead: Vec<_> = net
        .changes
        .iter()
        .filter(|c| c.health == MemberState::Dead)
        .collect();
    assert!(dead.is_empty(), "declared dead under loss: {dead:?}");
    let suspected = net
        .changes
        .iter()
        .filter(|c| c.health == MemberState::Suspect)
        .count();
    assert!(suspected < 60 * 40, "{suspected} suspicions heard");
}

/// Guards asymmetric loss: A does not hear B, B hears A, and B is still reached through others.
/// Nobody is declared dead; the indirect probe is what saves it.
#[test]
fn a_one_way_cut_is_bridged_by_indirect_probes() {
    let mut net = fleet(5, 4);
    net.run(5 * SEC);
    net.cut.insert((1, 0));
    net.cut.insert((0, 1));
    net.run(60 * SEC);
    assert!(net.declared_dead(1, 0).is_empty() && net.declared_dead(0, 0).is_empty());
    assert!(net.agree());
}

/// Guards detection: a stopped manager is declared dead by all others within the stated bound; once
/// it goes on, it refutes and all take it for alive again.
#[test]
fn a_stopped_manager_is_found_dead_and_comes_back() {
    for seed in [5, 6, 7] {
        let mut net = fleet(6, seed);
        net.run(5 * SEC);
        let stopped = net.now;
        net.pause(2);
        net.run(30 * SEC);
        let dead = net.declared_dead(2, stopped);
        let who: BTreeSet<usize> = dead.iter().map(|d| d.1).collect();
        assert_eq!(who.len(), 5, "seed {seed}: not all declared it dead");
        let last = dead.iter().map(|d| d.0).max().unwrap_or_default() - stopped;
        let bound = detection_bound(&Timing::default(), 6);
        assert!(last <= bound, "seed {seed}: took {last} µs, bound {bound}");
        net.resume(2);
        net.run(10 * SEC);
        assert!(net.agree(), "seed {seed}: did not come back");
        assert!(net.nodes[2].me().incarnation > 1, "it refuted");
    }
}

/// Guards a partition into two halves: each side declares the other dead, and after the heal all
/// agree again.
#[test]
fn two_halves_agree_again_after_the_heal() {
    let mut net = fleet(6, 8);
    net.run(5 * SEC);
    net.partition(0..3, 3..6);
    net.run(30 * SEC);
    assert_eq!(net.health(0, 4), Some(MemberState::Dead));
    assert_eq!(net.health(4, 0), Some(MemberState::Dead));
    net.cut.clear();
    net.run(15 * SEC);
    assert!(net.agree(), "no agreement after the heal");
}

/// Guards a restart under the same name: the new life, with a higher incarnation, is taken; a
/// datagram of the earlier life that comes late changes nothing.
#[test]
fn a_new_life_outranks_the_old_one() {
    let mut net = fleet(5, 9);
    net.run(5 * SEC);
    let old = codec::encode(&Message {
        from: rumour(3, 1),
        body: MessageBody::Ping(1),
        gossip: vec![],
    });
    net.restart(3, 1_000, 99);
    net.run(5 * SEC);
    assert!(net.agree());
    let before = net.nodes[1].dropped;
    let mut out = Vec::new();
    let now = net.now;
    net.nodes[1].receive(
        addr(3),
        codec::decode(&old, 1_200).expect("ours"),
        now,
        &mut out,
    );
    assert_eq!(net.nodes[1].dropped, before + 1);
    assert!(out.is_empty(), "an old life is answered");
    assert_eq!(net.nodes[1].members()[&name(3)].update.incarnation, 1_000);
}

/// Guards the versions: a new generation of one manager reaches all others with its new
/// incarnation.
#[test]
fn new_versions_reach_every_member() {
    let mut net = fleet(6, 10);
    net.run(5 * SEC);
    let mut versions = net.nodes[4].me().versions.clone();
    versions.generation = 2;
    net.nodes[4].set_versions(versions);
    net.run(3 * SEC);
    for i in (0..6).filter(|i| *i != 4) {
        assert_eq!(
            net.nodes[i].members()[&name(4)].update.versions.generation,
            2,
            "member {i}"
        );
    }
}

/// Guards the straggler's rule: behind a majority it is brought up after the grace and shut out
/// after twice that; a minority ahead, or half, never shuts it out; a list that moves on while it
/// keeps up is no lag.
#[test]
fn a_straggler_is_judged_by_the_majority_of_all_members() {
    let at = |settings, list| RunningVersions {
        settings,
        list,
        ..RunningVersions::default()
    };
    let (me, new, grace) = (at(1, 3), at(2, 3), 3 * SEC);
    let judge = |me: &RunningVersions, others: &[&RunningVersions], now| {
        let mut straggler = Straggler::default();
        straggler.judge(me, others, grace, 0);
        straggler.judge(me, others, grace, now)
    };
    let majority = [&new, &new, &new, &me];
    assert_eq!(judge(&me, &majority, 0), VersionStatus::Behind);
    assert_eq!(judge(&me, &majority, grace), VersionStatus::BringUp);
    assert_eq!(judge(&me, &majority, 2 * grace), VersionStatus::ShutOut);
    assert_eq!(
        judge(&me, &[&new, &new, &me, &me, &me], 10 * grace),
        VersionStatus::InStep
    );
    // Half is no majority.
    assert_eq!(
        judge(&me, &[&new, &new, &me], 10 * grace),
        VersionStatus::InStep
    );
    // The list: the majority at 9, this one at 3, until it takes 9; then the majority moves on to
    // 10 and it follows.
    let mut straggler = Straggler::default();
    let ahead = at(1, 9);
    assert_eq!(
        straggler.judge(&me, &[&ahead, &ahead, &ahead, &me], grace, 0),
        VersionStatus::Behind
    );
    assert_eq!(
        straggler.judge(&me, &[&ahead, &ahead, &ahead, &me], grace, grace),
        VersionStatus::BringUp
    );
    let (caught, moved) = (at(1, 9), at(1, 10));
    assert_eq!(
        straggler.judge(&caught, &[&moved, &moved], grace, 2 * grace),
        VersionStatus::Behind
    );
    assert_eq!(
        straggler.judge(&moved, &[&moved, &moved], grace, 3 * grace),
        VersionStatus::InStep
    );
}

/// Guards engines against shares that two sides take at once: what others leave is taken over by a
/// majority alone and after the grace; a side that loses sight of the rest piece by piece takes
/// nothing; what is taken back is given back at once.
#[test]
fn shares_pass_to_a_majority_that_has_stood_for_the_grace() {
    let grace = 3 * SEC;
    let with = |what: &[MemberState]| -> Vec<MemberUpdate> {
        what.iter()
            .enumerate()
            .map(|(i, h)| MemberUpdate {
                state: *h,
                ..rumour(i + 1, 1)
            })
            .collect()
    };
    let me = rumour(0, 1);
    use MemberState::*;
    let mut sharers = ActiveGatewayCount::new(5);
    let mut count = |others: &[MemberUpdate], now| sharers.count(&me, others.iter(), grace, now);
    let one_dead = with(&[Alive, Alive, Alive, Dead]);
    assert_eq!(count(&one_dead, 0), 5);
    assert_eq!(count(&one_dead, grace - 1), 5);
    assert_eq!(count(&one_dead, grace), 4);
    assert_eq!(count(&with(&[Alive, Alive, Alive, Alive]), grace + 1), 5);
    // One that comes and goes within the grace is never counted out.
    for k in 2..9 {
        assert_eq!(count(&one_dead, k * 2 * grace), 5);
        assert_eq!(count(&with(&[Alive; 4]), k * 2 * grace + grace / 2), 5);
    }
    // The smaller side of a partition finds the others dead one by one.
    let mut now = 100 * grace;
    for others in [
        [Alive, Dead, Suspect, Suspect],
        [Alive, Dead, Dead, Suspect],
        [Alive, Dead, Dead, Dead],
    ] {
        for _ in 0..4 {
            now += grace;
            assert_eq!(count(&with(&others), now), 5);
        }
    }
    // One that is shut out takes none, one that left takes none; the settings may name more than
    // are known.
    let mut others = with(&[Alive, Alive, Alive, Left]);
    others[0].versions.stage = SHUT_OUT.into();
    let mut sharers = ActiveGatewayCount::new(300);
    assert_eq!(sharers.count(&me, others.iter(), grace, 0), 300);
    assert_eq!(sharers.count(&me, others.iter(), grace, grace), 298);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_201), ..ProptestConfig::default()
    })]

    /// Guards the model's two properties under random faults: a member that never stops, and that
    /// others reach at least through one relay, is never declared dead; once the faults end, all
    /// agree within a bound.
    #[test]
    fn random_faults_kill_no_reachable_member_and_end_in_agreement(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0usize..6, 0usize..6, 0u8..4, 1u64..8), 1..10),
    ) {
        let mut net = fleet(6, seed);
        net.run(5 * SEC);
        let start = net.now;
        let mut stopped = BTreeSet::new();
        for (a, b, what, seconds) in steps {
            net.cut.clear();
            net.loss = 0.0;
            match what {
                // One link cut both ways: both are still reached through the other four.
                0 if a != b => {
                    net.cut.insert((a, b));
                    net.cut.insert((b, a));
                }
                1 if a != b => {
                    net.cut.insert((a, b));
                }
                2 => net.loss = 0.05 * (1 + b % 4) as f64,
                // A pause of a member shorter than the suspicion: it may be suspected, and must
                // refute.
                3 => {
                    net.pause(a);
                    net.run(seconds.min(2) * SEC);
                    net.resume(a);
                    stopped.insert(a);
                    continue;
                }
                _ => {}
            }
            net.run(seconds * SEC);
        }
        net.cut.clear();
        net.loss = 0.0;
        for member in 0..6 {
            let dead = net.declared_dead(member, start);
            prop_assert!(stopped.contains(&member) || dead.is_empty(), "{member} declared dead: {dead:?}");
        }
        net.run(15 * SEC);
        prop_assert!(net.agree(), "no agreement 15 s after the faults");
    }

    /// Guards the socket against what anyone may send: garbage, cut datagrams and spoilt ones are
    /// dropped, never a panic.
    #[test]
    fn any_bytes_are_read_or_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..1_400), cut in 0usize..400) {
        let _ = codec::decode(&bytes, 1_200);
        let good = codec::encode(&Message { from: rumour(1, 3), body: MessageBody::PingReq(4, addr(2)), gossip: vec![rumour(2, 5)] });
        prop_assert!(codec::decode(&good, 1_200).is_ok());
        let short = &good[..cut.min(good.len() - 1)];
        prop_assert!(codec::decode(short, 1_200).is_err());
        let mut tagged = codec::TAG.to_vec();
        tagged.extend(&bytes);
        let _ = codec::decode(&tagged, 1_200);
    }
}

/// Guards the format's tag: another build's format and oversized datagrams are told apart from
/// spoilt ones.
#[test]
fn foreign_and_oversized_datagrams_are_named() {
    assert_eq!(
        codec::decode(b"YLM0anything", 1_200),
        Err(DecodeError::Foreign)
    );
    assert_eq!(
        codec::decode(&[0; 2_000], 1_200),
        Err(DecodeError::Oversized)
    );
    assert_eq!(
        codec::decode(b"YLM2\xff\xff\xff", 1_200),
        Err(DecodeError::Spoilt)
    );
}
