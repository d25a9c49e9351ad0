//! Conversions between nanoseconds, used in the interface, and seconds, used in formulas.
use crate::policy::api::Nanos;

const NANOS_PER_SECOND: f64 = 1e9;

/// Longest duration that [`nanos`] returns, in seconds (about three years), so that sums of such
/// durations and a time stay far below the maximum of [`Nanos`].
const MAX_SECONDS: f64 = 1e8;

/// Converts a duration to seconds.
pub(crate) fn seconds(duration: Nanos) -> f64 {
    duration as f64 / NANOS_PER_SECOND
}

/// Converts `seconds` to a duration, clamped to the range from 0 to [`MAX_SECONDS`].
pub(crate) fn nanos(seconds: f64) -> Nanos {
    (seconds.clamp(0.0, MAX_SECONDS) * NANOS_PER_SECOND) as Nanos
}
