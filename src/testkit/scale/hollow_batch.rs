//! One thread with a batch of hollow nodes. Each node is the daemon's own fleet actor on a UDP socket
//! of its own, with a [`HollowModule`] in place of the dispatcher.
use super::fleet::Plan;
use super::hollow_module::{HollowModule, ModuleCounters};
use super::hollow_node::{HollowNode, Incarnation, NodeReading, RunState, Suspendable, node_at};
use super::observations::{Condition, Observations};
use crate::audit::ActiveConfiguration;
use crate::clock::{self, Micros};
use crate::net::Shared;
use crate::net::fleet::membership::{FleetView, Hollow, MembershipService};
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
/// Events that wait for a hollow module.
const MAILBOX: usize = 256;
/// Limit on descriptors that is configured for a node's actors.
const NODE_DESCRIPTORS: usize = 64;
/// Limit on memory that is configured for a node's actors, in MB.
const NODE_MEMORY_MB: u64 = 64;
/// The hash of the settings that the nodes start with.
const INITIAL_SETTINGS: u64 = 1;

/// A command to a batch.
pub enum BatchCommand {
    /// All nodes start at once.
    Start,
    /// Look for a condition at each node from now on, under this number.
    Watch {
        /// The condition.
        condition: Condition,
        /// Its number.
        number: u64,
    },
    /// Suspend a node: its socket is not read and it sends nothing.
    Suspend(usize),
    /// Restart a node. One that runs leaves the fleet first, one that is suspended does not.
    Restart(usize),
    /// All nodes act on settings with this hash.
    ChangeSettings(u64),
    /// Report the figures of each node.
    Read(std::sync::mpsc::Sender<Vec<NodeReading>>),
    /// Suspend all nodes, and confirm it.
    SuspendAll(std::sync::mpsc::Sender<()>),
    /// Panic: to test that a run in which a thread panics fails.
    Panic,
}

/// What all nodes of the batch look for.
struct Watch {
    condition: Condition,
    number: u64,
}

/// What a thread needs for its batch.
pub struct Batch {
    /// The thread's number.
    pub thread: usize,
    /// The run's plan.
    pub plan: Arc<Plan>,
    /// The nodes' numbers and sockets.
    pub sockets: Vec<(usize, UdpSocket)>,
    /// The members that each node contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Where voters store their votes.
    pub folder: PathBuf,
    /// Whether the first third of the nodes is partitioned from the others.
    pub partitioned: Arc<AtomicBool>,
    /// Where the nodes' observations are recorded.
    pub observations: Arc<Observations>,
    /// The commands; the thread ends when they are closed.
    pub commands: Receiver<BatchCommand>,
}

impl Batch {
    /// Runs the batch until its commands are closed.
    pub fn run(mut self) {
        crate::logging::mute();
        let sockets = std::mem::take(&mut self.sockets);
        let mut nodes: Vec<HollowNode> = sockets
            .into_iter()
            .map(|(number, socket)| HollowNode::new(number, socket))
            .collect();
        let executor = Rc::new(LocalExecutor::new());
        let commands = self.follow_commands(&executor, &mut nodes);
        block_on(executor.clone().run(commands));
    }

    async fn follow_commands(&self, executor: &LocalExecutor<'static>, nodes: &mut [HollowNode]) {
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
                    self.examine(nodes, &watch);
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
                    nodes.iter_mut().for_each(|node| node.examined = None);
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
                BatchCommand::Panic => panic!("batch {} was told to panic", self.thread),
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

    /// Records whether each running node meets the condition, if its view has changed.
    fn examine(&self, nodes: &mut [HollowNode], watch: &Watch) {
        for node in nodes {
            let Some(shared) = node.running().map(|running| running.shared.clone()) else {
                continue;
            };
            let is_excluded = shared.lifecycle.borrow().is_excluded();
            node.earlier.exclusions += u64::from(is_excluded && !node.was_excluded);
            node.was_excluded = is_excluded;
            if watch.condition == Condition::None {
                continue;
            }
            let Some(view) = shared.fleet_view.borrow().clone() else {
                continue;
            };
            let is_known = |examined: &Rc<FleetView>| Rc::ptr_eq(examined, &view);
            if !node.examined.as_ref().is_some_and(is_known) {
                let is_met = watch.condition.is_met(&view);
                self.observations
                    .record_condition(node.number, watch.number, is_met);
                node.examined = Some(view);
            }
        }
    }

    /// Starts an incarnation of a node, after the end of its last one.
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
        node.examined = None;
        node.was_excluded = false;
    }

    /// What the actors of a node share.
    fn new_shared(&self, node: usize, settings: u64) -> Rc<Shared> {
        let shared = Shared::new(NODE_DESCRIPTORS, NODE_MEMORY_MB);
        shared.active_configuration.set(ActiveConfiguration {
            generation: 1,
            settings,
            list: 0,
        });
        shared.lifecycle.borrow_mut().endpoint_list_received();
        shared.admin_enabled.set(self.plan.console);
        let _ = shared.hollow.set(Hollow {
            folder: self.folder.clone(),
            reloads: Cell::new(0),
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

    /// The fleet's actor and the hollow module of a node.
    fn node_actors(
        &self,
        node: &HollowNode,
        shared: Rc<Shared>,
        counters: Rc<ModuleCounters>,
        began: Micros,
    ) -> impl Future<Output = ()> + 'static {
        let socket = node
            .socket
            .try_clone()
            .and_then(Async::new)
            .expect("a descriptor: there are enough of them, as was checked before the run");
        let address = node
            .socket
            .local_addr()
            .expect("the address of a bound socket");
        let (module, mailbox) = bounded(MAILBOX);
        let (coordinator, migrations) = bounded(1);
        let service = MembershipService {
            name: self.plan.name(node.number),
            incarnation: began,
            config: self.plan.fleet_config(&self.seeds),
            configured_gateways: self.plan.managers as u32,
            dispatcher: module,
            coordinator,
        };
        let seed = self.plan.seed ^ (node.number as u64) << 32 ^ node.earlier.wants;
        let module = HollowModule {
            node: node.number,
            plan: self.plan.clone(),
            observations: self.observations.clone(),
            shared: shared.clone(),
            mailbox,
            counters,
            random: Pcg32::seed_from_u64(seed),
        };
        async move {
            // Keeps the channel to the coordinator's actor open, which a hollow node lacks.
            let _migrations = migrations;
            let fleet = service.run(shared.clone(), Some(socket), address);
            let actors = or(fleet, module.run());
            shared.executor.clone().run(actors).await;
        }
    }
}
