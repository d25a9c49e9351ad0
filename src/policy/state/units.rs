//! Conversions between the nanoseconds of the interface and the seconds of the formulas.
use crate::policy::api::Nanos;

const NANOS_PER_SECOND: f64 = 1e9;

/// Longest duration that [`nanos`] gives, in seconds (about three years): sums of such durations
/// and a clock reading stay far from the end of [`Nanos`].
const MAX_SECONDS: f64 = 1e8;

/// A duration in seconds.
pub(crate) fn seconds(duration: Nanos) -> f64 {
    duration as f64 / NANOS_PER_SECOND
}

/// A duration of `seconds`, clamped to zero and [`MAX_SECONDS`].
pub(crate) fn nanos(seconds: f64) -> Nanos {
    (seconds.clamp(0.0, MAX_SECONDS) * NANOS_PER_SECOND) as Nanos
}
