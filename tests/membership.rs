//! The fleet's membership between real daemons on loopback, with the kit's fault relay between them, SIGSTOP and
//! SIGCONT, SIGKILL and a restart, and a manager left on old settings. Each manager's view is read from its second
//! address, `GET /fleet`.
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use yokelift::kit::clients;
use yokelift::kit::daemon::{self, Folder, free_addr};
use yokelift::kit::relay::{Faults, Relay};

const MEMBERS: usize = 5;
/// The timings of these tests: a fifth of a second a period; found dead in about two seconds.
const TIMING: &str = "period_ms = 200\nprobe_ms = 80\nindirect = 3\nsuspicion_periods = 3\ngrace_ms = 1500\n";

struct Fleet {
    tag: String,
    relay: Relay,
    backs: Vec<SocketAddr>,
    consoles: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    folder: Folder,
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    socket.local_addr().expect("its address")
}

/// A configuration whose settings differ from the first by the tenants' shares.
fn config(name: &str, listen: SocketAddr, coordinator: SocketAddr, shares: (f64, f64)) -> String {
    let mut config = daemon::config(listen, coordinator, &json!({"index": 0, "updates": []}), 256);
    config["name"] = json!(name);
    config["settings"]["orgs"][0]["share"] = json!(shares.0);
    config["settings"]["orgs"][1]["share"] = json!(shares.1);
    config.to_string()
}

impl Fleet {
    fn start(tag: &str, seed: u64) -> Fleet {
        let backs: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_udp()).collect();
        let relay = Relay::new(backs.clone(), seed).expect("the relay");
        let folder = Folder::new().expect("a folder");
        let mut fleet = Fleet {
            tag: tag.into(),
            relay,
            backs,
            consoles: (0..MEMBERS).map(|_| free_addr()).collect(),
            children: (0..MEMBERS).map(|_| None).collect(),
            folder,
        };
        for i in 0..MEMBERS {
            fleet.launch(i, (0.62, 0.38));
        }
        // A port handed out free may have been taken by another test meanwhile: that member starts anew elsewhere.
        for _ in 0..3 {
            let ended: Vec<usize> = (0..MEMBERS).filter(|i| fleet.ended_at_start(*i)).collect();
            if ended.is_empty() {
                break;
            }
            for i in ended {
                (fleet.backs[i], fleet.consoles[i]) = (free_udp(), free_addr());
                fleet.relay.rebind(i, fleet.backs[i]);
                fleet.launch(i, (0.62, 0.38));
            }
        }
        fleet
    }

    /// Waits until member `i` is ready; whether it ended instead.
    fn ended_at_start(&mut self, i: usize) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if self.ready(i) == Some(200) {
                // Another process may answer at a port taken twice: one that could not listen ends at once.
                std::thread::sleep(Duration::from_millis(300));
                let child = self.children[i].as_mut().expect("launched");
                return child.try_wait().ok().flatten().is_some();
            }
            let child = self.children[i].as_mut().expect("launched");
            if child.try_wait().ok().flatten().is_some() {
                eprintln!("member {i} ended at its start: {}", self.log(i));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn name(&self, i: usize) -> String {
        format!("{}{i}", self.tag)
    }

    /// Starts member `i`, anew under the same name if it ran before.
    fn launch(&mut self, i: usize, shares: (f64, f64)) {
        let (name, listen) = (self.name(i), free_addr());
        let text = config(&name, listen, free_addr(), shares);
        let path = self.folder.put(&format!("{name}.json"), &text).expect("the configuration");
        let seeds = format!("[\"{}\"]", self.relay.fronts[0]);
        let fleet = format!(
            "bind = \"{}\"\nadvertise = \"{}\"\nseeds = {seeds}\n[timing]\n{TIMING}",
            self.backs[i], self.relay.fronts[i]
        );
        let fleet = self.folder.put(&format!("{name}.toml"), &fleet).expect("the fleet file");
        let log = std::fs::File::create(self.folder.path(&format!("{name}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_yokelift"))
            .env("PROXY_CONFIG", path)
            .env("PROXY_NAME", &name)
            .env("PROXY_CONSOLE", self.consoles[i].to_string())
            .env("PROXY_FLEET", fleet)
            .env("TMPDIR", self.folder.path(""))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon");
        self.children[i] = Some(child);
    }

    /// Writes new settings into member `i`'s file; with `tell`, also sends it SIGHUP.
    fn retune(&self, i: usize, shares: (f64, f64), tell: bool) {
        let name = self.name(i);
        let old = std::fs::read_to_string(self.folder.path(&format!("{name}.json"))).expect("its file");
        let old: Value = serde_json::from_str(&old).expect("json");
        let listen = old["listen"].as_str().and_then(|l| l.parse().ok()).expect("listen");
        let coordinator = old["coordinator"].as_str().and_then(|l| l.parse().ok()).expect("coordinator");
        self.folder
            .put(&format!("{name}.json"), &config(&name, listen, coordinator, shares))
            .expect("written");
        if tell {
            self.signal(i, rustix::process::Signal::HUP);
        }
    }

    fn signal(&self, i: usize, signal: rustix::process::Signal) {
        let child = self.children[i].as_ref().expect("it runs");
        let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a pid");
        rustix::process::kill_process(pid, signal).expect("signalled");
    }

    fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// What member `i` says of the fleet, by name; nothing if it does not answer.
    fn view(&self, i: usize) -> Option<Vec<Value>> {
        let (status, body) = async_io::block_on(clients::call(self.consoles[i], "GET", "/fleet"))?;
        (status == 200).then(|| body.lines().filter_map(|l| serde_json::from_str(l).ok()).collect())
    }

    fn health(&self, i: usize, of: usize) -> Option<String> {
        let name = self.name(of);
        let view = self.view(i)?;
        let row = view.into_iter().find(|r| r["name"] == json!(name) && r["self"] == json!(false))?;
        row["health"].as_str().map(str::to_owned)
    }

    fn ready(&self, i: usize) -> Option<u16> {
        async_io::block_on(clients::call(self.consoles[i], "GET", "/ready")).map(|(status, _)| status)
    }

    /// Whether each of `who` takes each other of `who` for alive.
    fn agree(&self, who: &[usize]) -> bool {
        who.iter().all(|a| who.iter().all(|b| a == b || self.health(*a, *b).as_deref() == Some("Alive")))
    }

    /// All members' logs and views, for a failure's message.
    fn logs(&self) -> String {
        let each = (0..MEMBERS).map(|i| format!("member {i}: {:?}\n{}", self.view(i), self.log(i)));
        each.collect::<Vec<_>>().join("\n")
    }

    fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path(&format!("{}.log", self.name(i)))).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..MEMBERS {
            if self.children[i].is_some() {
                let _ = self.signal_ok(i);
            }
            self.kill(i);
        }
    }
}

impl Fleet {
    fn signal_ok(&self, i: usize) -> Option<()> {
        let child = self.children[i].as_ref()?;
        let pid = rustix::process::Pid::from_raw(child.id() as i32)?;
        rustix::process::kill_process(pid, rustix::process::Signal::CONT).ok()
    }
}

/// Waits for an event, polling; a slow machine gets a minute.
fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];

/// Guards the audit's ground: every manager names every other with its build, generation and list version.
#[test]
fn five_daemons_find_each_other_and_name_their_versions() {
    let fleet = Fleet::start("find", 1);
    assert!(eventually(|| fleet.agree(&ALL)), "no agreement: {}", fleet.log(0));
    assert!(eventually(|| ALL.iter().all(|i| fleet.ready(*i) == Some(200))));
    let all_ready = |v: &[Value]| v.iter().all(|r| r["versions"]["stage"] == json!("ready"));
    assert!(eventually(|| fleet.view(3).is_some_and(|v| all_ready(&v))), "{:?}", fleet.view(3));
    let view = fleet.view(3).expect("a view");
    assert_eq!(view.len(), MEMBERS);
    for row in &view {
        assert_eq!(row["versions"]["generation"], json!(1), "{row}");
        assert_eq!(row["versions"]["build"], view[0]["versions"]["build"], "{row}");
        assert_eq!(row["versions"]["settings"], view[0]["versions"]["settings"], "{row}");
    }
    // A new generation on one is seen by the others.
    fleet.retune(1, (0.6, 0.4), true);
    let generation = |v: &[Value]| {
        v.iter().find(|r| r["name"] == json!(fleet.name(1))).map(|r| r["versions"]["generation"].clone())
    };
    assert!(eventually(|| fleet.view(4).is_some_and(|v| generation(&v) == Some(json!(2)))));
}

/// Guards detection and refutation across real processes: a manager stopped past the suspicion is declared dead by
/// all others, and after SIGCONT it refutes and is alive to all again.
#[test]
fn a_stopped_daemon_is_found_dead_and_refutes_when_it_goes_on() {
    let fleet = Fleet::start("stop", 2);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    fleet.signal(2, rustix::process::Signal::STOP);
    let others = [0, 1, 3, 4];
    assert!(eventually(|| others.iter().all(|i| fleet.health(*i, 2).as_deref() == Some("Dead"))));
    assert!(fleet.agree(&others), "a live one was declared dead");
    fleet.signal(2, rustix::process::Signal::CONT);
    assert!(eventually(|| fleet.agree(&ALL)), "it did not come back");
}

/// Guards a new life under the same name: after SIGKILL and a start anew, all take the new life, with a higher
/// incarnation, for alive.
#[test]
fn a_killed_daemon_started_again_is_a_new_life() {
    let mut fleet = Fleet::start("kill", 3);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let incarnation = |fleet: &Fleet| {
        let view = fleet.view(0)?;
        view.into_iter().find(|r| r["name"] == json!(fleet.name(3))).and_then(|r| r["incarnation"].as_u64())
    };
    let first = incarnation(&fleet).expect("known");
    fleet.kill(3);
    assert!(eventually(|| fleet.health(0, 3).as_deref() == Some("Dead")));
    fleet.launch(3, (0.62, 0.38));
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    assert!(incarnation(&fleet).expect("known") > first);
}

/// Guards against false deaths between real processes: a fifth of all datagrams lost, some doubled and overtaken, and
/// one way cut outright; nobody is declared dead.
#[test]
fn loss_doubles_and_a_one_way_cut_kill_nobody() {
    let fleet = Fleet::start("loss", 4);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let mut faults =
        Faults { loss: 0.2, doubled: 0.05, jitter: Duration::from_millis(20), ..Faults::default() };
    faults.cut.insert((1, 0));
    fleet.relay.set(faults);
    std::thread::sleep(Duration::from_secs(8));
    for i in ALL {
        let view = fleet.view(i).expect("a view");
        assert!(view.iter().all(|r| r["health"] != json!("Dead")), "member {i}: {view:?}");
    }
    assert!(fleet.relay.counts().1 > 0, "nothing was lost");
}

/// Guards a partition into two sides and its heal: the bigger side declares the smaller dead, and all agree again once
/// it heals.
#[test]
fn a_partition_heals_into_one_fleet() {
    let fleet = Fleet::start("part", 5);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    let mut faults = Faults::default();
    faults.partition(&[0, 1, 2], &[3, 4]);
    fleet.relay.set(faults);
    assert!(eventually(
        || fleet.health(0, 4).as_deref() == Some("Dead") && fleet.health(4, 0).as_deref() == Some("Dead")
    ));
    fleet.relay.set(Faults::default());
    assert!(eventually(|| fleet.agree(&ALL)), "no agreement after the heal");
}

/// Guards stragglers: one that missed its SIGHUP reads its settings again by itself; one whose file stays old is shut
/// out (not ready) once the grace has passed twice, and is back once its file is mended.
#[test]
fn stragglers_are_brought_up_or_shut_out() {
    let fleet = Fleet::start("lag", 6);
    assert!(eventually(|| fleet.agree(&ALL)), "{}", fleet.logs());
    for i in [0, 1, 2] {
        fleet.retune(i, (0.55, 0.45), true);
    }
    // Member 3 has the new file but missed the signal; member 4 keeps the old file.
    fleet.retune(3, (0.55, 0.45), false);
    let generation = |i: usize| {
        let view = fleet.view(i)?;
        view.into_iter().find(|r| r["self"] == json!(true)).and_then(|r| r["versions"]["generation"].as_u64())
    };
    assert!(eventually(|| generation(3) == Some(2)), "not brought up: {}", fleet.log(3));
    assert!(eventually(|| fleet.ready(4) == Some(503)), "not shut out: {}", fleet.log(4));
    assert_eq!(fleet.ready(3), Some(200));
    fleet.retune(4, (0.55, 0.45), true);
    assert!(eventually(|| fleet.ready(4) == Some(200)), "not back");
}
