//! Which sequence the numbers of the coordinator's events belong to. The coordinator counts from 1 at
//! each start of a manager, so the numbers of two processes can be compared only if both processes
//! were configured with the same first event.
use super::{WatchEvent, frame};
use std::cell::RefCell;
use xxhash_rust::xxh3::xxh3_64;

/// The most sequences that a process remembers. It learns another one only by a reload.
const MAX_SEQUENCES: usize = 16;

/// Identifies a sequence of event numbers: a hash of the first event in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Numbering(pub u64);

impl Numbering {
    /// The sequence of a configuration that contains these events.
    pub fn of(known_events: &[WatchEvent]) -> Numbering {
        let first = known_events.first().map(frame::encode_event);
        Numbering(xxh3_64(&first.unwrap_or_default()))
    }
}

/// The sequences to which the event numbers of this process belong. A reload may name the same
/// sequence by another first event, as its numbers continue those before.
#[derive(Default)]
pub struct Numberings {
    known: RefCell<Vec<Numbering>>,
}

impl Numberings {
    /// Records the sequence of a configuration that takes effect.
    pub fn add(&self, numbering: Numbering) {
        let mut known = self.known.borrow_mut();
        known.retain(|earlier| *earlier != numbering);
        if known.len() == MAX_SEQUENCES {
            known.remove(0);
        }
        known.push(numbering);
    }

    /// The sequence of the configuration that took effect last.
    pub fn latest(&self) -> Option<Numbering> {
        self.known.borrow().last().copied()
    }

    /// Whether numbers of this sequence can be compared with those of this process.
    pub fn contains(&self, numbering: Numbering) -> bool {
        self.known.borrow().contains(&numbering)
    }
}
