//! The system has no descriptor left at the first use of an engine: alone in its process, as the
//! limit is the process's.
use async_channel::bounded;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::fs::File;
use std::net::TcpListener;
use std::rc::Rc;
use yokelift::config::process::Names;
use yokelift::dispatcher::AttemptRequest;
use yokelift::dispatcher::termination::{Termination, TransmitProgress};
use yokelift::net::Shared;
use yokelift::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use yokelift::net::dispatcher::DispatcherEvent;
use yokelift::net::engine::EngineCommand;
use yokelift::policy::api::{EngineId, RequestId};
use yokelift::testkit::coordinator::ready_endpoint;
use yokelift::testkit::eventually;

/// Guards an engine's good name and the request: the attempt ends as never sent, for want of room
/// here, the actor goes, and the next use finds a descriptor again.
#[test]
fn no_descriptor_of_the_system_is_left_at_the_first_use() {
    let line = TcpListener::bind("127.0.0.1:0").expect("a port");
    line.set_nonblocking(true).expect("a socket");
    let shared = Shared::new(4_096, 64);
    let (core, inputs) = bounded(100);
    let names = Names {
        streams: 4,
        connect_timeout: 5_000_000_000,
        ..Names::default()
    };
    let make = endpoint_factory(
        shared.clone(),
        core,
        Rc::new(names),
        &ClickHouseEngines::default(),
    );
    let row = make(&ready_endpoint(1, line.local_addr().expect("its address")));
    assert_eq!(row.id, EngineId(1));
    let executor = shared.executor.clone();
    let run = |holds: &mut dyn FnMut() -> bool| async_io::block_on(executor.run(eventually(holds)));
    let mut looks = 0;
    let again = run(&mut || {
        looks += 1;
        looks > 1
    });
    assert!(again, "after a pause the reactor has its own descriptors");
    let start = |id| {
        EngineCommand::Start(AttemptRequest {
            id: RequestId(id),
            ..AttemptRequest::default()
        })
    };
    // Every place up to the limit is taken.
    let before = getrlimit(Resource::Nofile);
    let few = Rlimit {
        current: Some(64),
        ..before
    };
    setrlimit(Resource::Nofile, few).expect("a lower limit");
    let taken: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    assert_eq!(row.send(start(1)), Ok(()));
    let mut ended = Vec::new();
    let look = |ended: &mut Vec<(RequestId, Termination, TransmitProgress)>| {
        while let Ok(input) = inputs.try_recv() {
            if let DispatcherEvent::AttemptFinished(e) = input {
                ended.push((e.id, e.termination, e.progress));
            }
        }
    };
    let one = run(&mut || {
        look(&mut ended);
        ended.len() == 1 && shared.engine_actors.get() == 0
    });
    assert!(one && !row.is_active() && !row.is_closed(), "{ended:?}");
    assert_eq!(
        ended,
        [(
            RequestId(1),
            Termination::LocalLimit,
            TransmitProgress::Unsent
        )]
    );
    drop(taken);
    setrlimit(Resource::Nofile, before).expect("the limit of before");
    assert_eq!(row.send(start(2)), Ok(()));
    // Its client is not there, so that it is taken back unsent, on a connection that was made.
    let mut came = Vec::new();
    let two = run(&mut || {
        look(&mut ended);
        came.extend(line.accept().ok());
        ended.len() == 2 && !came.is_empty()
    });
    assert!(
        two && ended[1]
            == (
                RequestId(2),
                Termination::Cancelled,
                TransmitProgress::Unsent
            ),
        "{ended:?}"
    );
}
