//! Logging to standard error, behind the one macro [`log!`](crate::log), which limits the rate of
//! each call site.
use crate::clock::{self, Micros, SEC};
use std::cell::Cell;

/// Lines that one call site may write per second.
const MAX_LINES_PER_SECOND: u32 = 5;

thread_local! { static MUTED: Cell<bool> = const { Cell::new(false) }; }

/// Turns logging off on this thread, for good. For threads that run many gateways at once and count
/// events instead.
pub fn mute() {
    MUTED.set(true);
}

/// The rate limit of one call site of [`log!`](crate::log) on one thread.
#[derive(Default)]
pub struct CallSite {
    /// Start of the second that `lines` counts in.
    window_start: Cell<Micros>,
    lines: Cell<u32>,
    /// Lines suppressed since the last one that was written.
    suppressed: Cell<u64>,
}

impl CallSite {
    /// A call site that has logged nothing.
    pub const fn new() -> CallSite {
        CallSite {
            window_start: Cell::new(0),
            lines: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Counts a line. Returns `None` if it has to be suppressed, else the number of lines suppressed
    /// before it.
    pub fn admit(&self) -> Option<u64> {
        if MUTED.get() {
            return None;
        }
        let now = clock::now();
        if now >= self.window_start.get() + SEC {
            self.window_start.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.suppressed.replace(0))
    }
}

/// Writes a line to standard error; takes the arguments of [`format!`]. Each call site writes a few
/// lines per second and says how many it left out.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {{
        thread_local! {
            static CALL_SITE: $crate::logging::CallSite = const { $crate::logging::CallSite::new() };
        }
        if let Some(suppressed) = CALL_SITE.with($crate::logging::CallSite::admit) {
            let line = format!($($arg)*);
            match suppressed {
                0 => eprintln!("yokelift: {line}"),
                count => eprintln!("yokelift: {line} ({count} lines like it left out)"),
            }
        }
    }};
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
