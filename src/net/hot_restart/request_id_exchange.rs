//! One session's part in the exchange of request ids: two processes of a manager must not admit the
//! same request.
use crate::hot_restart::message::HotRestartMessage;
use crate::net::dispatcher::DispatcherEvent;
use async_channel::{Receiver, Sender, unbounded};

/// The most ids that are written at once.
const MAX_IDS_PER_WRITE: usize = 256;

/// The ids that this process's dispatcher knows, for the other process, and the reverse.
pub(super) struct RequestIdExchange {
    dispatcher: Sender<DispatcherEvent>,
    known_ids: Receiver<u64>,
}

impl RequestIdExchange {
    /// Subscribes to the ids that the dispatcher knows and admits.
    pub(super) async fn start(dispatcher: &Sender<DispatcherEvent>) -> RequestIdExchange {
        let (follower, known_ids) = unbounded();
        // The dispatcher's mailbox is closed only while the process exits.
        let _ = dispatcher
            .send(DispatcherEvent::FollowRequestIds(follower))
            .await;
        RequestIdExchange {
            dispatcher: dispatcher.clone(),
            known_ids,
        }
    }

    /// Waits for ids, and returns the messages that report them to the other process.
    pub(super) async fn next_messages(&self) -> Vec<u8> {
        let Ok(first) = self.known_ids.recv().await else {
            return std::future::pending().await;
        };
        let further = std::iter::from_fn(|| self.known_ids.try_recv().ok());
        std::iter::once(first)
            .chain(further.take(MAX_IDS_PER_WRITE - 1))
            .flat_map(|id| HotRestartMessage::RequestAdmitted { id }.encode())
            .collect()
    }

    /// Reports an id of the other process to the dispatcher.
    pub(super) async fn received(&self, id: u64) {
        let _ = self
            .dispatcher
            .send(DispatcherEvent::RequestAdmittedElsewhere(id))
            .await;
    }
}
