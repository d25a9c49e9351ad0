//! The result of a probe, which managers report to each other.
use crate::clock::Micros;
use crate::policy::api::{LoadReport, MAX_LOAD_FIELDS, OutcomeKind};
use serde::{Deserialize, Serialize};

/// How a probe ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeStatus {
    /// The engine returned a valid response.
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
    /// The number of valid values in `load`.
    pub load_fields: u8,
    /// The engine's load, in the order of the settings' `load_fields`.
    pub load: [f32; MAX_LOAD_FIELDS],
}

impl ProbeResult {
    /// Creates the result of a probe made by this manager.
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

    /// The outcome in the decision module's type.
    pub fn outcome_kind(&self) -> OutcomeKind {
        match self.status {
            ProbeStatus::Succeeded => OutcomeKind::Ok,
            ProbeStatus::Unreachable => OutcomeKind::ConnectFailed,
            ProbeStatus::Failed => OutcomeKind::Error,
        }
    }

    /// The load in the decision module's type.
    pub fn load_report(&self) -> LoadReport {
        let valid = usize::from(self.load_fields).min(MAX_LOAD_FIELDS);
        LoadReport::from_values(&self.load[..valid])
    }
}

/// The format of [`ProbeResult`] in datagrams, where two flags encode the status.
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
