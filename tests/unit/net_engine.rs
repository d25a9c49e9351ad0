//! Which connection of an engine carries an attempt, and for whom none begins.
use super::{EndpointHandle, EngineCommand, Handle, Start, bounded, spawn};
use crate::backend::platform::Platform;
use crate::clock::SEC;
use crate::config::process::Names;
use crate::dispatcher::AttemptRequest;
use crate::frontend::jsonrpc::JsonRpc;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
use crate::policy::api::{AttemptNo, EngineId, Readiness, RequestId};
use crate::testkit::{eventually, listener};
use async_channel::Sender;
use async_io::Async;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

fn job(single: bool) -> AttemptRequest {
    let (id, attempt, class, until) = (RequestId(1), AttemptNo(0), "lookup".into(), 9_000_000);
    let (key, statement, session) = ("k".into(), Rc::from(&b"select"[..]), None);
    AttemptRequest {
        id,
        attempt,
        client_request_id: key,
        class,
        statement,
        session,
        must_not_repeat: single,
        deadline: until,
        ..AttemptRequest::default()
    }
}

/// A connection of four streams, one attempt on it or none, which has answered before or not.
fn connection(taken: bool, proven: bool) -> Handle {
    let (orders, mailbox) = bounded(8);
    // The mailbox stays open: this stands for a connection's task.
    std::mem::forget(mailbox);
    let handle = Handle {
        orders,
        free: Rc::new(Cell::new(if taken { 3 } else { 4 })),
        attempts: Rc::default(),
        stale: Rc::default(),
        alone: Cell::new(false),
        proven: Rc::new(Cell::new(proven)),
    };
    handle
        .attempts
        .borrow_mut()
        .extend(taken.then_some(RequestId(9)));
    handle
}

/// Guards against resets, which strike most at the first that a connection carries, and against
/// spoilt answers to others: what must never run twice goes alone, on one that has answered before
/// where there is one.
#[test]
fn what_must_never_run_twice_prefers_an_idle_connection_that_has_answered() {
    let conns = [
        connection(false, false),
        connection(true, true),
        connection(false, true),
    ];
    let pick = |job: AttemptRequest| {
        let room = conns
            .iter()
            .enumerate()
            .filter(|(_, c)| c.takes(&job, true));
        room.min_by_key(|(_, c)| c.rank(&job)).map(|(at, _)| at)
    };
    assert_eq!(pick(job(true)), Some(2));
    assert_eq!(pick(job(false)), Some(1), "others share the fullest");
}

/// A client's connection with its actor, which is not let go on, and the client's end of it.
fn client(shared: &Rc<Shared>, core: &Sender<DispatcherEvent>, conn: u64) -> TcpStream {
    let (line, addr) = listener();
    let client = TcpStream::connect(addr).expect("a connection");
    let (stream, _) = line.get_ref().accept().expect("a connection");
    let front = JsonRpc::new(conn, Rc::default(), Rc::new(|| true));
    crate::net::client::start(
        shared,
        core.clone(),
        Async::new(stream).expect("a socket"),
        conn,
        front,
        None,
    );
    client
}

/// What an engine reads of one attempt whose client goes, with bytes of it that nobody has read,
/// before or after the attempt's first byte; and what the core is told.
fn dispatch(gone_before: bool) -> (String, Vec<String>) {
    let shared = Shared::new(64, 64);
    let (core, inputs) = async_channel::bounded(100);
    let (line, addr) = listener();
    let names = Rc::new(Names {
        streams: 4,
        ..Names::default()
    });
    let (all, module) = (shared.clone(), core.clone());
    let start: Start = Rc::new(move |row| {
        let (peer, names) = (row.peer(5 * SEC, 15 * SEC, false), names.clone());
        spawn(&all, module.clone(), row, peer, move || {
            Platform::new(names.clone())
        })
    });
    let row = EndpointHandle::new(EngineId(1), addr, Readiness::Ready, start);
    let run = |holds: &mut dyn FnMut() -> bool| {
        assert!(
            async_io::block_on(shared.executor.run(eventually(holds))),
            "it never came to that"
        );
    };
    let mut client = Some(client(&shared, &core, 7));
    run(&mut || shared.clients.borrow().contains_key(&7));
    let leaves = |client: &mut Option<TcpStream>| {
        // Its actor reads slowly, or is about to: it stands still while this is written and the end
        // follows.
        let mut client = client.take().expect("a client");
        client.write_all(b"{\"jsonrpc\":").expect("written");
    };
    let now = crate::clock::turn();
    let job = AttemptRequest {
        client_connection: 7,
        statement: Rc::from(&b"SELECT 1"[..]),
        deadline: now + 9 * SEC,
        ..job(false)
    };
    if gone_before {
        leaves(&mut client);
    }
    assert_eq!(row.tell(EngineCommand::Start(job)), Ok(()));
    let mut text = Vec::new();
    let (mut told, mut kept) = (Vec::new(), Vec::new());
    let mut stream = None;
    run(&mut || {
        stream = stream
            .take()
            .or_else(|| line.get_ref().accept().ok())
            .inspect(|(stream, _)| {
                stream.set_nonblocking(true).expect("a socket");
            });
        let mut piece = [0; 256];
        if let Some((stream, _)) = &stream
            && let Ok(n) = (&*stream).read(&mut piece)
        {
            text.extend_from_slice(&piece[..n]);
        }
        while let Ok(input) = inputs.try_recv() {
            match input {
                DispatcherEvent::ClientDisconnected(conn) => told.push(format!("hung up {conn}")),
                DispatcherEvent::AttemptFinished(ended) => {
                    told.push(format!("{:?} {:?}", ended.termination, ended.progress))
                }
                DispatcherEvent::ClientConnected { responses, .. } => kept.push(responses),
                _ => {}
            }
        }
        if text.ends_with(b"SELECT 1\r\n") && client.is_some() {
            leaves(&mut client);
        }
        !told.is_empty() && (gone_before == told.iter().any(|t| t.contains("Unsent")))
    });
    (String::from_utf8(text).expect("text"), told)
}

/// Guards against work for nobody, first order: the client has gone when the attempt is about to go
/// out, its end behind bytes that nobody has read. Not a byte goes out, and the core hears of the
/// client before it hears of the attempt.
#[test]
fn no_attempt_begins_for_a_client_that_has_gone() {
    let (text, told) = dispatch(true);
    assert_eq!(text, "");
    let hung_up = told.iter().position(|t| t == "hung up 7");
    let unsent = told.iter().position(|t| t == "Cancelled Unsent");
    assert!(hung_up < unsent && hung_up.is_some(), "{told:?}");
}

/// The other order: what has begun goes out whole, once.
#[test]
fn an_attempt_that_has_begun_goes_out_whole_though_its_client_goes() {
    let (text, told) = dispatch(false);
    assert_eq!(text.matches("do k ").count(), 1, "{text}");
    assert!(
        told.iter().any(|t| t == "hung up 7") && !told.iter().any(|t| t.contains("Unsent")),
        "{told:?}"
    );
}
