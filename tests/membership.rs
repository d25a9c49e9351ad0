//! The fleet's membership between real daemons on loopback, with the kit's fault relay between
//! them, SIGSTOP and SIGCONT, SIGKILL and a restart, and a manager left on old settings. Each
//! manager's view is read from its second address, `GET /fleet`.
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, SHARES, eventually};

fn start(tag: &str, seed: u64) -> Fleet {
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_yokelift")), tag, seed)
}

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];

/// Guards the audit's ground: every manager names every other with its build, generation and list
/// version.
#[test]
fn five_daemons_find_each_other_and_name_their_versions() {
    let fleet = start("find", 1);
    assert!(
        eventually(|| fleet.agree(&ALL)),
        "no agreement: {}",
        fleet.log(0)
    );
    assert!(eventually(|| ALL
        .iter()
        .all(|i| fleet.ready(*i) == Some(200))));
    let all_ready = |v: &[Value]| v.iter().all(|r| r["versions"]["stage"] == json!("ready"));
    assert!(
        eventually(|| fleet.view(3).is_some_and(|v| all_ready(&v))),
        "{:?}",
        fleet.view(3)
    );
    let view = fleet.view(3).expect("a view");
    assert_eq!(view.len(), MEMBERS);
    for row in &view {
        assert_eq!(row["versions"]["generation"], json!(1), "{row}");
        assert_eq!(
            row["versions"]["build"], view[0]["versions"]["build"],
            "{row}"
        );
        assert_eq!(
            row["versions"]["settings"], view[0]["versions"]["settings"],
            "{row}"
        );
    }
    // A new generation on one is seen by the others.
    fleet.retune(1, (0.6, 0.4), true);
    let generation = |v: &[Value]| {
        v.iter()
            .find(|r| r["name"] == json!(fleet.name(1)))
            .map(|r| r["versions"]["generation"].clone())
    };
    assert!(eventually(|| fleet
        .view(4)
        .is_some_and(|v| generation(&v) == Some(json!(2)))));
}

/// Guards detection and refutation across real processes: a manager stopped past the suspicion is
/// declared dead by all others, and after SIGCONT it refutes and is alive to all again.
#[test]
fn a_stopped_daemon_is_found_dead_and_refutes_when_it_goes_on() {
    let fleet = start("stop", 2);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    fleet.signal(2, rustix::process::Signal::STOP);
    let others = [0, 1, 3, 4];
    assert!(eventually(|| others
        .iter()
        .all(|i| fleet.health(*i, 2).as_deref() == Some("Dead"))));
    assert!(fleet.agree(&others), "a live one was declared dead");
    fleet.signal(2, rustix::process::Signal::CONT);
    assert!(eventually(|| fleet.agree(&ALL)), "it did not come back");
}

/// Guards a new life under the same name: after SIGKILL and a start anew, all take the new life,
/// with a higher incarnation, for alive.
#[test]
fn a_killed_daemon_started_again_is_a_new_life() {
    let mut fleet = start("kill", 3);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let incarnation = |fleet: &Fleet| {
        let view = fleet.view(0)?;
        view.into_iter()
            .find(|r| r["name"] == json!(fleet.name(3)))
            .and_then(|r| r["incarnation"].as_u64())
    };
    let first = incarnation(&fleet).expect("known");
    fleet.kill(3);
    assert!(eventually(|| fleet.health(0, 3).as_deref() == Some("Dead")));
    fleet.launch(3, SHARES);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    assert!(incarnation(&fleet).expect("known") > first);
}

/// Guards a change of versions: the new process starts although the old one holds the fleet's
/// address, and takes its seat once that has gone, as a new life of the same member.
#[test]
fn a_new_version_takes_the_old_ones_seat() {
    let mut fleet = start("seat", 7);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let life = |fleet: &Fleet| {
        let view = fleet.view(0)?;
        view.into_iter()
            .find(|r| r["name"] == json!(fleet.name(1)))
            .and_then(|r| r["incarnation"].as_u64())
    };
    let first = life(&fleet).expect("known");
    let mut older = fleet.follow(1).expect("it runs");
    assert!(
        eventually(|| fleet.ready(1) == Some(200)),
        "{}",
        fleet.log(1)
    );
    assert_eq!(
        fleet.call(1, "/fleet").map(|(status, _)| status),
        Some(404),
        "the old one is the member yet"
    );
    let pid = rustix::process::Pid::from_raw(older.id() as i32).expect("a pid");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signalled");
    assert!(older.wait().expect("its end").success());
    assert!(
        eventually(|| life(&fleet) > Some(first) && fleet.agree(&ALL)),
        "{}",
        fleet.logs()
    );
}

/// Guards against false deaths between real processes: a fifth of all datagrams lost, some doubled
/// and overtaken, and one way cut outright; nobody is declared dead.
#[test]
fn loss_doubles_and_a_one_way_cut_kill_nobody() {
    let fleet = start("loss", 4);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let mut faults = Faults {
        loss: 0.2,
        doubled: 0.05,
        jitter: Duration::from_millis(20),
        ..Faults::default()
    };
    faults.cut.insert((1, 0));
    fleet.relay.set(faults);
    std::thread::sleep(Duration::from_secs(8));
    for i in ALL {
        let view = fleet.view(i).expect("a view");
        assert!(
            view.iter().all(|r| r["health"] != json!("Dead")),
            "member {i}: {view:?}"
        );
    }
    assert!(fleet.relay.counts().1 > 0, "nothing was lost");
}

/// Guards a partition into two sides and its heal: the bigger side declares the smaller dead, and
/// all agree again once it heals.
#[test]
fn a_partition_heals_into_one_fleet() {
    let fleet = start("part", 5);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let mut faults = Faults::default();
    faults.partition(&[0, 1, 2], &[3, 4]);
    fleet.relay.set(faults);
    assert!(eventually(|| fleet.health(0, 4).as_deref() == Some("Dead")
        && fleet.health(4, 0).as_deref() == Some("Dead")));
    fleet.relay.set(Faults::default());
    assert!(
        eventually(|| fleet.agree(&ALL)),
        "no agreement after the heal"
    );
}

/// Guards stragglers: one that missed its SIGHUP reads its settings again by itself; one whose file
/// stays old is shut out (not ready) once the grace has passed twice, and is back once its file is
/// mended.
#[test]
fn stragglers_are_brought_up_or_shut_out() {
    let fleet = start("lag", 6);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    for i in [0, 1, 2] {
        fleet.retune(i, (0.55, 0.45), true);
    }
    // Member 3 has the new file but missed the signal; member 4 keeps the old file.
    fleet.retune(3, (0.55, 0.45), false);
    let generation = |i: usize| {
        let view = fleet.view(i)?;
        view.into_iter()
            .find(|r| r["self"] == json!(true))
            .and_then(|r| r["versions"]["generation"].as_u64())
    };
    assert!(
        eventually(|| generation(3) == Some(2)),
        "not brought up: {}",
        fleet.log(3)
    );
    assert!(
        eventually(|| fleet.ready(4) == Some(503)),
        "not shut out: {}",
        fleet.log(4)
    );
    assert_eq!(fleet.ready(3), Some(200));
    fleet.retune(4, (0.55, 0.45), true);
    assert!(eventually(|| fleet.ready(4) == Some(200)), "not back");
}
