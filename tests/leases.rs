//! Leases between real daemons on loopback: one of five asks each engine for its load on behalf of
//! all; an owner that is stopped past its term, cut off, killed or asked to end does no harm, and
//! another takes over. The stand-in engines tell managers apart by the address they come to.
use rustix::process::Signal;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use yokelift::testkit::clients::ClientOutcome;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, Options, SHARES, eventually};

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];
const DUTY: &str = "probe:s-00000001";

thread_local! { static NEXT: Cell<u64> = const { Cell::new(1) }; }

/// Five managers that take themselves for some of 300: each asks for loads before it sends, and all
/// five vote.
fn start(tag: &str, seed: u64) -> Fleet {
    let names: Vec<String> = ALL.iter().map(|i| format!("\"{tag}{i}\"")).collect();
    // An owner gets all the time that a slow machine needs: who is not answered asks by itself, and
    // that is counted here.
    let terms = "[duties.terms]\nterm_ms = 1000\ndrift = 20\nmargin_ms = 50\nask_ms = 20000\n";
    let more = format!(
        "[audit]\n[duties]\nvoters = [{}]\n{terms}",
        names.join(", ")
    );
    let fleet = Fleet::start_with(
        Path::new(env!("CARGO_BIN_EXE_yokelift")),
        tag,
        seed,
        Options {
            managers: 300,
            fleet_file_tables: more,
        },
    );
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    fleet
}

/// Each of them is asked something, and may want to know the engines' loads for it.
fn ask(fleet: &Fleet, members: &[usize]) {
    for i in members {
        let number = NEXT.with(|next| next.replace(next.get() + 1));
        let got = fleet.query(*i, "lookup", number, 900);
        assert!(
            !matches!(got, ClientOutcome::Cut | ClientOutcome::Rejected(_)),
            "{got:?}: {}",
            fleet.log(*i)
        );
    }
}

/// Who says that it owns the duty, under which token.
fn owners(fleet: &Fleet, members: &[usize]) -> Vec<(usize, u64)> {
    let of = |i: &usize| {
        let (_, body) = fleet
            .admin_get(*i, "/duties")
            .filter(|(status, _)| *status == 200)?;
        let rows = body
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        let row = rows
            .into_iter()
            .find(|row| row["duty"] == json!(DUTY) && row["owns"] == json!(true))?;
        Some((*i, row["token"].as_u64()?))
    };
    members.iter().filter_map(of).collect()
}

/// Asks them all until one owns the duty.
fn owner(fleet: &Fleet, members: &[usize]) -> (usize, u64) {
    owner_among(fleet, members, members)
}

/// Asks all of the first until one of the others owns the duty.
fn owner_among(fleet: &Fleet, asked: &[usize], members: &[usize]) -> (usize, u64) {
    let found = Cell::new(None);
    let one = || {
        ask(fleet, asked);
        found.set(owners(fleet, members).first().copied());
        found.get().is_some()
    };
    assert!(eventually(one), "nobody owns it: {}", fleet.logs());
    found.get().expect("found")
}

fn probes(fleet: &Fleet) -> Vec<usize> {
    fleet.with_stand_ins(|world| ALL.iter().map(|i| world.probe_count(*i, 0)).collect())
}

/// Who owned the duty, by token, from the audit of all that answer.
fn history(fleet: &Fleet) -> BTreeMap<u64, (String, u64)> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
    command
        .args(["audit", "--json"])
        .args(fleet.admin_addrs.iter().map(ToString::to_string));
    let output = command.output().expect("the kit");
    let report: Value = serde_json::from_slice(&output.stdout).expect("a report");
    let mut all = BTreeMap::new();
    for row in report["owned"]
        .as_array()
        .expect("rows")
        .iter()
        .filter(|row| row["duty"] == json!(DUTY))
    {
        let (token, from) = (
            row["token"].as_u64().expect("a token"),
            row["from"].as_u64().expect("a time"),
        );
        let member = row["member"].as_str().expect("a member").to_owned();
        let other = all.insert(token, (member, from));
        assert!(other.is_none(), "token {token} was owned twice: {report}");
    }
    // Higher tokens came later.
    let times: Vec<u64> = all.values().map(|(_, from)| *from).collect();
    assert!(times.is_sorted(), "{all:?}");
    all
}

/// Guards what duties are for: while one manager owns an engine's probes, no other asks that
/// engine, and all are served.
#[test]
fn one_manager_asks_an_engine_for_all() {
    let fleet = start("one", 21);
    let quiet = || {
        let (who, token) = owner(&fleet, &ALL);
        let before = probes(&fleet);
        for _ in 0..10 {
            ask(&fleet, &ALL);
        }
        let after = probes(&fleet);
        // Once all have found the owner: one that found none a moment ago asks by itself for a
        // second.
        let stood = owners(&fleet, &ALL) == [(who, token)] && after[who] > before[who];
        stood && ALL.into_iter().all(|i| i == who || after[i] == before[i])
    };
    assert!(eventually(quiet), "{}", fleet.logs());
    assert!(!history(&fleet).is_empty());
}

/// Guards against the late waker: the owner is stopped past its term while others ask it; another
/// owns the duty then. When it goes on, what waits in its socket makes it ask the engine for
/// nothing, and tell nothing that counts.
#[test]
fn an_owner_stopped_past_its_term_asks_nothing_when_it_goes_on() {
    let fleet = start("late", 22);
    let (who, token) = owner(&fleet, &ALL);
    let others: Vec<usize> = ALL.into_iter().filter(|i| *i != who).collect();
    fleet.signal(who, Signal::STOP);
    // They ask it once more, and wait for it in vain.
    ask(&fleet, &others);
    let (next, higher) = owner(&fleet, &others);
    assert!(
        next != who && higher > token,
        "{next} under {higher} after {who} under {token}"
    );
    let before = probes(&fleet);
    fleet.signal(who, Signal::CONT);
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    assert!(eventually(|| fleet.log(who).contains(&format!(
        "{DUTY} is not owned here any more, under {token}"
    ))));
    // It is asked again by those whose question had waited for it, and answers that it is not the
    // owner.
    assert_eq!(probes(&fleet)[who], before[who], "{}", fleet.log(who));
    let all = history(&fleet);
    assert_eq!(
        all.get(&token).map(|(member, _)| member.clone()),
        Some(fleet.name(who))
    );
    assert_eq!(
        all.get(&higher).map(|(member, _)| member.clone()),
        Some(fleet.name(next))
    );
}

/// Guards a partition: the owner on the smaller side can't renew and owns nothing once its term is
/// over; the bigger side has another owner under a higher token; after the heal there is one.
#[test]
fn the_smaller_side_of_a_partition_owns_nothing() {
    let fleet = start("sides", 23);
    let (who, token) = owner(&fleet, &ALL);
    let other = (who + 1) % MEMBERS;
    let (small, big): (Vec<usize>, Vec<usize>) =
        ALL.into_iter().partition(|i| [who, other].contains(i));
    let mut faults = Faults::default();
    faults.partition(&small, &big);
    fleet.fault_proxy.set_faults(faults);
    // The small side is asked all along: its owner has no other cause to give the duty up.
    let (next, higher) = owner_among(&fleet, &ALL, &big);
    assert!(higher > token, "{next} under {higher} after {token}");
    // The small side goes on to be asked, and each of it asks engines by itself; nobody there owns
    // the duty.
    for _ in 0..20 {
        ask(&fleet, &small);
        assert!(owners(&fleet, &small).is_empty(), "{}", fleet.log(who));
    }
    fleet.fault_proxy.set_faults(Faults::default());
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    let (_, last) = owner(&fleet, &ALL);
    assert!(last >= higher);
    assert!(eventually(|| owners(&fleet, &ALL).len() == 1 || {
        ask(&fleet, &ALL);
        false
    }));
    history(&fleet);
}

/// Guards ends, planned and not: after SIGTERM and after SIGKILL of the owner another owns the
/// duty, under higher tokens, and a voter that was started anew has kept what it granted.
#[test]
fn a_duty_outlives_its_owners() {
    let mut fleet = start("ends", 24);
    let (first, token) = owner(&fleet, &ALL);
    fleet.signal(first, Signal::TERM);
    let rest: Vec<usize> = ALL.into_iter().filter(|i| *i != first).collect();
    let (second, higher) = owner(&fleet, &rest);
    assert!(second != first && higher > token);
    fleet.kill(first);
    fleet.kill(second);
    fleet.launch(first, SHARES);
    assert!(
        eventually(|| fleet.readiness_status(first) == Some(200)),
        "{}",
        fleet.log(first)
    );
    let rest: Vec<usize> = ALL.into_iter().filter(|i| *i != second).collect();
    let (_, highest) = owner(&fleet, &rest);
    assert!(highest > higher, "{highest} after {higher}");
    history(&fleet);
}
