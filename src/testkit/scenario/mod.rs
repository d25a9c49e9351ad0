//! Scripted scenarios: steps against the real daemon, one a line. `#` starts a comment.
//!
//! The deployment, before `start` unless noted:
//!
//! | step | what it does |
//! | --- | --- |
//! | `engine NAME platform\|clickhouse` | adds an engine with that protocol |
//! | `engine NAME platform KIND SESSIONS` | adds an engine on that kind of machine, which runs at most SESSIONS queries at the same time |
//! | `set POINTER JSON` | sets a value in the settings, such as `/limits/second_copies true` |
//! | `user NAME KEY TENANT` | adds a user to the deploy file; a tenant of `-` is none |
//! | `tenant NAME SHARE`, `person NAME KEY TENANT` | adds entries to the LDAP directory, at any time; a tenant of `-` is none |
//! | `busy`, `idle` | the directory answers searches with an error; with entries again; at any time |
//! | `sockets COUNT` | sets the descriptors that the daemon may hold |
//! | `occupy` | another program listens on the port of the ClickHouse frontend |
//! | `console` | gives the daemon an admin endpoint |
//! | `start` | starts the daemon and waits until it is ready |
//!
//! Engines and the endpoint list:
//!
//! | step | what it does |
//! | --- | --- |
//! | `on ENGINE rows MS COUNT\|full\|break\|hang\|reset\|late\|garble` | sets what the engine does with its next query; `any` is whichever engine gets the next one |
//! | `drain\|ready\|gone ENGINE` | the coordinator sends that state of the engine |
//! | `down ENGINE` | ends the engine's process |
//! | `cut` | breaks the coordinator's connections |
//! | `move` | another coordinator takes over, named by a new configuration and SIGHUP |
//!
//! Queries:
//!
//! | step | what it does |
//! | --- | --- |
//! | `ask NAME rpc CLASS TENANT WAIT-MS STATEMENT` | sends a query over JSON-RPC |
//! | `ask NAME keyed KEY CLASS TENANT WAIT-MS STATEMENT` | the same with an idempotency key, or `-` for none |
//! | `ask NAME http USER KEY SECONDS STATEMENT` | sends a query over HTTP |
//! | `raw NAME rpc\|http TEXT` | sends bytes as they are, with `\r`, `\n` and `\0`; `cut` or `rejected CODE` is the outcome |
//! | `drop NAME` | disconnects the client of a query |
//! | `leave NAME` | the client of a query disconnects once it has read a byte of the response |
//! | `expect NAME served [COUNT]\|refused\|failed\|deadline\|rejected CODE\|cut` | waits for the outcome of a query and compares it; with COUNT also the number of rows |
//! | `seen NAME` | waits until an engine runs the query |
//! | `over NAME` | waits until no engine runs the query |
//! | `runs NAME COUNT` | compares how often engines were sent the query |
//! | `sent NAME FIELD VALUE` | compares a field of its last attempt as the engine received it; `-` is none |
//! | `dropped NAME COUNT` | compares how many of its attempts engines recognized by their key |
//!
//! Clients that keep their connections:
//!
//! | step | what it does |
//! | --- | --- |
//! | `keep NAME` | opens a connection of the platform's protocol |
//! | `ask NAME on KEPT CLASS TENANT WAIT-MS STATEMENT` | sends a query on it |
//! | `begin NAME on KEPT ...`, `rest KEPT` | sends the first half of such a query; the other half |
//! | `closed KEPT`, `kept KEPT` | waits until the daemon has closed it; checks that it is open |
//! | `mute NAME rpc\|http\|console COUNT` | COUNT clients connect and send nothing |
//! | `stay NAME rpc\|http\|console COUNT` | COUNT clients send one request and keep their connections |
//! | `shut NAME` | waits until the daemon has closed all connections of these clients |
//! | `stream NAME CLASS TENANT WAIT-MS COUNT GAP-MS` | sends COUNT queries, one after the other, on kept connections |
//! | `expect-all NAME served` | waits for the outcomes of a stream and compares them |
//!
//! The daemon:
//!
//! | step | what it does |
//! | --- | --- |
//! | `retune NAME:SEMANTICS ... attempts:COUNT` | a new configuration with these classes and maximum of attempts, and SIGHUP |
//! | `spoil` | a configuration that can't be used, and SIGHUP |
//! | `launch`, `follow` | starts a new version beside the daemon; starts it and waits until it is ready |
//! | `retire`, `retired` | asks the older process to end; waits for its end, which has to be clean |
//! | `kill older\|newer` | kills a process of a hot restart |
//! | `call METHOD PATH STATUS` | calls the admin endpoint until it answers with that status |
//! | `figure NAME VALUE` | waits until a metric there has that value; `runs` is the number of queries that engines were sent |
//! | `until COUNTER VALUE` | waits until a counter of the daemon has reached a value; `+N` is N more than now |
//! | `counter NAME VALUE` | compares a counter, after `ended` |
//! | `term` | asks the daemon to end |
//! | `ended` | waits for its end, which has to be clean |
//! | `wait MS` | waits |
mod checks;
mod connections;
mod daemon;
mod deployment;
mod engines;
mod error;
mod queries;

use super::clients::{self, PersistentClient};
use super::coordinator::Coordinator;
use super::daemon::{Daemon, settings};
use super::directory::Directory;
use super::engines::Engine;
use super::ports::reserve_addr;
use super::{ExecutionLog, Executor, in_time, pause};
use async_executor::{LocalExecutor, Task};
use checks::CheckStep;
use connections::ConnectionStep;
use daemon::DaemonStep;
use deployment::DeploymentStep;
use engines::EngineStep;
use error::StepError;
use queries::QueryStep;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;

/// The descriptors that the daemon may hold, unless a step says otherwise.
const DEFAULT_MAX_SOCKETS: usize = 1_024;

/// A step, parsed from a line.
enum Step<'a> {
    Deployment(DeploymentStep<'a>),
    Engine(EngineStep<'a>),
    Query(QueryStep<'a>),
    Connection(ConnectionStep<'a>),
    Daemon(DaemonStep<'a>),
    Check(CheckStep<'a>),
    Wait { millis: u64 },
}

impl<'a> Step<'a> {
    fn parse(line: &'a str) -> Result<Step<'a>, StepError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["wait", millis] = words[..] {
            let millis = number(millis)?;
            return Ok(Step::Wait { millis });
        }
        if let Some(step) = DeploymentStep::parse(line, &words)? {
            return Ok(Step::Deployment(step));
        }
        if let Some(step) = EngineStep::parse(&words)? {
            return Ok(Step::Engine(step));
        }
        // Before queries: a query on a kept connection is an `ask` as well.
        if let Some(step) = ConnectionStep::parse(&words)? {
            return Ok(Step::Connection(step));
        }
        if let Some(step) = QueryStep::parse(line, &words)? {
            return Ok(Step::Query(step));
        }
        if let Some(step) = DaemonStep::parse(&words)? {
            return Ok(Step::Daemon(step));
        }
        let step = CheckStep::parse(&words)?;
        step.map(Step::Check).ok_or(StepError::UnknownStep)
    }
}

/// Parses a number of a step.
fn number(word: &str) -> Result<u64, StepError> {
    word.parse()
        .map_err(|_| StepError::NotANumber(word.to_owned()))
}

/// Parses a count of a step.
fn count(word: &str) -> Result<usize, StepError> {
    word.parse()
        .map_err(|_| StepError::NotANumber(word.to_owned()))
}

/// What is left of a line behind its first words, as it stands there.
fn text_after(line: &str, words: usize) -> &str {
    line.splitn(words + 1, ' ').nth(words).unwrap_or_default()
}

/// An engine of the scenario.
struct ScenarioEngine {
    engine: Engine,
    /// Its id in the endpoint list.
    id: u32,
    /// The index of its kind of machine in [`super::daemon::KINDS`].
    kind: u16,
}

/// A query of the scenario and its outcome.
struct Query {
    /// Its client, unless that is a connection of its own; dropped to disconnect it.
    task: Option<Task<()>>,
    outcome: clients::PendingOutcome,
    /// Set to make its client disconnect once it has read a byte of the response.
    disconnects: Rc<Cell<bool>>,
    /// Whether its outcome was reported.
    reported: bool,
}

/// A client that keeps its connection.
struct PersistentConnection {
    client: PersistentClient,
    /// The second half of a query that was begun.
    unsent: Vec<u8>,
}

/// The state of a scenario.
struct Stage<'a> {
    program: &'a Path,
    executor: Executor,
    log: ExecutionLog,
    coordinator: Coordinator,
    directory: Option<Directory>,
    engines: BTreeMap<String, ScenarioEngine>,
    settings: serde_json::Value,
    /// The users of the deploy file, in TOML.
    users: String,
    daemon: Option<Daemon>,
    max_sockets: usize,
    has_admin_endpoint: bool,
    /// The address of the ClickHouse frontend.
    http_addr: SocketAddr,
    /// The listener of another program on that address.
    occupied_port: Option<TcpListener>,
    queries: BTreeMap<String, Query>,
    persistent: BTreeMap<String, PersistentConnection>,
    streams: BTreeMap<String, Vec<clients::PendingOutcome>>,
    idle_clients: BTreeMap<String, Vec<Task<()>>>,
    /// Clients that run until the end of the scenario.
    background: Vec<Task<()>>,
    report: &'a mut dyn FnMut(&str),
}

/// Plays a script against the daemon; `report` is called with the outcome of each query.
///
/// # Errors
///
/// The step that failed with the daemon's log, and the invariants that were violated.
pub fn play(program: &Path, script: &str, report: &mut dyn FnMut(&str)) -> Result<(), Vec<String>> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let stage = Stage {
        program,
        executor: executor.clone(),
        log: ExecutionLog::default(),
        coordinator: Coordinator::start(&executor),
        directory: None,
        engines: BTreeMap::new(),
        settings: settings(),
        users: String::new(),
        daemon: None,
        max_sockets: DEFAULT_MAX_SOCKETS,
        has_admin_endpoint: false,
        http_addr: reserve_addr(),
        occupied_port: None,
        queries: BTreeMap::new(),
        persistent: BTreeMap::new(),
        streams: BTreeMap::new(),
        idle_clients: BTreeMap::new(),
        background: Vec::new(),
        report,
    };
    let failures = async_io::block_on(executor.run(stage.play(script)));
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures)
    }
}

impl Stage<'_> {
    async fn play(mut self, script: &str) -> Vec<String> {
        let mut failures = Vec::new();
        for (index, line) in script.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            // What follows a failed step rarely tells more.
            if let Err(error) = self.play_line(line).await {
                failures.push(format!("line {}: {line}: {error}", index + 1));
                failures.extend(self.daemon_log());
                break;
            }
        }
        self.report_remaining_outcomes();
        let violations = self.log.violations().into_iter();
        failures.extend(violations.map(|violation| format!("broken rule: {violation}")));
        failures
    }

    async fn play_line(&mut self, line: &str) -> Result<(), StepError> {
        let step = Step::parse(line)?;
        in_time(self.execute(step))
            .await
            .unwrap_or(Err(StepError::Timeout))
    }

    async fn execute(&mut self, step: Step<'_>) -> Result<(), StepError> {
        match step {
            Step::Deployment(step) => self.execute_deployment(step).await,
            Step::Engine(step) => self.execute_engine(step),
            Step::Query(step) => self.execute_query(step).await,
            Step::Connection(step) => self.execute_connection(step).await,
            Step::Daemon(step) => self.execute_daemon(step).await,
            Step::Check(step) => self.execute_check(step).await,
            Step::Wait { millis } => {
                pause(millis).await;
                Ok(())
            }
        }
    }

    fn daemon_log(&self) -> Option<String> {
        let daemon = self.daemon.as_ref()?;
        Some(format!("the daemon's log:\n{}", daemon.log()))
    }

    /// Reports the outcomes that no step of the script waited for.
    fn report_remaining_outcomes(&mut self) {
        for (name, query) in self.queries.iter().filter(|(_, query)| !query.reported) {
            match &*query.outcome.borrow() {
                Some(outcome) => (self.report)(&format!("{name}: {outcome}")),
                None => (self.report)(&format!("{name}: its client left")),
            }
        }
    }

    /// The daemon, once it was started.
    fn daemon(&self) -> Result<&Daemon, StepError> {
        self.daemon.as_ref().ok_or(StepError::NotStarted)
    }

    fn daemon_mut(&mut self) -> Result<&mut Daemon, StepError> {
        self.daemon.as_mut().ok_or(StepError::NotStarted)
    }

    /// The address of the daemon's admin endpoint.
    fn admin_addr(&self) -> Result<SocketAddr, StepError> {
        let daemon = self.daemon.as_ref();
        daemon
            .and_then(|daemon| daemon.admin_addr)
            .ok_or(StepError::NoAdminEndpoint)
    }
}
