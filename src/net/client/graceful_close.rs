//! The graceful close of a client connection (lingering close). A close with unread input would
//! reset the connection, and the client would lose the last response.
use super::connection::{ClientConnection, read_into_shared_buffer};
use crate::clock::{self, MS, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::frontend::Frontend;
use crate::net::{CountGuard, Shared, sleep_until};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, yield_now};
use std::io;
use std::net::{Shutdown, TcpStream};

/// How long writing the remaining output may take.
const FINAL_WRITE_TIMEOUT: Micros = SEC;
/// How long to wait for the client to close its side.
const LINGER_TIMEOUT: Micros = 300 * MS;
/// The most bytes that are read and discarded in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;

impl<F: Frontend> ClientConnection<'_, F> {
    /// Writes the remaining output, shuts down the write side, and reads and discards what the
    /// client still sends, within limits. A request that crosses the close is sent again elsewhere
    /// by its client. Returns `reason`.
    pub(super) async fn close_gracefully(self, reason: Termination) -> Termination {
        let final_write = CountGuard::new(&self.shared.connections_with_unwritten_output);
        let write_side_closed = self.write_remaining_output().await
            && self.stream.get_ref().shutdown(Shutdown::Write).is_ok();
        if !write_side_closed {
            return reason;
        }
        drop(final_write);
        // While the connection waits for its client to close it counts against no limit of bytes, so
        // it has no buffers.
        let ClientConnection {
            shared,
            stream,
            socket_guard,
            output_guard,
            output,
            input_quota,
            frontend,
            deferred,
            ..
        } = self;
        drop((output_guard, output, input_quota, frontend, deferred));
        // A connection that only waits for its client to close does not count as a client socket.
        let closing_limit = shared.max_closing_sockets.get();
        let Some(_closing_guard) = CountGuard::up_to(&shared.closing_sockets, closing_limit) else {
            // One read removes the input that has arrived, so that the close resets the connection
            // as seldom as possible.
            let _ = io::Read::read(&mut stream.get_ref(), &mut shared.buffer.borrow_mut());
            return reason;
        };
        drop(socket_guard);
        let linger_ends_at = clock::read() + LINGER_TIMEOUT;
        or(
            discard_input(&stream, shared),
            sleep_until(Some(linger_ends_at)),
        )
        .await;
        reason
    }

    /// Whether all output was written in time.
    async fn write_remaining_output(&self) -> bool {
        let deadline = clock::read() + FINAL_WRITE_TIMEOUT;
        let mut socket = &*self.stream;
        let write = async { socket.write_all(self.output.pending()).await.is_ok() };
        let timeout = async {
            sleep_until(Some(deadline)).await;
            false
        };
        or(write, timeout).await
    }
}

/// Reads and discards input until the client closes its side, a read fails, or the limit is
/// reached.
async fn discard_input(stream: &Async<TcpStream>, shared: &Shared) {
    let mut discarded = 0;
    while discarded < MAX_LINGER_BYTES {
        match read_into_shared_buffer(stream, shared).await {
            Ok(count) if count > 0 => discarded += count,
            _ => break,
        }
        yield_now().await;
    }
}
