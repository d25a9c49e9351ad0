//! A separate thread for stand-ins, so that a test can block while they respond.
use super::Executor;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::block_on;
use std::rc::Rc;
use std::sync::mpsc;

/// The maximum number of queued tasks.
const TASK_QUEUE: usize = 16;

type Task<S> = Box<dyn FnOnce(&mut S, &Executor) + Send>;

/// The handle of a thread with the stand-ins `S`. The thread ends when the handle is dropped.
pub struct StandInThread<S> {
    tasks: Sender<Task<S>>,
}

impl<S: 'static> StandInThread<S> {
    /// Starts the thread and builds the stand-ins on it.
    pub fn start(build: impl FnOnce(&Executor) -> S + Send + 'static) -> StandInThread<S> {
        let (tasks, queue) = bounded(TASK_QUEUE);
        std::thread::spawn(move || run(build, &queue));
        StandInThread { tasks }
    }

    /// Runs a task on the thread and waits for its result.
    ///
    /// # Panics
    /// The thread has panicked.
    pub fn call<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut S, &Executor) -> T + Send + 'static,
    ) -> T {
        let (result_sender, result) = mpsc::channel();
        let task: Task<S> = Box::new(move |stand_ins, executor| {
            drop(result_sender.send(task(stand_ins, executor)))
        });
        let sent = self.tasks.send_blocking(task).is_ok();
        assert!(sent, "the stand-ins run as long as their handle exists");
        result.recv().expect("the task completes")
    }
}

impl<S> Drop for StandInThread<S> {
    fn drop(&mut self) {
        self.tasks.close();
    }
}

/// Runs the stand-ins until the task queue is closed.
fn run<S>(build: impl FnOnce(&Executor) -> S, queue: &Receiver<Task<S>>) {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let mut stand_ins = build(&executor);
    block_on(executor.run(async {
        while let Ok(task) = queue.recv().await {
            task(&mut stand_ins, &executor);
        }
    }));
}
