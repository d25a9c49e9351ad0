//! An engine's actor is there while something is open or owed. What may cross its making and its
//! end is forced here: the crossing word comes after every number of steps that the actors can have
//! taken, so that each order of the two is met.
use super::{EndpointHandle, EngineCommand, Platform, Start, bounded, spawn};
use crate::clock::SEC;
use crate::config::process::Names;
use crate::dispatcher::AttemptRequest;
use crate::dispatcher::termination::{Termination, TransmitProgress};
use crate::net::Shared;
use crate::net::client::tests::resting;
use crate::net::dispatcher::DispatcherEvent;
use crate::policy::api::{AttemptNo, EngineId, OutcomeKind, Readiness, RequestId};
use crate::testkit::{eventually, listener};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// More steps than any of the crossings takes.
const STEPS: usize = 24;
const CLIENT: u64 = 7;

struct World {
    shared: Rc<Shared>,
    core: Sender<DispatcherEvent>,
    inputs: Receiver<DispatcherEvent>,
    line: Async<TcpListener>,
    addr: SocketAddr,
    /// What the engine read, over all connections, and those.
    read: String,
    conns: Vec<TcpStream>,
    /// The engine closes a connection once it has read a whole command.
    closes: bool,
    /// It closes all connections.
    hangs_up: bool,
    ended: Vec<(RequestId, Termination, TransmitProgress)>,
    probed: Vec<OutcomeKind>,
    _client: (Rc<Async<TcpStream>>, TcpStream),
}

fn world() -> World {
    let shared = Shared::new(64, 64);
    let (core, inputs) = async_channel::bounded(1_000);
    let client = resting(&shared, CLIENT);
    let (line, addr) = listener();
    World {
        shared,
        core,
        inputs,
        line,
        addr,
        read: String::new(),
        conns: Vec::new(),
        closes: true,
        hangs_up: false,
        ended: Vec::new(),
        probed: Vec::new(),
        _client: client,
    }
}

impl World {
    fn row(&self, id: u64) -> Rc<EndpointHandle> {
        let (shared, core) = (self.shared.clone(), self.core.clone());
        let names = Rc::new(Names {
            streams: 4,
            ..Names::default()
        });
        let start: Start = Rc::new(move |row| {
            let (peer, names) = (row.peer(5 * SEC, 600 * SEC, false), names.clone());
            spawn(&shared, core.clone(), row, peer, move || {
                Platform::new(names.clone())
            })
        });
        EndpointHandle::new(EngineId(id), self.addr, Readiness::Ready, start)
    }

    /// So many steps of the actors.
    fn steps(&mut self, n: usize) {
        (0..n).for_each(|_| _ = self.shared.executor.try_tick());
    }

    /// The engine and the core take what has come.
    fn look(&mut self) {
        while let Ok((stream, _)) = self.line.get_ref().accept() {
            stream.set_nonblocking(true).expect("a socket");
            self.conns.push(stream);
        }
        let (read, closes) = (&mut self.read, self.closes);
        if self.hangs_up {
            self.conns.clear();
        }
        self.conns.retain(|stream| {
            let mut piece = [0; 512];
            match (&*stream).read(&mut piece) {
                Ok(0) => false,
                Ok(n) => {
                    read.push_str(&String::from_utf8_lossy(&piece[..n]));
                    !(closes && read.ends_with("\r\n"))
                }
                Err(_) => true,
            }
        });
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                DispatcherEvent::AttemptFinished(ended) => {
                    self.ended
                        .push((ended.id, ended.termination, ended.progress))
                }
                DispatcherEvent::ProbeCompleted { kind, .. } => self.probed.push(kind),
                _ => {}
            }
        }
    }

    fn until(&mut self, holds: &mut dyn FnMut(&World) -> bool) {
        let executor = self.shared.executor.clone();
        let came = async_io::block_on(executor.run(eventually(|| {
            self.look();
            holds(self)
        })));
        assert!(
            came,
            "it never came to that: {:?} {:?} {:?}",
            self.read, self.ended, self.probed
        );
    }

    /// Runs until those have ended, and, with all connections closed by the engine, until no actor
    /// is left; each has ended once, and what never went out was never read.
    fn settles(&mut self, ids: &[u32]) {
        self.until(&mut |w| {
            ids.iter()
                .all(|id| w.ended.iter().any(|e| e.0 == RequestId(*id)))
        });
        self.hangs_up = true;
        self.until(&mut |w| {
            w.shared.engine_actors.get() == 0 && w.shared.engine_sockets.get() == 0
        });
        self.hangs_up = false;
        for id in ids {
            let ends: Vec<_> = self
                .ended
                .iter()
                .filter(|e| e.0 == RequestId(*id))
                .collect();
            let read = self.read.matches(&format!("do k{id} ")).count();
            let most = usize::from(ends[0].2 != TransmitProgress::Unsent);
            assert!(ends.len() == 1 && read <= most, "{ends:?} {}", self.read);
        }
    }

    fn end_of(&self, id: u32) -> (Termination, TransmitProgress) {
        let end = self
            .ended
            .iter()
            .find(|e| e.0 == RequestId(id))
            .expect("an end");
        (end.1, end.2)
    }
}

fn start(id: u32) -> EngineCommand {
    let (class, until) = ("lookup".into(), crate::clock::turn() + 60 * SEC);
    let (key, statement) = (format!("k{id}").as_str().into(), Rc::from(&b"SELECT 1"[..]));
    EngineCommand::Start(AttemptRequest {
        id: RequestId(id),
        attempt: AttemptNo(0),
        client_connection: CLIENT,
        client_request_id: key,
        class,
        statement,
        deadline: until,
        ..AttemptRequest::default()
    })
}

/// Guards memory: an engine that nobody uses is a row. One that was used is one again once its
/// connections are over.
#[test]
fn an_actor_is_there_while_something_is_open() {
    let mut w = world();
    let row = w.row(1);
    for order in [
        EngineCommand::Stop(RequestId(1), AttemptNo(0)),
        EngineCommand::CloseIdle,
    ] {
        assert_eq!(
            row.tell(order),
            Ok(()),
            "nothing is open: there is nothing to do"
        );
    }
    w.steps(STEPS);
    assert!(!row.is_active() && w.shared.engine_actors.get() == 0);
    for id in 1..4 {
        assert_eq!(row.tell(start(id)), Ok(()));
        assert!(row.is_active());
        w.settles(&[id]);
        assert!(
            !row.is_active() && !row.is_closed(),
            "a row again, and in the list"
        );
    }
}

/// Guards rule 3, both orders: a drain that is told while the actor is being made, while it
/// connects, and after the first byte. What has not gone out by then does not go out, and nothing
/// starts afterwards, actor or none.
#[test]
fn a_drain_crosses_the_first_use() {
    let mut reaches = Vec::new();
    for steps in 0..=STEPS {
        let mut w = world();
        let row = w.row(1);
        assert_eq!(row.tell(start(1)), Ok(()));
        w.steps(steps);
        if steps == STEPS {
            w.until(&mut |w| !w.read.is_empty());
        }
        row.mark(Readiness::Draining);
        let later = row.tell(start(2));
        w.settles(if later.is_ok() { &[1, 2] } else { &[1] });
        if later.is_ok() {
            assert_eq!(
                w.end_of(2),
                (Termination::Drained, TransmitProgress::Unsent)
            );
        }
        let (end, reach) = w.end_of(1);
        assert_eq!(
            end == Termination::Drained,
            reach == TransmitProgress::Unsent,
            "{end:?} {reach:?}"
        );
        reaches.push(reach);
        // Without an actor the drain holds as well, until the engine is in service again.
        assert_eq!(row.tell(start(3)), Err(Termination::Drained));
        row.mark(Readiness::Ready);
        assert_eq!(row.tell(start(4)), Ok(()));
        w.settles(&[4]);
        assert_ne!(w.end_of(4).1, TransmitProgress::Unsent);
    }
    assert!(
        reaches[0] == TransmitProgress::Unsent && reaches[STEPS] != TransmitProgress::Unsent,
        "both orders: {reaches:?}"
    );
}

/// Guards the rule of one end: an attempt, a probe or a withdrawal that comes while the last
/// connection ends and the actor is let go, after every number of steps. Nothing that was taken is
/// lost, nothing ends twice.
#[test]
fn an_order_crosses_the_end_of_an_idle_actor() {
    for steps in 0..=STEPS {
        for what in 0..3 {
            let mut w = world();
            let row = w.row(1);
            assert_eq!(row.tell(start(1)), Ok(()));
            // The engine closes as it has read this; the actors have not seen it yet.
            w.until(&mut |w| w.read.ends_with("\r\n"));
            w.steps(steps);
            match what {
                0 => assert_eq!(row.tell(start(2)), Ok(())),
                1 => assert_eq!(row.tell(EngineCommand::Probe(u64::MAX)), Ok(())),
                _ => assert_eq!(
                    row.tell(EngineCommand::Stop(RequestId(1), AttemptNo(0))),
                    Ok(())
                ),
            }
            match what {
                0 => w.settles(&[1, 2]),
                1 => {
                    w.until(&mut |w| !w.probed.is_empty());
                    w.settles(&[1]);
                    assert_eq!(w.probed.len(), 1);
                }
                _ => w.settles(&[1]),
            }
        }
    }
}

/// Guards attempts that nobody could give up any more: an engine leaves, and another process has
/// its address, while the actor of the first ends. What was out on the first ends, and the second's
/// attempt goes out on its own connection.
#[test]
fn an_engine_leaves_and_comes_back_while_its_actor_ends() {
    for steps in 0..=STEPS {
        for leaves in [true, false] {
            let mut w = world();
            w.closes = false;
            let old = w.row(1);
            assert_eq!(old.tell(start(1)), Ok(()));
            w.steps(steps);
            if leaves {
                old.mark(Readiness::Removed);
            }
            old.close();
            let new = w.row(1);
            assert_eq!(new.tell(start(2)), Ok(()));
            assert!(old.tell(start(3)).is_err() && old.is_closed());
            w.until(&mut |w| {
                w.read.contains("do k2 ") && w.ended.iter().any(|e| e.0 == RequestId(1))
            });
            assert!(
                w.ended.iter().all(|e| e.0 != RequestId(2)),
                "the second's is out"
            );
            w.closes = true;
            w.conns.clear();
            w.settles(&[1, 2]);
        }
    }
}

/// Guards an engine's good name, and the next attempt: no descriptor is left at the first use. The
/// attempt ends as never sent, the actor goes, and the next use finds a descriptor again.
#[test]
fn no_descriptor_is_left_at_the_first_use() {
    let mut w = world();
    let row = w.row(1);
    let most = w.shared.max_engine_sockets.replace(0);
    assert_eq!(row.tell(start(1)), Ok(()));
    w.settles(&[1]);
    assert_eq!(
        w.end_of(1),
        (Termination::LocalLimit, TransmitProgress::Unsent)
    );
    w.shared.max_engine_sockets.set(most);
    assert_eq!(row.tell(start(2)), Ok(()));
    w.settles(&[2]);
    assert_ne!(w.end_of(2).1, TransmitProgress::Unsent);
}

/// Guards the bound on what waits for an engine, which is as it was: what does not fit is never
/// sent, and a withdrawal that does not fit ends the connections.
#[test]
fn a_full_mailbox_refuses() {
    let mut w = world();
    let row = w.row(1);
    let filled = (1..).take_while(|id| row.tell(start(*id)).is_ok()).count();
    assert_eq!(filled, super::MAILBOX);
    assert_eq!(
        row.tell(EngineCommand::Stop(RequestId(1), AttemptNo(0))),
        Err(Termination::LocalLimit)
    );
    row.cut();
    assert!(!row.is_active() && !row.is_closed());
    let (orders, _mailbox) = bounded(1);
    assert!(orders.try_send(0).is_ok() && orders.try_send(1).is_err());
    w.closes = false;
    w.until(&mut |w| w.shared.engine_actors.get() == 0 && w.ended.len() == filled);
}
