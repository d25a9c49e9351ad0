//! A workload manager in front of shared query engines, and the decision module that it uses.
//!
//! [`policy::Gateway`] is a state machine without I/O: it takes [`policy::api::Event`]s with the
//! times of their arrival, and appends [`policy::api::Action`]s for the caller to carry out. Its
//! only inputs are [`policy::api::Settings`] and those events.
#![forbid(unsafe_code)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct ReadmeExample;

pub mod audit;
pub mod backend;
pub mod backoff;
pub mod class_registry;
pub mod clock;
pub mod config;
pub mod dispatcher;
pub mod frontend;
pub mod hot_restart;
pub mod http;
mod idle_buffer;
pub mod lease;
pub mod lifecycle;
pub mod logging;
pub mod membership;
pub mod net;
pub mod policy;
pub mod spool;
pub mod startup;
pub mod statement;
pub mod tenant_directory;
pub mod testkit;

#[cfg(test)]
#[path = "../tests/unit/policy_builders.rs"]
mod policy_builders;

#[cfg(test)]
#[path = "../tests/unit/concurrency_limit.rs"]
mod concurrency_limit_tests;

#[cfg(test)]
#[path = "../tests/unit/mutation.rs"]
mod mutation_tests;

#[cfg(test)]
#[path = "../tests/unit/fleet_scan.rs"]
mod fleet_scan_tests;
