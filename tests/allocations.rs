//! What a listed engine costs in memory, counted byte by byte at two sizes of the fleet: a row and
//! what the module knows of it. Fails if an engine that nobody uses has a mailbox or a task of its
//! own again.
mod common;
use async_channel::{bounded, unbounded};
use common::settings;
use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicIsize, Ordering};
use yokelift::config::process::Names;
use yokelift::dispatcher::Dispatcher;
use yokelift::net::discovery::WatchEvent;
use yokelift::net::discovery::endpoint_factory::{ClickHouseEngines, endpoint_factory};
use yokelift::net::discovery::endpoint_list;
use yokelift::net::dispatcher::DispatcherEvent;
use yokelift::net::{Shared, sleep_until};
use yokelift::testkit::coordinator::ready_endpoint;

static HELD: AtomicIsize = AtomicIsize::new(0);

/// Counts the bytes that are held.
struct Counting;

// SAFETY: all is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// Bytes that a manager holds once it has taken a whole list of so many engines, over what it held
/// before.
fn held_with(engines: u32) -> isize {
    let shared = Shared::new(4_096, 1_024);
    let (core, news) = unbounded();
    let (updates, mailbox) = bounded(endpoint_list::MAILBOX_CAPACITY);
    let names = Rc::new(Names {
        streams: 4,
        ..Names::default()
    });
    let make = endpoint_factory(
        shared.clone(),
        core.clone(),
        names,
        &ClickHouseEngines::default(),
    );
    shared.spawn(endpoint_list::run(
        shared.clone(),
        core,
        mailbox,
        make,
        ClickHouseEngines::default(),
    ));
    let mut manager = Dispatcher::new(0, settings(), &["a", "b", "c", "d"].map(String::from), 1);
    let mut orders = Vec::new();
    let before = HELD.load(Ordering::Relaxed);
    let one = |id: u32| {
        let at = SocketAddr::from(([127, 0, (id >> 8) as u8, id as u8], 9_000));
        ready_endpoint(id, at)
    };
    let update = WatchEvent {
        index: 1,
        full: true,
        endpoints: (1..=engines).map(one).collect(),
    };
    let executor = shared.executor.clone();
    let rows = async_io::block_on(executor.run(async {
        updates.send(update).await.expect("the list's actor");
        let Ok(DispatcherEvent::EndpointList {
            kind,
            entries,
            new_endpoints,
            ..
        }) = news.recv().await
        else {
            panic!("no news")
        };
        manager.update_endpoints(1, kind, entries, &mut orders);
        orders.clear();
        // A turn for whatever was started with the rows.
        sleep_until(Some(yokelift::clock::now() + 1)).await;
        new_endpoints
    }));
    assert_eq!(
        (rows.len(), shared.engine_actors.get()),
        (engines as usize, 0)
    );
    let held = HELD.load(Ordering::Relaxed) - before;
    drop(rows);
    held
}

/// Guards the budget of 64 MB at 910 engines: under 8 KB an engine, at whatever size of the list.
#[test]
fn an_engine_in_the_list_costs_a_row() {
    let (few, some, many) = (held_with(100), held_with(500), held_with(900));
    let slopes = [(some - few) / 400, (many - some) / 400];
    assert!(
        slopes.iter().all(|slope| (1..8 * 1024).contains(slope)),
        "{few} {some} {many}: {slopes:?} an engine"
    );
    assert!(
        slopes[1] <= slopes[0] * 5 / 4,
        "grows with the fleet: {slopes:?}"
    );
}
