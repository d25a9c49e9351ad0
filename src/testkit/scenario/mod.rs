//! Scripted scenarios: steps that run against the real daemon, one per line. `#` starts a comment.
//!
//! Deployment steps, used before `start` unless noted otherwise:
//!
//! | step | effect |
//! | --- | --- |
//! | `engine NAME platform\|clickhouse` | adds an engine that uses this protocol |
//! | `engine NAME platform KIND SESSIONS` | adds an engine on this machine type, which runs at most SESSIONS queries concurrently |
//! | `set POINTER JSON` | sets a value in the settings, such as `/limits/second_copies true` |
//! | `user NAME KEY TENANT` | adds a user to the deploy file; the tenant `-` means none |
//! | `tenant NAME SHARE`, `person NAME KEY TENANT` | adds an entry to the LDAP directory, at any time; the tenant `-` means none |
//! | `busy`, `idle` | makes the directory respond to searches with an error, or with entries again; at any time |
//! | `sockets COUNT` | sets the maximum number of descriptors of the daemon |
//! | `occupy` | occupies the port of the ClickHouse frontend, as another program would |
//! | `console` | gives the daemon an admin endpoint |
//! | `start` | starts the daemon and waits until it is ready |
//!
//! Steps for engines, the endpoint list and the coordinator:
//!
//! | step | effect |
//! | --- | --- |
//! | `on ENGINE rows MS COUNT\|full\|break\|hang\|reset\|late\|garble` | sets the behavior of the engine for its next query; `any` is the engine that receives the next query |
//! | `rows MS COUNT`, `full`, `break`, `hang` | such a behavior: completes the query with COUNT rows after MS milliseconds, rejects it, responds with an error, or never responds |
//! | `reset`, `late`, `garble` | such a behavior: resets the connection once the query was received, fails within the response, or responds with bytes that are not valid in its protocol |
//! | `drain\|ready\|gone ENGINE` | makes the coordinator send this state of the engine: draining, ready or removed |
//! | `down ENGINE` | simulates the end of the engine's process: its connections are reset, and new ones are refused |
//! | `cut` | closes the coordinator's connections |
//! | `coordinator speaking\|silent\|silent-on-new\|heartbeats\|partial\|closing\|gone` | sets what the coordinator sends: events and heartbeats, nothing, nothing on connections that are opened from now on, no events, or a part of a frame; or it closes each connection, or ends |
//! | `stall` | sends no events on the coordinator's present connections, which stay open |
//! | `move` | starts another coordinator, and makes the daemon reload a configuration that names it |
//!
//! Steps for queries:
//!
//! | step | effect |
//! | --- | --- |
//! | `ask NAME rpc CLASS TENANT WAIT-MS STATEMENT` | sends a query over JSON-RPC |
//! | `ask NAME keyed KEY CLASS TENANT WAIT-MS STATEMENT` | sends a query over JSON-RPC with an idempotency key; `-` means none |
//! | `ask NAME http USER KEY SECONDS STATEMENT` | sends a query over HTTP |
//! | `raw NAME rpc\|http TEXT` | sends TEXT unchanged, except that `\r`, `\n` and `\0` are replaced; the outcome of malformed input is `rejected CODE` or `cut` |
//! | `drop NAME` | disconnects the client of a query |
//! | `leave NAME` | makes the client of a query disconnect after the first byte of the response |
//! | `expect NAME served [COUNT]\|refused\|failed\|deadline\|rejected CODE\|cut` | waits for the outcome of a query and checks it; with COUNT also the number of rows |
//! | `served`, `refused`, `cut` | such an outcome: completed, rejected with a time after which to retry, or without a complete response |
//! | `seen NAME` | waits until an engine runs the query |
//! | `over NAME` | waits until no engine runs the query |
//! | `runs NAME COUNT` | checks how many attempts of the query engines have received |
//! | `sent NAME FIELD VALUE` | checks a field of the last attempt as the engine received it; `-` means that it was not sent |
//! | `dropped NAME COUNT` | checks how many attempts changed nothing, because engines recognized their idempotency key |
//!
//! Steps for clients with persistent connections:
//!
//! | step | effect |
//! | --- | --- |
//! | `keep NAME` | opens a connection to the JSON-RPC frontend |
//! | `ask NAME on KEPT CLASS TENANT WAIT-MS STATEMENT` | sends a query on the connection that was opened with `keep KEPT` |
//! | `begin NAME on KEPT ...`, `rest KEPT` | sends the first half of such a query, or the second half |
//! | `closed KEPT`, `kept KEPT` | waits until the daemon has closed the connection, or checks that it is open |
//! | `mute NAME rpc\|http\|console COUNT` | opens COUNT connections that send nothing |
//! | `stay NAME rpc\|http\|console COUNT` | opens COUNT connections that send one request and then stay idle |
//! | `shut NAME` | waits until the daemon has closed all of these connections |
//! | `stream NAME CLASS TENANT WAIT-MS COUNT GAP-MS` | sends COUNT queries on persistent connections, GAP-MS apart |
//! | `expect-all NAME served` | waits for the outcomes of a stream and checks that all queries completed |
//!
//! Steps for the daemon:
//!
//! | step | effect |
//! | --- | --- |
//! | `retune NAME:SEMANTICS ... attempts:COUNT` | makes the daemon reload a configuration with these classes and this maximum number of attempts |
//! | `spoil` | makes the daemon reload an invalid configuration |
//! | `launch`, `follow` | starts a successor of the daemon, or starts one and waits until it is ready |
//! | `retire`, `retired` | sends SIGTERM to the newest predecessor, or waits until it has exited with status 0 |
//! | `reverted` | after `term` to the successor: waits until it has exited with status 0, or by the signal if that came before its handler; the predecessor is the daemon again |
//! | `kill older\|newer` | kills the predecessor or the successor of a hot restart |
//! | `call METHOD PATH STATUS` | calls the admin endpoint until the response has this status |
//! | `figure NAME VALUE` | waits until a metric of the admin endpoint has this value; `runs` stands for the number of attempts that engines have received, without those of streams |
//! | `until COUNTER VALUE` | waits until a counter of the daemon has reached the value; `+N` is N more than its current value |
//! | `counter NAME VALUE` | checks the value of a counter, after `ended` |
//! | `term` | sends SIGTERM to the daemon |
//! | `ended` | waits until the daemon has exited with status 0 |
//! | `wait MS` | waits for MS milliseconds |
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

/// The maximum number of descriptors of the daemon, unless a step sets another.
const DEFAULT_MAX_SOCKETS: usize = 1_024;

/// A step parsed from a line.
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
            let millis = parse_number(millis)?;
            return Ok(Step::Wait { millis });
        }
        if let Some(step) = DeploymentStep::parse(line, &words)? {
            return Ok(Step::Deployment(step));
        }
        if let Some(step) = EngineStep::parse(&words)? {
            return Ok(Step::Engine(step));
        }
        // Parsed before queries, because a query on a persistent connection is also an `ask`.
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

/// Parses a number in a step.
fn parse_number(word: &str) -> Result<u64, StepError> {
    word.parse()
        .map_err(|_| StepError::NotANumber(word.to_owned()))
}

/// Parses a count in a step.
fn parse_count(word: &str) -> Result<usize, StepError> {
    word.parse()
        .map_err(|_| StepError::NotANumber(word.to_owned()))
}

/// The unchanged rest of a line after its first `words` words.
fn text_after(line: &str, words: usize) -> &str {
    line.splitn(words + 1, ' ').nth(words).unwrap_or_default()
}

/// An engine of the scenario.
struct ScenarioEngine {
    engine: Engine,
    /// The id in the endpoint list.
    id: u32,
    /// The index of the machine type in [`super::daemon::MACHINE_TYPES`].
    machine_type: u16,
}

/// A query of the scenario and its outcome.
struct Query {
    /// The client's task; dropped to disconnect the client. `None` for a query on a persistent
    /// connection.
    task: Option<Task<()>>,
    outcome: clients::PendingOutcome,
    /// Set to make the client disconnect after the first byte of the response.
    disconnect_on_response: Rc<Cell<bool>>,
    /// Whether the outcome has been reported, or a step waits for it.
    reported: bool,
}

/// A client with a persistent connection.
struct PersistentConnection {
    client: PersistentClient,
    /// The second half of a query of which only the first half was sent.
    unsent: Vec<u8>,
}

/// The state of one run of a scenario.
struct ScenarioRun<'a> {
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
    /// The listener that occupies that address.
    occupied_port: Option<TcpListener>,
    queries: BTreeMap<String, Query>,
    persistent: BTreeMap<String, PersistentConnection>,
    streams: BTreeMap<String, Vec<clients::PendingOutcome>>,
    idle_clients: BTreeMap<String, Vec<Task<()>>>,
    /// Tasks of clients that run until the end of the scenario.
    background: Vec<Task<()>>,
    report: &'a mut dyn FnMut(&str),
}

/// Runs a script against the daemon; `report` is called with the outcome of each query.
///
/// # Errors
///
/// The failed step with the daemon's log, and the violated invariants.
pub fn run(program: &Path, script: &str, report: &mut dyn FnMut(&str)) -> Result<(), Vec<String>> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let scenario = ScenarioRun {
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
    let failures = async_io::block_on(executor.run(scenario.run(script)));
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures)
    }
}

impl ScenarioRun<'_> {
    async fn run(mut self, script: &str) -> Vec<String> {
        let mut failures = Vec::new();
        for (index, line) in script.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            // Steps after a failed one rarely add information.
            if let Err(error) = self.run_line(line).await {
                failures.push(format!("line {}: {line}: {error}", index + 1));
                failures.extend(self.daemon_log());
                break;
            }
        }
        self.report_remaining_outcomes();
        let violations = self.log.violations().into_iter();
        failures.extend(violations.map(|violation| format!("violated invariant: {violation}")));
        failures
    }

    async fn run_line(&mut self, line: &str) -> Result<(), StepError> {
        let step = Step::parse(line)?;
        in_time(self.execute(step))
            .await
            .unwrap_or(Err(StepError::Timeout))
    }

    async fn execute(&mut self, step: Step<'_>) -> Result<(), StepError> {
        match step {
            Step::Deployment(step) => self.execute_deployment_step(step).await,
            Step::Engine(step) => self.execute_engine_step(step),
            Step::Query(step) => self.execute_query_step(step).await,
            Step::Connection(step) => self.execute_connection_step(step).await,
            Step::Daemon(step) => self.execute_daemon_step(step).await,
            Step::Check(step) => self.execute_check_step(step).await,
            Step::Wait { millis } => {
                pause(millis).await;
                Ok(())
            }
        }
    }

    fn daemon_log(&self) -> Option<String> {
        let daemon = self.daemon.as_ref()?;
        Some(format!("daemon log:\n{}", daemon.log()))
    }

    /// Reports the outcomes of queries that no step waited for.
    fn report_remaining_outcomes(&mut self) {
        for (name, query) in self.queries.iter().filter(|(_, query)| !query.reported) {
            match &*query.outcome.borrow() {
                Some(outcome) => (self.report)(&format!("{name}: {outcome}")),
                None => (self.report)(&format!("{name}: its client left")),
            }
        }
    }

    /// The daemon; fails if it has not been started.
    fn daemon(&self) -> Result<&Daemon, StepError> {
        self.daemon.as_ref().ok_or(StepError::NotStarted)
    }

    fn daemon_mut(&mut self) -> Result<&mut Daemon, StepError> {
        self.daemon.as_mut().ok_or(StepError::NotStarted)
    }

    /// The address of the daemon's admin endpoint; fails without one.
    fn admin_addr(&self) -> Result<SocketAddr, StepError> {
        let daemon = self.daemon.as_ref();
        daemon
            .and_then(|daemon| daemon.admin_addr)
            .ok_or(StepError::NoAdminEndpoint)
    }
}
