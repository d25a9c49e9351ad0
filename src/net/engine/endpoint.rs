//! An engine of the endpoint list. Its actor, with a mailbox and connections, exists only while
//! something is in flight or queued for the engine: it is started at the first use, and ends once
//! its last connection is closed.
use super::EngineCommand;
use crate::dispatcher::termination::Termination;
use crate::net::mailbox::Sender;
use crate::policy::api::{EngineId, Readiness};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Starts the actor of an endpoint and returns its mailbox.
pub type StartActor = Rc<dyn Fn(&Rc<EndpointHandle>) -> Sender<EngineCommand>>;

/// The handle of an engine that the endpoint list and the dispatcher share. Its readiness is set
/// here, whether there is an actor or not, and takes effect at once: no command that is received or
/// processed later starts an attempt on a draining engine.
pub struct EndpointHandle {
    /// The engine's id, which alone identifies it: addresses are reused.
    pub id: EngineId,
    /// The address where it listens.
    pub addr: SocketAddr,
    readiness: Cell<Readiness>,
    /// Whether the endpoint is closed for good, see [`EndpointHandle::close`].
    closed: Cell<bool>,
    actor: RefCell<Option<Sender<EngineCommand>>>,
    start_actor: StartActor,
}

impl EndpointHandle {
    /// An endpoint without an actor.
    pub fn new(
        id: EngineId,
        addr: SocketAddr,
        readiness: Readiness,
        start_actor: StartActor,
    ) -> Rc<EndpointHandle> {
        Rc::new(EndpointHandle {
            id,
            addr,
            readiness: Cell::new(readiness),
            closed: Cell::new(false),
            actor: RefCell::default(),
            start_actor,
        })
    }

    /// Whether no new attempt may start on the engine: it is draining or removed.
    pub fn is_draining(&self) -> bool {
        self.readiness.get() != Readiness::Ready
    }

    /// The mailbox of the actor, if one accepts commands.
    fn active_actor(&self) -> Option<Sender<EngineCommand>> {
        let actor = self.actor.borrow().clone();
        actor.filter(|actor| !actor.is_closed())
    }

    /// Whether there is an actor that accepts commands.
    pub fn is_active(&self) -> bool {
        self.active_actor().is_some()
    }

    /// Whether the endpoint has ended: it no longer accepts commands.
    pub fn is_closed(&self) -> bool {
        let removed = self.closed.get() || self.readiness.get() == Readiness::Removed;
        removed && !self.is_active()
    }

    /// Sends a command to the actor. If there is none, an attempt or a load probe starts it.
    ///
    /// # Errors
    ///
    /// The termination of an attempt that cannot be started. Unless the endpoint is closed, a
    /// command about something in flight does not fail if there is no actor: then nothing is in
    /// flight.
    pub fn send(self: &Rc<EndpointHandle>, command: EngineCommand) -> Result<(), Termination> {
        if let Some(actor) = self.active_actor() {
            return actor.try_send(command).map_err(|_| Termination::LocalLimit);
        }
        if self.closed.get() {
            return Err(Termination::LocalLimit);
        }
        if matches!(command, EngineCommand::Start(_)) && self.is_draining() {
            return Err(Termination::Drained);
        }
        if self.is_closed() {
            return Err(Termination::LocalLimit);
        }
        match command {
            EngineCommand::Start(_) | EngineCommand::Probe { .. } => self.start_with(command),
            _ => Ok(()),
        }
    }

    /// Starts the actor with its first command.
    fn start_with(self: &Rc<EndpointHandle>, command: EngineCommand) -> Result<(), Termination> {
        let actor = (self.start_actor)(self);
        let sent = actor.try_send(command).map_err(|_| Termination::LocalLimit);
        *self.actor.borrow_mut() = Some(actor);
        sent
    }

    /// Sets the readiness from the endpoint list. Called before the dispatcher is notified, so that
    /// no attempt that waits to be sent is sent after the change.
    pub fn set_readiness(&self, readiness: Readiness) {
        let previous = self.readiness.replace(readiness);
        let command = match readiness {
            Readiness::Draining if previous == Readiness::Ready => EngineCommand::Drain,
            Readiness::Removed => EngineCommand::Remove,
            _ => return,
        };
        let Some(actor) = self.active_actor() else {
            return;
        };
        // The command must not be lost: closing the mailbox closes the engine's connections.
        if actor.try_send(command).is_err() {
            actor.close();
        }
    }

    /// Ends the actor, its connections and everything on them, after a command that must not be
    /// lost could not be sent. A later command may start another actor.
    pub fn abort(&self) {
        if let Some(actor) = self.active_actor() {
            actor.close();
        }
    }

    /// Closes the endpoint for good: another engine process has its id, or this process exits.
    pub fn close(&self) {
        self.closed.set(true);
        self.abort();
    }

    /// Drops the mailbox of an actor that has ended.
    pub(super) fn release_actor(&self) {
        let mut actor = self.actor.borrow_mut();
        // Another actor may have been started already after an abort.
        if actor.as_ref().is_some_and(Sender::is_closed) {
            *actor = None;
        }
    }
}
