//! Several real daemons as one fleet on loopback, with the fault relay between them, a stand-in
//! coordinator for each and stand-in engines for all: for the tests of what managers do together
//! when some fail.
use super::clients::{self, ClientOutcome};
use super::coordinator::{Coordinator, known, ready_endpoint};
use super::daemon::{self, Folder, KINDS, ZONES, free_addr};
use super::engines::Engine;
use super::fault_proxy::Relay;
use super::{ExecutionLog, Executor};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::Readiness;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::block_on;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Managers of a fleet.
pub const MEMBERS: usize = 5;
/// Stand-in engines of a fleet.
pub const ENGINES: usize = 2;
/// The tenants' shares that all managers start with.
pub const SHARES: (f64, f64) = (0.62, 0.38);
/// A fifth of a second a period: a stopped manager is found dead in about two seconds.
const TIMING: &str =
    "period_ms = 200\nprobe_ms = 80\nindirect = 3\nsuspicion_periods = 3\ngrace_ms = 1500\n";

/// The stand-ins: one coordinator a manager, so that one manager alone can miss what others hear;
/// and each engine at an address of its own for each manager, so that the book tells who came.
pub struct StandIns {
    /// By the number of the manager.
    pub coordinators: Vec<Coordinator>,
    /// By the number of the manager, in the order of the engines' ids, which begin at 1.
    pub engines: Vec<Vec<Engine>>,
    /// What the engines saw.
    pub book: ExecutionLog,
}

impl StandIns {
    fn listed(&self, member: usize, engine: usize, readiness: Readiness) -> ListedEndpoint {
        let addr = self.engines[member][engine].addr;
        let mut listed = ready_endpoint(engine as u32 + 1, addr);
        listed.endpoint.readiness = readiness;
        listed
    }

    /// Tells some managers of an engine's state.
    pub fn tell(&self, members: std::ops::Range<usize>, engine: usize, readiness: Readiness) {
        members
            .for_each(|i| self.coordinators[i].tell(false, &[self.listed(i, engine, readiness)]));
    }

    /// How often a manager asked an engine for its load.
    pub fn probes(&self, member: usize, engine: usize) -> usize {
        self.book.probes(&at(member, engine))
    }
}

/// What the book calls an engine as a manager sees it.
fn at(member: usize, engine: usize) -> String {
    format!("m{member}/e{engine}")
}

/// What the managers of a fleet are started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// How many managers the settings tell of: of many, each has a share under one query, and asks
    /// for loads.
    pub managers: usize,
    /// Further parts of the fleet file.
    pub more: String,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            managers: MEMBERS,
            more: "[audit]\n".into(),
        }
    }
}

type Task = Box<dyn FnOnce(&StandIns) + Send>;

/// Managers, and what stands around them.
pub struct Fleet {
    program: PathBuf,
    tag: String,
    /// Between the managers.
    pub relay: Relay,
    backs: Vec<SocketAddr>,
    /// The managers' second addresses.
    pub consoles: Vec<SocketAddr>,
    /// Where clients connect.
    listens: Vec<SocketAddr>,
    coordinators: Vec<SocketAddr>,
    known: Vec<Value>,
    options: Options,
    tasks: Sender<Task>,
    children: Vec<Option<Child>>,
    /// Their files and logs.
    pub folder: Folder,
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    socket.local_addr().expect("its address")
}

/// Runs the stand-ins on a thread of their own until nobody can ask them for anything any more.
fn stand_ins(tasks: Receiver<Task>, told: std::sync::mpsc::Sender<(Vec<SocketAddr>, Vec<Value>)>) {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let book = ExecutionLog::default();
    let engine = |i, e| Engine::start(&executor, &at(i, e), false, book.clone());
    let engines = (0..MEMBERS)
        .map(|i| (0..ENGINES).map(|e| engine(i, e)).collect())
        .collect();
    let coordinators = (0..MEMBERS)
        .map(|_| Coordinator::start(&executor))
        .collect();
    let world = StandIns {
        coordinators,
        engines,
        book,
    };
    let lists = (0..MEMBERS).map(|i| {
        let all: Vec<ListedEndpoint> = (0..ENGINES)
            .map(|e| world.listed(i, e, Readiness::Ready))
            .collect();
        known(&all, &ZONES, &KINDS)
    });
    let _ = told.send((
        world.coordinators.iter().map(|c| c.addr).collect(),
        lists.collect(),
    ));
    block_on(executor.run(async {
        while let Ok(task) = tasks.recv().await {
            task(&world);
        }
    }));
}

impl Fleet {
    /// Starts the stand-ins and all managers, and waits until each is ready.
    pub fn start(program: &Path, tag: &str, seed: u64) -> Fleet {
        Fleet::with(program, tag, seed, Options::default())
    }

    /// The same, with other options.
    pub fn with(program: &Path, tag: &str, seed: u64, options: Options) -> Fleet {
        let backs: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_udp()).collect();
        let relay = Relay::new(backs.clone(), seed).expect("the relay");
        let (tasks, work) = bounded(16);
        let (tell, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || stand_ins(work, tell));
        let (coordinators, known) = told.recv().expect("the stand-ins");
        let mut fleet = Fleet {
            program: program.to_owned(),
            tag: tag.into(),
            relay,
            backs,
            consoles: (0..MEMBERS).map(|_| free_addr()).collect(),
            listens: (0..MEMBERS).map(|_| free_addr()).collect(),
            coordinators,
            known,
            options,
            tasks,
            children: (0..MEMBERS).map(|_| None).collect(),
            folder: Folder::new().expect("a folder"),
        };
        for i in 0..MEMBERS {
            fleet.launch(i, SHARES);
        }
        // A port handed out free may have been taken by another test meanwhile: that member starts
        // anew elsewhere.
        for _ in 0..3 {
            let ended: Vec<usize> = (0..MEMBERS).filter(|i| fleet.ended_at_start(*i)).collect();
            if ended.is_empty() {
                break;
            }
            for i in ended {
                (fleet.backs[i], fleet.consoles[i]) = (free_udp(), free_addr());
                fleet.relay.rebind(i, fleet.backs[i]);
                fleet.launch(i, SHARES);
            }
        }
        fleet
    }

    /// Waits until member `i` is ready; whether it ended instead.
    fn ended_at_start(&mut self, i: usize) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            let ready = self.ready(i) == Some(200);
            // Another process may answer at a port taken twice: one that could not listen ends at
            // once.
            std::thread::sleep(Duration::from_millis(if ready { 300 } else { 20 }));
            let child = self.children[i].as_mut().expect("launched");
            if child.try_wait().ok().flatten().is_some() {
                eprintln!("member {i} ended at its start: {}", self.log(i));
                return true;
            }
            if ready {
                return false;
            }
        }
        false
    }

    /// The name of member `i`.
    pub fn name(&self, i: usize) -> String {
        format!("{}{i}", self.tag)
    }

    /// A configuration whose settings differ from the first by the tenants' shares.
    fn config(&self, i: usize, shares: (f64, f64)) -> String {
        let mut config = daemon::config(self.listens[i], self.coordinators[i], &self.known[i], 256);
        config["name"] = json!(self.name(i));
        config["settings"]["peers_total"] = json!(self.options.managers);
        config["settings"]["orgs"][0]["share"] = json!(shares.0);
        config["settings"]["orgs"][1]["share"] = json!(shares.1);
        config.to_string()
    }

    /// Starts member `i`, anew under the same name if it ran before.
    pub fn launch(&mut self, i: usize, shares: (f64, f64)) {
        self.listens[i] = free_addr();
        self.folder
            .put(&format!("{}.json", self.name(i)), &self.config(i, shares))
            .expect("the file");
        self.children[i] = Some(self.spawn(i));
    }

    /// Starts a new version of member `i` beside the present process, which is handed out: it is
    /// for the caller to end.
    pub fn follow(&mut self, i: usize) -> Option<Child> {
        self.consoles[i] = free_addr();
        let newer = self.spawn(i);
        self.children[i].replace(newer)
    }

    fn spawn(&self, i: usize) -> Child {
        let name = self.name(i);
        let path = self.folder.path(&format!("{name}.json"));
        let more = &self.options.more;
        let seeds = format!("[\"{}\"]", self.relay.fronts[0]);
        let fleet = format!(
            "bind = \"{}\"\nadvertise = \"{}\"\nseeds = {seeds}\n[timing]\n{TIMING}{more}",
            self.backs[i], self.relay.fronts[i]
        );
        let fleet = self
            .folder
            .put(&format!("{name}.toml"), &fleet)
            .expect("the fleet file");
        let log = self.folder.path(&format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        Command::new(&self.program)
            .env("PROXY_CONFIG", path)
            .env("PROXY_NAME", &name)
            .env("PROXY_CONSOLE", self.consoles[i].to_string())
            .env("PROXY_FLEET", fleet)
            .env("TMPDIR", self.folder.path(""))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon")
    }

    /// Writes new settings into member `i`'s file; with `tell`, also sends it SIGHUP.
    pub fn retune(&self, i: usize, shares: (f64, f64), tell: bool) {
        self.folder
            .put(&format!("{}.json", self.name(i)), &self.config(i, shares))
            .expect("written");
        if tell {
            self.signal(i, Signal::HUP);
        }
    }

    /// Sends member `i` a signal.
    pub fn signal(&self, i: usize, signal: Signal) {
        let pid = self.children[i].as_ref().map(Child::id).expect("it runs");
        let pid = rustix::process::Pid::from_raw(pid as i32).expect("a pid");
        rustix::process::kill_process(pid, signal).expect("signalled");
    }

    /// Kills member `i`.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the stand-ins for something and waits for it.
    pub fn world<T: Send + 'static>(
        &self,
        what: impl FnOnce(&StandIns) -> T + Send + 'static,
    ) -> T {
        let (tell, told) = std::sync::mpsc::channel();
        let task: Task = Box::new(move |world| drop(tell.send(what(world))));
        self.tasks.send_blocking(task).expect("the stand-ins");
        told.recv().expect("their answer")
    }

    /// Sends member `i` a query under that name and waits for its final answer.
    pub fn ask(&self, i: usize, class: &str, number: u64, wait_ms: u64) -> ClientOutcome {
        let key = format!("{number:016x}");
        let statement = format!("SELECT 1 /* {key} */");
        let line = clients::rpc_line(1, class, &key, "billing-desk", wait_ms, &statement);
        block_on(clients::rpc(self.listens[i], &line))
    }

    /// Calls member `i`'s second address; nothing if it does not answer.
    pub fn call(&self, i: usize, path: &str) -> Option<(u16, String)> {
        block_on(super::in_time(clients::call(self.consoles[i], "GET", path))).flatten()
    }

    /// What member `i` says of the fleet; nothing if it does not answer.
    pub fn view(&self, i: usize) -> Option<Vec<Value>> {
        let (status, body) = self.call(i, "/fleet")?;
        (status == 200).then(|| {
            body.lines()
                .filter_map(|l| serde_json::from_str(l).ok())
                .collect()
        })
    }

    /// What member `i` takes another one to be.
    pub fn health(&self, i: usize, of: usize) -> Option<String> {
        let name = self.name(of);
        let view = self.view(i)?;
        let row = view
            .into_iter()
            .find(|r| r["name"] == json!(name) && r["self"] == json!(false))?;
        row["health"].as_str().map(str::to_owned)
    }

    /// Whether member `i` is ready: the status.
    pub fn ready(&self, i: usize) -> Option<u16> {
        self.call(i, "/ready").map(|(status, _)| status)
    }

    /// Whether each of `who` takes each other of `who` for alive.
    pub fn agree(&self, who: &[usize]) -> bool {
        who.iter().all(|a| {
            who.iter()
                .all(|b| a == b || self.health(*a, *b).as_deref() == Some("Alive"))
        })
    }

    /// All members' logs and views, for a failure's message.
    pub fn logs(&self) -> String {
        let each = (0..MEMBERS).map(|i| format!("member {i}: {:?}\n{}", self.view(i), self.log(i)));
        each.collect::<Vec<_>>().join("\n")
    }

    /// What member `i` logged.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path(&format!("{}.log", self.name(i))))
            .unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..MEMBERS {
            if self.children[i].is_some() {
                self.signal(i, Signal::CONT);
            }
            self.kill(i);
        }
        self.tasks.close();
    }
}

/// Waits for an event, polling; a slow machine gets a minute.
pub fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
