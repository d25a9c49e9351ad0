//! The actor of one engine and its pool of connections, each with a task of its own. It lives only
//! while something is open or owed there: see [`EndpointHandle`].
mod connection;
mod endpoint;

pub use endpoint::{EndpointHandle, Start};

use super::dispatcher::DispatcherEvent;
use super::mailbox::{Sender as Post, bounded};
use super::{CountGuard, Shared, sleep_until};
use crate::backend::Protocol;
use crate::backend::connection_state::ConnectionState;
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::termination::{Termination, TransmitProgress};
use crate::dispatcher::{AttemptReply, AttemptRequest, AttemptResult};
use crate::policy::api::{AttemptNo, EngineId, LoadReport, OutcomeKind, RequestId};
use async_channel::{Receiver, Sender};
use connection::Connection;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Orders that wait for an engine's actor, which never waits itself: more than one turn of the
/// module can give.
const MAILBOX: usize = 1_024;
/// How long answers of an engine that is gone may still come: what is in flight. After that all of
/// it has ended.
const GONE_GRACE: Micros = SEC;
/// Orders that wait for a connection beside those of its attempts.
const SPARE: usize = 64;

/// What an engine's actor is told.
#[derive(Clone, Debug)]
pub enum EngineCommand {
    /// Start an attempt.
    Start(AttemptRequest),
    /// Give one up.
    Stop(RequestId, AttemptNo),
    /// One takes longer than it should.
    Doubt(RequestId, AttemptNo),
    /// Give one a new priority.
    Bump(RequestId, AttemptNo, u8),
    /// Probe, unless it is later than this: then whoever it was for must not any more.
    Probe(Micros),
    /// Close idle connections.
    CloseIdle,
    /// The engine drains or is gone: nothing new.
    Drain,
    /// The engine is gone: nothing new, and soon nothing at all.
    Gone,
    /// One of the engine's connections has ended.
    Parted,
}

/// An engine as its actor knows it.
pub struct Peer {
    /// Its id, which alone tells engines apart: addresses are used again.
    pub id: EngineId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// A connection not made by then has failed.
    pub connect_timeout: Micros,
    /// The engine closes connections idle for so long; this side does it sooner, lest a send
    /// crosses the close.
    pub keepalive: Micros,
    /// It knows databases, not only qualified names.
    pub databases: bool,
}

/// The far end of a connection's task, as the engine's actor sees it.
struct Handle {
    orders: Post<EngineCommand>,
    free: Rc<Cell<usize>>,
    attempts: Rc<RefCell<BTreeSet<RequestId>>>,
    stale: Rc<RefCell<BTreeSet<RequestId>>>,
    /// What is on it must never run twice: it carries nothing else meanwhile.
    alone: Cell<bool>,
    /// Something came from the engine on it.
    proven: Rc<Cell<bool>>,
}

impl Handle {
    /// Whether it may take this one. Guards what must never run twice: a spoilt answer to another
    /// attempt, or a reset, ends all that is on the connection, and this is lost then.
    fn takes(&self, job: &AttemptRequest, spare: bool) -> bool {
        let empty = self.attempts.borrow().is_empty() && self.orders.is_empty();
        let shares = !spare || empty || !(job.must_not_repeat || self.alone.get());
        shares && self.free.get() > self.orders.len() && !self.stale.borrow().contains(&job.id)
    }

    /// Lowest first: the fullest, so that spare ones fall idle and close; but for what must never
    /// run twice one that has answered before. Guards against resets, which strike most at the
    /// first that a connection carries.
    fn rank(&self, job: &AttemptRequest) -> (bool, usize) {
        (job.must_not_repeat && !self.proven.get(), self.free.get())
    }
}

/// Starts the actor of an engine. `wire` makes the protocol of each new connection.
pub fn spawn<W: Protocol + 'static>(
    shared: &Rc<Shared>,
    core: Sender<DispatcherEvent>,
    row: &Rc<EndpointHandle>,
    peer: Peer,
    wire: impl Fn() -> W + 'static,
) -> Post<EngineCommand> {
    let (orders, mailbox) = bounded(MAILBOX);
    let (row, all, words) = (row.clone(), shared.clone(), orders.clone());
    shared.spawn(async move {
        let _active = CountGuard::new(&all.engine_actors);
        actor(
            all.clone(),
            core,
            &row,
            Rc::new(peer),
            wire,
            (words, mailbox),
        )
        .await;
        row.release();
    });
    orders
}

async fn actor<W: Protocol + 'static>(
    shared: Rc<Shared>,
    core: Sender<DispatcherEvent>,
    row: &EndpointHandle,
    peer: Rc<Peer>,
    wire: impl Fn() -> W,
    (words, mailbox): (Post<EngineCommand>, Receiver<EngineCommand>),
) {
    let mut conns: Vec<Handle> = Vec::new();
    let mut gone_at = None;
    loop {
        conns.retain(|c| !c.orders.is_closed());
        // Nothing is open here and nothing owed: the engine is a row again. Nobody has a turn
        // between this look and the close, so that no order is lost: the next one finds no actor
        // and makes one.
        if conns.is_empty() && mailbox.is_empty() {
            break;
        }
        // Guards memory and descriptors on long days, where engines are replaced by new ones
        // without end; and what waits for an engine that vanished without a word.
        let order = or(async { mailbox.recv().await.ok() }, async {
            sleep_until(gone_at).await;
            None
        });
        let Some(order) = order.await else { break };
        conns.retain(|c| !c.orders.is_closed());
        match order {
            EngineCommand::Start(job) if row.drains() => {
                refuse(&core, &job, Termination::Drained).await
            }
            // Guards against a statement that would run on the tables of another database.
            EngineCommand::Start(job) if !peer.databases && names_database(&job) => {
                refuse(&core, &job, Termination::LocalLimit).await;
            }
            EngineCommand::Start(job) => {
                let spare = shared.engine_sockets.get() < shared.max_engine_sockets.get() * 3 / 4;
                let room = |c: &&Handle| c.takes(&job, spare);
                let lost = match conns.iter().filter(room).min_by_key(|c| c.rank(&job)) {
                    Some(c) => hand_over(c, job),
                    None => {
                        let c = connect(&shared, &core, &peer, &words, wire());
                        let lost = hand_over(&c, job);
                        conns.push(c);
                        lost
                    }
                };
                if let Some(job) = lost {
                    refuse(&core, &job, Termination::LocalLimit).await;
                }
            }
            EngineCommand::Stop(id, _) => {
                let holder = conns.iter().find(|c| c.attempts.borrow().contains(&id));
                if let Some(c) = holder.filter(|c| c.orders.try_send(order).is_err()) {
                    // Guards the rule on attempts out: one that can't be given up ends with its
                    // connection.
                    c.orders.close();
                }
            }
            // Without room for the word the attempt keeps the priority that it has, and its
            // connection its good name.
            EngineCommand::Bump(id, ..) | EngineCommand::Doubt(id, _) => {
                let holder = conns.iter().find(|c| c.attempts.borrow().contains(&id));
                holder
                    .into_iter()
                    .for_each(|c| _ = c.orders.try_send(order.clone()));
            }
            EngineCommand::Probe(_) => {
                let c = match conns.iter().find(|c| c.free.get() > 0) {
                    Some(c) => c,
                    None => {
                        conns.push(connect(&shared, &core, &peer, &words, wire()));
                        &conns[conns.len() - 1]
                    }
                };
                if c.orders.try_send(order).is_err() {
                    let (engine, kind) = (peer.id, OutcomeKind::NeverSent);
                    let input = DispatcherEvent::ProbeCompleted {
                        engine,
                        kind,
                        latency: 0,
                        load: LoadReport::default(),
                    };
                    let _ = core.send(input).await;
                }
            }
            EngineCommand::CloseIdle => conns
                .iter()
                .for_each(|c| drop(c.orders.try_send(EngineCommand::CloseIdle))),
            EngineCommand::Drain | EngineCommand::Gone => {
                if matches!(order, EngineCommand::Gone) {
                    gone_at = gone_at.or(Some(clock::now() + GONE_GRACE));
                }
                for c in conns
                    .iter()
                    .filter(|c| c.orders.try_send(EngineCommand::Drain).is_err())
                {
                    c.orders.close();
                }
            }
            EngineCommand::Parted => {}
        }
    }
    // Its connections end with their handles. What is still in the mailbox never went out.
    mailbox.close();
    while let Ok(order) = mailbox.try_recv() {
        if let EngineCommand::Start(job) = order {
            refuse(&core, &job, Termination::Drained).await;
        }
    }
}

fn names_database(job: &AttemptRequest) -> bool {
    job.session.as_ref().is_some_and(|s| s.database.is_some())
}

async fn refuse(core: &Sender<DispatcherEvent>, job: &AttemptRequest, end: Termination) {
    let ended = AttemptResult {
        id: job.id,
        attempt: job.attempt,
        termination: end,
        progress: TransmitProgress::Unsent,
        reply: AttemptReply::default(),
    };
    let _ = core.send(DispatcherEvent::AttemptFinished(ended)).await;
}

/// Hands an attempt to a connection; gives it back if the connection's mailbox is full.
fn hand_over(c: &Handle, job: AttemptRequest) -> Option<AttemptRequest> {
    let (id, single) = (job.id, job.must_not_repeat);
    match c.orders.try_send(EngineCommand::Start(job)) {
        Ok(()) => {
            c.attempts.borrow_mut().insert(id);
            c.alone.set(single);
            None
        }
        Err(e) => match e.into_inner() {
            EngineCommand::Start(job) => Some(job),
            _ => None,
        },
    }
}

fn connect<W: Protocol + 'static>(
    shared: &Rc<Shared>,
    core: &Sender<DispatcherEvent>,
    peer: &Rc<Peer>,
    words: &Post<EngineCommand>,
    wire: W,
) -> Handle {
    let (orders, mailbox) = bounded(wire.streams() * 2 + SPARE);
    let (free, attempts, stale) = (
        Rc::new(Cell::new(wire.streams())),
        Rc::default(),
        Rc::default(),
    );
    let handle = Handle {
        orders,
        free: Rc::clone(&free),
        attempts: Rc::clone(&attempts),
        stale: Rc::clone(&stale),
        alone: Cell::new(false),
        proven: Rc::default(),
    };
    let proven = Rc::clone(&handle.proven);
    let (shared, core, peer) = (shared.clone(), core.clone(), peer.clone());
    let (executor, words) = (shared.executor.clone(), words.clone());
    let task = async move {
        let link = ConnectionState::new(clock::turn(), wire);
        let conn = Connection {
            link,
            mailbox,
            core,
            peer,
            free,
            attempts,
            stale,
            proven,
            events: Vec::new(),
        };
        conn.run(&shared, &words).await;
    };
    executor.spawn(task).detach();
    handle
}

#[cfg(test)]
use crate::backend::platform::Platform;

#[cfg(test)]
#[path = "../../../tests/unit/net_engine.rs"]
mod tests;

#[cfg(test)]
#[path = "../../../tests/unit/net_engine_endpoint.rs"]
mod rows;
