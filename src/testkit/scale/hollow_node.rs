//! One hollow node: its address, its incarnations, its readings, and its scheduling within its
//! thread.
use super::hollow_module::ModuleCounters;
use crate::audit::ActiveConfiguration;
use crate::clock::{self, Micros};
use crate::membership::MemberState;
use crate::net::Shared;
use crate::net::fleet::membership::FleetView;
use crate::net::fleet::traffic::{Flow, TrafficCounts};
use async_executor::Task;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1 << 16;
/// Number of nodes on each network 127.64.N.0/24.
const NODES_PER_NETWORK: usize = 250;

/// Returns the address of a node, with port 0.
pub fn node_address(node: usize) -> SocketAddr {
    let network = 1 + (node / NODES_PER_NETWORK) as u8;
    let host = 1 + (node % NODES_PER_NETWORK) as u8;
    SocketAddr::from((Ipv4Addr::new(127, 64, network, host), 0))
}

/// Returns the number of the node at this address, if it is the address of a node.
pub fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [127, 64, network, host] = address.ip().octets() else {
        return None;
    };
    let network = usize::from(network.checked_sub(1)?);
    let host = usize::from(host.checked_sub(1)?);
    Some(network * NODES_PER_NETWORK + host)
}

/// Polls a node's actors unless the node is suspended, and measures how long they run.
pub struct Suspendable<F> {
    /// The node's actors.
    pub actors: Pin<Box<F>>,
    /// Whether the actors may run, and for how long they ran.
    pub state: Rc<RunState>,
}

/// Whether a node may run, and for how long its actors ran.
#[derive(Default)]
pub struct RunState {
    /// A suspended node is not polled.
    pub suspended: Cell<bool>,
    /// Waker of the last poll while the node was suspended.
    waker: RefCell<Option<Waker>>,
    /// Time that the node's actors ran, by the clock.
    pub busy: Cell<Duration>,
}

impl<F: Future<Output = ()>> Future for Suspendable<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.suspended.get() {
            *self.state.waker.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let started = Instant::now();
        let result = self.actors.as_mut().poll(cx);
        let busy = &self.state.busy;
        busy.set(busy.get() + started.elapsed());
        result
    }
}

/// The values read from one node, over all its incarnations.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeReading {
    /// The node's number.
    pub node: usize,
    /// Start of its current incarnation, in microseconds.
    pub incarnation: Micros,
    /// Traffic that it sent and received.
    pub counts: TrafficCounts,
    /// Datagrams that are unread in its socket, or were at the end of an incarnation.
    pub unread: Flow,
    /// Time that its actors ran.
    pub busy: Duration,
    /// Engine loads that its module requested.
    pub load_requests: u64,
    /// Probes that it sent, for itself and for others.
    pub probes: u64,
    /// Probe results that it received from lease holders.
    pub shared_results: u64,
    /// How often it would have reloaded its configuration.
    pub reloads: u64,
    /// How often it was observed to have excluded itself because it was outdated: behind the
    /// majority.
    pub exclusions: u64,
    /// Number of others that it considers alive.
    pub alive: usize,
    /// Datagrams that it dropped because they were invalid.
    pub dropped: u64,
}

/// One incarnation of a node.
pub(super) struct Incarnation {
    pub(super) shared: Rc<Shared>,
    pub(super) state: Rc<RunState>,
    pub(super) counters: Rc<ModuleCounters>,
    pub(super) began: Micros,
    pub(super) task: Task<()>,
}

/// One hollow node.
pub(super) struct HollowNode {
    pub(super) number: usize,
    /// Stays open between incarnations, so that no other socket takes its address.
    pub(super) socket: UdpSocket,
    pub(super) incarnation: Option<Incarnation>,
    /// The readings of past incarnations.
    pub(super) past_incarnations: NodeReading,
    /// The view that was examined last.
    pub(super) last_view: Option<Rc<FleetView>>,
    /// Whether it was excluded when it was examined last.
    pub(super) was_excluded: bool,
    /// Whether to start the node again once its current incarnation has ended.
    pub(super) restart_pending: bool,
}

impl HollowNode {
    pub(super) fn new(number: usize, socket: UdpSocket) -> HollowNode {
        HollowNode {
            number,
            socket,
            incarnation: None,
            past_incarnations: NodeReading {
                node: number,
                ..NodeReading::default()
            },
            last_view: None,
            was_excluded: false,
            restart_pending: false,
        }
    }

    /// Returns the current incarnation, unless the node is suspended.
    pub(super) fn running(&self) -> Option<&Incarnation> {
        self.incarnation
            .as_ref()
            .filter(|incarnation| !incarnation.state.suspended.get())
    }

    pub(super) fn suspend(&self) {
        if let Some(incarnation) = &self.incarnation {
            incarnation.state.suspended.set(true);
        }
    }

    /// Begins the shutdown of a running incarnation; ends a suspended one at once.
    pub(super) fn begin_restart(&mut self) {
        self.restart_pending = true;
        match self.running() {
            Some(incarnation) => incarnation
                .shared
                .lifecycle
                .borrow_mut()
                .begin_shutdown(clock::read()),
            None => self.end_incarnation(),
        }
    }

    pub(super) fn change_settings(&self, hash: u64) {
        if let Some(incarnation) = &self.incarnation {
            let active = &incarnation.shared.active_configuration;
            let configuration = active.get();
            active.set(ActiveConfiguration {
                generation: configuration.generation + 1,
                settings: hash,
                ..configuration
            });
        }
    }

    /// Ends the current incarnation, if there is one. Datagrams left in the socket count as unread.
    pub(super) fn end_incarnation(&mut self) {
        if self.incarnation.is_some() {
            self.past_incarnations = NodeReading {
                unread: self.past_incarnations.unread.plus(self.drain_socket()),
                ..self.read(false)
            };
            self.incarnation = None;
        }
    }

    /// Reads and counts the datagrams that wait in the socket.
    fn drain_socket(&self) -> Flow {
        let mut flow = Flow::default();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((n, _)) = self.socket.recv_from(&mut buffer) {
            flow = flow.with_datagram(n);
        }
        flow
    }

    /// Returns the node's reading, including the datagrams that wait in its socket if
    /// `drain_socket`.
    pub(super) fn read(&self, drain_socket: bool) -> NodeReading {
        let mut reading = self.past_incarnations;
        if drain_socket {
            reading.unread = reading.unread.plus(self.drain_socket());
        }
        let Some(incarnation) = &self.incarnation else {
            return reading;
        };
        let shared = &incarnation.shared;
        let counters = &incarnation.counters;
        let view = shared.fleet_view.borrow().clone();
        reading.incarnation = incarnation.began;
        reading.counts = reading.counts.plus(&shared.traffic.counts());
        reading.busy += incarnation.state.busy.get();
        reading.load_requests += counters.load_requests.get();
        reading.probes += counters.probes.get();
        reading.shared_results += counters.shared_results.get();
        reading.reloads += shared
            .process_overrides
            .get()
            .map_or(0, |overrides| overrides.requested_reloads.get());
        reading.alive = view.as_deref().map_or(0, others_alive);
        reading.dropped += view.as_deref().map_or(0, |view| view.dropped_datagrams);
        reading
    }
}

/// Returns how many other members a view has as alive.
fn others_alive(view: &FleetView) -> usize {
    view.members
        .iter()
        .filter(|row| !row.is_self && row.update.state == MemberState::Alive)
        .count()
}
