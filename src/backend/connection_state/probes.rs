//! The health checks that were sent on a connection and have no answer.
use super::ConnectionEvent;
use crate::backend::ProbeId;
use crate::clock::{MS, Micros};
use crate::policy::api::{LoadReport, OutcomeKind};
use std::collections::VecDeque;

/// A health check without an answer for this long has failed.
const PROBE_TIMEOUT_MICROS: Micros = 250 * MS;

#[derive(Clone, Copy)]
struct PendingProbe {
    id: ProbeId,
    sent_at: Micros,
}

impl PendingProbe {
    fn expires_at(&self) -> Micros {
        self.sent_at + PROBE_TIMEOUT_MICROS
    }

    fn complete(&self, now: Micros, kind: OutcomeKind, load: LoadReport) -> ConnectionEvent {
        ConnectionEvent::ProbeCompleted {
            kind,
            latency: now.saturating_sub(self.sent_at),
            load,
        }
    }
}

/// The health checks without an answer, in the order in which they were sent.
pub(super) struct PendingProbes {
    probes: VecDeque<PendingProbe>,
    next_id: ProbeId,
}

impl PendingProbes {
    pub(super) fn new() -> PendingProbes {
        PendingProbes {
            probes: VecDeque::new(),
            next_id: ProbeId::FIRST,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.probes.is_empty()
    }

    /// Registers a health check that is sent now.
    pub(super) fn register(&mut self, now: Micros) -> ProbeId {
        let id = self.next_id;
        self.probes.push_back(PendingProbe { id, sent_at: now });
        self.next_id = id.next();
        id
    }

    /// When the oldest one expires.
    pub(super) fn next_timeout(&self) -> Option<Micros> {
        self.probes.front().map(PendingProbe::expires_at)
    }

    /// Completes one with its answer. A duplicate or late answer is ignored: it says nothing about a
    /// later health check.
    pub(super) fn complete(
        &mut self,
        now: Micros,
        id: ProbeId,
        kind: OutcomeKind,
        load: LoadReport,
    ) -> Option<ConnectionEvent> {
        let index = self.probes.iter().position(|probe| probe.id == id)?;
        let probe = self.probes.remove(index)?;
        Some(probe.complete(now, kind, load))
    }

    /// Ends the oldest one if it has expired.
    pub(super) fn expire_next(&mut self, now: Micros) -> Option<ConnectionEvent> {
        let probe = self
            .probes
            .pop_front_if(|probe| probe.expires_at() <= now)?;
        Some(probe.complete(now, OutcomeKind::Timeout, LoadReport::default()))
    }

    /// Ends all of them, as the connection ends.
    pub(super) fn end_all(&mut self, now: Micros, kind: OutcomeKind) -> Vec<ConnectionEvent> {
        self.probes
            .drain(..)
            .map(|probe| probe.complete(now, kind, LoadReport::default()))
            .collect()
    }
}
