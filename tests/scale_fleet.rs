//! Fleets of hollow nodes on real sockets: the nodes find each other, each datagram is accounted
//! for, the nodes and a real daemon have each other as members, and a thread that ends early fails
//! the run. The tests check counts and bounds, but no speeds.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use yokelift::config::fleet::FleetConfig;
use yokelift::lease::LeaseTiming;
use yokelift::membership::Timing;
use yokelift::testkit::daemon::{self, Folder, MACHINE_TYPES, ZONES};
use yokelift::testkit::fleet::wait_until;
use yokelift::testkit::ports::reserve_addr;
use yokelift::testkit::scale::capacity_check::FleetRequirements;
use yokelift::testkit::scale::events::Run;
use yokelift::testkit::scale::fleet::{HollowFleet, Plan};
use yokelift::testkit::scale::hollow_node::{node_address, node_at};
use yokelift::testkit::scale::measurements::{DatagramBalance, FleetMeasurements};
use yokelift::testkit::scale::observations::Condition;
use yokelift::testkit::{clients, coordinator};

const ENGINES: u64 = 12;
const NODES: usize = 8;
const PERIOD_MS: u64 = 100;

/// Returns a plan with eight nodes, short intervals, twelve engines and three voters.
fn plan() -> Plan {
    Plan {
        voters: 3,
        threads: 2,
        load_requests_per_s: 10.0,
        timing: Timing {
            period_ms: PERIOD_MS,
            probe_ms: 40,
            ..Timing::default()
        },
        lease_timing: LeaseTiming {
            lease_duration_ms: 600,
            safety_margin_ms: 50,
            ..LeaseTiming::default()
        },
        settle: Duration::from_millis(300),
        quiet: Duration::from_millis(500),
        ..Plan::new(NODES, ENGINES)
    }
}

fn new_fleet(plan: Plan) -> HollowFleet {
    HollowFleet::new(plan, Arc::default()).expect("a fleet")
}

/// Runs all events; those after the join begin once each lease has its first holder.
fn run_all_events(plan: Plan) -> FleetMeasurements {
    let mut run = Run::new(new_fleet(plan));
    run.join().expect("all start");
    let all_held = |fleet: &HollowFleet| fleet.observations.lease_holders().len() as u64 == ENGINES;
    let held = run.fleet.wait_until("each lease has a holder", all_held);
    assert!(held.expect("no thread ended"));
    run.measure_quiet_traffic(0).expect("quiet traffic");
    run.fail_node().expect("a node failure");
    run.change_settings().expect("new settings");
    run.partition_and_heal().expect("a partition");
    run.rolling_restart().expect("restarts");
    run.finish().expect("the measurements")
}

/// Asserts that every datagram that was sent is accounted for, and also its bytes if no socket
/// dropped any.
fn assert_datagrams_are_accounted_for(balance: &DatagramBalance) {
    let counts = &balance.counts;
    assert_eq!(balance.missing, 0, "{balance:?}");
    let accounted = counts.received().plus(counts.blocked).plus(balance.unread);
    assert_eq!(
        accounted.datagrams + balance.lost,
        counts.sent().datagrams,
        "{balance:?}"
    );
    assert!(
        balance.lost > 0 || accounted == counts.sent(),
        "{balance:?}"
    );
    assert!(
        counts.blocked.datagrams > 0 && balance.unread.datagrams > 0,
        "{balance:?}"
    );
    assert!(counts.lease_received.datagrams > 0 && counts.membership_received.datagrams > 0);
    assert_eq!(
        (counts.send_failed.datagrams, balance.dropped),
        (0, 0),
        "{balance:?}"
    );
}

/// Guards the basis of the measurements: all nodes observe each event, leases pass to other
/// holders, and every datagram is accounted for.
#[test]
fn every_event_is_observed_by_all_nodes_and_every_datagram_is_accounted_for() {
    let measurements = run_all_events(Plan {
        partition_duration: Duration::from_secs(1),
        restarts: 2,
        ..plan()
    });

    assert_eq!(
        measurements.failed,
        Vec::<String>::new(),
        "{measurements:?}"
    );
    assert_eq!(
        (
            measurements.join.observed,
            measurements.death.dead.observed,
            measurements.settings.observed
        ),
        (NODES, NODES - 1, NODES)
    );
    assert!(
        measurements.death.owners_ms.is_some() && measurements.death.leases > 0,
        "{:?}",
        measurements.death
    );
    let rolling = measurements.rolling.expect("a rolling restart");
    assert_eq!(rolling.each_ms.iter().flatten().count(), 2);
    assert_datagrams_are_accounted_for(&measurements.datagram_balance);
}

/// A daemon process that is killed when this value is dropped.
struct RunningDaemon(Child);

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a daemon with the fleet address `address`, which contacts `seed` first.
fn start_daemon(
    folder: &Folder,
    address: SocketAddr,
    admin_address: SocketAddr,
    seed: SocketAddr,
) -> RunningDaemon {
    let known_events = coordinator::known(&[], &ZONES, &MACHINE_TYPES);
    let config = daemon::config(reserve_addr(), reserve_addr(), &known_events, 256);
    let fleet = format!(
        "bind = \"{address}\"\nseeds = [\"{seed}\"]\n[timing]\nperiod_ms = {PERIOD_MS}\nprobe_ms = 40\n"
    );
    let put = |name, text: &str| folder.put(name, text).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_yokelift"))
        .env("PROXY_CONFIG", put("config.json", &config.to_string()))
        .env("PROXY_NAME", "real")
        .env("PROXY_CONSOLE", admin_address.to_string())
        .env("PROXY_FLEET", put("fleet.toml", &fleet))
        .env("TMPDIR", folder.path(""))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    RunningDaemon(child.expect("the daemon"))
}

/// Returns how many members a daemon's admin endpoint reports as alive.
fn alive_members(admin_address: SocketAddr) -> Option<usize> {
    let (status, body) = async_io::block_on(clients::call_admin(admin_address, "GET", "/fleet"))?;
    let rows = body
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let alive = rows.filter(|row| row["health"] == json!("Alive")).count();
    (status == 200).then_some(alive)
}

/// Guards the meaning of the measurements: hollow nodes use the same protocol as real daemons.
#[test]
fn hollow_nodes_and_a_real_daemon_are_members_to_each_other() {
    let daemon_address = reserve_addr();
    let mut fleet = new_fleet(Plan {
        extra_seeds: vec![daemon_address],
        ..plan()
    });
    let folder = Folder::new().expect("a folder");
    let admin_address = reserve_addr();
    let _daemon = start_daemon(&folder, daemon_address, admin_address, fleet.addresses[0]);

    fleet.watch(Condition::OthersAlive(NODES));
    fleet.start_nodes();
    let progress = fleet
        .wait_for_condition("all nodes and the daemon join", &fleet.all_except(&[]))
        .expect("no thread ended");

    assert_eq!((progress.met, progress.total), (NODES, NODES));
    assert!(
        wait_until(|| alive_members(admin_address) == Some(NODES + 1)),
        "the daemon reports {:?} members as alive",
        alive_members(admin_address)
    );
}

/// Guards against plausible results from a run that lost a part of its nodes.
#[test]
fn a_thread_that_panics_fails_the_run() {
    let mut run = Run::new(new_fleet(plan()));
    run.join().expect("all start");

    run.fleet.panic_thread(1);

    let error = run
        .fleet
        .pass_time("idle", Duration::from_secs(60))
        .expect_err("a thread ended")
        .to_string();
    assert!(error.contains("received the command to panic"), "{error}");
    assert!(run.change_settings().is_err() && run.finish().is_err());
}

/// Returns the command line of a small run.
fn scale_fleet_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
    command
        .args(["scale-fleet", "--sizes", "4x4", "--voters", "3"])
        .stdin(Stdio::null());
    command
}

#[test]
fn the_time_limit_fails_a_run() {
    let output = scale_fleet_command()
        .args(["--limit", "1"])
        .output()
        .expect("the test kit");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains("within the limit"),
        "{stderr}"
    );
}

#[test]
fn a_signal_fails_a_run() {
    let mut child = scale_fleet_command()
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the test kit");
    let mut lines = BufReader::new(child.stderr.take().expect("its stderr")).lines();
    // The first progress line shows that the run has started.
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

/// Guards the machine against overload: a run that it lacks the capacity for is rejected before it
/// starts, and the error names the required and the available resources.
#[test]
fn a_run_without_capacity_is_rejected_before_it_starts() {
    let required = FleetRequirements::of(&Plan::new(460, 910));
    assert_eq!(
        required.check(required.descriptors, required.memory_mib),
        Ok(())
    );

    let error = required
        .check(required.descriptors - 1, required.memory_mib)
        .expect_err("too few descriptors")
        .to_string();
    assert!(
        error.contains(&required.descriptors.to_string()) && error.contains("RLIMIT_NOFILE"),
        "{error}"
    );
    let error = required
        .check(required.descriptors, required.memory_mib - 1)
        .expect_err("too little memory")
        .to_string();
    assert!(
        error.contains(&required.memory_mib.to_string()) && error.contains("MemAvailable"),
        "{error}"
    );
    let above_the_maximum = FleetRequirements {
        memory_mib: 12 * 1024 + 1,
        ..required
    };
    assert!(above_the_maximum.check(u64::MAX, u64::MAX).is_err());
}

#[test]
fn an_even_number_of_voters_and_too_few_nodes_are_rejected() {
    let is_rejected = |plan| HollowFleet::new(plan, Arc::default()).is_err();
    assert!(is_rejected(Plan {
        voters: 4,
        ..plan()
    }));
    assert!(is_rejected(Plan {
        managers: 2,
        ..plan()
    }));
}

/// Guards the partition, which identifies the receiving node of a datagram by its address alone.
#[test]
fn a_nodes_address_identifies_it() {
    for node in [0, 1, 249, 250, 459, 4_999] {
        assert_eq!(node_at(node_address(node)), Some(node));
    }
    let other_addresses = [[127, 0, 0, 1], [127, 64, 0, 0]];
    for ip in other_addresses {
        assert_eq!(node_at(SocketAddr::from((ip, 7_946))), None);
    }
}

#[test]
fn the_default_timing_is_that_of_the_shipped_fleet_file() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/fleet.toml");
    let text = std::fs::read_to_string(path).expect("the file");
    let shipped = FleetConfig::parse(&text).expect("a fleet file");
    assert_eq!(shipped.timing, Plan::new(460, 910).timing);
}
