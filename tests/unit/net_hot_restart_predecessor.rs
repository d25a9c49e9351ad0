//! The successors of a process, and where its connections pass.
use super::*;
use async_channel::bounded;

/// Guards the connections of a process with two ready successors, one of which ends: they pass to the
/// other one. The sender of the one that had ended stayed, and what was sent to it was lost.
#[test]
fn connections_pass_to_the_ready_successor_that_is_left() {
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
