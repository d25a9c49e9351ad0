//! The lease service: runs the voter, the candidate and the shared prober of [`crate::lease`] for
//! the membership actor, on the actor's socket. It is started only with `[duties]` in the
//! operator's fleet file.
use super::lease_members::{address_of, is_preferred_owner, preferred_member};
use super::lease_view;
use super::vote_store::{VoteStore, load_votes};
use crate::clock::{self, MS, Micros};
use crate::config::fleet::LeaseConfig;
use crate::lease::codec::{Datagram, LeaseMessage};
use crate::lease::shared_probe::{
    PendingActions, ProbeAction, ProbeContext, ProbeResult, SharedProber,
};
use crate::lease::{
    Candidate, FencingGuard, FencingToken, Holder, LeaseAction, LeaseRequest, Resource, VoteReply,
    Voter,
};
use crate::log;
use crate::membership::Membership;
use crate::net::audit::StateFolderUnset;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{Shared, audit, hot_restart};
use async_channel::{Receiver, Sender, TrySendError, bounded};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;

/// The maximum number of the dispatcher's requests that are queued. Beyond it the dispatcher probes
/// engines itself.
const MAX_PENDING_PROBE_REQUESTS: usize = 1_024;
/// The delay before undelivered events are sent again to the dispatcher after its mailbox was full.
const REDELIVERY_MICROS: Micros = 5 * MS;
/// The maximum interval between runs of the candidate while it has leases, because their preferred
/// owners change with the fleet's members.
const MAX_TICK_INTERVAL_MICROS: Micros = 50 * MS;

/// A request or a report of the dispatcher to the lease service.
#[derive(Clone)]
pub enum ProbeRequest {
    /// The decision module requests an engine's load.
    LoadRequested {
        /// The id of the engine.
        engine: u64,
    },
    /// A probe of an engine has ended.
    ProbeFinished {
        /// The id of the engine.
        engine: u64,
        /// The result; `None` if the probe could not be sent.
        result: Option<ProbeResult>,
    },
}

/// Why the lease service could not start.
#[derive(Debug, Error)]
pub enum LeaseServiceError {
    /// The folder for the voter's file is not set.
    #[error(transparent)]
    StateFolder(#[from] StateFolderUnset),
    /// The thread that stores votes could not be started.
    #[error("fleet: failed to start the thread that stores votes: {0}")]
    VoteThread(#[source] io::Error),
}

/// The voter, the candidate and the prober of this manager, with their channels to and from the
/// dispatcher.
pub struct LeaseService {
    /// `None` if this manager is not a voter, or must not vote because its stored votes can't be
    /// read.
    voter: Option<Voter>,
    vote_store: VoteStore,
    candidate: Candidate,
    fence: FencingGuard,
    prober: SharedProber,
    probe_requests: Receiver<ProbeRequest>,
    dispatcher: Sender<DispatcherEvent>,
    /// Events that the dispatcher's mailbox could not take so far. None may be dropped, because the
    /// decision module counts the probes that it requested.
    undelivered: VecDeque<DispatcherEvent>,
    candidate_ran_at: Micros,
}

impl LeaseService {
    /// Starts the service with the high-water marks stored by earlier incarnations of this voter.
    /// `send` is called with the datagrams of votes that had to be stored first.
    ///
    /// # Errors
    /// The folder for the voter's file is not set, or the thread that stores votes can't be
    /// started.
    pub fn open(
        shared: &Rc<Shared>,
        holder: Holder,
        config: &LeaseConfig,
        dispatcher: Sender<DispatcherEvent>,
        send: impl Fn(Datagram) + 'static,
        now: Micros,
    ) -> Result<LeaseService, LeaseServiceError> {
        let path = vote_file(shared, &holder.name)?;
        let is_voter = config.voters.contains(&holder.name);
        let voter = is_voter.then(|| open_voter(&path, config, now)).flatten();
        let (vote_store, stored_votes) =
            VoteStore::start(path).map_err(LeaseServiceError::VoteThread)?;
        shared.spawn(async move {
            while let Ok(datagram) = stored_votes.recv().await {
                send(datagram);
            }
        });
        let (sender, probe_requests) = bounded(MAX_PENDING_PROBE_REQUESTS);
        *shared.lease_requests.borrow_mut() = Some(sender);
        let timing = config.timing;
        Ok(LeaseService {
            voter,
            vote_store,
            candidate: Candidate::new(holder, config.voters.clone(), timing, now),
            fence: FencingGuard::default(),
            prober: SharedProber::new(timing.probe_request_timeout_ms * MS),
            probe_requests,
            dispatcher,
            undelivered: VecDeque::new(),
            candidate_ran_at: 0,
        })
    }

    /// The receiver of the dispatcher's requests, which the caller passes to
    /// [`on_probe_request`](Self::on_probe_request).
    pub fn probe_requests(&self) -> Receiver<ProbeRequest> {
        self.probe_requests.clone()
    }

    /// The time of the next [`tick`](Self::tick) that has work to do.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let redelivery = (!self.undelivered.is_empty()).then(|| clock::now() + REDELIVERY_MICROS);
        let wakeups = [
            self.candidate_wakeup(),
            self.prober.next_wakeup(),
            redelivery,
        ];
        wakeups.into_iter().flatten().min()
    }

    fn candidate_wakeup(&self) -> Option<Micros> {
        let latest = self.candidate_ran_at + MAX_TICK_INTERVAL_MICROS;
        self.candidate.next_wakeup().map(|at| at.min(latest))
    }

    /// Handles a request or a report of the dispatcher.
    pub fn on_probe_request(
        &mut self,
        request: ProbeRequest,
        fleet: &Membership,
        now: Micros,
        datagrams: &mut Vec<Datagram>,
    ) {
        let mut actions = PendingActions::default();
        let mut context = ProbeContext {
            candidate: &mut self.candidate,
            fence: &mut self.fence,
            now,
            actions: &mut actions,
        };
        match request {
            ProbeRequest::LoadRequested { engine } => {
                match preferred_member(fleet, Resource::Probe(engine)) {
                    Some(owner) => {
                        let remote_owner = Some(owner).filter(|owner| *owner != fleet.me().name);
                        self.prober.request_load(engine, remote_owner, &mut context);
                    }
                    // Without a ready member this manager probes the engine itself, as it does
                    // without leases.
                    None => actions.probe.push(ProbeAction::ProbeEngine { engine }),
                }
            }
            ProbeRequest::ProbeFinished { engine, result } => {
                self.prober.on_probe_finished(engine, result, &mut context);
            }
        }
        self.carry_out(actions, fleet, datagrams);
    }

    /// Handles a message of another manager.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: LeaseMessage,
        fleet: &Membership,
        now: Micros,
        datagrams: &mut Vec<Datagram>,
    ) {
        let mut actions = PendingActions::default();
        let mut context = ProbeContext {
            candidate: &mut self.candidate,
            fence: &mut self.fence,
            now,
            actions: &mut actions,
        };
        match message {
            LeaseMessage::RequestLease(request) => {
                self.handle_lease_request(from, &request, now, datagrams);
            }
            LeaseMessage::Vote(reply) => {
                self.candidate
                    .on_vote(&reply, &mut self.fence, now, &mut actions.lease);
            }
            LeaseMessage::Release {
                holder,
                resource,
                token,
            } => self.release_grant(resource, &holder, token),
            LeaseMessage::RequestProbe(request) => {
                let is_preferred = is_preferred_owner(fleet, Resource::Probe(request.engine));
                self.prober
                    .on_request(from, request, is_preferred, &mut context);
            }
            LeaseMessage::ProbeReport(report) => self.prober.on_report(&report, &mut context),
            LeaseMessage::NotOwner {
                request,
                highest_token,
            } => {
                let resource = Resource::Probe(request.engine);
                self.fence.observe(resource, highest_token);
                self.prober.on_not_owner(request, now, &mut actions.probe);
            }
        }
        self.carry_out(actions, fleet, datagrams);
    }

    fn handle_lease_request(
        &mut self,
        from: SocketAddr,
        request: &LeaseRequest,
        now: Micros,
        datagrams: &mut Vec<Datagram>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let outcome = voter.request(request, now);
        let reply = VoteReply {
            voter: self.candidate.holder().name.clone(),
            resource: request.resource,
            round: request.round,
            vote: outcome.vote,
        };
        let datagram = Datagram::new(from, &LeaseMessage::Vote(reply));
        if outcome.must_store {
            let high_water_marks = voter.high_water_marks().clone();
            self.vote_store.store_then_send(high_water_marks, datagram);
        } else {
            datagrams.push(datagram);
        }
    }

    fn release_grant(&mut self, resource: Resource, holder: &Holder, token: FencingToken) {
        if let Some(voter) = &mut self.voter {
            voter.release(resource, holder, token);
        }
    }

    /// Advances the time of the prober and of the candidate.
    pub fn tick(&mut self, fleet: &Membership, now: Micros, datagrams: &mut Vec<Datagram>) {
        let mut actions = PendingActions::default();
        self.prober.tick(now, &mut actions.probe);
        if self.candidate_wakeup().is_some_and(|at| now >= at) {
            self.candidate_ran_at = now;
            self.run_candidate(fleet, now, &mut actions.lease);
        }
        self.carry_out(actions, fleet, datagrams);
    }

    fn run_candidate(&mut self, fleet: &Membership, now: Micros, actions: &mut Vec<LeaseAction>) {
        // A lease that is not held can't be released, so its preferred owner isn't looked up.
        let held_and_preferred: BTreeMap<Resource, bool> = self
            .candidate
            .held_leases(now)
            .map(|lease| (lease.resource, is_preferred_owner(fleet, lease.resource)))
            .collect();
        let is_preferred = |resource| held_and_preferred.get(&resource).copied().unwrap_or(true);
        self.candidate.tick(is_preferred, now, actions);
    }

    /// Releases every lease immediately, when the manager shuts down or accepts no more clients.
    pub fn release_all(&mut self, fleet: &Membership, datagrams: &mut Vec<Datagram>) {
        let mut actions = PendingActions::default();
        self.candidate.release_all(&mut actions.lease);
        self.carry_out(actions, fleet, datagrams);
    }

    fn carry_out(
        &mut self,
        actions: PendingActions,
        fleet: &Membership,
        datagrams: &mut Vec<Datagram>,
    ) {
        for action in actions.lease {
            self.carry_out_lease_action(action, fleet, datagrams);
        }
        for action in actions.probe {
            self.carry_out_probe_action(action, fleet, datagrams);
        }
        self.deliver_events();
    }

    fn carry_out_lease_action(
        &mut self,
        action: LeaseAction,
        fleet: &Membership,
        datagrams: &mut Vec<Datagram>,
    ) {
        match action {
            LeaseAction::Request { voter, request } => {
                // This manager's own vote is sent over the socket too, because under a new token it
                // has to be stored first, like any other vote.
                let to = if voter == fleet.me().name {
                    Some(fleet.me().addr)
                } else {
                    address_of(fleet, &voter)
                };
                let message = LeaseMessage::RequestLease(request);
                datagrams.extend(to.map(|to| Datagram::new(to, &message)));
            }
            LeaseAction::Release {
                voter,
                resource,
                token,
            } => {
                let holder = self.candidate.holder().clone();
                if voter == holder.name {
                    self.release_grant(resource, &holder, token);
                    return;
                }
                let message = LeaseMessage::Release {
                    holder,
                    resource,
                    token,
                };
                let to = address_of(fleet, &voter);
                datagrams.extend(to.map(|to| Datagram::new(to, &message)));
            }
            LeaseAction::Acquired { resource, token } => {
                log!("lease: acquired {resource}, fencing token {token}");
                self.undelivered.push_back(DispatcherEvent::LeaseChanged {
                    resource,
                    token,
                    held: true,
                });
            }
            LeaseAction::Lost { resource, token } => {
                log!("lease: ended {resource}, fencing token {token}");
                self.undelivered.push_back(DispatcherEvent::LeaseChanged {
                    resource,
                    token,
                    held: false,
                });
            }
        }
    }

    fn carry_out_probe_action(
        &mut self,
        action: ProbeAction,
        fleet: &Membership,
        datagrams: &mut Vec<Datagram>,
    ) {
        match action {
            ProbeAction::ProbeEngine { engine } => {
                let deadline = None;
                self.undelivered
                    .push_back(DispatcherEvent::Probe { engine, deadline });
            }
            ProbeAction::ProbeForPeers { engine, deadline } => {
                let deadline = Some(deadline);
                self.undelivered
                    .push_back(DispatcherEvent::Probe { engine, deadline });
            }
            ProbeAction::Deliver { engine, result } => self
                .undelivered
                .push_back(DispatcherEvent::SharedProbeResult { engine, result }),
            ProbeAction::RequestFromOwner { owner, request } => {
                let message = LeaseMessage::RequestProbe(request);
                let to = address_of(fleet, &owner);
                datagrams.extend(to.map(|to| Datagram::new(to, &message)));
            }
            ProbeAction::Report { to, report } => {
                datagrams.push(Datagram::new(to, &LeaseMessage::ProbeReport(report)));
            }
            ProbeAction::RejectNotOwner { to, request } => {
                let message = LeaseMessage::NotOwner {
                    request,
                    highest_token: self.fence.highest(Resource::Probe(request.engine)),
                };
                datagrams.push(Datagram::new(to, &message));
            }
        }
    }

    /// Sends the undelivered events to the dispatcher until its mailbox is full.
    fn deliver_events(&mut self) {
        while let Some(event) = self.undelivered.pop_front() {
            match self.dispatcher.try_send(event) {
                Ok(()) => {}
                Err(TrySendError::Full(event)) => return self.undelivered.push_front(event),
                Err(TrySendError::Closed(_)) => return self.undelivered.clear(),
            }
        }
    }

    /// JSON lines for `GET /duties`: first the leases that this manager holds, then the others that
    /// it has observed.
    pub fn view(&self, fleet: &Membership, now: Micros) -> String {
        let preferred_owner = |resource| preferred_member(fleet, resource).unwrap_or("");
        lease_view::json_lines(&self.candidate, &self.fence, preferred_owner, now)
    }
}

/// The file in which this manager's voter keeps its high-water marks.
fn vote_file(shared: &Shared, manager: &str) -> Result<PathBuf, StateFolderUnset> {
    let name = format!(
        "yokelift-duties-{}",
        hot_restart::file_name_component(manager)
    );
    match shared.process_overrides.get() {
        Some(overrides) => Ok(overrides.state_folder.join(name)),
        None => audit::file(&name),
    }
}

/// Creates the voter with its stored high-water marks. Returns `None` if they can't be read,
/// because without them the voter could grant a token a second time.
fn open_voter(path: &Path, config: &LeaseConfig, now: Micros) -> Option<Voter> {
    match load_votes(path) {
        Ok(stored) => Some(Voter::new(config.timing, stored, now)),
        Err(error) => {
            log!("lease: this manager does not vote: {error}");
            None
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_lease.rs"]
mod tests;
