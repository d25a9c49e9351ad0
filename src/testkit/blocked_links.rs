//! The one-way links between members on which a simulated or proxied network drops all datagrams.
use std::collections::BTreeSet;

/// A one-way link between two members, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// A set of blocked links.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedLinks {
    links: BTreeSet<Link>,
}

impl BlockedLinks {
    /// Blocks the link from one member to another.
    pub fn block(&mut self, from: usize, to: usize) {
        self.links.insert(Link { from, to });
    }

    /// Blocks the links between two members in both directions.
    pub fn block_both_ways(&mut self, one: usize, other: usize) {
        self.block(one, other);
        self.block(other, one);
    }

    /// Blocks all links between two groups of members in both directions.
    pub fn partition(&mut self, one_side: &[usize], other_side: &[usize]) {
        for one in one_side {
            for other in other_side {
                self.block_both_ways(*one, *other);
            }
        }
    }

    /// Unblocks all links.
    pub fn clear(&mut self) {
        self.links.clear();
    }

    /// Whether a link is blocked.
    pub fn contains(&self, link: Link) -> bool {
        self.links.contains(&link)
    }
}
