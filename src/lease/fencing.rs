//! Fencing tokens: monotonically increasing numbers that distinguish the current lease holder from
//! a deposed one (the sequencers of Chubby).
use super::Resource;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of resources whose tokens and grants are tracked individually.
pub const MAX_TRACKED_RESOURCES: usize = 1_024;

/// A number that increases with each new lease on a resource. Zero means that the resource was
/// never leased.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The lowest token above this one.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// High-water marks of fencing tokens, kept for at most [`MAX_TRACKED_RESOURCES`] resources. The
/// token of an evicted entry raises `floor`, so the high-water mark of a resource never decreases,
/// whether the resource is tracked or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenHighWaterMarks {
    by_resource: BTreeMap<Resource, FencingToken>,
    floor: FencingToken,
}

impl TokenHighWaterMarks {
    /// The highest token recorded for a resource; `floor` if the resource is not tracked.
    pub fn get(&self, resource: Resource) -> FencingToken {
        self.by_resource
            .get(&resource)
            .copied()
            .unwrap_or(self.floor)
    }

    /// Records a token that was observed or granted. A token that does not exceed the recorded one
    /// changes nothing.
    pub fn observe(&mut self, resource: Resource, token: FencingToken) {
        if token <= self.get(resource) {
            return;
        }
        self.by_resource.insert(resource, token);
        if self.by_resource.len() > MAX_TRACKED_RESOURCES {
            self.evict_lowest();
        }
    }

    fn evict_lowest(&mut self) {
        let lowest = self.iter().min_by_key(|(_, token)| *token);
        if let Some((resource, token)) = lowest {
            self.by_resource.remove(&resource);
            self.floor = self.floor.max(token);
        }
    }

    /// The tracked resources with their highest tokens.
    pub fn iter(&self) -> impl Iterator<Item = (Resource, FencingToken)> {
        self.by_resource
            .iter()
            .map(|(resource, token)| (*resource, *token))
    }
}

/// Rejects messages of a deposed lease holder: it records the highest token observed for each
/// resource and accepts no message under a lower one.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: TokenHighWaterMarks,
    rejected: u64,
}

impl FencingGuard {
    /// Returns whether a message under `token` is accepted. Records the token, and counts the
    /// message if it is rejected.
    pub fn accepts(&mut self, resource: Resource, token: FencingToken) -> bool {
        let is_current = token >= self.highest.get(resource);
        if !is_current {
            self.rejected += 1;
        }
        self.highest.observe(resource, token);
        is_current
    }

    /// Records a token from another source than an accepted message, such as a vote.
    pub fn observe(&mut self, resource: Resource, token: FencingToken) {
        self.highest.observe(resource, token);
    }

    /// The highest token observed for a resource.
    pub fn highest(&self, resource: Resource) -> FencingToken {
        self.highest.get(resource)
    }

    /// The tracked resources with the highest tokens observed.
    pub fn iter(&self) -> impl Iterator<Item = (Resource, FencingToken)> {
        self.highest.iter()
    }

    /// The number of messages rejected because of their token.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
