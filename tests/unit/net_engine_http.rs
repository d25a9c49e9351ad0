//! The actor of an engine of the ClickHouse interface, on real sockets. Guards against a response
//! that is delivered to a request other than its own: responses are matched with requests by their
//! order on a connection alone.
use super::tests::{CLIENT, connect_client};
use super::{ConnectionOptions, EndpointHandle, EngineCommand, StartActor, spawn};
use crate::backend::clickhouse::{ClickHouse, Credentials};
use crate::clock::{self, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, AttemptResult, ProbeOutcome};
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::policy::api::{AttemptNo, EngineId, OutcomeKind, Readiness, RequestId};
use crate::testkit::{listener, wait_until};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

const PING_START: &str = "GET /ping ";
const STATEMENT_START: &str = "POST /?";
const PING_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n";
const ROWS: &str = "own\t1\n";
const STATEMENT_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nown\t1\n";

/// A connection that the engine accepted.
struct AcceptedConnection {
    stream: TcpStream,
    input: String,
    /// How many bytes of `input` belong to requests that were answered.
    answered: usize,
    is_closed: bool,
}

/// An engine that answers only when told to, and the actor that is connected to it.
struct EngineFixture {
    shared: Rc<Shared>,
    events: Receiver<DispatcherEvent>,
    engine: Async<TcpListener>,
    endpoint: Rc<EndpointHandle>,
    connections: Vec<AcceptedConnection>,
    attempts: Vec<AttemptResult>,
    probes: Vec<ProbeOutcome>,
    /// The client of the statement. Without it the statement would not be sent.
    _client: TcpStream,
    /// Events that keep the mailboxes of the client's actor open.
    connected_events: Vec<DispatcherEvent>,
}

fn clickhouse_actor(shared: &Rc<Shared>, dispatcher: &Sender<DispatcherEvent>) -> StartActor {
    let (shared, dispatcher) = (shared.clone(), dispatcher.clone());
    let options = ConnectionOptions {
        connect_timeout: 5 * SEC,
        keepalive: 15 * SEC,
        supports_databases: true,
    };
    Rc::new(move |endpoint| {
        let new_protocol = || ClickHouse::new(Rc::new(Credentials::default()));
        spawn(&shared, dispatcher.clone(), endpoint, options, new_protocol)
    })
}

impl EngineFixture {
    fn new() -> EngineFixture {
        let shared = Shared::new(64, 64);
        let (dispatcher, events) = async_channel::bounded(100);
        let (engine, addr) = listener();
        let start = clickhouse_actor(&shared, &dispatcher);
        let mut fixture = EngineFixture {
            endpoint: EndpointHandle::new(EngineId(1), addr, Readiness::Ready, start),
            _client: connect_client(&shared, &dispatcher),
            shared,
            events,
            engine,
            connections: Vec::new(),
            attempts: Vec::new(),
            probes: Vec::new(),
            connected_events: Vec::new(),
        };
        fixture.run_until(|fixture| fixture.shared.clients.borrow().contains_key(&CLIENT));
        fixture
    }

    fn run_until(&mut self, mut condition: impl FnMut(&EngineFixture) -> bool) {
        let executor = self.shared.executor.clone();
        let reached = async_io::block_on(executor.run(wait_until(|| {
            self.poll_engine();
            self.poll_dispatcher();
            condition(self)
        })));
        let inputs: Vec<&str> = self.connections.iter().map(|c| &*c.input).collect();
        assert!(
            reached,
            "the condition was never met: received {inputs:?}, attempts {:?}, probes {:?}",
            self.attempts, self.probes
        );
    }

    fn poll_engine(&mut self) {
        if let Ok((stream, _)) = self.engine.get_ref().accept() {
            stream.set_nonblocking(true).expect("a socket");
            self.connections.push(AcceptedConnection {
                stream,
                input: String::new(),
                answered: 0,
                is_closed: false,
            });
        }
        self.connections
            .iter_mut()
            .for_each(AcceptedConnection::poll);
    }

    fn poll_dispatcher(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            match event {
                DispatcherEvent::AttemptFinished(result) => self.attempts.push(result),
                DispatcherEvent::ProbeCompleted(outcome) => self.probes.push(outcome),
                DispatcherEvent::ClientConnected { .. } => self.connected_events.push(event),
                _ => {}
            }
        }
    }

    fn send_probe(&self) {
        let probe = EngineCommand::Probe {
            not_after: clock::Micros::MAX,
        };
        assert_eq!(self.endpoint.send(probe), Ok(()));
    }

    fn send_statement(&self) {
        let request = AttemptRequest {
            id: RequestId(1),
            attempt: AttemptNo(0),
            client_connection: CLIENT,
            client_request_id: "k".into(),
            class: "lookup".into(),
            statement: Rc::from(&b"SELECT 1"[..]),
            deadline: clock::read() + 9 * SEC,
            ..AttemptRequest::default()
        };
        assert_eq!(self.endpoint.send(EngineCommand::Start(request)), Ok(()));
    }

    /// How many requests that start like this the engine has received.
    fn received(&self, start: &str) -> usize {
        let inputs = self.connections.iter();
        inputs
            .map(|connection| connection.input.matches(start).count())
            .sum()
    }

    fn answer_all(&mut self) {
        self.connections
            .iter_mut()
            .for_each(AcceptedConnection::answer_all);
    }

    /// Checks that the statement and the ping received their own responses. On a slow machine the
    /// ping may time out first.
    fn assert_own_responses(&self) {
        let [attempt] = &self.attempts[..] else {
            panic!("not one result: {:?}", self.attempts)
        };
        let rows = String::from_utf8_lossy(&attempt.reply.rows);
        assert_eq!((attempt.termination, &*rows), (Termination::Done, ROWS));
        let [probe] = &self.probes[..] else {
            panic!("not one outcome: {:?}", self.probes)
        };
        assert!(matches!(probe.kind, OutcomeKind::Ok | OutcomeKind::Timeout));
    }
}

impl AcceptedConnection {
    fn poll(&mut self) {
        let mut buffer = [0; 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => self.input += &String::from_utf8_lossy(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
    }

    /// Answers the requests that have no response yet, in their order.
    fn answer_all(&mut self) {
        loop {
            let rest = &self.input[self.answered..];
            let next = [
                (PING_START, PING_RESPONSE),
                (STATEMENT_START, STATEMENT_RESPONSE),
            ]
            .into_iter()
            .filter_map(|(start, response)| Some((rest.find(start)? + start.len(), response)))
            .min();
            let Some((length, response)) = next else {
                return;
            };
            // The connection may be closed already, after a ping that timed out.
            let _ = self.stream.write_all(response);
            self.answered += length;
        }
    }
}

/// Guards against the `Ok.` of a health check as the result of a statement: the engine hangs with a
/// ping unanswered, and a statement is sent meanwhile.
#[test]
fn a_statement_does_not_receive_the_late_response_to_a_ping() {
    let mut fixture = EngineFixture::new();
    fixture.send_probe();
    fixture.run_until(|fixture| fixture.received(PING_START) == 1);
    fixture.send_statement();
    fixture.run_until(|fixture| fixture.received(STATEMENT_START) == 1);

    fixture.answer_all();
    fixture.run_until(|fixture| !fixture.attempts.is_empty() && !fixture.probes.is_empty());

    fixture.assert_own_responses();
    assert_eq!(fixture.connections.len(), 2);
}

/// The same where both are assigned to a connection before its task has processed either.
#[test]
fn a_ping_and_a_statement_that_are_assigned_at_once_receive_their_own_responses() {
    for statement_first in [true, false] {
        let mut fixture = EngineFixture::new();
        if statement_first {
            fixture.send_statement();
            fixture.send_probe();
        } else {
            fixture.send_probe();
            fixture.send_statement();
        }
        fixture.run_until(|fixture| {
            fixture.received(PING_START) == 1 && fixture.received(STATEMENT_START) == 1
        });

        fixture.answer_all();
        fixture.run_until(|fixture| !fixture.attempts.is_empty() && !fixture.probes.is_empty());

        fixture.assert_own_responses();
    }
}

/// Guards against connections that pile up at an engine that hangs, and against its late responses:
/// a connection on which a ping has timed out is closed.
#[test]
fn a_connection_is_closed_when_its_ping_has_timed_out() {
    let mut fixture = EngineFixture::new();
    fixture.send_probe();
    fixture.run_until(|fixture| fixture.received(PING_START) == 1);

    fixture.run_until(|fixture| !fixture.probes.is_empty() && fixture.connections[0].is_closed);

    assert_eq!(fixture.probes[0].kind, OutcomeKind::Timeout);
    fixture.send_statement();
    fixture.run_until(|fixture| fixture.received(STATEMENT_START) == 1);
    assert!(fixture.connections[1].input.starts_with(STATEMENT_START));
}
