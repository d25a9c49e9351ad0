//! Guards against two managers at one client address, which share its clients. See
//! docs/incidents/shared-client-address.md.
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use yokelift::testkit::clients;
use yokelift::testkit::coordinator::known;
use yokelift::testkit::daemon::{self, Folder, KINDS, ZONES};
use yokelift::testkit::ports::reserve_addr;

/// How long a process may take to start, or to end its start, on any machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where a process keeps its state.
#[derive(Clone, Copy)]
enum StateFolder<'a> {
    At(&'a Folder),
    Unset,
}

/// A process, killed when it is dropped.
struct RunningDaemon {
    child: Child,
    admin_addr: SocketAddr,
    log_path: PathBuf,
}

impl RunningDaemon {
    /// Starts a manager of that name at that client address.
    fn start(name: &str, listen: SocketAddr, files: &Folder, state: StateFolder) -> RunningDaemon {
        let known_events = known(&[], &ZONES, &KINDS);
        let mut config = daemon::config(listen, reserve_addr(), &known_events, 64);
        config["name"] = name.into();
        let admin_addr = reserve_addr();
        let file = |extension: &str| format!("{name}-{}.{extension}", admin_addr.port());
        let config_path = files
            .put(&file("json"), &config.to_string())
            .expect("a file");
        let log_path = files.path(&file("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift"));
        command
            .env("PROXY_CONFIG", config_path)
            .env("PROXY_NAME", name)
            .env("PROXY_CONSOLE", admin_addr.to_string())
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log_path).expect("a file"));
        if let StateFolder::At(folder) = state {
            command.env("TMPDIR", folder.path(""));
        }
        RunningDaemon {
            child: command.spawn().expect("the program starts"),
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
        self.child.try_wait().expect("a child")
    }

    /// Waits until it is ready; `false` if its start ended instead.
    fn becomes_ready(&mut self) -> bool {
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
        kill_process(pid, signal).expect("it runs");
    }

    /// Its start ends with one line that names the address and this other manager.
    fn assert_kept_out_by(&mut self, listen: SocketAddr, other: &str) {
        assert!(
            !self.becomes_ready(),
            "it shares the address: {}",
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
        let new = || Folder::new().expect("a folder");
        Folders {
            files: new(),
            one: new(),
            other: new(),
        }
    }
}

#[test]
fn another_manager_is_kept_out_of_a_client_address() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    let mut first = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(first.becomes_ready(), "{}", first.log());

    let cases = [
        ("second", StateFolder::At(&folders.other)),
        ("second", StateFolder::At(&folders.one)),
        ("second", StateFolder::Unset),
        // A copied file: the next version of a manager has its TMPDIR.
        ("first", StateFolder::At(&folders.other)),
    ];
    for (name, state) in cases {
        let mut second = RunningDaemon::start(name, listen, &folders.files, state);
        second.assert_kept_out_by(listen, "first");
    }
    assert!(first.is_ready() && first.poll_exit().is_none());
}

/// Guards the holder that can't say anything: it is told apart all the same.
#[test]
fn a_stopped_process_keeps_other_managers_out_and_lets_its_next_version_in() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    let mut first = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(first.becomes_ready(), "{}", first.log());
    first.signal(Signal::STOP);

    let mut second = RunningDaemon::start("second", listen, &folders.files, state);
    second.assert_kept_out_by(listen, "first");
    let mut next = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(next.becomes_ready(), "{}", next.log());
    first.signal(Signal::CONT);
}

/// Guards the platform's next version where it can't take the listeners over: without a usable TMPDIR
/// it shares the address, and says so.
#[test]
fn the_next_version_of_a_manager_shares_its_address_without_a_state_folder() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let unset = StateFolder::Unset;
    let mut first = RunningDaemon::start("first", listen, &folders.files, unset);
    assert!(first.becomes_ready(), "{}", first.log());

    let mut next = RunningDaemon::start("first", listen, &folders.files, unset);
    assert!(next.becomes_ready(), "{}", next.log());
    let shared = format!("{listen} is shared with");
    assert!(next.log().contains(&shared), "{}", next.log());
}

/// Guards the race of two starts: one has the address, the other one ends.
#[test]
fn of_two_managers_that_start_at_once_one_has_the_address() {
    let folders = Folders::new();
    for _ in 0..10 {
        let listen = reserve_addr();
        let state = StateFolder::At(&folders.one);
        let mut managers = ["first", "second"]
            .map(|name| RunningDaemon::start(name, listen, &folders.files, state));
        let ready = managers.each_mut().map(RunningDaemon::becomes_ready);
        let logs = managers.each_ref().map(RunningDaemon::log);
        assert_eq!(ready.iter().filter(|ready| **ready).count(), 1, "{logs:?}");
    }
}

/// Guards the restart at an address whose holder has just died: nothing of it keeps the next one out,
/// whichever its name.
#[test]
fn a_dead_holder_keeps_nobody_out() {
    let folders = Folders::new();
    let listen = reserve_addr();
    let state = StateFolder::At(&folders.one);
    for name in ["first", "second", "first"] {
        let mut manager = RunningDaemon::start(name, listen, &folders.files, state);
        assert!(manager.becomes_ready(), "{}", manager.log());
        manager.signal(Signal::KILL);
        manager.child.wait().expect("its end");
    }
}

/// A process that this program does not know, such as an older build: the address is shared where the
/// system permits it, and the log says with whom it can't tell.
#[test]
fn a_holder_that_cannot_be_told_is_logged() {
    let folders = Folders::new();
    let stranger = shared_listener();
    let listen = stranger.local_addr().expect("an address");
    let state = StateFolder::At(&folders.one);
    let mut manager = RunningDaemon::start("first", listen, &folders.files, state);
    assert!(manager.becomes_ready(), "{}", manager.log());
    let shared = format!("{listen} is shared with a process that can't be told");
    assert!(manager.log().contains(&shared), "{}", manager.log());
}

/// A listener that lets others in, as builds before this test had.
fn shared_listener() -> std::net::TcpListener {
    use rustix::net::{AddressFamily, SocketType, bind, listen, socket, sockopt};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_reuseport(&socket, true).expect("an option");
    bind(&socket, &reserve_addr()).expect("its address");
    listen(&socket, 1).expect("a listener");
    socket.into()
}
