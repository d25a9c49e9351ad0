//! The admin endpoint: its listener, and the actor of each operator's connection. Responses are
//! built from the lifecycle and from what the dispatcher and other actors published last; a request
//! never waits for the dispatcher.
use super::{CountGuard, Shared, sleep_until};
use crate::audit::RecordPosition;
use crate::clock::{self, MS, Micros, SEC};
use crate::frontend::admin::{self, AdminRequest, RequestError};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Upper bound on the limit of concurrent operators' connections.
const MAX_CONNECTIONS: usize = 16;
/// Lower bound on the limit of concurrent operators' connections.
const MIN_CONNECTIONS: usize = 2;
/// The limit of operators' connections is the process's limit of descriptors divided by this. Their
/// descriptors belong to the quarter that neither clients nor engines use.
const DESCRIPTORS_PER_CONNECTION: usize = 16;
/// An operator has to send a complete request within this time.
const REQUEST_TIMEOUT: Micros = 2 * SEC;
/// Time limit for writing the response and closing the connection.
const RESPONSE_TIMEOUT: Micros = SEC;
/// Time for which input is read and discarded after the response: closing a connection with unread
/// input would reset it, and the response would be lost.
const LINGER_TIMEOUT: Micros = 200 * MS;
/// Pause of the listener after a failed `accept`.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// The size of a read, in bytes.
const READ_BYTES: usize = 1024;

/// The open connections by their numbers, oldest first. Closing the channel of one closes the
/// connection.
type Connections = Rc<RefCell<BTreeMap<u64, Sender<()>>>>;

/// Accepts operators' connections. At the limit the oldest one is closed to admit the new one: its
/// request is incomplete, or its response has not been read.
pub async fn listen(shared: Rc<Shared>, listener: Async<TcpListener>) {
    let connections = Connections::default();
    let open_count = Rc::default();
    let mut incoming = Box::pin(listener.incoming());
    let mut next_id = 0u64;
    while let Some(accepted) = incoming.next().await {
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                log!("admin endpoint: accepting a connection failed, retrying: {error}");
                Timer::after(ACCEPT_ERROR_PAUSE).await;
                continue;
            }
        };
        if connections.borrow().len() >= max_connections(&shared) {
            close_oldest(&connections);
        }
        let (close_sender, close_signal) = bounded(1);
        connections.borrow_mut().insert(next_id, close_sender);
        let actor_shared = Rc::clone(&shared);
        let actor_connections = Rc::clone(&connections);
        let open_guard = CountGuard::new(&open_count);
        let id = next_id;
        shared.spawn(async move {
            serve(&actor_shared, stream, close_signal).await;
            actor_connections.borrow_mut().remove(&id);
            drop(open_guard);
        });
        next_id += 1;
        // Lets a connection that was closed above end before the next one is accepted.
        yield_now().await;
    }
}

fn max_connections(shared: &Shared) -> usize {
    let descriptors = shared.limits.get().descriptors;
    (descriptors / DESCRIPTORS_PER_CONNECTION).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

fn close_oldest(connections: &Connections) {
    if let Some((_, close_sender)) = connections.borrow_mut().pop_first() {
        close_sender.close();
    }
}

/// Reads one request and responds to it, unless the connection is closed to admit another.
async fn serve(shared: &Shared, mut stream: Async<TcpStream>, close_signal: Receiver<()>) {
    // Without TCP_NODELAY the response is only delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let request_due_at = clock::read() + REQUEST_TIMEOUT;
    let close_requested = async {
        // `recv` fails once the channel is closed, which is the signal.
        let _ = close_signal.recv().await;
        None
    };
    let timeout = async {
        sleep_until(Some(request_due_at)).await;
        Some(Err(RequestError::Incomplete))
    };
    let Some(request) = or(close_requested, or(read_request(&mut stream), timeout)).await else {
        return;
    };
    let response = match request {
        Ok(request) => handle(shared, request).await,
        Err(error) => admin::error_response(error),
    };
    let response_due_at = clock::read() + RESPONSE_TIMEOUT;
    or(
        write_and_close(&mut stream, &response),
        sleep_until(Some(response_due_at)),
    )
    .await;
}

/// Reads a request; `None` if the connection ended before it was complete.
async fn read_request(stream: &mut Async<TcpStream>) -> Option<Result<AdminRequest, RequestError>> {
    let mut input = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        let count = stream
            .read(&mut chunk)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        input.extend_from_slice(&chunk[..count]);
        if let Some(request) = admin::parse_request(&input).transpose() {
            return Some(request);
        }
    }
}

/// Writes the response and closes the connection gracefully.
async fn write_and_close(stream: &mut Async<TcpStream>, response: &[u8]) {
    let written = stream.write_all(response).await.is_ok();
    if !written || stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let linger_ends_at = clock::read() + LINGER_TIMEOUT;
    let mut discarded = [0; READ_BYTES];
    let discard = async {
        while stream
            .read(&mut discarded)
            .await
            .is_ok_and(|count| count > 0)
        {}
    };
    or(discard, sleep_until(Some(linger_ends_at))).await;
}

/// Handles a request and returns the response.
async fn handle(shared: &Shared, request: AdminRequest) -> Vec<u8> {
    let now = clock::read();
    match request {
        AdminRequest::Ready => readiness(shared),
        AdminRequest::Metrics => {
            admin::response(200, &admin::metrics_text(&shared.current_metrics()))
        }
        AdminRequest::Drain => drain(shared, now),
        AdminRequest::Undrain => undrain(shared),
        AdminRequest::Audit { since, limit } => audit_page(shared, since, limit).await,
        AdminRequest::Leases => leases(shared),
        AdminRequest::Fleet => fleet_members(shared),
    }
}

fn readiness(shared: &Shared) -> Vec<u8> {
    let lifecycle = shared.lifecycle.borrow();
    let status = if lifecycle.is_ready() { 200 } else { 503 };
    let stage = format!("{}\n", lifecycle.stage());
    admin::response(status, &stage)
}

fn drain(shared: &Shared, now: Micros) -> Vec<u8> {
    shared.lifecycle.borrow_mut().drain(now);
    log!("drain: started by an operator, closing client connections");
    admin::response(200, "draining\n")
}

fn undrain(shared: &Shared) -> Vec<u8> {
    if shared.lifecycle.borrow_mut().undrain() {
        log!("drain: ended by an operator");
        admin::response(200, "serving\n")
    } else {
        log!("drain: an operator could not end it, the process is shutting down");
        admin::response(409, "the program is about to end\n")
    }
}

async fn audit_page(shared: &Shared, since: RecordPosition, limit: usize) -> Vec<u8> {
    match super::audit::read(shared, since, limit).await {
        Some(Ok(page)) => admin::response(200, &page.text()),
        Some(Err(error)) => admin::response(503, &format!("{error}\n")),
        None => admin::response(404, "no audit is kept: no fleet file with [audit]\n"),
    }
}

fn leases(shared: &Shared) -> Vec<u8> {
    match shared.lease_view.borrow().as_ref() {
        Some(view) => admin::response(200, view),
        None => admin::response(
            404,
            "no duties are shared out: no fleet file with [duties]\n",
        ),
    }
}

fn fleet_members(shared: &Shared) -> Vec<u8> {
    match shared.fleet_view.borrow().as_ref() {
        Some(view) => admin::response(200, &view.lines()),
        None => admin::response(404, "no fleet membership: started without a fleet file\n"),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_admin.rs"]
mod tests;
