//! The capacity of mailboxes, and the effects of closing one.
use super::bounded;
use async_channel::TrySendError;

#[test]
fn a_full_mailbox_returns_the_message_until_one_is_received() {
    let (sender, receiver) = bounded(3);
    (0..3).for_each(|message| sender.try_send(message).expect("capacity"));

    assert!(matches!(sender.try_send(3), Err(TrySendError::Full(3))));
    assert_eq!(sender.len(), 3);

    assert_eq!(receiver.try_recv(), Ok(0));
    sender.try_send(4).expect("capacity again");
}

#[test]
fn a_closed_mailbox_rejects_messages_but_delivers_those_in_it() {
    let (sender, receiver) = bounded(3);
    [1, 2, 4]
        .into_iter()
        .for_each(|message| sender.try_send(message).expect("capacity"));

    assert!(sender.close());
    assert!(sender.is_closed());
    assert!(!sender.close(), "it was closed before");
    assert!(matches!(
        sender.clone().try_send(5),
        Err(TrySendError::Closed(5))
    ));

    let delivered: Vec<i32> = std::iter::from_fn(|| receiver.try_recv().ok()).collect();
    assert_eq!(delivered, [1, 2, 4]);
    assert!(sender.is_empty());
}
