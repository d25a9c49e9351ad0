//! A daemon between stand-in engines, clients and a coordinator, and the steps of one measurement.
use super::daemons::{Measurement, engine_name};
use super::load::{self, ClientCounters};
use super::proc::{self, Usage};
use super::{MeasurementPoint, Options, Progress};
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

/// Number of changes of the endpoint list with which the delay of a change is measured.
const LIST_CHANGES: u64 = 4;
/// Pause after each change, in milliseconds.
const LIST_CHANGE_PAUSE_MS: u64 = 150;
/// Number of full endpoint lists over which the cost of one is averaged.
const FULL_LISTS: u64 = 8;
/// Pause after each full list, in milliseconds.
const FULL_LIST_PAUSE_MS: u64 = 60;
/// Interval at which the daemon and the stand-ins are checked for failures, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 50;
/// Check intervals between two progress reports.
const INTERVALS_PER_REPORT: u64 = 20;
/// Maximum number of reads of a value until it settles.
const MAX_READS: usize = 100;
/// Pause between two reads of a value, in milliseconds.
const READ_PAUSE_MS: u64 = 50;
/// Pause between two reads of a value that settles within one or two rounds of the event loop, in
/// milliseconds.
const SHORT_READ_PAUSE_MS: u64 = 10;
/// Minimum fraction of the planned statements that the clients have to send.
const MIN_SENT_FRACTION: f64 = 0.9;

/// A daemon between its stand-ins.
pub(super) struct Testbed<'a> {
    pub(super) executor: &'a Executor,
    pub(super) point: &'a MeasurementPoint,
    pub(super) options: &'a Options,
    pub(super) log: ExecutionLog,
    pub(super) engines: Vec<Engine>,
    pub(super) coordinator: Coordinator,
    pub(super) list: Vec<ListedEndpoint>,
    pub(super) daemon: &'a Daemon,
    pub(super) counters: Rc<ClientCounters>,
    /// The current step, for progress reports and error messages.
    pub(super) step: Cell<&'static str>,
}

impl Drop for Testbed<'_> {
    fn drop(&mut self) {
        self.coordinator.shut_down();
    }
}

/// The daemon's resource use and the stand-ins' counters at one instant.
struct CounterReading {
    at: Instant,
    usage: Usage,
    sent: u64,
    completed: u64,
    rejected: u64,
    failed: u64,
    calls: u64,
    probes: u64,
}

impl Testbed<'_> {
    /// Reports progress until the daemon or a stand-in fails, then returns the failure.
    pub(super) async fn watch(
        &self,
        progress: &mut dyn FnMut(&Progress),
    ) -> Result<Measurement, String> {
        for interval in 0.. {
            if interval % INTERVALS_PER_REPORT == 0 {
                progress(&Progress {
                    pid: self.daemon.pid(),
                    step: self.step.get(),
                });
            }
            if !proc::is_running(self.daemon.pid()) {
                return Err("the daemon exited before the end of the measurement".into());
            }
            if let Some(failure) = self.counters.failure.borrow().clone() {
                return Err(failure);
            }
            if !self.engines.iter().all(Engine::is_serving) {
                return Err("a stand-in engine stopped accepting connections".into());
            }
            pause(WATCH_INTERVAL_MS).await;
        }
        Err("the checks of the measurement ended".into())
    }

    fn usage(&self) -> Result<Usage, String> {
        proc::usage(self.daemon.pid())
            .map_err(|e| format!("reading the daemon's resource use failed: {e}"))
    }

    fn engine_connections(&self) -> u64 {
        let open = |engine: &Engine| engine.open_connections() as u64;
        self.engines.iter().map(open).sum()
    }

    /// Returns the number of engines that received a statement.
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
            sent: counters.sent.get(),
            completed: counters.completed.get(),
            rejected: counters.rejected.get(),
            failed: counters.failed.get(),
            calls: counters.calls.get(),
            probes: self.log.probes.borrow().len() as u64,
        })
    }

    /// Returns the number of descriptors that are not connections of engines, read before any
    /// client connects, once three reads in a row agree.
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
        Err("the daemon's number of descriptors does not settle".into())
    }

    /// Reads a metric from the daemon's admin endpoint.
    async fn metric(&self, name: &str) -> Result<u64, String> {
        let admin_address = self
            .daemon
            .admin_addr
            .ok_or("the daemon has no admin endpoint")?;
        let response = clients::call_admin(admin_address, "GET", "/metrics").await;
        let (_, text) = response
            .filter(|(status, _)| *status == 200)
            .ok_or("the admin endpoint does not respond")?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))
            .and_then(|value| value.split('|').next()?.parse().ok())
            .ok_or_else(|| format!("the admin endpoint does not report {name}"))
    }

    /// Runs all steps of the measurement.
    pub(super) async fn run(&self) -> Result<Measurement, String> {
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

        self.step.set("measuring the window");
        let from = self.read_counters()?;
        pause(self.options.window.as_millis() as u64).await;
        let busy_connections = busy_clients.len() as u64;
        self.measure_window(&mut measured, &from, busy_connections)
            .await?;

        if self.point.rate > 0.0 && self.point.engines > 1 {
            self.step.set("changing the endpoint list");
            measured.change_us = self.measure_list_changes().await;
        }
        self.step.set("waiting for the last responses");
        self.wait_for_last_responses().await?;
        self.step.set("sending full endpoint lists");
        drop((idle_clients, busy_clients));
        measured.list_cpu_us = self.measure_full_lists(measured.fixed_descriptors).await?;

        self.step.set("comparing with the daemon's metrics");
        self.compare_with_metrics(&mut measured).await?;
        Ok(measured)
    }

    /// Measures the resources that the daemon used until it was ready.
    async fn measure_start(&self) -> Result<Measurement, String> {
        let ready = self.usage()?;
        Ok(Measurement {
            engines: self.point.engines,
            clients: self.point.clients,
            rate: self.point.rate,
            managers: self.options.managers,
            start_cpu_us: ready.cpu_ns as f64 / 1e3,
            start_rss_kib: ready.rss_kib,
            fixed_descriptors: self.fixed_descriptors().await?,
            ..Measurement::default()
        })
    }

    async fn connect_idle_clients(&self) -> Result<Vec<Task<()>>, String> {
        let count = self.point.clients;
        let address = self.daemon.listen;
        let clients = load::start_idle_clients(self.executor, address, count, &self.counters).await;
        if !wait_until(|| self.counters.ready_idle_clients.get() == count).await {
            let ready = self.counters.ready_idle_clients.get();
            return Err(format!("only {ready} idle clients received a response"));
        }
        Ok(clients)
    }

    async fn wait_for_last_responses(&self) -> Result<(), String> {
        let counters = &self.counters;
        counters.stop.set(true);
        if !wait_until(|| counters.responses() == counters.sent.get()).await {
            let (sent, responses) = (counters.sent.get(), counters.responses());
            return Err(format!(
                "only {responses} of {sent} statements received a response"
            ));
        }
        Ok(())
    }

    /// Waits until the daemon's metrics agree with the stand-ins' counts; the daemon updates its
    /// metrics at intervals.
    async fn compare_with_metrics(&self, measured: &mut Measurement) -> Result<(), String> {
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
            "the stand-ins count {} statements and {} engines, the daemon reports {} dispatches and {} engines",
            measured.begun, measured.engines, measured.dispatches, measured.targets
        ))
    }

    /// Measures the window that began at the reading `from`.
    async fn measure_window(
        &self,
        measured: &mut Measurement,
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
        measured.sent_per_s = per_s(from.sent, to.sent);
        measured.served = to.completed - from.completed;
        measured.refused = to.rejected - from.rejected;
        measured.failed = to.failed - from.failed;
        measured.calls_per_s = per_s(from.calls, to.calls);
        measured.probes_per_s = per_s(from.probes, to.probes);
        measured.engines_used = self.engines_used();
        measured.client_connections = measured.clients + busy_connections;
        check_statement_rate(measured)?;
        self.measure_connections(measured).await
    }

    /// Measures descriptors and connections, once they add up: the two ends of a connection are not
    /// opened or closed at the same instant.
    async fn measure_connections(&self, measured: &mut Measurement) -> Result<(), String> {
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
            "the daemon has {} descriptors, but {} of its own, {} connections of clients and {} to engines",
            measured.descriptors,
            measured.fixed_descriptors,
            measured.client_connections,
            measured.engine_connections
        ))
    }

    /// Announces that half of the engines drain, and then that they are ready again, alternating
    /// between the two halves. Returns the longest time after such an announcement at which a
    /// draining engine still received a statement, in microseconds; `None` if no statement was sent
    /// meanwhile.
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

    /// Returns the processor time for one full list in microseconds: that for several lists, less
    /// that of an idle period of the same length, divided by the number of lists.
    async fn measure_full_lists(&self, fixed_descriptors: u64) -> Result<f64, String> {
        self.wait_for_disconnects(fixed_descriptors).await?;
        self.daemon.request_counters();
        let lists_received = || self.daemon.counter("lists");
        if !wait_until(|| lists_received().is_some()).await {
            return Err("the daemon does not print its counters".into());
        }
        let received_before = lists_received().unwrap_or(0);
        let lines_before = self.daemon.counter_lines();
        pause(FULL_LIST_PAUSE_MS).await;
        let start = self.usage()?;
        pause(FULL_LISTS * FULL_LIST_PAUSE_MS).await;
        let idle_end = self.usage()?;
        for _ in 0..FULL_LISTS {
            self.coordinator.send_full_list(&self.list);
            pause(FULL_LIST_PAUSE_MS).await;
        }
        let end = self.usage()?;
        self.daemon.request_counters();
        wait_until(|| self.daemon.counter_lines() > lines_before).await;
        let received = lists_received().unwrap_or(0) - received_before;
        if received != FULL_LISTS {
            return Err(format!(
                "the daemon received {received} of {FULL_LISTS} full lists"
            ));
        }
        let idle_ns = idle_end.cpu_ns - start.cpu_ns;
        let lists_ns = (end.cpu_ns - idle_end.cpu_ns).saturating_sub(idle_ns);
        Ok(lists_ns as f64 / 1e3 / FULL_LISTS as f64)
    }

    /// Waits until the daemon has closed the connections of all clients.
    async fn wait_for_disconnects(&self, fixed_descriptors: u64) -> Result<(), String> {
        let only_engines = || {
            let expected = fixed_descriptors + self.engine_connections();
            self.usage()
                .is_ok_and(|usage| usage.descriptors <= expected)
        };
        if wait_until(only_engines).await {
            Ok(())
        } else {
            Err("the daemon does not close the connections of clients that disconnected".into())
        }
    }
}

/// Returns an error if the stand-in clients sent statements at less than the planned rate. One
/// statement may be missing at the end of the window.
fn check_statement_rate(measured: &Measurement) -> Result<(), String> {
    let planned = (measured.rate * measured.seconds).max(2.0);
    let min_rate = MIN_SENT_FRACTION * measured.rate * (1.0 - 1.0 / planned);
    if measured.sent_per_s < min_rate {
        return Err(format!(
            "the stand-in clients sent only {:.1} statements per second",
            measured.sent_per_s
        ));
    }
    Ok(())
}
