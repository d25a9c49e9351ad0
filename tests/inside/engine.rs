//! Which connection of an engine carries an attempt.
use super::{Handle, bounded};
use crate::interface::{AttemptNo, RequestId};
use crate::manager::Job;
use std::cell::Cell;
use std::rc::Rc;

fn job(single: bool) -> Job {
    let (id, attempt, class, until) = (RequestId(1), AttemptNo(0), "lookup".into(), 9_000_000);
    let (key, statement, session) = ("k".into(), Rc::from(&b"select"[..]), None);
    Job { id, attempt, key, class, statement, session, single, until, ..Job::default() }
}

/// A connection of four streams, one attempt on it or none, which has answered before or not.
fn connection(taken: bool, proven: bool) -> Handle {
    let (orders, mailbox) = bounded(8);
    // The mailbox stays open: this stands for a connection's task.
    std::mem::forget(mailbox);
    let handle = Handle {
        orders,
        free: Rc::new(Cell::new(if taken { 3 } else { 4 })),
        attempts: Rc::default(),
        stale: Rc::default(),
        alone: Cell::new(false),
        proven: Rc::new(Cell::new(proven)),
    };
    handle.attempts.borrow_mut().extend(taken.then_some(RequestId(9)));
    handle
}

/// Guards against resets, which strike most at the first that a connection carries, and against spoilt answers to
/// others: what must never run twice goes alone, on one that has answered before where there is one.
#[test]
fn what_must_never_run_twice_prefers_an_idle_connection_that_has_answered() {
    let conns = [connection(false, false), connection(true, true), connection(false, true)];
    let pick = |job: Job| {
        let room = conns.iter().enumerate().filter(|(_, c)| c.takes(&job, true));
        room.min_by_key(|(_, c)| c.rank(&job)).map(|(at, _)| at)
    };
    assert_eq!(pick(job(true)), Some(2));
    assert_eq!(pick(job(false)), Some(1), "others share the fullest");
}
