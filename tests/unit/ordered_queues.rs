//! Invariant 5: requests with the same key run one at a time, in order of arrival.
use super::*;

const KEY: OrderKey = OrderKey(3);
const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

fn two_requests() -> OrderedQueues {
    let mut queues = OrderedQueues::default();
    queues.push(KEY, FIRST);
    queues.push(KEY, SECOND);
    queues
}

#[test]
fn the_oldest_request_of_a_key_is_next_until_it_is_removed() {
    let mut queues = two_requests();
    assert!(queues.is_next(0, KEY, FIRST));
    assert!(!queues.is_next(0, KEY, SECOND));

    queues.remove(KEY, FIRST);

    assert!(queues.is_next(0, KEY, SECOND));
}

#[test]
fn no_request_is_next_during_the_cooldown_of_its_key() {
    let mut queues = two_requests();
    queues.start_cooldown(KEY, 10);
    assert!(!queues.is_next(9, KEY, FIRST));
    assert!(queues.is_next(10, KEY, FIRST));
}

#[test]
fn a_key_is_removed_once_it_has_neither_requests_nor_a_cooldown() {
    let mut queues = two_requests();
    queues.start_cooldown(KEY, 10);
    queues.remove_idle(20);
    assert!(queues.is_next(20, KEY, FIRST), "its requests keep the key");

    queues.remove(KEY, FIRST);
    queues.remove(KEY, SECOND);
    queues.remove_idle(9);
    assert_eq!(queues.queues.len(), 1, "its cooldown keeps the key");
    queues.remove_idle(10);
    assert!(queues.queues.is_empty());
}
