//! Scripted scenarios: a few steps against the real daemon, one a line. `#` starts a comment.
//!
//! | step | what it does |
//! | --- | --- |
//! | `engine NAME platform\|clickhouse` | an engine; before `start` |
//! | `engine NAME platform KIND SESSIONS` | one of that kind of machine, which runs so many queries at once |
//! | `set POINTER JSON` | another figure in the settings, such as `/limits/second_copies true`; before `start` |
//! | `user NAME KEY TENANT` | a user of the deploy file; before `start` |
//! | `tenant NAME SHARE`, `person NAME KEY TENANT` | entries of a directory; a tenant of `-` is none |
//! | `sockets COUNT` | the descriptors that the daemon may hold; before `start` |
//! | `occupy` | another program takes the port that the second front was to have; before `start` |
//! | `start` | starts the daemon and waits until it is ready |
//! | `on ENGINE rows MS COUNT\|full\|break\|hang\|reset\|late\|garble` | what the engine does with its next query; `any`: whichever gets the next |
//! | `ask NAME rpc CLASS TENANT WAIT-MS STATEMENT` | a query over JSON-RPC |
//! | `ask NAME http USER KEY SECONDS STATEMENT` | a query over HTTP |
//! | `ask NAME keyed KEY CLASS TENANT WAIT-MS STATEMENT` | the same with a key, or `-` for none |
//! | `sent NAME FIELD VALUE` | compares a field of its last attempt, as the engine had it |
//! | `dropped NAME COUNT` | how many of its attempts engines knew by their key |
//! | `raw NAME rpc\|http TEXT` | bytes as they are, with `\r`, `\n` and `\0`; `ends` or a status is its end |
//! | `mute NAME rpc\|http COUNT` | so many clients connect and say nothing |
//! | `stay NAME rpc\|http COUNT` | so many clients ask once and keep their connections |
//! | `shut NAME` | waits until the daemon has closed all of them |
//! | `seen NAME` | waits until an engine runs the query |
//! | `over NAME` | waits until no engine runs it |
//! | `expect NAME served\|refused\|failed\|deadline\|rejected CODE\|cut` | waits for its end and compares |
//! | `runs NAME COUNT` | compares how often engines were sent it |
//! | `drop NAME` | its client's connection ends |
//! | `leave NAME` | its client hangs up once it has read a byte of the answer |
//! | `drain\|ready\|gone ENGINE` | news of the coordinator |
//! | `down ENGINE` | its process ends |
//! | `cut` | the coordinator's connections break |
//! | `move` | another coordinator takes over, and the daemon is told by a new configuration and SIGHUP |
//! | `spoil` | the daemon is told to read a configuration that can't be used |
//! | `until COUNTER VALUE` | waits until a counter of the daemon has come so far; `+N` is N more than now |
//! | `busy`, `idle` | the directory answers searches with an error; answers again |
//! | `console` | the daemon gets a second address, for operators; before `start` |
//! | `call METHOD PATH STATUS` | a call to it, until it is answered with that status |
//! | `figure NAME VALUE` | waits until a figure there has that value; `runs`: as often as engines were sent queries |
//! | `keep NAME` | a client that keeps its connection of the platform's protocol |
//! | `ask NAME on KEPT CLASS TENANT WAIT-MS STATEMENT` | a query on it |
//! | `begin NAME on KEPT ...`, `rest KEPT` | the first half of such a query; the other half |
//! | `closed KEPT`, `kept KEPT` | waits until the daemon has closed it; it must still be open |
//! | `retune NAME:SEMANTICS ... attempts:COUNT` | a new configuration with these classes, and SIGHUP |
//! | `launch`, `follow` | a new version is started beside the daemon; and waited for until it says yes |
//! | `retire`, `retired` | asks the older process to end; waits for its end, which has to be clean |
//! | `kill older\|newer` | |
//! | `stream NAME CLASS TENANT WAIT-MS COUNT GAP-MS` | so many queries, one after the other, on connections that are kept |
//! | `expect-all NAME served` | waits for all their ends and compares |
//! | `wait MS` | |
//! | `term` | asks the daemon to end |
//! | `ended` | waits for its end, which has to be clean |
//! | `counter NAME VALUE` | compares a counter, after `ended` |
mod deployment;

use super::clients::{self, ClientOutcome, PersistentClient};
use super::coordinator::{self, Coordinator};
use super::daemon::{self, Daemon, KINDS, ZONES, free_addr};
use super::directory::Directory;
use super::engines::{Engine, EngineBehavior, rows};
use super::{ExecutionLog, Executor, eventually, in_time, pause};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, Readiness};
use async_executor::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;

struct Query {
    task: Option<Task<()>>,
    got: Rc<RefCell<Option<ClientOutcome>>>,
    leaves: Rc<Cell<bool>>,
    told: bool,
}

struct Stage<'a> {
    program: &'a Path,
    executor: Executor,
    book: ExecutionLog,
    coordinator: Coordinator,
    directory: Option<Directory>,
    engines: BTreeMap<String, (Engine, u32)>,
    /// The kinds of machine of engines that are not of the first.
    kinds: BTreeMap<String, u16>,
    settings: serde_json::Value,
    users: String,
    daemon: Option<Daemon>,
    sockets: usize,
    console: bool,
    kept: BTreeMap<String, (PersistentClient, Vec<u8>)>,
    streams: BTreeMap<String, Vec<Rc<RefCell<Option<ClientOutcome>>>>>,
    mute: BTreeMap<String, Vec<Task<()>>>,
    http: SocketAddr,
    occupied: Option<TcpListener>,
    queries: BTreeMap<String, Query>,
    said: &'a mut dyn FnMut(&str),
}

/// Plays a script against the daemon; `said` hears of each end. Gives what went wrong: steps that
/// did not go as expected, and broken rules.
pub fn play(program: &Path, script: &str, said: &mut dyn FnMut(&str)) -> Result<(), Vec<String>> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let stage = Stage {
        program,
        book: ExecutionLog::default(),
        coordinator: Coordinator::start(&executor),
        directory: None,
        engines: BTreeMap::new(),
        kinds: BTreeMap::new(),
        settings: daemon::settings(),
        users: String::new(),
        daemon: None,
        sockets: 1_024,
        console: false,
        kept: BTreeMap::new(),
        streams: BTreeMap::new(),
        mute: BTreeMap::new(),
        http: free_addr(),
        occupied: None,
        queries: BTreeMap::new(),
        executor: executor.clone(),
        said,
    };
    let wrong = async_io::block_on(executor.run(stage.play(script)));
    if wrong.is_empty() { Ok(()) } else { Err(wrong) }
}

impl Stage<'_> {
    async fn play(mut self, script: &str) -> Vec<String> {
        let mut wrong = Vec::new();
        for (at, line) in script.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            match in_time(self.step(line)).await {
                Some(Ok(())) => {}
                Some(Err(what)) => wrong.push(format!("line {}: {line}: {what}", at + 1)),
                None => wrong.push(format!(
                    "line {}: {line}: it did not come to pass in time",
                    at + 1
                )),
            }
            // What follows a wrong step rarely tells more.
            if !wrong.is_empty() {
                if let Some(daemon) = &self.daemon {
                    wrong.push(format!("the daemon's log:\n{}", daemon.log()));
                }
                break;
            }
        }
        // Each end is told, also where the script expects nothing of it.
        for (name, query) in self.queries.iter().filter(|(_, q)| !q.told) {
            match &*query.got.borrow() {
                Some(got) => (self.said)(&format!("{name}: {got}")),
                None => (self.said)(&format!("{name}: its client left")),
            }
        }
        wrong.extend(
            self.book
                .broken()
                .into_iter()
                .map(|rule| format!("broken rule: {rule}")),
        );
        wrong
    }

    fn listed(&self, name: &str, readiness: Readiness) -> Result<ListedEndpoint, String> {
        let (engine, number) = self.engines.get(name).ok_or("no such engine")?;
        let kind = self.kinds.get(name).copied().unwrap_or(0);
        let mut listed = coordinator::ready_endpoint(*number, engine.addr);
        listed.endpoint.machine_type = MachineTypeId(kind);
        listed.endpoint.readiness = readiness;
        Ok(listed)
    }

    fn deploy(&self) -> String {
        let mut text = format!("listen = \"{}\"\nusual_class = \"lookup\"\n", self.http);
        let directory = self.directory.as_ref().map(|d| {
            format!(
                "[directory]\naddr = \"{}\"\nbind_dn = \"cn=reader\"\nbind_password = \"secret\"\n\
                 users_base = \"ou=people\"\ntenants_base = \"ou=tenants\"\nkey_attribute = \"employeeNumber\"\n\
                 page = 2\nrefresh_s = 1\n",
                d.addr
            )
        });
        for (engine, number) in self.engines.values().filter(|(e, _)| e.http) {
            let _ = writeln!(
                text,
                "# {}\n[[engine]]\nid = \"s-{number:08x}\"",
                engine.addr
            );
        }
        text += "[[class]]\nname = \"load\"\nbegins = [\"insert\"]\n";
        text += "[[class]]\nname = \"report\"\nholds = [\"group\", \"join\"]\n";
        text + &self.users + directory.as_deref().unwrap_or_default()
    }

    async fn step(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |text: &str| {
            text.parse::<u64>()
                .map_err(|_| format!("{text:?} is no number"))
        };
        match words[..] {
            ["engine", name, kind @ ("platform" | "clickhouse")] => {
                let engine = Engine::start(
                    &self.executor,
                    name,
                    kind == "clickhouse",
                    self.book.clone(),
                );
                let number = self.engines.len() as u32 + 1;
                self.engines.insert(name.to_owned(), (engine, number));
            }
            ["engine", name, "platform", kind, sessions] => {
                self.model(name, kind, number(sessions)? as usize)?
            }
            ["set", pointer, ..] => {
                self.set(pointer, line.splitn(3, ' ').nth(2).unwrap_or_default())?
            }
            ["sent", name, field, value] => self.sent(name, field, value)?,
            ["dropped", name, count] => self.dropped(name, number(count)? as usize)?,
            ["user", name, key, tenant] => {
                let _ = writeln!(self.users, "[[user]]\nname = \"{name}\"\nkey = \"{key}\"");
                if tenant != "-" {
                    let _ = writeln!(self.users, "tenant = \"{tenant}\"");
                }
            }
            ["tenant", name, share] => self.directory().tenant(name, share),
            ["person", name, key, tenant] => {
                self.directory().user(name, key, tenant.trim_matches('-'))
            }
            ["occupy"] => {
                // Taken by the system's choice: a port that was free before may be another test's now.
                let taken = TcpListener::bind((self.http.ip(), 0)).map_err(|e| e.to_string())?;
                self.http = taken.local_addr().map_err(|e| e.to_string())?;
                self.occupied = Some(taken);
            }
            ["start"] => {
                let ready = |name: &String| self.listed(name, Readiness::Ready);
                let all = self
                    .engines
                    .keys()
                    .map(ready)
                    .collect::<Result<Vec<_>, _>>()?;
                let known = coordinator::known(&all, &ZONES, &KINDS);
                let second = !self.users.is_empty() || self.directory.is_some();
                let at = self.coordinator.addr;
                self.book.allow(deployment::terms(&self.settings));
                // Guards against a verdict by chance: a port that was free may be taken before the
                // daemon has it.
                for tries in 1.. {
                    let deploy = self.deploy();
                    let deploy = Some(deploy.as_str()).filter(|_| second);
                    let started = Daemon::start(
                        self.program,
                        at,
                        &known,
                        deploy,
                        self.sockets,
                        self.console,
                        self.settings.clone(),
                    );
                    match started.await {
                        Err(e) if tries < 5 && e.contains("Address already in use") => {
                            self.http = free_addr()
                        }
                        started => {
                            self.daemon = Some(started?);
                            break;
                        }
                    }
                }
            }
            ["on", name, ref act @ ..] => {
                let act = match act {
                    ["rows", ms, count] => {
                        EngineBehavior::Rows(number(ms)?, number(count)? as usize)
                    }
                    ["full"] => EngineBehavior::Full,
                    ["break"] => EngineBehavior::Break,
                    ["hang"] => EngineBehavior::Hang,
                    ["reset"] => EngineBehavior::Reset,
                    ["late"] => EngineBehavior::Late,
                    ["garble"] => EngineBehavior::Garble,
                    _ => return Err("no such act".into()),
                };
                match self.engines.get(name) {
                    None if name == "any" => self.book.next(act),
                    None => return Err("no such engine".into()),
                    Some((engine, _)) => engine.next(act),
                }
            }
            ["console"] => self.console = true,
            ["call", method, path, status] => {
                let console = self
                    .daemon
                    .as_ref()
                    .and_then(|d| d.console)
                    .ok_or("no second address")?;
                let wanted = number(status)?;
                while clients::call(console, method, path)
                    .await
                    .is_none_or(|(s, _)| u64::from(s) != wanted)
                {
                    pause(10).await;
                }
            }
            ["figure", name, value] => {
                let console = self
                    .daemon
                    .as_ref()
                    .and_then(|d| d.console)
                    .ok_or("no second address")?;
                let runs: usize = self
                    .queries
                    .keys()
                    .map(|query| self.book.of(query).len())
                    .sum();
                let value = if value == "runs" {
                    runs.to_string()
                } else {
                    value.to_owned()
                };
                let wanted = format!("app.{name}:{value}|");
                while clients::call(console, "GET", "/metrics")
                    .await
                    .is_none_or(|(_, text)| !text.lines().any(|line| line.starts_with(&wanted)))
                {
                    pause(10).await;
                }
            }
            ["keep", name] => {
                let listen = self.daemon.as_ref().ok_or("not started")?.listen;
                let kept = PersistentClient::open(&self.executor, listen);
                self.kept.insert(name.to_owned(), (kept, Vec::new()));
            }
            [
                how @ ("ask" | "begin"),
                name,
                "on",
                kept,
                class,
                tenant,
                wait,
                ..,
            ] => {
                let statement = format!("{} /* {name} */", words[7..].join(" "));
                let key = format!("{:016x}", self.queries.len() + 1);
                let (kept, rest) = self.kept.get_mut(kept).ok_or("no such client")?;
                let got = Rc::<RefCell<Option<ClientOutcome>>>::default();
                let asked = (
                    class,
                    key.as_str(),
                    tenant,
                    number(wait)?,
                    statement.as_str(),
                );
                let left = kept.ask(asked, got.clone(), if how == "begin" { 2 } else { 1 });
                rest.extend(left);
                self.queries.insert(
                    name.to_owned(),
                    Query {
                        task: None,
                        got,
                        leaves: Rc::default(),
                        told: false,
                    },
                );
            }
            ["rest", kept] => {
                let (kept, rest) = self.kept.get_mut(kept).ok_or("no such client")?;
                kept.send(std::mem::take(rest));
            }
            ["closed", kept] => {
                let (kept, _) = self.kept.get(kept).ok_or("no such client")?;
                eventually(|| kept.closed())
                    .await
                    .then_some(())
                    .ok_or("it is still open")?;
            }
            ["kept", kept] => {
                let (kept, _) = self.kept.get(kept).ok_or("no such client")?;
                (!kept.closed()).then_some(()).ok_or("it is closed")?;
            }
            ["retune", ..] => self
                .daemon
                .as_ref()
                .ok_or("not started")?
                .retune(&words[1..])?,
            ["launch"] => self
                .daemon
                .as_mut()
                .ok_or("not started")?
                .launch(self.program)?,
            ["follow"] => {
                self.daemon
                    .as_mut()
                    .ok_or("not started")?
                    .follow(self.program)
                    .await?
            }
            ["retire"] => self.daemon.as_ref().ok_or("not started")?.retire(),
            ["retired"] => {
                let status = self
                    .daemon
                    .as_mut()
                    .ok_or("not started")?
                    .retired()
                    .await
                    .ok_or("it goes on")?;
                status.success().then_some(()).ok_or(format!("{status}"))?;
            }
            ["kill", which @ ("older" | "newer")] => {
                self.daemon
                    .as_mut()
                    .ok_or("not started")?
                    .kill(which == "newer");
            }
            ["stream", name, class, tenant, wait, count, gap] => {
                let listen = self.daemon.as_ref().ok_or("not started")?.listen;
                let ends = self.streams.entry(name.to_owned()).or_default();
                let all: Vec<_> = (0..number(count)?)
                    .map(|_| Rc::<RefCell<Option<ClientOutcome>>>::default())
                    .collect();
                ends.extend(all.clone());
                let (class, tenant) = (class.to_owned(), tenant.to_owned());
                let (wait, gap, name) = (number(wait)?, number(gap)?, name.to_owned());
                let executor = self.executor.clone();
                let task = async move {
                    let open = || PersistentClient::open(&executor, listen);
                    let mut kept = [open(), open(), open()];
                    for (at, end) in all.into_iter().enumerate() {
                        let lane = &mut kept[at % 3];
                        // As the front does: a connection that the daemon closed is replaced.
                        if lane.closed() {
                            *lane = PersistentClient::open(&executor, listen);
                        }
                        let key = format!("{:016x}", 0x5000_0000 + at);
                        let statement = format!("SELECT 1 /* {name}{at} */");
                        lane.ask((&class, &key, &tenant, wait, &statement), end, 1);
                        pause(gap).await;
                    }
                    // They stay until the last answer.
                    std::future::pending::<()>().await;
                };
                self.mute
                    .entry(String::new())
                    .or_default()
                    .push(self.executor.spawn(task));
            }
            ["expect-all", name, "served"] => {
                let ends = self.streams.get(name).ok_or("no such stream")?;
                eventually(|| ends.iter().all(|end| end.borrow().is_some())).await;
                let served = |end: &&Rc<RefCell<Option<ClientOutcome>>>| {
                    matches!(&*end.borrow(), Some(ClientOutcome::Served(_)))
                };
                let served = ends.iter().filter(served).count();
                (self.said)(&format!("{name}: {served} of {} served", ends.len()));
                if served < ends.len() {
                    let other = ends.iter().map(|end| format!("{:?}", end.borrow()));
                    let other: Vec<String> = other.filter(|end| !end.contains("Served")).collect();
                    return Err(other.join(", "));
                }
            }
            ["ask", name, ..] => self.ask(name, &words[2..])?,
            ["sockets", count] => self.sockets = number(count)? as usize,
            [how @ ("mute" | "stay"), name, front, count] => {
                let listen = self.daemon.as_ref().ok_or("not started")?.listen;
                let console = self.daemon.as_ref().and_then(|daemon| daemon.console);
                let addr = match front {
                    "http" => self.http,
                    "console" => console.ok_or("no second address")?,
                    _ => listen,
                };
                let hello: &[u8] = match (how, front) {
                    ("mute", _) => b"",
                    (_, "http") => clients::PING,
                    _ => clients::STATUS,
                };
                let one = |_| self.executor.spawn(clients::mute(addr, hello));
                self.mute
                    .insert(name.to_owned(), (0..number(count)?).map(one).collect());
            }
            ["shut", name] => {
                for client in self.mute.remove(name).ok_or("no such clients")? {
                    client.await;
                }
            }
            ["seen", name] => {
                let book = self.book.clone();
                let seen = || book.of(name).iter().any(|r| r.end.is_none());
                eventually(seen)
                    .await
                    .then_some(())
                    .ok_or("no engine runs it")?;
            }
            ["over", name] => {
                let book = self.book.clone();
                let over = || book.of(name).iter().all(|r| r.end.is_some());
                eventually(over)
                    .await
                    .then_some(())
                    .ok_or("an engine still runs it")?;
            }
            ["expect", name, ref end @ ..] => self.expect(name, end).await?,
            ["runs", name, count] => {
                let runs = self.book.of(name).len();
                if runs as u64 != number(count)? {
                    return Err(format!("{runs} times"));
                }
            }
            ["leave", name] => {
                let query = self.queries.get(name).ok_or("no such query")?;
                query.leaves.set(true);
            }
            ["raw", name, front, ..] => {
                let text = line.splitn(4, ' ').nth(3).unwrap_or_default();
                let bytes = text
                    .replace("\\r", "\r")
                    .replace("\\n", "\n")
                    .replace("\\0", "\0")
                    .into_bytes();
                let listen = self.daemon.as_ref().ok_or("not started")?.listen;
                let addr = if front == "http" { self.http } else { listen };
                let (got, http) = (
                    Rc::<RefCell<Option<ClientOutcome>>>::default(),
                    front == "http",
                );
                let end = got.clone();
                let task = self.executor.spawn(async move {
                    let ended = if http {
                        clients::http(addr, &bytes).await
                    } else {
                        clients::rpc(addr, &bytes).await
                    };
                    *end.borrow_mut() = Some(ended);
                });
                self.queries.insert(
                    name.to_owned(),
                    Query {
                        task: Some(task),
                        got,
                        leaves: Rc::default(),
                        told: false,
                    },
                );
            }
            ["drop", name] => {
                let query = self.queries.get_mut(name).ok_or("no such query")?;
                query.task = None;
            }
            ["drain", name] => {
                self.book.drained(name);
                self.coordinator
                    .tell(false, &[self.listed(name, Readiness::Draining)?]);
            }
            ["gone", name] => {
                self.book.drained(name);
                self.coordinator
                    .tell(false, &[self.listed(name, Readiness::Removed)?]);
            }
            ["ready", name] => {
                self.book.resumed(name);
                self.coordinator
                    .tell(false, &[self.listed(name, Readiness::Ready)?]);
            }
            ["down", name] => self.engines.get_mut(name).ok_or("no such engine")?.0.down(),
            ["cut"] => self.coordinator.cut(),
            ["move"] => {
                // The old one tells nothing further, and its connections stay open.
                self.coordinator = self.coordinator.successor(&self.executor);
                self.daemon
                    .as_ref()
                    .ok_or("not started")?
                    .reload(Some(self.coordinator.addr))?;
            }
            ["spoil"] => self.daemon.as_ref().ok_or("not started")?.reload(None)?,
            ["until", name, value] => {
                let daemon = self.daemon.as_ref().ok_or("not started")?;
                // With a plus: so many more than now, as the daemon says when asked anew.
                let more = value.strip_prefix('+');
                let printed = daemon.reports();
                while more.is_some() && daemon.reports() == printed {
                    daemon.report();
                    pause(20).await;
                }
                let base = more.and_then(|_| daemon.counter(name)).unwrap_or(0);
                let value = base + number(more.unwrap_or(value))?;
                while daemon.counter(name).is_none_or(|n| n < value) {
                    daemon.report();
                    pause(20).await;
                }
            }
            ["busy"] => self.directory().content.busy.set(true),
            ["idle"] => self.directory().content.busy.set(false),
            ["wait", ms] => pause(number(ms)?).await,
            ["term"] => self.daemon.as_ref().ok_or("not started")?.term(),
            ["ended"] => {
                let daemon = self.daemon.as_mut().ok_or("not started")?;
                let status = daemon.ended().await.ok_or("it goes on")?;
                status.success().then_some(()).ok_or(format!("{status}"))?;
            }
            ["counter", name, value] => {
                let daemon = self.daemon.as_ref().ok_or("not started")?;
                let found = daemon.counter(name);
                if found != Some(number(value)?) {
                    return Err(format!("{found:?}"));
                }
            }
            _ => return Err("no such step".into()),
        }
        Ok(())
    }

    fn directory(&mut self) -> &Directory {
        let executor = &self.executor;
        self.directory.get_or_insert_with(|| {
            let directory = Directory::start(executor);
            *directory.content.password.borrow_mut() = "secret".into();
            directory
        })
    }

    fn ask(&mut self, name: &str, words: &[&str]) -> Result<(), String> {
        let (got, leaves) = (
            Rc::<RefCell<Option<ClientOutcome>>>::default(),
            Rc::<Cell<bool>>::default(),
        );
        let (end, leave) = (got.clone(), leaves.clone());
        let named = |statement: &[&str]| format!("{} /* {name} */", statement.join(" "));
        let listen = self.daemon.as_ref().ok_or("not started")?.listen;
        let task = match words {
            ["rpc", class, tenant, wait, statement @ ..]
            | ["keyed", _, class, tenant, wait, statement @ ..] => {
                let wait = wait.parse().map_err(|_| "the wait is no number")?;
                let key = format!("{:016x}", self.queries.len() + 1);
                let line = clients::rpc_line(1, class, &key, tenant, wait, &named(statement));
                let line = match words {
                    ["keyed", once, ..] if *once != "-" => clients::keyed_line(once, &line),
                    _ => line,
                };
                self.executor.spawn(async move {
                    let ended = clients::rpc_or_leave(listen, &line, &leave).await;
                    *end.borrow_mut() = Some(ended);
                })
            }
            ["http", user, key, seconds, statement @ ..] => {
                let params = format!("query_id={name}&max_execution_time={seconds}");
                let (addr, request) = (
                    self.http,
                    clients::http_request(user, key, &params, &named(statement)),
                );
                self.executor.spawn(async move {
                    let ended = clients::http_or_leave(addr, &request, &leave).await;
                    *end.borrow_mut() = Some(ended);
                })
            }
            _ => return Err("ask how?".into()),
        };
        self.queries.insert(
            name.to_owned(),
            Query {
                task: Some(task),
                got,
                leaves,
                told: false,
            },
        );
        Ok(())
    }

    async fn expect(&mut self, name: &str, end: &[&str]) -> Result<(), String> {
        let query = self.queries.get_mut(name).ok_or("no such query")?;
        query.told = true;
        eventually(|| query.got.borrow().is_some()).await;
        let got = query.got.borrow().clone().ok_or("it has no end")?;
        (self.said)(&format!("{name}: {got}"));
        let fits = match (end, &got) {
            // Whole, in order, and its own.
            (["served"], ClientOutcome::Served(text)) => {
                *text == rows(name, text.lines().count()) && !text.is_empty()
            }
            (["served", count], ClientOutcome::Served(text)) => {
                *text == rows(name, count.parse().unwrap_or(0))
            }
            (["refused"], ClientOutcome::Refused(after)) => after.is_some(),
            (["failed"], ClientOutcome::Failed(_))
            | (["deadline"], ClientOutcome::Deadline)
            | (["cut"], ClientOutcome::Cut) => true,
            (["rejected", code], ClientOutcome::Rejected(found)) => *code == found.to_string(),
            _ => false,
        };
        if fits {
            Ok(())
        } else {
            Err(format!("{got:?}"))
        }
    }
}
