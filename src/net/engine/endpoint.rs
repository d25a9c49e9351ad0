//! An engine in the list. A listed engine is a row; its actor, with a mailbox and connections, is
//! there only while something is open or owed: made at the first use, and over once its last
//! connection is.
use super::{EngineCommand, Peer};
use crate::dispatcher::termination::Termination;
use crate::net::mailbox::Sender;
use crate::policy::api::{EngineId, Readiness};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Starts the actor of a row, and gives its mailbox.
pub type Start = Rc<dyn Fn(&Rc<EndpointHandle>) -> Sender<EngineCommand>>;

/// What the list and the module share of an engine. Whether it drains is told here, at once and
/// whether there is an actor or not: no order that comes later, or waits, starts anything on it.
pub struct EndpointHandle {
    /// Its id, which alone tells engines apart: addresses are used again.
    pub id: EngineId,
    /// Where it listens.
    pub addr: SocketAddr,
    readiness: Cell<Readiness>,
    /// Replaced under its id by a process at another address.
    closed: Cell<bool>,
    actor: RefCell<Option<Sender<EngineCommand>>>,
    start: Start,
}

impl EndpointHandle {
    /// A row without an actor.
    pub fn new(
        id: EngineId,
        addr: SocketAddr,
        readiness: Readiness,
        start: Start,
    ) -> Rc<EndpointHandle> {
        let (readiness, closed, actor) =
            (Cell::new(readiness), Cell::new(false), RefCell::default());
        Rc::new(EndpointHandle {
            id,
            addr,
            readiness,
            closed,
            actor,
            start,
        })
    }

    /// Whether nothing new may start there.
    pub fn drains(&self) -> bool {
        self.readiness.get() != Readiness::Ready
    }

    /// The actor, if one takes orders.
    fn actor(&self) -> Option<Sender<EngineCommand>> {
        self.actor
            .borrow()
            .clone()
            .filter(|actor| !actor.is_closed())
    }

    /// Whether an actor takes orders for it.
    pub fn is_active(&self) -> bool {
        self.actor().is_some()
    }

    /// Whether it is over: no order will be taken any more.
    pub fn is_closed(&self) -> bool {
        !self.is_active() && (self.closed.get() || self.readiness.get() == Readiness::Removed)
    }

    /// Passes an order on; makes the actor for one that begins something.
    ///
    /// # Errors
    ///
    /// How an attempt that can't begin has ended, never sent. An order about what is open is never
    /// refused for want of an actor: without one nothing is open.
    pub fn tell(self: &Rc<EndpointHandle>, order: EngineCommand) -> Result<(), Termination> {
        if let Some(actor) = self.actor() {
            return actor.try_send(order).map_err(|_| Termination::LocalLimit);
        }
        match &order {
            _ if self.closed.get() => return Err(Termination::LocalLimit),
            EngineCommand::Start(_) if self.drains() => return Err(Termination::Drained),
            _ if self.is_closed() => return Err(Termination::LocalLimit),
            EngineCommand::Start(_) | EngineCommand::Probe(_) => {}
            _ => return Ok(()),
        }
        let actor = (self.start)(self);
        let told = actor.try_send(order).map_err(|_| Termination::LocalLimit);
        *self.actor.borrow_mut() = Some(actor);
        told
    }

    /// The list says so. What waits to go out does not outlive the news: it is told here, before
    /// the module hears of it.
    pub fn mark(&self, readiness: Readiness) {
        let was = self.readiness.replace(readiness);
        let order = match readiness {
            Readiness::Draining if was == Readiness::Ready => EngineCommand::Drain,
            Readiness::Removed => EngineCommand::Gone,
            _ => return,
        };
        // Guards against a lost word: with the mailbox closed the engine's connections end.
        if let Some(actor) = self.actor().filter(|actor| actor.try_send(order).is_err()) {
            actor.close();
        }
    }

    /// Ends the actor and its connections, with what is on them: a word about that could not be
    /// passed on.
    pub fn cut(&self) {
        self.actor().iter().for_each(|actor| _ = actor.close());
    }

    /// The same for good: another process has its id, or the program ends.
    pub fn close(&self) {
        self.closed.set(true);
        self.cut();
    }

    /// The actor is over, and with it its mailbox.
    pub(super) fn release(&self) {
        let mut actor = self.actor.borrow_mut();
        // Cut off, it may have been followed by another one already.
        if actor.as_ref().is_some_and(Sender::is_closed) {
            *actor = None;
        }
    }

    /// What its actor knows of it.
    pub fn peer(&self, connect_timeout: u64, keepalive: u64, databases: bool) -> Peer {
        Peer {
            id: self.id,
            addr: self.addr,
            connect_timeout,
            keepalive,
            databases,
        }
    }
}
