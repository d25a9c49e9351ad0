//! A fault relay for datagrams between managers, on loopback: each manager is given an address of
//! the relay as its own advertised one, and the relay passes what comes there on to the manager's
//! real socket, from the sender's address of the relay. The test sets what happens on each way:
//! loss, delay, doubles, reordering, one-way cuts and partitions. Every choice comes from a fixed
//! seed.
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What happens to datagrams, for all ways at once unless cut.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Each datagram is lost with this chance.
    pub loss: f64,
    /// Each one comes twice with this chance.
    pub doubled: f64,
    /// Each one is held for up to this long, so that some overtake others.
    pub jitter: Duration,
    /// Ways that pass nothing: from one member to another, by their numbers.
    pub cut: BTreeSet<(usize, usize)>,
}

impl Faults {
    /// Cuts all ways between the two groups, both ways.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cut.insert((*a, *b));
                self.cut.insert((*b, *a));
            }
        }
    }
}

/// A datagram that waits: when it goes, its number, from and to which member, its bytes.
type Held = (Instant, u64, usize, usize, Vec<u8>);

struct State {
    faults: Faults,
    /// The members' real sockets.
    backs: Vec<SocketAddr>,
    random: Pcg32,
    /// Datagrams that wait.
    held: BinaryHeap<Reverse<Held>>,
    next: u64,
    /// Datagrams passed on.
    passed: u64,
    /// Datagrams lost to the faults.
    lost: u64,
}

/// The relay: one front address a member, and a thread that passes datagrams on.
pub struct Relay {
    /// The address each member is known by.
    pub fronts: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// A relay for members whose real sockets are at `backs`.
    pub fn new(backs: Vec<SocketAddr>, seed: u64) -> std::io::Result<Relay> {
        let sockets: Vec<UdpSocket> = (0..backs.len())
            .map(|_| UdpSocket::bind(("127.0.0.1", 0)))
            .collect::<Result<_, _>>()?;
        for socket in &sockets {
            socket.set_nonblocking(true)?;
        }
        let fronts = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<Result<_, _>>()?;
        let state = State {
            faults: Faults::default(),
            backs,
            random: Pcg32::seed_from_u64(seed),
            held: BinaryHeap::new(),
            next: 0,
            passed: 0,
            lost: 0,
        };
        let (state, stop) = (
            Arc::new(Mutex::new(state)),
            Arc::new(AtomicBool::new(false)),
        );
        let (shared, stopped) = (state.clone(), stop.clone());
        let thread = std::thread::spawn(move || pass(sockets, shared, stopped));
        Ok(Relay {
            fronts,
            state,
            stop,
            thread: Some(thread),
        })
    }

    /// Sets the faults from now on.
    pub fn set(&self, faults: Faults) {
        self.state.lock().expect("the relay's state").faults = faults;
    }

    /// A member's real socket is now at another address: one that was started anew where its port
    /// was taken.
    pub fn rebind(&self, member: usize, back: SocketAddr) {
        self.state.lock().expect("the relay's state").backs[member] = back;
    }

    /// Datagrams passed on and lost so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.lock().expect("the relay's state");
        (state.passed, state.lost)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn pass(sockets: Vec<UdpSocket>, state: Arc<Mutex<State>>, stop: Arc<AtomicBool>) {
    let mut buffer = [0; 65_536];
    while !stop.load(Ordering::Relaxed) {
        let mut idle = true;
        for (to, socket) in sockets.iter().enumerate() {
            // What comes at a member's front is for that member; who sent it is told by its real
            // address.
            while let Ok((n, source)) = socket.recv_from(&mut buffer) {
                idle = false;
                let mut state = state.lock().expect("the relay's state");
                let Some(from) = state.backs.iter().position(|b| *b == source) else {
                    continue;
                };
                let faults = state.faults.clone();
                let chance = |state: &mut State, p: f64| {
                    (state.random.next_u32() as f64) < p * u32::MAX as f64
                };
                if faults.cut.contains(&(from, to)) || chance(&mut state, faults.loss) {
                    state.lost += 1;
                    continue;
                }
                let copies = if chance(&mut state, faults.doubled) {
                    2
                } else {
                    1
                };
                for _ in 0..copies {
                    let jitter = faults.jitter.as_micros() as u32;
                    let wait =
                        Duration::from_micros(u64::from(state.random.next_u32() % jitter.max(1)));
                    let (seq, bytes) = (state.next, buffer[..n].to_vec());
                    state.next += 1;
                    state
                        .held
                        .push(Reverse((Instant::now() + wait, seq, from, to, bytes)));
                }
            }
        }
        let now = Instant::now();
        let mut state = state.lock().expect("the relay's state");
        while state.held.peek().is_some_and(|Reverse(h)| h.0 <= now) {
            let Some(Reverse((_, _, from, to, bytes))) = state.held.pop() else {
                break;
            };
            // From the sender's front, so that the receiver answers through the relay too.
            let _ = sockets[from].send_to(&bytes, state.backs[to]);
            state.passed += 1;
        }
        drop(state);
        if idle {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
