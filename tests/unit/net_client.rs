//! Crossings on a client's connection, on real sockets: the actor stands still until the byte, the
//! close or the word is where the test wants it, then goes on. Both orders of each.
use super::*;
use crate::config::process::Names;
use crate::dispatcher::ClientRequest;
use crate::frontend::jsonrpc::JsonRpc;
use crate::testkit::clients::{STATUS, rpc_line};
use crate::testkit::{eventually, listener};
use async_io::block_on;
use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// An actor that runs only when it is told to, its client, and what it says to the core.
struct Rig {
    shared: Rc<Shared>,
    inputs: Receiver<DispatcherEvent>,
    answers: Sender<(u64, Response)>,
    client: TcpStream,
    /// The daemon's side of the same connection, to see what waits there.
    here: TcpStream,
}

fn front(shared: &Rc<Shared>) -> impl Fn(u64) -> JsonRpc + use<> {
    let named = |list: &[&str]| list.iter().map(|n| (*n).to_owned()).collect();
    let names = Names {
        classes: named(&["lookup"]),
        tenants: named(&["acme"]),
        ..Names::default()
    };
    let (names, life) = (Rc::new(RefCell::new(Rc::new(names))), shared.clone());
    move |conn| {
        let life = life.clone();
        JsonRpc::new(
            conn,
            names.clone(),
            Rc::new(move || life.lifecycle.borrow().is_ready()),
        )
    }
}

/// A client that is there and says nothing, without an actor, and both ends of its connection.
pub(in crate::net) fn resting(shared: &Shared, conn: u64) -> (Rc<Async<TcpStream>>, TcpStream) {
    let (listener, addr) = listener();
    let client = TcpStream::connect(addr).expect("a connection");
    let (here, _) = listener.get_ref().accept().expect("a connection");
    let here = Rc::new(Async::new(here).expect("a socket"));
    let (useful, idle_since) = (Cell::new(true), Cell::new(None));
    let (leaving, passes) = (Cell::new(false), Cell::new(false));
    let (shed, stream) = (bounded(1).0, Rc::downgrade(&here));
    let standing = ConnectionStatus {
        useful,
        idle_since,
        leaving,
        passes,
        shed,
        stream,
    };
    shared.clients.borrow_mut().insert(conn, Rc::new(standing));
    (here, client)
}

fn line(id: u64) -> Vec<u8> {
    rpc_line(
        id,
        "lookup",
        &format!("{id:016x}"),
        "acme",
        9_000,
        "SELECT 1",
    )
}

fn withdraw(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"id\":{id}}}}}\n")
        .into_bytes()
}

fn ask_of(input: &DispatcherEvent) -> Option<&ClientRequest> {
    if let DispatcherEvent::Request(ask) = input {
        Some(ask)
    } else {
        None
    }
}

fn withdrawn(input: DispatcherEvent) -> Option<u64> {
    if let DispatcherEvent::CancelRequest(origin) = input {
        Some(origin.tag)
    } else {
        None
    }
}

impl Rig {
    fn new() -> Rig {
        let (line, addr) = listener();
        let client = TcpStream::connect(addr).expect("a connection");
        let (stream, _) = line.get_ref().accept().expect("a connection");
        let here = stream.try_clone().expect("a second descriptor");
        let shared = Shared::new(64, 64);
        let (core, inputs) = bounded(1_000);
        let stream = Async::new(stream).expect("a socket");
        let answers = start(&shared, core, stream, 1, front(&shared)(1), None);
        Rig {
            shared,
            inputs,
            answers,
            client,
            here,
        }
    }

    /// Lets it go on until that holds.
    fn until(&self, holds: impl FnMut() -> bool) {
        let came = block_on(self.shared.executor.run(eventually(holds)));
        assert!(came, "it never came to that");
    }

    /// Lets it go on until it says that; what it says before is passed over, but told.
    fn says<T>(&self, pick: impl Fn(DispatcherEvent) -> Option<T>) -> (T, usize) {
        let (mut got, mut asks) = (None, 0);
        self.until(|| {
            while let Ok(input) = self.inputs.try_recv() {
                asks += usize::from(ask_of(&input).is_some());
                got = got.take().or(pick(input));
            }
            got.is_some()
        });
        (got.expect("a word"), asks)
    }

    fn write(&self, bytes: &[u8]) {
        (&self.client).write_all(bytes).expect("written");
    }

    /// Waits, while the actor stands still, until so much has come to the daemon's side.
    fn has_come(&self, bytes: usize) {
        let mut seen = vec![0; bytes];
        while !matches!(self.here.peek(&mut seen), Ok(n) if n >= bytes) {
            std::thread::yield_now();
        }
    }

    fn opened(&self) {
        self.says(|input| matches!(input, DispatcherEvent::ClientConnected { .. }).then_some(()));
    }

    /// Asked and taken: open from here on.
    fn asks(&self, id: u64) {
        self.write(&line(id));
        self.says(|input| ask_of(&input).map(|ask| ask.origin.tag));
    }

    /// The last phase of the process.
    fn ends(&self) {
        self.shared
            .lifecycle
            .borrow_mut()
            .begin_shutdown(clock::turn());
        self.shared.lifecycle.borrow_mut().begin_closing();
        send_away(&self.shared);
    }

    /// What the client reads up to the end of the connection, and that it is a proper end.
    fn reads(&self) -> String {
        let (mut text, mut piece) = (Vec::new(), vec![0; 1 << 16]);
        self.client.set_nonblocking(true).expect("a socket");
        let mut over = false;
        self.until(|| {
            match (&self.client).read(&mut piece) {
                Ok(0) => over = true,
                Ok(n) => text.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => panic!("the connection did not end properly: {e}"),
            }
            over
        });
        String::from_utf8(text).expect("text")
    }

    /// The client goes, and the actor with it.
    fn parts(self) {
        drop(self.client);
        let (shared, here) = (self.shared.clone(), self.here);
        drop(here);
        let gone = || shared.clients.borrow().is_empty() && shared.closing_sockets.get() == 0;
        assert!(block_on(shared.executor.run(eventually(gone))));
    }
}

/// Guards what crosses the end of the process, first order: a request that has come before the
/// shutdown is answered.
#[test]
fn a_request_that_came_before_the_shutdown_is_answered() {
    let rig = Rig::new();
    rig.write(STATUS);
    rig.opened();
    rig.until(|| rig.shared.clients.borrow()[&1].useful.get());
    let request = line(7);
    rig.write(&request);
    rig.has_come(request.len());
    rig.ends();
    let text = rig.reads();
    assert!(
        text.contains("\"code\":-32050") && text.contains("\"id\":7"),
        "{text}"
    );
    rig.parts();
}

/// The other order: what comes after the shutdown is read and not acted on, and resets nothing.
#[test]
fn a_request_that_comes_after_the_shutdown_is_never_sent_on() {
    let rig = Rig::new();
    rig.opened();
    rig.asks(1);
    rig.answers
        .try_send((1, Response::Completed(vec![b'x'; 1 << 15])))
        .expect("room");
    rig.ends();
    // The client has not read a byte when its side is shut; what it sends then crosses that.
    rig.until(|| rig.shared.closing_sockets.get() == 1);
    rig.write(&line(2));
    let text = rig.reads();
    assert!(
        text.ends_with('\n') && text.len() > 1 << 15,
        "{} bytes",
        text.len()
    );
    let asks =
        std::iter::from_fn(|| rig.inputs.try_recv().ok()).filter(|input| ask_of(input).is_some());
    assert_eq!(asks.count(), 0);
    rig.parts();
}

/// The same two orders at the idle close of one that is shed to make room.
#[test]
fn one_that_is_shed_is_heard_before_and_not_after() {
    for before in [true, false] {
        let rig = Rig::new();
        rig.write(STATUS);
        rig.opened();
        rig.until(|| rig.shared.clients.borrow()[&1].useful.get());
        let request = line(7);
        if before {
            rig.write(&request);
            rig.has_come(request.len());
        }
        rig.shared.clients.borrow()[&1].shed.close();
        if before {
            rig.says(|input| ask_of(&input).map(|ask| ask.origin.tag));
            rig.answers
                .try_send((7, Response::Rejected(None)))
                .expect("room");
        } else {
            rig.until(|| rig.shared.closing_sockets.get() == 1);
            rig.write(&request);
        }
        assert_eq!(rig.reads().contains("\"id\":7"), before);
        rig.parts();
    }
}

/// Half a line at the end asks for nothing, and holds nothing up.
#[test]
fn half_a_line_at_the_end_asks_for_nothing() {
    let rig = Rig::new();
    rig.opened();
    let half = &line(1)[..20];
    rig.write(half);
    rig.until(|| rig.shared.unread_bytes.get() == half.len());
    rig.ends();
    assert_eq!(rig.reads(), "");
    rig.parts();
}

/// Guards clients in the listener's line at the end of the process: each gets its answer or a
/// farewell, not a reset.
#[test]
fn what_waits_in_the_listeners_line_at_the_end_is_answered() {
    let (line_of, addr) = listener();
    let shared = Shared::new(64, 64);
    let (core, inputs) = bounded(1_000);
    shared.spawn(listen(shared.clone(), core, line_of, front(&shared)));
    let run = |holds: &dyn Fn() -> bool| assert!(block_on(shared.executor.run(eventually(holds))));
    run(&|| shared.listening.get() == 1);
    // Connected while nothing accepts; the end comes first.
    let clients: Vec<TcpStream> = (0..3)
        .map(|_| TcpStream::connect(addr).expect("a connection"))
        .collect();
    (&clients[0]).write_all(&line(7)).expect("written");
    shared.lifecycle.borrow_mut().begin_shutdown(clock::turn());
    shared.lifecycle.borrow_mut().begin_closing();
    shared.accepting.0.close();
    run(&|| shared.listening.get() == 0 && shared.closing_sockets.get() == 3);
    for (at, mut client) in clients.iter().enumerate() {
        let mut text = String::new();
        client.read_to_string(&mut text).expect("a proper end");
        assert_eq!(text.contains("\"code\":-32050"), at == 0, "{text}");
    }
    drop(clients);
    run(&|| shared.clients.borrow().is_empty());
    assert_eq!(
        std::iter::from_fn(|| inputs.try_recv().ok())
            .filter(|i| ask_of(i).is_some())
            .count(),
        0
    );
}

/// So many messages that are turned away that the client is read slowly for a while.
fn flooded(rig: &Rig) {
    let bad: Vec<u8> = (1_000..1_100)
        .flat_map(|id| rpc_line(id, "none", "", "acme", 1, ""))
        .collect();
    rig.write(&bad);
    // All of them were turned away: their answers are there.
    rig.client.set_nonblocking(true).expect("a socket");
    let (mut lines, mut piece) = (0, vec![0; 1 << 16]);
    rig.until(|| {
        if let Ok(n) = (&rig.client).read(&mut piece) {
            lines += piece[..n].iter().filter(|c| **c == b'\n').count();
        }
        lines == 100
    });
    rig.client.set_nonblocking(false).expect("a socket");
}

/// Guards against work for nobody: a withdrawal counts at once, also behind a request that is read
/// later.
#[test]
fn a_withdrawal_counts_while_its_client_is_read_slowly() {
    let rig = Rig::new();
    rig.opened();
    rig.asks(1);
    flooded(&rig);
    rig.write(&[line(2), withdraw(2), line(3), withdraw(1)].concat());
    let (tag, asks) = rig.says(withdrawn);
    assert_eq!((tag, asks), (1, 0), "the request before it is not read yet");
    // What was asked and withdrawn is never asked; what stands is, once its time has come.
    let (tag, asks) = rig.says(|input| ask_of(&input).map(|ask| ask.origin.tag));
    assert_eq!((tag, asks), (3, 1));
    rig.parts();
}

/// Guards a mark that comes again: a withdrawal is of what was asked before it, not of what is
/// asked after it.
#[test]
fn a_withdrawal_is_of_what_was_asked_before_it() {
    let rig = Rig::new();
    rig.opened();
    rig.asks(1);
    rig.write(&[withdraw(1), line(1)].concat());
    assert_eq!(rig.says(withdrawn), (1, 1));
    rig.parts();
}

/// The same for the end of the connection, with more before it than is kept for later.
#[test]
fn a_client_that_goes_is_seen_while_it_is_read_slowly() {
    for more in [0, 8_000] {
        let rig = Rig::new();
        rig.opened();
        rig.asks(1);
        flooded(&rig);
        rig.write(&vec![b' '; 10 * more]);
        rig.client.shutdown(Shutdown::Write).expect("a socket");
        rig.says(|input| matches!(input, DispatcherEvent::ClientDisconnected(1)).then_some(()));
        rig.parts();
    }
}

/// The same where the client does not take its answers, so that nothing more is read from it.
#[test]
fn a_withdrawal_and_an_end_count_while_answers_are_not_taken() {
    let rig = Rig::new();
    rig.opened();
    (1..=9).for_each(|id| rig.asks(id));
    for id in 1..=8 {
        rig.answers
            .try_send((id, Response::Completed(vec![b'x'; 4 << 20])))
            .expect("room");
    }
    rig.until(|| rig.shared.unwritten_bytes.get() > 8 << 20);
    rig.write(&withdraw(9));
    let (tag, _) = rig.says(withdrawn);
    assert_eq!(tag, 9);
    rig.client.shutdown(Shutdown::Write).expect("a socket");
    rig.says(|input| matches!(input, DispatcherEvent::ClientDisconnected(1)).then_some(()));
    rig.parts();
}

/// Guards the look at the instant of a dispatch: an end shows behind bytes that nobody has read.
#[test]
fn an_end_shows_behind_bytes_that_are_not_read() {
    let rig = Rig::new();
    rig.opened();
    rig.write(&line(1));
    rig.has_come(10);
    assert!(!rig.shared.client_disconnected(1));
    rig.client.shutdown(Shutdown::Write).expect("a socket");
    let mut seen = 0;
    while !rig.shared.client_disconnected(1) && seen < 100_000 {
        seen += 1;
        std::thread::yield_now();
    }
    assert!(rig.shared.client_disconnected(1));
    rig.parts();
}

/// Guards places for new clients: one that only waits for its client's end holds none, and beyond
/// the places for those it is closed at once.
#[test]
fn ended_connections_hold_no_clients_places() {
    let shared = Shared::new(64, 64);
    shared.max_closing_sockets.set(2);
    let (line_of, addr) = listener();
    let (core, _inputs) = bounded(1_000);
    shared.spawn(listen(shared.clone(), core, line_of, front(&shared)));
    let run = |holds: &dyn Fn() -> bool| assert!(block_on(shared.executor.run(eventually(holds))));
    let clients: Vec<TcpStream> = (0..5)
        .map(|_| TcpStream::connect(addr).expect("a connection"))
        .collect();
    run(&|| shared.client_sockets.get() == 5);
    send_away(&shared);
    shared
        .clients
        .borrow()
        .values()
        .for_each(|standing| _ = standing.shed.close());
    run(&|| shared.client_sockets.get() == 0);
    assert!(shared.closing_sockets.get() <= 2);
    drop(clients);
    run(&|| shared.closing_sockets.get() == 0);
}
