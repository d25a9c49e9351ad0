//! A daemon with all that stands around it, and the steps of one point.
use super::daemons::{Measured, engine_name};
use super::load::{self, Tally};
use super::proc::{self, Usage};
use super::{Options, Point, Progress};
use crate::clock;
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::Readiness;
use crate::testkit::coordinator::Coordinator;
use crate::testkit::daemon::Daemon;
use crate::testkit::engines::Engine;
use crate::testkit::{ExecutionLog, Executor, clients, eventually, pause};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

/// Changes told to measure one, and the time before and after each, in milliseconds.
const CHANGES: u64 = 4;
const CHANGE_MS: u64 = 150;
/// The daemon and the stand-ins are looked after this often, and a word is said of the run every
/// second.
const LOOK_MS: u64 = 50;
const LOOKS_A_WORD: u64 = 20;
/// Whole lists told one after the other to measure one, and the time for each, in milliseconds.
const LISTS: u64 = 8;
const LIST_MS: u64 = 60;
/// A daemon with all that stands around it.
pub(super) struct Site<'a> {
    pub(super) executor: &'a Executor,
    pub(super) point: &'a Point,
    pub(super) options: &'a Options,
    pub(super) book: ExecutionLog,
    pub(super) engines: Vec<Engine>,
    pub(super) coordinator: Coordinator,
    pub(super) list: Vec<ListedEndpoint>,
    pub(super) daemon: &'a Daemon,
    pub(super) tally: Rc<Tally>,
    pub(super) doing: Cell<&'static str>,
}

impl Drop for Site<'_> {
    fn drop(&mut self) {
        self.coordinator.end();
    }
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
    pub(super) async fn watch(
        &self,
        progress: &mut dyn FnMut(&Progress),
    ) -> Result<Measured, String> {
        for look in 0.. {
            if look % LOOKS_A_WORD == 0 {
                progress(&Progress {
                    pid: self.daemon.pid(),
                    doing: self.doing.get(),
                });
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
        proc::usage(self.daemon.pid())
            .map_err(|e| format!("what the daemon uses can't be read: {e}"))
    }

    fn engine_connections(&self) -> u64 {
        self.engines.iter().map(|e| e.open() as u64).sum()
    }

    fn engines_used(&self) -> u64 {
        let runs = self.book.runs.borrow();
        runs.iter()
            .map(|r| r.engine.as_str())
            .collect::<BTreeSet<_>>()
            .len() as u64
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
            seen.push(
                self.usage()?
                    .descriptors
                    .checked_sub(self.engine_connections()),
            );
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
        let (_, text) = said
            .filter(|(status, _)| *status == 200)
            .ok_or("the second address does not answer")?;
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
        let value = line.and_then(|l| l.split('|').next()?.parse().ok());
        value.ok_or_else(|| format!("the second address does not tell {name}"))
    }

    pub(super) async fn run(&self) -> Result<Measured, String> {
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
            return Err(format!(
                "only {} clients were answered",
                self.tally.answered.get()
            ));
        }
        let busy = load::busy(self.executor, listen, point.rate, &self.tally);
        self.doing.set("settling");
        pause(options.settle(point).as_millis() as u64).await;

        self.doing.set("the window");
        let from = self.counts()?;
        pause(options.window.as_millis() as u64).await;
        self.window(&mut m, &from, busy.len() as u64).await?;

        if point.rate > 0.0 && point.engines > 1 {
            self.doing.set("a change of the list");
            m.change_us = self.change().await;
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
            (m.dispatches, m.targets) = (
                self.figure("app.dispatches").await?,
                self.figure("app.targets").await?,
            );
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
        m.engines_used = self.engines_used();
        if m.asked_per_s < 0.9 * m.rate * (1.0 - 1.0 / (m.rate * seconds).max(2.0)) {
            return Err(format!(
                "the stand-in clients asked only {:.1} statements a second",
                m.asked_per_s
            ));
        }
        // A connection that is just made or ended is seen at the two ends at two instants.
        m.client_connections = m.clients + busy;
        let connects = |e: &Engine| e.connects() as u64;
        for _ in 0..100 {
            m.engine_connections = self.engine_connections();
            m.connects = self.engines.iter().map(connects).sum();
            m.engines_reached = self.engines.iter().filter(|e| connects(e) > 0).count() as u64;
            m.descriptors = self.usage()?.descriptors;
            let stand_ins = proc::usage(std::process::id()).map_err(|e| e.to_string())?;
            let peers = m.engines + m.client_connections + m.engine_connections;
            (m.stand_ins_rss_kib, m.stand_ins_descriptors) = (
                stand_ins.rss_kib,
                stand_ins.descriptors.saturating_sub(peers),
            );
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

    /// Tells that half of the engines drain, and then that they don't, one half and the other in
    /// turns; how long after the word one of them was still sent something, at worst. Nothing if no
    /// statement came meanwhile.
    async fn change(&self) -> Option<u64> {
        let halves = self.list.split_at(self.list.len() / 2);
        let mut worst = None;
        for change in 0..CHANGES {
            let half = if change % 2 == 0 { halves.0 } else { halves.1 };
            let mut draining = half.to_vec();
            draining
                .iter_mut()
                .for_each(|l| l.endpoint.readiness = Readiness::Draining);
            let names: BTreeSet<String> = half
                .iter()
                .map(|l| engine_name(l.endpoint.id.0 - 1))
                .collect();
            let (before, told) = (self.book.runs.borrow().len(), clock::turn());
            self.coordinator.tell(false, &draining);
            pause(CHANGE_MS).await;
            for run in &self.book.runs.borrow()[before..] {
                let late = if names.contains(&run.engine) {
                    run.from.saturating_sub(told)
                } else {
                    0
                };
                worst = worst.max(Some(late));
            }
            self.coordinator.tell(false, half);
            pause(CHANGE_MS).await;
        }
        worst
    }

    /// Processor time for one whole list: that of some, less that of a quiet time as long.
    async fn lists(&self, fixed: u64) -> Result<f64, String> {
        // The clients have gone; the daemon sees it.
        if !eventually(|| {
            self.usage()
                .is_ok_and(|u| u.descriptors <= fixed + self.engine_connections())
        })
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
