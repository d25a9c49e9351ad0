//! Peers that wait for a lease holder's probe always receive a report or a rejection.
use super::shared_probe::{
    PendingActions, ProbeAction, ProbeContext, ProbeReport, ProbeRequestId, ProbeResult,
    ProbeStatus, SharedProber,
};
use super::*;
use std::net::SocketAddr;

const ENGINE: u64 = 7;
const OWNER_TIMEOUT_MICROS: Micros = 20 * MS;

/// A manager that holds the lease on [`RESOURCE`], and a prober.
struct LeaseHolder {
    candidate: Candidate,
    fence: FencingGuard,
    prober: SharedProber,
    token: FencingToken,
    lease_end: Micros,
}

impl LeaseHolder {
    /// Requests the lease at time zero, which the only voter grants.
    fn new() -> LeaseHolder {
        let mut candidate = Candidate::new(holder("a"), vec!["v".into()], timing(), 1);
        let mut fence = FencingGuard::default();
        let mut actions = Vec::new();
        candidate.request_lease(RESOURCE, &fence, 0, &mut actions);
        let Some(LeaseAction::Request { request, .. }) = actions.first().cloned() else {
            panic!("it requests the lease")
        };
        let reply = VoteReply {
            voter: "v".into(),
            resource: RESOURCE,
            round: request.round,
            vote: Vote::Granted,
        };
        candidate.on_vote(&reply, &mut fence, MS, &mut actions);
        let lease_end = timing().holder_validity();
        let expected = HeldLease {
            resource: RESOURCE,
            token: request.token,
            expires_at: lease_end,
        };
        assert_eq!(candidate.held_lease(RESOURCE, MS), Some(expected));
        LeaseHolder {
            candidate,
            fence,
            prober: SharedProber::new(OWNER_TIMEOUT_MICROS),
            token: request.token,
            lease_end,
        }
    }

    fn handle(
        &mut self,
        now: Micros,
        event: impl FnOnce(&mut SharedProber, &mut ProbeContext),
    ) -> Vec<ProbeAction> {
        let mut actions = PendingActions::default();
        let mut context = ProbeContext {
            candidate: &mut self.candidate,
            fence: &mut self.fence,
            now,
            actions: &mut actions,
        };
        event(&mut self.prober, &mut context);
        actions.probe
    }

    /// The peer requests the load.
    fn on_request(&mut self, now: Micros, number: u32) -> Vec<ProbeAction> {
        self.handle(now, |prober, context| {
            prober.on_request(peer(), request_id(number), true, context);
        })
    }

    /// The engine has responded, or could not be probed.
    fn on_probe_finished(&mut self, now: Micros, result: Option<ProbeResult>) -> Vec<ProbeAction> {
        self.handle(now, |prober, context| {
            prober.on_probe_finished(ENGINE, result, context);
        })
    }

    /// The action that probes the engine before the lease ends.
    fn probe_for_peers(&self) -> ProbeAction {
        ProbeAction::ProbeForPeers {
            engine: ENGINE,
            deadline: self.lease_end,
        }
    }

    fn report(&self, number: u32) -> ProbeAction {
        ProbeAction::Report {
            to: peer(),
            report: ProbeReport {
                request: request_id(number),
                token: self.token,
                result: success(),
            },
        }
    }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn request_id(number: u32) -> ProbeRequestId {
    ProbeRequestId {
        engine: ENGINE,
        number,
    }
}

fn success() -> ProbeResult {
    ProbeResult {
        status: ProbeStatus::Succeeded,
        latency: 5,
        ..ProbeResult::default()
    }
}

fn rejection(number: u32) -> ProbeAction {
    ProbeAction::RejectNotOwner {
        to: peer(),
        request: request_id(number),
    }
}

#[test]
fn one_probe_result_is_reported_to_all_waiting_peers_and_to_requests_soon_after() {
    let mut owner = LeaseHolder::new();

    let first_request = owner.on_request(2 * MS, 1);
    let second_request = owner.on_request(3 * MS, 2);
    let finished = owner.on_probe_finished(4 * MS, Some(success()));
    let later_request = owner.on_request(50 * MS, 3);

    assert_eq!(first_request, [owner.probe_for_peers()]);
    assert_eq!(second_request, []);
    assert_eq!(finished, [owner.report(1), owner.report(2)]);
    assert_eq!(later_request, [owner.report(3)], "from the cache");
}

#[test]
fn a_waiting_peer_is_rejected_if_the_engine_cannot_be_probed() {
    let mut owner = LeaseHolder::new();

    let request = owner.on_request(200 * MS, 4);
    let finished = owner.on_probe_finished(201 * MS, None);

    assert_eq!(request, [owner.probe_for_peers()]);
    assert_eq!(finished, [rejection(4)]);
}

#[test]
fn a_result_received_after_the_end_of_the_lease_is_not_reported() {
    let mut owner = LeaseHolder::new();
    let lease_end = owner.lease_end;

    let request = owner.on_request(300 * MS, 5);
    let finished = owner.on_probe_finished(lease_end, Some(success()));
    let request_after_end = owner.on_request(lease_end + MS, 6);

    assert_eq!(request, [owner.probe_for_peers()]);
    assert_eq!(finished, [rejection(5)]);
    assert_eq!(request_after_end, [rejection(6)]);
}

#[test]
fn a_waiting_peer_is_rejected_if_the_probe_never_ends() {
    let mut owner = LeaseHolder::new();

    let request = owner.on_request(400 * MS, 7);
    let wakeup = owner.prober.next_wakeup().expect("a timeout for the peer");
    let mut actions = Vec::new();
    owner.prober.tick(wakeup, &mut actions);

    assert_eq!(request, [owner.probe_for_peers()]);
    assert_eq!(actions, [rejection(7)]);
    assert_eq!(owner.prober.next_wakeup(), None);
}
