//! The event loop of the membership actor: it waits for a datagram, a request of the dispatcher or
//! a timeout, passes it to the state machines, and carries out the actions that they return.
use super::MembershipService;
use super::gateway_count::GatewayCountPublisher;
use super::version_guard::VersionGuard;
use super::view::FleetView;
use crate::clock::{self, MS, Micros};
use crate::config::fleet::LeaseConfig;
use crate::lease::Holder;
use crate::lease::codec::{self as lease_codec, Datagram as LeaseDatagram, LeaseMessage};
use crate::lifecycle::Stage;
use crate::log;
use crate::membership::codec::{self, DecodeError};
use crate::membership::{Action, MemberState, MemberUpdate, Membership, Message, VersionStatus};
use crate::net::fleet::lease::{self, LeaseService};
use crate::net::fleet::versions::running_versions;
use crate::net::{Shared, sleep_until};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::{or, pending};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// The minimum interval between two lease views, because each one ranks all members for each lease.
const LEASE_VIEW_INTERVAL: Micros = 200 * MS;
/// How long the actor pauses receiving after a socket error.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(100);
/// The minimum interval between two fleet views while no member changes its state.
const FLEET_VIEW_INTERVAL: Micros = 100 * MS;
/// The reason why the actor woke up.
enum WakeReason {
    /// A datagram of `length` bytes is in the buffer.
    Datagram { length: usize, from: SocketAddr },
    /// The dispatcher has a request or a result of a shared probe.
    ProbeRequest(lease::ProbeRequest),
    /// A timeout is due, or a source of events failed.
    Timer,
}

/// A decoded datagram.
enum Datagram {
    Membership(Box<Message>),
    Lease(LeaseMessage),
}

impl Datagram {
    fn decode(bytes: &[u8], max_bytes: usize) -> Result<Datagram, DecodeError> {
        if bytes.starts_with(&lease_codec::TAG) {
            lease_codec::decode(bytes, max_bytes).map(Datagram::Lease)
        } else {
            codec::decode(bytes, max_bytes).map(|message| Datagram::Membership(Box::new(message)))
        }
    }
}

/// The datagrams and actions to carry out after one event.
#[derive(Default)]
struct Outbox {
    lease_datagrams: Vec<LeaseDatagram>,
    actions: Vec<Action>,
}

/// The state machines of membership and leases, with their shared socket.
pub(super) struct MembershipActor {
    shared: Rc<Shared>,
    socket: Rc<Async<UdpSocket>>,
    max_datagram_bytes: usize,
    membership: Membership,
    leases: Option<LeaseService>,
    probe_requests: Option<Receiver<lease::ProbeRequest>>,
    version_guard: VersionGuard,
    gateway_count: GatewayCountPublisher,
    fleet_viewed_at: Micros,
    leases_viewed_at: Micros,
}

impl MembershipActor {
    pub(super) fn new(
        service: MembershipService,
        shared: Rc<Shared>,
        socket: Async<UdpSocket>,
    ) -> MembershipActor {
        let now = clock::read();
        let socket = Rc::new(socket);
        let me = own_update(&service, &shared, &socket);
        let lease_config = service.config.leases.as_ref();
        let leases =
            lease_config.and_then(|config| open_leases(config, &service, &shared, &socket, now));
        let timing = service.config.timing;
        let grace = timing.grace_ms * MS;
        MembershipActor {
            shared,
            socket,
            max_datagram_bytes: timing.max_datagram_bytes,
            probe_requests: leases.as_ref().map(LeaseService::probe_requests),
            leases,
            version_guard: VersionGuard::new(grace, service.coordinator),
            gateway_count: GatewayCountPublisher::new(
                service.configured_gateways,
                grace,
                service.dispatcher,
            ),
            membership: Membership::new(me, timing, service.config.seeds, now, now),
            fleet_viewed_at: 0,
            leases_viewed_at: 0,
        }
    }

    /// Handles events until the process stops, then announces this manager's departure.
    pub(super) async fn run(mut self) {
        // One byte more than the limit, so that a datagram over the limit is detected.
        let mut buffer = vec![0; self.max_datagram_bytes + 1];
        loop {
            let reason = self.next_event(&mut buffer).await;
            let now = clock::read();
            let mut out = Outbox::default();
            self.membership.set_versions(running_versions(&self.shared));
            match reason {
                WakeReason::Datagram { length, from } => {
                    self.receive(&buffer[..length], from, now, &mut out);
                }
                WakeReason::ProbeRequest(request) => {
                    self.handle_probe_request(request, now, &mut out);
                }
                WakeReason::Timer => {}
            }
            self.tick(now, &mut out);
            let state_changed = self.carry_out(out);
            self.publish(state_changed, now);
            if self.shared.lifecycle.borrow().stage() == Stage::Stopping {
                self.leave();
                return;
            }
        }
    }

    async fn next_event(&self, buffer: &mut [u8]) -> WakeReason {
        let datagram = async {
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => WakeReason::Datagram { length, from },
                // The pause keeps a persistent error from causing a busy loop.
                Err(_) => {
                    Timer::after(RECEIVE_ERROR_PAUSE).await;
                    WakeReason::Timer
                }
            }
        };
        let probe_request = async {
            match &self.probe_requests {
                Some(requests) => requests
                    .recv()
                    .await
                    .map_or(WakeReason::Timer, WakeReason::ProbeRequest),
                None => pending().await,
            }
        };
        let timer = async {
            sleep_until(Some(self.next_wakeup())).await;
            WakeReason::Timer
        };
        or(datagram, or(probe_request, timer)).await
    }

    fn next_wakeup(&self) -> Micros {
        let membership = self.membership.next_wakeup();
        let leases = self.leases.as_ref().and_then(LeaseService::next_wakeup);
        leases.map_or(membership, |leases| leases.min(membership))
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr, now: Micros, out: &mut Outbox) {
        self.shared.traffic.count_received(bytes);
        match Datagram::decode(bytes, self.max_datagram_bytes) {
            Ok(Datagram::Membership(message)) => {
                self.membership
                    .receive(from, *message, now, &mut out.actions);
            }
            Ok(Datagram::Lease(message)) => match &mut self.leases {
                Some(leases) => leases.receive(
                    from,
                    message,
                    &self.membership,
                    now,
                    &mut out.lease_datagrams,
                ),
                None => self.membership.dropped_datagrams += 1,
            },
            Err(error) => {
                self.membership.dropped_datagrams += 1;
                log!("fleet: dropped a datagram from {from}: {error}");
            }
        }
    }

    fn handle_probe_request(
        &mut self,
        request: lease::ProbeRequest,
        now: Micros,
        out: &mut Outbox,
    ) {
        if let Some(leases) = &mut self.leases {
            leases.on_probe_request(request, &self.membership, now, &mut out.lease_datagrams);
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Outbox) {
        self.membership.tick(now, &mut out.actions);
        let Some(leases) = &mut self.leases else {
            return;
        };
        leases.tick(&self.membership, now, &mut out.lease_datagrams);
        // A manager that accepts no clients releases its leases immediately.
        if !self.shared.lifecycle.borrow().is_ready() {
            leases.release_all(&self.membership, &mut out.lease_datagrams);
        }
    }

    /// Sends the datagrams and logs the changes. Returns whether a member changed its state.
    fn carry_out(&self, out: Outbox) -> bool {
        for datagram in out.lease_datagrams {
            self.send(datagram.to, &datagram.bytes);
        }
        let mut state_changed = false;
        for action in out.actions {
            match action {
                Action::Send { to, message } => self.send(to, &codec::encode(&message)),
                Action::StateChanged { member, state } => {
                    state_changed = true;
                    log!("fleet: {member} is {state}");
                }
            }
        }
        state_changed
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        self.shared.traffic.send(self.socket.get_ref(), to, bytes);
    }

    /// Publishes the values derived from the members: the version status, the number of active
    /// gateways and the views of the admin endpoint.
    fn publish(&mut self, state_changed: bool, now: Micros) {
        let version_status = self
            .version_guard
            .update(&self.shared, &self.membership, now);
        self.gateway_count.update(&self.membership, now);
        if state_changed || now >= self.fleet_viewed_at + FLEET_VIEW_INTERVAL {
            self.publish_fleet_view(version_status, now);
            self.publish_lease_view(now);
        }
    }

    fn publish_fleet_view(&mut self, version_status: VersionStatus, now: Micros) {
        self.fleet_viewed_at = now;
        let view = FleetView::of(&self.membership, version_status, now);
        *self.shared.fleet_view.borrow_mut() = Some(Rc::new(view));
    }

    fn publish_lease_view(&mut self, now: Micros) {
        let Some(leases) = &self.leases else {
            return;
        };
        if self.shared.admin_enabled.get() && now >= self.leases_viewed_at + LEASE_VIEW_INTERVAL {
            self.leases_viewed_at = now;
            *self.shared.lease_view.borrow_mut() = Some(leases.view(&self.membership, now).into());
        }
    }

    fn leave(&mut self) {
        let mut actions = Vec::new();
        self.membership.leave(&mut actions);
        self.carry_out(Outbox {
            actions,
            ..Outbox::default()
        });
    }
}

/// The update with which the manager joins the fleet.
fn own_update(
    service: &MembershipService,
    shared: &Shared,
    socket: &Async<UdpSocket>,
) -> MemberUpdate {
    let bound = socket
        .get_ref()
        .local_addr()
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    MemberUpdate {
        name: service.name.clone(),
        addr: service.config.advertise.unwrap_or(bound),
        incarnation: service.incarnation,
        state: MemberState::Alive,
        versions: running_versions(shared),
    }
}

/// Starts the lease service on the actor's socket. If that fails, leases are disabled and the
/// manager probes engines itself.
fn open_leases(
    config: &LeaseConfig,
    service: &MembershipService,
    shared: &Rc<Shared>,
    socket: &Rc<Async<UdpSocket>>,
    now: Micros,
) -> Option<LeaseService> {
    let holder = Holder {
        name: service.name.clone(),
        incarnation: service.incarnation,
    };
    let (traffic, socket) = (shared.traffic.clone(), socket.clone());
    let send = move |datagram: LeaseDatagram| {
        traffic.send(socket.get_ref(), datagram.to, &datagram.bytes);
    };
    let dispatcher = service.dispatcher.clone();
    LeaseService::open(shared, holder, config, dispatcher, send, now)
        .inspect_err(|error| log!("{error}: leases are disabled"))
        .ok()
}
