//! A simulated manager.
use super::Plan;
use crate::clock::{MS, Micros};
use crate::lease::shared_probe::{PendingActions, ProbeContext, SharedProber};
use crate::lease::{Candidate, FencingGuard, Holder, TokenHighWaterMarks, Voter};
use crate::testkit::membership_simulation::member_name;
use std::collections::BTreeMap;

/// The lease and probe state machines of one manager.
pub(super) struct SimulatedManager {
    pub(super) voter: Option<Voter>,
    pub(super) candidate: Candidate,
    pub(super) fence: FencingGuard,
    pub(super) prober: SharedProber,
    pub(super) is_stopped: bool,
    /// For each engine, the times of the decision module's load requests that are still open.
    pub(super) open_request_times: BTreeMap<u64, Vec<Micros>>,
}

impl SimulatedManager {
    /// Creates a manager at time zero that holds no lease.
    pub(super) fn new(index: usize, plan: &Plan) -> SimulatedManager {
        let is_voter = index < plan.voters;
        let timing = plan.lease_timing;
        let holder = Holder {
            name: member_name(index),
            incarnation: 1,
        };
        let voters = (0..plan.voters).map(member_name).collect();
        let seed = plan.seed + index as u64;
        SimulatedManager {
            voter: is_voter.then(|| Voter::new(timing, TokenHighWaterMarks::default(), 0)),
            candidate: Candidate::new(holder, voters, timing, seed),
            fence: FencingGuard::default(),
            prober: SharedProber::new(timing.probe_request_timeout_ms * MS),
            is_stopped: false,
            open_request_times: BTreeMap::new(),
        }
    }

    /// The prober, and the context in which it handles an event.
    pub(super) fn prober_in_context<'a>(
        &'a mut self,
        now: Micros,
        actions: &'a mut PendingActions,
    ) -> (&'a mut SharedProber, ProbeContext<'a>) {
        let context = ProbeContext {
            candidate: &mut self.candidate,
            fence: &mut self.fence,
            now,
            actions,
        };
        (&mut self.prober, context)
    }

    /// The time of the next tick that the state machines need.
    pub(super) fn next_wakeup(&self) -> Option<Micros> {
        let wakeups = [self.candidate.next_wakeup(), self.prober.next_wakeup()];
        wakeups.into_iter().flatten().min()
    }
}

/// The index of the manager with this [`member_name`].
pub(super) fn manager_index(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}
