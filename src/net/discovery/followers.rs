//! The sessions with other processes of this manager that follow the endpoint list, so that none of
//! the processes knows less of the engines than another.
use super::WatchEvent;
use async_channel::Sender;

/// Receives the complete list as one event, and then every event that the list applies.
pub type Follower = Sender<WatchEvent>;

/// The followers of the endpoint list.
#[derive(Default)]
pub struct Followers {
    followers: Vec<Follower>,
}

impl Followers {
    /// Adds a follower, which first receives this event with the complete list.
    pub fn add(&mut self, follower: Follower, list: WatchEvent) {
        // The channel is unbounded, so sending fails only if the follower has gone.
        if follower.try_send(list).is_ok() {
            self.followers.push(follower);
        }
    }

    /// Sends an event to all followers, and forgets those that have gone.
    pub fn publish(&mut self, event: &WatchEvent) {
        self.followers
            .retain(|follower| follower.try_send(event.clone()).is_ok());
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }
}
