//! The successors of a process: which one receives its client connections.
use super::*;
use async_channel::bounded;

/// Guards the client connections of a process with two ready successors, one of which exits: they
/// have to be transferred to the other one. In a past fault the sender of the exited one was kept,
/// and what was sent to it was lost.
#[test]
fn connections_are_transferred_to_the_remaining_ready_successor() {
    let shared = Shared::new(64, 64);
    let table = SuccessorTable::default();
    let (first, _first_items) = bounded(1);
    let (second, second_items) = bounded(1);
    let target = || shared.successor.borrow().clone();

    table.set(&shared, 1, SuccessorState::Starting, &first);
    assert!(target().is_none());
    table.set(&shared, 1, SuccessorState::Ready, &first);
    assert!(target().is_some_and(|target| target.same_channel(&first)));
    table.set(&shared, 2, SuccessorState::Starting, &second);
    assert!(target().is_some_and(|target| target.same_channel(&first)));
    table.set(&shared, 2, SuccessorState::Ready, &second);
    assert!(target().is_some_and(|target| target.same_channel(&second)));

    drop(second_items);
    assert_eq!(table.remove(&shared, 2), Some(SuccessorState::Ready));
    assert!(target().is_some_and(|target| target.same_channel(&first)));
    assert_eq!(table.remove(&shared, 1), Some(SuccessorState::Ready));
    assert!(target().is_none());
}
