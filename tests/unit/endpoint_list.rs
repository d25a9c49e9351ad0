//! The endpoint list: a replaced engine is reported as removed, and its actor ends.
use super::{
    ClickHouseEngines, EndpointFactory, EndpointListMailbox, MAILBOX_CAPACITY, WatchEvent, run,
};
use crate::net::Shared;
use crate::net::discovery::ListedEndpoint;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::engine::{EndpointHandle, EngineCommand, StartActor};
use crate::net::mailbox::bounded;
use crate::policy::api::Readiness;
use crate::testkit::coordinator::ready_endpoint;
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

const ENGINES: u32 = 40;

/// The actors that were started: the engine's id and the receiving end of the mailbox.
type StartedActors = Rc<RefCell<Vec<(u64, Receiver<EngineCommand>)>>>;

/// Creates endpoints whose actors only record their commands. Each has an actor from the beginning,
/// which is the harder case: an endpoint without an actor takes only memory.
fn recording_factory(actors: &StartedActors) -> EndpointFactory {
    let actors = actors.clone();
    let start: StartActor = Rc::new(move |endpoint| {
        let (commands, mailbox) = bounded(64);
        actors.borrow_mut().push((endpoint.id.0, mailbox));
        commands
    });
    Box::new(move |listed| {
        let endpoint = EndpointHandle::new(
            listed.endpoint.id,
            listed.addr,
            listed.endpoint.readiness,
            start.clone(),
        );
        let probe = EngineCommand::Probe { not_after: 0 };
        endpoint.send(probe).expect("capacity");
        endpoint
    })
}

fn listed(id: u32, port: u16, readiness: Readiness) -> ListedEndpoint {
    let mut listed = ready_endpoint(id, SocketAddr::from(([127, 0, 0, 1], port)));
    listed.endpoint.readiness = readiness;
    listed
}

/// The event that replaces engine `id - 1` by engine `id`. An engine with an odd id has the address
/// of the previous one, which the event does not list as removed.
fn replacement(id: u32) -> WatchEvent {
    let port = 1_000 + (id / 2) as u16;
    let mut endpoints = vec![listed(id, port, Readiness::Ready)];
    if id.is_multiple_of(2) {
        endpoints.push(listed(id - 1, port - 1, Readiness::Removed));
    }
    WatchEvent {
        index: u64::from(id),
        full: id == 1,
        endpoints,
    }
}

/// Spawns the actor of an endpoint list without followers; returns where its events are sent, and its
/// updates for the dispatcher.
fn spawn_list(
    shared: &Rc<Shared>,
    actors: &StartedActors,
) -> (Sender<WatchEvent>, Receiver<DispatcherEvent>) {
    let (dispatcher, updates) = async_channel::unbounded();
    let (events, applied) = async_channel::bounded(MAILBOX_CAPACITY);
    let mailbox = EndpointListMailbox {
        events: applied,
        followers: async_channel::unbounded().1,
    };
    shared.spawn(run(
        shared.clone(),
        dispatcher,
        mailbox,
        recording_factory(actors),
        ClickHouseEngines::default(),
    ));
    (events, updates)
}

/// Applies events; returns the readiness that each of them reports of the engines, by their ids.
fn reported(events: Vec<WatchEvent>) -> Vec<Vec<(u64, Readiness)>> {
    let shared = Shared::new(64, 32);
    let (sender, updates) = spawn_list(&shared, &StartedActors::default());
    for event in events {
        sender.try_send(event).expect("capacity");
    }
    drop(sender);
    let report_all = async {
        let mut reports = Vec::new();
        while let Ok(DispatcherEvent::EndpointList(update)) = updates.recv().await {
            let entries = update.entries.iter();
            reports.push(entries.map(|entry| (entry.id.0, entry.readiness)).collect());
        }
        reports
    };
    async_io::block_on(shared.executor.run(report_all))
}

/// Guards against two engines at one address: in a past fault an engine that moved to the address of
/// another one left that one in service, and its attempts went to the process that had moved. Engines
/// that exchange their addresses both stay.
#[test]
fn an_engine_that_moves_to_the_address_of_another_one_displaces_it() {
    use Readiness::{Draining, Ready, Removed};
    let event = |index, full, endpoints| WatchEvent {
        index,
        full,
        endpoints,
    };
    let first = event(
        1,
        true,
        vec![listed(1, 1_001, Ready), listed(2, 1_002, Ready)],
    );
    let moved = event(2, false, vec![listed(1, 1_002, Ready)]);
    let moved_to_drain = event(2, false, vec![listed(1, 1_002, Draining)]);
    let exchanged = vec![listed(1, 1_002, Ready), listed(2, 1_001, Ready)];
    let exchanged = event(2, false, exchanged);
    let repeated = event(2, false, vec![listed(1, 1_001, Ready)]);
    let second_report = |second: WatchEvent| reported(vec![first.clone(), second]).remove(1);

    assert_eq!(second_report(moved), [(1, Ready), (2, Removed)]);
    assert_eq!(second_report(moved_to_drain), [(1, Draining)]);
    assert_eq!(second_report(exchanged), [(1, Ready), (2, Ready)]);
    assert_eq!(second_report(repeated), [(1, Ready)]);
}

/// Guards the limits on memory and descriptors, and the drain rule, where engines are replaced all
/// the time.
#[test]
fn a_replaced_engine_is_reported_removed_and_its_actor_ends() {
    let shared = Shared::new(64, 32);
    let actors = StartedActors::default();
    let (events, updates) = spawn_list(&shared, &actors);
    let replace_all = async {
        let mut reported_removed = Vec::new();
        for id in 1..=ENGINES {
            let _ = events.send(replacement(id)).await;
            let Ok(DispatcherEvent::EndpointList(update)) = updates.recv().await else {
                panic!("no update")
            };
            let removed = update
                .entries
                .iter()
                .filter(|endpoint| endpoint.readiness == Readiness::Removed);
            reported_removed.extend(removed.map(|endpoint| endpoint.id.0));
        }
        reported_removed
    };

    let reported_removed = async_io::block_on(shared.executor.run(replace_all));

    let actors = actors.borrow();
    let open: Vec<u64> = actors
        .iter()
        .filter(|(_, mailbox)| !mailbox.is_closed())
        .map(|(id, _)| *id)
        .collect();
    assert_eq!(open, [40]);
    let removed = actors
        .iter()
        .filter(|(_, mailbox)| {
            let commands = (mailbox.try_recv(), mailbox.try_recv());
            matches!(
                commands,
                (
                    Ok(EngineCommand::Probe { not_after: 0 }),
                    Ok(EngineCommand::Remove)
                )
            )
        })
        .count();
    assert_eq!(
        (removed, reported_removed),
        (39, (1..=39).collect::<Vec<u64>>())
    );
}
