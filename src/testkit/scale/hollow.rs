//! One thread with a batch of hollow managers: for each the daemon's own actor of the fleet on a
//! UDP socket of its own, and in place of its module a loop that answers probes at once and wants
//! engines' loads now and then.
use super::fleet::Plan;
use super::hollow_node::{Asked, Pulse, Run, hollow_module, resident};
use super::observations::{Goal, Observations};
use crate::audit::ActiveConfiguration;
use crate::clock::{self, Micros};
use crate::membership::MemberState;
use crate::net::Shared;
use crate::net::fleet::membership::{FleetView, Hollow, MembershipService};
use crate::net::fleet::traffic::{Flow, TrafficCounts};
use async_channel::{Receiver, bounded};
use async_executor::{LocalExecutor, Task};
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

/// What the managers see is looked at this often, and so is the thread's own lateness.
const LOOK: Duration = Duration::from_millis(20);
/// Messages that wait for a hollow module.
const MAILBOX: usize = 256;
/// What a batch is told.
pub enum Order {
    /// All start at once.
    Begin,
    /// Look for this, under that number.
    Look(Goal, u64),
    /// That manager is stopped: its socket is not read and it sends nothing.
    Stop(usize),
    /// That manager is started anew: one that runs says that it goes, one that is stopped does not.
    Restart(usize),
    /// All act on settings of that hash.
    Retune(u64),
    /// Tell the figures of each.
    Read(std::sync::mpsc::Sender<Vec<Reading>>),
    /// Nobody sends or reads any more; told once it is so.
    Hush(std::sync::mpsc::Sender<()>),
    /// The thread panics: for the test that a run where one did is an error.
    Break,
}

/// The figures of one hollow manager, over all its lives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Its number.
    pub who: usize,
    /// When its present life began, in microseconds.
    pub life: Micros,
    /// What it sent and received.
    pub counts: TrafficCounts,
    /// What waits in its socket, or waited there when a life of it ended.
    pub unread: Flow,
    /// How long its turns took.
    pub busy: Duration,
    /// Its module's wants, the probes that it sent for them and for others, and what it was told by
    /// owners.
    pub wants: u64,
    /// Those probes.
    pub probes: u64,
    /// Those told.
    pub told: u64,
    /// How often it would have read its configuration again.
    pub reloads: u64,
    /// How often it was seen to shut itself out for being behind the majority.
    pub shut_outs: u64,
    /// Others that it takes for alive.
    pub alive: usize,
    /// Datagrams that it could not use.
    pub dropped: u64,
}

/// One life of a hollow manager.
struct Life {
    shared: Rc<Shared>,
    pulse: Rc<Pulse>,
    asked: Rc<Asked>,
    begun: Micros,
    task: Task<()>,
}

/// One hollow manager.
struct Manager {
    who: usize,
    socket: UdpSocket,
    life: Option<Life>,
    /// Of its earlier lives.
    before: Reading,
    /// What it was seen to see last.
    seen: Option<Rc<FleetView>>,
    /// Whether it was shut out when it was looked at last.
    out: bool,
    /// It is to be started anew once it has gone.
    again: bool,
}

/// What a thread needs for its batch.
pub struct Batch {
    /// Its number.
    pub number: usize,
    /// The run's plan.
    pub plan: Arc<Plan>,
    /// The managers by their numbers, and their sockets.
    pub sockets: Vec<(usize, UdpSocket)>,
    /// Whom each greets first.
    pub seeds: Vec<SocketAddr>,
    /// Where voters keep their votes.
    pub folder: PathBuf,
    /// Whether the first third is cut off from the others.
    pub cut: Arc<AtomicBool>,
    /// The board.
    pub board: Arc<Observations>,
    /// What it is told; closed at the end.
    pub orders: Receiver<Order>,
}

impl Batch {
    /// Runs it until nobody can tell it anything any more.
    pub fn run(mut self) {
        crate::logging::mute();
        let managers = std::mem::take(&mut self.sockets)
            .into_iter()
            .map(|(who, socket)| Manager {
                who,
                socket,
                life: None,
                before: Reading {
                    who,
                    ..Reading::default()
                },
                seen: None,
                out: false,
                again: false,
            });
        let mut managers: Vec<Manager> = managers.collect();
        let executor = Rc::new(LocalExecutor::new());
        block_on(executor.clone().run(self.follow(&executor, &mut managers)));
    }

    async fn follow(&self, executor: &LocalExecutor<'static>, managers: &mut [Manager]) {
        let (mut goal, mut number, mut settings, mut hushed) = (Goal::Idle, 0, 1, false);
        let mut look_at = Instant::now() + LOOK;
        loop {
            let order = or(async { Some(self.orders.recv().await) }, async {
                Timer::at(look_at).await;
                None
            });
            match order.await {
                Some(Err(_)) => return,
                Some(Ok(Order::Begin)) => {
                    managers
                        .iter_mut()
                        .for_each(|m| self.begin(executor, m, settings));
                }
                Some(Ok(Order::Look(next, its))) => {
                    (goal, number) = (next, its);
                    managers.iter_mut().for_each(|m| m.seen = None);
                }
                Some(Ok(Order::Stop(who))) => managers
                    .iter()
                    .filter(|m| m.who == who)
                    .for_each(Manager::stop),
                Some(Ok(Order::Restart(who))) => {
                    managers
                        .iter_mut()
                        .filter(|m| m.who == who)
                        .for_each(Manager::go);
                }
                Some(Ok(Order::Retune(hash))) => {
                    settings = hash;
                    managers.iter().for_each(|m| m.retune(hash));
                }
                Some(Ok(Order::Read(to))) => {
                    let _ = to.send(managers.iter().map(|m| m.read(hushed)).collect());
                }
                Some(Ok(Order::Hush(told))) => {
                    hushed = true;
                    managers.iter().for_each(Manager::stop);
                    let _ = told.send(());
                }
                Some(Ok(Order::Break)) => panic!("batch {} was told to panic", self.number),
                None => {
                    self.board
                        .woke_late(self.number, look_at.elapsed().as_micros() as u64);
                    self.look(executor, managers, &goal, number, settings);
                    look_at = Instant::now() + LOOK;
                }
            }
        }
    }

    fn look(
        &self,
        executor: &LocalExecutor<'static>,
        managers: &mut [Manager],
        goal: &Goal,
        number: u64,
        settings: u64,
    ) {
        for manager in managers {
            if manager.again
                && manager
                    .life
                    .as_ref()
                    .is_none_or(|life| life.task.is_finished())
            {
                self.begin(executor, manager, settings);
            }
            let Some(life) = manager
                .life
                .as_ref()
                .filter(|life| !life.pulse.stopped.get())
            else {
                continue;
            };
            let out = life.shared.lifecycle.borrow().is_excluded();
            manager.before.shut_outs += u64::from(out && !manager.out);
            manager.out = out;
            if *goal == Goal::Idle {
                continue;
            }
            let view = life.shared.fleet_view.borrow().clone();
            let Some(view) = view else { continue };
            if manager
                .seen
                .as_ref()
                .is_none_or(|seen| !Rc::ptr_eq(seen, &view))
            {
                self.board.saw(manager.who, number, goal.holds(&view));
                manager.seen = Some(view);
            }
        }
    }

    /// Begins a life of a manager.
    fn begin(&self, executor: &LocalExecutor<'static>, manager: &mut Manager, settings: u64) {
        manager.end_life();
        let socket = manager
            .socket
            .try_clone()
            .and_then(Async::new)
            .expect("a descriptor, checked before");
        let at = manager.socket.local_addr().expect("the socket's address");
        let (who, plan) = (manager.who, &self.plan);
        let shared = Shared::new(64, 64);
        shared.active_configuration.set(ActiveConfiguration {
            generation: 1,
            settings,
            list: 0,
        });
        shared.lifecycle.borrow_mut().endpoint_list_received();
        shared.admin_enabled.set(plan.console);
        let _ = shared.hollow.set(Hollow {
            folder: self.folder.clone(),
            reloads: Cell::new(0),
        });
        let (cut, region) = (self.cut.clone(), plan.in_region(who));
        let theirs = Arc::clone(plan);
        shared.traffic.block(move |to| {
            cut.load(Ordering::Relaxed)
                && resident(to).is_some_and(|to| theirs.in_region(to) != region)
        });
        let begun = clock::turn();
        let (module, mailbox) = bounded(MAILBOX);
        let (coordinator, moves) = bounded(1);
        let (name, fleet, managers) =
            (plan.name(who), plan.file(&self.seeds), plan.managers as u32);
        let seat = MembershipService {
            name,
            incarnation: begun,
            config: fleet,
            configured_gateways: managers,
            dispatcher: module,
            coordinator,
        };
        let asked = Rc::new(Asked::default());
        let random = Pcg32::seed_from_u64(plan.seed ^ (who as u64) << 32 ^ manager.before.wants);
        let (theirs, counts) = (shared.clone(), asked.clone());
        let (board, plan) = (self.board.clone(), self.plan.clone());
        let pulse: Rc<Pulse> = Rc::default();
        let actors = {
            let shared = shared.clone();
            let module = hollow_module(theirs, mailbox, counts, random, (who, plan, board));
            async move {
                // Where the actor could send the coordinator's one to: nobody goes there.
                let _moves = moves;
                let seat = or(seat.run(shared.clone(), Some(socket), at), module);
                shared.executor.clone().run(seat).await;
            }
        };
        let task = executor.spawn(Run {
            inner: Box::pin(actors),
            pulse: pulse.clone(),
        });
        manager.life = Some(Life {
            shared,
            pulse,
            asked,
            begun,
            task,
        });
        (manager.again, manager.seen, manager.out) = (false, None, false);
    }
}

impl Manager {
    fn stop(&self) {
        self.life
            .iter()
            .for_each(|life| life.pulse.stopped.set(true));
    }

    fn go(&mut self) {
        self.again = true;
        match &self.life {
            Some(life) if !life.pulse.stopped.get() => life
                .shared
                .lifecycle
                .borrow_mut()
                .begin_shutdown(clock::turn()),
            _ => self.end_life(),
        }
    }

    fn retune(&self, hash: u64) {
        if let Some(life) = &self.life {
            let acting = life.shared.active_configuration.get();
            let next = ActiveConfiguration {
                generation: acting.generation + 1,
                settings: hash,
                ..acting
            };
            life.shared.active_configuration.set(next);
        }
    }

    /// Ends a life, if there is one; what was not read by then never is.
    fn end_life(&mut self) {
        if self.life.is_some() {
            self.before = Reading {
                unread: self.before.unread.plus(self.drain()),
                ..self.read(false)
            };
            self.life = None;
        }
    }

    /// Reads off what waits in the socket.
    fn drain(&self) -> Flow {
        let (mut flow, mut buffer) = (Flow::default(), vec![0; 1 << 16]);
        while let Ok((n, _)) = self.socket.recv_from(&mut buffer) {
            flow = flow.with_datagram(n);
        }
        flow
    }

    fn read(&self, drain: bool) -> Reading {
        let mut reading = self.before;
        if drain {
            reading.unread = reading.unread.plus(self.drain());
        }
        let Some(life) = &self.life else {
            return reading;
        };
        let view = life.shared.fleet_view.borrow().clone();
        let lives = |view: &Rc<FleetView>| {
            view.members
                .iter()
                .filter(|row| !row.is_self && row.update.state == MemberState::Alive)
                .count()
        };
        let (alive, dropped) = view
            .map(|view| (lives(&view), view.dropped_datagrams))
            .unwrap_or_default();
        let reloads = life
            .shared
            .hollow
            .get()
            .map_or(0, |hollow| hollow.reloads.get());
        Reading {
            who: self.who,
            life: life.begun,
            counts: reading.counts.plus(&life.shared.traffic.counts()),
            unread: reading.unread,
            busy: reading.busy + life.pulse.busy.get(),
            wants: reading.wants + life.asked.wants.get(),
            probes: reading.probes + life.asked.probes.get(),
            told: reading.told + life.asked.told.get(),
            reloads: reading.reloads + reloads,
            shut_outs: reading.shut_outs,
            alive,
            dropped: reading.dropped + dropped,
        }
    }
}
