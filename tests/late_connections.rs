//! Guards against requests that are reset because nobody accepts their connections: while a process
//! ends each new connection is answered or refused. See docs/incidents/unattended-backlog.md.
use rustix::process::{Pid, Signal, kill_process};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use yokelift::testkit::Executor;
use yokelift::testkit::clients::{CLOSE_CROSSING, http_request, rpc_line};
use yokelift::testkit::coordinator::{Coordinator, known};
use yokelift::testkit::daemon::{Daemon, DaemonOptions, DaemonProcess, KINDS, ZONES, settings};
use yokelift::testkit::ports::reserve_addr;
use yokelift::testkit::stand_in_thread::StandInThread;

/// Between two new connections.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// Clients that stay connected and never close.
const STAYING_CLIENTS: usize = 4;
/// The longest time that an end may take.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a client waits for its connection, its response and its end.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a successor has served when it is killed, and how long the kill takes to show.
const SUCCESSOR_LIFE: Duration = Duration::from_millis(60);
const KILL_NOTICE: Duration = Duration::from_millis(50);
/// When after SIGTERM a new version asks for the listeners: before, at and after the end of accepting.
const REQUESTS_FOR_LISTENERS: [Duration; 3] = [
    Duration::from_millis(850),
    Duration::from_millis(900),
    Duration::from_millis(930),
];

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yokelift"))
}

/// What became of a connection with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    Refused,
    /// It was closed before its request arrived; by the platform's rules the client sends it again.
    Crossed,
    /// It was made, and ended without a response.
    Lost,
}

/// A daemon without engines, with both frontends.
struct Deployment {
    _coordinator: StandInThread<Coordinator>,
    daemon: Daemon,
    http_listen: SocketAddr,
    _staying: Vec<TcpStream>,
}

impl Deployment {
    fn start(has_admin_endpoint: bool) -> Deployment {
        let coordinator = StandInThread::start(Coordinator::start);
        let http_listen = reserve_addr();
        let options = DaemonOptions {
            coordinator: coordinator.call(|it, _| it.addr),
            known: known(&[], &ZONES, &KINDS),
            deploy_file: Some(format!(
                "listen = \"{http_listen}\"\nusual_class = \"lookup\"\n\
                 [[user]]\nname = \"anna\"\nkey = \"secret\"\ntenant = \"billing-desk\"\n"
            )),
            max_sockets: 256,
            has_admin_endpoint,
            settings: settings(),
        };
        let executor = Executor::default();
        let started = async_io::block_on(executor.run(Daemon::start(program(), options)));
        let daemon = started.expect("it starts");
        let staying = (0..STAYING_CLIENTS)
            .map(|_| TcpStream::connect(daemon.listen).expect("a connection"))
            .collect();
        Deployment {
            _coordinator: coordinator,
            daemon,
            http_listen,
            _staying: staying,
        }
    }

    /// Makes a new connection to each frontend again and again until the given end.
    fn connect_until(&mut self, mut ends: impl FnMut(&mut Daemon) -> bool) -> Attempts {
        let mut attempts = Attempts::default();
        let gives_up_at = Instant::now() + END_TIMEOUT;
        while !ends(&mut self.daemon) {
            assert!(
                Instant::now() < gives_up_at,
                "it ends: {}",
                self.daemon.log()
            );
            let id = attempts.clients.len() as u64 + 1;
            let key = format!("{id:016x}");
            let line = rpc_line(1, "lookup", &key, "billing-desk", 300, "SELECT 1");
            attempts.add(self.daemon.listen, line);
            let request = http_request("anna", "secret", "max_execution_time=0.3", "SELECT 1");
            attempts.add(self.http_listen, request);
            std::thread::sleep(CONNECT_INTERVAL);
        }
        attempts
    }
}

/// Connections that are being made and used, each on a thread.
#[derive(Default)]
struct Attempts {
    clients: Vec<(Instant, JoinHandle<Fate>)>,
}

impl Attempts {
    fn add(&mut self, addr: SocketAddr, request: Vec<u8>) {
        let client = std::thread::spawn(move || send_on_new_connection(addr, &request));
        self.clients.push((Instant::now(), client));
    }

    /// Each connection made from that time on was answered or refused; there were some of both.
    fn assert_nothing_is_lost(self, from: Instant, log: &str) {
        let mut fates = Vec::new();
        for (started_at, client) in self.clients {
            let fate = client.join().expect("no client panics");
            if started_at >= from {
                fates.push(fate);
            }
        }
        let count = |fate| fates.iter().filter(|it| **it == fate).count();
        let lost = count(Fate::Lost);
        assert_eq!(
            lost,
            0,
            "{lost} lost, {} answered, {} refused\n{log}",
            count(Fate::Answered),
            count(Fate::Refused)
        );
        assert!(fates.len() > 10, "{} connections", fates.len());
    }
}

fn send_on_new_connection(addr: SocketAddr, request: &[u8]) -> Fate {
    let mut stream = match TcpStream::connect_timeout(&addr, CLIENT_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Fate::Refused,
        Err(_) => return Fate::Lost,
    };
    stream
        .set_read_timeout(Some(CLIENT_TIMEOUT))
        .expect("a socket");
    let sent_at = Instant::now();
    let exchanged = stream
        .write_all(request)
        .and_then(|()| stream.read(&mut [0; 1]));
    match exchanged {
        Ok(0) if sent_at.elapsed() <= CLOSE_CROSSING => Fate::Crossed,
        Ok(0) | Err(_) => Fate::Lost,
        Ok(_) => Fate::Answered,
    }
}

fn terminate(daemon: &Daemon) {
    let pid = Pid::from_raw(daemon.pid() as i32).expect("a process id");
    kill_process(pid, Signal::TERM).expect("it runs");
}

fn assert_nothing_is_lost_at_the_end(has_admin_endpoint: bool) {
    let mut deployment = Deployment::start(has_admin_endpoint);
    let told_at = Instant::now();
    terminate(&deployment.daemon);
    let attempts = deployment.connect_until(|daemon| daemon.poll_exit().is_some());
    attempts.assert_nothing_is_lost(told_at, &deployment.daemon.log());
}

#[test]
fn connections_during_a_shutdown_are_answered_or_refused() {
    assert_nothing_is_lost_at_the_end(true);
}

#[test]
fn connections_during_a_shutdown_without_an_admin_endpoint_are_answered_or_refused() {
    assert_nothing_is_lost_at_the_end(false);
}

#[test]
fn connections_after_the_death_of_a_successor_are_answered_or_refused() {
    let mut deployment = Deployment::start(true);
    let executor = Executor::default();
    let follow = deployment.daemon.follow(program());
    async_io::block_on(executor.run(follow)).expect("a successor");
    deployment.daemon.retire();
    std::thread::sleep(SUCCESSOR_LIFE);
    deployment.daemon.kill(DaemonProcess::Newer);
    // What the successor had accepted is lost with it.
    let from = Instant::now() + KILL_NOTICE;
    let attempts = deployment.connect_until(|daemon| daemon.poll_exit().is_some());
    attempts.assert_nothing_is_lost(from, &deployment.daemon.log());
}

#[test]
fn connections_are_answered_or_refused_where_a_new_version_comes_at_the_end() {
    for delay in REQUESTS_FOR_LISTENERS {
        let mut deployment = Deployment::start(true);
        let told_at = Instant::now();
        terminate(&deployment.daemon);
        let mut launched_at = None;
        let attempts = deployment.connect_until(|daemon| {
            if launched_at.is_none() && told_at.elapsed() >= delay {
                daemon.launch(program()).expect("a new version");
                launched_at = Some(Instant::now());
            }
            launched_at.is_some_and(|at| at.elapsed() > Duration::from_secs(1))
        });
        let log = deployment.daemon.log();
        attempts.assert_nothing_is_lost(told_at, &log);
        let ready = yokelift::testkit::clients::is_ready(deployment.daemon.listen);
        assert!(async_io::block_on(ready), "the new version serves: {log}");
    }
}
