//! Mailboxes that hold at most so many messages, and take memory for what is in them: a thousand
//! peers that say nothing cost next to none. All on one thread, so that a look at the length holds
//! until the next wait.
use async_channel::{Receiver, TrySendError};

/// Where messages for an actor go.
#[derive(Debug)]
pub struct Sender<T> {
    line: async_channel::Sender<T>,
    most: usize,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender {
            line: self.line.clone(),
            most: self.most,
        }
    }
}

/// A mailbox of at most `most` messages.
pub fn bounded<T>(most: usize) -> (Sender<T>, Receiver<T>) {
    let (line, mailbox) = async_channel::unbounded();
    (Sender { line, most }, mailbox)
}

impl<T> Sender<T> {
    /// Puts a message in.
    ///
    /// # Errors
    ///
    /// Gives the message back where there is no room or the mailbox is closed.
    pub fn try_send(&self, message: T) -> Result<(), TrySendError<T>> {
        if self.line.len() >= self.most && !self.line.is_closed() {
            return Err(TrySendError::Full(message));
        }
        self.line.try_send(message)
    }

    /// Messages that wait.
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Nothing more goes in; what is in can still be taken. Whether it was open.
    pub fn close(&self) -> bool {
        self.line.close()
    }

    /// Whether nothing more goes in.
    pub fn is_closed(&self) -> bool {
        self.line.is_closed()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/mailbox.rs"]
mod tests;
