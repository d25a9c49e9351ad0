//! Decisions, and the configuration that they were made under.
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

/// What was decided. The files number the variants and their fields by their order.
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
        /// When the client may come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request failed for good.
    Fail,
    /// The decision module acts on another configuration from now on, or on its first one.
    ActivateConfiguration,
    /// Records are lost: this one stands for them, at the position of the last one.
    Lost {
        /// How many.
        count: u64,
    },
    /// The manager holds a lease from now on. The resource stands in place of the request.
    AcquireLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// The manager holds the lease no longer.
    EndLease {
        /// The fencing token of the lease.
        token: FencingToken,
    },
}

/// A decision as the dispatcher made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The name of the request's class.
    pub class: Rc<str>,
    /// The client's id of the request; empty where a frontend rejected it unread.
    pub request: Rc<str>,
}

/// Who made decisions, and under which configuration. Written at the start of each file, and
/// before the first record after each change.
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
