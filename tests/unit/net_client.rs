//! Races on a client connection, on real sockets. The actor is suspended until the input, the close
//! or the message has arrived where the test needs it, and then continues. Both orders of each race
//! are tested.
use super::*;
use crate::config::process::Names;
use crate::dispatcher::ClientRequest;
use crate::frontend::jsonrpc::JsonRpc;
use crate::frontend::{DisconnectReason, FrontendEvent};
use crate::testkit::clients::{STATUS, rpc_line};
use crate::testkit::{listener, wait_until};
use async_io::block_on;
use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// The request whose response throttles its client, and the bytes of that response.
const THROTTLING_REQUEST: u64 = 900;
const THROTTLING_RESPONSE_BYTES: usize = 16 << 20;
/// Clients that connect while a listener closes, and how often that is repeated.
const CONNECTING_CLIENTS: usize = 4;
const LISTENER_CLOSES: usize = 8;
/// A response that does not fit into the buffers of the sockets.
const LARGE_RESPONSE_BYTES: usize = 1 << 15;

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn new_frontend(shared: &Rc<Shared>) -> impl Fn(u64) -> JsonRpc + use<> {
    let names = Names {
        classes: owned(&["lookup"]),
        tenants: owned(&["acme", "globex"]),
        ..Names::default()
    };
    let names = Rc::new(RefCell::new(Rc::new(names)));
    let shared = Rc::clone(shared);
    move |id| {
        let shared = Rc::clone(&shared);
        let is_ready = Rc::new(move || shared.lifecycle.borrow().is_ready());
        JsonRpc::new(id, names.clone(), is_ready)
    }
}

/// A registered client connection without an actor: the daemon's end and the client's.
pub(in crate::net) fn register_client(
    shared: &Shared,
    id: u64,
) -> (Rc<Async<TcpStream>>, TcpStream) {
    let (listener, addr) = listener();
    let client = TcpStream::connect(addr).expect("a connection");
    let (accepted, _) = listener.get_ref().accept().expect("a connection");
    let accepted = Rc::new(Async::new(accepted).expect("a socket"));
    let status = ConnectionStatus::new(0, bounded(1).0, Rc::downgrade(&accepted));
    status.has_valid_message.set(true);
    status.idle_since.set(None);
    shared.clients.borrow_mut().insert(id, Rc::new(status));
    (accepted, client)
}

fn request_line(id: u64) -> Vec<u8> {
    rpc_line(
        id,
        "lookup",
        &format!("{id:016x}"),
        "acme",
        9_000,
        "SELECT 1",
    )
}

fn cancellation_line(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"id\":{id}}}}}\n")
        .into_bytes()
}

fn as_request(event: &DispatcherEvent) -> Option<&ClientRequest> {
    match event {
        DispatcherEvent::Request(request) => Some(request),
        _ => None,
    }
}

fn requested_tag(event: DispatcherEvent) -> Option<u64> {
    as_request(&event).map(|request| request.origin.tag)
}

fn cancelled_tag(event: DispatcherEvent) -> Option<u64> {
    match event {
        DispatcherEvent::CancelRequest(origin) => Some(origin.tag),
        _ => None,
    }
}

fn count_requests(events: &Receiver<DispatcherEvent>) -> usize {
    std::iter::from_fn(|| events.try_recv().ok())
        .filter(|event| as_request(event).is_some())
        .count()
}

/// An event that the dispatcher received, and the number of requests up to the end of that batch.
struct Received<T> {
    event: T,
    requests: usize,
}

#[path = "net_client_response_time.rs"]
mod response_time;

/// The actor of one connection, its client, and the events for the dispatcher. The actor runs only
/// while the test waits for a condition.
struct Fixture {
    shared: Rc<Shared>,
    events: Receiver<DispatcherEvent>,
    responses: Sender<(u64, Response)>,
    client: TcpStream,
    /// A second descriptor of the daemon's end, to check which input has arrived there.
    accepted: TcpStream,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_frontend(|shared| new_frontend(shared)(1))
    }

    fn with_frontend<F: Frontend + 'static>(
        new_frontend: impl FnOnce(&Rc<Shared>) -> F,
    ) -> Fixture {
        let (listener, addr) = listener();
        let client = TcpStream::connect(addr).expect("a connection");
        let (stream, _) = listener.get_ref().accept().expect("a connection");
        let accepted = stream.try_clone().expect("a second descriptor");
        let shared = Shared::new(64, 64);
        let (dispatcher, events) = bounded(1_000);
        let stream = Async::new(stream).expect("a socket");
        let frontend = new_frontend(&shared);
        let responses = start(&shared, dispatcher, stream, 1, frontend, None);
        Fixture {
            shared,
            events,
            responses,
            client,
            accepted,
        }
    }

    /// A connection that its actor has registered.
    fn connected() -> Fixture {
        let fixture = Fixture::new();
        fixture.wait_for_connection();
        fixture
    }

    /// A connection whose client has sent a valid message.
    fn with_valid_message() -> Fixture {
        let fixture = Fixture::new();
        fixture.write(STATUS);
        fixture.wait_for_connection();
        fixture.run_until(|| fixture.shared.clients.borrow()[&1].has_valid_message.get());
        fixture
    }

    /// Runs the actor until the condition holds.
    fn run_until(&self, condition: impl FnMut() -> bool) {
        let held = block_on(self.shared.executor.run(wait_until(condition)));
        assert!(held, "the condition never held");
    }

    /// Runs the actor until it sends an event that `select` accepts. Other events are dropped, and
    /// requests are counted.
    fn wait_for<T>(&self, select: impl Fn(DispatcherEvent) -> Option<T>) -> Received<T> {
        let (mut selected, mut requests) = (None, 0);
        self.run_until(|| {
            while let Ok(event) = self.events.try_recv() {
                requests += usize::from(as_request(&event).is_some());
                selected = selected.take().or(select(event));
            }
            selected.is_some()
        });
        Received {
            event: selected.expect("the condition held"),
            requests,
        }
    }

    fn wait_for_connection(&self) {
        self.wait_for(|event| {
            matches!(event, DispatcherEvent::ClientConnected { .. }).then_some(())
        });
    }

    fn wait_for_disconnect(&self) {
        self.wait_for(|event| {
            matches!(event, DispatcherEvent::ClientDisconnected(1)).then_some(())
        });
    }

    fn write(&self, bytes: &[u8]) {
        (&self.client).write_all(bytes).expect("written");
    }

    /// Waits, while the actor is suspended, until that much input has arrived at the daemon's end.
    fn wait_for_input(&self, bytes: usize) {
        let mut input = vec![0; bytes];
        while !matches!(self.accepted.peek(&mut input), Ok(count) if count >= bytes) {
            std::thread::yield_now();
        }
    }

    /// Sends a request, and waits until it is open.
    fn open_request(&self, id: u64) {
        self.write(&request_line(id));
        self.wait_for(requested_tag);
    }

    fn respond(&self, tag: u64, response: Response) {
        self.responses.try_send((tag, response)).expect("capacity");
    }

    /// Begins the shutdown of the process, in its closing stage.
    fn shut_down(&self) {
        let lifecycle = || self.shared.lifecycle.borrow_mut();
        lifecycle().begin_shutdown(clock::read());
        lifecycle().begin_closing();
        begin_shutdown(&self.shared);
    }

    fn shed(&self) {
        self.shared.clients.borrow()[&1].close_checks.close();
    }

    fn wait_for_closing_socket(&self) {
        self.run_until(|| self.shared.closing_sockets.get() == 1);
    }

    fn close_write_side(&self) {
        self.client.shutdown(Shutdown::Write).expect("a socket");
    }

    /// What the client reads up to the end of the connection, which must not be a reset.
    fn read_to_end(&self) -> String {
        let (mut text, mut chunk) = (Vec::new(), vec![0; 1 << 16]);
        self.client.set_nonblocking(true).expect("a socket");
        let mut ended = false;
        self.run_until(|| {
            match (&self.client).read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(count) => text.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => panic!("the connection did not end gracefully: {error}"),
            }
            ended
        });
        String::from_utf8(text).expect("text")
    }

    /// Has the client leave a large response unread, so that its input is deferred until it reads
    /// the response.
    fn throttle(&self) {
        self.open_request(THROTTLING_REQUEST);
        let response = Response::Completed(vec![b'x'; THROTTLING_RESPONSE_BYTES]);
        self.respond(THROTTLING_REQUEST, response);
        self.run_until(|| self.shared.unwritten_bytes.get() > THROTTLING_RESPONSE_BYTES / 4);
    }

    /// Reads the large response to its end.
    fn end_throttle(&self) {
        self.client.set_nonblocking(true).expect("a socket");
        let mut chunk = vec![0; 1 << 16];
        self.run_until(|| {
            let _ = (&self.client).read(&mut chunk);
            self.shared.unwritten_bytes.get() == 0
        });
        self.client.set_nonblocking(false).expect("a socket");
    }

    /// Closes the client, and waits until nothing of the connection is left.
    fn close(self) {
        drop(self.client);
        drop(self.accepted);
        let shared = self.shared;
        let is_closed = || shared.clients.borrow().is_empty() && shared.closing_sockets.get() == 0;
        assert!(block_on(shared.executor.run(wait_until(is_closed))));
    }
}

/// A listener with its actor, and the clients that connect to it.
struct ListenerFixture {
    shared: Rc<Shared>,
    events: Receiver<DispatcherEvent>,
    addr: std::net::SocketAddr,
}

impl ListenerFixture {
    fn new() -> ListenerFixture {
        let (listener, addr) = listener();
        let shared = Shared::new(64, 64);
        let (dispatcher, events) = bounded(1_000);
        let new_frontend = new_frontend(&shared);
        shared.spawn(listen(shared.clone(), dispatcher, listener, new_frontend));
        ListenerFixture {
            shared,
            events,
            addr,
        }
    }

    fn connect(&self, count: usize) -> Vec<TcpStream> {
        (0..count)
            .map(|_| TcpStream::connect(self.addr).expect("a connection"))
            .collect()
    }

    fn run_until(&self, condition: impl FnMut() -> bool) {
        assert!(block_on(self.shared.executor.run(wait_until(condition))));
    }
}

#[test]
fn a_request_that_arrives_before_the_shutdown_gets_a_response() {
    let fixture = Fixture::with_valid_message();
    let request = request_line(7);
    fixture.write(&request);
    fixture.wait_for_input(request.len());

    fixture.shut_down();

    let text = fixture.read_to_end();
    assert!(text.contains("\"code\":-32050"), "{text}");
    assert!(text.contains("\"id\":7"), "{text}");
    fixture.close();
}

#[test]
fn a_request_that_arrives_after_the_shutdown_is_discarded_without_a_reset() {
    let fixture = Fixture::connected();
    fixture.open_request(1);
    fixture.respond(1, Response::Completed(vec![b'x'; LARGE_RESPONSE_BYTES]));
    fixture.shut_down();
    // The client has not read a byte when the write side is shut down; its request crosses the
    // close.
    fixture.wait_for_closing_socket();

    fixture.write(&request_line(2));

    let text = fixture.read_to_end();
    assert!(text.ends_with('\n'), "{} bytes", text.len());
    assert!(text.len() > LARGE_RESPONSE_BYTES, "{} bytes", text.len());
    assert_eq!(count_requests(&fixture.events), 0);
    fixture.close();
}

#[test]
fn a_request_that_arrives_before_its_connection_is_shed_gets_a_response() {
    let fixture = Fixture::with_valid_message();
    let request = request_line(7);
    fixture.write(&request);
    fixture.wait_for_input(request.len());

    fixture.shed();

    fixture.wait_for(requested_tag);
    fixture.respond(7, Response::Rejected(None));
    assert!(fixture.read_to_end().contains("\"id\":7"));
    fixture.close();
}

#[test]
fn a_request_that_arrives_after_its_connection_is_shed_is_discarded_without_a_reset() {
    let fixture = Fixture::with_valid_message();
    fixture.shed();
    fixture.wait_for_closing_socket();

    fixture.write(&request_line(7));

    assert!(!fixture.read_to_end().contains("\"id\":7"));
    fixture.close();
}

#[test]
fn an_incomplete_message_does_not_delay_the_shutdown() {
    let fixture = Fixture::connected();
    let incomplete = &request_line(1)[..20];
    fixture.write(incomplete);
    fixture.run_until(|| fixture.shared.unread_bytes.get() == incomplete.len());

    fixture.shut_down();

    assert_eq!(fixture.read_to_end(), "");
    fixture.close();
}

#[test]
fn clients_in_the_listen_backlog_at_the_shutdown_get_a_response_or_a_graceful_close() {
    let fixture = ListenerFixture::new();
    let shared = &fixture.shared;
    fixture.run_until(|| shared.listening.get() == 1);
    // The clients connect while no connection is accepted, and the shutdown begins before the
    // listener runs again.
    let clients = fixture.connect(3);
    (&clients[0]).write_all(&request_line(7)).expect("written");

    shared.lifecycle.borrow_mut().begin_shutdown(clock::read());
    shared.lifecycle.borrow_mut().begin_closing();
    shared.stop_accepting();

    fixture.run_until(|| shared.listening.get() == 0 && shared.closing_sockets.get() == 3);
    for (index, mut client) in clients.iter().enumerate() {
        let mut text = String::new();
        client.read_to_string(&mut text).expect("a graceful close");
        assert_eq!(text.contains("\"code\":-32050"), index == 0, "{text}");
    }
    drop(clients);
    fixture.run_until(|| shared.clients.borrow().is_empty());
    assert_eq!(count_requests(&fixture.events), 0);
}

/// Guards against work whose response no client waits for, also if the cancellation follows a
/// request whose parsing is deferred.
#[test]
fn a_cancellation_takes_effect_at_once_while_its_client_is_throttled() {
    let fixture = Fixture::connected();
    fixture.open_request(1);
    fixture.throttle();

    fixture.write(
        &[
            request_line(2),
            cancellation_line(2),
            request_line(3),
            cancellation_line(1),
        ]
        .concat(),
    );

    let cancelled = fixture.wait_for(cancelled_tag);
    assert_eq!(cancelled.event, 1);
    assert_eq!(cancelled.requests, 0, "the request before it is deferred");
    // The cancelled request is never forwarded, the other one once the client reads.
    fixture.end_throttle();
    let requested = fixture.wait_for(requested_tag);
    assert_eq!((requested.event, requested.requests), (3, 1));
    fixture.close();
}

#[test]
fn a_cancellation_applies_to_the_request_before_it_and_not_to_a_later_one_with_its_tag() {
    let fixture = Fixture::connected();
    fixture.open_request(1);

    fixture.write(&[cancellation_line(1), request_line(1)].concat());

    let cancelled = fixture.wait_for(cancelled_tag);
    assert_eq!((cancelled.event, cancelled.requests), (1, 1));
    fixture.close();
}

/// Covers a client that sends more input before the end of stream than a connection may defer.
#[test]
fn a_disconnect_is_detected_while_the_client_is_throttled() {
    for input_bytes in [0, 80_000] {
        let fixture = Fixture::connected();
        fixture.open_request(1);
        fixture.throttle();

        fixture.write(&vec![b' '; input_bytes]);
        fixture.close_write_side();

        fixture.wait_for_disconnect();
        fixture.close();
    }
}

#[test]
fn a_cancellation_and_a_disconnect_take_effect_while_responses_are_not_read() {
    let fixture = Fixture::connected();
    (1..=9).for_each(|id| fixture.open_request(id));
    for id in 1..=8 {
        fixture.respond(id, Response::Completed(vec![b'x'; 4 << 20]));
    }
    fixture.run_until(|| fixture.shared.unwritten_bytes.get() > 8 << 20);

    fixture.write(&cancellation_line(9));
    assert_eq!(fixture.wait_for(cancelled_tag).event, 9);

    fixture.close_write_side();
    fixture.wait_for_disconnect();
    fixture.close();
}

/// Tests the check that is made at the time of a dispatch.
#[test]
fn a_disconnect_is_detected_after_unread_input() {
    let fixture = Fixture::connected();
    fixture.write(&request_line(1));
    fixture.wait_for_input(10);
    assert!(!fixture.shared.client_disconnected(1));

    fixture.close_write_side();

    let mut checks = 0;
    while !fixture.shared.client_disconnected(1) && checks < 100_000 {
        checks += 1;
        std::thread::yield_now();
    }
    assert!(fixture.shared.client_disconnected(1));
    fixture.close();
}

/// Guards against closing connections that use up the sockets for new clients. Beyond the limit on
/// closing sockets a connection is closed at once.
#[test]
fn connections_that_wait_for_their_client_to_close_do_not_count_as_client_sockets() {
    let fixture = ListenerFixture::new();
    let shared = &fixture.shared;
    shared.max_closing_sockets.set(2);
    let clients = fixture.connect(5);
    fixture.run_until(|| shared.client_sockets.get() == 5);

    begin_shutdown(shared);
    for status in shared.clients.borrow().values() {
        status.close_checks.close();
    }

    fixture.run_until(|| shared.client_sockets.get() == 0);
    assert!(shared.closing_sockets.get() <= 2);
    drop(clients);
    fixture.run_until(|| shared.closing_sockets.get() == 0);
}

/// Guards against requests of a throttled client without a response at the exit of the process: its
/// connection has to wake up at the shutdown.
#[test]
fn deferred_requests_of_a_throttled_client_get_a_response_at_the_shutdown() {
    let fixture = Fixture::connected();
    fixture.open_request(1);
    fixture.throttle();
    fixture.write(&[request_line(2), request_line(3)].concat());
    let deferred = || fixture.shared.unread_bytes.get() > 0;
    fixture.run_until(deferred);
    assert_eq!(count_requests(&fixture.events), 0);

    fixture.shut_down();
    fixture.respond(1, Response::Rejected(None));

    let text = fixture.read_to_end();
    for id in 1..=3 {
        let response = format!("\"id\":{id},");
        assert!(text.contains(&response), "request {id}: {text}");
    }
}

/// Guards against a search offset beyond the end of the deferred input, which made the actor panic:
/// see docs/incidents/crashed-connection.md.
#[test]
fn a_throttled_client_gets_its_responses_when_the_memory_limit_for_input_is_exceeded() {
    let fixture = Fixture::connected();
    fixture.open_request(1);
    fixture.throttle();
    let deferred: Vec<u8> = (2..30).flat_map(request_line).collect();
    fixture.write(&deferred);
    fixture.run_until(|| fixture.shared.unread_bytes.get() == deferred.len());
    assert!(deferred.len() > 4_096, "more than a connection may keep");

    // Other clients use up the memory, and this one continues to send.
    fixture.shared.max_unread_bytes.set(0);
    fixture.write(&request_line(30));
    fixture.run_until(|| fixture.shared.unread_bytes.get() == 0);
    fixture.write(&request_line(31));
    fixture.run_until(|| fixture.shared.unread_bytes.get() > 0);
    fixture.respond(1, Response::Rejected(None));

    let text = fixture.read_to_end();
    for id in 1..=30 {
        let response = format!("\"id\":{id},");
        assert_eq!(text.matches(&response).count(), 1, "request {id}: {text}");
    }
    assert_eq!(fixture.shared.actor_panics.get(), 0);
    fixture.close();
}

/// Guards against state that remains after an actor panics: its client's requests would run
/// although no client waits for them, and its entry in the registry would count for the life of the
/// process.
#[test]
fn a_connection_whose_actor_panics_is_removed_completely() {
    let fixture = Fixture::with_frontend(|_| PanickingFrontend);
    fixture.wait_for_connection();
    fixture.write(b"x");

    fixture.wait_for_disconnect();

    let shared = &fixture.shared;
    assert!(shared.clients.borrow().is_empty());
    let counts = [
        shared.client_sockets.get(),
        shared.closing_sockets.get(),
        shared.connections_with_unwritten_output.get(),
        shared.unread_bytes.get(),
        shared.unwritten_bytes.get(),
    ];
    assert_eq!(counts, [0; 5]);
    assert_eq!(shared.actor_panics.get(), 1);
    // The descriptor is closed too: once the test's own one is dropped, the client reads the end of
    // stream.
    let Fixture {
        accepted,
        mut client,
        ..
    } = fixture;
    drop(accepted);
    assert_eq!(client.read(&mut [0; 8]).expect("a graceful close"), 0);
}

/// A protocol that panics at the first byte.
struct PanickingFrontend;

impl Frontend for PanickingFrontend {
    fn feed(
        &mut self,
        _now: Micros,
        _input: &[u8],
        _events: &mut Vec<FrontendEvent>,
        _output: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        panic!("this test panics on purpose")
    }

    fn write_response(
        &mut self,
        _now: Micros,
        _tag: u64,
        _response: Response,
        _events: &mut Vec<FrontendEvent>,
        _output: &mut Vec<u8>,
    ) {
    }

    fn open_requests(&self) -> usize {
        0
    }

    fn message_started_at(&self) -> Option<Micros> {
        None
    }

    fn buffered_bytes(&self) -> usize {
        0
    }

    fn stop_reading(&mut self, _reason: DisconnectReason, _output: &mut Vec<u8>) {}

    fn has_valid_message(&self) -> bool {
        true
    }

    fn parsed_messages(&self) -> u64 {
        0
    }

    fn closes_after_output(&self) -> bool {
        false
    }
}

/// Guards against an exit that is delayed by clients that are slow to close their side: the process
/// waits for unwritten responses alone.
#[test]
fn a_connection_that_waits_for_its_client_to_close_counts_no_unwritten_output() {
    let fixture = Fixture::connected();
    fixture.open_request(1);
    fixture.shed();
    fixture.respond(1, Response::Rejected(None));

    fixture.wait_for_closing_socket();

    assert_eq!(fixture.shared.connections_with_unwritten_output.get(), 0);
    assert_eq!(fixture.shared.unwritten_bytes.get(), 0);
}

/// A client that connects continuously until it is refused. Returns how many of its connections
/// were reset. A request may cross the close of its connection, which is then a graceful close for
/// the client.
fn connect_until_refused(addr: std::net::SocketAddr) -> usize {
    let mut resets = 0;
    while let Ok(mut stream) = TcpStream::connect(addr) {
        let exchanged = stream
            .write_all(&request_line(7))
            .and_then(|()| stream.read(&mut [0; 1]));
        resets += usize::from(exchanged.is_err());
    }
    resets
}

/// Guards against a reset of connections that the system completes between the last accept and the
/// close of the listener.
#[test]
fn connections_during_the_close_of_a_listener_get_a_response_or_are_refused() {
    for _ in 0..LISTENER_CLOSES {
        let fixture = ListenerFixture::new();
        let shared = &fixture.shared;
        shared.max_closing_sockets.set(CONNECTING_CLIENTS);
        let addr = fixture.addr;
        let clients: Vec<_> = (0..CONNECTING_CLIENTS)
            .map(|_| std::thread::spawn(move || connect_until_refused(addr)))
            .collect();
        shared.lifecycle.borrow_mut().begin_shutdown(clock::read());
        shared.lifecycle.borrow_mut().begin_closing();
        fixture.run_until(|| shared.next_conn.get() > 50);

        shared.stop_accepting();

        fixture.run_until(|| clients.iter().all(std::thread::JoinHandle::is_finished));
        let resets = clients.into_iter().map(|it| it.join().expect("no panic"));
        assert_eq!(resets.sum::<usize>(), 0);
        assert_eq!(shared.open_listeners.get(), 0);
        assert_eq!(count_unaccepted(shared), 0);
    }
}

/// Guards against throttling a client that reads its responses because others do not read theirs.
#[test]
fn unread_responses_of_other_clients_do_not_defer_requests() {
    let fixture = Fixture::connected();
    let shared = &fixture.shared;
    shared
        .unwritten_bytes
        .set(shared.max_unwritten_bytes.get() + 1);

    fixture.write(&request_line(1));

    assert_eq!(fixture.wait_for(requested_tag).event, 1);
    fixture.close();
}
