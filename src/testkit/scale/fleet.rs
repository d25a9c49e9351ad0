//! A fleet of hollow nodes: its threads, the commands to them, and the waits for the conditions
//! that the nodes observe. A thread that ends early, a signal and the time limit fail the run.
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

/// Interval at which the driving thread checks the condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two progress lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes that all nodes contact first.
const SEED_NODES: usize = 3;

/// Reason why a run fails.
#[derive(Debug, Error)]
pub enum RunError {
    /// The plan is invalid, or the machine lacks the capacity for it.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// Binding the nodes' sockets failed.
    #[error("binding the nodes' sockets failed: {0}")]
    Bind(#[source] io::Error),
    /// Creating the folder for the voters' stored votes failed.
    #[error("creating the folder for the votes failed: {0}")]
    Folder(#[source] io::Error),
    /// Starting a thread failed.
    #[error("starting a thread failed: {0}")]
    Spawn(#[source] io::Error),
    /// A thread of nodes ended before the run did.
    #[error("a thread of nodes ended before the run did: {reason}")]
    ThreadEnded {
        /// The message of the panic, or `without a panic`.
        reason: String,
    },
    /// The process received a signal to stop.
    #[error("ended by a signal")]
    Signal,
    /// The run did not finish within its limit.
    #[error("the run did not finish within the limit of {} s", limit.as_secs())]
    TimeLimit {
        /// The limit.
        limit: Duration,
    },
}

/// A thread that runs a batch of nodes.
struct BatchThread {
    commands: Sender<BatchCommand>,
    handle: JoinHandle<()>,
    nodes: Vec<usize>,
}

/// A running fleet.
pub struct HollowFleet {
    /// The plan.
    pub plan: Arc<Plan>,
    /// The observations of all nodes.
    pub observations: Arc<Observations>,
    /// The nodes' addresses, by their numbers.
    pub addresses: Vec<SocketAddr>,
    /// Set by a signal; ends the run.
    stop_requested: Arc<AtomicBool>,
    threads: Vec<BatchThread>,
    /// Reason why a thread ended early, with which every later step fails.
    ended_thread: Option<String>,
    partitioned: Arc<AtomicBool>,
    /// The number of the current condition.
    condition_number: u64,
    deadline: Instant,
    report_at: Instant,
    /// Folder of the voters' stored votes; deleted when the fleet is dropped.
    vote_folder: Folder,
}

impl HollowFleet {
    /// Binds the nodes' sockets and starts the threads; [`start_nodes`](Self::start_nodes) starts
    /// the nodes.
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
            condition_number: 0,
            deadline: now + plan.limit,
            report_at: now,
            vote_folder: Folder::new().map_err(RunError::Folder)?,
            plan: Arc::new(plan),
        };
        fleet.start_threads(sockets)?;
        Ok(fleet)
    }

    /// Distributes the nodes over the threads round-robin, and starts the threads.
    fn start_threads(&mut self, sockets: Vec<UdpSocket>) -> Result<(), RunError> {
        let mut batches: Vec<Vec<(usize, UdpSocket)>> = Vec::new();
        batches.resize_with(self.plan.threads, Vec::new);
        for (node, socket) in sockets.into_iter().enumerate() {
            batches[node % self.plan.threads].push((node, socket));
        }
        let seed_nodes = self.addresses.iter().take(SEED_NODES);
        let seeds: Vec<SocketAddr> = seed_nodes.chain(&self.plan.extra_seeds).copied().collect();
        for (thread, sockets) in batches.into_iter().enumerate() {
            let (commands, receiver) = unbounded();
            let nodes = sockets.iter().map(|(node, _)| *node).collect();
            let batch = Batch {
                thread,
                plan: self.plan.clone(),
                sockets,
                seeds: seeds.clone(),
                vote_folder: self.vote_folder.path(""),
                partitioned: self.partitioned.clone(),
                observations: self.observations.clone(),
                commands: receiver,
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

    /// Returns an error if a thread ended early, a signal was received, or the time limit is
    /// reached.
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

    /// Writes a progress line, at most one per second.
    fn report_progress(&mut self, step: &str, progress: Option<ConditionProgress>) {
        if !self.plan.progress || Instant::now() < self.report_at {
            return;
        }
        self.report_at = Instant::now() + REPORT_INTERVAL;
        let seconds = self.observations.now_ms() as f64 / 1e3;
        let delay_ms = self.observations.max_wake_delay_us() as f64 / 1e3;
        let so_far = progress.map_or_else(String::new, |progress| {
            format!(", {} of {}", progress.met, progress.total)
        });
        eprintln!(
            "scale-fleet: {seconds:.0} s: {step}{so_far}, largest wake-up delay {delay_ms:.1} ms"
        );
    }

    /// Waits for `duration`, and checks the run meanwhile.
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

    /// Waits until `is_met` returns true; returns `false` if the plan's event timeout ends first.
    pub fn wait_until(
        &mut self,
        step: &str,
        mut is_met: impl FnMut(&HollowFleet) -> bool,
    ) -> Result<bool, RunError> {
        let end = Instant::now() + self.plan.event_timeout;
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

    /// Makes all nodes check for this condition from now on.
    pub fn watch(&mut self, condition: Condition) {
        self.condition_number += 1;
        self.command_all(|| BatchCommand::Watch {
            condition: condition.clone(),
            number: self.condition_number,
        });
    }

    /// Returns at how many of these nodes the current condition is met.
    pub fn progress(&self, nodes: &[usize]) -> ConditionProgress {
        self.observations.progress(self.condition_number, nodes)
    }

    /// Waits until the current condition is met at all these nodes at the same time, or until the
    /// plan's event timeout ends.
    pub fn wait_for_condition(
        &mut self,
        step: &str,
        nodes: &[usize],
    ) -> Result<ConditionProgress, RunError> {
        let end = Instant::now() + self.plan.event_timeout;
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

    /// Returns the numbers of all nodes but those `excluded`.
    pub fn all_except(&self, excluded: &[usize]) -> Vec<usize> {
        (0..self.plan.managers)
            .filter(|node| !excluded.contains(node))
            .collect()
    }

    /// Sends a command to all threads. [`check`](Self::check) reports a thread that has ended.
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

    /// Makes all nodes activate settings with this hash.
    pub fn change_settings(&self, hash: u64) {
        self.command_all(|| BatchCommand::ChangeSettings(hash));
    }

    /// Partitions a third of the nodes from the others, or heals the partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }

    /// Makes a thread panic, to test that such a run fails.
    pub fn panic_thread(&self, thread: usize) {
        let commands = &self.threads[thread].commands;
        let _ = commands.try_send(BatchCommand::Panic);
    }

    /// Sends a command to all threads, and collects their replies.
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

    /// Returns the readings of all nodes, sorted by the nodes' numbers.
    pub fn read(&mut self) -> Result<Vec<NodeReading>, RunError> {
        let batches = self.collect_replies(BatchCommand::Read)?;
        let mut readings: Vec<NodeReading> = batches.into_iter().flatten().collect();
        readings.sort_unstable_by_key(|reading| reading.node);
        Ok(readings)
    }

    /// Suspends all nodes, and returns their last readings, which count the datagrams that are
    /// unread in their sockets.
    pub fn suspend_all_and_read(&mut self) -> Result<Vec<NodeReading>, RunError> {
        self.collect_replies(BatchCommand::SuspendAll)?;
        self.read()
    }

    /// Returns the number of datagrams that the nodes' sockets dropped because their buffers were
    /// full.
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

/// Returns the message of a panic, or an empty string if it has none.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(message) = panic.downcast_ref::<String>() {
        message.clone()
    } else if let Some(message) = panic.downcast_ref::<&str>() {
        (*message).to_owned()
    } else {
        String::new()
    }
}
