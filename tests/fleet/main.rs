//! Gateways of a large fleet, each with its own clock and seed.
mod builders;
mod capacity;
#[path = "../common/mod.rs"]
mod common;
mod endpoint_lists;
mod load_reports;
mod simulation;
mod tenants;
mod turns;
mod without_probes;
