//! A UDP proxy between the members of a fleet on the loopback interface, which injects faults:
//! loss, duplication, delay, reordering and blocked links.
//!
//! Each member advertises an address of the proxy instead of its own. The proxy forwards a datagram
//! that arrives there to the member's real socket, sending from the sender's advertised address, so
//! that replies pass through the proxy as well. All random draws come from one seed.
use super::blocked_links::{BlockedLinks, Link};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long the proxy's thread sleeps if no datagram has arrived.
const IDLE_SLEEP: Duration = Duration::from_millis(1);
/// The size of the receive buffer: the largest UDP datagram fits.
const BUFFER_BYTES: usize = 65_536;

/// The faults that the proxy injects on all links.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The limit on the random delay of a datagram, which also reorders datagrams.
    pub jitter: Duration,
    /// The links on which all datagrams are lost, by the indices of the members.
    pub blocked_links: BlockedLinks,
}

impl Faults {
    /// Blocks all links between two groups of members.
    pub fn partition(&mut self, one_side: &[usize], other_side: &[usize]) {
        self.blocked_links.partition(one_side, other_side);
    }
}

/// The numbers of forwarded and lost datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Datagrams forwarded to a member's socket.
    pub forwarded: u64,
    /// Datagrams dropped because of the faults.
    pub lost: u64,
}

/// A delayed datagram, ordered by the time at which it is forwarded.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Instant,
    sequence: u64,
    link: Link,
    bytes: Vec<u8>,
}

struct ProxyState {
    faults: Faults,
    /// The members' real sockets.
    member_addrs: Vec<SocketAddr>,
    random: Pcg32,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    next_sequence: u64,
    counts: ProxyCounts,
}

impl ProxyState {
    /// Draws whether an event with this probability happens.
    fn happens(&mut self, probability: f64) -> bool {
        f64::from(self.random.next_u32()) < probability * f64::from(u32::MAX)
    }

    /// Applies the faults to a datagram from `source` that arrived at the address of member `to`.
    fn accept(&mut self, source: SocketAddr, to: usize, bytes: &[u8]) {
        let sender = self.member_addrs.iter().position(|addr| *addr == source);
        let Some(from) = sender else {
            return;
        };
        let link = Link { from, to };
        if self.faults.blocked_links.contains(link) || self.happens(self.faults.loss) {
            self.counts.lost += 1;
            return;
        }
        let is_duplicated = self.happens(self.faults.duplication);
        self.delay(link, bytes);
        if is_duplicated {
            self.delay(link, bytes);
        }
    }

    fn delay(&mut self, link: Link, bytes: &[u8]) {
        let max_micros = (self.faults.jitter.as_micros() as u32).max(1);
        let delay = Duration::from_micros(u64::from(self.random.next_u32() % max_micros));
        let datagram = DelayedDatagram {
            due: Instant::now() + delay,
            sequence: self.next_sequence,
            link,
            bytes: bytes.to_vec(),
        };
        self.next_sequence += 1;
        self.delayed.push(Reverse(datagram));
    }

    fn pop_due(&mut self, now: Instant) -> Option<DelayedDatagram> {
        let Reverse(next) = self.delayed.peek()?;
        if next.due > now {
            return None;
        }
        self.delayed.pop().map(|Reverse(datagram)| datagram)
    }
}

/// A running proxy. Its thread ends when the proxy is dropped.
pub struct FaultProxy {
    /// The addresses that the members advertise, by index.
    pub advertised_addrs: Vec<SocketAddr>,
    state: Arc<Mutex<ProxyState>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy without faults for members with these real sockets.
    ///
    /// # Errors
    /// A socket of the proxy could not be bound.
    pub fn start(member_addrs: Vec<SocketAddr>, seed: u64) -> io::Result<FaultProxy> {
        let sockets = member_addrs
            .iter()
            .map(|_| bind_nonblocking())
            .collect::<io::Result<Vec<UdpSocket>>>()?;
        let advertised_addrs = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<SocketAddr>>>()?;
        let state = Arc::new(Mutex::new(ProxyState {
            faults: Faults::default(),
            member_addrs,
            random: Pcg32::seed_from_u64(seed),
            delayed: BinaryHeap::new(),
            next_sequence: 0,
            counts: ProxyCounts::default(),
        }));
        let stop = Arc::new(AtomicBool::new(false));
        let forwarder = Forwarder {
            sockets,
            state: state.clone(),
            stop: stop.clone(),
        };
        Ok(FaultProxy {
            advertised_addrs,
            state,
            stop,
            thread: Some(std::thread::spawn(move || forwarder.run())),
        })
    }

    /// Replaces the faults that are injected.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the counters.
    pub fn counts(&self) -> ProxyCounts {
        lock(&self.state).counts
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(state: &Mutex<ProxyState>) -> MutexGuard<'_, ProxyState> {
    state
        .lock()
        .expect("no thread panics while it holds the proxy's state")
}

fn bind_nonblocking() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The proxy's thread.
struct Forwarder {
    /// The sockets of the advertised addresses, by the member's index.
    sockets: Vec<UdpSocket>,
    state: Arc<Mutex<ProxyState>>,
    stop: Arc<AtomicBool>,
}

impl Forwarder {
    fn run(&self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while !self.stop.load(Ordering::Relaxed) {
            let received = self.receive_all(&mut buffer);
            self.forward_due();
            if !received {
                std::thread::sleep(IDLE_SLEEP);
            }
        }
    }

    /// Reads all sockets until they are empty. Returns whether any datagram arrived.
    fn receive_all(&self, buffer: &mut [u8]) -> bool {
        let mut received = false;
        for (to, socket) in self.sockets.iter().enumerate() {
            while let Ok((length, source)) = socket.recv_from(buffer) {
                received = true;
                lock(&self.state).accept(source, to, &buffer[..length]);
            }
        }
        received
    }

    fn forward_due(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        while let Some(datagram) = state.pop_due(now) {
            let to = state.member_addrs[datagram.link.to];
            let _ = self.sockets[datagram.link.from].send_to(&datagram.bytes, to);
            state.counts.forwarded += 1;
        }
    }
}
