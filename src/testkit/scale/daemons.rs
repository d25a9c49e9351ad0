//! One point: a real daemon between stand-ins, and what it used.
use super::load::BUSY;
use super::testbed::Site;
use super::{Options, Point, Progress};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, ZoneId};
use crate::testkit::coordinator::{Coordinator, known, ready_endpoint};
use crate::testkit::daemon::{self, Daemon, KINDS, ZONES};
use crate::testkit::engines::Engine;
use crate::testkit::{ExecutionLog, Executor, pause};
use async_executor::LocalExecutor;
use async_io::block_on;
use futures_lite::future::or;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// Statements a second that all managers together may have of the tenants: enough for the whole
/// load.
const QUOTA_PER_S: f64 = 350_000.0;

/// The stand-ins have so long to end, in milliseconds.
const PARTING_MS: u64 = 30;

/// What was measured at a point. What is said to be of the window was counted in it alone.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Engines in the list.
    pub engines: u64,
    /// Idle clients.
    pub clients: u64,
    /// Statements a second that were wanted.
    pub rate: f64,
    /// Managers that the settings tell of.
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
    /// Descriptors of this process then, but for engines' listeners and both ends of what the
    /// daemon is connected to.
    pub stand_ins_descriptors: u64,
    /// Processor time over the window, in microseconds a second.
    pub cpu_us_per_s: f64,
    /// The same by the coarser count of clock ticks, in ticks of 10 ms over the whole window.
    pub cpu_ticks: u64,
    /// Voluntary context switches a second over the window.
    pub switches_per_s: f64,
    /// Open descriptors at the end of the window.
    pub descriptors: u64,
    /// Those that it had before any client came, without connections to engines.
    pub fixed_descriptors: u64,
    /// Connections that clients have open then, busy ones with them.
    pub client_connections: u64,
    /// Connections that engines have open then.
    pub engine_connections: u64,
    /// Statements asked a second over the window.
    pub asked_per_s: f64,
    /// Statements served in the window.
    pub served: u64,
    /// Statements refused in the window.
    pub refused: u64,
    /// Statements that failed in the window.
    pub failed: u64,
    /// Calls for the status by idle clients, a second over the window.
    pub calls_per_s: f64,
    /// Questions for their load that engines saw, a second over the window.
    pub probes_per_s: f64,
    /// Connections that engines saw being made, from the start to the end of the window.
    pub connects: u64,
    /// Engines that saw one.
    pub engines_reached: u64,
    /// Engines that were sent a statement by the end of the window.
    pub engines_used: u64,
    /// Processor time for a whole list that says nothing new, in microseconds.
    pub list_cpu_us: f64,
    /// From the word that half of the engines drain to the last statement that one of them was
    /// sent, in microseconds, the worst of some; nothing without statements. The stand-in
    /// coordinator passes words on every 5 ms.
    pub change_us: Option<u64>,
    /// Statements that engines saw from the start to the end of the run.
    pub begun: u64,
    /// Statements that the daemon says it sent to them.
    pub dispatches: u64,
    /// Engines that it says it has in its list.
    pub targets: u64,
}

/// What the book calls an engine, by its place in the list.
pub(super) fn engine_name(place: u64) -> String {
    format!("e{place}")
}

/// The settings of one manager of that many.
fn settings(managers: u64) -> Value {
    let mut settings = daemon::settings();
    settings["peers_total"] = json!(managers);
    for org in settings["orgs"].as_array_mut().into_iter().flatten() {
        org["quota_rps"] = json!(QUOTA_PER_S * org["share"].as_f64().unwrap_or(0.0));
    }
    settings
}

/// The descriptors that the daemon is told it may have: with half for clients and a quarter for
/// engines, those of the greatest point fit. The same for all points, lest it shows in what they
/// need.
pub fn sockets(points: &[Point]) -> u64 {
    let each = points
        .iter()
        .map(|p| (2 * (p.clients + BUSY) + 64).max(6 * p.engines + 64));
    each.max().unwrap_or(0).max(256)
}

/// Measures one point. Ends the daemon before it returns, also where something fails or `until`
/// comes first, which tells why.
pub fn measure(
    point: &Point,
    options: &Options,
    sockets: u64,
    until: impl Future<Output = String>,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let ended = async { Err(until.await) };
    let measured =
        block_on(executor.run(or(ended, one(&executor, point, options, sockets, progress))));
    // What was ended lets go of its sockets in a turn of its own.
    block_on(executor.run(pause(PARTING_MS)));
    measured
}

async fn one(
    executor: &Executor,
    point: &Point,
    options: &Options,
    sockets: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let book = ExecutionLog::default();
    let engine = |i| Engine::start(executor, &engine_name(i), false, book.clone());
    let engines: Vec<Engine> = (0..point.engines).map(engine).collect();
    let coordinator = Coordinator::start(executor);
    let listed = |(index, engine): (usize, &Engine)| {
        let mut listed = ready_endpoint(index as u32 + 1, engine.addr);
        listed.endpoint.zone = ZoneId((index % ZONES.len()) as u16);
        listed.endpoint.machine_type = MachineTypeId((index / ZONES.len() % KINDS.len()) as u16);
        listed
    };
    let list: Vec<ListedEndpoint> = engines.iter().enumerate().map(listed).collect();
    let known = known(&list, &ZONES, &KINDS);
    let settings = settings(options.managers);
    let daemon = Daemon::start(
        &options.daemon,
        coordinator.addr,
        &known,
        None,
        sockets as usize,
        true,
        settings,
    )
    .await?;
    let site = Site {
        executor,
        point,
        options,
        book,
        engines,
        coordinator,
        list,
        daemon: &daemon,
        tally: Rc::default(),
        doing: Cell::new("the start"),
    };
    let measured = or(site.watch(progress), site.run()).await;
    measured.map_err(|why| {
        let log = daemon.log();
        let last: Vec<&str> = log.lines().rev().take(3).collect();
        let last: Vec<&str> = last.into_iter().rev().collect();
        format!(
            "{} engines, {} clients, {} statements a second, {}: {why}; the daemon's last words: {:?}",
            point.engines,
            point.clients,
            point.rate,
            site.doing.get(),
            last
        )
    })
}
