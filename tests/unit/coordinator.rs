//! The reader of the coordinator's frames.
use super::*;

fn event(number: u64, kind: u8, records: usize) -> Vec<u8> {
    let mut out = (9 + 27 * records as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(vec![0; 27 * records]);
    out
}

fn at(last: u64) -> Rc<WatchPosition> {
    Rc::new(WatchPosition::at(last))
}

/// Guards the numbers across a move: a second connection tells nothing twice and goes on where all
/// stand.
#[test]
fn two_connections_tell_each_event_once() {
    let place = at(3);
    let (mut old, mut new) = (Follower::new(place.clone()), Follower::new(place));
    assert_eq!(old.feed(&event(4, 2, 1)).unwrap().len(), 1);
    assert_eq!(new.hello(), 4u64.to_be_bytes());
    assert_eq!(new.feed(&event(5, 2, 1)).unwrap().len(), 1);
    assert_eq!(
        old.feed(&[event(5, 2, 1), event(6, 2, 1)].concat())
            .unwrap()[0]
            .index,
        6
    );
    assert!(new.feed(&event(6, 2, 1)).unwrap().is_empty());
}

#[test]
fn events_come_once_and_in_order_however_the_bytes_are_cut() {
    let wire = [
        event(4, 1, 2),
        event(4, 0, 0),
        event(4, 1, 2),
        event(5, 2, 1),
    ]
    .concat();
    for step in 1..wire.len() {
        let mut follower = Follower::new(at(3));
        let pieces = wire
            .chunks(step)
            .flat_map(|piece| follower.feed(piece).unwrap());
        let got: Vec<(u64, bool, usize)> = pieces
            .map(|u| (u.index, u.whole, u.engines.len()))
            .collect();
        assert_eq!(got, [(4, true, 2), (5, false, 1)]);
    }
}

/// Guards against missed changes: a gap is asked for once more, and not forever.
#[test]
fn a_gap_is_asked_for_again_once() {
    let mut follower = Follower::new(at(3));
    assert_eq!(
        follower.feed(&event(6, 2, 1)).unwrap_err(),
        Termination::Dropped
    );
    assert_eq!(follower.hello(), 3u64.to_be_bytes());
    assert_eq!(follower.feed(&event(6, 2, 1)).unwrap()[0].index, 6);
    assert_eq!(follower.hello(), 6u64.to_be_bytes());
    // A whole list leaves no gap.
    assert_eq!(follower.feed(&event(9, 1, 1)).unwrap()[0].index, 9);
}

#[test]
fn what_is_no_frame_ends_the_connection() {
    assert_eq!(
        frame(&[0xff; 16]).unwrap_err(),
        Termination::ProtocolViolation
    );
    assert_eq!(
        frame(&event(1, 7, 0)).unwrap_err(),
        Termination::ProtocolViolation
    );
    let mut ragged = event(1, 2, 1);
    ragged[3] -= 1;
    assert_eq!(frame(&ragged).unwrap_err(), Termination::ProtocolViolation);
    assert_eq!(frame(&event(1, 2, 1)[..20]), Ok(None));
}

/// Guards the drain rule against open watches that fall silent, several in a row: each is dialled
/// anew from the last number, and what it hid is told.
#[test]
fn watches_that_fall_silent_are_dialled_anew_from_the_last_number() {
    let shared = Shared::new(64, 64);
    let (line, addr) = crate::testkit::listener();
    let (where_to, moves) = async_channel::bounded(1);
    let (list, updates) = async_channel::bounded(16);
    shared.spawn(run(shared.clone(), (3, 9), moves, list, || {}));
    let (hellos, told) = async_io::block_on(shared.executor.run(async {
        let _ = where_to
            .send(CoordinatorMigration {
                addr: Some(addr),
                known: Vec::new(),
            })
            .await;
        let (mut hellos, mut open) = (Vec::new(), Vec::new());
        for n in 0..3 {
            let (mut stream, _) = line.accept().await.expect("a watch");
            let mut hello = [0; 8];
            stream.read_exact(&mut hello).await.expect("a number");
            hellos.push(u64::from_be_bytes(hello));
            // The first one speaks and falls silent, the second never speaks; both stay open.
            let words = [event(4, 2, 1), Vec::new(), event(5, 2, 1)];
            stream.write_all(&words[n]).await.expect("written");
            open.push(stream);
        }
        (
            hellos,
            [updates.recv().await, updates.recv().await].map(|u| u.expect("news").index),
        )
    }));
    assert_eq!((hellos, told), (vec![3, 4, 4], [4, 5]));
}
