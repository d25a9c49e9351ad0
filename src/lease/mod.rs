//! Leases with fencing tokens on work that one manager does for the whole fleet. A majority of the
//! voters that the operator configures grants them.
//!
//! The scheme is that of Gray and Cheriton, *Leases: An Efficient Fault-Tolerant Mechanism for
//! Distributed File Cache Consistency* (1989), with the sequencers of Burrows, *The Chubby Lock
//! Service* (2006). Everything here is a pure state machine, which takes events and the time and
//! returns actions; the sockets, the disk and the clock are in [`crate::net::fleet::lease`].
//!
//! A [`Candidate`] requests a lease from all voters under a token higher than any it has observed.
//! A [`Voter`] grants a resource to one holder at a time, under increasing tokens, for the lease
//! duration by its own monotonic clock. The candidate holds the lease once more than half of all
//! voters have granted it. The validity of its lease starts when it *sent* the request, by its own
//! clock, and is shortened by a bound on clock drift, so the lease ends before any voter that
//! granted it may grant the resource to another holder.
//!
//! Every message that a lease holder sends under its lease carries its token. A [`FencingGuard`] at
//! the receiver rejects a token lower than the highest observed for the resource, so messages of a
//! deposed holder that was suspended past the end of its lease have no effect when it resumes.
mod candidate;
pub mod codec;
mod fencing;
mod placement;
pub mod shared_probe;
mod timing;
mod voter;

pub use candidate::{Candidate, HeldLease, LeaseAction};
pub use fencing::{FencingGuard, FencingToken, MAX_TRACKED_RESOURCES, TokenHighWaterMarks};
pub use placement::preferred_owner;
pub use timing::{LeaseTiming, LeaseTimingError};
pub use voter::{LeaseRequest, Vote, VoteOutcome, VoteReply, Voter};

use serde::{Deserialize, Serialize};
use std::fmt;

/// A kind of work for the whole fleet that only one manager at a time may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Probing the engine with this id for its load.
    Probe(u64),
}

impl fmt::Display for Resource {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Resource::Probe(engine) => write!(formatter, "probe:s-{engine:08x}"),
        }
    }
}

/// The identity of a process that may hold a lease. A process restarted under the same name is a
/// different holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The manager's name in the fleet.
    pub name: String,
    /// The incarnation of its process: its start in microseconds, which is higher after each
    /// restart.
    pub incarnation: u64,
}

#[cfg(test)]
#[path = "../../tests/unit/lease.rs"]
mod tests;
