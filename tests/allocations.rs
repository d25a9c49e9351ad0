//! The memory that a listed endpoint costs, measured by a counting allocator at several sizes of
//! the fleet: its handle, and the state that the decision module stores about it. Fails if an
//! engine without traffic has a mailbox or a task of its own.
mod common;
use async_channel::{bounded, unbounded};
use common::test_settings;
use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicIsize, Ordering};
use yokelift::config::process::Names;
use yokelift::dispatcher::Dispatcher;
use yokelift::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use yokelift::net::discovery::endpoint_list::{self, EndpointListMailbox};
use yokelift::net::discovery::{ListedEndpoint, WatchEvent};
use yokelift::net::dispatcher::DispatcherEvent;
use yokelift::net::{Shared, sleep_until};
use yokelift::testkit::coordinator::ready_endpoint;

/// The number of bytes currently allocated.
static ALLOCATED: AtomicIsize = AtomicIsize::new(0);

/// The system allocator, with a count of the allocated bytes.
struct CountingAllocator;

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated() -> isize {
    ALLOCATED.load(Ordering::Relaxed)
}

fn listed_endpoint(id: u32) -> ListedEndpoint {
    let address = SocketAddr::from(([127, 0, (id >> 8) as u8, id as u8], 9_000));
    ready_endpoint(id, address)
}

/// The number of bytes that a gateway allocates for a full endpoint list with this many engines.
fn allocated_for(engines: u32) -> isize {
    let shared = Shared::new(4_096, 1_024);
    let (dispatcher_events, received_events) = unbounded();
    let (updates, events) = bounded(endpoint_list::MAILBOX_CAPACITY);
    let (_followers, followers) = unbounded();
    let mailbox = EndpointListMailbox { events, followers };
    let names = Rc::new(Names {
        max_streams: 4,
        ..Names::default()
    });
    let new_endpoint = endpoint_factory(
        shared.clone(),
        dispatcher_events.clone(),
        names,
        &ClickHouseEngines::default(),
    );
    shared.spawn(endpoint_list::run(
        shared.clone(),
        dispatcher_events,
        mailbox,
        new_endpoint,
        ClickHouseEngines::default(),
    ));
    let class_names = ["a", "b", "c", "d"].map(String::from);
    let mut dispatcher = Dispatcher::new(0, test_settings(), &class_names, 1);
    let mut commands = Vec::new();
    let before = allocated();
    let update = WatchEvent {
        index: 1,
        full: true,
        endpoints: (1..=engines).map(listed_endpoint).collect(),
    };
    let executor = shared.executor.clone();
    let handles = async_io::block_on(executor.run(async {
        updates
            .send(update)
            .await
            .expect("the endpoint list's actor runs");
        let Ok(DispatcherEvent::EndpointList(update)) = received_events.recv().await else {
            panic!("no endpoint list")
        };
        dispatcher.update_endpoints(1, update.kind, update.entries, &mut commands);
        commands.clear();
        // Lets actors run that were started with the handles, if there are any.
        sleep_until(Some(yokelift::clock::now() + 1)).await;
        update.new_endpoints
    }));
    assert_eq!(handles.len(), engines as usize);
    assert_eq!(
        shared.engine_actors.get(),
        0,
        "an engine without traffic has an actor"
    );
    let allocated = allocated() - before;
    drop(handles);
    allocated
}

/// 64 MB have to suffice for 910 engines: each costs less than 8 KB, regardless of the list's
/// length.
#[test]
fn an_endpoint_without_traffic_costs_less_than_8_kb() {
    // The reactor allocates buffers once in a process, which belong to no engine.
    allocated_for(1);
    let at_100 = allocated_for(100);
    let at_500 = allocated_for(500);
    let at_900 = allocated_for(900);

    let bytes_per_engine = [(at_500 - at_100) / 400, (at_900 - at_500) / 400];
    assert!(
        bytes_per_engine
            .iter()
            .all(|bytes| (1..8 * 1024).contains(bytes)),
        "allocated {at_100}, {at_500} and {at_900} bytes: {bytes_per_engine:?} bytes per engine"
    );
    assert!(
        bytes_per_engine[1] <= bytes_per_engine[0] * 5 / 4,
        "the cost per engine grows with the fleet: {bytes_per_engine:?} bytes"
    );
}
