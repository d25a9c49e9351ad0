//! The request ids of statements whose clients send none: those of the ClickHouse frontend.
use crate::clock::Micros;
use std::cell::Cell;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Step of the sequence of request ids. It is coprime with 2^64, so each number occurs once before
/// any is repeated.
const REQUEST_ID_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// What distinguishes this process from all others that send requests to the same engines. The
/// seed alone does not: both processes of a hot restart read the same configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessIdentity {
    /// The seed in the configuration, which differs between managers.
    pub(super) seed: u64,
    /// The process id.
    pub(super) process: u32,
    /// Unix time of the process's start.
    pub(super) incarnation: Micros,
}

/// Generates the request ids of one process: 16 hex digits each.
pub(super) struct RequestIds {
    last: Cell<u64>,
}

impl RequestIds {
    /// A sequence that begins at a number derived from the process's identity.
    pub(super) fn new(identity: ProcessIdentity) -> RequestIds {
        let mut key = [0; 12];
        key[..4].copy_from_slice(&identity.process.to_be_bytes());
        key[4..].copy_from_slice(&identity.incarnation.to_be_bytes());
        RequestIds {
            last: Cell::new(xxh3_64_with_seed(&key, identity.seed)),
        }
    }

    /// The next id, which this process has not used before.
    pub(super) fn next(&self) -> String {
        let id = self.last.get().wrapping_add(REQUEST_ID_STEP);
        self.last.set(id);
        format!("{id:016x}")
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_ids.rs"]
mod tests;
