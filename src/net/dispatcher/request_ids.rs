//! Publishes the ids of admitted requests to the other processes of a hot restart.
use crate::dispatcher::Dispatcher;
use async_channel::Sender;

/// The radix of request ids.
const HEX: u32 = 16;

/// A request id as text: 16 hex digits.
pub(super) fn to_text(id: u64) -> String {
    format!("{id:016x}")
}

/// A request id as a number; `None` if it is not of the form that frontends admit.
fn to_number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, HEX).ok()
}

/// The sessions with other processes.
#[derive(Default)]
pub(super) struct RequestIdFollowers {
    followers: Vec<Sender<u64>>,
}

impl RequestIdFollowers {
    /// Adds a session, and sends it all ids that are known so far.
    pub(super) fn add(&mut self, dispatcher: &Dispatcher, follower: Sender<u64>) {
        for id in dispatcher.known_request_ids().filter_map(to_number) {
            // The channel is unbounded. An error means that the session has ended.
            let _ = follower.try_send(id);
        }
        self.followers.push(follower);
    }

    /// Sends an id to all sessions if the dispatcher knows it.
    pub(super) fn publish(&mut self, dispatcher: &Dispatcher, id: &str) {
        if self.followers.is_empty() || !dispatcher.knows_request_id(id) {
            return;
        }
        let Some(id) = to_number(id) else {
            return;
        };
        self.followers
            .retain(|follower| follower.try_send(id).is_ok());
    }
}
