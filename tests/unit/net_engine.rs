//! The selection of the connection that carries an attempt. Guards against attempts that are sent
//! for a client that has disconnected.
use super::connection_handle::{ConnectionHandle, ConnectionStatus};
use super::{ConnectionOptions, EndpointHandle, EngineCommand, StartActor, bounded, spawn};
use crate::backend::platform::Platform;
use crate::clock::SEC;
use crate::config::process::Names;
use crate::dispatcher::AttemptRequest;
use crate::dispatcher::termination::TransmitProgress;
use crate::frontend::jsonrpc::JsonRpc;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::policy::api::{AttemptNo, EngineId, Readiness, RequestId};
use crate::testkit::{listener, wait_until};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

pub(super) const CLIENT: u64 = 7;

fn attempt(must_not_repeat: bool) -> AttemptRequest {
    AttemptRequest {
        id: RequestId(1),
        attempt: AttemptNo(0),
        client_request_id: "k".into(),
        class: "lookup".into(),
        statement: Rc::from(&b"select"[..]),
        must_not_repeat,
        deadline: 9 * SEC,
        ..AttemptRequest::default()
    }
}

/// A connection of four streams with one attempt on it, or none.
fn connection(in_use: bool, has_received: bool) -> ConnectionHandle {
    let (commands, mailbox) = bounded(8);
    // Keeps the mailbox open, as the task of a connection would.
    std::mem::forget(mailbox);
    let status = ConnectionStatus {
        free_streams: Cell::new(if in_use { 3 } else { 4 }),
        has_received: Cell::new(has_received),
        ..ConnectionStatus::default()
    };
    let attempts = in_use.then_some(RequestId(9));
    status.attempts.borrow_mut().extend(attempts);
    ConnectionHandle {
        commands,
        status: Rc::new(status),
        exclusive: Cell::new(false),
    }
}

/// Resets are most frequent at the first request of a connection, and a corrupted response ends the
/// other attempts on it: an attempt that must never run twice gets a connection of its own, and
/// where possible one that has received data.
#[test]
fn a_non_idempotent_attempt_prefers_an_idle_connection_that_has_received_data() {
    let connections = [
        connection(false, false),
        connection(true, true),
        connection(false, true),
    ];
    let select = |request: AttemptRequest| {
        connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.accepts(&request, true))
            .min_by_key(|(_, connection)| connection.preference(&request))
            .map(|(index, _)| index)
    };

    assert_eq!(select(attempt(true)), Some(2));
    assert_eq!(
        select(attempt(false)),
        Some(1),
        "other attempts share the busiest connection"
    );
}

/// When the client disconnects.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disconnect {
    BeforeFirstByte,
    AfterFirstByte,
}

/// An engine, and a client whose connection has an actor.
struct EngineFixture {
    shared: Rc<Shared>,
    events: Receiver<DispatcherEvent>,
    engine: Async<TcpListener>,
    endpoint: Rc<EndpointHandle>,
    client: Option<TcpStream>,
    engine_connection: Option<TcpStream>,
    /// The bytes that the engine has read.
    engine_input: Vec<u8>,
    /// What was reported to the dispatcher about the client and the attempt.
    reported: Vec<String>,
    /// Events that keep the mailboxes of the client's actor open.
    connected_events: Vec<DispatcherEvent>,
}

/// The client's end of a connection whose other end has an actor.
pub(super) fn connect_client(
    shared: &Rc<Shared>,
    dispatcher: &Sender<DispatcherEvent>,
) -> TcpStream {
    let (listener, addr) = listener();
    let client = TcpStream::connect(addr).expect("a connection");
    let (stream, _) = listener.get_ref().accept().expect("a connection");
    let frontend = JsonRpc::new(CLIENT, Rc::default(), Rc::new(|| true));
    crate::net::client::start(
        shared,
        dispatcher.clone(),
        Async::new(stream).expect("a socket"),
        CLIENT,
        frontend,
        None,
    );
    client
}

/// Starts actors that speak the platform's protocol.
fn platform_actor(shared: &Rc<Shared>, dispatcher: &Sender<DispatcherEvent>) -> StartActor {
    let (shared, dispatcher) = (shared.clone(), dispatcher.clone());
    let names = Rc::new(Names {
        max_streams: 4,
        ..Names::default()
    });
    let options = ConnectionOptions {
        connect_timeout: 5 * SEC,
        keepalive: 15 * SEC,
        supports_databases: false,
    };
    Rc::new(move |endpoint| {
        let names = names.clone();
        let new_protocol = move || Platform::new(names.clone());
        spawn(&shared, dispatcher.clone(), endpoint, options, new_protocol)
    })
}

impl EngineFixture {
    fn new() -> EngineFixture {
        let shared = Shared::new(64, 64);
        let (dispatcher, events) = async_channel::bounded(100);
        let (engine, addr) = listener();
        let start = platform_actor(&shared, &dispatcher);
        let endpoint = EndpointHandle::new(EngineId(1), addr, Readiness::Ready, start);
        let client = connect_client(&shared, &dispatcher);
        EngineFixture {
            shared,
            events,
            engine,
            endpoint,
            client: Some(client),
            engine_connection: None,
            engine_input: Vec::new(),
            reported: Vec::new(),
            connected_events: Vec::new(),
        }
    }

    fn run_until(&mut self, mut condition: impl FnMut(&mut EngineFixture) -> bool) {
        let executor = self.shared.executor.clone();
        let reached = async_io::block_on(executor.run(wait_until(|| condition(self))));
        assert!(reached, "the condition was never met");
    }

    /// The client writes a part of a message and disconnects. Its actor is delayed: the end of
    /// stream follows bytes that are not read yet.
    fn disconnect_client(&mut self) {
        let mut client = self.client.take().expect("a client");
        client.write_all(b"{\"jsonrpc\":").expect("written");
    }

    fn poll_engine(&mut self) {
        if self.engine_connection.is_none()
            && let Ok((stream, _)) = self.engine.get_ref().accept()
        {
            stream.set_nonblocking(true).expect("a socket");
            self.engine_connection = Some(stream);
        }
        let mut buffer = [0; 256];
        if let Some(mut stream) = self.engine_connection.as_ref()
            && let Ok(count) = stream.read(&mut buffer)
        {
            self.engine_input.extend_from_slice(&buffer[..count]);
        }
    }

    fn poll_dispatcher(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            match event {
                DispatcherEvent::ClientDisconnected(conn) => {
                    self.reported.push(format!("client {conn} disconnected"));
                }
                DispatcherEvent::AttemptFinished(result) => {
                    let (termination, progress) = (result.termination, result.progress);
                    self.reported.push(format!("{termination:?} {progress:?}"));
                }
                DispatcherEvent::ClientConnected { .. } => self.connected_events.push(event),
                _ => {}
            }
        }
    }

    fn reported_unsent(&self) -> bool {
        let unsent = format!("{:?}", TransmitProgress::Unsent);
        self.reported.iter().any(|line| line.contains(&unsent))
    }
}

/// Starts an attempt for a client that disconnects. Returns what the engine read and what was
/// reported to the dispatcher.
fn dispatch(disconnect: Disconnect) -> (String, Vec<String>) {
    let mut fixture = EngineFixture::new();
    fixture.run_until(|fixture| fixture.shared.clients.borrow().contains_key(&CLIENT));
    let request = AttemptRequest {
        client_connection: CLIENT,
        statement: Rc::from(&b"SELECT 1"[..]),
        deadline: crate::clock::read() + 9 * SEC,
        ..attempt(false)
    };
    let disconnects_before = disconnect == Disconnect::BeforeFirstByte;
    if disconnects_before {
        fixture.disconnect_client();
    }
    assert_eq!(fixture.endpoint.send(EngineCommand::Start(request)), Ok(()));
    fixture.run_until(|fixture| {
        fixture.poll_engine();
        fixture.poll_dispatcher();
        if fixture.engine_input.ends_with(b"SELECT 1\r\n") && fixture.client.is_some() {
            fixture.disconnect_client();
        }
        !fixture.reported.is_empty() && fixture.reported_unsent() == disconnects_before
    });
    let text = String::from_utf8(fixture.engine_input).expect("text");
    (text, fixture.reported)
}

/// Guards against work for a client that disconnected before the first byte. The disconnect is
/// reported to the dispatcher before the end of the attempt, so that the dispatcher does not retry
/// it.
#[test]
fn no_attempt_is_sent_for_a_client_that_has_disconnected() {
    let (engine_input, reported) = dispatch(Disconnect::BeforeFirstByte);

    assert_eq!(engine_input, "");
    let position = |wanted: &str| reported.iter().position(|line| line == wanted);
    let disconnected = position("client 7 disconnected");
    let cancelled = position("Cancelled Unsent");
    assert!(
        disconnected < cancelled && disconnected.is_some(),
        "{reported:?}"
    );
}

/// An attempt whose first byte was written is sent completely, and once.
#[test]
fn an_attempt_whose_first_byte_was_sent_is_sent_completely_if_its_client_disconnects() {
    let (engine_input, reported) = dispatch(Disconnect::AfterFirstByte);

    assert_eq!(engine_input.matches("do k ").count(), 1, "{engine_input}");
    assert!(
        reported.iter().any(|line| line == "client 7 disconnected"),
        "{reported:?}"
    );
    assert!(
        !reported.iter().any(|line| line.contains("Unsent")),
        "{reported:?}"
    );
}
