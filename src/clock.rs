//! The clock of the program: the monotonic clock, converted to microseconds of Unix time. The
//! reference point of the conversion is taken at the first use on each thread.
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

/// The reference point of a thread's clock: the same point in time on the monotonic clock and on
/// the Unix clock.
#[derive(Clone, Copy)]
struct ClockReference {
    instant: Instant,
    unix: Micros,
}

impl ClockReference {
    fn capture() -> ClockReference {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        ClockReference {
            instant: Instant::now(),
            unix: unix.as_micros() as Micros,
        }
    }
}

thread_local! {
    static REFERENCE: ClockReference = ClockReference::capture();
    /// The last reading of the clock, or 0 before the first.
    static NOW: Cell<Micros> = const { Cell::new(0) };
}

/// Reads the clock. Called at the start of each iteration of an event loop.
pub fn read() -> Micros {
    let reference = REFERENCE.with(|reference| *reference);
    let now = reference.unix + reference.instant.elapsed().as_micros() as Micros;
    NOW.set(now);
    now
}

/// The time of the current iteration: the last reading of [`read`]. Reads the clock if there is
/// none yet.
pub fn now() -> Micros {
    if NOW.get() == 0 { read() } else { NOW.get() }
}

/// The monotonic time that corresponds to `at`, for timers of the reactor. Times before the
/// reference point map to that point.
pub fn instant(at: Micros) -> Instant {
    let reference = REFERENCE.with(|reference| *reference);
    reference.instant + Duration::from_micros(at.saturating_sub(reference.unix))
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
