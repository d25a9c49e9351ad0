//! Logging to standard error by the macro [`log!`](crate::log), which limits the rate of each call
//! site.
use crate::clock::{self, Micros, SEC};
use std::cell::Cell;

/// The maximum number of lines that one call site writes per second.
const MAX_LINES_PER_SECOND: u32 = 5;

thread_local! { static MUTED: Cell<bool> = const { Cell::new(false) }; }

/// Disables logging on this thread permanently, for threads that run many gateways and count events
/// instead.
pub fn mute() {
    MUTED.set(true);
}

/// The rate limit of one call site of [`log!`](crate::log) on one thread.
#[derive(Default)]
pub struct CallSite {
    /// Start of the window of one second in which `lines` are counted.
    window_start: Cell<Micros>,
    lines: Cell<u32>,
    /// Lines suppressed since the last written one.
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

    /// Counts a line. Returns `None` if the line has to be suppressed, otherwise the number of
    /// lines suppressed since the last written one.
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

/// Writes a line to standard error; takes the arguments of [`format!`]. The rate of each call site
/// is limited per thread; the next written line gives the number of suppressed ones.
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
                count => eprintln!("yokelift: {line} ({count} earlier lines of this kind suppressed)"),
            }
        }
    }};
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
