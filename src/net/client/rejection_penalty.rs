//! Clients that are turned away again and again are read from more slowly.
use crate::clock::{MS, Micros};

/// So many times at once are free, and each one more costs this pause. Guards the others' share of
/// the processor.
const FREE_STRIKES: u64 = 64;
const STRIKE: Micros = 20 * MS;

/// How often a client was turned away of late, as the time by which it will all be made up for.
#[derive(Default)]
pub(super) struct Strikes(Micros);

impl Strikes {
    pub(super) fn add(&mut self, now: Micros, count: u64) {
        self.0 = self.0.max(now) + count * STRIKE;
    }

    /// Until when nothing more is read, if so.
    pub(super) fn pause(&self, now: Micros) -> Option<Micros> {
        let until = self.0.saturating_sub(FREE_STRIKES * STRIKE);
        (until > now).then_some(until)
    }
}
