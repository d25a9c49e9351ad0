//! The state that all actors of one process share.
use super::contain_panic::ContainPanic;
use super::discovery::numbering::Numberings;
use super::{READ_BUFFER_BYTES, audit, client, fleet, hot_restart};
use crate::audit::ActiveConfiguration;
use crate::dispatcher::metrics::MetricsSnapshot;
use crate::lifecycle::Lifecycle;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::{Rc, Weak};

/// The smallest share of the limits that a process applies. The capacity share falls to 0 at the
/// end of a hot restart, but the connections that are left still need descriptors and memory.
const MIN_CAPACITY_SHARE: f64 = 0.1;

/// The range, in MB, to which the memory limit is clamped before the byte limits are computed.
const MEMORY_MB_RANGE: (u64, u64) = (8, 1 << 20);

/// Limits that all processes of this gateway share; during a hot restart there are several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// File descriptors for sockets.
    pub descriptors: usize,
    /// Memory in MB.
    pub memory_mb: u64,
}

/// The state that all actors of one process share. The actors run on one thread; no borrow of a
/// [`RefCell`] here is held across an `await`.
pub struct Shared {
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The stage of the process's lifecycle.
    pub lifecycle: RefCell<Lifecycle>,
    /// Closed once the listeners have to stop accepting connections.
    pub accepting: (Sender<()>, Receiver<()>),
    /// Where connections are transferred to in a hot restart, once the successor is ready.
    pub successor: RefCell<Option<Sender<hot_restart::TransferredItem>>>,
    /// The sequences to which the numbers of the coordinator's events belong.
    pub event_numberings: Numberings,
    /// Whether all engines in service support databases, as those with the ClickHouse interface do.
    pub engines_support_databases: Cell<bool>,
    /// Set if this manager shares its process with others, as the hollow nodes of the test kit do.
    pub process_overrides: OnceCell<fleet::membership::ProcessOverrides>,

    /// The configured limits.
    pub limits: Cell<ProcessLimits>,
    /// Open connections to engines.
    pub engine_sockets: Rc<Cell<usize>>,
    /// The limit of `engine_sockets`.
    pub max_engine_sockets: Cell<usize>,
    /// Engines with a running actor: those with attempts in flight or open connections.
    pub engine_actors: Rc<Cell<usize>>,
    /// Open client connections.
    pub client_sockets: Rc<Cell<usize>>,
    /// The limit of `client_sockets`.
    pub max_client_sockets: Cell<usize>,
    /// Connections whose sending side this process has closed and whose client has not closed its
    /// own.
    pub closing_sockets: Rc<Cell<usize>>,
    /// The limit of `closing_sockets`.
    pub max_closing_sockets: Cell<usize>,
    /// Listeners that accept clients.
    pub listening: Rc<Cell<usize>>,
    /// Listeners of clients that are not closed yet.
    pub open_listeners: Rc<Cell<usize>>,
    /// The listeners of clients.
    pub listeners: RefCell<Vec<Weak<Async<TcpListener>>>>,
    /// Listeners that this process has stopped to accept from, and from which another process claims
    /// to accept. It may be at the other end of a chain of hot restarts, not connected to this one.
    pub listeners_accepted_elsewhere: Rc<Cell<usize>>,
    /// Whether the listeners are closed or about to be, so that they can no longer be passed to a
    /// successor.
    pub listeners_closing: Cell<bool>,
    /// Client connections with responses that are not completely written.
    pub connections_with_unwritten_output: Rc<Cell<usize>>,
    /// Requests that are open at the predecessor of a hot restart, on connections that it transferred
    /// to this process. Their responses arrive through this process.
    pub requests_at_predecessor: Rc<Cell<usize>>,
    /// Bytes of responses that clients have not read, over all connections.
    pub unwritten_bytes: Cell<usize>,
    /// The value of `unwritten_bytes` above which no more requests are read.
    pub max_unwritten_bytes: Cell<usize>,
    /// Bytes of input from clients that is buffered and not processed, such as incomplete messages
    /// and deferred input, over all connections.
    pub unread_bytes: Cell<usize>,
    /// The limit of `unread_bytes`.
    pub max_unread_bytes: Cell<usize>,

    /// The client connections by their numbers.
    pub clients: RefCell<BTreeMap<u64, Rc<client::ConnectionStatus>>>,
    /// The number of the next client connection.
    pub next_conn: Cell<u64>,
    /// A buffer for reads from sockets. Its contents are valid only until the next `await`.
    pub buffer: RefCell<Vec<u8>>,

    /// Whether the admin endpoint is enabled, for which metrics are published.
    pub admin_enabled: Cell<bool>,
    /// The metrics that the dispatcher published last.
    pub metrics: RefCell<MetricsSnapshot>,
    /// Panics of actors or of their parts: faults of this program.
    pub actor_panics: Rc<Cell<u64>>,
    /// Attempts completely written to engines.
    pub dispatches: Cell<u64>,
    /// The leases that the lease service published last, as JSON.
    pub lease_view: RefCell<Option<Rc<str>>>,
    /// The members that the membership service published last.
    pub fleet_view: RefCell<Option<Rc<fleet::membership::FleetView>>>,
    /// The configuration that the decision module acts on, as the dispatcher published it last.
    pub active_configuration: Cell<ActiveConfiguration>,

    /// The lease service, if probes are shared in the fleet.
    pub lease_requests: RefCell<Option<Sender<fleet::lease::ProbeRequest>>>,
    /// The thread that writes the audit, if it is enabled.
    pub audit_commands: RefCell<Option<Sender<audit::AuditCommand>>>,
    /// Counters of the datagrams between gateways.
    pub traffic: Rc<fleet::traffic::Traffic>,
}

impl Shared {
    /// The state of a process that may use this many descriptors and this much memory. See
    /// [`Shared::apply_capacity_share`] for how they are divided.
    pub fn new(descriptors: usize, memory_mb: u64) -> Rc<Shared> {
        let limits = ProcessLimits {
            descriptors,
            memory_mb,
        };
        let shared = Rc::new(Shared {
            executor: Rc::new(LocalExecutor::new()),
            lifecycle: RefCell::default(),
            accepting: async_channel::bounded(1),
            successor: RefCell::default(),
            event_numberings: Numberings::default(),
            engines_support_databases: Cell::new(false),
            process_overrides: OnceCell::new(),
            limits: Cell::new(limits),
            engine_sockets: Rc::default(),
            max_engine_sockets: Cell::new(0),
            engine_actors: Rc::default(),
            client_sockets: Rc::default(),
            max_client_sockets: Cell::new(0),
            closing_sockets: Rc::default(),
            max_closing_sockets: Cell::new(0),
            listening: Rc::default(),
            open_listeners: Rc::default(),
            listeners: RefCell::default(),
            listeners_accepted_elsewhere: Rc::default(),
            listeners_closing: Cell::new(false),
            connections_with_unwritten_output: Rc::default(),
            requests_at_predecessor: Rc::default(),
            unwritten_bytes: Cell::new(0),
            max_unwritten_bytes: Cell::new(0),
            unread_bytes: Cell::new(0),
            max_unread_bytes: Cell::new(0),
            clients: RefCell::default(),
            next_conn: Cell::new(1),
            buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            admin_enabled: Cell::new(false),
            metrics: RefCell::default(),
            actor_panics: Rc::default(),
            dispatches: Cell::new(0),
            lease_view: RefCell::default(),
            fleet_view: RefCell::default(),
            active_configuration: Cell::default(),
            lease_requests: RefCell::default(),
            audit_commands: RefCell::default(),
            traffic: Rc::default(),
        });
        shared.set_limits(descriptors, memory_mb);
        shared
    }

    /// Sets the limits, at the start or at a reload. The system's limit of descriptors applies
    /// where it is lower.
    pub fn set_limits(&self, descriptors: usize, memory_mb: u64) {
        let system = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let system = system.map_or(usize::MAX, |max| usize::try_from(max).unwrap_or(usize::MAX));
        self.limits.set(ProcessLimits {
            descriptors: descriptors.min(system),
            memory_mb,
        });
        self.apply_capacity_share();
    }

    /// Divides this process's share of the limits, which is all of them unless another process of
    /// the gateway runs during a hot restart.
    ///
    /// Half of the descriptors are for clients, a quarter for engines and an eighth for connections
    /// that are being closed; the rest remains for the admin endpoint, the coordinator and the
    /// other process. An eighth of the memory is for responses that clients have not read, and an
    /// eighth for buffered input from clients.
    pub fn apply_capacity_share(&self) {
        let share = self.lifecycle.borrow().capacity_share();
        let share = share.max(MIN_CAPACITY_SHARE);
        let limits = self.limits.get();
        let descriptors = (limits.descriptors as f64 * share) as usize;
        let memory_mb = (limits.memory_mb as f64 * share) as u64;
        self.max_engine_sockets.set((descriptors / 4).max(4));
        self.max_client_sockets.set((descriptors / 2).max(4));
        self.max_closing_sockets.set((descriptors / 8).max(2));
        let (min_mb, max_mb) = MEMORY_MB_RANGE;
        let max_bytes = ((memory_mb.clamp(min_mb, max_mb) / 8) as usize) << 20;
        self.max_unwritten_bytes.set(max_bytes);
        self.max_unread_bytes.set(max_bytes);
    }

    /// Whether another process accepts from the listeners, so that this one must not close them.
    pub fn listeners_are_shared(&self) -> bool {
        self.lifecycle.borrow().shares_listeners() || self.listeners_accepted_elsewhere.get() > 0
    }

    /// Makes the listeners stop accepting connections, for good.
    pub fn stop_accepting(&self) {
        self.accepting.0.close();
    }

    /// Whether the client has closed its side of this connection, also while earlier input is still
    /// unread. To be called immediately before an attempt for the client is written. Costs one
    /// system call.
    pub fn client_disconnected(&self, conn: u64) -> bool {
        let clients = self.clients.borrow();
        clients
            .get(&conn)
            .is_none_or(|status| status.disconnected())
    }

    /// The current metrics for the admin endpoint.
    pub fn current_metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            dispatches: self.dispatches.get(),
            actor_panics: self.actor_panics.get(),
            client_connections: self.clients.borrow().len() as u64,
            ..self.metrics.borrow().clone()
        }
    }

    /// Starts an actor, which runs until it returns. A panic ends only this actor.
    pub fn spawn(&self, actor: impl Future<Output = ()> + 'static) {
        let contained = self.contain_panic("an actor", actor);
        self.executor.spawn(contained).detach();
    }

    /// Runs a part of an actor; `None` if it panicked. The caller then has to complete the work
    /// that other actors still expect from the part.
    pub fn contain_panic<F: Future>(&self, name: &'static str, part: F) -> ContainPanic<F> {
        ContainPanic::new(part, name, &self.actor_panics)
    }
}
