//! The interface of the decision module: plain data that crosses its edge, without logic.
//!
//! - `ids`: identifiers and the unit of time;
//! - `settings`: what the module is configured with, and the invariants it has to keep;
//! - `event`: what the module is informed of (endpoint lists, requests, outcomes, timers);
//! - `action`: what the module orders in response;
//! - `rejection`: why it rejects requests.
//!
//! Every item is re-exported here, so callers name it `policy::api::Item`.
//!
//! # Invariants
//!
//! The protocol between the module and its host states seven invariants that hold for every
//! sequence of events. The code refers to them by number; `tests/rules` checks them with random
//! events.
//!
//! 1. Each request gets exactly one final response, at the latest
//!    [`response_grace`](Invariants::response_grace) after its deadline, and no attempt starts after
//!    its deadline.
//! 2. An attempt that may have run is repeated only as the class's [`Idempotency`] allows, and a
//!    request is rejected, which promises that a retry is harmless, only if it can't run twice by
//!    that.
//! 3. No attempt starts on an engine that is not [`Ready`](Readiness::Ready);
//!    [`drain_grace`](Invariants::drain_grace) covers the time until the update is received.
//! 4. The work that all gateways together send to an engine in its slow start stays within its
//!    budget: see [`overload_multiple`](Invariants::overload_multiple).
//! 5. Requests of a [`serial_per_key`](ClassSpec::serial_per_key) class with the same key run one at
//!    a time, in order of arrival, with a [`key_cooldown`](Invariants::key_cooldown) after an attempt
//!    that may still run.
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
