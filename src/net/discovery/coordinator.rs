//! The actor of the coordinator: follows its numbered events, comes back after every break, and
//! moves with it.
use crate::backoff::Backoff;
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::log;
use crate::net::discovery::endpoint_list::{Update, parse_record};
use crate::net::{Shared, sleep_until};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A frame longer than this is not the protocol: it would hold tens of thousands of engines.
const MOST_FRAME: usize = 2 * 1024 * 1024;
const CONNECT: Micros = SEC;

/// A frame.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// Nothing new.
    Empty,
    /// An event: its number, whether it holds the whole list, and its records.
    Event(u64, bool, &'a [[u8; 27]]),
}

/// Reads the first frame, if it is there whole, and tells its length.
pub fn frame(input: &[u8]) -> Result<Option<(Frame<'_>, usize)>, Termination> {
    let Some((length, rest)) = input.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(9..=MOST_FRAME).contains(&length) {
        return Err(Termination::ProtocolViolation);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let number = body
        .first_chunk::<8>()
        .map_or(0, |n| u64::from_be_bytes(*n));
    let (records, left) = body[9..].as_chunks::<27>();
    let frame = match body[8] {
        0 => Frame::Empty,
        kind @ (1 | 2) if left.is_empty() => Frame::Event(number, kind == 1, records),
        _ => return Err(Termination::ProtocolViolation),
    };
    Ok(Some((frame, 4 + length)))
}

/// How far the events have come, over all connections: the numbers go on when the coordinator
/// moves.
#[derive(Default)]
pub struct WatchPosition {
    last: Cell<u64>,
    /// A connection showed a gap once: the events between are not to be had.
    gap: Cell<bool>,
    /// The number of the newest address; connections to older ones are not made again.
    newest: Cell<u64>,
}

impl WatchPosition {
    /// After that event.
    pub fn at(last: u64) -> WatchPosition {
        WatchPosition {
            last: Cell::new(last),
            ..WatchPosition::default()
        }
    }
}

/// One connection's reader.
pub struct Follower {
    place: Rc<WatchPosition>,
    input: Vec<u8>,
}

impl Follower {
    /// One that goes on from there.
    pub fn new(place: Rc<WatchPosition>) -> Follower {
        Follower {
            place,
            input: Vec::new(),
        }
    }

    /// What it writes on a new connection.
    pub fn hello(&mut self) -> [u8; 8] {
        self.input.clear();
        self.place.last.get().to_be_bytes()
    }

    /// Reads what came. Guards against a gap in the numbers: it asks again from the last event it
    /// has, and takes a second gap at the same place as it is, lest it asks forever.
    pub fn feed(&mut self, input: &[u8]) -> Result<Vec<Update>, Termination> {
        self.input.extend_from_slice(input);
        let (mut used, mut updates) = (0, Vec::new());
        let result = loop {
            match frame(&self.input[used..]) {
                Ok(None) => break Ok(()),
                Err(end) => break Err(end),
                Ok(Some((Frame::Empty, length))) => used += length,
                Ok(Some((Frame::Event(index, whole, records), length))) => {
                    used += length;
                    let last = self.place.last.get();
                    if index <= last {
                        continue;
                    }
                    if index > last + 1 && !whole && !self.place.gap.get() {
                        self.place.gap.set(true);
                        break Err(Termination::Dropped);
                    }
                    self.place.last.set(index);
                    self.place.gap.set(false);
                    let engines = records.iter().filter_map(parse_record).collect();
                    updates.push(Update {
                        index,
                        whole,
                        engines,
                    });
                }
            }
        };
        self.input.drain(..used);
        // What was whole before the fault still counts.
        match result {
            Err(end) if updates.is_empty() => Err(end),
            _ => Ok(updates),
        }
    }
}

/// Where the coordinator is from now on, and the events that came with the news.
pub struct CoordinatorMigration {
    /// Its address; without one it is followed where it is, on a new connection: the present one
    /// seems to be stuck.
    pub addr: Option<SocketAddr>,
    /// Events; those already known are passed over.
    pub known: Vec<Update>,
}

/// Runs the follower from the last event that is known; `heard` is called once the coordinator has
/// spoken. After a move the new address is followed at once, and the old connection read until it
/// ends. The seed is this manager's own, lest a fleet dials in step.
pub async fn run(
    shared: Rc<Shared>,
    (last, seed): (u64, u64),
    moves: Receiver<CoordinatorMigration>,
    list: Sender<Update>,
    heard: impl Fn() + Clone + 'static,
) {
    let place = Rc::new(WatchPosition::at(last));
    let mut at = None;
    while let Ok(CoordinatorMigration { addr, known }) = moves.recv().await {
        for update in known.into_iter().filter(|u| u.index > place.last.get()) {
            place.last.set(update.index);
            let _ = list.send(update).await;
        }
        let (was, again) = (at, addr.is_none());
        at = addr.or(at);
        if let Some(addr) = at.filter(|addr| again || was != Some(*addr)) {
            place.newest.set(place.newest.get() + 1);
            let backoff = Backoff::new(seed.wrapping_add(place.newest.get()));
            shared.spawn(stay(
                addr,
                place.clone(),
                backoff,
                list.clone(),
                heard.clone(),
            ));
        }
    }
}

/// Follows one address for as long as it is the newest, and its last connection until that ends.
async fn stay(
    addr: SocketAddr,
    place: Rc<WatchPosition>,
    mut backoff: Backoff,
    list: Sender<Update>,
    heard: impl Fn(),
) {
    let mine = place.newest.get();
    while place.newest.get() == mine {
        let (mut follower, spoke) = (Follower::new(place.clone()), Cell::new(false));
        let told = || {
            spoke.set(true);
            heard();
        };
        let silence = backoff.silence();
        let end = follow(addr, &mut follower, silence, &list, &told).await;
        log!("the coordinator's connection ended: {end:?}");
        Timer::after(Duration::from_micros(backoff.pause(spoke.get()))).await;
    }
}

async fn follow(
    addr: SocketAddr,
    follower: &mut Follower,
    silence: Micros,
    list: &Sender<Update>,
    heard: &impl Fn(),
) -> Termination {
    let connect = async {
        Async::<TcpStream>::connect(addr)
            .await
            .map_err(|e| Termination::of_connect(&e))
    };
    let late = async {
        sleep_until(Some(clock::turn() + CONNECT)).await;
        Err(Termination::ConnectTimeout)
    };
    let mut stream = match or(connect, late).await {
        Ok(stream) => stream,
        Err(end) => return end,
    };
    let _ = stream.get_ref().set_nodelay(true);
    if stream.write_all(&follower.hello()).await.is_err() {
        return Termination::Reset;
    }
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let silent_at = clock::turn() + silence;
        let read = async { Some(stream.read(&mut buffer).await) };
        let silent = async {
            sleep_until(Some(silent_at)).await;
            None
        };
        let n = match or(read, silent).await {
            None => return Termination::Unresponsive,
            Some(Ok(0)) => return Termination::Closed,
            Some(Ok(n)) => n,
            Some(Err(_)) => return Termination::Reset,
        };
        match follower.feed(&buffer[..n]) {
            Ok(updates) => {
                for update in updates {
                    let _ = list.send(update).await;
                }
                heard();
            }
            Err(end) => return end,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/coordinator.rs"]
mod tests;
