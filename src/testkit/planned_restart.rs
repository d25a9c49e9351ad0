//! The times of a planned restart in the platform's protocol.
use std::time::Duration;

/// After SIGTERM the platform waits for the longest deadline, but at most for this time.
pub const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// The platform kills the process at the earliest this long after the wait for the longest
/// deadline.
pub const KILL_SLACK: Duration = Duration::from_millis(700);
