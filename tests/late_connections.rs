//! Guards against requests that are lost because no process accepts their connections: the system
//! completes connections in the listen backlog, and resets them when the process exits. While a
//! process shuts down, each new connection gets a response or is refused by the system.
//! See docs/incidents/unattended-backlog.md.
use rustix::process::{Pid, Signal, kill_process};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use yokelift::testkit::Executor;
use yokelift::testkit::clients::{CLOSE_CROSSING, http_request, rpc_line};
use yokelift::testkit::coordinator::{Coordinator, known};
use yokelift::testkit::daemon::{
    Daemon, DaemonLimits, DaemonOptions, DaemonProcess, MACHINE_TYPES, ZONES, settings,
};
use yokelift::testkit::ports::reserve_addr;
use yokelift::testkit::stand_in_thread::StandInThread;

/// The interval between two new connections.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// Clients that stay connected, send nothing and never close.
const IDLE_CLIENTS: usize = 4;
/// The longest time that a shutdown may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a client waits for its connection to be established, and for its response
/// or the end of the connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a successor serves before it is killed, and how long the kill takes to have an effect.
const SUCCESSOR_LIFETIME: Duration = Duration::from_millis(60);
const KILL_DELAY: Duration = Duration::from_millis(50);
/// When a new version requests the listeners, counted from SIGTERM: before, at and after the time
/// at which the old one stops accepting.
const LISTENER_REQUEST_DELAYS: [Duration; 3] = [
    Duration::from_millis(850),
    Duration::from_millis(900),
    Duration::from_millis(930),
];

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yokelift"))
}

/// How a connection with one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionOutcome {
    Response,
    Refused,
    /// It was closed before its request arrived; by the platform's rules the client sends the
    /// request again.
    ClosedBeforeRequest,
    /// It was established, and ended without a response.
    Lost,
}

/// A daemon without engines, with both frontends.
struct Deployment {
    _coordinator: StandInThread<Coordinator>,
    daemon: Daemon,
    http_listen: SocketAddr,
    _idle_clients: Vec<TcpStream>,
}

impl Deployment {
    fn start(has_admin_endpoint: bool) -> Deployment {
        let coordinator = StandInThread::start(Coordinator::start);
        let http_listen = reserve_addr();
        let options = DaemonOptions {
            coordinator: coordinator.call(|it, _| it.addr),
            known: known(&[], &ZONES, &MACHINE_TYPES),
            deploy_file: Some(format!(
                "listen = \"{http_listen}\"\nusual_class = \"lookup\"\n\
                 [[user]]\nname = \"anna\"\nkey = \"secret\"\ntenant = \"billing-desk\"\n"
            )),
            limits: DaemonLimits::with_sockets(256),
            has_admin_endpoint,
            settings: settings(),
        };
        let executor = Executor::default();
        let started = async_io::block_on(executor.run(Daemon::start(program(), options)));
        let daemon = started.expect("the daemon starts");
        let idle_clients = (0..IDLE_CLIENTS)
            .map(|_| TcpStream::connect(daemon.listen).expect("a connection"))
            .collect();
        Deployment {
            _coordinator: coordinator,
            daemon,
            http_listen,
            _idle_clients: idle_clients,
        }
    }

    /// Makes new connections to each frontend at an interval until the condition holds.
    fn connect_until(&mut self, mut condition: impl FnMut(&mut Daemon) -> bool) -> Connections {
        let mut connections = Connections::default();
        let times_out_at = Instant::now() + SHUTDOWN_TIMEOUT;
        while !condition(&mut self.daemon) {
            assert!(
                Instant::now() < times_out_at,
                "the condition never held: {}",
                self.daemon.log()
            );
            let id = connections.clients.len() as u64 + 1;
            let key = format!("{id:016x}");
            let line = rpc_line(1, "lookup", &key, "billing-desk", 300, "SELECT 1");
            connections.add(self.daemon.listen, line);
            let request = http_request("anna", "secret", "max_execution_time=0.3", "SELECT 1");
            connections.add(self.http_listen, request);
            std::thread::sleep(CONNECT_INTERVAL);
        }
        connections
    }
}

/// Connections that are being established and used, each on a thread.
#[derive(Default)]
struct Connections {
    clients: Vec<(Instant, JoinHandle<ConnectionOutcome>)>,
}

impl Connections {
    fn add(&mut self, addr: SocketAddr, request: Vec<u8>) {
        let client = std::thread::spawn(move || send_on_new_connection(addr, &request));
        self.clients.push((Instant::now(), client));
    }

    /// Asserts that no connection begun from that time on was lost, and that there were more than
    /// 10.
    fn assert_none_lost(self, from: Instant, log: &str) {
        let mut outcomes = Vec::new();
        for (started_at, client) in self.clients {
            let outcome = client.join().expect("no client panics");
            if started_at >= from {
                outcomes.push(outcome);
            }
        }
        let count = |outcome| outcomes.iter().filter(|it| **it == outcome).count();
        let lost = count(ConnectionOutcome::Lost);
        assert_eq!(
            lost,
            0,
            "{lost} lost, {} with a response, {} refused\n{log}",
            count(ConnectionOutcome::Response),
            count(ConnectionOutcome::Refused)
        );
        assert!(outcomes.len() > 10, "{} connections", outcomes.len());
    }
}

fn send_on_new_connection(addr: SocketAddr, request: &[u8]) -> ConnectionOutcome {
    let mut stream = match TcpStream::connect_timeout(&addr, CLIENT_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return ConnectionOutcome::Refused;
        }
        Err(_) => return ConnectionOutcome::Lost,
    };
    stream
        .set_read_timeout(Some(CLIENT_TIMEOUT))
        .expect("the timeout is set");
    let sent_at = Instant::now();
    let exchanged = stream
        .write_all(request)
        .and_then(|()| stream.read(&mut [0; 1]));
    match exchanged {
        Ok(0) if sent_at.elapsed() <= CLOSE_CROSSING => ConnectionOutcome::ClosedBeforeRequest,
        Ok(0) | Err(_) => ConnectionOutcome::Lost,
        Ok(_) => ConnectionOutcome::Response,
    }
}

fn terminate(daemon: &Daemon) {
    let pid = Pid::from_raw(daemon.pid() as i32).expect("a process id");
    kill_process(pid, Signal::TERM).expect("the daemon runs");
}

fn assert_nothing_is_lost_at_shutdown(has_admin_endpoint: bool) {
    let mut deployment = Deployment::start(has_admin_endpoint);
    let terminated_at = Instant::now();
    terminate(&deployment.daemon);
    let connections = deployment.connect_until(|daemon| daemon.poll_exit().is_some());
    connections.assert_none_lost(terminated_at, &deployment.daemon.log());
}

#[test]
fn connections_during_a_shutdown_get_a_response_or_are_refused() {
    assert_nothing_is_lost_at_shutdown(true);
}

#[test]
fn connections_during_a_shutdown_without_an_admin_endpoint_get_a_response_or_are_refused() {
    assert_nothing_is_lost_at_shutdown(false);
}

#[test]
fn connections_after_a_successor_is_killed_get_a_response_or_are_refused() {
    let mut deployment = Deployment::start(true);
    let executor = Executor::default();
    let start = deployment.daemon.start_successor(program());
    async_io::block_on(executor.run(start)).expect("a successor");
    deployment.daemon.terminate_predecessor();
    std::thread::sleep(SUCCESSOR_LIFETIME);
    deployment.daemon.kill(DaemonProcess::Successor);
    // What the successor had accepted is lost with it.
    let from = Instant::now() + KILL_DELAY;
    let connections = deployment.connect_until(|daemon| daemon.poll_exit().is_some());
    connections.assert_none_lost(from, &deployment.daemon.log());
}

#[test]
fn connections_get_a_response_or_are_refused_if_a_new_version_starts_during_the_shutdown() {
    for delay in LISTENER_REQUEST_DELAYS {
        let mut deployment = Deployment::start(true);
        let terminated_at = Instant::now();
        terminate(&deployment.daemon);
        let mut launched_at = None;
        let connections = deployment.connect_until(|daemon| {
            if launched_at.is_none() && terminated_at.elapsed() >= delay {
                daemon.launch_successor(program()).expect("a new version");
                launched_at = Some(Instant::now());
            }
            launched_at.is_some_and(|at| at.elapsed() > Duration::from_secs(1))
        });
        let log = deployment.daemon.log();
        connections.assert_none_lost(terminated_at, &log);
        let ready = yokelift::testkit::clients::is_ready(deployment.daemon.listen);
        assert!(async_io::block_on(ready), "the new version serves: {log}");
    }
}
