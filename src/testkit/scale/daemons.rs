//! Measures one point: a real daemon between stand-ins, and the resources that it used.
use super::load::BUSY_CLIENTS;
use super::testbed::Testbed;
use super::{Options, Point, Progress};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, ZoneId};
use crate::testkit::coordinator::{Coordinator, known, ready_endpoint};
use crate::testkit::daemon::{self, Daemon, DaemonOptions, KINDS, ZONES};
use crate::testkit::engines::{Engine, EngineOptions, EngineProtocol};
use crate::testkit::{ExecutionLog, Executor, pause};
use async_executor::LocalExecutor;
use async_io::block_on;
use futures_lite::future::or;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// Statements a second that all managers together admit: enough for the largest load.
const QUOTA_PER_S: f64 = 350_000.0;
/// Time for the stand-ins' tasks to close their sockets, in milliseconds.
const CLOSE_TIME_MS: u64 = 30;
/// Lines of the daemon's log that an error quotes.
const QUOTED_LOG_LINES: usize = 3;

/// What was measured at a point. Figures over the window were counted within it alone.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Engines in the list.
    pub engines: u64,
    /// Idle clients.
    pub clients: u64,
    /// Statements a second, as planned.
    pub rate: f64,
    /// Managers in the settings.
    pub managers: u64,
    /// The window, in seconds.
    pub seconds: f64,
    /// Processor time from the start until the daemon was ready, in microseconds.
    pub start_cpu_us: f64,
    /// Resident memory then, in KiB.
    pub start_rss_kib: u64,
    /// Resident memory at the end of the window, in KiB.
    pub rss_kib: u64,
    /// The anonymous part of it, in KiB.
    pub anon_kib: u64,
    /// Resident memory of all stand-ins then, in KiB.
    pub stand_ins_rss_kib: u64,
    /// Descriptors of this process then, without the engines' listeners and the ends of the daemon's
    /// connections.
    pub stand_ins_descriptors: u64,
    /// Processor time over the window, in microseconds a second.
    pub cpu_us_per_s: f64,
    /// The same by the coarser count of clock ticks, in ticks of 10 ms over the whole window.
    pub cpu_ticks: u64,
    /// Voluntary context switches a second over the window.
    pub switches_per_s: f64,
    /// Open descriptors at the end of the window.
    pub descriptors: u64,
    /// Those that it had before any client connected, without connections to engines.
    pub fixed_descriptors: u64,
    /// Connections that clients have open then, including the busy ones.
    pub client_connections: u64,
    /// Connections that engines have open then.
    pub engine_connections: u64,
    /// Statements sent a second over the window.
    pub asked_per_s: f64,
    /// Statements completed in the window.
    pub served: u64,
    /// Statements rejected in the window.
    pub refused: u64,
    /// Statements that failed in the window.
    pub failed: u64,
    /// Status calls of idle clients, a second over the window.
    pub calls_per_s: f64,
    /// Load probes that engines received, a second over the window.
    pub probes_per_s: f64,
    /// Connections that engines accepted, from the start to the end of the window.
    pub connects: u64,
    /// Engines that accepted one.
    pub engines_reached: u64,
    /// Engines that received a statement by the end of the window.
    pub engines_used: u64,
    /// Processor time for a full endpoint list without changes, in microseconds.
    pub list_cpu_us: f64,
    /// From the event that half of the engines drain to the last statement that one of them
    /// received, in microseconds, the worst of several; `None` without statements. The stand-in
    /// coordinator sends its events every 5 ms.
    pub change_us: Option<u64>,
    /// Statements that engines received from the start to the end of the run.
    pub begun: u64,
    /// Statements that the daemon reports to have sent.
    pub dispatches: u64,
    /// Engines that the daemon reports to have in its list.
    pub targets: u64,
}

/// The name of an engine in the execution log, by its index in the list.
pub(super) fn engine_name(index: u64) -> String {
    format!("e{index}")
}

/// The settings of one of this many managers.
fn settings(managers: u64) -> Value {
    let mut settings = daemon::settings();
    settings["peers_total"] = json!(managers);
    for tenant in settings["orgs"].as_array_mut().into_iter().flatten() {
        let share = tenant["share"].as_f64().unwrap_or(0.0);
        tenant["quota_rps"] = json!(QUOTA_PER_S * share);
    }
    settings
}

/// The limit on descriptors in the daemon's configuration: the largest point fits where half of them
/// are for clients and a quarter for engines. It is the same for all points, so that it does not
/// influence their comparison.
pub fn daemon_descriptors(points: &[Point]) -> u64 {
    let needed = |point: &Point| {
        let for_clients = 2 * (point.clients + BUSY_CLIENTS) + 64;
        let for_engines = 6 * point.engines + 64;
        for_clients.max(for_engines)
    };
    points.iter().map(needed).max().unwrap_or(0).max(256)
}

/// Measures one point. The daemon has ended when it returns, also after a failure, or after `until`
/// completed, which gives the error's text.
pub fn measure(
    point: &Point,
    options: &Options,
    daemon_descriptors: u64,
    until: impl Future<Output = String>,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let ended = async { Err(until.await) };
    let measured = run_daemon(&executor, point, options, daemon_descriptors, progress);
    let measured = block_on(executor.run(or(ended, measured)));
    // Ended tasks close their sockets when they are dropped by the executor.
    block_on(executor.run(pause(CLOSE_TIME_MS)));
    measured
}

async fn run_daemon(
    executor: &Executor,
    point: &Point,
    options: &Options,
    daemon_descriptors: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let log = ExecutionLog::default();
    let start_engine = |index| {
        let options = EngineOptions::new(EngineProtocol::Platform);
        Engine::start(executor, &engine_name(index), options, log.clone())
    };
    let engines: Vec<Engine> = (0..point.engines).map(start_engine).collect();
    let coordinator = Coordinator::start(executor);
    let listed = |(index, engine): (usize, &Engine)| {
        let mut listed = ready_endpoint(index as u32 + 1, engine.addr);
        listed.endpoint.zone = ZoneId((index % ZONES.len()) as u16);
        listed.endpoint.machine_type = MachineTypeId((index / ZONES.len() % KINDS.len()) as u16);
        listed
    };
    let list: Vec<ListedEndpoint> = engines.iter().enumerate().map(listed).collect();
    let known = known(&list, &ZONES, &KINDS);
    let daemon_options = DaemonOptions {
        coordinator: coordinator.addr,
        known,
        deploy_file: None,
        max_sockets: daemon_descriptors as usize,
        has_admin_endpoint: true,
        settings: settings(options.managers),
    };
    let daemon = Daemon::start(&options.daemon, daemon_options)
        .await
        .map_err(|error| error.to_string())?;
    let testbed = Testbed {
        executor,
        point,
        options,
        log,
        engines,
        coordinator,
        list,
        daemon: &daemon,
        counters: Rc::default(),
        step: Cell::new("the start"),
    };
    let measured = or(testbed.watch(progress), testbed.run()).await;
    measured.map_err(|error| describe_failure(&error, point, testbed.step.get(), &daemon))
}

/// The error with its point, its step, and the end of the daemon's log.
fn describe_failure(error: &str, point: &Point, step: &str, daemon: &Daemon) -> String {
    let log = daemon.log();
    let lines: Vec<&str> = log.lines().collect();
    let last_lines = &lines[lines.len().saturating_sub(QUOTED_LOG_LINES)..];
    let Point {
        engines,
        clients,
        rate,
    } = point;
    format!(
        "{engines} engines, {clients} clients, {rate} statements a second, {step}: {error}; \
        the daemon's last words: {last_lines:?}"
    )
}
