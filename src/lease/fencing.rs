//! Fencing tokens: monotonic numbers that tell a current lease holder from a deposed one (the
//! sequencers of Chubby).
use super::Resource;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The most resources whose tokens and grants are tracked one by one.
pub const MAX_TRACKED_RESOURCES: usize = 1_024;

/// Increases with each new lease on a resource. Zero stands for a resource that was never leased.
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

/// High-water marks of fencing tokens, kept for at most [`MAX_TRACKED_RESOURCES`] resources. When
/// an entry is evicted its token raises `floor`, so a token never decreases for any resource,
/// tracked or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenHighWaterMarks {
    by_resource: BTreeMap<Resource, FencingToken>,
    floor: FencingToken,
}

impl TokenHighWaterMarks {
    /// The highest token known for a resource; the floor for one that is not tracked.
    pub fn get(&self, resource: Resource) -> FencingToken {
        self.by_resource
            .get(&resource)
            .copied()
            .unwrap_or(self.floor)
    }

    /// Records a token that was seen or granted. Lower tokens than the known one change nothing.
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

/// Rejects what a deposed lease holder still sends: remembers the highest token seen for each
/// resource and accepts nothing under a lower one.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: TokenHighWaterMarks,
    rejected: u64,
}

impl FencingGuard {
    /// Whether a message under that token is to be accepted. The token is recorded, a rejection is
    /// counted.
    pub fn accepts(&mut self, resource: Resource, token: FencingToken) -> bool {
        let is_current = token >= self.highest.get(resource);
        if !is_current {
            self.rejected += 1;
        }
        self.highest.observe(resource, token);
        is_current
    }

    /// Records a token that was seen in use.
    pub fn observe(&mut self, resource: Resource, token: FencingToken) {
        self.highest.observe(resource, token);
    }

    /// The highest token seen for a resource.
    pub fn highest(&self, resource: Resource) -> FencingToken {
        self.highest.get(resource)
    }

    /// The tracked resources with the highest tokens seen.
    pub fn iter(&self) -> impl Iterator<Item = (Resource, FencingToken)> {
        self.highest.iter()
    }

    /// How many messages were rejected for their token.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
