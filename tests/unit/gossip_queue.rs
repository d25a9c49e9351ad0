//! The queue of piggybacked updates: limited retransmission, priority and size.
use super::GossipQueue;
use crate::membership::{MemberUpdate, codec};
use crate::testkit::membership_simulation::joining_update;

/// Enough bytes for any number of updates.
const UNLIMITED_BYTES: usize = usize::MAX;

/// Takes the names of the updates that fit, from a fleet of members 0 to 2.
fn take_names(queue: &mut GossipQueue, free_bytes: usize) -> Vec<String> {
    let members: Vec<MemberUpdate> = (0..3).map(|index| joining_update(index, 1)).collect();
    queue
        .take_fitting(free_bytes, |name| {
            members.iter().find(|member| member.name == name)
        })
        .into_iter()
        .map(|update| update.name)
        .collect()
}

#[test]
fn an_update_is_transmitted_a_limited_number_of_times() {
    let mut queue = GossipQueue::default();
    queue.enqueue("m0", 2);

    assert_eq!(take_names(&mut queue, UNLIMITED_BYTES), ["m0"]);
    assert_eq!(take_names(&mut queue, UNLIMITED_BYTES), ["m0"]);
    assert!(take_names(&mut queue, UNLIMITED_BYTES).is_empty());
}

#[test]
fn an_update_that_was_transmitted_waits_behind_the_others() {
    let one_update = codec::update_size(&joining_update(0, 1));
    let mut queue = GossipQueue::default();
    queue.enqueue("m0", 3);
    queue.enqueue("m1", 3);

    assert_eq!(take_names(&mut queue, one_update), ["m1"]);
    assert_eq!(take_names(&mut queue, one_update), ["m0"]);
}

#[test]
fn a_newer_update_of_a_member_replaces_the_queued_one() {
    let mut queue = GossipQueue::default();
    queue.enqueue("m0", 1);
    queue.enqueue("m0", 1);

    assert_eq!(take_names(&mut queue, UNLIMITED_BYTES), ["m0"]);
    assert!(take_names(&mut queue, UNLIMITED_BYTES).is_empty());
}

#[test]
fn no_more_than_the_free_bytes_are_taken_and_unknown_members_are_removed() {
    let one_update = codec::update_size(&joining_update(0, 1));
    let mut queue = GossipQueue::default();
    queue.enqueue("m0", 1);
    queue.enqueue("unknown", 1);

    assert!(take_names(&mut queue, one_update - 1).is_empty());
    assert_eq!(take_names(&mut queue, UNLIMITED_BYTES), ["m0"]);
}
