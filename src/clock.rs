//! Time: whole microseconds on the monotonic clock, anchored once to the Unix clock at the start of
//! the program.
//!
//! Each loop reads the clock once a turn with [`turn`]; all that happens in that turn happens at
//! [`now`].
use crate::policy::api::Nanos;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;

thread_local! {
    static ANCHOR: (Instant, Micros) = {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), unix.as_micros() as Micros)
    };
    static NOW: Cell<Micros> = const { Cell::new(0) };
}

/// Reads the clock: the start of a turn.
pub fn turn() -> Micros {
    let now = ANCHOR.with(|(at, unix)| unix + at.elapsed().as_micros() as Micros);
    NOW.set(now);
    now
}

/// The time of the present turn.
pub fn now() -> Micros {
    if NOW.get() == 0 { turn() } else { NOW.get() }
}

/// The same point for timers of the reactor.
pub fn instant(at: Micros) -> Instant {
    ANCHOR.with(|(anchor, unix)| *anchor + Duration::from_micros(at.saturating_sub(*unix)))
}

/// For the module, which counts nanoseconds.
pub fn nanos(at: Micros) -> Nanos {
    at.saturating_mul(1_000)
}

/// From the module. Rounded up, so that a timer is never early.
pub fn micros(at: Nanos) -> Micros {
    at.div_ceil(1_000)
}
