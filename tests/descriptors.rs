//! Guards against an engine that is blamed, or stays unusable, when the process has no file
//! descriptor left for its first connection. The limit applies to the whole process, so this test
//! has a file of its own.
use async_channel::{Receiver, bounded};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use yokelift::config::process::Names;
use yokelift::dispatcher::AttemptRequest;
use yokelift::dispatcher::termination::{Termination, TransmitProgress};
use yokelift::net::Shared;
use yokelift::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use yokelift::net::dispatcher::DispatcherEvent;
use yokelift::net::engine::{EndpointHandle, EngineCommand};
use yokelift::policy::api::{EngineId, RequestId};
use yokelift::testkit::coordinator::ready_endpoint;
use yokelift::testkit::wait_until;

/// How an attempt ended.
#[derive(Debug, PartialEq)]
struct AttemptEnd {
    id: RequestId,
    termination: Termination,
    progress: TransmitProgress,
}

/// An engine's actor, with the events that it sends to the dispatcher.
struct Testbed {
    shared: Rc<Shared>,
    endpoint: Rc<EndpointHandle>,
    events: Receiver<DispatcherEvent>,
    ends: Vec<AttemptEnd>,
}

impl Testbed {
    fn new(engine: SocketAddr) -> Testbed {
        let shared = Shared::new(4_096, 64);
        let (dispatcher, events) = bounded(100);
        let names = Names {
            max_streams: 4,
            connect_timeout: 5_000_000_000,
            ..Names::default()
        };
        let new_endpoint = endpoint_factory(
            shared.clone(),
            dispatcher,
            Rc::new(names),
            &ClickHouseEngines::default(),
        );
        let endpoint = new_endpoint(&ready_endpoint(1, engine));
        Testbed {
            shared,
            endpoint,
            events,
            ends: Vec::new(),
        }
    }

    /// Runs the actors until the condition holds; returns whether it did in time.
    fn run_until(&mut self, condition: &mut dyn FnMut(&mut Testbed) -> bool) -> bool {
        let executor = self.shared.executor.clone();
        async_io::block_on(executor.run(wait_until(&mut || {
            self.receive_ends();
            condition(self)
        })))
    }

    fn receive_ends(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            if let DispatcherEvent::AttemptFinished(result) = event {
                self.ends.push(AttemptEnd {
                    id: result.id,
                    termination: result.termination,
                    progress: result.progress,
                });
            }
        }
    }

    fn start_attempt(&self, id: u32) {
        let attempt = AttemptRequest {
            id: RequestId(id),
            ..AttemptRequest::default()
        };
        assert_eq!(self.endpoint.send(EngineCommand::Start(attempt)), Ok(()));
    }
}

/// Holds all descriptors that the process may have, until drop.
struct ExhaustedDescriptors {
    files: Vec<File>,
    previous: Rlimit,
}

impl ExhaustedDescriptors {
    fn new() -> ExhaustedDescriptors {
        let previous = getrlimit(Resource::Nofile);
        let low = Rlimit {
            current: Some(64),
            ..previous
        };
        setrlimit(Resource::Nofile, low).expect("a lower limit");
        ExhaustedDescriptors {
            files: std::iter::from_fn(|| File::open("/dev/null").ok()).collect(),
            previous,
        }
    }
}

impl Drop for ExhaustedDescriptors {
    fn drop(&mut self) {
        self.files.clear();
        setrlimit(Resource::Nofile, self.previous).expect("the previous limit");
    }
}

/// Without a free descriptor the attempt ends unsent because of a local limit, which does not count
/// against the engine. The engine's actor ends, and the next attempt gets a descriptor again.
#[test]
fn an_attempt_without_a_free_descriptor_ends_unsent_by_a_local_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a socket");
    let mut testbed = Testbed::new(listener.local_addr().expect("its address"));
    assert_eq!(testbed.endpoint.id, EngineId(1));
    let mut polls = 0;
    let is_running = testbed.run_until(&mut |_| {
        polls += 1;
        polls > 1
    });
    assert!(is_running, "the reactor opens its own descriptors first");

    let exhausted = ExhaustedDescriptors::new();
    testbed.start_attempt(1);
    let has_ended = testbed.run_until(&mut |testbed| {
        testbed.ends.len() == 1 && testbed.shared.engine_actors.get() == 0
    });
    assert!(has_ended, "{:?}", testbed.ends);
    assert!(!testbed.endpoint.is_active());
    assert!(!testbed.endpoint.is_closed());
    let first_end = AttemptEnd {
        id: RequestId(1),
        termination: Termination::LocalLimit,
        progress: TransmitProgress::Unsent,
    };
    assert_eq!(testbed.ends, [first_end]);
    drop(exhausted);

    // The attempt has no client connection, so it is cancelled once the engine is connected.
    testbed.start_attempt(2);
    let mut accepted = Vec::new();
    let has_ended = testbed.run_until(&mut |testbed| {
        accepted.extend(listener.accept().ok());
        testbed.ends.len() == 2 && !accepted.is_empty()
    });
    assert!(has_ended, "{:?}", testbed.ends);
    let second_end = AttemptEnd {
        id: RequestId(2),
        termination: Termination::Cancelled,
        progress: TransmitProgress::Unsent,
    };
    assert_eq!(testbed.ends[1], second_end);
}
