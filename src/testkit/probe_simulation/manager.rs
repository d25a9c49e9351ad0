//! One simulated manager: its state machines and its name.
use super::Plan;
use crate::clock::{MS, Micros};
use crate::lease::shared_probe::{PendingActions, ProbeContext, SharedProber};
use crate::lease::{Candidate, FencingGuard, Holder, TokenHighWaterMarks, Voter};
use crate::testkit::membership_simulation::member_name;
use std::collections::BTreeMap;

/// The state machines of one manager.
pub(super) struct SimulatedManager {
    pub(super) voter: Option<Voter>,
    pub(super) candidate: Candidate,
    pub(super) fence: FencingGuard,
    pub(super) prober: SharedProber,
    pub(super) is_stopped: bool,
    /// For each engine when the decision module began to wait, once for each load it wants.
    pub(super) waiting_since: BTreeMap<u64, Vec<Micros>>,
}

impl SimulatedManager {
    /// A manager at time zero that holds no lease.
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
            waiting_since: BTreeMap::new(),
        }
    }

    /// The prober, and the context of an event that it handles.
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

    /// When the state machines have something to do next.
    pub(super) fn next_wakeup(&self) -> Option<Micros> {
        let wakeups = [self.candidate.next_wakeup(), self.prober.next_wakeup()];
        wakeups.into_iter().flatten().min()
    }
}

/// The index in a name of [`member_name`].
pub(super) fn manager_index(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}
