//! Probes shared between managers: the lease holder of an engine probes it for all managers, and
//! the others request the result from the lease holder.
//!
//! A manager whose decision module requests an engine's load sends a request to the preferred owner
//! of that probe. The owner probes the engine once for all waiting peers, reports the result under
//! its fencing token, and serves later requests from that result for a short time. If no manager
//! holds the lease, or the holder does not reply before the timeout, each manager probes the engine
//! itself, as it does without leases.
mod action;
mod result;

pub use action::{ProbeAction, ProbeReport, ProbeRequestId};
pub use result::{ProbeResult, ProbeStatus};

use super::{Candidate, FencingGuard, HeldLease, LeaseAction, Resource};
use crate::clock::{MS, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long the result of a probe is reported for further requests.
const RESULT_CACHE_MICROS: Micros = 100 * MS;
/// How long requests for an engine are not sent to its preferred owner after the owner rejected one
/// or did not reply.
const UNRESPONSIVE_OWNER_MICROS: Micros = 1_000 * MS;
/// How long peers wait for a probe of the engine before they are rejected, so that the next request
/// starts a new probe.
const STUCK_PROBE_MICROS: Micros = 1_000 * MS;
/// The maximum number of peers that wait for one engine; further ones are rejected and probe it
/// themselves.
const MAX_WAITING_PEERS: usize = 1_024;
/// The actions of [`SharedProber`] and [`Candidate`] after an event, each list in its order.
#[derive(Debug, Default)]
pub struct PendingActions {
    /// The candidate's actions.
    pub lease: Vec<LeaseAction>,
    /// The prober's actions.
    pub probe: Vec<ProbeAction>,
}

/// The state that an event handler of the prober may read and change besides the prober itself.
pub struct ProbeContext<'a> {
    /// The leases of this manager.
    pub candidate: &'a mut Candidate,
    /// The fencing tokens observed.
    pub fence: &'a mut FencingGuard,
    /// The time of the event.
    pub now: Micros,
    /// Collects the actions to carry out.
    pub actions: &'a mut PendingActions,
}

impl ProbeContext<'_> {
    fn request_lease(&mut self, resource: Resource) {
        let actions = &mut self.actions.lease;
        self.candidate
            .request_lease(resource, self.fence, self.now, actions);
    }

    fn held_lease(&self, resource: Resource) -> Option<HeldLease> {
        self.candidate.held_lease(resource, self.now)
    }

    fn push(&mut self, action: ProbeAction) {
        self.actions.probe.push(action);
    }
}

/// A request to the owner without a reply so far.
struct PendingProbe {
    number: u32,
    sent_at: Micros,
    /// How many times the decision module has requested the result.
    requests: u32,
}

struct CachedResult {
    result: ProbeResult,
    received_at: Micros,
}

/// Peers that wait for the result of a probe by this manager.
struct WaitingPeers {
    since: Micros,
    peers: Vec<WaitingPeer>,
}

struct WaitingPeer {
    addr: SocketAddr,
    request: ProbeRequestId,
}

/// Both sides of shared probes: the manager that requests a result, and the lease holder. The maps
/// are keyed by the id of the engine.
#[derive(Default)]
pub struct SharedProber {
    owner_timeout: Micros,
    last_number: u32,
    pending: BTreeMap<u64, PendingProbe>,
    /// The engines whose owner rejected a request or did not reply, with the time until which no
    /// request is sent to it.
    unresponsive_until: BTreeMap<u64, Micros>,
    cache: BTreeMap<u64, CachedResult>,
    waiting: BTreeMap<u64, WaitingPeers>,
}

impl SharedProber {
    /// Creates a prober that waits at most `owner_timeout` for an owner's reply.
    pub fn new(owner_timeout: Micros) -> SharedProber {
        SharedProber {
            owner_timeout,
            ..SharedProber::default()
        }
    }

    /// Handles a request of the decision module for an engine's load. `remote_owner` is the
    /// preferred owner of the probe, `None` if that is this manager.
    pub fn request_load(
        &mut self,
        engine: u64,
        remote_owner: Option<&str>,
        context: &mut ProbeContext,
    ) {
        match remote_owner {
            Some(owner) => self.request_from_owner(engine, owner, context),
            None => self.probe_as_owner(engine, context),
        }
    }

    fn probe_as_owner(&mut self, engine: u64, context: &mut ProbeContext) {
        let resource = Resource::Probe(engine);
        context.request_lease(resource);
        let cached = match context.held_lease(resource) {
            Some(_) => self.cached_result(engine, context.now),
            None => None,
        };
        match cached {
            Some(result) => {
                context.push(ProbeAction::Deliver { engine, result });
            }
            None => context.push(ProbeAction::ProbeEngine { engine }),
        }
    }

    fn request_from_owner(&mut self, engine: u64, owner: &str, context: &mut ProbeContext) {
        let until = self.unresponsive_until.get(&engine);
        if until.is_some_and(|until| context.now < *until) {
            context.push(ProbeAction::ProbeEngine { engine });
            return;
        }
        if let Some(pending) = self.pending.get_mut(&engine) {
            pending.requests += 1;
            return;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let pending = PendingProbe {
            number: self.last_number,
            sent_at: context.now,
            requests: 1,
        };
        self.pending.insert(engine, pending);
        context.push(ProbeAction::RequestFromOwner {
            owner: owner.to_owned(),
            request: ProbeRequestId {
                engine,
                number: self.last_number,
            },
        });
    }

    fn cached_result(&self, engine: u64, now: Micros) -> Option<ProbeResult> {
        let cached = self.cache.get(&engine)?;
        (now < cached.received_at + RESULT_CACHE_MICROS).then_some(cached.result)
    }

    /// Handles a peer's request for an engine's load. `is_preferred_owner` is whether this
    /// manager should hold the lease.
    pub fn on_request(
        &mut self,
        from: SocketAddr,
        request: ProbeRequestId,
        is_preferred_owner: bool,
        context: &mut ProbeContext,
    ) {
        let engine = request.engine;
        let resource = Resource::Probe(engine);
        if is_preferred_owner {
            context.request_lease(resource);
        }
        let reject = ProbeAction::RejectNotOwner { to: from, request };
        let Some(lease) = context.held_lease(resource) else {
            context.push(reject);
            return;
        };
        if let Some(result) = self.cached_result(engine, context.now) {
            let report = ProbeReport {
                request,
                token: lease.token,
                result,
            };
            context.push(ProbeAction::Report { to: from, report });
            return;
        }
        let waiting = self.waiting.entry(engine).or_insert(WaitingPeers {
            since: context.now,
            peers: Vec::new(),
        });
        if waiting.peers.is_empty() {
            context.push(ProbeAction::ProbeForPeers {
                engine,
                deadline: lease.expires_at,
            });
        } else if waiting.peers.len() >= MAX_WAITING_PEERS {
            context.push(reject);
            return;
        }
        let addr = from;
        waiting.peers.push(WaitingPeer { addr, request });
    }

    /// Handles the end of this manager's own probe of an engine; `result` is `None` if the probe
    /// could not be sent. Waiting peers receive the result only if the lease is still held at that
    /// time.
    pub fn on_probe_finished(
        &mut self,
        engine: u64,
        result: Option<ProbeResult>,
        context: &mut ProbeContext,
    ) {
        if let Some(result) = result {
            let received_at = context.now;
            let cached = CachedResult {
                result,
                received_at,
            };
            self.cache.insert(engine, cached);
        }
        let Some(waiting) = self.waiting.remove(&engine) else {
            return;
        };
        let lease = context.held_lease(Resource::Probe(engine));
        for WaitingPeer { addr, request } in waiting.peers {
            context.push(match (lease, result) {
                (Some(lease), Some(result)) => ProbeAction::Report {
                    to: addr,
                    report: ProbeReport {
                        request,
                        token: lease.token,
                        result,
                    },
                },
                _ => ProbeAction::RejectNotOwner { to: addr, request },
            });
        }
    }

    /// Handles a lease holder's report. It is accepted if it belongs to the pending request and no
    /// higher token was observed.
    pub fn on_report(&mut self, report: &ProbeReport, context: &mut ProbeContext) {
        let engine = report.request.engine;
        if !self.is_pending(report.request)
            || !context.fence.accepts(Resource::Probe(engine), report.token)
        {
            return;
        }
        let requests = self.take_pending(engine);
        for _ in 0..requests {
            context.push(ProbeAction::Deliver {
                engine,
                result: report.result,
            });
        }
    }

    /// Handles the rejection of a request by a manager that does not hold the lease or has no
    /// result.
    pub fn on_not_owner(
        &mut self,
        request: ProbeRequestId,
        now: Micros,
        actions: &mut Vec<ProbeAction>,
    ) {
        if self.is_pending(request) {
            self.fall_back_to_own_probe(request.engine, now, actions);
        }
    }

    fn is_pending(&self, request: ProbeRequestId) -> bool {
        let pending = self.pending.get(&request.engine);
        pending.is_some_and(|pending| pending.number == request.number)
    }

    /// Removes the pending request and returns how many times the decision module has requested its
    /// result.
    fn take_pending(&mut self, engine: u64) -> u32 {
        let pending = self.pending.remove(&engine);
        pending.map_or(0, |pending| pending.requests)
    }

    fn fall_back_to_own_probe(&mut self, engine: u64, now: Micros, actions: &mut Vec<ProbeAction>) {
        let requests = self.take_pending(engine);
        self.unresponsive_until
            .insert(engine, now + UNRESPONSIVE_OWNER_MICROS);
        for _ in 0..requests {
            actions.push(ProbeAction::ProbeEngine { engine });
        }
    }

    /// Advances the time: times out requests to owners and probes that did not end, and removes
    /// expired entries.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<ProbeAction>) {
        let timed_out: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.sent_at + self.owner_timeout)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in timed_out {
            self.fall_back_to_own_probe(engine, now, actions);
        }
        self.reject_stuck_peers(now, actions);
        self.unresponsive_until.retain(|_, until| now < *until);
        self.cache
            .retain(|_, cached| now < cached.received_at + RESULT_CACHE_MICROS);
    }

    /// Rejects peers that wait for a probe whose end was not reported in time.
    fn reject_stuck_peers(&mut self, now: Micros, actions: &mut Vec<ProbeAction>) {
        let is_stuck =
            |_: &u64, waiting: &mut WaitingPeers| now >= waiting.since + STUCK_PROBE_MICROS;
        for (_, waiting) in self.waiting.extract_if(.., is_stuck) {
            for WaitingPeer { addr, request } in waiting.peers {
                actions.push(ProbeAction::RejectNotOwner { to: addr, request });
            }
        }
    }

    /// The time of the next [`tick`](Self::tick) that has work to do.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let owner_timeouts = self
            .pending
            .values()
            .map(|pending| pending.sent_at + self.owner_timeout);
        let stuck_probes = self
            .waiting
            .values()
            .map(|waiting| waiting.since + STUCK_PROBE_MICROS);
        owner_timeouts.chain(stuck_probes).min()
    }
}
