//! The stages of the process.
use std::fmt;

/// The stage of the process, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No endpoint list has been received yet.
    Starting,
    /// Serving.
    Ready,
    /// Operators requested a drain: clients have to move to other managers.
    Draining,
    /// A successor serves in parallel with this process: both processes act as one manager.
    HotRestart,
    /// The process was asked to stop.
    Stopping,
}

impl Stage {
    /// The stage's name on the admin endpoint.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Ready => "ready",
            Stage::Draining => "draining",
            Stage::HotRestart => "handingover",
            Stage::Stopping => "stopping",
        }
    }

    /// The stage's name in the fleet's member updates.
    pub fn name_in_member_updates(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Ready => "ready",
            Stage::Draining => "draining",
            Stage::HotRestart => "hotrestart",
            Stage::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
