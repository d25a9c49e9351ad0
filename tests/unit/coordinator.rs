//! The watch of the coordinator reports each event once and in order, and reconnects when it has
//! to.
use super::{WatchCommand, WatchError, WatchPosition, WatchReader, WatchStart, run};
use crate::dispatcher::termination::Termination;
use crate::net::Shared;
use crate::net::discovery::frame::{FrameError, RECORD_BYTES, decode, encode_event};
use crate::net::discovery::{ListedEndpoint, WatchEvent};
use crate::policy::api::{CellId, Endpoint, EngineId, MachineTypeId, Readiness, ZoneId};
use async_channel::Receiver;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

const HEARTBEAT: u8 = 0;
const FULL: u8 = 1;
const CHANGES: u8 = 2;

/// The frame of an event with that many records of zeros.
fn event(index: u64, kind: u8, records: usize) -> Vec<u8> {
    let length = 9 + RECORD_BYTES * records;
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend(index.to_be_bytes());
    frame.push(kind);
    frame.extend(vec![0; RECORD_BYTES * records]);
    frame
}

fn position_after(last_index: u64) -> Rc<WatchPosition> {
    Rc::new(WatchPosition::after(last_index))
}

/// Guards a cold engine against being taken for a warm one after an upgrade: an event is passed on to
/// the other process as a frame, and nothing of its endpoints may be lost.
#[test]
fn an_event_is_decoded_as_it_was_encoded() {
    let endpoint = |id, readiness, started_ms: u64| Endpoint {
        id: EngineId(id),
        zone: ZoneId(2),
        machine_type: MachineTypeId(1),
        cell: CellId(700),
        readiness,
        weight: 0.25,
        started_at: started_ms * 1_000_000,
        ..Endpoint::default()
    };
    let endpoints = [
        endpoint(1, Readiness::Ready, 0),
        endpoint(u64::from(u32::MAX), Readiness::Draining, 1_800_000_000_123),
        endpoint(3, Readiness::Removed, 5),
    ];
    for full in [true, false] {
        let event = WatchEvent {
            index: u64::MAX,
            full,
            endpoints: endpoints
                .map(|endpoint| ListedEndpoint {
                    endpoint,
                    addr: SocketAddr::from(([10, 1, 2, 3], 65_535)),
                })
                .to_vec(),
        };

        let encoded = encode_event(&event);

        let decoded = decode(&encoded).expect("a frame").expect("a complete one");
        assert_eq!(decoded.length, encoded.len());
        let found = decoded.frame.to_event().expect("an event");
        assert_eq!(format!("{found:?}"), format!("{event:?}"));
    }
}

/// During a migration two connections are read: each event is reported once, and the second
/// connection continues after the last event received on either.
#[test]
fn two_connections_report_each_event_once() {
    let position = position_after(3);
    let mut old = WatchReader::new(position.clone());
    let mut new = WatchReader::new(position);

    assert_eq!(old.receive(&event(4, CHANGES, 1)).unwrap().len(), 1);
    assert_eq!(new.begin_connection(), 4u64.to_be_bytes());
    assert_eq!(new.receive(&event(5, CHANGES, 1)).unwrap().len(), 1);
    let two_events = [event(5, CHANGES, 1), event(6, CHANGES, 1)].concat();
    assert_eq!(old.receive(&two_events).unwrap()[0].index, 6);
    assert!(new.receive(&event(6, CHANGES, 1)).unwrap().is_empty());
}

#[test]
fn events_are_reported_once_and_in_order_however_the_bytes_are_split() {
    let wire = [
        event(4, FULL, 2),
        event(4, HEARTBEAT, 0),
        event(4, FULL, 2),
        event(5, CHANGES, 1),
    ]
    .concat();
    for piece_bytes in 1..wire.len() {
        let mut reader = WatchReader::new(position_after(3));
        let events = wire
            .chunks(piece_bytes)
            .flat_map(|piece| reader.receive(piece).unwrap());
        let reported: Vec<(u64, bool, usize)> = events
            .map(|event| (event.index, event.full, event.endpoints.len()))
            .collect();
        assert_eq!(reported, [(4, true, 2), (5, false, 1)]);
    }
}

/// Missing events are requested again, but only once: they may not be available any more.
#[test]
fn missing_events_are_requested_again_once() {
    let mut reader = WatchReader::new(position_after(3));

    let error = reader.receive(&event(6, CHANGES, 1)).unwrap_err();
    assert_eq!(error, WatchError::MissingEvents { last: 3, found: 6 });
    assert_eq!(Termination::from(error), Termination::Dropped);
    assert_eq!(reader.begin_connection(), 3u64.to_be_bytes());
    assert_eq!(reader.receive(&event(6, CHANGES, 1)).unwrap()[0].index, 6);
    assert_eq!(reader.begin_connection(), 6u64.to_be_bytes());
    // A complete list leaves no gap.
    assert_eq!(reader.receive(&event(9, FULL, 1)).unwrap()[0].index, 9);
}

#[test]
fn malformed_frames_are_protocol_violations() {
    let too_long = decode(&[0xff; 16]).unwrap_err();
    let unknown_kind = decode(&event(1, 7, 0)).unwrap_err();
    let mut ragged = event(1, CHANGES, 1);
    ragged[3] -= 1;
    let ragged = decode(&ragged).unwrap_err();

    assert_eq!(too_long, FrameError::InvalidLength(0xffff_ffff));
    assert_eq!(unknown_kind, FrameError::UnknownKind(7));
    assert_eq!(ragged, FrameError::TrailingBytes(RECORD_BYTES - 1));
    for error in [too_long, unknown_kind, ragged] {
        assert_eq!(Termination::from(error), Termination::ProtocolViolation);
    }
    assert_eq!(decode(&event(1, CHANGES, 1)[..20]), Ok(None));
}

/// Spawns a watch after event 3 that migrates to these addresses at once; returns its events.
fn spawn_watch(
    shared: &Rc<Shared>,
    addrs: &[SocketAddr],
    on_contact: impl Fn() + 'static,
) -> Receiver<WatchEvent> {
    let (commands, mailbox) = async_channel::bounded(2);
    let (events, reported) = async_channel::bounded(16);
    for addr in addrs {
        let migration = WatchCommand::Migrate {
            addr: *addr,
            known: Vec::new(),
        };
        commands.try_send(migration).expect("capacity");
    }
    let start = WatchStart {
        last_index: 3,
        backoff_seed: 9,
    };
    shared.spawn(run(shared.clone(), start, mailbox, events, on_contact));
    reported
}

/// Guards against drains that go unnoticed while a watch connection stays open but receives
/// nothing. Several such connections in a row are replaced, each from the last event on, and the
/// missed events are reported.
#[test]
fn unresponsive_watches_are_reconnected_from_the_last_event() {
    let shared = Shared::new(64, 64);
    let (listener, addr) = crate::testkit::listener();
    let reported = spawn_watch(&shared, &[addr], || {});
    let watch_three_times = async {
        let (mut requests, mut open) = (Vec::new(), Vec::new());
        // The first connection carries one event and then nothing, the second nothing at all; both
        // stay open.
        for sent in [event(4, CHANGES, 1), Vec::new(), event(5, CHANGES, 1)] {
            let (mut stream, _) = listener.accept().await.expect("a watch");
            let mut request = [0; 8];
            stream.read_exact(&mut request).await.expect("an index");
            requests.push(u64::from_be_bytes(request));
            stream.write_all(&sent).await.expect("written");
            open.push(stream);
        }
        let events = [reported.recv().await, reported.recv().await];
        (requests, events.map(|event| event.expect("an event").index))
    };

    let (requests, indexes) = async_io::block_on(shared.executor.run(watch_three_times));

    assert_eq!((requests, indexes), (vec![3, 4, 4], [4, 5]));
}

/// Guards the start against a coordinator that stops within its first frame: in a past fault the
/// process counted as informed, and was ready without the events that the coordinator had begun to
/// send.
#[test]
fn a_part_of_a_frame_is_no_news_from_the_coordinator() {
    let shared = Shared::new(64, 64);
    let (listener, addr) = crate::testkit::listener();
    let contacts = Rc::new(Cell::new(0));
    let counter = contacts.clone();
    let count_contact = move || counter.set(counter.get() + 1);
    let reported = spawn_watch(&shared, &[addr], count_contact);
    let watch_twice = async {
        let frame = event(4, CHANGES, 1);
        let (mut first, _) = listener.accept().await.expect("a watch");
        let part = &frame[..frame.len() - 1];
        first.write_all(part).await.expect("written");
        drop(first);
        let (mut second, _) = listener.accept().await.expect("a watch");
        let contacts_by_part = contacts.get();
        second.write_all(&frame).await.expect("written");
        let index = reported.recv().await.expect("an event").index;
        (contacts_by_part, index)
    };

    let outcome = async_io::block_on(shared.executor.run(watch_twice));

    assert_eq!(outcome, (0, 4));
}

/// Guards against a fault after two migrations in quick succession: each task read the newest
/// generation when it first ran instead of when it was spawned, so that the older address was also
/// reconnected to, without end.
#[test]
fn of_two_migrations_at_once_only_the_last_address_is_followed() {
    let shared = Shared::new(64, 64);
    let (old_listener, old) = crate::testkit::listener();
    let (new_listener, new) = crate::testkit::listener();
    let _reported = spawn_watch(&shared, &[old, new], || {});

    // Every connection to the new address is closed at once. The old address may be connected to
    // meanwhile, but not repeatedly.
    let watches_of_new = async {
        for _ in 0..4 {
            new_listener.accept().await.expect("a watch");
        }
    };
    async_io::block_on(shared.executor.run(watches_of_new));

    let old_watches = std::iter::from_fn(|| old_listener.get_ref().accept().ok()).count();
    assert_eq!(old_watches, 0);
}
