//! The actor of an engine exists while something is in flight or queued for the engine. Events that
//! race with its start or its end are caused here after every number of steps that the actors can
//! have taken, so that each order of the two is covered.
use super::{
    ConnectionOptions, EndpointHandle, EngineCommand, MAILBOX_CAPACITY, StartActor, bounded, spawn,
};
use crate::backend::platform::Platform;
use crate::clock::SEC;
use crate::config::process::Names;
use crate::dispatcher::AttemptRequest;
use crate::dispatcher::termination::{Termination, TransmitProgress};
use crate::net::Shared;
use crate::net::client::tests::register_client;
use crate::net::dispatcher::DispatcherEvent;
use crate::policy::api::{AttemptNo, EngineId, OutcomeKind, Readiness, RequestId};
use crate::testkit::{listener, wait_until};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// More steps than any of the races takes.
const MAX_STEPS: usize = 24;
const CLIENT: u64 = 7;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AttemptEnd {
    id: RequestId,
    termination: Termination,
    progress: TransmitProgress,
}

/// An engine, and a dispatcher that records what is reported to it.
struct EndpointFixture {
    shared: Rc<Shared>,
    dispatcher: Sender<DispatcherEvent>,
    events: Receiver<DispatcherEvent>,
    engine: Async<TcpListener>,
    addr: SocketAddr,
    /// What the engine has read, over all connections.
    engine_input: String,
    engine_connections: Vec<TcpStream>,
    /// Whether the engine closes a connection once it has read a whole command.
    closes_after_command: bool,
    /// Whether the engine closes all connections.
    closes_all: bool,
    ends: Vec<AttemptEnd>,
    probes: Vec<OutcomeKind>,
    _client: (Rc<Async<TcpStream>>, TcpStream),
}

impl EndpointFixture {
    fn new() -> EndpointFixture {
        let shared = Shared::new(64, 64);
        let (dispatcher, events) = async_channel::bounded(1_000);
        let client = register_client(&shared, CLIENT);
        let (engine, addr) = listener();
        EndpointFixture {
            shared,
            dispatcher,
            events,
            engine,
            addr,
            engine_input: String::new(),
            engine_connections: Vec::new(),
            closes_after_command: true,
            closes_all: false,
            ends: Vec::new(),
            probes: Vec::new(),
            _client: client,
        }
    }

    /// An endpoint of the engine without an actor.
    fn endpoint(&self) -> Rc<EndpointHandle> {
        let (shared, dispatcher) = (self.shared.clone(), self.dispatcher.clone());
        let names = Rc::new(Names {
            max_streams: 4,
            ..Names::default()
        });
        let options = ConnectionOptions {
            connect_timeout: 5 * SEC,
            keepalive: 600 * SEC,
            supports_databases: false,
        };
        let start: StartActor = Rc::new(move |endpoint| {
            let names = names.clone();
            let new_protocol = move || Platform::new(names.clone());
            spawn(&shared, dispatcher.clone(), endpoint, options, new_protocol)
        });
        EndpointHandle::new(EngineId(1), self.addr, Readiness::Ready, start)
    }

    /// Runs that many steps of the actors.
    fn run_steps(&self, count: usize) {
        for _ in 0..count {
            self.shared.executor.try_tick();
        }
    }

    fn poll_engine(&mut self) {
        while let Ok((stream, _)) = self.engine.get_ref().accept() {
            stream.set_nonblocking(true).expect("a socket");
            self.engine_connections.push(stream);
        }
        if self.closes_all {
            self.engine_connections.clear();
        }
        let closes_after_command = self.closes_after_command;
        let engine_input = &mut self.engine_input;
        self.engine_connections.retain_mut(|stream| {
            let mut buffer = [0; 512];
            match stream.read(&mut buffer) {
                Ok(0) => false,
                Ok(count) => {
                    engine_input.push_str(&String::from_utf8_lossy(&buffer[..count]));
                    !(closes_after_command && engine_input.ends_with("\r\n"))
                }
                Err(_) => true,
            }
        });
    }

    fn poll_dispatcher(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            match event {
                DispatcherEvent::AttemptFinished(result) => self.ends.push(AttemptEnd {
                    id: result.id,
                    termination: result.termination,
                    progress: result.progress,
                }),
                DispatcherEvent::ProbeCompleted(probe) => self.probes.push(probe.kind),
                _ => {}
            }
        }
    }

    fn run_until(&mut self, mut condition: impl FnMut(&EndpointFixture) -> bool) {
        let executor = self.shared.executor.clone();
        let reached = async_io::block_on(executor.run(wait_until(|| {
            self.poll_engine();
            self.poll_dispatcher();
            condition(self)
        })));
        assert!(
            reached,
            "the condition was never met: {:?} {:?} {:?}",
            self.engine_input, self.ends, self.probes
        );
    }

    fn has_ended(&self, id: u32) -> bool {
        self.ends.iter().any(|end| end.id == RequestId(id))
    }

    fn ends_of(&self, id: u32) -> Vec<AttemptEnd> {
        let of_request = |end: &&AttemptEnd| end.id == RequestId(id);
        self.ends.iter().filter(of_request).copied().collect()
    }

    fn end_of(&self, id: u32) -> AttemptEnd {
        *self.ends_of(id).first().expect("an end")
    }

    /// Runs until the attempts of those requests have ended and, with all connections closed by the
    /// engine, no actor is left. Asserts that each ended once, and that the engine read a sent
    /// attempt at most once and an unsent one never.
    fn finish_and_check(&mut self, ids: &[u32]) {
        self.run_until(|fixture| ids.iter().all(|id| fixture.has_ended(*id)));
        self.closes_all = true;
        self.run_until(|fixture| {
            let shared = &fixture.shared;
            shared.engine_actors.get() == 0 && shared.engine_sockets.get() == 0
        });
        self.closes_all = false;
        for id in ids {
            let ends = self.ends_of(*id);
            let command = format!("do k{id} ");
            let times_read = self.engine_input.matches(&command).count();
            let max_read = usize::from(ends[0].progress != TransmitProgress::Unsent);
            assert_eq!(ends.len(), 1, "{ends:?} {}", self.engine_input);
            assert!(times_read <= max_read, "{ends:?} {}", self.engine_input);
        }
    }
}

fn start(id: u32) -> EngineCommand {
    EngineCommand::Start(AttemptRequest {
        id: RequestId(id),
        attempt: AttemptNo(0),
        client_connection: CLIENT,
        client_request_id: format!("k{id}").into(),
        class: "lookup".into(),
        statement: Rc::from(&b"SELECT 1"[..]),
        deadline: crate::clock::read() + 60 * SEC,
        ..AttemptRequest::default()
    })
}

fn cancel(id: u32) -> EngineCommand {
    EngineCommand::Cancel {
        id: RequestId(id),
        attempt: AttemptNo(0),
    }
}

/// Limits memory: an unused engine has no actor, and has none again once the connections of its
/// last use are closed.
#[test]
fn an_actor_exists_while_something_is_in_flight() {
    let mut fixture = EndpointFixture::new();
    let endpoint = fixture.endpoint();
    for command in [cancel(1), EngineCommand::CloseIdle] {
        assert_eq!(
            endpoint.send(command),
            Ok(()),
            "nothing is in flight: there is nothing to do"
        );
    }
    fixture.run_steps(MAX_STEPS);
    assert!(!endpoint.is_active());
    assert_eq!(fixture.shared.engine_actors.get(), 0);

    for id in 1..4 {
        assert_eq!(endpoint.send(start(id)), Ok(()));
        assert!(endpoint.is_active());
        fixture.finish_and_check(&[id]);
        assert!(!endpoint.is_active());
        assert!(!endpoint.is_closed(), "it is still in the endpoint list");
    }
}

/// Drains an engine after `steps` of the actors since its first use. Returns the progress of the
/// attempt.
fn drain_after(steps: usize) -> TransmitProgress {
    let mut fixture = EndpointFixture::new();
    let endpoint = fixture.endpoint();
    assert_eq!(endpoint.send(start(1)), Ok(()));
    fixture.run_steps(steps);
    if steps == MAX_STEPS {
        fixture.run_until(|fixture| !fixture.engine_input.is_empty());
    }

    endpoint.set_readiness(Readiness::Draining);
    let later_attempt = endpoint.send(start(2));

    if later_attempt.is_ok() {
        fixture.finish_and_check(&[1, 2]);
        let end = fixture.end_of(2);
        assert_eq!(
            (end.termination, end.progress),
            (Termination::Drained, TransmitProgress::Unsent)
        );
    } else {
        fixture.finish_and_check(&[1]);
    }
    let end = fixture.end_of(1);
    assert_eq!(
        end.termination == Termination::Drained,
        end.progress == TransmitProgress::Unsent,
        "{end:?}"
    );
    // The drain applies without an actor too, until the engine is ready again.
    assert_eq!(endpoint.send(start(3)), Err(Termination::Drained));
    endpoint.set_readiness(Readiness::Ready);
    assert_eq!(endpoint.send(start(4)), Ok(()));
    fixture.finish_and_check(&[4]);
    assert_ne!(fixture.end_of(4).progress, TransmitProgress::Unsent);
    end.progress
}

/// An engine drains while its actor is started, while it connects, and after the first byte. An
/// attempt that was not sent by then is not sent, and none starts afterwards, with or without an
/// actor.
#[test]
fn a_drain_during_the_first_use_ends_unsent_attempts() {
    let progress: Vec<TransmitProgress> = (0..=MAX_STEPS).map(drain_after).collect();

    assert_eq!(progress[0], TransmitProgress::Unsent, "{progress:?}");
    assert_ne!(
        progress[MAX_STEPS],
        TransmitProgress::Unsent,
        "{progress:?}"
    );
}

/// Commands that may race with the end of an actor.
#[derive(Clone, Copy)]
enum RacingCommand {
    Start,
    Probe,
    Cancel,
}

fn send_during_the_end_of_an_actor(command: RacingCommand, steps: usize) {
    let mut fixture = EndpointFixture::new();
    let endpoint = fixture.endpoint();
    assert_eq!(endpoint.send(start(1)), Ok(()));
    // The engine closes the connection after reading this; the actors have not processed the close
    // yet.
    fixture.run_until(|fixture| fixture.engine_input.ends_with("\r\n"));
    fixture.run_steps(steps);
    match command {
        RacingCommand::Start => {
            assert_eq!(endpoint.send(start(2)), Ok(()));
            fixture.finish_and_check(&[1, 2]);
        }
        RacingCommand::Probe => {
            let probe = EngineCommand::Probe {
                not_after: u64::MAX,
            };
            assert_eq!(endpoint.send(probe), Ok(()));
            fixture.run_until(|fixture| !fixture.probes.is_empty());
            fixture.finish_and_check(&[1]);
            assert_eq!(fixture.probes.len(), 1);
        }
        RacingCommand::Cancel => {
            assert_eq!(endpoint.send(cancel(1)), Ok(()));
            fixture.finish_and_check(&[1]);
        }
    }
}

/// An attempt, a load probe or a cancellation is sent while the last connection is closed and the
/// actor ends. No accepted command is lost, and no attempt or load probe ends twice.
#[test]
fn a_command_during_the_end_of_an_idle_actor_is_not_lost() {
    for steps in 0..=MAX_STEPS {
        for command in [
            RacingCommand::Start,
            RacingCommand::Probe,
            RacingCommand::Cancel,
        ] {
            send_during_the_end_of_an_actor(command, steps);
        }
    }
}

fn replace_engine(steps: usize, removed_before: bool) {
    let mut fixture = EndpointFixture::new();
    fixture.closes_after_command = false;
    let old = fixture.endpoint();
    assert_eq!(old.send(start(1)), Ok(()));
    fixture.run_steps(steps);
    if removed_before {
        old.set_readiness(Readiness::Removed);
    }

    old.close();
    let new = fixture.endpoint();
    assert_eq!(new.send(start(2)), Ok(()));

    assert!(old.send(start(3)).is_err());
    assert!(old.is_closed());
    fixture.run_until(|fixture| fixture.engine_input.contains("do k2 ") && fixture.has_ended(1));
    assert!(
        !fixture.has_ended(2),
        "the attempt on the new engine is in flight"
    );
    fixture.closes_after_command = true;
    fixture.engine_connections.clear();
    fixture.finish_and_check(&[1, 2]);
}

/// An engine is removed and another process gets its address while the actor of the first ends.
/// Attempts on the first end, as they can no longer be cancelled; the attempt on the second is sent
/// on a connection of its own.
#[test]
fn a_replaced_engine_ends_its_attempts_while_its_actor_ends() {
    for steps in 0..=MAX_STEPS {
        for removed_before in [true, false] {
            replace_engine(steps, removed_before);
        }
    }
}

/// If no descriptor is free at the first use, the attempt ends unsent, which does not count as a
/// failure of the engine. The actor ends too, and the next use succeeds once a descriptor is free.
#[test]
fn an_attempt_without_a_descriptor_ends_unsent() {
    let mut fixture = EndpointFixture::new();
    let endpoint = fixture.endpoint();
    let max_sockets = fixture.shared.max_engine_sockets.replace(0);

    assert_eq!(endpoint.send(start(1)), Ok(()));
    fixture.finish_and_check(&[1]);
    let end = fixture.end_of(1);
    assert_eq!(
        (end.termination, end.progress),
        (Termination::LocalLimit, TransmitProgress::Unsent)
    );

    fixture.shared.max_engine_sockets.set(max_sockets);
    assert_eq!(endpoint.send(start(2)), Ok(()));
    fixture.finish_and_check(&[2]);
    assert_ne!(fixture.end_of(2).progress, TransmitProgress::Unsent);
}

/// The number of queued commands is limited: an attempt beyond the limit is not accepted, and
/// neither is a cancellation, after which the dispatcher aborts the actor with its connections.
#[test]
fn a_full_mailbox_rejects_commands() {
    let mut fixture = EndpointFixture::new();
    let endpoint = fixture.endpoint();

    let accepted = (1..)
        .take_while(|id| endpoint.send(start(*id)).is_ok())
        .count();
    assert_eq!(accepted, MAILBOX_CAPACITY);
    assert_eq!(endpoint.send(cancel(1)), Err(Termination::LocalLimit));

    endpoint.abort();
    assert!(!endpoint.is_active());
    assert!(!endpoint.is_closed());
    fixture.closes_after_command = false;
    fixture.run_until(|fixture| {
        fixture.shared.engine_actors.get() == 0 && fixture.ends.len() == accepted
    });
}

#[test]
fn a_mailbox_holds_no_more_than_its_capacity() {
    let (commands, _mailbox) = bounded(1);

    assert!(commands.try_send(0).is_ok());
    assert!(commands.try_send(1).is_err());
}
