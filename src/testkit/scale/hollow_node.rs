//! One hollow node: its address, its incarnations, its figures, and its scheduling within its thread.
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

/// Upper bound on the size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1 << 16;
/// Nodes on each network 127.64.N.0/24.
const NODES_PER_NETWORK: usize = 250;

/// The address of a node, with port 0.
pub fn node_address(node: usize) -> SocketAddr {
    let network = 1 + (node / NODES_PER_NETWORK) as u8;
    let host = 1 + (node % NODES_PER_NETWORK) as u8;
    SocketAddr::from((Ipv4Addr::new(127, 64, network, host), 0))
}

/// The node at this address, if it is a node's.
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
    /// Whether they run, and for how long they did.
    pub state: Rc<RunState>,
}

/// Whether a node runs, and how long its actors did.
#[derive(Default)]
pub struct RunState {
    /// A suspended node is not polled.
    pub suspended: Cell<bool>,
    /// Kept while it is suspended.
    waker: RefCell<Option<Waker>>,
    /// How long its actors ran, by the clock.
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

/// The figures of one node, over all its incarnations.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeReading {
    /// The node's number.
    pub node: usize,
    /// When its present incarnation began, in microseconds.
    pub incarnation: Micros,
    /// What it sent and received.
    pub counts: TrafficCounts,
    /// What is left unread in its socket, or was at the end of an incarnation.
    pub unread: Flow,
    /// How long its actors ran.
    pub busy: Duration,
    /// Engine loads that its module wanted.
    pub wants: u64,
    /// Probes that it sent, for itself and for others.
    pub probes: u64,
    /// Probe results that it received from lease holders.
    pub shared_results: u64,
    /// How often it would have reloaded its configuration.
    pub reloads: u64,
    /// How often it was seen to exclude itself because it was behind the majority.
    pub exclusions: u64,
    /// Others that it considers alive.
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
    /// Kept open between incarnations, so that its address stays its own.
    pub(super) socket: UdpSocket,
    pub(super) incarnation: Option<Incarnation>,
    /// The figures of earlier incarnations.
    pub(super) earlier: NodeReading,
    /// The view that was examined last.
    pub(super) examined: Option<Rc<FleetView>>,
    /// Whether it was excluded when it was examined last.
    pub(super) was_excluded: bool,
    /// It starts again once its present incarnation has ended.
    pub(super) restart_pending: bool,
}

impl HollowNode {
    pub(super) fn new(number: usize, socket: UdpSocket) -> HollowNode {
        HollowNode {
            number,
            socket,
            incarnation: None,
            earlier: NodeReading {
                node: number,
                ..NodeReading::default()
            },
            examined: None,
            was_excluded: false,
            restart_pending: false,
        }
    }

    /// Its incarnation, unless it is suspended.
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

    /// Asks its incarnation to stop; one that is suspended ends at once.
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

    /// Ends its incarnation, if there is one. What its socket still holds is counted as unread.
    pub(super) fn end_incarnation(&mut self) {
        if self.incarnation.is_some() {
            self.earlier = NodeReading {
                unread: self.earlier.unread.plus(self.drain_socket()),
                ..self.read(false)
            };
            self.incarnation = None;
        }
    }

    /// Reads and counts what waits in the socket.
    fn drain_socket(&self) -> Flow {
        let mut flow = Flow::default();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((n, _)) = self.socket.recv_from(&mut buffer) {
            flow = flow.with_datagram(n);
        }
        flow
    }

    /// Its figures; with what waits in its socket if that is to be drained.
    pub(super) fn read(&self, drain_socket: bool) -> NodeReading {
        let mut reading = self.earlier;
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
        reading.wants += counters.wants.get();
        reading.probes += counters.probes.get();
        reading.shared_results += counters.shared_results.get();
        reading.reloads += shared.hollow.get().map_or(0, |hollow| hollow.reloads.get());
        reading.alive = view.as_deref().map_or(0, others_alive);
        reading.dropped += view.as_deref().map_or(0, |view| view.dropped_datagrams);
        reading
    }
}

/// How many others a node considers alive.
fn others_alive(view: &FleetView) -> usize {
    view.members
        .iter()
        .filter(|row| !row.is_self && row.update.state == MemberState::Alive)
        .count()
}
