//! One session's part in the exchange of what two processes of a manager have learned of the engines.
//! Each may hear from the coordinator what the other one does not, but the rules bind both from the
//! moment in which either has learned of a drain.
use crate::hot_restart::message::HotRestartMessage;
use crate::log;
use crate::net::Shared;
use crate::net::discovery::coordinator::WatchCommand;
use crate::net::discovery::followers::Follower;
use crate::net::discovery::numbering::Numbering;
use crate::net::discovery::{WatchEvent, frame};
use async_channel::{Receiver, Sender, unbounded};
use std::cell::Cell;
use thiserror::Error;

/// The channels to the actors of discovery.
#[derive(Clone)]
pub struct DiscoveryChannels {
    /// Adds a follower of the endpoint list.
    pub followers: Sender<Follower>,
    /// The mailbox of the coordinator's watch.
    pub watch: Sender<WatchCommand>,
}

/// Which process of the hot restart this one is in the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It sends its list at once.
    Predecessor,
    /// It sends only once it has received a list, which one of an earlier version does not send.
    Successor,
}

impl Role {
    fn of_peer(self) -> &'static str {
        match self {
            Role::Predecessor => "successor",
            Role::Successor => "predecessor",
        }
    }
}

/// Why an event of the other process is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum IgnoredEvent {
    /// Its number can't be compared with those of this process.
    #[error("its configuration begins with another event of the coordinator")]
    OtherNumbering,
    /// It is not a frame with an event.
    #[error("it is not valid")]
    Invalid,
}

/// The exchange of events between this process and the other one of a session.
pub(super) struct EndpointListExchange {
    role: Role,
    watch: Sender<WatchCommand>,
    /// The list of this process as one event, and then each event that it has applied.
    applied: Receiver<WatchEvent>,
    /// The number of the last event taken from `applied`.
    applied_index: Cell<u64>,
    /// The highest number that was received from the other process or sent to it. `None` at a
    /// successor means that nothing was received, as it sends nothing before.
    peer_index: Cell<Option<u64>>,
    /// Whether an ignored event was logged.
    ignored_logged: Cell<bool>,
}

impl EndpointListExchange {
    /// Begins to follow this process's endpoint list.
    pub(super) async fn start(role: Role, channels: &DiscoveryChannels) -> EndpointListExchange {
        let (follower, applied) = unbounded();
        // The actor of the endpoint list ends only when the process exits.
        let _ = channels.followers.send(follower).await;
        EndpointListExchange {
            role,
            watch: channels.watch.clone(),
            applied,
            applied_index: Cell::new(0),
            peer_index: Cell::new(None),
            ignored_logged: Cell::new(false),
        }
    }

    /// Waits until this process has applied an event, and returns the message that reports it to the
    /// other process; empty if that one has the event already.
    pub(super) async fn next_message(&self, shared: &Shared) -> Vec<u8> {
        if self.role == Role::Successor && self.peer_index.get().is_none() {
            return std::future::pending().await;
        }
        let Ok(event) = self.applied.recv().await else {
            return std::future::pending().await;
        };
        self.applied_index.set(event.index);
        let peer_index = self.peer_index.get();
        let numbering = shared.event_numberings.latest();
        let Some(Numbering(numbering)) = numbering.filter(|_| Some(event.index) > peer_index)
        else {
            return Vec::new();
        };
        self.peer_index.set(Some(event.index));
        let frame = frame::encode_event(&event);
        HotRestartMessage::EndpointList { numbering, frame }.encode()
    }

    /// Passes an event of the other process on to the coordinator's watch.
    ///
    /// # Errors
    ///
    /// The event can't be used; the first such event of a session is logged.
    pub(super) async fn received(
        &self,
        shared: &Shared,
        numbering: u64,
        frame: &[u8],
    ) -> Result<(), IgnoredEvent> {
        let event = match usable_event(shared, Numbering(numbering), frame) {
            Ok(event) => event,
            Err(reason) => {
                self.log_ignored(reason);
                return Err(reason);
            }
        };
        let peer_index = self.peer_index.get().max(Some(event.index));
        self.peer_index.set(peer_index);
        // The watch ends only when the process exits.
        let _ = self.watch.send(WatchCommand::Adopt(event)).await;
        Ok(())
    }

    /// Whether a successor has received events and has applied all of them.
    pub(super) fn has_applied_received(&self) -> bool {
        self.peer_index.get().is_some() && !self.is_behind()
    }

    /// Whether this process has not applied an event that was received. What it has sent it has
    /// applied.
    fn is_behind(&self) -> bool {
        self.peer_index.get() > Some(self.applied_index.get())
    }

    /// Waits until this process has applied all events that were received. Used once the session has
    /// ended.
    pub(super) async fn wait_until_applied(&self) {
        while self.is_behind() {
            match self.applied.recv().await {
                Ok(event) => self.applied_index.set(event.index),
                Err(_) => return,
            }
        }
    }

    fn log_ignored(&self, reason: IgnoredEvent) {
        if !self.ignored_logged.replace(true) {
            let peer = self.role.of_peer();
            log!("hot restart: ignored the endpoint list of the {peer}: {reason}");
        }
    }
}

/// Decodes the event of a message, if it can be applied by this process.
fn usable_event(
    shared: &Shared,
    numbering: Numbering,
    encoded: &[u8],
) -> Result<WatchEvent, IgnoredEvent> {
    if !shared.event_numberings.contains(numbering) {
        return Err(IgnoredEvent::OtherNumbering);
    }
    match frame::decode(encoded) {
        Ok(Some(decoded)) if decoded.length == encoded.len() => {
            decoded.frame.to_event().ok_or(IgnoredEvent::Invalid)
        }
        _ => Err(IgnoredEvent::Invalid),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_hot_restart_endpoint_lists.rs"]
mod tests;
