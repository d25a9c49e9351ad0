//! A thread that runs a batch of hollow nodes. Each node is the daemon's own fleet actor on a
//! separate UDP socket, with a [`HollowModule`] in place of the dispatcher.
use super::fleet::Plan;
use super::hollow_module::{HollowModule, ModuleCounters};
use super::hollow_node::{HollowNode, Incarnation, NodeReading, RunState, Suspendable, node_at};
use super::observations::{Condition, Observations};
use crate::audit::ActiveConfiguration;
use crate::clock::{self, Micros};
use crate::net::Shared;
use crate::net::fleet::membership::{FleetView, MembershipService, ProcessOverrides};
use async_channel::{Receiver, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures_lite::future::or;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the nodes' views are examined, and the thread's wake-up delay is recorded.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of a hollow module's event channel.
const MAILBOX_CAPACITY: usize = 256;
/// Configured limit on descriptors of a node's actors.
const NODE_DESCRIPTORS: usize = 64;
/// Configured limit on memory of a node's actors, in MB.
const NODE_MEMORY_MB: u64 = 64;
/// Hash of the settings with which the nodes start.
const INITIAL_SETTINGS: u64 = 1;

/// A command to a batch.
pub enum BatchCommand {
    /// Start all nodes at once.
    Start,
    /// Check each node for a condition from now on, and record it under this number.
    Watch {
        /// The condition.
        condition: Condition,
        /// The condition's number.
        number: u64,
    },
    /// Suspend a node: its socket is not read and it sends nothing.
    Suspend(usize),
    /// Restart a node. A running node shuts down gracefully first, a suspended one ends at once.
    Restart(usize),
    /// Make all nodes activate settings with this hash.
    ChangeSettings(u64),
    /// Report the readings of each node.
    Read(std::sync::mpsc::Sender<Vec<NodeReading>>),
    /// Suspend all nodes, and confirm it.
    SuspendAll(std::sync::mpsc::Sender<()>),
    /// Panic, to test that such a run fails.
    Panic,
}

/// The condition for which all nodes of the batch are checked.
struct Watch {
    condition: Condition,
    number: u64,
}

/// A batch of nodes, with what its thread needs to run them.
pub struct Batch {
    /// The thread's number.
    pub thread: usize,
    /// The run's plan.
    pub plan: Arc<Plan>,
    /// The nodes' numbers and sockets.
    pub sockets: Vec<(usize, UdpSocket)>,
    /// The members that each node contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Folder in which voters store their votes.
    pub vote_folder: PathBuf,
    /// Whether the first third of the nodes is partitioned from the others.
    pub partitioned: Arc<AtomicBool>,
    /// Records the nodes' observations.
    pub observations: Arc<Observations>,
    /// Receives commands; the thread ends when the channel is closed.
    pub commands: Receiver<BatchCommand>,
}

impl Batch {
    /// Runs the batch until its command channel is closed.
    pub fn run(mut self) {
        crate::logging::mute();
        let sockets = std::mem::take(&mut self.sockets);
        let mut nodes: Vec<HollowNode> = sockets
            .into_iter()
            .map(|(number, socket)| HollowNode::new(number, socket))
            .collect();
        let executor = Rc::new(LocalExecutor::new());
        let commands = self.run_commands(&executor, &mut nodes);
        block_on(executor.clone().run(commands));
    }

    async fn run_commands(&self, executor: &LocalExecutor<'static>, nodes: &mut [HollowNode]) {
        let mut watch = Watch {
            condition: Condition::None,
            number: 0,
        };
        let mut settings = INITIAL_SETTINGS;
        let mut all_suspended = false;
        let mut poll_at = Instant::now() + POLL_INTERVAL;
        loop {
            let command = or(async { Some(self.commands.recv().await) }, async {
                Timer::at(poll_at).await;
                None
            });
            let command = match command.await {
                Some(Ok(command)) => command,
                Some(Err(_)) => return,
                None => {
                    let delay_us = poll_at.elapsed().as_micros() as u64;
                    self.observations.record_wake_delay(self.thread, delay_us);
                    self.restart_ended_nodes(executor, nodes, settings);
                    self.examine_views(nodes, &watch);
                    poll_at = Instant::now() + POLL_INTERVAL;
                    continue;
                }
            };
            match command {
                BatchCommand::Start => nodes
                    .iter_mut()
                    .for_each(|node| self.start(executor, node, settings)),
                BatchCommand::Watch { condition, number } => {
                    watch = Watch { condition, number };
                    nodes.iter_mut().for_each(|node| node.last_view = None);
                }
                BatchCommand::Suspend(number) => nodes
                    .iter()
                    .filter(|node| node.number == number)
                    .for_each(HollowNode::suspend),
                BatchCommand::Restart(number) => nodes
                    .iter_mut()
                    .filter(|node| node.number == number)
                    .for_each(HollowNode::begin_restart),
                BatchCommand::ChangeSettings(hash) => {
                    settings = hash;
                    nodes.iter().for_each(|node| node.change_settings(hash));
                }
                BatchCommand::Read(reply) => {
                    let read = |node: &HollowNode| node.read(all_suspended);
                    let _ = reply.send(nodes.iter().map(read).collect());
                }
                BatchCommand::SuspendAll(done) => {
                    all_suspended = true;
                    nodes.iter().for_each(HollowNode::suspend);
                    let _ = done.send(());
                }
                BatchCommand::Panic => {
                    panic!("batch {} received the command to panic", self.thread)
                }
            }
        }
    }

    fn restart_ended_nodes(
        &self,
        executor: &LocalExecutor<'static>,
        nodes: &mut [HollowNode],
        settings: u64,
    ) {
        for node in nodes {
            let has_ended = match &node.incarnation {
                Some(incarnation) => incarnation.task.is_finished(),
                None => true,
            };
            if node.restart_pending && has_ended {
                self.start(executor, node, settings);
            }
        }
    }

    /// Counts the self-exclusions of the running nodes, and records whether each node meets the
    /// condition, if its view has changed.
    fn examine_views(&self, nodes: &mut [HollowNode], watch: &Watch) {
        for node in nodes {
            let Some(shared) = node.running().map(|running| running.shared.clone()) else {
                continue;
            };
            let is_excluded = shared.lifecycle.borrow().is_excluded();
            node.past_incarnations.exclusions += u64::from(is_excluded && !node.was_excluded);
            node.was_excluded = is_excluded;
            if watch.condition == Condition::None {
                continue;
            }
            let Some(view) = shared.fleet_view.borrow().clone() else {
                continue;
            };
            let is_unchanged = |last: &Rc<FleetView>| Rc::ptr_eq(last, &view);
            if !node.last_view.as_ref().is_some_and(is_unchanged) {
                let is_met = watch.condition.is_met(&view);
                self.observations
                    .record_condition(node.number, watch.number, is_met);
                node.last_view = Some(view);
            }
        }
    }

    /// Starts an incarnation of a node, after ending its last one.
    fn start(&self, executor: &LocalExecutor<'static>, node: &mut HollowNode, settings: u64) {
        node.end_incarnation();
        let began = clock::read();
        let shared = self.new_shared(node.number, settings);
        let counters = Rc::new(ModuleCounters::default());
        let state: Rc<RunState> = Rc::default();
        let actors = self.node_actors(node, shared.clone(), counters.clone(), began);
        let task = executor.spawn(Suspendable {
            actors: Box::pin(actors),
            state: state.clone(),
        });
        node.incarnation = Some(Incarnation {
            shared,
            state,
            counters,
            began,
            task,
        });
        node.restart_pending = false;
        node.last_view = None;
        node.was_excluded = false;
    }

    /// Creates the state that the actors of a node share.
    fn new_shared(&self, node: usize, settings: u64) -> Rc<Shared> {
        let shared = Shared::new(NODE_DESCRIPTORS, NODE_MEMORY_MB);
        shared.active_configuration.set(ActiveConfiguration {
            generation: 1,
            settings,
            list: 0,
        });
        shared.lifecycle.borrow_mut().endpoint_list_received();
        shared.admin_enabled.set(self.plan.admin_enabled);
        let _ = shared.process_overrides.set(ProcessOverrides {
            state_folder: self.vote_folder.clone(),
            requested_reloads: Cell::new(0),
        });
        let partitioned = self.partitioned.clone();
        let plan = self.plan.clone();
        let in_partition = plan.in_partition(node);
        shared.traffic.block(move |to| {
            partitioned.load(Ordering::Relaxed)
                && node_at(to).is_some_and(|to| plan.in_partition(to) != in_partition)
        });
        shared
    }

    /// Returns a future that runs the fleet actor and the hollow module of a node.
    fn node_actors(
        &self,
        node: &HollowNode,
        shared: Rc<Shared>,
        counters: Rc<ModuleCounters>,
        began: Micros,
    ) -> impl Future<Output = ()> + 'static {
        let socket = node.socket.try_clone().and_then(Async::new).expect(
            "a descriptor is available, because the run checked the limit before it started",
        );
        let address = node
            .socket
            .local_addr()
            .expect("a bound socket has a local address");
        let (dispatcher_events, events) = bounded(MAILBOX_CAPACITY);
        let (coordinator, migrations) = bounded(1);
        let service = MembershipService {
            name: self.plan.name(node.number),
            incarnation: began,
            config: self.plan.fleet_config(&self.seeds),
            configured_gateways: self.plan.managers as u32,
            dispatcher: dispatcher_events,
            coordinator,
        };
        let seed =
            self.plan.seed ^ (node.number as u64) << 32 ^ node.past_incarnations.load_requests;
        let module = HollowModule {
            node: node.number,
            plan: self.plan.clone(),
            observations: self.observations.clone(),
            shared: shared.clone(),
            events,
            counters,
            random: Pcg32::seed_from_u64(seed),
        };
        async move {
            // Keeps the channel to the coordinator's actor open, because a hollow node has no such
            // actor.
            let _migrations = migrations;
            let fleet = service.run(shared.clone(), Some(socket), address);
            let actors = or(fleet, module.run());
            shared.executor.clone().run(actors).await;
        }
    }
}
