//! The exchange of the endpoint list between two processes of a hot restart: what is cut, invalid,
//! old, or numbered otherwise changes nothing.
use super::super::follow_predecessor;
use super::super::successor::TransferredState;
use super::DiscoveryChannels;
use crate::hot_restart::message::{HotRestartMessage, MessageReader};
use crate::lifecycle::{PredecessorList, PredecessorState};
use crate::net::Shared;
use crate::net::discovery::coordinator::{self, WatchStart};
use crate::net::discovery::endpoint_factory::ClickHouseEngines;
use crate::net::discovery::endpoint_list::{self, EndpointListMailbox};
use crate::net::discovery::numbering::Numbering;
use crate::net::discovery::{ListedEndpoint, WatchEvent, frame};
use crate::net::dispatcher::DispatcherEvent;
use crate::net::engine::{EndpointHandle, StartActor};
use crate::net::mailbox;
use crate::policy::api::Readiness;
use crate::testkit::coordinator::ready_endpoint;
use async_channel::{Receiver, bounded, unbounded};
use async_io::{Async, block_on};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

const NUMBERING: u64 = 7;
const OTHER_NUMBERING: u64 = 8;
/// The number of the event with which the process under test starts.
const FIRST_INDEX: u64 = 2;

fn listed(id: u32, readiness: Readiness) -> ListedEndpoint {
    let mut listed = ready_endpoint(id, SocketAddr::from(([127, 0, 0, 1], 1_000 + id as u16)));
    listed.endpoint.readiness = readiness;
    listed
}

fn full_list(index: u64, endpoints: Vec<ListedEndpoint>) -> WatchEvent {
    WatchEvent {
        index,
        full: true,
        endpoints,
    }
}

fn message(numbering: u64, event: &WatchEvent) -> Vec<u8> {
    let frame = frame::encode_event(event);
    HotRestartMessage::EndpointList { numbering, frame }.encode()
}

/// An event of the predecessor in which the first engine drains and the second one is not listed.
fn drain_message(numbering: u64) -> Vec<u8> {
    let drains = full_list(3, vec![listed(1, Readiness::Draining)]);
    message(numbering, &drains)
}

/// A successor with its discovery actors, and the predecessor's end of the session.
struct Successor {
    shared: Rc<Shared>,
    channels: DiscoveryChannels,
    predecessor: UnixStream,
    transferred: TransferredState,
    /// Keeps the dispatcher's mailbox open.
    dispatcher: (
        async_channel::Sender<DispatcherEvent>,
        Receiver<DispatcherEvent>,
    ),
}

impl Successor {
    /// A successor that knows two engines that are ready, and has heard from the coordinator.
    fn start() -> Successor {
        let shared = Shared::new(64, 64);
        shared.event_numberings.add(Numbering(NUMBERING));
        let dispatcher = unbounded();
        let (watch, commands) = bounded(coordinator::MAILBOX_CAPACITY);
        let (events, applied) = bounded(endpoint_list::MAILBOX_CAPACITY);
        let (followers, new_followers) = unbounded();
        let engines = [1, 2].map(|id| listed(id, Readiness::Ready));
        let first = full_list(FIRST_INDEX, engines.to_vec());
        events.try_send(first).expect("capacity");
        let start = WatchStart {
            last_index: FIRST_INDEX,
            backoff_seed: 9,
        };
        shared.spawn(coordinator::run(
            shared.clone(),
            start,
            commands,
            events,
            || {},
        ));
        let new_endpoint = |listed: &ListedEndpoint| {
            let endpoint = &listed.endpoint;
            let no_actor: StartActor = Rc::new(|_| mailbox::bounded(1).0);
            EndpointHandle::new(endpoint.id, listed.addr, endpoint.readiness, no_actor)
        };
        shared.spawn(endpoint_list::run(
            shared.clone(),
            dispatcher.0.clone(),
            EndpointListMailbox {
                events: applied,
                followers: new_followers,
            },
            Box::new(new_endpoint),
            ClickHouseEngines::default(),
        ));
        let (peer, predecessor) = UnixStream::pair().expect("a pair of sockets");
        let transferred = TransferredState {
            listeners: BTreeMap::new(),
            draining: false,
            reserved_share: 0.5,
            peer: Async::new(peer).expect("an asynchronous socket"),
            reader: MessageReader::default(),
            received: Vec::new(),
        };
        let mut lifecycle = shared.lifecycle.borrow_mut();
        lifecycle.set_predecessor(PredecessorState::Serving);
        lifecycle.set_predecessor_list(PredecessorList::Awaited);
        lifecycle.endpoint_list_received();
        drop(lifecycle);
        Successor {
            shared,
            channels: DiscoveryChannels { followers, watch },
            predecessor,
            transferred,
            dispatcher,
        }
    }

    /// Runs the session until the successor begins to serve; returns what it then has of the
    /// predecessor's list, the number of its own list, and the engines on it. Afterwards the
    /// predecessor's end has what the successor sent.
    fn serve(self) -> (Served, UnixStream) {
        let Successor {
            shared,
            channels,
            predecessor,
            transferred,
            dispatcher,
        } = self;
        let (serving, served) = bounded::<()>(1);
        let adopt = Box::new(|_, _| bounded(1).0);
        shared.spawn(follow_predecessor(
            shared.clone(),
            dispatcher.0.clone(),
            channels.clone(),
            transferred,
            adopt,
            move || drop(serving),
        ));
        let list = async {
            let _ = served.recv().await;
            let (follower, list) = unbounded();
            let _ = channels.followers.send(follower).await;
            list.recv().await.expect("the list")
        };
        let list = block_on(shared.executor.run(list));
        let engines = list.endpoints.iter().map(|listed| {
            let endpoint = &listed.endpoint;
            (endpoint.id.0, endpoint.readiness)
        });
        let served = Served {
            predecessor_list: shared.lifecycle.borrow().predecessor_list(),
            index: list.index,
            engines: engines.collect(),
        };
        (served, predecessor)
    }
}

#[derive(Debug, PartialEq)]
struct Served {
    predecessor_list: PredecessorList,
    index: u64,
    engines: Vec<(u64, Readiness)>,
}

/// The state of a process that has its own list only.
fn own_list(predecessor_list: PredecessorList) -> Served {
    Served {
        predecessor_list,
        index: FIRST_INDEX,
        engines: vec![(1, Readiness::Ready), (2, Readiness::Ready)],
    }
}

/// The state of a process that acts on [`drain_message`].
fn adopted_list() -> Served {
    Served {
        predecessor_list: PredecessorList::InForce,
        index: 3,
        engines: vec![(1, Readiness::Draining)],
    }
}

/// Guards the start beside a predecessor that is killed while it sends its list: a list that is cut at
/// any byte changes nothing, and a complete one is in force before this process serves.
#[test]
fn a_list_that_is_cut_at_any_byte_changes_nothing() {
    let message = drain_message(NUMBERING);
    for length in 0..=message.len() {
        let mut successor = Successor::start();
        let sent = successor.predecessor.write_all(&message[..length]);
        sent.expect("the session is open");
        successor
            .predecessor
            .shutdown(std::net::Shutdown::Write)
            .expect("closed");

        let (served, _predecessor) = successor.serve();

        if length == message.len() {
            assert_eq!(served, adopted_list());
        } else {
            assert_eq!(served, own_list(PredecessorList::NotExpected), "{length}");
        }
    }
}

/// Guards upgrades from an earlier version, which sends no list: this process waits for the
/// coordinator instead, and sends no list itself.
#[test]
fn a_predecessor_of_an_earlier_version_is_not_waited_for() {
    let (served, mut predecessor) = Successor::start().serve();

    assert_eq!(served, own_list(PredecessorList::Unavailable));
    predecessor.set_nonblocking(true).expect("an open socket");
    let mut sent = vec![0; 256];
    let length = predecessor.read(&mut sent).expect("the first messages");
    assert_eq!(&sent[..length], b"answer 0 0 0\nready\n");
}

/// Guards against events that would be missed for good: numbers of another sequence must not replace
/// this process's own.
#[test]
fn a_list_with_another_numbering_changes_nothing() {
    let mut successor = Successor::start();
    let message = drain_message(OTHER_NUMBERING);
    let sent = successor.predecessor.write_all(&message);
    sent.expect("the session is open");

    let (served, _predecessor) = successor.serve();

    assert_eq!(served, own_list(PredecessorList::Unavailable));
}

/// Guards the session against lists that can't be decoded: they change nothing, and a valid one after
/// them is adopted.
#[test]
fn an_invalid_list_changes_nothing() {
    let valid = frame::encode_event(&full_list(3, vec![listed(1, Readiness::Draining)]));
    let heartbeat = frame::encode_heartbeat(3);
    let trailing = [valid.as_slice(), b"x"].concat();
    let truncated = valid[..valid.len() - 1].to_vec();
    for frame in [heartbeat, trailing, truncated, b"x".to_vec()] {
        let invalid = HotRestartMessage::EndpointList {
            numbering: NUMBERING,
            frame,
        };
        for valid in [Vec::new(), drain_message(NUMBERING)] {
            let mut successor = Successor::start();
            let bytes = [invalid.encode(), valid.clone()].concat();
            let sent = successor.predecessor.write_all(&bytes);
            sent.expect("the session is open");

            let (served, _predecessor) = successor.serve();

            if valid.is_empty() {
                assert_eq!(served, own_list(PredecessorList::Unavailable));
            } else {
                assert_eq!(served, adopted_list());
            }
        }
    }
}

/// Guards against a list that is older than this process's own, as after a reload of its
/// configuration: it changes nothing, and the predecessor is sent the newer one.
#[test]
fn an_older_list_changes_nothing_and_is_answered_by_the_newer_one() {
    let mut successor = Successor::start();
    let older = full_list(FIRST_INDEX - 1, vec![listed(1, Readiness::Draining)]);
    let sent = successor.predecessor.write_all(&message(NUMBERING, &older));
    sent.expect("the session is open");

    let (served, mut predecessor) = successor.serve();

    assert_eq!(served, own_list(PredecessorList::InForce));
    let engines = [1, 2].map(|id| listed(id, Readiness::Ready));
    let own = message(NUMBERING, &full_list(FIRST_INDEX, engines.to_vec()));
    let mut sent = vec![0; 1_024];
    let length = predecessor.read(&mut sent).expect("an open session");
    let is_sent = sent[..length].windows(own.len()).any(|bytes| bytes == own);
    assert!(is_sent, "{:?}", String::from_utf8_lossy(&sent[..length]));
}
