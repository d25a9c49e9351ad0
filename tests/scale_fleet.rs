//! Hollow managers on real sockets: they find each other, each datagram is accounted for, they and
//! a real daemon take each other for members, and a thread of them that ends is an error of the
//! run. Counts and bounds only.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use yokelift::config::fleet::FleetConfig;
use yokelift::lease::LeaseTiming;
use yokelift::membership::Timing;
use yokelift::testkit::daemon::{self, Folder, KINDS, ZONES, free_addr};
use yokelift::testkit::fleet::eventually;
use yokelift::testkit::scale::events::Run;
use yokelift::testkit::scale::fleet::{Plan, Rig};
use yokelift::testkit::scale::hollow_node::{home, resident};
use yokelift::testkit::scale::needs::Needs;
use yokelift::testkit::scale::observations::Goal;
use yokelift::testkit::{clients, coordinator};

const ENGINES: u64 = 12;
const PERIOD_MS: u64 = 100;

/// Eight managers with quick timings, twelve engines and three voters.
fn plan() -> Plan {
    let timing = Timing {
        period_ms: PERIOD_MS,
        probe_ms: 40,
        ..Timing::default()
    };
    let terms = LeaseTiming {
        term_ms: 600,
        margin_ms: 50,
        ..LeaseTiming::default()
    };
    let (settle, quiet) = (Duration::from_millis(300), Duration::from_millis(500));
    Plan {
        voters: 3,
        threads: 2,
        wants: 10.0,
        timing,
        terms,
        settle,
        quiet,
        ..Plan::new(8, ENGINES)
    }
}

/// Guards the figures' ground: each event is seen by all that are asked, duties pass to others, and
/// no datagram is unaccounted for.
#[test]
fn a_small_run_reaches_all_and_its_accounts_add_up() {
    let rig = Rig::new(
        Plan {
            cut: Duration::from_secs(1),
            rolling: 2,
            ..plan()
        },
        Arc::default(),
    );
    let mut run = Run::new(rig.expect("a rig"));
    run.join().expect("all start");
    let owned = |rig: &Rig| rig.board.owners().len() as u64 == ENGINES;
    assert_eq!(run.rig.wait("each duty has an owner", owned), Ok(true));
    run.quiet(0).expect("quiet");
    run.death().expect("a death");
    run.settings().expect("settings");
    run.cut().expect("a cut");
    run.rolling().expect("restarts");
    let figures = run.close().expect("the accounts");
    assert_eq!(figures.failed, Vec::<String>::new(), "{figures:?}");
    assert_eq!(
        (
            figures.join.had,
            figures.death.dead.had,
            figures.settings.had
        ),
        (8, 7, 8)
    );
    assert!(
        figures.death.owners_ms.is_some() && figures.death.duties > 0,
        "{:?}",
        figures.death
    );
    assert_eq!(
        figures
            .rolling
            .map(|rolling| rolling.each_ms.iter().flatten().count()),
        Some(2)
    );
    let (accounts, counts) = (&figures.accounts, &figures.accounts.counts);
    assert_eq!(accounts.missing, 0, "{accounts:?}");
    // Counted again here, in bytes too, where no socket lost any.
    let found = counts.received().plus(counts.blocked).plus(accounts.unread);
    assert_eq!(
        found.datagrams + accounts.lost,
        counts.sent().datagrams,
        "{accounts:?}"
    );
    assert!(accounts.lost > 0 || found == counts.sent(), "{accounts:?}");
    assert!(
        counts.blocked.datagrams > 0 && accounts.unread.datagrams > 0,
        "{accounts:?}"
    );
    assert!(counts.lease_received.datagrams > 0 && counts.membership_received.datagrams > 0);
    assert_eq!(
        (counts.send_failed.datagrams, accounts.dropped),
        (0, 0),
        "{accounts:?}"
    );
}

/// A daemon of that fleet, killed with it.
struct Real(Child);

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn daemon(folder: &Folder, at: SocketAddr, console: SocketAddr, seed: SocketAddr) -> Real {
    let known = coordinator::known(&[], &ZONES, &KINDS);
    let config = daemon::config(free_addr(), free_addr(), &known, 256);
    let fleet = format!(
        "bind = \"{at}\"\nseeds = [\"{seed}\"]\n[timing]\nperiod_ms = {PERIOD_MS}\nprobe_ms = 40\n"
    );
    let put = |name, text: &str| folder.put(name, text).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_yokelift"))
        .env("PROXY_CONFIG", put("config.json", &config.to_string()))
        .env("PROXY_NAME", "real")
        .env("PROXY_CONSOLE", console.to_string())
        .env("PROXY_FLEET", put("fleet.toml", &fleet))
        .env("TMPDIR", folder.path(""))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Real(child.expect("the daemon"))
}

/// Guards what the figures stand for: hollow managers speak as the daemon does.
#[test]
fn hollow_managers_and_a_real_daemon_are_members_to_each_other() {
    // On a network of its own, so that no other test is handed the port.
    let free = UdpSocket::bind("127.65.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a port");
    let mut rig = Rig::new(
        Plan {
            greet: vec![free],
            ..plan()
        },
        Arc::default(),
    )
    .expect("a rig");
    let (folder, console) = (Folder::new().expect("a folder"), free_addr());
    let _real = daemon(&folder, free, console, rig.homes[0]);
    rig.look(Goal::Alive(8));
    rig.begin();
    let spread = rig
        .reach("all and the daemon", &rig.all_but(&[]))
        .expect("no thread ended");
    assert_eq!((spread.hold, spread.asked), (8, 8));
    let alive = || {
        let (status, body) = async_io::block_on(clients::call(console, "GET", "/fleet"))?;
        let rows = body
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        (status == 200).then(|| rows.filter(|row| row["health"] == json!("Alive")).count())
    };
    assert!(
        eventually(|| alive() == Some(9)),
        "the daemon sees {:?} alive",
        alive()
    );
}

/// Guards against good figures of a run that lost a part of its managers.
#[test]
fn a_thread_that_panics_is_an_error_of_the_run() {
    let mut run = Run::new(Rig::new(plan(), Arc::default()).expect("a rig"));
    run.join().expect("all start");
    run.rig.break_thread(1);
    let error = run
        .rig
        .pass("nothing", Duration::from_secs(60))
        .expect_err("a thread ended");
    assert!(error.contains("told to panic"), "{error}");
    assert!(run.settings().is_err() && run.close().is_err());
}

/// Guards the end of a run: by its limit, and by a signal, with an error and a status that says so.
#[test]
fn a_run_ends_by_its_limit_and_by_a_signal() {
    let kit = || {
        let mut kit = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
        kit.args(["scale-fleet", "--sizes", "4x4", "--voters", "3"])
            .stdin(Stdio::null());
        kit
    };
    let ended = kit().args(["--limit", "1"]).output().expect("the kit");
    let error = String::from_utf8_lossy(&ended.stderr);
    assert!(
        !ended.status.success() && error.contains("within the limit"),
        "{error}"
    );
    let mut child = kit()
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the kit");
    let mut lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
    // A first line of progress: it runs.
    assert!(
        lines
            .next()
            .is_some_and(|line| line.is_ok_and(|line| line.starts_with("scale-fleet:")))
    );
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a pid");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signalled");
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(!child.wait().expect("its end").success());
    assert!(
        rest.iter().any(|line| line.contains("ended by a signal")),
        "{rest:?}"
    );
}

/// Guards the machine: a run that it can't bear is refused before it begins, with what is needed
/// and what there is.
#[test]
fn a_run_that_the_machine_cannot_bear_is_refused_up_front() {
    let needs = Needs::of(&Plan::new(460, 910));
    assert_eq!(needs.check(needs.descriptors, needs.memory_mb), Ok(()));
    let few = needs
        .check(needs.descriptors - 1, needs.memory_mb)
        .expect_err("too few descriptors");
    assert!(
        few.contains(&needs.descriptors.to_string()) && few.contains("RLIMIT_NOFILE"),
        "{few}"
    );
    let small = needs
        .check(needs.descriptors, needs.memory_mb - 1)
        .expect_err("too little memory");
    assert!(
        small.contains(&needs.memory_mb.to_string()) && small.contains("MemAvailable"),
        "{small}"
    );
    let huge = Needs {
        memory_mb: 12 * 1024 + 1,
        ..needs
    };
    assert!(huge.check(u64::MAX, u64::MAX).is_err());
    let flag = Arc::new(AtomicBool::new(false));
    assert!(
        Rig::new(
            Plan {
                voters: 4,
                ..plan()
            },
            flag.clone()
        )
        .is_err()
    );
    assert!(
        Rig::new(
            Plan {
                managers: 2,
                ..plan()
            },
            flag
        )
        .is_err()
    );
}

/// Guards the cut: whom a datagram goes to is told by its address alone. And the timings are those
/// of the fleet file.
#[test]
fn addresses_tell_who_lives_there_and_timings_are_the_files() {
    for who in [0, 1, 249, 250, 459, 4_999] {
        assert_eq!(resident(home(who)), Some(who));
    }
    assert_eq!(resident(SocketAddr::from(([127, 0, 0, 1], 7_946))), None);
    assert_eq!(resident(SocketAddr::from(([127, 64, 0, 0], 7_946))), None);
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/fleet.toml");
    let file = FleetConfig::parse(&std::fs::read_to_string(file).expect("the file"))
        .expect("a fleet file");
    assert_eq!(file.timing, Plan::new(460, 910).timing);
}
