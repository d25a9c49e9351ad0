//! Containment of panics: a panic in one part of an actor ends only that part.
use crate::log;
use std::cell::Cell;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Runs a part of an actor; resolves to `None` if it panicked, which is counted and logged. The
/// part is boxed: an `async` block around it would store it twice, which costs memory for each
/// client connection.
pub struct ContainPanic<F> {
    part: Pin<Box<F>>,
    name: &'static str,
    panics: Rc<Cell<u64>>,
}

impl<F> ContainPanic<F> {
    /// Wraps `part`, which the log line calls `name`. A panic increments `panics`.
    pub(super) fn new(part: F, name: &'static str, panics: &Rc<Cell<u64>>) -> ContainPanic<F> {
        ContainPanic {
            part: Box::pin(part),
            name,
            panics: Rc::clone(panics),
        }
    }
}

impl<F: Future> Future for ContainPanic<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let part = self.part.as_mut();
        if let Ok(poll) = catch_unwind(AssertUnwindSafe(|| part.poll(context))) {
            return poll.map(Some);
        }
        self.panics.set(self.panics.get() + 1);
        log!(
            "{} panicked and has ended, with its connections, requests and attempts",
            self.name
        );
        Poll::Ready(None)
    }
}
