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

/// Guards client connections against a transfer to a successor that was asked to stop, and the
/// listeners against a close while another successor starts.
#[test]
fn a_stopping_successor_receives_no_connections_and_does_not_hide_a_starting_one() {
    let shared = Shared::new(64, 64);
    let table = SuccessorTable::default();
    let (items, _receiver) = bounded(1);

    table.set(&shared, 1, SuccessorState::Starting, &items);
    table.set_stopping(&shared, 1);
    assert!(
        shared.lifecycle.borrow().has_successor(),
        "it shares the listeners until it exits"
    );
    table.set(&shared, 1, SuccessorState::Ready, &items);
    table.set_stopping(&shared, 1);
    assert!(shared.successor.borrow().is_none());
    assert!(!shared.lifecycle.borrow().has_successor());

    table.set(&shared, 2, SuccessorState::Starting, &items);
    assert!(shared.lifecycle.borrow().has_successor());
    assert_eq!(table.remove(&shared, 1), Some(SuccessorState::Stopping));
    assert!(shared.lifecycle.borrow().has_successor());
}
