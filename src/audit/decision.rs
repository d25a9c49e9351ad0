//! Decisions, and the configuration under which they were made.
use crate::clock::Micros;
use crate::lease::FencingToken;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The configuration that the decision module acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfiguration {
    /// The number of the settings generation, counted by each process from 1.
    pub generation: u64,
    /// A hash of the settings, equal on managers with equal settings.
    pub settings: u64,
    /// The version of the endpoint list.
    pub list: u64,
}

/// What was decided. The files identify variants and fields by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionKind {
    /// An attempt of a request was dispatched.
    Dispatch {
        /// The number of the attempt: 0 for the first.
        attempt: u16,
        /// The id of the engine.
        engine: u64,
    },
    /// The request was rejected for good.
    Reject {
        /// The time after which the client may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request failed for good.
    Fail,
    /// The decision module acts on a new configuration, or on its first one, from now on.
    ActivateConfiguration,
    /// Replaces records that are lost, at the position of the last of them.
    Lost {
        /// The number of lost records.
        count: u64,
    },
    /// The manager acquired a lease. The record has the resource in place of the request.
    AcquireLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// The manager no longer holds the lease.
    EndLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The name of the request's class.
    pub class: Rc<str>,
    /// The client's id of the request; empty if a frontend rejected the request without reading it.
    pub request: Rc<str>,
}

/// The manager that made decisions, and the configuration under which it made them. Written at the
/// start of each file, and before the first record after each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionContext {
    /// The manager's name.
    pub member: String,
    /// The incarnation of its process: when it started, in microseconds of Unix time.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its build.
    pub build: String,
    /// The configuration of its decision module.
    #[serde(flatten)]
    pub configuration: ActiveConfiguration,
    /// When that configuration became active, in microseconds of Unix time.
    #[serde(rename = "since")]
    pub active_since: Micros,
}
