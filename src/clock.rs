//! The clock of the program: the monotonic clock in microseconds, anchored to the Unix clock at the
//! first use on each thread.
//!
//! Each event loop reads the clock once per iteration with [`read`]. All code of the iteration uses
//! that reading, which [`now`] returns.
use crate::policy::api::Nanos;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in Unix time, or a duration, in microseconds.
pub type Micros = u64;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: Nanos = 1_000;

/// The same point in time on the monotonic clock and on the Unix clock.
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
    /// The last reading of the clock, or 0 before the first.
    static NOW: Cell<Micros> = const { Cell::new(0) };
}

/// Reads the clock. Called at the start of each iteration of an event loop.
pub fn read() -> Micros {
    let anchor = ANCHOR.with(|anchor| *anchor);
    let now = anchor.unix + anchor.instant.elapsed().as_micros() as Micros;
    NOW.set(now);
    now
}

/// The time of the current iteration: the last reading of [`read`]. Reads the clock if there is
/// none yet.
pub fn now() -> Micros {
    if NOW.get() == 0 { read() } else { NOW.get() }
}

/// The monotonic time that corresponds to `at`, for timers of the reactor. Times before the anchor
/// map to the anchor.
pub fn instant(at: Micros) -> Instant {
    let anchor = ANCHOR.with(|anchor| *anchor);
    anchor.instant + Duration::from_micros(at.saturating_sub(anchor.unix))
}

/// Converts to nanoseconds, the unit of the decision module. Saturates.
pub fn nanos(at: Micros) -> Nanos {
    at.saturating_mul(NANOS_PER_MICRO)
}

/// Converts from nanoseconds, the unit of the decision module. Rounds up, so that a timer never
/// fires early.
pub fn micros(at: Nanos) -> Micros {
    at.div_ceil(NANOS_PER_MICRO)
}
