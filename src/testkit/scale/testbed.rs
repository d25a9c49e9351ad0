//! A daemon between its stand-ins, and the steps of one measurement.
use super::daemons::{Measured, engine_name};
use super::load::{self, ClientCounters};
use super::proc::{self, Usage};
use super::{Options, Point, Progress};
use crate::clock;
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::Readiness;
use crate::testkit::coordinator::Coordinator;
use crate::testkit::daemon::Daemon;
use crate::testkit::engines::Engine;
use crate::testkit::{ExecutionLog, Executor, clients, pause, wait_until};
use async_executor::Task;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

/// Changes of the endpoint list that are sent to measure one.
const LIST_CHANGES: u64 = 4;
/// Time before and after each change, in milliseconds.
const LIST_CHANGE_PAUSE_MS: u64 = 150;
/// Full endpoint lists that are sent to measure one.
const FULL_LISTS: u64 = 8;
/// Time for each full list, in milliseconds.
const FULL_LIST_PAUSE_MS: u64 = 60;
/// Interval at which the daemon and the stand-ins are watched, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 50;
/// Intervals between two reports of progress.
const INTERVALS_PER_REPORT: u64 = 20;
/// Times that a value is read again until it settles.
const MAX_READS: usize = 100;
/// Pause between two reads of a value that settles soon, in milliseconds.
const READ_PAUSE_MS: u64 = 50;
/// Pause between two reads of a value that settles within a turn or two, in milliseconds.
const SHORT_READ_PAUSE_MS: u64 = 10;
/// The least part of the planned statements that the clients have to send.
const MIN_STATEMENT_PART: f64 = 0.9;

/// A daemon between its stand-ins.
pub(super) struct Testbed<'a> {
    pub(super) executor: &'a Executor,
    pub(super) point: &'a Point,
    pub(super) options: &'a Options,
    pub(super) log: ExecutionLog,
    pub(super) engines: Vec<Engine>,
    pub(super) coordinator: Coordinator,
    pub(super) list: Vec<ListedEndpoint>,
    pub(super) daemon: &'a Daemon,
    pub(super) counters: Rc<ClientCounters>,
    /// The present step, for progress and errors.
    pub(super) step: Cell<&'static str>,
}

impl Drop for Testbed<'_> {
    fn drop(&mut self) {
        self.coordinator.shut_down();
    }
}

/// The counters at one instant.
struct CounterReading {
    at: Instant,
    usage: Usage,
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
    calls: u64,
    probes: u64,
}

impl Testbed<'_> {
    /// Reports progress; returns only when the daemon or a stand-in fails.
    pub(super) async fn watch(
        &self,
        progress: &mut dyn FnMut(&Progress),
    ) -> Result<Measured, String> {
        for interval in 0.. {
            if interval % INTERVALS_PER_REPORT == 0 {
                progress(&Progress {
                    pid: self.daemon.pid(),
                    doing: self.step.get(),
                });
            }
            if !proc::runs(self.daemon.pid()) {
                return Err("the daemon ended by itself".into());
            }
            if let Some(fault) = self.counters.fault.borrow().clone() {
                return Err(fault);
            }
            if !self.engines.iter().all(Engine::is_serving) {
                return Err("a stand-in engine takes no connections any more".into());
            }
            pause(WATCH_INTERVAL_MS).await;
        }
        Err("nobody looks after the run any more".into())
    }

    fn usage(&self) -> Result<Usage, String> {
        proc::usage(self.daemon.pid())
            .map_err(|e| format!("what the daemon uses can't be read: {e}"))
    }

    fn engine_connections(&self) -> u64 {
        let open = |engine: &Engine| engine.open_connections() as u64;
        self.engines.iter().map(open).sum()
    }

    /// Engines that received a statement.
    fn engines_used(&self) -> u64 {
        let runs = self.log.runs.borrow();
        let names: BTreeSet<&str> = runs.iter().map(|run| run.engine.as_str()).collect();
        names.len() as u64
    }

    fn read_counters(&self) -> Result<CounterReading, String> {
        let counters = &self.counters;
        Ok(CounterReading {
            at: Instant::now(),
            usage: self.usage()?,
            asked: counters.asked.get(),
            served: counters.served.get(),
            refused: counters.refused.get(),
            failed: counters.failed.get(),
            calls: counters.calls.get(),
            probes: self.log.probes.borrow().len() as u64,
        })
    }

    /// Descriptors that are neither clients' nor engines' connections, once three reads in a row
    /// agree.
    async fn fixed_descriptors(&self) -> Result<u64, String> {
        let mut reads = Vec::new();
        for _ in 0..MAX_READS {
            let descriptors = self.usage()?.descriptors;
            reads.push(descriptors.checked_sub(self.engine_connections()));
            if let [.., Some(first), Some(second), Some(third)] = reads[..]
                && first == second
                && second == third
            {
                return Ok(third);
            }
            pause(READ_PAUSE_MS).await;
        }
        Err("the daemon's descriptors do not come to rest".into())
    }

    /// One of the metrics on the daemon's admin endpoint.
    async fn metric(&self, name: &str) -> Result<u64, String> {
        let admin_address = self.daemon.console.ok_or("no second address")?;
        let response = clients::call_admin(admin_address, "GET", "/metrics").await;
        let (_, text) = response
            .filter(|(status, _)| *status == 200)
            .ok_or("the second address does not answer")?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))
            .and_then(|value| value.split('|').next()?.parse().ok())
            .ok_or_else(|| format!("the second address does not tell {name}"))
    }

    /// All steps of the measurement.
    pub(super) async fn run(&self) -> Result<Measured, String> {
        let mut measured = self.measure_start().await?;

        self.step.set("connecting clients");
        let idle_clients = self.connect_idle_clients().await?;
        let busy_clients = load::start_busy_clients(
            self.executor,
            self.daemon.listen,
            self.point.rate,
            &self.counters,
        );
        self.step.set("settling");
        pause(self.options.settle(self.point).as_millis() as u64).await;

        self.step.set("the window");
        let from = self.read_counters()?;
        pause(self.options.window.as_millis() as u64).await;
        let busy_connections = busy_clients.len() as u64;
        self.measure_window(&mut measured, &from, busy_connections)
            .await?;

        if self.point.rate > 0.0 && self.point.engines > 1 {
            self.step.set("a change of the list");
            measured.change_us = self.measure_list_changes().await;
        }
        self.step.set("the last answers");
        self.wait_for_last_responses().await?;
        self.step.set("whole lists");
        drop((idle_clients, busy_clients));
        measured.list_cpu_us = self.measure_full_lists(measured.fixed_descriptors).await?;

        self.step.set("the daemon's own figures");
        self.compare_with_metrics(&mut measured).await?;
        Ok(measured)
    }

    /// What the daemon used until it was ready.
    async fn measure_start(&self) -> Result<Measured, String> {
        let ready = self.usage()?;
        Ok(Measured {
            engines: self.point.engines,
            clients: self.point.clients,
            rate: self.point.rate,
            managers: self.options.managers,
            start_cpu_us: ready.cpu_ns as f64 / 1e3,
            start_rss_kib: ready.rss_kib,
            fixed_descriptors: self.fixed_descriptors().await?,
            ..Measured::default()
        })
    }

    async fn connect_idle_clients(&self) -> Result<Vec<Task<()>>, String> {
        let count = self.point.clients;
        let address = self.daemon.listen;
        let clients = load::start_idle_clients(self.executor, address, count, &self.counters).await;
        if !wait_until(|| self.counters.answered.get() == count).await {
            let answered = self.counters.answered.get();
            return Err(format!("only {answered} clients were answered"));
        }
        Ok(clients)
    }

    async fn wait_for_last_responses(&self) -> Result<(), String> {
        let counters = &self.counters;
        counters.stop.set(true);
        if !wait_until(|| counters.ended() == counters.asked.get()).await {
            let (asked, ended) = (counters.asked.get(), counters.ended());
            return Err(format!("of {asked} statements only {ended} were answered"));
        }
        Ok(())
    }

    /// The daemon's metrics have to agree with the stand-ins. It updates them at intervals.
    async fn compare_with_metrics(&self, measured: &mut Measured) -> Result<(), String> {
        measured.begun = self.log.runs.borrow().len() as u64;
        for _ in 0..MAX_READS {
            measured.dispatches = self.metric("app.dispatches").await?;
            measured.targets = self.metric("app.targets").await?;
            if measured.dispatches == measured.begun && measured.targets == measured.engines {
                return Ok(());
            }
            pause(READ_PAUSE_MS).await;
        }
        Err(format!(
            "engines saw {} statements and are {}, the daemon says it sent {} and knows {}",
            measured.begun, measured.engines, measured.dispatches, measured.targets
        ))
    }

    /// What was counted since the window began.
    async fn measure_window(
        &self,
        measured: &mut Measured,
        from: &CounterReading,
        busy_connections: u64,
    ) -> Result<(), String> {
        let to = self.read_counters()?;
        let seconds = to.at.duration_since(from.at).as_secs_f64();
        let per_s = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        measured.seconds = seconds;
        measured.rss_kib = to.usage.rss_kib;
        measured.anon_kib = to.usage.anon_kib;
        measured.cpu_us_per_s = per_s(from.usage.cpu_ns, to.usage.cpu_ns) / 1e3;
        measured.cpu_ticks = to.usage.cpu_ticks - from.usage.cpu_ticks;
        measured.switches_per_s = per_s(from.usage.switches, to.usage.switches);
        measured.asked_per_s = per_s(from.asked, to.asked);
        measured.served = to.served - from.served;
        measured.refused = to.refused - from.refused;
        measured.failed = to.failed - from.failed;
        measured.calls_per_s = per_s(from.calls, to.calls);
        measured.probes_per_s = per_s(from.probes, to.probes);
        measured.engines_used = self.engines_used();
        measured.client_connections = measured.clients + busy_connections;
        check_statement_rate(measured)?;
        self.measure_connections(measured).await
    }

    /// Descriptors and connections, once they add up: the two ends of a connection that is just
    /// opened or closed change at different instants.
    async fn measure_connections(&self, measured: &mut Measured) -> Result<(), String> {
        let connects = |engine: &Engine| engine.accepted_connections() as u64;
        for _ in 0..MAX_READS {
            measured.engine_connections = self.engine_connections();
            measured.connects = self.engines.iter().map(connects).sum();
            let reached = self.engines.iter().filter(|engine| connects(engine) > 0);
            measured.engines_reached = reached.count() as u64;
            measured.descriptors = self.usage()?.descriptors;
            let stand_ins = proc::usage(std::process::id()).map_err(|error| error.to_string())?;
            let ends = measured.engines + measured.client_connections + measured.engine_connections;
            measured.stand_ins_rss_kib = stand_ins.rss_kib;
            measured.stand_ins_descriptors = stand_ins.descriptors.saturating_sub(ends);
            let expected = measured.fixed_descriptors
                + measured.client_connections
                + measured.engine_connections;
            if measured.descriptors == expected {
                return Ok(());
            }
            pause(SHORT_READ_PAUSE_MS).await;
        }
        Err(format!(
            "the daemon has {} descriptors, and {} of its own, {} clients and {} connections to engines",
            measured.descriptors,
            measured.fixed_descriptors,
            measured.client_connections,
            measured.engine_connections
        ))
    }

    /// Announces that half of the engines drain, and then that they are ready again, one half and the
    /// other in turns. Returns how long after an announcement one of them still received a statement,
    /// at worst, in microseconds; `None` if no statement was sent meanwhile.
    async fn measure_list_changes(&self) -> Option<u64> {
        let halves = self.list.split_at(self.list.len() / 2);
        let mut worst = None;
        for change in 0..LIST_CHANGES {
            let half = if change % 2 == 0 { halves.0 } else { halves.1 };
            let mut draining = half.to_vec();
            draining
                .iter_mut()
                .for_each(|l| l.endpoint.readiness = Readiness::Draining);
            let names: BTreeSet<String> = half
                .iter()
                .map(|l| engine_name(l.endpoint.id.0 - 1))
                .collect();
            let runs_before = self.log.runs.borrow().len();
            let announced_at = clock::read();
            self.coordinator.send_changes(&draining);
            pause(LIST_CHANGE_PAUSE_MS).await;
            for run in &self.log.runs.borrow()[runs_before..] {
                let late_us = if names.contains(&run.engine) {
                    run.started_at.saturating_sub(announced_at)
                } else {
                    0
                };
                worst = worst.max(Some(late_us));
            }
            self.coordinator.send_changes(half);
            pause(LIST_CHANGE_PAUSE_MS).await;
        }
        worst
    }

    /// Processor time for one full list in microseconds: that of several, less that of a quiet period
    /// of the same length.
    async fn measure_full_lists(&self, fixed_descriptors: u64) -> Result<f64, String> {
        self.wait_for_disconnects(fixed_descriptors).await?;
        self.daemon.report();
        let lists_received = || self.daemon.counter("lists");
        if !wait_until(|| lists_received().is_some()).await {
            return Err("the daemon does not print its counters".into());
        }
        let received_before = lists_received().unwrap_or(0);
        let reports_before = self.daemon.reports();
        pause(FULL_LIST_PAUSE_MS).await;
        let start = self.usage()?;
        pause(FULL_LISTS * FULL_LIST_PAUSE_MS).await;
        let quiet = self.usage()?;
        for _ in 0..FULL_LISTS {
            self.coordinator.send_full_list(&self.list);
            pause(FULL_LIST_PAUSE_MS).await;
        }
        let end = self.usage()?;
        self.daemon.report();
        wait_until(|| self.daemon.reports() > reports_before).await;
        let received = lists_received().unwrap_or(0) - received_before;
        if received != FULL_LISTS {
            return Err(format!(
                "of {FULL_LISTS} whole lists the daemon took {received}"
            ));
        }
        let quiet_ns = quiet.cpu_ns - start.cpu_ns;
        let lists_ns = (end.cpu_ns - quiet.cpu_ns).saturating_sub(quiet_ns);
        Ok(lists_ns as f64 / 1e3 / FULL_LISTS as f64)
    }

    /// Waits until the daemon has closed the connections of all clients.
    async fn wait_for_disconnects(&self, fixed_descriptors: u64) -> Result<(), String> {
        let only_engines = || {
            let most = fixed_descriptors + self.engine_connections();
            self.usage().is_ok_and(|usage| usage.descriptors <= most)
        };
        if wait_until(only_engines).await {
            Ok(())
        } else {
            Err("the daemon does not see that clients have gone".into())
        }
    }
}

/// The stand-in clients have to keep up with the planned rate. One statement may be missing at the
/// window's edge.
fn check_statement_rate(measured: &Measured) -> Result<(), String> {
    let planned = (measured.rate * measured.seconds).max(2.0);
    let least = MIN_STATEMENT_PART * measured.rate * (1.0 - 1.0 / planned);
    if measured.asked_per_s < least {
        return Err(format!(
            "the stand-in clients asked only {:.1} statements a second",
            measured.asked_per_s
        ));
    }
    Ok(())
}
