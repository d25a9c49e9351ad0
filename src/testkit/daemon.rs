//! The real daemon as a child process, with a configuration written for it.
use super::{clients, eventually};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Names that the configuration uses.
pub const CLASSES: [&str; 3] = ["lookup", "report", "load"];
/// The zones.
pub const ZONES: [&str; 2] = ["ground", "first"];
/// The kinds of machine.
pub const KINDS: [&str; 2] = ["std-8core", "std-12core"];

/// The settings that a rehearsal uses: one gateway, two tenants, the usual three classes.
pub fn settings() -> Value {
    let class = |name: &str, s: f64, semantics: &str| {
        json!({"name": name, "promise_ns": 1_200_000_000u64, "aim_stretch": 1.5, "semantics": semantics,
            "deadline_ns": (s * 1e9) as u64, "worth": 1.0, "late_worth": 0.1})
    };
    json!({
        "me": 0, "peers_total": 1, "az": 0, "zones": ZONES, "quantum_ns": 5_000_000, "kinds": KINDS,
        "classes": [class("lookup", 6.0, "pure"), class("report", 15.0, "pure"), class("load", 25.0, "side_effect")],
        "orgs": [{"name": "billing-desk", "quota_rps": 63.0, "share": 0.62},
            {"name": "channel-desk", "quota_rps": 39.0, "share": 0.38}],
        "over_share_worth": 0.05, "discovery": "push", "load_info": {"fields": ["backlog", "utilization"], "how": "pull"},
        "extra": {"class_threads": [1, 3, 2], "cores_by_kind": [8, 12], "loads": [false, false, true],
            "blocked_by_loads": [true, false, false], "takes_grants": true, "most_grant": 0.4,
            "out_of_memory": "wait", "ram_of_kind_mb": [16384.0, 24576.0], "note_period_ns": 0},
        "invariants": {"answer_slack_ns": 20_000_000, "drain_grace_ns": 250_000_000, "cold_from": 0.32,
            "warm_within_ns": 15_000_000_000u64, "fall_multiple": 3.0, "fall_ns": 2_000_000_000},
        "limits": {"send_cap": 3, "may_cancel": true, "probing": true, "peers": false, "retry_after": true,
            "max_retry_after_ns": 2_000_000_000, "second_copies": false, "connect_timeout_ns": 250_000_000,
            "keepalive_ns": 15_000_000_000u64, "max_streams": 32},
        "prices": {"cross_zone": 0.01}
    })
}

/// The whole configuration.
pub fn config(listen: SocketAddr, coordinator: SocketAddr, known: &Value, sockets: usize) -> Value {
    config_with(listen, coordinator, known, sockets, &settings())
}

/// The same with other settings.
fn config_with(
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &Value,
    sockets: usize,
    settings: &Value,
) -> Value {
    json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "coordinator": coordinator.to_string(), "known": known, "settings": settings})
}

/// A port that is free now.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free loopback port");
    listener.local_addr().expect("the port's address")
}

/// A folder of this run, gone with it.
pub struct Folder(PathBuf);

impl Folder {
    /// A new one.
    pub fn new() -> std::io::Result<Folder> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "yokelift-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Where a file of it is.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file into it.
    pub fn put(&self, name: &str, text: &str) -> std::io::Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The daemon.
pub struct Daemon {
    child: Child,
    /// Where clients of the platform's protocol connect.
    pub listen: SocketAddr,
    /// Where operators connect, if anywhere.
    pub console: Option<SocketAddr>,
    /// The process that the present one follows.
    older: Option<Child>,
    starts: u32,
    sockets: usize,
    coordinator: SocketAddr,
    folder: Folder,
    known: Value,
    settings: Value,
}

impl Daemon {
    /// Starts it and waits until it says that it is ready.
    pub async fn start(
        program: &Path,
        coordinator: SocketAddr,
        known: &Value,
        deploy: Option<&str>,
        sockets: usize,
        console: bool,
        settings: Value,
    ) -> Result<Daemon, String> {
        let folder = Folder::new().map_err(|e| e.to_string())?;
        let listen = free_addr();
        let text = config_with(listen, coordinator, known, sockets, &settings);
        let path = folder
            .put("config.json", &text.to_string())
            .map_err(|e| e.to_string())?;
        let console = console.then(free_addr);
        let mut command = command(program, &folder, listen, console);
        command.env("PROXY_CONFIG", path);
        if let Some(deploy) = deploy {
            command.arg(
                folder
                    .put("clickhouse.toml", deploy)
                    .map_err(|e| e.to_string())?,
            );
        }
        let log = std::fs::File::create(folder.0.join("log")).map_err(|e| e.to_string())?;
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| format!("{}: {e}", program.display()))?;
        let (older, starts, known) = (None, 1, known.clone());
        let mut daemon = Daemon {
            child,
            listen,
            console,
            older,
            starts,
            sockets,
            coordinator,
            folder,
            known,
            settings,
        };
        for _ in 0..2_000 {
            if clients::is_ready(listen).await {
                return Ok(daemon);
            }
            if daemon.child.try_wait().ok().flatten().is_some() {
                break;
            }
            super::pause(5).await;
        }
        let _ = daemon.child.kill();
        Err(format!("the daemon did not become ready: {}", daemon.log()))
    }

    /// Starts a new version beside it, with a second address of its own.
    pub fn launch(&mut self, program: &Path) -> Result<(), String> {
        let console = Some(free_addr());
        let mut command = command(program, &self.folder, self.listen, console);
        command.env("PROXY_CONFIG", self.folder.0.join("config.json"));
        let log = std::fs::File::create(self.folder.0.join(format!("log{}", self.starts)));
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(|e| e.to_string())?);
        let child = child
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        self.starts += 1;
        self.older = Some(std::mem::replace(&mut self.child, child));
        self.console = console;
        Ok(())
    }

    /// The same, and waits until that says yes.
    pub async fn follow(&mut self, program: &Path) -> Result<(), String> {
        self.launch(program)?;
        let console = self.console.ok_or("no second address")?;
        for _ in 0..2_000 {
            let said = clients::call_admin(console, "GET", "/ready").await;
            if said.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            if self.child.try_wait().ok().flatten().is_some() {
                break;
            }
            super::pause(5).await;
        }
        Err("the new version did not become ready".into())
    }

    /// Asks the older process to end.
    pub fn retire(&self) {
        self.older
            .iter()
            .for_each(|older| signal(older, rustix::process::Signal::TERM));
    }

    /// Waits for the end of the older process.
    pub async fn retired(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        eventually(|| {
            status = self
                .older
                .as_mut()
                .and_then(|older| older.try_wait().ok().flatten());
            status.is_some()
        })
        .await;
        self.older = None;
        status
    }

    /// Kills the older process, or the newer one, after which the older one is the daemon again.
    pub fn kill(&mut self, newer: bool) {
        let Some(mut older) = self.older.take() else {
            return;
        };
        if newer {
            std::mem::swap(&mut older, &mut self.child);
        }
        let _ = older.kill();
        let _ = older.wait();
    }

    /// Writes a configuration with other classes (`NAME:SEMANTICS`) and another number of attempts,
    /// and says so.
    pub fn retune(&self, words: &[&str]) -> Result<(), String> {
        let mut text = config_with(
            self.listen,
            self.coordinator,
            &self.known,
            self.sockets,
            &self.settings,
        );
        let usual = text["settings"]["classes"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let mut classes = Vec::new();
        for word in words {
            let (name, rule) = word
                .split_once(':')
                .ok_or("NAME:SEMANTICS, or attempts:COUNT")?;
            if name == "attempts" {
                text["settings"]["limits"]["send_cap"] =
                    rule.parse::<i64>().map_err(|e| e.to_string())?.into();
                continue;
            }
            let mut class = usual
                .iter()
                .find(|c| c["name"] == name)
                .unwrap_or(&usual[0])
                .clone();
            (class["name"], class["semantics"]) = (name.into(), rule.into());
            classes.push(class);
        }
        let is_load = |c: &Value| c["semantics"] == "side_effect";
        let extra = &mut text["settings"]["extra"];
        extra["loads"] = classes.iter().map(is_load).collect();
        extra["blocked_by_loads"] = classes.iter().map(|_| false).collect();
        extra["class_threads"] = classes.iter().map(|_| 1.0).collect();
        text["settings"]["classes"] = classes.into();
        self.folder
            .put("config.json", &text.to_string())
            .map_err(|e| e.to_string())?;
        self.signal(rustix::process::Signal::HUP);
        Ok(())
    }

    fn signal(&self, what: rustix::process::Signal) {
        signal(&self.child, what);
    }

    /// Writes a new configuration that names another coordinator, or one that can't be used, and
    /// says so.
    pub fn reload(&self, coordinator: Option<SocketAddr>) -> Result<(), String> {
        let good =
            |at| config_with(self.listen, at, &self.known, 1_024, &self.settings).to_string();
        let text = coordinator.map_or("{".to_owned(), good);
        self.folder
            .put("config.json", &text)
            .map_err(|e| e.to_string())?;
        self.signal(rustix::process::Signal::HUP);
        Ok(())
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Asks it to end.
    pub fn term(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        eventually(|| {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status
    }

    /// All that it logged so far.
    pub fn log(&self) -> String {
        let name = |start: u32| {
            if start == 0 {
                "log".to_owned()
            } else {
                format!("log{start}")
            }
        };
        let read =
            |start| std::fs::read_to_string(self.folder.0.join(name(start))).unwrap_or_default();
        (0..self.starts).map(read).collect()
    }

    /// Asks it to print its counters.
    pub fn report(&self) {
        self.signal(rustix::process::Signal::USR1);
    }

    /// How often it has printed its counters.
    pub fn reports(&self) -> usize {
        self.log().lines().filter(|l| l.contains(" taken ")).count()
    }

    /// A figure of the counters that it printed last.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let log = self.log();
        let line = log.lines().rev().find(|l| l.contains(" taken "))?;
        line.split(' ')
            .skip_while(|w| *w != name)
            .nth(1)?
            .parse()
            .ok()
    }
}

fn command(
    program: &Path,
    folder: &Folder,
    listen: SocketAddr,
    console: Option<SocketAddr>,
) -> Command {
    let mut command = Command::new(program);
    command
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string())
        .env("TMPDIR", &folder.0);
    if let Some(console) = console {
        command.env("PROXY_CONSOLE", console.to_string());
    }
    command
}

fn signal(child: &Child, signal: rustix::process::Signal) {
    if let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill(false);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
