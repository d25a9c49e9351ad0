//! Two managers with the same client address must not both listen there: the system would
//! distribute the clients over both. See docs/incidents/shared-client-address.md.
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use yokelift::testkit::clients;
use yokelift::testkit::coordinator::known;
use yokelift::testkit::daemon::{self, Folder, MACHINE_TYPES, ZONES};
use yokelift::testkit::ports::reserve_addr;

/// The timeout of a process's start, until it is ready or has exited.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The state folder of a process (TMPDIR).
#[derive(Clone, Copy)]
enum StateFolder<'a> {
    At(&'a Folder),
    Unset,
}

/// A daemon process, killed on drop.
struct RunningDaemon {
    child: Child,
    admin_addr: SocketAddr,
    log_path: PathBuf,
}

impl RunningDaemon {
    /// Starts a manager with this name and client address.
    fn start(name: &str, listen: SocketAddr, files: &Folder, state: StateFolder) -> RunningDaemon {
        let known_events = known(&[], &ZONES, &MACHINE_TYPES);
        let mut config = daemon::config(listen, reserve_addr(), &known_events, 64);
        config["name"] = name.into();
        let admin_addr = reserve_addr();
        let file = |extension: &str| format!("{name}-{}.{extension}", admin_addr.port());
        let config_path = files
            .put(&file("json"), &config.to_string())
            .expect("writes to the folder");
        let log_path = files.path(&file("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift"));
        command
            .env("PROXY_CONFIG", config_path)
            .env("PROXY_NAME", name)
            .env("PROXY_CONSOLE", admin_addr.to_string())
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log_path).expect("writes to the folder"));
        if let StateFolder::At(folder) = state {
            command.env("TMPDIR", folder.path(""));
        }
        RunningDaemon {
            child: command.spawn().expect("the daemon can be started"),
            admin_addr,
            log_path,
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        let call = clients::call_admin(self.admin_addr, "GET", "/ready");
        async_io::block_on(call).is_some_and(|(status, _)| status == 200)
    }

    fn poll_exit(&mut self) -> Option<ExitStatus> {
        self.child
            .try_wait()
            .expect("the child's status can be read")
    }

    /// Waits until the process is ready; `false` if it exits or the timeout passes.
    fn wait_until_ready(&mut self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline && self.poll_exit().is_none() {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process id is above 0");
        kill_process(pid, signal).expect("the process is running");
    }

    /// Checks that the start fails, with one line that names the address and the other manager.
    fn assert_start_rejected(&mut self, listen: SocketAddr, other: &str) {
        assert!(
            !self.wait_until_ready(),
            "it became ready at a claimed address: {}",
            self.log()
        );
        let status = self.poll_exit();
        let log = self.log();
        assert!(status.is_some_and(|status| !status.success()), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
        let names_holder = log.contains(other) && log.contains(&listen.to_string());
        assert!(names_holder, "{log}");
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Folders {
    files: Folder,
    one: Folder,
    other: Folder,
}

impl Folders {
    fn new() -> Folders {
        let new = || Folder::new().expect("creates a folder");
        Folders {
            files: new(),
            one: new(),
            other: new(),
        }
    }
}

#[test]
fn another_manager_cannot_bind_a_claimed_client_address() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    let mut first = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(first.wait_until_ready(), "{}", first.log());

    let cases = [
        ("second", StateFolder::At(&folders.other)),
        ("second", StateFolder::At(&folders.one)),
        ("second", StateFolder::Unset),
        // A copied configuration: the TMPDIR differs, so it is not a successor of the same manager.
        ("first", StateFolder::At(&folders.other)),
    ];
    for (name, state) in cases {
        let mut second = RunningDaemon::start(name, listen, &folders.files, state);
        second.assert_start_rejected(listen, "first");
    }
    assert!(first.is_ready() && first.poll_exit().is_none());
}

/// Guards the address of a process that is suspended by SIGSTOP: its claim must still be
/// readable.
#[test]
fn the_address_of_a_suspended_process_is_shared_with_its_successor_only() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    let mut first = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(first.wait_until_ready(), "{}", first.log());
    first.signal(Signal::STOP);

    let mut second = RunningDaemon::start("second", listen, &folders.files, state);
    second.assert_start_rejected(listen, "first");
    let mut successor = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(successor.wait_until_ready(), "{}", successor.log());
    first.signal(Signal::CONT);
}

/// Guards a successor to which the listeners can't be transferred: without a usable TMPDIR it
/// shares the address, and logs that.
#[test]
fn a_successor_without_a_state_folder_shares_the_address() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let unset = StateFolder::Unset;
    let mut first = RunningDaemon::start("first", listen, &folders.files, unset);
    assert!(first.wait_until_ready(), "{}", first.log());

    let mut successor = RunningDaemon::start("first", listen, &folders.files, unset);
    assert!(successor.wait_until_ready(), "{}", successor.log());
    let shared = format!("{listen} is shared with");
    assert!(successor.log().contains(&shared), "{}", successor.log());
}

/// Guards against a race of two starts: one process binds the address, the other one exits.
#[test]
fn only_one_of_two_managers_that_start_at_once_binds_the_address() {
    let folders = Folders::new();
    for _ in 0..10 {
        let listen = reserve_addr();
        let state = StateFolder::At(&folders.one);
        let mut managers = ["first", "second"]
            .map(|name| RunningDaemon::start(name, listen, &folders.files, state));
        let ready = managers.each_mut().map(RunningDaemon::wait_until_ready);
        let logs = managers.each_ref().map(RunningDaemon::log);
        assert_eq!(ready.iter().filter(|ready| **ready).count(), 1, "{logs:?}");
    }
}

/// Guards a start at an address whose last holder was killed: no claim or socket of that process
/// may prevent it, whatever the new process's name.
#[test]
fn a_killed_holder_does_not_block_its_address() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    for name in ["first", "second", "first"] {
        let mut manager = RunningDaemon::start(name, listen, &folders.files, state);
        assert!(manager.wait_until_ready(), "{}", manager.log());
        manager.signal(Signal::KILL);
        manager.child.wait().expect("the process exits");
    }
}

/// Guards the start beside a process without a claim, such as an older build: the address is shared
/// if the system permits it, and the log reports an unidentified process.
#[test]
fn sharing_with_an_unidentified_process_is_logged() {
    let folders = Folders::new();
    let unidentified = shared_listener();
    let listen = unidentified
        .local_addr()
        .expect("the listener has an address");
    let state = StateFolder::At(&folders.one);
    let mut manager = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(manager.wait_until_ready(), "{}", manager.log());
    let shared = format!("{listen} is shared with an unidentified process");
    assert!(manager.log().contains(&shared), "{}", manager.log());
}

/// A listener without a claim, whose address other processes may bind, as in builds that did not
/// publish claims.
fn shared_listener() -> std::net::TcpListener {
    use rustix::net::{AddressFamily, SocketType, bind, listen, socket, sockopt};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("creates a socket");
    sockopt::set_socket_reuseport(&socket, true).expect("sets SO_REUSEPORT");
    bind(&socket, &reserve_addr()).expect("binds the address");
    listen(&socket, 1).expect("listens");
    socket.into()
}
