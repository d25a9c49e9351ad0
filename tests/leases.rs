//! Leases between real daemons on loopback: the lease holder of an engine probes it on behalf of
//! five managers. If the holder is suspended past the end of its lease, partitioned, killed or shut
//! down, another manager acquires the lease under a higher token, and no token is held twice. The
//! stand-in engines distinguish managers by the address that they connect to.
use rustix::process::Signal;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use yokelift::testkit::clients::ClientOutcome;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, Options, SHARES, wait_until};

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];
const RESOURCE: &str = "probe:s-00000001";

thread_local! { static NEXT_REQUEST: Cell<u64> = const { Cell::new(1) }; }

/// A member that holds the lease on [`RESOURCE`], and its fencing token.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeaseHolder {
    member: usize,
    token: u64,
}

/// A lease acquisition from the audit report.
struct AcquiredLease {
    member: String,
    /// In microseconds of Unix time.
    acquired_at: u64,
}

/// Starts five managers whose settings name 300 managers, so that each requests load reports before
/// it dispatches. All five are voters.
fn start(tag: &str, seed: u64) -> Fleet {
    let voters: Vec<String> = ALL.iter().map(|i| format!("\"{tag}{i}\"")).collect();
    // The long timeout lets a lease holder reply even on a slow machine: a manager without a reply
    // probes the engine itself, and the tests count such probes.
    let timing = "[duties.terms]\nterm_ms = 1000\ndrift = 20\nmargin_ms = 50\nask_ms = 20000\n";
    let fleet_file = format!(
        "[audit]\n[duties]\nvoters = [{}]\n{timing}",
        voters.join(", ")
    );
    let fleet = Fleet::start_with(
        Path::new(env!("CARGO_BIN_EXE_yokelift")),
        tag,
        seed,
        Options {
            managers: 300,
            fleet_file_tables: fleet_file,
        },
    );
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    fleet
}

/// All members except one.
fn all_except(excluded: usize) -> Vec<usize> {
    ALL.into_iter()
        .filter(|member| *member != excluded)
        .collect()
}

/// Sends each of the members a query, for which it may request the engines' loads.
fn send_queries(fleet: &Fleet, members: &[usize]) {
    for member in members {
        let number = NEXT_REQUEST.with(|next| next.replace(next.get() + 1));
        let outcome = fleet.query(*member, "lookup", number, 900);
        assert!(
            !matches!(
                outcome,
                ClientOutcome::Interrupted | ClientOutcome::Invalid(_)
            ),
            "{outcome:?}: {}",
            fleet.log(*member)
        );
    }
}

/// The token under which a member reports that it holds the lease.
fn held_token(fleet: &Fleet, member: usize) -> Option<u64> {
    let (status, body) = fleet.admin_get(member, "/duties")?;
    if status != 200 {
        return None;
    }
    let row = body
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .find(|row| row["duty"] == json!(RESOURCE) && row["owns"] == json!(true))?;
    row["token"].as_u64()
}

/// The members that report that they hold the lease.
fn lease_holders(fleet: &Fleet, members: &[usize]) -> Vec<LeaseHolder> {
    let holder = |member: &usize| {
        let member = *member;
        held_token(fleet, member).map(|token| LeaseHolder { member, token })
    };
    members.iter().filter_map(holder).collect()
}

/// Sends queries to all `members` until one of them holds the lease.
fn await_lease_holder(fleet: &Fleet, members: &[usize]) -> LeaseHolder {
    await_lease_holder_among(fleet, members, members)
}

/// Sends queries to the `queried` members until one of `members` holds the lease.
fn await_lease_holder_among(fleet: &Fleet, queried: &[usize], members: &[usize]) -> LeaseHolder {
    let found = Cell::new(None);
    let is_found = || {
        send_queries(fleet, queried);
        found.set(lease_holders(fleet, members).first().copied());
        found.get().is_some()
    };
    assert!(
        wait_until(is_found),
        "no member holds the lease: {}",
        fleet.logs()
    );
    found.get().expect("found")
}

/// The number of probes from each member that reached the engine.
fn probes_by_member(fleet: &Fleet) -> Vec<usize> {
    fleet.with_stand_ins(|stand_ins| {
        ALL.iter()
            .map(|member| stand_ins.probe_count(*member, 0))
            .collect()
    })
}

/// The leases on [`RESOURCE`] by token, from the audit of all members that respond. Fails if a
/// token was held twice, or a higher token was acquired before a lower one.
fn lease_history(fleet: &Fleet) -> BTreeMap<u64, AcquiredLease> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
    command
        .args(["audit", "--json"])
        .args(fleet.admin_addrs.iter().map(ToString::to_string));
    let output = command.output().expect("the test kit");
    let report: Value = serde_json::from_slice(&output.stdout).expect("a report");
    let rows = report["owned"].as_array().expect("rows").iter();
    let mut history = BTreeMap::new();
    for row in rows.filter(|row| row["duty"] == json!(RESOURCE)) {
        let token = row["token"].as_u64().expect("a token");
        let lease = AcquiredLease {
            member: row["member"].as_str().expect("a member").to_owned(),
            acquired_at: row["from"].as_u64().expect("a time"),
        };
        let other = history.insert(token, lease);
        assert!(other.is_none(), "token {token} was held twice: {report}");
    }
    let times: Vec<u64> = history.values().map(|lease| lease.acquired_at).collect();
    assert!(times.is_sorted(), "{report}");
    history
}

/// While one manager holds the lease, no other one probes the engine. Each query gets a valid
/// response.
#[test]
fn only_the_lease_holder_probes_an_engine() {
    let fleet = start("one", 21);
    let only_holder_probes = || {
        let holder = await_lease_holder(&fleet, &ALL);
        let before = probes_by_member(&fleet);
        for _ in 0..10 {
            send_queries(&fleet, &ALL);
        }
        let after = probes_by_member(&fleet);
        // The members need some time to find the holder: one that did not find it before probes the
        // engine itself for a second.
        let holder_stayed = lease_holders(&fleet, &ALL) == [holder];
        let holder_probed = after[holder.member] > before[holder.member];
        let mut others = all_except(holder.member).into_iter();
        holder_stayed && holder_probed && others.all(|member| after[member] == before[member])
    };

    assert!(wait_until(only_holder_probes), "{}", fleet.logs());
    assert!(!lease_history(&fleet).is_empty());
}

/// The holder is suspended past the end of its lease while others send it requests, and another
/// manager acquires the lease. When the first one resumes and receives the requests queued in its
/// socket, it neither probes the engine nor reports a result that is accepted.
#[test]
fn a_lease_holder_suspended_past_its_lease_probes_nothing_when_it_resumes() {
    let fleet = start("late", 22);
    let first = await_lease_holder(&fleet, &ALL);
    let others = all_except(first.member);

    fleet.signal(first.member, Signal::STOP);
    // The others send it further requests, which remain without a reply.
    send_queries(&fleet, &others);
    let second = await_lease_holder(&fleet, &others);
    assert!(
        second.member != first.member && second.token > first.token,
        "{second:?} after {first:?}"
    );
    let before = probes_by_member(&fleet);
    fleet.signal(first.member, Signal::CONT);
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    let ended = format!("lease: ended {RESOURCE}, fencing token {}", first.token);
    assert!(wait_until(|| fleet.log(first.member).contains(&ended)));

    // It rejects the queued requests, because it does not hold the lease.
    let after = probes_by_member(&fleet);
    assert_eq!(
        after[first.member],
        before[first.member],
        "{}",
        fleet.log(first.member)
    );
    let history = lease_history(&fleet);
    let holder_under = |token: u64| history.get(&token).map(|lease| lease.member.clone());
    assert_eq!(holder_under(first.token), Some(fleet.name(first.member)));
    assert_eq!(holder_under(second.token), Some(fleet.name(second.member)));
}

/// A holder on the minority side can't renew its lease and holds none after its end; the majority
/// side has another holder under a higher token; after the partition there is one holder.
#[test]
fn the_minority_side_of_a_partition_holds_no_lease() {
    let fleet = start("sides", 23);
    let first = await_lease_holder(&fleet, &ALL);
    let minority_peer = (first.member + 1) % MEMBERS;
    let (minority, majority): (Vec<usize>, Vec<usize>) = ALL
        .into_iter()
        .partition(|member| [first.member, minority_peer].contains(member));

    let mut faults = Faults::default();
    faults.partition(&minority, &majority);
    fleet.fault_proxy.set_faults(faults);
    // The minority receives queries during the whole partition, so that its holder has no other
    // reason to release the lease.
    let second = await_lease_holder_among(&fleet, &ALL, &majority);

    assert!(second.token > first.token, "{second:?} after {first:?}");
    // The minority's members continue to probe engines themselves; none of them holds the lease.
    for _ in 0..20 {
        send_queries(&fleet, &minority);
        assert!(
            lease_holders(&fleet, &minority).is_empty(),
            "{}",
            fleet.log(first.member)
        );
    }
    fleet.fault_proxy.set_faults(Faults::default());
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    let last = await_lease_holder(&fleet, &ALL);
    assert!(last.token >= second.token);
    assert!(wait_until(|| lease_holders(&fleet, &ALL).len() == 1 || {
        send_queries(&fleet, &ALL);
        false
    }));
    lease_history(&fleet);
}

/// After SIGTERM and after SIGKILL of the holder, another manager acquires the lease under a higher
/// token, and a restarted voter has kept the tokens that it granted.
#[test]
fn another_member_acquires_the_lease_when_its_holder_is_shut_down_or_killed() {
    let mut fleet = start("ends", 24);
    let first = await_lease_holder(&fleet, &ALL);

    fleet.signal(first.member, Signal::TERM);
    let second = await_lease_holder(&fleet, &all_except(first.member));
    assert!(second.member != first.member && second.token > first.token);
    fleet.kill(first.member);
    fleet.kill(second.member);
    fleet.launch(first.member, SHARES);
    assert!(
        wait_until(|| fleet.readiness_status(first.member) == Some(200)),
        "{}",
        fleet.log(first.member)
    );
    let third = await_lease_holder(&fleet, &all_except(second.member));

    assert!(third.token > second.token, "{third:?} after {second:?}");
    lease_history(&fleet);
}
