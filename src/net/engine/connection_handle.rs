//! The handle by which an engine's actor uses one of its connections, and the choice of the
//! connection that carries an attempt.
use super::{EngineCommand, MailboxSender};
use crate::dispatcher::AttemptRequest;
use crate::policy::api::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The state of a connection that its task shares with the engine's actor.
#[derive(Debug, Default)]
pub(super) struct ConnectionStatus {
    /// The number of attempts that the connection can carry in addition to those in flight.
    pub(super) free_streams: Cell<usize>,
    /// The requests with an attempt on the connection, including attempts that its task has not
    /// processed yet.
    pub(super) attempts: RefCell<BTreeSet<RequestId>>,
    /// Requests that may not be retried on the connection.
    pub(super) abandoned_requests: RefCell<BTreeSet<RequestId>>,
    /// Whether anything was received from the engine on the connection.
    pub(super) has_received: Cell<bool>,
}

/// The order in which connections are preferred for an attempt, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    never_received: bool,
    free_streams: usize,
}

/// The engine actor's handle of a connection. Dropping it closes the connection.
pub(super) struct ConnectionHandle {
    pub(super) commands: MailboxSender<EngineCommand>,
    pub(super) status: Rc<ConnectionStatus>,
    /// The latest attempt on the connection must never run twice: the connection carries no other
    /// attempt meanwhile.
    pub(super) exclusive: Cell<bool>,
}

impl ConnectionHandle {
    /// Whether the connection may carry this attempt. While sockets are available, an attempt that
    /// must never run twice shares no connection: a corrupted response to another attempt, or a
    /// reset, would end it too, and it would be unknown whether it ran.
    pub(super) fn accepts(&self, request: &AttemptRequest, sockets_available: bool) -> bool {
        let unused = self.status.attempts.borrow().is_empty() && self.commands.is_empty();
        let needs_exclusive = request.must_not_repeat || self.exclusive.get();
        let may_share = unused || !sockets_available || !needs_exclusive;
        let abandoned = self
            .status
            .abandoned_requests
            .borrow()
            .contains(&request.id);
        may_share && self.has_free_stream() && !abandoned
    }

    /// Whether the connection can carry one more attempt or probe. Each command that its task has
    /// not processed yet may use a stream.
    pub(super) fn has_free_stream(&self) -> bool {
        self.status.free_streams.get() > self.commands.len()
    }

    /// Prefers the connection with the fewest free streams, so that surplus connections become idle
    /// and are closed. An attempt that must never run twice prefers one that has received data:
    /// resets are most frequent at the first request of a connection.
    pub(super) fn preference(&self, request: &AttemptRequest) -> Preference {
        Preference {
            never_received: request.must_not_repeat && !self.status.has_received.get(),
            free_streams: self.status.free_streams.get(),
        }
    }

    pub(super) fn carries(&self, id: RequestId) -> bool {
        self.status.attempts.borrow().contains(&id)
    }

    /// Assigns an attempt to the connection. Returns it if the connection's mailbox is full or
    /// closed.
    pub(super) fn start_attempt(&self, request: AttemptRequest) -> Result<(), Box<AttemptRequest>> {
        let (id, must_not_repeat) = (request.id, request.must_not_repeat);
        match self.commands.try_send(EngineCommand::Start(request)) {
            Ok(()) => {
                self.status.attempts.borrow_mut().insert(id);
                self.exclusive.set(must_not_repeat);
                Ok(())
            }
            Err(error) => match error.into_inner() {
                EngineCommand::Start(request) => Err(Box::new(request)),
                _ => unreachable!("the mailbox returns the command that was not sent"),
            },
        }
    }

    /// Sends a command that must not be lost: if the mailbox is full, the connection is closed,
    /// which ends all attempts on it.
    pub(super) fn send_or_close(&self, command: EngineCommand) {
        if self.commands.try_send(command).is_err() {
            self.commands.close();
        }
    }

    /// Sends a command that may be lost if the mailbox is full.
    pub(super) fn send_best_effort(&self, command: EngineCommand) {
        let _ = self.commands.try_send(command);
    }
}
