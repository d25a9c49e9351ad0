//! A workload manager in front of shared query engines, and the decisions it goes by.
//!
//! [`policy::Gateway`] is a state machine without I/O: feed it [`interface::Event`]s with the time
//! they came in and carry out the [`interface::Action`]s it appends. Everything it knows comes from
//! [`interface::Settings`] and those events.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct ReadmeExample;

pub mod audit;
pub mod backoff;
pub mod clock;
pub mod config;
pub mod deploy;
pub mod directory;
pub mod duties;
pub mod engine;
pub mod front;
pub mod generations;
pub mod http;
pub mod interface;
pub mod kit;
pub mod lifecycle;
pub mod log;
pub mod manager;
pub mod membership;
pub mod net;
pub mod policy;
mod ranks;
pub mod settings;
pub mod spool;
mod state;
pub mod statement;

#[cfg(test)]
#[path = "../tests/inside/law.rs"]
mod law;

#[cfg(test)]
#[path = "../tests/inside/mutation.rs"]
mod mutation;

#[cfg(test)]
#[path = "../tests/inside/sweep.rs"]
mod sweep;
