//! A stand-in coordinator, which sends numbered events to every client that watches it.
use super::{Executor, listener};
use crate::net::discovery::{ListedEndpoint, WatchEvent, frame};
use crate::policy::api::{Endpoint, EngineId, Readiness};
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

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

/// What a coordinator sends to those who watch it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speech {
    /// Events and heartbeats.
    #[default]
    Speaking,
    /// Nothing. Connections stay open.
    Silent,
    /// Nothing on connections that are opened from now on.
    SilentOnNewConnections,
    /// Heartbeats, but no events.
    HeartbeatsOnly,
    /// The beginning of one frame, and nothing after it.
    PartialFrame,
    /// Nothing: each connection is closed.
    Closing,
}

/// The state that its connections share.
#[derive(Default)]
struct State {
    speech: Cell<Speech>,
    /// The frames of the events, from [`FIRST_INDEX`] on.
    frames: RefCell<Vec<Vec<u8>>>,
    /// Incremented to close all open connections.
    close_count: Cell<u64>,
    /// Incremented to stop sending events on the open connections.
    stall_count: Cell<u64>,
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
        self.send(false, endpoints);
    }

    /// Sends a new event with the complete list.
    pub fn send_full_list(&self, endpoints: &[ListedEndpoint]) {
        self.send(true, endpoints);
    }

    fn send(&self, full: bool, endpoints: &[ListedEndpoint]) {
        let mut frames = self.state.frames.borrow_mut();
        let event = WatchEvent {
            index: frames.len() as u64 + FIRST_INDEX,
            full,
            endpoints: endpoints.to_vec(),
        };
        frames.push(frame::encode_event(&event));
    }

    /// Sets what is sent from now on.
    pub fn set_speech(&self, speech: Speech) {
        self.state.speech.set(speech);
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

/// The bytes of a frame that [`Speech::PartialFrame`] sends: the length and a part of the number.
const PARTIAL_FRAME: [u8; 6] = [0, 0, 0, 36, 0, 0];

/// Sends heartbeats and the events after the number that the client sends at the start, as far as
/// the coordinator speaks.
async fn serve_watch(mut stream: Async<TcpStream>, state: &State) -> io::Result<()> {
    let close_count = state.close_count.get();
    let stall_count = state.stall_count.get();
    let mut last_index = [0; 8];
    stream.read_exact(&mut last_index).await?;
    let last_index = u64::from_be_bytes(last_index);
    let mut sent = (last_index + 1).saturating_sub(FIRST_INDEX) as usize;
    let mut polls = 0;
    if state.speech.get() == Speech::SilentOnNewConnections {
        return stay_silent(state, close_count).await;
    }
    while state.close_count.get() == close_count {
        let speech = state.speech.get();
        match speech {
            Speech::Closing => return Ok(()),
            Speech::PartialFrame => {
                stream.write_all(&PARTIAL_FRAME).await?;
                return stay_silent(state, close_count).await;
            }
            _ => {}
        }
        let sends_events = matches!(speech, Speech::Speaking | Speech::SilentOnNewConnections);
        if sends_events && state.stall_count.get() == stall_count {
            let frames: Vec<Vec<u8>> = state.frames.borrow().iter().skip(sent).cloned().collect();
            sent += frames.len();
            for frame in frames {
                stream.write_all(&frame).await?;
            }
        }
        let sends_heartbeats = sends_events || speech == Speech::HeartbeatsOnly;
        if sends_heartbeats && polls % POLLS_PER_HEARTBEAT == 0 {
            let heartbeat = frame::encode_heartbeat(sent as u64 + 1);
            stream.write_all(&heartbeat).await?;
        }
        polls += 1;
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Keeps a connection open, on which nothing more is sent, until connections are closed.
async fn stay_silent(state: &State, close_count: u64) -> io::Result<()> {
    while state.close_count.get() == close_count && state.speech.get() != Speech::Closing {
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
