//! Latency of load probes. An overloaded engine may report idle cores while its queries wait for
//! disks; the delay of a probe then shows the load.
use super::smooth;

/// Maximum of one sample, as a multiple of the usual delay, so that a single slow probe has a
/// limited effect.
pub(crate) const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Factor by which a baseline rises with each probe, so that it adapts to a longer route.
const BASELINE_GROWTH: f64 = 1.001;

/// Minimum usual delay, as a fraction of the baseline: delays far below the round-trip time are
/// noise.
const MIN_DELAY_SHARE: f64 = 0.25;

/// Whether a probe stays within the gateway's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeRoute {
    SameZone,
    CrossZone,
}

/// Baselines and the usual delay of probes.
#[derive(Clone, Debug)]
pub(crate) struct ProbeStats {
    /// Latency of the fastest probe within the zone, in seconds; it rises slowly.
    same_zone_baseline: f64,
    /// Latency of the fastest probe to other zones, in seconds; it rises slowly.
    cross_zone_baseline: f64,
    /// Smoothed delay beyond the baseline, in seconds.
    usual_delay: f64,
}

impl ProbeStats {
    pub(crate) fn new() -> ProbeStats {
        ProbeStats {
            same_zone_baseline: f64::INFINITY,
            cross_zone_baseline: f64::INFINITY,
            usual_delay: 0.0,
        }
    }

    /// Records a probe that took `latency` seconds. Returns its delay beyond the baseline as a
    /// multiple of the usual delay.
    pub(crate) fn record(&mut self, route: ProbeRoute, latency: f64) -> f64 {
        let baseline = match route {
            ProbeRoute::SameZone => &mut self.same_zone_baseline,
            ProbeRoute::CrossZone => &mut self.cross_zone_baseline,
        };
        *baseline = (*baseline * BASELINE_GROWTH).min(latency);
        let baseline = *baseline;
        let delay = latency - baseline;
        let usual = self.usual_delay.max(MIN_DELAY_SHARE * baseline).max(1e-6);
        let relative_delay = delay / usual;
        let clipped = delay.min(MAX_SAMPLE_RATIO * (self.usual_delay + baseline));
        smooth(&mut self.usual_delay, clipped);
        relative_delay
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/probe_stats.rs"]
mod tests;
