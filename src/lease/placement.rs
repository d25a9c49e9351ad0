//! Selects the member that should hold the lease on a resource by rendezvous hashing (highest
//! random weight), so that a member that joins or leaves moves only its own resources.
use super::Resource;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The member with the highest weight for the resource; `None` without members. The result is the
/// same on all managers with the same members.
pub fn preferred_owner<'a>(
    resource: Resource,
    members: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let seed = match resource {
        Resource::Probe(engine) => xxh3_64(&engine.to_be_bytes()),
    };
    members.max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name))
}
