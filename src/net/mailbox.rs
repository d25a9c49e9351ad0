//! Bounded mailboxes whose memory grows with the messages in them, not with their capacity, so that
//! the mailbox of an idle peer takes hardly any. (The channels of `async_channel::bounded` allocate
//! their capacity.)
//!
//! All actors run on one thread, so the length cannot change between a check of it and the next
//! `await`.
use async_channel::{Receiver, TrySendError};

/// The sending half of a mailbox.
#[derive(Debug)]
pub struct Sender<T> {
    channel: async_channel::Sender<T>,
    capacity: usize,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender {
            channel: self.channel.clone(),
            capacity: self.capacity,
        }
    }
}

/// Creates a mailbox for at most `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (channel, receiver) = async_channel::unbounded();
    (Sender { channel, capacity }, receiver)
}

impl<T> Sender<T> {
    /// Puts a message into the mailbox.
    ///
    /// # Errors
    ///
    /// Returns the message if the mailbox is full or closed.
    pub fn try_send(&self, message: T) -> Result<(), TrySendError<T>> {
        if self.channel.len() >= self.capacity && !self.channel.is_closed() {
            return Err(TrySendError::Full(message));
        }
        self.channel.try_send(message)
    }

    /// The number of messages in the mailbox.
    pub fn len(&self) -> usize {
        self.channel.len()
    }

    /// Whether the mailbox has no messages.
    pub fn is_empty(&self) -> bool {
        self.channel.is_empty()
    }

    /// Closes the mailbox: nothing more can be sent, but the messages in it can still be received.
    /// Returns whether it was open.
    pub fn close(&self) -> bool {
        self.channel.close()
    }

    /// Whether the mailbox is closed.
    pub fn is_closed(&self) -> bool {
        self.channel.is_closed()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/mailbox.rs"]
mod tests;
