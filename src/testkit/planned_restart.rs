//! The platform's times at a planned restart, as its protocol states them.
use std::time::Duration;

/// The longest deadline that the platform waits for after SIGTERM.
pub const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// How long after that the platform kills the process at the earliest.
pub const KILL_SLACK: Duration = Duration::from_millis(700);
