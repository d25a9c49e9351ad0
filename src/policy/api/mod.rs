//! The interface of the decision module: plain data types without logic.
//!
//! - `ids`: identifiers and the unit of time;
//! - `settings`: the configuration of the module and the parameters of its invariants;
//! - `event`: events that the module receives (endpoint lists, requests, outcomes, timers);
//! - `action`: actions that the module orders in response;
//! - `rejection`: reasons for which it rejects requests.
//!
//! Every item is re-exported here, so callers refer to it as `policy::api::Item`.
//!
//! # Invariants
//!
//! The protocol between the module and its host defines seven invariants that hold for every
//! sequence of events. The code refers to them by number; `tests/rules` checks them with random
//! events.
//!
//! 1. Each request gets exactly one final response, at the latest
//!    [`response_grace`](Invariants::response_grace) after its deadline, and no attempt starts
//!    after its deadline.
//! 2. An attempt that may have run is repeated only as the class's [`Idempotency`] allows. A
//!    request is rejected, which promises that a retry is harmless, only if a retry can't make it
//!    run twice where its class does not allow that.
//! 3. No attempt starts on an engine that is not [`Ready`](Readiness::Ready);
//!    [`drain_grace`](Invariants::drain_grace) allows for the time until the update is received.
//! 4. The work that all gateways together send to an engine in slow start stays within its budget:
//!    see [`overload_multiple`](Invariants::overload_multiple).
//! 5. Requests of a [`serial_per_key`](ClassSpec::serial_per_key) class with the same key run one
//!    at a time, in order of arrival, and a [`key_cooldown`](Invariants::key_cooldown) follows each
//!    attempt that may still run.
//! 6. Attempts go only to the zones and machine types that the class allows.
//! 7. Attempts beyond the first stay within the [`RetryBudget`], if there is one.

mod action;
mod event;
mod ids;
mod rejection;
mod settings;

pub use action::Action;
pub use event::{
    Endpoint, EndpointListKind, Event, LoadReport, MAX_LOAD_FIELDS, Outcome, OutcomeKind,
    ProgressUpdate, Readiness, Request,
};
pub use ids::{
    AttemptNo, CellId, ClassId, EngineId, MachineTypeId, Nanos, OrderKey, RequestId, TenantId,
    ZoneId,
};
pub use rejection::RejectionReason;
pub use settings::{
    ClassSpec, DeduplicationScope, Idempotency, Invariants, Limits, LoadField, MachineTypeSpec,
    MemoryExhaustionPolicy, RetryBudget, Settings, TenantSpec,
};
