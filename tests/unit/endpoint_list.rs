//! The list of engines: what is replaced leaves nothing behind.
use super::*;
use crate::net::engine::EngineCommand;
use crate::net::mailbox::bounded;
use std::cell::RefCell;

/// Guards memory, descriptors and the drain rule on days when engines are replaced without end, at
/// new addresses or at the address of one that nobody has told to be gone yet.
#[test]
fn a_replaced_engine_leaves_nothing_behind() {
    let shared = Shared::new(64, 32);
    let (core, news) = async_channel::unbounded();
    let (updates, mailbox) = async_channel::bounded(MAILBOX);
    let actors = Rc::new(RefCell::new(Vec::new()));
    let made = actors.clone();
    let start: Start = Rc::new(move |row| {
        let (orders, mailbox) = bounded(64);
        made.borrow_mut().push((row.id.0, mailbox));
        orders
    });
    // Each is in use at once: the harder case, as a row alone is nothing but memory.
    let make: MakeEngine = Box::new(move |listed| {
        let row = EndpointHandle::new(
            listed.entry.id,
            listed.addr,
            listed.entry.readiness,
            start.clone(),
        );
        row.tell(EngineCommand::Probe(0)).expect("room");
        row
    });
    shared.spawn(run(shared.clone(), core, mailbox, make, Http::default()));
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let one = |id, port, state| listed(id, at(port), state, (0, 0, 0), 1.0, 0);
    let executor = shared.executor.clone();
    let told = async_io::block_on(executor.run(async {
        let mut told = Vec::new();
        for id in 1..=40u32 {
            // Odd ones come to the address of the one before, with no word of its end.
            let mut engines = vec![one(id, 1_000 + (id / 2) as u16, Readiness::Ready)];
            if id % 2 == 0 {
                engines.push(one(id - 1, 1_000 + (id / 2 - 1) as u16, Readiness::Removed));
            }
            let _ = updates
                .send(Update {
                    index: u64::from(id),
                    whole: id == 1,
                    engines,
                })
                .await;
            let Ok(DispatcherEvent::EndpointList { entries, .. }) = news.recv().await else {
                panic!("no news")
            };
            told.extend(
                entries
                    .iter()
                    .filter(|e| e.readiness == Readiness::Removed)
                    .map(|e| e.id.0),
            );
        }
        told
    }));
    let actors = actors.borrow();
    let left = actors
        .iter()
        .filter(|(_, orders)| !orders.is_closed())
        .map(|(id, _)| *id);
    assert_eq!(left.collect::<Vec<u64>>(), [40]);
    let gone = |orders: &Receiver<EngineCommand>| {
        matches!(
            (orders.try_recv(), orders.try_recv()),
            (Ok(EngineCommand::Probe(0)), Ok(EngineCommand::Gone))
        )
    };
    let went = actors.iter().filter(|(_, orders)| gone(orders)).count();
    assert_eq!((went, told), (39, (1..=39).collect::<Vec<u64>>()));
}
