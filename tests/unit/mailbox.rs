//! Mailboxes are bounded by count and take memory for what is in them.
use super::bounded;
use async_channel::TrySendError;

/// Guards memory: a full mailbox gives the message back, and has room again once one is taken.
#[test]
fn a_mailbox_is_bounded() {
    let (sender, mailbox) = bounded(3);
    (0..3).for_each(|i| sender.try_send(i).expect("room"));
    assert!(matches!(sender.try_send(3), Err(TrySendError::Full(3))));
    assert_eq!((sender.len(), mailbox.try_recv()), (3, Ok(0)));
    sender.try_send(4).expect("room again");
    assert!(sender.close() && sender.is_closed() && !sender.close());
    assert!(matches!(
        sender.clone().try_send(5),
        Err(TrySendError::Closed(5))
    ));
    let left: Vec<i32> = std::iter::from_fn(|| mailbox.try_recv().ok()).collect();
    assert_eq!(left, [1, 2, 4], "what was in it can still be taken");
    assert!(sender.is_empty());
}
