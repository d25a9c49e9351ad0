//! Measures one point: runs a real daemon between stand-ins and records the resources that it uses.
use super::load::BUSY_CLIENTS;
use super::testbed::Testbed;
use super::{MeasurementPoint, Options, Progress};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, ZoneId};
use crate::testkit::coordinator::{Coordinator, known, ready_endpoint};
use crate::testkit::daemon::{self, Daemon, DaemonLimits, DaemonOptions, MACHINE_TYPES, ZONES};
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

/// Statements per second that all managers together admit: enough for the largest load.
const QUOTA_PER_S: f64 = 350_000.0;
/// Time for the stand-ins' tasks to close their sockets, in milliseconds.
const SOCKET_CLOSE_TIME_MS: u64 = 30;
/// Number of the last lines of the daemon's log that an error message quotes.
const QUOTED_LOG_LINES: usize = 3;

/// The measured values of one point. Values described as "over the window" exclude the time before
/// and after it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measurement {
    /// Engines in the endpoint list.
    pub engines: u64,
    /// Idle clients.
    pub clients: u64,
    /// Planned statements per second.
    pub rate: f64,
    /// Number of managers in the settings.
    pub managers: u64,
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// Processor time from the start until the daemon was ready, in microseconds.
    pub start_cpu_us: f64,
    /// Resident memory when the daemon was ready, in KiB.
    pub start_rss_kib: u64,
    /// Resident memory at the end of the window, in KiB.
    pub rss_kib: u64,
    /// Anonymous part of that memory, in KiB.
    pub anon_kib: u64,
    /// Resident memory of this process, which runs all stand-ins, at the end of the window, in KiB.
    pub stand_ins_rss_kib: u64,
    /// Descriptors of this process at the end of the window, without the engines' listeners and the
    /// ends of the daemon's connections.
    pub stand_ins_descriptors: u64,
    /// Processor time over the window, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// Processor time over the whole window by the coarser count of clock ticks, in ticks of 10 ms.
    pub cpu_ticks: u64,
    /// Voluntary context switches per second over the window.
    pub switches_per_s: f64,
    /// Open descriptors at the end of the window.
    pub descriptors: u64,
    /// Open descriptors before any client connected, without connections to engines.
    pub fixed_descriptors: u64,
    /// Open connections of clients at the end of the window, including those of the busy clients.
    pub client_connections: u64,
    /// Open connections of engines at the end of the window.
    pub engine_connections: u64,
    /// Statements sent per second over the window.
    #[serde(rename = "asked_per_s")]
    pub sent_per_s: f64,
    /// Statements completed in the window.
    pub served: u64,
    /// Statements rejected in the window.
    pub refused: u64,
    /// Statements that failed in the window.
    pub failed: u64,
    /// Status calls of idle clients per second over the window.
    pub calls_per_s: f64,
    /// Load probes that engines received per second over the window.
    pub probes_per_s: f64,
    /// Connections that engines accepted, from the start to the end of the window.
    pub connects: u64,
    /// Engines that accepted a connection.
    pub engines_reached: u64,
    /// Engines that received a statement by the end of the window.
    pub engines_used: u64,
    /// Processor time for a full endpoint list without changes, in microseconds.
    pub list_cpu_us: f64,
    /// Time from the event that half of the engines drain to the last statement that one of them
    /// received, in microseconds; the maximum of several such events, and `None` without
    /// statements. The stand-in coordinator sends its events every 5 ms.
    pub change_us: Option<u64>,
    /// Statements that engines received from the start to the end of the run.
    pub begun: u64,
    /// Statements that the daemon reports as sent.
    pub dispatches: u64,
    /// Engines in the daemon's list, as the daemon reports.
    pub targets: u64,
}

/// Returns the name of an engine in the execution log, by its index in the list.
pub(super) fn engine_name(index: u64) -> String {
    format!("e{index}")
}

/// Returns the daemon's settings in a fleet of this many managers.
fn settings(managers: u64) -> Value {
    let mut settings = daemon::settings();
    settings["peers_total"] = json!(managers);
    for tenant in settings["orgs"].as_array_mut().into_iter().flatten() {
        let share = tenant["share"].as_f64().unwrap_or(0.0);
        tenant["quota_rps"] = json!(QUOTA_PER_S * share);
    }
    settings
}

/// Returns the descriptor limit for the daemon's configuration, with which the largest point fits
/// when half of the descriptors are for clients and a quarter for engines. The limit is the same
/// for all points, so that it does not influence their comparison.
pub fn daemon_descriptors(points: &[MeasurementPoint]) -> u64 {
    let needed = |point: &MeasurementPoint| {
        let for_clients = 2 * (point.clients + BUSY_CLIENTS) + 64;
        let for_engines = 6 * point.engines + 64;
        for_clients.max(for_engines)
    };
    points.iter().map(needed).max().unwrap_or(0).max(256)
}

/// Measures one point. The daemon has ended when this function returns, also after a failure. If
/// `until` completes first, the measurement fails with its text.
pub fn measure(
    point: &MeasurementPoint,
    options: &Options,
    daemon_descriptors: u64,
    until: impl Future<Output = String>,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measurement, String> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let ended = async { Err(until.await) };
    let measured = run_daemon(&executor, point, options, daemon_descriptors, progress);
    let measured = block_on(executor.run(or(ended, measured)));
    // The sockets of ended tasks are closed when the executor drops the tasks.
    block_on(executor.run(pause(SOCKET_CLOSE_TIME_MS)));
    measured
}

async fn run_daemon(
    executor: &Executor,
    point: &MeasurementPoint,
    options: &Options,
    daemon_descriptors: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measurement, String> {
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
        listed.endpoint.machine_type =
            MachineTypeId((index / ZONES.len() % MACHINE_TYPES.len()) as u16);
        listed
    };
    let list: Vec<ListedEndpoint> = engines.iter().enumerate().map(listed).collect();
    let known = known(&list, &ZONES, &MACHINE_TYPES);
    let daemon_options = DaemonOptions {
        coordinator: coordinator.addr,
        known,
        deploy_file: None,
        limits: DaemonLimits::with_sockets(daemon_descriptors as usize),
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
        step: Cell::new("measuring the start"),
    };
    let measured = or(testbed.watch(progress), testbed.run()).await;
    measured.map_err(|error| describe_failure(&error, point, testbed.step.get(), &daemon))
}

/// Formats an error with its point, its step, and the end of the daemon's log.
fn describe_failure(error: &str, point: &MeasurementPoint, step: &str, daemon: &Daemon) -> String {
    let log = daemon.log();
    let lines: Vec<&str> = log.lines().collect();
    let last_lines = &lines[lines.len().saturating_sub(QUOTED_LOG_LINES)..];
    let MeasurementPoint {
        engines,
        clients,
        rate,
    } = point;
    format!(
        "{engines} engines, {clients} clients, {rate} statements/s, {step}: {error}; \
        end of the daemon's log: {last_lines:?}"
    )
}
