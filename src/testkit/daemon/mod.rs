//! Runs the real daemon as a child process with a configuration that is written for it.
mod config;
mod error;
mod folder;

pub use config::{CLASSES, DaemonLimits, MACHINE_TYPES, ZONES, config, settings};
pub use error::DaemonError;
pub use folder::Folder;

use super::ports::reserve_addr;
use super::{clients, pause, wait_until};
use config::{class_like, config_with, set_classes};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// The number of polls after which the daemon counts as not ready.
const MAX_READINESS_POLLS: usize = 2_000;
const READINESS_POLL_MILLIS: u64 = 5;
/// The limit on descriptors in a configuration that names another coordinator.
const RECONFIGURED_MAX_SOCKETS: usize = 1_024;
const CONFIG_FILE: &str = "config.json";
const DEPLOY_FILE: &str = "clickhouse.toml";
/// The text that identifies a log line with the daemon's counters.
const COUNTERS_MARKER: &str = " taken ";

/// The options that the daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The address of its coordinator.
    pub coordinator: SocketAddr,
    /// The events of the coordinator that its configuration holds.
    pub known: Value,
    /// The content of the deploy file, if the daemon has a ClickHouse frontend.
    pub deploy_file: Option<String>,
    /// Its limits.
    pub limits: DaemonLimits,
    /// Whether it has an admin endpoint.
    pub has_admin_endpoint: bool,
    /// Its settings.
    pub settings: Value,
}

/// One of the two newest processes of a daemon during a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonProcess {
    /// The process that is replaced.
    Predecessor,
    /// The process that replaces it.
    Successor,
}

/// A running daemon. Its processes are killed when it is dropped.
pub struct Daemon {
    child: Child,
    /// The address of its JSON-RPC frontend.
    pub listen: SocketAddr,
    /// The address of its admin endpoint, if it has one.
    pub admin_addr: Option<SocketAddr>,
    /// The processes that the present one replaces during a hot restart, the oldest first.
    predecessors: Vec<Predecessor>,
    starts: u32,
    options: DaemonOptions,
    folder: Folder,
}

/// The older process of a hot restart.
struct Predecessor {
    child: Child,
    admin_addr: Option<SocketAddr>,
}

impl Daemon {
    /// Starts the daemon and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The daemon can't be started, or does not become ready in time.
    pub async fn start(program: &Path, options: DaemonOptions) -> Result<Daemon, DaemonError> {
        let folder = Folder::new()?;
        let listen = reserve_addr();
        let text = config_with(
            listen,
            options.coordinator,
            &options.known,
            options.limits,
            &options.settings,
        );
        let config_path = folder.put(CONFIG_FILE, &text.to_string())?;
        let admin_addr = options.has_admin_endpoint.then(reserve_addr);
        let mut command = command(program, &folder, listen, admin_addr);
        command.env("PROXY_CONFIG", config_path);
        if let Some(deploy_file) = &options.deploy_file {
            command.arg(folder.put(DEPLOY_FILE, deploy_file)?);
        }
        let child = spawn(command, program, &folder.path(&log_file(0)))?;
        let mut daemon = Daemon {
            child,
            listen,
            admin_addr,
            predecessors: Vec::new(),
            starts: 1,
            options,
            folder,
        };
        if daemon.wait_until_ready().await {
            return Ok(daemon);
        }
        let _ = daemon.child.kill();
        let log = daemon.log();
        Err(DaemonError::NotReady { log })
    }

    async fn wait_until_ready(&mut self) -> bool {
        for _ in 0..MAX_READINESS_POLLS {
            if clients::is_ready(self.listen).await {
                return true;
            }
            if self.has_exited() {
                return false;
            }
            pause(READINESS_POLL_MILLIS).await;
        }
        false
    }

    fn has_exited(&mut self) -> bool {
        exit_status(&mut self.child).is_some()
    }

    /// Starts a successor beside the daemon, with a separate admin endpoint.
    ///
    /// # Errors
    ///
    /// The successor can't be started.
    pub fn launch_successor(&mut self, program: &Path) -> Result<(), DaemonError> {
        let admin_addr = Some(reserve_addr());
        let mut command = command(program, &self.folder, self.listen, admin_addr);
        command.env("PROXY_CONFIG", self.folder.path(CONFIG_FILE));
        if self.options.deploy_file.is_some() {
            command.arg(self.folder.path(DEPLOY_FILE));
        }
        let log_path = self.folder.path(&log_file(self.starts));
        let child = spawn(command, program, &log_path)?;
        self.starts += 1;
        let predecessor = Predecessor {
            child: std::mem::replace(&mut self.child, child),
            admin_addr: std::mem::replace(&mut self.admin_addr, admin_addr),
        };
        self.predecessors.push(predecessor);
        Ok(())
    }

    /// Starts a successor and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The successor can't be started, or does not become ready in time.
    pub async fn start_successor(&mut self, program: &Path) -> Result<(), DaemonError> {
        self.launch_successor(program)?;
        let admin_addr = self.admin_addr.ok_or(DaemonError::NoAdminEndpoint)?;
        for _ in 0..MAX_READINESS_POLLS {
            let response = clients::call_admin(admin_addr, "GET", "/ready").await;
            if response.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            if self.has_exited() {
                break;
            }
            pause(READINESS_POLL_MILLIS).await;
        }
        Err(DaemonError::SuccessorNotReady)
    }

    /// Sends SIGTERM to the newest predecessor.
    pub fn terminate_predecessor(&self) {
        if let Some(predecessor) = self.predecessors.last() {
            signal(&predecessor.child, Signal::TERM);
        }
    }

    /// Waits until the newest predecessor exits; returns `None` if it does not exit in time.
    pub async fn wait_for_predecessor_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(|| {
            let predecessor = self.predecessors.last_mut();
            status = predecessor.and_then(|predecessor| exit_status(&mut predecessor.child));
            status.is_some()
        })
        .await;
        self.predecessors.pop();
        status
    }

    /// Waits until the successor exits; returns `None` if it does not exit in time. The predecessor
    /// becomes the present process again.
    pub async fn wait_for_successor_exit(&mut self) -> Option<ExitStatus> {
        let status = self.wait_for_exit().await;
        self.restore_predecessor();
        status
    }

    /// Makes the predecessor the present process again, and returns the successor.
    fn restore_predecessor(&mut self) -> Option<Child> {
        let predecessor = self.predecessors.pop()?;
        self.admin_addr = predecessor.admin_addr;
        Some(std::mem::replace(&mut self.child, predecessor.child))
    }

    /// Kills one of the processes of a hot restart. If the successor is killed, the predecessor
    /// becomes the present process again.
    pub fn kill(&mut self, process: DaemonProcess) {
        let killed = match process {
            DaemonProcess::Predecessor => self.predecessors.pop().map(|older| older.child),
            DaemonProcess::Successor => self.restore_predecessor(),
        };
        let Some(mut killed) = killed else {
            return;
        };
        let _ = killed.kill();
        let _ = killed.wait();
    }

    /// Writes a configuration with these classes (`NAME:SEMANTICS`) and maximum number of attempts
    /// (`attempts:COUNT`), and makes the daemon reload it.
    ///
    /// # Errors
    ///
    /// A change has neither form, or the configuration can't be written.
    pub fn reconfigure(&self, changes: &[&str]) -> Result<(), DaemonError> {
        let mut config = self.config(self.options.coordinator, self.options.limits);
        let settings = &mut config["settings"];
        let templates = settings["classes"].as_array().cloned();
        let templates = templates.unwrap_or_default();
        let mut classes = Vec::new();
        for change in changes {
            let invalid = || DaemonError::InvalidChange((*change).to_owned());
            let (name, value) = change.split_once(':').ok_or_else(invalid)?;
            if name == "attempts" {
                settings["limits"]["send_cap"] = parse_attempts(value)?.into();
            } else {
                classes.push(class_like(&templates, name, value));
            }
        }
        set_classes(settings, classes);
        self.write_config(&config.to_string())
    }

    /// Writes a configuration that names another coordinator, and makes the daemon reload it.
    ///
    /// # Errors
    ///
    /// The configuration can't be written.
    pub fn reconfigure_coordinator(&self, coordinator: SocketAddr) -> Result<(), DaemonError> {
        let limits = DaemonLimits::with_sockets(RECONFIGURED_MAX_SOCKETS);
        let config = self.config(coordinator, limits);
        self.write_config(&config.to_string())
    }

    /// Writes an invalid configuration, and makes the daemon reload it.
    ///
    /// # Errors
    ///
    /// The configuration can't be written.
    pub fn reconfigure_invalid(&self) -> Result<(), DaemonError> {
        self.write_config("{")
    }

    fn config(&self, coordinator: SocketAddr, limits: DaemonLimits) -> Value {
        let DaemonOptions {
            known, settings, ..
        } = &self.options;
        config_with(self.listen, coordinator, known, limits, settings)
    }

    fn write_config(&self, text: &str) -> Result<(), DaemonError> {
        self.folder.put(CONFIG_FILE, text)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    fn signal(&self, number: Signal) {
        signal(&self.child, number);
    }

    /// The id of the present process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it exits; returns `None` if it does not exit in time.
    pub async fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(|| {
            status = exit_status(&mut self.child);
            status.is_some()
        })
        .await;
        status
    }

    /// Its exit status, if it has exited.
    pub fn poll_exit(&mut self) -> Option<ExitStatus> {
        exit_status(&mut self.child)
    }

    /// The logs of all its processes.
    pub fn log(&self) -> String {
        let read = |start| std::fs::read_to_string(self.folder.path(&log_file(start)));
        (0..self.starts)
            .map(|start| read(start).unwrap_or_default())
            .collect()
    }

    /// Makes it log its counters, with SIGUSR1.
    pub fn request_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// The number of times that it has logged its counters.
    pub fn counter_lines(&self) -> usize {
        let log = self.log();
        let lines = log.lines().filter(|line| line.contains(COUNTERS_MARKER));
        lines.count()
    }

    /// The value of a counter in the latest log line with counters.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let log = self.log();
        let mut lines = log.lines().rev();
        let counters = lines.find(|line| line.contains(COUNTERS_MARKER))?;
        let mut words = counters.split(' ').skip_while(|word| *word != name);
        words.nth(1)?.parse().ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        while !self.predecessors.is_empty() {
            self.kill(DaemonProcess::Predecessor);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The name of the log file of the process with this number.
fn log_file(start: u32) -> String {
    if start == 0 {
        "log".to_owned()
    } else {
        format!("log{start}")
    }
}

fn parse_attempts(value: &str) -> Result<i64, DaemonError> {
    value
        .parse()
        .map_err(|source| DaemonError::InvalidAttempts {
            value: value.to_owned(),
            source,
        })
}

fn command(
    program: &Path,
    folder: &Folder,
    listen: SocketAddr,
    admin_addr: Option<SocketAddr>,
) -> Command {
    let mut command = Command::new(program);
    command
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string())
        .env("TMPDIR", folder.root());
    if let Some(admin_addr) = admin_addr {
        command.env("PROXY_CONSOLE", admin_addr.to_string());
    }
    command
}

fn spawn(mut command: Command, program: &Path, log_path: &Path) -> Result<Child, DaemonError> {
    let log = File::create(log_path)?;
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    command.spawn().map_err(|source| DaemonError::Spawn {
        program: program.display().to_string(),
        source,
    })
}

fn exit_status(child: &mut Child) -> Option<ExitStatus> {
    child.try_wait().ok().flatten()
}

fn signal(child: &Child, number: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, number);
    }
}
