//! The sockets. Each peer has an actor with a bounded mailbox (a client connection, an engine, the
//! coordinator), and so have the list of engines and the module. All run on one thread.
pub mod admin;
pub mod audit;
pub mod client;
pub mod discovery;
pub mod dispatcher;
pub mod engine;
pub mod fleet;
pub mod hot_restart;
pub mod mailbox;
pub mod reload;
pub mod tenant_directory;

use crate::audit::ActiveConfiguration;
use crate::clock::{self, Micros};
use crate::dispatcher::metrics::MetricsSnapshot;
use crate::lifecycle::Lifecycle;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Bytes read from a socket at a time.
const BUFFER: usize = 16 * 1024;

/// What all actors of one program share.
pub struct Shared {
    /// Descriptors and megabytes that this manager may hold, all its processes together.
    pub limits: Cell<(usize, u64)>,
    /// Closed once the listeners are to accept no more.
    pub accepting: (Sender<()>, Receiver<()>),
    /// To the process that follows this one and serves.
    pub successor: RefCell<Option<Sender<hot_restart::TransferredItem>>>,
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Where the process stands.
    pub lifecycle: RefCell<Lifecycle>,
    /// Operators have an address of their own: figures are put down for them.
    pub admin_enabled: Cell<bool>,
    /// What the core put down last.
    pub metrics: RefCell<MetricsSnapshot>,
    /// Attempts written whole to engines.
    pub dispatches: Cell<u64>,
    /// Connections to engines, and how many there may be.
    pub engine_sockets: Rc<Cell<usize>>,
    /// How many there may be.
    pub max_engine_sockets: Cell<usize>,
    /// Engines that have an actor now: those with something open or owed.
    pub engine_actors: Rc<Cell<usize>>,
    /// Connections of clients.
    pub client_sockets: Rc<Cell<usize>>,
    /// How many there may be.
    pub max_client_sockets: Cell<usize>,
    /// Connections that were ended here and wait for their client's end, and how many there may be.
    pub closing_sockets: Rc<Cell<usize>>,
    /// That many.
    pub max_closing_sockets: Cell<usize>,
    /// Listeners that accept clients.
    pub listening: Rc<Cell<usize>>,
    /// Client connections that still have answers to write.
    pub connections_with_unwritten_output: Rc<Cell<usize>>,
    /// Bytes that clients have not taken yet, over all connections, and how many stop the reading
    /// of requests.
    pub unwritten_bytes: Cell<usize>,
    /// That many.
    pub max_unwritten_bytes: Cell<usize>,
    /// Bytes of messages that are not whole yet, over all connections, and how many are too many.
    pub unread_bytes: Cell<usize>,
    /// That many.
    pub max_unread_bytes: Cell<usize>,
    /// The connections of clients, for when there are too many.
    pub clients: RefCell<BTreeMap<u64, Rc<client::ConnectionStatus>>>,
    /// What was just read from a socket: used at once, before any other actor's turn.
    pub buffer: RefCell<Vec<u8>>,
    /// The next number of a client connection.
    pub next_conn: Cell<u64>,
    /// Whether all engines in service know databases: those that speak the ClickHouse interface do.
    pub engines_know_databases: Cell<bool>,
    /// What the module acts on, as the core put it down last.
    pub active_configuration: Cell<ActiveConfiguration>,
    /// To the fleet's actor, where duties are shared out.
    pub lease_requests: RefCell<Option<Sender<fleet::lease::ProbeRequest>>>,
    /// What it put down of them last, for the second address.
    pub lease_view: RefCell<Option<Rc<str>>>,
    /// To the thread that has the audit's files, where there is one.
    pub audit_jobs: RefCell<Option<Sender<audit::Job>>>,
    /// What the fleet's membership put down last, for the second address.
    pub fleet_view: RefCell<Option<Rc<fleet::membership::FleetView>>>,
    /// What the fleet's actor sends and receives.
    pub traffic: Rc<fleet::traffic::Traffic>,
    /// Set where this is one of many managers in one process.
    pub hollow: OnceCell<fleet::membership::Hollow>,
}

impl Shared {
    /// For a program that may hold so many descriptors, half for clients and a quarter for engines,
    /// and so much memory, an eighth for answers that wait for their clients and one for messages
    /// that are not whole.
    pub fn new(sockets: usize, memory_mb: u64) -> Rc<Shared> {
        let shared = Rc::new(Shared {
            limits: Cell::new((sockets, memory_mb)),
            accepting: async_channel::bounded(1),
            successor: RefCell::default(),
            executor: Rc::new(LocalExecutor::new()),
            lifecycle: RefCell::default(),
            admin_enabled: Cell::new(false),
            metrics: RefCell::default(),
            dispatches: Cell::new(0),
            engine_sockets: Rc::default(),
            max_engine_sockets: Cell::new(0),
            engine_actors: Rc::default(),
            client_sockets: Rc::default(),
            max_client_sockets: Cell::new(0),
            closing_sockets: Rc::default(),
            max_closing_sockets: Cell::new(0),
            listening: Rc::default(),
            connections_with_unwritten_output: Rc::default(),
            unwritten_bytes: Cell::new(0),
            max_unwritten_bytes: Cell::new(0),
            unread_bytes: Cell::new(0),
            max_unread_bytes: Cell::new(0),
            clients: RefCell::default(),
            buffer: RefCell::new(vec![0; BUFFER]),
            next_conn: Cell::new(1),
            engines_know_databases: Cell::new(false),
            active_configuration: Cell::default(),
            lease_requests: RefCell::default(),
            lease_view: RefCell::default(),
            audit_jobs: RefCell::default(),
            fleet_view: RefCell::default(),
            traffic: Rc::default(),
            hollow: OnceCell::new(),
        });
        shared.set_limits(sockets, memory_mb);
        shared
    }

    /// Sets the limits: those of the start, or new ones. What the system allows counts where it is
    /// less.
    pub fn set_limits(&self, sockets: usize, memory_mb: u64) {
        let system = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = sockets.min(system.map_or(usize::MAX, |most| {
            usize::try_from(most).unwrap_or(usize::MAX)
        }));
        self.limits.set((sockets, memory_mb));
        self.apply_capacity_share();
    }

    /// Takes this process's part of the limits, which is all of them while it is alone. The quarter
    /// of descriptors that is neither for clients nor for engines holds the second address, the
    /// coordinator, the other process and, up to a half of it, connections that were ended here and
    /// wait for their client's end.
    pub fn apply_capacity_share(&self) {
        let (part, (sockets, memory_mb)) = (
            self.lifecycle.borrow().capacity_share().max(0.1),
            self.limits.get(),
        );
        let (sockets, memory_mb) = (
            (sockets as f64 * part) as usize,
            (memory_mb as f64 * part) as u64,
        );
        self.max_engine_sockets.set((sockets / 4).max(4));
        self.max_client_sockets.set((sockets / 2).max(4));
        self.max_closing_sockets.set((sockets / 8).max(2));
        let part = ((memory_mb.clamp(8, 1 << 20) / 8) as usize) << 20;
        self.max_unwritten_bytes.set(part);
        self.max_unread_bytes.set(part);
    }

    /// Whether the client of that connection has gone, read up to there or not: to be looked up at
    /// the instant in which something begins for it.
    pub fn client_disconnected(&self, conn: u64) -> bool {
        let standing = self.clients.borrow().get(&conn).cloned();
        standing.is_none_or(|standing| standing.gone())
    }

    /// What operators are told now.
    pub fn current_metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            dispatches: self.dispatches.get(),
            ..self.metrics.borrow().clone()
        }
    }

    /// Starts an actor.
    pub fn spawn(&self, actor: impl Future<Output = ()> + 'static) {
        self.executor.spawn(actor).detach();
    }
}

/// Waits until then; forever without a time.
pub async fn sleep_until(at: Option<Micros>) {
    match at {
        Some(at) => drop(Timer::at(clock::instant(at)).await),
        None => std::future::pending().await,
    }
}

/// Reads what is there.
pub async fn read_some(stream: &Async<UnixStream>, piece: &mut [u8]) -> io::Result<usize> {
    stream
        .read_with(|stream| io::Read::read(&mut &*stream, piece))
        .await
}

/// Counts one more while it lives.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// One more.
    pub fn new(count: &Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(Rc::clone(count))
    }

    /// One more, if that is not too many.
    pub fn up_to(count: &Rc<Cell<usize>>, most: usize) -> Option<CountGuard> {
        (count.get() < most).then(|| CountGuard::new(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The part of one connection in a count over all.
pub struct ByteQuota<'a> {
    all: &'a Cell<usize>,
    mine: usize,
}

impl<'a> ByteQuota<'a> {
    /// None yet.
    pub fn new(all: &'a Cell<usize>) -> ByteQuota<'a> {
        ByteQuota { all, mine: 0 }
    }

    /// So many now.
    pub fn set(&mut self, mine: usize) {
        self.all.set(self.all.get() - self.mine + mine);
        self.mine = mine;
    }
}

impl Drop for ByteQuota<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}
