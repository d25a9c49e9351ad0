//! The sockets. Each peer has an actor with a bounded mailbox (a client connection, an engine, the
//! coordinator), and so have the list of engines and the module. All run on one thread.
pub mod client;
pub mod coordinator;
pub mod core;
pub mod directory;
pub mod engine;
pub mod list;
pub mod reload;

use crate::clock::{self, Micros};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// What all actors of one program share.
pub struct Shared {
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Ready to serve: the list of engines is known and clients can connect.
    pub ready: Cell<bool>,
    /// Asked to end.
    pub stopping: Cell<bool>,
    /// Connections to engines, and how many there may be.
    pub engine_sockets: Cell<usize>,
    /// How many there may be.
    pub most_engine_sockets: Cell<usize>,
    /// Connections of clients.
    pub client_sockets: Cell<usize>,
    /// How many there may be.
    pub most_client_sockets: Cell<usize>,
    /// Client connections that still have answers to write.
    pub unwritten: Cell<usize>,
    /// Bytes that clients have not taken yet, over all connections, and how many stop the reading of requests.
    pub unwritten_bytes: Cell<usize>,
    /// That many.
    pub most_unwritten_bytes: Cell<usize>,
    /// The next number of a client connection.
    pub next_conn: Cell<u64>,
    /// Whether all engines in service know databases: those that speak the ClickHouse interface do.
    pub databases: Cell<bool>,
}

impl Shared {
    /// For a program that may hold so many descriptors, half for clients and a quarter for engines, and so much
    /// memory, a sixth for answers that wait for their clients.
    pub fn new(sockets: usize, memory_mb: u64) -> Rc<Shared> {
        let shared = Rc::new(Shared {
            executor: Rc::new(LocalExecutor::new()),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            engine_sockets: Cell::new(0),
            most_engine_sockets: Cell::new(0),
            client_sockets: Cell::new(0),
            most_client_sockets: Cell::new(0),
            unwritten: Cell::new(0),
            unwritten_bytes: Cell::new(0),
            most_unwritten_bytes: Cell::new(0),
            next_conn: Cell::new(1),
            databases: Cell::new(false),
        });
        shared.limit(sockets, memory_mb);
        shared
    }

    /// Sets the limits: those of the start, or new ones.
    pub fn limit(&self, sockets: usize, memory_mb: u64) {
        self.most_engine_sockets.set((sockets / 4).max(4));
        self.most_client_sockets.set((sockets / 2).max(4));
        self.most_unwritten_bytes.set(((memory_mb.clamp(6, 1 << 20) / 6) as usize) << 20);
    }

    /// Starts an actor.
    pub fn spawn(&self, actor: impl Future<Output = ()> + 'static) {
        self.executor.spawn(actor).detach();
    }
}

/// Waits until then; forever without a time.
pub async fn until(at: Option<Micros>) {
    match at {
        Some(at) => drop(Timer::at(clock::instant(at)).await),
        None => std::future::pending().await,
    }
}

/// Counts one more while it lives.
pub struct Held<'a>(&'a Cell<usize>);

impl<'a> Held<'a> {
    /// One more, if that is not too many.
    pub fn new(count: &'a Cell<usize>, most: usize) -> Option<Held<'a>> {
        (count.get() < most).then(|| {
            count.set(count.get() + 1);
            Held(count)
        })
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
