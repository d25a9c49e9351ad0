//! A connection to an engine: made, written and read, with its link's machine between.
use super::{EngineCommand, Peer, refuse};
use crate::backend::Protocol;
use crate::backend::connection_state::{ConnectionState, Event};
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::ProbeOutcome;
use crate::dispatcher::termination::Termination;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::mailbox::Sender as Post;
use crate::net::{CountGuard, Shared, sleep_until};
use crate::policy::api::{LoadReport, OutcomeKind, RequestId};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;

/// Nothing is written to an engine that does not read for so long.
const WRITE_STALL: Micros = 5 * SEC;

/// One connection to an engine, from before it is made.
pub(super) struct Connection<W> {
    pub(super) link: ConnectionState<W>,
    pub(super) mailbox: Receiver<EngineCommand>,
    pub(super) core: Sender<DispatcherEvent>,
    pub(super) peer: Rc<Peer>,
    pub(super) free: Rc<Cell<usize>>,
    pub(super) attempts: Rc<RefCell<BTreeSet<RequestId>>>,
    pub(super) stale: Rc<RefCell<BTreeSet<RequestId>>>,
    pub(super) proven: Rc<Cell<bool>>,
    pub(super) events: Vec<Event>,
}

enum Turn {
    Order(Option<EngineCommand>),
    Connected(io::Result<Async<TcpStream>>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Due,
}

impl<W: Protocol> Connection<W> {
    /// Runs to its end, of which its engine's actor is told.
    pub(super) async fn run(mut self, shared: &Shared, actor: &Post<EngineCommand>) {
        let socket = CountGuard::up_to(&shared.engine_sockets, shared.max_engine_sockets.get());
        let end = match socket {
            Some(_) => self.serve(shared).await,
            None => Termination::LocalLimit,
        };
        let now = clock::turn();
        self.mailbox.close();
        self.link.close(now, end, &mut self.events);
        // What came too late for this connection never went out.
        while let Ok(order) = self.mailbox.try_recv() {
            if let EngineCommand::Start(job) = order {
                refuse(&self.core, &job, end).await;
            }
        }
        self.report().await;
        // An actor whose mailbox is full, or closed, looks by itself.
        let _ = actor.try_send(EngineCommand::Parted);
    }

    async fn serve(&mut self, shared: &Shared) -> Termination {
        let stream = match self.make().await {
            Ok(stream) => stream,
            Err(end) => return end,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = vec![0; 16 * 1024];
        let mut written_at = clock::now();
        loop {
            if let Some(end) = self.link.over() {
                return end;
            }
            self.drop_abandoned(shared).await;
            self.report().await;
            let idle_at = self
                .link
                .idle_since()
                .map(|at| at + self.peer.keepalive * 3 / 4);
            let writing = self.link.to_write().is_some();
            let stalled_at = writing.then_some(written_at + WRITE_STALL);
            let due = self
                .link
                .next_due()
                .into_iter()
                .chain(idle_at)
                .chain(stalled_at)
                .min();
            let (mut reader, mut writer) = (&stream, &stream);
            let to_write = self.link.to_write();
            let order = async { Turn::Order(self.mailbox.recv().await.ok()) };
            let write = async {
                match to_write {
                    Some(bytes) => Turn::Wrote(writer.write(bytes).await),
                    None => std::future::pending().await,
                }
            };
            let read = async { Turn::Read(reader.read(&mut buffer).await) };
            let timer = async {
                sleep_until(due).await;
                Turn::Due
            };
            let turn = or(order, or(write, or(read, timer))).await;
            let now = clock::turn();
            if !writing {
                written_at = now;
            }
            match turn {
                Turn::Order(None) => return Termination::Dropped,
                Turn::Order(Some(EngineCommand::CloseIdle)) if idle_at.is_some() => {
                    return Termination::Idle;
                }
                Turn::Order(Some(order)) => self.order(now, order),
                Turn::Wrote(Ok(n)) => {
                    self.link.wrote(now, n);
                    shared
                        .dispatches
                        .set(shared.dispatches.get() + self.link.dispatched());
                    written_at = now;
                }
                Turn::Read(Ok(n)) => {
                    self.proven.set(true);
                    self.link.read(now, &buffer[..n], &mut self.events);
                }
                Turn::Read(Err(_)) | Turn::Wrote(Err(_)) => return Termination::Reset,
                Turn::Due if idle_at.is_some_and(|at| at <= now) => return Termination::Idle,
                Turn::Due if stalled_at.is_some_and(|at| at <= now) => {
                    return Termination::Unresponsive;
                }
                Turn::Due => self.link.due(now, &mut self.events),
                Turn::Connected(_) => {}
            }
        }
    }

    /// Takes back what is about to go out for a client that has gone. The news of the client goes
    /// first, lest the module tries again for it.
    async fn drop_abandoned(&mut self, shared: &Shared) {
        while let Some((id, attempt, conn)) = self
            .link
            .starts()
            .filter(|(.., conn)| shared.client_disconnected(*conn))
        {
            let _ = self
                .core
                .send(DispatcherEvent::ClientDisconnected(conn))
                .await;
            self.link.stop(clock::now(), id, attempt, &mut self.events);
        }
    }

    /// Makes the connection. Orders are obeyed meanwhile: a drain that comes now takes back what
    /// waits.
    async fn make(&mut self) -> Result<Async<TcpStream>, Termination> {
        let mut connecting = pin!(Async::<TcpStream>::connect(self.peer.addr));
        let give_up_at = clock::turn() + self.peer.connect_timeout;
        loop {
            self.report().await;
            let order = async { Turn::Order(self.mailbox.recv().await.ok()) };
            let connected = async { Turn::Connected(connecting.as_mut().await) };
            let timer = async {
                sleep_until(Some(give_up_at)).await;
                Turn::Due
            };
            let turn = or(order, or(connected, timer)).await;
            let now = clock::turn();
            match turn {
                Turn::Order(None) => return Err(Termination::Dropped),
                Turn::Order(Some(order)) => self.order(now, order),
                Turn::Connected(Ok(stream)) => return Ok(stream),
                Turn::Connected(Err(e)) => return Err(Termination::of_connect(&e)),
                Turn::Due => return Err(Termination::ConnectTimeout),
                Turn::Read(_) | Turn::Wrote(_) => {}
            }
        }
    }

    fn order(&mut self, now: Micros, order: EngineCommand) {
        match order {
            EngineCommand::Start(job) => self.link.start(now, &job),
            EngineCommand::Stop(id, attempt) => self.link.stop(now, id, attempt, &mut self.events),
            EngineCommand::Doubt(id, attempt) => self.link.doubt(id, attempt),
            EngineCommand::Bump(id, attempt, urgency) => self.link.bump(id, attempt, urgency),
            // Looked up again here: it may have waited for the connection, or the process been
            // stopped meanwhile.
            EngineCommand::Probe(until) if now >= until => {
                let (kind, load) = (OutcomeKind::NeverSent, LoadReport::default());
                self.events.push(Event::Probed {
                    kind,
                    latency: 0,
                    load,
                });
            }
            EngineCommand::Probe(_) => self.link.probe(now),
            EngineCommand::Drain => self.link.drain(now, &mut self.events),
            EngineCommand::CloseIdle | EngineCommand::Gone | EngineCommand::Parted => {}
        }
    }

    /// Passes on what happened. Waiting for room in the module's mailbox holds back this connection
    /// alone.
    async fn report(&mut self) {
        if !self.events.is_empty() {
            // Before the news: a further attempt may come at once.
            *self.stale.borrow_mut() = self.link.stale().collect();
        }
        for event in std::mem::take(&mut self.events) {
            let input = match event {
                Event::Ended(ended) => {
                    self.attempts.borrow_mut().remove(&ended.id);
                    DispatcherEvent::AttemptFinished(ended)
                }
                Event::Probed {
                    kind,
                    latency,
                    load,
                } => DispatcherEvent::ProbeCompleted(ProbeOutcome {
                    engine: self.peer.id,
                    kind,
                    latency,
                    load,
                }),
            };
            let _ = self.core.send(input).await;
        }
        self.free.set(self.link.free());
    }
}
