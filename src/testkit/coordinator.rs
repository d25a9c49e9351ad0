//! A stand-in coordinator, which sends numbered events to every client that watches it.
use super::{Executor, listener};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{Endpoint, EngineId, Readiness};
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const KIND_HEARTBEAT: u8 = 0;
const KIND_FULL: u8 = 1;
const KIND_CHANGES: u8 = 2;
/// The length of a frame's header: the event's number and its kind.
const HEADER_BYTES: usize = 9;
/// The number of the first event that is sent as a frame. The event before it is the endpoint list
/// in the daemon's configuration.
const FIRST_INDEX: u64 = 2;
/// Interval between two checks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of polls between two heartbeats.
const POLLS_PER_HEARTBEAT: u32 = 100;

/// A stand-in coordinator.
pub struct Coordinator {
    /// The address at which it listens.
    pub addr: SocketAddr,
    state: Rc<State>,
    /// Closing this channel ends the coordinator; dropping the sender does not.
    shutdown: Sender<()>,
}

/// The state that its connections share.
#[derive(Default)]
struct State {
    /// The frames of the events, from [`FIRST_INDEX`] on.
    frames: RefCell<Vec<Vec<u8>>>,
    /// Incremented to close all open connections.
    close_count: Cell<u64>,
    /// Incremented to stop sending events on the open connections.
    stall_count: Cell<u64>,
}

fn encode_record(listed: &ListedEndpoint) -> Vec<u8> {
    let endpoint = &listed.endpoint;
    let ip = match listed.addr.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => [0; 4],
    };
    let readiness = match endpoint.readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Removed => 2,
    };
    let mut record = (endpoint.id.0 as u32).to_be_bytes().to_vec();
    record.extend(ip);
    record.extend(listed.addr.port().to_be_bytes());
    record.push(readiness);
    record.extend([endpoint.zone.0 as u8, endpoint.machine_type.0 as u8]);
    record.extend(endpoint.cell.0.to_be_bytes());
    record.extend(((endpoint.weight * 1000.0) as u32).to_be_bytes());
    record.extend((endpoint.started_at / 1_000_000).to_be_bytes());
    record
}

fn encode_frame(index: u64, kind: u8, records: &[u8]) -> Vec<u8> {
    let length = HEADER_BYTES + records.len();
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend(index.to_be_bytes());
    frame.push(kind);
    frame.extend(records);
    frame
}

impl Coordinator {
    /// Starts a coordinator without events.
    pub fn start(executor: &Executor) -> Coordinator {
        Coordinator::start_with(executor, Vec::new())
    }

    /// Starts another coordinator, which takes over the events of this one and continues their
    /// numbers.
    pub fn successor(&self, executor: &Executor) -> Coordinator {
        let frames = self.state.frames.borrow().clone();
        Coordinator::start_with(executor, frames)
    }

    fn start_with(executor: &Executor, frames: Vec<Vec<u8>>) -> Coordinator {
        let (listener, addr) = listener();
        let state = Rc::new(State {
            frames: RefCell::new(frames),
            ..State::default()
        });
        let (shutdown, ended) = bounded::<()>(1);
        let serve = accept_connections(executor.clone(), state.clone(), listener, ended);
        // The task holds a sender as well, so that the coordinator outlives this handle.
        let kept_open = shutdown.clone();
        let task = async move {
            serve.await;
            drop(kept_open);
        };
        executor.spawn(task).detach();
        Coordinator {
            addr,
            state,
            shutdown,
        }
    }

    /// Sends a new event with changed endpoints.
    pub fn send_changes(&self, endpoints: &[ListedEndpoint]) {
        self.send(KIND_CHANGES, endpoints);
    }

    /// Sends a new event with the complete list.
    pub fn send_full_list(&self, endpoints: &[ListedEndpoint]) {
        self.send(KIND_FULL, endpoints);
    }

    fn send(&self, kind: u8, endpoints: &[ListedEndpoint]) {
        let records: Vec<u8> = endpoints.iter().flat_map(encode_record).collect();
        let mut frames = self.state.frames.borrow_mut();
        let index = frames.len() as u64 + FIRST_INDEX;
        frames.push(encode_frame(index, kind, &records));
    }

    /// Stops sending events on the connections that are open now, which stay open.
    pub fn stall_connections(&self) {
        let stall_count = &self.state.stall_count;
        stall_count.set(stall_count.get() + 1);
    }

    /// Stops accepting connections and closes the open ones.
    pub fn shut_down(&self) {
        self.shutdown.close();
        self.close_connections();
    }

    /// Closes the connections that are open now.
    pub fn close_connections(&self) {
        let close_count = &self.state.close_count;
        close_count.set(close_count.get() + 1);
    }
}

/// Accepts connections until the channel is closed, and serves each in a separate task.
async fn accept_connections(
    executor: Executor,
    state: Rc<State>,
    listener: Async<TcpListener>,
    ended: Receiver<()>,
) {
    let mut incoming = Box::pin(listener.incoming());
    let end = async || {
        let _ = ended.recv().await;
        None
    };
    while let Some(Ok(stream)) = or(end(), incoming.next()).await {
        let state = state.clone();
        let serve = async move {
            // The daemon may close the connection at any time.
            let _ = serve_watch(stream, &state).await;
        };
        executor.spawn(serve).detach();
    }
}

/// Sends heartbeats and the events after the number that the client sends at the start.
async fn serve_watch(mut stream: Async<TcpStream>, state: &State) -> io::Result<()> {
    let close_count = state.close_count.get();
    let stall_count = state.stall_count.get();
    let mut last_index = [0; 8];
    stream.read_exact(&mut last_index).await?;
    let last_index = u64::from_be_bytes(last_index);
    let mut sent = (last_index + 1).saturating_sub(FIRST_INDEX) as usize;
    let mut polls = 0;
    while state.close_count.get() == close_count {
        if state.stall_count.get() == stall_count {
            let frames: Vec<Vec<u8>> = state.frames.borrow().iter().skip(sent).cloned().collect();
            sent += frames.len();
            for frame in frames {
                stream.write_all(&frame).await?;
            }
        }
        if polls % POLLS_PER_HEARTBEAT == 0 {
            let heartbeat = encode_frame(sent as u64 + 1, KIND_HEARTBEAT, &[]);
            stream.write_all(&heartbeat).await?;
        }
        polls += 1;
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}

/// A listed endpoint that is ready, in the first zone and cell, and of the first machine type.
pub fn ready_endpoint(id: u32, addr: SocketAddr) -> ListedEndpoint {
    let endpoint = Endpoint {
        id: EngineId(u64::from(id)),
        readiness: Readiness::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    ListedEndpoint { endpoint, addr }
}

/// The `known` section of a configuration, with one event that lists these endpoints.
pub fn known(endpoints: &[ListedEndpoint], zones: &[&str], machine_types: &[&str]) -> Value {
    let server = |listed: &ListedEndpoint| {
        let endpoint = &listed.endpoint;
        json!({
            "id": format!("s-{:08x}", endpoint.id.0),
            "addr": listed.addr.to_string(),
            "zone": zones[usize::from(endpoint.zone.0)],
            "kind": machine_types[usize::from(endpoint.machine_type.0)],
            "cell": endpoint.cell.0,
            "state": "in_service",
            "weight": 1,
            "started_ms": 0,
        })
    };
    let servers: Vec<Value> = endpoints.iter().map(server).collect();
    let list = json!({"version": 1, "full": true, "servers": servers});
    json!({"index": 1, "updates": [{"index": 1, "endpoints": list}]})
}
