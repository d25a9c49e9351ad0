//! Order of the queue of requests that wait for capacity.
use super::*;

fn queued(rank: f64, id: u32) -> QueuedRequest {
    QueuedRequest {
        rank,
        id: RequestId(id),
        class: ClassId(0),
    }
}

#[test]
fn sort_puts_the_highest_rank_first_and_breaks_ties_by_id() {
    let mut queue = AdmissionQueue::default();
    for entry in [queued(1.0, 4), queued(2.0, 9), queued(1.0, 3)] {
        queue.push(entry);
    }

    queue.sort();

    let ids: Vec<u32> = queue.take().iter().map(|entry| entry.id.0).collect();
    assert_eq!(ids, [9, 3, 4]);
    assert!(queue.first().is_none(), "take empties the queue");
}

#[test]
fn entries_added_after_a_sort_are_at_the_end() {
    let mut queue = AdmissionQueue::default();
    queue.push(queued(1.0, 1));
    queue.sort();

    queue.push(queued(5.0, 2));

    assert_eq!(queue.first().map(|entry| entry.id), Some(RequestId(1)));
    queue.remove(0);
    assert_eq!(queue.get(0).map(|entry| entry.id), Some(RequestId(2)));
    assert!(queue.get(1).is_none());
}
