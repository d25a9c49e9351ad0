//! A fleet of hollow nodes: their threads, the commands to them, and the waits for what they observe.
//! A thread that ends early, a signal and the end of the time limit are errors of the run.
use super::hollow_batch::{Batch, BatchCommand};
use super::hollow_node::{NodeReading, node_address};
use super::observations::{Condition, ConditionProgress, Observations};
use super::proc;
use crate::testkit::daemon::Folder;
use async_channel::{Sender, unbounded};
use std::any::Any;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use thiserror::Error;

pub use super::plan::{Plan, PlanError};

/// Interval at which the driver checks what it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two lines of progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes that all others contact first.
const SEED_NODES: usize = 3;

/// Why a run fails.
#[derive(Debug, Error)]
pub enum RunError {
    /// The plan can't be run.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A node's socket can't be bound.
    #[error("can't take the managers' sockets: {0}")]
    Bind(#[source] io::Error),
    /// The folder of the voters' votes can't be created.
    #[error("can't make a folder for the votes: {0}")]
    Folder(#[source] io::Error),
    /// A thread can't be started.
    #[error("a thread: {0}")]
    Spawn(#[source] io::Error),
    /// A thread of nodes ended before the run did.
    #[error("a thread of managers ended before the run did: {reason}")]
    ThreadEnded {
        /// The panic's message.
        reason: String,
    },
    /// The process was asked to stop.
    #[error("ended by a signal")]
    Signal,
    /// The run did not finish within its limit.
    #[error("not done within the limit of {} s", limit.as_secs())]
    TimeLimit {
        /// The limit.
        limit: Duration,
    },
}

/// A thread with its batch of nodes.
struct BatchThread {
    commands: Sender<BatchCommand>,
    handle: JoinHandle<()>,
    nodes: Vec<usize>,
}

/// A fleet that runs.
pub struct HollowFleet {
    /// The plan.
    pub plan: Arc<Plan>,
    /// What the nodes observed.
    pub observations: Arc<Observations>,
    /// The nodes' addresses, by their numbers.
    pub addresses: Vec<SocketAddr>,
    /// Set by a signal to end the run.
    stop_requested: Arc<AtomicBool>,
    threads: Vec<BatchThread>,
    /// Why a thread ended early, which makes every later step fail.
    ended_thread: Option<String>,
    partitioned: Arc<AtomicBool>,
    /// The number of the present condition.
    condition: u64,
    deadline: Instant,
    report_at: Instant,
    /// The voters' votes; deleted when the fleet is dropped.
    votes: Folder,
}

impl HollowFleet {
    /// Binds the nodes' sockets and starts the threads. The nodes start with
    /// [`start_nodes`](Self::start_nodes).
    pub fn new(plan: Plan, stop_requested: Arc<AtomicBool>) -> Result<HollowFleet, RunError> {
        plan.check()?;
        let sockets = bind_sockets(plan.managers).map_err(RunError::Bind)?;
        let addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()
            .map_err(RunError::Bind)?;
        let now = Instant::now();
        let mut fleet = HollowFleet {
            observations: Arc::new(Observations::new(plan.managers, plan.threads)),
            addresses,
            stop_requested,
            threads: Vec::new(),
            ended_thread: None,
            partitioned: Arc::new(AtomicBool::new(false)),
            condition: 0,
            deadline: now + plan.limit,
            report_at: now,
            votes: Folder::new().map_err(RunError::Folder)?,
            plan: Arc::new(plan),
        };
        fleet.start_threads(sockets)?;
        Ok(fleet)
    }

    /// Distributes the nodes over the threads in turns, and starts these.
    fn start_threads(&mut self, sockets: Vec<UdpSocket>) -> Result<(), RunError> {
        let mut batches: Vec<Vec<(usize, UdpSocket)>> = Vec::new();
        batches.resize_with(self.plan.threads, Vec::new);
        for (node, socket) in sockets.into_iter().enumerate() {
            batches[node % self.plan.threads].push((node, socket));
        }
        let seed_nodes = self.addresses.iter().take(SEED_NODES);
        let seeds: Vec<SocketAddr> = seed_nodes.chain(&self.plan.greet).copied().collect();
        for (thread, sockets) in batches.into_iter().enumerate() {
            let (commands, mailbox) = unbounded();
            let nodes = sockets.iter().map(|(node, _)| *node).collect();
            let batch = Batch {
                thread,
                plan: self.plan.clone(),
                sockets,
                seeds: seeds.clone(),
                folder: self.votes.path(""),
                partitioned: self.partitioned.clone(),
                observations: self.observations.clone(),
                commands: mailbox,
            };
            let handle = std::thread::Builder::new()
                .name(format!("hollow-{thread}"))
                .spawn(move || batch.run())
                .map_err(RunError::Spawn)?;
            self.threads.push(BatchThread {
                commands,
                handle,
                nodes,
            });
        }
        Ok(())
    }

    /// Fails once the run can't give valid figures any more.
    pub fn check(&mut self) -> Result<(), RunError> {
        let ended = self
            .threads
            .iter()
            .position(|thread| thread.handle.is_finished());
        if let Some(index) = ended {
            let result = self.threads.swap_remove(index).handle.join();
            self.ended_thread = Some(match result {
                Ok(()) => "without a panic".to_owned(),
                Err(panic) => panic_message(&*panic),
            });
        }
        if let Some(reason) = self.ended_thread.clone() {
            return Err(RunError::ThreadEnded { reason });
        }
        if self.stop_requested.load(Ordering::Relaxed) {
            return Err(RunError::Signal);
        }
        if Instant::now() >= self.deadline {
            return Err(RunError::TimeLimit {
                limit: self.plan.limit,
            });
        }
        Ok(())
    }

    /// Writes a line of progress, at most one a second.
    fn report_progress(&mut self, step: &str, progress: Option<ConditionProgress>) {
        if !self.plan.progress || Instant::now() < self.report_at {
            return;
        }
        self.report_at = Instant::now() + REPORT_INTERVAL;
        let seconds = self.observations.now_ms() as f64 / 1e3;
        let delay_ms = self.observations.max_wake_delay_us() as f64 / 1e3;
        let so_far = progress.map_or_else(String::new, |progress| {
            format!(", {} of {}", progress.met, progress.asked)
        });
        eprintln!("scale-fleet: {seconds:.0} s: {step}{so_far}, latest wake {delay_ms:.1} ms late");
    }

    /// Lets time pass.
    pub fn pass_time(&mut self, step: &str, duration: Duration) -> Result<(), RunError> {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.check()?;
            self.report_progress(step, None);
            let remaining = end.saturating_duration_since(Instant::now());
            std::thread::sleep(POLL_INTERVAL.min(remaining));
        }
        Ok(())
    }

    /// Waits until `is_met`; `false` if the plan's patience ended first.
    pub fn wait_until(
        &mut self,
        step: &str,
        mut is_met: impl FnMut(&HollowFleet) -> bool,
    ) -> Result<bool, RunError> {
        let end = Instant::now() + self.plan.patience;
        while !is_met(self) {
            if Instant::now() >= end {
                return Ok(false);
            }
            self.check()?;
            self.report_progress(step, None);
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(true)
    }

    /// All nodes look for this condition from now on.
    pub fn watch(&mut self, condition: Condition) {
        self.condition += 1;
        self.command_all(|| BatchCommand::Watch {
            condition: condition.clone(),
            number: self.condition,
        });
    }

    /// How far the present condition is met.
    pub fn progress(&self, nodes: &[usize]) -> ConditionProgress {
        self.observations.progress(self.condition, nodes)
    }

    /// Waits until the present condition is met at all these nodes at the same time, or the plan's
    /// patience has ended.
    pub fn wait_for_condition(
        &mut self,
        step: &str,
        nodes: &[usize],
    ) -> Result<ConditionProgress, RunError> {
        let end = Instant::now() + self.plan.patience;
        loop {
            let progress = self.progress(nodes);
            if progress.is_complete() || Instant::now() >= end {
                return Ok(progress);
            }
            self.check()?;
            self.report_progress(step, Some(progress));
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The nodes' numbers without these.
    pub fn all_except(&self, excluded: &[usize]) -> Vec<usize> {
        (0..self.plan.managers)
            .filter(|node| !excluded.contains(node))
            .collect()
    }

    /// A thread that has ended is found by [`check`](Self::check).
    fn command_all(&self, command: impl Fn() -> BatchCommand) {
        for thread in &self.threads {
            let _ = thread.commands.try_send(command());
        }
    }

    fn command(&self, node: usize, command: BatchCommand) {
        let thread = self
            .threads
            .iter()
            .find(|thread| thread.nodes.contains(&node));
        if let Some(thread) = thread {
            let _ = thread.commands.try_send(command);
        }
    }

    /// Starts all nodes.
    pub fn start_nodes(&self) {
        self.command_all(|| BatchCommand::Start);
    }

    /// Suspends a node: its socket is not read and it sends nothing.
    pub fn suspend(&self, node: usize) {
        self.command(node, BatchCommand::Suspend(node));
    }

    /// Restarts a node.
    pub fn restart(&self, node: usize) {
        self.command(node, BatchCommand::Restart(node));
    }

    /// All nodes act on settings with this hash.
    pub fn change_settings(&self, hash: u64) {
        self.command_all(|| BatchCommand::ChangeSettings(hash));
    }

    /// Partitions a third of the nodes from the others, or heals the partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }

    /// Makes a thread panic: to test that a run in which a thread panics fails.
    pub fn panic_thread(&self, thread: usize) {
        let commands = &self.threads[thread].commands;
        let _ = commands.try_send(BatchCommand::Panic);
    }

    /// Commands all threads, and collects their replies.
    fn collect_replies<T>(
        &mut self,
        command: impl Fn(mpsc::Sender<T>) -> BatchCommand,
    ) -> Result<Vec<T>, RunError> {
        let (sender, receiver) = mpsc::channel();
        self.command_all(|| command(sender.clone()));
        drop(sender);
        let mut replies = Vec::new();
        while replies.len() < self.threads.len() {
            self.check()?;
            match receiver.recv_timeout(POLL_INTERVAL) {
                Ok(reply) => replies.push(reply),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => std::thread::sleep(POLL_INTERVAL),
            }
        }
        Ok(replies)
    }

    /// The figures of all nodes, by their numbers.
    pub fn read(&mut self) -> Result<Vec<NodeReading>, RunError> {
        let batches = self.collect_replies(BatchCommand::Read)?;
        let mut readings: Vec<NodeReading> = batches.into_iter().flatten().collect();
        readings.sort_unstable_by_key(|reading| reading.node);
        Ok(readings)
    }

    /// Suspends all nodes, and reads their figures for the last time, with what their sockets still
    /// hold.
    pub fn suspend_all_and_read(&mut self) -> Result<Vec<NodeReading>, RunError> {
        self.collect_replies(BatchCommand::SuspendAll)?;
        self.read()
    }

    /// Datagrams that the nodes' sockets dropped because their buffers were full.
    pub fn dropped_datagrams(&self) -> u64 {
        proc::dropped_datagrams(&self.addresses)
    }
}

impl Drop for HollowFleet {
    fn drop(&mut self) {
        for thread in &self.threads {
            thread.commands.close();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.handle.join();
        }
    }
}

fn bind_sockets(nodes: usize) -> io::Result<Vec<UdpSocket>> {
    let bind = |node| {
        let socket = UdpSocket::bind(node_address(node))?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    };
    (0..nodes).map(bind).collect()
}

/// The message of a panic, if it has one.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(message) = panic.downcast_ref::<String>() {
        message.clone()
    } else if let Some(message) = panic.downcast_ref::<&str>() {
        (*message).to_owned()
    } else {
        String::new()
    }
}
