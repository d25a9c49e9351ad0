//! The fleet's audit between real daemons on loopback: what each decided, and on what, as
//! `yokelift-testkit audit` gathers it, through retuning, a list that one manager misses, a partition,
//! SIGKILL and SIGSTOP.
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use yokelift::policy::api::Readiness;
use yokelift::testkit::clients::ClientOutcome;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, Reload, SHARES, TenantShares, eventually};

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];

fn start(tag: &str, seed: u64) -> Fleet {
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_yokelift")), tag, seed);
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    fleet
}

/// The report of `yokelift-testkit audit`, and whether it exited with 0.
fn audit(fleet: &Fleet, json: bool) -> (String, bool) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
    command
        .arg("audit")
        .args(fleet.admin_addrs.iter().map(ToString::to_string));
    if json {
        command.arg("--json");
    }
    let output = command.output().expect("the kit");
    (
        String::from_utf8_lossy(&output.stdout).into_owned(),
        output.status.success(),
    )
}

fn report(fleet: &Fleet) -> Value {
    serde_json::from_str(&audit(fleet, true).0).expect("a report")
}

/// The rows of member `i`, the latest last.
fn rows(report: &Value, name: &str) -> Vec<Value> {
    let all = report["acted"].as_array().expect("rows").iter();
    all.filter(|row| row["member"] == json!(name))
        .cloned()
        .collect()
}

fn sum(rows: &[Value], what: &str) -> u64 {
    rows.iter()
        .map(|row| row[what].as_u64().expect("a count"))
        .sum()
}

/// The member's own word of what it acts on.
fn versions(fleet: &Fleet, i: usize) -> Value {
    let view = fleet.view(i).unwrap_or_default();
    view.into_iter()
        .find(|row| row["self"] == json!(true))
        .map(|row| row["versions"].clone())
        .unwrap_or_default()
}

fn about(report: &Value, what: &str) -> Option<Value> {
    report["disagreements"]
        .as_array()?
        .iter()
        .find(|d| d["about"] == json!(what))
        .map(|d| d["held"].clone())
}

/// Guards the audit's table: each manager's dispatches stand under the build, settings and list
/// that its module acted on when it made them, before and after a new configuration and a new list;
/// and a manager that missed the list shows.
#[test]
fn the_table_names_what_every_manager_acted_on() {
    let fleet = start("table", 11);
    let ask = |i: usize, round: u64| {
        let got = fleet.query(i, "lookup", 16 * round + i as u64, 9_000);
        assert!(
            matches!(got, ClientOutcome::Served(_)),
            "{got:?}: {}",
            fleet.log(i)
        );
    };
    ALL.iter().for_each(|i| ask(*i, 1));
    let before = versions(&fleet, 0);
    // A new configuration for all; then a new list, which the last manager does not hear of.
    ALL.iter()
        .for_each(|i| fleet.reconfigure(*i, TenantShares::new(0.5, 0.5), Reload::Signal));
    assert!(eventually(|| ALL
        .iter()
        .all(|i| versions(&fleet, *i)["generation"] == json!(2))));
    ALL.iter().for_each(|i| ask(*i, 2));
    fleet.with_stand_ins(|world| {
        world.announce(0..4, 1, Readiness::Draining);
    });
    assert!(eventually(
        || (0..4).all(|i| versions(&fleet, i)["list"] == json!(2))
    ));
    ALL.iter().for_each(|i| ask(*i, 3));
    // The last records may still wait for their batch.
    let report = || report(&fleet);
    let all_there = |report: &Value| {
        ALL.iter()
            .all(|i| sum(&rows(report, &fleet.name(*i)), "dispatched") >= 3)
    };
    assert!(eventually(|| all_there(&report())), "{}", report());
    let report = report();
    assert_eq!(report["missing"], json!([]));
    for i in ALL {
        let rows = rows(&report, &fleet.name(i));
        let on = |generation: u64, list: u64, settings: &Value| {
            let like = |row: &&Value| {
                row["generation"] == json!(generation)
                    && row["list"] == json!(list)
                    && row["settings"] == *settings
            };
            rows.iter()
                .filter(like)
                .map(|row| row["dispatched"].as_u64().expect("a count"))
                .sum::<u64>()
        };
        let after = versions(&fleet, i);
        assert_ne!(after["settings"], before["settings"]);
        assert!(
            rows.iter().all(|row| row["build"] == before["build"]),
            "{rows:?}"
        );
        assert!(on(1, 1, &before["settings"]) >= 1, "{rows:?}");
        assert!(
            on(2, 1, &after["settings"]) >= if i == 4 { 2 } else { 1 },
            "{rows:?}"
        );
        assert_eq!(on(2, 2, &after["settings"]) >= 1, i != 4, "{rows:?}");
    }
    let held = about(&report, "list").expect("the list is not the same everywhere");
    assert_eq!(held["1"], json!([fleet.name(4)]));
    assert_eq!(held["2"].as_array().map(Vec::len), Some(4));
    assert!(about(&report, "settings").is_none() && about(&report, "build").is_none());
    let spreads = report["spreads"].as_array().expect("spreads");
    let spread = |change: &str| {
        spreads
            .iter()
            .find(|s| s["change"].as_str().is_some_and(|c| c.starts_with(change)))
    };
    assert_eq!(
        spread("settings").expect("told")["after"]
            .as_object()
            .map(serde_json::Map::len),
        Some(MEMBERS)
    );
    assert_eq!(
        spread("list 2").expect("told")["never"],
        json!([fleet.name(4)])
    );
    let (text, whole) = audit(&fleet, false);
    assert!(
        whole
            && text.contains("Spread of list 2")
            && text.contains(&format!("1 ({})", fleet.name(4))),
        "{text}"
    );
}

/// Guards a list that one manager misses: one whose connection to the coordinator is stuck follows
/// it anew by itself; one whose coordinator itself is behind is shut out, and back once that has
/// caught up.
#[test]
fn a_manager_behind_on_the_list_is_brought_up_or_shut_out() {
    let fleet = start("behind", 15);
    assert!(eventually(|| ALL
        .iter()
        .all(|i| versions(&fleet, *i)["list"] == json!(1))));
    fleet.with_stand_ins(|world| {
        world.coordinators[3].stall();
        world.announce(0..4, 1, Readiness::Draining);
    });
    assert!(
        eventually(|| (0..4).all(|i| versions(&fleet, i)["list"] == json!(2))),
        "{}",
        fleet.log(3)
    );
    assert!(
        fleet
            .log(3)
            .contains("reading the configuration and the list again"),
        "{}",
        fleet.log(3)
    );
    assert!(
        eventually(|| fleet.readiness_status(4) == Some(503)),
        "{}",
        fleet.log(4)
    );
    assert!((0..4).all(|i| fleet.readiness_status(i) == Some(200)));
    fleet.with_stand_ins(|world| {
        world.announce(4..5, 1, Readiness::Draining);
    });
    assert!(
        eventually(|| fleet.readiness_status(4) == Some(200)),
        "{}",
        fleet.log(4)
    );
    assert_eq!(versions(&fleet, 4)["list"], json!(2));
}

/// Guards refusals and failures: each is laid to its manager under the request's own name; and the
/// records of a manager that was killed are there after its new start, under its old life, but for
/// those of the last moment.
#[test]
fn records_outlive_a_kill_and_lie_under_their_life() {
    let mut fleet = start("lives", 12);
    // Nothing is in service: what is asked is given up.
    fleet.with_stand_ins(|world| {
        (0..2).for_each(|engine| world.announce(0..MEMBERS, engine, Readiness::Gone));
    });
    assert!(eventually(|| ALL
        .iter()
        .all(|i| versions(&fleet, *i)["list"] == json!(3))));
    let got = fleet.query(2, "lookup", 0xabc, 700);
    assert!(!matches!(got, ClientOutcome::Served(_)), "{got:?}");
    let told = |fleet: &Fleet| {
        let (_, body) = fleet.admin_get(2, "/audit?since=0").unwrap_or_default();
        body.lines()
            .map(|l| serde_json::from_str(l).expect("json"))
            .collect::<Vec<Value>>()
    };
    let given_up = |lines: &[Value]| {
        lines
            .iter()
            .find(|l| l["request"] == json!("0000000000000abc"))
            .cloned()
    };
    assert!(
        eventually(|| given_up(&told(&fleet)).is_some()),
        "{:?}",
        told(&fleet)
    );
    let line = given_up(&told(&fleet)).expect("told");
    assert!(
        line["what"] == json!("refuse") || line["what"] == json!("fail"),
        "{line}"
    );
    assert_eq!(
        (&line["member"], &line["list"], &line["class"]),
        (&json!(fleet.name(2)), &json!(3), &json!("lookup"))
    );
    fleet.kill(2);
    fleet.launch(2, SHARES);
    assert!(
        eventually(|| fleet.readiness_status(2) == Some(200)),
        "{}",
        fleet.log(2)
    );
    let lives = |lines: &[Value]| {
        lines
            .iter()
            .filter_map(|l| l["life"].as_u64())
            .collect::<BTreeSet<u64>>()
            .len()
    };
    assert!(
        eventually(|| lives(&told(&fleet)) == 2),
        "{:?}",
        told(&fleet)
    );
    // What waits for its batch now is its list, and then nothing more comes.
    assert!(eventually(|| told(&fleet)
        .iter()
        .rev()
        .nth(1)
        .is_some_and(|l| l["list"] == json!(3))));
    let lines = told(&fleet);
    assert_eq!(given_up(&lines).as_ref(), Some(&line));
    // A page from the last place on holds nothing but its end.
    let next = lines
        .last()
        .and_then(|end| end["next"].as_str())
        .expect("the end")
        .to_owned();
    let (status, body) = fleet
        .admin_get(2, &format!("/audit?since={next}"))
        .expect("answered");
    assert_eq!((status, body.lines().count()), (200, 1), "{body}");
    assert_eq!(
        fleet
            .admin_get(2, "/audit?since=never")
            .map(|(status, _)| status),
        Some(400)
    );
}

/// Guards the audit of a fleet in pieces: one manager stopped, two cut off. The kit tells who is
/// missing, exits with 1, and names where the rest see each other differently; once all is well
/// again it says so.
#[test]
fn a_fleet_in_pieces_is_told_as_such() {
    let fleet = start("pieces", 13);
    fleet.signal(4, Signal::STOP);
    let mut faults = Faults::default();
    faults.partition(&[0, 1], &[2, 3, 4]);
    fleet.fault_proxy.set_faults(faults);
    let dead = |a: usize, b: usize| fleet.state_of(a, b).as_deref() == Some("Dead");
    assert!(
        eventually(|| dead(0, 3) && dead(3, 0) && dead(2, 0)),
        "{}",
        fleet.log(3)
    );
    let (text, whole) = audit(&fleet, false);
    assert!(
        !whole && text.contains("missing:") && text.contains("The fleet is not one"),
        "{text}"
    );
    let name = fleet.name(0);
    assert!(
        text.contains(&format!(
            "health of {name}: Alive ({}); Dead (",
            fleet.name(1)
        )),
        "{text}"
    );
    fleet.fault_proxy.set_faults(Faults::default());
    fleet.signal(4, Signal::CONT);
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    let (text, whole) = audit(&fleet, false);
    assert!(
        whole && text.contains("agree on build, settings, list and each other's health"),
        "{text}"
    );
}

/// Guards shares: while one manager is dead, and while one is shut out, the others share the
/// engines among those that serve; a side of a partition that is no majority takes nobody's share.
#[test]
fn shares_of_managers_that_do_not_serve_pass_to_a_majority_alone() {
    let fleet = start("shares", 14);
    let shares = |i: usize, n: usize| {
        fleet
            .log(i)
            .contains(&format!("fleet: {n} of {MEMBERS} managers share"))
    };
    fleet.signal(4, Signal::STOP);
    assert!(
        eventually(|| (0..4).all(|i| shares(i, 4))),
        "{}",
        fleet.log(0)
    );
    fleet.signal(4, Signal::CONT);
    assert!(
        eventually(|| (0..4).all(|i| shares(i, 5))),
        "{}",
        fleet.log(0)
    );
    let mut faults = Faults::default();
    faults.partition(&[0, 1], &[2, 3, 4]);
    fleet.fault_proxy.set_faults(faults);
    assert!(
        eventually(|| (2..5).all(|i| shares(i, 3))),
        "{}",
        fleet.logs()
    );
    assert!(
        eventually(|| fleet.state_of(0, 4).as_deref() == Some("Dead")),
        "{}",
        fleet.log(0)
    );
    assert!(
        (0..2).all(|i| !shares(i, 3) && !shares(i, 2)),
        "{}",
        fleet.log(0)
    );
    fleet.fault_proxy.set_faults(Faults::default());
    assert!(eventually(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    // The last manager keeps old settings: shut out, it takes no share.
    (0..4).for_each(|i| fleet.reconfigure(i, TenantShares::new(0.4, 0.6), Reload::Signal));
    assert!(
        eventually(|| fleet.readiness_status(4) == Some(503)),
        "{}",
        fleet.log(4)
    );
    let last = |i: usize| {
        fleet
            .log(i)
            .lines()
            .rfind(|l| l.contains("managers share"))
            .map(str::to_owned)
    };
    let four = format!("yokelift: fleet: 4 of {MEMBERS} managers share the engines");
    assert!(
        eventually(|| (0..4).all(|i| last(i).as_deref() == Some(&*four))),
        "{}",
        fleet.logs()
    );
}
