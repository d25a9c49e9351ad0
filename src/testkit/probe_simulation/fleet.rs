//! The simulated fleet: managers with their lease state machines, a network with random delays, and
//! an event queue.
use super::Plan;
use super::manager::{SimulatedManager, manager_index};
use crate::clock::{MS, Micros, SEC};
use crate::lease::codec::{self, LeaseMessage};
use crate::lease::shared_probe::{PendingActions, ProbeAction, ProbeResult, ProbeStatus};
use crate::lease::{LeaseAction, LeaseRequest, Resource, VoteReply, preferred_owner};
use crate::testkit::membership_simulation::{member_addr, member_at, member_name};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum delay of a datagram, and of an engine's response to a probe.
const MIN_DELAY_MICROS: Micros = MS;
/// The random part of the delay, added to the minimum, is below this.
const DELAY_JITTER_MICROS: Micros = 3 * MS;
/// The latency in the result of each probe.
const PROBE_LATENCY_MICROS: Micros = 2 * MS;
/// The time between the first load requests of consecutive managers, modulo one second.
const START_STAGGER_MICROS: Micros = 997;

/// The counts of the measurement.
#[derive(Debug, Default)]
pub(super) struct Totals {
    pub(super) probes_by_engine: BTreeMap<u64, u64>,
    pub(super) loads_requested: u64,
    /// Probes that managers sent for their own decision modules.
    pub(super) own_probes: u64,
    pub(super) total_wait: Micros,
    pub(super) loads_delivered: u64,
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
    pub(super) owner_changes: u64,
}

/// An event; managers are identified by their index.
enum Event {
    LoadRequested {
        manager: usize,
    },
    Message {
        from: usize,
        to: usize,
        message: LeaseMessage,
    },
    ProbeFinished {
        manager: usize,
        engine: u64,
        for_peers: bool,
    },
    Tick {
        manager: usize,
    },
}

impl Event {
    /// The manager that handles the event.
    fn manager(&self) -> usize {
        match self {
            Event::LoadRequested { manager }
            | Event::ProbeFinished { manager, .. }
            | Event::Tick { manager } => *manager,
            Event::Message { to, .. } => *to,
        }
    }
}

/// Orders events by time; events at the same time keep the order in which they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
}

/// A fleet of managers on a simulated network.
pub(super) struct SimulatedFleet {
    plan: Plan,
    managers: Vec<SimulatedManager>,
    /// The index of the preferred owner by engine, the same for all managers.
    preferred_owners: BTreeMap<u64, usize>,
    queue: BTreeMap<EventKey, Event>,
    last_sequence: u64,
    now: Micros,
    random: Pcg32,
    is_measuring: bool,
    totals: Totals,
    /// The resources that have been leased at least once.
    leased: BTreeSet<Resource>,
}

impl SimulatedFleet {
    /// Creates a fleet at time zero whose managers are scheduled to request their first loads.
    pub(super) fn new(plan: Plan) -> SimulatedFleet {
        let managers = (0..plan.managers).map(|index| SimulatedManager::new(index, &plan));
        let mut fleet = SimulatedFleet {
            managers: managers.collect(),
            preferred_owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_sequence: 0,
            now: 0,
            random: Pcg32::seed_from_u64(plan.seed),
            is_measuring: false,
            totals: Totals::default(),
            leased: BTreeSet::new(),
            plan,
        };
        fleet.update_preferred_owners();
        for manager in 0..fleet.managers.len() {
            let start = manager as u64 * START_STAGGER_MICROS % SEC;
            fleet.schedule(start, Event::LoadRequested { manager });
        }
        fleet
    }

    /// Starts counting.
    pub(super) fn start_measuring(&mut self) {
        self.is_measuring = true;
    }

    /// The counts since the measurement started.
    pub(super) fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Stops one in [`Plan::stop_one_in`] managers. Voters are not stopped, because leases require
    /// a majority of them.
    pub(super) fn stop_managers(&mut self) {
        let others = self.managers.iter_mut().skip(self.plan.voters);
        for manager in others.step_by(self.plan.stop_one_in) {
            manager.is_stopped = true;
        }
    }

    /// Determines the preferred owners among the running managers.
    pub(super) fn update_preferred_owners(&mut self) {
        let running: Vec<String> = (0..self.managers.len())
            .filter(|index| !self.managers[*index].is_stopped)
            .map(member_name)
            .collect();
        for engine in 0..self.plan.engines {
            let names = running.iter().map(String::as_str);
            let owner = preferred_owner(Resource::Probe(engine), names);
            let index = owner.map_or(0, manager_index);
            self.preferred_owners.insert(engine, index);
        }
    }

    /// Handles all events up to this time.
    pub(super) fn run_until(&mut self, end: Micros) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().at <= end)
        {
            let (key, event) = entry.remove_entry();
            self.now = key.at;
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_sequence += 1;
        let key = EventKey {
            at: self.now + delay,
            sequence: self.last_sequence,
        };
        self.queue.insert(key, event);
    }

    fn random_delay(&mut self) -> Micros {
        MIN_DELAY_MICROS + u64::from(self.random.next_u32()) % DELAY_JITTER_MICROS
    }

    /// The time until a manager requests the next load: exponentially distributed, so that the
    /// requests are a Poisson process.
    fn random_pause(&mut self) -> Micros {
        let uniform = (f64::from(self.random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
        (-uniform.ln() / self.plan.load_requests_per_second * SEC as f64) as Micros
    }

    fn send(&mut self, from: usize, to: usize, message: LeaseMessage) {
        if self.is_measuring {
            self.totals.datagrams += 1;
            self.totals.bytes += codec::encode(&message).len() as u64;
        }
        let delay = self.random_delay();
        self.schedule(delay, Event::Message { from, to, message });
    }

    fn handle(&mut self, event: Event) {
        let manager = event.manager();
        if let Event::LoadRequested { .. } = event {
            let pause = self.random_pause();
            self.schedule(pause, Event::LoadRequested { manager });
        }
        if self.managers[manager].is_stopped {
            return;
        }
        // Drawn for every event, even if it needs no engine: the results of a seed depend on the
        // number of draws.
        let random_engine = u64::from(self.random.next_u32()) % self.plan.engines;
        let mut actions = PendingActions::default();
        match event {
            Event::LoadRequested { .. } => self.request_load(manager, random_engine, &mut actions),
            Event::ProbeFinished {
                engine, for_peers, ..
            } => {
                self.finish_probe(manager, engine, &mut actions);
                if !for_peers {
                    self.deliver_load(manager, engine);
                }
            }
            Event::Tick { .. } => self.tick(manager, &mut actions),
            Event::Message { from, message, .. } => {
                self.receive(from, manager, message, &mut actions);
            }
        }
        self.perform(manager, actions);
        self.schedule_tick(manager);
    }

    fn request_load(&mut self, index: usize, engine: u64, actions: &mut PendingActions) {
        if self.is_measuring {
            self.totals.loads_requested += 1;
        }
        let manager = &mut self.managers[index];
        let open_request_times = manager.open_request_times.entry(engine).or_default();
        open_request_times.push(self.now);
        if self.plan.voters == 0 {
            actions.probe.push(ProbeAction::ProbeEngine { engine });
            return;
        }
        let owner = self.preferred_owners[&engine];
        let remote_owner = (owner != index).then(|| member_name(owner));
        let (prober, mut context) = manager.prober_in_context(self.now, actions);
        prober.request_load(engine, remote_owner.as_deref(), &mut context);
    }

    fn finish_probe(&mut self, index: usize, engine: u64, actions: &mut PendingActions) {
        let result = ProbeResult {
            status: ProbeStatus::Succeeded,
            latency: PROBE_LATENCY_MICROS,
            ..ProbeResult::default()
        };
        let (prober, mut context) = self.managers[index].prober_in_context(self.now, actions);
        prober.on_probe_finished(engine, Some(result), &mut context);
    }

    fn tick(&mut self, index: usize, actions: &mut PendingActions) {
        let manager = &mut self.managers[index];
        manager.prober.tick(self.now, &mut actions.probe);
        let preferred_owners = &self.preferred_owners;
        let is_preferred_owner = |Resource::Probe(engine)| preferred_owners[&engine] == index;
        manager
            .candidate
            .tick(is_preferred_owner, self.now, &mut actions.lease);
    }

    fn receive(
        &mut self,
        from: usize,
        to: usize,
        message: LeaseMessage,
        actions: &mut PendingActions,
    ) {
        let now = self.now;
        let manager = &mut self.managers[to];
        match message {
            LeaseMessage::RequestLease(request) => self.handle_lease_request(from, to, &request),
            LeaseMessage::Vote(reply) => {
                let SimulatedManager {
                    candidate, fence, ..
                } = manager;
                candidate.on_vote(&reply, fence, now, &mut actions.lease);
            }
            LeaseMessage::Release {
                holder,
                resource,
                token,
            } => {
                if let Some(voter) = &mut manager.voter {
                    voter.release(resource, &holder, token);
                }
            }
            LeaseMessage::RequestProbe(request) => {
                let is_preferred_owner = self.preferred_owners[&request.engine] == to;
                let (prober, mut context) = manager.prober_in_context(now, actions);
                prober.on_request(member_addr(from), request, is_preferred_owner, &mut context);
            }
            LeaseMessage::ProbeReport(report) => {
                let (prober, mut context) = manager.prober_in_context(now, actions);
                prober.on_report(&report, &mut context);
            }
            LeaseMessage::NotOwner {
                request,
                highest_token,
            } => {
                let resource = Resource::Probe(request.engine);
                manager.fence.observe(resource, highest_token);
                manager
                    .prober
                    .on_not_owner(request, now, &mut actions.probe);
            }
        }
    }

    fn handle_lease_request(&mut self, from: usize, to: usize, request: &LeaseRequest) {
        let Some(voter) = &mut self.managers[to].voter else {
            return;
        };
        let reply = VoteReply {
            voter: member_name(to),
            resource: request.resource,
            round: request.round,
            vote: voter.request(request, self.now).vote,
        };
        self.send(to, from, LeaseMessage::Vote(reply));
    }

    fn perform(&mut self, index: usize, actions: PendingActions) {
        for action in actions.lease {
            self.perform_lease_action(index, action);
        }
        for action in actions.probe {
            self.perform_probe_action(index, action);
        }
    }

    fn perform_lease_action(&mut self, index: usize, action: LeaseAction) {
        match action {
            LeaseAction::Request { voter, request } => {
                let message = LeaseMessage::RequestLease(request);
                self.send(index, manager_index(&voter), message);
            }
            LeaseAction::Release {
                voter,
                resource,
                token,
            } => {
                let message = LeaseMessage::Release {
                    holder: self.managers[index].candidate.holder().clone(),
                    resource,
                    token,
                };
                self.send(index, manager_index(&voter), message);
            }
            LeaseAction::Acquired { resource, .. } => {
                let is_first_lease = self.leased.insert(resource);
                if !is_first_lease && self.is_measuring {
                    self.totals.owner_changes += 1;
                }
            }
            LeaseAction::Lost { .. } => {}
        }
    }

    fn perform_probe_action(&mut self, index: usize, action: ProbeAction) {
        match action {
            ProbeAction::ProbeEngine { engine } => self.probe_engine(index, engine, false),
            ProbeAction::ProbeForPeers { engine, .. } => self.probe_engine(index, engine, true),
            ProbeAction::Deliver { engine, .. } => self.deliver_load(index, engine),
            ProbeAction::RequestFromOwner { owner, request } => {
                let message = LeaseMessage::RequestProbe(request);
                self.send(index, manager_index(&owner), message);
            }
            ProbeAction::Report { to, report } => {
                self.send(index, member_at(to), LeaseMessage::ProbeReport(report));
            }
            ProbeAction::RejectNotOwner { to, request } => {
                let resource = Resource::Probe(request.engine);
                let message = LeaseMessage::NotOwner {
                    request,
                    highest_token: self.managers[index].fence.highest(resource),
                };
                self.send(index, member_at(to), message);
            }
        }
    }

    fn probe_engine(&mut self, manager: usize, engine: u64, for_peers: bool) {
        if self.is_measuring {
            *self.totals.probes_by_engine.entry(engine).or_default() += 1;
            self.totals.own_probes += u64::from(!for_peers);
        }
        let delay = self.random_delay();
        let finished = Event::ProbeFinished {
            manager,
            engine,
            for_peers,
        };
        self.schedule(delay, finished);
    }

    /// Delivers a load to the decision module and records its wait; does nothing without an open
    /// request.
    fn deliver_load(&mut self, index: usize, engine: u64) {
        let open_request_times = self.managers[index].open_request_times.get_mut(&engine);
        if let Some(since) = open_request_times.and_then(Vec::pop)
            && self.is_measuring
        {
            self.totals.total_wait += self.now - since;
            self.totals.loads_delivered += 1;
        }
    }

    fn schedule_tick(&mut self, manager: usize) {
        if let Some(wakeup) = self.managers[manager].next_wakeup() {
            let delay = wakeup.saturating_sub(self.now).max(MS);
            self.schedule(delay, Event::Tick { manager });
        }
    }
}
