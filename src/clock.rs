//! Time of the program: microseconds of the monotonic clock, anchored to the Unix clock at its first
//! use on a thread.
//!
//! Each loop reads the clock once per iteration with [`turn`]. Everything in that iteration happens
//! at the same time, which [`now`] returns.
use crate::policy::api::Nanos;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time, as Unix time, or a duration; in microseconds.
pub type Micros = u64;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;

/// Nanoseconds of a microsecond.
const NANOS_PER_MICRO: Nanos = 1_000;

/// One moment on both clocks.
#[derive(Clone, Copy)]
struct Anchor {
    instant: Instant,
    unix: Micros,
}

impl Anchor {
    fn at_present() -> Anchor {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Anchor {
            instant: Instant::now(),
            unix: unix.as_micros() as Micros,
        }
    }
}

thread_local! {
    static ANCHOR: Anchor = Anchor::at_present();
    /// The last reading; 0 before the first.
    static NOW: Cell<Micros> = const { Cell::new(0) };
}

/// Reads the clock, at the start of an iteration.
pub fn turn() -> Micros {
    let anchor = ANCHOR.with(|anchor| *anchor);
    let now = anchor.unix + anchor.instant.elapsed().as_micros() as Micros;
    NOW.set(now);
    now
}

/// The time of the present iteration: the last reading of [`turn`].
pub fn now() -> Micros {
    if NOW.get() == 0 { turn() } else { NOW.get() }
}

/// The point of the monotonic clock at `at`, for timers of the reactor. Times before the anchor
/// give that of the anchor.
pub fn instant(at: Micros) -> Instant {
    let anchor = ANCHOR.with(|anchor| *anchor);
    anchor.instant + Duration::from_micros(at.saturating_sub(anchor.unix))
}

/// Converts to the unit of the decision module. Saturates.
pub fn nanos(at: Micros) -> Nanos {
    at.saturating_mul(NANOS_PER_MICRO)
}

/// Converts from the unit of the decision module. Rounds up, so that a timer never fires early.
pub fn micros(at: Nanos) -> Micros {
    at.div_ceil(NANOS_PER_MICRO)
}
