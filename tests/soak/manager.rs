//! A manager under test: its processes, its clients, and its events.
use super::plan::{HotRestart, ManagerEvent, ManagerPlan, SettingsKind, SignalStep};
use super::settings::{KEY, TENANT, USER, deploy_file};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use yokelift::testkit::clients::{
    self, SustainedLoad, SustainedLoadPlan, SustainedLoadReport, SustainedProtocol,
};
use yokelift::testkit::daemon::{self, Folder};
use yokelift::testkit::planned_restart::{KILL_SLACK, MAX_DEADLINE_WAIT};
use yokelift::testkit::ports::reserve_addr;

/// The environment variable that names another build to test.
const PROGRAM: &str = "SOAK_PROGRAM";
/// The longest deadline that the platform waits for at the end of a predecessor.
const HOT_RESTART_DEADLINE: Duration = Duration::from_secs(5);
/// New connections keep arriving for 0.2 to 0.4 s after SIGTERM.
const RECONNECT_PERIOD: Duration = Duration::from_millis(300);
/// A process has to be ready within this time, and a successor within 6 s.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const SUCCESSOR_READY_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long after SIGTERM a predecessor is killed that has to be killed early.
const KILL_AFTER_TERM: Duration = Duration::from_millis(200);
/// How long a successor runs that is killed at its start.
const SUCCESSOR_LIFETIME: Duration = Duration::from_millis(20);
/// The limit on a manager's open descriptors.
const MAX_SOCKETS: usize = 256;
/// How long idle clients stay connected.
const IDLE_CLIENT_LIFETIME: Duration = Duration::from_millis(2_500);

/// The program under test: the one of this build unless the environment names another.
fn program() -> PathBuf {
    let named = std::env::var_os(PROGRAM).map(PathBuf::from);
    named.unwrap_or_else(|| env!("CARGO_BIN_EXE_yokelift").into())
}

/// A process of the manager, killed when it is dropped.
struct Process {
    child: Child,
    admin_addr: SocketAddr,
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // A process that has already exited is detected by the check of its exit.
            let _ = kill_process(pid, signal);
        }
    }

    fn is_ready(&self) -> bool {
        let call = clients::call_admin(self.admin_addr, "GET", "/ready");
        async_io::block_on(call).is_some_and(|(status, _)| status == 200)
    }

    /// Waits until it is ready. Returns whether it was ready in time.
    fn wait_until_ready(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            if self.child.try_wait().ok().flatten().is_some() {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn metric(&self, name: &str) -> Option<u64> {
        let call = clients::call_admin(self.admin_addr, "GET", "/metrics");
        let (_, body) = async_io::block_on(call)?;
        let prefix = format!("app.{name}:");
        let value = body.lines().find_map(|line| line.strip_prefix(&prefix))?;
        value.split('|').next()?.parse().ok()
    }

    fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(folder).map_or(0, Iterator::count)
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The records of a manager's clients, and the events that may leave requests without a response.
pub(crate) struct ManagerReport {
    pub(crate) loads: Vec<SustainedLoadReport>,
    /// The times before and after each kill of a process before the platform would kill it.
    pub(crate) kills: Vec<Instant>,
    pub(crate) has_idle_clients: bool,
}

/// A manager with its present process and its clients.
pub(crate) struct TestManager {
    name: String,
    settings: SettingsKind,
    plan: ManagerPlan,
    initial_list: Value,
    folder: Folder,
    listen: SocketAddr,
    http_listen: SocketAddr,
    coordinator: Mutex<SocketAddr>,
    process: Mutex<Option<Process>>,
    base_descriptors: Mutex<usize>,
    loads: Mutex<Vec<SustainedLoad>>,
    kills: Mutex<Vec<Instant>>,
    findings: Mutex<Vec<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread of the run panics")
}

impl TestManager {
    /// Starts a manager's first process and waits until it is ready.
    pub(crate) fn start(
        index: usize,
        settings: SettingsKind,
        plan: ManagerPlan,
        coordinator: SocketAddr,
        initial_list: Value,
    ) -> TestManager {
        let manager = TestManager {
            name: format!("m{index}"),
            settings,
            plan,
            initial_list,
            folder: Folder::new().expect("a temporary directory"),
            listen: reserve_addr(),
            http_listen: reserve_addr(),
            coordinator: Mutex::new(coordinator),
            process: Mutex::default(),
            base_descriptors: Mutex::default(),
            loads: Mutex::default(),
            kills: Mutex::default(),
            findings: Mutex::default(),
        };
        manager.start_process();
        *lock(&manager.base_descriptors) = manager.with_process(|process| process.descriptors());
        manager
    }

    /// Starts the load of its clients.
    pub(crate) fn start_load(&self, seed: u64) {
        let longest = self.settings.longest_deadline().as_millis() as u64;
        let plan = SustainedLoadPlan {
            connections: self.plan.rpc_connections,
            interval: Duration::from_millis(self.plan.interval_millis),
            protocol: SustainedProtocol::JsonRpc,
            classes: self.settings.rpc_classes(),
            tenant: TENANT,
            wait_ms: self.plan.min_wait_millis..=longest.min(4_000),
            cancelled_percent: 3,
            disconnected_percent: 1,
            seed,
        };
        let http = SustainedLoadPlan {
            connections: self.plan.http_connections,
            protocol: SustainedProtocol::ClickHouse {
                user: USER,
                key: KEY,
            },
            classes: self.settings.http_classes(),
            seed: seed + 1,
            ..plan.clone()
        };
        *lock(&self.loads) = vec![
            SustainedLoad::start(self.listen, plan),
            SustainedLoad::start(self.http_listen, http),
        ];
    }

    fn set_reconnect_enabled(&self, is_enabled: bool) {
        for load in lock(&self.loads).iter() {
            load.set_reconnect_enabled(is_enabled);
        }
    }

    /// Runs its events one after the other.
    pub(crate) fn run_events(&self) {
        for (pause_millis, event) in &self.plan.events {
            std::thread::sleep(Duration::from_millis(*pause_millis));
            match event {
                ManagerEvent::Signals(signals) => drop(self.send(signals)),
                ManagerEvent::PlannedRestart(signals) => self.restart(signals),
                ManagerEvent::HotRestart(hot_restart) => self.hot_restart(*hot_restart),
                ManagerEvent::Crash => self.crash(),
                ManagerEvent::IdleClients(clients) => self.connect_idle_clients(*clients),
            }
        }
    }

    /// Configures the coordinator's new address, and makes the manager reload it.
    pub(crate) fn move_coordinator(&self, coordinator: SocketAddr) {
        *lock(&self.coordinator) = coordinator;
        self.write_configuration();
        if let Some(process) = &*lock(&self.process) {
            process.signal(Signal::HUP);
        }
    }

    fn add_finding(&self, finding: String) {
        lock(&self.findings).push(format!("{}: {finding}", self.name));
    }

    fn with_process<T: Default>(&self, read: impl FnOnce(&mut Process) -> T) -> T {
        lock(&self.process).as_mut().map(read).unwrap_or_default()
    }

    fn write_configuration(&self) -> PathBuf {
        let coordinator = *lock(&self.coordinator);
        let mut config = daemon::config(self.listen, coordinator, &self.initial_list, MAX_SOCKETS);
        config["name"] = json!(self.name);
        config["settings"] = self.settings.settings();
        let text = config.to_string();
        self.folder
            .put("config.json", &text)
            .expect("the directory is writable")
    }

    fn spawn(&self) -> Process {
        let config_path = self.write_configuration();
        let deploy = deploy_file(self.http_listen);
        let deploy_path = self
            .folder
            .put("clickhouse.toml", &deploy)
            .expect("the directory is writable");
        let admin_addr = reserve_addr();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path("log"))
            .expect("the directory is writable");
        let child = Command::new(program())
            .arg(deploy_path)
            .env("PROXY_CONFIG", config_path)
            .env("PROXY_CONSOLE", admin_addr.to_string())
            .env("TMPDIR", self.folder.path(""))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Process { child, admin_addr }
    }

    fn start_process(&self) {
        let mut process = self.spawn();
        if !process.wait_until_ready(READY_TIMEOUT) {
            self.add_finding("a process was not ready in time".to_owned());
        }
        *lock(&self.process) = Some(process);
    }

    /// Sends signals to the present process. Returns when the first SIGTERM was sent.
    fn send(&self, signals: &[SignalStep]) -> Option<Instant> {
        let mut terminated_at = None;
        for (signal, pause_millis) in signals {
            self.with_process(|process| process.signal(*signal));
            if *signal == Signal::TERM {
                terminated_at.get_or_insert_with(Instant::now);
            }
            std::thread::sleep(Duration::from_millis(*pause_millis));
        }
        terminated_at
    }

    /// The time between SIGTERM and the platform's kill: the longest deadline, limited to
    /// `longest`, and the slack.
    fn kill_delay(&self, longest: Duration) -> Duration {
        self.settings.longest_deadline().min(longest) + KILL_SLACK
    }

    /// Kills a process at the earliest time after SIGTERM at which the platform would, and adds a
    /// finding unless it has exited successfully by then.
    fn kill_when_due(&self, mut process: Process, terminated_at: Instant, longest: Duration) {
        let kill_at = terminated_at + self.kill_delay(longest);
        std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        match process.child.try_wait() {
            Ok(Some(status)) if status.success() => {}
            Ok(Some(status)) => {
                self.add_finding(format!("a process exited after SIGTERM with {status}"))
            }
            _ => self.add_finding(
                "a process was still running when it was killed after SIGTERM".to_owned(),
            ),
        }
        process.kill();
    }

    fn restart(&self, signals: &[SignalStep]) {
        let Some(terminated_at) = self.send(signals) else {
            return;
        };
        let remaining =
            (terminated_at + RECONNECT_PERIOD).saturating_duration_since(Instant::now());
        std::thread::sleep(remaining);
        self.set_reconnect_enabled(false);
        if let Some(process) = lock(&self.process).take() {
            self.kill_when_due(process, terminated_at, MAX_DEADLINE_WAIT);
        }
        self.start_process();
        self.set_reconnect_enabled(true);
    }

    fn crash(&self) {
        self.set_reconnect_enabled(false);
        if let Some(process) = lock(&self.process).take() {
            self.kill_early(process);
        }
        self.start_process();
        self.set_reconnect_enabled(true);
    }

    /// Kills a process earlier than the platform would.
    fn kill_early(&self, mut process: Process) {
        lock(&self.kills).push(Instant::now());
        process.kill();
        lock(&self.kills).push(Instant::now());
    }

    fn hot_restart(&self, hot_restart: HotRestart) {
        let mut successor = self.spawn();
        if hot_restart == HotRestart::KillSuccessorAtStart {
            std::thread::sleep(SUCCESSOR_LIFETIME);
            return self.kill_early(successor);
        }
        let second = (hot_restart == HotRestart::Twice).then(|| self.spawn());
        if !successor.wait_until_ready(SUCCESSOR_READY_TIMEOUT) {
            self.add_finding("a successor was not ready in time".to_owned());
        }
        if hot_restart == HotRestart::KillReadySuccessor {
            return self.kill_early(successor);
        }
        let Some(predecessor) = lock(&self.process).replace(successor) else {
            return;
        };
        predecessor.signal(Signal::TERM);
        let terminated_at = Instant::now();
        if hot_restart == HotRestart::KillPredecessorAfterTerm {
            std::thread::sleep(KILL_AFTER_TERM);
            return self.kill_early(predecessor);
        }
        if let Some(second) = second {
            self.replace_successor(second);
        }
        self.kill_when_due(predecessor, terminated_at, HOT_RESTART_DEADLINE);
    }

    /// Replaces the first successor by a second one that was started before the first had taken
    /// over.
    fn replace_successor(&self, mut second: Process) {
        if !second.wait_until_ready(SUCCESSOR_READY_TIMEOUT) {
            self.add_finding("a second successor was not ready in time".to_owned());
        }
        if let Some(first) = lock(&self.process).replace(second) {
            first.signal(Signal::TERM);
            self.kill_when_due(first, Instant::now(), HOT_RESTART_DEADLINE);
        }
    }

    /// Connects clients that send nothing or a part of a message, and disconnects them after a
    /// while.
    fn connect_idle_clients(&self, clients: usize) {
        let mut streams = Vec::new();
        for index in 0..clients {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                if index % 2 == 0 {
                    let _ = stream.write_all(b"{\"jsonrpc\"");
                }
                streams.push(stream);
            }
        }
        std::thread::spawn(move || {
            std::thread::sleep(IDLE_CLIENT_LIFETIME);
            drop(streams);
        });
    }

    /// Ends the load and returns its report.
    pub(crate) fn finish_load(&self) -> ManagerReport {
        let loads = std::mem::take(&mut *lock(&self.loads));
        ManagerReport {
            loads: loads.into_iter().map(SustainedLoad::finish).collect(),
            kills: lock(&self.kills).clone(),
            has_idle_clients: self.plan.has_idle_clients(),
        }
    }

    /// Checks that nothing stays open without clients and that the process exits after SIGTERM.
    /// Returns all findings.
    pub(crate) fn finish(&self) -> Vec<String> {
        self.check_idle();
        let terminated_at = self
            .send(&[(Signal::TERM, 0)])
            .expect("the signals include SIGTERM");
        if let Some(process) = lock(&self.process).take() {
            self.kill_when_due(process, terminated_at, MAX_DEADLINE_WAIT);
        }
        let log = self.log();
        for line in log.lines().filter(|line| line.contains("panicked")) {
            self.add_finding(line.to_owned());
        }
        std::mem::take(&mut *lock(&self.findings))
    }

    fn check_idle(&self) {
        let base = *lock(&self.base_descriptors);
        let is_idle = || {
            self.with_process(|process| {
                process.metric("concurrent") == Some(0)
                    && process.metric("client_connections").unwrap_or(0) == 0
                    && process.descriptors() <= base
            })
        };
        if !yokelift::testkit::fleet::wait_until(is_idle) {
            let open = self.with_process(|process| process.metric("concurrent"));
            let registered = self.with_process(|process| process.metric("client_connections"));
            let descriptors = self.with_process(|process| process.descriptors());
            self.add_finding(format!(
                "without clients {open:?} requests are open, {registered:?} connections are registered, \
                 {descriptors} descriptors are open instead of {base}"
            ));
        }
        let panics = self.with_process(|process| process.metric("actor_panics"));
        if panics.is_some_and(|count| count > 0) {
            self.add_finding(format!("{panics:?} actors have panicked"));
        }
    }

    /// The log of all its processes.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path("log")).unwrap_or_default()
    }
}
