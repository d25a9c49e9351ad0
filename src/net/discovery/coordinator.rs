//! The watch of the coordinator: receives its numbered events, reconnects whenever its connection
//! ends, and connects to another address when the coordinator migrates.
use super::WatchEvent;
use super::frame::{self, Frame, FrameError};
use crate::backoff::Backoff;
use crate::clock::{self, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::log;
use crate::net::{Shared, sleep_until};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Time allowed for establishing a connection.
const CONNECT_TIMEOUT_MICROS: Micros = SEC;
/// Capacity of the watch's mailbox in commands.
pub const MAILBOX_CAPACITY: usize = 16;
/// Size of a read from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The position in the sequence of events, over all connections: numbering continues when the
/// coordinator migrates to another address.
#[derive(Default)]
pub struct WatchPosition {
    last_index: Cell<u64>,
    /// Events after `last_index` were missing on a connection. If they are missing again, they are
    /// not available any more.
    gap_reported: Cell<bool>,
    /// Counts the migrations that opened a connection; only the address of the newest one is
    /// reconnected to.
    generation: Cell<u64>,
}

impl WatchPosition {
    /// The position after the event with that number.
    pub fn after(last_index: u64) -> WatchPosition {
        WatchPosition {
            last_index: Cell::new(last_index),
            ..WatchPosition::default()
        }
    }
}

/// Why the input of a watch is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The input is not a valid frame.
    #[error("the coordinator violated its protocol")]
    Frame(#[from] FrameError),
    /// Events are missing; the next connection requests them again.
    #[error("the coordinator sent event {found} after event {last}")]
    MissingEvents {
        /// The last event that was received.
        last: u64,
        /// The event that was received instead of the next one.
        found: u64,
    },
}

impl From<WatchError> for Termination {
    fn from(error: WatchError) -> Termination {
        match error {
            WatchError::Frame(error) => error.into(),
            WatchError::MissingEvents { .. } => Termination::Dropped,
        }
    }
}

/// Decodes the input of one connection of the watch, or of several consecutive ones.
pub struct WatchReader {
    position: Rc<WatchPosition>,
    input: Vec<u8>,
    /// Whether the present connection has carried a complete frame.
    has_frame: bool,
}

impl WatchReader {
    /// A reader that continues at a position.
    pub fn new(position: Rc<WatchPosition>) -> WatchReader {
        WatchReader {
            position,
            input: Vec::new(),
            has_frame: false,
        }
    }

    /// Starts a new connection; returns the request to write on it, the number of the last event
    /// received.
    pub fn begin_connection(&mut self) -> [u8; 8] {
        self.input.clear();
        self.has_frame = false;
        self.position.last_index.get().to_be_bytes()
    }

    /// Whether the present connection has carried a complete frame. A part of one tells nothing.
    pub fn has_frame(&self) -> bool {
        self.has_frame
    }

    /// Decodes bytes that were received into new events; those received before are skipped.
    ///
    /// # Errors
    ///
    /// The input is invalid and contains no new event before the fault; the connection must be
    /// closed. An invalid frame after new events is reported by the next call.
    pub fn receive(&mut self, input: &[u8]) -> Result<Vec<WatchEvent>, WatchError> {
        self.input.extend_from_slice(input);
        let mut events = Vec::new();
        let mut used = 0;
        let result = loop {
            let decoded = match frame::decode(&self.input[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error.into()),
            };
            used += decoded.length;
            self.has_frame = true;
            match self.next_event(&decoded.frame) {
                Ok(event) => events.extend(event),
                Err(error) => break Err(error),
            }
        };
        self.input.drain(..used);
        match result {
            Err(error) if events.is_empty() => Err(error),
            _ => Ok(events),
        }
    }

    /// Returns the event of a frame; `None` for a heartbeat or an event that was received before.
    /// Missing events are requested again once, over a new connection; if they are still missing,
    /// they are skipped, as they may not be available any more.
    fn next_event(&self, frame: &Frame) -> Result<Option<WatchEvent>, WatchError> {
        let Frame::Event { index, full, .. } = *frame else {
            return Ok(None);
        };
        let last = self.position.last_index.get();
        if index <= last {
            return Ok(None);
        }
        let has_gap = index > last + 1 && !full;
        if has_gap && !self.position.gap_reported.get() {
            self.position.gap_reported.set(true);
            return Err(WatchError::MissingEvents { last, found: index });
        }
        self.position.last_index.set(index);
        self.position.gap_reported.set(false);
        Ok(frame.to_event())
    }
}

/// A message to the watch.
pub enum WatchCommand {
    /// The coordinator has this address now.
    Migrate {
        /// The address.
        addr: SocketAddr,
        /// Events that came with the migration; those received before are skipped.
        known: Vec<WatchEvent>,
    },
    /// Open another connection to the present address, as the present connection seems stuck.
    Reconnect,
    /// An event that the other process of a hot restart has applied. It is skipped if it, or a later
    /// one, was received before. It may follow on events that are missing: the other process sends
    /// all that it has.
    Adopt(WatchEvent),
}

/// Where the watch starts.
#[derive(Clone, Copy, Debug)]
pub struct WatchStart {
    /// The number of the last event that is known.
    pub last_index: u64,
    /// Seed of the backoff. It differs between gateways, so that those of a fleet do not reconnect
    /// at the same times.
    pub backoff_seed: u64,
}

/// State that all connections of the watch share.
struct Watch<F> {
    position: Rc<WatchPosition>,
    events: Sender<WatchEvent>,
    on_contact: F,
}

/// Runs the watch: sends events to `events`, and calls `on_contact` whenever the coordinator has
/// sent something, from the first complete frame of a connection on. After a migration it connects to the new address at once, and reads the
/// connection to the old one until it ends.
pub async fn run<F>(
    shared: Rc<Shared>,
    start: WatchStart,
    commands: Receiver<WatchCommand>,
    events: Sender<WatchEvent>,
    on_contact: F,
) where
    F: Fn() + 'static,
{
    let position = Rc::new(WatchPosition::after(start.last_index));
    let watch = Rc::new(Watch {
        position: position.clone(),
        events,
        on_contact,
    });
    let mut current: Option<SocketAddr> = None;
    while let Ok(command) = commands.recv().await {
        let addr = match command {
            WatchCommand::Migrate { addr, known } => {
                watch.forward_unknown(known).await;
                let is_new = current.replace(addr) != Some(addr);
                is_new.then_some(addr)
            }
            WatchCommand::Reconnect => current,
            WatchCommand::Adopt(event) => {
                watch.forward_unknown(vec![event]).await;
                None
            }
        };
        let Some(addr) = addr else {
            continue;
        };
        let generation = position.generation.get() + 1;
        position.generation.set(generation);
        let backoff = Backoff::new(start.backoff_seed.wrapping_add(generation));
        let watch = watch.clone();
        shared.spawn(async move { watch.keep_connected(addr, generation, backoff).await });
    }
}

impl<F: Fn()> Watch<F> {
    /// Forwards the events that were not received before.
    async fn forward_unknown(&self, events: Vec<WatchEvent>) {
        for event in events {
            if event.index > self.position.last_index.get() {
                self.position.last_index.set(event.index);
                let _ = self.events.send(event).await;
            }
        }
    }

    /// Connects and reconnects to the address of that generation for as long as it is the newest. A
    /// connection that is open when a newer one begins is read until it ends.
    async fn keep_connected(&self, addr: SocketAddr, generation: u64, mut backoff: Backoff) {
        while self.position.generation.get() == generation {
            let contacted = Cell::new(false);
            let receive_timeout = backoff.receive_timeout();
            let reason = self.watch_once(addr, receive_timeout, &contacted).await;
            log!(
                "coordinator {addr}: watch connection ended: {reason}; its endpoint list updates stop until a reconnect"
            );
            let pause = backoff.next_delay(contacted.get());
            Timer::after(Duration::from_micros(pause)).await;
        }
    }

    /// Opens a connection and forwards its events; returns why it ended.
    async fn watch_once(
        &self,
        addr: SocketAddr,
        receive_timeout: Micros,
        contacted: &Cell<bool>,
    ) -> Termination {
        let mut stream = match connect(addr).await {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        // Without TCP_NODELAY the request is delayed, but not lost.
        let _ = stream.get_ref().set_nodelay(true);
        let mut reader = WatchReader::new(self.position.clone());
        if stream.write_all(&reader.begin_connection()).await.is_err() {
            return Termination::Reset;
        }
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let timeout_at = clock::read() + receive_timeout;
            let count = match read_before(&mut stream, &mut buffer, timeout_at).await {
                None => return Termination::Unresponsive,
                Some(Ok(0)) => return Termination::Closed,
                Some(Ok(count)) => count,
                Some(Err(_)) => return Termination::Reset,
            };
            let events = match reader.receive(&buffer[..count]) {
                Ok(events) => events,
                Err(error) => return error.into(),
            };
            for event in events {
                let _ = self.events.send(event).await;
            }
            contacted.set(true);
            if reader.has_frame() {
                (self.on_contact)();
            }
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Async<TcpStream>, Termination> {
    let connected = async {
        let stream = Async::<TcpStream>::connect(addr).await;
        stream.map_err(|error| Termination::from_connect_error(&error))
    };
    let timeout = async {
        sleep_until(Some(clock::read() + CONNECT_TIMEOUT_MICROS)).await;
        Err(Termination::ConnectTimeout)
    };
    or(connected, timeout).await
}

/// Reads once; `None` if nothing arrives before `until`.
async fn read_before(
    stream: &mut Async<TcpStream>,
    buffer: &mut [u8],
    until: Micros,
) -> Option<io::Result<usize>> {
    let read = async { Some(stream.read(buffer).await) };
    let timeout = async {
        sleep_until(Some(until)).await;
        None
    };
    or(read, timeout).await
}

#[cfg(test)]
#[path = "../../../tests/unit/coordinator.rs"]
mod tests;
