//! The result of a probe, as managers report it to each other.
use crate::clock::Micros;
use crate::policy::api::{LoadReport, MAX_LOAD_FIELDS, OutcomeKind};
use serde::{Deserialize, Serialize};

/// How a probe ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeStatus {
    /// The engine answered as it should.
    Succeeded,
    /// No connection to the engine could be made.
    Unreachable,
    /// The engine was reached, but the probe failed.
    #[default]
    Failed,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "ProbeResultFormat", from = "ProbeResultFormat")]
pub struct ProbeResult {
    /// How the probe ended.
    pub status: ProbeStatus,
    /// How long it took.
    pub latency: Micros,
    /// How many figures of `load` are valid.
    pub load_fields: u8,
    /// The engine's load, in the order of the settings' `load_fields`.
    pub load: [f32; MAX_LOAD_FIELDS],
}

impl ProbeResult {
    /// The result of a probe that this manager made.
    pub fn new(kind: OutcomeKind, latency: Micros, load: &LoadReport) -> ProbeResult {
        let status = match kind {
            OutcomeKind::Ok => ProbeStatus::Succeeded,
            OutcomeKind::ConnectFailed => ProbeStatus::Unreachable,
            _ => ProbeStatus::Failed,
        };
        let values = load.values();
        let mut padded = [0.0; MAX_LOAD_FIELDS];
        padded[..values.len()].copy_from_slice(values);
        ProbeResult {
            status,
            latency,
            load_fields: values.len() as u8,
            load: padded,
        }
    }

    /// The outcome as the decision module knows it.
    pub fn outcome_kind(&self) -> OutcomeKind {
        match self.status {
            ProbeStatus::Succeeded => OutcomeKind::Ok,
            ProbeStatus::Unreachable => OutcomeKind::ConnectFailed,
            ProbeStatus::Failed => OutcomeKind::Error,
        }
    }

    /// The load as the decision module knows it.
    pub fn load_report(&self) -> LoadReport {
        let valid = usize::from(self.load_fields).min(MAX_LOAD_FIELDS);
        LoadReport::from_values(&self.load[..valid])
    }
}

/// [`ProbeResult`] in datagrams: the status is two flags there.
#[derive(Serialize, Deserialize)]
struct ProbeResultFormat {
    succeeded: bool,
    unreachable: bool,
    latency: Micros,
    load_fields: u8,
    load: [f32; MAX_LOAD_FIELDS],
}

impl From<ProbeResult> for ProbeResultFormat {
    fn from(result: ProbeResult) -> ProbeResultFormat {
        ProbeResultFormat {
            succeeded: result.status == ProbeStatus::Succeeded,
            unreachable: result.status == ProbeStatus::Unreachable,
            latency: result.latency,
            load_fields: result.load_fields,
            load: result.load,
        }
    }
}

impl From<ProbeResultFormat> for ProbeResult {
    fn from(format: ProbeResultFormat) -> ProbeResult {
        let status = match (format.succeeded, format.unreachable) {
            (true, _) => ProbeStatus::Succeeded,
            (false, true) => ProbeStatus::Unreachable,
            (false, false) => ProbeStatus::Failed,
        };
        ProbeResult {
            status,
            latency: format.latency,
            load_fields: format.load_fields,
            load: format.load,
        }
    }
}
