//! A fleet of real daemons on the loopback interface, with a fault proxy between them, a stand-in
//! coordinator for each manager and stand-in engines. It is meant for tests of how managers act
//! together when some of them fail.
mod stand_ins;

use super::clients::{self, ClientOutcome};
use super::daemon::{self, Folder};
use super::fault_proxy::FaultProxy;
use super::ports::reserve_addr;
use super::stand_in_thread::StandInThread;
use async_io::block_on;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use stand_ins::StandInAddresses;
pub use stand_ins::{ENGINES, StandIns};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The number of managers of a fleet.
pub const MEMBERS: usize = 5;

/// The shares of the two tenants with which all managers start.
pub const SHARES: TenantShares = TenantShares::new(0.62, 0.38);

/// The `[timing]` table of the managers' fleet files. With a period of 200 ms a stopped manager is
/// detected after about two seconds.
const TIMING: &str =
    "period_ms = 200\nprobe_ms = 80\nindirect = 3\nsuspicion_periods = 3\ngrace_ms = 1500\n";

/// Timeout for a manager to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval between polls of a starting manager.
const START_POLL: Duration = Duration::from_millis(20);
/// How long [`wait_until`] waits at most, with an allowance for slow machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between polls of [`wait_until`].
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The shares of the two tenants in the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantShares {
    /// The first tenant's share.
    pub first: f64,
    /// The second tenant's share.
    pub second: f64,
}

impl TenantShares {
    /// Creates the shares of the first and the second tenant.
    pub const fn new(first: f64, second: f64) -> TenantShares {
        TenantShares { first, second }
    }
}

/// How a manager is notified of its new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// By SIGHUP.
    Signal,
    /// Not at all: it keeps its present settings until it reloads for another reason.
    Missed,
}

/// The options that managers are started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of managers in the settings. With a large number each manager's share of an
    /// engine is less than one query, and the managers probe the engines' loads.
    pub managers: usize,
    /// Additional tables of the fleet file.
    pub fleet_file_tables: String,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            managers: MEMBERS,
            fleet_file_tables: "[audit]\n".into(),
        }
    }
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    program: PathBuf,
    name_prefix: String,
    options: Options,
    /// The proxy between the managers.
    pub fault_proxy: FaultProxy,
    /// The UDP sockets of the managers.
    member_addrs: Vec<SocketAddr>,
    /// The addresses of the admin endpoints.
    pub admin_addrs: Vec<SocketAddr>,
    client_addrs: Vec<SocketAddr>,
    stand_ins: StandInThread<StandIns>,
    stand_in_addrs: StandInAddresses,
    processes: Vec<Option<Child>>,
    /// The directory with the configurations and logs.
    pub folder: Folder,
}

impl Fleet {
    /// Starts a fleet with default options and waits until each manager is ready. The managers'
    /// names begin with `name_prefix`; `seed` is that of the fault proxy.
    pub fn start(program: &Path, name_prefix: &str, seed: u64) -> Fleet {
        Fleet::start_with(program, name_prefix, seed, Options::default())
    }

    /// Starts a fleet with these options and waits until each manager is ready.
    pub fn start_with(program: &Path, name_prefix: &str, seed: u64, options: Options) -> Fleet {
        let member_addrs: Vec<SocketAddr> = (0..MEMBERS).map(|_| reserve_addr()).collect();
        let fault_proxy = FaultProxy::start(member_addrs.clone(), seed).expect("free ports");
        let stand_ins = StandInThread::start(|executor| StandIns::start(executor, MEMBERS));
        let stand_in_addrs = stand_ins.call(|stand_ins, _| stand_ins.addresses());
        let mut fleet = Fleet {
            program: program.to_owned(),
            name_prefix: name_prefix.into(),
            options,
            fault_proxy,
            member_addrs,
            admin_addrs: (0..MEMBERS).map(|_| reserve_addr()).collect(),
            client_addrs: (0..MEMBERS).map(|_| reserve_addr()).collect(),
            stand_ins,
            stand_in_addrs,
            processes: (0..MEMBERS).map(|_| None).collect(),
            folder: Folder::new().expect("a temporary directory"),
        };
        for member in 0..MEMBERS {
            fleet.launch(member, SHARES);
        }
        for member in 0..MEMBERS {
            fleet.wait_for_start(member);
        }
        fleet
    }

    /// Waits until a manager is ready, or the timeout has passed.
    fn wait_for_start(&mut self, member: usize) {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline && self.readiness_status(member) != Some(200) {
            let process = self.processes[member]
                .as_mut()
                .expect("the manager was launched");
            let ended = process.try_wait().ok().flatten();
            assert!(
                ended.is_none(),
                "member {member} exited before it was ready: {}",
                self.log(member)
            );
            std::thread::sleep(START_POLL);
        }
    }

    /// The name of a manager.
    pub fn name(&self, member: usize) -> String {
        format!("{}{member}", self.name_prefix)
    }

    /// The text of a manager's configuration with these shares.
    fn configuration(&self, member: usize, shares: TenantShares) -> String {
        let mut config = daemon::config(
            self.client_addrs[member],
            self.stand_in_addrs.coordinators[member],
            &self.stand_in_addrs.initial_lists[member],
            256,
        );
        config["name"] = json!(self.name(member));
        let settings = &mut config["settings"];
        settings["peers_total"] = json!(self.options.managers);
        settings["orgs"][0]["share"] = json!(shares.first);
        settings["orgs"][1]["share"] = json!(shares.second);
        config.to_string()
    }

    fn write_configuration(&self, member: usize, shares: TenantShares) {
        let file = format!("{}.json", self.name(member));
        self.folder
            .put(&file, &self.configuration(member, shares))
            .expect("the directory is writable");
    }

    /// The text of a manager's fleet file.
    fn fleet_file(&self, member: usize) -> String {
        let advertised = &self.fault_proxy.advertised_addrs;
        format!(
            "bind = \"{}\"\nadvertise = \"{}\"\nseeds = [\"{}\"]\n[timing]\n{TIMING}{}",
            self.member_addrs[member],
            advertised[member],
            advertised[0],
            self.options.fleet_file_tables,
        )
    }

    /// Starts a manager, or restarts one that has exited, with a new address for clients.
    pub fn launch(&mut self, member: usize, shares: TenantShares) {
        self.client_addrs[member] = reserve_addr();
        self.write_configuration(member, shares);
        self.processes[member] = Some(self.spawn(member));
    }

    /// Starts a successor beside a manager's running process, for a hot restart. Returns the
    /// predecessor, which the caller has to end.
    pub fn start_successor(&mut self, member: usize) -> Option<Child> {
        self.admin_addrs[member] = reserve_addr();
        let successor = self.spawn(member);
        self.processes[member].replace(successor)
    }

    fn spawn(&self, member: usize) -> Child {
        let name = self.name(member);
        let fleet_file = self
            .folder
            .put(&format!("{name}.toml"), &self.fleet_file(member))
            .expect("the directory is writable");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(member))
            .expect("the directory is writable");
        Command::new(&self.program)
            .env("PROXY_CONFIG", self.folder.path(&format!("{name}.json")))
            .env("PROXY_NAME", &name)
            .env("PROXY_CONSOLE", self.admin_addrs[member].to_string())
            .env("PROXY_FLEET", fleet_file)
            .env("TMPDIR", self.folder.path(""))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program can be started")
    }

    /// Writes a configuration with new shares for a manager, and notifies the manager by SIGHUP if
    /// `reload` is [`Reload::Signal`].
    pub fn reconfigure(&self, member: usize, shares: TenantShares, reload: Reload) {
        self.write_configuration(member, shares);
        if reload == Reload::Signal {
            self.signal(member, Signal::HUP);
        }
    }

    /// Sends a signal to a manager's process.
    pub fn signal(&self, member: usize, signal: Signal) {
        let process = self.processes[member]
            .as_ref()
            .expect("the manager has a process");
        let pid = Pid::from_raw(process.id() as i32).expect("a process id is above 0");
        kill_process(pid, signal).expect("the process is a child");
    }

    /// Kills a manager's process.
    pub fn kill(&mut self, member: usize) {
        if let Some(mut process) = self.processes[member].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Runs a task on the stand-ins' thread and waits for its result.
    pub fn with_stand_ins<T: Send + 'static>(
        &self,
        task: impl FnOnce(&StandIns) -> T + Send + 'static,
    ) -> T {
        self.stand_ins.call(|stand_ins, _| task(stand_ins))
    }

    /// Sends a manager a query with the client's identifier `number`, and waits for its outcome.
    pub fn query(&self, member: usize, class: &str, number: u64, wait_ms: u64) -> ClientOutcome {
        let key = format!("{number:016x}");
        let statement = format!("SELECT 1 /* {key} */");
        let line = clients::rpc_line(1, class, &key, "billing-desk", wait_ms, &statement);
        block_on(clients::rpc(self.client_addrs[member], &line))
    }

    /// Returns the status and the body of a path of a manager's admin endpoint, or `None` if it
    /// does not respond.
    pub fn admin_get(&self, member: usize, path: &str) -> Option<(u16, String)> {
        let call = clients::call_admin(self.admin_addrs[member], "GET", path);
        block_on(super::in_time(call)).flatten()
    }

    /// The rows of a manager's `GET /fleet`, or `None` if it does not respond with status 200.
    pub fn view(&self, member: usize) -> Option<Vec<Value>> {
        let (status, body) = self.admin_get(member, "/fleet")?;
        let rows = body
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        (status == 200).then(|| rows.collect())
    }

    /// The state of `member` in the view of `observer`, if it is listed there.
    pub fn state_of(&self, observer: usize, member: usize) -> Option<String> {
        let name = self.name(member);
        let row = self
            .view(observer)?
            .into_iter()
            .find(|row| row["name"] == json!(name) && row["self"] == json!(false))?;
        row["health"].as_str().map(str::to_owned)
    }

    /// The status of a manager's `GET /ready`, or `None` if it does not respond.
    pub fn readiness_status(&self, member: usize) -> Option<u16> {
        self.admin_get(member, "/ready").map(|(status, _)| status)
    }

    /// Whether each of these managers lists all others as alive.
    pub fn has_converged(&self, members: &[usize]) -> bool {
        members.iter().all(|observer| {
            members.iter().all(|member| {
                observer == member || self.state_of(*observer, *member).as_deref() == Some("Alive")
            })
        })
    }

    /// The logs and views of all managers, for the message of a failed assertion.
    pub fn logs(&self) -> String {
        let reports: Vec<String> = (0..MEMBERS)
            .map(|member| {
                let view = self.view(member);
                format!("member {member}: {view:?}\n{}", self.log(member))
            })
            .collect();
        reports.join("\n")
    }

    /// The text of a manager's log.
    pub fn log(&self, member: usize) -> String {
        std::fs::read_to_string(self.log_path(member)).unwrap_or_default()
    }

    fn log_path(&self, member: usize) -> PathBuf {
        self.folder.path(&format!("{}.log", self.name(member)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for member in 0..MEMBERS {
            // A stopped process has to be continued before it can exit.
            if self.processes[member].is_some() {
                self.signal(member, Signal::CONT);
            }
            self.kill(member);
        }
    }
}

/// Polls a condition until it is true, for one minute at most. Returns whether it became true.
pub fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(WAIT_POLL_INTERVAL);
    }
    false
}
