//! Guards against a process that does not exit, or loses requests, while its clients keep sending
//! after SIGTERM. See docs/incidents/shutdown-under-load.md.
use rustix::process::{Pid, Signal, kill_process};
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitStatus;
use std::time::{Duration, Instant};
use yokelift::testkit::Executor;
use yokelift::testkit::clients::{
    SustainedClass, SustainedLoad, SustainedLoadPlan, SustainedLoadReport, SustainedProtocol,
};
use yokelift::testkit::coordinator::{Coordinator, known, ready_endpoint};
use yokelift::testkit::daemon::{
    Daemon, DaemonLimits, DaemonOptions, MACHINE_TYPES, ZONES, settings,
};
use yokelift::testkit::planned_restart::{KILL_SLACK, MAX_DEADLINE_WAIT};

/// How long the clients send before the first signal.
const LOAD_BEFORE_SHUTDOWN: Duration = Duration::from_millis(800);

const ONE_SIGTERM: [(Signal, Duration); 1] = [(Signal::TERM, Duration::ZERO)];

const fn class(name: &'static str, statement: &'static str) -> SustainedClass {
    SustainedClass {
        name,
        statement,
        is_keyed: false,
    }
}

const CLASSES: [SustainedClass; 3] = [
    class("lookup", "SELECT 1"),
    class("report", "SELECT 2"),
    class("load", "INSERT INTO sales_17.orders SELECT 1"),
];

/// The outcomes of the requests, and the exit status of the process, `None` if it had to be killed.
struct ShutdownOutcome {
    report: SustainedLoadReport,
    status: Option<ExitStatus>,
    log: String,
}

/// The engines in the daemon's endpoint list.
#[derive(Clone, Copy, PartialEq)]
enum Engines {
    /// There is none.
    None,
    /// One whose connections are established, but which sends nothing on them.
    Hanging,
}

/// Starts a daemon and its clients, sends it the signals, each followed by its pause, and kills it
/// at the earliest time at which the platform would.
fn shut_down_under_load(
    plan: &SustainedLoadPlan,
    engines: Engines,
    signals: &[(Signal, Duration)],
) -> ShutdownOutcome {
    // Its connections are established in the backlog and never accepted.
    let hanging = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hanging_addr = hanging.local_addr().expect("an address");
    let listed = match engines {
        Engines::None => Vec::new(),
        Engines::Hanging => vec![ready_endpoint(1, hanging_addr)],
    };
    let executor = Executor::default();
    let coordinator = Coordinator::start(&executor);
    let options = DaemonOptions {
        coordinator: coordinator.addr,
        known: known(&listed, &ZONES, &MACHINE_TYPES),
        deploy_file: None,
        limits: DaemonLimits::with_sockets(256),
        has_admin_endpoint: true,
        settings: settings(),
    };
    let program = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    let start = Daemon::start(program, options);
    let mut daemon = async_io::block_on(executor.run(start)).expect("the daemon starts");

    let load = SustainedLoad::start(daemon.listen, plan.clone());
    std::thread::sleep(LOAD_BEFORE_SHUTDOWN);
    load.set_reconnect_enabled(false);
    let pid = Pid::from_raw(daemon.pid() as i32).expect("a process id is above 0");
    let mut sigterm_at = None;
    for (signal, pause) in signals {
        kill_process(pid, *signal).expect("it runs");
        if *signal == Signal::TERM {
            sigterm_at.get_or_insert_with(Instant::now);
        }
        std::thread::sleep(*pause);
    }
    let kill_at =
        sigterm_at.expect("one of the signals is SIGTERM") + MAX_DEADLINE_WAIT + KILL_SLACK;
    std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let status = daemon.poll_exit();
    if status.is_none() {
        kill_process(pid, Signal::KILL).expect("it runs");
    }
    ShutdownOutcome {
        report: load.finish(),
        status,
        log: daemon.log(),
    }
}

/// Asserts that each request has one final response, and that the process exits by itself before
/// the kill.
fn assert_nothing_is_lost(
    plan: &SustainedLoadPlan,
    engines: Engines,
    signals: &[(Signal, Duration)],
) {
    let ShutdownOutcome {
        report,
        status,
        log,
    } = shut_down_under_load(plan, engines, signals);
    let lost = report.lost();
    assert!(
        report.requests.len() > plan.connections,
        "the clients have sent requests: {log}"
    );
    assert!(
        lost.is_empty(),
        "{} of {} requests are lost, the process had to be killed: {}, the first lost request: {:?}\n{log}",
        lost.len(),
        report.requests.len(),
        status.is_none(),
        lost[0],
    );
    assert!(
        status.is_some_and(|status| status.success()),
        "exit status {status:?}: {log}"
    );
    assert!(report.with_duplicate_responses().is_empty() && report.unexpected_responses == 0);
}

/// Twelve clients that continue on every connection that stays open.
fn steady_clients(seed: u64) -> SustainedLoadPlan {
    SustainedLoadPlan {
        connections: 12,
        interval: Duration::from_millis(40),
        protocol: SustainedProtocol::JsonRpc,
        classes: CLASSES.to_vec(),
        cancelled_percent: 0,
        disconnected_percent: 0,
        tenant: "billing-desk",
        wait_ms: 40..=6_000,
        seed,
    }
}

/// Clients that send more often and wait less, and are rejected all the time.
fn throttled_clients(seed: u64) -> SustainedLoadPlan {
    SustainedLoadPlan {
        interval: Duration::from_millis(8),
        wait_ms: 40..=90,
        ..steady_clients(seed)
    }
}

#[test]
fn the_process_exits_while_clients_keep_sending() {
    assert_nothing_is_lost(&steady_clients(1), Engines::None, &ONE_SIGTERM);
}

#[test]
fn the_process_exits_while_clients_keep_sending_and_engines_hang() {
    assert_nothing_is_lost(&steady_clients(4), Engines::Hanging, &ONE_SIGTERM);
}

#[test]
fn repeated_sigterm_between_reloads_loses_no_request() {
    let series = [
        (Signal::HUP, Duration::from_millis(2)),
        (Signal::TERM, Duration::from_millis(3)),
        (Signal::HUP, Duration::from_millis(1)),
        (Signal::USR1, Duration::from_millis(300)),
        (Signal::TERM, Duration::ZERO),
    ];
    assert_nothing_is_lost(&steady_clients(2), Engines::None, &series);
}

/// Guards against losing requests that wait to be parsed when the process shuts down.
#[test]
fn requests_of_throttled_clients_get_responses_during_shutdown() {
    assert_nothing_is_lost(&throttled_clients(3), Engines::None, &ONE_SIGTERM);
}
