//! A manager under test: its processes, its clients, and what the seed lets happen to it.
use super::plan::{ManagerEvent, ManagerPlan, SettingsKind, SignalStep, Upgrade};
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

/// The variable that names another build to play against.
const PROGRAM: &str = "SOAK_PROGRAM";
/// The longest deadline that the platform waits for at the end of an older version.
const UPGRADE_DEADLINE: Duration = Duration::from_secs(5);
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM.
const FRONT_NOTICE: Duration = Duration::from_millis(300);
/// A process has to be ready within this time; a new version within 6 s.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const NEW_VERSION_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long after SIGTERM the old version is killed, where it is.
const KILL_AFTER_TERM: Duration = Duration::from_millis(200);
/// How long a new version that is killed at its start has run.
const NEW_VERSION_AGE: Duration = Duration::from_millis(20);
/// The descriptors that a manager may hold.
const MAX_SOCKETS: usize = 256;
/// How long a crowd stays.
const CROWD_STAY: Duration = Duration::from_millis(2_500);

/// The program: this build's, or one that the environment names.
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
            // A process that has ended is found out where its end is due.
            let _ = kill_process(pid, signal);
        }
    }

    fn is_ready(&self) -> bool {
        let call = clients::call_admin(self.admin_addr, "GET", "/ready");
        async_io::block_on(call).is_some_and(|(status, _)| status == 200)
    }

    /// Waits until it is ready; gives whether it was in time.
    fn becomes_ready(&mut self, timeout: Duration) -> bool {
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

/// What the clients of a manager saw, and what excuses a request without a response.
pub(crate) struct ManagerReport {
    pub(crate) loads: Vec<SustainedLoadReport>,
    /// When a process was killed before the platform would.
    pub(crate) kills: Vec<Instant>,
    pub(crate) has_crowd: bool,
}

/// A manager with its present process.
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
    /// Starts its first process and waits until it is ready.
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
            folder: Folder::new().expect("a folder"),
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

    /// Begins the load of its clients.
    pub(crate) fn start_load(&self, seed: u64) {
        let longest = self.settings.longest_deadline().as_millis() as u64;
        let plan = SustainedLoadPlan {
            connections: self.plan.rpc_connections,
            interval: Duration::from_millis(self.plan.interval_millis),
            protocol: SustainedProtocol::JsonRpc,
            classes: self.settings.rpc_classes(),
            tenant: TENANT,
            wait_ms: self.plan.least_wait_millis..=longest.min(4_000),
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

    fn set_reconnect_enabled(&self, is_open: bool) {
        for load in lock(&self.loads).iter() {
            load.set_reconnect_enabled(is_open);
        }
    }

    /// Plays its events.
    pub(crate) fn play(&self) {
        for (pause_millis, event) in &self.plan.events {
            std::thread::sleep(Duration::from_millis(*pause_millis));
            match event {
                ManagerEvent::Signals(signals) => drop(self.send(signals)),
                ManagerEvent::PlannedRestart(signals) => self.restart(signals),
                ManagerEvent::Upgrade(upgrade) => self.upgrade(*upgrade),
                ManagerEvent::Crash => self.crash(),
                ManagerEvent::Crowd(clients) => self.crowd(*clients),
            }
        }
    }

    /// The managers are told where discovery has moved.
    pub(crate) fn move_coordinator(&self, coordinator: SocketAddr) {
        *lock(&self.coordinator) = coordinator;
        self.write_configuration();
        if let Some(process) = &*lock(&self.process) {
            process.signal(Signal::HUP);
        }
    }

    fn note(&self, finding: String) {
        lock(&self.findings).push(format!("{}: {finding}", self.name));
    }

    fn with_process<T: Default>(&self, look: impl FnOnce(&mut Process) -> T) -> T {
        lock(&self.process).as_mut().map(look).unwrap_or_default()
    }

    fn write_configuration(&self) -> PathBuf {
        let coordinator = *lock(&self.coordinator);
        let mut config = daemon::config(self.listen, coordinator, &self.initial_list, MAX_SOCKETS);
        config["name"] = json!(self.name);
        config["settings"] = self.settings.settings();
        let text = config.to_string();
        self.folder.put("config.json", &text).expect("a file")
    }

    fn spawn(&self) -> Process {
        let config_path = self.write_configuration();
        let deploy = deploy_file(self.http_listen);
        let deploy_path = self.folder.put("clickhouse.toml", &deploy).expect("a file");
        let admin_addr = reserve_addr();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path("log"))
            .expect("a file");
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
        if !process.becomes_ready(READY_TIMEOUT) {
            self.note("a process was not ready in time".to_owned());
        }
        *lock(&self.process) = Some(process);
    }

    /// Sends signals to the present process; gives when it was told to end.
    fn send(&self, signals: &[SignalStep]) -> Option<Instant> {
        let mut told_at = None;
        for (signal, pause_millis) in signals {
            self.with_process(|process| process.signal(*signal));
            if *signal == Signal::TERM {
                told_at.get_or_insert_with(Instant::now);
            }
            std::thread::sleep(Duration::from_millis(*pause_millis));
        }
        told_at
    }

    /// The longest deadline as the platform takes it, and its slack.
    fn kill_delay(&self, longest: Duration) -> Duration {
        self.settings.longest_deadline().min(longest) + KILL_SLACK
    }

    /// Kills a process that is told to end at the earliest moment, unless it has ended by then.
    fn end_by_kill(&self, mut process: Process, told_at: Instant, longest: Duration) {
        let kill_at = told_at + self.kill_delay(longest);
        std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        match process.child.try_wait() {
            Ok(Some(status)) if status.success() => {}
            Ok(Some(status)) => self.note(format!("a process that was told to end: {status}")),
            _ => self.note("a process that was told to end was alive at the kill".to_owned()),
        }
        process.kill();
    }

    fn restart(&self, signals: &[SignalStep]) {
        let Some(told_at) = self.send(signals) else {
            return;
        };
        let notice = (told_at + FRONT_NOTICE).saturating_duration_since(Instant::now());
        std::thread::sleep(notice);
        self.set_reconnect_enabled(false);
        if let Some(process) = lock(&self.process).take() {
            self.end_by_kill(process, told_at, MAX_DEADLINE_WAIT);
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

    /// Kills a process at a moment at which the platform would not.
    fn kill_early(&self, mut process: Process) {
        lock(&self.kills).push(Instant::now());
        process.kill();
        lock(&self.kills).push(Instant::now());
    }

    fn upgrade(&self, upgrade: Upgrade) {
        let mut new = self.spawn();
        if upgrade == Upgrade::KillNewAtStart {
            std::thread::sleep(NEW_VERSION_AGE);
            return self.kill_early(new);
        }
        let newest = (upgrade == Upgrade::Twice).then(|| self.spawn());
        if !new.becomes_ready(NEW_VERSION_TIMEOUT) {
            self.note("a new version was not ready in time".to_owned());
        }
        if upgrade == Upgrade::KillNewWhenReady {
            return self.kill_early(new);
        }
        let Some(old) = lock(&self.process).replace(new) else {
            return;
        };
        old.signal(Signal::TERM);
        let told_at = Instant::now();
        if upgrade == Upgrade::KillOldAfterTerm {
            std::thread::sleep(KILL_AFTER_TERM);
            return self.kill_early(old);
        }
        if let Some(newest) = newest {
            self.take_over_again(newest);
        }
        self.end_by_kill(old, told_at, UPGRADE_DEADLINE);
    }

    /// A second new version, started before the first one had taken over, replaces that one.
    fn take_over_again(&self, mut newest: Process) {
        if !newest.becomes_ready(NEW_VERSION_TIMEOUT) {
            self.note("a second new version was not ready in time".to_owned());
        }
        if let Some(first) = lock(&self.process).replace(newest) {
            first.signal(Signal::TERM);
            self.end_by_kill(first, Instant::now(), UPGRADE_DEADLINE);
        }
    }

    /// Clients that say nothing, or half a message, for a while.
    fn crowd(&self, clients: usize) {
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
            std::thread::sleep(CROWD_STAY);
            drop(streams);
        });
    }

    /// Ends the load, and gives what became of it.
    pub(crate) fn finish_load(&self) -> ManagerReport {
        let loads = std::mem::take(&mut *lock(&self.loads));
        ManagerReport {
            loads: loads.into_iter().map(SustainedLoad::finish).collect(),
            kills: lock(&self.kills).clone(),
            has_crowd: self.plan.has_crowd(),
        }
    }

    /// Without clients nothing is open, and the process ends when it is told to. Gives all findings.
    pub(crate) fn finish(&self) -> Vec<String> {
        self.check_idle();
        let told_at = self.send(&[(Signal::TERM, 0)]).expect("it is told to end");
        if let Some(process) = lock(&self.process).take() {
            self.end_by_kill(process, told_at, MAX_DEADLINE_WAIT);
        }
        let log = self.log();
        for line in log.lines().filter(|line| line.contains("panicked")) {
            self.note(line.to_owned());
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
            self.note(format!(
                "without clients {open:?} requests are open, {registered:?} connections registered, \
                 {descriptors} descriptors instead of {base}"
            ));
        }
        let panics = self.with_process(|process| process.metric("actor_panics"));
        if panics.is_some_and(|count| count > 0) {
            self.note(format!("{panics:?} actors have panicked"));
        }
    }

    /// Everything that its processes have logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path("log")).unwrap_or_default()
    }
}
