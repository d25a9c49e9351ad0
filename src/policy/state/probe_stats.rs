//! Latency of load probes: an engine in trouble may report idle cores while its queries wait for
//! disks, and the delay of a probe then shows the load.
use super::smooth;

/// Times the usual delay that one sample counts at most: one slow probe must not decide.
pub(crate) const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Factor by which a baseline rises with each probe, so that it follows a longer route.
const BASELINE_GROWTH: f64 = 1.001;

/// Least usual delay, as a share of the baseline: delays far under the round trip are noise.
const MIN_DELAY_SHARE: f64 = 0.25;

/// Whether a probe stays within the gateway's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeRoute {
    SameZone,
    CrossZone,
}

/// Baselines and usual delay of probes.
#[derive(Clone, Debug)]
pub(crate) struct ProbeStats {
    /// Shortest probe within the zone, in seconds.
    same_zone_baseline: f64,
    /// Shortest probe to other zones, in seconds.
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

    /// Takes in a probe of `latency` seconds. Returns its delay beyond the baseline as a multiple
    /// of the usual delay.
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
