//! The probes that were sent on a connection and have no response yet.
use super::ConnectionEvent;
use crate::backend::ProbeId;
use crate::clock::{MS, Micros};
use crate::policy::api::{LoadReport, OutcomeKind};
use std::collections::VecDeque;

/// A probe without a response for this long has failed.
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

/// The probes without a response, in the order in which they were sent.
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

    /// Registers a probe that is sent now, and returns its identifier.
    pub(super) fn register(&mut self, now: Micros) -> ProbeId {
        let id = self.next_id;
        self.probes.push_back(PendingProbe { id, sent_at: now });
        self.next_id = id.next();
        id
    }

    /// When the oldest probe expires.
    pub(super) fn next_timeout(&self) -> Option<Micros> {
        self.probes.front().map(PendingProbe::expires_at)
    }

    /// Completes a probe with its response. A duplicate or late response is ignored, as it must not
    /// complete a later probe.
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

    /// Ends the oldest probe if it has expired.
    pub(super) fn expire_next(&mut self, now: Micros) -> Option<ConnectionEvent> {
        let probe = self
            .probes
            .pop_front_if(|probe| probe.expires_at() <= now)?;
        Some(probe.complete(now, OutcomeKind::Timeout, LoadReport::default()))
    }

    /// Ends all probes, as the connection is closed.
    pub(super) fn end_all(&mut self, now: Micros, kind: OutcomeKind) -> Vec<ConnectionEvent> {
        self.probes
            .drain(..)
            .map(|probe| probe.complete(now, kind, LoadReport::default()))
            .collect()
    }
}
