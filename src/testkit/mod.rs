//! The test kit: stand-ins on the loopback interface for everything that the daemon communicates
//! with, and short scripted scenarios. The tests of this repository use the same stand-ins.
pub mod audit;
pub mod blocked_links;
pub mod clients;
pub mod coordinator;
pub mod daemon;
pub mod directory;
pub mod engines;
pub mod execution_log;
pub mod fault_proxy;
pub mod fleet;
pub mod http_reader;
pub mod membership_simulation;
pub mod planned_restart;
pub mod plot;
pub mod ports;
pub mod probe_simulation;
pub mod scale;
pub mod scenario;
pub mod stand_in_thread;

pub use execution_log::ExecutionLog;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks of a condition.
const POLL_INTERVAL_MILLIS: u64 = 5;
/// The number of checks after which a condition counts as not met: 30 seconds, long enough for slow
/// machines.
const MAX_POLLS: usize = 6_000;
/// Time after which an operation counts as hung.
const OPERATION_TIMEOUT_MILLIS: u64 = 30_000;

/// The executor of the stand-ins.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Binds a listener to a free port of the loopback interface.
pub fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free loopback port");
    let addr = listener.get_ref().local_addr().expect("the port's address");
    (listener, addr)
}

/// Polls a condition until it is met, for 30 seconds at most. Returns whether it was met.
pub async fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    for _ in 0..MAX_POLLS {
        if condition() {
            return true;
        }
        pause(POLL_INTERVAL_MILLIS).await;
    }
    false
}

/// Waits for this many milliseconds.
pub async fn pause(millis: u64) {
    Timer::after(Duration::from_millis(millis)).await;
}

/// Waits for an operation, or returns `None` after a timeout that is long enough for slow machines.
pub async fn in_time<T>(operation: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(operation.await) };
    let timeout = async {
        pause(OPERATION_TIMEOUT_MILLIS).await;
        None
    };
    futures_lite::future::or(completed, timeout).await
}
