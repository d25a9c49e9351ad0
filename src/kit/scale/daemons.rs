//! One point: a real daemon between stand-ins, and what it used.
use super::load::{self, BUSY, Tally};
use super::proc::{self, Usage};
use super::{Options, Point, Progress};
use crate::interface::Readiness;
use crate::kit::coordinator::{Coordinator, known};
use crate::kit::daemon::{self, Daemon, KINDS, ZONES};
use crate::kit::engines::Engine;
use crate::kit::{Book, Executor, clients, eventually, pause};
use crate::net::list::{Listed, listed};
use async_executor::LocalExecutor;
use async_io::block_on;
use futures_lite::future::or;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Whole lists told one after the other to measure one, and the time for each, in milliseconds.
const LISTS: u64 = 8;
const LIST_MS: u64 = 100;
/// Statements a second that all managers together may have of the tenants: enough for the whole load.
const QUOTA_PER_S: f64 = 350_000.0;
/// After half of the engines began to drain, statements are looked at for so long.
const CHANGE_MS: u64 = 500;
/// The daemon and the stand-ins are looked after this often, and a word is said of the run every second.
const LOOK_MS: u64 = 50;
const LOOKS_A_WORD: u64 = 20;

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
    /// From the word that half of the engines drain to the last statement that one of them was sent, in microseconds;
    /// nothing without statements.
    pub change_us: Option<u64>,
    /// Statements that engines saw from the start to the end of the run.
    pub begun: u64,
    /// Statements that the daemon says it sent to them.
    pub dispatches: u64,
    /// Engines that it says it has in its list.
    pub targets: u64,
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

/// The descriptors that the daemon is told it may have: with half for clients and a quarter for engines, those of the
/// greatest point fit. The same for all points, lest it shows in what they need.
pub fn sockets(points: &[Point]) -> u64 {
    let each = points.iter().map(|p| (2 * (p.clients + BUSY) + 64).max(6 * p.engines + 64));
    each.max().unwrap_or(0).max(256)
}

/// Measures one point. Ends the daemon before it returns, also where something fails or `until` comes first, which
/// tells why.
pub fn measure(
    point: &Point,
    options: &Options,
    sockets: u64,
    until: impl Future<Output = String>,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let ended = async { Err(until.await) };
    block_on(executor.run(or(ended, one(&executor, point, options, sockets, progress))))
}

async fn one(
    executor: &Executor,
    point: &Point,
    options: &Options,
    sockets: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    let book = Book::default();
    let name = |i: u64| format!("e{i}");
    let engines: Vec<Engine> =
        (0..point.engines).map(|i| Engine::start(executor, &name(i), false, book.clone())).collect();
    let coordinator = Coordinator::start(executor);
    let place = |i: usize| ((i % ZONES.len()) as u16, (i / ZONES.len() % KINDS.len()) as u16, 0);
    let entry = |(i, e): (usize, &Engine)| listed(i as u32 + 1, e.addr, Readiness::Ready, place(i), 1.0, 0);
    let list: Vec<Listed> = engines.iter().enumerate().map(entry).collect();
    let known = known(&list, &ZONES, &KINDS);
    let settings = settings(options.managers);
    let daemon =
        Daemon::start(&options.daemon, coordinator.addr, &known, None, sockets as usize, true, settings)
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

/// A daemon with all that stands around it.
struct Site<'a> {
    executor: &'a Executor,
    point: &'a Point,
    options: &'a Options,
    book: Book,
    engines: Vec<Engine>,
    coordinator: Coordinator,
    list: Vec<Listed>,
    daemon: &'a Daemon,
    tally: Rc<Tally>,
    doing: Cell<&'static str>,
}

/// What was counted up to an instant.
struct Counts {
    at: Instant,
    usage: Usage,
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
    calls: u64,
    probes: u64,
}

impl Site<'_> {
    /// Comes to an end only when the daemon or a stand-in fails.
    async fn watch(&self, progress: &mut dyn FnMut(&Progress)) -> Result<Measured, String> {
        for look in 0.. {
            if look % LOOKS_A_WORD == 0 {
                progress(&Progress { pid: self.daemon.pid(), doing: self.doing.get() });
            }
            if !proc::runs(self.daemon.pid()) {
                return Err("the daemon ended by itself".into());
            }
            if let Some(fault) = self.tally.fault.borrow().clone() {
                return Err(fault);
            }
            if !self.engines.iter().all(Engine::serves) {
                return Err("a stand-in engine takes no connections any more".into());
            }
            pause(LOOK_MS).await;
        }
        Err("nobody looks after the run any more".into())
    }

    fn usage(&self) -> Result<Usage, String> {
        proc::usage(self.daemon.pid()).map_err(|e| format!("what the daemon uses can't be read: {e}"))
    }

    fn engine_connections(&self) -> u64 {
        self.engines.iter().map(|e| e.open() as u64).sum()
    }

    fn counts(&self) -> Result<Counts, String> {
        let tally = &self.tally;
        Ok(Counts {
            at: Instant::now(),
            usage: self.usage()?,
            asked: tally.asked.get(),
            served: tally.served.get(),
            refused: tally.refused.get(),
            failed: tally.failed.get(),
            calls: tally.calls.get(),
            probes: self.book.probes.borrow().len() as u64,
        })
    }

    /// Descriptors that are neither clients' nor engines', once that is the same at three looks.
    async fn fixed_descriptors(&self) -> Result<u64, String> {
        let mut seen = Vec::new();
        for _ in 0..100 {
            seen.push(self.usage()?.descriptors.checked_sub(self.engine_connections()));
            if let [.., Some(a), Some(b), Some(c)] = seen[..]
                && a == b
                && b == c
            {
                return Ok(c);
            }
            pause(50).await;
        }
        Err("the daemon's descriptors do not come to rest".into())
    }

    /// One figure of the second address.
    async fn figure(&self, name: &str) -> Result<u64, String> {
        let console = self.daemon.console.ok_or("no second address")?;
        let said = clients::call(console, "GET", "/metrics").await;
        let (_, text) =
            said.filter(|(status, _)| *status == 200).ok_or("the second address does not answer")?;
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
        let value = line.and_then(|l| l.split('|').next()?.parse().ok());
        value.ok_or_else(|| format!("the second address does not tell {name}"))
    }

    async fn run(&self) -> Result<Measured, String> {
        let (point, options) = (self.point, self.options);
        let mut m = Measured {
            engines: point.engines,
            clients: point.clients,
            rate: point.rate,
            managers: options.managers,
            ..Measured::default()
        };
        let ready = self.usage()?;
        (m.start_cpu_us, m.start_rss_kib) = (ready.cpu_ns as f64 / 1e3, ready.rss_kib);
        m.fixed_descriptors = self.fixed_descriptors().await?;

        self.doing.set("connecting clients");
        let listen = self.daemon.listen;
        let idle = load::idle(self.executor, listen, point.clients, &self.tally).await;
        if !eventually(|| self.tally.answered.get() == point.clients).await {
            return Err(format!("only {} clients were answered", self.tally.answered.get()));
        }
        let busy = load::busy(self.executor, listen, point.rate, &self.tally);
        self.doing.set("settling");
        pause(options.settle.as_millis() as u64).await;

        self.doing.set("the window");
        let from = self.counts()?;
        pause(options.window.as_millis() as u64).await;
        self.window(&mut m, &from, busy.len() as u64).await?;

        if point.rate > 0.0 && point.engines > 1 {
            self.doing.set("a change of the list");
            m.change_us = Some(self.change().await?);
        }
        self.doing.set("the last answers");
        self.tally.stop.set(true);
        if !eventually(|| self.tally.ended() == self.tally.asked.get()).await {
            return Err(format!(
                "of {} statements only {} were answered",
                self.tally.asked.get(),
                self.tally.ended()
            ));
        }
        self.doing.set("whole lists");
        drop((idle, busy));
        m.list_cpu_us = self.lists(m.fixed_descriptors).await?;

        self.doing.set("the daemon's own figures");
        m.begun = self.book.runs.borrow().len() as u64;
        // It puts its figures down now and then.
        for _ in 0..100 {
            (m.dispatches, m.targets) =
                (self.figure("app.dispatches").await?, self.figure("app.targets").await?);
            if (m.dispatches, m.targets) == (m.begun, m.engines) {
                return Ok(m);
            }
            pause(50).await;
        }
        Err(format!(
            "engines saw {} statements and are {}, the daemon says it sent {} and knows {}",
            m.begun, m.engines, m.dispatches, m.targets
        ))
    }

    /// What was counted since the window began; the descriptors have to add up.
    async fn window(&self, m: &mut Measured, from: &Counts, busy: u64) -> Result<(), String> {
        let to = self.counts()?;
        let seconds = to.at.duration_since(from.at).as_secs_f64();
        let per_s = |a: u64, b: u64| b.saturating_sub(a) as f64 / seconds;
        m.seconds = seconds;
        (m.rss_kib, m.anon_kib) = (to.usage.rss_kib, to.usage.anon_kib);
        m.cpu_us_per_s = per_s(from.usage.cpu_ns, to.usage.cpu_ns) / 1e3;
        m.cpu_ticks = to.usage.cpu_ticks - from.usage.cpu_ticks;
        m.switches_per_s = per_s(from.usage.switches, to.usage.switches);
        m.asked_per_s = per_s(from.asked, to.asked);
        m.served = to.served - from.served;
        m.refused = to.refused - from.refused;
        m.failed = to.failed - from.failed;
        m.calls_per_s = per_s(from.calls, to.calls);
        m.probes_per_s = per_s(from.probes, to.probes);
        let connects = |e: &Engine| e.connects() as u64;
        m.connects = self.engines.iter().map(connects).sum();
        m.engines_reached = self.engines.iter().filter(|e| connects(e) > 0).count() as u64;
        let runs = self.book.runs.borrow();
        m.engines_used = runs.iter().map(|r| r.engine.as_str()).collect::<BTreeSet<_>>().len() as u64;
        drop(runs);
        if m.asked_per_s < 0.9 * m.rate * (1.0 - 1.0 / (m.rate * seconds).max(2.0)) {
            return Err(format!("the stand-in clients asked only {:.1} statements a second", m.asked_per_s));
        }
        // A connection that is just made or ended is seen at the two ends at two instants.
        m.client_connections = m.clients + busy;
        for _ in 0..100 {
            m.engine_connections = self.engine_connections();
            m.descriptors = self.usage()?.descriptors;
            if m.descriptors == m.fixed_descriptors + m.client_connections + m.engine_connections {
                return Ok(());
            }
            pause(10).await;
        }
        Err(format!(
            "the daemon has {} descriptors, and {} of its own, {} clients and {} connections to engines",
            m.descriptors, m.fixed_descriptors, m.client_connections, m.engine_connections
        ))
    }

    /// Tells that half of the engines drain, and later that they don't; when one of them was last sent something.
    async fn change(&self) -> Result<u64, String> {
        let half = &self.list[..self.list.len() / 2];
        let mut draining = half.to_vec();
        draining.iter_mut().for_each(|l| l.entry.readiness = Readiness::Draining);
        let names: BTreeSet<String> = (0..half.len()).map(|i| format!("e{i}")).collect();
        let (before, told) = (self.book.runs.borrow().len(), crate::clock::turn());
        self.coordinator.tell(false, &draining);
        pause(CHANGE_MS).await;
        let late = |from: u64| from.saturating_sub(told);
        let runs = self.book.runs.borrow();
        let last = runs[before..].iter().filter(|r| names.contains(&r.engine)).map(|r| late(r.from)).max();
        let last = last.unwrap_or(0);
        drop(runs);
        self.coordinator.tell(false, half);
        pause(CHANGE_MS).await;
        Ok(last)
    }

    /// Processor time for one whole list: that of some, less that of a quiet time as long.
    async fn lists(&self, fixed: u64) -> Result<f64, String> {
        // The clients have gone; the daemon sees it.
        if !eventually(|| self.usage().is_ok_and(|u| u.descriptors <= fixed + self.engine_connections()))
            .await
        {
            return Err("the daemon does not see that clients have gone".into());
        }
        self.daemon.report();
        let lists = || self.daemon.counter("lists");
        if !eventually(|| lists().is_some()).await {
            return Err("the daemon does not print its counters".into());
        }
        let (told, reports) = (lists().unwrap_or(0), self.daemon.reports());
        pause(LIST_MS).await;
        let start = self.usage()?;
        pause(LISTS * LIST_MS).await;
        let quiet = self.usage()?;
        for _ in 0..LISTS {
            self.coordinator.tell(true, &self.list);
            pause(LIST_MS).await;
        }
        let end = self.usage()?;
        self.daemon.report();
        eventually(|| self.daemon.reports() > reports).await;
        let taken = lists().unwrap_or(0) - told;
        if taken != LISTS {
            return Err(format!("of {LISTS} whole lists the daemon took {taken}"));
        }
        let (quiet, all) = (quiet.cpu_ns - start.cpu_ns, end.cpu_ns - quiet.cpu_ns);
        Ok(all.saturating_sub(quiet) as f64 / 1e3 / LISTS as f64)
    }
}

/// The time that a point takes at least.
pub fn takes(options: &Options) -> Duration {
    options.settle + options.window + Duration::from_millis(2 * LISTS * LIST_MS)
}
