//! The actors around the dispatcher, which own the sockets, the timers and the threads.
//!
//! Each peer (a client connection, an engine, the coordinator) has an actor with a bounded mailbox,
//! and so have the endpoint list, the fleet's membership and the dispatcher. All actors run on one
//! thread and share a [`Shared`] state, so no access to it needs a lock.
pub mod address_claim;
pub mod admin;
pub mod audit;
pub mod client;
mod contain_panic;
pub mod discovery;
pub mod dispatcher;
pub mod engine;
pub mod fleet;
pub mod hot_restart;
pub mod mailbox;
mod quota;
pub mod reload;
mod shared;
pub mod tenant_directory;

pub use contain_panic::ContainPanic;
pub use quota::{ByteQuota, CountGuard};
pub use shared::{ProcessLimits, Shared};

use crate::clock::{self, Micros};
use async_io::{Async, Timer};
use std::io;
use std::os::unix::net::UnixStream;

/// The size of the buffers for reads from sockets, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Waits until this time, or forever if it is `None`.
pub async fn sleep_until(at: Option<Micros>) {
    match at {
        Some(at) => {
            Timer::at(clock::instant(at)).await;
        }
        None => std::future::pending().await,
    }
}

/// Reads once from a stream into the buffer, waiting until it is readable. Returns the number of
/// bytes, 0 at the end of the stream.
pub async fn read_some(stream: &Async<UnixStream>, buffer: &mut [u8]) -> io::Result<usize> {
    stream
        .read_with(|stream| io::Read::read(&mut &*stream, buffer))
        .await
}
